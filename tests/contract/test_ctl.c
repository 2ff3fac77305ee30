/* Tests the command line against a stand-in for an entry: the requests that it
 * sends, its output and its exit codes. */
#include <arpa/inet.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "commands/commands.h"
#include "queries/queries.h"

#define ARGUMENTS_MAX 16
/** Number of bytes that the body of a CUT answer lacks. */
#define CUT_BYTES 10

/** What the stand-in does with a request. */
typedef enum behaviour_e {
	ANSWER = 0,
	CLOSE, /**< Reads the request and closes without an answer. */
	CUT, /**< Closes before the end of the answer's body. */
	SILENT, /**< Accepts the connection and never reads. */
	REFUSE, /**< Does not listen. */
} behaviour_t;

typedef struct ctl_case_s {
	const char *name;
	const char *line; /**< Command line with words separated by blanks. */
	behaviour_t behaviour;
	unsigned status; /**< HTTP status of the answer. */
	const char *retry_after; /**< Retry-After header, or NULL. */
	const char *answer; /**< Body of the answer. */
	/** Expected request; NULL if none may arrive, "" if not checked. */
	const char *request;
	int exit;
	const char *out; /**< Expected standard output. */
	const char *err; /**< Expected standard error. */
} ctl_case_t;

/** Path of the document for commands, which main() writes. */
static char *document_path;
static const char document_text[] = "one_way_us = 1000\n";

