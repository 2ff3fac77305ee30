/**
 * @file job.h
 * @brief Jobs of steps and tasks: words, bounds, task names and numbers.
 *
 * A job has one or more steps, a step one or more tasks. A job with repeats
 * runs all its steps once for each occurrence. Tasks are numbered over all
 * occurrences: those of occurrence 0 step by step, then those of occurrence 1.
 */
#ifndef GN_JOB_JOB_H
#define GN_JOB_JOB_H

#include <stdbool.h>

#include "common/error.h"
#include "job/job.pb-c.h"

/* ======   Bounds   ====== */

/** Digits of a job's id. */
#define GN_JOB_ID_LEN 16
/** Most steps of a job. */
#define GN_JOB_STEPS_MAX 256
/** Most tasks of a job over all occurrences. */
#define GN_JOB_TASKS_MAX 20000
/** Longest payload, bytes. */
#define GN_JOB_PAYLOAD_MAX 65536
/** Size of a task's name with its terminator. */
#define GN_TASK_NAME_SIZE 64

/* ======   Words   ====== */

/** What has become of a job. */
typedef enum gn_job_phase_e {
	GN_JOB_QUEUED = 0, /**< no task has started */
	GN_JOB_RUNNING,
	GN_JOB_COMPLETED, /**< all tasks are done */
	GN_JOB_FAILED, /**< a task used up its attempts */
	GN_JOB_CANCELLED,
	GN_JOB_PHASE_COUNT
} gn_job_phase_t;

/** What has become of a task. */
typedef enum gn_task_status_e {
	GN_TASK_WAITING = 0,
	GN_TASK_CLAIMED, /**< bound to a worker, may run there */
	GN_TASK_DONE
} gn_task_status_t;

/** How a run ended. */
typedef enum gn_end_how_e {
	GN_END_DONE = 0,
	GN_END_FAILED, /**< by its own or the worker's fault */
	GN_END_STOPPED, /**< by our order */
	GN_END_LAPSED, /**< its lease ran out */
	GN_END_BROKEN, /**< another member of its gang ended */
	GN_END_ALONE, /**< the rest of its gang did not come in time */
	GN_END_HOW_COUNT
} gn_end_how_t;

/** What a caller asks about a job. */
typedef enum gn_job_call_kind_e {
	GN_CALL_SUBMIT = 0,
	GN_CALL_STATE,
	GN_CALL_CANCEL,
	GN_CALL_COUNT_WAITING,
	GN_CALL_KIND_COUNT
} gn_job_call_kind_t;

/** The answer to a caller. */
typedef enum gn_job_result_e {
	GN_RESULT_OK = 0,
	GN_RESULT_NOT_FOUND, /**< no such job */
	GN_RESULT_REFUSED, /**< submit: surely not accepted; come back later */
	GN_RESULT_NOT_LEADER, /**< surely not done: ask another scheduler */
	GN_RESULT_UNKNOWN, /**< may have been done */
	GN_RESULT_INVALID, /**< the request is malformed */
	GN_RESULT_NO_QUEUE, /**< no such queue */
	GN_RESULT_COUNT
} gn_job_result_t;

/** An order to a worker. */
typedef enum gn_run_order_kind_e {
	GN_RUN_ORDER_START = 0,
	GN_RUN_ORDER_STOP,
	GN_RUN_ORDER_PACE,
	GN_RUN_ORDER_KIND_COUNT
} gn_run_order_kind_t;

/** What became of an order. */
typedef enum gn_run_order_verdict_e {
	GN_VERDICT_STARTED = 0, /**< it runs, or did */
	GN_VERDICT_NO_ROOM, /**< surely not started: no room there */
	GN_VERDICT_ENDED, /**< this run has ended or was stopped before */
	GN_VERDICT_NOT_STARTED, /**< surely not started, for another reason */
	GN_VERDICT_NO_TICKET, /**< surely not started: no valid ticket */
	GN_VERDICT_MALFORMED, /**< can't be started anywhere */
	GN_VERDICT_GONE, /**< stopped; it is not in the worker's list */
	GN_VERDICT_COUNT
} gn_run_order_verdict_t;

/** The stable names, for logs and dumps. */
const char *gn_job_phase_name(gn_job_phase_t phase);
const char *gn_end_how_name(gn_end_how_t how);
const char *gn_job_call_name(gn_job_call_kind_t kind);
const char *gn_job_result_name(gn_job_result_t result);
const char *gn_run_order_kind_name(gn_run_order_kind_t kind);
const char *gn_run_order_verdict_name(gn_run_order_verdict_t verdict);

/* ======   Checks   ====== */

/** Whether @p id has the form of a job's id. */
bool gn_job_is_id(gn_str_t id);

/**
 * Checks a job from a caller or from the store.
 * @return GN_OK, GN_ERR_INVALID or GN_ERR_RANGE with the reason in @p error
 */
gn_code_t gn_job_check(const Gn__JobSpec *spec, gn_error_t *error);

/* ======   Tasks   ====== */

/** Where a task stands in its job. */
typedef struct gn_task_position_s {
	uint32_t occurrence;
	uint32_t step;
	uint32_t index; /**< within the step */
} gn_task_position_t;

/** Occurrences of the job, at least 1. */
uint32_t gn_job_occurrences(const Gn__JobSpec *spec);

/** Tasks of one occurrence. */
uint32_t gn_job_tasks_per_occurrence(const Gn__JobSpec *spec);

/** Where task @p number stands. */
gn_task_position_t gn_job_locate_task(const Gn__JobSpec *spec, uint32_t number);

/** The number of the first task of @p step in @p occurrence. */
uint32_t gn_job_first_task(const Gn__JobSpec *spec, uint32_t occurrence,
			   uint32_t step);

/** Writes the name of task @p number, "ID.OCCURRENCE.STEP.INDEX". */
void gn_task_format_name(const Gn__JobSpec *spec, uint32_t number,
			 char name[GN_TASK_NAME_SIZE]);

/**
 * Splits a task's name.
 * @param id receives the job's id, GN_JOB_ID_LEN bytes and a terminator
 * @return GN_OK or GN_ERR_INVALID
 */
gn_code_t gn_task_parse_name(const char *name, char id[GN_JOB_ID_LEN + 1],
			     gn_task_position_t *place);

#endif
