/**
 * @file scheduler.h
 * @brief Role that accepts jobs from callers and schedules them.
 *
 * One scheduler of a cluster is the leader; the others forward requests to it.
 */
#ifndef GN_SCHEDULER_SCHEDULER_H
#define GN_SCHEDULER_SCHEDULER_H

#include "daemon/runtime.h"

/** The scheduler role of the daemon. */
extern const gn_role_ops_t gn_scheduler_role;

#endif
