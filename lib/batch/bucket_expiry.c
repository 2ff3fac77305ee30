/**
 * @file bucket_expiry.c
 * @brief Queues tasks again whose run lease expired, and drops ended tasks
 * after the retention time.
 */
#include "batch/bucket_internal.h"

/** Interval of the search for ended tasks to drop. */
#define PRUNE_INTERVAL_US GN_US_PER_S

bool gn_bucket_drop_settled_owners(gn_batch_bucket_t *bucket)
{
	size_t kept = 0;

	for (size_t i = 0; i < bucket->predecessor_count; i++) {
		gn_batch_predecessor_t *predecessor = &bucket->predecessors[i];

		if (bucket->gate.ops->is_settled(
			    bucket->gate.context, predecessor->incarnation,
			    predecessor->acked, bucket->taken_us))
			continue;
		bucket->predecessors[kept++] = *predecessor;
	}
	bucket->predecessor_count = kept;
	return !kept;
}

static bool has_lease_expired(const gn_batch_bucket_t *bucket,
			      const gn_task_t *task)
{
	uint64_t now_us = gn_clock_now_us(bucket->clock);
	uint64_t since_us = MAX(task->promised_us, bucket->taken_us);

	since_us = MAX(since_us, task->claimed_us);
	if (GN_MUTANT(early_move))
		return now_us > since_us + bucket->params.drift_us;
	return now_us >
	       since_us + bucket->params.promise_us + bucket->params.drift_us;
}

static void requeue_expired(gn_batch_bucket_t *bucket, gn_task_t *task)
{
	bucket->stats.expiries++;
	task->lease_expired = true;
	if (task->missing)
		gn_bucket_record_failure(bucket, task, task->worker);
	else
		gn_bucket_requeue(bucket, task, 0);
	if (GN_MUTANT(promise_while_moving)) {
		task->ordered = false;
		task->reported = false;
		task->claimed_us = gn_clock_now_us(bucket->clock);
		g_hash_table_insert(
			gn_bucket_get_worker(bucket, task->worker)->held,
			&task->id, task);
	}
}

static void requeue_all_expired(gn_batch_bucket_t *bucket)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, bucket->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		gn_task_t *task = value;

		if (gn_task_state_is_held(task->state) &&
		    task->claim_seq <= bucket->durable_seq &&
		    has_lease_expired(bucket, task))
			requeue_expired(bucket, task);
	}
}

void gn_batch_bucket_tick(gn_batch_bucket_t *bucket)
{
	uint64_t now_us = gn_clock_now_us(bucket->clock);

	if (!gn_bucket_may_order(bucket))
		return;
	if (gn_bucket_may_start(bucket) &&
	    (gn_bucket_drop_settled_owners(bucket) || GN_MUTANT(early_move)))
		requeue_all_expired(bucket);
	if (now_us - bucket->pruned_us < PRUNE_INTERVAL_US)
		return;
	bucket->pruned_us = now_us;
	gn_bucket_prune(bucket, bucket->params.retention_us);
}
