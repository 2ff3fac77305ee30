/**
 * @file sched_store.c
 * @brief Storage of jobs: write batches, and loading after a failover.
 */
#include <stdlib.h>
#include <string.h>

#include "common/str.h"
#include "sched/sched_internal.h"

/** Minimum interval between writes of the weights and run times, which join
 * other write batches. */
#define LEARNED_INTERVAL_US (2000 * GN_US_PER_MS)

/* ======   Encoding   ====== */

static char empty_text[] = "";

static bool has_state(const sched_task_t *task)
{
	return task->state != GN_JOB_TASK_WAITING || task->attempt;
}

static void pack_task(const sched_task_t *task, bool with_checkpoint,
		      Gn__TaskState *state)
{
	gn__task_state__init(state);
	state->number = task->number;
	state->status = task->state;
	state->attempt = task->attempt;
	state->failed = task->failed;
	state->failed_attempt = task->failed_attempt;
	state->host = empty_text;
	state->life = empty_text;
	state->checkpoint = empty_text;
	if (task->state == GN_JOB_TASK_CLAIMED) {
		state->host = task->worker->host;
		state->life = (char *)task->life.id;
		state->born_ms = task->life.started_ms;
		state->claimed_ms = task->claimed_ms;
		state->settled = task->settled;
	}
	if (with_checkpoint && task->state != GN_JOB_TASK_DONE &&
	    task->checkpoint)
		state->checkpoint = task->checkpoint;
	sched_crash_store(task, state);
	sched_lapse_store(task, state);
	sched_calls_store(task, state);
}

/* Returns NULL if the queue is stored with the spec. */
static Gn__JobQueue *create_queue_record(const sched_job_t *job)
{
	gn_queue_t accepted_by;

	if (!job->queue_known)
		return NULL;
	if (!job->spec->accepted_by)
		return gn_queue_to_record(&job->queue);
	gn_queue_from_record(&accepted_by, job->spec->accepted_by);
	return gn_queue_equal(&accepted_by, &job->queue)
		       ? NULL
		       : gn_queue_to_record(&job->queue);
}

/* Adds the tasks of an occurrence that is closed. */
static void pack_done(const sched_job_t *job, uint32_t occurrence,
		      Gn__JobState *state, Gn__TaskState *states)
{
	for (uint32_t i = 0; i < job->width; i++) {
		Gn__TaskState *row = &states[state->n_tasks];

		gn__task_state__init(row);
		row->number = occurrence * job->width + i;
		row->status = GN_JOB_TASK_DONE;
		/* Older builds expect a task without an attempt to wait. */
		row->attempt = 1;
		row->host = empty_text;
		row->life = empty_text;
		row->checkpoint = empty_text;
		state->tasks[state->n_tasks++] = row;
	}
}

static void pack_job(const sched_job_t *job, bool with_checkpoints,
		     gn_sched_write_t *write)
{
	Gn__TaskState *states = g_new(Gn__TaskState, job->task_count);
	Gn__TaskState **rows = g_new(Gn__TaskState *, job->task_count);
	Gn__JobRecord record = GN__JOB_RECORD__INIT;
	Gn__JobState state = GN__JOB_STATE__INIT;
	sched_task_iter_t tasks = { .job = job };
	const sched_task_t *task;

	state.phase = job->phase;
	state.accepted_ms = job->accepted_ms;
	state.queue = create_queue_record(job);
	state.tasks = rows;
	while ((task = sched_task_iter_next(&tasks))) {
		if (!has_state(task))
			continue;
		rows[state.n_tasks] = &states[state.n_tasks];
		pack_task(task, with_checkpoints, &states[state.n_tasks++]);
	}
	for (uint32_t i = 0; i < job->occurrence_states.count; i++)
		if (gn_occurrences_get(&job->occurrence_states, i) ==
		    GN_OCCURRENCE_DONE)
			pack_done(job, i, &state, states);
	record.spec = job->spec;
	record.state = &state;
	write->len = write->with_spec ? gn__job_record__get_packed_size(&record)
				      : gn__job_state__get_packed_size(&state);
	write->value = malloc(write->len + 1);
	if (!write->value)
		abort();
	if (write->with_spec)
		gn__job_record__pack(&record, write->value);
	else
		gn__job_state__pack(&state, write->value);
	if (state.queue)
		gn__job_queue__free_unpacked(state.queue, NULL);
	for (size_t i = 0; i < state.n_tasks; i++)
		sched_calls_free_store(rows[i]);
	g_free(states);
	g_free(rows);
}

