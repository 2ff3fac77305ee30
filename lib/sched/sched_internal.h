/**
 * @file sched_internal.h
 * @brief Types and functions shared by the modules of the scheduler.
 */
#ifndef GN_SCHED_SCHED_INTERNAL_H
#define GN_SCHED_SCHED_INTERNAL_H

#include <glib.h>

#include "evacuation/cold.h"
#include "estimate/estimate.h"
#include "hold/calls.h"
#include "occurrence/occurrence.h"
#include "queue/queue_record.h"
#include "sched/backlog.h"
#include "sched/interference.h"
#include "sched/place.h"
#include "sched/rank.h"
#include "sched/sched_crash.h"
#include "sched/feasibility.h"
#include "sched/sched.h"
#include "sharing/sharing.h"

/** Time after which an unanswered order is sent again. */
#define SCHED_RESEND_US (300 * GN_US_PER_MS)
/** A worker gets no new tasks if its last report or list is older. */
#define SCHED_REPORT_TIMEOUT_US (1200 * GN_US_PER_MS)
/** Pause in placement on a worker that refused a task for lack of resources. */
#define SCHED_FULL_BACKOFF_US (200 * GN_US_PER_MS)
/** A confirmed run that no list has shown for this long may be gone. Lists are
 * requested again within about a second. */
#define SCHED_MISSING_US (1500 * GN_US_PER_MS)
/** Executors extend no lease by a clock reading older than this. */
#define SCHED_CLOCK_READING_MAX_US (1000 * GN_US_PER_MS)
/** A worker's clock may be slow by one part in this many. */
#define SCHED_CLOCK_DRIFT_DIVISOR 50
/** Maximum difference between the times of day of two hosts, which may jump. */
#define SCHED_CLOCK_DIFFERENCE_MS 10000
/** Added to each lease before it counts as expired, for processing delays. */
#define SCHED_LEASE_MARGIN_US (200 * GN_US_PER_MS)

/* ======   Tasks   ====== */

typedef struct sched_task_s {
	sched_job_t *job;
	uint32_t number;
	struct sched_unit_s *unit; /**< Its step in its occurrence. */
	gn_job_task_state_t state;
	uint32_t attempt; /**< Attempt number of the last claim. */
	uint32_t failed; /**< Attempts that count against the limit. */
	uint32_t failed_attempt; /**< The last of them; 0 if none. */
	char *checkpoint; /**< Owned; free with g_free(). NULL if none. */
	sched_crashes_t crashes;
	/** Attempts that have lapsed, as stored for the next leader; owned, NULL
	 * if none. */
	GPtrArray *open_attempts;

	sched_worker_t *worker; /**< Worker of the claim, or NULL. */
	gn_life_t life; /**< Life of the claim's worker; interned ID. */
	uint64_t claim_version; /**< Version of the job with the claim. */
	bool start_sent; /**< A start order was sent. */
	bool restored; /**< Claimed by an earlier leader; may be running. */
	bool listed; /**< The worker has confirmed the run. */
	/** No start call for the claim can be under way, as its executor has
	 * reported. */
	bool settled;
	/** The end of the leases was no reason to release it. */
	bool held;
	/** Time of the last start order, as far as is known; 0 if there was
	 * none. */
	uint64_t start_ordered_us;
	/** Wall clock, since 1970; 0 if unknown. A start that is ordered long
	 * after the claim renews it first. */
	uint64_t claimed_ms;
	/** The claim was moved to a later life with the same ID. */
	bool moved;
	/** An earlier claim had the same attempt number, since start calls for it
	 * are open. The run may have begun before this claim. */
	bool repeated;
	bool has_calls; /**< There may be open start calls. */
	/** Time since when they hold the task, whatever their number; 0 if none has
	 * held it. */
	uint64_t bound_us;
	bool stopping; /**< Stop orders are sent until the run ends. */
	uint64_t last_order_us; /**< Time of the last order. */
	/** Time at which the run was first listed. */
	uint64_t first_listed_us;
	uint64_t last_listed_us; /**< Time at which it was last listed. */
	uint64_t list_made_us; /**< Time at which that list was made. */
	uint64_t claimed_us;
	uint32_t pace_percent; /**< Ordered pace, percent of full speed. */
	/** Time of the last pace order for this claim; 0 if none. */
	uint64_t pace_ordered_us;
	/** Reading of the last list: the tail latency of a serving task in ms,
	 * the used CPU of a best-effort task in thousandths of a core. */
	uint32_t last_reading;
	uint32_t previous_reading; /**< Reading of the list before that. */
	/** Run time at full speed that its work so far corresponds to, by the
	 * used CPU of a best-effort task. */
	uint64_t progress_us;
	const char *image; /**< Interned. */
	uint64_t slow_since_us; /**< Start of a low pace; 0 if not low. */
	uint64_t very_slow_since_us; /**< Start of a very low pace; 0 if not. */
	uint32_t moves; /**< Number of moves because of a low pace. */
	/** The claim is a start in isolation whose outcome is awaited. */
	bool isolated;
	bool resumed; /**< The claim's run starts from a checkpoint. */
	/** Start of its wait for a near worker, and the time at which it ends at
	 * the latest; 0 if it does not wait. A gang has them in its first
	 * member. */
	uint64_t near_wait_us;
	uint64_t near_wait_until_us;
	uint64_t released_us; /**< Time at which it last began to wait. */
} sched_task_t;

