/**
 * @file sched.h
 * @brief Scheduling decisions of the leader: jobs, tasks, workers, claims.
 *
 * This module does no I/O. Requests and reports arrive as function calls,
 * orders leave through callbacks, and state to be stored is fetched in write
 * batches whose outcome the caller reports back. Time is read from two clocks,
 * which tests can pause.
 *
 * A claim binds a task to a worker, so that no task runs twice at a time. A
 * start is ordered only once its claim is durable. A claim is released only
 * when its run is certain to have ended: the worker lists the end, the worker
 * has restarted with a new ID, the worker has confirmed a stop, or the longest
 * lease that the worker can hold has expired; not while a start call for it may
 * still be carried out by a later life of the worker (hold/hold.h). After a
 * restart under the same ID, the run is stopped first: calls name the ID only,
 * so a start call that was under way may reach the new life. A worker may
 * discard an end only once the resulting state is durable.
 *
 * A worker is a backend server that runs tasks; the scheduler knows it by the
 * name of its executor. An executor is the process beside a worker that reports
 * its runs and ends and passes orders to it. A life is one lifetime of a worker
 * (job/life.h); its ID alone does not identify it. A serving task is
 * latency-critical: it has a target for its tail latency. A best-effort task
 * uses only processor time that other tasks leave.
 */
#ifndef GN_SCHED_SCHED_H
#define GN_SCHED_SCHED_H

#include <talloc.h>

#include "common/clock.h"
#include "evacuation/evacuation.h"
#include "forecast/forecast.h"
#include "job/job.h"
#include "job/life.h"
#include "queue/queue.h"
#include "wire/gypsumnotch.pb-c.h"

/** Estimated memory of all jobs beside their open tasks, bytes. A job that does
 * not fit is refused. */
#define GN_SCHED_SPEC_BYTES_MAX (48 * 1024 * 1024)

typedef struct gn_sched_s gn_sched_t;

/** Order to the executor of a worker. */
typedef struct gn_run_order_s {
	gn_run_order_kind_t kind;
	const char *task;
	uint32_t attempt;
	/** Life of the worker; a worker of another life must refuse. */
	gn_life_t life;
	gn_str_t payload; /**< Only for a start. */
	const char *checkpoint; /**< Only for a start; may be empty. */
	const char *ticket; /**< Only for a start; may be empty. */
	uint32_t percent; /**< Only for a pace: percent of full speed. */
	bool first; /**< Only for a start: it has not been ordered before. */
} gn_run_order_t;

/** Decision to be logged. Members that do not apply are NULL or 0. */
typedef struct gn_sched_event_s {
	const char *name; /**< Event name, such as "claim". */
	const char *job;
	const char *task;
	uint32_t attempt;
	const char *host;
	/** Life of the claim, or of the worker if the event is not about one. */
	gn_life_t life;
	/** Present life of the worker if that is another one; else without an
	 * ID. */
	gn_life_t worker_life;
	/** As gn_sched_get_fence() returns it for the host. */
	uint64_t fence;
	const char *reason;
	int64_t value; /**< The meaning depends on the event. */
	/** Age of the worker's last list of runs, ms; below 0 if none. */
	int64_t list_age_ms;
	/** Time since the worker's present life was first heard of, ms; below 0
	 * if none was. Only with a host, as serving_ms. */
	int64_t heard_ms;
	int64_t serving_ms; /**< Time since the scheduler was created, ms. */
	bool claimed; /**< It is about a claim; the next two apply. */
	bool settled; /**< No start call for the claim can be under way. */
	/** Time since the last start order for the claim, ms; below 0 if there
	 * was none. At least this if an earlier leader ordered it. */
	int64_t ordered_age_ms;
	/** Data centre of an event "evacuation"; else NULL. */
	const char *data_centre;
	uint64_t workers; /**< Workers that are known there. */
} gn_sched_event_t;

