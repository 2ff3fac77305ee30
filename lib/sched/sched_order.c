/**
 * @file sched_order.c
 * @brief Order in which jobs with waiting tasks are placed.
 *
 * sched/rank.h orders the jobs by what they can still reach on their own, and
 * sched/feasibility.h moves those back that do not fit into the capacity.
 */
#include <string.h>

#include "common/str.h"
#include "sched/sched_pass.h"

static gint compare_jobs(gconstpointer a, gconstpointer b)
{
	const sched_job_t *first = *(sched_job_t *const *)a;
	const sched_job_t *second = *(sched_job_t *const *)b;
	int order = gn_rank_compare(&first->rank, &second->rank);

	return order ? order : strcmp(first->spec->id, second->spec->id);
}

static bool has_waiting_tasks(const sched_job_t *job)
{
	if (sched_job_is_finished(job) ||
	    job->done + job->claimed >= job->task_count)
		return false;
	for (uint32_t i = 0; i < job->unit_count; i++)
		if (job->units[i].ready && job->units[i].waiting)
			return true;
	return false;
}

/*
 * Returns the best-effort work that is left, in thousandths of a core times
 * milliseconds. Claimed tasks count half, since they are under way.
 */
static double get_best_effort_work(const sched_job_t *job)
{
	double work = 0;

	for (uint32_t i = 0; i < job->unit_count; i++) {
		const sched_unit_t *unit = &job->units[i];
		const Gn__JobStep *step = unit->step;
		double left = (double)(step->count - unit->done);
		double claimed = left - unit->waiting;

		if (step->fills)
			work += (left - claimed / 2) * step->cpu_milli *
				(double)sched_job_run_time(job, unit)->run_ms;
	}
	return work;
}

/* Returns the work of jobs that wait for nothing but their running tasks. */
static double get_running_work(const gn_sched_t *sched)
{
	double work = 0;

	for (guint i = 0; i < sched->active->len; i++) {
		const sched_job_t *job = g_ptr_array_index(sched->active, i);

		if (!sched_job_is_finished(job) && !has_waiting_tasks(job))
			work += get_best_effort_work(job);
	}
	return work;
}

/* Moves jobs back that would end late behind those ranked ahead of them. */
static void move_infeasible_back(gn_sched_t *sched, GPtrArray *ranked)
{
	uint64_t now_us = sched_now_us(sched);
	double ahead = get_running_work(sched);
	bool changed = false;

	for (guint i = 0; i < ranked->len; i++) {
		sched_job_t *job = g_ptr_array_index(ranked, i);
		double work = get_best_effort_work(job);

		if (work <= 0 || job->rank.class != GN_RANK_IN_TIME)
			continue;
		if (gn_feasibility_check(&sched->feasibility, ahead, work,
					 job->deadline_us, now_us)) {
			ahead += work;
			continue;
		}
		job->rank.class = GN_RANK_INFEASIBLE;
		changed = true;
	}
	if (changed)
		g_ptr_array_sort(ranked, compare_jobs);
}

static bool has_best_effort_tasks(const sched_job_t *job)
{
	return get_best_effort_work(job) > 0;
}

/* Returns the best-effort job that is not in time and was accepted first. */
static sched_job_t *find_oldest_late_job(const GPtrArray *ranked)
{
	sched_job_t *oldest = NULL;

	for (guint i = 0; i < ranked->len; i++) {
		sched_job_t *job = g_ptr_array_index(ranked, i);

		if (job->rank.class != GN_RANK_IN_TIME &&
		    has_best_effort_tasks(job) &&
		    (!oldest || job->accepted_us < oldest->accepted_us))
			oldest = job;
	}
	return oldest;
}

/* Lets a late job go ahead of all others of its priority for this pass. */
static void promote_late_job(gn_sched_t *sched, GPtrArray *ranked)
{
	sched_job_t *job = find_oldest_late_job(ranked);

	if (!job ||
	    !gn_feasibility_allows_late(&sched->feasibility, job->accepted_us,
					sched_now_us(sched)))
		return;
	sched->feasibility.late_promoted_us = sched_now_us(sched);
	job->rank.class = GN_RANK_IN_TIME;
	job->rank.effective_work = 0;
	g_ptr_array_sort(ranked, compare_jobs);
}

GPtrArray *sched_rank_jobs(gn_sched_t *sched)
{
	GPtrArray *ranked = g_ptr_array_new();
	uint64_t now_us = sched_now_us(sched);

	for (guint i = 0; i < sched->active->len; i++) {
		sched_job_t *job = g_ptr_array_index(sched->active, i);

		if (!has_waiting_tasks(job))
			continue;
		sched_job_update_rank(job, now_us);
		g_ptr_array_add(ranked, job);
	}
	g_ptr_array_sort(ranked, compare_jobs);
	move_infeasible_back(sched, ranked);
	promote_late_job(sched, ranked);
	return ranked;
}

/* Returns the CPU that best-effort tasks could use if none were throttled. */
static double get_usable_milli(const sched_candidates_t *all)
{
	double usable = 0;

	for (size_t i = 0; i < all->count; i++) {
		const sched_worker_t *worker = all->workers[i];
		double used =
			worker->used.cpu_milli -
			(1 - SCHED_SERVING_CPU_SHARE) * worker->serving_milli;

		if (worker->capacity.cpu_milli > used)
			usable += worker->capacity.cpu_milli - used;
	}
	return usable;
}

/* Whether tasks wait for capacity, and not only for near workers. */
static bool is_short_of_capacity(const sched_job_t *job)
{
	if (sched_job_is_finished(job))
		return false;
	for (uint32_t i = 0; i < job->unit_count; i++)
		if (job->units[i].ready &&
		    job->units[i].waiting > job->units[i].near_waiting)
			return true;
	return false;
}

void sched_update_feasibility(gn_sched_t *sched, const sched_candidates_t *all,
			      const GPtrArray *ranked)
{
	bool is_short = false;

	for (guint i = 0; i < ranked->len && !is_short; i++) {
		const sched_job_t *job = g_ptr_array_index(ranked, i);

		is_short =
			is_short_of_capacity(job) && has_best_effort_tasks(job);
	}
	gn_feasibility_update(&sched->feasibility, is_short,
			      get_usable_milli(all), sched_now_us(sched));
}