/* ======   Write batches   ====== */

bool gn_sched_is_dirty(const gn_sched_t *sched)
{
	return !g_queue_is_empty((GQueue *)&sched->dirty) ||
	       sched->batches_needed > sched->batches;
}

static void pack_learned(gn_sched_t *sched, gn_sched_write_t *write)
{
	size_t weights_len;
	size_t run_times_len;
	uint8_t *weights =
		gn_interference_pack(sched->interference, &weights_len);
	uint8_t *run_times = gn_estimate_pack(sched->estimate, &run_times_len);

	memset(write, 0, sizeof(*write));
	write->job = empty_text;
	write->interference = true;
	/* Messages that follow each other are read as one. */
	write->len = weights_len + run_times_len;
	write->value = realloc(weights, write->len + 1);
	if (!write->value)
		abort();
	memcpy(write->value + weights_len, run_times, run_times_len);
	free(run_times);
	sched->learned = false;
	sched->learned_due_us = sched_now_us(sched) + LEARNED_INTERVAL_US;
}

/*
 * Releases the claims for which no start was sent, and lets fewer tasks of the
 * job be claimed at a time. Returns whether there were any.
 */
static bool reduce_claims(sched_job_t *job)
{
	sched_task_iter_t tasks = { .job = job };
	sched_task_t *task;
	bool reduced = false;

	job->claims_max = MAX(job->claimed / 2, 1);
	while ((task = sched_task_iter_next(&tasks))) {
		if (task->state != GN_JOB_TASK_CLAIMED || task->start_sent)
			continue;
		sched_release_claim(task, "the state is too large");
		reduced = true;
	}
	return reduced;
}

/* Packs a job into a value that the store takes. Without checkpoints, tasks only
 * lose time after a change of leader. Returns false if it is too large. */
static bool pack_to_fit(sched_job_t *job, gn_sched_write_t *write)
{
	gn_sched_event_t event = { .name = "state too large",
				   .job = job->spec->id,
				   .reason = "it is not stored now",
				   .list_age_ms = -1 };

	pack_job(job, true, write);
	if (write->len <= GN_SCHED_VALUE_MAX)
		return true;
	free(write->value);
	pack_job(job, false, write);
	if (write->len <= GN_SCHED_VALUE_MAX)
		return true;
	free(write->value);
	event.value = (int64_t)write->len;
	if (reduce_claims(job))
		event.reason = "fewer tasks are claimed";
	job->sched->ops->log_event(job->sched->arg, &event);
	return false;
}

size_t gn_sched_begin_batch(gn_sched_t *sched, gn_sched_write_t *writes,
			    size_t max)
{
	size_t count = 0;
	sched_job_t *job;

	sched->batches++;
	while (count < max && (job = g_queue_pop_head(&sched->dirty))) {
		gn_sched_write_t *write = &writes[count];

		memset(write, 0, sizeof(*write));
		job->dirty = false;
		write->job = job->spec->id;
		write->remove = job->removing;
		write->with_spec = !job->stored;
		if (!write->remove && !pack_to_fit(job, write))
			continue;
		count++;
		job->writing_version = job->version;
		g_ptr_array_add(sched->writing, job);
	}
	/* Not urgent, so they wait for a write batch with space left. */
	if (sched->learned && count < max &&
	    sched_now_us(sched) >= sched->learned_due_us)
		pack_learned(sched, &writes[count++]);
	return count;
}

static void remove_job(gn_sched_t *sched, sched_job_t *job)
{
	g_ptr_array_remove_fast(sched->active, job);
	if (job->dirty)
		g_queue_remove(&sched->dirty, job);
	g_hash_table_remove(sched->jobs, job->spec->id);
}

/* No start was sent, since the claims are not durable. */
static void release_unstored_claims(sched_job_t *job)
{
	sched_task_iter_t tasks = { .job = job };
	sched_task_t *task;

	while (job->claimed && (task = sched_task_iter_next(&tasks)))
		if (task->state == GN_JOB_TASK_CLAIMED)
			sched_release_claim(task, "withdrawn");
}

