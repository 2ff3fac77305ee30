/**
 * @file sched_rig.h
 * @brief A scheduler without a network: paused clocks, orders kept in a list.
 */
#ifndef GN_TESTS_SCHED_RIG_H
#define GN_TESTS_SCHED_RIG_H

#include <glib.h>

#include "sched/sched.h"

/** Lease of the rig's configuration, milliseconds. */
#define RIG_LEASE_MS 4000
/** Longest time that a deposed leader goes on. */
#define RIG_DEPOSE_MS 5000

/** The job that rig_open_with_running_task() hands in, and its task. */
#define RIG_JOB "00000000000000aa"
#define RIG_TASK RIG_JOB ".0.0.0"

/** An order as it was sent. */
typedef struct rig_order_s {
	gn_run_order_kind_t kind;
	char host[GN_NAME_MAX + 1];
	char task[GN_TASK_NAME_SIZE];
	uint32_t attempt;
	char checkpoint[GN_NAME_MAX + 1];
	char ticket[GN_NAME_MAX + 1];
	uint32_t percent;
} rig_order_t;

/** The rig. */
typedef struct sched_rig_s {
	gn_sched_t *sched;
	gn_clock_t clock;
	gn_clock_t wall;
	GArray *orders; /**< rig_order_t, since the last rig_clear() */
	GHashTable *ends; /**< host to the number of its last end */
	uint64_t stored; /**< batches */
	char last_event[32]; /**< decision of the last event */
	int64_t last_event_list_age_ms; /**< and the age of the list that it rests on */
	unsigned asks; /**< calls to the adviser */
	char asked_step[GN_TASK_NAME_SIZE]; /**< step of the last one */
	size_t asked_lives;
} sched_rig_t;

/** One step of a job for rig_submit(). */
typedef struct rig_step_s {
	uint32_t count;
	uint32_t cpu_milli;
	uint32_t estimate_ms;
	uint32_t flags; /**< RIG_... */
	uint32_t per_worker;
	uint32_t target_ms;
	const char *image;
} rig_step_t;

/** Flags of a step. */
#define RIG_STANDING 1U
#define RIG_CHECKPOINTS 2U
#define RIG_BEST_EFFORT 4U
#define RIG_INDEPENDENT 8U /**< does not wait for the step before it */
#define RIG_GANG 16U

void rig_open(sched_rig_t *rig);
void rig_close(sched_rig_t *rig);

/** Moves both clocks on and ticks. */
void rig_advance_ms(sched_rig_t *rig, unsigned ms);
void rig_clear(sched_rig_t *rig);

/** Hands a job in whose steps follow one another; @p queue: "quick", "batch",
 * "advised".
 */
gn_sched_reply_t rig_submit(sched_rig_t *rig, const char *id, const char *queue,
			    const rig_step_t *steps, size_t count);

/** Opens the rig; a job of one task runs on host "a", life "1". */
void rig_open_with_running_task(sched_rig_t *rig, const rig_step_t *step);

/** Stores all that is dirty and takes it as durable; places before it. */
void rig_store(sched_rig_t *rig);

/** A report with a list of no runs; the worker has 4 cores. */
uint64_t rig_report(sched_rig_t *rig, const char *host, const char *life);
/** The same, with a list age of its own: a list that was not renewed. */
void rig_report_stale_list(sched_rig_t *rig, const char *host, const char *life,
			   uint32_t list_age_ms);
/** A report whose list shows @p task as running. */
void rig_report_run(sched_rig_t *rig, const char *host, const char *life,
		    const char *task, uint32_t attempt);
/** The same, of a task that serves with this tail. */
void rig_report_tail(sched_rig_t *rig, const char *host, const char *life,
		     const char *task, uint32_t attempt, uint32_t tail_ms);
/** A report whose list shows one more end. */
uint64_t rig_report_end(sched_rig_t *rig, const char *host, const char *life,
			const char *task, uint32_t attempt, gn_end_how_t how);

/** The last order of @p kind to @p task, or NULL. */
const rig_order_t *rig_find_order(const sched_rig_t *rig,
				  gn_run_order_kind_t kind, const char *task);
/** Orders of @p kind. */
unsigned rig_count_orders(const sched_rig_t *rig, gn_run_order_kind_t kind);

/** The phase of a job, which must be known. */
gn_job_phase_t rig_phase(sched_rig_t *rig, const char *id);

#endif
