/**
 * @file sched_gang.c
 * @brief Gangs: steps whose tasks run only all together.
 *
 * Either all members are claimed at once, with the same attempt number and
 * checkpoint, or none is. When one member's run ends, the others are stopped,
 * and the gang waits until all claims are released. This avoids the deadlock
 * of two gangs that each hold half of the resources that both need.
 */
#include <string.h>

#include "sched/sched_mix.h"
#include "sched/sched_pass.h"

static sched_unit_t *get_unit(const sched_task_t *task)
{
	return task->unit;
}

bool sched_is_gang(const sched_task_t *task)
{
	return get_unit(task)->step->gang;
}

/* ======   Ends   ====== */

void sched_gang_stop(sched_task_t *task, const char *why)
{
	const sched_unit_t *unit = get_unit(task);

	for (uint32_t i = 0; i < unit->step->count; i++) {
		sched_task_t *member = &unit->tasks[i];

		if (member != task && member->state == GN_JOB_TASK_CLAIMED)
			sched_stop_run(member, why);
	}
}

void sched_gang_complete(sched_task_t *task)
{
	const sched_unit_t *unit = get_unit(task);

	for (uint32_t i = 0; i < unit->step->count; i++) {
		sched_task_t *member = &unit->tasks[i];

		if (member->state == GN_JOB_TASK_CLAIMED)
			sched_complete_claim(member);
		else if (member->state == GN_JOB_TASK_WAITING)
			sched_complete_waiting(member);
	}
}

bool sched_gang_has_failed(const sched_task_t *task)
{
	const sched_unit_t *unit = get_unit(task);

	for (uint32_t i = 0; i < unit->step->count; i++)
		if (unit->tasks[i].failed_attempt == task->attempt)
			return true;
	return false;
}

uint32_t sched_gang_failures(const sched_task_t *task)
{
	const sched_unit_t *unit = get_unit(task);
	uint32_t failed = 0;

	for (uint32_t i = 0; i < unit->step->count; i++)
		failed += unit->tasks[i].failed;
	return failed;
}

bool sched_gang_is_in_one_rack(const sched_task_t *task)
{
	const sched_unit_t *unit = get_unit(task);

	for (uint32_t i = 0; i < unit->step->count; i++) {
		const sched_task_t *member = &unit->tasks[i];

		if (member->state == GN_JOB_TASK_CLAIMED &&
		    g_strcmp0(member->worker->rack, task->worker->rack) != 0)
			return false;
	}
	return true;
}

void sched_gang_set_checkpoint(sched_task_t *task, const char *checkpoint)
{
	const sched_unit_t *unit = get_unit(task);

	for (uint32_t i = 0; i < unit->step->count; i++) {
		sched_task_t *member = &unit->tasks[i];

		g_free(member->checkpoint);
		member->checkpoint = g_strdup(checkpoint);
	}
}

/* ======   Placement   ====== */

/* Chooses workers for the members that may start anywhere, or for the others. */
static bool choose_for(const sched_candidates_t *all, const sched_unit_t *unit,
		       const gn_place_task_t *wanted, gn_place_worker_t *views,
		       size_t *chosen, bool are_free)
{
	for (uint32_t i = 0; i < unit->step->count; i++) {
		const sched_task_t *member = &unit->tasks[i];

		if (sched_calls_leave_free(member) != are_free)
			continue;
		chosen[i] = sched_calls_choose(all, views, member, wanted);
		if (chosen[i] == GN_PLACE_NONE)
			return false;
		gn_resource_vector_add(&views[chosen[i]].used,
				       &wanted->resources);
		views[chosen[i]].same_step++;
	}
	return true;
}

/* Chooses a worker for each member. Leaves the views unchanged. */
static bool choose_workers(const sched_candidates_t *all,
			   const sched_unit_t *unit,
			   const gn_place_task_t *wanted,
			   gn_place_worker_t *views, size_t *chosen)
{
	size_t size = all->count * sizeof(*views);
	gn_place_worker_t *before = g_memdup2(views, size);
	bool complete = choose_for(all, unit, wanted, views, chosen, false) &&
			choose_for(all, unit, wanted, views, chosen, true);

	memcpy(views, before, size);
	g_free(before);
	return complete;
}

