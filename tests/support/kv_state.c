#include "support/kv_state.h"

#include <string.h>

/** Most deletions kept before kv_state_compact() is called. */
#define TOMBSTONES_MAX 4096

typedef struct lease_s {
	uint64_t id;
	uint64_t ttl_us;
	uint64_t expires_us;
} lease_t;

struct kv_state_s {
	GTree *items; /* Maps a key to its newest kv_item_t. */
	GHashTable *leases; /* Maps an id to its lease_t. */
	uint64_t revision;
	uint64_t compacted; /* Deletions up to this revision were removed. */
	uint64_t last_lease;
	size_t tombstones;
	bool leases_frozen;
};

static void clear_item(gpointer data)
{
	kv_item_t *item = data;

	if (item->older)
		g_rc_box_release_full(item->older, clear_item);
	g_free(item->key);
	g_bytes_unref(item->value);
	g_free(item->change);
}

static void release_item(gpointer data)
{
	g_rc_box_release_full(data, clear_item);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer unused)
{
	(void)unused;
	return strcmp(a, b);
}

kv_state_t *kv_state_create(void)
{
	kv_state_t *state = g_new0(kv_state_t, 1);

	state->items = g_tree_new_full(compare_keys, NULL, NULL, release_item);
	state->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	return state;
}

void kv_state_free(kv_state_t *state)
{
	g_tree_unref(state->items);
	g_hash_table_unref(state->leases);
	g_free(state);
}

void kv_answer_init(kv_answer_t *answer)
{
	memset(answer, 0, sizeof(*answer));
	answer->items = g_ptr_array_new_with_free_func(release_item);
}

void kv_answer_clear(kv_answer_t *answer)
{
	g_ptr_array_unref(answer->items);
	answer->items = NULL;
}

static void add_item(kv_answer_t *answer, kv_item_t *item)
{
	g_ptr_array_add(answer->items, g_rc_box_acquire(item));
}

static void finish(const kv_state_t *state, kv_answer_t *answer, gn_code_t code)
{
	answer->code = code;
	answer->revision = state->revision;
}

/* ======   Reads   ====== */

uint64_t kv_state_revision(const kv_state_t *state)
{
	return state->revision;
}

static uint64_t get_past_revision(const kv_state_t *state, unsigned back)
{
	g_assert(back <= KV_STATE_DEPTH);
	return state->revision > back ? state->revision - back : 0;
}

static kv_item_t *find_version(kv_item_t *item, uint64_t revision)
{
	while (item && item->revision > revision)
		item = item->older;
	return item && !item->deleted ? item : NULL;
}

static kv_item_t *find_present(kv_state_t *state, const char *key)
{
	return find_version(g_tree_lookup(state->items, key), state->revision);
}

const kv_item_t *kv_state_find(kv_state_t *state, const char *key)
{
	return find_present(state, key);
}

gn_str_t kv_item_value(const kv_item_t *item)
{
	gn_str_t value;

	value.data = g_bytes_get_data(item->value, &value.len);
	return value;
}

void kv_state_get(kv_state_t *state, const char *key, unsigned back,
		  kv_answer_t *answer)
{
	uint64_t revision = get_past_revision(state, back);
	kv_item_t *item =
		find_version(g_tree_lookup(state->items, key), revision);

	answer->code = item ? GN_OK : GN_ERR_NOT_FOUND;
	answer->revision = revision;
	if (item)
		add_item(answer, item);
}

void kv_state_list(kv_state_t *state, const char *prefix, unsigned back,
		   kv_answer_t *answer)
{
	uint64_t revision = get_past_revision(state, back);
	GTreeNode *node = g_tree_lower_bound(state->items, prefix);

	for (; node; node = g_tree_node_next(node)) {
		kv_item_t *item;

		if (!g_str_has_prefix(g_tree_node_key(node), prefix))
			break;
		item = find_version(g_tree_node_value(node), revision);
		if (item)
			add_item(answer, item);
	}
	answer->code = GN_OK;
	answer->revision = revision;
}

