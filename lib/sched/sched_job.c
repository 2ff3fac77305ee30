/**
 * @file sched_job.c
 * @brief Jobs: requests of callers, readiness of steps, completion and expiry.
 */
#include <string.h>

#include "common/str.h"
#include "sched/sched_internal.h"

/** Limits for a queue that the configuration does not contain. */
#define DEFAULT_PRIORITY 9
#define DEFAULT_STRETCH 2.0
#define DEFAULT_TARGET_MS 1000
/** Interval between updates of a job's expected run times. Many jobs may wait,
 * so they are not looked up in each pass. */
#define RUN_TIMES_INTERVAL_US (1000 * GN_US_PER_MS)

/* ======   Run times   ====== */

void sched_job_update_run_times(sched_job_t *job)
{
	job->run_times_us = sched_now_us(job->sched);
	for (size_t i = 0; i < job->spec->n_steps; i++) {
		const Gn__JobStep *step = job->spec->steps[i];
		const gn_estimate_value_t value = gn_estimate_get(
			job->sched->estimate, job->spec->queue, step->image);

		job->run_times[i] = (sched_run_time_t){
			.run_ms = gn_estimate_run_ms(&value, step->estimate_ms),
			.spread = value.spread,
			.count = value.count
		};
	}
}

const sched_run_time_t *sched_job_run_time(const sched_job_t *job,
					   const sched_unit_t *unit)
{
	return &job->run_times[unit->step_number];
}

/** Progress is known from lists that arrive each 300 ms, and runs begin before
 * their first list. A job is late only if it is so by more than that. */
#define LATE_MARGIN_US (500 * GN_US_PER_MS)

/* Returns the length of the longest chain of dependent steps, which take these
 * times. */
static uint64_t add_up_chain_ms(const Gn__JobSpec *spec,
				const uint64_t *step_ms)
{
	uint64_t ends_ms[GN_JOB_STEPS_MAX];
	uint64_t longest_ms = 0;

	for (size_t i = 0; i < spec->n_steps; i++) {
		const Gn__JobStep *step = spec->steps[i];

		ends_ms[i] = 0;
		for (size_t k = 0; k < step->n_after; k++)
			ends_ms[i] = MAX(ends_ms[i], ends_ms[step->after[k]]);
		ends_ms[i] += step_ms[i];
		longest_ms = MAX(longest_ms, ends_ms[i]);
	}
	return longest_ms;
}

/* Whether a step of the first occurrence is done. */
static bool is_first_done(const sched_job_t *job, uint32_t step)
{
	const sched_unit_t *unit = sched_job_find_unit(job, 0, step);

	return unit ? unit->done == unit->step->count
		    : gn_occurrences_get(&job->occurrence_states, 0) ==
			       GN_OCCURRENCE_DONE;
}

/*
 * Returns the length of the longest chain of dependent steps: with @p job by the
 * expected run times, with the finished steps of its first occurrence as zero;
 * else by the declared ones.
 */
static uint64_t get_longest_chain_ms(const Gn__JobSpec *spec,
				     const sched_job_t *job)
{
	uint64_t step_ms[GN_JOB_STEPS_MAX];

	for (size_t i = 0; i < spec->n_steps; i++) {
		const Gn__JobStep *step = spec->steps[i];

		if (!job)
			step_ms[i] = step->estimate_ms;
		else if (is_first_done(job, (uint32_t)i))
			step_ms[i] = 0;
		else
			step_ms[i] = job->run_times[i].run_ms;
	}
	return add_up_chain_ms(spec, step_ms);
}

/* Returns the longest expected time that a task of the unit still runs. */
static uint64_t get_remaining_ms(const sched_job_t *job,
				 const sched_unit_t *unit)
{
	uint64_t run_ms = sched_job_run_time(job, unit)->run_ms;
	uint64_t longest_ms = 0;

	for (uint32_t i = 0; i < unit->step->count; i++) {
		const sched_task_t *task = &unit->tasks[i];
		uint64_t done_ms = task->progress_us / GN_US_PER_MS;

		if (task->state != GN_JOB_TASK_DONE && done_ms < run_ms)
			longest_ms = MAX(longest_ms, run_ms - done_ms);
	}
	return longest_ms;
}

