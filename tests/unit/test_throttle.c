#include <glib.h>

#include "admit/speed.h"
#include "admit/throttle.h"

#define TARGET_US 10000
#define TASKS 8
#define SAMPLE_US GN_US_PER_S

static const gn_throttle_weights_t even = { 1, 1, 1 };

typedef struct bench_s {
	gn_clock_t clock;
	gn_throttle_t *throttle;
	gn_throttle_config_t config;
} bench_t;

static void setup(bench_t *bench)
{
	gn_clock_init_paused(&bench->clock, GN_US_PER_S);
	bench->config = gn_throttle_defaults(TARGET_US, TASKS, &even);
	bench->throttle =
		gn_throttle_create(NULL, &bench->clock, &bench->config);
	g_assert_nonnull(bench->throttle);
}

/** A window of a second with its tail at @p pct of the target. */
static gn_throttle_advice_t sample(bench_t *bench, unsigned pct,
				   unsigned running)
{
	gn_throttle_sample_t sample = {
		.tail_us = TARGET_US * pct / 100,
		.requests = 1000,
		.measured_us = gn_clock_now_us(&bench->clock),
	};
	gn_throttle_advice_t advice;

	gn_clock_advance(&bench->clock, SAMPLE_US);
	gn_throttle_take_sample(bench->throttle, &sample, running);
	gn_throttle_advise(bench->throttle, running, &advice);
	return advice;
}

static void test_order(void)
{
	bench_t bench;
	gn_throttle_advice_t advice;
	unsigned last = 100;
	unsigned samples = 0;

	setup(&bench);
	/* Slower and slower down to the floor; no task is told to leave. */
	do {
		advice = sample(&bench, 300, TASKS);
		g_assert_cmpuint(advice.speed_pct, <=, last);
		g_assert_cmpint(advice.step, ==, GN_THROTTLE_NONE);
		last = advice.speed_pct;
		g_assert_cmpuint(++samples, <, 100);
	} while (last > bench.config.floor_pct);
	/* A task is told to checkpoint only after the patience. */
	gn_clock_advance(&bench.clock, bench.config.patience_ms * GN_US_PER_MS);
	gn_throttle_advise(bench.throttle, TASKS, &advice);
	g_assert_cmpint(advice.step, ==, GN_THROTTLE_CHECKPOINT);
	gn_throttle_begin_checkpoint(bench.throttle);
	gn_throttle_advise(bench.throttle, TASKS, &advice);
	g_assert_cmpint(advice.step, ==, GN_THROTTLE_NONE);
	/* It is stopped only when its checkpoint doesn't come. */
	gn_clock_advance(&bench.clock,
			 bench.config.checkpoint_ms * GN_US_PER_MS);
	gn_throttle_advise(bench.throttle, TASKS, &advice);
	g_assert_cmpint(advice.step, ==, GN_THROTTLE_STOP);
	gn_throttle_end_checkpoint(bench.throttle, TASKS - 1);
	gn_throttle_advise(bench.throttle, TASKS - 1, &advice);
	g_assert_cmpint(advice.step, ==, GN_THROTTLE_NONE);
	talloc_free(bench.throttle);
}

static void test_hysteresis(void)
{
	bench_t bench;
	gn_throttle_advice_t before;
	gn_throttle_advice_t after;
	unsigned middle;

	setup(&bench);
	middle = (bench.config.high_pct + bench.config.low_pct) / 2;
	before = sample(&bench, 300, TASKS);
	g_assert_cmpuint(before.speed_pct, <, 100);
	for (int i = 0; i < 10; i++) {
		after = sample(&bench, middle, TASKS);
		g_assert_cmpuint(after.speed_pct, ==, before.speed_pct);
		g_assert_cmpint(after.step, ==, GN_THROTTLE_NONE);
	}
	for (int i = 0; i < 100; i++)
		after = sample(&bench, 10, TASKS);
	g_assert_cmpuint(after.speed_pct, ==, 100);
	g_assert_cmpuint(after.task_limit, ==, TASKS);
	talloc_free(bench.throttle);
}

