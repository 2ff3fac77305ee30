#include "sched/place.h"

#include "gypsumnotch.h"

/** Consecutive failures of different runs after which a worker backs off. */
#define FAILURE_LIMIT 4
/** First backoff period; it doubles each time up to the limit. */
#define BACKOFF_US (1500 * GN_US_PER_MS)
#define BACKOFF_DOUBLINGS_MAX 3
/** Weight of the latest run in the smoothed slowness. */
#define SLOWNESS_WEIGHT 0.15
/** Bounds of one run's slowness, since declared times are often far off. */
#define SLOWNESS_MIN 0.5
#define SLOWNESS_MAX 8.0
/** Cost of a worker's load, relative to a best-effort task's run time. */
#define BEST_EFFORT_LOAD_COST 0.2
/** Cost of the used headroom budget, relative to the same run time. */
#define BUDGET_USE_COST 1.0
/** Cost of each best-effort task on a serving task's worker. */
#define SERVING_BEST_EFFORT_COST 0.02
/** Extra load at which a worker with serving tasks is still preferred for one
 * more serving task. */
#define PACK_GAIN 0.5
/** The same for a worker with serving tasks of the same image. */
#define PACK_IMAGE_GAIN 1.5

bool gn_resource_vector_fits(const gn_resource_vector_t *capacity,
			     const gn_resource_vector_t *used,
			     const gn_resource_vector_t *more)
{
	return (uint64_t)used->cpu_milli + more->cpu_milli <=
		       capacity->cpu_milli &&
	       (uint64_t)used->memory_mb + more->memory_mb <=
		       capacity->memory_mb &&
	       (uint64_t)used->accelerators + more->accelerators <=
		       capacity->accelerators;
}

void gn_resource_vector_add(gn_resource_vector_t *resources,
			    const gn_resource_vector_t *more)
{
	resources->cpu_milli += more->cpu_milli;
	resources->memory_mb += more->memory_mb;
	resources->accelerators += more->accelerators;
}

static uint32_t subtract_saturating(uint32_t from, uint32_t less)
{
	return from > less ? from - less : 0;
}

void gn_resource_vector_subtract(gn_resource_vector_t *resources,
				 const gn_resource_vector_t *less)
{
	resources->cpu_milli =
		subtract_saturating(resources->cpu_milli, less->cpu_milli);
	resources->memory_mb =
		subtract_saturating(resources->memory_mb, less->memory_mb);
	resources->accelerators = subtract_saturating(resources->accelerators,
						      less->accelerators);
}

/* Returns the share of its processors that all tasks together could use. */
static double get_load(const gn_place_worker_t *worker)
{
	if (!worker->capacity.cpu_milli)
		return 1;
	return ((double)worker->used.cpu_milli + worker->best_effort_milli) /
	       worker->capacity.cpu_milli;
}

/* Returns the cost of placing the task on the worker; lower is better. */
static double get_cost(const gn_place_task_t *task,
		       const gn_place_worker_t *worker)
{
	double cost = get_load(worker);

	if (task->best_effort)
		cost = BEST_EFFORT_LOAD_COST * cost +
		       1 / worker->best_effort_speed +
		       BUDGET_USE_COST * worker->budget_use;
	if (task->serving) {
		cost += SERVING_BEST_EFFORT_COST * worker->best_effort;
		if (worker->same_image)
			cost -= PACK_IMAGE_GAIN;
		else if (worker->serving)
			cost -= PACK_GAIN;
	}
	if (!worker->near)
		cost += task->far_factor - 1;
	return cost + (worker->slowness > 1 ? worker->slowness - 1 : 0);
}

static bool is_allowed(const gn_place_task_t *task,
		       const gn_place_worker_t *worker)
{
	if (!worker->eligible)
		return false;
	if (task->per_worker && worker->same_step >= task->per_worker)
		return false;
	if (task->best_effort && worker->best_effort_speed < task->min_speed)
		return false;
	return gn_resource_vector_fits(&worker->capacity, &worker->used,
				       &task->resources);
}

size_t gn_place(const gn_place_task_t *task, const gn_place_worker_t *workers,
		size_t count)
{
	size_t best = GN_PLACE_NONE;
	double best_cost = 0;

	for (size_t i = 0; i < count; i++) {
		double cost;

		if (!is_allowed(task, &workers[i]))
			continue;
		cost = get_cost(task, &workers[i]);
		if (best != GN_PLACE_NONE && cost >= best_cost)
			continue;
		best = i;
		best_cost = cost;
	}
	return best;
}

/* ======   Health   ====== */

void gn_health_fail(gn_health_t *health, uint64_t now_us)
{
	uint32_t doublings = health->backoffs < BACKOFF_DOUBLINGS_MAX
				     ? health->backoffs
				     : BACKOFF_DOUBLINGS_MAX;

	if (++health->failures < FAILURE_LIMIT)
		return;
	/* After the backoff, a single failure starts the next one. */
	health->failures = FAILURE_LIMIT - 1;
	health->backoffs++;
	health->backoff_until_us = now_us + ((uint64_t)BACKOFF_US << doublings);
}

static double clamp(double value, double low, double high)
{
	if (value < low)
		return low;
	return value > high ? high : value;
}

void gn_health_succeed(gn_health_t *health, uint64_t took_us,
		       uint64_t estimate_us)
{
	double ratio;

	health->failures = 0;
	health->backoffs = 0;
	if (!estimate_us)
		return;
	ratio = clamp((double)took_us / estimate_us, SLOWNESS_MIN,
		      SLOWNESS_MAX);
	if (health->slowness <= 0)
		health->slowness = 1;
	health->slowness += SLOWNESS_WEIGHT * (ratio - health->slowness);
}

bool gn_health_is_good(const gn_health_t *health, uint64_t now_us)
{
	return now_us >= health->backoff_until_us;
}
