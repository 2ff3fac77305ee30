#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <syslog.h>

#include "common/str.h"
#include "config/settings.h"
#include "config/toml.h"

/* Valid documents, of which each case below changes one line. */
static const char entry_text[] = "role = \"entry\"\n"
				 "name = \"entry-1\"\n"
				 "region = \"is-sudvestur\"\n"
				 "data_centre = \"reykjavik-a\"\n"
				 "[http]\n"
				 "listen = \"127.0.0.1:8080\"\n"
				 "[platform]\n"
				 "address = \"127.0.0.1:2379\"\n"
				 "[link]\n"
				 "listen = \"127.0.0.1:7000\"\n";

static const char agent_text[] = "role = \"agent\"\n"
				 "name = \"worker-1\"\n"
				 "region = \"is-sudvestur\"\n"
				 "data_centre = \"reykjavik-a\"\n"
				 "[http]\n"
				 "listen = \"127.0.0.1:8080\"\n"
				 "[link]\n"
				 "entries = [\"127.0.0.1:7000\"]\n"
				 "[worker]\n"
				 "service = \"timing-planner\"\n"
				 "rack = \"rack-1\"\n"
				 "max_tasks = 8\n"
				 "max_connections = 64\n"
				 "cores = 32\n"
				 "memory_mb = 125000\n";

/* Settings of a scheduler as a platform with hundreds of hosts states them. */
static const char scheduler_text[] = "role = \"scheduler\"\n"
				     "name = \"front-reykjavik-a-1\"\n"
				     "region = \"is-sudvestur\"\n"
				     "data_centre = \"reykjavik-a\"\n"
				     "stop_grace_s = 6\n"
				     "[http]\n"
				     "listen = \"10.1.0.13:8161\"\n"
				     "readiness = \"10.1.0.13:8167\"\n"
				     "timeout_ms = 15000\n"
				     "connections = 2000\n"
				     "[link]\n"
				     "listen = \"10.1.0.13:7720\"\n"
				     "[platform]\n"
				     "address = \"10.200.1.7:8169\"\n"
				     "calls_per_s = 3200\n"
				     "lease_ttl_ms = 1000\n"
				     "[jobs]\n"
				     "lease_max_ms = 10000\n"
				     "cores = 0.12\n"
				     "link_mbps = 20.0\n";

#define NAME_63 \
	"abcdefghijklmnopqrstuvwxyzabcdefghijklmnopqrstuvwxyzabcdefghijk"

/** A comment of 4097 bytes, one more than GN_TOML_LINE_MAX. */
#define HASHES_16 "################"
#define HASHES_256                                                            \
	HASHES_16 HASHES_16 HASHES_16 HASHES_16 HASHES_16 HASHES_16 HASHES_16 \
		HASHES_16 HASHES_16 HASHES_16 HASHES_16 HASHES_16 HASHES_16   \
			HASHES_16 HASHES_16 HASHES_16
#define HASHES_1024 HASHES_256 HASHES_256 HASHES_256 HASHES_256
#define LONG_COMMENT HASHES_1024 HASHES_1024 HASHES_1024 HASHES_1024 "#"

typedef struct invalid_case_s {
	const char *name;
	const char *text; /**< Valid document. */
	const char *line; /**< Text to replace. */
	const char *replacement;
	gn_code_t code;
	const char *detail;
} invalid_case_t;

