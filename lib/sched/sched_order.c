/**
 * @file sched_order.c
 * @brief Order in which jobs with waiting tasks are placed.
 *
 * sched/rank.h orders the jobs by what they can still reach on their own, and
 * sched/feasibility.h moves those back that do not fit into the capacity.
 */
#include <math.h>
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
	for (guint i = 0; i < job->units->len; i++) {
		const sched_unit_t *unit = g_ptr_array_index(job->units, i);

		if (unit->ready && unit->waiting)
			return true;
	}
	return false;
}

/*
 * Returns the best-effort work that is left, in thousandths of a core times
 * milliseconds. Claimed tasks count half, since they are under way.
 */
double sched_job_get_best_effort_work(const sched_job_t *job)
{
	double work = 0;

	for (guint i = 0; i < job->units->len; i++) {
		const sched_unit_t *unit = g_ptr_array_index(job->units, i);
		const Gn__JobStep *step = unit->step;
		double left = (double)(step->count - unit->done);
		double claimed = left - unit->waiting;

		if (step->fills)
			work += (left - claimed / 2) * step->cpu_milli *
				(double)sched_job_run_time(job, unit)->run_ms;
	}
	for (size_t i = 0; i < job->spec->n_steps; i++) {
		const Gn__JobStep *step = job->spec->steps[i];

		if (step->fills)
			work += (double)sched_job_waiting_occurrences(job) *
				step->count * step->cpu_milli *
				(double)job->run_times[i].run_ms;
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
			work += sched_job_get_best_effort_work(job);
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
		double work = sched_job_get_best_effort_work(job);

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

/* Whether the job may be promoted. Without waiting tasks, only the headroom
 * that its running tasks may use would change. */
static bool is_left_behind(const sched_job_t *job)
{
	if (sched_job_is_finished(job) || !sched_job_has_best_effort_work(job))
		return false;
	return has_waiting_tasks(job) ? job->rank.class != GN_RANK_IN_TIME
				      : job->late;
}

/* Returns the best-effort job that is not in time and was accepted first. */
static sched_job_t *find_oldest_late_job(const gn_sched_t *sched)
{
	sched_job_t *oldest = NULL;

	for (guint i = 0; i < sched->active->len; i++) {
		sched_job_t *job = g_ptr_array_index(sched->active, i);

		if (is_left_behind(job) &&
		    (!oldest || job->accepted_us < oldest->accepted_us))
			oldest = job;
	}
	return oldest;
}

static void log_promotion(const sched_job_t *job)
{
	const gn_sched_event_t event = {
		.name = "late job ahead",
		.job = job->spec->id,
		.reason = "oldest job that is not in time",
		.value = (int64_t)((sched_now_us(job->sched) -
				    job->accepted_us) /
				   GN_US_PER_MS),
		.list_age_ms = -1,
	};

	job->sched->ops->log_event(job->sched->arg, &event);
}

/* Lets a late job go ahead of all others of its priority for this pass. */
static void promote_late_job(gn_sched_t *sched, GPtrArray *ranked)
{
	sched_job_t *job = find_oldest_late_job(sched);

	if (!job ||
	    !gn_feasibility_allows_late(&sched->feasibility, job->accepted_us,
					sched_now_us(sched)))
		return;
	sched->feasibility.late_promoted_us = sched_now_us(sched);
	job->promoted = true;
	log_promotion(job);
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
	for (guint i = 0; i < sched->active->len; i++) {
		sched_job_t *job = g_ptr_array_index(sched->active, i);

		if (sched_job_has_best_effort_work(job))
			sched_job_update_late(job, has_waiting_tasks(job),
					      now_us);
	}
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
	for (guint i = 0; i < job->units->len; i++) {
		const sched_unit_t *unit = g_ptr_array_index(job->units, i);

		if (unit->ready && unit->waiting > unit->near_waiting)
			return true;
	}
	return false;
}

/* ======   Headroom   ====== */

static void add_sharing_jobs(const gn_sched_t *sched, GArray *jobs)
{
	for (guint i = 0; i < sched->active->len; i++) {
		const sched_job_t *job = g_ptr_array_index(sched->active, i);
		gn_sharing_job_t row = {
			.left_ms = ((int64_t)job->deadline_us -
				    (int64_t)sched_now_us(sched)) /
				   (int64_t)GN_US_PER_MS,
		};

		if (sched_job_is_finished(job))
			continue;
		row.work = sched_job_get_best_effort_work(job);
		if (row.work <= 0)
			continue;
		row.waits = has_waiting_tasks(job);
		row.chain_ms = sched_job_get_remaining_chain_ms(job);
		row.slack_ms = sched_job_get_initial_slack_ms(job);
		g_array_append_val(jobs, row);
	}
}

static void add_sharing_tasks(const gn_sched_t *sched,
			      const sched_worker_t *worker, GArray *serving)
{
	for (guint i = 0; i < worker->claims->len; i++) {
		const sched_task_t *task = g_ptr_array_index(worker->claims, i);
		const Gn__JobStep *step = task->unit->step;
		const gn_sharing_serving_t row = {
			.target_ms = step->target_ms,
			.tail_ms = task->last_reading,
			.previous_tail_ms = task->previous_reading,
			.fresh = sched_worker_has_fresh_list(sched, worker),
			.shared = worker->best_effort > 0,
		};

		if (step->target_ms && task->listed && !task->stopping)
			g_array_append_val(serving, row);
	}
}

/* Returns the CPU that the best-effort tasks in the mix may use. */
static double get_allowed_milli(const sched_worker_t *worker,
				const sched_mix_t *mix)
{
	double allowed = 0;

	for (size_t i = 0; i < mix->best_effort_count; i++)
		allowed += mix->best_effort[i].pace *
			   mix->best_effort[i].share *
			   worker->capacity.cpu_milli;
	return allowed;
}

static double get_running_milli(const sched_candidates_t *all)
{
	double running = 0;

	for (size_t i = 0; i < all->count; i++)
		if (all->workers[i]->capacity.cpu_milli)
			running += get_allowed_milli(all->workers[i],
						     &all->mixes[i]);
	return running;
}

static void log_headroom(const gn_sched_t *sched)
{
	const gn_sharing_t *sharing = &sched->sharing;
	const gn_sharing_view_t *view = &sharing->view;
	char *reason = g_strdup_printf(
		"%s (endangered work %.2f, strained %.2f, serving tasks over "
		"target %.2f, unknown %.2f, free CPU %.2f, rate %.0f)",
		sharing->reason, view->endangered, view->strained, view->over,
		view->unknown, view->free, sched->feasibility.cpu_milli);
	const gn_sched_event_t event = {
		.name = "headroom",
		.reason = reason,
		.value = (int64_t)round(100 * sharing->goal),
		.list_age_ms = -1,
	};

	sched->ops->log_event(sched->arg, &event);
	g_free(reason);
}

void sched_update_headroom(gn_sched_t *sched, const sched_candidates_t *all)
{
	uint64_t now_us = sched_now_us(sched);
	GArray *jobs;
	GArray *serving;
	GHashTableIter iter;
	gpointer value;

	if (sched->config.headroom_goal > 0 ||
	    !gn_sharing_is_due(&sched->sharing, now_us))
		return;
	jobs = g_array_new(FALSE, FALSE, sizeof(gn_sharing_job_t));
	serving = g_array_new(FALSE, FALSE, sizeof(gn_sharing_serving_t));
	add_sharing_jobs(sched, jobs);
	g_hash_table_iter_init(&iter, sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_sharing_tasks(sched, value, serving);
	if (gn_sharing_update(
		    &sched->sharing,
		    &(gn_sharing_input_t){
			    .jobs = (gn_sharing_job_t *)jobs->data,
			    .job_count = jobs->len,
			    .serving = (gn_sharing_serving_t *)serving->data,
			    .serving_count = serving->len,
			    .rate_known = gn_feasibility_is_known(
				    &sched->feasibility, now_us),
			    .rate_milli = sched->feasibility.cpu_milli,
			    .usable_milli = get_usable_milli(all),
			    .running_milli = get_running_milli(all) },
		    now_us))
		log_headroom(sched);
	g_array_unref(jobs);
	g_array_unref(serving);
}

void sched_update_feasibility(gn_sched_t *sched, const sched_candidates_t *all,
			      const GPtrArray *ranked)
{
	bool is_short = false;

	for (guint i = 0; i < ranked->len && !is_short; i++) {
		const sched_job_t *job = g_ptr_array_index(ranked, i);

		/* Late jobs wait although there is capacity. */
		is_short = is_short_of_capacity(job) &&
			   sched_job_has_best_effort_work(job) && !job->late;
	}
	sched->best_effort_waits = is_short;
	gn_feasibility_update(&sched->feasibility, is_short,
			      get_usable_milli(all), sched_now_us(sched));
}

/* ======   Load ahead of a new job   ====== */

static sched_load_t get_load(const sched_job_t *job)
{
	const gn_sched_t *sched = job->sched;
	sched_load_t load = { 0 };

	for (guint i = 0; i < sched->active->len; i++) {
		sched_job_t *other = g_ptr_array_index(sched->active, i);
		double work = sched_job_get_best_effort_work(other);

		if (other == job || sched_job_is_finished(other) || work <= 0)
			continue;
		/* Jobs accepted since the last pass have no rank yet. */
		if (!other->rank.accepted_us)
			sched_job_update_rank(other, sched_now_us(sched));
		if (!has_waiting_tasks(other) ||
		    gn_rank_compare(&other->rank, &job->rank) < 0)
			load.ahead += work;
		load.late += other->rank.class != GN_RANK_IN_TIME;
	}
	return load;
}

sched_load_t sched_job_get_load(sched_job_t *job)
{
	uint64_t now_us = sched_now_us(job->sched);
	sched_load_t load;

	sched_job_update_rank(job, now_us);
	load = get_load(job);
	if (job->rank.class != GN_RANK_IN_TIME ||
	    gn_feasibility_check(&job->sched->feasibility, load.ahead,
				 sched_job_get_best_effort_work(job),
				 job->deadline_us, now_us))
		return load;
	job->rank.class = GN_RANK_INFEASIBLE;
	return get_load(job);
}
