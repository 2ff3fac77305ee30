/*
 * Mutated and truncated documents must be accepted or rejected, but never make
 * the parsers crash or hang. GN_MUTANTS sets the number of mutated documents
 * per example.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "config/inventory.h"
#include "config/rules.h"
#include "config/settings.h"

#define SEED 20261203
#define MUTANTS_DEFAULT 1000
#define EDITS_MAX 6

/** Bytes with a meaning in TOML, and bytes that are invalid UTF-8. */
static const char bytes[] = "[]{}=\"'\\.,#\n\r\t 0aZ_-+:eT\xff\x80";

static const char *const documents[] = {
	"examples/graenbylgja/inventory.toml",
	"examples/graenbylgja/rules.toml",
	"examples/graenbylgja/entry.toml",
	"examples/ohrmarken/agent.toml",
};

/** Replaces or inserts a byte, or removes or duplicates up to 39 bytes. */
static void mutate(GRand *rand, GString *text)
{
	gssize at = g_rand_int_range(rand, 0, (gint32)text->len + 1);
	char byte = bytes[g_rand_int_range(rand, 0, sizeof(bytes) - 1)];
	gssize len = g_rand_int_range(rand, 1, 40);
	char *copy;

	len = MIN(len, (gssize)text->len - at);
	switch (g_rand_int_range(rand, 0, 4)) {
	case 0:
		if (len > 0)
			text->str[at] = byte;
		break;
	case 1:
		g_string_insert_c(text, at, byte);
		break;
	case 2:
		g_string_erase(text, at, len);
		break;
	default:
		copy = g_strndup(text->str + at, (gsize)len);
		g_string_insert(text, at, copy);
		g_free(copy);
		break;
	}
}

/** Passes the text to all parsers; returns whether one accepted it. */
static bool parse_all(gn_str_t text)
{
	gn_inventory_t *inventory = NULL;
	gn_settings_t *settings = NULL;
	gn_rules_t *rules = NULL;
	gn_str_t changed = { 0 };
	gn_error_t error = { 0 };

	gn_inventory_parse(NULL, "m", text, &inventory, &error);
	gn_rules_parse(NULL, "m", text, NULL, &rules, &error);
	gn_settings_parse(NULL, "m", text, &settings, &error);
	gn_rules_set_drain(NULL, text, "rey-01", true, &changed, &error);
	talloc_free((void *)changed.data);
	changed.data = NULL;
	gn_rules_set_drain(NULL, text, "rey-01", false, &changed, &error);
	talloc_free((void *)changed.data);
	talloc_free(inventory);
	talloc_free(settings);
	talloc_free(rules);
	return inventory || settings || rules;
}

static void test_mutants(const void *data)
{
	const char *path = data;
	const char *count_text = g_getenv("GN_MUTANTS");
	int count = count_text ? atoi(count_text) : MUTANTS_DEFAULT;
	GRand *rand = g_rand_new_with_seed(SEED);
	gsize len = 0;
	char *original = NULL;
	int accepted = 0;

	g_assert_true(g_file_get_contents(path, &original, &len, NULL));
	g_assert_true(parse_all((gn_str_t){ original, len }));
	for (int i = 0; i < count; i++) {
		GString *text = g_string_new_len(original, (gssize)len);
		int edits = g_rand_int_range(rand, 1, EDITS_MAX + 1);

		while (edits--)
			mutate(rand, text);
		accepted += parse_all((gn_str_t){ text->str, text->len });
		g_string_free(text, TRUE);
	}
	g_test_message("%s: seed %d, %d of %d accepted", path, SEED, accepted,
		       count);
	g_assert_cmpint(accepted, <, count);
	g_rand_free(rand);
	g_free(original);
}

/** Parses every proper prefix of a document. */
static void test_prefixes(const void *data)
{
	const char *path = data;
	char *original = NULL;
	gsize len = 0;

	g_assert_true(g_file_get_contents(path, &original, &len, NULL));
	for (gsize i = 0; i < len; i++) {
		char *prefix = g_memdup2(original, i);

		parse_all((gn_str_t){ prefix, i });
		g_free(prefix);
	}
	g_free(original);
}

static void add_test(const char *group, const char *document, GTestDataFunc run)
{
	char *path = g_strdup_printf("/%s/%s", group, document);

	g_test_add_data_func(path, document, run);
	g_free(path);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(documents); i++) {
		add_test("mutants", documents[i], test_mutants);
		add_test("prefixes", documents[i], test_prefixes);
	}
	return g_test_run();
}
