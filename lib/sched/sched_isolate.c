/**
 * @file sched_isolate.c
 * @brief Starts in isolation, which show whether a task crashes its worker.
 *
 * A suspect is started on a worker where the runs of all other jobs have lasted
 * for a while, and no other job's task is started there until its own run has.
 * If the worker crashes meanwhile, the suspect is the cause. A few workers are
 * reserved for this while suspects wait, those with the fewest claims first,
 * since a crash ends all their runs.
 */
#include "sched/sched_pass.h"

/** After waiting for this long, a suspect is started like other tasks, unless the
 * verdict is to start it in isolation only. */
#define WAIT_MAX_US (4000 * GN_US_PER_MS)
/** After waiting for this long, it is started on a host that has crashed under
 * it, too. */
#define OTHER_HOST_WAIT_US (2000 * GN_US_PER_MS)
/** One in this many workers, and at least one, may be reserved. */
#define RESERVED_DIVISOR 3

/* ======   Reserved workers   ====== */

static void set_isolates(const gn_sched_t *sched, sched_worker_t *worker,
			 bool isolates)
{
	worker->isolates = isolates;
	sched_emit_worker_event(sched, "worker", worker,
				isolates ? "reserved for suspects"
					 : "no longer reserved",
				worker->claims->len);
}

void sched_isolate_reserve(const gn_sched_t *sched, sched_worker_t *worker)
{
	if (!worker->isolates)
		set_isolates(sched, worker, true);
}

bool sched_isolate_has_claim(const sched_worker_t *worker)
{
	for (guint i = 0; i < worker->claims->len; i++) {
		const sched_task_t *task = g_ptr_array_index(worker->claims, i);

		if (task->isolated)
			return true;
	}
	return false;
}

void sched_isolate_release_workers(gn_sched_t *sched)
{
	GHashTableIter iter;
	gpointer value;

	if (sched->suspects_wait)
		return;
	g_hash_table_iter_init(&iter, sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sched_worker_t *worker = value;

		if (!worker->isolates || sched_isolate_has_claim(worker))
			continue;
		set_isolates(sched, worker, false);
		sched->changed = true;
	}
}

/* ======   Suspects   ====== */

static uint64_t get_waited_us(const sched_task_t *task)
{
	return sched_now_us(task->job->sched) - task->released_us;
}

bool sched_isolate_is_awaited(const sched_task_t *task)
{
	gn_crash_verdict_t verdict = sched_crash_judge(task);

	return verdict >= GN_CRASH_ISOLATE ||
	       (verdict == GN_CRASH_SUSPECT &&
		get_waited_us(task) < WAIT_MAX_US);
}

void sched_isolate_end_if_proven(sched_task_t *task)
{
	if (!task->isolated || sched_crash_listed_ms(task) <
				       gn_crash_watch_ms(&task->crashes.record))
		return;
	task->isolated = false;
	sched_crash_clear_proofs(task);
	task->job->sched->changed = true;
}

/* Time for which the tasks beside a start in isolation must have run. With many
 * crashes, one of the next is the last, so none may be due to a task beside it
 * that crashes its worker late. */
static int64_t get_quiet_ms(const sched_task_t *task)
{
	return sched_crash_judge(task) >= GN_CRASH_ISOLATE ? GN_CRASH_YOUNG_MS
							   : GN_CRASH_BEGUN_MS;
}

/* Whether no task of another job has begun on the worker lately. */
static bool is_quiet(const sched_worker_t *worker, const sched_job_t *job,
		     int64_t quiet_ms)
{
	for (guint i = 0; i < worker->claims->len; i++) {
		const sched_task_t *task = g_ptr_array_index(worker->claims, i);

		if (task->job != job &&
		    (task->isolated || sched_crash_listed_ms(task) < quiet_ms))
			return false;
	}
	return true;
}

/* ======   Placement   ====== */

/** Workers to choose from for a start in isolation. */
typedef struct choice_s {
	const sched_task_t *task;
	const gn_place_task_t *wanted;
	bool reserved; /**< Those that are reserved, or the others. */
	bool any_host; /**< Also those that have crashed under the task. */
} choice_t;

