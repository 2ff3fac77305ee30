#include "config/store.h"

#include <stdlib.h>

#include "common/log.h"
#include "common/str.h"
#include "config/store_internal.h"

#define STEP "configuration"
/** Minimum time between two watch calls, in milliseconds. */
#define WATCH_INTERVAL_MS 200

/* ======   Adoption   ====== */

static bool is_newer(const gn_store_t *store, const gn_config_doc_t *doc)
{
	return !store->current || doc->revision > store->current->revision ||
	       store->mutant == GN_STORE_MUTANT_ADOPT_OLDER;
}

void gn_store_adopt(gn_store_t *store, const gn_config_doc_t *doc)
{
	gn_config_doc_t *copy;

	if (!is_newer(store, doc))
		return;
	copy = gn_config_doc_copy(store, doc);
	if (!copy)
		return;
	talloc_free(store->current);
	store->current = copy;
	if (store->options.on_adopt)
		store->options.on_adopt(store->options.context, copy);
}

static void adopt_entry(gn_store_t *store, const gn_kv_entry_t *entry)
{
	gn_config_doc_t *doc;

	if (entry->deleted || !gn_str_equal(entry->key, GN_STR(GN_STORE_KEY)))
		return;
	if (gn_config_doc_decode(store, entry->value, &doc) != GN_OK) {
		gn_log(LOG_ERR, STEP, NULL,
		       "malformed document at key %s is ignored", GN_STORE_KEY);
		return;
	}
	gn_store_adopt(store, doc);
	talloc_free(doc);
}

static void handle_watch(void *context, const gn_kv_update_t *news)
{
	for (size_t i = 0; i < news->count; i++)
		adopt_entry(context, &news->entries[i]);
}

gn_code_t gn_store_offer(gn_store_t *store, const gn_config_doc_t *doc,
			 gn_error_t *error)
{
	const gn_store_options_t *options = &store->options;
	gn_code_t code;

	if (!is_newer(store, doc))
		return gn_error_set(
			error, GN_ERR_STALE, STEP, NULL,
			"revision is not newer than the current one");
	code = options->check(options->context, doc, error);
	if (code)
		return code;
	gn_store_adopt(store, doc);
	return GN_OK;
}

/* ======   Changes   ====== */

static gn_code_t check_change(const gn_store_t *store,
			      const gn_store_change_t *change)
{
	if (!change->id.len || change->part >= GN_CONFIG_PART_COUNT ||
	    !gn_kv_is_key_text(change->id, GN_KV_CHANGE_MAX))
		return GN_ERR_INVALID;
	if (store->queue.length >= GN_STORE_QUEUE_MAX)
		return GN_ERR_CAPACITY;
	return GN_OK;
}

void gn_store_change(gn_store_t *store, const gn_store_change_t *change,
		     gn_store_done_t done, void *context)
{
	gn_store_work_t *work =
		gn_store_work_create(store, change, done, context);

	/* Abort as GLib does, which allocates the memory of the queue. */
	if (!work)
		abort();
	if (check_change(store, change) == GN_OK)
		g_queue_push_tail(&store->queue, work);
	else
		g_queue_push_tail(&store->rejected, work);
}

static void report_rejected(gn_store_t *store)
{
	while (store->rejected.length) {
		gn_store_work_t *work = g_queue_peek_head(&store->rejected);
		gn_code_t code = check_change(store, &work->change);

		gn_store_work_reject(work, code == GN_ERR_INVALID
						   ? GN_ERR_INVALID
						   : GN_ERR_CAPACITY);
	}
}

void gn_store_tick(gn_store_t *store)
{
	gn_store_work_t *work;

	gn_kv_watch_tick(store->watch);
	report_rejected(store);
	/* When a change ends, the next one starts in the same call. */
	do {
		work = g_queue_peek_head(&store->queue);
		if (work)
			gn_store_work_tick(work);
	} while (work && work != g_queue_peek_head(&store->queue));
}

/* ======   Queries   ====== */

const gn_config_doc_t *gn_store_current(const gn_store_t *store)
{
	return store->current;
}

uint64_t gn_store_last_response_us(const gn_store_t *store)
{
	return gn_kv_watch_last_answer_us(store->watch);
}

/** A pending query for the result of a change. */
typedef struct question_s {
	gn_store_t *store;
	gn_kv_call_t call;
	gn_str_t id;
	gn_store_done_t done;
	void *context;
} question_t;

static int cancel_question(question_t *question)
{
	gn_kv_cancel(question->store->options.kv, question->call);
	return 0;
}

static gn_code_t find_change(const question_t *question, gn_str_t value,
			     uint64_t *revision)
{
	const gn_config_change_t *change;
	gn_config_doc_t *doc;
	gn_code_t code = gn_config_doc_decode(question->store, value, &doc);

	if (code != GN_OK)
		return code;
	change = gn_config_doc_find(doc, question->id);
	*revision = change ? change->revision : doc->revision;
	talloc_free(doc);
	return change ? GN_OK : GN_ERR_NOT_FOUND;
}

static void handle_question_read(void *context, const gn_kv_result_t *read)
{
	question_t *question = context;
	gn_store_result_t result = { read->code, 0, question->id, read->error };

	question->call = 0;
	if (read->code == GN_OK)
		result.code = find_change(question, read->entries[0].value,
					  &result.revision);
	question->done(question->context, &result);
	talloc_free(question);
}

void gn_store_query_change(gn_store_t *store, gn_str_t id, gn_store_done_t done,
			   void *context)
{
	question_t *question = talloc_zero(store, question_t);

	/* Abort as GLib does, which allocates the memory of the queue. */
	if (!question)
		abort();
	question->store = store;
	question->done = done;
	question->context = context;
	question->id.data = talloc_strndup(question, id.data, id.len);
	question->id.len = id.len;
	question->call = gn_kv_get(store->options.kv, GN_STR(GN_STORE_KEY),
				   handle_question_read, question);
	talloc_set_destructor(question, cancel_question);
}

/* ======   Creation and destruction   ====== */

static int free_store(gn_store_t *store)
{
	gn_kv_watch_free(store->watch);
	g_queue_clear(&store->queue);
	g_queue_clear(&store->rejected);
	return 0;
}

gn_store_t *gn_store_create(TALLOC_CTX *parent,
			    const gn_store_options_t *options)
{
	gn_kv_watch_options_t watch = { GN_STORE_KEY, GN_STORE_WATCH_WAIT_MS,
					WATCH_INTERVAL_MS, handle_watch, NULL };
	gn_store_t *store;

	if (options->timeout_ms < GN_STORE_TIMEOUT_MIN_MS ||
	    options->timeout_ms > GN_STORE_TIMEOUT_MAX_MS)
		return NULL;
	store = talloc_zero(parent, gn_store_t);
	if (!store)
		return NULL;
	store->options = *options;
	watch.context = store;
	g_queue_init(&store->queue);
	g_queue_init(&store->rejected);
	store->watch = gn_kv_watch_create(NULL, options->kv, options->clock,
					  options->rand, &watch);
	if (!store->watch) {
		talloc_free(store);
		return NULL;
	}
	talloc_set_destructor(store, free_store);
	return store;
}

void gn_store_free(gn_store_t *store)
{
	talloc_free(store);
}

void gn_store_set_mutant(gn_store_t *store, gn_store_mutant_t mutant)
{
	store->mutant = mutant;
}
