/**
 * @file bucket_commit.c
 * @brief Group commit of a bucket. At most one write is in flight; if its
 * answer is lost, a read shows whether it took effect.
 */
#include "batch/bucket_internal.h"

#include <assert.h>
#include <string.h>

static uint64_t draw_change_id(GRand *rand)
{
	return (uint64_t)g_rand_int(rand) << 32 | g_rand_int(rand);
}

static gn_code_t encode_value(gn_batch_bucket_t *bucket, uint64_t change_id,
			      gn_str_t *bytes)
{
	gn_batch_value_t *value = talloc_zero(bucket, gn_batch_value_t);
	GHashTableIter iter;
	gpointer task;
	gn_code_t code;

	if (!value)
		return GN_ERR_MEMORY;
	value->bucket = bucket->index;
	value->owner =
		bucket->ownership == GN_BATCH_RELEASING ? 0 : bucket->owner;
	value->owner_epoch = bucket->owner_epoch;
	value->owner_revision = bucket->owner_revision;
	value->change_id = change_id;
	value->next_serial = bucket->next_serial;
	value->predecessor_count = bucket->predecessor_count;
	memcpy(value->predecessors, bucket->predecessors,
	       sizeof(value->predecessors));
	value->tasks = talloc_array(value, gn_task_t *,
				    g_hash_table_size(bucket->tasks));
	if (!value->tasks) {
		talloc_free(value);
		return GN_ERR_MEMORY;
	}
	g_hash_table_iter_init(&iter, bucket->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &task))
		value->tasks[value->task_count++] = task;
	code = gn_batch_codec_encode(bucket, value,
				     gn_clock_now_us(bucket->clock), bytes);
	talloc_free(value);
	return code;
}

static bool prepare_write(gn_batch_bucket_t *bucket)
{
	gn_bucket_write_t *write = &bucket->write;
	uint64_t change_id = draw_change_id(bucket->rand);
	gn_str_t bytes;
	gn_code_t code = encode_value(bucket, change_id, &bytes);

	if (code == GN_ERR_CAPACITY) {
		/* Drop ended tasks early rather than fail to store the rest. */
		gn_bucket_prune(bucket, 0);
		code = encode_value(bucket, change_id, &bytes);
	}
	if (code)
		return false;
	*write = (gn_bucket_write_t){
		.active = true,
		.change_id = change_id,
		.seq = bucket->seq,
		.value = bytes,
		.ownership = bucket->ownership,
	};
	bucket->value_size = bytes.len;
	return true;
}

bool gn_batch_bucket_next_commit(gn_batch_bucket_t *bucket,
				 gn_batch_commit_t *commit)
{
	gn_bucket_write_t *write = &bucket->write;

	if (bucket->ownership == GN_BATCH_LOST ||
	    bucket->ownership == GN_BATCH_RELEASED)
		return false;
	if (write->active &&
	    (write->sent || write->unknown || write->conflicted))
		return false;
	if (!write->active && bucket->seq == bucket->durable_seq)
		return false;
	if (!write->active && !prepare_write(bucket))
		return false;
	write->sent = true;
	bucket->stats.commits++;
	*commit = (gn_batch_commit_t){ write->change_id, bucket->revision,
				       write->value };
	return true;
}

static void clear_write(gn_batch_bucket_t *bucket)
{
	talloc_free((void *)bucket->write.value.data);
	memset(&bucket->write, 0, sizeof(bucket->write));
}

void gn_bucket_mark_lost(gn_batch_bucket_t *bucket)
{
	clear_write(bucket);
	bucket->ownership = GN_BATCH_LOST;
	g_hash_table_remove_all(bucket->ready_workers);
}

/**
 * Collects the workers with claims that became durable, so that their starts
 * are sent without waiting for a new poll.
 */
