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
/** After waiting for this long, a task that lasts is placed on workers that are
 * reserved for suspects. */
#define RESERVED_WAIT_US (1500 * GN_US_PER_MS)
/** The same while a start in isolation is being watched there. */
#define ISOLATED_WAIT_US (3000 * GN_US_PER_MS)
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
	all->awaited = NULL;
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

		count += task->unit->step->target_ms &&
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
	/* Waiting for a near worker is no reason to take a bad one. */
	return !unit->near_waiting &&
	       sched_now_us(job->sched) - unit->waiting_us >= duration_us;
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

static void count_same_step(sched_candidates_t *all, const sched_unit_t *unit)
{
	for (uint32_t i = 0; i < unit->step->count; i++) {
		const sched_task_t *task = &unit->tasks[i];

		if (task->state != GN_JOB_TASK_CLAIMED)
			continue;
		for (size_t k = 0; k < all->count; k++)
			if (all->workers[k] == task->worker)
				all->views[k].same_step++;
	}
}

/* ======   Waits for near workers   ====== */

size_t sched_near_count_awaited(const sched_candidates_t *all, const char *rack)
{
	if (!all->awaited)
		return 0;
	return GPOINTER_TO_SIZE(g_hash_table_lookup(all->awaited, rack));
}

static void add_awaited(sched_candidates_t *all, const char *rack, size_t count)
{
	size_t before = sched_near_count_awaited(all, rack);

	if (!all->awaited)
		all->awaited = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(all->awaited, (gpointer)rack,
			    GSIZE_TO_POINTER(before + count));
}

static double get_slowness(const sched_worker_t *worker)
{
	return worker->health.slowness > 0 ? worker->health.slowness : 1;
}

/* Whether the worker is one to wait for. */
static bool is_worth_waiting(const sched_worker_t *worker,
			     const sched_job_t *job, const sched_unit_t *unit,
			     double slowness)
{
	return worker->capacity.cpu_milli && !worker->isolates &&
	       is_healthy(job->sched, worker) &&
	       get_slowness(worker) < GN_LOCALITY_SLOW_FACTOR * slowness &&
	       sched_worker_is_eligible(job->sched, worker, job, unit->step) &&
	       sched_advice_allows(job, unit, worker);
}

/* Returns what a task of @p step uses of that which @p wanted lacks. For
 * best-effort tasks, this is the CPU that others leave. */
static gn_resource_vector_t get_competing_use(const Gn__JobStep *step,
					      const Gn__JobStep *wanted)
{
	gn_resource_vector_t use = sched_step_resources(step);

	if (wanted->fills)
		use.cpu_milli = step->fills ? step->cpu_milli : 0;
	return use;
}

/* Sets what the end of a claim frees, and when; returns false if that is not
 * known. */
static bool get_run(const sched_task_t *task, const sched_unit_t *wanted,
		    gn_locality_run_t *run)
{
	const gn_sched_t *sched = task->job->sched;
	const sched_unit_t *unit = task->unit;
	const Gn__JobStep *step = unit->step;
	const sched_run_time_t *time = sched_job_run_time(task->job, unit);
	double run_ms = (double)time->run_ms;

	if (step->standing || !time->run_ms || !task->pace_percent)
		return false;
	if (*step->rack && strcmp(step->rack, task->worker->rack) != 0)
		run_ms *= sched->config.far_factor;
	run_ms = run_ms * 100 / task->pace_percent;
	run->resources = get_competing_use(step, wanted->step);
	run->same_step = unit == wanted;
	run->end = gn_locality_expect_end(
		(double)(sched_now_us(sched) - task->claimed_us) / GN_US_PER_MS,
		run_ms, time->spread);
	return true;
}

