/* The member record as a document, and the lease of an entry. */
#include <stdlib.h>
#include <string.h>

#include "common/str.h"
#include "member/lease.h"
#include "member/record_doc.h"
#include "support/fake_kv.h"

/* ======   Documents   ====== */

typedef struct decode_case_s {
	const char *name;
	const char *text;
	gn_code_t code;
} decode_case_t;

#define MEMBER(joined, acked)                                                \
	"{\"incarnation\":\"00000000000000ff\",\"name\":\"a\","              \
	"\"address\":\"127.0.0.1:1\",\"joined\":" joined ",\"acked\":" acked \
	"}"
#define RECORD(members, left) \
	"{\"revision\":2,\"members\":[" members "],\"left\":[" left "]}"

static const decode_case_t decode_cases[] = {
	{ "empty", "", GN_ERR_INVALID },
	{ "no-members", RECORD("", ""), GN_OK },
	{ "member", RECORD(MEMBER("1", "2"), ""), GN_OK },
	{ "truncated", "{\"revision\":2,\"members\":[", GN_ERR_INVALID },
	{ "joined-later", RECORD(MEMBER("3", "0"), ""), GN_ERR_INVALID },
	{ "acked-later", RECORD(MEMBER("1", "3"), ""), GN_ERR_INVALID },
	{ "negative", RECORD(MEMBER("-1", "0"), ""), GN_ERR_INVALID },
	{ "no-object", RECORD("7", ""), GN_ERR_INVALID },
	{ "no-left", "{\"revision\":2,\"members\":[]}", GN_ERR_INVALID },
	{ "left",
	  RECORD("", "{\"incarnation\":\"00000000000000ff\",\"acked\":1,"
		     "\"revision\":2}"),
	  GN_OK },
	{ "zero-incarnation",
	  RECORD("", "{\"incarnation\":\"0000000000000000\",\"acked\":1,"
		     "\"revision\":2}"),
	  GN_ERR_INVALID },
	{ "short-incarnation",
	  RECORD("", "{\"incarnation\":\"ff\",\"acked\":1,\"revision\":2}"),
	  GN_ERR_INVALID },
};

static void test_decode(const void *data)
{
	const decode_case_t *c = data;
	gn_record_doc_t *doc = g_new(gn_record_doc_t, 1);

	g_assert_cmpint(gn_record_doc_decode(gn_str_from(c->text), doc), ==,
			c->code);
	g_free(doc);
}

static void test_membership(void)
{
	gn_record_doc_t *doc = g_new0(gn_record_doc_t, 1);
	gn_record_doc_t *copy = g_new0(gn_record_doc_t, 1);
	gn_record_member_t member = { 7, "a", "127.0.0.1:1", 0, 0 };
	char *text;

	doc->revision = 1;
	g_assert_cmpint(gn_record_doc_add(doc, &member), ==, GN_OK);
	g_assert_cmpint(gn_record_doc_add(doc, &member), ==, GN_ERR_STALE);
	doc->members[0].acked = 1;
	doc->revision = 2;
	gn_record_doc_remove(doc, 0);
	g_assert_cmpint(gn_record_doc_add(doc, &member), ==, GN_ERR_STALE);
	g_assert_cmpuint(gn_record_doc_acked(doc, 7), ==, 1);
	g_assert_cmpuint(gn_record_doc_acked(doc, 8), ==, 0);
	text = gn_record_doc_encode(doc);
	g_assert_cmpint(gn_record_doc_decode(gn_str_from(text), copy), ==,
			GN_OK);
	g_assert_true(gn_record_doc_has_left(copy, 7));
	free(text);
	/* both lists are bounded */
	for (uint64_t i = 0; i < GN_RECORD_MEMBERS_MAX; i++) {
		member.incarnation = 1000 + i;
		g_assert_cmpint(gn_record_doc_add(doc, &member), ==, GN_OK);
	}
	member.incarnation = 1;
	g_assert_cmpint(gn_record_doc_add(doc, &member), ==, GN_ERR_CAPACITY);
	while (doc->member_count)
		gn_record_doc_remove(doc, 0);
	g_assert_cmpuint(doc->left_count, ==, GN_RECORD_LEFT_MAX);
	g_assert_false(gn_record_doc_has_left(doc, 7));
	g_free(doc);
	g_free(copy);
}

/* ======   Lease   ====== */

#define TTL_MS 3000
#define STEP_US (10 * GN_US_PER_MS)
#define KEY "members/live/1"

typedef struct bench_s {
	gn_clock_t clock;
	GRand *rand;
	kv_state_t *state;
	fake_kv_t *fake;
	gn_lease_t *lease;
	uint64_t renewed_us;
} bench_t;

static void take_renewed(void *context, uint64_t sent_us)
{
	bench_t *bench = context;

	bench->renewed_us = sent_us;
}

static void bench_open(bench_t *bench)
{
	gn_lease_options_t options = { 0 };

	memset(bench, 0, sizeof(*bench));
	gn_clock_init_paused(&bench->clock, GN_US_PER_S);
	bench->rand = g_rand_new_with_seed(1);
	bench->state = kv_state_create();
	bench->fake = fake_kv_create(bench->state, &bench->clock, 1);
	fake_kv_faults(bench->fake)->timeout_us = 500 * GN_US_PER_MS;
	options.kv = fake_kv_client(bench->fake);
	options.clock = &bench->clock;
	options.rand = bench->rand;
	options.key = KEY;
	options.ttl_ms = TTL_MS;
	options.on_renewed = take_renewed;
	options.context = bench;
	bench->lease = gn_lease_create(NULL, &options);
	g_assert_nonnull(bench->lease);
}

