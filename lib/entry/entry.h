/**
 * @file entry.h
 * @brief The entry role: the process that serves callers and operators.
 *
 * It accepts requests over HTTP, dispatches latency-critical ones to workers
 * through their agents and returns the responses, schedules the batch and
 * standing tasks of the buckets that it owns, and distributes the
 * configuration to agents.
 */
#ifndef GN_ENTRY_ENTRY_H
#define GN_ENTRY_ENTRY_H

#include "daemon/runtime.h"

/** Callbacks of the role for the daemon. */
extern const gn_role_ops_t gn_entry_role;

#endif
