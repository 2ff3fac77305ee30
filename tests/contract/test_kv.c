/* Runs the cases of kv_cases.h with the in-process fake, and its faults. */
#include "common/str.h"
#include "support/fake_kv.h"
#include "support/kv_cases.h"

typedef struct fixture_s {
	gn_clock_t clock;
	kv_state_t *state;
	fake_kv_t *fake;
} fixture_t;

static void fixture_step(fixture_t *fixture)
{
	gn_clock_advance(&fixture->clock, GN_US_PER_MS);
	fake_kv_run(fixture->fake);
}

static void fixture_run(void *context)
{
	fixture_t *fixture = context;

	while (fake_kv_pending(fixture->fake))
		fixture_step(fixture);
}

static void fixture_expire_lease(void *context, uint64_t lease)
{
	fixture_t *fixture = context;
	kv_answer_t answer;

	kv_answer_init(&answer);
	kv_state_revoke(fixture->state, lease, &answer);
	kv_answer_clear(&answer);
}

static void fixture_open(fixture_t *fixture, guint32 seed)
{
	gn_clock_init_paused(&fixture->clock, GN_US_PER_S);
	fixture->state = kv_state_create();
	fixture->fake = fake_kv_create(fixture->state, &fixture->clock, seed);
}

static void fixture_close(fixture_t *fixture)
{
	fake_kv_free(fixture->fake);
	kv_state_free(fixture->state);
}

static void test_case(const void *data)
{
	fixture_t fixture;
	kv_impl_t impl;

	fixture_open(&fixture, 1);
	impl.kv = fake_kv_client(fixture.fake);
	impl.run = fixture_run;
	impl.expire_lease = fixture_expire_lease;
	impl.context = &fixture;
	kv_case_run(data, &impl);
	fixture_close(&fixture);
}

/* ======   Faults of the fake   ====== */

typedef struct fault_case_s {
	const char *name;
	fake_kv_faults_t faults;
	gn_code_t write_code;
	gn_code_t read_code;
	bool applied;
} fault_case_t;

#define STEP_US GN_US_PER_MS, GN_US_PER_MS, 100 * GN_US_PER_MS

static const fault_case_t fault_cases[] = {
	{ "none", { STEP_US, .late = 0 }, GN_OK, GN_OK, true },
	{ "down",
	  { STEP_US, .down = true },
	  GN_ERR_UNAVAILABLE,
	  GN_ERR_UNAVAILABLE,
	  false },
	{ "cut",
	  { STEP_US, .cut = true },
	  GN_ERR_UNKNOWN,
	  GN_ERR_UNAVAILABLE,
	  false },
	{ "dropped",
	  { STEP_US, .drop_request = 1 },
	  GN_ERR_UNKNOWN,
	  GN_ERR_UNAVAILABLE,
	  false },
	{ "lost-answer",
	  { STEP_US, .lose_answer = 1 },
	  GN_ERR_UNKNOWN,
	  GN_ERR_UNAVAILABLE,
	  true },
	{ "older-read",
	  { STEP_US, .older_read = 1 },
	  GN_OK,
	  GN_ERR_STALE,
	  true },
};

static void test_fault(const void *data)
{
	const fault_case_t *c = data;
	kv_reply_t write = { 0 };
	kv_reply_t read = { 0 };
	gn_kv_put_t put = { GN_STR("a"), GN_STR("1"), GN_STR("c1"), 0, 0 };
	kv_answer_t answer;
	fixture_t fixture;

	fixture_open(&fixture, 2);
	*fake_kv_faults(fixture.fake) = c->faults;
	gn_kv_put(fake_kv_client(fixture.fake), &put, kv_reply_store, &write);
	fixture_run(&fixture);
	gn_kv_get(fake_kv_client(fixture.fake), GN_STR("a"), kv_reply_store,
		  &read);
	fixture_run(&fixture);
	g_assert_cmpint(write.code, ==, c->write_code);
	g_assert_cmpint(read.code, ==, c->read_code);
	kv_answer_init(&answer);
	kv_state_get(fixture.state, "a", 0, &answer);
	g_assert_cmpint(answer.code, ==, c->applied ? GN_OK : GN_ERR_NOT_FOUND);
	kv_answer_clear(&answer);
	kv_reply_clear(&write);
	kv_reply_clear(&read);
	fixture_close(&fixture);
}

static void test_frozen_client(void)
{
	gn_kv_put_t put = { GN_STR("a"), GN_STR("1"), GN_STR("c1"), 0, 0 };
	kv_reply_t reply = { 0 };
	fixture_t fixture;

	fixture_open(&fixture, 3);
	gn_kv_put(fake_kv_client(fixture.fake), &put, kv_reply_store, &reply);
	fake_kv_faults(fixture.fake)->frozen = true;
	for (int i = 0; i < 100; i++)
		fixture_step(&fixture);
	g_assert_cmpuint(reply.calls, ==, 0);
	g_assert_cmpuint(kv_state_revision(fixture.state), ==, 1);
	fake_kv_faults(fixture.fake)->frozen = false;
	fixture_step(&fixture);
	g_assert_cmpuint(reply.calls, ==, 1);
	kv_reply_clear(&reply);
	fixture_close(&fixture);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	kv_cases_add("/kv/fake", test_case);
	for (size_t i = 0; i < G_N_ELEMENTS(fault_cases); i++) {
		g_autofree char *path = g_strdup_printf("/kv/fake/fault/%s",
							fault_cases[i].name);

		g_test_add_data_func(path, &fault_cases[i], test_fault);
	}
	g_test_add_func("/kv/fake/frozen-client", test_frozen_client);
	return g_test_run();
}
