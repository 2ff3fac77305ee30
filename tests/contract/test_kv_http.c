/*
 * Runs the cases of kv_cases.h with the HTTP client over loopback, and checks
 * its results for faults of the service and the connection.
 */
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

typedef struct fixture_s {
	struct tevent_context *loop;
	gn_clock_t clock; /* Paused, so that no call times out by itself. */
	gn_counters_t *counters;
	platform_server_t *server;
	gn_kv_http_t *http;
} fixture_t;

static void fixture_connect(fixture_t *fixture, uint32_t calls_per_s)
{
	char address[ADDRESS_SIZE];
	gn_kv_http_options_t options = {
		address,	   TIMEOUT_MS,	  calls_per_s, &fixture->clock,
		fixture->counters, fixture->loop, NULL
	};

	g_snprintf(address, sizeof(address), "127.0.0.1:%u",
		   platform_server_port(fixture->server));
	fixture->http = gn_kv_http_create(fixture->loop, &options);
	g_assert_nonnull(fixture->http);
}

static void fixture_open(fixture_t *fixture, uint32_t calls_per_s)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->loop = tevent_context_init(NULL);
	gn_clock_init_paused(&fixture->clock, GN_US_PER_S);
	fixture->counters = gn_counters_create(fixture->loop);
	fixture->server = platform_server_start("127.0.0.1:0");
	g_assert_nonnull(fixture->server);
	fixture_connect(fixture, calls_per_s);
}

static void fixture_close(fixture_t *fixture)
{
	gn_kv_http_free(fixture->http);
	if (fixture->server)
		platform_server_stop(fixture->server);
	talloc_free(fixture->loop);
}

static void fixture_run(void *context)
{
	fixture_t *fixture = context;

	while (gn_kv_http_pending(fixture->http))
		g_assert_cmpint(tevent_loop_once(fixture->loop), ==, 0);
}

static void fixture_set_faults(fixture_t *fixture, const char *text)
{
	json_t *faults = json_loads(text, 0, NULL);

	g_assert_cmpint(platform_server_set_faults(fixture->server, faults), ==,
			GN_OK);
	json_decref(faults);
}

static void fixture_expire_lease(void *context, uint64_t lease)
{
	char text[64];

	g_snprintf(text, sizeof(text),
		   "{\"expire_lease\": %" G_GUINT64_FORMAT "}", lease);
	fixture_set_faults(context, text);
}

static json_int_t fixture_get_stat(fixture_t *fixture, const char *group,
				   const char *name)
{
	json_t *stats = platform_server_stats(fixture->server);
	json_t *place = group ? json_object_get(stats, group) : stats;
	json_int_t value = json_integer_value(json_object_get(place, name));

	json_decref(stats);
	return value;
}

static void test_case(const void *data)
{
	fixture_t fixture;
	kv_impl_t impl;

	fixture_open(&fixture, RATE);
	impl.kv = gn_kv_http_client(fixture.http);
	impl.run = fixture_run;
	impl.expire_lease = fixture_expire_lease;
	impl.context = &fixture;
	kv_case_run(data, &impl);
	fixture_close(&fixture);
}

/* ======   Faults   ====== */

typedef struct fault_case_s {
	const char *name;
	const char *faults;
	gn_code_t write_code;
	gn_code_t read_code;
	json_int_t revision; /* Final revision; 2 if the write was applied. */
	bool times_out;
	bool stops; /* The service stops listening. */
	gn_kv_failure_t failure; /* Of the last call that failed. */
} fault_case_t;

