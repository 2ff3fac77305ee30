#include "ledger/ledger.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/str.h"
#include "lead/lead.h"
#include "platform/backoff.h"

/**
 * Maximum number of jobs in one write batch: a new job takes two rows, the
 * chain key two.
 */
#define BATCH_JOBS_MAX ((GN_KV_TXN_ROWS_MAX - 2) / 2)
#define BATCH_ROWS_MAX GN_KV_TXN_ROWS_MAX
/** Maximum retry delay; kept short because callers wait for the write batch. */
#define BACKOFF_MAX_US (200 * GN_US_PER_MS)
/** Buffer size of a marker, "INCARNATION-NUMBER" with its terminator. */
#define MARKER_SIZE 48

G_STATIC_ASSERT(GN_SCHED_VALUE_MAX <= GN_KV_VALUE_MAX);

struct gn_ledger_s {
	gn_ledger_options_t options;
	uint64_t revision; /**< Last known revision of the chain key. */
	uint64_t batch_number; /**< Number of the current write batch. */
	char marker[MARKER_SIZE]; /**< Marker of the current write batch. */
	gn_sched_write_t writes[BATCH_JOBS_MAX];
	bool has_batch; /**< A write batch is in progress. */
	size_t write_count; /**< Writes in it; 0 for a fencing token alone. */
	uint64_t began_us; /**< When the current write batch was collected. */
	uint64_t retry_at_us; /**< Earliest time of the next attempt. */
	gn_kv_call_t call; /**< Transaction in flight, 0 if none. */
	gn_backoff_t backoff;
};

/* ======   Rows of a write batch   ====== */

typedef struct rows_s {
	gn_kv_put_t puts[BATCH_ROWS_MAX];
	size_t put_count;
	gn_str_t removes[BATCH_ROWS_MAX];
	size_t remove_count;
	Gn__JobRecord *records[BATCH_JOBS_MAX]; /**< Unpacked new jobs. */
	size_t record_count;
	uint8_t *packed[2 * BATCH_JOBS_MAX];
	size_t packed_count;
	TALLOC_CTX *keys;
} rows_t;

static gn_str_t get_key(rows_t *rows, const char *prefix, const char *job)
{
	char *key = talloc_asprintf(rows->keys, "%s%s", prefix, job);

	if (!key)
		abort(); /* Out of memory is fatal, as in GLib. */
	return gn_str_from(key);
}

static void add_put(rows_t *rows, const char *prefix, const char *job,
		    const uint8_t *value, size_t len)
{
	gn_kv_put_t *put = &rows->puts[rows->put_count++];

	memset(put, 0, sizeof(*put));
	put->key = get_key(rows, prefix, job);
	put->value.data = (const char *)value;
	put->value.len = len;
}

/**
 * Stores a new job under two keys: its specification never changes, so later
 * writes need only carry its state.
 */
static void add_record(rows_t *rows, const gn_sched_write_t *write)
{
	Gn__JobRecord *record =
		gn__job_record__unpack(NULL, write->len, write->value);
	size_t spec_len = gn__job_spec__get_packed_size(record->spec);
	size_t state_len = gn__job_state__get_packed_size(record->state);
	uint8_t *spec = g_malloc(spec_len + 1);
	uint8_t *state = g_malloc(state_len + 1);

	gn__job_spec__pack(record->spec, spec);
	gn__job_state__pack(record->state, state);
	rows->records[rows->record_count++] = record;
	rows->packed[rows->packed_count++] = spec;
	rows->packed[rows->packed_count++] = state;
	add_put(rows, GN_LEDGER_SPEC_PREFIX, write->job, spec, spec_len);
	add_put(rows, GN_LEDGER_STATE_PREFIX, write->job, state, state_len);
}

static void add_write(rows_t *rows, const gn_sched_write_t *write)
{
	if (write->interference) {
		add_put(rows, GN_LEDGER_LEARNED_KEY, write->job, write->value,
			write->len);
	} else if (write->remove) {
		rows->removes[rows->remove_count++] =
			get_key(rows, GN_LEDGER_SPEC_PREFIX, write->job);
		rows->removes[rows->remove_count++] =
			get_key(rows, GN_LEDGER_STATE_PREFIX, write->job);
	} else if (write->with_spec) {
		add_record(rows, write);
	} else {
		add_put(rows, GN_LEDGER_STATE_PREFIX, write->job, write->value,
			write->len);
	}
}

static void fill_rows(gn_ledger_t *ledger, rows_t *rows)
{
	gn_kv_put_t *chain = &rows->puts[0];

	memset(rows, 0, sizeof(*rows));
	rows->keys = talloc_new(ledger);
	chain->key = GN_STR(GN_LEAD_CHAIN_KEY);
	chain->value = gn_str_from(ledger->marker);
	rows->put_count = 1;
	for (size_t i = 0; i < ledger->write_count; i++)
		add_write(rows, &ledger->writes[i]);
}

