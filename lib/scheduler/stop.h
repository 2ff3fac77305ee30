/**
 * @file stop.h
 * @brief Phases of the graceful stop of a scheduler.
 *
 * The load balancer needs up to two readiness checks to see that a stopping
 * scheduler is not ready; until then the scheduler accepts new connections.
 * After that it serves only requests on open connections, and finally refuses
 * these as well. It thus ends within its grace period with no request
 * unanswered.
 */
#ifndef GN_SCHEDULER_STOP_H
#define GN_SCHEDULER_STOP_H

#include <stdbool.h>

#include "common/clock.h"

/** Time for which a forwarded request waits for the leader's answer. */
#define SCHEDULER_FORWARD_TIMEOUT_US (1500 * GN_US_PER_MS)

/**
 * Whether new connections are refused.
 * @param since_us time since the signal to stop
 */
bool scheduler_stop_refuses_connections(uint64_t since_us);

/**
 * Whether requests on open connections are still accepted.
 * @param since_us time since the signal to stop
 */
bool scheduler_stop_accepts_requests(uint64_t since_us);

/**
 * Whether the process may exit.
 * @param since_us time since the signal to stop
 * @param pending number of unanswered requests
 */
bool scheduler_stop_is_complete(uint64_t since_us, size_t pending);

#endif
