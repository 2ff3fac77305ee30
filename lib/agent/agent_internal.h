/**
 * @file agent_internal.h
 * @brief Types and functions shared by the agent's source files.
 *
 * All of them are called from the control thread only.
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
/** Controls the interference of batch tasks with the service. */
typedef struct agent_interference_s agent_interference_t;

/** The agent's link to one entry. */
typedef struct agent_link_s {
	agent_t *agent;
	const char *address;
	gn_link_t *link; /**< Replaced after a timeout; NULL if that failed. */
	uint64_t session; /**< Session number, new for each link. */
	/** Incarnation of the entry; 0 until its welcome. */
	uint64_t entry_incarnation;
	gn_reconnect_t reconnect; /**< Decides when the link is replaced. */
	/** Time of the last heartbeat or hello; 0 sends one at once. */
	uint64_t heartbeat_us;
	uint64_t poll_us; /**< Time of the last task poll. */
	uint64_t sequence; /**< Sequence number of the last heartbeat. */
	/** Session number of the admission control; 0 until the welcome. */
	uint64_t admit_session;
	bool moves_blocked; /**< The entry can't move its tasks at present. */
} agent_link_t;

/** State of the backend server, from its announcements. */
typedef struct agent_backend_s {
	char address[GN_ADDRESS_MAX + 1]; /**< Empty until announced. */
	/** Incarnation of the backend server. */
	char incarnation[GN_NAME_MAX + 1];
	bool draining; /**< The backend server is shutting down gracefully. */
	bool lost; /**< The announcements have ceased. */
	uint64_t announced_us; /**< Time of the last announcement. */
	uint64_t list_asked_us; /**< Time of the last request for its list. */
	bool list_pending; /**< A request for its list is in progress. */
	/** The list may have changed since the request: action or restart. */
	bool list_outdated;
} agent_backend_t;

