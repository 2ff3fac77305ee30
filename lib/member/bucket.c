#include "member/bucket.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>

#include "common/str.h"
#include "member/bucket_internal.h"

#define KEY_SIZE (sizeof(GN_MEMBER_BUCKET_PREFIX) + 3)
#define CHANGE_ID_SIZE 17
#define INTERVAL_MAX_MS 60000

struct gn_member_bucket_s {
	gn_member_bucket_options_t options;
	gn_batch_bucket_t *bucket; /* NULL if none is held */
	gn_kv_call_t call; /* Call in progress, or 0. */
	uint64_t change_id; /* Change ID of the write in progress. */
	uint64_t due_us; /* Earliest time of the next call. */
	gn_member_bucket_mutant_t mutant;
};

/* ======   Rendezvous   ====== */

const gn_record_member_t *gn_member_bucket_owner(const gn_record_doc_t *doc,
						 unsigned index)
{
	const gn_record_member_t *owner = NULL;
	uint64_t highest = 0;

	for (size_t i = 0; i < doc->member_count; i++) {
		uint64_t bytes = GUINT64_TO_LE(doc->members[i].incarnation);
		gn_str_t text = { (const char *)&bytes, sizeof(bytes) };
		uint64_t weight = gn_str_hash(text, index);

		if (!owner || weight > highest) {
			owner = &doc->members[i];
			highest = weight;
		}
	}
	return owner;
}

/* ======   Holding   ====== */

static void delay_next_call(gn_member_bucket_t *holder, uint32_t delay_ms)
{
	holder->due_us = gn_clock_now_us(holder->options.clock) +
			 (uint64_t)delay_ms * GN_US_PER_MS;
}

static void drop_bucket(gn_member_bucket_t *holder)
{
	const gn_member_bucket_options_t *options = &holder->options;

	gn_kv_cancel(options->kv, holder->call);
	holder->call = 0;
	if (holder->bucket && options->ops->on_drop)
		options->ops->on_drop(options->context, options->index,
				      holder->bucket);
	TALLOC_FREE(holder->bucket);
}

static void notify_answer(gn_member_bucket_t *holder)
{
	const gn_member_bucket_options_t *options = &holder->options;

	if (options->ops->on_answer)
		options->ops->on_answer(options->context, options->index,
					holder->bucket);
}

static bool is_wanted(const gn_member_bucket_t *holder)
{
	const gn_member_bucket_options_t *options = &holder->options;

	return options->ops->is_wanted(options->context, options->index);
}

static void format_key(const gn_member_bucket_t *holder, char key[KEY_SIZE])
{
	snprintf(key, KEY_SIZE, GN_MEMBER_BUCKET_PREFIX "%03u",
		 holder->options.index % (GN_MEMBER_BUCKET_MAX + 1));
}

/* ======   Reads   ====== */

static void on_first_read(void *context, const gn_kv_result_t *result)
{
	gn_member_bucket_t *holder = context;
	const gn_member_bucket_options_t *options = &holder->options;
	gn_str_t value = GN_STR("");
	uint64_t revision = GN_KV_ABSENT;

	holder->call = 0;
	delay_next_call(holder, options->retry_ms);
	if (result->code != GN_OK && result->code != GN_ERR_NOT_FOUND)
		return;
	if (result->count) {
		value = result->entries[0].value;
		revision = result->entries[0].revision;
	}
	if (!is_wanted(holder))
		return;
	holder->bucket = options->ops->open(options->context, holder,
					    options->index, value, revision);
	if (holder->bucket)
		delay_next_call(holder, 0);
}

static void on_verification_read(void *context, const gn_kv_result_t *result)
{
	gn_member_bucket_t *holder = context;

	holder->call = 0;
	if (result->code == GN_OK)
		gn_batch_bucket_on_read(holder->bucket,
					result->entries[0].value,
					result->entries[0].revision);
	else if (result->code == GN_ERR_NOT_FOUND)
		gn_batch_bucket_on_read(holder->bucket, GN_STR(""), 0);
	else
		delay_next_call(holder, holder->options.retry_ms);
	notify_answer(holder);
}

static void start_read(gn_member_bucket_t *holder, gn_kv_done_t done)
{
	char key[KEY_SIZE];

	format_key(holder, key);
	holder->call =
		gn_kv_get(holder->options.kv, gn_str_from(key), done, holder);
}

/* ======   Writes   ====== */

static void format_change_id(uint64_t id, char change[CHANGE_ID_SIZE])
{
	snprintf(change, CHANGE_ID_SIZE, "%016" PRIx64, id);
}

/*
 * A conflict with the same change ID: an earlier copy of the write succeeded.
 */
static bool is_own_change(const gn_member_bucket_t *holder,
			  const gn_kv_result_t *result)
{
	char change[CHANGE_ID_SIZE];

	format_change_id(holder->change_id, change);
	return result->code == GN_ERR_CONFLICT && result->count &&
	       gn_str_equal(result->entries[0].change_id, gn_str_from(change));
}

