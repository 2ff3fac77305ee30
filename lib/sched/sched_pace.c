/**
 * @file sched_pace.c
 * @brief Interference control by throttling and moving best-effort tasks.
 *
 * On each worker, the best-effort tasks with the highest learned interference
 * are throttled as far as needed to keep each serving task within its latency
 * target. If a tail latency stays over its target nevertheless, all
 * best-effort tasks on the worker are paused until the tail is within target
 * again or has been over it without them. A best-effort task that stays slow is
 * moved to another worker, if it can resume from a checkpoint and would run
 * faster there.
 */
#include "sched/sched_mix.h"

/** A tail latency over its target for this long is an emergency. */
#define EMERGENCY_US (1500 * GN_US_PER_MS)
/** A tail latency that is over its target for this long without best-effort
 * tasks is not caused by interference. */
#define BASELINE_OVER_US (1000 * GN_US_PER_MS)
/** Smaller pace changes, in percent of full speed, are not ordered. */
#define PACE_CHANGE_MIN 10
#define PACE_FULL 100
/** A pace is ordered again after this time, since an order may be lost or be
 * carried out after a newer one. Runs last some seconds, so that a wrong pace
 * costs them little; several lists pass, so that the orders add little load. */
#define PACE_REPEAT_US (2000 * GN_US_PER_MS)
/** A task at or below this pace, in percent, for this long may be moved. */
#define LOW_PACE 50
#define LOW_PACE_US (800 * GN_US_PER_MS)
/** Share of full speed that a move must gain at least. */
#define MOVE_GAIN_MIN 0.4
#define MOVES_MAX 12
/** A task at or below this pace, in percent, for this long is moved in any
 * case, to make way for others. */
#define VERY_LOW_PACE 35
#define VERY_LOW_PACE_US (1200 * GN_US_PER_MS)

static const Gn__JobStep *get_step(const sched_task_t *task)
{
	return task->unit->step;
}

static bool is_best_effort(const sched_task_t *task)
{
	return get_step(task)->fills && task->listed && !task->stopping;
}

static bool is_serving(const sched_task_t *task)
{
	return get_step(task)->target_ms && task->listed && !task->stopping;
}

/* ======   Learning   ====== */

/* Lists arrive more often than readings change, so only a change is new. */
static bool is_new_reading(const sched_task_t *task)
{
	return is_serving(task) && task->last_reading &&
	       task->last_reading != task->previous_reading;
}

void sched_learn_from_worker(gn_sched_t *sched, sched_worker_t *worker)
{
	sched_mix_t mix;

	if (!worker->serving || !worker->capacity.cpu_milli)
		return;
	sched_mix_get(sched, worker, &mix);
	for (guint i = 0; i < worker->claims->len; i++) {
		sched_task_t *task = g_ptr_array_index(worker->claims, i);
		double target_ms = get_step(task)->target_ms;

		if (!is_new_reading(task))
			continue;
		sched->learned = true;
		gn_interference_update(sched->interference, task->image,
				       target_ms / task->last_reading,
				       &task->unit->baseline, mix.uses,
				       mix.use_count, sched_now_us(sched));
	}
}

/* ======   Emergencies   ====== */

static bool has_task_over_target(const sched_worker_t *worker)
{
	for (guint i = 0; i < worker->claims->len; i++) {
		const sched_task_t *task = g_ptr_array_index(worker->claims, i);

		if (is_serving(task) &&
		    task->last_reading >= get_step(task)->target_ms)
			return true;
	}
	return false;
}

static bool has_running_best_effort(const sched_worker_t *worker)
{
	for (guint i = 0; i < worker->claims->len; i++) {
		const sched_task_t *task = g_ptr_array_index(worker->claims, i);

		if (is_best_effort(task) && task->pace_percent)
			return true;
	}
	return false;
}

/* Whether all best-effort tasks on the worker must be paused. */
static bool is_emergency(const gn_sched_t *sched, sched_worker_t *worker)
{
	uint64_t now_us = sched_now_us(sched);

	if (!has_task_over_target(worker)) {
		worker->over_target_since_us = 0;
		worker->cleared_since_us = 0;
		return false;
	}
	if (!worker->over_target_since_us)
		worker->over_target_since_us = now_us;
	if (has_running_best_effort(worker))
		worker->cleared_since_us = 0;
	else if (!worker->cleared_since_us)
		worker->cleared_since_us = now_us;
	/* The tail is over its target without best-effort tasks, so these are
	 * not the cause. */
	if (worker->cleared_since_us &&
	    now_us - worker->cleared_since_us >= BASELINE_OVER_US) {
		worker->over_target_since_us = now_us;
		return false;
	}
	return now_us - worker->over_target_since_us >= EMERGENCY_US;
}

/* ======   Paces   ====== */

static void order_pace(gn_sched_t *sched, sched_task_t *task, uint32_t percent,
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
	if (percent != task->pace_percent || !task->pace_ordered_us)
		sched_emit_task_event(sched, "pace", task, why, percent);
	task->pace_percent = percent;
	task->pace_ordered_us = sched_now_us(sched);
	sched->ops->send_order(sched->arg, task->worker->host, &order);
}

static bool is_significant_change(uint32_t current, uint32_t wanted)
{
	if (wanted == current)
		return false;
	return !wanted || wanted == PACE_FULL ||
	       wanted + PACE_CHANGE_MIN <= current ||
	       wanted >= current + PACE_CHANGE_MIN;
}

/* Whether a pace order of an earlier leader may still be in force. */
static bool is_pace_unknown(const sched_task_t *task)
{
	return task->restored && !task->pace_ordered_us;
}

