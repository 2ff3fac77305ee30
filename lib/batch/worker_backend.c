/**
 * @file worker_backend.c
 * @brief Processes the backend server's lists and reports of runs.
 */
#include "batch/worker_tasks_internal.h"

#include <assert.h>

#include "common/str.h"

/** A start that no answer or list has confirmed for this long is lost. Calls
 * end after 2 s, and a list is requested every 500 ms. */
#define CONFIRM_MAX_US (5 * GN_US_PER_S)

static gn_code_t add_listed(gn_worker_tasks_t *tasks,
			    const gn_backend_run_t *listed)
{
	gn_run_t *run = talloc_zero(tasks, gn_run_t);

	if (!run)
		return GN_ERR_MEMORY;
	run->id = listed->id;
	run->epoch = listed->epoch;
	run->state = listed->state;
	run->confirmed = true;
	run->confirmed_us = gn_clock_now_us(tasks->clock);
	run->lease_until_us =
		listed->lease_until_us + tasks->params.lease_margin_us;
	run->result_code = listed->result_code;
	run->checkpoint = talloc_strdup(
		run, listed->checkpoint ? listed->checkpoint : "");
	run->kind = talloc_strdup(run, listed->kind);
	run->cores = listed->cores;
	run->memory_mb = listed->memory_mb;
	run->accelerators = listed->accelerators;
	run->work_class = listed->work_class;
	run->speed_pct = listed->speed_pct;
	if (!run->checkpoint || !run->kind) {
		talloc_free(run);
		return GN_ERR_MEMORY;
	}
	if (gn_run_is_active(run))
		gn_run_add_usage(tasks, run);
	g_hash_table_insert(tasks->runs, &run->id, run);
	return GN_OK;
}

static const gn_backend_run_t *
find_listed(const gn_run_t *run, const gn_backend_run_t *runs, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (runs[i].id == run->id &&
		    gn_task_epoch_claim(runs[i].epoch) ==
			    gn_task_epoch_claim(run->epoch))
			return &runs[i];
	}
	return NULL;
}

/**
 * Ends a run that is not on a list although its start was sent long before.
 * A stop forbids its start to the backend server, which also refuses it once
 * the lease has expired. Until one of these is certain, it may yet start.
 */
static void end_lost_start(gn_worker_tasks_t *tasks, gn_run_t *run,
			   uint64_t asked_us)
{
	if (asked_us >= run->lease_until_us)
		gn_run_set_ended(tasks, run, GN_RUN_REFUSED);
	else if (run->start_sent_us &&
		 asked_us >= run->start_sent_us + CONFIRM_MAX_US)
		gn_run_request_end(tasks, run, GN_ACTION_STOP);
}

/**
 * Fails the runs that the backend server has lost: those that were confirmed
 * before the list was requested and are not on it. A run confirmed since then
 * may be missing from the list although it runs.
 */
static void fail_lost_runs(gn_worker_tasks_t *tasks, uint64_t asked_us,
			   const gn_backend_run_t *runs, size_t count)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, tasks->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		gn_run_t *run = value;

		if (!gn_run_is_active(run) || find_listed(run, runs, count))
			continue;
		if (!run->confirmed)
			end_lost_start(tasks, run, asked_us);
		else if (run->confirmed_us < asked_us)
			gn_run_set_ended(tasks, run, GN_RUN_FAILED);
	}
}

static gn_code_t store_run_checkpoint(gn_run_t *run, gn_str_t checkpoint)
{
	char *copy;

	if (!checkpoint.len)
		return GN_OK;
	if (checkpoint.len > GN_TASK_CHECKPOINT_MAX)
		return GN_ERR_RANGE;
	copy = talloc_strndup(run, checkpoint.data, checkpoint.len);
	if (!copy)
		return GN_ERR_MEMORY;
	talloc_free((void *)run->checkpoint);
	run->checkpoint = copy;
	return GN_OK;
}

gn_code_t gn_worker_tasks_on_event(gn_worker_tasks_t *tasks, uint64_t id,
				   uint64_t epoch, gn_run_state_t state,
				   uint32_t result_code, gn_str_t checkpoint)
{
	gn_run_t *run = g_hash_table_lookup(tasks->runs, &id);
	gn_code_t code;

	if (!run || !gn_run_is_active(run) ||
	    gn_task_epoch_claim(run->epoch) != gn_task_epoch_claim(epoch))
		return GN_ERR_STALE;
	if (!run->confirmed)
		run->confirmed_us = gn_clock_now_us(tasks->clock);
	run->confirmed = true;
	if (state == GN_RUN_RUNNING)
		return GN_OK;
	code = store_run_checkpoint(run, checkpoint);
	if (code)
		return code;
	run->result_code = result_code;
	gn_run_set_ended(tasks, run, state);
	return GN_OK;
}

/** Whether the list was requested before the agent's start or a newer list. */
static bool is_list_stale(const gn_worker_tasks_t *tasks, uint64_t asked_us)
{
	return asked_us < tasks->created_us || asked_us < tasks->listed_us;
}

gn_code_t gn_worker_tasks_set_backend(gn_worker_tasks_t *tasks,
				      uint64_t incarnation, uint64_t asked_us)
{
	GHashTableIter iter;
	gpointer value;

	assert(incarnation);
	if (is_list_stale(tasks, asked_us))
		return GN_ERR_STALE;
	if (tasks->backend == incarnation)
		return GN_OK;
	tasks->backend = incarnation;
	g_hash_table_iter_init(&iter, tasks->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		gn_run_t *run = value;

		/*
		 * Its start went to an earlier incarnation, so the run is on
		 * the list of this one or is lost.
		 */
		run->confirmed = true;
		run->confirmed_us = 0;
	}
	return GN_OK;
}

static gn_code_t reconcile_listed(gn_worker_tasks_t *tasks,
				  const gn_backend_run_t *listed)
{
	const gn_run_t *run = g_hash_table_lookup(tasks->runs, &listed->id);

	if (!run)
		return add_listed(tasks, listed);
	if (gn_run_is_active(run))
		gn_worker_tasks_on_event(tasks, listed->id, listed->epoch,
					 listed->state, listed->result_code,
					 gn_str_from(listed->checkpoint));
	return GN_OK;
}

gn_code_t gn_worker_tasks_on_list(gn_worker_tasks_t *tasks, uint64_t asked_us,
				  const gn_backend_run_t *runs, size_t count)
{
	gn_code_t code = GN_OK;

	if (is_list_stale(tasks, asked_us))
		return GN_ERR_STALE;
	tasks->listed_us = asked_us;
	fail_lost_runs(tasks, asked_us, runs, count);
	for (size_t i = 0; i < count && !code; i++)
		code = reconcile_listed(tasks, &runs[i]);
	if (code)
		return code;
	tasks->ready = true;
	if (tasks->draining)
		gn_worker_tasks_set_draining(tasks, true);
	return GN_OK;
}