bool gn_sched_withdraw(gn_sched_t *sched, const char *id)
{
	sched_job_t *job = g_hash_table_lookup(sched->jobs, id);

	if (!job || job->stored || job->pending_ends ||
	    g_ptr_array_find(sched->writing, job, NULL))
		return false;
	release_unstored_claims(job);
	remove_job(sched, job);
	return true;
}

static void retire_all_ends(gn_sched_t *sched)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		sched_worker_retire_ends(sched, value);
}

void gn_sched_confirm_batch(gn_sched_t *sched, uint64_t revision)
{
	/* Starts that follow from this batch carry the new tokens. */
	sched_workers_raise_fences(sched, revision);
	for (guint i = 0; i < sched->writing->len; i++) {
		sched_job_t *job = g_ptr_array_index(sched->writing, i);

		if (job->removing) {
			remove_job(sched, job);
			continue;
		}
		job->durable_version = job->writing_version;
		job->stored = true;
		sched_job_send_starts(job);
		sched->ops->on_durable(sched->arg, job->spec->id,
				       job->durable_version);
	}
	g_ptr_array_set_size(sched->writing, 0);
	retire_all_ends(sched);
}

void gn_sched_requeue_batch(gn_sched_t *sched)
{
	for (guint i = 0; i < sched->writing->len; i++) {
		sched_job_t *job = g_ptr_array_index(sched->writing, i);

		if (job->dirty)
			continue;
		job->dirty = true;
		g_queue_push_head(&sched->dirty, job);
	}
	g_ptr_array_set_size(sched->writing, 0);
}

/* ======   Loading   ====== */

static bool is_name(const char *text)
{
	return *text && strlen(text) <= GN_NAME_MAX;
}

static gn_code_t check_states(const sched_job_t *job, const Gn__JobState *state)
{
	if (state->phase >= GN_JOB_PHASE_COUNT)
		return GN_ERR_INVALID;
	for (size_t i = 0; i < state->n_tasks; i++) {
		const Gn__TaskState *row = state->tasks[i];

		if (row->number >= job->task_count ||
		    row->status > GN_JOB_TASK_DONE)
			return GN_ERR_INVALID;
		if (row->status == GN_JOB_TASK_CLAIMED &&
		    (!is_name(row->host) || !is_name(row->life)))
			return GN_ERR_INVALID;
	}
	return GN_OK;
}

static void load_task(sched_job_t *job, const Gn__TaskState *row)
{
	sched_task_t *task = sched_job_get_task(job, row->number);
	sched_unit_t *unit;

	/* Its occurrence is done, or the row is there twice. */
	if (!task || task->state != GN_JOB_TASK_WAITING)
		return;
	unit = task->unit;
	task->attempt = row->attempt;
	task->failed = row->failed;
	task->failed_attempt = row->failed_attempt;
	task->released_us = sched_now_us(job->sched);
	sched_crash_load(task, row);
	if (row->status != GN_JOB_TASK_DONE)
		sched_lapse_load(task, row);
	sched_calls_load(task, row);
	if (*row->checkpoint)
		task->checkpoint = g_strdup(row->checkpoint);
	if (row->status == GN_JOB_TASK_DONE) {
		task->state = GN_JOB_TASK_DONE;
		unit->waiting--;
		unit->done++;
		job->done++;
	} else if (row->status == GN_JOB_TASK_CLAIMED) {
		sched_restore_claim(
			task, sched_worker_get(job->sched, row->host), row);
		task->isolated = row->isolated;
	}
}

/* Opens the occurrences that have begun and are not done. */
static void load_occurrences(sched_job_t *job, const Gn__JobState *state)
{
	uint32_t *done;

	if (!job->spec->repeats)
		return;
	done = g_new0(uint32_t, job->occurrence_states.count);
	for (size_t i = 0; i < state->n_tasks; i++)
		if (state->tasks[i]->status == GN_JOB_TASK_DONE)
			done[state->tasks[i]->number / job->width]++;
	for (size_t i = 0; i < state->n_tasks; i++) {
		uint32_t number = state->tasks[i]->number / job->width;

		if (gn_occurrences_get(&job->occurrence_states, number) !=
		    GN_OCCURRENCE_WAITING)
			continue;
		if (done[number] < job->width) {
			sched_occurrence_open(job, number);
			continue;
		}
		gn_occurrences_set(&job->occurrence_states, number,
				   GN_OCCURRENCE_DONE);
		job->done += job->width;
	}
	g_free(done);
}