/** Expected run time of a step's tasks; see estimate/estimate.h. */
typedef struct sched_run_time_s {
	uint64_t run_ms; /**< The declared time until enough ends are known. */
	double spread; /**< Mean deviation; 0.1 stands for 10 %. */
	uint32_t count; /**< Ends that it was learned from. */
} sched_run_time_t;

/** Step of one occurrence; its tasks become ready together. */
typedef struct sched_unit_s {
	const Gn__JobStep *step;
	uint32_t step_number;
	uint32_t occurrence;
	uint32_t first; /**< Number of the first task. */
	sched_task_t *tasks;
	uint32_t waiting; /**< Tasks in GN_JOB_TASK_WAITING. */
	uint32_t done;
	bool ready; /**< Due, and all steps that it waits for are done. */
	uint64_t waiting_us; /**< Time at which a task last began to wait. */
	/** Tasks that waited for near workers in the last pass, though others
	 * were free. */
	uint32_t near_waiting;
	struct sched_advice_s *advice; /**< NULL before the first request. */
	/** Index at which the search for a waiting task begins. */
	uint32_t search_from;
	gn_headroom_t baseline; /**< Baseline headroom of serving tasks. */
} sched_unit_t;

struct sched_job_s {
	gn_sched_t *sched;
	Gn__JobSpec *spec;
	gn_job_phase_t phase;
	uint64_t accepted_ms; /**< Wall clock, since 1970. */
	uint64_t accepted_us; /**< Monotonic clock. */
	uint64_t finished_us;
	uint32_t width; /**< Tasks of one occurrence. */
	uint32_t task_count; /**< Tasks of all occurrences. */
	gn_occurrences_t occurrence_states;
	/** Open occurrences, in their order; a job without repeats has one. */
	GPtrArray *open_occurrences;
	/** The steps of the open occurrences, sched_unit_t, in their order. */
	GPtrArray *units;
	/** Tasks of open occurrences, while the job is unfinished. */
	size_t open_tasks;
	/** Estimated memory that it needs besides its open tasks. */
	size_t spec_bytes;
	sched_run_time_t *run_times; /**< One per step of the spec. */
	uint64_t run_times_us; /**< Time of their last update. */
	uint32_t done;
	uint32_t claimed;
	/** Maximum number of claimed tasks whose state can be stored; 0 if it is not
	 * known to be too large. */
	uint32_t claims_max;
	/** Monotonic clock; a job done by then is in time. */
	uint64_t deadline_us;
	unsigned priority;
	uint64_t chain_us; /**< Remaining chain at the last update of rank. */
	gn_rank_t rank; /**< Rank in the last pass, if tasks were waiting. */
	/** It went ahead of others although it was not in time, and uses
	 * headroom like a job in time until it ends. */
	bool promoted;
	/** Its best-effort tasks may only use the headroom above
	 * late_headroom_goal. Updated at each pass. */
	bool late;
	/** Failed attempts of a task that make the job fail; 0 while its queue
	 * is unknown, which only delays the decision. */
	unsigned max_attempts;
	uint32_t suspects; /**< Unfinished tasks with crashes. */
	/** Why the job has failed; owned, NULL before it is needed. */
	char *failure;
	bool advised; /**< Starts need tickets. */
	const char *service; /**< Interned. */
	/** The job's queue as the configuration had it last, interned; only the
	 * name is known before that for a job of an older build. */
	gn_queue_t queue;
	bool queue_known; /**< More than the name is known. */
	GPtrArray *pending_starts; /**< Tasks whose claim is not durable yet. */

