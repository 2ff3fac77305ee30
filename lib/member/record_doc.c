#include "member/record_doc.h"

#include <assert.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/str.h"

/**
 * Size of an incarnation in hexadecimal, including the terminator. It is not
 * stored as a JSON number because these are signed.
 */
#define HEX_SIZE 17
#define HEX_BASE 16

/* ======   Members   ====== */

size_t gn_record_doc_find(const gn_record_doc_t *doc, uint64_t incarnation)
{
	size_t i = 0;

	while (i < doc->member_count &&
	       doc->members[i].incarnation != incarnation)
		i++;
	return i;
}

static const gn_record_left_t *find_left(const gn_record_doc_t *doc,
					 uint64_t incarnation)
{
	for (size_t i = 0; i < doc->left_count; i++)
		if (doc->left[i].incarnation == incarnation)
			return &doc->left[i];
	return NULL;
}

bool gn_record_doc_has_left(const gn_record_doc_t *doc, uint64_t incarnation)
{
	return find_left(doc, incarnation) != NULL;
}

uint64_t gn_record_doc_acked(const gn_record_doc_t *doc, uint64_t incarnation)
{
	size_t index = gn_record_doc_find(doc, incarnation);
	const gn_record_left_t *left = find_left(doc, incarnation);

	if (index < doc->member_count)
		return doc->members[index].acked;
	return left ? left->acked : 0;
}

gn_code_t gn_record_doc_add(gn_record_doc_t *doc,
			    const gn_record_member_t *member)
{
	if (gn_record_doc_has_left(doc, member->incarnation) ||
	    gn_record_doc_find(doc, member->incarnation) < doc->member_count)
		return GN_ERR_STALE;
	if (doc->member_count == GN_RECORD_MEMBERS_MAX)
		return GN_ERR_CAPACITY;
	doc->members[doc->member_count] = *member;
	doc->members[doc->member_count++].joined = doc->revision;
	return GN_OK;
}

void gn_record_doc_remove(gn_record_doc_t *doc, size_t index)
{
	const gn_record_member_t *member = &doc->members[index];
	gn_record_left_t left = { member->incarnation, member->acked,
				  doc->revision };

	assert(index < doc->member_count);
	if (doc->left_count == GN_RECORD_LEFT_MAX) {
		doc->left_count--;
		memmove(doc->left, doc->left + 1,
			doc->left_count * sizeof(doc->left[0]));
	}
	doc->left[doc->left_count++] = left;
	doc->member_count--;
	memmove(&doc->members[index], &doc->members[index + 1],
		(doc->member_count - index) * sizeof(doc->members[0]));
}

/* ======   JSON   ====== */

static void set_number(json_t *object, const char *name, uint64_t number)
{
	json_object_set_new(object, name, json_integer((json_int_t)number));
}

static void set_hex(json_t *object, const char *name, uint64_t number)
{
	char text[HEX_SIZE];

	snprintf(text, sizeof(text), "%016" PRIx64, number);
	json_object_set_new(object, name, json_string(text));
}

static json_t *encode_member(const gn_record_member_t *member)
{
	json_t *object = json_object();

	set_hex(object, "incarnation", member->incarnation);
	json_object_set_new(object, "name", json_string(member->name));
	json_object_set_new(object, "address", json_string(member->address));
	set_number(object, "joined", member->joined);
	set_number(object, "acked", member->acked);
	return object;
}

static json_t *encode_left(const gn_record_left_t *left)
{
	json_t *object = json_object();

	set_hex(object, "incarnation", left->incarnation);
	set_number(object, "acked", left->acked);
	set_number(object, "revision", left->revision);
	return object;
}

char *gn_record_doc_encode(const gn_record_doc_t *doc)
{
	json_t *object = json_object();
	json_t *members = json_array();
	json_t *left = json_array();
	char *text;

	for (size_t i = 0; i < doc->member_count; i++)
		json_array_append_new(members, encode_member(&doc->members[i]));
	for (size_t i = 0; i < doc->left_count; i++)
		json_array_append_new(left, encode_left(&doc->left[i]));
	set_number(object, "revision", doc->revision);
	json_object_set_new(object, "members", members);
	json_object_set_new(object, "left", left);
	text = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	return text;
}

static bool read_number(const json_t *object, const char *name, uint64_t max,
			uint64_t *value)
{
	const json_t *number = json_object_get(object, name);

	if (!json_is_integer(number) || json_integer_value(number) < 0)
		return false;
	*value = (uint64_t)json_integer_value(number);
	return *value <= max;
}

static bool read_hex(const json_t *object, const char *name, uint64_t *value)
{
	const char *text = json_string_value(json_object_get(object, name));
	char *end;

	if (!text || strlen(text) != HEX_SIZE - 1)
		return false;
	*value = strtoull(text, &end, HEX_BASE);
	return !*end && *value;
}

static bool read_text(const json_t *object, const char *name, char *to,
		      size_t size)
{
	const json_t *text = json_object_get(object, name);
	gn_str_t str = { json_string_value(text), json_string_length(text) };

	return str.data && str.len && gn_str_copy(to, size, str) == GN_OK;
}

static bool read_member(const json_t *object, uint64_t revision,
			gn_record_member_t *member)
{
	return read_hex(object, "incarnation", &member->incarnation) &&
	       read_text(object, "name", member->name, sizeof(member->name)) &&
	       read_text(object, "address", member->address,
			 sizeof(member->address)) &&
	       read_number(object, "joined", revision, &member->joined) &&
	       read_number(object, "acked", revision, &member->acked);
}

static bool read_left(const json_t *object, uint64_t revision,
		      gn_record_left_t *left)
{
	return read_hex(object, "incarnation", &left->incarnation) &&
	       read_number(object, "acked", revision, &left->acked) &&
	       read_number(object, "revision", revision, &left->revision);
}

static bool read_members(const json_t *array, gn_record_doc_t *doc)
{
	doc->member_count = json_array_size(array);
	if (!json_is_array(array) || doc->member_count > GN_RECORD_MEMBERS_MAX)
		return false;
	for (size_t i = 0; i < doc->member_count; i++)
		if (!read_member(json_array_get(array, i), doc->revision,
				 &doc->members[i]))
			return false;
	return true;
}

static bool read_all_left(const json_t *array, gn_record_doc_t *doc)
{
	doc->left_count = json_array_size(array);
	if (!json_is_array(array) || doc->left_count > GN_RECORD_LEFT_MAX)
		return false;
	for (size_t i = 0; i < doc->left_count; i++)
		if (!read_left(json_array_get(array, i), doc->revision,
			       &doc->left[i]))
			return false;
	return true;
}

gn_code_t gn_record_doc_decode(gn_str_t text, gn_record_doc_t *doc)
{
	json_t *object =
		json_loadb(text.data, text.len, JSON_REJECT_DUPLICATES, NULL);
	bool is_valid;

	memset(doc, 0, sizeof(*doc));
	is_valid = object &&
		   read_number(object, "revision", INT64_MAX, &doc->revision) &&
		   read_members(json_object_get(object, "members"), doc) &&
		   read_all_left(json_object_get(object, "left"), doc);
	json_decref(object);
	return is_valid ? GN_OK : GN_ERR_INVALID;
}
