/**
 * @file record_view.c
 * @brief The watched keys of the member record, and what should follow.
 */
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/str.h"
#include "member/record_internal.h"

#define STEP "member-record"
#define HEX_DIGITS 16
#define HEX_BASE 16

/* The incarnation of a live key; 0: it is none. */
static uint64_t parse_live_key(gn_str_t key)
{
	gn_str_t prefix = GN_STR(GN_RECORD_LIVE_PREFIX);
	char digits[HEX_DIGITS + 1];
	char *end;
	uint64_t incarnation;

	if (key.len != prefix.len + HEX_DIGITS ||
	    memcmp(key.data, prefix.data, prefix.len) != 0)
		return 0;
	memcpy(digits, key.data + prefix.len, HEX_DIGITS);
	digits[HEX_DIGITS] = '\0';
	incarnation = strtoull(digits, &end, HEX_BASE);
	return *end ? 0 : incarnation;
}

static void set_live(gn_record_view_t *view, uint64_t incarnation, bool is_live)
{
	uint64_t *key;

	if (!is_live) {
		g_hash_table_remove(view->live, &incarnation);
		return;
	}
	key = g_new(uint64_t, 1);
	*key = incarnation;
	g_hash_table_add(view->live, key);
}

static void set_doc(gn_record_view_t *view, const gn_kv_entry_t *entry)
{
	gn_record_doc_t *doc = g_new0(gn_record_doc_t, 1);

	if (entry->deleted)
		gn_log(LOG_ERR, STEP, NULL, "the record was deleted");
	else if (gn_record_doc_decode(entry->value, doc) != GN_OK)
		gn_log(LOG_ERR, STEP, NULL, "the record is malformed");
	else if (doc->revision < view->doc.revision)
		gn_log(LOG_ERR, STEP, NULL, "the record went back");
	else {
		view->doc = *doc;
		view->key_revision = entry->revision;
	}
	g_free(doc);
}

void gn_record_view_update(gn_record_view_t *view, const gn_kv_news_t *news)
{
	if (news->whole)
		g_hash_table_remove_all(view->live);
	for (size_t i = 0; i < news->count; i++) {
		const gn_kv_entry_t *entry = &news->entries[i];
		uint64_t incarnation = parse_live_key(entry->key);

		if (incarnation)
			set_live(view, incarnation, !entry->deleted);
		else if (gn_str_equal(entry->key, GN_STR(GN_RECORD_KEY)))
			set_doc(view, entry);
	}
	view->is_known = true;
}

bool gn_record_view_has_lapsed(const gn_record_view_t *view,
			       const gn_record_member_t *member)
{
	return !g_hash_table_contains(view->live, &member->incarnation);
}

/* ======   Proposals   ====== */

static bool should_be_in(const gn_record_t *record)
{
	return record->standing == GN_RECORD_MEMBER ||
	       (record->standing == GN_RECORD_JOINING &&
		gn_lease_state(record->lease) == GN_LEASE_HELD);
}

static bool should_remove(const gn_record_t *record,
			  const gn_record_member_t *member)
{
	if (member->incarnation == record->options.incarnation)
		return record->standing == GN_RECORD_LEAVING;
	return gn_record_view_has_lapsed(&record->view, member) ||
	       record->mutant == GN_RECORD_MUTANT_REMOVE_LIVE;
}

static bool has_changed_membership(const gn_record_t *record)
{
	const gn_record_doc_t *doc = &record->view.doc;
	size_t self = gn_record_doc_find(doc, record->options.incarnation);

	if (self == doc->member_count && should_be_in(record))
		return true;
	for (size_t i = 0; i < doc->member_count; i++)
		if (should_remove(record, &doc->members[i]))
			return true;
	return false;
}

static void change_membership(const gn_record_t *record, gn_record_doc_t *doc)
{
	gn_record_member_t self = { 0 };

	doc->revision++;
	for (size_t i = doc->member_count; i-- > 0;)
		if (should_remove(record, &doc->members[i]))
			gn_record_doc_remove(doc, i);
	if (!should_be_in(record))
		return;
	if (record->mutant == GN_RECORD_MUTANT_RETURN)
		doc->left_count = 0;
	self.incarnation = record->options.incarnation;
	gn_str_copy(self.name, sizeof(self.name),
		    gn_str_from(record->options.name));
	gn_str_copy(self.address, sizeof(self.address),
		    gn_str_from(record->options.address));
	gn_record_doc_add(doc, &self);
}

static bool acknowledge(const gn_record_t *record, gn_record_doc_t *doc)
{
	size_t self = gn_record_doc_find(doc, record->options.incarnation);
	uint64_t revision = record->adopted.revision;

	if (record->mutant == GN_RECORD_MUTANT_ACK_EARLY)
		revision = doc->revision;
	if (self == doc->member_count || doc->members[self].acked >= revision)
		return false;
	doc->members[self].acked = revision;
	return true;
}

bool gn_record_propose(const gn_record_t *record, gn_record_doc_t *doc)
{
	bool has_changed = has_changed_membership(record);

	*doc = record->view.doc;
	if (has_changed)
		change_membership(record, doc);
	return acknowledge(record, doc) || has_changed;
}
