/**
 * @file worker_orders.c
 * @brief Checks the orders that an agent gets and applies them to its runs.
 */
#include "batch/worker_tasks_internal.h"

#include <assert.h>

#include "common/str.h"

/* ======   Fences   ====== */

static gn_run_fence_t *find_fence(gn_worker_tasks_t *tasks, unsigned bucket)
{
	gn_run_fence_t *fence = g_hash_table_lookup(tasks->fences, &bucket);

	if (!fence) {
		fence = g_new0(gn_run_fence_t, 1);
		fence->bucket = bucket;
		g_hash_table_insert(tasks->fences, &fence->bucket, fence);
	}
	return fence;
}

/**
 * Checks that an answer is not from an earlier owner and answers a poll that
 * this agent sent, no older than the newest answered one.
 */
static gn_code_t check_fence(gn_worker_tasks_t *tasks, unsigned bucket,
			     uint32_t owner_epoch, uint64_t sent_us)
{
	gn_run_fence_t *fence = find_fence(tasks, bucket);

	if (GN_MUTANT(skip_epoch_check))
		return GN_OK;
	if (owner_epoch < fence->owner_epoch) {
		tasks->stats.refused_epoch++;
		return GN_ERR_STALE;
	}
	if (sent_us <= tasks->created_us || sent_us > tasks->polled_us ||
	    sent_us < fence->answered_us) {
		tasks->stats.refused_late++;
		return GN_ERR_STALE;
	}
	fence->owner_epoch = owner_epoch;
	fence->answered_us = sent_us;
	return GN_OK;
}

/** Returns the end of the run lease of an order that answers a poll. */
static uint64_t promise_end_us(const gn_worker_tasks_t *tasks, uint64_t sent_us,
			       const gn_batch_order_msg_t *order)
{
	if (GN_MUTANT(count_from_receipt))
		sent_us = gn_clock_now_us(tasks->clock);
	if (order->promise_us <= tasks->params.drift_us)
		return sent_us;
	return sent_us + order->promise_us - tasks->params.drift_us;
}

/* ======   Orders   ====== */

static gn_run_t *make_run(gn_worker_tasks_t *tasks,
			  const gn_batch_order_msg_t *order)
{
	const gn_task_t *task = order->task;
	gn_run_t *run = talloc_zero(tasks, gn_run_t);

	if (!run)
		return NULL;
	run->id = order->id;
	run->epoch = order->epoch;
	run->checkpoint = talloc_strdup(run, "");
	run->kind = talloc_strdup(run, task->kind);
	run->cores = task->cores;
	run->memory_mb = task->memory_mb;
	run->accelerators = task->accelerators;
	run->work_class = task->work_class;
	run->speed_pct = GN_SPEED_FULL_PCT;
	if (!run->checkpoint || !run->kind) {
		talloc_free(run);
		return NULL;
	}
	return run;
}

static gn_code_t queue_start(gn_worker_tasks_t *tasks, const gn_run_t *run,
			     const gn_task_t *task)
{
	gn_action_t *action = gn_run_queue_action(tasks, GN_ACTION_START, run);

	if (!action)
		return GN_ERR_MEMORY;
	action->task_kind = talloc_strdup(action, task->kind);
	action->checkpoint = talloc_strdup(action, task->checkpoint);
	action->spec.data =
		talloc_memdup(action, task->spec.data, task->spec.len);
	action->spec.len = task->spec.len;
	action->cores = task->cores;
	action->memory_mb = task->memory_mb;
	action->accelerators = task->accelerators;
	action->work_class = task->work_class;
	return action->task_kind && action->checkpoint ? GN_OK : GN_ERR_MEMORY;
}

static gn_code_t start_run(gn_worker_tasks_t *tasks,
			   const gn_batch_order_msg_t *order, uint64_t end_us)
{
	gn_run_t *run = make_run(tasks, order);

	if (!run)
		return GN_ERR_MEMORY;
	run->lease_until_us = end_us;
	g_hash_table_replace(tasks->runs, &run->id, run);
	if (tasks->draining ||
	    !tasks->gate.admit(tasks->gate.context, order->task)) {
		run->state = GN_RUN_REFUSED;
		tasks->stats.refused_admission++;
		return GN_OK;
	}
	run->state = GN_RUN_RUNNING;
	gn_run_add_usage(tasks, run);
	tasks->stats.starts++;
	return queue_start(tasks, run, order->task);
}