/* Returns the longest remaining chain, less what unfinished tasks have done. */
uint64_t sched_job_get_remaining_chain_ms(const sched_job_t *job)
{
	uint64_t step_ms[GN_JOB_STEPS_MAX];

	for (uint32_t i = 0; i < job->spec->n_steps; i++) {
		const sched_unit_t *unit = sched_job_find_unit(job, 0, i);

		if (unit)
			step_ms[i] = get_remaining_ms(job, unit);
		else
			step_ms[i] = is_first_done(job, i)
					     ? 0
					     : job->run_times[i].run_ms;
	}
	return add_up_chain_ms(job->spec, step_ms);
}

/* Returns the remaining work in thousandths of a core times milliseconds. */
static uint64_t get_remaining_work(const sched_job_t *job)
{
	uint64_t work = 0;

	for (guint i = 0; i < job->units->len; i++) {
		const sched_unit_t *unit = g_ptr_array_index(job->units, i);

		work += (uint64_t)(unit->step->count - unit->done) *
			unit->step->cpu_milli *
			sched_job_run_time(job, unit)->run_ms;
	}
	for (size_t i = 0; i < job->spec->n_steps; i++)
		work += (uint64_t)sched_job_waiting_occurrences(job) *
			job->spec->steps[i]->count *
			job->spec->steps[i]->cpu_milli *
			job->run_times[i].run_ms;
	return work;
}

uint64_t sched_job_get_initial_slack_ms(const sched_job_t *job)
{
	uint64_t objective_ms =
		(job->deadline_us - job->accepted_us) / GN_US_PER_MS;
	uint64_t chain_ms = get_longest_chain_ms(job->spec, NULL);

	return objective_ms > chain_ms ? objective_ms - chain_ms : 0;
}

void sched_job_update_late(sched_job_t *job, bool is_ranked, uint64_t now_us)
{
	if (job->sched->config.late_headroom_goal <= 0 || job->promoted) {
		job->late = false;
		return;
	}
	job->late =
		(is_ranked && job->rank.class == GN_RANK_INFEASIBLE) ||
		now_us + sched_job_get_remaining_chain_ms(job) * GN_US_PER_MS >
			job->deadline_us + LATE_MARGIN_US;
}

bool sched_job_has_best_effort_work(const sched_job_t *job)
{
	for (guint i = 0; i < job->units->len; i++) {
		const sched_unit_t *unit = g_ptr_array_index(job->units, i);

		if (unit->step->fills && unit->done < unit->step->count)
			return true;
	}
	for (size_t i = 0; i < job->spec->n_steps; i++)
		if (job->spec->steps[i]->fills &&
		    sched_job_waiting_occurrences(job))
			return true;
	return false;
}

void sched_job_update_rank(sched_job_t *job, uint64_t now_us)
{
	gn_rank_job_t rank_job = {
		.priority = job->priority,
		.accepted_us = job->accepted_us,
		.deadline_us = job->deadline_us,
	};

	if (now_us - job->run_times_us >= RUN_TIMES_INTERVAL_US)
		sched_job_update_run_times(job);
	job->chain_us = get_longest_chain_ms(job->spec, job) * GN_US_PER_MS;
	rank_job.chain_us = job->chain_us;
	rank_job.work = get_remaining_work(job);
	job->rank = gn_rank_compute(&rank_job, now_us);
}

/* A job keeps what it has from its queue when the queue is removed. */
static void update_queue(sched_job_t *job, const gn_queues_t *queues)
{
	const gn_queue_t *queue = gn_queues_find_successor(queues, &job->queue);

	if (!queue || (job->queue_known && gn_queue_equal(queue, &job->queue)))
		return;
	gn_queue_copy(&job->queue, queue);
	job->queue_known = true;
	/* The next leader may never know this queue. */
	if (job->stored && !job->removing && !sched_job_is_finished(job))
		sched_job_mark_dirty(job);
}

