/**
 * @file sched_pass.c
 * @brief Placement pass: assigns waiting tasks to workers.
 *
 * Jobs are handled in the order of sched/rank.h; sched/place.h chooses the
 * worker of each task.
 */
#include <string.h>

#include "common/str.h"
#include "sched/sched_pass.h"

/**
 * Share of its full speed below which a best-effort task waits; see
 * docs/MEASUREMENTS.md.
 */
#define MIN_SPEED 0.95
/** After waiting for this long, a best-effort task accepts this speed. */
#define STARVED_US (15000 * GN_US_PER_MS)
#define STARVED_MIN_SPEED 0.1
/**
 * A job without claims accepts any speed after waiting for this long, while
 * claims reserve less than this share of all CPU.
 */
#define IDLE_US (1500 * GN_US_PER_MS)
#define IDLE_RESERVED_SHARE 0.6
/** After waiting for this long, a task is also placed on unhealthy workers. */
#define UNHEALTHY_WAIT_US (1000 * GN_US_PER_MS)
/** A pause of this many times its duration follows each pass, which bounds the
 * processor time spent on passes. */
#define PASS_INTERVAL_FACTOR 4

/* ======   Candidates   ====== */

static void get_candidates(gn_sched_t *sched, sched_candidates_t *all)
{
	GHashTableIter iter;
	gpointer value;
	guint max = g_hash_table_size(sched->workers) + 1;
	uint64_t capacity = 0;
	uint64_t used = 0;

	all->count = 0;
	all->workers = g_new(sched_worker_t *, max);
	all->mixes = g_new(sched_mix_t, max);
	all->views = g_new0(gn_place_worker_t, max);
	g_hash_table_iter_init(&iter, sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sched_worker_t *worker = value;

		if (!sched_worker_accepts_tasks(sched, worker))
			continue;
		all->mixes[all->count].late_milli = 0;
		if (worker->capacity.cpu_milli)
			sched_mix_get(sched, worker, &all->mixes[all->count]);
		all->workers[all->count++] = worker;
		capacity += worker->capacity.cpu_milli;
		used += worker->used.cpu_milli;
	}
	all->used_fraction = capacity ? (double)used / (double)capacity : 1;
}

static uint32_t count_same_image(const sched_worker_t *worker,
				 const Gn__JobStep *step)
{
	uint32_t count = 0;

	for (guint i = 0; step->target_ms && i < worker->claims->len; i++) {
		const sched_task_t *task = g_ptr_array_index(worker->claims, i);

		count += task->job->units[task->unit].step->target_ms &&
			 !strcmp(task->image, step->image);
	}
	return count;
}

static bool has_free_resources(const sched_worker_t *worker,
			       const gn_resource_vector_t *resources)
{
	gn_resource_vector_t used = worker->used;

	gn_resource_vector_add(&used, &worker->unclaimed_use);
	return worker->capacity.cpu_milli &&
	       gn_resource_vector_fits(&worker->capacity, &used, resources);
}

static bool has_waited_for(const sched_job_t *job, const sched_unit_t *unit,
			   uint64_t duration_us)
{
	return sched_now_us(job->sched) - unit->waiting_us >= duration_us;
}

static bool is_idle_with_spare_cpu(const sched_candidates_t *all,
				   const sched_job_t *job,
				   const sched_unit_t *unit)
{
	return !job->claimed && has_waited_for(job, unit, IDLE_US) &&
	       all->used_fraction < IDLE_RESERVED_SHARE;
}

static double get_min_speed(const sched_candidates_t *all,
			    const sched_job_t *job, const sched_unit_t *unit)
{
	/* A late job is not started only to be paused. */
	if (!job->late && is_idle_with_spare_cpu(all, job, unit))
		return 0;
	return has_waited_for(job, unit, STARVED_US) ? STARVED_MIN_SPEED
						     : MIN_SPEED;
}

static bool is_healthy(const gn_sched_t *sched, const sched_worker_t *worker)
{
	return gn_health_is_good(&worker->health, sched_now_us(sched));
}

