/**
 * @file sched_straggler.c
 * @brief Takes runs away from workers that are slow or stand still.
 */
#include "sched/sched_internal.h"

/** A task is taken away at most so often: its work is lost each time. */
#define MOVES_MAX 2
/** A run takes long by its own nature, unless others there do so, too. */
#define SLOW_RUNS_MIN 3
#define SLOW_RUNS_SHARE 0.7
#define SLOW_FACTOR 2.0
/** A worker this much slower than the declared times is no better place. */
#define SLOWNESS_MAX 1.5

/* What fills is paced, what stands has no end, and a gang goes as one. */
static bool is_judged(const Gn__JobStep *step)
{
	return !step->fills && !step->standing && !step->gang &&
	       step->estimate_ms;
}

static bool is_better(gn_sched_t *sched, const sched_worker_t *worker,
		      const sched_task_t *task, const Gn__JobStep *step)
{
	const gn_room_t room = sched_step_room(step);

	return worker != task->worker &&
	       gn_health_is_good(&worker->health, sched_now_us(sched)) &&
	       worker->health.slowness < SLOWNESS_MAX &&
	       sched_worker_is_eligible(sched, worker, task->job, step) &&
	       gn_room_fits(&worker->capacity, &worker->used, &room);
}

static bool has_better(gn_sched_t *sched, const sched_task_t *task,
		       const Gn__JobStep *step)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (is_better(sched, value, task, step))
			return true;
	return false;
}

/* Whether most runs on the worker take longer than declared. */
static bool is_worker_slow(const gn_sched_t *sched,
			   const sched_worker_t *worker)
{
	uint64_t now_us = sched_now_us(sched);
	unsigned judged = 0;
	unsigned slow = 0;

	for (guint i = 0; i < worker->claims->len; i++) {
		const sched_task_t *task = g_ptr_array_index(worker->claims, i);
		const Gn__JobStep *step = task->job->units[task->unit].step;
		double total_us;

		if (!is_judged(step) || !task->progress.since_us)
			continue;
		total_us =
			(double)gn_progress_total_us(&task->progress, now_us);
		judged++;
		slow += total_us >
			SLOW_FACTOR * step->estimate_ms * GN_US_PER_MS;
	}
	return judged >= SLOW_RUNS_MIN && slow >= SLOW_RUNS_SHARE * judged;
}

void sched_watch_run(gn_sched_t *sched, sched_task_t *task, uint32_t percent)
{
	const Gn__JobStep *step = task->job->units[task->unit].step;
	uint64_t estimate_us = (uint64_t)step->estimate_ms * GN_US_PER_MS;
	uint64_t now_us = sched_now_us(sched);
	gn_health_t *health = &task->worker->health;
	gn_progress_verdict_t verdict;

	if (!is_judged(step) || task->stopping || task->moves >= MOVES_MAX)
		return;
	verdict = gn_progress_judge(&task->progress, percent, estimate_us,
				    now_us);
	if (verdict == GN_PROGRESS_FINE ||
	    (verdict == GN_PROGRESS_SLOW &&
	     !is_worker_slow(sched, task->worker)) ||
	    !has_better(sched, task, step))
		return;
	task->moves++;
	if (verdict == GN_PROGRESS_STILL)
		gn_health_fail(health, now_us);
	else
		gn_health_succeed(health,
				  gn_progress_total_us(&task->progress, now_us),
				  estimate_us);
	sched_stop(task, verdict == GN_PROGRESS_STILL ? "stands still"
						      : "sooner elsewhere");
}