/** Callbacks of the scheduler. */
typedef struct gn_sched_ops_s {
	/** Sends an order. A lost order is sent again later. */
	void (*send_order)(void *arg, const char *host,
			   const gn_run_order_t *order);
	/** Reports that @p job is durable up to @p version. */
	void (*on_durable)(void *arg, const char *job, uint64_t version);
	/** Logs one event; may drop it. */
	void (*log_event)(void *arg, const gn_sched_event_t *event);
	/**
	 * Asks the adviser which of @p lives may run the tasks of @p step,
	 * named "JOB.OCCURRENCE.STEP". Pass the response to
	 * gn_sched_handle_advice().
	 */
	void (*request_advice)(void *arg, const char *step,
			       const char *const *lives, size_t count);
} gn_sched_ops_t;

/** Times and limits from the settings. */
typedef struct gn_sched_config_s {
	/** Lease that an executor may grant its worker, in ms from the
	 * report that the leader has answered. */
	unsigned lease_ms;
	/** Longest lease that a worker grants, in ms from the call. */
	unsigned lease_max_ms;
	/** Longest time after which a worker carries out a call without an
	 * answer. */
	unsigned late_call_ms;
	/** Maximum time for which a deposed leader still answers reports. */
	unsigned depose_ms;
	/** Epoch of this leader, the lowest fencing token of its orders. */
	uint64_t epoch;
	/** Minimum time for which a finished job can be queried. */
	unsigned retain_ms;
	/** Maximum time that a worker takes to stop a run. */
	unsigned stop_ms;
	/** Time by which an occurrence may start before it is due. */
	unsigned early_ms;
	/** Factor by which run time grows off the rack of the data. */
	double far_factor;
	/** Time that a task takes to resume from a checkpoint. */
	unsigned restore_ms;
	/** Maximum time for which a serving task may exceed its target. */
	unsigned harm_ms;
	/** Time until a pace order takes effect. */
	unsigned pace_ms;
	/** Time for which an absence of a serving task that the system
	 * itself caused is counted. */
	unsigned notice_ms;
	/** Headroom that serving tasks keep beside best-effort tasks; 0 if it
	 * follows the demand (sharing/sharing.h). */
	double headroom_goal;
	/** Headroom that they keep beside best-effort tasks of jobs that cannot
	 * be in time; 0 if these are treated like others. */
	double late_headroom_goal;
	/** Refuse jobs that cannot end while of use; see forecast/forecast.h. */
	bool forecast;
} gn_sched_config_t;

/**
 * Creates a scheduler without jobs and workers.
 * @param clock monotonic clock; must outlive the scheduler
 * @param wall wall clock; must outlive the scheduler
 * @param arg passed to each callback of @p ops
 */
gn_sched_t *gn_sched_create(TALLOC_CTX *parent, const gn_sched_config_t *config,
			    const gn_clock_t *clock, const gn_clock_t *wall,
			    const gn_sched_ops_t *ops, void *arg);

/**
 * Sets the configuration. @p queues must stay valid until the next call or
 * the end of the scheduler.
 */
void gn_sched_configure(gn_sched_t *sched, const gn_queues_t *queues);

/**
 * Sets the evacuated data centres, and has to be called after each change of the
 * set. Nothing is started there: workers are not eligible, and claims whose
 * starts they have not confirmed are given up. Runs in progress go on. Nothing is
 * started anywhere while gn_evacuations_may_start() does not hold. Without a
 * call, there are no evacuations.
 * @param set must stay valid until the end of the scheduler
 */
void gn_sched_set_evacuations(gn_sched_t *sched, const gn_evacuations_t *set);

/** Whether the data centre of @p host is known and evacuated. */
bool gn_sched_is_evacuated(const gn_sched_t *sched, const char *host);

/* ======   Callers   ====== */

/** Answer to a caller's request. */
typedef struct gn_sched_reply_s {
	gn_job_result_t result;
	gn_job_phase_t phase;
	uint64_t waiting;
	unsigned retry_after_ms; /**< Only if refused. */
	/** Why the request is refused or the job has failed; else NULL. Valid as
	 * long as the job. */
	const char *reason;
	/** Version of the job that must be durable before the answer is sent; 0
	 * if it can be sent at once. */
	uint64_t version;
	/** What decided on a submitted job. */
	gn_forecast_reason_t forecast;
} gn_sched_reply_t;