static void update_best_effort_view(sched_candidates_t *all, size_t at,
				    const gn_sched_t *sched,
				    const sched_mix_candidate_t *added)
{
	gn_place_worker_t *view = &all->views[at];

	view->best_effort_speed = sched_mix_speed(sched, all->workers[at],
						  &all->mixes[at], added);
	view->budget_use = sched_mix_budget_use(sched, all->workers[at],
						&all->mixes[at], added);
}

static void update_view(sched_candidates_t *all, size_t at,
			const gn_sched_t *sched, const sched_job_t *job,
			const sched_unit_t *unit)
{
	const Gn__JobStep *step = unit->step;
	const gn_resource_vector_t resources = sched_step_resources(step);
	const sched_worker_t *worker = all->workers[at];
	gn_place_worker_t *view = &all->views[at];

	view->eligible = has_free_resources(worker, &resources) &&
			 sched_worker_is_eligible(sched, worker, job, step) &&
			 sched_advice_allows(job, unit, worker) &&
			 (is_healthy(sched, worker) ||
			  has_waited_for(job, unit, UNHEALTHY_WAIT_US));
	if (!view->eligible)
		return;
	view->capacity = worker->capacity;
	view->used = worker->used;
	gn_resource_vector_add(&view->used, &worker->unclaimed_use);
	view->same_step = 0;
	view->serving = worker->serving;
	view->best_effort = worker->best_effort;
	view->best_effort_milli = worker->best_effort_milli;
	view->slowness = gn_cold_get_slowness(
		&worker->cold, worker->health.slowness, sched_now_us(sched));
	view->same_image = count_same_image(worker, step);
	view->near = !*step->rack || !strcmp(step->rack, worker->rack);
	view->best_effort_speed = 1;
	view->budget_use = 0;
	if (step->fills)
		update_best_effort_view(
			all, at, sched,
			&(sched_mix_candidate_t){ g_intern_string(step->image),
						  step->cpu_milli, job->late });
}

static void count_same_step(sched_candidates_t *all, const sched_job_t *job,
			    const sched_unit_t *unit)
{
	for (uint32_t i = 0; i < unit->step->count; i++) {
		const sched_task_t *task = &job->tasks[unit->first + i];

		if (task->state != GN_JOB_TASK_CLAIMED)
			continue;
		for (size_t k = 0; k < all->count; k++)
			if (all->workers[k] == task->worker)
				all->views[k].same_step++;
	}
}

/* ======   Placement   ====== */

/* Keeps tasks away from workers where others are started in isolation. */
static void exclude_reserved(sched_candidates_t *all)
{
	for (size_t i = 0; i < all->count; i++)
		all->views[i].eligible &= !all->workers[i]->isolates;
}

/* Returns the next waiting task of @p unit that may be started beside others,
 * or NULL. */
static sched_task_t *find_waiting_task(sched_job_t *job, sched_unit_t *unit)
{
	while (unit->search_from < unit->step->count) {
		sched_task_t *task =
			&job->tasks[unit->first + unit->search_from];

		if (task->state == GN_JOB_TASK_WAITING &&
		    !sched_isolate_is_awaited(task))
			return task;
		unit->search_from++;
	}
	return NULL;
}

void sched_claim_on_candidate(sched_candidates_t *all, size_t at,
			      sched_task_t *task, const gn_place_task_t *wanted,
			      uint32_t attempt)
{
	const gn_sched_t *sched = task->job->sched;
	gn_place_worker_t *view = &all->views[at];

	sched_create_claim(task, all->workers[at], attempt);
	gn_resource_vector_add(&view->used, &wanted->resources);
	view->same_step++;
	view->serving += wanted->serving;
	view->same_image += wanted->serving;
	view->best_effort += wanted->best_effort;
	view->best_effort_milli += wanted->best_effort_milli;
	if (!wanted->best_effort)
		return;
	sched_mix_add(sched, &all->mixes[at], all->workers[at], task);
	update_best_effort_view(all, at, sched,
				&(sched_mix_candidate_t){
					task->image, wanted->best_effort_milli,
					task->job->late });
}

