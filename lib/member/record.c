#include "member/record.h"

#include <stdlib.h>
#include <string.h>

#include "common/str.h"
#include "member/record_internal.h"

/**
 * Maximum duration of one watch call, in milliseconds. It limits the time for
 * which a connection that has failed silently goes undetected.
 */
#define WATCH_WAIT_MS 3000
/** Minimum time between two watch calls, in milliseconds. */
#define WATCH_INTERVAL_MS 200

static bool is_listed(const gn_record_t *record, const gn_record_doc_t *doc)
{
	return gn_record_doc_find(doc, record->options.incarnation) <
	       doc->member_count;
}

/* ======   Standing   ====== */

static void cancel_writes(gn_record_t *record)
{
	gn_kv_cancel(record->options.kv, record->membership.call);
	gn_kv_cancel(record->options.kv, record->ack.call);
	record->membership.call = 0;
	record->ack.call = 0;
}

static void become_gone(gn_record_t *record)
{
	record->state = GN_RECORD_GONE;
	cancel_writes(record);
	gn_lease_abandon(record->lease);
}

static bool has_left(const gn_record_t *record)
{
	const gn_record_view_t *view = &record->view;
	uint64_t self = record->options.incarnation;

	if (record->mutant == GN_RECORD_MUTANT_RETURN)
		return false;
	if (record->was_key_seen && !gn_record_view_live(view, self))
		return true;
	return gn_record_doc_has_left(&view->doc, self) ||
	       (record->was_member_seen && !is_listed(record, &view->doc));
}

static void update_standing(gn_record_t *record)
{
	if (record->state == GN_RECORD_GONE)
		return;
	if (gn_lease_state(record->lease) == GN_LEASE_LOST ||
	    (record->view.is_known && has_left(record))) {
		become_gone(record);
		return;
	}
	record->was_key_seen |=
		gn_record_view_live(&record->view,
				    record->options.incarnation) != NULL;
	if (!is_listed(record, &record->view.doc))
		return;
	record->was_member_seen = true;
	if (record->state == GN_RECORD_JOINING &&
	    gn_lease_state(record->lease) == GN_LEASE_HELD)
		record->state = GN_RECORD_MEMBER;
}

/* ======   Views   ====== */

static void adopt_latest(gn_record_t *record)
{
	if (record->view.doc.revision <= record->adopted.revision)
		return;
	record->adopted = record->view.doc;
	if (record->options.on_adopt)
		record->options.on_adopt(record->options.context,
					 &record->adopted);
}

static void on_watch_update(void *context, const gn_kv_update_t *news)
{
	gn_record_t *record = context;
	uint64_t before = record->view.key_revision;

	gn_record_view_update(&record->view, news);
	adopt_latest(record);
	update_standing(record);
	/* Another entry wrote the record: wait for a new turn. */
	if (record->view.key_revision != before)
		record->membership.is_scheduled = false;
	gn_record_schedule_writes(record);
}

/* ======   Commands   ====== */

void gn_record_tick(gn_record_t *record)
{
	if (record->state == GN_RECORD_GONE)
		return;
	gn_lease_tick(record->lease);
	gn_kv_watch_tick(record->watch);
	update_standing(record);
	if (record->state == GN_RECORD_JOINING ||
	    record->state == GN_RECORD_MEMBER)
		gn_record_start_writes(record);
}

void gn_record_leave(gn_record_t *record)
{
	if (record->state == GN_RECORD_GONE)
		return;
	record->state = GN_RECORD_LEAVING;
	cancel_writes(record);
	gn_lease_revoke(record->lease);
}

/* ======   Queries   ====== */

gn_record_state_t gn_record_state(const gn_record_t *record)
{
	return record->state;
}

const gn_record_doc_t *gn_record_adopted(const gn_record_t *record)
{
	return record->adopted.revision ? &record->adopted : NULL;
}

uint64_t gn_record_acked(const gn_record_t *record, uint64_t incarnation)
{
	return gn_record_view_acked(&record->view, incarnation);
}

/* ======   Life   ====== */

static int free_record(gn_record_t *record)
{
	cancel_writes(record);
	gn_kv_watch_free(record->watch);
	gn_lease_free(record->lease);
	g_hash_table_unref(record->view.live);
	g_hash_table_unref(record->view.last_acked);
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
	gn_record_live_t live = { .incarnation = options->incarnation };
	char key[GN_RECORD_LIVE_KEY_SIZE];
	gn_lease_options_t lease = { .kv = options->kv,
				     .clock = options->clock,
				     .rand = options->rand,
				     .key = key,
				     .ttl_ms = options->lease_ttl_ms,
				     .on_renewed = options->on_renewed,
				     .context = options->context };
	gn_lease_t *created;
	char *value;

	gn_record_live_key(options->incarnation, key);
	gn_str_copy(live.name, sizeof(live.name), gn_str_from(options->name));
	gn_str_copy(live.address, sizeof(live.address),
		    gn_str_from(options->address));
	value = gn_record_live_encode(&live);
	lease.value = gn_str_from(value);
	created = value ? gn_lease_create(NULL, &lease) : NULL;
	free(value);
	return created;
}

gn_record_t *gn_record_create(TALLOC_CTX *parent,
			      const gn_record_options_t *options)
{
	gn_kv_watch_options_t watch = { GN_RECORD_PREFIX, WATCH_WAIT_MS,
					WATCH_INTERVAL_MS, on_watch_update,
					NULL };
	gn_record_t *record;

	if (!are_in_bounds(options))
		return NULL;
	record = talloc_zero(parent, gn_record_t);
	if (!record)
		return NULL;
	record->options = *options;
	watch.context = record;
	record->view.live = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  NULL, g_free);
	record->view.last_acked = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, g_free);
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
