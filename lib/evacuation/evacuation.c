#include "evacuation/evacuation.h"

#include <jansson.h>
#include <string.h>

#include "common/str.h"

struct gn_evacuations_s {
	char *prefix;
	GPtrArray *rows; /* Of row_t, sorted by name. */
	bool is_known; /* A snapshot was read. */
	uint64_t revision;
	uint64_t confirmed_us; /* 0: never. */
};

/* The public part comes first. */
typedef struct row_s {
	gn_evacuation_t evacuation;
	char name[GN_NAME_MAX + 1];
} row_t;

static int free_set(gn_evacuations_t *set)
{
	g_ptr_array_unref(set->rows);
	return 0;
}

gn_evacuations_t *gn_evacuations_create(TALLOC_CTX *parent, const char *prefix)
{
	gn_evacuations_t *set = talloc_zero(parent, gn_evacuations_t);

	if (!set)
		return NULL;
	set->prefix = talloc_strdup(set, prefix);
	if (!set->prefix) {
		talloc_free(set);
		return NULL;
	}
	set->rows = g_ptr_array_new_with_free_func(g_free);
	talloc_set_destructor(set, free_set);
	return set;
}

/* ======   Rows   ====== */

static row_t *get_row(const gn_evacuations_t *set, size_t index)
{
	return g_ptr_array_index(set->rows, index);
}

static row_t *find_row(const gn_evacuations_t *set, const char *name)
{
	for (guint i = 0; i < set->rows->len; i++)
		if (!strcmp(get_row(set, i)->name, name))
			return get_row(set, i);
	return NULL;
}

static gint compare_rows(gconstpointer a, gconstpointer b)
{
	const row_t *first = *(const row_t *const *)a;
	const row_t *second = *(const row_t *const *)b;

	return strcmp(first->name, second->name);
}

static row_t *add_row(gn_evacuations_t *set, const char *name)
{
	row_t *row = g_new0(row_t, 1);

	g_strlcpy(row->name, name, sizeof(row->name));
	row->evacuation.data_centre = row->name;
	g_ptr_array_add(set->rows, row);
	g_ptr_array_sort(set->rows, compare_rows);
	return row;
}

/* ======   Keys and values   ====== */

/* Returns NULL and sets @p why if the rest of the key is not a name. */
static const char *read_name(gn_str_t rest, char name[GN_NAME_MAX + 1],
			     const char **why)
{
	if (!rest.len) {
		*why = "the key names no data centre";
		return NULL;
	}
	if (gn_str_copy(name, GN_NAME_MAX + 1, rest)) {
		*why = "the name in the key is too long";
		return NULL;
	}
	for (size_t i = 0; i < rest.len; i++)
		if (!g_ascii_isalnum(name[i]) && !strchr("._-", name[i])) {
			*why = "the key has further parts after the name";
			return NULL;
		}
	return name;
}

/* Returns what is wrong with a value, or NULL. */
static const char *find_fault(gn_str_t value)
{
	json_t *document = json_loadb(value.data, value.len, 0, NULL);
	const char *fault = NULL;

	if (!document)
		fault = "its value is not a JSON document";
	else if (!json_is_object(document))
		fault = "its value is not an object";
	else if (json_object_size(document))
		fault = "its value is not empty; it may be of a later version";
	json_decref(document);
	return fault;
}

/* ======   Updates   ====== */

static bool remove_evacuation(gn_evacuations_t *set, const char *name,
			      uint64_t revision)
{
	row_t *row = find_row(set, name);

	if (!row || revision < row->evacuation.revision)
		return false;
	g_ptr_array_remove(set->rows, row);
	return true;
}

static bool set_evacuation(gn_evacuations_t *set, const char *name,
			   const gn_kv_entry_t *entry)
{
	row_t *row = find_row(set, name);
	bool is_new = !row;

	if (is_new)
		row = add_row(set, name);
	else if (entry->revision <= row->evacuation.revision)
		return false;
	row->evacuation.revision = entry->revision;
	row->evacuation.fault = find_fault(entry->value);
	return is_new;
}

static bool apply_entry(gn_evacuations_t *set, const gn_kv_entry_t *entry,
			GHashTable *listed, gn_evacuations_ignore_fn_t ignore,
			void *arg)
{
	size_t skip = strlen(set->prefix);
	char name[GN_NAME_MAX + 1];
	const char *why = NULL;

	if (entry->key.len < skip ||
	    memcmp(entry->key.data, set->prefix, skip) != 0)
		return false;
	if (!read_name(
		    (gn_str_t){ entry->key.data + skip, entry->key.len - skip },
		    name, &why)) {
		if (ignore && !entry->deleted)
			ignore(arg, entry->key, why);
		return false;
	}
	if (entry->deleted)
		return remove_evacuation(set, name, entry->revision);
	g_hash_table_add(listed, g_strdup(name));
	return set_evacuation(set, name, entry);
}

/* Removes what a snapshot no longer has. */
static bool keep_listed(gn_evacuations_t *set, GHashTable *listed)
{
	guint before = set->rows->len;

	for (guint i = before; i > 0; i--)
		if (!g_hash_table_contains(listed, get_row(set, i - 1)->name))
			g_ptr_array_remove_index(set->rows, i - 1);
	return set->rows->len != before;
}

bool gn_evacuations_update(gn_evacuations_t *set, const gn_kv_update_t *update,
			   gn_evacuations_ignore_fn_t ignore, void *arg)
{
	GHashTable *listed;
	bool changed = false;

	if (update->revision < set->revision ||
	    (!set->is_known && !update->is_snapshot))
		return false;
	listed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (size_t i = 0; i < update->count; i++)
		changed |= apply_entry(set, &update->entries[i], listed, ignore,
				       arg);
	if (update->is_snapshot)
		changed |= keep_listed(set, listed);
	g_hash_table_destroy(listed);
	set->revision = update->revision;
	set->is_known = true;
	return changed;
}

void gn_evacuations_confirm(gn_evacuations_t *set, uint64_t confirmed_us)
{
	set->confirmed_us = MAX(set->confirmed_us, confirmed_us);
}

/* ======   Queries   ====== */

uint64_t gn_evacuations_age_us(const gn_evacuations_t *set, uint64_t now_us)
{
	if (!set->confirmed_us)
		return UINT64_MAX;
	return now_us > set->confirmed_us ? now_us - set->confirmed_us : 0;
}

bool gn_evacuations_may_start(const gn_evacuations_t *set, uint64_t now_us)
{
	return set->is_known && gn_evacuations_age_us(set, now_us) <=
					GN_EVACUATION_MAX_AGE_MS * GN_US_PER_MS;
}

bool gn_evacuations_contain(const gn_evacuations_t *set,
			    const char *data_centre)
{
	return data_centre && find_row(set, data_centre);
}

size_t gn_evacuations_count(const gn_evacuations_t *set)
{
	return set->rows->len;
}

const gn_evacuation_t *gn_evacuations_get(const gn_evacuations_t *set,
					  size_t index)
{
	return &get_row(set, index)->evacuation;
}

uint64_t gn_evacuations_revision(const gn_evacuations_t *set)
{
	return set->revision;
}

unsigned gn_evacuation_start_max_age_ms(unsigned bound_ms,
					unsigned otherwise_ms)
{
	const unsigned reserved_ms =
		GN_EVACUATION_MAX_AGE_MS + GN_EVACUATION_CALLS_MS;

	if (!bound_ms)
		return otherwise_ms;
	if (bound_ms <= reserved_ms)
		return 0;
	return MIN(otherwise_ms, bound_ms - reserved_ms);
}
