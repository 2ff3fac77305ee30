/**
 * @file place.h
 * @brief Chooses a worker for a task.
 *
 * The load consists of many small tasks and few large ones; some workers are
 * slow or fail the tasks that they start. Among the workers with enough
 * resources, the one with the largest free share of its processors is chosen,
 * counting best-effort tasks as well. This spreads load and limits the loss
 * when one worker crashes. A slow worker counts as fuller in proportion to its
 * slowness.
 *
 * Best-effort tasks slow down serving tasks on the same worker and are then
 * throttled, depending on the pair of images. So serving tasks are packed by
 * image, and best-effort tasks go where they are expected to run fastest.
 */
#ifndef GN_SCHED_PLACE_H
#define GN_SCHED_PLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Resources of a worker, or the part of them that a task needs. */
typedef struct gn_resource_vector_s {
	uint32_t cpu_milli; /**< Thousandths of a core. */
	uint32_t memory_mb;
	uint32_t accelerators;
} gn_resource_vector_t;

/** Health of a worker, derived from the runs that ended there. */
typedef struct gn_health_s {
	uint32_t failures; /**< Consecutive failures of different tasks. */
	uint64_t backoff_until_us; /**< No tasks are placed before this time. */
	uint32_t backoffs; /**< Consecutive backoff periods. */
	/** Smoothed ratio of run times to estimates; 0 if unknown. */
	double slowness;
} gn_health_t;

/** Properties of a worker that placement depends on. */
typedef struct gn_place_worker_s {
	gn_resource_vector_t capacity;
	gn_resource_vector_t used;
	uint32_t same_step; /**< Claimed tasks of the step to be placed. */
	uint32_t serving; /**< Number of serving tasks. */
	uint32_t same_image; /**< Serving tasks with the task's image. */
	uint32_t best_effort; /**< Number of best-effort tasks. */
	/** CPU that the best-effort tasks could use. */
	uint32_t best_effort_milli;
	double slowness; /**< 1 is normal speed. */
	/** Share of its full speed that a best-effort task would reach. */
	double best_effort_speed;
	/** Share of the serving tasks' headroom budget the task would use. */
	double budget_use;
	/** The worker is live, of the right service, and has the label. */
	bool eligible;
	bool near; /**< On the rack of the data, or the data has no rack. */
} gn_place_worker_t;

/** Properties of a task that placement depends on. */
typedef struct gn_place_task_s {
	gn_resource_vector_t resources;
	/** Limit on tasks of the step on one worker; 0 if unlimited. */
	uint32_t per_worker;
	/** CPU that a best-effort task could use. */
	uint32_t best_effort_milli;
	bool best_effort;
	/** A best-effort task waits rather than run below this speed. */
	double min_speed;
	bool serving;
	/** Factor by which run time grows off the data's rack. */
	double far_factor;
} gn_place_task_t;

/** Result of gn_place() if no worker can take the task. */
#define GN_PLACE_NONE SIZE_MAX

/** Whether @p used and @p more together fit into @p capacity. */
bool gn_resource_vector_fits(const gn_resource_vector_t *capacity,
			     const gn_resource_vector_t *used,
			     const gn_resource_vector_t *more);
void gn_resource_vector_add(gn_resource_vector_t *resources,
			    const gn_resource_vector_t *more);
/** Subtracts @p less from @p resources; each resource stops at zero. */
void gn_resource_vector_subtract(gn_resource_vector_t *resources,
				 const gn_resource_vector_t *less);

/**
 * Chooses a worker for @p task.
 * @return index of the worker, or GN_PLACE_NONE
 */
size_t gn_place(const gn_place_task_t *task, const gn_place_worker_t *workers,
		size_t count);

/* ======   Health   ====== */

/** Records a failed run. */
void gn_health_fail(gn_health_t *health, uint64_t now_us);

/**
 * Records a successful run.
 * @param estimate_us declared run time; 0 if unknown, which leaves the
 *        slowness unchanged
 */
void gn_health_succeed(gn_health_t *health, uint64_t took_us,
		       uint64_t estimate_us);

/** Whether the worker may be given tasks. */
bool gn_health_is_good(const gn_health_t *health, uint64_t now_us);

#endif
