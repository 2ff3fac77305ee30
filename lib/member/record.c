#include "member/record.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/str.h"
#include "member/record_internal.h"

/** How long one watch call waits, milliseconds; bounds silent connections. */
#define WATCH_WAIT_MS 3000
/** Least time between two watch calls, milliseconds. */
#define WATCH_INTERVAL_MS 100
/** The entries remove lapsed ones in turn, so far apart; microseconds. */
#define REMOVE_STAGGER_US (300 * GN_US_PER_MS)
/** Acknowledgements are spread over this time; microseconds. */
#define ACK_SPREAD_US GN_US_PER_S
#define CHANGE_SIZE 40
#define LIVE_KEY_SIZE (sizeof(GN_RECORD_LIVE_PREFIX) + 16)

static uint64_t now_us(const gn_record_t *record)
{
	return gn_clock_now_us(record->options.clock);
}

static bool is_in(const gn_record_t *record, const gn_record_doc_t *doc)
{
	return gn_record_doc_find(doc, record->options.incarnation) <
	       doc->member_count;
}

/* ======   Standing   ====== */

static void go(gn_record_t *record)
{
	record->standing = GN_RECORD_GONE;
	gn_kv_cancel(record->options.kv, record->call);
	record->call = 0;
	gn_lease_end(record->lease);
}

/*
 * A write that joins may have been lost, applied, and undone by a removal,
 * all between two views. The record remembers the latest that left; when it
 * has moved on by more than it remembers, this entry counts as one of them.
 */
static bool may_have_left(const gn_record_t *record)
{
	const gn_record_doc_t *doc = &record->view.doc;

	if (record->mutant == GN_RECORD_MUTANT_RETURN)
		return false;
	if (is_in(record, doc))
		return false;
	return record->was_member ||
	       gn_record_doc_has_left(doc, record->options.incarnation) ||
	       (record->has_tried &&
		doc->revision - record->tried_revision > GN_RECORD_LEFT_MAX);
}

static void update_standing(gn_record_t *record)
{
	if (record->standing == GN_RECORD_GONE)
		return;
	if (gn_lease_state(record->lease) == GN_LEASE_LOST) {
		go(record);
		return;
	}
	if (!record->view.is_known)
		return;
	if (may_have_left(record)) {
		go(record);
		return;
	}
	if (is_in(record, &record->view.doc)) {
		record->was_member = true;
		if (record->standing == GN_RECORD_JOINING)
			record->standing = GN_RECORD_MEMBER;
	} else if (record->standing == GN_RECORD_LEAVING) {
		go(record);
	}
}

/* ======   Views   ====== */

static size_t lapsed_count(const gn_record_t *record)
{
	const gn_record_doc_t *doc = &record->view.doc;
	size_t count = 0;

	for (size_t i = 0; i < doc->member_count; i++)
		count += gn_record_view_has_lapsed(&record->view,
						   &doc->members[i]);
	return count;
}

/* How many live members come before this entry in the record. */
static size_t rank(const gn_record_t *record)
{
	const gn_record_doc_t *doc = &record->view.doc;
	size_t count = 0;

	for (size_t i = 0; i < doc->member_count; i++) {
		if (doc->members[i].incarnation == record->options.incarnation)
			break;
		count += !gn_record_view_has_lapsed(&record->view,
						    &doc->members[i]);
	}
	return count;
}

static void schedule_write(gn_record_t *record)
{
	uint64_t wait_us;

	if (record->is_scheduled)
		return;
	record->is_scheduled = true;
	if (record->standing != GN_RECORD_MEMBER)
		wait_us = 0;
	else if (lapsed_count(record))
		wait_us = rank(record) * REMOVE_STAGGER_US;
	else
		wait_us = (uint64_t)(g_rand_double(record->options.rand) *
				     ACK_SPREAD_US);
	record->due_us = now_us(record) + wait_us;
}

static void adopt(gn_record_t *record)
{
	if (record->view.doc.revision <= record->adopted.revision)
		return;
	record->adopted = record->view.doc;
	if (record->options.on_adopt)
		record->options.on_adopt(record->options.context,
					 &record->adopted);
}

static void take_news(void *context, const gn_kv_news_t *news)
{
	gn_record_t *record = context;

	gn_record_view_update(&record->view, news);
	adopt(record);
	update_standing(record);
	schedule_write(record);
}

/* ======   Writes   ====== */

static void take_write(void *context, const gn_kv_result_t *result)
{
	gn_record_t *record = context;

	record->call = 0;
	if (result->code == GN_OK) {
		gn_backoff_reset(&record->backoff);
		record->wait_key_revision = result->revision;
		return;
	}
	if (record->mutant == GN_RECORD_MUTANT_IGNORE_REVISION &&
	    result->code == GN_ERR_CONFLICT && result->count) {
		record->view.key_revision = result->entries[0].revision;
		return;
	}
	if (result->code == GN_ERR_CONFLICT && result->count) {
		record->wait_key_revision = result->entries[0].revision;
		return;
	}
	/* whatever became of it: the next one is derived from a view again */
	record->due_us =
		now_us(record) +
		gn_backoff_next_us(&record->backoff, record->options.rand);
}