/**
 * Accepts a job. A job with a known ID is accepted again and left unchanged.
 * @param spec ownership passes to the scheduler, which frees it at once unless
 *        it accepts a new job
 */
gn_sched_reply_t gn_sched_submit(gn_sched_t *sched, Gn__JobSpec *spec);

/**
 * Removes a job that is certainly not stored, so that its caller can be told
 * that it does not run.
 * @return false if the job is stored or may be, or does not exist
 */
bool gn_sched_withdraw(gn_sched_t *sched, const char *job);

/** Returns the state of a job. */
gn_sched_reply_t gn_sched_get_state(gn_sched_t *sched, const char *job);

gn_sched_reply_t gn_sched_cancel(gn_sched_t *sched, const char *job);

/** Counts the jobs of a queue that have not started any task. */
gn_sched_reply_t gn_sched_count_waiting(gn_sched_t *sched, const char *queue);

/* ======   Workers   ====== */

/**
 * Processes an executor's report.
 * @return highest n such that the ends 1 to n of the worker's present life are
 *        durable
 */
uint64_t gn_sched_handle_report(gn_sched_t *sched,
				const Gn__WorkerReport *report);

/**
 * Returns the highest n such that the ends 1 to n of @p host in its present
 * life are durable.
 * @param life receives that life; its ID is empty if the worker is unknown
 */
uint64_t gn_sched_get_durable_ends(const gn_sched_t *sched, const char *host,
				   gn_life_t *life);

/**
 * Whether the present life of @p host is known to have ended and all claims that
 * were released until then are stored as released. Before that, only the
 * executor can tell the next leader that the life has ended.
 */
bool gn_sched_is_leave_durable(const gn_sched_t *sched, const char *host);

/**
 * Returns the lowest fencing token that may be sent to @p host; 0 if the
 * leader's epoch will do. It is the revision of a write made in the present
 * life, so the worker refuses calls for its earlier lives, which name its ID
 * only and may be executed late.
 */
uint64_t gn_sched_get_fence(const gn_sched_t *sched, const char *host);

/* ======   Advice   ====== */

/** Permission of a worker to run a step. */
typedef struct gn_sched_ticket_s {
	const char *life;
	const char *ticket;
} gn_sched_ticket_t;

/**
 * Processes the adviser's response.
 * @param tickets tickets of the workers that may run the step; the other
 *        workers of the request may not run it
 * @param valid_ms validity of the tickets from the time of the request; 0 if
 *        there was no response and the request is to be repeated later
 */
void gn_sched_handle_advice(gn_sched_t *sched, const char *step,
			    const gn_sched_ticket_t *tickets, size_t count,
			    unsigned valid_ms);

/* ======   Time   ====== */

/**
 * Expires leases and old jobs, and sends unanswered orders again. Call it
 * several times a second.
 */
void gn_sched_tick(gn_sched_t *sched);

/** Places waiting tasks. Call it after any of the calls above. */
void gn_sched_run_pass(gn_sched_t *sched);

/* ======   Storage   ====== */

/** Maximum size of the value of a write, bytes. A state that is larger is stored
 * without checkpoints, and with fewer tasks claimed at a time. If that does not
 * suffice, it is not written until the job has changed; the other jobs are. */
#define GN_SCHED_VALUE_MAX (1024 * 1024)

/** One write to the store. */
typedef struct gn_sched_write_s {
	const char *job; /**< Job ID; valid until the write batch ends. */
	bool remove; /**< Delete the job from the store. */
	bool with_spec; /**< First write of a job, which includes its spec. */
	/** The write holds what was learned, which is interference weights and
	 * run times, and belongs to no job. */
	bool interference;
	/** Of GN_SCHED_VALUE_MAX bytes at most. Packed Disturbances if
	 * interference is set, JobRecord if with_spec is set, else JobState;
	 * free with free(). */
	uint8_t *value;
	size_t len;
} gn_sched_write_t;

