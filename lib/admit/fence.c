#include "admit/fence.h"

#include <assert.h>
#include <glib.h>

/** State of a request's record. */
typedef enum item_state_e {
	ITEM_RUNNING = 0,
	ITEM_ENDED,
	ITEM_FENCED,
} item_state_t;

/** Record of one request. */
typedef struct item_s {
	gint64 request; /**< Request number; key of the entry's table. */
	item_state_t state;
	/** Node in the entry's queue of finished requests, unless running. */
	GList link;
} item_t;

/** Records of one entry incarnation. */
typedef struct entry_s {
	/** Entry incarnation; key of the table of entries. */
	gint64 incarnation;
	GHashTable *items; /**< Maps request numbers to records. */
	GQueue finished; /**< Ended and fenced requests, oldest first. */
	unsigned running;
	/** Highest ended request whose record was dropped; 0: none. */
	uint64_t dropped_started;
	/** Highest fenced request whose record was dropped; 0: none. */
	uint64_t dropped_fenced;
	uint64_t highest_started;
	/**
	 * True if the entry may have started requests of which neither a record
	 * nor a marker is left.
	 */
	bool has_lost_history;
} entry_t;

/** What remains of a dropped entry. */
typedef struct marker_s {
	/** Entry incarnation; key of the table of markers. */
	gint64 incarnation;
	uint64_t highest_started;
	bool has_lost_history; /**< Copy of the entry's flag. */
	GList link; /**< Node in the queue of markers. */
} marker_t;

struct gn_fence_s {
	gn_fence_config_t config;
	GHashTable *entries;
	GHashTable *markers;
	GQueue marker_queue;
	bool has_lost_marker;
	size_t size;
};

gn_fence_config_t gn_fence_defaults(void)
{
	gn_fence_config_t config = {
		.requests = 2048,
		.entries = 256,
		.markers = 16384,
	};

	return config;
}

/* ======   Markers   ====== */

static const marker_t *find_marker(const gn_fence_t *fence,
				   uint64_t incarnation)
{
	gint64 key = (gint64)incarnation;

	return g_hash_table_lookup(fence->markers, &key);
}

static void drop_marker(gn_fence_t *fence, const marker_t *found)
{
	marker_t *marker =
		g_hash_table_lookup(fence->markers, &found->incarnation);

	g_queue_unlink(&fence->marker_queue, &marker->link);
	g_hash_table_remove(fence->markers, &marker->incarnation);
	talloc_free(marker);
}

static gn_code_t add_marker(gn_fence_t *fence, const entry_t *entry)
{
	marker_t *marker = talloc_zero(fence, marker_t);

	if (!marker)
		return GN_ERR_MEMORY;
	marker->incarnation = entry->incarnation;
	marker->highest_started = entry->highest_started;
	marker->has_lost_history = entry->has_lost_history;
	marker->link.data = marker;
	g_hash_table_insert(fence->markers, &marker->incarnation, marker);
	g_queue_push_tail_link(&fence->marker_queue, &marker->link);
	if (fence->marker_queue.length > fence->config.markers) {
		drop_marker(fence, fence->marker_queue.head->data);
		fence->has_lost_marker = true;
	}
	return GN_OK;
}

/* ======   Entries   ====== */

static entry_t *find_entry(const gn_fence_t *fence, uint64_t incarnation)
{
	gint64 key = (gint64)incarnation;

	return g_hash_table_lookup(fence->entries, &key);
}

static int destroy_entry(entry_t *entry)
{
	g_hash_table_destroy(entry->items);
	return 0;
}

static gn_code_t add_entry(gn_fence_t *fence, uint64_t incarnation,
			   entry_t **added)
{
	const marker_t *marker = find_marker(fence, incarnation);
	entry_t *entry;

	if (g_hash_table_size(fence->entries) >= fence->config.entries)
		return GN_ERR_CAPACITY;
	entry = talloc_zero(fence, entry_t);
	if (!entry)
		return GN_ERR_MEMORY;
	entry->incarnation = (gint64)incarnation;
	entry->items = g_hash_table_new(g_int64_hash, g_int64_equal);
	entry->has_lost_history = !gn_fence_is_complete(fence, incarnation);
	if (marker) {
		entry->highest_started = marker->highest_started;
		entry->dropped_started = marker->highest_started;
		drop_marker(fence, marker);
	}
	talloc_set_destructor(entry, destroy_entry);
	g_hash_table_insert(fence->entries, &entry->incarnation, entry);
	*added = entry;
	return GN_OK;
}

static gn_code_t find_or_add_entry(gn_fence_t *fence, uint64_t incarnation,
				   entry_t **found)
{
	*found = find_entry(fence, incarnation);
	return *found ? GN_OK : add_entry(fence, incarnation, found);
}

/* ======   Request records   ====== */

static item_t *find_item(const entry_t *entry, uint64_t request)
{
	gint64 key = (gint64)request;

	return g_hash_table_lookup(entry->items, &key);
}

static void drop_oldest_item(gn_fence_t *fence, entry_t *entry)
{
	item_t *item = g_queue_pop_head_link(&entry->finished)->data;
	uint64_t request = (uint64_t)item->request;

	if (item->state == ITEM_ENDED)
		entry->dropped_started = MAX(entry->dropped_started, request);
	else
		entry->dropped_fenced = MAX(entry->dropped_fenced, request);
	g_hash_table_remove(entry->items, &item->request);
	talloc_free(item);
	fence->size--;
}

