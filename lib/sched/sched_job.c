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

/* ======   Creation and configuration   ====== */

static void create_units(sched_job_t *job)
{
	const Gn__JobSpec *spec = job->spec;
	uint32_t first = 0;

	job->unit_count = gn_job_occurrences(spec) * spec->n_steps;
	job->units = g_new0(sched_unit_t, job->unit_count);
	for (uint32_t i = 0; i < job->unit_count; i++) {
		sched_unit_t *unit = &job->units[i];

		unit->step_number = i % spec->n_steps;
		unit->occurrence = i / spec->n_steps;
		unit->step = spec->steps[unit->step_number];
		unit->first = first;
		unit->waiting = unit->step->count;
		first += unit->step->count;
	}
	job->task_count = first;
}

static void create_tasks(sched_job_t *job)
{
	job->tasks = g_new0(sched_task_t, job->task_count);
	for (uint32_t i = 0; i < job->unit_count; i++) {
		const sched_unit_t *unit = &job->units[i];

		for (uint32_t k = 0; k < unit->step->count; k++) {
			sched_task_t *task = &job->tasks[unit->first + k];

			task->job = job;
			task->number = unit->first + k;
			task->unit = i;
			task->pace_percent = 100;
			task->image = g_intern_string(unit->step->image);
		}
	}
}

/*
 * Returns the length of the longest chain of dependent steps by their estimated
 * run times. With @p units, the units of one occurrence, finished steps count
 * as zero.
 */
static uint64_t get_longest_chain_ms(const Gn__JobSpec *spec,
				     const sched_unit_t *units)
{
	uint64_t ends_ms[GN_JOB_STEPS_MAX];
	uint64_t longest_ms = 0;

	for (size_t i = 0; i < spec->n_steps; i++) {
		const Gn__JobStep *step = spec->steps[i];

		ends_ms[i] = 0;
		for (size_t k = 0; k < step->n_after; k++)
			ends_ms[i] = MAX(ends_ms[i], ends_ms[step->after[k]]);
		if (!units || units[i].done < step->count)
			ends_ms[i] += step->estimate_ms;
		longest_ms = MAX(longest_ms, ends_ms[i]);
	}
	return longest_ms;
}

/* Returns the remaining work in thousandths of a core times milliseconds. */
static uint64_t get_remaining_work(const sched_job_t *job)
{
	uint64_t work = 0;

	for (uint32_t i = 0; i < job->unit_count; i++) {
		const Gn__JobStep *step = job->units[i].step;

		work += (uint64_t)(step->count - job->units[i].done) *
			step->cpu_milli * step->estimate_ms;
	}
	return work;
}

void sched_job_update_rank(sched_job_t *job, uint64_t now_us)
{
	const gn_rank_job_t rank_job = {
		.priority = job->priority,
		.accepted_us = job->accepted_us,
		.deadline_us = job->deadline_us,
		.chain_us = get_longest_chain_ms(job->spec, job->units) *
			    GN_US_PER_MS,
		.work = get_remaining_work(job),
	};

	job->rank = gn_rank_compute(&rank_job, now_us);
}

void sched_job_configure(sched_job_t *job)
{
	const gn_queues_t *queues = job->sched->queues;
	const gn_queue_t *queue =
		queues ? gn_queues_find(queues, job->spec->queue) : NULL;
	double stretch = queue ? queue->stretch : DEFAULT_STRETCH;
	unsigned target_ms = queue ? queue->target_ms : DEFAULT_TARGET_MS;
	uint64_t objective_ms =
		(uint64_t)(stretch * get_longest_chain_ms(job->spec, NULL)) +
		target_ms;

	job->deadline_us = job->accepted_us + objective_ms * GN_US_PER_MS;
	/* A job keeps its limits when its queue is removed. */
	if (!queue)
		return;
	job->priority = queue->priority;
	job->max_attempts = queue->max_attempts;
	job->advised = queue->advised;
	job->service = g_intern_string(queue->service);
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
	job->accepted_ms = accepted_ms;
	job->accepted_us = now_us > age_us ? now_us - age_us : 0;
	job->priority = DEFAULT_PRIORITY;
	job->service = "";
	job->pending_starts = g_ptr_array_new();
	create_units(job);
	create_tasks(job);
	sched_job_configure(job);
	g_hash_table_insert(sched->jobs, spec->id, job);
	g_ptr_array_add(sched->active, job);
	return job;
}