void sched_job_configure(sched_job_t *job)
{
	const gn_queues_t *queues = job->sched->queues;
	const gn_queue_t *queue = &job->queue;
	uint64_t objective_ms;

	if (queues)
		update_queue(job, queues);
	objective_ms =
		(uint64_t)((job->queue_known ? queue->stretch
					     : DEFAULT_STRETCH) *
			   (double)get_longest_chain_ms(job->spec, NULL)) +
		(job->queue_known ? queue->target_ms : DEFAULT_TARGET_MS);
	job->deadline_us = job->accepted_us + objective_ms * GN_US_PER_MS;
	/* Limits that were stored may have been raised since. */
	if (!queues || !job->queue_known)
		return;
	job->priority = queue->priority;
	job->max_attempts = queue->max_attempts;
	job->advised = queue->advised;
	job->service = queue->service;
}

void sched_job_load_queue(sched_job_t *job, const Gn__JobState *state)
{
	const Gn__JobQueue *record =
		state->queue ? state->queue : job->spec->accepted_by;

	job->queue_known = record != NULL;
	if (record)
		gn_queue_from_record(&job->queue, record);
	sched_job_configure(job);
}

/* Stores the queue with the job as it is accepted. */
static void record_queue(sched_job_t *job)
{
	Gn__JobSpec *spec = job->spec;

	if (spec->accepted_by)
		gn__job_queue__free_unpacked(spec->accepted_by, NULL);
	spec->accepted_by =
		job->queue_known ? gn_queue_to_record(&job->queue) : NULL;
}

/* Estimates the memory that a job needs besides its open tasks, bytes. */
static size_t get_spec_bytes(const Gn__JobSpec *spec)
{
	size_t text = gn__job_spec__get_packed_size(spec);
	size_t steps = spec->n_steps *
		       (sizeof(Gn__JobStep) + sizeof(sched_run_time_t));

	return sizeof(sched_job_t) + sizeof(*spec) + text + steps +
	       gn_job_occurrences(spec) / 4;
}

sched_job_t *sched_job_create(gn_sched_t *sched, Gn__JobSpec *spec,
			      uint64_t accepted_ms)
{
	sched_job_t *job = g_new0(sched_job_t, 1);
	uint64_t wall_ms = sched_wall_ms(sched);
	uint64_t age_us = wall_ms > accepted_ms
				  ? (wall_ms - accepted_ms) * GN_US_PER_MS
				  : 0;
	uint64_t now_us = sched_now_us(sched);

	job->sched = sched;
	job->spec = spec;
	job->spec_bytes = get_spec_bytes(spec);
	sched->spec_bytes += job->spec_bytes;
	job->accepted_ms = accepted_ms;
	job->accepted_us = now_us > age_us ? now_us - age_us : 0;
	job->priority = DEFAULT_PRIORITY;
	job->service = "";
	job->queue.name = g_intern_string(spec->queue);
	job->pending_starts = g_ptr_array_new();
	sched_occurrences_create(job);
	job->run_times = g_new0(sched_run_time_t, spec->n_steps);
	sched_job_update_run_times(job);
	sched_job_configure(job);
	g_hash_table_insert(sched->jobs, spec->id, job);
	g_ptr_array_add(sched->active, job);
	return job;
}

void sched_job_free(sched_job_t *job)
{
	sched_occurrences_free(job);
	job->sched->spec_bytes -= job->spec_bytes;
	g_free(job->failure);
	g_free(job->run_times);
	g_ptr_array_free(job->pending_starts, TRUE);
	gn__job_spec__free_unpacked(job->spec, NULL);
	g_free(job);
}

uint64_t sched_job_mark_dirty(sched_job_t *job)
{
	job->sched->changed = true;
	job->version++;
	if (!job->dirty) {
		job->dirty = true;
		g_queue_push_tail(&job->sched->dirty, job);
	}
	return job->version;
}

bool sched_job_is_finished(const sched_job_t *job)
{
	return job->phase >= GN_JOB_COMPLETED;
}

sched_task_t *sched_find_task(const gn_sched_t *sched, const char *name)
{
	char id[GN_JOB_ID_LEN + 1];
	gn_task_position_t place;
	sched_job_t *job;
	sched_unit_t *unit;

	if (gn_task_parse_name(name, id, &place))
		return NULL;
	job = g_hash_table_lookup(sched->jobs, id);
	unit = job ? sched_job_find_unit(job, place.occurrence, place.step)
		   : NULL;
	return unit && place.index < unit->step->count
		       ? &unit->tasks[place.index]
		       : NULL;
}

