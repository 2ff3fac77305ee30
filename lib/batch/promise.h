/**
 * @file promise.h
 * @brief Whether an entry may promise workers their tasks, also while the
 * platform's service is away.
 *
 * Normal: within renew_us of the sending of the last lease renewal that
 * succeeded. Dark: later, while every other member of the record that this
 * entry adopted confirmed within confirm_us that it has lost the platform too,
 * and for dark_us at most. An entry that took a bucket over moves a silent task
 * only when each earlier owner is settled: a member that the earlier owner
 * needed vouches that it has confirmed nothing to it for long enough and never
 * will, or dark_us has gone by. docs/OUTAGE.md gives the safety argument.
 *
 * Bounds: renew_us plus drift_us is below the platform's lease; drift_us
 * covers the difference of clock rates over promise_us + confirm_us, rate_ppm
 * covers it over dark_us.
 */
#ifndef GN_BATCH_PROMISE_H
#define GN_BATCH_PROMISE_H

#include "batch/bucket.h"

/** Most members of the record. */
#define GN_PROMISE_MEMBERS_MAX 256

typedef struct gn_promise_params_s {
	uint64_t renew_us; /**< normal for this long, 1 s..60 s */
	uint64_t
		confirm_us; /**< a confirmation holds this long, 100 ms..10 s */
	uint64_t promise_us; /**< length of a run promise, 1 s..60 s */
	uint64_t drift_us; /**< margin for clock rates, 10 ms..10 s */
	uint64_t dark_us; /**< longest time without the platform, to 1 day */
	unsigned rate_ppm; /**< clock rates differ by less, 1..100000 */
} gn_promise_params_t;

/** A member of the record. */
typedef struct gn_promise_member_s {
	uint64_t incarnation;
	uint64_t joined; /**< record revision at which it joined */
	uint64_t acked; /**< highest record revision it acknowledged */
} gn_promise_member_t;

/** What entries ask each other. */
typedef enum gn_promise_query_e {
	GN_PROMISE_CONFIRM = 1, /**< have you lost the platform too? */
	GN_PROMISE_VOUCH =
		2, /**< will you never confirm to that owner again? */
} gn_promise_query_t;

typedef struct gn_promise_s gn_promise_t;

/** Creates the state of the entry @p incarnation, not 0. */
gn_promise_t *gn_promise_create(TALLOC_CTX *parent,
				const gn_promise_params_t *params,
				const gn_clock_t *clock, uint64_t incarnation);

/* ======   Commands   ====== */

/** A lease renewal, or the first grant, that was sent at @p sent_us worked. */
void gn_promise_on_renewed(gn_promise_t *promise, uint64_t sent_us);

/**
 * Adopts the member record; of an older one, or of the same again, only what
 * the members acknowledged is kept. An entry adopts a revision before it writes
 * it to the platform as its acknowledged one.
 * @return GN_OK, GN_ERR_STALE (not newer than the adopted one: ignored),
 *         GN_ERR_RANGE (too many members)
 */
gn_code_t gn_promise_adopt(gn_promise_t *promise, uint64_t revision,
			   const gn_promise_member_t *members, size_t count);

/**
 * Answers another entry. @p from asks; @p about is the owner in question, for
 * GN_PROMISE_CONFIRM the asker itself. @return whether granted.
 */
bool gn_promise_on_query(gn_promise_t *promise, gn_promise_query_t kind,
			 uint64_t from, uint64_t about);

/**
 * Takes in an answer.
 * @param sent_us when this entry sent the query, echoed by the other
 */
void gn_promise_on_answer(gn_promise_t *promise, gn_promise_query_t kind,
			  uint64_t from, uint64_t about, uint64_t sent_us,
			  bool granted);

/**
 * Notes what the process that was @p owner says of itself: that it has given
 * no promise as @p owner for promise_us + confirm_us + drift_us, and never will
 * again. It settles @p owner without a voucher.
 */
void gn_promise_note_retired(gn_promise_t *promise, uint64_t owner);

/* ======   Queries   ====== */

/** Whether the last renewal is recent enough to act on. */
bool gn_promise_is_normal(const gn_promise_t *promise);

/** Whether running tasks may be promised to their workers. */
bool gn_promise_may_renew(const gn_promise_t *promise);

/** Whether claims, starts and moves may be made. */
bool gn_promise_may_start(const gn_promise_t *promise);

/**
 * Whether this entry was in the record and is so no longer. It then drops all
 * buckets, and joins again as a new incarnation with a new gn_promise_t.
 */
bool gn_promise_is_removed(const gn_promise_t *promise);

/** The adopted record revision, 0 if none. */
uint64_t gn_promise_revision(const gn_promise_t *promise);

/**
 * Whom to ask for confirmation now: all other members while this entry is not
 * normal. @return how many; none while normal.
 */
size_t gn_promise_confirmers(const gn_promise_t *promise, uint64_t *to,
			     size_t size);

/** Whom to ask to vouch against @p owner; this entry asks itself, too. */
size_t gn_promise_vouchers(const gn_promise_t *promise, uint64_t owner,
			   uint64_t acked, uint64_t *to, size_t size);

/** Whether no promise of @p owner can be open, of a bucket taken then. */
bool gn_promise_is_settled(const gn_promise_t *promise, uint64_t owner,
			   uint64_t acked, uint64_t taken_us);

/** Whether @p incarnation, a member at @p revision, has left the record. */
bool gn_promise_has_left(const gn_promise_t *promise, uint64_t incarnation,
			 uint64_t revision);

/**
 * The highest record revision that @p incarnation is known to have
 * acknowledged; 0 if none. It may have acknowledged more.
 */
uint64_t gn_promise_acked(const gn_promise_t *promise, uint64_t incarnation);

/** The gate that buckets of this entry use. */
gn_batch_gate_t gn_promise_gate(gn_promise_t *promise);

#endif
