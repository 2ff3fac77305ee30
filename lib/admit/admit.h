/**
 * @file admit.h
 * @brief Admission control at the agent, which alone decides what its host has
 * capacity for.
 *
 * Every request and every task is admitted here before it starts. Nothing is
 * admitted before the backend server has listed what is running, nor while
 * draining. A refusal proves that the request was not run: its number is
 * fenced, so a copy that arrives later is not started either. Not thread-safe:
 * call from the control thread only. No I/O.
 */
#ifndef GN_ADMIT_ADMIT_H
#define GN_ADMIT_ADMIT_H

#include "admit/fence.h"
#include "common/str.h"

/** The admission control of one agent. */
typedef struct gn_admit_s gn_admit_t;

/** Resources that a task needs or a host has. */
typedef struct gn_resources_s {
	uint64_t cores_milli; /**< CPU in thousandths of a core. */
	uint64_t memory_mb;
	uint64_t accelerators;
} gn_resources_t;

/** Capacity of the host, from the settings. */
typedef struct gn_admit_config_s {
	unsigned max_tasks; /**< Maximum number of concurrent tasks, 1..4096. */
	/** Maximum number of concurrent requests, 1..4096. */
	unsigned max_connections;
	/** Resources of the host, for tasks and requests together. */
	gn_resources_t host;
	/**
	 * Part of the host's resources that tasks must leave to requests; at
	 * most the host's.
	 */
	gn_resources_t reserve;
	uint64_t incarnation; /**< Incarnation of this agent; not 0. */
	gn_fence_config_t fence;
} gn_admit_config_t;

/** Reason why a request or task is refused or ignored. */
typedef enum gn_admit_reason_e {
	GN_ADMIT_ADMITTED = 0,
	/** The request was sent to another incarnation of this agent. */
	GN_ADMIT_INCARNATION,
	/** The request belongs to an older session of its entry, or to none. */
	GN_ADMIT_SESSION,
	GN_ADMIT_FENCED, /**< The request was fenced or refused before. */
	/** The backend server hasn't listed what is running yet. */
	GN_ADMIT_UNLISTED,
	GN_ADMIT_DRAINING,
	GN_ADMIT_REQUESTS, /**< The maximum number of requests is running. */
	GN_ADMIT_TASKS, /**< The maximum number of tasks is running. */
	GN_ADMIT_CORES,
	GN_ADMIT_MEMORY,
	GN_ADMIT_ACCELERATORS,
	GN_ADMIT_TASK_RUNNING, /**< A task with this ID is running here. */
	/** The request was started before; ignore this copy. */
	GN_ADMIT_DUPLICATE,
	/** The request may have run before; its outcome is unknown. */
	GN_ADMIT_NO_PROOF,
	GN_ADMIT_NO_MEMORY, /**< Out of memory. */
	GN_ADMIT_REASON_COUNT
} gn_admit_reason_t;

/** A request dispatched by an entry. */
typedef struct gn_admit_request_s {
	uint64_t entry; /**< Incarnation of the entry. */
	uint64_t session; /**< Session in which the entry sent the dispatch. */
	/** Incarnation of the agent that the dispatch was sent to. */
	uint64_t agent;
	/** Request number, unique within the entry incarnation; not 0. */
	uint64_t request;
} gn_admit_request_t;

/** A task to admit. */
typedef struct gn_admit_task_s {
	gn_str_t id; /**< Task ID, 1..GN_KEY_MAX bytes. */
	gn_resources_t needs;
} gn_admit_task_t;

/** State of an admission control. */
typedef struct gn_admit_info_s {
	bool listed;
	bool draining;
	/** Requests admitted by this incarnation that are running. */
	unsigned requests;
	/**
	 * Requests admitted by an earlier incarnation that are still running.
	 */
	unsigned earlier_requests;
	unsigned tasks;
	gn_resources_t task_use;
	size_t sessions;
	size_t remembered; /**< Number of requests that the fence remembers. */
	uint64_t refused[GN_ADMIT_REASON_COUNT];
} gn_admit_info_t;

