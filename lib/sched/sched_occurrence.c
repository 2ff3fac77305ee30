/**
 * @file sched_occurrence.c
 * @brief Opens and closes the occurrences of jobs; lib/occurrence decides which.
 */
#include "sched/sched_internal.h"

/** The tasks of one occurrence, and its steps. */
typedef struct sched_occurrence_s {
	uint32_t number;
	size_t step_count;
	size_t task_count;
	sched_unit_t *units; /**< One per step. */
	sched_task_t *tasks;
} sched_occurrence_t;

static void init_task(sched_job_t *job, sched_unit_t *unit, uint32_t index)
{
	sched_task_t *task = &unit->tasks[index];

	task->job = job;
	task->number = unit->first + index;
	task->unit = unit;
	task->pace_percent = 100;
	task->image = g_intern_string(unit->step->image);
}

static void init_unit(sched_job_t *job, sched_occurrence_t *occurrence,
		      uint32_t step)
{
	sched_unit_t *unit = &occurrence->units[step];
	uint32_t first = occurrence->number * job->width;

	unit->step_number = step;
	unit->occurrence = occurrence->number;
	unit->step = job->spec->steps[step];
	unit->first = gn_job_first_task(job->spec, occurrence->number, step);
	unit->waiting = unit->step->count;
	unit->tasks = &occurrence->tasks[unit->first - first];
	for (uint32_t i = 0; i < unit->step->count; i++)
		init_task(job, unit, i);
}

static void add_units(sched_job_t *job, sched_occurrence_t *occurrence)
{
	for (size_t i = 0; i < occurrence->step_count; i++)
		g_ptr_array_add(job->units, &occurrence->units[i]);
}

/* Lists the units of all open occurrences, in their order. */
static void list_units(sched_job_t *job)
{
	g_ptr_array_set_size(job->units, 0);
	for (guint i = 0; i < job->open_occurrences->len; i++)
		add_units(job, g_ptr_array_index(job->open_occurrences, i));
}

static uint32_t get_last_number(const sched_job_t *job)
{
	const sched_occurrence_t *last = g_ptr_array_index(
		job->open_occurrences, job->open_occurrences->len - 1);

	return last->number;
}

static gint compare_occurrences(gconstpointer a, gconstpointer b)
{
	const sched_occurrence_t *first = *(sched_occurrence_t *const *)a;
	const sched_occurrence_t *second = *(sched_occurrence_t *const *)b;

	return first->number < second->number ? -1 : 1;
}

static void free_occurrence(gpointer data)
{
	sched_occurrence_t *occurrence = data;

	for (size_t i = 0; i < occurrence->task_count; i++) {
		sched_task_t *task = &occurrence->tasks[i];

		g_free(task->checkpoint);
		sched_crash_free(task);
		if (task->open_attempts)
			g_ptr_array_unref(task->open_attempts);
	}
	for (size_t i = 0; i < occurrence->step_count; i++)
		sched_advice_free(occurrence->units[i].advice);
	g_free(occurrence->tasks);
	g_free(occurrence->units);
	g_free(occurrence);
}

void sched_occurrences_create(sched_job_t *job)
{
	uint32_t count = gn_job_occurrences(job->spec);

	job->width = gn_job_tasks_per_occurrence(job->spec);
	job->task_count = count * job->width;
	job->units = g_ptr_array_new();
	job->open_occurrences = g_ptr_array_new_with_free_func(free_occurrence);
	gn_occurrences_init(&job->occurrence_states, count);
	if (!job->spec->repeats)
		sched_occurrence_open(job, 0);
}

void sched_occurrences_free(sched_job_t *job)
{
	sched_occurrences_release(job);
	g_ptr_array_unref(job->units);
	g_ptr_array_unref(job->open_occurrences);
	gn_occurrences_clear(&job->occurrence_states);
}

void sched_occurrences_release(sched_job_t *job)
{
	job->sched->open_tasks -= job->open_tasks;
	job->open_tasks = 0;
}

