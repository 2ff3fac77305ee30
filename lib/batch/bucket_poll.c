/**
 * @file bucket_poll.c
 * @brief Processes polls of agents and makes the orders that answer them.
 */
#include "batch/bucket_internal.h"

#include <assert.h>
#include <string.h>

#include "common/str.h"

/** An unconfirmed start is repeated for this many lengths of a run promise. */
#define START_PROMISES_MAX 3

bool gn_bucket_may_order(const gn_batch_bucket_t *bucket)
{
	return bucket->ownership == GN_BATCH_OWNED && !bucket->write.conflicted;
}

bool gn_bucket_claim_is_durable(const gn_batch_bucket_t *bucket,
				const gn_task_t *task)
{
	return task->claim_seq <= bucket->durable_seq ||
	       GN_MUTANT(start_before_claim);
}

static bool may_renew(const gn_batch_bucket_t *bucket)
{
	return bucket->gate.ops->may_renew(bucket->gate.context);
}

bool gn_bucket_may_start(const gn_batch_bucket_t *bucket)
{
	return bucket->gate.ops->may_start(bucket->gate.context);
}

/* ======   Orders   ====== */

static void add_order(const gn_batch_bucket_t *bucket,
		      gn_batch_orders_t *orders, gn_order_kind_t kind,
		      uint64_t id, uint32_t claim)
{
	orders->orders[orders->count++] = (gn_batch_order_msg_t){
		.kind = kind,
		.id = id,
		.epoch = gn_task_epoch(bucket->owner_epoch, claim),
	};
}

/** Adds an order that carries a run promise. */
static void add_promise(gn_batch_bucket_t *bucket, gn_batch_orders_t *orders,
			gn_order_kind_t kind, gn_task_t *task)
{
	add_order(bucket, orders, kind, task->id, task->claim);
	orders->orders[orders->count - 1].promise_us =
		bucket->params.promise_us;
	task->promised_us = gn_clock_now_us(bucket->clock);
	bucket->stats.promises++;
}

/**
 * Whether a start of @p task is to be sent. It is repeated, in case it was
 * lost, but only to the same agent: another incarnation can't know whether the
 * earlier one ran the task and lost it. In that case the claim expires and the
 * task is claimed again.
 */
static bool is_start_due(const gn_batch_bucket_t *bucket, const gn_task_t *task,
			 uint64_t incarnation)
{
	uint64_t waited_us = gn_clock_now_us(bucket->clock) - task->claimed_us;

	if (task->ordered && task->start_incarnation != incarnation)
		return false;
	return !task->reported && gn_bucket_claim_is_durable(bucket, task) &&
	       waited_us < START_PROMISES_MAX * bucket->params.promise_us;
}

static void add_start(gn_batch_bucket_t *bucket, gn_batch_orders_t *orders,
		      gn_task_t *task, uint64_t incarnation)
{
	add_promise(bucket, orders, GN_ORDER_START, task);
	orders->orders[orders->count - 1].task = task;
	task->ordered = true;
	task->start_incarnation = incarnation;
	bucket->stats.starts++;
}

static gn_code_t make_orders(TALLOC_CTX *parent, size_t size,
			     gn_batch_orders_t *orders)
{
	orders->count = 0;
	orders->orders = talloc_array(parent, gn_batch_order_msg_t, size + 1);
	return orders->orders ? GN_OK : GN_ERR_MEMORY;
}

/* ======   Reports   ====== */

static bool matches_last_claim(const gn_task_t *task, const char *worker,
			       const gn_batch_report_t *report)
{
	return gn_task_epoch_claim(report->epoch) == task->claim &&
	       !strcmp(task->worker, worker);
}

static gn_code_t store_checkpoint(gn_task_t *task,
				  const gn_batch_report_t *report)
{
	if (!report->checkpoint || !report->checkpoint[0])
		return GN_OK;
	return gn_task_set_text(task, &task->checkpoint,
				gn_str_from(report->checkpoint));
}

static void accept_done(gn_batch_bucket_t *bucket, gn_task_t *task,
			const gn_batch_report_t *report)
{
	bucket->stats.finishes++;
	task->result_code = report->result_code;
	if (task->work_class == GN_CLASS_STANDING) {
		/* A standing task runs until cancelled; start it again. */
		gn_bucket_requeue(bucket, task,
				  gn_task_queue_retry_at_us(bucket->queue, 1));
		return;
	}
	gn_bucket_set_state(bucket, task, GN_TASK_DONE);
	gn_bucket_mark_changed(bucket, task);
}

