/**
 * @file run_model_store.c
 * @brief The store: write batches of the leader, and loading by the next.
 */
#include "support/run_model_internal.h"

#include <stdlib.h>

/** Time that a batch takes: mostly short, at times long. */
#define QUICK_MS 30
#define SLOW_MS 500
#define SLOW_CHANCE 0.15

/* ======   Stored state   ====== */

static void apply_task(rm_job_t *job, const Gn__TaskState *state)
{
	rm_task_t *task = &job->tasks[state->number];

	task->state = (gn_job_task_state_t)state->status;
	task->attempt = state->attempt;
	if (!*state->host)
		return;
	task->host = (unsigned)(state->host[1] - '0');
	task->life.id = g_intern_string(state->life);
	task->life.started_ms = state->born_ms;
}

static void apply_state(rm_job_t *job, const Gn__JobState *state)
{
	size_t len = gn__job_state__get_packed_size(state);
	uint8_t *data = g_malloc(len + 1);

	gn__job_state__pack(state, data);
	g_bytes_unref(job->state);
	job->state = g_bytes_new_take(data, len);
	job->phase = (gn_job_phase_t)state->phase;
	for (size_t i = 0; i < state->n_tasks; i++)
		apply_task(job, state->tasks[i]);
}

static void apply_write(run_model_t *model, const gn_sched_write_t *write)
{
	rm_job_t *job;
	Gn__JobRecord *record;
	Gn__JobState *state;

	if (write->interference)
		return;
	job = g_hash_table_lookup(model->jobs_by_id, write->job);
	if (write->with_spec) {
		record = gn__job_record__unpack(NULL, write->len, write->value);
		apply_state(job, record->state);
		gn__job_record__free_unpacked(record, NULL);
	} else {
		state = gn__job_state__unpack(NULL, write->len, write->value);
		apply_state(job, state);
		gn__job_state__free_unpacked(state, NULL);
	}
}

static void apply_batch(rm_leader_t *leader)
{
	for (size_t i = 0; i < leader->write_count; i++)
		apply_write(leader->model, &leader->writes[i]);
}

static void free_batch(rm_leader_t *leader)
{
	for (size_t i = 0; i < leader->write_count; i++)
		free(leader->writes[i].value);
	leader->write_count = 0;
	leader->has_batch = false;
}

/* ======   Write batches   ====== */

static void on_stored(run_model_t *model, void *data)
{
	rm_leader_t *leader = rm_leader_find(model, *(uint64_t *)data);

	g_free(data);
	/* A deposed leader hears nothing more of its batch. */
	if (!leader || leader != model->leader || !leader->has_batch)
		return;
	apply_batch(leader);
	free_batch(leader);
	leader->confirmed_us = rm_now_us(model);
	if (model->options.bug != RUN_MODEL_BUG_EARLY_START)
		gn_sched_confirm_batch(leader->sched, ++model->epoch);
	rm_leader_run_pass(leader);
}

void rm_store_send_next(rm_leader_t *leader)
{
	run_model_t *model = leader->model;
	bool slow;

	if (leader->has_batch || leader != model->leader ||
	    !gn_sched_is_dirty(leader->sched))
		return;
	leader->has_batch = true;
	leader->write_count = gn_sched_begin_batch(
		leader->sched, leader->writes, RM_BATCH_MAX);
	slow = rm_in_faults(model) && rm_draw(model, SLOW_CHANCE);
	rm_at(model,
	      rm_now_us(model) +
		      rm_draw_us(model, 0, slow ? SLOW_MS : QUICK_MS),
	      on_stored, g_memdup2(&leader->epoch, sizeof(leader->epoch)),
	      g_free);
	if (model->options.bug == RUN_MODEL_BUG_EARLY_START)
		gn_sched_confirm_batch(leader->sched, ++model->epoch);
}

void rm_store_end_batch(rm_leader_t *leader)
{
	run_model_t *model = leader->model;

	if (!leader->has_batch)
		return;
	/* The next leader's election decides, by the chain key. */
	if (leader == model->leader && rm_draw(model, 0.5)) {
		model->counts->batches_applied_unseen++;
		apply_batch(leader);
	} else if (leader == model->leader) {
		model->counts->batches_lost++;
	}
	free_batch(leader);
}

/* ======   Loading   ====== */

void rm_store_load(rm_leader_t *leader)
{
	run_model_t *model = leader->model;

	for (unsigned i = 0; i < RM_JOBS; i++) {
		rm_job_t *job = &model->jobs[i];
		Gn__JobState *state;
		Gn__JobSpec *spec;
		gsize len;
		gconstpointer data;

		if (!job->state)
			continue;
		data = g_bytes_get_data(job->state, &len);
		state = gn__job_state__unpack(NULL, len, data);
		data = g_bytes_get_data(job->spec, &len);
		spec = gn__job_spec__unpack(NULL, len, data);
		g_assert_cmpint(gn_sched_load_job(leader->sched, spec, state),
				==, GN_OK);
		gn__job_state__free_unpacked(state, NULL);
	}
}