static const invalid_case_t invalid_cases[] = {
	{ "syntax", entry_text, "name = \"entry-1\"", "name = ", GN_ERR_INVALID,
	  "line 2: Failed to parse value type" },
	{ "inline-table", entry_text, "[http]", "a = {}\n[http]",
	  GN_ERR_INVALID,
	  "line 5: contains '{', but inline tables are not supported" },
	{ "long-line", entry_text, "[http]", LONG_COMMENT "\n[http]",
	  GN_ERR_RANGE, "line 5: longer than 4096 bytes" },
	{ "key-twice", entry_text, "name = \"entry-1\"", "role = \"agent\"",
	  GN_ERR_INVALID, "line 2: Key role already present" },
	{ "unknown-key", entry_text, "[http]", "[http]\nlisen = 1",
	  GN_ERR_INVALID, "http.lisen: unknown key" },
	{ "unknown-keys-first-by-name", entry_text, "[http]",
	  "zeta = 1\nalpha = 2\n[http]", GN_ERR_INVALID, "alpha: unknown key" },
	{ "unknown-table", entry_text, "[http]", "[htpp]\na = 1\n[http]",
	  GN_ERR_INVALID, "htpp: unknown key" },
	{ "no-role", entry_text, "role = \"entry\"", "", GN_ERR_INVALID,
	  "role: missing" },
	{ "bad-role", entry_text, "role = \"entry\"", "role = \"leader\"",
	  GN_ERR_INVALID,
	  "role: expected one of entry, agent, scheduler, executor" },
	{ "role-kind", entry_text, "role = \"entry\"", "role = 1",
	  GN_ERR_INVALID, "role: expected a string, got an integer" },
	{ "no-name", entry_text, "name = \"entry-1\"", "", GN_ERR_INVALID,
	  "name: missing" },
	{ "empty-name", entry_text, "name = \"entry-1\"", "name = \"\"",
	  GN_ERR_RANGE, "name: length of 0 bytes is outside 1..63" },
	{ "long-name", entry_text, "name = \"entry-1\"",
	  "name = \"" NAME_63 "l\"", GN_ERR_RANGE,
	  "name: length of 64 bytes is outside 1..63" },
	{ "name-letters", entry_text, "name = \"entry-1\"",
	  "name = \"entry/1\"", GN_ERR_INVALID,
	  "name: may contain only letters, digits, '.', '_' and '-'" },
	{ "log-level", entry_text, "[http]", "log_level = \"loud\"\n[http]",
	  GN_ERR_INVALID,
	  "log_level: expected one of err, warning, notice, info, debug" },
	{ "no-http", entry_text, "[http]\nlisten = \"127.0.0.1:8080\"", "",
	  GN_ERR_INVALID, "http: missing" },
	{ "http-kind", entry_text, "[http]", "[[http]]", GN_ERR_INVALID,
	  "http: expected a table, got an array of tables" },
	{ "number-kind", entry_text, "[http]", "[http]\nthreads = \"2\"",
	  GN_ERR_INVALID, "http.threads: expected an integer, got a string" },
	{ "number-float", entry_text, "[http]", "[http]\nthreads = 2.0",
	  GN_ERR_INVALID, "http.threads: expected an integer, got a float" },
	{ "number-low", entry_text, "[http]", "[http]\nthreads = 0",
	  GN_ERR_RANGE, "http.threads: 0 is outside 1..16" },
	{ "number-high", entry_text, "[http]", "[http]\nthreads = 17",
	  GN_ERR_RANGE, "http.threads: 17 is outside 1..16" },
	{ "number-negative", entry_text, "[http]", "[http]\nthreads = -1",
	  GN_ERR_RANGE, "http.threads: -1 is outside 1..16" },
	{ "number-wraps", entry_text, "[http]", "[http]\nthreads = 4294967297",
	  GN_ERR_RANGE, "http.threads: 4294967297 is outside 1..16" },
	{ "address-kind", entry_text, "listen = \"127.0.0.1:8080\"",
	  "listen = 8080", GN_ERR_INVALID,
	  "http.listen: expected a string, got an integer" },
	{ "address-name", entry_text, "listen = \"127.0.0.1:8080\"",
	  "listen = \"localhost:8080\"", GN_ERR_INVALID,
	  "http.listen: expected IP:PORT with port 1..65535" },
	{ "address-no-port", entry_text, "listen = \"127.0.0.1:8080\"",
	  "listen = \"127.0.0.1\"", GN_ERR_INVALID,
	  "http.listen: expected IP:PORT with port 1..65535" },
	{ "address-port-0", entry_text, "listen = \"127.0.0.1:8080\"",
	  "listen = \"127.0.0.1:0\"", GN_ERR_INVALID,
	  "http.listen: expected IP:PORT with port 1..65535" },
	{ "address-port-high", entry_text, "listen = \"127.0.0.1:8080\"",
	  "listen = \"127.0.0.1:65536\"", GN_ERR_INVALID,
	  "http.listen: expected IP:PORT with port 1..65535" },
	{ "address-short-ip", entry_text, "listen = \"127.0.0.1:8080\"",
	  "listen = \"127.1:8080\"", GN_ERR_INVALID,
	  "http.listen: expected IP:PORT with port 1..65535" },
	{ "address-v6-open", entry_text, "listen = \"127.0.0.1:8080\"",
	  "listen = \"[::1:8080\"", GN_ERR_INVALID,
	  "http.listen: expected IP:PORT with port 1..65535" },
	{ "address-twice", entry_text, "listen = \"127.0.0.1:7000\"",
	  "listen = \"127.0.0.1:8080\"", GN_ERR_INVALID,
	  "link.listen: 127.0.0.1:8080 is already the address of http.listen" },
	{ "advertise-kind", entry_text, "[http]", "[http]\nadvertise = 8080",
	  GN_ERR_INVALID, "http.advertise: expected a string, got an integer" },
	{ "advertise-name", entry_text, "[http]",
	  "[http]\nadvertise = \"entry-1:8080\"", GN_ERR_INVALID,
	  "http.advertise: expected IP:PORT with port 1..65535" },
	{ "advertise-is-links", entry_text, "[http]",
	  "[http]\nadvertise = \"127.0.0.1:7000\"", GN_ERR_INVALID,
	  "link.listen: 127.0.0.1:7000 is already the address of "
	  "http.advertise" },
	{ "advertise-of-agent", agent_text, "[http]",
	  "[http]\nadvertise = \"127.0.0.1:8081\"", GN_ERR_INVALID,
	  "http.advertise: not allowed for this role" },
	{ "platform-address-twice", entry_text, "address = \"127.0.0.1:2379\"",
	  "address = \"127.0.0.1:8080\"", GN_ERR_INVALID,
	  "platform.address: 127.0.0.1:8080 is already the address of "
	  "http.listen" },
	{ "address-twice-written-differently", entry_text,
	  "[http]\nlisten = \"127.0.0.1:8080\"\n[platform]\n"
	  "address = \"127.0.0.1:2379\"",
	  "[http]\nlisten = \"[::1]:80\"\n[platform]\n"
	  "address = \"[0:0::1]:80\"",
	  GN_ERR_INVALID,
	  "platform.address: [::1]:80 is already the address of http.listen" },
	{ "entry-without-platform", entry_text,
	  "[platform]\naddress = \"127.0.0.1:2379\"", "", GN_ERR_INVALID,
	  "platform: missing" },
	{ "entry-with-entries", entry_text, "listen = \"127.0.0.1:7000\"",
	  "listen = \"127.0.0.1:7000\"\nentries = [\"127.0.0.1:7001\"]",
	  GN_ERR_INVALID, "link.entries: not allowed for this role" },
	{ "entry-with-worker", entry_text, "[platform]",
	  "[worker]\ncores = 1\n[platform]", GN_ERR_INVALID,
	  "worker: not allowed for this role" },
	{ "beat-timeout", entry_text, "[link]",
	  "[link]\nbeat_interval_ms = 700", GN_ERR_RANGE,
	  "link.beat_timeout_ms: 2000 is less than 2100 (3 times "
	  "link.beat_interval_ms)" },
	{ "limit-unknown", entry_text, "[http]", "[limit]\nflor = 1\n[http]",
	  GN_ERR_INVALID, "limit.flor: unknown key" },
	{ "limit-kind", entry_text, "[http]", "[limit]\nfloor = \"1\"\n[http]",
	  GN_ERR_INVALID, "limit.floor: expected an integer, got a string" },
	{ "limit-range", entry_text, "[http]",
	  "[limit]\nbatch_pct = 101\n[http]", GN_ERR_RANGE,
	  "limit.batch_pct: 101 is outside 1..100" },
	{ "limit-ceiling", entry_text, "[http]",
	  "[limit]\nceiling = 15\n[http]", GN_ERR_RANGE,
	  "limit.ceiling: 15 is less than limit.floor (16)" },
	{ "limit-start-low", entry_text, "[http]",
	  "[limit]\nstart = 15\n[http]", GN_ERR_RANGE,
	  "limit.start: 15 is less than limit.floor (16)" },
	{ "limit-start-high", entry_text, "[http]",
	  "[limit]\nstart = 8193\n[http]", GN_ERR_RANGE,
	  "limit.ceiling: 8192 is less than limit.start (8193)" },
	{ "limit-returns", entry_text, "[http]",
	  "[limit]\nreturn_max_ms = 199\n[http]", GN_ERR_RANGE,
	  "limit.return_max_ms: 199 is less than limit.return_min_ms (200)" },
	{ "eject-unknown", entry_text, "[http]", "[eject]\nfast = 1\n[http]",
	  GN_ERR_INVALID, "eject.fast: unknown key" },
	{ "eject-range", entry_text, "[http]",
	  "[eject]\nmax_ejected_pct = 91\n[http]", GN_ERR_RANGE,
	  "eject.max_ejected_pct: 91 is outside 1..90" },
	{ "eject-longest", entry_text, "[http]",
	  "[eject]\nlongest_ms = 999\n[http]", GN_ERR_RANGE,
	  "eject.longest_ms: 999 is less than eject.first_ms (1000)" },
	{ "retry-range", entry_text, "[http]", "[retry]\ntries = 5\n[http]",
	  GN_ERR_RANGE, "retry.tries: 5 is outside 1..4" },
	{ "retry-of-agent", agent_text, "[link]", "[retry]\ntries = 2\n[link]",
	  GN_ERR_INVALID, "retry: not allowed for this role" },
	{ "agent-with-platform", agent_text, "[link]",
	  "[platform]\naddress = \"127.0.0.1:2379\"\n[link]", GN_ERR_INVALID,
	  "platform: not allowed for this role" },
	{ "agent-without-worker", agent_text,
	  "[worker]\nservice = \"timing-planner\"\nrack = \"rack-1\"\n"
	  "max_tasks = 8\nmax_connections = 64\ncores = 32\n"
	  "memory_mb = 125000",
	  "", GN_ERR_INVALID, "worker: missing" },
	{ "agent-without-tasks", agent_text, "max_tasks = 8", "",
	  GN_ERR_INVALID, "worker.max_tasks: missing" },
	{ "interference-of-entry", entry_text, "[link]",
	  "[interference]\ntarget_ms = 50\n[link]", GN_ERR_INVALID,
	  "interference: not allowed for this role" },
	{ "interference-target", agent_text, "[link]",
	  "[interference]\ntarget_ms = 60001\n[link]", GN_ERR_RANGE,
	  "interference.target_ms: 60001 is outside 0..60000" },
	{ "interference-weight", agent_text, "[link]",
	  "[interference]\ntail = 101\n[link]", GN_ERR_RANGE,
	  "interference.tail: 101 is outside 0..100" },
	{ "interference-key", agent_text, "[link]",
	  "[interference]\ntails = 1\n[link]", GN_ERR_INVALID,
	  "interference.tails: unknown key" },
	{ "no-entries", agent_text, "entries = [\"127.0.0.1:7000\"]", "",
	  GN_ERR_INVALID, "link.entries: missing" },
	{ "empty-entries", agent_text, "entries = [\"127.0.0.1:7000\"]",
	  "entries = []", GN_ERR_RANGE,
	  "link.entries: length 0 is outside 1..256" },
	{ "entries-kind", agent_text, "entries = [\"127.0.0.1:7000\"]",
	  "entries = \"127.0.0.1:7000\"", GN_ERR_INVALID,
	  "link.entries: expected an array, got a string" },
	{ "entries-numbers", agent_text, "entries = [\"127.0.0.1:7000\"]",
	  "entries = [7000]", GN_ERR_INVALID,
	  "link.entries[1]: expected a string" },
	{ "entries-bad", agent_text, "entries = [\"127.0.0.1:7000\"]",
	  "entries = [\"127.0.0.1:7000\", \"entry-2:7000\"]", GN_ERR_INVALID,
	  "link.entries[2]: expected IP:PORT with port 1..65535" },
	{ "entries-twice", agent_text, "entries = [\"127.0.0.1:7000\"]",
	  "entries = [\"127.0.0.1:7000\", \"127.0.0.1:7000\"]", GN_ERR_INVALID,
	  "link.entries: 127.0.0.1:7000 is already the address of "
	  "link.entries" },
	{ "entry-is-own-address", agent_text, "entries = [\"127.0.0.1:7000\"]",
	  "entries = [\"127.0.0.1:8080\"]", GN_ERR_INVALID,
	  "link.entries: 127.0.0.1:8080 is already the address of http.listen" },
};