static const ctl_case_t cases[] = {
	/* ======   Commands   ====== */
	{ "import", "import-inventory --change-id c1 @", ANSWER, 200, NULL,
	  "{\"outcome\":\"accepted\",\"revision\":7,\"change_id\":\"c1\"}",
	  "PUT /v1/config/inventory\nChange-Id: c1\n\none_way_us = 1000\n",
	  GN_CTL_EXIT_OK, "inventory: accepted, revision 7, change c1\n", "" },
	{ "import-json", "import-inventory --json --change-id c1 @", ANSWER,
	  200, NULL,
	  "{\"outcome\":\"accepted\",\"revision\":7,\"change_id\":\"c1\"}", "",
	  GN_CTL_EXIT_OK,
	  "{\n  \"change_id\": \"c1\",\n  \"outcome\": \"accepted\",\n"
	  "  \"revision\": 7\n}\n",
	  "" },
	{ "import-if-revision",
	  "import-inventory --if-revision 6 --change-id c1 @", ANSWER, 409,
	  NULL, "{\"outcome\":\"conflict\",\"revision\":9}",
	  "PUT /v1/config/inventory\nChange-Id: c1\nIf-Revision: 6\n\n"
	  "one_way_us = 1000\n",
	  GN_CTL_EXIT_CONFLICT, "",
	  "inventory: conflict, the revision is 9 now; check it before "
	  "retrying\n" },
	{ "import-rejected", "import-inventory --change-id c1 @", ANSWER, 400,
	  NULL, "{\"outcome\":\"rejected\",\"error\":\"data_centre: missing\"}",
	  "", GN_CTL_EXIT_FAILED, "",
	  "inventory: rejected: data_centre: missing\n" },
	{ "import-unknown", "import-inventory --change-id c1 @", ANSWER, 503,
	  NULL, "{\"outcome\":\"unknown\",\"change_id\":\"c1\"}", "",
	  GN_CTL_EXIT_UNKNOWN, "",
	  "inventory: unknown, it may have taken effect; change c1; query "
	  "the outcome with: gypsumnotchctl change\n" },
	{ "import-not-run", "import-inventory --change-id c1 @", ANSWER, 503,
	  "3", "{\"outcome\":\"not-run\",\"reason\":\"platform down\"}", "",
	  GN_CTL_EXIT_FAILED, "",
	  "inventory: not run: platform down; try again after 3 s\n" },
	{ "import-balancer", "import-inventory --change-id c1 @", ANSWER, 502,
	  NULL, "<html>bad gateway</html>", "", GN_CTL_EXIT_UNKNOWN, "",
	  "inventory: unknown, it may have taken effect: HTTP status 502; "
	  "change c1; query the outcome with: gypsumnotchctl change\n" },
	{ "import-ok-but-no-json", "import-inventory --change-id c1 @", ANSWER,
	  200, NULL, "fine", "", GN_CTL_EXIT_UNKNOWN, "",
	  "inventory: unknown, it may have taken effect: HTTP status 200; "
	  "change c1; query the outcome with: gypsumnotchctl change\n" },
	{ "import-too-large", "import-inventory --change-id c1 @", ANSWER, 413,
	  NULL, "", "", GN_CTL_EXIT_FAILED, "",
	  "inventory: rejected: HTTP status 413\n" },
	{ "import-answer-lost", "import-inventory --change-id c1 @", CLOSE, 0,
	  NULL, "",
	  "PUT /v1/config/inventory\nChange-Id: c1\n\none_way_us = 1000\n",
	  GN_CTL_EXIT_UNKNOWN, "",
	  "inventory: unknown, it may have taken effect: Server returned "
	  "nothing (no headers, no data); change c1; query the "
	  "outcome with: gypsumnotchctl change\n" },
	{ "import-answer-cut", "import-inventory --change-id c1 @", CUT, 200,
	  NULL,
	  "{\"outcome\":\"accepted\",\"revision\":7,\"change_id\":\"c1\"}", "",
	  GN_CTL_EXIT_UNKNOWN, "",
	  "inventory: unknown, it may have taken effect: Transferred a "
	  "partial file; change c1; query the outcome with: "
	  "gypsumnotchctl change\n" },
	{ "import-silent",
	  "import-inventory --json --timeout-ms 100 --change-id c1 @", SILENT,
	  0, NULL, "", NULL, GN_CTL_EXIT_UNKNOWN,
	  "{\n  \"change\": \"c1\",\n  \"error\": \"Timeout was reached\",\n"
	  "  \"outcome\": \"unknown\"\n}\n",
	  "" },
	{ "import-refused", "import-inventory --change-id c1 @", REFUSE, 0,
	  NULL, "", NULL, GN_CTL_EXIT_UNREACHABLE, "",
	  "inventory: unreachable, nothing was changed: Couldn't connect to "
	  "server\n" },
	{ "import-no-file", "import-inventory /nowhere/a.toml", ANSWER, 200,
	  NULL, "", NULL, GN_CTL_EXIT_FAILED, "",
	  "inventory: /nowhere/a.toml: No such file or directory\n" },
	{ "rules", "set-rules --change-id c2 @", ANSWER, 200, NULL,
	  "{\"outcome\":\"accepted\",\"revision\":8,\"change_id\":\"c2\"}",
	  "PUT /v1/config/rules\nChange-Id: c2\n\none_way_us = 1000\n",
	  GN_CTL_EXIT_OK, "rules: accepted, revision 8, change c2\n", "" },
	{ "drain", "drain --change-id c3 rey-01", ANSWER, 200, NULL,
	  "{\"outcome\":\"accepted\",\"revision\":9,\"change_id\":\"c3\"}",
	  "POST /v1/hosts/rey-01/drain\nChange-Id: c3\n\n", GN_CTL_EXIT_OK,
	  "drain rey-01: accepted, revision 9, change c3\n", "" },
	{ "drain-escaped", "drain --change-id c3 ../a?b", ANSWER, 404, NULL,
	  "{\"outcome\":\"rejected\",\"error\":\"no host ../a?b\"}",
	  "POST /v1/hosts/../a?b/drain\nChange-Id: c3\n\n", GN_CTL_EXIT_FAILED,
	  "", "drain ../a?b: rejected: no host ../a?b\n" },
	{ "resume", "resume --change-id c4 rey-01", ANSWER, 200, NULL,
	  "{\"outcome\":\"accepted\",\"revision\":10,\"change_id\":\"c4\"}",
	  "POST /v1/hosts/rey-01/resume\nChange-Id: c4\n\n", GN_CTL_EXIT_OK,
	  "resume rey-01: accepted, revision 10, change c4\n", "" },
	{ "submit",
	  "submit --team networks --service timing-planner --kind "
	  "network-plan --key k1 @",
	  ANSWER, 200, NULL, "{\"outcome\":\"accepted\",\"job\":\"j1\"}",
	  "POST /v1/jobs\nGypsumnotch-Class: batch\n"
	  "Gypsumnotch-Kind: network-plan\n"
	  "Gypsumnotch-Service: timing-planner\n"
	  "Gypsumnotch-Team: networks\nIdempotency-Key: k1\n\n"
	  "one_way_us = 1000\n",
	  GN_CTL_EXIT_OK, "submit: accepted, job j1, key k1\n", "" },
	{ "submit-standing",
	  "submit --class standing --priority 3 --team t --service s --kind k "
	  "--key k1 @",
	  ANSWER, 429, "2", "{\"outcome\":\"not-run\",\"reason\":\"quota\"}",
	  "POST /v1/jobs\nGypsumnotch-Class: standing\n"
	  "Gypsumnotch-Kind: k\nGypsumnotch-Priority: 3\n"
	  "Gypsumnotch-Service: s\nGypsumnotch-Team: t\n"
	  "Idempotency-Key: k1\n\none_way_us = 1000\n",
	  GN_CTL_EXIT_FAILED, "",
	  "submit: not run: quota; try again after 2 s\n" },
	{ "submit-lost", "submit --team t --service s --kind k --key k1 @",
	  CLOSE, 0, NULL, "", "", GN_CTL_EXIT_UNKNOWN, "",
	  "submit: unknown, it may have taken effect: Server returned "
	  "nothing (no headers, no data); key k1; submitting with the same "
	  "--key again runs it at most once\n" },
	{ "cancel", "cancel j1", ANSWER, 200, NULL,
	  "{\"outcome\":\"accepted\"}", "DELETE /v1/jobs/j1\n\n",
	  GN_CTL_EXIT_OK, "cancel j1: accepted\n", "" },
	{ "cancel-wave", "cancel --team networks", ANSWER, 200, NULL,
	  "{\"outcome\":\"accepted\"}", "DELETE /v1/jobs?team=networks\n\n",
	  GN_CTL_EXIT_OK, "cancel team networks: accepted\n", "" },
	{ "cancel-lost", "cancel j1", CLOSE, 0, NULL, "", "",
	  GN_CTL_EXIT_UNKNOWN, "",
	  "cancel j1: unknown, it may have taken effect: Server returned "
	  "nothing (no headers, no data); cancelling again is safe\n" },

	/* ======   Queries   ====== */
	{ "status", "status", ANSWER, 200, NULL,
	  "{\"name\":\"entry-rey-1\",\"incarnation\":5,"
	  "\"data_centre\":\"reykjavik-a\",\"config_revision\":7,"
	  "\"workers\":11,\"draining\":false}",
	  "GET /v1/status\n\n", GN_CTL_EXIT_OK,
	  "NAME         entry-rey-1\n"
	  "INCARNATION  5\n"
	  "DATA CENTRE  reykjavik-a\n"
	  "REVISION     7\n"
	  "WORKERS      11\n"
	  "DRAINING     no\n",
	  "" },
	{ "status-stopping", "status", ANSWER, 503, NULL,
	  "{\"name\":\"entry-rey-1\",\"draining\":true}", "", GN_CTL_EXIT_OK,
	  "NAME         entry-rey-1\n"
	  "INCARNATION  -\n"
	  "DATA CENTRE  -\n"
	  "REVISION     -\n"
	  "WORKERS      -\n"
	  "DRAINING     yes\n",
	  "" },
	{ "hosts-of-another-service", "hosts", ANSWER, 200, NULL,
	  "{\"message\":\"hello\"}", "", GN_CTL_EXIT_FAILED, "",
	  "hosts: rejected\n" },
	{ "hosts", "hosts", ANSWER, 200, NULL,
	  "{\"hosts\":[{\"name\":\"rey-01\",\"data_centre\":\"reykjavik-a\","
	  "\"rack\":\"rack-1\",\"service\":\"timing-planner\","
	  "\"state\":\"live\",\"running_requests\":3,\"running_tasks\":12,"
	  "\"config_revision\":7},{\"name\":\"k\\u001b[2J\","
	  "\"state\":\"silent\"}]}",
	  "GET /v1/hosts\n\n", GN_CTL_EXIT_OK,
	  "NAME    DATA CENTRE  RACK    SERVICE         STATE   REQUESTS  "
	  "TASKS  REVISION\n"
	  "rey-01  reykjavik-a  rack-1  timing-planner  live    3         12 "
	  "    7\n"
	  "k?[2J   -            -       -               silent  -         -  "
	  "    -\n",
	  "" },
	{ "hosts-with-odd-rows", "hosts", ANSWER, 200, NULL,
	  "{\"hosts\":[7,[[[1]]],{\"name\":99999999999999999999},"
	  "{\"name\":\"a\",\"running_tasks\":1e999},"
	  "{\"name\":\"rey-01\",\"running_tasks\":12}]}",
	  "GET /v1/hosts\n\n", GN_CTL_EXIT_OK,
	  "NAME    DATA CENTRE  RACK  SERVICE  STATE  REQUESTS  TASKS  "
	  "REVISION\n"
	  "-       -            -     -        -      -         -      -\n"
	  "-       -            -     -        -      -         -      -\n"
	  "no      -            -     -        -      -         -      -\n"
	  "a       -            -     -        -      -         no     -\n"
	  "rey-01  -            -     -        -      -         12     -\n",
	  "hosts: 2 values are out of range or nested too deeply\n" },
	{ "jobs-none", "jobs", ANSWER, 200, NULL, "{\"jobs\":[]}",
	  "GET /v1/jobs\n\n", GN_CTL_EXIT_OK,
	  "ID  CLASS  TEAM  KIND  STATE  WORKER  ATTEMPTS  REASON\n", "" },
	{ "job", "job j1", ANSWER, 200, NULL,
	  "{\"id\":\"j1\",\"class\":\"batch\",\"team\":\"networks\","
	  "\"kind\":\"network-plan\",\"state\":\"parked\",\"worker\":\"\","
	  "\"attempts\":3,\"reason\":\"failed on 3 workers\"}",
	  "GET /v1/jobs/j1\n\n", GN_CTL_EXIT_OK,
	  "ID        j1\n"
	  "CLASS     batch\n"
	  "TEAM      networks\n"
	  "KIND      network-plan\n"
	  "STATE     parked\n"
	  "WORKER    -\n"
	  "ATTEMPTS  3\n"
	  "REASON    failed on 3 workers\n",
	  "" },
	{ "job-none", "job j9", ANSWER, 404, NULL,
	  "{\"outcome\":\"rejected\",\"error\":\"no job j9\"}", "",
	  GN_CTL_EXIT_FAILED, "", "job: rejected: no job j9\n" },
	{ "config", "config", ANSWER, 200, NULL,
	  "{\"revision\":7,\"inventory\":\"a = 1\\n\",\"rules\":\"b = 2\\n\"}",
	  "GET /v1/config\n\n", GN_CTL_EXIT_OK,
	  "# revision 7, inventory\na = 1\n# revision 7, rules\nb = 2\n", "" },
	{ "config-rules", "config rules", ANSWER, 200, NULL,
	  "{\"revision\":7,\"inventory\":\"a = 1\\n\",\"rules\":\"b = 2\\n\"}",
	  "", GN_CTL_EXIT_OK, "b = 2\n", "" },
	{ "change", "change c1", ANSWER, 200, NULL,
	  "{\"change_id\":\"c1\",\"outcome\":\"accepted\",\"revision\":7}",
	  "GET /v1/changes/c1\n\n", GN_CTL_EXIT_OK,
	  "change: accepted, revision 7, change c1\n", "" },
	{ "change-not-run", "change c1", ANSWER, 200, NULL,
	  "{\"change_id\":\"c1\",\"outcome\":\"not-run\"}", "",
	  GN_CTL_EXIT_FAILED, "", "change: not run\n" },
	{ "change-unknown", "change c1", ANSWER, 200, NULL,
	  "{\"change_id\":\"c1\",\"outcome\":\"unknown\"}", "",
	  GN_CTL_EXIT_UNKNOWN, "",
	  "change: unknown, it may have taken effect; change c1\n" },
	{ "change-question-refused", "change c1", ANSWER, 404, NULL,
	  "{\"outcome\":\"not-run\",\"reason\":\"no-such-path\"}", "",
	  GN_CTL_EXIT_UNKNOWN, "",
	  "change: unknown, it may have taken effect: no-such-path; change "
	  "c1\n" },
	{ "change-other", "change c1", ANSWER, 200, NULL,
	  "{\"change_id\":\"c2\",\"outcome\":\"accepted\"}", "",
	  GN_CTL_EXIT_UNKNOWN, "",
	  "change: unknown, it may have taken effect; change c1\n" },
	{ "change-lost", "change c1", CLOSE, 0, NULL, "", "",
	  GN_CTL_EXIT_UNKNOWN, "",
	  "change: unknown, it may have taken effect: Server returned "
	  "nothing (no headers, no data); change c1\n" },
	{ "change-refused", "change c1", REFUSE, 0, NULL, "", NULL,
	  GN_CTL_EXIT_UNREACHABLE, "",
	  "change: unreachable: Couldn't connect to server\n" },
	{ "dump", "dump", ANSWER, 200, NULL, "{\"b\":[1],\"a\":{}}",
	  "GET /dump\n\n", GN_CTL_EXIT_OK,
	  "{\n  \"a\": {},\n  \"b\": [\n    1\n  ]\n}\n", "" },
	{ "evacuations", "evacuations", ANSWER, 200, NULL,
	  "{\"role\":\"scheduler\",\"evacuations\":{\"data_centres\":["
	  "{\"data_centre\":\"rey-a\",\"revision\":12},"
	  "{\"data_centre\":\"rey-b\",\"revision\":9,"
	  "\"fault\":\"its value is not an object\"}],"
	  "\"revision\":15,\"age_ms\":420}}",
	  "GET /dump\n\n", GN_CTL_EXIT_OK,
	  "DATA CENTRE  REVISION  FAULT\n"
	  "rey-a        12        -\n"
	  "rey-b        9         its value is not an object\n"
	  "REVISION  15\n"
	  "AGE MS    420\n",
	  "" },
	{ "evacuations-of-another", "evacuations", ANSWER, 200, NULL,
	  "{\"role\":\"entry\"}", "GET /dump\n\n", GN_CTL_EXIT_FAILED, "",
	  "evacuations: rejected\n" },
	{ "query-lost", "hosts", CLOSE, 0, NULL, "", "",
	  GN_CTL_EXIT_UNREACHABLE, "",
	  "hosts: unreachable: Server returned nothing (no headers, no "
	  "data)\n" },
	{ "query-cut", "hosts", CUT, 200, NULL, "{\"hosts\":[]}             ",
	  "", GN_CTL_EXIT_UNREACHABLE, "",
	  "hosts: unreachable: Transferred a partial file\n" },
	{ "query-no-json", "hosts", ANSWER, 200, NULL, "[]", "",
	  GN_CTL_EXIT_FAILED, "", "hosts: rejected: HTTP status 200\n" },

	/* ======   Usage   ====== */
	{ "no-such-subcommand", "frobnicate", ANSWER, 0, NULL, "", NULL,
	  GN_CTL_EXIT_USAGE, "",
	  "gypsumnotchctl: no subcommand frobnicate; see --help\n" },
	{ "no-host", "drain", ANSWER, 0, NULL, "", NULL, GN_CTL_EXIT_USAGE, "",
	  "gypsumnotchctl: missing option HOST\n"
	  "gypsumnotchctl drain: wrong usage; see --help\n" },
	{ "bad-entry", "status --entry localhost:80", ANSWER, 0, NULL, "", NULL,
	  GN_CTL_EXIT_USAGE, "",
	  "gypsumnotchctl status: the entry localhost:80 is not IP:PORT; see "
	  "--help\n" },
	{ "bad-timeout", "status --timeout-ms 99", ANSWER, 0, NULL, "", NULL,
	  GN_CTL_EXIT_USAGE, "",
	  "gypsumnotchctl status: --timeout-ms is outside 100..600000; see "
	  "--help\n" },
	{ "bad-class", "submit --class quick --team t --service s --kind k @",
	  ANSWER, 0, NULL, "", NULL, GN_CTL_EXIT_USAGE, "",
	  "gypsumnotchctl submit: --class is not batch or standing; see "
	  "--help\n" },
	{ "bad-priority", "submit --priority 4 --team t --service s --kind k @",
	  ANSWER, 0, NULL, "", NULL, GN_CTL_EXIT_USAGE, "",
	  "gypsumnotchctl submit: --priority is outside 0..3; see --help\n" },
	{ "header-injection",
	  "submit --team t\r\nX:1 --service s --kind k --key k1 @", ANSWER, 0,
	  NULL, "", NULL, GN_CTL_EXIT_USAGE, "",
	  "gypsumnotchctl submit: Gypsumnotch-Team has control characters; "
	  "see --help\n" },
	{ "cancel-what", "cancel", ANSWER, 0, NULL, "", NULL, GN_CTL_EXIT_USAGE,
	  "",
	  "gypsumnotchctl cancel: give either a job or --team; see "
	  "--help\n" },
	{ "cancel-both", "cancel --team t j1", ANSWER, 0, NULL, "", NULL,
	  GN_CTL_EXIT_USAGE, "",
	  "gypsumnotchctl cancel: give either a job or --team; see "
	  "--help\n" },
	{ "negative-revision", "drain --if-revision -1 h", ANSWER, 0, NULL, "",
	  NULL, GN_CTL_EXIT_USAGE, "",
	  "gypsumnotchctl drain: --if-revision is negative; see --help\n" },
	{ "config-what", "config weather", ANSWER, 0, NULL, "", NULL,
	  GN_CTL_EXIT_USAGE, "",
	  "gypsumnotchctl config: weather is not inventory or rules; see "
	  "--help\n" },
	{ "help", "job --help", ANSWER, 0, NULL, "", NULL, GN_CTL_EXIT_OK,
	  "usage: gypsumnotchctl job [--help] [--json] [--entry=IP:PORT] "
	  "[--timeout-ms=MS] JOB\n\n"
	  "show one job\n\n"
	  "  --help                   print this help\n"
	  "  --json                   print JSON\n"
	  "  --entry=IP:PORT          HTTP address of the entry\n"
	  "  --timeout-ms=MS          timeout, 100..600000 (default 10000)\n"
	  "  JOB                      job ID\n\n"
	  "Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 "
	  "conflict,\n"
	  "4 unknown (the change may have taken effect), 5 unreachable.\n",
	  "" },
	{ "version", "--version", ANSWER, 0, NULL, "", NULL, GN_CTL_EXIT_OK,
	  "gypsumnotchctl " GN_VERSION "\n", "" },

	/* ======   Offline   ====== */
	{ "check-inventory",
	  "check inventory examples/graenbylgja/inventory.toml", ANSWER, 0,
	  NULL, "", NULL, GN_CTL_EXIT_OK,
	  "examples/graenbylgja/inventory.toml: valid: 3 data centres, 4 "
	  "racks, 11 hosts\n",
	  "" },
	{ "check-rules",
	  "check --inventory examples/ohrmarken/inventory.toml rules "
	  "examples/ohrmarken/rules.toml",
	  ANSWER, 0, NULL, "", NULL, GN_CTL_EXIT_OK,
	  "examples/ohrmarken/rules.toml: valid: 3 teams, 1 exclusions, 1 "
	  "windows, 0 drained hosts\n",
	  "" },
	{ "check-rules-of-another",
	  "check --inventory examples/graenbylgja/inventory.toml rules "
	  "examples/ohrmarken/rules.toml",
	  ANSWER, 0, NULL, "", NULL, GN_CTL_EXIT_FAILED, "",
	  "examples/ohrmarken/rules.toml: service[1].data_centres: no data "
	  "centre bern-a\n" },
	{ "check-settings", "check settings examples/ohrmarken/agent.toml",
	  ANSWER, 0, NULL, "", NULL, GN_CTL_EXIT_OK,
	  "examples/ohrmarken/agent.toml: valid: agent ber-01\n", "" },
	{ "check-what", "check weather a.toml", ANSWER, 0, NULL, "", NULL,
	  GN_CTL_EXIT_USAGE, "",
	  "gypsumnotchctl check: weather is not inventory, rules or "
	  "settings; see --help\n" },
};

