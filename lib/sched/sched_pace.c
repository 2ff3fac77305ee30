/**
 * @file sched_pace.c
 * @brief Control of interference: what fills yields to what serves.
 *
 * Answers the load of filling tasks beside serving ones. Of what fills on a
 * worker, that is paced down which the learned weights blame, as far as it
 * takes to keep each serving task under its target. A tail that stays over its
 * target all the same has everything that fills there paced to zero, until it
 * is under it again or has shown that it is over it by itself.
 */
#include <math.h>

#include "sched/sched_internal.h"

/** Share of its target up to which a tail is let. */
#define GOAL_SHARE 0.8
/** A tail over its target for this long is an emergency. */
#define EMERGENCY_US (1200 * GN_US_PER_MS)
/** A tail that is over it for this long without what fills is so by itself. */
#define ALONE_US (1000 * GN_US_PER_MS)
/** Smaller changes of a pace are not worth an order, percent. */
#define PACE_STEP 10
#define PACE_FULL 100
/** Share of what is set aside for serving tasks that they use, as a guess. */
#define SERVING_USE 0.5
/** Pairs of less weight than this share of the target are no disturbance. */
#define LIGHT_SHARE 0.2
/** Images that may fill on one worker. */
#define IMAGES_MAX 32
/** Slowest that a filling task is expected to be. */
#define SPEED_MIN 0.02

static const Gn__JobStep *step_of(const sched_task_t *task)
{
	return task->job->units[task->unit].step;
}

static bool is_filling(const sched_task_t *task)
{
	return step_of(task)->fills && task->listed && !task->stopping;
}

static bool is_serving(const sched_task_t *task)
{
	return step_of(task)->target_ms && task->listed && !task->stopping;
}

/* ======   Uses   ====== */

typedef struct uses_s {
	gn_fill_use_t rows[IMAGES_MAX];
	size_t count;
} uses_t;

static void add_use(uses_t *uses, const char *image, double share)
{
	for (size_t i = 0; i < uses->count; i++) {
		if (uses->rows[i].image != image)
			continue;
		uses->rows[i].share += share;
		return;
	}
	if (uses->count == IMAGES_MAX)
		return;
	uses->rows[uses->count].image = image;
	uses->rows[uses->count++].share = share;
}

/* What fills now, by the worker's own figures. */
static void measure_uses(const sched_worker_t *worker, uses_t *uses)
{
	uses->count = 0;
	for (guint i = 0; i < worker->claims->len; i++) {
		const sched_task_t *task = g_ptr_array_index(worker->claims, i);

		if (is_filling(task))
			add_use(uses, task->image,
				(double)task->gauge /
					worker->capacity.cpu_milli);
	}
}

/* The share of its wish that what fills gets, with @p more beside it. */
static double get_spare(const sched_worker_t *worker, uint32_t more)
{
	double set_aside = worker->used.cpu_milli -
			   (1 - SERVING_USE) * worker->serve_milli;
	double left = worker->capacity.cpu_milli - set_aside;
	double wished = (double)worker->fill_milli + more;

	if (wished <= 0 || left >= wished)
		return 1;
	return left > 0 ? left / wished : 0;
}

/* The processors that one task would use at full pace. */
static double get_full_share(const sched_worker_t *worker, uint32_t cpu_milli,
			     double spare)
{
	return spare * cpu_milli / worker->capacity.cpu_milli;
}

/* ======   Budgets   ====== */

/* Milliseconds that what fills may add to the tail of @p task. */
static double get_budget_ms(const sched_task_t *task)
{
	double baseline_ms = task->baseline_ms > 0 ? task->baseline_ms : 0;
	double budget_ms = GOAL_SHARE * step_of(task)->target_ms - baseline_ms;

	return budget_ms > 0 ? budget_ms : 0;
}

static double get_light_weight(const sched_task_t *task)
{
	return LIGHT_SHARE * step_of(task)->target_ms;
}

/* The pace that the serving @p task leaves to all that disturbs it. */
static double get_allowed(const gn_sched_t *sched, const sched_worker_t *worker,
			  const sched_task_t *task, double spare)
{
	double wished_ms = 0;
	double budget_ms = get_budget_ms(task);

	for (guint i = 0; i < worker->claims->len; i++) {
		const sched_task_t *other =
			g_ptr_array_index(worker->claims, i);

		if (is_filling(other))
			wished_ms +=
				gn_disturb_weight(sched->disturb, task->image,
						  other->image) *
				get_full_share(worker,
					       step_of(other)->cpu_milli,
					       spare);
	}
	return wished_ms <= budget_ms ? 1 : budget_ms / wished_ms;
}

/* The pace for tasks of @p image beside all that serves. */
static double get_pace(const gn_sched_t *sched, const sched_worker_t *worker,
		       const char *image, double spare)
{
	double pace = 1;

	for (guint i = 0; i < worker->claims->len; i++) {
		const sched_task_t *task = g_ptr_array_index(worker->claims, i);

		if (!is_serving(task) ||
		    gn_disturb_weight(sched->disturb, task->image, image) <
			    get_light_weight(task))
			continue;
		pace = fmin(pace, get_allowed(sched, worker, task, spare));
	}
	return pace;
}

