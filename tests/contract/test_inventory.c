#include <glib.h>
#include <string.h>

#include "common/str.h"
#include "config/inventory.h"
#include "config/rules.h"
#include "config/settings.h"

/* Valid documents, of which each case below changes one part. */
static const char inventory_text[] = "one_way_us = 900\n"
				     "[[data_centre]]\n"
				     "name = \"north\"\n"
				     "region = \"is\"\n"
				     "[[data_centre]]\n"
				     "name = \"south\"\n"
				     "region = \"is\"\n"
				     "[[data_centre]]\n"
				     "name = \"west\"\n"
				     "region = \"is\"\n"
				     "[[host]]\n"
				     "name = \"n1\"\n"
				     "data_centre = \"north\"\n"
				     "rack = \"r1\"\n"
				     "cores = 32\n"
				     "memory_mb = 125000\n"
				     "[[host]]\n"
				     "name = \"s1\"\n"
				     "data_centre = \"south\"\n"
				     "rack = \"r1\"\n"
				     "cores = 16\n"
				     "memory_mb = 60000\n"
				     "accelerators = 2\n"
				     "[[host]]\n"
				     "name = \"n2\"\n"
				     "data_centre = \"north\"\n"
				     "rack = \"r1\"\n"
				     "cores = 32\n"
				     "memory_mb = 125000\n"
				     "[[link]]\n"
				     "from = \"north\"\n"
				     "to = \"south\"\n"
				     "one_way_us = 1500\n";

static const char rules_text[] = "[weights]\n"
				 "tail = 10\n"
				 "evictions = 0.5\n"
				 "[[service]]\n"
				 "name = \"planner\"\n"
				 "data_centres = [\"north\", \"south\"]\n"
				 "[[team]]\n"
				 "name = \"corridors\"\n"
				 "quota_tasks = 24\n"
				 "[[exclude]]\n"
				 "work = [\"a\", \"b\"]\n"
				 "[[exclude]]\n"
				 "work = [\"b\", \"c\"]\n"
				 "[[window]]\n"
				 "data_centre = \"north\"\n"
				 "rack = \"r1\"\n"
				 "begin = \"2026-12-10T06:00:00Z\"\n"
				 "end = \"2026-12-10T12:00:00Z\"\n"
				 "lead_minutes = 30\n"
				 "[[window]]\n"
				 "data_centre = \"north\"\n"
				 "begin = \"2026-12-11T06:00:00Z\"\n"
				 "end = \"2026-12-11T12:00:00Z\"\n"
				 "[[drain]]\n"
				 "host = \"n1\"\n";

/** 2026-12-10T06:00:00Z, computed by `date -u +%s`. */
#define BEGIN_S 1796882400

typedef struct invalid_case_s {
	const char *name;
	const char *part; /**< Text of the valid document to replace. */
	const char *replacement;
	gn_code_t code;
	const char *detail;
} invalid_case_t;

static const invalid_case_t invalid_inventories[] = {
	{ "empty", inventory_text, "", GN_ERR_INVALID, "data_centre: missing" },
	{ "syntax", "\"n1\"", "n1", GN_ERR_INVALID,
	  "line 12: Failed to parse value type" },
	{ "unknown-key", "[[host]]", "[[host]]\nram = 1", GN_ERR_INVALID,
	  "host[1].ram: unknown key" },
	{ "hosts-as-table", "[[link]]", "[link]", GN_ERR_INVALID,
	  "link: expected an array of tables, got a table" },
	{ "data-centre-twice", "\"west\"", "\"north\"", GN_ERR_INVALID,
	  "data_centre[3].name: duplicate name north" },
	{ "host-twice", "\"n2\"", "\"n1\"", GN_ERR_INVALID,
	  "host[3].name: duplicate name n1" },
	{ "host-nowhere", "data_centre = \"south\"", "data_centre = \"east\"",
	  GN_ERR_INVALID, "host[2].data_centre: no data centre east" },
	{ "host-without-rack", "rack = \"r1\"", "", GN_ERR_INVALID,
	  "host[1].rack: missing" },
	{ "no-cores", "cores = 32", "cores = 0", GN_ERR_RANGE,
	  "host[1].cores: 0 is outside 1..4096" },
	{ "much-memory", "60000", "16777217", GN_ERR_RANGE,
	  "host[2].memory_mb: 16777217 is outside 1..16777216" },
	{ "many-accelerators", "accelerators = 2", "accelerators = 257",
	  GN_ERR_RANGE, "host[2].accelerators: 257 is outside 0..256" },
	{ "rack-with-slash", "rack = \"r1\"", "rack = \"r/1\"", GN_ERR_INVALID,
	  "host[1].rack: may contain only letters, digits, '.', '_' and '-'" },
	{ "link-from-nowhere", "from = \"north\"", "from = \"east\"",
	  GN_ERR_INVALID, "link[1].from: no data centre east" },
	{ "link-to-nowhere", "to = \"south\"", "to = \"east\"", GN_ERR_INVALID,
	  "link[1].to: no data centre east" },
	{ "link-to-itself", "to = \"south\"", "to = \"north\"", GN_ERR_INVALID,
	  "link[1].to: link from north to itself" },
	{ "link-twice", "[[link]]",
	  "[[link]]\nfrom = \"south\"\nto = \"north\"\none_way_us = 1\n"
	  "[[link]]",
	  GN_ERR_INVALID, "link[2].to: duplicate link" },
	{ "no-delay", "one_way_us = 900", "one_way_us = 0", GN_ERR_RANGE,
	  "one_way_us: 0 is outside 1..1000000" },
};