/* ======   Stand-in for an entry   ====== */

typedef struct standin_s {
	const ctl_case_t *c;
	struct MHD_Daemon *daemon;
	int fd; /**< Socket, which listens unless connections are refused. */
	unsigned port;
	/** Not a GMutex, which the thread sanitizer does not recognise. */
	pthread_mutex_t lock;
	GString *request; /**< NULL until a request arrives. */
} standin_t;

static enum MHD_Result add_header_line(void *arg, enum MHD_ValueKind kind,
				       const char *key, const char *value)
{
	GPtrArray *lines = arg;

	(void)kind;
	if (g_str_has_prefix(key, "Gypsumnotch-") ||
	    !strcmp(key, "Change-Id") || !strcmp(key, "If-Revision") ||
	    !strcmp(key, "Idempotency-Key"))
		g_ptr_array_add(lines, g_strdup_printf("%s: %s\n", key, value));
	return MHD_YES;
}

static gint compare_lines(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static enum MHD_Result add_query(void *arg, enum MHD_ValueKind kind,
				 const char *key, const char *value)
{
	(void)kind;
	g_string_append_printf(arg, "?%s=%s", key, value);
	return MHD_YES;
}

/** Records the request line and the sorted headers that are checked. */
static void record_request(standin_t *standin,
			   struct MHD_Connection *connection,
			   const char *method, const char *url)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);

	pthread_mutex_lock(&standin->lock);
	standin->request = g_string_new(NULL);
	g_string_printf(standin->request, "%s %s", method, url);
	MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, add_query,
				  standin->request);
	g_string_append_c(standin->request, '\n');
	MHD_get_connection_values(connection, MHD_HEADER_KIND, add_header_line,
				  lines);
	g_ptr_array_sort(lines, compare_lines);
	for (guint i = 0; i < lines->len; i++)
		g_string_append(standin->request, g_ptr_array_index(lines, i));
	g_string_append_c(standin->request, '\n');
	pthread_mutex_unlock(&standin->lock);
	g_ptr_array_free(lines, TRUE);
}