/** Returns the document with the text of the case replaced. */
static char *replace_text(const invalid_case_t *c)
{
	const char *at = strstr(c->text, c->line);

	g_assert_nonnull(at);
	return g_strdup_printf("%.*s%s%s", (int)(at - c->text), c->text,
			       c->replacement, at + strlen(c->line));
}

static void test_invalid(const void *data)
{
	const invalid_case_t *c = data;
	gn_settings_t *settings = NULL;
	gn_error_t error = { 0 };
	char *text = replace_text(c);

	g_assert_cmpint(gn_settings_parse(NULL, "a.toml", gn_str_from(text),
					  &settings, &error),
			==, c->code);
	g_assert_cmpstr(error.detail, ==, c->detail);
	g_assert_cmpint(error.code, ==, c->code);
	g_assert_cmpstr(error.step, ==, "settings");
	g_assert_cmpstr(error.peer, ==, "a.toml");
	g_assert_null(settings);
	g_free(text);
}

static gn_settings_t *parse_valid(const char *text)
{
	gn_settings_t *settings = NULL;
	gn_error_t error = { 0 };

	gn_settings_parse(NULL, "a.toml", gn_str_from(text), &settings, &error);
	g_assert_cmpstr(error.detail, ==, "");
	g_assert_nonnull(settings);
	return settings;
}