static gn_code_t accept_end(gn_batch_bucket_t *bucket, gn_task_t *task,
			    const char *worker, const gn_batch_report_t *report)
{
	gn_code_t code = store_checkpoint(task, report);

	if (code)
		return code;
	task->lease_expired = false;
	switch (report->state) {
	case GN_RUN_DONE:
		accept_done(bucket, task, report);
		break;
	case GN_RUN_FAILED:
		task->result_code = report->result_code;
		gn_bucket_record_failure(bucket, task, worker);
		break;
	case GN_RUN_RELEASED:
	case GN_RUN_STOPPED:
		bucket->stats.releases++;
		gn_bucket_requeue(bucket, task, 0);
		break;
	case GN_RUN_REFUSED:
		gn_bucket_requeue(bucket, task,
				  gn_task_queue_retry_at_us(bucket->queue, 1));
		break;
	default:
		assert(!"report of a run that has not ended");
	}
	return GN_OK;
}

static void on_running_report(gn_batch_bucket_t *bucket, gn_task_t *task,
			      gn_batch_orders_t *orders)
{
	task->last_report_poll = bucket->poll_count;
	task->reported = true;
	task->missing = false;
	if (task->state == GN_TASK_CLAIMED) {
		gn_bucket_set_state(bucket, task, GN_TASK_RUNNING);
		/* Callers are answered from stored states only. */
		gn_bucket_mark_changed(bucket, task);
	}
	if (!may_renew(bucket))
		return;
	if (g_hash_table_contains(bucket->evictions, &task->id))
		add_order(bucket, orders, GN_ORDER_CHECKPOINT, task->id,
			  task->claim);
	add_promise(bucket, orders, GN_ORDER_RENEW, task);
}

/**
 * Answers a report that doesn't match the record: the task was cancelled, moved
 * to another worker, or has ended. The order to stop or forget the run waits
 * until the record is stored.
 */
static void on_unmatched_report(gn_batch_bucket_t *bucket, gn_task_t *task,
				const gn_batch_report_t *report,
				gn_batch_orders_t *orders)
{
	uint32_t claim = gn_task_epoch_claim(report->epoch);

	if (task && !gn_batch_bucket_task_is_durable(bucket, task))
		return;
	add_order(bucket, orders,
		  report->state == GN_RUN_RUNNING ? GN_ORDER_STOP
						  : GN_ORDER_FORGET,
		  report->task, claim);
}

/** Whether a result came after its lease expired but before a new start. */
static bool is_late_result(const gn_task_t *task,
			   const gn_batch_report_t *report)
{
	return task->lease_expired && gn_task_state_is_waiting(task->state) &&
	       report->state == GN_RUN_DONE &&
	       task->work_class == GN_CLASS_BATCH;
}

static gn_code_t on_report(gn_batch_bucket_t *bucket, const char *worker,
			   const gn_batch_report_t *report,
			   gn_batch_orders_t *orders)
{
	gn_task_t *task = g_hash_table_lookup(bucket->tasks, &report->task);
	bool current;

	if (gn_task_id_bucket(report->task) != bucket->index)
		return GN_OK;
	current = task && matches_last_claim(task, worker, report);
	if (current && gn_task_state_is_held(task->state)) {
		if (report->state != GN_RUN_RUNNING)
			return accept_end(bucket, task, worker, report);
		on_running_report(bucket, task, orders);
		return GN_OK;
	}
	if (current && is_late_result(task, report))
		return accept_end(bucket, task, worker, report);
	on_unmatched_report(bucket, task, report, orders);
	return GN_OK;
}

/* ======   Polls   ====== */

/** Subtracts an unreported task from the free capacity of its worker. */
static void reserve_capacity(gn_batch_worker_t *worker, const gn_task_t *task)
{
	worker->free_tasks -= MIN(worker->free_tasks, 1);
	worker->free_cores -= MIN(worker->free_cores, task->cores);
	worker->free_memory_mb -= MIN(worker->free_memory_mb, task->memory_mb);
	worker->free_accelerators -=
		MIN(worker->free_accelerators, task->accelerators);
	if (worker->kind_count < GN_BATCH_KINDS_MAX)
		worker->kinds[worker->kind_count++] = task->kind;
}

static void on_unreported_tasks(gn_batch_bucket_t *bucket,
				gn_bucket_worker_t *worker,
				gn_batch_worker_t *capacity,
				gn_batch_orders_t *orders)
{
	bool starting = gn_bucket_may_start(bucket);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, worker->held);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		gn_task_t *task = value;

		if (task->last_report_poll == bucket->poll_count)
			continue;
		reserve_capacity(capacity, task);
		/* A task that its worker lost moves once its lease expired. */
		task->missing = task->reported;
		if (starting && is_start_due(bucket, task, worker->incarnation))
			add_start(bucket, orders, task, worker->incarnation);
	}
}