/* ======   Steps   ====== */

static bool is_unit_done(const sched_unit_t *unit)
{
	return unit->done == unit->step->count;
}

static bool is_unit_ready(const sched_job_t *job, const sched_unit_t *unit)
{
	for (size_t i = 0; i < unit->step->n_after; i++)
		if (!is_unit_done(sched_job_find_unit(job, unit->occurrence,
						      unit->step->after[i])))
			return false;
	return true;
}

void sched_job_update_units(sched_job_t *job)
{
	sched_occurrences_open_due(job);
	for (guint i = 0; i < job->units->len; i++) {
		sched_unit_t *unit = g_ptr_array_index(job->units, i);

		if (unit->ready || !is_unit_ready(job, unit))
			continue;
		unit->ready = true;
		unit->waiting_us = sched_now_us(job->sched);
		job->sched->changed = true;
	}
}

void sched_job_task_done(sched_task_t *task)
{
	sched_job_t *job = task->job;
	sched_unit_t *unit = task->unit;
	const Gn__JobStep *step = unit->step;

	task->state = GN_JOB_TASK_DONE;
	sched_crash_clear(task);
	job->done++;
	if (step->fills)
		gn_feasibility_count_done(
			&job->sched->feasibility,
			(double)step->cpu_milli *
				(double)sched_job_run_time(job, unit)->run_ms);
	unit->done++;
	sched_job_mark_dirty(job);
	if (sched_job_is_finished(job))
		return;
	if (job->done == job->task_count)
		sched_job_finish(job, GN_JOB_COMPLETED, "all tasks done");
	else if (is_unit_done(unit))
		sched_job_update_units(job);
}

void sched_job_finish(sched_job_t *job, gn_job_phase_t phase, const char *why)
{
	const gn_sched_event_t event = { .name = gn_job_phase_name(phase),
					 .job = job->spec->id,
					 .reason = why,
					 .value = (int64_t)job->done,
					 .list_age_ms = -1 };
	sched_task_iter_t tasks = { .job = job };
	sched_task_t *task;

	job->phase = phase;
	job->finished_us = sched_now_us(job->sched);
	job->sched->ops->log_event(job->sched->arg, &event);
	while ((task = sched_task_iter_next(&tasks)))
		if (task->state == GN_JOB_TASK_CLAIMED)
			sched_stop_run(task, why);
	sched_occurrences_release(job);
	sched_job_mark_dirty(job);
}

static bool is_at_limit(const sched_task_t *task)
{
	return (task->failed && sched_is_at_attempt_limit(task)) ||
	       sched_crash_is_at_limit(task);
}

/* Returns the first task because of which the job fails, or NULL. */
static const sched_task_t *find_task_at_limit(const sched_job_t *job)
{
	sched_task_iter_t tasks = { .job = job };
	const sched_task_t *task;

	while ((task = sched_task_iter_next(&tasks)))
		if (is_at_limit(task))
			return task;
	return NULL;
}

const char *sched_job_get_failure(sched_job_t *job)
{
	const sched_task_t *task = find_task_at_limit(job);
	char name[GN_TASK_NAME_SIZE];

	if (job->failure)
		return job->failure;
	/* The limit of the queue may have been raised since. */
	if (!task)
		return "a task has reached its attempt limit";
	gn_task_format_name(job->spec, task->number, name);
	if (sched_crash_is_at_limit(task))
		job->failure = sched_crash_describe(task);
	else
		job->failure = g_strdup_printf("task %s has failed %u times",
					       name, task->failed);
	return job->failure;
}

void sched_job_check_limits(sched_job_t *job)
{
	const sched_task_t *task;

	if (sched_job_is_finished(job))
		return;
	task = find_task_at_limit(job);
	if (!task)
		return;
	sched_emit_task_event(job->sched, "given up", task,
			      sched_job_get_failure(job), task->attempt);
	sched_job_finish(job, GN_JOB_FAILED, job->failure);
}

