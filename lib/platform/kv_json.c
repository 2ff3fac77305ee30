#include "platform/kv_json.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "common/str.h"

/** Maximum length of a value encoded as base64, characters. */
#define VALUE_TEXT_MAX (GN_KV_VALUE_MAX / 3 * 4 + 8)

typedef struct kind_row_s {
	const char *name;
	bool is_read;
	bool has_prefix;
	bool has_key;
} kind_row_t;

static const kind_row_t kind_rows[GN_KV_KIND_COUNT] = {
	[GN_KV_GET] = { "get", true, false, true },
	[GN_KV_LIST] = { "list", true, true, false },
	[GN_KV_WATCH] = { "watch", true, true, false },
	[GN_KV_PUT] = { "put", false, false, true },
	[GN_KV_REMOVE] = { "delete", false, false, true },
	[GN_KV_GRANT] = { "grant", false, false, false },
	[GN_KV_RENEW] = { "renew", false, false, false },
	[GN_KV_REVOKE] = { "revoke", false, false, false },
	[GN_KV_TXN] = { "txn", false, false, false },
};

const char *gn_kv_kind_name(gn_kv_kind_t kind)
{
	return kind_rows[kind].name;
}

bool gn_kv_kind_is_read(gn_kv_kind_t kind)
{
	return kind_rows[kind].is_read;
}

gn_code_t gn_kv_request_check(const gn_kv_request_t *request)
{
	const kind_row_t *row = &kind_rows[request->kind];

	if (row->has_key)
		return gn_kv_check_put(&request->put);
	if (row->has_prefix &&
	    !gn_kv_is_key_text(request->put.key, GN_KV_KEY_MAX))
		return GN_ERR_INVALID;
	if (request->kind == GN_KV_WATCH &&
	    request->limit_ms > GN_KV_WATCH_MAX_MS)
		return GN_ERR_RANGE;
	if (request->kind == GN_KV_GRANT &&
	    (request->limit_ms < GN_KV_TTL_MIN_MS ||
	     request->limit_ms > GN_KV_TTL_MAX_MS))
		return GN_ERR_RANGE;
	return GN_OK;
}

/* ======   Requests   ====== */

static void set_text(json_t *object, const char *name, gn_str_t text)
{
	json_object_set_new(object, name, json_stringn(text.data, text.len));
}

static void set_number(json_t *object, const char *name, uint64_t number)
{
	json_object_set_new(object, name, json_integer((json_int_t)number));
}

static void set_put(json_t *object, const gn_kv_put_t *put)
{
	char *value = g_base64_encode((const guchar *)put->value.data,
				      put->value.len);

	set_text(object, "value", gn_str_from(value));
	g_free(value);
	if (put->change_id.len)
		set_text(object, "change", put->change_id);
	if (put->lease)
		set_number(object, "lease", put->lease);
}

char *gn_kv_request_encode(const gn_kv_request_t *request)
{
	const kind_row_t *row = &kind_rows[request->kind];
	json_t *object = json_object();
	char *text;

	if (row->has_key)
		set_text(object, "key", request->put.key);
	if (row->has_prefix)
		set_text(object, "prefix", request->put.key);
	if (row->has_key && !row->is_read)
		set_number(object, "expected", request->put.expected);
	if (request->kind == GN_KV_PUT)
		set_put(object, &request->put);
	if (request->kind == GN_KV_RENEW || request->kind == GN_KV_REVOKE)
		set_number(object, "lease", request->put.lease);
	if (request->kind == GN_KV_GRANT)
		set_number(object, "ttl_ms", request->limit_ms);
	if (request->kind == GN_KV_WATCH) {
		set_number(object, "from", request->from);
		set_number(object, "wait_ms", request->limit_ms);
	}
	text = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	return text;
}

/* ======   Answers   ====== */

static bool read_number(const json_t *object, const char *name, uint64_t *value)
{
	const json_t *number = json_object_get(object, name);

	if (!json_is_integer(number) || json_integer_value(number) < 0)
		return false;
	*value = (uint64_t)json_integer_value(number);
	return true;
}

static bool read_text(TALLOC_CTX *parent, const json_t *object,
		      const char *name, gn_str_t *text)
{
	const json_t *string = json_object_get(object, name);
	char *copy;

	if (!json_is_string(string))
		return false;
	text->len = json_string_length(string);
	copy = talloc_memdup(parent, json_string_value(string), text->len + 1);
	text->data = copy;
	return copy != NULL;
}

