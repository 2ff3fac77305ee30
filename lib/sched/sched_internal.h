/**
 * @file sched_internal.h
 * @brief What the modules of the scheduler share.
 */
#ifndef GN_SCHED_SCHED_INTERNAL_H
#define GN_SCHED_SCHED_INTERNAL_H

#include <glib.h>

#include "sched/disturb.h"
#include "sched/place.h"
#include "sched/rank.h"
#include "sched/sched.h"

/** An order without an answer is sent again after this long. */
#define SCHED_RESEND_US (300 * GN_US_PER_MS)
/** A worker whose executor was silent for longer gets no new tasks. */
#define SCHED_REPORT_TIMEOUT_US (1200 * GN_US_PER_MS)
/** One that has refused a task for want of room gets none for so long. */
#define SCHED_FULL_BACKOFF_US (200 * GN_US_PER_MS)
/** Executors lengthen no lease on readings of the clock older than this. */
#define SCHED_CLOCK_READING_MAX_US (1000 * GN_US_PER_MS)
/** Share by which a worker's clock may be slow, as a divisor. */
#define SCHED_CLOCK_DRIFT_DIVISOR 50
/** Added to every lease before it counts as over, for delays in processing. */
#define SCHED_LEASE_MARGIN_US (200 * GN_US_PER_MS)

typedef struct sched_job_s sched_job_t;
typedef struct sched_worker_s sched_worker_t;

/* ======   Tasks   ====== */

/** A task. */
typedef struct sched_task_s {
	sched_job_t *job;
	uint32_t number;
	uint32_t unit; /**< index of its occurrence's step in the job */
	gn_task_status_t status;
	uint32_t attempt; /**< of the last claim */
	uint32_t failed; /**< attempts that count against the limit */
	char *checkpoint; /**< g_free(); NULL: none */

	sched_worker_t *worker; /**< claimed: where */
	const char *life; /**< claimed: interned; of the worker there */
	uint64_t claim_version; /**< of the job, that the claim is part of */
	bool start_sent; /**< a start was sent */
	bool restored; /**< by a predecessor: it may be running */
	bool listed; /**< the worker's list shows the run */
	bool stopping; /**< a stop is to be sent until the run has ended */
	uint64_t order_us; /**< when the last order was sent */
	uint64_t listed_us; /**< when it was first listed */
	uint64_t claimed_us;
	uint32_t percent; /**< pace that it was told, 0 to 100 */
	uint32_t gauge; /**< of the last list */
	uint32_t gauge_before; /**< of the list before */
	const char *image; /**< interned */
	uint64_t slow_since_us; /**< since when its pace is low; 0: it is not */
	uint64_t
		very_slow_since_us; /**< since when it is very low; 0: it is not */
	uint32_t moves; /**< to a worker where it would be faster */
} sched_task_t;

/** A step of one occurrence: the unit in which tasks become ready. */
typedef struct sched_unit_s {
	const Gn__JobStep *step;
	uint32_t step_number;
	uint32_t occurrence;
	uint32_t first; /**< number of its first task */
	uint32_t waiting; /**< tasks that are GN_TASK_WAITING */
	uint32_t done;
	bool ready; /**< all steps before it are done, and it is due */
	uint64_t waiting_us; /**< when a task of it last began to wait */
	struct sched_advice_s *advice; /**< NULL: nothing was asked yet */
	uint32_t search_from; /**< where the search for a waiting task begins */
	gn_headroom_t baseline; /**< of its tasks, if these serve */
} sched_unit_t;

/** A job. */
struct sched_job_s {
	gn_sched_t *sched;
	Gn__JobSpec *spec;
	gn_job_phase_t phase;
	uint64_t accepted_ms; /**< since 1970 */
	uint64_t accepted_us; /**< on the clock */
	uint64_t finished_us;
	sched_task_t *tasks;
	uint32_t task_count;
	sched_unit_t *units;
	uint32_t unit_count;
	uint32_t done;
	uint32_t claimed;
	uint64_t deadline_us; /**< in time until then, on the clock */
	unsigned priority;
	gn_rank_t rank; /**< while tasks of it wait; as of the last pass */
	unsigned max_attempts;
	bool advised; /**< its starts need tickets */
	const char *service; /**< interned */
	GPtrArray *pending_starts; /**< tasks whose start waits for its claim */

