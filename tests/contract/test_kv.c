/* The cases of kv.h against the in-process fake. */
#include "common/str.h"
#include "support/fake_kv.h"
#include "support/kv_cases.h"

typedef struct bench_s {
	gn_clock_t clock;
	kv_state_t *state;
	fake_kv_t *fake;
} bench_t;

static void bench_step(bench_t *bench)
{
	gn_clock_advance(&bench->clock, GN_US_PER_MS);
	fake_kv_run(bench->fake);
}

static void bench_run(void *context)
{
	bench_t *bench = context;

	while (fake_kv_pending(bench->fake))
		bench_step(bench);
}

static void bench_lapse(void *context, uint64_t lease)
{
	bench_t *bench = context;
	kv_answer_t answer;

	kv_answer_init(&answer);
	kv_state_revoke(bench->state, lease, &answer);
	kv_answer_clear(&answer);
}

static void bench_open(bench_t *bench, guint32 seed)
{
	gn_clock_init_paused(&bench->clock, GN_US_PER_S);
	bench->state = kv_state_create();
	bench->fake = fake_kv_create(bench->state, &bench->clock, seed);
}

static void bench_close(bench_t *bench)
{
	fake_kv_free(bench->fake);
	kv_state_free(bench->state);
}

static void test_case(const void *data)
{
	bench_t bench;
	kv_rig_t rig;

	bench_open(&bench, 1);
	rig.kv = fake_kv_client(bench.fake);
	rig.run = bench_run;
	rig.lapse = bench_lapse;
	rig.context = &bench;
	kv_case_run(data, &rig);
	bench_close(&bench);
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
	bench_t bench;

	bench_open(&bench, 2);
	*fake_kv_faults(bench.fake) = c->faults;
	gn_kv_put(fake_kv_client(bench.fake), &put, kv_reply_take, &write);
	bench_run(&bench);
	gn_kv_get(fake_kv_client(bench.fake), GN_STR("a"), kv_reply_take,
		  &read);
	bench_run(&bench);
	g_assert_cmpint(write.code, ==, c->write_code);
	g_assert_cmpint(read.code, ==, c->read_code);
	kv_answer_init(&answer);
	kv_state_get(bench.state, "a", 0, &answer);
	g_assert_cmpint(answer.code, ==, c->applied ? GN_OK : GN_ERR_NOT_FOUND);
	kv_answer_clear(&answer);
	kv_reply_clear(&write);
	kv_reply_clear(&read);
	bench_close(&bench);
}

static void test_frozen_client(void)
{
	gn_kv_put_t put = { GN_STR("a"), GN_STR("1"), GN_STR("c1"), 0, 0 };
	kv_reply_t reply = { 0 };
	bench_t bench;

	bench_open(&bench, 3);
	gn_kv_put(fake_kv_client(bench.fake), &put, kv_reply_take, &reply);
	fake_kv_faults(bench.fake)->frozen = true;
	for (int i = 0; i < 100; i++)
		bench_step(&bench);
	g_assert_cmpuint(reply.calls, ==, 0);
	g_assert_cmpuint(kv_state_revision(bench.state), ==, 1);
	fake_kv_faults(bench.fake)->frozen = false;
	bench_step(&bench);
	g_assert_cmpuint(reply.calls, ==, 1);
	kv_reply_clear(&reply);
	bench_close(&bench);
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