	uint64_t version; /**< Version of the state in memory. */
	uint64_t writing_version; /**< Version in the current write batch. */
	uint64_t durable_version;
	bool dirty; /**< Queued for the next write batch. */
	bool stored; /**< The spec is stored. */
	bool removing; /**< Being deleted from the store. */
	/** Worker ends that wait for a version to be durable. */
	uint32_t pending_ends;
};

/* ======   Workers   ====== */

/** End of a run that the worker still lists, or of the life of the worker. */
typedef struct sched_end_s {
	/** For the end of the life, the number of the last end received. */
	uint64_t number;
	/** Task of a run that a late start call may begin again; owned, NULL if
	 * there is none. */
	char *open_task;
	sched_job_t *job; /**< NULL if nothing has to be stored. */
	uint64_t version; /**< Job version that must be durable. */
} sched_end_t;

/** A worker that has reported, or has loaded claims but no report yet. */
struct sched_worker_s {
	char *host; /**< Name of the executor. */
	/** Present life, which one that starts later replaces. Its ID is
	 * interned, and empty before the first report. */
	gn_life_t life;
	char *service;
	char *data_centre;
	char *rack;
	char *machine; /**< Name of the host that the worker announces. */
	char **labels;
	bool draining;
	bool evacuated; /**< Its data centre is evacuated. */
	gn_cold_t cold;
	gn_resource_vector_t capacity;
	/** The capacity has shrunk, and starts may not fit; see
	 * sched_shrink.c. */
	bool shrunk;
	gn_resource_vector_t used; /**< Used by claims. */
	/** Used by listed runs without a claim. */
	gn_resource_vector_t unclaimed_use;
	GPtrArray *claims; /**< The elements are sched_task_t. */
	uint32_t serving; /**< Number of claimed serving tasks. */
	uint32_t serving_milli; /**< CPU reserved for the serving tasks. */
	uint32_t best_effort; /**< Number of claimed best-effort tasks. */
	/** CPU that the best-effort tasks could use. */
	uint32_t best_effort_milli;
	/** Time of the first report of the present life; 0 if none. */
	uint64_t first_heard_us;
	uint64_t last_report_us; /**< Time of the last report; 0 if never. */
	/** Time by which each lease that the last report allows has expired. No
	 * lease outlasts the earlier of this and list_expiry_us. */
	uint64_t report_expiry_us;
	/** The same bound, computed from the age of the last list. */
	uint64_t list_expiry_us;
	/** Time of the last list of runs; 0 if never. */
	uint64_t last_list_us;
	bool has_listed; /**< This life has sent a list with all its ends. */
	/** As gn_sched_get_fence() returns it. */
	uint64_t fence;
	/** Number of the write batch that gives this life its fencing token; 0
	 * if none is needed. */
	uint64_t fence_batch;
	/** The last list may lack ends after those that it has. */
	bool ends_cut;
	bool left; /**< This life has ended. */
	bool left_with_claims; /**< Some were kept when that was reported. */
	bool crashed; /**< Its process is gone, as the executor has found. */
	/** Its process is gone, whether it has crashed or left. */
	bool process_gone;
	/** Its executor reports open start calls. */
	bool lists_open_starts;
	/** The executor has restarted since the life before this one, as after a
	 * loss of the host's power: no task is the cause of that. */
	bool host_restarted;
	/** Reserved for starts in isolation; see sched_isolate.c. */
	bool isolates;
	/** Attempts that this life may begin although their claims have
	 * lapsed; see sched_lapse.c. */
	GArray *open_attempts;
	/** Time until which a worker that lacked resources gets no tasks. */
	uint64_t full_until_us;
	GQueue ends; /**< The elements are sched_end_t, ordered by number. */
	uint64_t ends_seen; /**< Number of the last end received. */
	/** Life whose reports were last ignored; its ID is NULL if none were. */
	gn_life_t ignored_life;
	/** Highest n such that the ends 1 to n are durable. */
	uint64_t ends_durable;
	gn_health_t health;
	/** Start of the current period with a tail latency over its target; 0
	 * if all are within target. Set to the present time while best-effort
	 * tasks are not the cause. */
	uint64_t over_target_since_us;
	/** Start of the time over target without running best-effort tasks; 0
	 * if a best-effort task runs or all tail latencies are within
	 * target. */
	uint64_t cleared_since_us;
};