static void write_doc(gn_record_t *record, const gn_record_doc_t *doc)
{
	char change[CHANGE_SIZE];
	char *value = gn_record_doc_encode(doc);
	gn_kv_put_t put = { GN_STR(GN_RECORD_KEY),
			    gn_str_from(value),
			    { change, 0 },
			    record->view.key_revision,
			    0 };

	if (!value)
		return;
	put.change.len =
		(size_t)snprintf(change, sizeof(change), "%016" PRIx64 "-%u",
				 record->options.incarnation, ++record->writes);
	if (!record->has_tried && is_in(record, doc)) {
		record->has_tried = true;
		record->tried_revision = record->view.doc.revision;
	}
	record->call = gn_kv_put(record->options.kv, &put, take_write, record);
	free(value);
}

static bool may_write(const gn_record_t *record)
{
	return record->standing != GN_RECORD_GONE && !record->call &&
	       record->view.is_known &&
	       record->view.key_revision >= record->wait_key_revision &&
	       now_us(record) >= record->due_us;
}

void gn_record_tick(gn_record_t *record)
{
	gn_record_doc_t *doc;

	if (record->standing == GN_RECORD_GONE)
		return;
	gn_lease_tick(record->lease);
	gn_kv_watch_tick(record->watch);
	update_standing(record);
	if (!may_write(record))
		return;
	record->is_scheduled = false;
	doc = g_new(gn_record_doc_t, 1);
	if (gn_record_propose(record, doc))
		write_doc(record, doc);
	g_free(doc);
}

void gn_record_leave(gn_record_t *record)
{
	if (record->standing == GN_RECORD_GONE)
		return;
	if (!record->was_member && !record->has_tried) {
		go(record);
		return;
	}
	record->standing = GN_RECORD_LEAVING;
	record->due_us = now_us(record);
}

/* ======   Queries   ====== */

gn_record_standing_t gn_record_standing(const gn_record_t *record)
{
	return record->standing;
}

const gn_record_doc_t *gn_record_adopted(const gn_record_t *record)
{
	return record->adopted.revision ? &record->adopted : NULL;
}

uint64_t gn_record_acked(const gn_record_t *record, uint64_t incarnation)
{
	return gn_record_doc_acked(&record->view.doc, incarnation);
}

/* ======   Life   ====== */

static int free_record(gn_record_t *record)
{
	gn_kv_cancel(record->options.kv, record->call);
	gn_kv_watch_free(record->watch);
	gn_lease_free(record->lease);
	g_hash_table_unref(record->view.live);
	return 0;
}

static bool are_in_bounds(const gn_record_options_t *options)
{
	size_t name_len = strlen(options->name);
	size_t address_len = strlen(options->address);

	return options->incarnation && name_len && name_len <= GN_NAME_MAX &&
	       address_len && address_len <= GN_ADDRESS_MAX;
}

static gn_lease_t *create_lease(gn_record_t *record)
{
	const gn_record_options_t *options = &record->options;
	char key[LIVE_KEY_SIZE];
	gn_lease_options_t lease = { options->kv,	    options->clock,
				     options->rand,	    key,
				     options->lease_ttl_ms, options->on_renewed,
				     options->context };

	snprintf(key, sizeof(key), GN_RECORD_LIVE_PREFIX "%016" PRIx64,
		 options->incarnation);
	return gn_lease_create(NULL, &lease);
}

gn_record_t *gn_record_create(TALLOC_CTX *parent,
			      const gn_record_options_t *options)
{
	gn_kv_watch_options_t watch = { GN_RECORD_PREFIX, WATCH_WAIT_MS,
					WATCH_INTERVAL_MS, take_news, NULL };
	gn_record_t *record;

	if (!are_in_bounds(options))
		return NULL;
	record = talloc_zero(parent, gn_record_t);
	if (!record)
		return NULL;
	record->options = *options;
	watch.context = record;
	record->view.live = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, NULL);
	record->lease = create_lease(record);
	record->watch = gn_kv_watch_create(NULL, options->kv, options->clock,
					   options->rand, &watch);
	talloc_set_destructor(record, free_record);
	if (!record->lease || !record->watch) {
		talloc_free(record);
		return NULL;
	}
	return record;
}

void gn_record_free(gn_record_t *record)
{
	talloc_free(record);
}

void gn_record_set_mutant(gn_record_t *record, gn_record_mutant_t mutant)
{
	record->mutant = mutant;
}