static void on_write_done(void *context, const gn_kv_result_t *result);

static void start_write(gn_member_bucket_t *holder, gn_str_t value,
			uint64_t expected)
{
	char key[KEY_SIZE];
	char change[CHANGE_ID_SIZE];
	gn_kv_put_t put = { .value = value, .expected = expected };

	format_key(holder, key);
	format_change_id(holder->change_id, change);
	put.key = gn_str_from(key);
	put.change_id = gn_str_from(change);
	delay_next_call(holder, holder->options.commit_interval_ms);
	holder->call =
		gn_kv_put(holder->options.kv, &put, on_write_done, holder);
}

static void on_write_done(void *context, const gn_kv_result_t *result)
{
	gn_member_bucket_t *holder = context;
	gn_code_t code = result->code;
	uint64_t revision = result->revision;

	holder->call = 0;
	if (is_own_change(holder, result) ||
	    (code == GN_ERR_UNKNOWN &&
	     holder->mutant == GN_MEMBER_BUCKET_MUTANT_ASSUME_WRITTEN)) {
		code = GN_OK;
		revision = result->count ? result->entries[0].revision : 0;
	}
	if (code != GN_OK && code != GN_ERR_CONFLICT)
		delay_next_call(holder, holder->options.retry_ms);
	gn_batch_bucket_on_commit(holder->bucket, holder->change_id, code,
				  revision);
	if (code == GN_ERR_CONFLICT && result->count &&
	    holder->mutant == GN_MEMBER_BUCKET_MUTANT_IGNORE_CONFLICT)
		gn_batch_bucket_on_commit(holder->bucket, holder->change_id,
					  GN_OK, result->entries[0].revision);
	notify_answer(holder);
}

/* ======   Ticks   ====== */

static void check_ownership(gn_member_bucket_t *holder)
{
	switch (gn_batch_bucket_get_ownership(holder->bucket)) {
	case GN_BATCH_LOST:
	case GN_BATCH_RELEASED:
		drop_bucket(holder);
		delay_next_call(holder, holder->options.retry_ms);
		break;
	case GN_BATCH_OWNED:
		if (!is_wanted(holder) &&
		    holder->mutant != GN_MEMBER_BUCKET_MUTANT_KEEP)
			gn_batch_bucket_release(holder->bucket);
		break;
	case GN_BATCH_RELEASING:
		if (is_wanted(holder))
			gn_batch_bucket_keep(holder->bucket);
		break;
	default:
		break;
	}
}

static void start_call(gn_member_bucket_t *holder)
{
	gn_batch_commit_t commit;

	if (!holder->bucket) {
		if (is_wanted(holder))
			start_read(holder, on_first_read);
	} else if (gn_batch_bucket_wants_read(holder->bucket)) {
		start_read(holder, on_verification_read);
	} else if (gn_batch_bucket_next_commit(holder->bucket, &commit)) {
		holder->change_id = commit.change_id;
		start_write(holder, commit.value, commit.expected_revision);
	}
}

void gn_member_bucket_tick(gn_member_bucket_t *holder)
{
	if (holder->bucket) {
		gn_batch_bucket_tick(holder->bucket);
		check_ownership(holder);
	}
	if (!holder->call &&
	    gn_clock_now_us(holder->options.clock) >= holder->due_us)
		start_call(holder);
}

void gn_member_bucket_drop(gn_member_bucket_t *holder)
{
	drop_bucket(holder);
}

/* ======   Queries   ====== */

gn_batch_bucket_t *gn_member_bucket_held(const gn_member_bucket_t *holder)
{
	return holder->bucket;
}

gn_batch_bucket_t *gn_member_bucket_owned(const gn_member_bucket_t *holder)
{
	if (!holder->bucket ||
	    gn_batch_bucket_get_ownership(holder->bucket) != GN_BATCH_OWNED)
		return NULL;
	return holder->bucket;
}

/* ======   Life   ====== */

static int free_holder(gn_member_bucket_t *holder)
{
	drop_bucket(holder);
	return 0;
}

gn_member_bucket_t *
gn_member_bucket_create(TALLOC_CTX *parent,
			const gn_member_bucket_options_t *options)
{
	gn_member_bucket_t *holder;

	if (options->index > GN_MEMBER_BUCKET_MAX || !options->retry_ms ||
	    options->retry_ms > INTERVAL_MAX_MS ||
	    options->commit_interval_ms > INTERVAL_MAX_MS)
		return NULL;
	holder = talloc_zero(parent, gn_member_bucket_t);
	if (!holder)
		return NULL;
	holder->options = *options;
	talloc_set_destructor(holder, free_holder);
	return holder;
}

void gn_member_bucket_free(gn_member_bucket_t *holder)
{
	talloc_free(holder);
}

void gn_member_bucket_set_mutant(gn_member_bucket_t *holder,
				 gn_member_bucket_mutant_t mutant)
{
	holder->mutant = mutant;
}