void kv_state_watch(kv_state_t *state, const char *prefix, uint64_t from,
		    kv_answer_t *answer)
{
	GTreeNode *node;

	finish(state, answer, GN_OK);
	if (from < state->compacted) {
		answer->code = GN_ERR_STALE;
		return;
	}
	if (from >= state->revision)
		return;
	node = g_tree_lower_bound(state->items, prefix);
	for (; node; node = g_tree_node_next(node)) {
		kv_item_t *item = g_tree_node_value(node);

		if (!g_str_has_prefix(g_tree_node_key(node), prefix))
			break;
		if (item->revision > from)
			add_item(answer, item);
	}
}

/* ======   Writes   ====== */

/* Frees the versions of @p item that no stale read can reach. */
static void trim_versions(kv_item_t *item)
{
	for (int i = 0; i < KV_STATE_DEPTH && item; i++)
		item = item->older;
	if (item && item->older) {
		release_item(item->older);
		item->older = NULL;
	}
}

static kv_item_t *write_item(kv_state_t *state, const char *key)
{
	kv_item_t *older = g_tree_lookup(state->items, key);
	kv_item_t *item = g_rc_box_new0(kv_item_t);

	item->older = older ? g_rc_box_acquire(older) : NULL;
	item->key = g_strdup(key);
	item->revision = ++state->revision;
	g_tree_replace(state->items, item->key, item);
	trim_versions(item);
	return item;
}

static void delete_item(kv_state_t *state, const char *key)
{
	kv_item_t *item = write_item(state, key);

	item->value = g_bytes_new(NULL, 0);
	item->change = g_strdup("");
	item->deleted = true;
	if (++state->tombstones > TOMBSTONES_MAX)
		kv_state_compact(state);
}

void kv_state_put(kv_state_t *state, uint64_t now_us, const gn_kv_put_t *put,
		  kv_answer_t *answer)
{
	g_autofree char *key = g_strndup(put->key.data, put->key.len);
	gn_code_t code = gn_kv_check_put(put);
	kv_item_t *item;

	kv_state_expire(state, now_us);
	if (code != GN_OK) {
		finish(state, answer, code);
		return;
	}
	item = find_present(state, key);
	if ((item ? item->revision : GN_KV_ABSENT) != put->expected) {
		if (item)
			add_item(answer, item);
		finish(state, answer, GN_ERR_CONFLICT);
		return;
	}
	if (put->lease && !g_hash_table_contains(state->leases, &put->lease)) {
		finish(state, answer, GN_ERR_NOT_FOUND);
		return;
	}
	item = write_item(state, key);
	item->value = g_bytes_new(put->value.data, put->value.len);
	item->change = g_strndup(put->change_id.data, put->change_id.len);
	item->lease = put->lease;
	finish(state, answer, GN_OK);
}

void kv_state_remove(kv_state_t *state, const char *key, uint64_t expected,
		     kv_answer_t *answer)
{
	kv_item_t *item = find_present(state, key);

	if (!item || item->revision != expected) {
		if (item)
			add_item(answer, item);
		finish(state, answer, GN_ERR_CONFLICT);
		return;
	}
	delete_item(state, key);
	finish(state, answer, GN_OK);
}

static kv_item_t *find_by_key(kv_state_t *state, gn_str_t key)
{
	g_autofree char *text = g_strndup(key.data, key.len);

	return find_present(state, text);
}

static gn_code_t check_txn(kv_state_t *state, const gn_kv_txn_t *txn,
			   kv_answer_t *answer)
{
	gn_code_t code = GN_OK;

	for (size_t i = 0; i < txn->expect_count; i++) {
		kv_item_t *item = find_by_key(state, txn->expects[i].key);

		if (item)
			add_item(answer, item);
		if ((item ? item->revision : GN_KV_ABSENT) !=
		    txn->expects[i].revision)
			code = GN_ERR_CONFLICT;
	}
	if (code == GN_OK)
		g_ptr_array_set_size(answer->items, 0);
	for (size_t i = 0; code == GN_OK && i < txn->put_count; i++)
		if (txn->puts[i].lease &&
		    !g_hash_table_contains(state->leases, &txn->puts[i].lease))
			code = GN_ERR_NOT_FOUND;
	return code;
}

static void apply_put(kv_state_t *state, const gn_kv_put_t *put,
		      uint64_t revision)
{
	g_autofree char *key = g_strndup(put->key.data, put->key.len);
	kv_item_t *item = write_item(state, key);

	item->value = g_bytes_new(put->value.data, put->value.len);
	item->change = g_strdup("");
	item->lease = put->lease;
	item->revision = revision;
	state->revision = revision;
}

