/**
 * @file sched_shrink.c
 * @brief Starts that are given up: on workers whose capacity has shrunk below
 *        what their claims use, and in evacuated data centres.
 *
 * Runs may go on, but a start would bring a worker that does not guard its
 * capacity over it. So the starts that are not confirmed yet are given up, as
 * far as they do not fit. In an evacuated data centre, all of them are.
 */
#include "sched/sched_internal.h"

static bool is_less(const gn_resource_vector_t *a,
		    const gn_resource_vector_t *b)
{
	return a->cpu_milli < b->cpu_milli || a->memory_mb < b->memory_mb ||
	       a->accelerators < b->accelerators;
}

void sched_shrink_note(sched_worker_t *worker,
		       const gn_resource_vector_t *capacity)
{
	bool is_first =
		!worker->capacity.cpu_milli && !worker->capacity.memory_mb;

	/* It may have shrunk before an earlier leader's claims were loaded. */
	if (is_first || is_less(capacity, &worker->capacity))
		worker->shrunk = true;
	worker->capacity = *capacity;
}

static bool may_give_up(const sched_task_t *task)
{
	return !task->listed && !task->stopping;
}

/* Returns what the worker uses, without the starts that are being given up. */
static gn_resource_vector_t get_use(const sched_worker_t *worker)
{
	gn_resource_vector_t use = worker->used;

	gn_resource_vector_add(&use, &worker->unclaimed_use);
	for (guint i = 0; i < worker->claims->len; i++) {
		const sched_task_t *task = g_ptr_array_index(worker->claims, i);
		const gn_resource_vector_t resources =
			sched_step_resources(task->unit->step);

		if (task->stopping && !task->listed)
			gn_resource_vector_subtract(&use, &resources);
	}
	return use;
}

/* Returns the newest claim whose start may be given up, or NULL. */
static sched_task_t *find_start(const sched_worker_t *worker)
{
	sched_task_t *newest = NULL;

	for (guint i = 0; i < worker->claims->len; i++) {
		sched_task_t *task = g_ptr_array_index(worker->claims, i);

		if (may_give_up(task) &&
		    (!newest || task->claimed_us >= newest->claimed_us))
			newest = task;
	}
	return newest;
}

/* Returns a claim to be given up for an evacuation, or NULL. */
static sched_task_t *find_evacuated(const sched_worker_t *worker)
{
	for (guint i = 0; i < worker->claims->len; i++) {
		sched_task_t *task = g_ptr_array_index(worker->claims, i);

		if (may_give_up(task) &&
		    (!task->restored || worker->has_listed))
			return task;
	}
	return NULL;
}

uint64_t sched_evacuate_starts(sched_worker_t *worker)
{
	uint64_t count = 0;
	sched_task_t *task;

	/* Giving one gang member up can release others, so search again. */
	while (worker->evacuated && (task = find_evacuated(worker))) {
		task->job->sched->evacuation_claims++;
		count++;
		sched_stop_run(task, "its data centre is evacuated");
	}
	return count;
}

void sched_shrink_give_up_starts(sched_worker_t *worker)
{
	static const gn_resource_vector_t nothing = { 0 };
	sched_task_t *task;

	while (worker->shrunk) {
		const gn_resource_vector_t use = get_use(worker);

		if (gn_resource_vector_fits(&worker->capacity, &use,
					    &nothing)) {
			worker->shrunk = false;
			return;
		}
		task = find_start(worker);
		if (!task)
			return;
		sched_stop_run(task, "the worker's capacity has shrunk");
	}
}
