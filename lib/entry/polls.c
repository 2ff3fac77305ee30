/**
 * @file polls.c
 * @brief Answers the agents' polls with the orders of this entry's buckets.
 */
#include "entry/buckets_internal.h"
#include "entry/config.h"
#include "wire/task_wire.h"

/** Tasks that wait for longer go to any worker, milliseconds. */
#define LEVEL_WAIT_MS 500

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

/* Builds the message of one bucket; NULL if memory is short. */
static Gn__BucketOrders *make_orders(TALLOC_CTX *parent, unsigned index,
				     const gn_batch_bucket_t *bucket,
				     const gn_batch_orders_t *orders)
{
	Gn__BucketOrders *message = talloc(parent, Gn__BucketOrders);

	if (!message)
		return NULL;
	gn__bucket_orders__init(message);
	message->bucket = index;
	message->owner_epoch = gn_batch_bucket_epoch(bucket);
	if (gn_task_wire_put_orders(parent, orders, message))
		return NULL;
	return message;
}

void bucket_send_starts(bucket_slot_t *slot, gn_batch_bucket_t *bucket)
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
		message = make_orders(scratch, slot->index, bucket, &orders);
		if (worker && message &&
		    worker->agent_incarnation == incarnation)
			send_orders(entry, worker, sent_us, &message, 1);
		talloc_free(scratch);
	}
}

/* What there is to spread, and over how many workers. */
typedef struct spread_s {
	unsigned workers; /**< that may be given tasks */
	size_t placed; /**< tasks at those workers */
	size_t waiting; /**< tasks in this entry's buckets */
} spread_t;

static void count_workers(const entry_t *entry, spread_t *spread)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const entry_worker_t *worker = value;

		if (worker->silent || entry_config_is_drained(entry, worker))
			continue;
		spread->workers++;
		spread->placed += worker->placed_tasks;
	}
}

static void count_waiting(const entry_t *entry, spread_t *spread)
{
	for (unsigned i = 0; i < GN_BUCKETS; i++) {
		gn_batch_bucket_t *bucket = entry_bucket_find(entry, i);

		if (bucket)
			spread->waiting += gn_batch_order_count(
				gn_batch_bucket_order(bucket));
	}
}

/* Notes since when tasks have been waiting without a break. */
static bool has_waited_long(entry_t *entry, size_t waiting)
{
	entry_buckets_t *buckets = entry->buckets;
	uint64_t now_us = gn_runtime_now_us(entry->runtime);

	if (!waiting)
		buckets->waiting_us = 0;
	else if (!buckets->waiting_us)
		buckets->waiting_us = now_us;
	return waiting && now_us - buckets->waiting_us >
				  (uint64_t)LEVEL_WAIT_MS * GN_US_PER_MS;
}

/*
 * The most tasks that a poll of @p worker takes. All workers are filled to one
 * level: else the first to ask would get everything. What the less loaded do
 * not take in time, anyone may, a part of it at a poll.
 */
static unsigned get_share(entry_t *entry, const entry_worker_t *worker)
{
	spread_t spread = { 0 };
	size_t level;

	count_workers(entry, &spread);
	count_waiting(entry, &spread);
	spread.workers = MAX(spread.workers, 1);
	if (has_waited_long(entry, spread.waiting))
		return (unsigned)(spread.waiting / spread.workers) + 1;
	level = (spread.placed + spread.waiting + spread.workers - 1) /
		spread.workers;
	return level > worker->placed_tasks
		       ? (unsigned)(level - worker->placed_tasks)
		       : 0;
}

static void describe(entry_t *entry, entry_worker_t *worker,
		     const Gn__TaskPoll *poll, gn_batch_worker_t *described)
{
	unsigned share;

	share = get_share(entry, worker);
	described->name = worker->name;
	described->service = worker->service->name;
	described->free_tasks = MIN(poll->free_tasks, share);
	described->free_cores = poll->free_cores;
	described->free_memory_mb = poll->free_memory_mb;
	described->free_accelerators = poll->free_accelerators;
	described->draining =
		poll->draining || entry_config_is_drained(entry, worker);
	described->window_us = entry_config_window_us(entry, worker);
	for (size_t i = 0; i < poll->n_kinds && i < GN_BATCH_KINDS_MAX; i++)
		described->kinds[described->kind_count++] = poll->kinds[i];
}

static size_t answer_poll(entry_t *entry, TALLOC_CTX *scratch,
			  const gn_batch_poll_t *poll,
			  Gn__BucketOrders **messages)
{
	size_t count = 0;

	for (unsigned i = 0; i < GN_BUCKETS; i++) {
		gn_batch_bucket_t *bucket = entry_bucket_find(entry, i);
		gn_batch_orders_t orders = { 0 };

		if (!bucket ||
		    gn_batch_bucket_on_poll(bucket, poll, scratch, &orders))
			continue;
		messages[count] = make_orders(scratch, i, bucket, &orders);
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
	gn_batch_worker_t described = { 0 };
	Gn__BucketOrders *messages[GN_BUCKETS];
	gn_batch_poll_t poll;
	unsigned free_before;
	size_t count;

	gn_counter_inc(entry->buckets->polls);
	if (gn_task_wire_get_runs(scratch, message, &reports))
		goto out;
	/* A run that has ended stays in the polls until its end is stored. */
	worker->placed_tasks = (unsigned)gn_batch_reports_count_running(
		reports, message->n_runs);
	describe(entry, worker, message, &described);
	poll = (gn_batch_poll_t){
		.incarnation = worker->agent_incarnation,
		.sent_us = message->sent_us,
		.reports = reports,
		.report_count = message->n_runs,
		.worker = &described,
	};
	free_before = described.free_tasks;
	count = answer_poll(entry, scratch, &poll, messages);
	worker->placed_tasks += free_before - described.free_tasks;
	if (count)
		send_orders(entry, worker, message->sent_us, messages, count);
out:
	talloc_free(scratch);
}
