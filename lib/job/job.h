/**
 * @file job.h
 * @brief Jobs, steps and tasks: enumerations, limits, task names and numbers.
 *
 * A job has one or more steps, a step one or more tasks. A job with repeats
 * runs all its steps once per occurrence. Tasks are numbered consecutively
 * over all occurrences: the tasks of occurrence 0 step by step, then those of
 * occurrence 1, and so on.
 */
#ifndef GN_JOB_JOB_H
#define GN_JOB_JOB_H

#include <stdbool.h>

#include "common/error.h"
#include "job/job.pb-c.h"

/* ======   Limits   ====== */

/** Number of hexadecimal digits in a job ID. */
#define GN_JOB_ID_LEN 16
/** Maximum number of steps in a job. */
#define GN_JOB_STEPS_MAX 256
/** Maximum number of tasks in a job over all occurrences. */
#define GN_JOB_TASKS_MAX 20000
/** Maximum size of a payload, bytes. */
#define GN_JOB_PAYLOAD_MAX 65536
/** Buffer size for a task name with its terminator. */
#define GN_TASK_NAME_SIZE 64

/* ======   Enumerations   ====== */

/** Phase of a job. */
typedef enum gn_job_phase_e {
	GN_JOB_QUEUED = 0, /**< No task has started. */
	GN_JOB_RUNNING,
	GN_JOB_COMPLETED, /**< All tasks are done. */
	GN_JOB_FAILED, /**< A task has reached its attempt limit. */
	GN_JOB_CANCELLED,
	GN_JOB_PHASE_COUNT
} gn_job_phase_t;

/** State of a task. */
typedef enum gn_job_task_state_e {
	GN_JOB_TASK_WAITING = 0,
	GN_JOB_TASK_CLAIMED, /**< Bound to a worker and possibly running. */
	GN_JOB_TASK_DONE
} gn_job_task_state_t;

/** How a run ended. */
typedef enum gn_end_kind_e {
	GN_END_DONE = 0,
	GN_END_FAILED, /**< Failure of the run or of the worker. */
	GN_END_STOPPED, /**< Stopped by an order. */
	GN_END_LEASE_EXPIRED, /**< The worker's lease expired. */
	GN_END_GANG_BROKEN, /**< Another member of the gang ended. */
	/** The rest of the gang did not start in time. */
	GN_END_GANG_INCOMPLETE,
	GN_END_KIND_COUNT
} gn_end_kind_t;

/** Request of a caller. */
typedef enum gn_job_call_kind_e {
	GN_CALL_SUBMIT = 0,
	GN_CALL_STATE,
	GN_CALL_CANCEL,
	GN_CALL_COUNT_WAITING,
	GN_CALL_KIND_COUNT
} gn_job_call_kind_t;

/** Result of a caller's request. */
typedef enum gn_job_result_e {
	GN_RESULT_OK = 0,
	GN_RESULT_NOT_FOUND, /**< No such job. */
	GN_RESULT_REFUSED, /**< Submit: certainly not accepted; retry later. */
	GN_RESULT_NOT_LEADER, /**< Certainly not done; ask another scheduler. */
	GN_RESULT_UNKNOWN, /**< The request may have taken effect. */
	GN_RESULT_INVALID, /**< The request is malformed. */
	GN_RESULT_NO_QUEUE, /**< No such queue. */
	GN_RESULT_COUNT
} gn_job_result_t;

/** Kind of an order to a worker. */
typedef enum gn_run_order_kind_e {
	GN_RUN_ORDER_START = 0,
	GN_RUN_ORDER_STOP,
	GN_RUN_ORDER_PACE, /**< Sets the speed of a best-effort run. */
	GN_RUN_ORDER_KIND_COUNT
} gn_run_order_kind_t;

/** Outcome of an order. A start with any outcome but the first cannot take
 * effect any more, also if it is ordered again. */
typedef enum gn_run_order_outcome_e {
	/** The run is active or has been. */
	GN_ORDER_OUTCOME_STARTED = 0,
	/** Certainly not started: lack of resources. */
	GN_ORDER_OUTCOME_NO_ROOM,
	/** The run has ended or was stopped before. */
	GN_ORDER_OUTCOME_ENDED,
	/** Certainly not started: other reason. */
	GN_ORDER_OUTCOME_NOT_STARTED,
	/** Certainly not started: no valid ticket. */
	GN_ORDER_OUTCOME_NO_TICKET,
	/** No worker can start it. */
	GN_ORDER_OUTCOME_MALFORMED,
	/** Stop: the run is not in the worker's list. */
	GN_ORDER_OUTCOME_GONE,
	/** The worker's life is over, whether the run had begun or not. */
	GN_ORDER_OUTCOME_LIFE_ENDED,
	/** Certainly not started: the data centre is evacuated. */
	GN_ORDER_OUTCOME_EVACUATED,
	GN_ORDER_OUTCOME_COUNT
} gn_run_order_outcome_t;

/** Stable names for logs and dumps; "?" for a value out of range. */
const char *gn_job_phase_name(gn_job_phase_t phase);
const char *gn_end_kind_name(gn_end_kind_t how);
const char *gn_job_call_name(gn_job_call_kind_t kind);
const char *gn_job_result_name(gn_job_result_t result);
const char *gn_run_order_kind_name(gn_run_order_kind_t kind);
const char *gn_run_order_outcome_name(gn_run_order_outcome_t outcome);

/* ======   Checks   ====== */

/** Whether @p id has the form of a job ID. */
bool gn_job_is_id(gn_str_t id);

/**
 * Validates a job from a caller or from the store.
 * @param error receives the reason of a failure; may be NULL
 * @return GN_OK, GN_ERR_INVALID or GN_ERR_RANGE
 */
gn_code_t gn_job_check(const Gn__JobSpec *spec, gn_error_t *error);

/* ======   Tasks   ====== */

/** Position of a task in its job. */
typedef struct gn_task_position_s {
	uint32_t occurrence;
	uint32_t step;
	uint32_t index; /**< Index within the step. */
} gn_task_position_t;

/** Number of occurrences of the job, at least 1. */
uint32_t gn_job_occurrences(const Gn__JobSpec *spec);

/** Number of tasks in one occurrence. */
uint32_t gn_job_tasks_per_occurrence(const Gn__JobSpec *spec);

/** Returns the position of task @p number. */
gn_task_position_t gn_job_locate_task(const Gn__JobSpec *spec, uint32_t number);

/** Returns the number of the first task of @p step in @p occurrence. */
uint32_t gn_job_first_task(const Gn__JobSpec *spec, uint32_t occurrence,
			   uint32_t step);

/** Formats the name of task @p number as "ID.OCCURRENCE.STEP.INDEX". */
void gn_task_format_name(const Gn__JobSpec *spec, uint32_t number,
			 char name[GN_TASK_NAME_SIZE]);

/**
 * Parses a task name.
 * @param id receives the job ID with its terminator
 * @return GN_OK or GN_ERR_INVALID
 */
gn_code_t gn_task_parse_name(const char *name, char id[GN_JOB_ID_LEN + 1],
			     gn_task_position_t *place);

#endif