static const fault_case_t fault_cases[] = {
	{ "none", "{}", GN_OK, GN_OK, 2, false, false, GN_KV_NO_FAILURE },
	{ "refused", "{}", GN_ERR_UNAVAILABLE, GN_ERR_UNAVAILABLE, 0, false,
	  true, GN_KV_RESET },
	{ "down", "{\"down\": true}", GN_ERR_UNAVAILABLE, GN_ERR_UNAVAILABLE, 1,
	  false, false, GN_KV_REFUSED },
	{ "slow", "{\"slow_ms\": 50}", GN_OK, GN_OK, 2, false, false,
	  GN_KV_NO_FAILURE },
	{ "slow-beyond-timeout", "{\"slow_ms\": 60000}", GN_ERR_UNKNOWN,
	  GN_ERR_UNAVAILABLE, 2, true, false, GN_KV_NO_ANSWER },
	{ "black-hole", "{\"black_hole\": true}", GN_ERR_UNKNOWN,
	  GN_ERR_UNAVAILABLE, 1, true, false, GN_KV_NO_ANSWER },
	{ "request-dropped", "{\"drop_requests\": 2}", GN_ERR_UNKNOWN,
	  GN_ERR_UNAVAILABLE, 1, false, false, GN_KV_RESET },
	{ "answer-lost", "{\"lose_answers\": 2}", GN_ERR_UNKNOWN,
	  GN_ERR_UNAVAILABLE, 2, false, false, GN_KV_RESET },
	{ "answer-truncated", "{\"truncate_answers\": 2}", GN_ERR_UNKNOWN,
	  GN_ERR_UNAVAILABLE, 2, false, false, GN_KV_RESET },
	{ "answer-garbage", "{\"garbage_answers\": 2}", GN_ERR_UNKNOWN,
	  GN_ERR_UNAVAILABLE, 2, false, false, GN_KV_RESET },
	{ "older-revision", "{\"older_reads\": 1}", GN_OK, GN_ERR_STALE, 2,
	  false, false, GN_KV_NO_FAILURE },
};

static void put(fixture_t *fixture, const char *value, uint64_t expected,
		kv_reply_t *reply)
{
	gn_kv_put_t put = { GN_STR("a"), gn_str_from(value), GN_STR("c"),
			    expected, 0 };

	gn_kv_put(gn_kv_http_client(fixture->http), &put, kv_reply_store,
		  reply);
}

static void get(fixture_t *fixture, kv_reply_t *reply)
{
	gn_kv_get(gn_kv_http_client(fixture->http), GN_STR("a"), kv_reply_store,
		  reply);
}

/* Waits until the call reaches the service, then lets it time out. */
static void time_out(fixture_t *fixture, const char *kind, json_int_t calls)
{
	while (fixture_get_stat(fixture, "calls", kind) < calls)
		tevent_loop_once(fixture->loop);
	gn_clock_advance(&fixture->clock, TIMEOUT_MS * GN_US_PER_MS);
	gn_kv_http_expire(fixture->http);
}

/* Guards against a failure that is taken for an answer, or one kind for
 * another. */
static void check_health(const fixture_t *fixture, const fault_case_t *c,
			 uint64_t first_answer_us)
{
	gn_kv_health_t health = gn_kv_http_health(fixture->http);

	g_assert_cmpint(health.failure, ==, c->failure);
	g_assert_true((health.failed_us != 0) == (c->failure != 0));
	if (c->times_out) {
		g_assert_cmpuint(health.answered_us, ==, first_answer_us);
		g_assert_cmpuint(health.failed_us, ==,
				 gn_clock_now_us(&fixture->clock));
	}
}

