/**
 * @file agent.h
 * @brief The agent: the process beside a backend server.
 *
 * It alone decides whether work starts on its worker.
 */
#ifndef GN_AGENT_AGENT_H
#define GN_AGENT_AGENT_H

#include "daemon/runtime.h"

extern const gn_role_ops_t gn_agent_role;

#endif