static void place_unit(gn_sched_t *sched, sched_candidates_t *all,
		       sched_job_t *job, sched_unit_t *unit)
{
	const Gn__JobStep *step = unit->step;
	const gn_place_task_t wanted = {
		.resources = sched_step_resources(step),
		.per_worker = step->per_worker,
		.best_effort_milli = step->fills ? step->cpu_milli : 0,
		.best_effort = step->fills,
		.min_speed = get_min_speed(all, job, unit),
		.serving = step->target_ms != 0,
		.far_factor = sched->config.far_factor
	};
	sched_task_t *task;
	size_t at;

	for (size_t i = 0; i < all->count; i++)
		update_view(all, i, sched, job, unit);
	if (step->per_worker)
		count_same_step(all, job, unit);
	if (step->gang) {
		bool isolated = sched_isolate_restrict_gang(all, job, unit);

		if (!isolated)
			exclude_reserved(all);
		sched_gang_place(all, job, unit, &wanted, isolated);
		return;
	}
	sched_isolate_place(all, job, unit, &wanted);
	exclude_reserved(all);
	while ((task = find_waiting_task(job, unit))) {
		at = gn_place(&wanted, all->views, all->count);
		if (at == GN_PLACE_NONE)
			return;
		sched_claim_on_candidate(all, at, task, &wanted,
					 task->attempt + 1);
	}
}

static bool has_room_for_unit(gn_sched_t *sched, sched_candidates_t *all,
			      const sched_job_t *job, const sched_unit_t *unit)
{
	double min_speed = get_min_speed(all, job, unit);

	for (size_t i = 0; i < all->count; i++) {
		update_view(all, i, sched, job, unit);
		if (all->views[i].eligible && !all->workers[i]->isolates &&
		    all->views[i].best_effort_speed >= min_speed)
			return true;
	}
	return false;
}

static void place_job(gn_sched_t *sched, sched_candidates_t *all,
		      sched_job_t *job)
{
	for (uint32_t i = 0; i < job->unit_count; i++) {
		sched_unit_t *unit = &job->units[i];

		if (!unit->ready || !unit->waiting)
			continue;
		unit->search_from = 0;
		place_unit(sched, all, job, unit);
		if (job->advised && unit->waiting)
			sched_advice_request_tickets(sched, job, unit);
	}
}

static void throttle_late_tasks(gn_sched_t *sched,
				const sched_candidates_t *all)
{
	for (size_t i = 0; i < all->count; i++)
		if (all->mixes[i].late_milli)
			sched_throttle_late_tasks(sched, all->workers[i]);
}

static void free_candidates(sched_candidates_t *all)
{
	g_free(all->workers);
	g_free(all->mixes);
	g_free(all->views);
}

bool sched_job_has_room(sched_job_t *job)
{
	sched_candidates_t all;
	bool has_room = false;

	get_candidates(job->sched, &all);
	for (uint32_t i = 0; i < job->unit_count && !has_room; i++)
		has_room = job->units[i].ready &&
			   has_room_for_unit(job->sched, &all, job,
					     &job->units[i]);
	free_candidates(&all);
	return has_room;
}

static void run_pass(gn_sched_t *sched)
{
	sched_candidates_t all;
	GPtrArray *ranked = sched_rank_jobs(sched);

	get_candidates(sched, &all);
	sched->suspects_wait = false;
	for (guint i = 0; i < ranked->len && all.count; i++)
		place_job(sched, &all, g_ptr_array_index(ranked, i));
	sched_isolate_release_workers(sched);
	throttle_late_tasks(sched, &all);
	if (all.count) {
		sched_update_feasibility(sched, &all, ranked);
		sched_update_headroom(sched, &all);
	}
	free_candidates(&all);
	g_ptr_array_unref(ranked);
}

void gn_sched_run_pass(gn_sched_t *sched)
{
	uint64_t now_us = sched_now_us(sched);

	if (!sched->changed || !sched->queues || now_us < sched->pass_due_us)
		return;
	if (!sched_knows_evacuations(sched)) {
		sched->held_back_passes++;
		return;
	}
	sched->changed = false;
	run_pass(sched);
	sched->pass_due_us =
		sched_now_us(sched) +
		PASS_INTERVAL_FACTOR * (sched_now_us(sched) - now_us);
}
