#include "entry/buckets.h"

#include <inttypes.h>
#include <stdio.h>

#include "common/log.h"
#include "entry/buckets_internal.h"
#include "entry/config.h"

/** Least time between two writes of one bucket, milliseconds. */
#define COMMIT_INTERVAL_MS 200
/** Before the next call after one that failed or found another owner. */
#define RETRY_MS 500
/** Between the moves of time in the buckets, milliseconds. */
#define TICK_MS 100
#define CHANGE_SIZE (sizeof("0123456789abcdef"))
#define HTTP_OK 200
#define HTTP_UNAVAILABLE 503

/* ======   Waiters   ====== */

static void refuse_waiter(bucket_slot_t *slot, bucket_waiter_t *waiter)
{
	static const gn_refusal_t lost = { HTTP_UNAVAILABLE, GN_OUTCOME_UNKNOWN,
					   "owner-changed", 1 };

	gn_http_reply_refusal(slot->entry->server, waiter->request, &lost,
			      NULL);
	json_decref(waiter->json);
	g_free(waiter);
}

static void answer_waiters(bucket_slot_t *slot)
{
	bucket_waiter_t *waiter;

	while ((waiter = g_queue_peek_head(slot->waiters))) {
		if (!gn_batch_bucket_is_durable(slot->bucket, waiter->seq))
			return;
		g_queue_pop_head(slot->waiters);
		gn_http_reply_json(slot->entry->server, waiter->request,
				   HTTP_OK, waiter->json);
		g_free(waiter);
	}
}

void entry_bucket_answer_when_durable(entry_t *entry, unsigned index,
				      uint64_t seq, gn_http_request_t *request,
				      json_t *json)
{
	bucket_slot_t *slot = &entry->buckets->slots[index];
	bucket_waiter_t *waiter = g_new0(bucket_waiter_t, 1);

	waiter->seq = seq;
	waiter->request = request;
	waiter->json = json;
	g_queue_push_tail(slot->waiters, waiter);
	answer_waiters(slot);
}

/* ======   Taking and dropping   ====== */

static void drop(bucket_slot_t *slot)
{
	bucket_waiter_t *waiter;

	gn_kv_cancel(slot->entry->membership->kv, slot->call);
	slot->call = 0;
	while ((waiter = g_queue_pop_head(slot->waiters)))
		refuse_waiter(slot, waiter);
	TALLOC_FREE(slot->bucket);
}

static bool is_wanted(const bucket_slot_t *slot)
{
	const entry_t *entry = slot->entry;
	const entry_membership_t *membership = entry->membership;

	return !entry->runtime->stopping &&
	       gn_record_standing(membership->record) == GN_RECORD_MEMBER &&
	       entry_membership_is_self(
		       entry, entry_membership_owner(entry, slot->index));
}

/*
 * Without the platform's service nobody could take the bucket, and its tasks
 * would be left without promises: it is kept, whatever the record says.
 */
static bool is_to_release(const bucket_slot_t *slot)
{
	const entry_t *entry = slot->entry;

	if (entry->runtime->stopping)
		return true;
	return gn_promise_is_normal(entry->membership->promise) &&
	       !is_wanted(slot);
}

static gn_batch_params_t get_params(void)
{
	const gn_batch_params_t params = {
		.promise_us = 10ULL * GN_US_PER_S,
		.drift_us = 200ULL * GN_US_PER_MS,
		.retention_us = 24ULL * 3600 * GN_US_PER_S,
		.order = {
			.ageing_step_us = 60ULL * GN_US_PER_S,
			.window_lead_us = 60ULL * GN_US_PER_S,
			.backoff_least_us = 500ULL * GN_US_PER_MS,
			.backoff_most_us = 60ULL * GN_US_PER_S,
		},
	};

	return params;
}

static void take(bucket_slot_t *slot, gn_str_t value, uint64_t revision)
{
	entry_t *entry = slot->entry;
	const gn_runtime_t *runtime = entry->runtime;
	const gn_batch_params_t params = get_params();
	gn_error_t error = { 0 };

	if (!is_wanted(slot))
		return;
	if (gn_batch_bucket_create(
		    entry, slot->index, entry->membership->incarnation, value,
		    revision, &params,
		    gn_promise_gate(entry->membership->promise),
		    &runtime->clock, runtime->random, &slot->bucket, &error)) {
		if (error.code != GN_ERR_UNAVAILABLE)
			gn_log_error(LOG_WARNING, &error);
		return;
	}
	slot->next_us = 0;
	gn_counter_inc(entry->buckets->taken);
	entry_config_apply_to(entry, gn_batch_bucket_order(slot->bucket));
}

static uint64_t after_ms(const bucket_slot_t *slot, unsigned ms)
{
	return gn_runtime_now_us(slot->entry->runtime) +
	       (uint64_t)ms * GN_US_PER_MS;
}

