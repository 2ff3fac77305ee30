/**
 * @file sched.h
 * @brief The decisions of the leading scheduler: jobs, tasks, workers, claims.
 *
 * No I/O: calls and reports come in as function calls, orders go out through
 * a table, and what must be stored is taken from here in batches and given
 * back once it is durable. Time is read from two clocks that tests pause.
 *
 * The rule that everything hangs on: a task is bound to a worker by a claim.
 * A start is ordered only once its claim is durable, and a claim is given up
 * only when its run has surely ended: by an end that the worker lists, by a
 * new life of the worker, by a stop that the worker has confirmed, or by the
 * end of the longest lease that the worker can hold. A worker forgets an end
 * only once what it means is durable.
 */
#ifndef GN_SCHED_SCHED_H
#define GN_SCHED_SCHED_H

#include <talloc.h>

#include "common/clock.h"
#include "job/job.h"
#include "queue/queue.h"
#include "wire/gypsumnotch.pb-c.h"

typedef struct gn_sched_s gn_sched_t;

/** An order to the executor beside a worker. */
typedef struct gn_run_order_s {
	gn_run_order_kind_t kind;
	const char *task;
	uint32_t attempt;
	const char *life; /**< of the worker; another life must refuse */
	gn_str_t payload; /**< start */
	const char *checkpoint; /**< start; may be empty */
	const char *ticket; /**< start; may be empty */
	uint32_t percent; /**< pace */
} gn_run_order_t;

/** A decision, for the log. Members that do not apply are NULL or 0. */
typedef struct gn_sched_event_s {
	const char *what; /**< such as "claim" */
	const char *job;
	const char *task;
	uint32_t attempt;
	const char *host;
	const char *life;
	const char *why;
	int64_t value; /**< its meaning goes with what */
	/** Of the worker's list that was known, ms; below 0: there was none. */
	int64_t list_age_ms;
} gn_sched_event_t;

/** What the scheduler asks of its surroundings. */
typedef struct gn_sched_ops_s {
	/** Sends an order; it may be lost, then it is sent again. */
	void (*order)(void *arg, const char *host, const gn_run_order_t *order);
	/** All of @p job up to @p version is durable. */
	void (*durable)(void *arg, const char *job, uint64_t version);
	/** Writes one line; may drop it. */
	void (*event)(void *arg, const gn_sched_event_t *event);
	/**
	 * Asks the adviser which of @p lives may run the tasks of @p step,
	 * "JOB.OCCURRENCE.STEP"; gn_sched_advise() takes the answer.
	 */
	void (*ask)(void *arg, const char *step, const char *const *lives,
		    size_t count);
} gn_sched_ops_t;

/** Times and limits, from the settings. */
typedef struct gn_sched_config_s {
	/** Lease that an executor may give its worker, counted from the
	 * report that was answered, milliseconds. */
	unsigned lease_ms;
	/** Longest time that a deposed leader goes on answering reports. */
	unsigned depose_ms;
	/** A finished job is told of for at least this long. */
	unsigned retain_ms;
	/** A stop takes at most this long at a worker. */
	unsigned stop_ms;
	/** An occurrence may start this much ahead of its time. */
	unsigned early_ms;
	/** How many times longer a task takes away from its data's rack. */
	double far_factor;
	/** Time that it takes a task to resume from a checkpoint. */
	unsigned restore_ms;
	/** A serving task may be over its target for this long. */
	unsigned harm_ms;
	/** A pace takes this long to work. */
	unsigned pace_ms;
	/** The system's own absences of serving tasks are counted so long. */
	unsigned notice_ms;
} gn_sched_config_t;

/** Creates one without jobs and workers. @p clock and @p wall outlive it. */
gn_sched_t *gn_sched_create(TALLOC_CTX *parent, const gn_sched_config_t *config,
			    const gn_clock_t *clock, const gn_clock_t *wall,
			    const gn_sched_ops_t *ops, void *arg);

/** Takes a configuration, which must outlive the scheduler or the next one. */
void gn_sched_configure(gn_sched_t *sched, const gn_queues_t *queues);

/* ======   Callers   ====== */