	uint64_t version; /**< of the state in memory */
	uint64_t writing_version; /**< in the batch that is being stored */
	uint64_t durable_version;
	bool dirty;
	bool stored; /**< its spec has been stored */
	bool removing; /**< to be deleted in the store */
	uint32_t pending_ends; /**< ends of workers that wait for it */
};

/* ======   Workers   ====== */

/** An end that a worker still lists. */
typedef struct sched_end_s {
	uint64_t number;
	sched_job_t *job; /**< NULL: nothing has to be stored */
	uint64_t version;
} sched_end_t;

/** A host with a worker, or with claims of one that was not heard of yet. */
struct sched_worker_s {
	char *host;
	const char *life; /**< interned; empty: not heard of */
	uint64_t born_ms;
	char *service;
	char *data_centre;
	char *rack;
	char *machine;
	char **labels;
	bool draining;
	gn_room_t capacity;
	gn_room_t used; /**< by claims */
	gn_room_t orphans; /**< by listed runs without a claim */
	GPtrArray *claims; /**< sched_task_t */
	uint32_t serving; /**< claims with a latency target */
	uint32_t serving_milli; /**< processors set aside for these */
	uint32_t best_effort;
	uint32_t best_effort_milli; /**< processors that these could use */
	uint64_t last_report_us; /**< last report; 0: never */
	/** No lease can outlast either: by the last report, by the last list. */
	uint64_t report_expiry_us;
	uint64_t list_expiry_us;
	uint64_t
		last_list_us; /**< when its worker last gave a list; 0: never */
	bool has_listed; /**< a list of its life has been taken */
	uint64_t full_until_us; /**< gets no tasks before */
	GQueue ends; /**< sched_end_t, in the order of their numbers */
	uint64_t ends_seen;
	uint64_t ends_durable;
	gn_health_t health;
	uint64_t
		over_target_since_us; /**< since when a tail is over its target; 0: none */
	uint64_t cleared_since_us; /**< and nothing fills; 0: something does */
};

/* ======   The scheduler   ====== */

struct gn_sched_s {
	gn_sched_config_t config;
	const gn_clock_t *clock;
	const gn_clock_t *wall;
	const gn_sched_ops_t *ops;
	void *arg;
	const gn_queues_t *queues;
	GHashTable *jobs; /**< id to sched_job_t */
	GHashTable *workers; /**< host to sched_worker_t */
	GPtrArray *active; /**< jobs that are not finished, or have claims */
	gn_interference_t *interference;
	GQueue dirty; /**< jobs to be stored */
	GPtrArray *writing; /**< jobs in the batch */
	size_t claims;
	bool changed; /**< something that placing depends on */
	uint64_t pass_due_us; /**< no pass before */
	bool learned; /**< from tails, since that was last stored */
	uint64_t learned_due_us; /**< not stored before */
};

uint64_t sched_now_us(const gn_sched_t *sched);
uint64_t sched_wall_ms(const gn_sched_t *sched);

/** Reports a decision on a task. */
void sched_emit_task_event(const gn_sched_t *sched, const char *what,
			   const sched_task_t *task, const char *why,
			   int64_t value);

/* ======   sched_job.c   ====== */

/** Builds a job from its spec, which it then owns. */
sched_job_t *sched_job_create(gn_sched_t *sched, Gn__JobSpec *spec,
			      uint64_t accepted_ms);
void sched_job_free(sched_job_t *job);
/** Takes over the limits of its queue from the configuration. */
void sched_job_configure(sched_job_t *job);
/** Has the job stored; returns the version that will be. */
uint64_t sched_job_mark_dirty(sched_job_t *job);
bool sched_job_is_finished(const sched_job_t *job);
/** Brings the job's place among the others up to date. */
void sched_job_update_rank(sched_job_t *job, uint64_t now_us);
/** Makes steps ready whose turn has come. */
void sched_job_update_units(sched_job_t *job);
/** Ends a job: stops what runs of it. */
void sched_job_finish(sched_job_t *job, gn_job_phase_t phase, const char *why);
/** Counts a task as done, and its job as completed with the last one. */
void sched_job_task_done(sched_task_t *task);
/** Forgets jobs that finished long ago. */
void sched_jobs_expire(gn_sched_t *sched);

/* ======   sched_claim.c   ====== */