/** Whether a write batch is needed, for changes to be stored or for a fencing
 * token; one for a token alone has no writes. */
bool gn_sched_is_dirty(const gn_sched_t *sched);

/**
 * Begins a write batch of up to @p max writes. The next one may begin only when
 * this has ended by gn_sched_confirm_batch() or gn_sched_requeue_batch().
 * @return number of writes
 */
size_t gn_sched_begin_batch(gn_sched_t *sched, gn_sched_write_t *writes,
			    size_t max);

/**
 * Ends the write batch as durable.
 * @param revision revision of the store after it
 */
void gn_sched_confirm_batch(gn_sched_t *sched, uint64_t revision);

/** Ends the write batch as certainly not stored; its jobs are dirty again. */
void gn_sched_requeue_batch(gn_sched_t *sched);

/**
 * Loads a stored job. Only allowed before any request or report.
 * @param spec ownership passes to the scheduler on GN_OK only
 * @return GN_OK, or GN_ERR_INVALID if the spec is invalid, the job is already
 *         loaded, or the state does not match the spec
 */
gn_code_t gn_sched_load_job(gn_sched_t *sched, Gn__JobSpec *spec,
			    const Gn__JobState *state);

/**
 * Loads the interference weights and run times that an earlier leader stored.
 * @return GN_OK, or GN_ERR_INVALID if @p data is malformed
 */
gn_code_t gn_sched_load_interference(gn_sched_t *sched, const uint8_t *data,
				     size_t len);

/**
 * Releases the loaded claims of a life that has ended. Only allowed after the
 * jobs have been loaded and before gn_sched_finish_loading().
 */
void gn_sched_load_leave(gn_sched_t *sched, const Gn__Leave *leave);

/** Ends loading: leases of loaded claims run from now on. */
void gn_sched_finish_loading(gn_sched_t *sched);

/* ======   Statistics   ====== */

/** What waits for workers near their data have brought; see
 * locality/locality.h. A gang counts as one task. */
typedef struct gn_sched_near_stats_s {
	uint64_t waits; /**< Waits begun. */
	uint64_t near; /**< Starts near after a wait. */
	uint64_t far; /**< Starts far after a wait. */
	/** Expected time that near starts have won against far ones at once. */
	uint64_t won_ms;
	/** Time waited before far starts, or beyond what a near start saved. */
	uint64_t lost_ms;
} gn_sched_near_stats_t;

/** Returns the figures since the scheduler was created. */
gn_sched_near_stats_t gn_sched_near_stats(const gn_sched_t *sched);

/** Statistics for metrics and the state dump. */
typedef struct gn_sched_stats_s {
	size_t jobs;
	size_t active_jobs;
	size_t workers; /**< Workers with a recent report. */
	size_t claims;
	size_t waiting_tasks; /**< Waiting tasks of ready steps. */
	size_t run_times; /**< Queues and images with learned run times. */
	/** Jobs whose best-effort tasks may only use the headroom above
	 * late_headroom_goal. */
	size_t late_jobs;
	double headroom_goal; /**< Headroom that serving tasks keep now. */
	/** Live workers in evacuated data centres. */
	size_t evacuated_workers;
	/** Claims given up because of evacuations. */
	uint64_t evacuation_claims;
	/** Starts not ordered because of an evacuation, or because the set of
	 * evacuations was too old. */
	uint64_t held_back_starts;
	/** Placement passes not run because that set was too old. */
	uint64_t held_back_passes;
} gn_sched_stats_t;

gn_sched_stats_t gn_sched_stats(const gn_sched_t *sched);

/** Counts the claims for which a start call may be under way, or is yet to be
 * made. */
size_t gn_sched_count_unsettled(const gn_sched_t *sched);

/** Returns the headroom that serving tasks keep now, in percent. */
unsigned gn_sched_get_headroom_pct(const gn_sched_t *sched);

#endif