static const invalid_case_t invalid_rules[] = {
	{ "syntax", "tail = 10", "tail 10", GN_ERR_INVALID,
	  "line 2: Bare key tail 10 cannot contain whitespace" },
	{ "unknown-key", "tail = 10", "tale = 10", GN_ERR_INVALID,
	  "weights.tale: unknown key" },
	{ "unknown-table", "[[team]]", "[[teams]]", GN_ERR_INVALID,
	  "teams: unknown key" },
	{ "weight-kind", "tail = 10", "tail = true", GN_ERR_INVALID,
	  "weights.tail: expected a number, got a boolean" },
	{ "weight-low", "tail = 10", "tail = -0.5", GN_ERR_RANGE,
	  "weights.tail: -0.5 is outside 0..1000" },
	{ "weight-nan", "tail = 10", "tail = nan", GN_ERR_RANGE,
	  "weights.tail: nan is outside 0..1000" },
	{ "team-twice", "[[team]]",
	  "[[team]]\nname = \"corridors\"\nquota_tasks = 1\n[[team]]",
	  GN_ERR_INVALID, "team[2].name: duplicate name corridors" },
	{ "team-without-quota", "quota_tasks = 24", "", GN_ERR_INVALID,
	  "team[1].quota_tasks: missing" },
	{ "quota-negative", "quota_tasks = 24", "quota_tasks = -1",
	  GN_ERR_RANGE, "team[1].quota_tasks: -1 is outside 0..1000000" },
	{ "team-weight", "quota_tasks = 24", "quota_tasks = 24\nweight = 0",
	  GN_ERR_RANGE, "team[1].weight: 0 is outside 1..1000" },
	{ "service-twice", "[[service]]",
	  "[[service]]\nname = \"planner\"\ndata_centres = [\"north\"]\n"
	  "[[service]]",
	  GN_ERR_INVALID, "service[2].name: duplicate name planner" },
	{ "service-nowhere", "\"north\", \"south\"", "\"north\", \"east\"",
	  GN_ERR_INVALID, "service[1].data_centres: no data centre east" },
	{ "service-spans-nothing", "[\"north\", \"south\"]", "[]", GN_ERR_RANGE,
	  "service[1].data_centres: length 0 is outside 1..64" },
	{ "exclude-one", "[\"a\", \"b\"]", "[\"a\"]", GN_ERR_RANGE,
	  "exclude[1].work: length 1 is outside 2..64" },
	{ "exclude-itself", "[\"b\", \"c\"]", "[\"b\", \"b\"]", GN_ERR_INVALID,
	  "exclude[2].work: duplicate name b" },
	{ "window-nowhere", "data_centre = \"north\"", "data_centre = \"east\"",
	  GN_ERR_INVALID, "window[1].data_centre: no data centre east" },
	{ "window-no-rack", "rack = \"r1\"", "rack = \"r9\"", GN_ERR_INVALID,
	  "window[1].rack: no rack r9 in north" },
	{ "window-backwards", "2026-12-10T12:00:00Z", "2026-12-10T06:00:00Z",
	  GN_ERR_INVALID, "window[1].end: not later than begin" },
	{ "window-no-such-day", "2026-12-10T12:00:00Z", "2027-02-29T06:00:00Z",
	  GN_ERR_INVALID,
	  "window[1].end: expected a UTC time such as "
	  "\"2026-01-31T06:00:00Z\"" },
	{ "window-local-time", "2026-12-10T12:00:00Z", "2026-12-10T12:00:00",
	  GN_ERR_INVALID,
	  "window[1].end: expected a UTC time such as "
	  "\"2026-01-31T06:00:00Z\"" },
	{ "window-toml-time", "\"2026-12-10T12:00:00Z\"",
	  "2026-12-10T12:00:00Z", GN_ERR_INVALID,
	  "window[1].end: expected a string, got a time" },
	{ "window-lead", "lead_minutes = 30", "lead_minutes = 10081",
	  GN_ERR_RANGE, "window[1].lead_minutes: 10081 is outside 0..10080" },
	{ "drain-nowhere", "host = \"n1\"", "host = \"n9\"", GN_ERR_INVALID,
	  "drain[1].host: no host n9" },
	{ "drain-twice", "[[drain]]", "[[drain]]\nhost = \"n1\"\n[[drain]]",
	  GN_ERR_INVALID, "drain[2].host: duplicate name n1" },
};

