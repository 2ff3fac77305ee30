#include "platform/watch.h"

#include <assert.h>
#include <stdlib.h>

#include "common/str.h"
#include "platform/backoff.h"

#define INTERVAL_MAX_MS 60000
/**
 * With gn_kv_watch_confirm_soon(), time for which an answer may be overdue. It
 * doubles with each call given up, so that a slow service is not asked in vain.
 */
#define OVERDUE_US (300 * GN_US_PER_MS)
#define OVERDUE_DOUBLINGS_MAX 4

struct gn_kv_watch_s {
	gn_kv_t *kv;
	const gn_clock_t *clock;
	GRand *rand;
	gn_kv_watch_options_t options;
	char *prefix;
	gn_kv_call_t call; /* The call in progress, or 0. */
	bool is_listed; /* If set, the next call is a watch, else a list. */
	uint64_t revision;
	uint64_t last_answer_us; /* 0: none yet. */
	uint64_t confirmed_us; /* 0: none yet. */
	uint32_t wait_ms; /* Wait of the call in progress. */
	bool has_failed; /* The last call has failed. */
	bool was_late; /* Its answer came long after the wait was over. */
	bool confirms_soon; /* The next call then does not wait. */
	uint64_t called_us; /* When the call in progress was sent. */
	unsigned given_up; /* Calls given up since the last answer. */
	uint64_t due_us; /* When the next call is due. */
	gn_backoff_t backoff;

	/* Pages of a list that is not complete; NULL if there are none. */
	gn_kv_entry_t *listed; /* Copies, allocated by talloc. */
	size_t listed_count;
	uint64_t listed_revision; /* Revision of the first page. */
	uint64_t listed_sent_us; /* When it was requested. */
};

gn_kv_watch_t *gn_kv_watch_create(TALLOC_CTX *parent, gn_kv_t *kv,
				  const gn_clock_t *clock, GRand *rand,
				  const gn_kv_watch_options_t *options)
{
	gn_kv_watch_t *watch;

	if (!gn_kv_is_key_text(gn_str_from(options->prefix), GN_KV_KEY_MAX) ||
	    !options->wait_ms || options->wait_ms > GN_KV_WATCH_MAX_MS ||
	    options->interval_ms > INTERVAL_MAX_MS)
		return NULL;
	watch = talloc_zero(parent, gn_kv_watch_t);
	if (!watch)
		return NULL;
	watch->kv = kv;
	watch->clock = clock;
	watch->rand = rand;
	watch->options = *options;
	watch->prefix = talloc_strdup(watch, options->prefix);
	if (!watch->prefix) {
		talloc_free(watch);
		return NULL;
	}
	return watch;
}

void gn_kv_watch_free(gn_kv_watch_t *watch)
{
	if (!watch)
		return;
	gn_kv_cancel(watch->kv, watch->call);
	talloc_free(watch);
}

void gn_kv_watch_limit_backoff(gn_kv_watch_t *watch, uint32_t backoff_ms)
{
	watch->backoff.limit_us = (uint64_t)backoff_ms * GN_US_PER_MS;
}

void gn_kv_watch_confirm_soon(gn_kv_watch_t *watch)
{
	watch->confirms_soon = true;
}

static void deliver(gn_kv_watch_t *watch, const gn_kv_result_t *result,
		    bool whole)
{
	gn_kv_update_t news = { whole, result->revision, result->entries,
				result->count };

	watch->revision = result->revision;
	if (whole || result->count)
		watch->options.on_update(watch->options.context, &news);
}

static void schedule_retry(gn_kv_watch_t *watch)
{
	watch->has_failed = true;
	watch->due_us = gn_clock_now_us(watch->clock) +
			gn_backoff_next_us(&watch->backoff, watch->rand);
}

/* An answer that comes late may have been made when the wait was over. */
static void note_success(gn_kv_watch_t *watch, uint64_t sent_us)
{
	uint64_t due_us = sent_us + (uint64_t)watch->wait_ms * GN_US_PER_MS;

	watch->last_answer_us = gn_clock_now_us(watch->clock);
	watch->confirmed_us = MIN(due_us, watch->last_answer_us);
	watch->was_late =
		watch->wait_ms && watch->last_answer_us > due_us + OVERDUE_US;
	watch->has_failed = false;
	watch->given_up = 0;
	watch->due_us = watch->last_answer_us +
			(uint64_t)watch->options.interval_ms * GN_US_PER_MS;
	gn_backoff_reset(&watch->backoff);
}

/* ======   Lists   ====== */

