/*
 * Damaged documents: the parser must refuse or accept, never crash or hang.
 * usage: test_settings_mutants; GN_MUTANTS=N tries N documents each.
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

/** Bytes that mean something to TOML. */
static const char bytes[] = "[]{}=\"'\\.,#\n\r\t 0aZ_-+:eT\xff\x80";

static const char *const documents[] = {
	"examples/graenbylgja/inventory.toml",
	"examples/graenbylgja/rules.toml",
	"examples/graenbylgja/entry.toml",
	"examples/ohrmarken/agent.toml",
};

/** One of: another byte, a byte more, some bytes less, some bytes twice. */
static void edit(GRand *rand, GString *text)
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

/** Gives the text to every reader; whether one took it. */
static bool read_all(gn_str_t text)
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
	const char *wanted = g_getenv("GN_MUTANTS");
	int count = wanted ? atoi(wanted) : MUTANTS_DEFAULT;
	GRand *rand = g_rand_new_with_seed(SEED);
	gsize len = 0;
	char *good = NULL;
	int taken = 0;

	g_assert_true(g_file_get_contents(path, &good, &len, NULL));
	g_assert_true(read_all((gn_str_t){ good, len }));
	for (int i = 0; i < count; i++) {
		GString *text = g_string_new_len(good, (gssize)len);
		int edits = g_rand_int_range(rand, 1, EDITS_MAX + 1);

		while (edits--)
			edit(rand, text);
		taken += read_all((gn_str_t){ text->str, text->len });
		g_string_free(text, TRUE);
	}
	g_test_message("%s: seed %d, %d of %d taken", path, SEED, taken, count);
	g_assert_cmpint(taken, <, count);
	g_rand_free(rand);
	g_free(good);
}

/** A document that ends early, at each of its bytes. */
static void test_prefixes(const void *data)
{
	const char *path = data;
	char *good = NULL;
	gsize len = 0;

	g_assert_true(g_file_get_contents(path, &good, &len, NULL));
	for (gsize i = 0; i < len; i++) {
		char *exact = g_memdup2(good, i);

		read_all((gn_str_t){ exact, i });
		g_free(exact);
	}
	g_free(good);
}

static void add(const char *group, const char *document, GTestDataFunc run)
{
	char *path = g_strdup_printf("/%s/%s", group, document);

	g_test_add_data_func(path, document, run);
	g_free(path);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(documents); i++) {
		add("mutants", documents[i], test_mutants);
		add("prefixes", documents[i], test_prefixes);
	}
	return g_test_run();
}
