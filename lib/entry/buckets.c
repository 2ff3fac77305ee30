#include "entry/buckets.h"

#include <stdio.h>

#include "common/log.h"
#include "entry/buckets_internal.h"
#include "entry/config.h"
#include "http/status.h"

/** Minimum time between two writes of a bucket, in milliseconds. */
#define COMMIT_INTERVAL_MS 200
/** Delay after a call that failed or found another owner, in milliseconds. */
#define RETRY_MS 500
/** Interval between ticks of the bucket holders, in milliseconds. */
#define HOLDER_TICK_MS 20

/* ======   Pending responses   ====== */

static void reply_owner_changed(bucket_slot_t *slot, pending_reply_t *reply)
{
	static const gn_refusal_t owner_changed = { HTTP_UNAVAILABLE,
						    GN_OUTCOME_UNKNOWN,
						    "owner-changed", 1 };

	gn_http_reply_refusal(slot->entry->server, reply->request,
			      &owner_changed, NULL);
	json_decref(reply->json);
	g_free(reply);
}

static void send_durable_replies(bucket_slot_t *slot,
				 const gn_batch_bucket_t *bucket)
{
	pending_reply_t *reply;

	while ((reply = g_queue_peek_head(slot->pending_replies))) {
		if (!gn_batch_bucket_is_durable(bucket, reply->seq))
			return;
		g_queue_pop_head(slot->pending_replies);
		gn_http_reply_json(slot->entry->server, reply->request, HTTP_OK,
				   reply->json);
		g_free(reply);
	}
}

void entry_bucket_reply_when_durable(entry_t *entry, unsigned index,
				     uint64_t seq, gn_http_request_t *request,
				     json_t *json)
{
	bucket_slot_t *slot = &entry->buckets->slots[index];
	pending_reply_t *reply = g_new0(pending_reply_t, 1);

	reply->seq = seq;
	reply->request = request;
	reply->json = json;
	g_queue_push_tail(slot->pending_replies, reply);
	send_durable_replies(slot, gn_member_bucket_held(slot->holder));
}

/* ======   Callbacks of the holders   ====== */

/* Whether the member record assigns the bucket to this entry. */
static bool is_assigned(const entry_t *entry, unsigned index)
{
	return gn_record_state(entry->membership->record) == GN_RECORD_MEMBER &&
	       entry_membership_is_self(
		       entry, entry_membership_find_owner(entry, index));
}

/*
 * Between a release and the acquisition by another entry, nobody renews the run
 * promises of a bucket's tasks. When all entries join again after an outage,
 * the first one acquires all buckets; it hands them over only once the
 * key-value service has been back for a lease, since it may fail again.
 */
static bool was_acquired_recently(const entry_t *entry,
				  const gn_batch_bucket_t *bucket)
{
	uint64_t ttl_us =
		(uint64_t)entry->runtime->settings->lease_ttl_ms * GN_US_PER_MS;

	return gn_runtime_now_us(entry->runtime) -
		       gn_batch_bucket_taken_us(bucket) <
	       ttl_us;
}

/*
 * While the platform's key-value service is unavailable, a held bucket is kept
 * whatever the record says: no other entry could acquire it, and its tasks
 * would lose their run promises.
 */
static bool should_own(const entry_t *entry, unsigned index)
{
	const entry_membership_t *membership = entry->membership;
	const gn_batch_bucket_t *held =
		gn_member_bucket_held(entry->buckets->slots[index].holder);

	if (entry->runtime->stopping)
		return false;
	if (held && (!gn_promise_is_normal(membership->promise) ||
		     was_acquired_recently(entry, held)))
		return true;
	return is_assigned(entry, index);
}

static bool is_wanted(void *context, unsigned index)
{
	return should_own(context, index);
}

static gn_batch_params_t get_params(void)
{
	const gn_batch_params_t params = {
		.promise_us = (uint64_t)ENTRY_PROMISE_MS * GN_US_PER_MS,
		.drift_us = (uint64_t)ENTRY_DRIFT_MS * GN_US_PER_MS,
		.retention_us = 24ULL * 3600 * GN_US_PER_S,
		.queue = {
			.ageing_step_us = 60ULL * GN_US_PER_S,
			.drain_lead_us = 60ULL * GN_US_PER_S,
			.backoff_min_us = 500ULL * GN_US_PER_MS,
			.backoff_max_us = 60ULL * GN_US_PER_S,
		},
	};

	return params;
}

