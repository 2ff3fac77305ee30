/**
 * @file grant.h
 * @brief How far a worker's lease may reach, on the worker's own clock.
 *
 * The leader promises not to move a worker's tasks for the length of a lease,
 * counted from when the report that it answered was sent. The worker ends all
 * that runs when its lease is over, by a clock of its own of which only old
 * readings are known. A worker that has not answered for a while gets no
 * longer lease, since calls to it may still take effect.
 */
#ifndef GN_EXECUTOR_GRANT_H
#define GN_EXECUTOR_GRANT_H

#include <stdbool.h>
#include <stdint.h>

/** No lease is lengthened without a reading that is at most so old. */
#define GN_GRANT_CLOCK_MAX_AGE_MS 1000

/**
 * A start is begun at most so long after the newest report that the leader
 * knew when it ordered it. The leader gives up no claim for a lease after
 * that, so the start's worker still has the only run.
 */
#define GN_GRANT_START_MAX_AGE_MS 3000

/** The state; a zeroed one knows nothing and grants nothing. */
typedef struct gn_grant_s {
	uint64_t lease_us; /**< length of a lease */
	uint64_t
		report_sent_us; /**< when the newest answered report was sent */
	uint64_t clock_ms; /**< newest reading of the worker's clock; 0: none */
	uint64_t clock_received_us; /**< when the answer with it came */
	uint64_t
		granted_until_ms; /**< furthest end of a lease given to the worker */
} gn_grant_t;

/** The leader has answered a report that was sent at @p sent_us. */
void gn_grant_record_answer(gn_grant_t *grant, uint64_t sent_us);

/**
 * An answer with the worker's clock has come at @p now_us. The clock was read
 * before that, by an unknown time; counting from the answer lets a lease end
 * early rather than late.
 * @return whether its lease had run out by then
 */
bool gn_grant_record_clock(gn_grant_t *grant, uint64_t clock_ms,
			   uint64_t now_us);

/** The end of the lease to give now, on the worker's clock; 0: none. */
uint64_t gn_grant_extend_until_ms(gn_grant_t *grant, uint64_t now_us);

/** Whether a start may be begun that was ordered on a report so old. */
bool gn_grant_may_start(uint64_t basis_us, uint64_t now_us);

/** The worker has begun a new life, with a new clock. */
void gn_grant_reset(gn_grant_t *grant);

#endif
