/**
 * @file admit.h
 * @brief The agent's admission: the one authority on its host's capacity.
 *
 * Every request and every task starts through here. Nothing is admitted until
 * the backend server has listed what is running, and nothing while draining.
 * A refusal is evidence that the request was not run: its number is fenced, so
 * that a later copy is not started either. Control thread only; no I/O.
 */
#ifndef GN_ADMIT_ADMIT_H
#define GN_ADMIT_ADMIT_H

#include "admit/fence.h"
#include "common/str.h"

/** The admission of one agent. */
typedef struct gn_admit_s gn_admit_t;

/** What a task takes, or a host has. */
typedef struct gn_resources_s {
	uint64_t cores_milli; /**< thousandths of a core */
	uint64_t memory_mb;
	uint64_t accelerators;
} gn_resources_t;

/** The host's capacity, from the settings. */
typedef struct gn_admit_config_s {
	unsigned max_tasks; /**< 1..4096 */
	unsigned max_connections; /**< requests at once, 1..4096 */
	gn_resources_t host; /**< for tasks and requests together */
	gn_resources_t reserve; /**< kept for requests; at most the host's */
	uint64_t incarnation; /**< of this agent, not 0 */
	gn_fence_config_t fence;
} gn_admit_config_t;

/** Why something is refused or ignored. */
typedef enum gn_admit_reason_e {
	GN_ADMIT_ADMITTED = 0,
	GN_ADMIT_INCARNATION, /**< meant for another agent incarnation */
	GN_ADMIT_SESSION, /**< of an older session or none */
	GN_ADMIT_FENCED, /**< fenced or refused before */
	GN_ADMIT_UNLISTED, /**< what runs isn't known yet */
	GN_ADMIT_DRAINING,
	GN_ADMIT_CONNECTIONS, /**< all connections are taken */
	GN_ADMIT_TASKS, /**< all task places are taken */
	GN_ADMIT_CORES,
	GN_ADMIT_MEMORY,
	GN_ADMIT_ACCELERATORS,
	GN_ADMIT_TASK_RUNNING, /**< this task is already here */
	GN_ADMIT_DUPLICATE, /**< a copy of a started request: ignore it */
	GN_ADMIT_NO_PROOF, /**< may have run before: answer unknown */
	GN_ADMIT_SHORT, /**< memory is short */
	GN_ADMIT_REASON_COUNT
} gn_admit_reason_t;

/** A request that an entry dispatched. */
typedef struct gn_admit_request_s {
	uint64_t entry; /**< incarnation of the entry */
	uint64_t session; /**< that the dispatch came with */
	uint64_t agent; /**< incarnation it is meant for */
	uint64_t request; /**< number, not 0 */
} gn_admit_request_t;

/** A task. */
typedef struct gn_admit_task_s {
	gn_str_t id; /**< 1..GN_KEY_MAX bytes */
	gn_resources_t needs;
} gn_admit_task_t;

/** The state of an admission. */
typedef struct gn_admit_info_s {
	bool listed;
	bool draining;
	unsigned requests; /**< admitted and running */
	unsigned foreign; /**< running, admitted by an earlier incarnation */
	unsigned tasks;
	gn_resources_t task_use;
	size_t sessions;
	size_t remembered; /**< requests in the fence memory */
	uint64_t refused[GN_ADMIT_REASON_COUNT];
} gn_admit_info_t;

/* ======   Commands   ====== */

/** Creates an admission; NULL if short of memory or out of bounds. */
gn_admit_t *gn_admit_create(TALLOC_CTX *parent,
			    const gn_admit_config_t *config);

/**
 * Opens a session for an entry; its earlier session, if any, ends.
 * @param session set to its number, higher than any before
 * @return GN_OK, GN_ERR_CAPACITY (too many entries, all with requests
 *         running) or GN_ERR_MEMORY
 */
gn_code_t gn_admit_open_session(gn_admit_t *admit, uint64_t entry,
				uint64_t *session);

/** Ends the session of an entry. */
void gn_admit_close_session(gn_admit_t *admit, uint64_t entry);

/**
 * Notes that the backend server was asked for its list. Call it before the
 * question is sent: what ends meanwhile may or may not be on the list.
 */
void gn_admit_begin_list(gn_admit_t *admit);

/**
 * Takes the backend server's list of what was running. The first one after the
 * start or after gn_admit_lose_backend() decides which tasks there are; later
 * ones only add. A list is taken even if it is over capacity: nothing further
 * is admitted then.
 * @return GN_OK or GN_ERR_MEMORY (nothing is admitted until a whole list)
 */
gn_code_t gn_admit_take_list(gn_admit_t *admit, unsigned running_requests,
			     const gn_admit_task_t *tasks, size_t task_count);

/** Notes that the backend server went away: its next list counts anew. */
void gn_admit_lose_backend(gn_admit_t *admit);

/** Starts or ends the refusal of all new work. */
void gn_admit_set_draining(gn_admit_t *admit, bool draining);

/**
 * Admits or refuses a request; an admitted one is counted. GN_ADMIT_DUPLICATE
 * is to be ignored, GN_ADMIT_NO_PROOF answered "unknown", and all other
 * refusals "not run".
 */
gn_admit_reason_t gn_admit_ask_request(gn_admit_t *admit,
				       const gn_admit_request_t *request);

/** Uncounts an admitted request. */
void gn_admit_end_request(gn_admit_t *admit, uint64_t entry, uint64_t request);

/**
 * Fences a request.
 * @param agent the agent incarnation that it was dispatched to
 * @return true only if it is proved that it was not and will not be run here
 */
bool gn_admit_cancel_request(gn_admit_t *admit, uint64_t entry, uint64_t agent,
			     uint64_t request);

/** Admits or refuses a task; an admitted one is counted. */
gn_admit_reason_t gn_admit_ask_task(gn_admit_t *admit,
				    const gn_admit_task_t *task);

/** Uncounts a task. GN_ERR_NOT_FOUND if it isn't here. */
gn_code_t gn_admit_end_task(gn_admit_t *admit, gn_str_t id);

/* ======   Queries   ====== */

/** What a refused request is told; GN_OUTCOME_UNKNOWN without evidence. */
gn_outcome_t gn_admit_outcome(gn_admit_reason_t reason);

/** The code that goes into the answer of a refusal. */
gn_code_t gn_admit_code(gn_admit_reason_t reason);

/** The stable name of @p reason, such as "draining". */
const char *gn_admit_reason_name(gn_admit_reason_t reason);

/** The present state. */
void gn_admit_info(const gn_admit_t *admit, gn_admit_info_t *info);

#endif