static void test_late_sample(void)
{
	bench_t bench;
	gn_throttle_advice_t cut;
	gn_throttle_advice_t later;
	gn_throttle_sample_t old = { TARGET_US * 3, 1000, 0 };

	setup(&bench);
	cut = sample(&bench, 300, TASKS);
	/* Measured before the cut: it can't show its effect. */
	old.measured_us = gn_clock_now_us(&bench.clock) - SAMPLE_US / 2;
	gn_throttle_take_sample(bench.throttle, &old, TASKS);
	gn_throttle_advise(bench.throttle, TASKS, &later);
	g_assert_cmpuint(later.speed_pct, ==, cut.speed_pct);
	talloc_free(bench.throttle);
}

static void test_few_requests(void)
{
	bench_t bench;
	gn_throttle_sample_t few = { TARGET_US * 9, 5, 0 };
	gn_throttle_advice_t advice;

	setup(&bench);
	few.measured_us = gn_clock_now_us(&bench.clock);
	gn_throttle_take_sample(bench.throttle, &few, TASKS);
	gn_throttle_advise(bench.throttle, TASKS, &advice);
	g_assert_cmpuint(advice.speed_pct, ==, 100);
	talloc_free(bench.throttle);
}

static void test_weights(void)
{
	const gn_throttle_weights_t tail_first = { 6, 1, 1 };
	const gn_throttle_weights_t work_first = { 1, 3, 4 };
	gn_throttle_config_t a =
		gn_throttle_defaults(TARGET_US, TASKS, &tail_first);
	gn_throttle_config_t b =
		gn_throttle_defaults(TARGET_US, TASKS, &work_first);

	g_assert_cmpuint(a.high_pct, <, b.high_pct);
	g_assert_cmpuint(a.cut_pct, <, b.cut_pct);
	g_assert_cmpuint(a.floor_pct, <, b.floor_pct);
	g_assert_cmpuint(a.patience_ms, <, b.patience_ms);
}

/** Quiet tasks may start beyond the limit, until all are at the floor. */
static void test_may_start(void)
{
	bench_t bench;
	gn_throttle_advice_t advice;

	setup(&bench);
	g_assert_true(gn_throttle_may_start(bench.throttle, TASKS - 1, 1, 0));
	g_assert_false(gn_throttle_may_start(bench.throttle, TASKS, 0, 1));
	do
		advice = sample(&bench, 300, TASKS - 1);
	while (advice.task_limit >= TASKS - 1);
	g_assert_true(gn_throttle_may_start(bench.throttle, 0, 1, 0));
	g_assert_true(gn_throttle_may_start(bench.throttle, TASKS - 1, 0, 1));
	g_assert_false(gn_throttle_may_start(bench.throttle, TASKS - 1, 1, 1));
	g_assert_false(gn_throttle_may_start(bench.throttle, TASKS - 1, 0, 0));
	do
		advice = sample(&bench, 300, TASKS - 1);
	while (advice.speed_pct > bench.config.floor_pct);
	g_assert_false(gn_throttle_may_start(bench.throttle, TASKS - 1, 0, 1));
	talloc_free(bench.throttle);
}

/** Tasks that are known to be loud start in waves, each seen in a tail. */
static void test_waves(void)
{
	bench_t bench;

	setup(&bench);
	gn_throttle_set_floor(bench.throttle, 50);
	sample(&bench, 70, 0);
	/* 0.7 of the target, and 0.25 for each at half its speed. */
	g_assert_true(gn_throttle_may_start(bench.throttle, 0, 0.5, true));
	gn_throttle_note_start(bench.throttle, 0.5);
	g_assert_false(gn_throttle_may_start(bench.throttle, 1, 0.5, true));
	g_assert_true(gn_throttle_may_start(bench.throttle, 1, 0.5, false));
	gn_clock_advance(&bench.clock, SAMPLE_US);
	sample(&bench, 75, 1);
	g_assert_true(gn_throttle_may_start(bench.throttle, 1, 0.5, true));
	talloc_free(bench.throttle);
}

