#include "support/platform_api.h"

#include <string.h>

#include "common/str.h"

#define PATH_PREFIX "/v1/"

static const char *const call_names[PLATFORM_CALL_COUNT] = {
	[PLATFORM_GET] = "get",	      [PLATFORM_LIST] = "list",
	[PLATFORM_PUT] = "put",	      [PLATFORM_REMOVE] = "delete",
	[PLATFORM_GRANT] = "grant",   [PLATFORM_RENEW] = "renew",
	[PLATFORM_REVOKE] = "revoke", [PLATFORM_WATCH] = "watch",
};

const char *platform_call_name(platform_call_t call)
{
	return call_names[call];
}

platform_call_t platform_call_find(const char *path)
{
	int call = 0;

	if (!g_str_has_prefix(path, PATH_PREFIX))
		return PLATFORM_CALL_COUNT;
	path += strlen(PATH_PREFIX);
	while (call < PLATFORM_CALL_COUNT &&
	       !g_str_equal(path, call_names[call]))
		call++;
	return (platform_call_t)call;
}

bool platform_call_is_read(platform_call_t call)
{
	return call == PLATFORM_GET || call == PLATFORM_LIST ||
	       call == PLATFORM_WATCH;
}

/* ======   Requests   ====== */

static const char *get_text(const json_t *request, const char *name)
{
	return json_string_value(json_object_get(request, name));
}

/* Reads a number; 0 if absent. False if it is negative or no integer. */
static bool read_number(const json_t *request, const char *name,
			uint64_t *value)
{
	const json_t *number = json_object_get(request, name);

	*value = 0;
	if (!number)
		return true;
	if (!json_is_integer(number) || json_integer_value(number) < 0)
		return false;
	*value = (uint64_t)json_integer_value(number);
	return true;
}

uint32_t platform_watch_wait_ms(const json_t *request)
{
	uint64_t wait_ms;

	if (!read_number(request, "wait_ms", &wait_ms))
		return 0;
	return (uint32_t)MIN(wait_ms, (uint64_t)GN_KV_WATCH_MAX_MS);
}

static bool apply_put(kv_state_t *state, const json_t *request, uint64_t now_us,
		      kv_answer_t *answer)
{
	const char *value = get_text(request, "value");
	gn_kv_put_t put = { gn_str_from(get_text(request, "key")),
			    { NULL, 0 },
			    gn_str_from(get_text(request, "change")),
			    0,
			    0 };
	gsize size;
	guchar *bytes;

	if (!value || !read_number(request, "expected", &put.expected) ||
	    !read_number(request, "lease", &put.lease))
		return false;
	bytes = g_base64_decode(value, &size);
	put.value.data = (const char *)bytes;
	put.value.len = size;
	kv_state_put(state, now_us, &put, answer);
	g_free(bytes);
	return true;
}

static bool apply_lease(kv_state_t *state, platform_call_t call,
			const json_t *request, uint64_t now_us,
			kv_answer_t *answer)
{
	uint64_t lease;
	uint64_t ttl_ms;

	if (!read_number(request, "lease", &lease) ||
	    !read_number(request, "ttl_ms", &ttl_ms) || ttl_ms > UINT32_MAX)
		return false;
	if (call == PLATFORM_GRANT)
		kv_state_grant(state, now_us, (uint32_t)ttl_ms, answer);
	else if (call == PLATFORM_RENEW)
		kv_state_renew(state, now_us, lease, answer);
	else
		kv_state_revoke(state, lease, answer);
	return true;
}

static bool apply_keyed(kv_state_t *state, platform_call_t call,
			const json_t *request, unsigned revisions_back,
			kv_answer_t *answer)
{
	bool has_prefix = call == PLATFORM_LIST || call == PLATFORM_WATCH;
	const char *key = get_text(request, has_prefix ? "prefix" : "key");
	uint64_t from;
	uint64_t expected;

	if (!key || !read_number(request, "from", &from) ||
	    !read_number(request, "expected", &expected))
		return false;
	if (call == PLATFORM_GET)
		kv_state_get(state, key, revisions_back, answer);
	else if (call == PLATFORM_LIST)
		kv_state_list(state, key, revisions_back, answer);
	else if (call == PLATFORM_WATCH)
		kv_state_watch(state, key, from, answer);
	else
		kv_state_remove(state, key, expected, answer);
	return true;
}

bool platform_api_apply(kv_state_t *state, platform_call_t call,
			const json_t *request, uint64_t now_us,
			unsigned revisions_back, kv_answer_t *answer)
{
	kv_state_expire(state, now_us);
	switch (call) {
	case PLATFORM_PUT:
		return apply_put(state, request, now_us, answer);
	case PLATFORM_GRANT:
	case PLATFORM_RENEW:
	case PLATFORM_REVOKE:
		return apply_lease(state, call, request, now_us, answer);
	default:
		return apply_keyed(state, call, request, revisions_back,
				   answer);
	}
}

/* ======   Answers   ====== */

static json_t *encode_item(const kv_item_t *item)
{
	gsize size;
	const guchar *data = g_bytes_get_data(item->value, &size);
	char *value = g_base64_encode(data, size);
	json_t *object = json_pack(
		"{s:s, s:s, s:s, s:I, s:I, s:b}", "key", item->key, "value",
		value, "change", item->change, "revision",
		(json_int_t)item->revision, "lease", (json_int_t)item->lease,
		"deleted", (int)item->deleted);

	g_free(value);
	return object;
}

char *platform_api_encode(const kv_answer_t *answer)
{
	json_t *entries = json_array();
	json_t *object;
	char *text;

	for (guint i = 0; i < answer->items->len; i++)
		json_array_append_new(entries, encode_item(g_ptr_array_index(
						       answer->items, i)));
	object = json_pack("{s:s, s:I, s:I, s:o}", "code",
			   gn_code_name(answer->code), "revision",
			   (json_int_t)answer->revision, "lease",
			   (json_int_t)answer->lease, "entries", entries);
	text = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	return text;
}