/** Returns the body without its last bytes, then fails. */
static ssize_t read_cut_body(void *arg, uint64_t at, char *to, size_t size)
{
	const ctl_case_t *c = arg;
	size_t len = strlen(c->answer) - CUT_BYTES;

	if (at >= len)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (size > len - at)
		size = len - at;
	memcpy(to, c->answer + at, size);
	return (ssize_t)size;
}

static enum MHD_Result answer(const ctl_case_t *c,
			      struct MHD_Connection *connection)
{
	struct MHD_Response *response;
	enum MHD_Result result;

	if (c->behaviour == CUT)
		response = MHD_create_response_from_callback(
			strlen(c->answer), 64, read_cut_body, (void *)c, NULL);
	else
		response = MHD_create_response_from_buffer(
			strlen(c->answer), (void *)c->answer,
			MHD_RESPMEM_PERSISTENT);
	if (c->retry_after)
		MHD_add_response_header(response, "Retry-After",
					c->retry_after);
	result = MHD_queue_response(connection, c->status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result handle_request(void *arg,
				      struct MHD_Connection *connection,
				      const char *url, const char *method,
				      const char *version, const char *data,
				      size_t *size, void **state)
{
	standin_t *standin = arg;

	(void)version;
	if (!*state) {
		*state = standin;
		record_request(standin, connection, method, url);
		return MHD_YES;
	}
	if (*size) {
		pthread_mutex_lock(&standin->lock);
		g_string_append_len(standin->request, data, (gssize)*size);
		pthread_mutex_unlock(&standin->lock);
		*size = 0;
		return MHD_YES;
	}
	if (standin->c->behaviour == CLOSE)
		return MHD_NO;
	return answer(standin->c, connection);
}

static void start(standin_t *standin, const ctl_case_t *c)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t len = sizeof(address);

	memset(standin, 0, sizeof(*standin));
	pthread_mutex_init(&standin->lock, NULL);
	standin->c = c;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	standin->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	g_assert_cmpint(bind(standin->fd, (struct sockaddr *)&address, len), ==,
			0);
	g_assert_cmpint(
		getsockname(standin->fd, (struct sockaddr *)&address, &len), ==,
		0);
	standin->port = ntohs(address.sin_port);
	if (c->behaviour == REFUSE)
		return;
	g_assert_cmpint(listen(standin->fd, 4), ==, 0);
	if (c->behaviour == SILENT)
		return;
	standin->daemon = MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, handle_request,
		standin, MHD_OPTION_LISTEN_SOCKET, standin->fd, MHD_OPTION_END);
	g_assert_nonnull(standin->daemon);
}