/* The job stays in memory until it is deleted from the store. */
static void expire_job(sched_job_t *job, uint64_t now_us)
{
	uint64_t retain_us =
		(uint64_t)job->sched->config.retain_ms * GN_US_PER_MS;

	if (job->removing || job->claimed || job->pending_ends ||
	    !sched_job_is_finished(job) ||
	    now_us - job->finished_us < retain_us)
		return;
	job->removing = true;
	sched_job_mark_dirty(job);
}

void sched_jobs_expire(gn_sched_t *sched)
{
	uint64_t now_us = sched_now_us(sched);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		expire_job(value, now_us);
}

/* ======   Callers   ====== */

static sched_job_t *find_job(const gn_sched_t *sched, const char *id)
{
	return g_hash_table_lookup(sched->jobs, id);
}

/* Returns 0 if there is room for the job, else when to come back, in ms. */
static unsigned get_backlog_retry_ms(gn_sched_t *sched, const Gn__JobSpec *spec)
{
	const gn_sched_stats_t stats = gn_sched_stats(sched);

	return gn_backlog_admit(&sched->backlog, stats.waiting_tasks,
				gn_job_tasks_per_occurrence(spec),
				stats.workers, sched_now_us(sched));
}

/* Returns why there is no memory for the job, or NULL. */
static const char *get_memory_fault(const gn_sched_t *sched,
				    const Gn__JobSpec *spec)
{
	size_t width = spec->repeats ? 0 : gn_job_tasks_per_occurrence(spec);

	if (!gn_occurrence_may_accept(width, sched->open_tasks))
		return "limit of " G_STRINGIFY(
			GN_OCCURRENCE_TASKS_MAX) " unfinished tasks";
	if (sched->spec_bytes + get_spec_bytes(spec) > GN_SCHED_SPEC_BYTES_MAX)
		return "limit of 48 MiB for the specifications of jobs";
	return NULL;
}

/* Whether the rate of best-effort work says when the job ends. */
static bool can_forecast(const sched_job_t *job)
{
	const gn_sched_t *sched = job->sched;

	/* The objective of a job of an unknown queue is not known. */
	if (!sched->config.forecast || job->spec->repeats || !job->queue_known)
		return false;
	for (size_t i = 0; i < job->spec->n_steps; i++)
		if (!job->spec->steps[i]->fills ||
		    job->spec->steps[i]->standing)
			return false;
	return true;
}

/* Logs a decision that refuses, or that departs from the forecast. */
static void log_forecast(const sched_job_t *job,
			 const gn_forecast_input_t *input,
			 const gn_forecast_decision_t *decision)
{
	char why[200];
	const gn_sched_event_t event = { .name = "forecast",
					 .job = input->job,
					 .reason = why,
					 .value = decision->retry_ms,
					 .list_age_ms = -1 };

	if (!decision->returned && (decision->reason == GN_FORECAST_USEFUL ||
				    decision->reason == GN_FORECAST_NO_RATE))
		return;
	g_snprintf(why, sizeof(why),
		   "%s%s: ends in %" G_GUINT64_FORMAT
		   " ms, objective %" G_GUINT64_FORMAT
		   " ms, core-s ahead %.0f, promised %.0f, cores %.1f+-%.1f",
		   gn_forecast_reason_name(decision->reason),
		   decision->returned ? ", returned" : "",
		   decision->end_us > input->now_us
			   ? (decision->end_us - input->now_us) / GN_US_PER_MS
			   : 0,
		   input->objective_us / GN_US_PER_MS, input->ahead / 1e6,
		   decision->promised / 1e6, input->rate_milli / 1e3,
		   input->spread_milli / 1e3);
	job->sched->ops->log_event(job->sched->arg, &event);
}

