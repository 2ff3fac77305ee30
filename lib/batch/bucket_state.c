/**
 * @file bucket_state.c
 * @brief State changes of a bucket's tasks, and of the indexes over them.
 */
#include "batch/bucket_internal.h"

#include "common/str.h"

void gn_bucket_mark_changed(gn_batch_bucket_t *bucket, gn_task_t *task)
{
	task->changed_seq = ++bucket->seq;
}

gn_bucket_worker_t *gn_bucket_get_worker(gn_batch_bucket_t *bucket,
					 const char *name)
{
	gn_bucket_worker_t *worker = g_hash_table_lookup(bucket->workers, name);

	if (worker)
		return worker;
	worker = g_new0(gn_bucket_worker_t, 1);
	worker->held = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_hash_table_insert(bucket->workers, g_strdup(name), worker);
	return worker;
}

static void leave_state(gn_batch_bucket_t *bucket, gn_task_t *task)
{
	if (gn_task_state_is_waiting(task->state))
		gn_task_queue_remove(bucket->queue, task);
	if (gn_task_state_is_held(task->state)) {
		g_hash_table_remove(
			gn_bucket_get_worker(bucket, task->worker)->held,
			&task->id);
		gn_task_queue_return_quota(bucket->queue, task);
	}
}

void gn_bucket_enter_state(gn_batch_bucket_t *bucket, gn_task_t *task)
{
	if (gn_task_state_is_waiting(task->state)) {
		gn_code_t code = gn_task_queue_add(bucket->queue, task);

		g_assert(!code);
	}
	if (gn_task_state_is_held(task->state)) {
		g_hash_table_insert(
			gn_bucket_get_worker(bucket, task->worker)->held,
			&task->id, task);
		gn_task_queue_use_quota(bucket->queue, task);
	}
	if (gn_task_state_is_final(task->state))
		task->since_us = gn_clock_now_us(bucket->clock);
}

void gn_bucket_set_state(gn_batch_bucket_t *bucket, gn_task_t *task,
			 gn_task_state_t state)
{
	leave_state(bucket, task);
	task->state = state;
	if (!gn_task_state_is_held(state))
		g_hash_table_remove(bucket->evictions, &task->id);
	gn_bucket_enter_state(bucket, task);
	gn_task_assert(task);
}

void gn_bucket_requeue(gn_batch_bucket_t *bucket, gn_task_t *task,
		       uint64_t not_before_us)
{
	task->not_before_us = not_before_us;
	gn_bucket_set_state(bucket, task,
			    task->checkpoint[0] ? GN_TASK_CHECKPOINTED
						: GN_TASK_QUEUED);
	gn_bucket_mark_changed(bucket, task);
}

static void park_task(gn_batch_bucket_t *bucket, gn_task_t *task,
		      gn_task_reason_t reason)
{
	task->reason = reason;
	gn_bucket_set_state(bucket, task, GN_TASK_PARKED);
	gn_bucket_mark_changed(bucket, task);
	bucket->stats.parked++;
}

void gn_bucket_record_failure(gn_batch_bucket_t *bucket, gn_task_t *task,
			      const char *worker)
{
	gn_code_t code = gn_task_add_failed_worker(task, worker);

	g_assert(!code);
	task->attempts++;
	bucket->stats.failures++;
	if (task->failed_worker_count == GN_TASK_FAILED_WORKERS_MAX)
		park_task(bucket, task, GN_TASK_REASON_FAILED_WORKERS);
	else if (task->attempts >= GN_TASK_ATTEMPTS_MAX)
		park_task(bucket, task, GN_TASK_REASON_ATTEMPTS);
	else
		gn_bucket_requeue(bucket, task,
				  gn_task_queue_retry_at_us(bucket->queue,
							    task->attempts));
}

char *gn_bucket_make_key(gn_str_t team, gn_str_t key)
{
	return g_strdup_printf("%.*s\n%.*s", (int)team.len, team.data,
			       (int)key.len, key.data);
}

static void drop_task(gn_batch_bucket_t *bucket, gn_task_t *task)
{
	size_t size = gn_batch_codec_task_size(task);

	if (task->key[0]) {
		char *key = gn_bucket_make_key(gn_str_from(task->team),
					       gn_str_from(task->key));

		g_hash_table_remove(bucket->keys, key);
		g_free(key);
	}
	bucket->value_size -= MIN(size, bucket->value_size);
	talloc_free(task);
}

void gn_bucket_prune(gn_batch_bucket_t *bucket, uint64_t age_us)
{
	uint64_t now_us = gn_clock_now_us(bucket->clock);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, bucket->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		gn_task_t *task = value;

		if (!gn_task_state_is_final(task->state) ||
		    task->changed_seq > bucket->durable_seq ||
		    now_us - task->since_us < age_us)
			continue;
		g_hash_table_iter_remove(&iter);
		drop_task(bucket, task);
	}
}
