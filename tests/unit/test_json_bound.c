/* Documents with values that are nested too deeply or out of range. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/json_bound.h"
#include "common/str.h"

typedef struct bound_case_s {
	const char *name;
	const char *text;
	const char *kept; /* The document that is read; NULL: none. */
	size_t replaced;
} bound_case_t;

static const bound_case_t cases[] = {
	{ "plain", "{\"a\":[1,-2.5e3,\"x\"]}", "{\"a\":[1,-2500.0,\"x\"]}", 0 },
	{ "largest-integer", "[9223372036854775807]", "[9223372036854775807]",
	  0 },
	{ "integer-too-large", "[1,9223372036854775808,2]", "[1,false,2]", 1 },
	{ "integer-too-small", "[-9223372036854775809]", "[false]", 1 },
	{ "real-too-large", "[{\"a\":1e400},{\"a\":1}]",
	  "[{\"a\":false},{\"a\":1}]", 1 },
	{ "many-digits",
	  "[111111111111111111111111111111111111111111111111111111111111111111"
	  "]",
	  "[false]", 1 },
	{ "number-in-a-string", "[\"9223372036854775808\\\"\",1e999]",
	  "[\"9223372036854775808\\\"\",false]", 1 },
	{ "no-json", "[1,}", NULL, 0 },
	{ "no-json-besides", "[99999999999999999999,", NULL, 0 },
	{ "empty", "", NULL, 0 },
};

static void test_case(const void *data)
{
	const bound_case_t *c = data;
	size_t replaced = 99;
	json_t *json =
		gn_json_parse_bounded(gn_str_from(c->text), &replaced, NULL);
	char *text;

	g_assert_cmpuint(replaced, ==, c->replaced);
	if (!c->kept) {
		g_assert_null(json);
		return;
	}
	text = json_dumps(json, JSON_COMPACT);
	g_assert_cmpstr(text, ==, c->kept);
	free(text);
	json_decref(json);
}

/* One entry of a list is nested @p depth levels deep. */
static json_t *parse_nested(unsigned depth, bool closed, size_t *replaced)
{
	GString *text = g_string_new("[7,");
	json_t *json;

	for (unsigned i = 0; i < depth; i++)
		g_string_append(text, i % 2 ? "{\"]\":" : "[");
	g_string_append(text, "0");
	for (unsigned i = depth; closed && i > 0; i--)
		g_string_append_c(text, (i - 1) % 2 ? '}' : ']');
	g_string_append(text, ",8]");
	json = gn_json_parse_bounded((gn_str_t){ text->str, text->len },
				     replaced, NULL);
	g_string_free(text, TRUE);
	return json;
}

static void test_deep_entry_costs_no_other(void)
{
	static const unsigned depths[] = { 10, 2000, 2048, 100001, 400000 };
	size_t replaced;

	for (size_t i = 0; i < G_N_ELEMENTS(depths); i++) {
		json_t *json = parse_nested(depths[i], true, &replaced);

		g_assert_cmpuint(json_array_size(json), ==, 3);
		g_assert_cmpuint(replaced, ==, depths[i] >= 2048);
		g_assert_cmpint(json_integer_value(json_array_get(json, 0)), ==,
				7);
		g_assert_cmpint(json_integer_value(json_array_get(json, 2)), ==,
				8);
		json_decref(json);
	}
	g_assert_null(parse_nested(400000, false, &replaced));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path =
			g_strdup_printf("/json_bound/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], test_case);
	}
	g_test_add_func("/json_bound/deep_entry_costs_no_other",
			test_deep_entry_costs_no_other);
	return g_test_run();
}
