/**
 * @file sched_crash.h
 * @brief Crashes of workers, the tasks that may have caused them, and their
 *        starts in isolation.
 */
#ifndef GN_SCHED_SCHED_CRASH_H
#define GN_SCHED_SCHED_CRASH_H

#include <glib.h>

#include "crash/crash.h"
#include "job/job.h"
#include "job/life.h"
#include "sched/sched.h"

typedef struct sched_job_s sched_job_t;
typedef struct sched_task_s sched_task_t;
typedef struct sched_worker_s sched_worker_t;
/** What a report says of start calls; see sched_calls.c. */
typedef struct sched_calls_view_s sched_calls_view_t;

/** Crashes of workers under a task. */
typedef struct sched_crashes_s {
	gn_crash_record_t record;
	/** "HOST LIFE START" of the first of the workers, owned; NULL if
	 * none. */
	GPtrArray *workers;
} sched_crashes_t;

/** Run of a task on a worker that has crashed. */
typedef struct sched_crashed_run_s {
	const char *host;
	gn_life_t life;
	/** What is known of the run and of the tasks beside it; the rest is
	 * filled in by sched_crash_count(). */
	gn_crash_evidence_t evidence;
} sched_crashed_run_t;

/* ======   sched_crash.c   ====== */

/**
 * Whether a life of the worker that is over has ended by a crash, not after a
 * drain or a leave.
 */
bool sched_crash_ended_life(const sched_worker_t *worker, gn_life_t life);
/** Time for which lists have shown the task's run, ms; below 0 if none has. */
int64_t sched_crash_listed_ms(const sched_task_t *task);
/** Remembers that the present life of the worker has crashed. */
void sched_crash_note(const sched_worker_t *worker, const gn_sched_t *sched);
/** Counts a crash of a worker on which the task may have run. */
void sched_crash_count(sched_task_t *task, const sched_crashed_run_t *run);
/**
 * Counts a crash of a life of the worker for the tasks that are claimed for it.
 * @param view what the executor's report of the crash says of start calls; NULL if
 *        it has not reported the crash
 * @return number of the tasks that may have run there
 */
int64_t sched_crash_count_claims(sched_worker_t *worker, gn_life_t life,
				 const sched_calls_view_t *view);
/** Forgets the crashes of a task. */
void sched_crash_clear(sched_task_t *task);
/** Forgets that the task crashed workers in isolation, since a run has not. */
void sched_crash_clear_proofs(sched_task_t *task);
/** Withdraws the suspicion from a task whose run has lasted long enough. */
void sched_crash_clear_long_run(sched_task_t *task);
/** Whether this worker, "HOST LIFE START", has crashed under the task. */
bool sched_crash_has_worker(const sched_task_t *task, const char *worker);
/** Whether a worker of the host has crashed under the task. */
bool sched_crash_has_host(const sched_task_t *task, const char *host);
/** Verdict on the task by the crashes under it. */
gn_crash_verdict_t sched_crash_judge(const sched_task_t *task);
/** Whether the task has to be given up for the crashes it has caused. */
bool sched_crash_is_at_limit(const sched_task_t *task);
/** Returns a text on the crashes under the task; free with g_free(). */
char *sched_crash_describe(const sched_task_t *task);
/** Copies the crashes of a stored task. */
void sched_crash_load(sched_task_t *task, const Gn__TaskState *row);
void sched_crash_store(const sched_task_t *task, Gn__TaskState *row);
void sched_crash_free(sched_task_t *task);

/* ======   sched_isolate.c   ====== */

/** Ends the isolation of a claim whose run has lasted long enough. */
void sched_isolate_end_if_proven(sched_task_t *task);
/** Reserves a worker that has crashed, and so is idle when it is back. */
void sched_isolate_reserve(const gn_sched_t *sched, sched_worker_t *worker);
/** Frees the reserved workers once no task waits for them. */
void sched_isolate_release_workers(gn_sched_t *sched);

/* ======   sched_crash_events.c   ====== */

/** Returns an array for the crashes of the recent past. */
GArray *sched_crash_create_events(void);
/** Returns "HOST LIFE START"; free with g_free(). */
char *sched_crash_name_worker(const char *host, gn_life_t life);
/**
 * Remembers the crash of a worker's life for a while.
 * @param attended a task that had just begun may have caused it
 */
void sched_crash_add_event(const gn_sched_t *sched, const char *host,
			   gn_life_t life, bool attended);
/**
 * Remembers that a worker may have crashed before this leader's time, since its
 * life has begun lately.
 */
void sched_crash_infer_event(const gn_sched_t *sched, const char *host,
			     gn_life_t life);
/** Marks the crashes under a task as caused by it. */
void sched_crash_explain_events(const sched_task_t *cause);
/** Fills in the crashes that were not under the task. */
void sched_crash_add_fleet_evidence(const sched_task_t *task, const char *host,
				    gn_crash_evidence_t *evidence);

#endif
