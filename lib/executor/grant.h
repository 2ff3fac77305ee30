/**
 * @file grant.h
 * @brief Computes how far a worker's lease may be extended, on the worker's
 *        clock.
 *
 * The leader promises not to move a worker's tasks for the length of a lease,
 * counted from when the report that it answered was sent. The worker stops all
 * its runs when its lease ends, by a clock of its own of which only past
 * readings are known. The lease of a worker that hasn't responded for a while
 * is not extended, since calls to it may still take effect.
 */
#ifndef GN_EXECUTOR_GRANT_H
#define GN_EXECUTOR_GRANT_H

#include <stdbool.h>
#include <stdint.h>

/** A lease is extended only if the last clock reading is at most this old. */
#define GN_GRANT_CLOCK_MAX_AGE_MS 1000

/**
 * Maximum age, when a start is sent, of the newest report that the leader knew
 * when it ordered the start. The leader keeps a claim for the length of a
 * lease after that report, so within this time the worker of the start is still
 * the only one with a run of the task.
 */
#define GN_GRANT_START_MAX_AGE_MS 3000

/**
 * The lease of one worker. Initialize with zeros, except for lease_us and
 * start_max_age_ms: then it isn't extended before an answer and a clock reading
 * are recorded.
 */
typedef struct gn_grant_s {
	uint64_t lease_us; /**< Length of a lease. */
	/**
	 * As GN_GRANT_START_MAX_AGE_MS, and less if evacuations require it;
	 * see gn_evacuation_start_max_age_ms().
	 */
	unsigned start_max_age_ms;
	/** Time when the newest report with an answer was sent; 0 if none. */
	uint64_t report_sent_us;
	/** Last reading of the worker's clock; 0 if none. */
	uint64_t clock_ms;
	uint64_t clock_received_us; /**< Time when that reading came. */
	/** Latest end of a lease given to the worker, on its clock. */
	uint64_t granted_until_ms;
} gn_grant_t;

/** Records that the leader has answered a report sent at @p sent_us. */
void gn_grant_record_answer(gn_grant_t *grant, uint64_t sent_us);

/**
 * Records a reading of the worker's clock that came at @p now_us. The clock was
 * read an unknown time before. Counting from the arrival makes a lease end
 * early rather than late.
 * @return whether the worker's lease had ended at the reading
 */
bool gn_grant_record_clock(gn_grant_t *grant, uint64_t clock_ms,
			   uint64_t now_us);

/**
 * Extends the lease as far as allowed now.
 * @return end of the lease on the worker's clock; 0 if no extension is allowed
 */
uint64_t gn_grant_extend_until_ms(gn_grant_t *grant, uint64_t now_us);

/**
 * Returns the time of what the leader learns from a report, as the basis of its
 * orders.
 * @param described_us time of the worker's last heartbeat, which said what its
 *        capacity is
 */
uint64_t gn_grant_get_basis_us(uint64_t reported_us, uint64_t described_us);

/**
 * Whether a start may be sent now.
 * @param basis_us time of what the leader knew; see gn_grant_get_basis_us()
 */
bool gn_grant_may_start(const gn_grant_t *grant, uint64_t basis_us,
			uint64_t now_us);

/** Forgets the answers, the clock and the lease, since the worker has a new
 * life, which no earlier report named. */
void gn_grant_reset(gn_grant_t *grant);

#endif
