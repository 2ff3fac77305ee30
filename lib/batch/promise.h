/**
 * @file promise.h
 * @brief Decides whether an entry may give run promises, including during an
 * outage of the platform's key-value service.
 *
 * Normal operation lasts until renew_us after the entry sent the last lease
 * renewal that succeeded. After that, in an outage, the entry may renew run
 * promises for at most outage_max_us, and only while every other member of
 * the record that it adopted has confirmed within confirm_us that it has lost
 * the key-value service as well.
 *
 * An entry that took a bucket over moves a task that its worker doesn't report
 * only when each earlier owner is settled, which means that all run promises of
 * that owner have expired. This holds when a member whose confirmation the
 * earlier owner needed vouches that it has not confirmed to that owner for long
 * enough and never will again, when the process of the earlier owner states
 * that it has retired that incarnation, or when outage_max_us has passed.
 * docs/OUTAGE.md gives the safety argument.
 *
 * Bounds: renew_us plus drift_us is below the duration of the entry's lease;
 * drift_us covers the clock drift over promise_us + confirm_us, and rate_ppm
 * covers it over outage_max_us.
 */
#ifndef GN_BATCH_PROMISE_H
#define GN_BATCH_PROMISE_H

#include "batch/bucket.h"

/** Maximum number of members in the record. */
#define GN_PROMISE_MEMBERS_MAX 256

typedef struct gn_promise_params_s {
	uint64_t renew_us; /**< Validity of a lease renewal, 1 s..60 s. */
	uint64_t confirm_us; /**< Validity of a confirmation, 100 ms..10 s. */
	uint64_t promise_us; /**< Length of a run promise, 1 s..60 s. */
	uint64_t drift_us; /**< Margin for clock drift, 10 ms..10 s. */
	/** Maximum length of a bridged outage, up to 1 day. */
	uint64_t outage_max_us;
	unsigned rate_ppm; /**< Bound on clock rate differences, 1..100000. */
} gn_promise_params_t;

/** A member of the record. */
typedef struct gn_promise_member_s {
	uint64_t incarnation;
	uint64_t joined; /**< Record revision at which it joined. */
	uint64_t acked; /**< Highest record revision that it acknowledged. */
} gn_promise_member_t;

/** Queries between entries. */
typedef enum gn_promise_query_e {
	/** Asks whether the receiver has lost the key-value service too. */
	GN_PROMISE_CONFIRM = 1,
	/**
	 * Asks the receiver to vouch that it never confirms to the given owner
	 * again.
	 */
	GN_PROMISE_VOUCH = 2,
} gn_promise_query_t;

typedef struct gn_promise_s gn_promise_t;

/**
 * Creates the state of the entry @p incarnation, which must not be 0; NULL if
 * out of memory.
 */
gn_promise_t *gn_promise_create(TALLOC_CTX *parent,
				const gn_promise_params_t *params,
				const gn_clock_t *clock, uint64_t incarnation);

/* ======   Commands   ====== */

/** Records that the lease grant or renewal sent at @p sent_us succeeded. */
void gn_promise_on_renewed(gn_promise_t *promise, uint64_t sent_us);

/**
 * Adopts the member record at @p revision. From a record that is not newer than
 * the adopted one, only the acknowledged revisions of its members are taken.
 * An entry must adopt a revision before it acknowledges it in its
 * liveness key.
 * @return GN_OK, GN_ERR_STALE (not newer than the adopted one),
 *         GN_ERR_RANGE (too many members)
 */
gn_code_t gn_promise_adopt(gn_promise_t *promise, uint64_t revision,
			   const gn_promise_member_t *members, size_t count);

/**
 * Answers a query of another entry.
 * @param from the entry that asks
 * @param about the owner in question; for GN_PROMISE_CONFIRM, the asker itself
 * @return whether the request is granted
 */
bool gn_promise_on_query(gn_promise_t *promise, gn_promise_query_t kind,
			 uint64_t from, uint64_t about);

/**
 * Processes the answer of another entry to a query.
 * @param sent_us when this entry sent the query, as echoed in the answer
 */
void gn_promise_on_answer(gn_promise_t *promise, gn_promise_query_t kind,
			  uint64_t from, uint64_t about, uint64_t sent_us,
			  bool granted);

/**
 * Records a statement of the process that ran as incarnation @p owner: it has
 * given no run promise as @p owner for promise_us + confirm_us + drift_us and
 * never will again. This settles @p owner without a voucher.
 */
void gn_promise_set_retired(gn_promise_t *promise, uint64_t owner);

/* ======   Queries   ====== */

/** Whether this entry is a member and its last lease renewal is valid. */
bool gn_promise_is_normal(const gn_promise_t *promise);

/** Whether run promises for running tasks may be renewed. */
bool gn_promise_may_renew(const gn_promise_t *promise);

/** Whether tasks may be claimed, started, and moved to other workers. */
bool gn_promise_may_start(const gn_promise_t *promise);

/**
 * Whether this entry was removed from the record. It must then drop all its
 * buckets and join again as a new incarnation with a new gn_promise_t.
 */
bool gn_promise_is_removed(const gn_promise_t *promise);

/** Returns the adopted record revision, 0 if none. */
uint64_t gn_promise_revision(const gn_promise_t *promise);

/**
 * Lists the entries to ask for a confirmation now: all other members, while
 * this entry is not in normal operation.
 * @return the number of entries written to @p to
 */
size_t gn_promise_list_confirmers(const gn_promise_t *promise, uint64_t *to,
				  size_t size);

/**
 * Lists the entries to ask for a voucher against @p owner, whose highest
 * acknowledged record revision is @p acked. If this entry is among them, it
 * must ask itself as well.
 * @return the number of entries written to @p to
 */
size_t gn_promise_list_vouchers(const gn_promise_t *promise, uint64_t owner,
				uint64_t acked, uint64_t *to, size_t size);

/**
 * Whether every run promise of @p owner has expired, for a bucket that this
 * entry took over at @p taken_us; @p acked as in gn_promise_list_vouchers().
 */
bool gn_promise_is_settled(const gn_promise_t *promise, uint64_t owner,
			   uint64_t acked, uint64_t taken_us);

/**
 * Whether @p incarnation, a member at record revision @p revision, has left the
 * record.
 */
bool gn_promise_has_left(const gn_promise_t *promise, uint64_t incarnation,
			 uint64_t revision);

/**
 * Returns the highest record revision that @p incarnation is known to have
 * acknowledged, 0 if none. It may have acknowledged a higher one.
 */
uint64_t gn_promise_acked(const gn_promise_t *promise, uint64_t incarnation);

/** Returns the checks for the buckets of this entry, as gates on @p promise. */
gn_batch_gate_t gn_promise_gate(gn_promise_t *promise);

#endif