/* ======   The scheduler   ====== */

struct gn_sched_s {
	gn_sched_config_t config;
	const gn_clock_t *clock;
	const gn_clock_t *wall;
	const gn_sched_ops_t *ops;
	void *arg;
	uint64_t created_us;
	const gn_queues_t *queues;
	/** NULL: there are no evacuations. */
	const gn_evacuations_t *evacuations;
	/** Names of the data centres that were evacuated in the last call of
	 * gn_sched_set_evacuations(), owned. */
	GHashTable *evacuated;
	uint64_t evacuation_claims; /**< As in gn_sched_stats_t. */
	uint64_t held_back_starts; /**< As in gn_sched_stats_t. */
	uint64_t held_back_passes; /**< As in gn_sched_stats_t. */
	GHashTable *jobs; /**< Job ID to sched_job_t, owned. */
	/** Name of the executor to sched_worker_t, owned. */
	GHashTable *workers;
	GPtrArray *active; /**< Jobs that are unfinished or have claims. */
	gn_interference_t *interference;
	gn_estimate_t *estimate;
	gn_sched_near_stats_t near_stats;
	GQueue dirty; /**< Jobs to be stored. */
	GPtrArray *writing; /**< Jobs in the current write batch. */
	uint64_t batches; /**< Number of write batches begun. */
	/** Write batches that are needed for fencing tokens. */
	uint64_t batches_needed;
	/** Interned IDs of all lives that have been reported. */
	GHashTable *life_ids;
	gn_calls_t *calls; /**< Start calls without an answer. */
	size_t claims;
	size_t open_tasks; /**< Of all jobs. */
	size_t spec_bytes; /**< Of all jobs. */
	gn_backlog_t backlog;
	gn_feasibility_t feasibility;
	gn_sharing_t sharing;
	gn_forecast_t *forecast;
	/** Best-effort tasks waited after the last pass. */
	bool best_effort_waits;
	bool changed; /**< Placement may have a new result. */
	GArray *crash_events; /**< Recent crashes; see sched_crash_events.c. */
	/** Tasks waited for a start in isolation in the last pass. */
	bool suspects_wait;
	uint64_t pass_due_us; /**< Time before which no pass runs. */
	/** Weights or run times have changed since they were last stored. */
	bool learned;
	/** Time before which they are not stored. */
	uint64_t learned_due_us;
};

uint64_t sched_now_us(const gn_sched_t *sched);
uint64_t sched_wall_ms(const gn_sched_t *sched);

/** Emits an event about @p worker, which may be NULL, or about a claim whose
 * life it has; adds what is known of the worker. */
void sched_emit_event(const gn_sched_t *sched, gn_sched_event_t *event,
		      const sched_worker_t *worker);
/** Emits an event about a task. */
void sched_emit_task_event(const gn_sched_t *sched, const char *what,
			   const sched_task_t *task, const char *why,
			   int64_t value);

/* ======   sched_job.c   ====== */

/** Creates a job. Ownership of @p spec passes to the job. */
sched_job_t *sched_job_create(gn_sched_t *sched, Gn__JobSpec *spec,
			      uint64_t accepted_ms);
void sched_job_free(sched_job_t *job);
/** Applies the limits of the job's queue from the configuration, or those of
 * before if it has the queue no more. */
void sched_job_configure(sched_job_t *job);
/** Takes over the queue that is stored with the job. */
void sched_job_load_queue(sched_job_t *job, const Gn__JobState *state);
/**
 * Marks the job as changed, so that it is stored with the next write batch.
 * @return version that includes the change
 */
uint64_t sched_job_mark_dirty(sched_job_t *job);
bool sched_job_is_finished(const sched_job_t *job);
/** Returns the expected run time of the tasks of @p unit. */
const sched_run_time_t *sched_job_run_time(const sched_job_t *job,
					   const sched_unit_t *unit);
/** Updates the expected run times from what has been learned. */
void sched_job_update_run_times(sched_job_t *job);
/**
 * Updates whether the job is late, which includes what its running tasks have
 * done; its rank does not, and would show jobs as late that are nearly done.
 * @param is_ranked whether it has waiting tasks, which work of other jobs may
 *        delay
 */