static void stop(standin_t *standin)
{
	if (standin->daemon)
		MHD_stop_daemon(standin->daemon);
	else
		close(standin->fd);
	if (standin->request)
		g_string_free(standin->request, TRUE);
	pthread_mutex_destroy(&standin->lock);
}

/* ======   Runs   ====== */

/** Splits the line at blanks; "@" stands for the path of the document. */
static int split_line(char *line, char **argv)
{
	char *save = NULL;
	int argc = 0;

	argv[argc++] = "gypsumnotchctl";
	for (char *word = strtok_r(line, " ", &save); word;
	     word = strtok_r(NULL, " ", &save)) {
		g_assert_cmpint(argc, <, ARGUMENTS_MAX - 1);
		argv[argc++] = strcmp(word, "@") ? word : document_path;
	}
	argv[argc] = NULL;
	return argc;
}

static int run(const ctl_case_t *c, char **out, char **err)
{
	static const gn_ctl_group_t groups[] = {
		{ "Commands that change state", gn_commands },
		{ "Queries that only read", gn_queries },
		{ NULL, NULL },
	};
	char *line = g_strdup(c->line);
	char *argv[ARGUMENTS_MAX];
	size_t out_size;
	size_t err_size;
	FILE *out_file = open_memstream(out, &out_size);
	FILE *err_file = open_memstream(err, &err_size);
	int status = gn_ctl_run(groups, split_line(line, argv), argv, out_file,
				err_file);

	fclose(out_file);
	fclose(err_file);
	g_free(line);
	return status;
}

