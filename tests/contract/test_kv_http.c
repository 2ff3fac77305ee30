/* The cases of kv.h and the faults of HTTP, over loopback. */
#include <curl/curl.h>
#include <string.h>

#include "common/str.h"
#include "platform/kv_http.h"
#include "platform/watch.h"
#include "support/kv_cases.h"
#include "support/platform_server.h"

#define TIMEOUT_MS 2000
#define RATE 2000
#define ADDRESS_SIZE 32

typedef struct bench_s {
	struct tevent_context *loop;
	gn_clock_t clock; /* paused: no call times out by itself */
	gn_counters_t *counters;
	platform_server_t *server;
	gn_kv_http_t *http;
} bench_t;

static void bench_connect(bench_t *bench, uint32_t calls_per_s)
{
	char address[ADDRESS_SIZE];
	gn_kv_http_options_t options = {
		address,	 TIMEOUT_MS,  calls_per_s, &bench->clock,
		bench->counters, bench->loop, NULL
	};

	g_snprintf(address, sizeof(address), "127.0.0.1:%u",
		   platform_server_port(bench->server));
	bench->http = gn_kv_http_create(bench->loop, &options);
	g_assert_nonnull(bench->http);
}

static void bench_open(bench_t *bench, uint32_t calls_per_s)
{
	memset(bench, 0, sizeof(*bench));
	bench->loop = tevent_context_init(NULL);
	gn_clock_init_paused(&bench->clock, GN_US_PER_S);
	bench->counters = gn_counters_create(bench->loop);
	bench->server = platform_server_start("127.0.0.1:0");
	g_assert_nonnull(bench->server);
	bench_connect(bench, calls_per_s);
}

static void bench_close(bench_t *bench)
{
	gn_kv_http_free(bench->http);
	if (bench->server)
		platform_server_stop(bench->server);
	talloc_free(bench->loop);
}

static void bench_run(void *context)
{
	bench_t *bench = context;

	while (gn_kv_http_pending(bench->http))
		g_assert_cmpint(tevent_loop_once(bench->loop), ==, 0);
}

static void bench_fault(bench_t *bench, const char *text)
{
	json_t *faults = json_loads(text, 0, NULL);

	g_assert_cmpint(platform_server_set_faults(bench->server, faults), ==,
			GN_OK);
	json_decref(faults);
}

static void bench_lapse(void *context, uint64_t lease)
{
	char text[64];

	g_snprintf(text, sizeof(text),
		   "{\"expire_lease\": %" G_GUINT64_FORMAT "}", lease);
	bench_fault(context, text);
}

static json_int_t bench_stat(bench_t *bench, const char *group,
			     const char *name)
{
	json_t *stats = platform_server_stats(bench->server);
	json_t *place = group ? json_object_get(stats, group) : stats;
	json_int_t value = json_integer_value(json_object_get(place, name));

	json_decref(stats);
	return value;
}

static void test_case(const void *data)
{
	bench_t bench;
	kv_rig_t rig;

	bench_open(&bench, RATE);
	rig.kv = gn_kv_http_client(bench.http);
	rig.run = bench_run;
	rig.lapse = bench_lapse;
	rig.context = &bench;
	kv_case_run(data, &rig);
	bench_close(&bench);
}

/* ======   Faults   ====== */

typedef struct fault_case_s {
	const char *name;
	const char *faults;
	gn_code_t write_code;
	gn_code_t read_code;
	json_int_t revision; /* afterwards: 2 if the write was applied */
	bool times_out;
	bool stops; /* nobody listens any more */
} fault_case_t;

static const fault_case_t fault_cases[] = {
	{ "none", "{}", GN_OK, GN_OK, 2, false, false },
	{ "refused", "{}", GN_ERR_UNAVAILABLE, GN_ERR_UNAVAILABLE, 0, false,
	  true },
	{ "down", "{\"down\": true}", GN_ERR_UNAVAILABLE, GN_ERR_UNAVAILABLE, 1,
	  false, false },
	{ "slow", "{\"slow_ms\": 50}", GN_OK, GN_OK, 2, false, false },
	{ "slow-beyond-timeout", "{\"slow_ms\": 60000}", GN_ERR_UNKNOWN,
	  GN_ERR_UNAVAILABLE, 2, true, false },
	{ "black-hole", "{\"black_hole\": true}", GN_ERR_UNKNOWN,
	  GN_ERR_UNAVAILABLE, 1, true, false },
	{ "request-dropped", "{\"drop_requests\": 2}", GN_ERR_UNKNOWN,
	  GN_ERR_UNAVAILABLE, 1, false, false },
	{ "answer-lost", "{\"lose_answers\": 2}", GN_ERR_UNKNOWN,
	  GN_ERR_UNAVAILABLE, 2, false, false },
	{ "answer-truncated", "{\"truncate_answers\": 2}", GN_ERR_UNKNOWN,
	  GN_ERR_UNAVAILABLE, 2, false, false },
	{ "answer-garbage", "{\"garbage_answers\": 2}", GN_ERR_UNKNOWN,
	  GN_ERR_UNAVAILABLE, 2, false, false },
	{ "older-revision", "{\"older_reads\": 1}", GN_OK, GN_ERR_STALE, 2,
	  false, false },
};