void kv_state_txn(kv_state_t *state, uint64_t now_us, const gn_kv_txn_t *txn,
		  kv_answer_t *answer)
{
	uint64_t revision;
	gn_code_t code;

	kv_state_expire(state, now_us);
	code = check_txn(state, txn, answer);
	revision = state->revision + 1;
	for (size_t i = 0; code == GN_OK && i < txn->put_count; i++)
		apply_put(state, &txn->puts[i], revision);
	for (size_t i = 0; code == GN_OK && i < txn->remove_count; i++) {
		g_autofree char *key =
			g_strndup(txn->removes[i].data, txn->removes[i].len);

		if (!find_present(state, key))
			continue;
		delete_item(state, key);
		state->revision = revision;
	}
	finish(state, answer, code);
}

void kv_state_grant(kv_state_t *state, uint64_t now_us, uint32_t ttl_ms,
		    kv_answer_t *answer)
{
	lease_t *lease;

	if (ttl_ms < GN_KV_TTL_MIN_MS || ttl_ms > GN_KV_TTL_MAX_MS) {
		finish(state, answer, GN_ERR_RANGE);
		return;
	}
	lease = g_new0(lease_t, 1);
	lease->id = ++state->last_lease;
	lease->ttl_us = (uint64_t)ttl_ms * GN_US_PER_MS;
	lease->expires_us = now_us + lease->ttl_us;
	g_hash_table_insert(state->leases, &lease->id, lease);
	answer->lease = lease->id;
	finish(state, answer, GN_OK);
}

void kv_state_renew(kv_state_t *state, uint64_t now_us, uint64_t id,
		    kv_answer_t *answer)
{
	lease_t *lease;

	kv_state_expire(state, now_us);
	lease = g_hash_table_lookup(state->leases, &id);
	if (lease)
		lease->expires_us = now_us + lease->ttl_us;
	finish(state, answer, lease ? GN_OK : GN_ERR_NOT_FOUND);
}

static void delete_keys_of_lease(kv_state_t *state, uint64_t lease)
{
	g_autoptr(GPtrArray) keys = g_ptr_array_new_with_free_func(g_free);

	for (GTreeNode *node = g_tree_node_first(state->items); node;
	     node = g_tree_node_next(node)) {
		kv_item_t *item = g_tree_node_value(node);

		if (!item->deleted && item->lease == lease)
			g_ptr_array_add(keys, g_strdup(item->key));
	}
	for (guint i = 0; i < keys->len; i++)
		delete_item(state, g_ptr_array_index(keys, i));
}

void kv_state_revoke(kv_state_t *state, uint64_t lease, kv_answer_t *answer)
{
	if (!g_hash_table_remove(state->leases, &lease)) {
		finish(state, answer, GN_ERR_NOT_FOUND);
		return;
	}
	delete_keys_of_lease(state, lease);
	finish(state, answer, GN_OK);
}

void kv_state_expire(kv_state_t *state, uint64_t now_us)
{
	g_autoptr(GArray) expired = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer value;

	if (state->leases_frozen)
		return;
	g_hash_table_iter_init(&iter, state->leases);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		lease_t *lease = value;

		if (lease->expires_us > now_us)
			continue;
		g_array_append_val(expired, lease->id);
		g_hash_table_iter_remove(&iter);
	}
	for (guint i = 0; i < expired->len; i++)
		delete_keys_of_lease(state,
				     g_array_index(expired, uint64_t, i));
}

void kv_state_freeze_leases(kv_state_t *state, bool frozen)
{
	state->leases_frozen = frozen;
}

void kv_state_compact(kv_state_t *state)
{
	g_autoptr(GPtrArray) keys = g_ptr_array_new_with_free_func(g_free);

	for (GTreeNode *node = g_tree_node_first(state->items); node;
	     node = g_tree_node_next(node)) {
		kv_item_t *item = g_tree_node_value(node);

		if (item->deleted)
			g_ptr_array_add(keys, g_strdup(item->key));
	}
	for (guint i = 0; i < keys->len; i++)
		g_tree_remove(state->items, g_ptr_array_index(keys, i));
	state->compacted = state->revision;
	state->tombstones = 0;
}
