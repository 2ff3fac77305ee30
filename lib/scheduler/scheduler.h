/**
 * @file scheduler.h
 * @brief The scheduler: takes callers' jobs; one of all schedulers leads.
 */
#ifndef GN_SCHEDULER_SCHEDULER_H
#define GN_SCHEDULER_SCHEDULER_H

#include "daemon/runtime.h"

extern const gn_role_ops_t gn_scheduler_role;

#endif