static gn_code_t claim_task(gn_batch_bucket_t *bucket, gn_task_t *task,
			    const char *worker)
{
	gn_code_t code =
		gn_task_set_text(task, &task->worker, gn_str_from(worker));

	if (code) {
		gn_code_t added = gn_task_queue_add(bucket->queue, task);

		g_assert(!added);
		return code;
	}
	task->claim++;
	task->ordered = false;
	task->start_incarnation = 0;
	task->reported = false;
	task->missing = false;
	task->lease_expired = false;
	task->not_before_us = 0;
	task->claimed_us = gn_clock_now_us(bucket->clock);
	gn_bucket_set_state(bucket, task, GN_TASK_CLAIMED);
	gn_bucket_mark_changed(bucket, task);
	task->claim_seq = task->changed_seq;
	return GN_OK;
}

static gn_code_t claim_tasks(gn_batch_bucket_t *bucket,
			     gn_batch_worker_t *worker)
{
	gn_task_t *task;

	if (!gn_bucket_may_start(bucket))
		return GN_OK;
	while ((task = gn_task_queue_take_next(bucket->queue, worker))) {
		gn_code_t code = claim_task(bucket, task, worker->name);

		if (code)
			return code;
	}
	return GN_OK;
}

gn_code_t gn_batch_bucket_on_poll(gn_batch_bucket_t *bucket,
				  const gn_batch_poll_t *poll,
				  TALLOC_CTX *parent, gn_batch_orders_t *orders)
{
	const char *name = poll->worker->name;
	gn_bucket_worker_t *worker;
	gn_code_t code;

	*orders = (gn_batch_orders_t){ 0 };
	if (!gn_bucket_may_order(bucket))
		return GN_ERR_UNAVAILABLE;
	worker = gn_bucket_get_worker(bucket, name);
	if (worker->incarnation == poll->incarnation &&
	    poll->sent_us <= worker->sent_us) {
		bucket->stats.stale_polls++;
		return GN_ERR_STALE;
	}
	worker->incarnation = poll->incarnation;
	worker->sent_us = poll->sent_us;
	bucket->poll_count++;
	/* A running task may get a checkpoint order besides the renewal. */
	code = make_orders(parent,
			   2 * poll->report_count +
				   g_hash_table_size(worker->held),
			   orders);
	for (size_t i = 0; i < poll->report_count && !code; i++)
		code = on_report(bucket, name, &poll->reports[i], orders);
	if (code)
		return code;
	on_unreported_tasks(bucket, worker, poll->worker, orders);
	return claim_tasks(bucket, poll->worker);
}

static gn_code_t list_starts(gn_batch_bucket_t *bucket,
			     gn_bucket_worker_t *worker, TALLOC_CTX *parent,
			     gn_batch_orders_t *orders)
{
	GHashTableIter iter;
	gpointer value;
	gn_code_t code =
		make_orders(parent, g_hash_table_size(worker->held), orders);

	if (code)
		return code;
	g_hash_table_iter_init(&iter, worker->held);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		gn_task_t *task = value;

		if (!task->ordered &&
		    is_start_due(bucket, task, worker->incarnation))
			add_start(bucket, orders, task, worker->incarnation);
	}
	return GN_OK;
}

bool gn_batch_bucket_next_starts(gn_batch_bucket_t *bucket, TALLOC_CTX *parent,
				 const char **worker, uint64_t *incarnation,
				 uint64_t *sent_us, gn_batch_orders_t *orders)
{
	GHashTableIter iter;
	gpointer name;

	if (!gn_bucket_may_order(bucket) || !gn_bucket_may_start(bucket))
		return false;
	g_hash_table_iter_init(&iter, bucket->ready_workers);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		gpointer key = NULL;
		gpointer found = NULL;

		g_hash_table_lookup_extended(bucket->workers, name, &key,
					     &found);
		g_hash_table_iter_remove(&iter);
		if (!found || !((gn_bucket_worker_t *)found)->incarnation)
			continue;
		if (list_starts(bucket, found, parent, orders))
			return false;
		*worker = key;
		*incarnation = ((gn_bucket_worker_t *)found)->incarnation;
		*sent_us = ((gn_bucket_worker_t *)found)->sent_us;
		return true;
	}
	return false;
}
