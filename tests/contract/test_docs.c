/* Tests that the documentation lists exactly the counters and the keys of the
 * settings that the code has. */
#include <glib.h>
#include <string.h>

#define DOC_PATH "docs/OPERATIONS.md"
#define SETTINGS_PATH "lib/config/settings.c"

static char *read_file(const char *path)
{
	char *text = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		g_error("cannot read %s; run in the root directory", path);
	return text;
}

/*
 * Adds the first group of each match of @p pattern in @p text, preceded by
 * @p prefix.
 */
static void collect_matches(GHashTable *names, const char *prefix,
			    const char *pattern, const char *text)
{
	GRegex *regex = g_regex_new(pattern, G_REGEX_MULTILINE, 0, NULL);
	GMatchInfo *match;

	g_assert_nonnull(regex);
	g_regex_match(regex, text, 0, &match);
	for (; g_match_info_matches(match); g_match_info_next(match, NULL)) {
		char *name = g_match_info_fetch(match, 1);

		g_hash_table_add(names, g_strconcat(prefix, name, NULL));
		g_free(name);
	}
	g_match_info_free(match);
	g_regex_unref(regex);
}

static GHashTable *create_names(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/*
 * Returns the names in the first columns of the tables of the section that
 * begins with @p title.
 */
static GHashTable *read_section(const char *title)
{
	GHashTable *names = create_names();
	char *page = read_file(DOC_PATH);
	char **sections = g_strsplit(page, "\n## ", -1);

	for (char **section = sections; *section; section++)
		if (g_str_has_prefix(*section, title))
			collect_matches(names, "", "^\\| `([a-z_.]+)` \\|",
					*section);
	g_strfreev(sections);
	g_free(page);
	return names;
}

static unsigned count_missing(GHashTable *names, GHashTable *in,
			      const char *message)
{
	GHashTableIter iter;
	gpointer name;
	unsigned missing = 0;

	g_hash_table_iter_init(&iter, names);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		if (g_hash_table_contains(in, name))
			continue;
		g_test_message("%s: %s", message, (char *)name);
		missing++;
	}
	return missing;
}

static void assert_same_names(GHashTable *code, GHashTable *page)
{
	g_assert_cmpuint(g_hash_table_size(code), >, 0);
	g_assert_cmpuint(count_missing(code, page, "not in " DOC_PATH), ==, 0);
	g_assert_cmpuint(count_missing(page, code, "not in the code"), ==, 0);
	g_hash_table_destroy(code);
	g_hash_table_destroy(page);
}

static void collect_counters(GHashTable *names, const char *folder)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		char *path = g_build_filename(folder, name, NULL);

		if (g_str_has_suffix(name, ".c")) {
			char *text = read_file(path);

			/* Names may be in a table apart from the call. */
			if (strstr(text, "gn_counters_get("))
				collect_matches(names, "",
						"\"([a-z]+(?:\\.[a-z_]+)+)\"",
						text);
			g_free(text);
		}
		g_free(path);
	}
	if (dir)
		g_dir_close(dir);
}

static void test_counters(void)
{
	GHashTable *names = create_names();
	GDir *dir = g_dir_open("lib", 0, NULL);
	const char *name;

	g_assert_nonnull(dir);
	while ((name = g_dir_read_name(dir))) {
		char *folder = g_build_filename("lib", name, NULL);

		collect_counters(names, folder);
		g_free(folder);
	}
	g_dir_close(dir);
	assert_same_names(names, read_section("Counters\n"));
}

/* Adds the keys of one table of fields, except keys whose values are tables. */
static void collect_keys(GHashTable *names, const char *table,
			 const char *prefix, const char *code)
{
	char *head = g_strdup_printf("%s_fields[] = {", table);
	const char *start = strstr(code, head);
	char *text;

	g_assert_nonnull(start);
	text = g_strndup(start, (gsize)(strstr(start, "LAST,") - start));
	collect_matches(
		names, prefix,
		"\\.key = \"([a-z_]+)\",\\s*\\.read = (?!gn_schema_table)",
		text);
	collect_matches(names, prefix, "(?:NUMBER|ROUNDED)\\(\"([a-z_]+)\"",
			text);
	g_free(text);
	g_free(head);
}

static void test_settings_keys(void)
{
	GHashTable *names = create_names();
	char *code = read_file(SETTINGS_PATH);

	collect_keys(names, "settings", "", code);
	collect_keys(names, "http", "http.", code);
	collect_keys(names, "platform", "platform.", code);
	collect_keys(names, "link", "link.", code);
	collect_keys(names, "worker", "worker.", code);
	collect_keys(names, "jobs", "jobs.", code);
	collect_keys(names, "metrics", "metrics.", code);
	collect_keys(names, "interference", "interference.", code);
	collect_keys(names, "limit", "limit.", code);
	collect_keys(names, "eject", "eject.", code);
	collect_keys(names, "retry", "retry.", code);
	g_free(code);
	assert_same_names(names, read_section("Settings of a daemon\n"));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/docs/counters", test_counters);
	g_test_add_func("/docs/settings_keys", test_settings_keys);
	return g_test_run();
}