static bool read_value(TALLOC_CTX *parent, const json_t *object,
		       gn_str_t *value)
{
	const json_t *string = json_object_get(object, "value");
	gsize size;
	char *copy;

	if (!json_is_string(string) ||
	    json_string_length(string) > VALUE_TEXT_MAX)
		return false;
	copy = talloc_strdup(parent, json_string_value(string));
	if (!copy)
		return false;
	value->data = copy;
	value->len = 0;
	if (*copy) {
		g_base64_decode_inplace(copy, &size);
		value->len = size;
	}
	return value->len <= GN_KV_VALUE_MAX;
}

static bool read_entry(TALLOC_CTX *parent, const json_t *object,
		       gn_kv_entry_t *entry)
{
	const json_t *deleted = json_object_get(object, "deleted");

	entry->deleted = json_is_true(deleted);
	return json_is_boolean(deleted) &&
	       read_text(parent, object, "key", &entry->key) &&
	       gn_kv_is_key_text(entry->key, GN_KV_KEY_MAX) &&
	       read_value(parent, object, &entry->value) &&
	       read_text(parent, object, "change", &entry->change_id) &&
	       entry->change_id.len <= GN_KV_CHANGE_MAX &&
	       read_number(object, "revision", &entry->revision) &&
	       read_number(object, "lease", &entry->lease);
}

/* Whether the key of @p entry has the key or prefix that was requested. */
static bool matches_request(const gn_kv_request_t *request,
			    const gn_kv_entry_t *entry)
{
	gn_str_t head = entry->key;

	if (kind_rows[request->kind].has_prefix &&
	    head.len > request->put.key.len)
		head.len = request->put.key.len;
	return gn_str_equal(head, request->put.key);
}

static bool read_code(const json_t *object, gn_code_t *code)
{
	static const gn_code_t codes[] = {
		GN_OK,	      GN_ERR_CONFLICT, GN_ERR_NOT_FOUND,
		GN_ERR_STALE, GN_ERR_INVALID,  GN_ERR_RANGE
	};
	const char *name = json_string_value(json_object_get(object, "code"));

	for (size_t i = 0; name && i < G_N_ELEMENTS(codes); i++) {
		*code = codes[i];
		if (!strcmp(name, gn_code_name(*code)))
			return true;
	}
	return false;
}

static gn_code_t read_entries(TALLOC_CTX *parent, const json_t *array,
			      const gn_kv_request_t *request,
			      gn_kv_result_t *result)
{
	size_t count = json_array_size(array);
	gn_kv_entry_t *entries;

	if (!json_is_array(array) ||
	    (kind_rows[request->kind].has_key && count > 1))
		return GN_ERR_INVALID;
	entries = talloc_zero_array(parent, gn_kv_entry_t, count);
	if (!entries)
		return GN_ERR_MEMORY;
	for (size_t i = 0; i < count; i++) {
		if (!read_entry(entries, json_array_get(array, i),
				&entries[i]) ||
		    !matches_request(request, &entries[i]))
			return GN_ERR_INVALID;
	}
	result->entries = entries;
	result->count = count;
	return GN_OK;
}

gn_code_t gn_kv_answer_decode(TALLOC_CTX *parent, gn_str_t text,
			      const gn_kv_request_t *request,
			      gn_kv_result_t *result)
{
	json_t *object =
		json_loadb(text.data, text.len, JSON_REJECT_DUPLICATES, NULL);
	gn_code_t code = GN_ERR_INVALID;

	if (!object)
		return GN_ERR_INVALID;
	if (!read_code(object, &result->code) ||
	    !read_number(object, "revision", &result->revision) ||
	    !read_number(object, "lease", &result->lease))
		goto out;
	code = read_entries(parent, json_object_get(object, "entries"), request,
			    result);
	if (code == GN_OK && request->kind == GN_KV_GET &&
	    result->code == GN_OK && !result->count)
		code = GN_ERR_INVALID;
out:
	json_decref(object);
	return code;
}

/* ======   Codec   ====== */

#define HTTP_OK 200
#define HTTP_CLIENT_ERROR 400
#define HTTP_SERVER_ERROR 500

static bool json_encode(const gn_kv_request_t *request, gn_kv_wire_t *wire)
{
	if (request->kind == GN_KV_TXN)
		return false;
	wire->method = "POST";
	wire->path = g_strdup_printf("/v1/%s", gn_kv_kind_name(request->kind));
	wire->body = gn_kv_request_encode(request);
	return wire->body != NULL;
}

static gn_code_t json_decode(TALLOC_CTX *parent, long status, gn_str_t text,
			     const gn_kv_request_t *request,
			     gn_kv_result_t *result)
{
	if (status >= HTTP_CLIENT_ERROR && status < HTTP_SERVER_ERROR)
		return GN_ERR_RANGE;
	if (status != HTTP_OK)
		return GN_ERR_INVALID;
	return gn_kv_answer_decode(parent, text, request, result);
}

const gn_kv_codec_t gn_kv_json_codec = { json_encode, json_decode };
