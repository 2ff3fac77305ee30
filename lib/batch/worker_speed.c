/**
 * @file worker_speed.c
 * @brief Throttles and evicts single runs of a worker.
 */
#include "batch/worker_tasks_internal.h"

static gn_run_t *find_active_run(gn_worker_tasks_t *tasks, uint64_t id)
{
	gn_run_t *run = g_hash_table_lookup(tasks->runs, &id);

	return run && gn_run_is_active(run) ? run : NULL;
}

gn_code_t gn_worker_tasks_set_speed(gn_worker_tasks_t *tasks, uint64_t id,
				    unsigned speed_pct)
{
	gn_run_t *run = find_active_run(tasks, id);
	gn_action_t *action;

	if (!speed_pct || speed_pct > GN_SPEED_FULL_PCT)
		return GN_ERR_RANGE;
	/* Until the start is confirmed, a throttle might overtake it. */
	if (!run || !run->confirmed || run->ending)
		return GN_ERR_STALE;
	if (run->speed_pct == speed_pct)
		return GN_OK;
	action = gn_run_queue_action(tasks, GN_ACTION_THROTTLE, run);
	if (!action)
		return GN_ERR_MEMORY;
	action->speed_pct = speed_pct;
	run->speed_pct = speed_pct;
	return GN_OK;
}

void gn_worker_tasks_set_known_speed(gn_worker_tasks_t *tasks, uint64_t id,
				     unsigned speed_pct)
{
	gn_run_t *run = find_active_run(tasks, id);

	if (run)
		run->speed_pct = speed_pct;
}

gn_code_t gn_worker_tasks_evict(gn_worker_tasks_t *tasks, uint64_t id,
				gn_action_kind_t kind)
{
	gn_run_t *run = find_active_run(tasks, id);

	if (!run)
		return GN_ERR_STALE;
	gn_run_request_end(tasks, run, kind);
	return GN_OK;
}

void gn_worker_tasks_foreach_active(const gn_worker_tasks_t *tasks,
				    void (*visit)(const gn_active_run_t *run,
						  void *data),
				    void *data)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, tasks->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const gn_run_t *run = value;
		const gn_active_run_t active = {
			.id = run->id,
			.kind = run->kind,
			.work_class = run->work_class,
			.confirmed = run->confirmed,
			.confirmed_us = run->confirmed_us,
			.ending = run->ending,
			.speed_pct = run->speed_pct,
		};

		if (gn_run_is_active(run))
			visit(&active, data);
	}
}
