/**
 * @file agent_internal.h
 * @brief The parts of the agent that its files share.
 */
#ifndef GN_AGENT_INTERNAL_H
#define GN_AGENT_INTERNAL_H

#include "agent/agent.h"
#include "http/client.h"
#include "http/server.h"
#include "wire/link.h"

typedef struct agent_s agent_t;

/** The agent's link to one entry. */
typedef struct agent_link_s {
	agent_t *agent;
	const char *address;
	gn_link_t *link; /**< replaced when it goes silent */
	uint64_t session; /**< issued anew with each link */
	uint64_t entry_incarnation; /**< 0 until welcomed */
	uint64_t opened_us;
	uint64_t heard_us; /**< last time the entry was heard */
	uint64_t beat_us; /**< last time a beat was sent */
	uint64_t sequence;
} agent_link_t;

/** What the backend server beside the agent announced. */
typedef struct agent_backend_s {
	char address[GN_ADDRESS_MAX + 1]; /**< empty until announced */
	char incarnation[GN_NAME_MAX + 1]; /**< of the backend server */
	bool draining; /**< it is in graceful shutdown */
	uint64_t announced_us;
} agent_backend_t;

/** Counters of the agent. */
typedef struct agent_counters_s {
	gn_counter_t *dispatched;
	gn_counter_t *refused;
	gn_counter_t *done;
	gn_counter_t *unknown;
	gn_counter_t *links_replaced;
	gn_counter_t *announcements;
} agent_counters_t;

struct agent_s {
	gn_runtime_t *runtime;
	gn_http_server_t *server;
	gn_http_client_t *client;
	agent_link_t *links;
	size_t link_count;
	agent_backend_t backend;
	agent_counters_t counters;
	unsigned running; /**< requests at the backend server */
	uint32_t service_time_us; /**< smoothed */
};

/* ======   links.c   ====== */

/** Opens a link to each entry. */
gn_code_t agent_links_open(agent_t *agent, gn_error_t *error);
/** Sends the beats that are due and replaces silent links. */
void agent_links_tick(agent_t *agent);
/** Sends @p envelope on @p link with the link's session. */
gn_code_t agent_link_send(agent_link_t *link, Gn__Envelope *envelope);
/** Fills in the load of the worker. */
void agent_load(const agent_t *agent, Gn__Load *load);

/* ======   requests.c   ====== */

/** Admits and runs, or refuses, one request. */
void agent_on_dispatch(agent_link_t *link, const Gn__Dispatch *dispatch);

/* ======   backend.c   ====== */

/** Whether the backend server can be given work. */
bool agent_backend_is_up(const agent_t *agent);
/** Handles the backend server's announcement. */
void agent_on_announce(void *arg, gn_http_request_t *request, gn_str_t name);

/* ======   http.c   ====== */

/** Handles a request to the agent. */
void agent_on_http(void *arg, gn_http_request_t *request);

#endif