static void put(bench_t *bench, const char *value, uint64_t expected,
		kv_reply_t *reply)
{
	gn_kv_put_t put = { GN_STR("a"), gn_str_from(value), GN_STR("c"),
			    expected, 0 };

	gn_kv_put(gn_kv_http_client(bench->http), &put, kv_reply_take, reply);
}

static void get(bench_t *bench, kv_reply_t *reply)
{
	gn_kv_get(gn_kv_http_client(bench->http), GN_STR("a"), kv_reply_take,
		  reply);
}

/* Lets the call reach the service, then its time be over. */
static void time_out(bench_t *bench, const char *kind, json_int_t calls)
{
	while (bench_stat(bench, "calls", kind) < calls)
		tevent_loop_once(bench->loop);
	gn_clock_advance(&bench->clock, TIMEOUT_MS * GN_US_PER_MS);
	gn_kv_http_expire(bench->http);
}

static void test_fault(const void *data)
{
	const fault_case_t *c = data;
	kv_reply_t write = { 0 };
	kv_reply_t read = { 0 };
	bench_t bench;

	bench_open(&bench, RATE);
	put(&bench, "1", 0, &write);
	bench_run(&bench);
	kv_reply_clear(&write);
	bench_fault(&bench, c->faults);
	if (c->stops) {
		platform_server_stop(bench.server);
		bench.server = NULL;
	}
	put(&bench, "2", 1, &write);
	if (c->times_out)
		time_out(&bench, "put", 2);
	bench_run(&bench);
	get(&bench, &read);
	if (c->times_out)
		time_out(&bench, "get", 1);
	bench_run(&bench);
	g_assert_cmpint(write.code, ==, c->write_code);
	g_assert_cmpint(read.code, ==, c->read_code);
	if (c->read_code == GN_OK)
		g_assert_cmpstr(read.value, ==, "2");
	if (bench.server)
		g_assert_cmpint(bench_stat(&bench, NULL, "revision"), ==,
				c->revision);
	kv_reply_clear(&write);
	kv_reply_clear(&read);
	bench_close(&bench);
}

/* libcurl sends again by itself on a reused connection that turns out dead. */
static void test_write_not_resent(void)
{
	kv_reply_t reply = { 0 };
	bench_t bench;

	bench_open(&bench, RATE);
	get(&bench, &reply);
	bench_run(&bench);
	kv_reply_clear(&reply);
	bench_fault(&bench, "{\"drop_requests\": 1}");
	put(&bench, "1", 0, &reply);
	bench_run(&bench);
	g_assert_cmpint(reply.code, ==, GN_ERR_UNKNOWN);
	g_assert_cmpint(bench_stat(&bench, "calls", "put"), ==, 1);
	kv_reply_clear(&reply);
	bench_close(&bench);
}

static void test_rate(void)
{
	static const uint32_t rate = 8;
	kv_reply_t replies[16] = { 0 };
	kv_reply_t renewal = { 0 };
	unsigned sent = 0;
	bench_t bench;

	bench_open(&bench, rate);
	for (size_t i = 0; i < G_N_ELEMENTS(replies); i++)
		get(&bench, &replies[i]);
	gn_kv_renew(gn_kv_http_client(bench.http), 1, kv_reply_take, &renewal);
	bench_run(&bench);
	for (size_t i = 0; i < G_N_ELEMENTS(replies); i++) {
		g_assert_cmpuint(replies[i].calls, ==, 1);
		sent += replies[i].code == GN_ERR_NOT_FOUND;
		kv_reply_clear(&replies[i]);
	}
	/* a quarter is kept for renewals */
	g_assert_cmpuint(sent, ==, 6);
	g_assert_cmpint(renewal.code, ==, GN_ERR_NOT_FOUND);
	g_assert_cmpint(bench_stat(&bench, NULL, "total"), ==, 7);
	g_assert_cmpuint(gn_counter_read(gn_counters_get(
				 bench.counters, "platform.rate_refused")),
			 ==, 10);
	gn_clock_advance(&bench.clock, GN_US_PER_S);
	get(&bench, &replies[0]);
	bench_run(&bench);
	g_assert_cmpint(replies[0].code, ==, GN_ERR_NOT_FOUND);
	kv_reply_clear(&replies[0]);
	kv_reply_clear(&renewal);
	bench_close(&bench);
}

