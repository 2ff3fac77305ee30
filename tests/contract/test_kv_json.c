/* Decoding of valid and malformed answers of the service. */
#include <glib.h>
#include <string.h>

#include "common/str.h"
#include "platform/kv_json.h"

typedef struct answer_case_s {
	const char *name;
	gn_kv_kind_t kind;
	const char *key;
	const char *text;
	gn_code_t decoded;
	gn_code_t code;
	size_t count;
} answer_case_t;

#define ENTRY(key, value, rest) \
	"{\"key\":\"" key "\",\"value\":\"" value "\",\"change\":\"c\"" rest "}"
#define REST ",\"revision\":3,\"lease\":0,\"deleted\":false"
#define ANSWER(code, entries) \
	"{\"code\":\"" code   \
	"\",\"revision\":3,\"lease\":0,\"entries\":[" entries "]}"
#define BAD GN_ERR_INVALID, GN_OK, 0

static const answer_case_t answer_cases[] = {
	{ "get", GN_KV_GET, "a", ANSWER("ok", ENTRY("a", "aGk=", REST)), GN_OK,
	  GN_OK, 1 },
	{ "absent", GN_KV_GET, "a", ANSWER("not-found", ""), GN_OK,
	  GN_ERR_NOT_FOUND, 0 },
	{ "list", GN_KV_LIST, "p/",
	  ANSWER("ok", ENTRY("p/a", "", REST) "," ENTRY("p/b", "", REST)),
	  GN_OK, GN_OK, 2 },
	{ "empty", GN_KV_GET, "a", "", BAD },
	{ "array", GN_KV_GET, "a", "[]", BAD },
	{ "truncated", GN_KV_GET, "a", "{\"code\":\"ok\",\"revision\":3", BAD },
	{ "unknown-code", GN_KV_GET, "a", ANSWER("fine", ""), BAD },
	{ "own-code", GN_KV_GET, "a", ANSWER("unknown", ""), BAD },
	{ "ok-without-entry", GN_KV_GET, "a", ANSWER("ok", ""), BAD },
	{ "other-key", GN_KV_GET, "a", ANSWER("ok", ENTRY("b", "", REST)),
	  BAD },
	{ "two-entries", GN_KV_GET, "a",
	  ANSWER("ok", ENTRY("a", "", REST) "," ENTRY("a", "", REST)), BAD },
	{ "other-prefix", GN_KV_LIST, "p/",
	  ANSWER("ok", ENTRY("q/a", "", REST)), BAD },
	{ "no-revision", GN_KV_PUT, "a",
	  "{\"code\":\"ok\",\"lease\":0,\"entries\":[]}", BAD },
	{ "negative-revision", GN_KV_PUT, "a",
	  "{\"code\":\"ok\",\"revision\":-1,\"lease\":0,\"entries\":[]}", BAD },
	{ "real-revision", GN_KV_PUT, "a",
	  "{\"code\":\"ok\",\"revision\":1.5,\"lease\":0,\"entries\":[]}",
	  BAD },
	{ "no-entries", GN_KV_PUT, "a",
	  "{\"code\":\"ok\",\"revision\":1,\"lease\":0}", BAD },
	{ "entry-no-object", GN_KV_GET, "a", ANSWER("ok", "7"), BAD },
	{ "entry-without-rest", GN_KV_GET, "a",
	  ANSWER("ok", ENTRY("a", "", "")), BAD },
	{ "value-no-text", GN_KV_GET, "a",
	  ANSWER("ok", "{\"key\":\"a\",\"value\":1,\"change\":\"c\"" REST "}"),
	  BAD },
	{ "twice-the-code", GN_KV_PUT, "a",
	  "{\"code\":\"ok\",\"code\":\"conflict\",\"revision\":1,"
	  "\"lease\":0,\"entries\":[]}",
	  BAD },
};

static void test_answer(const void *data)
{
	const answer_case_t *c = data;
	gn_kv_request_t request = { .kind = c->kind,
				    .put = { .key = gn_str_from(c->key) } };
	TALLOC_CTX *frame = talloc_new(NULL);
	gn_kv_result_t result = { 0 };

	g_assert_cmpint(gn_kv_answer_decode(frame, gn_str_from(c->text),
					    &request, &result),
			==, c->decoded);
	if (c->decoded == GN_OK) {
		g_assert_cmpint(result.code, ==, c->code);
		g_assert_cmpuint(result.count, ==, c->count);
	}
	talloc_free(frame);
}

/* Each truncated answer is rejected, without a read beyond its end. */
static void test_every_truncation(void)
{
	const char *text = ANSWER("ok", ENTRY("a", "aGk=", REST));
	gn_kv_request_t request = { .kind = GN_KV_GET,
				    .put = { .key = GN_STR("a") } };
	TALLOC_CTX *frame = talloc_new(NULL);

	for (size_t len = 0; len < strlen(text); len++) {
		gn_kv_result_t result = { 0 };
		gn_str_t head = { talloc_memdup(frame, text, len), len };

		g_assert_cmpint(
			gn_kv_answer_decode(frame, head, &request, &result), ==,
			GN_ERR_INVALID);
	}
	talloc_free(frame);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(answer_cases); i++) {
		g_autofree char *path =
			g_strdup_printf("/kv/answer/%s", answer_cases[i].name);

		g_test_add_data_func(path, &answer_cases[i], test_answer);
	}
	g_test_add_func("/kv/answer/every-truncation", test_every_truncation);
	return g_test_run();
}