static void free_rows(rows_t *rows)
{
	for (size_t i = 0; i < rows->record_count; i++)
		gn__job_record__free_unpacked(rows->records[i], NULL);
	for (size_t i = 0; i < rows->packed_count; i++)
		g_free(rows->packed[i]);
	talloc_free(rows->keys);
}

/* ======   Write batches   ====== */

static void free_batch(gn_ledger_t *ledger)
{
	for (size_t i = 0; i < ledger->write_count; i++)
		free(ledger->writes[i].value);
	ledger->write_count = 0;
	ledger->has_batch = false;
}

static void finish_batch(gn_ledger_t *ledger, uint64_t revision,
			 uint64_t sent_us)
{
	size_t writes = ledger->write_count;

	ledger->revision = revision;
	free_batch(ledger);
	gn_backoff_reset(&ledger->backoff);
	gn_sched_confirm_batch(ledger->options.sched, revision);
	ledger->options.ops->stored(ledger->options.arg, sent_us, writes);
}

/**
 * Whether the transaction conflicted with an earlier copy of this write batch.
 */
static bool find_own_marker(const gn_ledger_t *ledger,
			    const gn_kv_result_t *result, uint64_t *revision)
{
	for (size_t i = 0; i < result->count; i++) {
		const gn_kv_entry_t *entry = &result->entries[i];

		if (!gn_str_equal(entry->key, GN_STR(GN_LEAD_CHAIN_KEY)) ||
		    !gn_str_equal(entry->value, gn_str_from(ledger->marker)))
			continue;
		*revision = entry->revision;
		return true;
	}
	return false;
}

static void on_result(void *context, const gn_kv_result_t *result)
{
	gn_ledger_t *ledger = context;
	uint64_t revision = 0;

	ledger->call = 0;
	if (result->code == GN_OK) {
		finish_batch(ledger, result->revision, result->sent_us);
	} else if (result->code != GN_ERR_CONFLICT) {
		ledger->retry_at_us = gn_clock_now_us(ledger->options.clock) +
				      gn_backoff_next_us(&ledger->backoff,
							 ledger->options.rand);
	} else if (find_own_marker(ledger, result, &revision)) {
		finish_batch(ledger, revision, result->sent_us);
	} else {
		ledger->options.ops->superseded(ledger->options.arg);
	}
}

static void send_batch(gn_ledger_t *ledger)
{
	const gn_kv_expect_t expect = { GN_STR(GN_LEAD_CHAIN_KEY),
					ledger->revision };
	gn_kv_txn_t txn = { .expects = &expect, .expect_count = 1 };
	rows_t rows;

	fill_rows(ledger, &rows);
	txn.puts = rows.puts;
	txn.put_count = rows.put_count;
	txn.removes = rows.removes;
	txn.remove_count = rows.remove_count;
	ledger->call = gn_kv_txn(ledger->options.kv, &txn, on_result, ledger);
	free_rows(&rows);
}

void gn_ledger_send_next(gn_ledger_t *ledger)
{
	uint64_t now_us = gn_clock_now_us(ledger->options.clock);

	if (ledger->call || now_us < ledger->retry_at_us)
		return;
	if (!ledger->has_batch) {
		if (!gn_sched_is_dirty(ledger->options.sched))
			return;
		ledger->write_count = gn_sched_begin_batch(
			ledger->options.sched, ledger->writes, BATCH_JOBS_MAX);
		ledger->has_batch = true;
		ledger->began_us = now_us;
		snprintf(ledger->marker, sizeof(ledger->marker),
			 "%016" PRIx64 "-%" PRIu64, ledger->options.incarnation,
			 ++ledger->batch_number);
	}
	send_batch(ledger);
}

/* ======   Creation and queries   ====== */

gn_ledger_t *gn_ledger_create(TALLOC_CTX *parent,
			      const gn_ledger_options_t *options)
{
	gn_ledger_t *ledger = talloc_zero(parent, gn_ledger_t);

	if (!ledger)
		return NULL;
	ledger->options = *options;
	ledger->revision = options->epoch;
	ledger->backoff.limit_us = BACKOFF_MAX_US;
	return ledger;
}

void gn_ledger_free(gn_ledger_t *ledger)
{
	if (!ledger)
		return;
	gn_kv_cancel(ledger->options.kv, ledger->call);
	free_batch(ledger);
	talloc_free(ledger);
}

bool gn_ledger_is_idle(const gn_ledger_t *ledger)
{
	return !ledger->has_batch && !gn_sched_is_dirty(ledger->options.sched);
}

uint64_t gn_ledger_batch_age_us(const gn_ledger_t *ledger)
{
	if (!ledger->has_batch)
		return 0;
	return gn_clock_now_us(ledger->options.clock) - ledger->began_us;
}
