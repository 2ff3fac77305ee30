/**
 * @file agent_internal.h
 * @brief The parts of the agent that its files share.
 */
#ifndef GN_AGENT_INTERNAL_H
#define GN_AGENT_INTERNAL_H

#include "admit/admit.h"
#include "agent/agent.h"
#include "batch/worker_tasks.h"
#include "http/client.h"
#include "http/server.h"
#include "wire/link.h"
#include "wire/reconnect.h"

typedef struct agent_s agent_t;
/** The control of batch tasks that slow the service down. */
typedef struct agent_interference_s agent_interference_t;

/** The agent's link to one entry. */
typedef struct agent_link_s {
	agent_t *agent;
	const char *address;
	gn_link_t *link; /**< replaced when it goes silent */
	uint64_t session; /**< issued anew with each link */
	uint64_t entry_incarnation; /**< 0 until welcomed */
	gn_reconnect_t reconnect; /**< when the link is given up */
	uint64_t heartbeat_us; /**< last time a beat was sent */
	uint64_t poll_us; /**< last time a task poll was sent */
	uint64_t sequence;
	uint64_t admit_session; /**< the admission's, 0 until welcomed */
	bool moves_held; /**< the entry can't move its tasks now */
} agent_link_t;

/** What the backend server beside the agent announced. */
typedef struct agent_backend_s {
	char address[GN_ADDRESS_MAX + 1]; /**< empty until announced */
	char incarnation[GN_NAME_MAX + 1]; /**< of the backend server */
	bool draining; /**< it is in graceful shutdown */
	bool lost; /**< went away after it was up */
	uint64_t announced_us;
	uint64_t list_asked_us; /**< last time it was asked for its list */
	bool list_pending; /**< the list is under way */
	bool list_outdated; /**< an action ended since it was asked */
} agent_backend_t;

/** What the operators' rules say of this worker. */
typedef struct agent_config_s {
	uint64_t revision; /**< only ever grows */
	bool draining;
	int64_t drain_from_s; /**< a window's drain, seconds since 1970 UTC */
	int64_t drain_until_s;
} agent_config_t;

/** Counters of the agent. */
typedef struct agent_counters_s {
	gn_counter_t *dispatched;
	gn_counter_t *refused;
	gn_counter_t *done;
	gn_counter_t *unknown;
	gn_counter_t *links_replaced;
	gn_counter_t *announcements;
	gn_counter_t *fences;
	gn_counter_t *lists;
	gn_counter_t *actions;
	gn_counter_t *actions_failed;
	gn_counter_t *stale_orders;
} agent_counters_t;

struct agent_s {
	gn_runtime_t *runtime;
	gn_http_server_t *server;
	gn_http_client_t *client;
	agent_link_t *links;
	size_t link_count;
	agent_backend_t backend;
	agent_config_t config;
	agent_counters_t counters;
	gn_admit_t *admit; /**< the one authority on the host's capacity */
	gn_worker_tasks_t *tasks;
	GHashTable *admitted; /**< task ids that the admission counts */
	gn_action_t *action; /**< at the backend server now, or NULL */
	agent_interference_t *interference;
	bool poll_soon; /**< something changed that owners wait for */
	unsigned running_requests; /**< requests at the backend server */
	uint32_t service_time_us; /**< smoothed */
	bool service_time_outdated; /**< the next one replaces it */
	uint64_t
		service_time_set_us; /**< when it was last measured or halved */
};

/* ======   links.c   ====== */

/** Opens a link to each entry. */
gn_code_t agent_links_open(agent_t *agent, gn_error_t *error);
/** Sends the beats that are due and replaces silent links. */
void agent_links_tick(agent_t *agent);
/** Sends @p envelope on @p link with the link's session. */
gn_code_t agent_link_send(agent_link_t *link, Gn__Envelope *envelope);
/** Fills in the load of the worker. */
void agent_fill_load(const agent_t *agent, Gn__Load *load);

/** Whether the worker is to take no new work. */
bool agent_is_draining(const agent_t *agent);

/** Whether an entry that owns tasks could not have them go on elsewhere. */
bool agent_moves_are_held(const agent_t *agent);

/* ======   requests.c   ====== */

/** Admits and runs, or refuses, one request. */
void agent_on_dispatch(agent_link_t *link, const Gn__Dispatch *dispatch);
/** Lets the service time lose its weight while nothing is served. */
void agent_requests_tick(agent_t *agent);
/** Records that a request is not to start any more. */
void agent_on_fence(agent_link_t *link, const Gn__Fence *fence);