static void on_first_read(void *context, const gn_kv_result_t *result)
{
	bucket_slot_t *slot = context;

	slot->call = 0;
	slot->next_us = after_ms(slot, RETRY_MS);
	if (result->code == GN_OK)
		take(slot, result->entries[0].value,
		     result->entries[0].revision);
	else if (result->code == GN_ERR_NOT_FOUND)
		take(slot, GN_STR(""), 0);
}

/* ======   Commits   ====== */

static void on_settling_read(void *context, const gn_kv_result_t *result)
{
	bucket_slot_t *slot = context;

	slot->call = 0;
	if (result->code == GN_OK)
		gn_batch_bucket_on_read(slot->bucket, result->entries[0].value,
					result->entries[0].revision);
	else if (result->code == GN_ERR_NOT_FOUND)
		gn_batch_bucket_on_read(slot->bucket, GN_STR(""), 0);
	else
		slot->next_us = after_ms(slot, RETRY_MS);
	answer_waiters(slot);
	bucket_send_starts(slot);
}

/* A conflict with this very change: an earlier copy of it came through. */
static bool is_own_copy(const bucket_slot_t *slot, const gn_kv_result_t *result)
{
	char change[CHANGE_SIZE];

	snprintf(change, sizeof(change), "%016" PRIx64, slot->change_id);
	return result->code == GN_ERR_CONFLICT && result->count &&
	       gn_str_equal(result->entries[0].change, gn_str_from(change));
}

static void count_commit(entry_buckets_t *buckets, gn_code_t code)
{
	if (code == GN_OK)
		gn_counter_inc(buckets->commits);
	else if (code == GN_ERR_CONFLICT)
		gn_counter_inc(buckets->conflicts);
	else
		gn_counter_inc(buckets->unknowns);
}

static void on_written(void *context, const gn_kv_result_t *result)
{
	bucket_slot_t *slot = context;
	gn_code_t code = result->code;
	uint64_t revision = result->revision;

	slot->call = 0;
	if (is_own_copy(slot, result)) {
		code = GN_OK;
		revision = result->entries[0].revision;
	}
	count_commit(slot->entry->buckets, code);
	if (code && code != GN_ERR_CONFLICT)
		slot->next_us = after_ms(slot, RETRY_MS);
	gn_batch_bucket_on_commit(slot->bucket, slot->change_id, code,
				  revision);
	answer_waiters(slot);
	bucket_send_starts(slot);
}

static void write_commit(bucket_slot_t *slot, const gn_batch_commit_t *commit)
{
	char key[GN_BUCKET_KEY_SIZE];
	char change[CHANGE_SIZE];
	gn_kv_put_t put;

	entry_bucket_key(slot->index, key);
	snprintf(change, sizeof(change), "%016" PRIx64, commit->change_id);
	put = (gn_kv_put_t){
		.key = gn_str_from(key),
		.value = commit->value,
		.change = gn_str_from(change),
		.expected = commit->expected_revision,
	};
	slot->change_id = commit->change_id;
	slot->next_us = after_ms(slot, COMMIT_INTERVAL_MS);
	slot->call =
		gn_kv_put(slot->entry->membership->kv, &put, on_written, slot);
}

static void start_read(bucket_slot_t *slot, gn_kv_done_t done)
{
	char key[GN_BUCKET_KEY_SIZE];

	entry_bucket_key(slot->index, key);
	slot->call = gn_kv_get(slot->entry->membership->kv, gn_str_from(key),
			       done, slot);
}

/* ======   Ticks   ====== */

static void call_platform(bucket_slot_t *slot, uint64_t now_us)
{
	gn_batch_commit_t commit;

	if (slot->call || now_us < slot->next_us)
		return;
	if (!slot->bucket) {
		if (is_wanted(slot))
			start_read(slot, on_first_read);
	} else if (gn_batch_bucket_wants_read(slot->bucket)) {
		start_read(slot, on_settling_read);
	} else if (gn_batch_bucket_next_commit(slot->bucket, &commit)) {
		write_commit(slot, &commit);
	}
}

/* Lets go of a bucket that is lost, handed over, or another member's. */
static void review(bucket_slot_t *slot)
{
	switch (gn_batch_bucket_standing(slot->bucket)) {
	case GN_BATCH_LOST:
		gn_counter_inc(slot->entry->buckets->lost);
		gn_log(LOG_WARNING, "bucket", NULL, "lost bucket %u",
		       slot->index);
		drop(slot);
		break;
	case GN_BATCH_RELEASED:
		gn_counter_inc(slot->entry->buckets->released);
		drop(slot);
		break;
	case GN_BATCH_OWNED:
		if (is_to_release(slot))
			gn_batch_bucket_release(slot->bucket);
		break;
	default:
		break;
	}
}