/* ======   Commands   ====== */

/**
 * Creates an admission control.
 * @return NULL if out of memory or a setting is out of range
 */
gn_admit_t *gn_admit_create(TALLOC_CTX *parent,
			    const gn_admit_config_t *config);

/**
 * Opens a session for an entry and ends its earlier one, if any.
 * @param session set to the session's number, which is higher than any before
 * @return GN_OK, GN_ERR_CAPACITY (too many entries, all with requests running)
 *         or GN_ERR_MEMORY
 */
gn_code_t gn_admit_open_session(gn_admit_t *admit, uint64_t entry,
				uint64_t *session);

/**
 * Ends the session of an entry. Requests that it sent in this session are
 * refused from then on.
 */
void gn_admit_close_session(gn_admit_t *admit, uint64_t entry);

/**
 * Records that the backend server is about to be asked for its list. Call it
 * before sending the query: what ends before the reply may or may not be on the
 * list.
 */
void gn_admit_begin_list(gn_admit_t *admit);

/**
 * Applies the backend server's list of what was running. The first list after
 * the start or after gn_admit_mark_backend_lost() replaces the known tasks;
 * later ones only add to them. A list above the capacity is applied too;
 * nothing more is admitted until enough has ended.
 * @return GN_OK or GN_ERR_MEMORY: nothing is admitted until a complete list is
 *         applied
 */
gn_code_t gn_admit_apply_list(gn_admit_t *admit, unsigned running_requests,
			      const gn_admit_task_t *tasks, size_t task_count);

/**
 * Records that the connection to the backend server was lost: nothing is
 * admitted until its next list, which replaces the known tasks.
 */
void gn_admit_mark_backend_lost(gn_admit_t *admit);

/** Starts or ends draining, which refuses all new work. */
void gn_admit_set_draining(gn_admit_t *admit, bool draining);

/**
 * Admits or refuses a request. An admitted request counts as running until
 * gn_admit_end_request(). GN_ADMIT_DUPLICATE must be ignored and
 * GN_ADMIT_NO_PROOF answered with "unknown"; all other refusals are answered
 * with "not run".
 */
gn_admit_reason_t gn_admit_start_request(gn_admit_t *admit,
					 const gn_admit_request_t *request);

/** Records the end of an admitted request. */
void gn_admit_end_request(gn_admit_t *admit, uint64_t entry, uint64_t request);

/**
 * Fences a request, so that it can't be started from now on.
 * @param agent incarnation of the agent that the request was dispatched to
 * @return true only if it is proved that the request was not and will not be
 *         run here
 */
bool gn_admit_cancel_request(gn_admit_t *admit, uint64_t entry, uint64_t agent,
			     uint64_t request);

/**
 * Admits or refuses a task. An admitted task counts as running until
 * gn_admit_end_task().
 */
gn_admit_reason_t gn_admit_start_task(gn_admit_t *admit,
				      const gn_admit_task_t *task);

/**
 * Records the end of a task.
 * @return GN_OK or GN_ERR_NOT_FOUND
 */
gn_code_t gn_admit_end_task(gn_admit_t *admit, gn_str_t id);

/* ======   Queries   ====== */

/**
 * Returns the outcome for the sender of a refused request; GN_OUTCOME_UNKNOWN
 * if the request may have run.
 */
gn_outcome_t gn_admit_outcome(gn_admit_reason_t reason);

/** Returns the error code for the response to a refusal. */
gn_code_t gn_admit_code(gn_admit_reason_t reason);

/** Returns the name of @p reason, such as "draining". It never changes. */
const char *gn_admit_reason_name(gn_admit_reason_t reason);

/** Fills @p info with the current state. */
void gn_admit_info(const gn_admit_t *admit, gn_admit_info_t *info);

#endif