static void drop_pages(gn_kv_watch_t *watch)
{
	TALLOC_FREE(watch->listed);
	watch->listed_count = 0;
}

static gn_str_t copy_text(TALLOC_CTX *parent, gn_str_t text)
{
	return (gn_str_t){ talloc_memdup(parent, text.data, text.len),
			   text.len };
}

static void keep_page(gn_kv_watch_t *watch, const gn_kv_result_t *result)
{
	if (!watch->listed) {
		watch->listed_revision = result->revision;
		watch->listed_sent_us = result->sent_us;
	}
	watch->listed = talloc_realloc(watch, watch->listed, gn_kv_entry_t,
				       watch->listed_count + result->count + 1);
	if (!watch->listed)
		abort(); /* GLib also aborts when out of memory. */
	for (size_t i = 0; i < result->count; i++) {
		gn_kv_entry_t *entry = &watch->listed[watch->listed_count++];

		*entry = result->entries[i];
		entry->key = copy_text(watch->listed, entry->key);
		entry->value = copy_text(watch->listed, entry->value);
		entry->change_id = copy_text(watch->listed, entry->change_id);
	}
}

/*
 * Delivers all pages as of the first one. What later pages have read of later
 * changes, the watch delivers again.
 */
static void deliver_pages(gn_kv_watch_t *watch)
{
	const gn_kv_result_t whole = { .revision = watch->listed_revision,
				       .entries = watch->listed,
				       .count = watch->listed_count };

	deliver(watch, &whole, true);
	drop_pages(watch);
}

static void on_list(void *context, const gn_kv_result_t *result)
{
	gn_kv_watch_t *watch = context;

	watch->call = 0;
	if (result->code != GN_OK || result->revision < watch->revision) {
		drop_pages(watch);
		schedule_retry(watch);
		return;
	}
	keep_page(watch, result);
	if (result->more && gn_kv_last_key(result).len) {
		watch->call = gn_kv_list_after(
			watch->kv, gn_str_from(watch->prefix),
			gn_kv_last_key(result), on_list, watch);
		return;
	}
	note_success(watch, watch->listed_sent_us);
	watch->is_listed = true;
	deliver_pages(watch);
}

/* ======   Changes   ====== */

static void on_changes(void *context, const gn_kv_result_t *result)
{
	gn_kv_watch_t *watch = context;

	watch->call = 0;
	if (result->code == GN_ERR_STALE)
		watch->is_listed = false;
	if (result->code != GN_OK || result->revision < watch->revision) {
		schedule_retry(watch);
		return;
	}
	note_success(watch, result->sent_us);
	deliver(watch, result, false);
}

static void give_up_overdue_call(gn_kv_watch_t *watch)
{
	uint64_t due_us =
		watch->called_us + (uint64_t)watch->wait_ms * GN_US_PER_MS;

	if (!watch->call || !watch->confirms_soon ||
	    gn_clock_now_us(watch->clock) <
		    due_us + (OVERDUE_US << watch->given_up))
		return;
	gn_kv_cancel(watch->kv, watch->call);
	watch->call = 0;
	drop_pages(watch);
	watch->has_failed = true;
	watch->given_up = MIN(watch->given_up + 1, OVERDUE_DOUBLINGS_MAX);
	watch->due_us = 0;
}

/* Whether the keys have to be confirmed at once. */
static bool is_confirmation_urgent(const gn_kv_watch_t *watch)
{
	return watch->confirms_soon && (watch->has_failed || watch->was_late);
}

void gn_kv_watch_tick(gn_kv_watch_t *watch)
{
	gn_str_t prefix = gn_str_from(watch->prefix);

	give_up_overdue_call(watch);
	if (watch->call || gn_clock_now_us(watch->clock) < watch->due_us)
		return;
	watch->called_us = gn_clock_now_us(watch->clock);
	watch->wait_ms = watch->options.wait_ms;
	if (!watch->is_listed || is_confirmation_urgent(watch))
		watch->wait_ms = 0;
	if (watch->is_listed)
		watch->call = gn_kv_watch(watch->kv, prefix, watch->revision,
					  watch->wait_ms, on_changes, watch);
	else
		watch->call = gn_kv_list(watch->kv, prefix, on_list, watch);
}

uint64_t gn_kv_watch_revision(const gn_kv_watch_t *watch)
{
	return watch->revision;
}

uint64_t gn_kv_watch_confirmed_us(const gn_kv_watch_t *watch)
{
	return watch->confirmed_us;
}

uint64_t gn_kv_watch_last_answer_us(const gn_kv_watch_t *watch)
{
	return watch->last_answer_us;
}