void sched_job_update_late(sched_job_t *job, bool is_ranked, uint64_t now_us);
/** Whether best-effort tasks of the job are left. */
bool sched_job_has_best_effort_work(const sched_job_t *job);
/** Longest remaining chain, less what unfinished tasks have done. */
uint64_t sched_job_get_remaining_chain_ms(const sched_job_t *job);
/** Slack that the job had when it was accepted. */
uint64_t sched_job_get_initial_slack_ms(const sched_job_t *job);
/** Headroom that serving tasks keep now. */
double sched_get_headroom_goal(const gn_sched_t *sched);
/** Recomputes the rank. */
void sched_job_update_rank(sched_job_t *job, uint64_t now_us);
/** Marks units as ready that are due and whose dependencies are done. */
void sched_job_update_units(sched_job_t *job);
/** Sets the final phase of a job and stops its runs. */
void sched_job_finish(sched_job_t *job, gn_job_phase_t phase, const char *why);
/** Lets the job fail if a task has reached its limit of failed attempts or of
 * crashes. */
void sched_job_check_limits(sched_job_t *job);
/** Returns why a failed job has failed; valid as long as the job. */
const char *sched_job_get_failure(sched_job_t *job);
/** Returns the task with this name, or NULL. */
sched_task_t *sched_find_task(const gn_sched_t *sched, const char *name);
/** Marks a task as done, and its job as completed after the last task. */
void sched_job_task_done(sched_task_t *task);
/** Starts the removal of jobs whose retention time has passed. */
void sched_jobs_expire(gn_sched_t *sched);

/* ======   sched_occurrence.c   ====== */

/** Creates the occurrences of a new job; opens that of a job without repeats. */
void sched_occurrences_create(sched_job_t *job);
void sched_occurrences_free(sched_job_t *job);
/** Stops counting the open tasks of a finished job. */
void sched_occurrences_release(sched_job_t *job);
/** Opens an occurrence that waits. */
void sched_occurrence_open(sched_job_t *job, uint32_t number);
/** Opens the occurrences that are due, as far as there is room. */
void sched_occurrences_open_due(sched_job_t *job);
/** Closes the occurrences that are done: their tasks are freed. */
void sched_occurrences_close_done(sched_job_t *job);
/** Number of occurrences that are neither open nor done. */
uint32_t sched_job_waiting_occurrences(const sched_job_t *job);
/** Returns the step of an open occurrence, or NULL. */
sched_unit_t *sched_job_find_unit(const sched_job_t *job, uint32_t occurrence,
				  uint32_t step);
/** Returns the task with this number, or NULL if its occurrence is not open. */
sched_task_t *sched_job_get_task(const sched_job_t *job, uint32_t number);

/** Position among the tasks of the open occurrences; only the job is set at
 * first. */
typedef struct sched_task_iter_s {
	const sched_job_t *job;
	guint unit;
	uint32_t index;
} sched_task_iter_t;

/** Returns the next task, or NULL. No occurrence may be closed meanwhile. */
sched_task_t *sched_task_iter_next(sched_task_iter_t *tasks);

/* ======   sched_order.c   ====== */

/** Load that a job which is not ranked yet meets. */
typedef struct sched_load_s {
	double ahead; /**< Best-effort work that ranks ahead of the job. */
	size_t late; /**< Other jobs with best-effort work that are late. */
} sched_load_t;

/** Returns the best-effort work left in a job, thousandths of a core times
 * ms. */
double sched_job_get_best_effort_work(const sched_job_t *job);
/** Ranks a new job as the next pass would, and returns the load it meets. */
sched_load_t sched_job_get_load(sched_job_t *job);

/* ======   sched_pass.c   ====== */

/** Whether a worker has room for a task of a ready step of the job. */
bool sched_job_has_room(sched_job_t *job);

/* ======   sched_claim.c   ====== */

/** Resources that a task of @p step reserves on a worker. */
gn_resource_vector_t sched_step_resources(const Gn__JobStep *step);
/** Claims a waiting task for a worker with this attempt number. */
void sched_create_claim(sched_task_t *task, sched_worker_t *worker,
			uint32_t attempt);