static void finish_item(gn_fence_t *fence, entry_t *entry, item_t *item,
			item_state_t state)
{
	assert(state != ITEM_RUNNING);
	item->state = state;
	g_queue_push_tail_link(&entry->finished, &item->link);
	if (entry->finished.length > fence->config.requests)
		drop_oldest_item(fence, entry);
}

static item_t *add_item(gn_fence_t *fence, entry_t *entry, uint64_t request)
{
	item_t *item = talloc_zero(entry, item_t);

	if (!item)
		return NULL;
	item->request = (gint64)request;
	item->link.data = item;
	g_hash_table_insert(entry->items, &item->request, item);
	fence->size++;
	return item;
}

/* ======   Commands   ====== */

gn_code_t gn_fence_start(gn_fence_t *fence, uint64_t incarnation,
			 uint64_t request)
{
	entry_t *entry;
	item_t *item;
	gn_code_t code = find_or_add_entry(fence, incarnation, &entry);

	if (code != GN_OK)
		return code;
	assert(gn_fence_check(fence, incarnation, request) == GN_FENCE_NEW);
	item = add_item(fence, entry, request);
	if (!item)
		return GN_ERR_MEMORY;
	item->state = ITEM_RUNNING;
	entry->running++;
	entry->highest_started = MAX(entry->highest_started, request);
	return GN_OK;
}

void gn_fence_end(gn_fence_t *fence, uint64_t incarnation, uint64_t request)
{
	entry_t *entry = find_entry(fence, incarnation);
	item_t *item = entry ? find_item(entry, request) : NULL;

	assert(item && item->state == ITEM_RUNNING);
	entry->running--;
	finish_item(fence, entry, item, ITEM_ENDED);
}

bool gn_fence_cancel(gn_fence_t *fence, uint64_t incarnation, uint64_t request)
{
	entry_t *entry;
	item_t *item;

	if (find_or_add_entry(fence, incarnation, &entry) != GN_OK)
		return false;
	item = find_item(entry, request);
	if (item)
		return item->state == ITEM_FENCED;
	if (entry->has_lost_history || request <= entry->dropped_started)
		return false;
	item = add_item(fence, entry, request);
	if (!item)
		return false;
	finish_item(fence, entry, item, ITEM_FENCED);
	return true;
}

gn_code_t gn_fence_forget(gn_fence_t *fence, uint64_t incarnation)
{
	entry_t *entry = find_entry(fence, incarnation);
	gn_code_t code;

	if (!entry)
		return GN_ERR_NOT_FOUND;
	if (entry->running)
		return GN_ERR_CONFLICT;
	code = add_marker(fence, entry);
	if (code != GN_OK)
		return code;
	fence->size -= g_hash_table_size(entry->items);
	g_hash_table_remove(fence->entries, &entry->incarnation);
	talloc_free(entry);
	return GN_OK;
}

/* ======   Queries   ====== */

static gn_fence_result_t check_marker(const gn_fence_t *fence,
				      uint64_t incarnation, uint64_t request)
{
	const marker_t *marker = find_marker(fence, incarnation);

	if (marker && request <= marker->highest_started)
		return GN_FENCE_FORGOTTEN;
	return GN_FENCE_NEW;
}

gn_fence_result_t gn_fence_check(const gn_fence_t *fence, uint64_t incarnation,
				 uint64_t request)
{
	const entry_t *entry = find_entry(fence, incarnation);
	const item_t *item;

	if (!entry)
		return check_marker(fence, incarnation, request);
	item = find_item(entry, request);
	if (item)
		return item->state == ITEM_FENCED ? GN_FENCE_FENCED
						  : GN_FENCE_DUPLICATE;
	if (request <= entry->dropped_started)
		return GN_FENCE_FORGOTTEN;
	return request <= entry->dropped_fenced ? GN_FENCE_FENCED
						: GN_FENCE_NEW;
}

bool gn_fence_is_complete(const gn_fence_t *fence, uint64_t incarnation)
{
	const entry_t *entry = find_entry(fence, incarnation);
	const marker_t *marker = find_marker(fence, incarnation);

	if (entry)
		return !entry->has_lost_history;
	return marker ? !marker->has_lost_history : !fence->has_lost_marker;
}

size_t gn_fence_size(const gn_fence_t *fence)
{
	return fence->size;
}

/* ======   Creation   ====== */

static int destroy_fence(gn_fence_t *fence)
{
	g_hash_table_destroy(fence->entries);
	g_hash_table_destroy(fence->markers);
	return 0;
}

gn_fence_t *gn_fence_create(TALLOC_CTX *parent, const gn_fence_config_t *config)
{
	gn_fence_t *fence;

	if (config->requests < 16 || config->requests > 1048576)
		return NULL;
	if (config->entries < 2 || config->entries > 4096)
		return NULL;
	if (config->markers < 2 || config->markers > 1048576)
		return NULL;
	fence = talloc_zero(parent, gn_fence_t);
	if (!fence)
		return NULL;
	fence->config = *config;
	fence->entries = g_hash_table_new(g_int64_hash, g_int64_equal);
	fence->markers = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&fence->marker_queue);
	talloc_set_destructor(fence, destroy_fence);
	return fence;
}