static gn_forecast_decision_t decide_forecast(sched_job_t *job)
{
	gn_sched_t *sched = job->sched;
	const gn_feasibility_t *feasibility = &sched->feasibility;
	const sched_load_t load = sched_job_get_load(job);
	uint64_t now_us = sched_now_us(sched);
	gn_forecast_input_t input = {
		.job = job->spec->id,
		.queue = job->spec->queue,
		.now_us = now_us,
		.chain_us =
			get_longest_chain_ms(job->spec, NULL) * GN_US_PER_MS,
		.work = sched_job_get_best_effort_work(job),
		.objective_us = job->deadline_us - job->accepted_us,
		.ahead = load.ahead,
		.late_start_us = gn_feasibility_get_late_start_us(
			feasibility, load.late, now_us),
	};
	gn_forecast_decision_t decision;

	if (gn_feasibility_is_known(feasibility, now_us)) {
		input.rate_milli = feasibility->cpu_milli;
		input.spread_milli = gn_feasibility_get_error(feasibility);
		input.has_free_capacity =
			!sched->best_effort_waits || sched_job_has_room(job);
	}
	decision = gn_forecast_decide(sched->forecast, &input);
	log_forecast(job, &input, &decision);
	return decision;
}

/* Removes a job that was refused when it was submitted. */
static void drop_refused(gn_sched_t *sched, sched_job_t *job)
{
	g_ptr_array_remove_fast(sched->active, job);
	g_hash_table_remove(sched->jobs, job->spec->id);
}

gn_sched_reply_t gn_sched_submit(gn_sched_t *sched, Gn__JobSpec *spec)
{
	sched_job_t *job = find_job(sched, spec->id);
	gn_forecast_decision_t decision = { 0 };
	gn_sched_reply_t reply = { 0 };
	unsigned retry_ms;

	if (job) {
		gn__job_spec__free_unpacked(spec, NULL);
		reply.phase = job->phase;
		reply.version = job->stored ? 0 : job->version;
		return reply;
	}
	retry_ms = get_backlog_retry_ms(sched, spec);
	reply.reason = retry_ms ? "backlog" : get_memory_fault(sched, spec);
	if (reply.reason) {
		gn__job_spec__free_unpacked(spec, NULL);
		reply.result = GN_RESULT_REFUSED;
		reply.retry_after_ms =
			retry_ms ? retry_ms : GN_BACKLOG_RETRY_MAX_MS;
		return reply;
	}
	job = sched_job_create(sched, spec, sched_wall_ms(sched));
	sched_job_update_units(job);
	if (can_forecast(job))
		decision = decide_forecast(job);
	reply.forecast = decision.reason;
	if (decision.reason == GN_FORECAST_NO_USE) {
		drop_refused(sched, job);
		reply.result = GN_RESULT_REFUSED;
		reply.retry_after_ms = decision.retry_ms;
		reply.reason = "no use by forecast";
		return reply;
	}
	record_queue(job);
	reply.version = sched_job_mark_dirty(job);
	return reply;
}

gn_sched_reply_t gn_sched_get_state(gn_sched_t *sched, const char *id)
{
	sched_job_t *job = find_job(sched, id);
	gn_sched_reply_t reply = { 0 };

	if (!job || !job->stored) {
		reply.result = GN_RESULT_NOT_FOUND;
		return reply;
	}
	reply.phase = job->phase;
	if (job->phase == GN_JOB_FAILED)
		reply.reason = sched_job_get_failure(job);
	/* After a failover, a reported end must still hold. */
	if (sched_job_is_finished(job) && job->durable_version < job->version)
		reply.version = job->version;
	return reply;
}

gn_sched_reply_t gn_sched_cancel(gn_sched_t *sched, const char *id)
{
	sched_job_t *job = find_job(sched, id);
	gn_sched_reply_t reply = { 0 };

	if (!job) {
		reply.result = GN_RESULT_NOT_FOUND;
		return reply;
	}
	if (!sched_job_is_finished(job))
		sched_job_finish(job, GN_JOB_CANCELLED, "cancelled");
	reply.phase = job->phase;
	if (job->durable_version < job->version)
		reply.version = job->version;
	return reply;
}

gn_sched_reply_t gn_sched_count_waiting(gn_sched_t *sched, const char *queue)
{
	gn_sched_reply_t reply = { 0 };

	for (guint i = 0; i < sched->active->len; i++) {
		const sched_job_t *job = g_ptr_array_index(sched->active, i);

		if (job->phase == GN_JOB_QUEUED &&
		    !strcmp(job->queue.name, queue))
			reply.waiting++;
	}
	return reply;
}
