/**
 * @file hold.h
 * @brief Decides whether requests wait while no scheduler leads.
 *
 * When a leader dies, its lease expires and another scheduler is elected, which
 * takes little longer than the lease. A request that arrives meanwhile is held
 * and forwarded to the next leader: its caller is served sooner than after a
 * refusal, and the load balancer has no reason to take all schedulers out of
 * service at once. When the store is away or an election takes longer than
 * expected, nobody can tell when there will be a leader, and requests are
 * refused at once.
 *
 * Load: a leader is killed, loses power or is cut off while requests keep
 * arriving at all schedulers.
 */
#ifndef GN_SCHEDULER_HOLD_H
#define GN_SCHEDULER_HOLD_H

#include <stdbool.h>

#include "common/clock.h"

/** What a scheduler knows about the absence of a leader. */
typedef struct scheduler_absence_s {
	/** When a leader last served; 0 if this process never knew of one. */
	uint64_t served_us;
	uint64_t store_answered_us; /**< Last answer of the store. */
	uint64_t lease_us; /**< Time to live of the leader's lease. */
} scheduler_absence_t;

/** Whether a leader is likely to serve soon, so that a request is held. */
bool scheduler_hold_is_useful(const scheduler_absence_t *absence,
			      uint64_t now_us);

#endif
