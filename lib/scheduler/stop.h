/**
 * @file stop.h
 * @brief What a scheduler that was told to stop does when.
 *
 * The balancer sees within two looks that it is not ready; until then it takes
 * connections. Then it answers what comes on open ones, and at last refuses
 * that, so that it is gone before its grace ends, with nothing unanswered.
 */
#ifndef GN_SCHEDULER_STOP_H
#define GN_SCHEDULER_STOP_H

#include <stdbool.h>

#include "common/clock.h"

/** A request that was handed on is given up after this long. */
#define SCHEDULER_FORWARD_TIMEOUT_US (1500 * GN_US_PER_MS)

/** Whether new connections are refused. @param since_us since the signal */
bool scheduler_stop_refuses_connections(uint64_t since_us);

/** Whether requests are still taken. */
bool scheduler_stop_accepts_requests(uint64_t since_us);

/** Whether the process may end. */
bool scheduler_stop_is_complete(uint64_t since_us, size_t pending);

#endif
