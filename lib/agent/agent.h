/**
 * @file agent.h
 * @brief The agent: the process that runs beside each backend server.
 *
 * Only the agent decides whether work starts on its backend server. A worker is
 * an agent with its backend server, as the entries see it.
 */
#ifndef GN_AGENT_AGENT_H
#define GN_AGENT_AGENT_H

#include "daemon/runtime.h"

/** The operations of the agent role. */
extern const gn_role_ops_t gn_agent_role;

#endif