static void test_entry(void)
{
	gn_settings_t *s = parse_valid(entry_text);

	g_assert_cmpint(s->role, ==, GN_ROLE_ENTRY);
	g_assert_cmpstr(s->name, ==, "entry-1");
	g_assert_cmpstr(s->region, ==, "is-sudvestur");
	g_assert_cmpstr(s->data_centre, ==, "reykjavik-a");
	g_assert_cmpint(s->log_level, ==, LOG_INFO);
	g_assert_cmpstr(s->http_listen, ==, "127.0.0.1:8080");
	g_assert_cmpstr(s->http_advertise, ==, "127.0.0.1:8080");
	g_assert_cmpuint(s->http_connections, ==, 1024);
	g_assert_cmpuint(s->http_timeout_ms, ==, 10000);
	g_assert_cmpuint(s->http_threads, ==, 1);
	g_assert_cmpstr(s->platform_address, ==, "127.0.0.1:2379");
	g_assert_cmpuint(s->platform_calls_per_s, ==, 40);
	g_assert_cmpuint(s->lease_ttl_ms, ==, 6000);
	g_assert_cmpstr(s->link_listen, ==, "127.0.0.1:7000");
	g_assert_cmpuint(s->entry_count, ==, 0);
	g_assert_cmpuint(s->beat_interval_ms, ==, 500);
	g_assert_cmpuint(s->beat_timeout_ms, ==, 2000);
	g_assert_cmpuint(s->stop_grace_ms, ==, 30000);
	g_assert_null(s->service);
	talloc_free(s);
}

