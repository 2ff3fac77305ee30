/**
 * @file sched_pace.c
 * @brief Control of interference: what fills yields to what serves.
 *
 * Answers the load of filling tasks beside serving ones. Of what fills on a
 * worker, that is paced down which the learned weights blame, as far as it
 * takes to keep each serving task under its target. A tail that stays over its
 * target all the same has everything that fills there paced to zero, until it
 * is under it again or has shown that it is over it by itself. What stays slow
 * and can resume from a checkpoint is moved to where it would be faster.
 */
#include "sched/sched_mix.h"

/** A tail over its target for this long is an emergency. */
#define EMERGENCY_US (1500 * GN_US_PER_MS)
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
#define MOVES_MAX 12
/** A pace of at most so much, percent, for so long makes way for others. */
#define CRAWL_PERCENT 35
#define CRAWL_US (1200 * GN_US_PER_MS)

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

/* ======   Learning   ====== */

/* Lists come more often than the worker's figures change. */
static bool is_new_reading(const sched_task_t *task)
{
	return is_serving(task) && task->gauge &&
	       task->gauge != task->gauge_before;
}

void sched_learn_from_worker(gn_sched_t *sched, sched_worker_t *worker)
{
	sched_mix_t mix;

	if (!worker->serving || !worker->capacity.cpu_milli)
		return;
	sched_mix_get(sched, worker, &mix);
	for (guint i = 0; i < worker->claims->len; i++) {
		sched_task_t *task = g_ptr_array_index(worker->claims, i);
		double target_ms = step_of(task)->target_ms;

		if (!is_new_reading(task))
			continue;
		sched->learned = true;
		gn_interference_update(sched->interference, task->image,
				       target_ms / task->gauge,
				       &task->job->units[task->unit].baseline,
				       mix.uses, mix.use_count,
				       sched_now_us(sched));
	}
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
		worker->over_target_since_us = 0;
		worker->cleared_since_us = 0;
		return false;
	}
	if (!worker->over_target_since_us)
		worker->over_target_since_us = now_us;
	if (is_filled(worker))
		worker->cleared_since_us = 0;
	else if (!worker->cleared_since_us)
		worker->cleared_since_us = now_us;
	/* over its target without what fills: that is not to blame */
	if (worker->cleared_since_us &&
	    now_us - worker->cleared_since_us >= ALONE_US) {
		worker->over_target_since_us = now_us;
		return false;
	}
	return now_us - worker->over_target_since_us >= EMERGENCY_US;
}

/* ======   Paces   ====== */

static void set_pace(gn_sched_t *sched, sched_task_t *task, uint32_t percent,
		     const char *why)
{
	char name[GN_TASK_NAME_SIZE];
	const gn_run_order_t order = { .kind = GN_RUN_ORDER_PACE,
				       .task = name,
				       .attempt = task->attempt,
				       .life = task->life,
				       .checkpoint = "",
				       .ticket = "",
				       .percent = percent };

	gn_task_format_name(task->job->spec, task->number, name);
	task->percent = percent;
	sched_emit_task_event(sched, "pace", task, why, percent);
	sched->ops->order(sched->arg, task->worker->host, &order);
}

static bool is_worth_an_order(uint32_t old, uint32_t wanted)
{
	if (wanted == old)
		return false;
	return !wanted || wanted == PACE_FULL || wanted + PACE_STEP <= old ||
	       wanted >= old + PACE_STEP;
}

static void stop_filling(gn_sched_t *sched, const sched_worker_t *worker)
{
	for (guint i = 0; i < worker->claims->len; i++) {
		sched_task_t *task = g_ptr_array_index(worker->claims, i);

		if (is_filling(task) && task->percent)
			set_pace(sched, task, 0,
				 "a tail stays over its target");
	}
}

static void set_paces(gn_sched_t *sched, sched_worker_t *worker,
		      const sched_mix_t *mix)
{
	if (is_emergency(sched, worker)) {
		stop_filling(sched, worker);
		return;
	}
	for (size_t i = 0; i < mix->best_effort_count; i++) {
		const sched_mix_best_effort_t *row = &mix->best_effort[i];
		uint32_t wanted = (uint32_t)(PACE_FULL * row->pace);

		if (is_filling(row->task) &&
		    is_worth_an_order(row->task->percent, wanted))
			set_pace(sched, row->task, wanted, "headroom");
	}
}

/* ======   Moves   ====== */

/* The highest speed that @p task would have on another worker. */
static double get_best_speed(gn_sched_t *sched, const sched_task_t *task)
{
	const Gn__JobStep *step = step_of(task);
	const gn_room_t room = sched_step_room(step);
	const sched_mix_candidate_t more = { task->image, step->cpu_milli };
	GHashTableIter iter;
	gpointer value;
	double best = 0;

	g_hash_table_iter_init(&iter, sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sched_worker_t *worker = value;
		sched_mix_t mix;
		double speed;

		if (worker == task->worker ||
		    !gn_health_is_good(&worker->health, sched_now_us(sched)) ||
		    !sched_worker_is_eligible(sched, worker, task->job, step) ||
		    !gn_room_fits(&worker->capacity, &worker->used, &room))
			continue;
		sched_mix_get(sched, worker, &mix);
		speed = sched_mix_speed(sched, worker, &mix, &more);
		if (speed > best)
			best = speed;
	}
	return best;
}

static void note_pace(const gn_sched_t *sched, sched_task_t *task)
{
	uint64_t now_us = sched_now_us(sched);

	if (task->percent > SLOW_PERCENT)
		task->slow_since_us = 0;
	else if (!task->slow_since_us)
		task->slow_since_us = now_us;
	if (task->percent > CRAWL_PERCENT)
		task->very_slow_since_us = 0;
	else if (!task->very_slow_since_us)
		task->very_slow_since_us = now_us;
}

static bool lasts(const gn_sched_t *sched, uint64_t since_us, uint64_t long_us)
{
	return since_us && sched_now_us(sched) - since_us >= long_us;
}

/* Why @p task should leave its worker, or NULL. */
static const char *get_reason(gn_sched_t *sched, sched_task_t *task,
			      double spare)
{
	double speed = spare * task->percent / PACE_FULL;

	note_pace(sched, task);
	if (task->moves >= MOVES_MAX)
		return NULL;
	if (lasts(sched, task->very_slow_since_us, CRAWL_US))
		return "crawls";
	if (!lasts(sched, task->slow_since_us, SLOW_US))
		return NULL;
	/* the next look is worth no more before a while */
	task->slow_since_us = sched_now_us(sched);
	return get_best_speed(sched, task) >= MOVE_GAIN + speed
		       ? "faster elsewhere"
		       : NULL;
}

/* Only what resumes from a checkpoint is moved, or its work would be lost. */
static void move_slow(gn_sched_t *sched, sched_worker_t *worker,
		      const sched_mix_t *mix)
{
	for (guint i = 0; i < worker->claims->len; i++) {
		sched_task_t *task = g_ptr_array_index(worker->claims, i);
		const char *reason = NULL;

		if (is_filling(task) && step_of(task)->checkpoints)
			reason = get_reason(sched, task, mix->cpu_share);
		if (!reason)
			continue;
		task->moves++;
		sched_stop(task, reason);
		/* the next look sees what this one has changed */
		return;
	}
}

void sched_pace_worker(gn_sched_t *sched, sched_worker_t *worker)
{
	sched_mix_t mix;

	if (!worker->serving || !worker->best_effort ||
	    !worker->capacity.cpu_milli)
		return;
	sched_mix_get(sched, worker, &mix);
	set_paces(sched, worker, &mix);
	move_slow(sched, worker, &mix);
}
