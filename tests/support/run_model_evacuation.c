/**
 * @file run_model_evacuation.c
 * @brief Evacuations in the run model: the operators' requests, and what each
 *        leader knows of them. Each worker is in a data centre of its own.
 */
#include "support/run_model_internal.h"

#include "common/str.h"

#define PREFIX "out/"
/** Time until the next request at one data centre, and until its withdrawal;
 * the bound has to pass in many evacuations. */
#define CHANGE_MIN_MS 200
#define REQUEST_MAX_MS 3000
#define WITHDRAWAL_MAX_MS 10000
/** A request that is withdrawn within this time is a short one. */
#define SHORT_MS 1000
#define SHORT_CHANCE 0.25
/** Time between two answers of the store's watch, as in
 * lib/scheduler/config.c. */
#define WATCH_MAX_MS 1000
/** Sometimes the watch has no answer for longer. */
#define SILENT_CHANCE 0.1
#define SILENT_MIN_MS 1500
#define SILENT_MAX_MS 8000

/* ======   Requests   ====== */

static void change(run_model_t *model, void *data)
{
	rm_worker_t *worker = data;
	uint64_t *since_us = &model->evacuated_us[worker->at];
	bool is_short = !*since_us && rm_draw(model, SHORT_CHANCE);
	uint64_t now_us = rm_now_us(model);
	uint64_t delay_us =
		rm_draw_us(model, CHANGE_MIN_MS,
			   *since_us ? REQUEST_MAX_MS : WITHDRAWAL_MAX_MS);

	if (!*since_us && !rm_in_faults(model))
		return;
	*since_us = *since_us ? 0 : now_us;
	model->evacuations_revision++;
	model->counts->evacuations += *since_us != 0;
	rm_log(model, "operator", worker->at,
	       *since_us ? "evacuates" : "returns", NULL, 0, NULL);
	if (is_short)
		delay_us = rm_draw_us(model, 1, SHORT_MS);
	/* All is withdrawn soon after the last fault. */
	if (*since_us)
		delay_us = MIN(delay_us, RM_START_US + RM_FAULTS_MS * RM_MS +
						 GN_US_PER_S - now_us);
	rm_faults_extend(model, now_us + delay_us +
					(RM_SETTLE_MS + SILENT_MAX_MS) * RM_MS);
	rm_at(model, now_us + delay_us, change, worker, NULL);
}

void rm_evacuations_start(run_model_t *model, rm_worker_t *worker)
{
	if (model->options.evacuations)
		rm_at(model,
		      RM_START_US +
			      rm_draw_us(model, CHANGE_MIN_MS, REQUEST_MAX_MS),
		      change, worker, NULL);
}

/* ======   Knowledge of a leader   ====== */

static void read_requests(rm_leader_t *leader)
{
	run_model_t *model = leader->model;
	gn_kv_entry_t entries[RM_WORKERS] = { 0 };
	char keys[RM_WORKERS][16];
	gn_kv_update_t update = { .is_snapshot = true,
				  .revision = model->evacuations_revision,
				  .entries = entries };

	for (unsigned i = 0; i < RM_WORKERS; i++) {
		gn_kv_entry_t *entry = &entries[update.count];

		if (!model->evacuated_us[i] ||
		    model->options.bug == RUN_MODEL_BUG_NO_EVACUATIONS)
			continue;
		g_snprintf(keys[i], sizeof(keys[i]), PREFIX "d%u", i);
		entry->key = gn_str_from(keys[i]);
		entry->value = GN_STR("{}");
		entry->revision = update.revision;
		update.count++;
	}
	if (gn_evacuations_update(leader->evacuations, &update, NULL, NULL))
		gn_sched_set_evacuations(leader->sched, leader->evacuations);
}

void rm_evacuations_open(rm_leader_t *leader)
{
	run_model_t *model = leader->model;
	bool late = rm_draw(model, 0.3);

	leader->evacuations = gn_evacuations_create(NULL, PREFIX);
	leader->evacuations_due_us =
		rm_now_us(model) + (late ? rm_draw_us(model, 0, 1500) : 0);
	gn_sched_set_evacuations(leader->sched, leader->evacuations);
}

void rm_evacuations_tick(rm_leader_t *leader)
{
	run_model_t *model = leader->model;
	uint64_t now_us = rm_now_us(model);
	bool is_silent;

	if (!leader->evacuations)
		return;
	if (model->options.bug == RUN_MODEL_BUG_OLD_EVACUATIONS)
		gn_evacuations_confirm(leader->evacuations, now_us);
	/* A leader that is superseded has lost the store. */
	if (leader->superseded || now_us < leader->evacuations_due_us)
		return;
	read_requests(leader);
	gn_evacuations_confirm(leader->evacuations, now_us);
	is_silent = rm_in_faults(model) && rm_draw(model, SILENT_CHANCE);
	leader->evacuations_due_us =
		now_us +
		(is_silent ? rm_draw_us(model, SILENT_MIN_MS, SILENT_MAX_MS)
			   : rm_draw_us(model, 1, WATCH_MAX_MS));
}

/* ======   The bound   ====== */

void rm_evacuations_note_touch(run_model_t *model,
			       const rm_executor_t *executor)
{
	uint64_t now_us = rm_now_us(model);

	if (!executor->up || rm_executor_is_frozen(executor) ||
	    now_us < executor->cut_us ||
	    rm_recut_is_dark(model, &model->workers[executor->at]))
		model->out_of_touch_us[executor->at] = now_us;
}

static bool is_in_touch(const run_model_t *model, unsigned at)
{
	return rm_now_us(model) >=
	       model->out_of_touch_us[at] + RM_CONTACT_MS * RM_MS;
}

void rm_check_evacuated_start(run_model_t *model, const rm_worker_t *worker,
			      const rm_task_t *task, bool late)
{
	uint64_t since_us = model->evacuated_us[worker->at];

	if (!since_us)
		return;
	model->counts->starts_in_evacuations++;
	if (rm_now_us(model) <= since_us + RM_EVACUATE_MS * RM_MS)
		return;
	/* Nobody can take back a call that the worker carries out late, if the
	 * executor has ended, or it or the worker is cut off before it has closed
	 * the attempt. */
	if (late && !is_in_touch(model, worker->at))
		model->counts->late_starts_out_of_touch++;
	else
		rm_violate(model, task,
			   "a task starts in an evacuated data centre");
}
