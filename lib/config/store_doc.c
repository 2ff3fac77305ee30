#include "config/store_doc.h"

#include <assert.h>
#include <jansson.h>
#include <string.h>

#include "common/str.h"

static const char *const part_names[GN_CONFIG_PART_COUNT] = {
	[GN_CONFIG_INVENTORY] = "inventory",
	[GN_CONFIG_RULES] = "rules",
};

static bool copy_str(gn_config_doc_t *doc, gn_str_t from, gn_str_t *to)
{
	to->data = talloc_strndup(doc, from.len ? from.data : "", from.len);
	to->len = from.len;
	return to->data != NULL;
}

gn_config_doc_t *gn_config_doc_create(TALLOC_CTX *parent)
{
	return talloc_zero(parent, gn_config_doc_t);
}

static bool add_change(gn_config_doc_t *doc, gn_str_t id, uint64_t revision)
{
	if (doc->change_count == GN_CONFIG_CHANGES_MAX) {
		memmove(doc->changes, doc->changes + 1,
			sizeof(doc->changes) - sizeof(doc->changes[0]));
		doc->change_count--;
	}
	doc->changes[doc->change_count].revision = revision;
	return copy_str(doc, id, &doc->changes[doc->change_count++].id);
}

gn_config_doc_t *gn_config_doc_copy(TALLOC_CTX *parent,
				    const gn_config_doc_t *doc)
{
	gn_config_doc_t *copy = gn_config_doc_create(parent);
	bool complete = copy != NULL;

	if (!complete)
		return NULL;
	copy->revision = doc->revision;
	for (int i = 0; i < GN_CONFIG_PART_COUNT; i++) {
		copy->parts[i].revision = doc->parts[i].revision;
		complete &= copy_str(copy, doc->parts[i].text,
				     &copy->parts[i].text);
	}
	for (size_t i = 0; i < doc->change_count; i++)
		complete &= add_change(copy, doc->changes[i].id,
				       doc->changes[i].revision);
	if (!complete) {
		talloc_free(copy);
		return NULL;
	}
	return copy;
}

gn_config_doc_t *gn_config_doc_change(TALLOC_CTX *parent,
				      const gn_config_doc_t *base,
				      gn_config_part_t part, gn_str_t text,
				      gn_str_t id)
{
	gn_config_doc_t *doc = gn_config_doc_copy(parent, base);

	if (!doc)
		return NULL;
	doc->revision = base->revision + 1;
	doc->parts[part].revision = doc->revision;
	if (!copy_str(doc, text, &doc->parts[part].text) ||
	    !add_change(doc, id, doc->revision)) {
		talloc_free(doc);
		return NULL;
	}
	return doc;
}

const gn_config_change_t *gn_config_doc_find(const gn_config_doc_t *doc,
					     gn_str_t id)
{
	for (size_t i = 0; i < doc->change_count; i++)
		if (gn_str_equal(doc->changes[i].id, id))
			return &doc->changes[i];
	return NULL;
}

/* ======   JSON   ====== */

static json_t *encode_str(gn_str_t str)
{
	return json_stringn(str.len ? str.data : "", str.len);
}

static json_t *encode_number(uint64_t number)
{
	return json_integer((json_int_t)number);
}

char *gn_config_doc_encode(const gn_config_doc_t *doc)
{
	json_t *object = json_object();
	json_t *changes = json_array();
	char *text;

	json_object_set_new(object, "revision", encode_number(doc->revision));
	for (int i = 0; i < GN_CONFIG_PART_COUNT; i++) {
		json_t *part = json_object();

		json_object_set_new(part, "text",
				    encode_str(doc->parts[i].text));
		json_object_set_new(part, "revision",
				    encode_number(doc->parts[i].revision));
		json_object_set_new(object, part_names[i], part);
	}
	for (size_t i = 0; i < doc->change_count; i++) {
		json_t *change = json_object();

		json_object_set_new(change, "id",
				    encode_str(doc->changes[i].id));
		json_object_set_new(change, "revision",
				    encode_number(doc->changes[i].revision));
		json_array_append_new(changes, change);
	}
	json_object_set_new(object, "changes", changes);
	text = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	return text;
}

static bool read_revision(const json_t *object, uint64_t *value)
{
	const json_t *number = json_object_get(object, "revision");

	if (!json_is_integer(number) || json_integer_value(number) < 0)
		return false;
	*value = (uint64_t)json_integer_value(number);
	return true;
}

static bool read_str(const json_t *string, gn_str_t *str)
{
	str->data = json_string_value(string);
	str->len = json_string_length(string);
	return str->data != NULL;
}

static bool read_part(gn_config_doc_t *doc, const json_t *object,
		      gn_config_text_t *part)
{
	gn_str_t text;

	return read_revision(object, &part->revision) &&
	       part->revision <= doc->revision &&
	       read_str(json_object_get(object, "text"), &text) &&
	       copy_str(doc, text, &part->text);
}

static bool read_change(gn_config_doc_t *doc, const json_t *object)
{
	uint64_t revision;
	gn_str_t id;

	return read_revision(object, &revision) && revision <= doc->revision &&
	       read_str(json_object_get(object, "id"), &id) && id.len &&
	       gn_kv_is_key_text(id, GN_KV_CHANGE_MAX) &&
	       add_change(doc, id, revision);
}

static bool read_doc(gn_config_doc_t *doc, const json_t *object)
{
	const json_t *changes = json_object_get(object, "changes");

	if (!read_revision(object, &doc->revision) || !json_is_array(changes) ||
	    json_array_size(changes) > GN_CONFIG_CHANGES_MAX)
		return false;
	for (int i = 0; i < GN_CONFIG_PART_COUNT; i++)
		if (!read_part(doc, json_object_get(object, part_names[i]),
			       &doc->parts[i]))
			return false;
	for (size_t i = 0; i < json_array_size(changes); i++)
		if (!read_change(doc, json_array_get(changes, i)))
			return false;
	return true;
}

gn_code_t gn_config_doc_decode(TALLOC_CTX *parent, gn_str_t text,
			       gn_config_doc_t **doc)
{
	json_t *object =
		json_loadb(text.data, text.len, JSON_REJECT_DUPLICATES, NULL);
	gn_config_doc_t *decoded;
	gn_code_t code = GN_OK;

	if (!object)
		return GN_ERR_INVALID;
	decoded = gn_config_doc_create(parent);
	if (!decoded) {
		code = GN_ERR_MEMORY;
		goto out;
	}
	if (!read_doc(decoded, object)) {
		talloc_free(decoded);
		code = GN_ERR_INVALID;
		goto out;
	}
	*doc = decoded;
out:
	json_decref(object);
	return code;
}