static void test_fault(const void *data)
{
	const fault_case_t *c = data;
	uint64_t first_answer_us;
	kv_reply_t write = { 0 };
	kv_reply_t read = { 0 };
	fixture_t fixture;

	fixture_open(&fixture, RATE);
	put(&fixture, "1", 0, &write);
	fixture_run(&fixture);
	kv_reply_clear(&write);
	first_answer_us = gn_kv_http_health(fixture.http).answered_us;
	g_assert_cmpuint(first_answer_us, ==, gn_clock_now_us(&fixture.clock));
	fixture_set_faults(&fixture, c->faults);
	if (c->stops) {
		platform_server_stop(fixture.server);
		fixture.server = NULL;
	}
	put(&fixture, "2", 1, &write);
	if (c->times_out)
		time_out(&fixture, "put", 2);
	fixture_run(&fixture);
	get(&fixture, &read);
	if (c->times_out)
		time_out(&fixture, "get", 1);
	fixture_run(&fixture);
	check_health(&fixture, c, first_answer_us);
	g_assert_cmpint(write.code, ==, c->write_code);
	g_assert_cmpint(read.code, ==, c->read_code);
	if (c->read_code == GN_OK)
		g_assert_cmpstr(read.value, ==, "2");
	if (fixture.server)
		g_assert_cmpint(fixture_get_stat(&fixture, NULL, "revision"),
				==, c->revision);
	kv_reply_clear(&write);
	kv_reply_clear(&read);
	fixture_close(&fixture);
}

/*
 * libcurl repeats a request by itself if a reused connection turns out to be
 * dead. A write must not be sent twice in this way.
 */
static void test_write_not_resent(void)
{
	kv_reply_t reply = { 0 };
	fixture_t fixture;

	fixture_open(&fixture, RATE);
	get(&fixture, &reply);
	fixture_run(&fixture);
	kv_reply_clear(&reply);
	fixture_set_faults(&fixture, "{\"drop_requests\": 1}");
	put(&fixture, "1", 0, &reply);
	fixture_run(&fixture);
	g_assert_cmpint(reply.code, ==, GN_ERR_UNKNOWN);
	g_assert_cmpint(fixture_get_stat(&fixture, "calls", "put"), ==, 1);
	kv_reply_clear(&reply);
	fixture_close(&fixture);
}

static void test_rate(void)
{
	static const uint32_t rate = 8;
	kv_reply_t replies[16] = { 0 };
	kv_reply_t renewal = { 0 };
	unsigned sent = 0;
	fixture_t fixture;

	fixture_open(&fixture, rate);
	for (size_t i = 0; i < G_N_ELEMENTS(replies); i++)
		get(&fixture, &replies[i]);
	gn_kv_renew(gn_kv_http_client(fixture.http), 1, kv_reply_store,
		    &renewal);
	fixture_run(&fixture);
	for (size_t i = 0; i < G_N_ELEMENTS(replies); i++) {
		g_assert_cmpuint(replies[i].calls, ==, 1);
		sent += replies[i].code == GN_ERR_NOT_FOUND;
		kv_reply_clear(&replies[i]);
	}
	/* A quarter of the rate is reserved for renewals. */
	g_assert_cmpuint(sent, ==, 6);
	g_assert_cmpint(renewal.code, ==, GN_ERR_NOT_FOUND);
	g_assert_cmpint(fixture_get_stat(&fixture, NULL, "total"), ==, 7);
	g_assert_cmpuint(gn_counter_read(gn_counters_get(
				 fixture.counters, "platform.rate_refused")),
			 ==, 10);
	gn_clock_advance(&fixture.clock, GN_US_PER_S);
	get(&fixture, &replies[0]);
	fixture_run(&fixture);
	g_assert_cmpint(replies[0].code, ==, GN_ERR_NOT_FOUND);
	kv_reply_clear(&replies[0]);
	kv_reply_clear(&renewal);
	fixture_close(&fixture);
}

static void test_cancel(void)
{
	kv_reply_t reply = { 0 };
	gn_kv_call_t call;
	fixture_t fixture;

	fixture_open(&fixture, RATE);
	call = gn_kv_watch(gn_kv_http_client(fixture.http), GN_STR("p/"), 0,
			   GN_KV_WATCH_MAX_MS, kv_reply_store, &reply);
	while (!fixture_get_stat(&fixture, NULL, "waiting_watches"))
		tevent_loop_once(fixture.loop);
	gn_kv_cancel(gn_kv_http_client(fixture.http), call);
	g_assert_cmpuint(gn_kv_http_pending(fixture.http), ==, 0);
	g_assert_cmpuint(gn_counter_read(gn_counters_get(
				 fixture.counters, "platform.watches.waiting")),
			 ==, 0);
	get(&fixture, &reply);
	fixture_run(&fixture);
	g_assert_cmpuint(reply.calls, ==, 1);
	kv_reply_clear(&reply);
	fixture_close(&fixture);
}

