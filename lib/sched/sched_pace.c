/**
 * @file sched_pace.c
 * @brief Control of interference: what fills yields to what serves.
 *
 * Answers the load of filling tasks beside serving ones whose tail latency
 * depends on them by amounts that differ by pair and change within seconds.
 * A serving task near or over its target has all that fills on its worker
 * paced down at once; while the tail is well below the target, the pace
 * climbs again step by step.
 */
#include "sched/sched_internal.h"

/** Share of the target, percent, above which the pace is cut. */
#define CUT_PERCENT 90
/** Share of the target, percent, below which the pace climbs. */
#define CLIMB_PERCENT 65
/** One step of climbing, percent of a task's pace. */
#define CLIMB_STEP 10
/** Time between two steps of climbing. */
#define CLIMB_US (1000 * GN_US_PER_MS)

/* The worst tail on the worker, percent of its target. */
static uint32_t get_pressure(const sched_worker_t *worker)
{
	uint32_t worst = 0;

	for (guint i = 0; i < worker->claims->len; i++) {
		const sched_task_t *task = g_ptr_array_index(worker->claims, i);
		uint32_t target_ms =
			task->job->units[task->unit].step->target_ms;
		uint32_t share;

		if (!target_ms || !task->listed || task->stopping)
			continue;
		share = (uint32_t)((uint64_t)task->gauge * 100 / target_ms);
		if (share > worst)
			worst = share;
	}
	return worst;
}

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

static uint32_t get_wanted(uint32_t pressure, uint32_t percent, bool may_climb)
{
	if (pressure >= 100)
		return 0;
	if (pressure >= CUT_PERCENT)
		return percent / 2;
	if (pressure < CLIMB_PERCENT && may_climb && percent < 100)
		return percent + CLIMB_STEP < 100 ? percent + CLIMB_STEP : 100;
	return percent;
}

void sched_pace_worker(gn_sched_t *sched, sched_worker_t *worker)
{
	uint64_t now_us = sched_now_us(sched);
	bool may_climb = now_us - worker->paced_us >= CLIMB_US;
	uint32_t pressure;

	if (!worker->filling)
		return;
	pressure = get_pressure(worker);
	for (guint i = 0; i < worker->claims->len; i++) {
		sched_task_t *task = g_ptr_array_index(worker->claims, i);
		uint32_t wanted =
			get_wanted(pressure, task->percent, may_climb);

		if (!task->job->units[task->unit].step->fills ||
		    !task->listed || task->stopping || wanted == task->percent)
			continue;
		worker->paced_us = now_us;
		set_pace(sched, task, wanted);
	}
}