static gn_batch_bucket_t *open_bucket(void *context, TALLOC_CTX *parent,
				      unsigned index, gn_str_t value,
				      uint64_t revision)
{
	entry_t *entry = context;
	const gn_runtime_t *runtime = entry->runtime;
	const gn_batch_params_t params = get_params();
	gn_batch_bucket_t *bucket = NULL;
	gn_error_t error = { 0 };

	if (gn_batch_bucket_create(
		    parent, index, entry->membership->incarnation, value,
		    revision, &params,
		    gn_promise_gate(entry->membership->promise),
		    &runtime->clock, runtime->rand, &bucket, &error)) {
		if (error.code != GN_ERR_UNAVAILABLE)
			gn_log_error(LOG_WARNING, &error);
		return NULL;
	}
	gn_counter_inc(entry->buckets->taken);
	entry_config_apply_to(entry, gn_batch_bucket_queue(bucket));
	return bucket;
}

static void on_answer(void *context, unsigned index, gn_batch_bucket_t *bucket)
{
	entry_t *entry = context;
	bucket_slot_t *slot = &entry->buckets->slots[index];

	send_durable_replies(slot, bucket);
	bucket_send_start_orders(slot, bucket);
}

static void on_drop(void *context, unsigned index, gn_batch_bucket_t *bucket)
{
	entry_t *entry = context;
	bucket_slot_t *slot = &entry->buckets->slots[index];
	pending_reply_t *reply;

	if (gn_batch_bucket_get_ownership(bucket) == GN_BATCH_RELEASED) {
		gn_counter_inc(entry->buckets->released);
	} else {
		gn_counter_inc(entry->buckets->lost);
		gn_log(LOG_WARNING, "bucket", NULL,
		       "lost ownership of bucket %u", index);
	}
	while ((reply = g_queue_pop_head(slot->pending_replies)))
		reply_owner_changed(slot, reply);
}

static const gn_member_bucket_ops_t holder_ops = {
	.is_wanted = is_wanted,
	.open = open_bucket,
	.on_answer = on_answer,
	.on_drop = on_drop,
};

/* ======   Commands   ====== */

static int buckets_destructor(entry_buckets_t *buckets)
{
	for (unsigned i = 0; i < GN_BUCKET_COUNT; i++) {
		gn_member_bucket_free(buckets->slots[i].holder);
		g_queue_free(buckets->slots[i].pending_replies);
	}
	return 0;
}

static gn_code_t open_slot(entry_t *entry, unsigned index)
{
	bucket_slot_t *slot = &entry->buckets->slots[index];
	const gn_member_bucket_options_t options = {
		.kv = entry->membership->kv,
		.clock = &entry->runtime->clock,
		.index = index,
		.commit_interval_ms = COMMIT_INTERVAL_MS,
		.retry_ms = RETRY_MS,
		.ops = &holder_ops,
		.context = entry,
	};

	slot->entry = entry;
	slot->index = index;
	slot->pending_replies = g_queue_new();
	slot->holder = gn_member_bucket_create(entry->buckets, &options);
	return slot->holder ? GN_OK : GN_ERR_MEMORY;
}

gn_code_t entry_buckets_open(entry_t *entry)
{
	entry_buckets_t *buckets = talloc_zero(entry, entry_buckets_t);
	gn_counters_t *all = entry->runtime->counters;

	if (!buckets)
		return GN_ERR_MEMORY;
	entry->buckets = buckets;
	buckets->taken = gn_counters_get(all, "buckets.taken");
	buckets->released = gn_counters_get(all, "buckets.released");
	buckets->lost = gn_counters_get(all, "buckets.lost");
	buckets->polls = gn_counters_get(all, "buckets.polls");
	for (unsigned i = 0; i < GN_BUCKET_COUNT; i++)
		if (open_slot(entry, i))
			return GN_ERR_MEMORY;
	talloc_set_destructor(buckets, buckets_destructor);
	return GN_OK;
}