static void test_longest_value(void)
{
	char *value = g_malloc(GN_KV_VALUE_MAX + 1);
	kv_reply_t reply = { 0 };
	gn_kv_put_t put = {
		GN_STR("a"), { value, GN_KV_VALUE_MAX }, GN_STR("c"), 0, 0
	};
	fixture_t fixture;

	for (size_t i = 0; i <= GN_KV_VALUE_MAX; i++)
		value[i] = (char)(i * 7);
	fixture_open(&fixture, RATE);
	gn_kv_put(gn_kv_http_client(fixture.http), &put, kv_reply_store,
		  &reply);
	fixture_run(&fixture);
	g_assert_cmpint(reply.code, ==, GN_OK);
	kv_reply_clear(&reply);
	get(&fixture, &reply);
	fixture_run(&fixture);
	g_assert_cmpmem(reply.value, reply.value_len, value, GN_KV_VALUE_MAX);
	kv_reply_clear(&reply);
	put.value.len++;
	gn_kv_put(gn_kv_http_client(fixture.http), &put, kv_reply_store,
		  &reply);
	fixture_run(&fixture);
	g_assert_cmpint(reply.code, ==, GN_ERR_RANGE);
	kv_reply_clear(&reply);
	fixture_close(&fixture);
	g_free(value);
}

static void on_update(void *context, const gn_kv_update_t *news)
{
	uint64_t *revision = context;

	g_assert_cmpuint(news->revision, >, *revision);
	*revision = news->revision;
}

/* A watch whose connection gets no answer continues from its revision. */
static void test_watch_silent(void)
{
	gn_kv_watch_options_t options = { "a", 3000, 0, on_update, NULL };
	GRand *rand = g_rand_new_with_seed(1);
	kv_reply_t reply = { 0 };
	uint64_t revision = 0;
	gn_kv_watch_t *watch;
	fixture_t fixture;

	fixture_open(&fixture, RATE);
	put(&fixture, "1", 0, &reply);
	fixture_run(&fixture);
	kv_reply_clear(&reply);
	options.context = &revision;
	watch = gn_kv_watch_create(NULL, gn_kv_http_client(fixture.http),
				   &fixture.clock, rand, &options);
	gn_kv_watch_tick(watch);
	fixture_run(&fixture);
	g_assert_cmpuint(revision, ==, 1);
	fixture_set_faults(&fixture, "{\"black_hole\": true}");
	gn_kv_watch_tick(watch);
	while (fixture_get_stat(&fixture, "calls", "watch") < 1)
		tevent_loop_once(fixture.loop);
	/* The deadline of a watch is its wait plus the timeout of a call. */
	gn_clock_advance(&fixture.clock, (3000 + TIMEOUT_MS) * GN_US_PER_MS);
	gn_kv_http_expire(fixture.http);
	g_assert_cmpuint(gn_kv_http_pending(fixture.http), ==, 0);
	fixture_set_faults(&fixture, "{\"black_hole\": false}");
	put(&fixture, "2", 1, &reply);
	fixture_run(&fixture);
	gn_clock_advance(&fixture.clock, GN_US_PER_S);
	gn_kv_watch_tick(watch);
	fixture_run(&fixture);
	g_assert_cmpuint(revision, ==, 2);
	kv_reply_clear(&reply);
	gn_kv_watch_free(watch);
	g_rand_free(rand);
	fixture_close(&fixture);
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