/** The answer to a caller's request. */
typedef struct gn_sched_reply_s {
	gn_job_result_t result;
	gn_job_phase_t phase;
	uint64_t waiting;
	unsigned retry_after_ms; /**< refused */
	const char *reason; /**< refused; static text */
	/** To be told only once this version of the job is durable; 0: now. */
	uint64_t version;
} gn_sched_reply_t;

/**
 * Takes a job. A job that is known already is accepted again, unchanged.
 * @param spec owned by the scheduler if it is a new job, else freed
 */
gn_sched_reply_t gn_sched_submit(gn_sched_t *sched, Gn__JobSpec *spec);

/** Tells the state of a job. */
gn_sched_reply_t gn_sched_state(gn_sched_t *sched, const char *job);

/** Cancels a job. */
gn_sched_reply_t gn_sched_cancel(gn_sched_t *sched, const char *job);

/** Counts the jobs of a queue of which no task has started. */
gn_sched_reply_t gn_sched_count_waiting(gn_sched_t *sched, const char *queue);

/* ======   Workers   ====== */

/**
 * Takes a report of an executor.
 * @return the ends of the worker's life, up to which all are durable
 */
uint64_t gn_sched_report(gn_sched_t *sched, const Gn__WorkerReport *report);

/** Up to which end of its present life all of @p host's ends are durable. */
uint64_t gn_sched_ends_stored(const gn_sched_t *sched, const char *host,
			      const char **life);

/* ======   Advice   ====== */

/** A worker that may run a step. */
typedef struct gn_sched_ticket_s {
	const char *life;
	const char *ticket;
} gn_sched_ticket_t;

/**
 * Takes the adviser's answer.
 * @param tickets of the workers that may run it; the others that were asked
 *        about may not
 * @param valid_ms from when it was asked; 0: there was no answer, ask later
 */
void gn_sched_advise(gn_sched_t *sched, const char *step,
		     const gn_sched_ticket_t *tickets, size_t count,
		     unsigned valid_ms);

/* ======   Time   ====== */

/** Ends what is over, sends again what was lost; some times a second. */
void gn_sched_tick(gn_sched_t *sched);

/** Places what can be placed; after any of the calls above. */
void gn_sched_pass(gn_sched_t *sched);

/* ======   Storage   ====== */

/** A write that must become durable. */
typedef struct gn_sched_write_s {
	const char *job; /**< its id; lives until the batch ends */
	bool remove; /**< the job is to be forgotten */
	bool whole; /**< with its spec: the first write of a job */
	/** Of no job: what has been learned of pairs of images. */
	bool learned;
	/** Packed JobState, JobRecord if whole, Disturbances if learned;
	 * free(). */
	uint8_t *value;
	size_t len;
} gn_sched_write_t;

/** Whether anything waits to be stored. */
bool gn_sched_is_dirty(const gn_sched_t *sched);

/**
 * Takes up to @p max writes for one batch; the next batch may be taken only
 * when this one has ended.
 * @return how many
 */
size_t gn_sched_take_writes(gn_sched_t *sched, gn_sched_write_t *writes,
			    size_t max);

/** The batch is durable. */
void gn_sched_written(gn_sched_t *sched);

/** The batch was surely not stored; its jobs are dirty again. */
void gn_sched_not_written(gn_sched_t *sched);

/**
 * Takes a job from the store, before the first call.
 * @param spec owned by the scheduler on GN_OK
 * @return GN_OK, or GN_ERR_INVALID: spec and state do not fit each other
 */
gn_code_t gn_sched_load(gn_sched_t *sched, Gn__JobSpec *spec,
			const Gn__JobState *state);

/**
 * Takes what a predecessor has learned of pairs of images.
 * @return GN_OK, or GN_ERR_INVALID
 */
gn_code_t gn_sched_load_learned(gn_sched_t *sched, const uint8_t *data,
				size_t len);

/** All jobs are loaded: claims are binding from now on. */
void gn_sched_loaded(gn_sched_t *sched);

/* ======   Figures   ====== */

/** What the scheduler holds, for metrics and the dump. */
typedef struct gn_sched_figures_s {
	size_t jobs;
	size_t active_jobs;
	size_t workers; /**< that were heard of lately */
	size_t claims;
	size_t waiting_tasks; /**< that may start */
} gn_sched_figures_t;

gn_sched_figures_t gn_sched_figures(const gn_sched_t *sched);

#endif
