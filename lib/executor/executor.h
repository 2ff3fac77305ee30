/**
 * @file executor.h
 * @brief The executor: carries out the leader's orders on one backend server,
 *        called its worker.
 */
#ifndef GN_EXECUTOR_EXECUTOR_H
#define GN_EXECUTOR_EXECUTOR_H

#include "daemon/runtime.h"

/** The operations of the executor role. */
extern const gn_role_ops_t gn_executor_role;

#endif
