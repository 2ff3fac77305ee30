/**
 * @file record_view.c
 * @brief View of the watched keys, and the document that should replace it.
 */
#include "common/log.h"
#include "common/str.h"
#include "member/record_internal.h"

#define STEP "member-record"

/* ======   Updates   ====== */

static void remove_live(gn_record_view_t *view, uint64_t incarnation)
{
	const gn_record_live_t *live = gn_record_view_live(view, incarnation);

	if (!live)
		return;
	if (gn_record_doc_find(&view->doc, incarnation) <
	    view->doc.member_count)
		g_hash_table_insert(
			view->last_acked,
			g_memdup2(&incarnation, sizeof(incarnation)),
			g_memdup2(&live->acked, sizeof(live->acked)));
	g_hash_table_remove(view->live, &incarnation);
}

static void set_live(gn_record_view_t *view, uint64_t incarnation,
		     const gn_kv_entry_t *entry)
{
	gn_record_live_t *live = g_new0(gn_record_live_t, 1);

	live->incarnation = incarnation;
	live->key_revision = entry->revision;
	if (gn_record_live_decode(entry->value, live)) {
		g_hash_table_replace(view->live, &live->incarnation, live);
		return;
	}
	gn_log(LOG_ERR, STEP, NULL,
	       "the value of a liveness key is malformed; ignored");
	g_free(live);
}

static void set_doc(gn_record_view_t *view, const gn_kv_entry_t *entry)
{
	gn_record_doc_t *doc = g_new0(gn_record_doc_t, 1);

	if (entry->deleted)
		gn_log(LOG_ERR, STEP, NULL,
		       "key \"" GN_RECORD_KEY
		       "\" was deleted; using the last record");
	else if (gn_record_doc_decode(entry->value, doc) != GN_OK)
		gn_log(LOG_ERR, STEP, NULL,
		       "key \"" GN_RECORD_KEY
		       "\" is malformed; using the last record");
	else if (doc->revision < view->doc.revision)
		gn_log(LOG_ERR, STEP, NULL,
		       "the revision of the member record decreased; "
		       "using the last record");
	else {
		view->doc = *doc;
		view->key_revision = entry->revision;
	}
	g_free(doc);
}

static gboolean is_not_member(gpointer key, gpointer value, gpointer data)
{
	const gn_record_view_t *view = data;

	(void)value;
	return gn_record_doc_find(&view->doc, *(const uint64_t *)key) ==
	       view->doc.member_count;
}

/* A complete listing contains all keys; any other key no longer exists. */
static void remove_all_live(gn_record_view_t *view)
{
	GList *keys = g_hash_table_get_keys(view->live);

	for (GList *key = keys; key; key = key->next)
		remove_live(view, *(const uint64_t *)key->data);
	g_list_free(keys);
}

void gn_record_view_update(gn_record_view_t *view, const gn_kv_update_t *news)
{
	if (news->is_snapshot)
		remove_all_live(view);
	for (size_t i = 0; i < news->count; i++) {
		const gn_kv_entry_t *entry = &news->entries[i];
		uint64_t incarnation = gn_record_live_parse_key(entry->key);

		if (incarnation && entry->deleted)
			remove_live(view, incarnation);
		else if (incarnation)
			set_live(view, incarnation, entry);
		else if (gn_str_equal(entry->key, GN_STR(GN_RECORD_KEY)))
			set_doc(view, entry);
	}
	g_hash_table_foreach_remove(view->last_acked, is_not_member, view);
	view->is_known = true;
}

/* ======   Queries   ====== */

const gn_record_live_t *gn_record_view_live(const gn_record_view_t *view,
					    uint64_t incarnation)
{
	return g_hash_table_lookup(view->live, &incarnation);
}

uint64_t gn_record_view_acked(const gn_record_view_t *view,
			      uint64_t incarnation)
{
	uint64_t acked = gn_record_doc_acked(&view->doc, incarnation);
	const gn_record_live_t *live = gn_record_view_live(view, incarnation);
	const uint64_t *last =
		g_hash_table_lookup(view->last_acked, &incarnation);

	if (live)
		acked = MAX(acked, live->acked);
	if (last)
		acked = MAX(acked, *last);
	return acked;
}

static bool is_member(const gn_record_view_t *view, uint64_t incarnation)
{
	return gn_record_doc_find(&view->doc, incarnation) <
	       view->doc.member_count;
}

/* Members take their turns first; otherwise the lower incarnation does. */
static bool precedes(const gn_record_view_t *view, uint64_t first,
		     uint64_t second)
{
	bool first_is_member = is_member(view, first);

	if (first_is_member != is_member(view, second))
		return first_is_member;
	return first < second;
}

size_t gn_record_view_rank(const gn_record_view_t *view, uint64_t incarnation)
{
	GHashTableIter iter;
	gpointer key;
	size_t rank = 0;

	g_hash_table_iter_init(&iter, view->live);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		rank += precedes(view, *(const uint64_t *)key, incarnation);
	return rank;
}

/* ======   Proposals   ====== */

static bool remove_not_live(const gn_record_t *record, gn_record_doc_t *doc)
{
	bool has_changed = false;

	for (size_t i = doc->member_count; i-- > 0;) {
		uint64_t incarnation = doc->members[i].incarnation;
		bool is_live =
			gn_record_view_live(&record->view, incarnation) != NULL;

		if (record->mutant == GN_RECORD_MUTANT_REMOVE_LIVE)
			is_live = incarnation == record->options.incarnation;
		if (is_live)
			continue;
		gn_record_doc_remove(doc, i);
		has_changed = true;
	}
	return has_changed;
}

static bool add_live(gn_record_doc_t *doc, const gn_record_live_t *live)
{
	gn_record_member_t member = { 0 };

	member.incarnation = live->incarnation;
	gn_str_copy(member.name, sizeof(member.name), gn_str_from(live->name));
	gn_str_copy(member.address, sizeof(member.address),
		    gn_str_from(live->address));
	return gn_record_doc_add(doc, &member) == GN_OK;
}

static bool add_all_live(const gn_record_t *record, gn_record_doc_t *doc)
{
	GHashTableIter iter;
	gpointer value;
	bool has_changed = false;

	g_hash_table_iter_init(&iter, record->view.live);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		has_changed |= add_live(doc, value);
	return has_changed;
}

/* Mutant: adds the entry itself even if it has left. */
static bool add_self_after_leaving(const gn_record_t *record,
				   gn_record_doc_t *doc)
{
	gn_record_live_t self = { 0 };

	if (record->mutant != GN_RECORD_MUTANT_RETURN ||
	    !record->was_member_seen)
		return false;
	self.incarnation = record->options.incarnation;
	gn_str_copy(self.name, sizeof(self.name), GN_STR("returned"));
	gn_str_copy(self.address, sizeof(self.address), GN_STR("returned"));
	doc->left_count = 0;
	return add_live(doc, &self);
}

static void merge_acks(const gn_record_view_t *view, gn_record_doc_t *doc)
{
	for (size_t i = 0; i < doc->member_count; i++)
		doc->members[i].acked =
			gn_record_view_acked(view, doc->members[i].incarnation);
}

bool gn_record_build_next_doc(const gn_record_t *record, gn_record_doc_t *doc)
{
	bool has_changed;

	*doc = record->view.doc;
	doc->revision++;
	/*
	 * This precedes the removal, so that former members keep their
	 * acknowledgements.
	 */
	merge_acks(&record->view, doc);
	has_changed = remove_not_live(record, doc);
	has_changed |= add_all_live(record, doc);
	has_changed |= add_self_after_leaving(record, doc);
	return has_changed;
}