static void extend_lease(gn_worker_tasks_t *tasks, gn_run_t *run,
			 const gn_batch_order_msg_t *order, uint64_t end_us)
{
	if (!gn_run_is_active(run) || run->ending)
		return;
	/* An expired lease isn't extended; the worker has stopped the run. */
	if (gn_clock_now_us(tasks->clock) >= run->lease_until_us)
		return;
	run->epoch = MAX(run->epoch, order->epoch);
	if (end_us <= run->lease_until_us)
		return;
	run->lease_until_us = end_us;
	gn_run_queue_action(tasks, GN_ACTION_LEASE, run);
}

static gn_code_t on_start(gn_worker_tasks_t *tasks, gn_run_t *run,
			  const gn_batch_order_msg_t *order, uint64_t end_us)
{
	if (end_us <= gn_clock_now_us(tasks->clock)) {
		tasks->stats.refused_late++;
		return GN_OK;
	}
	if (!run)
		return start_run(tasks, order, end_us);
	if (gn_task_epoch_claim(order->epoch) ==
	    gn_task_epoch_claim(run->epoch)) {
		/* A repeated start: the owner has no report of the run yet. */
		extend_lease(tasks, run, order, end_us);
		return GN_OK;
	}
	if (!gn_run_is_active(run))
		return start_run(tasks, order, end_us);
	/* Stop the run of an earlier claim before starting this one. */
	gn_run_request_end(tasks, run, GN_ACTION_STOP);
	return GN_OK;
}

static void mark_forgotten(const gn_worker_tasks_t *tasks, gn_run_t *run)
{
	if (!gn_run_is_active(run) && !run->forgotten_us)
		run->forgotten_us = gn_clock_now_us(tasks->clock);
}

static gn_code_t on_order(gn_worker_tasks_t *tasks, uint64_t sent_us,
			  const gn_batch_order_msg_t *order)
{
	gn_run_t *run = g_hash_table_lookup(tasks->runs, &order->id);
	uint64_t end_us = promise_end_us(tasks, sent_us, order);
	uint32_t claim = gn_task_epoch_claim(order->epoch);

	if (run && claim < gn_task_epoch_claim(run->epoch) &&
	    !GN_MUTANT(skip_epoch_check)) {
		tasks->stats.refused_epoch++;
		return GN_OK;
	}
	if (order->kind == GN_ORDER_START)
		return on_start(tasks, run, order, end_us);
	if (!run || claim != gn_task_epoch_claim(run->epoch))
		return GN_OK;
	switch (order->kind) {
	case GN_ORDER_RENEW:
		extend_lease(tasks, run, order, end_us);
		break;
	case GN_ORDER_STOP:
		if (gn_run_is_active(run))
			gn_run_request_end(tasks, run, GN_ACTION_STOP);
		break;
	case GN_ORDER_CHECKPOINT:
		if (gn_run_is_active(run))
			gn_run_request_end(tasks, run, GN_ACTION_CHECKPOINT);
		break;
	case GN_ORDER_FORGET:
		mark_forgotten(tasks, run);
		break;
	default:
		break;
	}
	return GN_OK;
}

gn_code_t gn_worker_tasks_on_orders(gn_worker_tasks_t *tasks, unsigned bucket,
				    uint32_t owner_epoch, uint64_t sent_us,
				    const gn_batch_order_msg_t *orders,
				    size_t count)
{
	gn_code_t code;

	if (!tasks->ready)
		return GN_ERR_STALE;
	code = check_fence(tasks, bucket, owner_epoch, sent_us);
	for (size_t i = 0; i < count && !code; i++) {
		/* The owner may only order tasks of its bucket. */
		if (gn_task_id_bucket(orders[i].id) == bucket)
			code = on_order(tasks, sent_us, &orders[i]);
	}
	return code;
}
