#include "batch/worker_tasks_internal.h"

#include <assert.h>
#include <string.h>

#include "common/str.h"

/** An unconfirmed stop is repeated after this time. */
#define STOP_REPEAT_US GN_US_PER_S

/* ======   Runs   ====== */

bool gn_run_is_active(const gn_run_t *run)
{
	return run->state == GN_RUN_RUNNING;
}

gn_action_t *gn_run_queue_action(gn_worker_tasks_t *tasks,
				 gn_action_kind_t kind, const gn_run_t *run)
{
	gn_action_t *action = talloc_zero(tasks, gn_action_t);

	if (!action)
		return NULL;
	action->kind = kind;
	action->id = run->id;
	action->epoch = run->epoch;
	action->backend = tasks->backend;
	action->task_kind = "";
	action->checkpoint = "";
	if (run->lease_until_us > tasks->params.lease_margin_us)
		action->lease_until_us =
			run->lease_until_us - tasks->params.lease_margin_us;
	g_queue_push_tail(&tasks->actions, action);
	return action;
}

static bool is_end_due(const gn_worker_tasks_t *tasks, const gn_run_t *run,
		       gn_action_kind_t kind)
{
	/* A stop may follow a checkpoint, for example if the lease expires. */
	if (kind != GN_ACTION_STOP)
		return !run->ending;
	return !run->stop_us ||
	       gn_clock_now_us(tasks->clock) - run->stop_us >= STOP_REPEAT_US;
}

void gn_run_request_end(gn_worker_tasks_t *tasks, gn_run_t *run,
			gn_action_kind_t kind)
{
	if (!is_end_due(tasks, run, kind) ||
	    !gn_run_queue_action(tasks, kind, run))
		return;
	run->ending = true;
	if (kind == GN_ACTION_STOP)
		run->stop_us = gn_clock_now_us(tasks->clock);
}

void gn_run_add_usage(gn_worker_tasks_t *tasks, const gn_run_t *run)
{
	tasks->stats.running++;
	tasks->stats.cores += run->cores;
	tasks->stats.memory_mb += run->memory_mb;
	tasks->stats.accelerators += run->accelerators;
}

void gn_run_set_ended(gn_worker_tasks_t *tasks, gn_run_t *run,
		      gn_run_state_t state)
{
	assert(gn_run_is_active(run));
	assert(state != GN_RUN_RUNNING);
	assert(tasks->stats.running > 0);
	run->state = state;
	tasks->stats.running--;
	tasks->stats.cores -= run->cores;
	tasks->stats.memory_mb -= run->memory_mb;
	tasks->stats.accelerators -= run->accelerators;
}

/* ======   Creation   ====== */

static void free_run(gpointer data)
{
	talloc_free(data);
}

static int destroy_tasks(gn_worker_tasks_t *tasks)
{
	g_hash_table_destroy(tasks->runs);
	g_hash_table_destroy(tasks->fences);
	g_queue_clear(&tasks->actions);
	return 0;
}

gn_worker_tasks_t *
gn_worker_tasks_create(TALLOC_CTX *parent,
		       const gn_worker_tasks_params_t *params,
		       gn_worker_tasks_gate_t gate, const gn_clock_t *clock)
{
	gn_worker_tasks_t *tasks = talloc_zero(parent, gn_worker_tasks_t);

	if (!tasks)
		return NULL;
	tasks->params = *params;
	tasks->gate = gate;
	tasks->clock = clock;
	tasks->created_us = gn_clock_now_us(clock);
	tasks->polled_us = tasks->created_us;
	tasks->runs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    free_run);
	tasks->fences =
		g_hash_table_new_full(g_int_hash, g_int_equal, NULL, g_free);
	g_queue_init(&tasks->actions);
	talloc_set_destructor(tasks, destroy_tasks);
	return tasks;
}

/* ======   Polls and timers   ====== */

uint64_t gn_worker_tasks_begin_poll(gn_worker_tasks_t *tasks)
{
	uint64_t now_us = gn_clock_now_us(tasks->clock);

	if (!tasks->ready)
		return 0;
	tasks->polled_us = MAX(now_us, tasks->polled_us + 1);
	return tasks->polled_us;
}