static char *replace_text(const char *text, const invalid_case_t *c)
{
	const char *at = strstr(text, c->part);

	g_assert_nonnull(at);
	return g_strdup_printf("%.*s%s%s", (int)(at - text), text,
			       c->replacement, at + strlen(c->part));
}

static gn_inventory_t *parse_valid_inventory(void)
{
	gn_inventory_t *inventory = NULL;
	gn_error_t error = { 0 };

	gn_inventory_parse(NULL, "i.toml", gn_str_from(inventory_text),
			   &inventory, &error);
	g_assert_cmpstr(error.detail, ==, "");
	g_assert_nonnull(inventory);
	return inventory;
}

static gn_rules_t *parse_valid_rules(const gn_inventory_t *inventory)
{
	gn_rules_t *rules = NULL;
	gn_error_t error = { 0 };

	gn_rules_parse(NULL, "r.toml", gn_str_from(rules_text), inventory,
		       &rules, &error);
	g_assert_cmpstr(error.detail, ==, "");
	g_assert_nonnull(rules);
	return rules;
}

static void test_invalid_inventory(const void *data)
{
	const invalid_case_t *c = data;
	gn_inventory_t *inventory = NULL;
	gn_error_t error = { 0 };
	char *text = replace_text(inventory_text, c);

	g_assert_cmpint(gn_inventory_parse(NULL, "i.toml", gn_str_from(text),
					   &inventory, &error),
			==, c->code);
	g_assert_cmpstr(error.detail, ==, c->detail);
	g_assert_cmpstr(error.step, ==, "inventory");
	g_assert_cmpstr(error.peer, ==, "i.toml");
	g_assert_null(inventory);
	g_free(text);
}

static void test_invalid_rules(const void *data)
{
	const invalid_case_t *c = data;
	gn_inventory_t *inventory = parse_valid_inventory();
	gn_rules_t *rules = NULL;
	gn_error_t error = { 0 };
	char *text = replace_text(rules_text, c);

	g_assert_cmpint(gn_rules_parse(NULL, "r.toml", gn_str_from(text),
				       inventory, &rules, &error),
			==, c->code);
	g_assert_cmpstr(error.detail, ==, c->detail);
	g_assert_cmpstr(error.step, ==, "rules");
	g_assert_cmpstr(error.peer, ==, "r.toml");
	g_assert_null(rules);
	g_free(text);
	talloc_free(inventory);
}

static void test_inventory(void)
{
	gn_inventory_t *inventory = parse_valid_inventory();
	const gn_host_t *host = gn_inventory_find_host(inventory, "n2");
	const gn_rack_t *rack;

	g_assert_cmpuint(inventory->host_count, ==, 3);
	g_assert_cmpuint(inventory->rack_count, ==, 2);
	g_assert_cmpuint(host->cores, ==, 32);
	g_assert_cmpuint(host->accelerators, ==, 0);
	g_assert_cmpuint(host->data_centre_index, ==, 0);
	rack = &inventory->racks[host->rack_index];
	g_assert_true(gn_inventory_find_rack(inventory, "north", "r1") == rack);
	g_assert_cmpuint(rack->host_count, ==, 2);
	g_assert_cmpuint(rack->hosts[0], ==, 0);
	g_assert_cmpuint(rack->hosts[1], ==, 2);
	g_assert_null(gn_inventory_find_rack(inventory, "west", "r1"));
	g_assert_null(gn_inventory_find_host(inventory, "n9"));
	g_assert_cmpuint(gn_inventory_one_way_us(inventory, 0, 0), ==, 0);
	g_assert_cmpuint(gn_inventory_one_way_us(inventory, 1, 0), ==, 1500);
	g_assert_cmpuint(gn_inventory_one_way_us(inventory, 0, 2), ==, 900);
	talloc_free(inventory);
}

