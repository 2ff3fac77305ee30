/**
 * @file promise_internal.h
 * @brief Internal types and functions of the promise module.
 */
#ifndef GN_BATCH_PROMISE_INTERNAL_H
#define GN_BATCH_PROMISE_INTERNAL_H

#include "batch/mutant.h"
#include "batch/promise.h"

/** A member of the adopted record, and its last confirmation. */
typedef struct gn_member_s {
	uint64_t incarnation;
	uint64_t joined; /**< Record revision at which it joined. */
	bool confirmed; /**< It confirmed to this entry at least once. */
	uint64_t confirmed_us; /**< When the last confirmed query was sent. */
} gn_member_t;

/** The answers that this entry gave to and about an owner. */
typedef struct gn_given_answers_s {
	uint64_t owner;
	bool confirmed; /**< This entry confirmed to the owner at least once. */
	/** When this entry last confirmed to the owner. */
	uint64_t confirmed_us;
	/** This entry was asked to vouch against the owner. */
	bool never_confirms;
} gn_given_answers_t;

/** The members that vouched against an owner. */
typedef struct gn_owner_vouchers_s {
	uint64_t owner;
	GHashTable *members; /**< Set of incarnations. */
} gn_owner_vouchers_t;

struct gn_promise_s {
	gn_promise_params_t params;
	const gn_clock_t *clock;
	uint64_t incarnation;
	bool renewed;
	uint64_t renewed_us; /**< When the last successful renewal was sent. */
	uint64_t revision; /**< Adopted record revision, 0 if none. */
	bool joined; /**< This entry has been a member. */
	bool removed; /**< This entry has been a member and is none now. */
	/** Maps an incarnation to its gn_member_t, this entry included. */
	GHashTable *members;
	/**
	 * Maps an incarnation to its highest acknowledged revision, also of
	 * members that left.
	 */
	GHashTable *acked;
	/** Maps an owner to its gn_given_answers_t. */
	GHashTable *given_answers;
	/** Maps an owner to its gn_owner_vouchers_t. */
	GHashTable *owner_vouchers;
	GHashTable *retired; /**< Set of owners whose processes retired them. */
};

/** Finds the member @p incarnation of the adopted record; NULL if none. */
gn_member_t *gn_promise_find_member(const gn_promise_t *promise,
				    uint64_t incarnation);

#endif