/** Restores a stored claim. */
void sched_restore_claim(sched_task_t *task, sched_worker_t *worker,
			 const Gn__TaskState *row);
/** Releases the claim of a run that is certain to have ended; the task waits
 * again. */
void sched_release_claim(sched_task_t *task, const char *why);
/** Releases the claim of a run that has succeeded and marks the task done. */
void sched_complete_claim(sched_task_t *task);
/** Marks a task done whose claim was released before its success was known. */
void sched_complete_waiting(sched_task_t *task);
/** Stops the run of a claim, or releases the claim if no start was sent. */
void sched_stop_run(sched_task_t *task, const char *why);
/**
 * Moves a claim to a new life of its worker with the same ID and stops its run
 * there. Calls name the ID only, so a start call for the earlier life may reach
 * the new one. Releases the claim if no start was sent.
 */
void sched_stop_in_new_life(sched_task_t *task, gn_life_t life);
/** Sends a start or stop order again if it is due. */
void sched_send_due_order(sched_task_t *task);
/** Sends the pending starts of a job whose claims are now durable. */
void sched_job_send_starts(sched_job_t *job);
/** Sets the newest checkpoint of a task. An empty one changes nothing. */
void sched_set_checkpoint(sched_task_t *task, const char *checkpoint);
/** Records that the run of a claim has started. */
void sched_mark_started(sched_task_t *task);
/** Whether the task, or its gang, may not be started again. */
bool sched_is_at_attempt_limit(const sched_task_t *task);
/** Handles the end of a claim's run. @p checkpoint may be empty. */
void sched_handle_end(sched_task_t *task, gn_end_kind_t how,
		      const char *checkpoint);

/** Handles a success that @p worker lists after the claim was released and
 * before the task was claimed again. */
void sched_handle_late_done(sched_task_t *task, const sched_worker_t *worker);

/* ======   sched_gang.c   ====== */

bool sched_is_gang(const sched_task_t *task);
/** Stops all other members after the run of @p task has ended. */
void sched_gang_stop(sched_task_t *task, const char *why);
/**
 * Marks all members as done after one of them has succeeded in the present
 * attempt. This includes members that wait because their claims were released
 * first: they would wait for ever, since a gang starts only as a whole.
 */
void sched_gang_complete(sched_task_t *task);
/** Whether a member of the gang has failed in the task's attempt before. The
 * members that fail in one attempt are one failure of the gang. */
bool sched_gang_has_failed(const sched_task_t *task);
/** Counts the failed attempts of all members. */
uint32_t sched_gang_failures(const sched_task_t *task);
/** Whether all claimed members are in one rack. */
bool sched_gang_is_in_one_rack(const sched_task_t *task);
/** Sets the checkpoint of all members. */
void sched_gang_set_checkpoint(sched_task_t *task, const char *checkpoint);

/* ======   sched_advice.c   ====== */

/** Whether the worker has a valid ticket for the unit or needs none. */
bool sched_advice_allows(const sched_job_t *job, const sched_unit_t *unit,
			 const sched_worker_t *worker);
/** Returns the ticket for the worker's life, or an empty string. */
const char *sched_advice_ticket(const sched_job_t *job,
				const sched_unit_t *unit, gn_life_t life);
/** Requests tickets for workers that have none, if a request is due. */
void sched_advice_request_tickets(gn_sched_t *sched, sched_job_t *job,
				  sched_unit_t *unit);
/** Drops the ticket of the task's worker, which has refused it. */
void sched_advice_drop_ticket(const sched_task_t *task);
void sched_advice_free(struct sched_advice_s *advice);

/* ======   sched_worker.c   ====== */

/** Returns the worker of @p host and creates it if necessary. */
sched_worker_t *sched_worker_get(gn_sched_t *sched, const char *host);
void sched_worker_free(gpointer worker);
/** Emits an event about a worker. */
void sched_emit_worker_event(const gn_sched_t *sched, const char *what,
			     const sched_worker_t *worker, const char *why,
			     int64_t value);
/** Releases the claims of one life of a worker that left, as its executor has
 * recorded it. */
void sched_worker_load_leave(sched_worker_t *worker, const Gn__Leave *leave);
/** Ends the present life of a worker, and releases its claims. */
void sched_worker_leave(gn_sched_t *sched, sched_worker_t *worker,
			const sched_calls_view_t *view);
