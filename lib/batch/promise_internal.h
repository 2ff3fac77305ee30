/**
 * @file promise_internal.h
 * @brief What the parts of the promise module share.
 */
#ifndef GN_BATCH_PROMISE_INTERNAL_H
#define GN_BATCH_PROMISE_INTERNAL_H

#include "batch/mutant.h"
#include "batch/promise.h"

/** Another member, as the adopted record and its answers show it. */
typedef struct gn_member_s {
	uint64_t incarnation;
	uint64_t joined;
	bool confirmed;
	uint64_t confirmed_us; /**< when the confirmed query was sent */
} gn_member_t;

/** What this entry has told about an owner. */
typedef struct gn_told_s {
	uint64_t owner;
	bool gave;
	uint64_t gave_us; /**< last confirmation */
	bool refused; /**< vouched against; never confirmed again */
} gn_told_t;

/** Who vouched against an owner. */
typedef struct gn_vouched_s {
	uint64_t owner;
	GHashTable *vouchers; /**< set of incarnations */
} gn_vouched_t;

struct gn_promise_s {
	gn_promise_params_t params;
	const gn_clock_t *clock;
	uint64_t incarnation;
	bool renewed;
	uint64_t renewed_us; /**< sending of the last renewal that succeeded */
	uint64_t revision;
	bool joined; /**< was a member once */
	bool removed;
	GHashTable *
		members; /**< incarnation -> gn_member_t, this entry included */
	GHashTable
		*acked; /**< incarnation -> highest revision, left ones too */
	GHashTable *told; /**< owner -> gn_told_t */
	GHashTable *vouched; /**< owner -> gn_vouched_t */
	GHashTable *retired; /**< set of owners, by their own word */
};

/** The member @p incarnation of the adopted record, or NULL. */
gn_member_t *gn_promise_find_member(const gn_promise_t *promise,
				    uint64_t incarnation);

#endif