/* What one more task beside what serves would add, over its budget. */
static double get_new_pace(const gn_sched_t *sched,
			   const sched_worker_t *worker, const char *image,
			   double share)
{
	double pace = 1;
	uses_t uses;

	measure_uses(worker, &uses);
	for (guint i = 0; i < worker->claims->len; i++) {
		const sched_task_t *task = g_ptr_array_index(worker->claims, i);
		double weight =
			gn_disturb_weight(sched->disturb, task->image, image);
		double left_ms;

		if (!step_of(task)->target_ms ||
		    weight < get_light_weight(task) || share <= 0)
			continue;
		left_ms = get_budget_ms(task) -
			  gn_disturb_added_ms(sched->disturb, task->image,
					      uses.rows, uses.count);
		pace = fmin(pace, fmax(0, left_ms / (weight * share)));
	}
	return pace;
}

double sched_fill_speed(const gn_sched_t *sched, const sched_worker_t *worker,
			const char *image, uint32_t cpu_milli)
{
	double spare = get_spare(worker, cpu_milli);
	double share = get_full_share(worker, cpu_milli, spare);
	double speed = spare * get_new_pace(sched, worker, image, share);

	return fmax(speed, SPEED_MIN);
}

/* ======   Emergencies   ====== */

static bool is_any_over(const sched_worker_t *worker)
{
	for (guint i = 0; i < worker->claims->len; i++) {
		const sched_task_t *task = g_ptr_array_index(worker->claims, i);

		if (is_serving(task) && task->gauge >= step_of(task)->target_ms)
			return true;
	}
	return false;
}

static bool is_filled(const sched_worker_t *worker)
{
	for (guint i = 0; i < worker->claims->len; i++) {
		const sched_task_t *task = g_ptr_array_index(worker->claims, i);

		if (is_filling(task) && task->percent)
			return true;
	}
	return false;
}

/* Whether all that fills must stand still. */
static bool is_emergency(const gn_sched_t *sched, sched_worker_t *worker)
{
	uint64_t now_us = sched_now_us(sched);

	if (!is_any_over(worker)) {
		worker->over_us = 0;
		worker->cleared_us = 0;
		return false;
	}
	if (!worker->over_us)
		worker->over_us = now_us;
	if (is_filled(worker))
		worker->cleared_us = 0;
	else if (!worker->cleared_us)
		worker->cleared_us = now_us;
	/* over its target without what fills: that is not to blame */
	if (worker->cleared_us && now_us - worker->cleared_us >= ALONE_US) {
		worker->over_us = now_us;
		return false;
	}
	return now_us - worker->over_us >= EMERGENCY_US;
}

/* ======   Orders   ====== */

static void set_pace(gn_sched_t *sched, sched_task_t *task, uint32_t percent)
{
	char name[GN_TASK_NAME_SIZE];
	const gn_run_order_t order = { .kind = GN_RUN_ORDER_PACE,
				       .task = name,
				       .attempt = task->attempt,
				       .life = task->life,
				       .checkpoint = "",
				       .ticket = "",
				       .percent = percent };

	gn_task_name(task->job->spec, task->number, name);
	task->percent = percent;
	task->paced_us = sched_now_us(sched);
	sched_note_task(sched, "pace", task, NULL, percent);
	sched->ops->order(sched->arg, task->worker->host, &order);
}

static bool is_worth_an_order(uint32_t old, uint32_t wanted)
{
	if (wanted == old)
		return false;
	return !wanted || wanted == PACE_FULL || wanted + PACE_STEP <= old ||
	       wanted >= old + PACE_STEP;
}

static void learn(gn_sched_t *sched, sched_worker_t *worker)
{
	uses_t uses;

	measure_uses(worker, &uses);
	for (guint i = 0; i < worker->claims->len; i++) {
		sched_task_t *task = g_ptr_array_index(worker->claims, i);

		if (is_serving(task) && task->gauge)
			gn_disturb_learn(sched->disturb, task->image,
					 task->gauge, &task->baseline_ms,
					 uses.rows, uses.count);
	}
}

void sched_pace_worker(gn_sched_t *sched, sched_worker_t *worker)
{
	double spare = get_spare(worker, 0);
	bool emergency;

	if (!worker->serving || !worker->capacity.cpu_milli)
		return;
	learn(sched, worker);
	if (!worker->filling)
		return;
	emergency = is_emergency(sched, worker);
	for (guint i = 0; i < worker->claims->len; i++) {
		sched_task_t *task = g_ptr_array_index(worker->claims, i);
		uint32_t wanted;

		if (!is_filling(task))
			continue;
		wanted = emergency ? 0
				   : (uint32_t)(PACE_FULL *
						get_pace(sched, worker,
							 task->image, spare));
		if (is_worth_an_order(task->percent, wanted))
			set_pace(sched, task, wanted);
	}
}