/* Omitted keys have the default values of their modules. */
static void test_defaults(void)
{
	gn_settings_t *s = parse_valid(entry_text);
	const gn_limit_config_t limit = gn_limit_defaults();
	const gn_eject_config_t eject = gn_eject_defaults();
	const gn_retry_config_t retry = gn_retry_defaults();

	g_assert_cmpmem(&s->limit, sizeof(s->limit), &limit, sizeof(limit));
	g_assert_cmpmem(&s->eject, sizeof(s->eject), &eject, sizeof(eject));
	g_assert_cmpmem(&s->retry, sizeof(s->retry), &retry, sizeof(retry));
	talloc_free(s);
}

static void test_agent(void)
{
	gn_settings_t *s = parse_valid(agent_text);

	g_assert_cmpint(s->role, ==, GN_ROLE_AGENT);
	g_assert_cmpuint(s->entry_count, ==, 1);
	g_assert_cmpstr(s->entries[0], ==, "127.0.0.1:7000");
	g_assert_cmpstr(s->service, ==, "timing-planner");
	g_assert_cmpstr(s->rack, ==, "rack-1");
	g_assert_cmpuint(s->max_tasks, ==, 8);
	g_assert_cmpuint(s->max_connections, ==, 64);
	g_assert_cmpuint(s->cores, ==, 32);
	g_assert_cmpuint(s->memory_mb, ==, 125000);
	g_assert_cmpuint(s->accelerators, ==, 0);
	g_assert_null(s->platform_address);
	g_assert_null(s->link_listen);
	talloc_free(s);
}

