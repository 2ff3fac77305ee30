/**
 * @file polls.c
 * @brief Answers the polls of agents with the orders of this entry's buckets.
 */
#include "entry/buckets_internal.h"
#include "entry/config.h"
#include "wire/task_wire.h"

static void send_orders(entry_t *entry, const entry_worker_t *worker,
			uint64_t sent_us, Gn__BucketOrders **buckets,
			size_t count)
{
	Gn__Envelope envelope = GN__ENVELOPE__INIT;
	Gn__TaskOrders message = GN__TASK_ORDERS__INIT;

	message.sent_us = sent_us;
	message.buckets = buckets;
	message.n_buckets = count;
	envelope.body_case = GN__ENVELOPE__BODY_TASK_ORDERS;
	envelope.task_orders = &message;
	entry_worker_send(entry, worker, &envelope);
}

/* Builds the message with the orders of one bucket; NULL if out of memory. */
static Gn__BucketOrders *create_orders_message(TALLOC_CTX *parent,
					       unsigned index,
					       const gn_batch_bucket_t *bucket,
					       const gn_batch_orders_t *orders)
{
	Gn__BucketOrders *message = talloc(parent, Gn__BucketOrders);

	if (!message)
		return NULL;
	gn__bucket_orders__init(message);
	message->bucket = index;
	message->owner_epoch = gn_batch_bucket_epoch(bucket);
	if (gn_task_wire_encode_orders(parent, orders, message))
		return NULL;
	return message;
}

void bucket_send_start_orders(bucket_slot_t *slot, gn_batch_bucket_t *bucket)
{
	entry_t *entry = slot->entry;
	const char *name;
	uint64_t incarnation;
	uint64_t sent_us;

	for (;;) {
		TALLOC_CTX *scratch = talloc_new(NULL);
		gn_batch_orders_t orders = { 0 };
		Gn__BucketOrders *message = NULL;
		entry_worker_t *worker = NULL;

		if (!gn_batch_bucket_next_starts(bucket, scratch, &name,
						 &incarnation, &sent_us,
						 &orders)) {
			talloc_free(scratch);
			return;
		}
		worker = g_hash_table_lookup(entry->workers, name);
		message = create_orders_message(scratch, slot->index, bucket,
						&orders);
		if (worker && message &&
		    worker->agent_incarnation == incarnation)
			send_orders(entry, worker, sent_us, &message, 1);
		talloc_free(scratch);
	}
}

static size_t count_waiting_tasks(const entry_t *entry)
{
	size_t waiting = 0;

	for (unsigned i = 0; i < GN_BUCKET_COUNT; i++) {
		gn_batch_bucket_t *bucket = entry_bucket_find_owned(entry, i);

		if (bucket)
			waiting += gn_task_queue_count(
				gn_batch_bucket_queue(bucket));
	}
	return waiting;
}

static void fill_worker(entry_t *entry, entry_worker_t *worker,
			const Gn__TaskPoll *poll, unsigned running,
			gn_batch_worker_t *batch_worker)
{
	bool drained = entry_config_is_drained(entry, worker);
	unsigned share;

	gn_batch_share_set(&entry->share, &worker->share_member, !drained,
			   running);
	share = gn_batch_share_get_limit(&entry->share, &worker->share_member,
					 count_waiting_tasks(entry),
					 gn_runtime_now_us(entry->runtime));
	batch_worker->name = worker->name;
	batch_worker->service = worker->service->name;
	batch_worker->free_tasks = poll->free_tasks;
	batch_worker->free_cores = poll->free_cores;
	batch_worker->free_memory_mb = poll->free_memory_mb;
	batch_worker->free_accelerators = poll->free_accelerators;
	batch_worker->cores = worker->hello->cores;
	batch_worker->memory_mb = worker->hello->memory_mb;
	gn_batch_share_apply_limit(&entry->share, &worker->share_member, share,
				   batch_worker);
	batch_worker->draining = poll->draining || drained;
	batch_worker->drain_at_us = entry_config_drain_at_us(entry, worker);
	for (size_t i = 0; i < poll->n_kinds && i < GN_BATCH_KINDS_MAX; i++)
		batch_worker->kinds[batch_worker->kind_count++] =
			poll->kinds[i];
}

static size_t answer_poll(entry_t *entry, TALLOC_CTX *scratch,
			  const gn_batch_poll_t *poll,
			  Gn__BucketOrders **messages)
{
	size_t count = 0;

	for (unsigned i = 0; i < GN_BUCKET_COUNT; i++) {
		gn_batch_bucket_t *bucket = entry_bucket_find_owned(entry, i);
		gn_batch_orders_t orders = { 0 };

		if (!bucket ||
		    gn_batch_bucket_on_poll(bucket, poll, scratch, &orders))
			continue;
		messages[count] =
			create_orders_message(scratch, i, bucket, &orders);
		if (messages[count])
			count++;
	}
	return count;
}

void entry_on_task_poll(entry_t *entry, entry_worker_t *worker,
			const Gn__TaskPoll *message)
{
	TALLOC_CTX *scratch = talloc_new(NULL);
	gn_batch_report_t *reports;
	gn_batch_worker_t batch_worker = { 0 };
	Gn__BucketOrders *messages[GN_BUCKET_COUNT];
	gn_batch_poll_t poll;
	unsigned free_before;
	size_t running;
	size_t count;

	gn_counter_inc(entry->buckets->polls);
	if (gn_task_wire_decode_runs(scratch, message, &reports))
		goto out;
	/* Polls still report an ended run until its end is stored, so not all
	 * reported runs are running. */
	running = gn_batch_reports_count_running(reports, message->n_runs);
	fill_worker(entry, worker, message, (unsigned)running, &batch_worker);
	poll = (gn_batch_poll_t){
		.incarnation = worker->agent_incarnation,
		.sent_us = message->sent_us,
		.reports = reports,
		.report_count = message->n_runs,
		.worker = &batch_worker,
	};
	free_before = batch_worker.free_tasks;
	count = answer_poll(entry, scratch, &poll, messages);
	gn_batch_share_set(&entry->share, &worker->share_member,
			   worker->share_member.accepts_tasks,
			   worker->share_member.placed + free_before -
				   batch_worker.free_tasks);
	gn_batch_share_update_room(&entry->share, &worker->share_member,
				   &batch_worker);
	if (count)
		send_orders(entry, worker, message->sent_us, messages, count);
out:
	talloc_free(scratch);
}
