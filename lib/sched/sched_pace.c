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
#define GOAL_SHARE 0.65
/** A tail over its target for this long is an emergency. */
#define EMERGENCY_US (400 * GN_US_PER_MS)
/** A tail that is over it for this long without what fills is so by itself. */
#define ALONE_US (1000 * GN_US_PER_MS)
/** Smaller changes of a pace are not worth an order, percent. */
#define PACE_STEP 10
#define PACE_FULL 100
/** A pace of at most so much, percent, for so long is worth a move. */
#define SLOW_PERCENT 50
#define SLOW_US (800 * GN_US_PER_MS)
/** What a move has to add to a task's share of its full speed. */
#define MOVE_GAIN 0.4
#define MOVES_MAX 4
/** Share of what is set aside for serving tasks that they use, as a guess. */
#define SERVING_USE 0.5
/** Share of the way from the baseline to the target that is let anyway. */
#define LEAST_BUDGET 0.3
/** Pairs of less weight are no disturbance. */
#define LIGHT_WEIGHT 0.4
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

/* The logarithm of the factor by which the tail of @p task may grow. */
static double get_budget(const sched_task_t *task)
{
	double target = log(step_of(task)->target_ms);
	double baseline = fmax(0, task->baseline);

	return fmax(0, fmax(target + log(GOAL_SHARE) - baseline,
			    LEAST_BUDGET * (target - baseline)));
}

/* The pace that the serving @p task leaves to all that disturbs it. */
static double get_allowed(const gn_sched_t *sched, const sched_worker_t *worker,
			  const sched_task_t *task, double spare)
{
	double wished = 0;
	double budget = get_budget(task);

	for (guint i = 0; i < worker->claims->len; i++) {
		const sched_task_t *other =
			g_ptr_array_index(worker->claims, i);

		if (is_filling(other))
			wished += gn_disturb_weight(sched->disturb, task->image,
						    other->image) *
				  get_full_share(worker,
						 step_of(other)->cpu_milli,
						 spare);
	}
	return wished <= budget ? 1 : budget / wished;
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
			    LIGHT_WEIGHT)
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
		double left;

		if (!step_of(task)->target_ms || weight < LIGHT_WEIGHT ||
		    share <= 0)
			continue;
		left = get_budget(task) - gn_disturb_sum(sched->disturb,
							 task->image, uses.rows,
							 uses.count);
		pace = fmin(pace, fmax(0, left / (weight * share)));
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

/* The worker's figures change about twice a second; lists come more often. */
static bool is_new_reading(sched_worker_t *worker)
{
	uint64_t mix = 0;

	for (guint i = 0; i < worker->claims->len; i++) {
		const sched_task_t *task = g_ptr_array_index(worker->claims, i);

		if (is_serving(task))
			mix = mix * 31 + task->gauge;
	}
	if (mix == worker->reading)
		return false;
	worker->reading = mix;
	return true;
}

static void learn(gn_sched_t *sched, sched_worker_t *worker)
{
	uses_t uses;

	if (!is_new_reading(worker))
		return;
	measure_uses(worker, &uses);
	for (guint i = 0; i < worker->claims->len; i++) {
		sched_task_t *task = g_ptr_array_index(worker->claims, i);

		if (is_serving(task) && task->gauge)
			gn_disturb_learn(sched->disturb, task->image,
					 task->gauge, &task->baseline,
					 uses.rows, uses.count);
	}
}

/* ======   Moves   ====== */

/* The highest speed that @p task would have on another worker. */
static double get_best_speed(gn_sched_t *sched, const sched_task_t *task)
{
	const Gn__JobStep *step = step_of(task);
	const gn_room_t room = sched_step_room(step);
	GHashTableIter iter;
	gpointer value;
	double best = 0;

	g_hash_table_iter_init(&iter, sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sched_worker_t *worker = value;

		if (worker == task->worker ||
		    !sched_worker_is_eligible(sched, worker, task->job, step) ||
		    !gn_room_fits(&worker->capacity, &worker->used, &room))
			continue;
		best = fmax(best, sched_fill_speed(sched, worker, task->image,
						   step->cpu_milli));
	}
	return best;
}

static bool is_slow_for_long(const gn_sched_t *sched, sched_task_t *task)
{
	uint64_t now_us = sched_now_us(sched);

	if (task->percent > SLOW_PERCENT) {
		task->slow_us = 0;
		return false;
	}
	if (!task->slow_us)
		task->slow_us = now_us;
	return now_us - task->slow_us >= SLOW_US;
}

/* Only what resumes from a checkpoint is moved, or its work would be lost. */
static void move_slow(gn_sched_t *sched, sched_worker_t *worker, double spare)
{
	for (guint i = 0; i < worker->claims->len; i++) {
		sched_task_t *task = g_ptr_array_index(worker->claims, i);
		double speed = spare * task->percent / PACE_FULL;

		if (!is_filling(task) || !step_of(task)->checkpoints ||
		    task->moves >= MOVES_MAX || !is_slow_for_long(sched, task))
			continue;
		if (get_best_speed(sched, task) < MOVE_GAIN + speed)
			continue;
		task->moves++;
		sched_stop(task, "faster elsewhere");
		/* the next look sees what this one has changed */
		return;
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
	move_slow(sched, worker, spare);
}