/** Where tasks can't be slowed, the freed place of one stays free. */
static void test_unthrottled(void)
{
	bench_t bench;
	gn_throttle_advice_t advice;

	setup(&bench);
	gn_throttle_set_floor(bench.throttle, 100);
	advice = sample(&bench, 300, TASKS);
	g_assert_cmpuint(advice.speed_pct, ==, 100);
	gn_clock_advance(&bench.clock, bench.config.patience_ms * GN_US_PER_MS);
	gn_throttle_advise(bench.throttle, TASKS, &advice);
	g_assert_cmpint(advice.step, ==, GN_THROTTLE_CHECKPOINT);
	gn_throttle_begin_checkpoint(bench.throttle);
	gn_throttle_end_checkpoint(bench.throttle, TASKS - 1);
	advice = sample(&bench, bench.config.high_pct - 1, TASKS - 1);
	g_assert_cmpuint(advice.task_limit, ==, TASKS - 1);
	g_assert_false(gn_throttle_may_start(bench.throttle, TASKS - 1, 0, 0));
	talloc_free(bench.throttle);
}

/* ======   Interference   ====== */

#define LOUD_ADDS 0.30
#define QUIET_ADDS 0.02

/** Measurements that come a second late while the tasks come and go. */
static void learn(gn_clock_t *clock, gn_interfere_t *interfere, GRand *rand,
		  unsigned load_pct, double loud_adds)
{
	double late = 0.4;
	uint64_t late_us = gn_clock_now_us(clock);

	for (int i = 0; i < 600; i++) {
		double loud = g_rand_int_range(rand, 0, 4);
		double quiet = g_rand_int_range(rand, 0, 4);

		gn_interfere_set_running(interfere, GN_STR("loud"), loud);
		gn_interfere_set_running(interfere, GN_STR("quiet"), quiet);
		gn_interfere_learn(interfere, late_us, load_pct, late);
		late = 0.4 + loud * loud_adds + quiet * QUIET_ADDS;
		late_us = gn_clock_now_us(clock);
		gn_clock_advance(clock, GN_US_PER_S);
	}
}

static void test_interfere(void)
{
	gn_interfere_config_t config = gn_interfere_defaults();
	GRand *rand = g_rand_new_with_seed(5);
	gn_interfere_t *interfere;
	gn_clock_t clock;
	gn_str_t worst;
	double high;

	gn_clock_init_paused(&clock, GN_US_PER_S);
	interfere = gn_interfere_create(NULL, &clock, &config);
	g_assert_false(gn_interfere_worst(interfere, 90, &worst));
	learn(&clock, interfere, rand, 90, LOUD_ADDS);
	learn(&clock, interfere, rand, 20, LOUD_ADDS / 10);
	gn_interfere_set_running(interfere, GN_STR("loud"), 1);
	gn_interfere_set_running(interfere, GN_STR("quiet"), 8);
	high = gn_interfere_estimate(interfere, GN_STR("loud"), 90);
	/* The high band has faded by one half-life meanwhile. */
	g_assert_cmpfloat_with_epsilon(high, LOUD_ADDS / 2, 0.05);
	g_assert_cmpfloat_with_epsilon(
		gn_interfere_estimate(interfere, GN_STR("loud"), 20),
		LOUD_ADDS / 10, 0.02);
	g_assert_true(gn_interfere_worst(interfere, 90, &worst));
	g_assert_true(gn_str_equal(worst, GN_STR("loud")));
	g_assert_cmpfloat(gn_interfere_estimate(interfere, GN_STR("none"), 90),
			  ==, 0);
	g_rand_free(rand);
	talloc_free(interfere);
}