static void collect_ready_workers(gn_batch_bucket_t *bucket)
{
	GHashTableIter iter;
	GHashTableIter held;
	gpointer name;
	gpointer worker;
	gpointer task;

	g_hash_table_iter_init(&iter, bucket->workers);
	while (g_hash_table_iter_next(&iter, &name, &worker)) {
		g_hash_table_iter_init(&held,
				       ((gn_bucket_worker_t *)worker)->held);
		while (g_hash_table_iter_next(&held, NULL, &task)) {
			const gn_task_t *claimed = task;

			if (claimed->ordered ||
			    !gn_bucket_claim_is_durable(bucket, claimed))
				continue;
			g_hash_table_add(bucket->ready_workers, g_strdup(name));
			break;
		}
	}
}

static void on_write_stored(gn_batch_bucket_t *bucket, uint64_t revision)
{
	gn_bucket_write_t *write = &bucket->write;
	gn_batch_ownership_t written = write->ownership;

	bucket->durable_seq = write->seq;
	bucket->revision = revision;
	clear_write(bucket);
	if (written == GN_BATCH_TAKING) {
		bucket->taken_us = gn_clock_now_us(bucket->clock);
		if (bucket->ownership == GN_BATCH_TAKING)
			bucket->ownership = GN_BATCH_OWNED;
	}
	if (written == GN_BATCH_RELEASING)
		bucket->ownership = GN_BATCH_RELEASED;
	if (bucket->ownership == GN_BATCH_OWNED)
		collect_ready_workers(bucket);
}

/* Such a handover can be taken back by gn_batch_bucket_keep(). */
static bool is_refused_release(const gn_bucket_write_t *write, gn_code_t code)
{
	return write->ownership == GN_BATCH_RELEASING && !write->doubtful &&
	       (code == GN_ERR_UNAVAILABLE || code == GN_ERR_RATE);
}

void gn_batch_bucket_on_commit(gn_batch_bucket_t *bucket, uint64_t change_id,
			       gn_code_t code, uint64_t revision)
{
	gn_bucket_write_t *write = &bucket->write;

	/* The answer belongs to an earlier write or is a duplicate. */
	if (!write->active || write->change_id != change_id)
		return;
	if (code == GN_OK) {
		on_write_stored(bucket, revision);
		return;
	}
	if (code != GN_ERR_CONFLICT && GN_MUTANT(blind_write)) {
		on_write_stored(bucket, bucket->revision + 1);
		return;
	}
	write->sent = false;
	if (is_refused_release(write, code)) {
		clear_write(bucket);
		return;
	}
	if (code == GN_ERR_CONFLICT) {
		/*
		 * The transport may have sent the write twice, and the second
		 * copy conflicted with the first. No orders are issued until a
		 * read shows who wrote the value.
		 */
		write->conflicted = true;
		bucket->stats.commit_conflicts++;
	} else {
		write->unknown = true;
		write->doubtful |= code == GN_ERR_UNKNOWN;
		bucket->stats.commit_unknowns++;
	}
}

bool gn_batch_bucket_wants_read(const gn_batch_bucket_t *bucket)
{
	return bucket->write.active &&
	       (bucket->write.unknown || bucket->write.conflicted);
}

void gn_batch_bucket_on_read(gn_batch_bucket_t *bucket, gn_str_t value,
			     uint64_t revision)
{
	gn_bucket_write_t *write = &bucket->write;
	gn_batch_value_t *stored = NULL;
	bool is_mine = false;

	/* A value older than the last one seen shows nothing of this write. */
	if (!gn_batch_bucket_wants_read(bucket) || revision < bucket->revision)
		return;
	if (revision == bucket->revision) {
		/*
		 * The write has not taken effect. It is sent again unchanged,
		 * and only one of the copies can take effect.
		 */
		write->unknown = false;
		write->conflicted = false;
		return;
	}
	if (!gn_batch_codec_decode(bucket, value,
				   gn_clock_now_us(bucket->clock), &stored,
				   NULL))
		is_mine = stored->change_id == write->change_id;
	talloc_free(stored);
	if (is_mine)
		on_write_stored(bucket, revision);
	else
		gn_bucket_mark_lost(bucket);
}