static void test_rules(void)
{
	gn_inventory_t *inventory = parse_valid_inventory();
	gn_rules_t *rules = parse_valid_rules(inventory);

	g_assert_cmpfloat(rules->weights.tail, ==, 10);
	g_assert_cmpfloat(rules->weights.evictions, ==, 0.5);
	g_assert_cmpfloat(rules->weights.throughput, ==, 1);
	g_assert_cmpuint(gn_rules_find_team(rules, "corridors")->quota_tasks,
			 ==, 24);
	g_assert_cmpuint(gn_rules_find_team(rules, "corridors")->weight, ==, 1);
	g_assert_null(gn_rules_find_team(rules, "none"));
	g_assert_cmpuint(
		gn_rules_find_service(rules, "planner")->data_centre_count, ==,
		2);
	g_assert_true(gn_rules_is_drained(rules, "n1"));
	g_assert_false(gn_rules_is_drained(rules, "n2"));
	talloc_free(rules);
	talloc_free(inventory);
}

static void test_may_share_host(void)
{
	static const struct {
		const char *a;
		const char *b;
		bool may_share;
	} cases[] = {
		{ "a", "b", false }, { "b", "a", false }, { "b", "c", false },
		{ "a", "c", true },  { "a", "a", true },  { "a", "x", true },
		{ "x", "y", true },
	};
	gn_rules_t *rules = parse_valid_rules(NULL);

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpint(
			gn_rules_may_share_host(rules, cases[i].a, cases[i].b),
			==, cases[i].may_share);
	talloc_free(rules);
}

static void test_windows(void)
{
	gn_rules_t *rules = parse_valid_rules(NULL);
	const gn_window_t *first = &rules->windows[0];
	const gn_window_t *second = &rules->windows[1];
	const struct {
		const char *data_centre;
		const char *rack;
		int64_t now_s;
		const gn_window_t *window;
	} cases[] = {
		{ "north", "r1", 0, first },
		{ "north", "r1", first->end_s - 1, first },
		{ "north", "r1", first->end_s, second },
		{ "north", "r2", 0, second },
		{ "north", "r1", second->end_s, NULL },
		{ "south", "r1", 0, NULL },
	};

	g_assert_cmpint(first->begin_s, ==, BEGIN_S);
	g_assert_cmpint(gn_window_drain_begin_s(first), ==, BEGIN_S - 30 * 60);
	g_assert_cmpuint(second->lead_minutes, ==, 60);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_true(gn_rules_next_window(rules, cases[i].data_centre,
						   cases[i].rack,
						   cases[i].now_s) ==
			      cases[i].window);
	talloc_free(rules);
}

/** Rules must not refer to a host that a new inventory no longer has. */
static void test_check_other_inventory(void)
{
	gn_rules_t *rules = parse_valid_rules(NULL);
	const invalid_case_t renamed = { .part = "\"n1\"",
					 .replacement = "\"n3\"" };
	char *text = replace_text(inventory_text, &renamed);
	gn_inventory_t *inventory = NULL;
	gn_error_t error = { 0 };

	gn_inventory_parse(NULL, "i.toml", gn_str_from(text), &inventory, NULL);
	g_assert_cmpint(gn_rules_check(rules, "r.toml", inventory, &error), ==,
			GN_ERR_INVALID);
	g_assert_cmpstr(error.detail, ==, "drain[1].host: no host n1");
	talloc_free(inventory);
	talloc_free(rules);
	g_free(text);
}

/** Returns whether @p host is drained in @p text; checks the other rules. */
static bool is_drained_in(gn_str_t text, const char *host)
{
	gn_rules_t *rules = NULL;
	bool drained;

	g_assert_cmpint(
		gn_rules_parse(NULL, "r.toml", text, NULL, &rules, NULL), ==,
		GN_OK);
	drained = gn_rules_is_drained(rules, host);
	g_assert_cmpuint(rules->team_count, ==, 1);
	g_assert_cmpuint(rules->window_count, ==, 2);
	g_assert_cmpint(rules->windows[0].begin_s, ==, BEGIN_S);
	g_assert_cmpfloat(rules->weights.evictions, ==, 0.5);
	g_assert_cmpuint(rules->exclusions[1].work_count, ==, 2);
	talloc_free(rules);
	return drained;
}