/** Counts the crash of the worker's present life, and releases the claims whose
 * runs had begun. */
void sched_worker_crash(const gn_sched_t *sched, sched_worker_t *worker,
			const sched_calls_view_t *view);
/** Maximum duration of a lease of @p lease_ms, with the drift of clocks. */
uint64_t sched_lease_us(unsigned lease_ms);
/**
 * Whether a life of the worker that began after @p life is known, from a report
 * or from a claim that an earlier leader has stored. A report of @p life was
 * delayed then.
 */
bool sched_worker_is_outlived(const sched_worker_t *worker, gn_life_t life);
/**
 * Begins a life, unless it is the present one: resets the state of the worker,
 * since a new life has no earlier runs or ends, and ends the claims of others.
 */
void sched_worker_begin_life(gn_sched_t *sched, sched_worker_t *worker,
			     gn_life_t life);
/**
 * Raises the fencing tokens of the lives that awaited a write batch.
 * @param revision revision of the store after a batch that has ended
 */
void sched_workers_raise_fences(gn_sched_t *sched, uint64_t revision);
/** Requests a later fencing token for the worker's present life. */
void sched_worker_renew_fence(gn_sched_t *sched, sched_worker_t *worker);
/** Updates what the worker announces about itself. */
void sched_worker_describe(sched_worker_t *worker,
			   const Gn__WorkerReport *report);
/** Drops the leading ends that are durable, and whose runs cannot begin again,
 * and advances ends_durable. */
void sched_worker_retire_ends(const gn_sched_t *sched, sched_worker_t *worker);
/** Whether the executor has reported recently. */
bool sched_worker_is_live(const gn_sched_t *sched,
			  const sched_worker_t *worker);
/** Whether the worker has sent a list of runs recently. */
bool sched_worker_has_fresh_list(const gn_sched_t *sched,
				 const sched_worker_t *worker);
/** Age of the worker's last list in ms; below 0 without list or worker. */
int64_t sched_list_age_ms(const gn_sched_t *sched,
			  const sched_worker_t *worker);
/** Sets whether the worker's data centre is evacuated. */
void sched_worker_check_evacuation(const gn_sched_t *sched,
				   sched_worker_t *worker);
/** Whether the evacuations are known well enough to start tasks. */
bool sched_knows_evacuations(const gn_sched_t *sched);
/** Whether the worker may be given tasks at all. */
bool sched_worker_accepts_tasks(const gn_sched_t *sched,
				const sched_worker_t *worker);
/** Whether the worker may run tasks of @p step, apart from free resources. */
bool sched_worker_is_eligible(const gn_sched_t *sched,
			      const sched_worker_t *worker,
			      const sched_job_t *job, const Gn__JobStep *step);

/** Orders to stop an attempt that has no claim. */
void sched_stop_attempt(const gn_sched_t *sched, const sched_worker_t *worker,
			const char *task, uint32_t attempt, const char *why);

/* ======   sched_lapse.c   ====== */

GArray *sched_lapse_create(void);
/** Whether a start call for the claim may still be carried out by a later life of
 * its worker, which has restarted under its ID since the claim. */
bool sched_may_start_in_later_life(const sched_task_t *task);
/** Releases the claims of workers whose leases have expired, unless a start call
 * may still be carried out. */
void sched_expire_leases(gn_sched_t *sched);
/** Counts the crash of a worker under the attempts that have lapsed, if the start
 * of its new life shows that it came before the lapse. */
void sched_lapse_count_crashes(gn_sched_t *sched, sched_worker_t *worker,
			       gn_life_t life);
/** Records the attempt of a claim that is about to lapse; it is stored with the
 * job. */
void sched_lapse_record(sched_worker_t *worker, sched_task_t *task);
/** Copies the lapsed attempts of a stored task. */
void sched_lapse_load(sched_task_t *task, const Gn__TaskState *row);
void sched_lapse_store(const sched_task_t *task, Gn__TaskState *row);
/** Removes the attempts that calls for the worker's new life cannot begin. */
void sched_lapse_forget_other_lives(sched_worker_t *worker, gn_life_t life);
/** Removes an attempt that the worker can no longer begin. */
void sched_lapse_close(sched_worker_t *worker, const char *task,
		       uint32_t attempt);
/** Orders the stops that are due. */
void sched_lapse_send_stops(gn_sched_t *sched, sched_worker_t *worker);