static void test_case(const void *data)
{
	const ctl_case_t *c = data;
	standin_t standin;
	char *entry;
	char *out;
	char *err;
	int status;

	start(&standin, c);
	entry = g_strdup_printf("127.0.0.1:%u", standin.port);
	g_setenv(GN_CTL_ENTRY_VARIABLE, entry, TRUE);
	status = run(c, &out, &err);
	g_assert_cmpstr(err, ==, c->err);
	g_assert_cmpstr(out, ==, c->out);
	g_assert_cmpint(status, ==, c->exit);
	pthread_mutex_lock(&standin.lock);
	if (!c->request)
		g_assert_null(standin.request);
	else if (*c->request)
		g_assert_cmpstr(standin.request->str, ==, c->request);
	pthread_mutex_unlock(&standin.lock);
	stop(&standin);
	free(out);
	free(err);
	g_free(entry);
}

static void test_no_entry(void)
{
	const ctl_case_t c = { .line = "status" };
	char *out;
	char *err;

	g_unsetenv(GN_CTL_ENTRY_VARIABLE);
	g_assert_cmpint(run(&c, &out, &err), ==, GN_CTL_EXIT_USAGE);
	g_assert_cmpstr(err, ==,
			"gypsumnotchctl status: no entry: give --entry or set "
			"GYPSUMNOTCH_ENTRY; see --help\n");
	free(out);
	free(err);
}

