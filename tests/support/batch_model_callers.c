/**
 * @file batch_model_callers.c
 * @brief The callers of the model: their requests and the reports to them.
 */
#include "support/batch_model_internal.h"

/** Callers submit no tasks while this many tasks wait. */
#define WAITING_MAX 3

/** Returns the state of task @p id in the stored value; -1 if it is absent. */
static int stored_state(const gn_model_t *model, uint64_t id)
{
	gn_batch_value_t *value = NULL;
	int state = -1;

	if (gn_batch_codec_decode(NULL, model->platform.value, 0, &value, NULL))
		return -1;
	for (size_t i = 0; i < value->task_count; i++) {
		if (value->tasks[i]->id == id)
			state = (int)value->tasks[i]->state;
	}
	talloc_free(value);
	return state;
}

static void submit_task(gn_model_t *model, entry_t *entry)
{
	bool is_standing = model_chance(model, .2);
	gn_task_request_t request = {
		.work_class = is_standing ? GN_CLASS_STANDING : GN_CLASS_BATCH,
		.team = { "t", 1 },
		.kind = { "k", 1 },
		.service = { "s", 1 },
		.priority = (unsigned)model_pick(model, GN_TASK_PRIORITIES),
		.cores = 1,
	};
	pending_t pending = { .kind = PENDING_SUBMIT };
	gn_task_reason_t reason;

	if (gn_batch_bucket_submit(entry->bucket, &request, &pending.id,
				   &pending.seq, &reason))
		return;
	g_array_append_val(entry->pending, pending);
}

static uint64_t pick_task(gn_model_t *model)
{
	int known = (int)g_hash_table_size(model->oracles);

	return gn_task_id_make(BUCKET,
			       1 + (uint64_t)model_pick(model, known + 1));
}

static void cancel_task(gn_model_t *model, entry_t *entry)
{
	uint64_t id = pick_task(model);
	pending_t pending = { .kind = PENDING_CANCEL, .id = id };

	if (gn_batch_bucket_cancel(entry->bucket, id, &pending.outcome,
				   &pending.seq))
		return;
	g_array_append_val(entry->pending, pending);
}

static void report_result(gn_model_t *model, const pending_t *pending)
{
	task_oracle_t *oracle = model_find_oracle(model, pending->id);

	if (stored_state(model, pending->id) < 0)
		model_report_violation(model, "an accepted task is not stored");
	if (pending->kind == PENDING_SUBMIT) {
		model->counts->submit_reported++;
		return;
	}
	if (pending->outcome != GN_OUTCOME_NOT_RUN) {
		model->counts->unknown_reported++;
		return;
	}
	model->counts->not_run_reported++;
	oracle->is_reported_not_run = true;
	if (oracle->is_started)
		model_report_violation(model,
				       "a started task was told as not run");
}

static void report_durable(gn_model_t *model, entry_t *entry)
{
	for (guint i = 0; i < entry->pending->len;) {
		pending_t pending = g_array_index(entry->pending, pending_t, i);

		if (!gn_batch_bucket_is_durable(entry->bucket, pending.seq)) {
			i++;
			continue;
		}
		report_result(model, &pending);
		g_array_remove_index_fast(entry->pending, i);
	}
}

typedef struct visit_s {
	gn_model_t *model;
	const entry_t *entry;
} visit_t;

static void report_done(const gn_task_t *task, void *data)
{
	const visit_t *visit = data;
	task_oracle_t *oracle;

	if (task->state != GN_TASK_DONE ||
	    !gn_batch_bucket_task_is_durable(visit->entry->bucket, task))
		return;
	oracle = model_find_oracle(visit->model, task->id);
	if (oracle->is_reported_done)
		return;
	oracle->is_reported_done = true;
	visit->model->counts->done_reported++;
	if (stored_state(visit->model, task->id) != GN_TASK_DONE)
		model_report_violation(visit->model,
				       "a told finish is not stored");
}

void model_serve_callers(gn_model_t *model, entry_t *entry)
{
	visit_t visit = { model, entry };

	if (gn_task_queue_count(gn_batch_bucket_queue(entry->bucket)) <
		    WAITING_MAX &&
	    model_chance(model, .2))
		submit_task(model, entry);
	if (model_chance(model, .02))
		cancel_task(model, entry);
	if (model_chance(model, .02) &&
	    !gn_batch_bucket_evict(entry->bucket, pick_task(model)))
		model->counts->evict++;
	report_durable(model, entry);
	gn_batch_bucket_foreach(entry->bucket, report_done, &visit);
}
