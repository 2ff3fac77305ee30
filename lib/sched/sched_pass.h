/**
 * @file sched_pass.h
 * @brief Declarations shared by the placement of single tasks and gangs.
 */
#ifndef GN_SCHED_SCHED_PASS_H
#define GN_SCHED_SCHED_PASS_H

#include "locality/locality.h"
#include "sched/sched_mix.h"

/** Workers that may be given tasks in the current pass. */
typedef struct sched_candidates_s {
	sched_worker_t **workers;
	/** Mix of each worker; only late_milli is set for workers without
	 * CPU. */
	sched_mix_t *mixes;
	gn_place_worker_t *views; /**< Input of gn_place() for the step. */
	size_t count;
	double used_fraction; /**< Share of their CPU reserved by claims. */
	/** Rack to the number of tasks that wait for it, of the jobs placed
	 * before; NULL if there are none. */
	GHashTable *awaited;
} sched_candidates_t;

/** Returns the jobs with waiting tasks in the order in which to place them; free
 * it with g_ptr_array_unref(). */
GPtrArray *sched_rank_jobs(gn_sched_t *sched);

/** Updates the capacity for best-effort work after a pass over @p ranked. */
void sched_update_feasibility(gn_sched_t *sched, const sched_candidates_t *all,
			      const GPtrArray *ranked);

/** Updates the headroom that serving tasks keep, after a pass. */
void sched_update_headroom(gn_sched_t *sched, const sched_candidates_t *all);

/** Claims @p task for candidate @p at and updates its mix and view. */
void sched_claim_on_candidate(sched_candidates_t *all, size_t at,
			      sched_task_t *task, const gn_place_task_t *wanted,
			      uint32_t attempt);

/** Claims the suspects of a unit for workers that are reserved for them. */
void sched_isolate_place(sched_candidates_t *all, sched_job_t *job,
			 sched_unit_t *unit, const gn_place_task_t *wanted);
/** Whether the task waits for a start in isolation. */
bool sched_isolate_is_awaited(const sched_task_t *task);
/** Whether a start in isolation on the worker is being watched. */
bool sched_isolate_has_claim(const sched_worker_t *worker);
/** Keeps those workers out where a gang cannot be started in isolation; returns
 * whether it has to be. */
bool sched_isolate_restrict_gang(sched_candidates_t *all,
				 const sched_job_t *job,
				 const sched_unit_t *unit);

/** Returns the candidate for a task that may have open start calls, or
 * GN_PLACE_NONE.
 * @param views of the candidates */
size_t sched_calls_choose(const sched_candidates_t *all,
			  const gn_place_worker_t *views,
			  const sched_task_t *task,
			  const gn_place_task_t *wanted);

/* ======   Waits for near workers   ====== */

/**
 * Adds the times at which workers of @p rack are expected to have a place for a
 * task, sorted. Those that are slow or unhealthy are left out.
 * @param slowness slowness of the worker that would be taken instead
 * @param places array of gn_locality_time_t
 */
void sched_near_get_places(const sched_candidates_t *all,
			   const sched_job_t *job, const sched_unit_t *unit,
			   const char *rack, double slowness, GArray *places);
/** Returns the number of tasks that wait for @p rack, of the jobs placed
 * before. */
size_t sched_near_count_awaited(const sched_candidates_t *all,
				const char *rack);
/**
 * Decides whether a task, or the gang of a first member, waits for a near
 * worker, and begins or ends its wait.
 * @param place expected time of its place; NULL if none is expected
 * @param count number of tasks that wait with it
 */
bool sched_near_waits(sched_candidates_t *all, sched_task_t *task,
		      const char *rack, const gn_locality_time_t *place,
		      uint32_t count);
/** Counts the outcome of the wait, if any, of a task or gang that is about to be
 * claimed. */
void sched_near_end_wait(sched_task_t *task, bool is_near);

/** Claims all members of a gang or none.
 * @param isolated whether the start is in isolation */
void sched_gang_place(sched_candidates_t *all, sched_job_t *job,
		      sched_unit_t *unit, const gn_place_task_t *wanted,
		      bool isolated);

#endif