/** The part of the operators' configuration that concerns this worker. */
typedef struct agent_config_s {
	uint64_t revision; /**< Never decreases. */
	bool draining;
	/** Start of a drain window, seconds since 1970 UTC. */
	int64_t drain_from_s;
	/** End of the drain window, seconds since 1970 UTC. */
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

/** State of an agent process. */
struct agent_s {
	gn_runtime_t *runtime;
	gn_http_server_t *server;
	gn_http_client_t *client;
	agent_link_t *links;
	size_t link_count;
	agent_backend_t backend;
	agent_config_t config;
	agent_counters_t counters;
	gn_admit_t *admit; /**< Sole authority on the host's capacity. */
	gn_worker_tasks_t *tasks;
	/** Set of the IDs of the tasks that the admission control counts. */
	GHashTable *admitted;
	/** Action sent to the backend server, without a response yet; or
	 * NULL. */
	gn_action_t *action;
	agent_interference_t *interference;
	bool poll_soon; /**< Owners wait for a change; poll at the next tick. */
	unsigned running_requests; /**< Requests at the backend server. */
	uint32_t service_time_us; /**< Moving average; 0 if unknown. */
	/** The next measurement replaces the moving average. */
	bool service_time_outdated;
	/** Time when service_time_us was last measured or halved. */
	uint64_t service_time_set_us;
};

/* ======   links.c   ====== */

/**
 * Opens a link to each entry.
 * @return GN_OK, GN_ERR_MEMORY or GN_ERR_SYSTEM
 */
gn_code_t agent_links_open(agent_t *agent, gn_error_t *error);
/** Sends the heartbeats that are due and replaces links that timed out. */
void agent_links_tick(agent_t *agent);
/** Sends @p envelope on @p link, with the link's session. */
gn_code_t agent_link_send(agent_link_t *link, Gn__Envelope *envelope);
/** Initializes @p load with the worker's load. */
void agent_fill_load(const agent_t *agent, Gn__Load *load);

/** Whether the worker must take no new work. */
bool agent_is_draining(const agent_t *agent);

/** Whether some entry can't move its tasks to other workers at present. */
bool agent_moves_are_blocked(const agent_t *agent);

/* ======   requests.c   ====== */

/** Admits and runs, or refuses, one request. */
void agent_on_dispatch(agent_link_t *link, const Gn__Dispatch *dispatch);
/** Decays the service time while no requests are running. */
void agent_requests_tick(agent_t *agent);
/** Fences a request so that it can't start later, and sends the result. */
void agent_on_fence(agent_link_t *link, const Gn__Fence *fence);

/* ======   backend.c   ====== */

/** Whether the backend server has announced itself recently. */
bool agent_backend_is_up(const agent_t *agent);
/**
 * Whether the backend server is up and has listed what it runs, so that work
 * can be admitted.
 */
bool agent_backend_is_ready(const agent_t *agent);
/** Handles the backend server's announcement. */
void agent_on_announce(void *arg, gn_http_request_t *request, gn_str_t name);
/** Requests the list when it is due and detects a lost backend server. */
void agent_backend_tick(agent_t *agent);
/**
 * Calls the backend server.
 * @param path begins with a slash
 * @param json body of a POST, whose reference is consumed; NULL for a GET
 * @return GN_OK, or GN_ERR_MEMORY and @p done won't be called
 */
gn_code_t agent_backend_call(agent_t *agent, const char *path, json_t *json,
			     gn_http_done_t done, void *arg);

/* ======   tasks.c   ====== */

/**
 * Creates the state of tasks.
 * @return GN_OK or GN_ERR_MEMORY
 */
gn_code_t agent_tasks_open(agent_t *agent);
/** Frees what talloc doesn't own. */
void agent_tasks_close(agent_t *agent);
/** Ends expired runs, sends the next action and the polls that are due. */
void agent_tasks_tick(agent_t *agent);
/**
 * Whether no run is left to be reported to an owner and no action is in
 * progress.
 */
bool agent_tasks_are_settled(const agent_t *agent);
/** Returns what the admission control counts for a task. @p id isn't copied. */
gn_admit_task_t agent_make_admit_task(const char *id, unsigned cores,
				      unsigned memory_mb,
				      unsigned accelerators);
/** Returns the tasks for the state dump; the caller owns the reference. */
json_t *agent_tasks_dump(const agent_t *agent);

/* ======   tasks_list.c   ====== */

/**
 * Applies the list in the backend server's response.
 * @return GN_OK, GN_ERR_INVALID (malformed), GN_ERR_STALE or GN_ERR_MEMORY
 */
gn_code_t agent_tasks_apply_list(agent_t *agent, json_t *list);

/* ======   tasks_json.c   ====== */

/** Returns the name of @p work_class in the backend server's protocol. */
const char *agent_class_name(gn_class_t work_class);
/** Returns the string under @p key, owned by @p json; NULL if there is none. */
const char *agent_json_text(const json_t *json, const char *key);
/** Returns the integer under @p key; 0 if it is absent or negative. */
uint64_t agent_json_number(const json_t *json, const char *key);
/** Parses the state of a run; false if @p name is not one. */
bool agent_parse_run_state(const char *name, gn_run_state_t *state);
/**
 * Parses one run of a list; its strings are owned by @p json.
 * @return false if it is malformed
 */
bool agent_parse_run(const json_t *json, gn_backend_run_t *run);
/** Returns a number that identifies the incarnation @p name; never 0. */
uint64_t agent_hash_incarnation(const char *name);

/* ======   tasks_actions.c   ====== */

/** Whether a list requested before @p action ends is outdated by it. */
bool agent_action_changes_list(const gn_action_t *action);
/** Whether @p action is for the present incarnation of the backend server. */
bool agent_action_is_current(const agent_t *agent, const gn_action_t *action);
/** Sends the next action, unless one is in progress. */
void agent_tasks_send_action(agent_t *agent);

/* ======   tasks_polls.c   ====== */

/** Sends the polls that are due. */
void agent_tasks_send_polls(agent_t *agent);
/** Handles the orders of an entry that owns tasks. */
void agent_on_task_orders(agent_link_t *link, const Gn__TaskOrders *message);

/* ======   interference.c   ====== */

/**
 * Creates the interference control; it is off without a target in the
 * settings.
 * @return GN_OK or GN_ERR_MEMORY
 */
gn_code_t agent_interference_open(agent_t *agent);
/** Records how long a request took at the backend server. */
void agent_interference_record_request(agent_t *agent, uint64_t spent_us);
/** Measures the service; throttles or evicts tasks if its tail is too high. */
void agent_interference_tick(agent_t *agent);
/** Handles the response to a throttle action. */
void agent_interference_on_throttled(agent_t *agent, const gn_action_t *action,
				     const gn_http_call_t *call);
/** Whether @p task may start beside the service now. */
bool agent_interference_may_start(agent_t *agent, const gn_task_t *task);
/** Records that @p task was admitted. */
void agent_interference_record_start(agent_t *agent, const gn_task_t *task);
/**
 * Returns how many of the free task slots to offer to the entries.
 * @param slots number of free slots
 */
unsigned agent_interference_limit_slots(const agent_t *agent, unsigned slots);
/** Returns the part of the state dump; the caller owns the reference. */
json_t *agent_interference_dump(const agent_t *agent);

/* ======   http.c   ====== */

/** Handles an HTTP request to the agent. */
void agent_on_http(void *arg, gn_http_request_t *request);

#endif