/* Whether the last pace order may have got lost or been undone by an older one.
 * A run that was never ordered a pace has full speed. */
static bool is_repeat_due(const gn_sched_t *sched, const sched_task_t *task)
{
	return task->pace_ordered_us &&
	       sched_now_us(sched) - task->pace_ordered_us >= PACE_REPEAT_US;
}

static void set_pace(gn_sched_t *sched, sched_task_t *task, uint32_t wanted,
		     const char *why)
{
	if (!is_best_effort(task))
		return;
	/* A repetition also makes small changes, without which a run that was
	 * paused would stay so while only a low pace is possible. */
	if (is_pace_unknown(task) || is_repeat_due(sched, task) ||
	    is_significant_change(task->pace_percent, wanted))
		order_pace(sched, task, wanted, why);
}

static void pause_best_effort(gn_sched_t *sched, const sched_worker_t *worker)
{
	for (guint i = 0; i < worker->claims->len; i++) {
		sched_task_t *task = g_ptr_array_index(worker->claims, i);

		set_pace(sched, task, 0,
			 "a tail latency stays over its target");
	}
}

static uint32_t get_percent(const sched_mix_best_effort_t *row)
{
	return (uint32_t)(PACE_FULL * row->pace);
}

static void set_row_pace(gn_sched_t *sched, const sched_mix_best_effort_t *row)
{
	set_pace(sched, row->task, get_percent(row),
		 row->late ? "headroom for late jobs" : "headroom");
}

static void update_paces(gn_sched_t *sched, sched_worker_t *worker,
			 const sched_mix_t *mix)
{
	if (is_emergency(sched, worker)) {
		pause_best_effort(sched, worker);
		return;
	}
	for (size_t i = 0; i < mix->best_effort_count; i++)
		set_row_pace(sched, &mix->best_effort[i]);
}

/* ======   Moves   ====== */

/* Returns the highest speed that the task would reach on another worker. */
static double get_best_speed(gn_sched_t *sched, const sched_task_t *task)
{
	const Gn__JobStep *step = get_step(task);
	const gn_resource_vector_t resources = sched_step_resources(step);
	const sched_mix_candidate_t added = { task->image, step->cpu_milli,
					      task->job->late };
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
		    !gn_resource_vector_fits(&worker->capacity, &worker->used,
					     &resources))
			continue;
		sched_mix_get(sched, worker, &mix);
		speed = sched_mix_speed(sched, worker, &mix, &added);
		if (speed > best)
			best = speed;
	}
	return best;
}

static void track_low_pace(const gn_sched_t *sched, sched_task_t *task)
{
	uint64_t now_us = sched_now_us(sched);

	if (task->pace_percent > LOW_PACE)
		task->slow_since_us = 0;
	else if (!task->slow_since_us)
		task->slow_since_us = now_us;
	if (task->pace_percent > VERY_LOW_PACE)
		task->very_slow_since_us = 0;
	else if (!task->very_slow_since_us)
		task->very_slow_since_us = now_us;
}

static bool has_lasted(const gn_sched_t *sched, uint64_t since_us,
		       uint64_t duration_us)
{
	return since_us && sched_now_us(sched) - since_us >= duration_us;
}

/* Returns why the task should leave its worker, or NULL. */
static const char *get_move_reason(gn_sched_t *sched, sched_task_t *task,
				   double cpu_share)
{
	double speed = cpu_share * task->pace_percent / PACE_FULL;

	track_low_pace(sched, task);
	/* While a start call is open, the task may start on this worker only. */
	if (task->moves >= MOVES_MAX || !sched_calls_are_settled(task))
		return NULL;
	if (has_lasted(sched, task->very_slow_since_us, VERY_LOW_PACE_US))
		return "crawls";
	if (!has_lasted(sched, task->slow_since_us, LOW_PACE_US))
		return NULL;
	/* Restarts the interval, which limits how often this is computed. */
	task->slow_since_us = sched_now_us(sched);
	return get_best_speed(sched, task) >= MOVE_GAIN_MIN + speed
		       ? "faster on another worker"
		       : NULL;
}

/* Moves only tasks that resume from a checkpoint; others would lose work. */
static void move_slow_task(gn_sched_t *sched, sched_worker_t *worker,
			   const sched_mix_t *mix)
{
	for (guint i = 0; i < worker->claims->len; i++) {
		sched_task_t *task = g_ptr_array_index(worker->claims, i);
		const char *reason = NULL;

		if (is_best_effort(task) && get_step(task)->checkpoints)
			reason = get_move_reason(sched, task, mix->cpu_share);
		if (!reason)
			continue;
		task->moves++;
		sched_stop_run(task, reason);
		/* One move per call, so that the next call sees its effect. */
		return;
	}
}

void sched_throttle_late_tasks(gn_sched_t *sched, sched_worker_t *worker)
{
	sched_mix_t mix;

	sched_mix_get(sched, worker, &mix);
	for (size_t i = 0; i < mix.best_effort_count; i++) {
		const sched_mix_best_effort_t *row = &mix.best_effort[i];

		if (row->late && get_percent(row) < row->task->pace_percent)
			set_row_pace(sched, row);
	}
}

void sched_pace_worker(gn_sched_t *sched, sched_worker_t *worker)
{
	sched_mix_t mix;

	/* Runs that were throttled beside serving tasks have to return to full
	 * speed when the last of these has left. */
	if (!worker->best_effort || !worker->capacity.cpu_milli)
		return;
	sched_mix_get(sched, worker, &mix);
	update_paces(sched, worker, &mix);
	move_slow_task(sched, worker, &mix);
}