/** Checks that every subcommand has --help with its summary. */
static void test_every_help(void)
{
	static const gn_ctl_command_t *const tables[] = { gn_commands,
							  gn_queries };

	for (size_t i = 0; i < G_N_ELEMENTS(tables); i++) {
		for (const gn_ctl_command_t *k = tables[i]; k->name; k++) {
			char *line = g_strdup_printf("%s --help", k->name);
			const ctl_case_t c = { .line = line };
			char *out;
			char *err;

			g_assert_cmpint(run(&c, &out, &err), ==,
					GN_CTL_EXIT_OK);
			g_assert_nonnull(strstr(out, k->summary));
			g_assert_cmpstr(err, ==, "");
			free(out);
			free(err);
			g_free(line);
		}
	}
}

int main(int argc, char **argv)
{
	int status;
	int fd;

	g_test_init(&argc, &argv, NULL);
	document_path =
		g_build_filename(g_get_tmp_dir(), "gn-ctl-XXXXXX", NULL);
	fd = g_mkstemp(document_path);
	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpint(write(fd, document_text, strlen(document_text)), ==,
			(ssize_t)strlen(document_text));
	g_close(fd, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = g_strdup_printf("/ctl/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], test_case);
		g_free(path);
	}
	g_test_add_func("/ctl/no-entry", test_no_entry);
	g_test_add_func("/ctl/every-help", test_every_help);
	status = g_test_run();
	g_unlink(document_path);
	g_free(document_path);
	return status;
}