static void test_bounds_are_allowed(void)
{
	gn_settings_t *s;
	const invalid_case_t edge = {
		.text = entry_text,
		.line = "name = \"entry-1\"\n",
		.replacement = "name = \"" NAME_63 "\"\nstop_grace_ms = 0\n"
			       "log_level = \"debug\"\n",
	};
	const invalid_case_t advertised = {
		.text = entry_text,
		.line = "[http]",
		.replacement = "[http]\nadvertise = \"[::1]:80\"",
	};
	char *text = replace_text(&edge);

	s = parse_valid(text);
	g_assert_cmpstr(s->name, ==, NAME_63);
	g_assert_cmpuint(s->stop_grace_ms, ==, 0);
	g_assert_cmpint(s->log_level, ==, LOG_DEBUG);
	talloc_free(s);
	g_free(text);
	text = replace_text(&advertised);
	s = parse_valid(text);
	g_assert_cmpstr(s->http_advertise, ==, "[::1]:80");
	talloc_free(s);
	g_free(text);
}

/** What a platform states of itself, and what a scheduler makes of it. */
typedef struct platform_case_s {
	const char *line; /**< Text to replace. */
	const char *replacement;
	unsigned lease_ttl_ms;
	unsigned stop_grace_ms;
	unsigned lease_max_ms;
} platform_case_t;

static const platform_case_t platform_cases[] = {
	{ "calls_per_s = 3200", "calls_per_s = 3200", 1000, 6000, 10000 },
	{ "calls_per_s = 3200", "calls_per_s = 50000.5", 1000, 6000, 10000 },
	{ "calls_per_s = 3200", "calls_per_s = 1000000000", 1000, 6000, 10000 },
	{ "lease_ttl_ms = 1000", "lease_ttl_ms = 250", 1000, 6000, 10000 },
	{ "lease_ttl_ms = 1000", "lease_ttl_ms = 600000", 600000, 6000, 10000 },
	{ "stop_grace_s = 6", "stop_grace_s = 2.5", 1000, 2500, 10000 },
	{ "lease_max_ms = 10000", "lease_max_ms = 4499.6", 1000, 6000, 4500 },
};

static void test_platform(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(platform_cases); i++) {
		const platform_case_t *c = &platform_cases[i];
		const invalid_case_t change = { .text = scheduler_text,
						.line = c->line,
						.replacement = c->replacement };
		char *text = replace_text(&change);
		gn_settings_t *s = parse_valid(text);

		g_assert_cmpuint(s->lease_ttl_ms, ==, c->lease_ttl_ms);
		g_assert_cmpuint(s->stop_grace_ms, ==, c->stop_grace_ms);
		g_assert_cmpuint(s->jobs.lease_max_ms, ==, c->lease_max_ms);
		talloc_free(s);
		g_free(text);
	}
}