void sched_job_free(sched_job_t *job)
{
	for (uint32_t i = 0; i < job->task_count; i++) {
		g_free(job->tasks[i].checkpoint);
		sched_crash_free(&job->tasks[i]);
		if (job->tasks[i].open_attempts)
			g_ptr_array_unref(job->tasks[i].open_attempts);
	}
	for (uint32_t i = 0; i < job->unit_count; i++)
		sched_advice_free(job->units[i].advice);
	g_free(job->failure);
	g_free(job->tasks);
	g_free(job->units);
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
	uint32_t unit;

	if (gn_task_parse_name(name, id, &place))
		return NULL;
	job = g_hash_table_lookup(sched->jobs, id);
	if (!job || place.step >= job->spec->n_steps)
		return NULL;
	unit = place.occurrence * job->spec->n_steps + place.step;
	if (unit >= job->unit_count ||
	    place.index >= job->units[unit].step->count)
		return NULL;
	return &job->tasks[job->units[unit].first + place.index];
}

/* ======   Steps   ====== */

static bool is_unit_done(const sched_unit_t *unit)
{
	return unit->done == unit->step->count;
}

/* Returns the time at which an occurrence may start, since 1970. */
static uint64_t get_due_ms(const sched_job_t *job, uint32_t occurrence)
{
	return job->spec->first_due_ms + occurrence * job->spec->interval_ms;
}

static bool is_unit_ready(const sched_job_t *job, const sched_unit_t *unit)
{
	uint32_t base = unit->occurrence * job->spec->n_steps;

	if (job->spec->repeats &&
	    sched_wall_ms(job->sched) < get_due_ms(job, unit->occurrence))
		return false;
	for (size_t i = 0; i < unit->step->n_after; i++)
		if (!is_unit_done(&job->units[base + unit->step->after[i]]))
			return false;
	return true;
}

void sched_job_update_units(sched_job_t *job)
{
	for (uint32_t i = 0; i < job->unit_count; i++) {
		sched_unit_t *unit = &job->units[i];

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
	const Gn__JobStep *step = job->units[task->unit].step;

	task->state = GN_JOB_TASK_DONE;
	sched_crash_clear(task);
	job->done++;
	if (step->fills)
		gn_feasibility_count_done(&job->sched->feasibility,
					  (double)step->cpu_milli *
						  step->estimate_ms);
	job->units[task->unit].done++;
	sched_job_mark_dirty(job);
	if (sched_job_is_finished(job))
		return;
	if (job->done == job->task_count)
		sched_job_finish(job, GN_JOB_COMPLETED, "all tasks done");
	else if (is_unit_done(&job->units[task->unit]))
		sched_job_update_units(job);
}

void sched_job_finish(sched_job_t *job, gn_job_phase_t phase, const char *why)
{
	const gn_sched_event_t event = { .name = gn_job_phase_name(phase),
					 .job = job->spec->id,
					 .reason = why,
					 .value = (int64_t)job->done,
					 .list_age_ms = -1 };

	job->phase = phase;
	job->finished_us = sched_now_us(job->sched);
	job->sched->ops->log_event(job->sched->arg, &event);
	for (uint32_t i = 0; i < job->task_count; i++)
		if (job->tasks[i].state == GN_JOB_TASK_CLAIMED)
			sched_stop_run(&job->tasks[i], why);
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
	for (uint32_t i = 0; i < job->task_count; i++)
		if (is_at_limit(&job->tasks[i]))
			return &job->tasks[i];
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

gn_sched_reply_t gn_sched_submit(gn_sched_t *sched, Gn__JobSpec *spec)
{
	sched_job_t *job = find_job(sched, spec->id);
	gn_sched_reply_t reply = { 0 };
	unsigned retry_ms;

	if (job) {
		gn__job_spec__free_unpacked(spec, NULL);
		reply.phase = job->phase;
		reply.version = job->stored ? 0 : job->version;
		return reply;
	}
	retry_ms = get_backlog_retry_ms(sched, spec);
	if (retry_ms) {
		gn__job_spec__free_unpacked(spec, NULL);
		reply.result = GN_RESULT_REFUSED;
		reply.retry_after_ms = retry_ms;
		reply.reason = "backlog";
		return reply;
	}
	job = sched_job_create(sched, spec, sched_wall_ms(sched));
	sched_job_update_units(job);
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
		    !strcmp(job->spec->queue, queue))
			reply.waiting++;
	}
	return reply;
}