void sched_occurrence_open(sched_job_t *job, uint32_t number)
{
	sched_occurrence_t *occurrence = g_new0(sched_occurrence_t, 1);
	bool is_last;

	occurrence->number = number;
	occurrence->step_count = job->spec->n_steps;
	occurrence->task_count = job->width;
	occurrence->units = g_new0(sched_unit_t, job->spec->n_steps);
	occurrence->tasks = g_new0(sched_task_t, job->width);
	for (uint32_t i = 0; i < job->spec->n_steps; i++)
		init_unit(job, occurrence, i);
	is_last = !job->open_occurrences->len || get_last_number(job) < number;
	g_ptr_array_add(job->open_occurrences, occurrence);
	if (is_last) {
		add_units(job, occurrence);
	} else {
		g_ptr_array_sort(job->open_occurrences, compare_occurrences);
		list_units(job);
	}
	gn_occurrences_set(&job->occurrence_states, number, GN_OCCURRENCE_OPEN);
	job->open_tasks += job->width;
	job->sched->open_tasks += job->width;
}

/* Returns the time at which an occurrence may start, since 1970. */
static uint64_t get_due_ms(const sched_job_t *job, uint32_t number)
{
	return job->spec->first_due_ms + number * job->spec->interval_ms;
}

void sched_occurrences_open_due(sched_job_t *job)
{
	uint32_t number = gn_occurrences_first_waiting(&job->occurrence_states);
	uint64_t wall_ms = sched_wall_ms(job->sched);

	while (number < job->occurrence_states.count &&
	       wall_ms >= get_due_ms(job, number) &&
	       gn_occurrence_may_open(&(gn_occurrence_room_t){
		       .width = job->width,
		       .job_tasks = job->open_tasks,
		       .all_tasks = job->sched->open_tasks })) {
		sched_occurrence_open(job, number);
		number = gn_occurrences_first_waiting(&job->occurrence_states);
	}
}

static bool is_occurrence_done(const sched_job_t *job,
			       const sched_occurrence_t *occurrence)
{
	for (size_t i = 0; i < job->spec->n_steps; i++)
		if (occurrence->units[i].done <
		    occurrence->units[i].step->count)
			return false;
	return true;
}

void sched_occurrences_close_done(sched_job_t *job)
{
	bool closed = false;

	for (guint i = job->open_occurrences->len; i > 0; i--) {
		const sched_occurrence_t *occurrence =
			g_ptr_array_index(job->open_occurrences, i - 1);

		if (!is_occurrence_done(job, occurrence))
			continue;
		gn_occurrences_set(&job->occurrence_states, occurrence->number,
				   GN_OCCURRENCE_DONE);
		g_ptr_array_remove_index(job->open_occurrences, i - 1);
		job->open_tasks -= job->width;
		job->sched->open_tasks -= job->width;
		closed = true;
	}
	if (closed)
		list_units(job);
}

sched_unit_t *sched_job_find_unit(const sched_job_t *job, uint32_t occurrence,
				  uint32_t step)
{
	guint low = 0;
	guint high = job->open_occurrences->len;

	if (step >= job->spec->n_steps)
		return NULL;
	while (low < high) {
		guint middle = (low + high) / 2;
		const sched_occurrence_t *found =
			g_ptr_array_index(job->open_occurrences, middle);

		if (found->number == occurrence)
			return &found->units[step];
		if (found->number < occurrence)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

sched_task_t *sched_job_get_task(const sched_job_t *job, uint32_t number)
{
	const gn_task_position_t place = gn_job_locate_task(job->spec, number);
	sched_unit_t *unit =
		sched_job_find_unit(job, place.occurrence, place.step);

	return unit ? &unit->tasks[place.index] : NULL;
}

uint32_t sched_job_waiting_occurrences(const sched_job_t *job)
{
	return job->occurrence_states.count - job->occurrence_states.open -
	       job->occurrence_states.done;
}

sched_task_t *sched_task_iter_next(sched_task_iter_t *tasks)
{
	while (tasks->unit < tasks->job->units->len) {
		const sched_unit_t *unit =
			g_ptr_array_index(tasks->job->units, tasks->unit);

		if (tasks->index < unit->step->count)
			return &unit->tasks[tasks->index++];
		tasks->unit++;
		tasks->index = 0;
	}
	return NULL;
}
