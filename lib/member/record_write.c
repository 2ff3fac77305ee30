/**
 * @file record_write.c
 * @brief Writes of the member record and of this entry's acknowledgement.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/str.h"
#include "member/record_internal.h"

/** Time between the turns of two live entries, in microseconds. */
#define WRITE_SLOT_US (300 * GN_US_PER_MS)
/** Maximum random delay of an acknowledgement, in microseconds. */
#define ACK_SPREAD_US GN_US_PER_S
#define CHANGE_ID_SIZE 40

static uint64_t now_us(const gn_record_t *record)
{
	return gn_clock_now_us(record->options.clock);
}

static const gn_record_live_t *own_live(const gn_record_t *record)
{
	return gn_record_view_live(&record->view, record->options.incarnation);
}

/* ======   Plans   ====== */

static void schedule_write(const gn_record_t *record, gn_record_write_t *write,
			   uint64_t delay_us)
{
	if (write->is_scheduled)
		return;
	write->is_scheduled = true;
	write->due_us = now_us(record) + delay_us;
}

void gn_record_schedule_writes(gn_record_t *record)
{
	size_t rank =
		gn_record_view_rank(&record->view, record->options.incarnation);

	schedule_write(record, &record->membership, rank * WRITE_SLOT_US);
	schedule_write(record, &record->ack,
		       (uint64_t)(g_rand_double(record->options.rand) *
				  ACK_SPREAD_US));
}

/* ======   Results   ====== */

static void on_write_done(gn_record_t *record, gn_record_write_t *write,
			  const gn_kv_result_t *result)
{
	write->call = 0;
	if (result->code == GN_OK) {
		gn_backoff_reset(&write->backoff);
		write->min_key_revision = result->revision;
	} else if (result->code == GN_ERR_CONFLICT && result->count) {
		write->min_key_revision = result->entries[0].revision;
	} else {
		/*
		 * The outcome does not matter: the next write follows from a
		 * new view.
		 */
		write->due_us = now_us(record) +
				gn_backoff_next_us(&write->backoff,
						   record->options.rand);
		write->is_scheduled = true;
	}
}

static void on_membership_written(void *context, const gn_kv_result_t *result)
{
	gn_record_t *record = context;

	on_write_done(record, &record->membership, result);
	if (record->mutant == GN_RECORD_MUTANT_IGNORE_REVISION &&
	    result->code == GN_ERR_CONFLICT && result->count)
		record->view.key_revision = result->entries[0].revision;
}

static void on_ack_written(void *context, const gn_kv_result_t *result)
{
	gn_record_t *record = context;

	on_write_done(record, &record->ack, result);
}

/* ======   Writes   ====== */

static bool is_due(const gn_record_t *record, gn_record_write_t *write,
		   uint64_t key_revision)
{
	if (!write->is_scheduled || write->call ||
	    now_us(record) < write->due_us ||
	    key_revision < write->min_key_revision)
		return false;
	write->is_scheduled = false;
	return true;
}

static gn_kv_call_t put_change(gn_record_t *record, gn_kv_put_t *put,
			       gn_kv_done_t done)
{
	char change_id[CHANGE_ID_SIZE];

	put->change_id.data = change_id;
	put->change_id.len = (size_t)snprintf(
		change_id, sizeof(change_id), "%016" PRIx64 "-%u",
		record->options.incarnation, ++record->change_count);
	return gn_kv_put(record->options.kv, put, done, record);
}

static void write_doc(gn_record_t *record, const gn_record_doc_t *doc)
{
	char *value = gn_record_doc_encode(doc);
	gn_kv_put_t request = { .key = GN_STR(GN_RECORD_KEY),
				.value = gn_str_from(value),
				.expected = record->view.key_revision };

	record->membership.call =
		put_change(record, &request, on_membership_written);
	free(value);
}

static void start_membership(gn_record_t *record)
{
	gn_record_doc_t *doc = g_new(gn_record_doc_t, 1);

	if (gn_record_build_next_doc(record, doc))
		write_doc(record, doc);
	g_free(doc);
}

static void start_ack(gn_record_t *record)
{
	const gn_record_live_t *seen = own_live(record);
	char key[GN_RECORD_LIVE_KEY_SIZE];
	gn_record_live_t live;
	gn_kv_put_t request = { .lease = gn_lease_id(record->lease) };
	char *value;

	if (!seen)
		return;
	live = *seen;
	live.acked = record->adopted.revision;
	if (record->mutant == GN_RECORD_MUTANT_ACK_EARLY)
		live.acked++;
	if (live.acked <= seen->acked)
		return;
	gn_record_live_key(live.incarnation, key);
	value = gn_record_live_encode(&live);
	request.key = gn_str_from(key);
	request.value = gn_str_from(value);
	request.expected = seen->key_revision;
	record->ack.call = put_change(record, &request, on_ack_written);
	free(value);
}

void gn_record_start_writes(gn_record_t *record)
{
	const gn_record_live_t *live = own_live(record);

	if (!record->view.is_known ||
	    gn_lease_state(record->lease) != GN_LEASE_HELD)
		return;
	if (is_due(record, &record->membership, record->view.key_revision))
		start_membership(record);
	if (is_due(record, &record->ack, live ? live->key_revision : 0))
		start_ack(record);
}