gn_code_t gn_sched_load_job(gn_sched_t *sched, Gn__JobSpec *spec,
			    const Gn__JobState *state)
{
	sched_job_t *job;

	if (gn_job_check(spec, NULL) ||
	    g_hash_table_contains(sched->jobs, spec->id))
		return GN_ERR_INVALID;
	job = sched_job_create(sched, spec, state->accepted_ms);
	if (check_states(job, state)) {
		/* The caller keeps ownership of the spec. */
		job->spec = NULL;
		g_ptr_array_remove_fast(sched->active, job);
		g_hash_table_steal(sched->jobs, spec->id);
		sched_job_free(job);
		return GN_ERR_INVALID;
	}
	job->phase = (gn_job_phase_t)state->phase;
	job->stored = true;
	sched_job_load_queue(job, state);
	load_occurrences(job, state);
	for (size_t i = 0; i < state->n_tasks; i++)
		load_task(job, state->tasks[i]);
	return GN_OK;
}

gn_code_t gn_sched_load_interference(gn_sched_t *sched, const uint8_t *data,
				     size_t len)
{
	gn_code_t weights =
		gn_interference_unpack(sched->interference, data, len);
	gn_code_t run_times = gn_estimate_unpack(sched->estimate, data, len);

	return weights ? weights : run_times;
}

void gn_sched_load_leave(gn_sched_t *sched, const Gn__Leave *leave)
{
	sched_worker_t *worker =
		g_hash_table_lookup(sched->workers, leave->host);

	/* Without its start, a life cannot be told from one under the same
	 * ID. */
	if (worker && leave->born_ms)
		sched_worker_load_leave(worker, leave);
}

/* Whether a life of the worker may have begun so shortly before that a call for
 * a former one has given it the longest lease. */
static bool may_have_longest_lease(const gn_sched_t *sched,
				   const sched_worker_t *worker)
{
	uint64_t wall_ms = sched_wall_ms(sched);

	for (guint i = 0; i < worker->claims->len; i++) {
		const sched_task_t *task = g_ptr_array_index(worker->claims, i);

		if (task->life.started_ms + sched->config.lease_max_ms +
			    SCHED_CLOCK_DIFFERENCE_MS >
		    wall_ms)
			return true;
	}
	return false;
}

/* Computes when all leases of an earlier leader have expired. It may answer
 * reports, and so have leases extended, for up to depose_ms. */
static void set_lease_expiry(const gn_sched_t *sched, sched_worker_t *worker)
{
	uint64_t lease_us = sched_lease_us(sched->config.lease_ms) +
			    (uint64_t)sched->config.depose_ms * GN_US_PER_MS;

	if (may_have_longest_lease(sched, worker))
		lease_us = MAX(lease_us,
			       sched_lease_us(sched->config.lease_max_ms));
	worker->report_expiry_us = sched_now_us(sched) + lease_us;
	worker->list_expiry_us =
		worker->report_expiry_us + SCHED_CLOCK_READING_MAX_US;
}

static void resume_job(sched_job_t *job)
{
	sched_task_iter_t tasks = { .job = job };
	sched_task_t *task;

	/* The run times may have been loaded after the job. */
	sched_job_update_run_times(job);
	/* An earlier leader may not have known the limit. */
	sched_job_check_limits(job);
	if (!sched_job_is_finished(job)) {
		sched_job_update_units(job);
		return;
	}
	job->finished_us = sched_now_us(job->sched);
	sched_occurrences_release(job);
	while ((task = sched_task_iter_next(&tasks)))
		if (task->state == GN_JOB_TASK_CLAIMED)
			task->stopping = true;
}

void gn_sched_finish_loading(gn_sched_t *sched)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		set_lease_expiry(sched, value);
	g_hash_table_iter_init(&iter, sched->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		resume_job(value);
	sched->changed = true;
}
