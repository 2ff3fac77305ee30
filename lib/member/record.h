/**
 * @file record.h
 * @brief Membership of this entry in the member record.
 *
 * The record and one liveness key for each entry, bound to the entry's lease,
 * share one key prefix, which is watched as a whole, so that every view is
 * consistent with one revision of the platform's key-value service. An entry
 * creates its liveness key exactly once. In a view, a key without a member
 * requests to join, and a member without a key has left for good; one
 * compare-and-swap write of the record applies all such changes. The live
 * entries take turns to attempt that write, so that many entries that start
 * together do not contend. An entry acknowledges the record in its own liveness
 * key. All writes are derived from the latest view, so a write whose answer was
 * lost needs no further state.
 *
 * An incarnation that left never returns. Once its lease is lost or the record
 * no longer contains it, this entry is gone: the caller drops everything it
 * holds and creates a new object with a new incarnation.
 *
 * State machine whose only I/O goes through gn_kv_t.
 */
#ifndef GN_MEMBER_RECORD_H
#define GN_MEMBER_RECORD_H

#include <glib.h>

#include "common/clock.h"
#include "member/lease.h"
#include "member/record_doc.h"
#include "member/record_live.h"

/** Prefix of the record's key and of all liveness keys. */
#define GN_RECORD_PREFIX "members/"
/** Key of the member record. */
#define GN_RECORD_KEY GN_RECORD_PREFIX "record"
/** Prefix of the liveness keys; the entry's incarnation follows. */
#define GN_RECORD_LIVE_PREFIX GN_RECORD_PREFIX "live/"

/** Membership state of this entry. */
typedef enum gn_record_state_e {
	GN_RECORD_JOINING = 0,
	GN_RECORD_MEMBER,
	GN_RECORD_LEAVING,
	GN_RECORD_GONE /**< Final state. */
} gn_record_state_t;

/**
 * Called with a new revision of the record, on which the entry bases its
 * decisions from then on. The revision is acknowledged only after the call.
 */
typedef void (*gn_record_adopt_t)(void *context, const gn_record_doc_t *doc);

/** Options; all objects pointed to must outlive the record. */
typedef struct gn_record_options_s {
	gn_kv_t *kv;
	const gn_clock_t *clock;
	GRand *rand;
	const char *name; /**< Name of 1..GN_NAME_MAX bytes. */
	const char *address; /**< HTTP address, 1..GN_ADDRESS_MAX bytes. */
	/**
	 * Member incarnation: a random number, not 0, different each time the
	 * entry joins, also if the same process joins again.
	 */
	uint64_t incarnation;
	/** GN_LEASE_TTL_MIN_MS..GN_LEASE_TTL_MAX_MS. */
	uint32_t lease_ttl_ms;
	gn_record_adopt_t on_adopt; /**< May be NULL. */
	gn_lease_renewed_t on_renewed; /**< May be NULL. */
	void *context; /**< Passed to both callbacks. */
} gn_record_options_t;

typedef struct gn_record_s gn_record_t;

/**
 * Creates a record client that joins on the following ticks.
 * @return NULL if out of memory or an option is out of range
 */
gn_record_t *gn_record_create(TALLOC_CTX *parent,
			      const gn_record_options_t *options);

/** Frees the client without leaving; the lease expires. */
void gn_record_free(gn_record_t *record);

/* ======   Commands   ====== */

/** Starts the calls that are due; call it several times a second. */
void gn_record_tick(gn_record_t *record);

/**
 * Revokes the lease. The state is GN_RECORD_GONE once the key-value service has
 * confirmed it.
 */
void gn_record_leave(gn_record_t *record);

/* ======   Queries   ====== */

gn_record_state_t gn_record_state(const gn_record_t *record);

/** Returns the last adopted record; NULL if there is none yet. */
const gn_record_doc_t *gn_record_adopted(const gn_record_t *record);

/**
 * Returns the record revision that @p incarnation has acknowledged according
 * to the latest view; 0 if unknown, which is always safe.
 */
uint64_t gn_record_acked(const gn_record_t *record, uint64_t incarnation);

#endif