/* Adds the places on one worker. */
static void add_places(const sched_worker_t *worker, const sched_unit_t *unit,
		       GArray *places)
{
	const gn_locality_need_t need = {
		.resources = get_competing_use(unit->step, unit->step),
		.per_worker = unit->step->per_worker
	};
	gn_locality_worker_t input = { .capacity = worker->capacity,
				       .used = worker->used };
	gn_locality_time_t found[GN_LOCALITY_PLACES_MAX];
	gn_locality_run_t *runs =
		g_new(gn_locality_run_t, worker->claims->len + 1);
	size_t count = 0;

	gn_resource_vector_add(&input.used, &worker->unclaimed_use);
	/* The worker has no CPU left for best-effort tasks at full speed. */
	if (unit->step->fills) {
		input.capacity.cpu_milli = worker->best_effort_milli;
		input.used.cpu_milli = worker->best_effort_milli;
	}
	for (guint i = 0; i < worker->claims->len; i++) {
		const sched_task_t *task = g_ptr_array_index(worker->claims, i);

		input.same_step += task->unit == unit;
		count += get_run(task, unit, &runs[count]);
	}
	count = gn_locality_find_places(&input, &need, runs, count, found,
					GN_LOCALITY_PLACES_MAX);
	g_array_append_vals(places, found, (guint)count);
	g_free(runs);
}

void sched_near_get_places(const sched_candidates_t *all,
			   const sched_job_t *job, const sched_unit_t *unit,
			   const char *rack, double slowness, GArray *places)
{
	for (size_t i = 0; i < all->count; i++)
		if (!strcmp(all->workers[i]->rack, rack) &&
		    is_worth_waiting(all->workers[i], job, unit, slowness))
			add_places(all->workers[i], unit, places);
	gn_locality_sort_places((gn_locality_time_t *)(void *)places->data,
				places->len);
}

static double get_saved_ms(const sched_task_t *task)
{
	const sched_job_t *job = task->job;

	return (job->sched->config.far_factor - 1) *
	       (double)sched_job_run_time(job, task->unit)->run_ms;
}

static double get_waited_ms(const sched_task_t *task)
{
	return (double)(sched_now_us(task->job->sched) - task->near_wait_us) /
	       GN_US_PER_MS;
}

/* Few tasks of a step are left when each may be the one that ends last. */
static bool is_among_last(const sched_unit_t *unit)
{
	uint32_t left = unit->step->count - unit->done;

	return unit->step->gang || left <= 1 + unit->step->count / 10;
}

static void begin_wait(sched_task_t *task, const char *rack,
		       const gn_locality_decision_t *decision)
{
	gn_sched_t *sched = task->job->sched;
	uint64_t now_us = sched_now_us(sched);
	g_autofree char *why = g_strdup_printf(
		"rack %s, expected in %.0f ms, which saves %.0f ms", rack,
		decision->wait_ms, decision->gain_ms);

	task->near_wait_us = now_us;
	task->near_wait_until_us = decision->until_us;
	sched->near_stats.waits++;
	sched_emit_task_event(
		sched, "near wait", task, why,
		(int64_t)((decision->until_us - now_us) / GN_US_PER_MS));
}

bool sched_near_waits(sched_candidates_t *all, sched_task_t *task,
		      const char *rack, const gn_locality_time_t *place,
		      uint32_t count)
{
	const sched_job_t *job = task->job;
	sched_unit_t *unit = task->unit;
	const sched_run_time_t *time = sched_job_run_time(job, unit);
	uint64_t now_us = sched_now_us(job->sched);
	const gn_locality_task_t input = {
		.near_ms = unit->step->standing ? 0 : (double)time->run_ms,
		.far_ms = (double)time->run_ms * job->sched->config.far_factor,
		.spread = time->spread,
		.slack_ms = (double)((int64_t)(job->deadline_us - now_us) -
				     (int64_t)job->chain_us) /
			    GN_US_PER_MS,
		.is_last = is_among_last(unit),
		.until_us = task->near_wait_until_us
	};
	const gn_locality_decision_t decision =
		gn_locality_decide(&input, place, now_us);

	if (decision.reason != GN_LOCALITY_PAYS) {
		sched_emit_task_event(
			job->sched, "far start", task,
			gn_locality_reason_name(decision.reason),
			task->near_wait_us ? (int64_t)get_waited_ms(task) : 0);
		return false;
	}
	if (!task->near_wait_us)
		begin_wait(task, rack, &decision);
	unit->near_waiting += count;
	add_awaited(all, rack, count);
	return true;
}