static void test_load(void)
{
	char *path =
		g_build_filename(g_get_tmp_dir(), "gn-settings-XXXXXX", NULL);
	gn_settings_t *settings = NULL;
	gn_error_t error = { 0 };
	int fd = g_mkstemp(path);

	g_assert_cmpint(fd, >=, 0);
	g_close(fd, NULL);
	g_assert_true(g_file_set_contents(path, entry_text, -1, NULL));
	g_assert_cmpint(gn_settings_load(NULL, path, &settings, &error), ==,
			GN_OK);
	g_assert_cmpstr(settings->name, ==, "entry-1");
	talloc_free(settings);
	g_unlink(path);
	g_assert_cmpint(gn_settings_load(NULL, path, &settings, &error), ==,
			GN_ERR_NOT_FOUND);
	g_assert_cmpstr(error.detail, ==, "No such file or directory");
	g_free(path);
}

/** Input whose nesting would overflow the stack of a recursive parser. */
typedef struct nesting_case_s {
	const char *opening; /**< Text repeated depth times. */
	size_t dots; /**< Number of tables in the dotted key that follows. */
	const char *closing; /**< Text repeated depth times at the end. */
	size_t depth;
	gn_code_t code;
} nesting_case_t;

static const nesting_case_t nesting_cases[] = {
	{ "[\n", 0, "]\n", 500000, GN_ERR_RANGE },
	{ "[[\n", 0, "]]\n", 250000, GN_ERR_RANGE },
	{ "[", 0, "]", 500000, GN_ERR_RANGE },
	{ "{a=", 0, "}", 1000, GN_ERR_INVALID },
	/* Few brackets, but many tables, which are destroyed recursively. */
	{ "[\n{", 1700, "}]", 250, GN_ERR_INVALID },
};

static void test_excessive_nesting(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(nesting_cases); i++) {
		const nesting_case_t *c = &nesting_cases[i];
		GString *text = g_string_new("a = ");
		gn_settings_t *settings = NULL;
		gn_error_t error = { 0 };

		for (size_t depth = 0; depth < c->depth; depth++) {
			g_string_append(text, c->opening);
			for (size_t j = 0; j < c->dots; j++)
				g_string_append(text, "a.");
			g_string_append(text, c->dots ? "a=" : "");
		}
		g_string_append(text, "1");
		for (size_t depth = 0; depth < c->depth; depth++)
			g_string_append(text, c->closing);
		g_assert_cmpint(
			gn_settings_parse(NULL, "a.toml",
					  (gn_str_t){ text->str, text->len },
					  &settings, &error),
			==, c->code);
		g_string_free(text, TRUE);
	}
}

/** The deepest accepted nesting is parsed and destroyed without overflow. */
static void test_deepest_nesting(void)
{
	GString *text = g_string_new(entry_text);
	gn_settings_t *settings = NULL;
	gn_error_t error = { 0 };

	g_string_append(text, "[x");
	for (int i = 0; i < 2000; i++)
		g_string_append(text, ".x");
	g_string_append(text, "]\n");
	for (int i = 0; i < 2000; i++)
		g_string_append(text, "x.");
	g_string_append(text, "x = ");
	for (int i = 0; i < GN_TOML_BRACKETS_MAX; i++)
		g_string_append(text, "[\n");
	for (int i = 0; i < GN_TOML_BRACKETS_MAX; i++)
		g_string_append(text, "]\n");
	g_assert_cmpint(gn_settings_parse(NULL, "a.toml",
					  (gn_str_t){ text->str, text->len },
					  &settings, &error),
			==, GN_ERR_INVALID);
	g_assert_cmpstr(error.detail, ==, "x: unknown key");
	g_string_free(text, TRUE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(invalid_cases); i++) {
		char *path = g_strdup_printf("/settings/bad/%s",
					     invalid_cases[i].name);

		g_test_add_data_func(path, &invalid_cases[i], test_invalid);
		g_free(path);
	}
	g_test_add_func("/settings/entry", test_entry);
	g_test_add_func("/settings/agent", test_agent);
	g_test_add_func("/settings/defaults", test_defaults);
	g_test_add_func("/settings/bounds", test_bounds_are_allowed);
	g_test_add_func("/settings/platform", test_platform);
	g_test_add_func("/settings/load", test_load);
	g_test_add_func("/settings/hostile", test_excessive_nesting);
	g_test_add_func("/settings/deepest", test_deepest_nesting);
	return g_test_run();
}
