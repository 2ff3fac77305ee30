#include "batch/worker_tasks_internal.h"

#include <assert.h>
#include <string.h>

#include "common/str.h"

/** A stop that isn't confirmed is told again after this time. */
#define STOP_REPEAT_US GN_US_PER_S

/* ======   Runs   ====== */

bool gn_run_is_active(const gn_run_t *run)
{
	return run->state == GN_RUN_RUNNING;
}

gn_action_t *gn_run_act(gn_worker_tasks_t *tasks, gn_action_kind_t kind,
			const gn_run_t *run)
{
	gn_action_t *action = talloc_zero(tasks, gn_action_t);

	if (!action)
		return NULL;
	action->kind = kind;
	action->id = run->id;
	action->epoch = run->epoch;
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
	/* A stop may follow a checkpoint, for instance when the lease lapses. */
	if (kind != GN_ACTION_STOP)
		return !run->ending;
	return !run->stop_us ||
	       gn_clock_now_us(tasks->clock) - run->stop_us >= STOP_REPEAT_US;
}

void gn_run_end(gn_worker_tasks_t *tasks, gn_run_t *run, gn_action_kind_t kind)
{
	if (!is_end_due(tasks, run, kind) || !gn_run_act(tasks, kind, run))
		return;
	run->ending = true;
	if (kind == GN_ACTION_STOP)
		run->stop_us = gn_clock_now_us(tasks->clock);
}

void gn_run_use(gn_worker_tasks_t *tasks, const gn_run_t *run)
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

/* ======   Life   ====== */

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

/* ======   The backend server   ====== */

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
	if (!run->checkpoint || !run->kind) {
		talloc_free(run);
		return GN_ERR_MEMORY;
	}
	if (gn_run_is_active(run))
		gn_run_use(tasks, run);
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
 * A run that was confirmed before the list was asked for is on the list, or
 * the backend server has lost it. One confirmed since may just be missing.
 */
static void fail_lost(gn_worker_tasks_t *tasks, uint64_t asked_us,
		      const gn_backend_run_t *runs, size_t count)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, tasks->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		gn_run_t *run = value;

		if (gn_run_is_active(run) && run->confirmed &&
		    run->confirmed_us < asked_us &&
		    !find_listed(run, runs, count))
			gn_run_set_ended(tasks, run, GN_RUN_FAILED);
	}
}

static gn_code_t keep_checkpoint_of(gn_run_t *run, gn_str_t checkpoint)
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
	code = keep_checkpoint_of(run, checkpoint);
	if (code)
		return code;
	run->result_code = result_code;
	gn_run_set_ended(tasks, run, state);
	return GN_OK;
}

static gn_code_t reconcile(gn_worker_tasks_t *tasks,
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

	if (asked_us < tasks->created_us || asked_us < tasks->listed_us)
		return GN_ERR_STALE;
	tasks->listed_us = asked_us;
	fail_lost(tasks, asked_us, runs, count);
	for (size_t i = 0; i < count && !code; i++)
		code = reconcile(tasks, &runs[i]);
	if (code)
		return code;
	tasks->ready = true;
	if (tasks->draining)
		gn_worker_tasks_set_draining(tasks, true);
	return GN_OK;
}

/* ======   Time   ====== */

uint64_t gn_worker_tasks_begin_poll(gn_worker_tasks_t *tasks)
{
	uint64_t now_us = gn_clock_now_us(tasks->clock);

	if (!tasks->ready)
		return 0;
	tasks->polled_us = MAX(now_us, tasks->polled_us + 1);
	return tasks->polled_us;
}

/** Whether @p run is kept no longer; tells the backend server to forget. */
static bool is_run_spent(gn_worker_tasks_t *tasks, gn_run_t *run,
			 uint64_t now_us)
{
	if (!run->forgotten_us)
		return false;
	/* Until the lease is over, a start that was held up may yet arrive. */
	if (!run->dropped && now_us >= run->lease_until_us)
		run->dropped = gn_run_act(tasks, GN_ACTION_FORGET, run);
	return run->dropped &&
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
			tasks->stats.lapses += !run->ending;
			gn_run_end(tasks, run, GN_ACTION_STOP);
		}
		if (is_run_spent(tasks, run, now_us))
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
			gn_run_end(tasks, value, GN_ACTION_CHECKPOINT);
	}
}

gn_action_t *gn_worker_tasks_next_action(gn_worker_tasks_t *tasks)
{
	return g_queue_pop_head(&tasks->actions);
}

/* ======   Queries   ====== */

bool gn_worker_tasks_is_ready(const gn_worker_tasks_t *tasks)
{
	return tasks->ready;
}

gn_code_t gn_worker_tasks_reports(const gn_worker_tasks_t *tasks,
				  unsigned bucket, TALLOC_CTX *parent,
				  gn_batch_report_t **reports, size_t *count)
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

size_t gn_worker_tasks_kinds(const gn_worker_tasks_t *tasks, const char **kinds,
			     size_t size)
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