/* ======   sched_calls.c   ====== */

/** Returns the longest time after which a call without an answer is carried
 * out. */
uint64_t sched_late_us(const gn_sched_t *sched);
/** Updates the open calls to a worker. Free the result with
 * sched_calls_free_view(). */
sched_calls_view_t *sched_calls_handle_report(gn_sched_t *sched,
					      const sched_worker_t *worker,
					      const Gn__WorkerReport *report);
void sched_calls_free_view(sched_calls_view_t *view);
/** Releases the claims of a worker whose process is gone. Without knowledge of
 * the start calls for them, those that are not settled stay. */
void sched_calls_release_gone(sched_worker_t *worker,
			      const sched_calls_view_t *view, const char *why);
/** Holds a task of which the worker's list has a run without a claim. */
void sched_calls_note_run(const gn_sched_t *sched, const sched_worker_t *worker,
			  const Gn__WorkerRun *run);
/** Whether the run of a claim has certainly not begun, by its executor's report.
 * @param view may be NULL */
bool sched_calls_never_began(const sched_calls_view_t *view,
			     const sched_task_t *task);
/** Whether calls to start the run have ended without an answer, and no list has
 * shown it. @param view may be NULL */
bool sched_calls_are_unanswered(const sched_calls_view_t *view,
				const sched_task_t *task);
/** Keeps the calls for a claim that is about to be released, or whose run has
 * ended. */
void sched_calls_keep(sched_task_t *task);
/** Whether start calls for the claim may be carried out later. */
bool sched_calls_may_be_open(const sched_task_t *task);
/** Notes that an attempt cannot begin any more in the present life of the
 * worker. */
void sched_calls_close(const gn_sched_t *sched, const sched_worker_t *worker,
		       const char *task, uint32_t attempt);
/** Returns the attempt number for the next claim: that of the open calls if there
 * are any. */
uint32_t sched_calls_next_attempt(const sched_task_t *task);
/** Whether an open call for a former life may have begun the last attempt in the
 * present life of the worker. */
bool sched_calls_may_have_begun(const sched_task_t *task,
				const sched_worker_t *worker);
/** Whether no start call to the worker of the claim is open, of any attempt. */
bool sched_calls_are_settled(const sched_task_t *task);
/** Whether the task may start anywhere, as far as open calls matter. */
bool sched_calls_leave_free(const sched_task_t *task);
/** Whether the task may start on the worker, as far as open calls matter. */
bool sched_calls_allow(const sched_task_t *task, const sched_worker_t *worker);
/** Whether the end of a run must not be discarded yet. */
bool sched_calls_hold_end(const gn_sched_t *sched, const sched_worker_t *worker,
			  const char *task);
/** Drops the calls that cannot be carried out any more. */
void sched_calls_expire(gn_sched_t *sched);
/** Copies the open calls of a task; free with sched_calls_free_store(). */
void sched_calls_store(const sched_task_t *task, Gn__TaskState *row);
void sched_calls_free_store(Gn__TaskState *row);
void sched_calls_load(const sched_task_t *task, const Gn__TaskState *row);

/* ======   sched_shrink.c   ====== */

/**
 * Gives up the claims whose starts the worker has not confirmed, since its data
 * centre is evacuated. A claim of an earlier leader may be running, so it is
 * kept until the worker has listed its runs.
 * @return number of claims
 */
uint64_t sched_evacuate_starts(sched_worker_t *worker);
/** Sets the capacity that the worker announces. */
void sched_shrink_note(sched_worker_t *worker,
		       const gn_resource_vector_t *capacity);
/** Gives up unconfirmed starts that no longer fit into the capacity. */
void sched_shrink_give_up_starts(sched_worker_t *worker);

/* ======   sched_pace.c   ====== */

/** Updates the interference weights from the tail latencies of a new list. */
void sched_learn_from_worker(gn_sched_t *sched, sched_worker_t *worker);
/**
 * Throttles the tasks of late jobs as far as the present claims require. Placed
 * tasks of jobs in time take the headroom of those, and serving tasks would be
 * over their targets if that were left until the next list.
 */
void sched_throttle_late_tasks(gn_sched_t *sched, sched_worker_t *worker);
/** Throttles best-effort tasks by the headroom of serving tasks. */
void sched_pace_worker(gn_sched_t *sched, sched_worker_t *worker);
#endif