void entry_buckets_tick(entry_t *entry)
{
	entry_buckets_t *buckets = entry->buckets;
	uint64_t now_us = gn_runtime_now_us(entry->runtime);

	if (now_us - buckets->last_tick_us <
	    (uint64_t)HOLDER_TICK_MS * GN_US_PER_MS)
		return;
	buckets->last_tick_us = now_us;
	for (unsigned i = 0; i < GN_BUCKET_COUNT; i++)
		gn_member_bucket_tick(buckets->slots[i].holder);
}

void entry_buckets_drop(entry_t *entry)
{
	for (unsigned i = 0; i < GN_BUCKET_COUNT; i++)
		gn_member_bucket_drop(entry->buckets->slots[i].holder);
}

static gn_batch_bucket_t *find_held(const entry_t *entry, unsigned index)
{
	return gn_member_bucket_held(entry->buckets->slots[index].holder);
}

void entry_buckets_apply_config(entry_t *entry)
{
	for (unsigned i = 0; i < GN_BUCKET_COUNT; i++) {
		gn_batch_bucket_t *bucket = find_held(entry, i);

		if (bucket)
			entry_config_apply_to(entry,
					      gn_batch_bucket_queue(bucket));
	}
}

/* ======   Queries   ====== */

bool entry_buckets_are_released(const entry_t *entry)
{
	for (unsigned i = 0; i < GN_BUCKET_COUNT; i++)
		if (find_held(entry, i))
			return false;
	return true;
}

bool entry_buckets_block_moves(const entry_t *entry)
{
	return !entry_buckets_are_released(entry) &&
	       !gn_promise_may_start(entry->membership->promise);
}

static bool contains_owner(const gn_batch_predecessor_t *owners, size_t count,
			   uint64_t incarnation)
{
	for (size_t i = 0; i < count; i++)
		if (owners[i].incarnation == incarnation)
			return true;
	return false;
}

size_t entry_buckets_list_unsettled(const entry_t *entry,
				    gn_batch_predecessor_t *to, size_t size)
{
	gn_batch_predecessor_t owners[GN_BATCH_PREDECESSORS_MAX];
	size_t total = 0;

	for (unsigned i = 0; i < GN_BUCKET_COUNT; i++) {
		const gn_batch_bucket_t *bucket = find_held(entry, i);
		size_t count = 0;

		if (bucket)
			count = gn_batch_bucket_list_unsettled(
				bucket, owners, GN_BATCH_PREDECESSORS_MAX);
		for (size_t j = 0; j < count && total < size; j++)
			if (!contains_owner(to, total, owners[j].incarnation))
				to[total++] = owners[j];
	}
	return total;
}

unsigned entry_bucket_index_of_team(gn_str_t team)
{
	return (unsigned)(gn_str_hash(team, 0) % GN_BUCKET_COUNT);
}

gn_batch_bucket_t *entry_bucket_find_owned(const entry_t *entry, unsigned index)
{
	return gn_member_bucket_owned(entry->buckets->slots[index].holder);
}

void entry_bucket_format_key(unsigned index, char key[GN_BUCKET_KEY_SIZE])
{
	snprintf(key, GN_BUCKET_KEY_SIZE, GN_MEMBER_BUCKET_PREFIX "%03u",
		 index % 1000);
}

json_t *entry_buckets_dump(const entry_t *entry)
{
	json_t *rows = json_array();

	for (unsigned i = 0; i < GN_BUCKET_COUNT; i++) {
		const gn_batch_bucket_t *bucket = find_held(entry, i);
		const gn_batch_stats_t *stats;

		if (!bucket)
			continue;
		stats = gn_batch_bucket_stats(bucket);
		json_array_append_new(
			rows,
			json_pack(
				"{s:i, s:i, s:b, s:I, s:i, s:I, s:I, s:I}",
				"bucket", (int)i, "standing",
				(int)gn_batch_bucket_get_ownership(bucket),
				"assigned", (int)is_assigned(entry, i), "epoch",
				(json_int_t)gn_batch_bucket_epoch(bucket),
				"tasks",
				(int)gn_batch_bucket_task_count(bucket),
				"commits", (json_int_t)stats->commits,
				"conflicts",
				(json_int_t)stats->commit_conflicts, "unknowns",
				(json_int_t)stats->commit_unknowns));
	}
	return rows;
}