/** Queues GN_ACTION_FORGET once possible; returns whether to drop @p run. */
static bool is_run_expired(gn_worker_tasks_t *tasks, gn_run_t *run,
			   uint64_t now_us)
{
	if (!run->forgotten_us)
		return false;
	/* Until the lease has expired, a delayed start may still arrive. */
	if (!run->forget_queued && now_us >= run->lease_until_us)
		run->forget_queued =
			gn_run_queue_action(tasks, GN_ACTION_FORGET, run);
	return run->forget_queued &&
	       now_us - run->forgotten_us > tasks->params.forget_us;
}

void gn_worker_tasks_tick(gn_worker_tasks_t *tasks)
{
	uint64_t now_us = gn_clock_now_us(tasks->clock);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, tasks->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		gn_run_t *run = value;

		if (gn_run_is_active(run) && now_us >= run->lease_until_us) {
			tasks->stats.expiries += !run->ending;
			gn_run_request_end(tasks, run, GN_ACTION_STOP);
		}
		if (is_run_expired(tasks, run, now_us))
			g_hash_table_iter_remove(&iter);
	}
}

void gn_worker_tasks_set_draining(gn_worker_tasks_t *tasks, bool draining)
{
	GHashTableIter iter;
	gpointer value;

	tasks->draining = draining;
	if (!draining)
		return;
	g_hash_table_iter_init(&iter, tasks->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (gn_run_is_active(value))
			gn_run_request_end(tasks, value, GN_ACTION_CHECKPOINT);
	}
}

gn_action_t *gn_worker_tasks_next_action(gn_worker_tasks_t *tasks)
{
	gn_action_t *action = g_queue_pop_head(&tasks->actions);
	gn_run_t *run;

	if (!action || action->kind != GN_ACTION_START)
		return action;
	run = g_hash_table_lookup(tasks->runs, &action->id);
	if (run && gn_task_epoch_claim(run->epoch) ==
			   gn_task_epoch_claim(action->epoch))
		run->start_sent_us = gn_clock_now_us(tasks->clock);
	return action;
}

/* ======   Queries   ====== */

bool gn_worker_tasks_is_ready(const gn_worker_tasks_t *tasks)
{
	return tasks->ready;
}

gn_code_t gn_worker_tasks_list_reports(const gn_worker_tasks_t *tasks,
				       unsigned bucket, TALLOC_CTX *parent,
				       gn_batch_report_t **reports,
				       size_t *count)
{
	GHashTableIter iter;
	gpointer value;

	*count = 0;
	*reports = talloc_array(parent, gn_batch_report_t,
				g_hash_table_size(tasks->runs) + 1);
	if (!*reports)
		return GN_ERR_MEMORY;
	g_hash_table_iter_init(&iter, tasks->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const gn_run_t *run = value;

		if (run->forgotten_us)
			continue;
		if (bucket != UINT_MAX && gn_task_id_bucket(run->id) != bucket)
			continue;
		(*reports)[(*count)++] = (gn_batch_report_t){
			.task = run->id,
			.epoch = run->epoch,
			.state = run->state,
			.result_code = run->result_code,
			.checkpoint = run->checkpoint,
		};
	}
	return GN_OK;
}

size_t gn_worker_tasks_list_kinds(const gn_worker_tasks_t *tasks,
				  const char **kinds, size_t size)
{
	GHashTableIter iter;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, tasks->runs);
	while (count < size && g_hash_table_iter_next(&iter, NULL, &value)) {
		const gn_run_t *run = value;

		if (gn_run_is_active(run))
			kinds[count++] = run->kind;
	}
	return count;
}

void gn_worker_tasks_foreach(const gn_worker_tasks_t *tasks,
			     void (*visit)(uint64_t id, uint64_t epoch,
					   gn_run_state_t state,
					   uint64_t lease_until_us, void *data),
			     void *data)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, tasks->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const gn_run_t *run = value;

		if (!run->forgotten_us)
			visit(run->id, run->epoch, run->state,
			      run->lease_until_us, data);
	}
}

const gn_worker_tasks_stats_t *
gn_worker_tasks_stats(const gn_worker_tasks_t *tasks)
{
	return &tasks->stats;
}
