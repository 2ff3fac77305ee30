/* Tests of the member record document and of an entry's lease. */
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

typedef struct rig_s {
	gn_clock_t clock;
	GRand *rand;
	kv_state_t *state;
	fake_kv_t *fake;
	gn_lease_t *lease;
	uint64_t renewed_us;
} rig_t;

static void on_renewed(void *context, uint64_t sent_us)
{
	rig_t *rig = context;

	rig->renewed_us = sent_us;
}

static void rig_open(rig_t *rig)
{
	gn_lease_options_t options = { 0 };

	memset(rig, 0, sizeof(*rig));
	gn_clock_init_paused(&rig->clock, GN_US_PER_S);
	rig->rand = g_rand_new_with_seed(1);
	rig->state = kv_state_create();
	rig->fake = fake_kv_create(rig->state, &rig->clock, 1);
	fake_kv_faults(rig->fake)->timeout_us = 500 * GN_US_PER_MS;
	options.kv = fake_kv_client(rig->fake);
	options.clock = &rig->clock;
	options.rand = rig->rand;
	options.key = KEY;
	options.ttl_ms = TTL_MS;
	options.on_renewed = on_renewed;
	options.context = rig;
	rig->lease = gn_lease_create(NULL, &options);
	g_assert_nonnull(rig->lease);
}

static void rig_close(rig_t *rig)
{
	gn_lease_free(rig->lease);
	fake_kv_free(rig->fake);
	kv_state_free(rig->state);
	g_rand_free(rig->rand);
}

static bool has_key(rig_t *rig)
{
	kv_answer_t answer;
	bool has_key;

	kv_state_expire(rig->state, gn_clock_now_us(&rig->clock));
	kv_answer_init(&answer);
	kv_state_get(rig->state, KEY, 0, &answer);
	has_key = answer.code == GN_OK;
	kv_answer_clear(&answer);
	return has_key;
}

static void run_ms(rig_t *rig, uint32_t ms)
{
	for (uint32_t i = 0; i < ms * GN_US_PER_MS / STEP_US; i++) {
		gn_clock_advance(&rig->clock, STEP_US);
		if (!fake_kv_faults(rig->fake)->frozen)
			gn_lease_tick(rig->lease);
		fake_kv_run(rig->fake);
	}
}

typedef struct lease_case_s {
	const char *name;
	fake_kv_faults_t faults; /* set once the lease is held */
	uint32_t fault_ms;
	gn_lease_state_t state; /* expected one TTL after the faults end */
} lease_case_t;

#define DELAYS_AND_TIMEOUT GN_US_PER_MS, GN_US_PER_MS, 500 * GN_US_PER_MS

static const lease_case_t lease_cases[] = {
	{ "quiet", { DELAYS_AND_TIMEOUT, .late = 0 }, 60000, GN_LEASE_HELD },
	{ "short-outage",
	  { DELAYS_AND_TIMEOUT, .down = true },
	  1000,
	  GN_LEASE_HELD },
	{ "long-outage",
	  { DELAYS_AND_TIMEOUT, .down = true },
	  6000,
	  GN_LEASE_LOST },
	{ "cut", { DELAYS_AND_TIMEOUT, .cut = true }, 6000, GN_LEASE_LOST },
	{ "frozen",
	  { DELAYS_AND_TIMEOUT, .frozen = true },
	  6000,
	  GN_LEASE_LOST },
	{ "answers-lost",
	  { DELAYS_AND_TIMEOUT, .lose_answer = 1 },
	  6000,
	  GN_LEASE_HELD },
	{ "requests-dropped",
	  { DELAYS_AND_TIMEOUT, .drop_request = 1 },
	  1000,
	  GN_LEASE_HELD },
};

static void test_lease(const void *data)
{
	const lease_case_t *c = data;
	fake_kv_faults_t none = { DELAYS_AND_TIMEOUT, .late = 0 };
	rig_t rig;

	rig_open(&rig);
	run_ms(&rig, 100);
	g_assert_cmpint(gn_lease_state(rig.lease), ==, GN_LEASE_HELD);
	g_assert_true(has_key(&rig));
	*fake_kv_faults(rig.fake) = c->faults;
	run_ms(&rig, c->fault_ms);
	*fake_kv_faults(rig.fake) = none;
	run_ms(&rig, TTL_MS);
	g_assert_cmpint(gn_lease_state(rig.lease), ==, c->state);
	g_assert_cmpint(has_key(&rig), ==, c->state == GN_LEASE_HELD);
	/* a lost lease must have expired for the process as well */
	if (c->state == GN_LEASE_LOST)
		g_assert_cmpuint(rig.renewed_us, <,
				 gn_clock_now_us(&rig.clock) -
					 TTL_MS * GN_US_PER_MS);
	rig_close(&rig);
}

/* If the answer to the key's creation is lost, a retry finds the key. */
static void test_lost_create_answer(void)
{
	rig_t rig;

	rig_open(&rig);
	gn_lease_tick(rig.lease);
	while (gn_lease_state(rig.lease) == GN_LEASE_GRANTING)
		run_ms(&rig, 10);
	fake_kv_faults(rig.fake)->lose_answer = 1;
	while (!has_key(&rig))
		run_ms(&rig, 10);
	g_assert_cmpint(gn_lease_state(rig.lease), ==, GN_LEASE_CREATING);
	fake_kv_faults(rig.fake)->lose_answer = 0;
	run_ms(&rig, 1500);
	g_assert_cmpint(gn_lease_state(rig.lease), ==, GN_LEASE_HELD);
	rig_close(&rig);
}

static void test_revoke(void)
{
	rig_t rig;

	rig_open(&rig);
	run_ms(&rig, 100);
	gn_lease_revoke(rig.lease);
	g_assert_cmpint(gn_lease_state(rig.lease), ==, GN_LEASE_REVOKING);
	run_ms(&rig, 100);
	g_assert_cmpint(gn_lease_state(rig.lease), ==, GN_LEASE_LOST);
	g_assert_false(has_key(&rig));
	rig_close(&rig);
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
	g_test_add_func("/record/lease-create-lost", test_lost_create_answer);
	g_test_add_func("/record/lease-end", test_revoke);
	return g_test_run();
}