void sched_near_end_wait(sched_task_t *task, bool is_near)
{
	gn_sched_near_stats_t *stats = &task->job->sched->near_stats;
	double won_ms;

	if (!task->near_wait_us)
		return;
	won_ms = (is_near ? get_saved_ms(task) : 0) - get_waited_ms(task);
	if (is_near)
		stats->near++;
	else
		stats->far++;
	if (won_ms > 0)
		stats->won_ms += (uint64_t)won_ms;
	else
		stats->lost_ms += (uint64_t)-won_ms;
	if (is_near)
		sched_emit_task_event(task->job->sched, "near start", task,
				      "after a wait", (int64_t)won_ms);
	task->near_wait_us = 0;
	task->near_wait_until_us = 0;
}

/* ======   Placement   ====== */

/** Waits of the tasks of a unit in one pass. */
typedef struct near_queue_s {
	bool is_begun; /**< All near workers are full. */
	gn_locality_queue_t queue;
} near_queue_t;

/* Whether no near worker has room for the task. */
static bool are_near_workers_full(const sched_candidates_t *all,
				  const gn_place_task_t *wanted)
{
	gn_place_task_t near = *wanted;
	size_t at;

	/* A near worker costs less, whatever its load. */
	near.far_factor = 1e9;
	at = gn_place(&near, all->views, all->count);
	return at == GN_PLACE_NONE || !all->views[at].near;
}

static void begin_near_queue(const sched_candidates_t *all,
			     const sched_job_t *job, const sched_unit_t *unit,
			     double slowness, near_queue_t *near)
{
	const sched_run_time_t *time = sched_job_run_time(job, unit);
	const char *rack = unit->step->rack;
	GArray *places = g_array_new(FALSE, FALSE, sizeof(gn_locality_time_t));

	near->is_begun = true;
	sched_near_get_places(all, job, unit, rack, slowness, places);
	gn_locality_begin_queue(
		&near->queue, (gn_locality_time_t *)(void *)places->data,
		places->len, sched_near_count_awaited(all, rack),
		(double)time->run_ms, time->spread);
	g_array_unref(places);
}

/* Whether a task that would go to the far candidate @p at waits instead. */
static bool waits_for_near(sched_candidates_t *all, sched_task_t *task,
			   const gn_place_task_t *wanted, size_t at,
			   near_queue_t *near)
{
	const sched_unit_t *unit = task->unit;

	if (!near->is_begun) {
		if (!are_near_workers_full(all, wanted))
			return false;
		begin_near_queue(all, task->job, unit, all->views[at].slowness,
				 near);
	}
	if (!sched_near_waits(all, task, unit->step->rack,
			      gn_locality_next_place(&near->queue), 1))
		return false;
	gn_locality_take_place(&near->queue);
	return true;
}

/* Whether a task that lasts has waited long enough to be placed on a reserved worker.
 * The crash evidence allows for a run that has begun beside one in isolation. */
static bool may_take_reserved(const sched_worker_t *worker,
			      const sched_job_t *job, const sched_unit_t *unit)
{
	uint64_t wait_us = sched_isolate_has_claim(worker) ? ISOLATED_WAIT_US
							   : RESERVED_WAIT_US;

	return unit->step->standing && has_waited_for(job, unit, wait_us);
}

/* Keeps tasks away from workers where others are started in isolation. */
static void exclude_reserved(sched_candidates_t *all, const sched_job_t *job,
			     const sched_unit_t *unit)
{
	for (size_t i = 0; i < all->count; i++)
		all->views[i].eligible &=
			!all->workers[i]->isolates ||
			may_take_reserved(all->workers[i], job, unit);
}