static bool is_choice(const choice_t *choice, const sched_candidates_t *all,
		      size_t at)
{
	const sched_worker_t *worker = all->workers[at];

	/* One that is bound to a host would have all its crashes there. */
	bool any_host =
		choice->any_host && sched_calls_leave_free(choice->task);

	return worker->isolates == choice->reserved &&
	       sched_calls_allow(choice->task, worker) &&
	       (any_host ||
		!sched_crash_has_host(choice->task, worker->host)) &&
	       gn_place(choice->wanted, &all->views[at], 1) != GN_PLACE_NONE;
}

/* Returns the one with the fewest claims that can take the task. */
static size_t choose(const sched_candidates_t *all, const choice_t *choice)
{
	size_t best = GN_PLACE_NONE;

	for (size_t i = 0; i < all->count; i++) {
		const sched_worker_t *worker = all->workers[i];

		if (!is_choice(choice, all, i) ||
		    (choice->reserved && !is_quiet(worker, choice->task->job,
						   get_quiet_ms(choice->task))))
			continue;
		if (best == GN_PLACE_NONE ||
		    worker->claims->len < all->workers[best]->claims->len)
			best = i;
	}
	return best;
}

/* Whether one more worker may be reserved, as too few can take the task. */
static bool may_reserve(const sched_candidates_t *all, const choice_t *choice)
{
	size_t reserved = 0;

	for (size_t i = 0; i < all->count; i++)
		reserved += is_choice(choice, all, i);
	return reserved < MAX(all->count / RESERVED_DIVISOR, 1);
}

static bool is_other_host_eligible(const sched_candidates_t *all,
				   const sched_task_t *task)
{
	for (size_t i = 0; i < all->count; i++)
		if (all->views[i].eligible &&
		    !sched_crash_has_host(task, all->workers[i]->host))
			return true;
	return false;
}

static size_t choose_reserved(sched_candidates_t *all, sched_task_t *task,
			      const gn_place_task_t *wanted)
{
	choice_t choice = {
		.task = task,
		.wanted = wanted,
		.reserved = true,
		.any_host = get_waited_us(task) >= OTHER_HOST_WAIT_US ||
			    !is_other_host_eligible(all, task),
	};
	size_t at = choose(all, &choice);

	if (at != GN_PLACE_NONE || !may_reserve(all, &choice))
		return at;
	choice.reserved = false;
	at = choose(all, &choice);
	if (at != GN_PLACE_NONE)
		sched_isolate_reserve(task->job->sched, all->workers[at]);
	choice.reserved = true;
	return choose(all, &choice);
}

void sched_isolate_place(sched_candidates_t *all, sched_job_t *job,
			 sched_unit_t *unit, const gn_place_task_t *wanted)
{
	gn_place_task_t any_speed = *wanted;

	any_speed.min_speed = 0;
	for (uint32_t i = 0; job->suspects && i < unit->step->count; i++) {
		sched_task_t *task = &unit->tasks[i];
		size_t at;

		if (task->state != GN_JOB_TASK_WAITING ||
		    !sched_isolate_is_awaited(task))
			continue;
		at = choose_reserved(all, task, &any_speed);
		if (at == GN_PLACE_NONE) {
			job->sched->suspects_wait = true;
			continue;
		}
		sched_claim_on_candidate(all, at, task, &any_speed,
					 sched_calls_next_attempt(task));
		task->isolated = true;
	}
}

static bool is_gang_awaited(const sched_job_t *job, const sched_unit_t *unit)
{
	for (uint32_t i = 0; job->suspects && i < unit->step->count; i++)
		if (sched_isolate_is_awaited(&unit->tasks[i]))
			return true;
	return false;
}

bool sched_isolate_restrict_gang(sched_candidates_t *all,
				 const sched_job_t *job,
				 const sched_unit_t *unit)
{
	if (!is_gang_awaited(job, unit))
		return false;
	for (size_t i = 0; i < all->count; i++)
		all->views[i].eligible &=
			is_quiet(all->workers[i], job, GN_CRASH_BEGUN_MS);
	return true;
}