static void test_drain(void)
{
	gn_str_t text = gn_str_from(rules_text);
	gn_str_t drained;
	gn_str_t resumed;

	/* Removing a drain that was added by a command restores the text. */
	g_assert_cmpint(
		gn_rules_set_drain(NULL, text, "n2", true, &drained, NULL), ==,
		GN_OK);
	g_assert_true(is_drained_in(drained, "n2"));
	g_assert_true(is_drained_in(drained, "n1"));
	g_assert_cmpint(
		gn_rules_set_drain(NULL, drained, "n2", false, &resumed, NULL),
		==, GN_OK);
	g_assert_cmpstr(resumed.data, ==, rules_text);
	talloc_free((void *)resumed.data);
	talloc_free((void *)drained.data);

	/* Removing any other drain keeps the meaning of the rest. */
	g_assert_cmpint(
		gn_rules_set_drain(NULL, text, "n1", false, &resumed, NULL), ==,
		GN_OK);
	g_assert_false(is_drained_in(resumed, "n1"));
	talloc_free((void *)resumed.data);

	/* Adding an existing drain keeps the text. */
	g_assert_cmpint(
		gn_rules_set_drain(NULL, text, "n1", true, &drained, NULL), ==,
		GN_OK);
	g_assert_cmpstr(drained.data, ==, rules_text);
	talloc_free((void *)drained.data);
}

/** A host name that contains TOML must not add rules. */
static void test_drain_injection(void)
{
	gn_error_t error = { 0 };
	gn_str_t changed = { 0 };

	g_assert_cmpint(gn_rules_set_drain(NULL, gn_str_from(rules_text),
					   "n2\"\n[[team]]\nname = \"x\"\n"
					   "quota_tasks = 1 #",
					   true, &changed, &error),
			==, GN_ERR_INVALID);
	g_assert_cmpstr(error.detail, ==, "not a valid host name");
	g_assert_null(changed.data);
}

static void check_example(const char *user, size_t host_count)
{
	char *folder = g_build_filename("examples", user, NULL);
	char *inventory_path = g_build_filename(folder, "inventory.toml", NULL);
	char *rules_path = g_build_filename(folder, "rules.toml", NULL);
	char *entry_path = g_build_filename(folder, "entry.toml", NULL);
	char *agent_path = g_build_filename(folder, "agent.toml", NULL);
	gn_inventory_t *inventory = NULL;
	gn_settings_t *agent = NULL;
	gn_settings_t *entry = NULL;
	gn_rules_t *rules = NULL;
	gn_error_t error = { 0 };

	gn_inventory_load(NULL, inventory_path, &inventory, &error);
	g_assert_cmpstr(error.detail, ==, "");
	gn_rules_load(NULL, rules_path, inventory, &rules, &error);
	g_assert_cmpstr(error.detail, ==, "");
	gn_settings_load(NULL, entry_path, &entry, &error);
	g_assert_cmpstr(error.detail, ==, "");
	gn_settings_load(NULL, agent_path, &agent, &error);
	g_assert_cmpstr(error.detail, ==, "");
	g_assert_cmpuint(inventory->host_count, ==, host_count);
	g_assert_cmpuint(inventory->data_centre_count, ==, 3);
	g_assert_cmpuint(inventory->rack_count, ==, 4);
	g_assert_nonnull(gn_inventory_find_host(inventory, agent->name));
	g_assert_nonnull(gn_rules_find_service(rules, agent->service));
	talloc_free(agent);
	talloc_free(entry);
	talloc_free(rules);
	talloc_free(inventory);
	g_free(agent_path);
	g_free(entry_path);
	g_free(rules_path);
	g_free(inventory_path);
	g_free(folder);
}

static void test_examples(void)
{
	check_example("graenbylgja", 11);
	check_example("ohrmarken", 11);
}

static void add_cases(const char *group, const invalid_case_t *cases,
		      size_t count, GTestDataFunc run)
{
	for (size_t i = 0; i < count; i++) {
		char *path =
			g_strdup_printf("/%s/bad/%s", group, cases[i].name);

		g_test_add_data_func(path, &cases[i], run);
		g_free(path);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	add_cases("inventory", invalid_inventories,
		  G_N_ELEMENTS(invalid_inventories), test_invalid_inventory);
	add_cases("rules", invalid_rules, G_N_ELEMENTS(invalid_rules),
		  test_invalid_rules);
	g_test_add_func("/inventory/good", test_inventory);
	g_test_add_func("/rules/good", test_rules);
	g_test_add_func("/rules/sharing", test_may_share_host);
	g_test_add_func("/rules/windows", test_windows);
	g_test_add_func("/rules/other-inventory", test_check_other_inventory);
	g_test_add_func("/rules/drain", test_drain);
	g_test_add_func("/rules/drain-injection", test_drain_injection);
	g_test_add_func("/config/examples", test_examples);
	return g_test_run();
}