static bool is_at_claims_max(const sched_job_t *job)
{
	return job->claims_max && job->claimed >= job->claims_max;
}

/* Returns the next waiting task of @p unit that may be started beside others and
 * on any worker, or NULL. */
static sched_task_t *find_waiting_task(sched_unit_t *unit)
{
	if (is_at_claims_max(unit->tasks->job))
		return NULL;
	while (unit->search_from < unit->step->count) {
		sched_task_t *task = &unit->tasks[unit->search_from];

		if (task->state == GN_JOB_TASK_WAITING &&
		    !sched_isolate_is_awaited(task) &&
		    sched_calls_leave_free(task))
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

/* Places the tasks that may start on some workers only, because of start calls
 * that are open. */
static void place_bound_tasks(sched_candidates_t *all, sched_unit_t *unit,
			      const gn_place_task_t *wanted)
{
	const gn_sched_t *sched = unit->tasks->job->sched;

	if (!gn_calls_count(sched->calls))
		return;
	for (uint32_t i = 0; i < unit->step->count; i++) {
		sched_task_t *task = &unit->tasks[i];
		size_t at;

		if (task->state != GN_JOB_TASK_WAITING ||
		    is_at_claims_max(task->job) ||
		    sched_isolate_is_awaited(task) ||
		    sched_calls_leave_free(task))
			continue;
		at = sched_calls_choose(all, all->views, task, wanted);
		if (at != GN_PLACE_NONE)
			sched_claim_on_candidate(
				all, at, task, wanted,
				sched_calls_next_attempt(task));
	}
}

static void place_tasks(sched_candidates_t *all, sched_unit_t *unit,
			const gn_place_task_t *wanted)
{
	bool has_rack = *unit->step->rack != 0;
	near_queue_t near = { .is_begun = false };
	sched_task_t *task;
	size_t at;

	while ((task = find_waiting_task(unit))) {
		at = gn_place(wanted, all->views, all->count);
		if (at == GN_PLACE_NONE) {
			/* They compete for the rack as well. */
			if (has_rack)
				add_awaited(all, unit->step->rack,
					    unit->waiting - unit->near_waiting);
			return;
		}
		if (has_rack) {
			if (!all->views[at].near &&
			    waits_for_near(all, task, wanted, at, &near)) {
				unit->search_from++;
				continue;
			}
			sched_near_end_wait(task, all->views[at].near);
		}
		sched_claim_on_candidate(all, at, task, wanted,
					 task->attempt + 1);
	}
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
	for (size_t i = 0; i < all->count; i++)
		update_view(all, i, sched, job, unit);
	unit->near_waiting = 0;
	if (step->per_worker)
		count_same_step(all, unit);
	if (step->gang) {
		bool isolated = sched_isolate_restrict_gang(all, job, unit);

		if (!isolated)
			exclude_reserved(all, job, unit);
		sched_gang_place(all, job, unit, &wanted, isolated);
		return;
	}
	sched_isolate_place(all, job, unit, &wanted);
	exclude_reserved(all, job, unit);
	place_bound_tasks(all, unit, &wanted);
	place_tasks(all, unit, &wanted);
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
	for (guint i = 0; i < job->units->len; i++) {
		sched_unit_t *unit = g_ptr_array_index(job->units, i);

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
	if (all->awaited)
		g_hash_table_destroy(all->awaited);
	g_free(all->workers);
	g_free(all->mixes);
	g_free(all->views);
}

bool sched_job_has_room(sched_job_t *job)
{
	sched_candidates_t all;
	bool has_room = false;

	get_candidates(job->sched, &all);
	for (guint i = 0; i < job->units->len && !has_room; i++) {
		sched_unit_t *unit = g_ptr_array_index(job->units, i);

		has_room = unit->ready &&
			   has_room_for_unit(job->sched, &all, job, unit);
	}
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