/** The loud kind is slowed first, the quiet one only beyond its floor. */
static void test_speed(void)
{
	static const struct {
		unsigned total_pct;
		unsigned loud_least, loud_most;
		unsigned quiet_least, quiet_most;
	} cases[] = {
		{ 100, 100, 100, 100, 100 },
		{ 60, 40, 65, 100, 100 },
		{ 20, 10, 20, 90, 100 },
		{ 10, 10, 10, 10, 12 },
	};
	gn_interfere_config_t config = gn_interfere_defaults();
	GRand *rand = g_rand_new_with_seed(5);
	gn_interfere_t *interfere;
	gn_clock_t clock;

	gn_clock_init_paused(&clock, GN_US_PER_S);
	interfere = gn_interfere_create(NULL, &clock, &config);
	g_assert_false(gn_interfere_is_known(interfere, GN_STR("loud"), 90));
	for (size_t i = 0; i <= G_N_ELEMENTS(cases); i++) {
		gn_speed_t kinds[] = { { GN_STR("quiet"), 4, 0 },
				       { GN_STR("loud"), 4, 0 } };

		if (i == 0) {
			/* Nothing is known yet: all alike. */
			gn_speed_share(interfere, 90, 35, 10, kinds, 2);
			g_assert_cmpuint(kinds[0].speed_pct, ==, 35);
			g_assert_cmpuint(kinds[1].speed_pct, ==, 35);
			learn(&clock, interfere, rand, 90, LOUD_ADDS);
			continue;
		}
		gn_speed_share(interfere, 90, cases[i - 1].total_pct, 10, kinds,
			       2);
		g_assert_cmpuint(kinds[0].speed_pct, >=,
				 cases[i - 1].quiet_least);
		g_assert_cmpuint(kinds[0].speed_pct, <=,
				 cases[i - 1].quiet_most);
		g_assert_cmpuint(kinds[1].speed_pct, >=,
				 cases[i - 1].loud_least);
		g_assert_cmpuint(kinds[1].speed_pct, <=,
				 cases[i - 1].loud_most);
	}
	g_assert_true(gn_interfere_is_known(interfere, GN_STR("loud"), 90));
	g_assert_false(gn_interfere_is_known(interfere, GN_STR("loud"), 20));
	g_rand_free(rand);
	talloc_free(interfere);
}

static void test_interfere_kinds(void)
{
	gn_interfere_config_t config = gn_interfere_defaults();
	gn_interfere_t *interfere;
	gn_clock_t clock;

	gn_clock_init_paused(&clock, GN_US_PER_S);
	interfere = gn_interfere_create(NULL, &clock, &config);
	for (int i = 0; i <= GN_INTERFERE_KINDS; i++) {
		char *name = g_strdup_printf("kind-%d", i);
		gn_code_t code = gn_interfere_set_running(interfere,
							  gn_str_from(name), 1);

		g_assert_cmpint(code, ==,
				i < GN_INTERFERE_KINDS ? GN_OK
						       : GN_ERR_CAPACITY);
		g_free(name);
	}
	g_assert_cmpint(gn_interfere_set_running(interfere, GN_STR("a"), -1),
			==, GN_ERR_RANGE);
	talloc_free(interfere);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/throttle/order", test_order);
	g_test_add_func("/throttle/hysteresis", test_hysteresis);
	g_test_add_func("/throttle/late-sample", test_late_sample);
	g_test_add_func("/throttle/few-requests", test_few_requests);
	g_test_add_func("/throttle/weights", test_weights);
	g_test_add_func("/throttle/may-start", test_may_start);
	g_test_add_func("/throttle/waves", test_waves);
	g_test_add_func("/throttle/unthrottled", test_unthrottled);
	g_test_add_func("/interfere/learns", test_interfere);
	g_test_add_func("/interfere/speed", test_speed);
	g_test_add_func("/interfere/kinds", test_interfere_kinds);
	return g_test_run();
}