static void test_cancel(void)
{
	kv_reply_t reply = { 0 };
	gn_kv_call_t call;
	bench_t bench;

	bench_open(&bench, RATE);
	call = gn_kv_watch(gn_kv_http_client(bench.http), GN_STR("p/"), 0,
			   GN_KV_WATCH_MAX_MS, kv_reply_take, &reply);
	while (!bench_stat(&bench, NULL, "waiting_watches"))
		tevent_loop_once(bench.loop);
	gn_kv_cancel(gn_kv_http_client(bench.http), call);
	g_assert_cmpuint(gn_kv_http_pending(bench.http), ==, 0);
	g_assert_cmpuint(gn_counter_read(gn_counters_get(
				 bench.counters, "platform.watches.waiting")),
			 ==, 0);
	get(&bench, &reply);
	bench_run(&bench);
	g_assert_cmpuint(reply.calls, ==, 1);
	kv_reply_clear(&reply);
	bench_close(&bench);
}

static void test_longest_value(void)
{
	char *value = g_malloc(GN_KV_VALUE_MAX + 1);
	kv_reply_t reply = { 0 };
	gn_kv_put_t put = {
		GN_STR("a"), { value, GN_KV_VALUE_MAX }, GN_STR("c"), 0, 0
	};
	bench_t bench;

	for (size_t i = 0; i <= GN_KV_VALUE_MAX; i++)
		value[i] = (char)(i * 7);
	bench_open(&bench, RATE);
	gn_kv_put(gn_kv_http_client(bench.http), &put, kv_reply_take, &reply);
	bench_run(&bench);
	g_assert_cmpint(reply.code, ==, GN_OK);
	kv_reply_clear(&reply);
	get(&bench, &reply);
	bench_run(&bench);
	g_assert_cmpmem(reply.value, reply.value_len, value, GN_KV_VALUE_MAX);
	kv_reply_clear(&reply);
	put.value.len++;
	gn_kv_put(gn_kv_http_client(bench.http), &put, kv_reply_take, &reply);
	bench_run(&bench);
	g_assert_cmpint(reply.code, ==, GN_ERR_RANGE);
	kv_reply_clear(&reply);
	bench_close(&bench);
	g_free(value);
}

static void count_news(void *context, const gn_kv_news_t *news)
{
	uint64_t *revision = context;

	g_assert_cmpuint(news->revision, >, *revision);
	*revision = news->revision;
}

/* A watch whose connection goes silent goes on where it was. */
static void test_watch_silent(void)
{
	gn_kv_watch_options_t options = { "a", 3000, 0, count_news, NULL };
	GRand *rand = g_rand_new_with_seed(1);
	kv_reply_t reply = { 0 };
	uint64_t revision = 0;
	gn_kv_watch_t *watch;
	bench_t bench;

	bench_open(&bench, RATE);
	put(&bench, "1", 0, &reply);
	bench_run(&bench);
	kv_reply_clear(&reply);
	options.context = &revision;
	watch = gn_kv_watch_create(NULL, gn_kv_http_client(bench.http),
				   &bench.clock, rand, &options);
	gn_kv_watch_tick(watch);
	bench_run(&bench);
	g_assert_cmpuint(revision, ==, 1);
	bench_fault(&bench, "{\"black_hole\": true}");
	gn_kv_watch_tick(watch);
	while (bench_stat(&bench, "calls", "watch") < 1)
		tevent_loop_once(bench.loop);
	/* its time is over by the wait and the timeout of a call */
	gn_clock_advance(&bench.clock, (3000 + TIMEOUT_MS) * GN_US_PER_MS);
	gn_kv_http_expire(bench.http);
	g_assert_cmpuint(gn_kv_http_pending(bench.http), ==, 0);
	bench_fault(&bench, "{\"black_hole\": false}");
	put(&bench, "2", 1, &reply);
	bench_run(&bench);
	gn_clock_advance(&bench.clock, GN_US_PER_S);
	gn_kv_watch_tick(watch);
	bench_run(&bench);
	g_assert_cmpuint(revision, ==, 2);
	kv_reply_clear(&reply);
	gn_kv_watch_free(watch);
	g_rand_free(rand);
	bench_close(&bench);
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	kv_cases_add("/kv/http", test_case);
	for (size_t i = 0; i < G_N_ELEMENTS(fault_cases); i++) {
		g_autofree char *path = g_strdup_printf("/kv/http/fault/%s",
							fault_cases[i].name);

		g_test_add_data_func(path, &fault_cases[i], test_fault);
	}
	g_test_add_func("/kv/http/write-not-resent", test_write_not_resent);
	g_test_add_func("/kv/http/rate", test_rate);
	g_test_add_func("/kv/http/cancel", test_cancel);
	g_test_add_func("/kv/http/watch-silent", test_watch_silent);
	g_test_add_func("/kv/http/longest-value", test_longest_value);
	status = g_test_run();
	curl_global_cleanup();
	return status;
}