/** The room that a task of @p step takes on a worker. */
gn_room_t sched_step_room(const Gn__JobStep *step);
/** Binds a waiting task to a worker, under @p attempt. */
void sched_claim(sched_task_t *task, sched_worker_t *worker, uint32_t attempt);
/** Binds a task to a worker as the store has it. */
void sched_claim_restore(sched_task_t *task, sched_worker_t *worker,
			 const char *life);
/** Gives up the claim of a run that has surely ended; the task waits again. */
void sched_release_claim(sched_task_t *task, const char *why);
/** The claim's run has ended as done; the task does not wait again. */
void sched_complete_claim(sched_task_t *task);
/** Has the run of a claim stopped. */
void sched_stop(sched_task_t *task, const char *why);
/** Sends the order that the claim calls for, if it is time to. */
void sched_send_due_order(sched_task_t *task);
/** Sends the starts of a job whose claims have become durable. */
void sched_job_send_starts(sched_job_t *job);
/** Keeps the newest checkpoint of a run; an empty one changes nothing. */
void sched_set_checkpoint(sched_task_t *task, const char *checkpoint);
/** The run of a claim has begun. */
void sched_mark_started(sched_task_t *task);
/** A run of a claim has ended; @p checkpoint may be empty. */
void sched_handle_end(sched_task_t *task, gn_end_how_t how,
		      const char *checkpoint);

/** The last run of a task that waits again has ended as done. */
void sched_handle_late_done(sched_task_t *task);

/* ======   sched_gang.c   ====== */

bool sched_is_gang(const sched_task_t *task);
/** One member's run is over: stops the others. */
void sched_gang_stop(sched_task_t *task, const char *why);
/** One member has ended as done: so have all. */
void sched_gang_complete(sched_task_t *task);
/** Failed attempts of the whole gang. */
uint32_t sched_gang_failures(const sched_task_t *task);
/** A member's checkpoint is that of all. */
void sched_gang_set_checkpoint(sched_task_t *task, const char *checkpoint);

/* ======   sched_advice.c   ====== */

/** Whether a worker has a valid ticket for the unit, or needs none. */
bool sched_advice_allows(const sched_job_t *job, const sched_unit_t *unit,
			 const sched_worker_t *worker);
/** The ticket for the worker's life; empty: none. */
const char *sched_advice_ticket(const sched_job_t *job,
				const sched_unit_t *unit, const char *life);
/** Asks about workers without a ticket, if the unit has tasks that wait. */
void sched_advice_ask(gn_sched_t *sched, sched_job_t *job, sched_unit_t *unit);
/** The worker has refused the ticket. */
void sched_advice_drop_ticket(const sched_task_t *task);
void sched_advice_free(struct sched_advice_s *advice);

/* ======   sched_worker.c   ====== */

/** The worker of @p host, created if there is none. */
sched_worker_t *sched_worker_get(gn_sched_t *sched, const char *host);
void sched_worker_free(gpointer worker);
/** Gives up the claims of workers whose leases are over. */
void sched_expire_leases(gn_sched_t *sched);
/** Passes the ends that have become durable. */
void sched_worker_retire_ends(sched_worker_t *worker);
/** Whether it was heard of lately. */
bool sched_worker_is_live(const gn_sched_t *sched,
			  const sched_worker_t *worker);
/** Whether its worker gave a list lately. */
bool sched_worker_has_fresh_list(const gn_sched_t *sched,
				 const sched_worker_t *worker);
/** Age of the worker's last list, ms; below 0: none, or no worker. */
int64_t sched_list_age_ms(const gn_sched_t *sched,
			  const sched_worker_t *worker);
/** Whether it may be given any tasks. */
bool sched_worker_accepts_tasks(const gn_sched_t *sched,
				const sched_worker_t *worker);
/** Whether it may be given tasks of @p step, as far as room goes not. */
bool sched_worker_is_eligible(const gn_sched_t *sched,
			      const sched_worker_t *worker,
			      const sched_job_t *job, const Gn__JobStep *step);

/* ======   sched_pace.c   ====== */

/** Learns from the tails of a new list what fills does to what serves. */
void sched_learn_from_worker(gn_sched_t *sched, sched_worker_t *worker);
/** Paces what fills on a worker by the tails of what serves there. */
void sched_pace_worker(gn_sched_t *sched, sched_worker_t *worker);
#endif