void entry_buckets_tick(entry_t *entry)
{
	entry_buckets_t *buckets = entry->buckets;
	uint64_t now_us = gn_runtime_now_us(entry->runtime);
	bool moves =
		now_us - buckets->ticked_us >= (uint64_t)TICK_MS * GN_US_PER_MS;

	if (moves)
		buckets->ticked_us = now_us;
	for (unsigned i = 0; i < GN_BUCKETS; i++) {
		bucket_slot_t *slot = &buckets->slots[i];

		if (moves && slot->bucket)
			gn_batch_bucket_tick(slot->bucket);
		if (moves && slot->bucket)
			review(slot);
		call_platform(slot, now_us);
	}
}

/* ======   Commands   ====== */

static int buckets_destructor(entry_buckets_t *buckets)
{
	for (unsigned i = 0; i < GN_BUCKETS; i++) {
		drop(&buckets->slots[i]);
		g_queue_free(buckets->slots[i].waiters);
	}
	return 0;
}

gn_code_t entry_buckets_open(entry_t *entry)
{
	entry_buckets_t *buckets = talloc_zero(entry, entry_buckets_t);
	gn_counters_t *all = entry->runtime->counters;

	if (!buckets)
		return GN_ERR_MEMORY;
	entry->buckets = buckets;
	for (unsigned i = 0; i < GN_BUCKETS; i++) {
		buckets->slots[i].entry = entry;
		buckets->slots[i].index = i;
		buckets->slots[i].waiters = g_queue_new();
	}
	talloc_set_destructor(buckets, buckets_destructor);
	buckets->commits = gn_counters_get(all, "buckets.commits");
	buckets->conflicts = gn_counters_get(all, "buckets.conflicts");
	buckets->unknowns = gn_counters_get(all, "buckets.unknowns");
	buckets->taken = gn_counters_get(all, "buckets.taken");
	buckets->released = gn_counters_get(all, "buckets.released");
	buckets->lost = gn_counters_get(all, "buckets.lost");
	buckets->polls = gn_counters_get(all, "buckets.polls");
	return GN_OK;
}

void entry_buckets_drop(entry_t *entry)
{
	for (unsigned i = 0; i < GN_BUCKETS; i++)
		drop(&entry->buckets->slots[i]);
}

void entry_buckets_apply_config(entry_t *entry)
{
	for (unsigned i = 0; i < GN_BUCKETS; i++) {
		gn_batch_bucket_t *bucket = entry->buckets->slots[i].bucket;

		if (bucket)
			entry_config_apply_to(entry,
					      gn_batch_bucket_order(bucket));
	}
}

/* ======   Queries   ====== */

bool entry_buckets_are_released(const entry_t *entry)
{
	for (unsigned i = 0; i < GN_BUCKETS; i++)
		if (entry->buckets->slots[i].bucket)
			return false;
	return true;
}

static bool has_owner(const gn_batch_predecessor_t *owners, size_t count,
		      uint64_t incarnation)
{
	for (size_t i = 0; i < count; i++)
		if (owners[i].incarnation == incarnation)
			return true;
	return false;
}

size_t entry_buckets_unsettled(const entry_t *entry, gn_batch_predecessor_t *to,
			       size_t size)
{
	gn_batch_predecessor_t owners[GN_BATCH_PREDECESSORS_MAX];
	size_t total = 0;

	for (unsigned i = 0; i < GN_BUCKETS; i++) {
		const bucket_slot_t *slot = &entry->buckets->slots[i];
		size_t count = slot->bucket ? gn_batch_bucket_unsettled(
						      slot->bucket, owners,
						      GN_BATCH_PREDECESSORS_MAX)
					    : 0;

		for (size_t j = 0; j < count && total < size; j++)
			if (!has_owner(to, total, owners[j].incarnation))
				to[total++] = owners[j];
	}
	return total;
}

unsigned entry_bucket_of_team(gn_str_t team)
{
	return (unsigned)(gn_str_hash(team, 0) % GN_BUCKETS);
}

gn_batch_bucket_t *entry_bucket_find(const entry_t *entry, unsigned index)
{
	gn_batch_bucket_t *bucket = entry->buckets->slots[index].bucket;

	if (!bucket || gn_batch_bucket_standing(bucket) != GN_BATCH_OWNED)
		return NULL;
	return bucket;
}

void entry_bucket_key(unsigned index, char key[GN_BUCKET_KEY_SIZE])
{
	snprintf(key, GN_BUCKET_KEY_SIZE, GN_BUCKET_PREFIX "%03u",
		 index % 1000);
}

json_t *entry_buckets_dump(const entry_t *entry)
{
	json_t *rows = json_array();

	for (unsigned i = 0; i < GN_BUCKETS; i++) {
		const gn_batch_bucket_t *bucket =
			entry->buckets->slots[i].bucket;

		if (!bucket)
			continue;
		json_array_append_new(
			rows,
			json_pack("{s:i, s:i, s:I, s:i}", "bucket", (int)i,
				  "standing",
				  (int)gn_batch_bucket_standing(bucket),
				  "epoch",
				  (json_int_t)gn_batch_bucket_epoch(bucket),
				  "tasks",
				  (int)gn_batch_bucket_task_count(bucket)));
	}
	return rows;
}