static void bench_close(bench_t *bench)
{
	gn_lease_free(bench->lease);
	fake_kv_free(bench->fake);
	kv_state_free(bench->state);
	g_rand_free(bench->rand);
}

static bool has_key(bench_t *bench)
{
	kv_answer_t answer;
	bool has_key;

	kv_state_expire(bench->state, gn_clock_now_us(&bench->clock));
	kv_answer_init(&answer);
	kv_state_get(bench->state, KEY, 0, &answer);
	has_key = answer.code == GN_OK;
	kv_answer_clear(&answer);
	return has_key;
}

static void bench_run(bench_t *bench, uint32_t ms)
{
	for (uint32_t i = 0; i < ms * GN_US_PER_MS / STEP_US; i++) {
		gn_clock_advance(&bench->clock, STEP_US);
		if (!fake_kv_faults(bench->fake)->frozen)
			gn_lease_tick(bench->lease);
		fake_kv_run(bench->fake);
	}
}

typedef struct lease_case_s {
	const char *name;
	fake_kv_faults_t faults; /* after the lease is held */
	uint32_t fault_ms;
	gn_lease_state_t state; /* some time after the faults */
} lease_case_t;

#define TIMES GN_US_PER_MS, GN_US_PER_MS, 500 * GN_US_PER_MS

static const lease_case_t lease_cases[] = {
	{ "quiet", { TIMES, .late = 0 }, 60000, GN_LEASE_HELD },
	{ "short-outage", { TIMES, .down = true }, 1000, GN_LEASE_HELD },
	{ "long-outage", { TIMES, .down = true }, 6000, GN_LEASE_LOST },
	{ "cut", { TIMES, .cut = true }, 6000, GN_LEASE_LOST },
	{ "frozen", { TIMES, .frozen = true }, 6000, GN_LEASE_LOST },
	{ "answers-lost", { TIMES, .lose_answer = 1 }, 6000, GN_LEASE_HELD },
	{ "requests-dropped",
	  { TIMES, .drop_request = 1 },
	  1000,
	  GN_LEASE_HELD },
};

static void test_lease(const void *data)
{
	const lease_case_t *c = data;
	fake_kv_faults_t none = { TIMES, .late = 0 };
	bench_t bench;

	bench_open(&bench);
	bench_run(&bench, 100);
	g_assert_cmpint(gn_lease_state(bench.lease), ==, GN_LEASE_HELD);
	g_assert_true(has_key(&bench));
	*fake_kv_faults(bench.fake) = c->faults;
	bench_run(&bench, c->fault_ms);
	*fake_kv_faults(bench.fake) = none;
	bench_run(&bench, TTL_MS);
	g_assert_cmpint(gn_lease_state(bench.lease), ==, c->state);
	g_assert_cmpint(has_key(&bench), ==, c->state == GN_LEASE_HELD);
	/* a holder never counts on more than the service grants */
	if (c->state == GN_LEASE_LOST)
		g_assert_cmpuint(bench.renewed_us, <,
				 gn_clock_now_us(&bench.clock) -
					 TTL_MS * GN_US_PER_MS);
	bench_close(&bench);
}

/* The answer to the creation of the key is lost: it is settled. */
static void test_create_lost(void)
{
	bench_t bench;

	bench_open(&bench);
	gn_lease_tick(bench.lease);
	while (gn_lease_state(bench.lease) == GN_LEASE_GRANTING)
		bench_run(&bench, 10);
	fake_kv_faults(bench.fake)->lose_answer = 1;
	while (!has_key(&bench))
		bench_run(&bench, 10);
	g_assert_cmpint(gn_lease_state(bench.lease), ==, GN_LEASE_CREATING);
	fake_kv_faults(bench.fake)->lose_answer = 0;
	bench_run(&bench, 1500);
	g_assert_cmpint(gn_lease_state(bench.lease), ==, GN_LEASE_HELD);
	bench_close(&bench);
}

static void test_end(void)
{
	bench_t bench;

	bench_open(&bench);
	bench_run(&bench, 100);
	gn_lease_revoke(bench.lease);
	g_assert_cmpint(gn_lease_state(bench.lease), ==, GN_LEASE_REVOKING);
	bench_run(&bench, 100);
	g_assert_cmpint(gn_lease_state(bench.lease), ==, GN_LEASE_LOST);
	g_assert_false(has_key(&bench));
	bench_close(&bench);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(decode_cases); i++) {
		g_autofree char *path = g_strdup_printf("/record/decode/%s",
							decode_cases[i].name);

		g_test_add_data_func(path, &decode_cases[i], test_decode);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(lease_cases); i++) {
		g_autofree char *path = g_strdup_printf("/record/lease/%s",
							lease_cases[i].name);

		g_test_add_data_func(path, &lease_cases[i], test_lease);
	}
	g_test_add_func("/record/membership", test_membership);
	g_test_add_func("/record/lease-create-lost", test_create_lost);
	g_test_add_func("/record/lease-end", test_end);
	return g_test_run();
}