/* Chooses a worker of this rack for each member. */
static bool choose_workers_in_rack(const sched_candidates_t *all,
				   const sched_unit_t *unit,
				   const gn_place_task_t *wanted,
				   const char *rack, size_t *chosen)
{
	gn_place_worker_t *views =
		g_memdup2(all->views, all->count * sizeof(*views));
	bool complete;

	for (size_t i = 0; i < all->count; i++)
		if (strcmp(all->workers[i]->rack, rack) != 0)
			views[i].eligible = false;
	complete = choose_workers(all, unit, wanted, views, chosen);
	g_free(views);
	return complete;
}

static bool choose_workers_in_any_rack(const sched_candidates_t *all,
				       const sched_unit_t *unit,
				       const gn_place_task_t *wanted,
				       size_t *chosen)
{
	for (size_t i = 0; i < all->count; i++)
		if (all->views[i].eligible &&
		    choose_workers_in_rack(all, unit, wanted,
					   all->workers[i]->rack, chosen))
			return true;
	return false;
}

/* Sets the time at which the rack is expected to have places for all members;
 * returns false if it never has. */
static bool get_place_in_rack(const sched_candidates_t *all,
			      const sched_job_t *job, const sched_unit_t *unit,
			      const char *rack, double slowness,
			      gn_locality_time_t *place)
{
	GArray *places = g_array_new(FALSE, FALSE, sizeof(*place));
	size_t last =
		unit->step->count - 1 + sched_near_count_awaited(all, rack);
	bool found;

	sched_near_get_places(all, job, unit, rack, slowness, places);
	found = last < places->len;
	if (found)
		*place = g_array_index(places, gn_locality_time_t, last);
	g_array_unref(places);
	return found;
}

/* Whether a gang that fits into no rack now waits for one instead of starting on
 * several.
 * @param at candidate of one of its members otherwise */
static bool waits_for_rack(sched_candidates_t *all, const sched_job_t *job,
			   const sched_unit_t *unit, size_t at)
{
	double slowness = all->views[at].slowness;
	GHashTable *seen;
	gn_locality_time_t best = { 0, 0 };
	const char *best_rack = NULL;

	if (!unit->step->same_rack)
		return false;
	seen = g_hash_table_new(g_str_hash, g_str_equal);
	for (size_t i = 0; i < all->count; i++) {
		const char *rack = all->workers[i]->rack;
		gn_locality_time_t place;

		if (!g_hash_table_add(seen, (gpointer)rack) ||
		    !get_place_in_rack(all, job, unit, rack, slowness,
				       &place) ||
		    (best_rack && place.ms + place.deviation_ms >=
					  best.ms + best.deviation_ms))
			continue;
		best = place;
		best_rack = rack;
	}
	g_hash_table_destroy(seen);
	return sched_near_waits(all, &unit->tasks[0],
				best_rack ? best_rack : "",
				best_rack ? &best : NULL, unit->step->count);
}

static uint32_t get_next_attempt(const sched_unit_t *unit)
{
	uint32_t attempt = 0;

	for (uint32_t i = 0; i < unit->step->count; i++)
		attempt = MAX(attempt, unit->tasks[i].attempt);
	return attempt + 1;
}

void sched_gang_place(sched_candidates_t *all, sched_job_t *job,
		      sched_unit_t *unit, const gn_place_task_t *wanted,
		      bool isolated)
{
	uint32_t members = unit->step->count;
	uint32_t attempt = get_next_attempt(unit);
	size_t *chosen;
	bool is_near;

	if (!members || unit->waiting < members)
		return;
	chosen = g_new0(size_t, members);
	is_near = unit->step->same_rack &&
		  choose_workers_in_any_rack(all, unit, wanted, chosen);
	if (is_near ||
	    (choose_workers(all, unit, wanted, all->views, chosen) &&
	     (isolated || !waits_for_rack(all, job, unit, chosen[0])))) {
		sched_near_end_wait(&unit->tasks[0], is_near);
		for (uint32_t i = 0; i < members; i++) {
			sched_task_t *member = &unit->tasks[i];

			sched_claim_on_candidate(all, chosen[i], member, wanted,
						 attempt);
			member->isolated = isolated;
		}
	}
	g_free(chosen);
}