/* ======   backend.c   ====== */

/** Whether the backend server has announced itself and answers. */
bool agent_backend_is_up(const agent_t *agent);
/** Whether it has also listed what it runs, so that work can be admitted. */
bool agent_backend_is_ready(const agent_t *agent);
/** Handles the backend server's announcement. */
void agent_on_announce(void *arg, gn_http_request_t *request, gn_str_t name);
/** Asks for the list when it is due; notes a backend server that went away. */
void agent_backend_tick(agent_t *agent);
/**
 * Calls the backend server.
 * @param path below its address, with its first slash
 * @param json consumed; NULL for a GET
 * @return GN_OK, or GN_ERR_MEMORY and @p done won't be called
 */
gn_code_t agent_backend_call(agent_t *agent, const char *path, json_t *json,
			     gn_http_done_t done, void *arg);

/* ======   tasks.c   ====== */

/** Opens the state of tasks. */
gn_code_t agent_tasks_open(agent_t *agent);
/** Closes it. */
void agent_tasks_close(agent_t *agent);
/** Moves leases, actions and polls on. */
void agent_tasks_tick(agent_t *agent);
/** Whether every run has ended and its owner knows. */
bool agent_tasks_are_settled(const agent_t *agent);
/** What the admission counts of a task. */
gn_admit_task_t agent_make_admit_task(const char *id, unsigned cores,
				      unsigned memory_mb,
				      unsigned accelerators);
/** The part of the state dump; the caller owns it. */
json_t *agent_tasks_dump(const agent_t *agent);

/* ======   tasks_list.c   ====== */

/** Takes the list that the backend server answered with. */
gn_code_t agent_tasks_apply_list(agent_t *agent, json_t *list);

/* ======   tasks_json.c   ====== */

/** The name of @p work_class in the backend server's protocol. */
const char *agent_class_name(gn_class_t work_class);
/** The text under @p key; NULL if there is none. */
const char *agent_json_text(const json_t *json, const char *key);
/** The number under @p key; 0 if there is none, or a negative one. */
uint64_t agent_json_number(const json_t *json, const char *key);
/** Reads the state of a run; false if @p name is none. */
bool agent_parse_run_state(const char *name, gn_run_state_t *state);
/** Reads one run of a list; its strings are those of @p json. */
bool agent_parse_run(const json_t *json, gn_backend_run_t *run);
/** The number that stands for the incarnation called @p name. */
uint64_t agent_hash_incarnation(const char *name);

/* ======   tasks_actions.c   ====== */

/** Whether @p action makes a list that is under way outdated. */
bool agent_action_changes_list(const gn_action_t *action);
/** Whether @p action is meant for the backend server as it runs now. */
bool agent_action_is_current(const agent_t *agent, const gn_action_t *action);
/** Sends the next action, unless one is under way. */
void agent_tasks_send_action(agent_t *agent);

/* ======   tasks_polls.c   ====== */

/** Sends the polls that are due. */
void agent_tasks_send_polls(agent_t *agent);
/** Takes an owner's orders. */
void agent_on_task_orders(agent_link_t *link, const Gn__TaskOrders *message);

/* ======   interference.c   ====== */

/** Opens the control; it is off without a target in the settings. */
gn_code_t agent_interference_open(agent_t *agent);
/** Notes how long a request took at the backend server. */
void agent_interference_record_request(agent_t *agent, uint64_t spent_us);
/** Measures, and slows or evicts tasks if the service needs it. */
void agent_interference_tick(agent_t *agent);
/** Takes the answer to an order to throttle. */
void agent_interference_on_throttled(agent_t *agent, const gn_action_t *action,
				     const gn_http_call_t *call);
/** Whether @p task may start beside the service now. */
bool agent_interference_may_start(agent_t *agent, const gn_task_t *task);
/** Notes that @p task was admitted. */
void agent_interference_record_start(agent_t *agent, const gn_task_t *task);
/** How many of the free task @p places to offer to the entries. */
unsigned agent_interference_limit_places(const agent_t *agent, unsigned places);
/** The part of the state dump; the caller owns it. */
json_t *agent_interference_dump(const agent_t *agent);

/* ======   http.c   ====== */

/** Handles a request to the agent. */
void agent_on_http(void *arg, gn_http_request_t *request);

#endif
