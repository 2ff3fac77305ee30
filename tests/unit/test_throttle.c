#include <glib.h>

#include "admit/speed.h"
#include "admit/throttle.h"

#define TARGET_US 10000
#define TASKS 8
#define SAMPLE_US GN_US_PER_S

static const gn_throttle_weights_t even = { 1, 1, 1 };

typedef struct fixture_s {
	gn_clock_t clock;
	gn_throttle_t *throttle;
	gn_throttle_config_t config;
} fixture_t;

static void setup(fixture_t *f)
{
	gn_clock_init_paused(&f->clock, GN_US_PER_S);
	f->config = gn_throttle_defaults(TARGET_US, TASKS, &even);
	f->throttle = gn_throttle_create(NULL, &f->clock, &f->config);
	g_assert_nonnull(f->throttle);
}

/**
 * Adds a sample of a one-second window whose tail is @p pct per cent of the
 * target.
 */
static gn_throttle_advice_t add_sample(fixture_t *f, unsigned pct,
				       unsigned running)
{
	gn_throttle_sample_t sample = {
		.tail_us = TARGET_US * pct / 100,
		.requests = 1000,
		.measured_us = gn_clock_now_us(&f->clock),
	};
	gn_throttle_advice_t advice;

	gn_clock_advance(&f->clock, SAMPLE_US);
	gn_throttle_add_sample(f->throttle, &sample, running);
	gn_throttle_advise(f->throttle, running, &advice);
	return advice;
}

static void test_order(void)
{
	fixture_t f;
	gn_throttle_advice_t advice;
	unsigned last = 100;
	unsigned samples = 0;

	setup(&f);
	/*
	 * The speed falls to the lowest before any task is told to checkpoint.
	 */
	do {
		advice = add_sample(&f, 300, TASKS);
		g_assert_cmpuint(advice.speed_pct, <=, last);
		g_assert_cmpint(advice.step, ==, GN_THROTTLE_NONE);
		last = advice.speed_pct;
		g_assert_cmpuint(++samples, <, 100);
	} while (last > f.config.floor_pct);
	/* A task is told to checkpoint only after the patience time. */
	gn_clock_advance(&f.clock, f.config.patience_ms * GN_US_PER_MS);
	gn_throttle_advise(f.throttle, TASKS, &advice);
	g_assert_cmpint(advice.step, ==, GN_THROTTLE_CHECKPOINT);
	gn_throttle_begin_checkpoint(f.throttle);
	gn_throttle_advise(f.throttle, TASKS, &advice);
	g_assert_cmpint(advice.step, ==, GN_THROTTLE_NONE);
	/*
	 * The task is stopped only if its checkpoint doesn't complete in time.
	 */
	gn_clock_advance(&f.clock, f.config.checkpoint_ms * GN_US_PER_MS);
	gn_throttle_advise(f.throttle, TASKS, &advice);
	g_assert_cmpint(advice.step, ==, GN_THROTTLE_STOP);
	gn_throttle_end_checkpoint(f.throttle, TASKS - 1);
	gn_throttle_advise(f.throttle, TASKS - 1, &advice);
	g_assert_cmpint(advice.step, ==, GN_THROTTLE_NONE);
	talloc_free(f.throttle);
}

static void test_hysteresis(void)
{
	fixture_t f;
	gn_throttle_advice_t before;
	gn_throttle_advice_t after;
	unsigned middle;

	setup(&f);
	middle = (f.config.high_pct + f.config.low_pct) / 2;
	before = add_sample(&f, 300, TASKS);
	g_assert_cmpuint(before.speed_pct, <, 100);
	for (int i = 0; i < 10; i++) {
		after = add_sample(&f, middle, TASKS);
		g_assert_cmpuint(after.speed_pct, ==, before.speed_pct);
		g_assert_cmpint(after.step, ==, GN_THROTTLE_NONE);
	}
	for (int i = 0; i < 100; i++)
		after = add_sample(&f, 10, TASKS);
	g_assert_cmpuint(after.speed_pct, ==, 100);
	g_assert_cmpuint(after.task_limit, ==, TASKS);
	talloc_free(f.throttle);
}

static void test_late_sample(void)
{
	fixture_t f;
	gn_throttle_advice_t cut;
	gn_throttle_advice_t later;
	gn_throttle_sample_t old = { TARGET_US * 3, 1000, 0 };

	setup(&f);
	cut = add_sample(&f, 300, TASKS);
	/* A sample measured before the cut can't show its effect. */
	old.measured_us = gn_clock_now_us(&f.clock) - SAMPLE_US / 2;
	gn_throttle_add_sample(f.throttle, &old, TASKS);
	gn_throttle_advise(f.throttle, TASKS, &later);
	g_assert_cmpuint(later.speed_pct, ==, cut.speed_pct);
	talloc_free(f.throttle);
}

static void test_few_requests(void)
{
	fixture_t f;
	gn_throttle_sample_t few = { TARGET_US * 9, 5, 0 };
	gn_throttle_advice_t advice;

	setup(&f);
	few.measured_us = gn_clock_now_us(&f.clock);
	gn_throttle_add_sample(f.throttle, &few, TASKS);
	gn_throttle_advise(f.throttle, TASKS, &advice);
	g_assert_cmpuint(advice.speed_pct, ==, 100);
	talloc_free(f.throttle);
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

/**
 * Tasks that don't interfere may start beyond the limit until all tasks have
 * the lowest speed.
 */
static void test_may_start(void)
{
	fixture_t f;
	gn_throttle_advice_t advice;

	setup(&f);
	g_assert_true(gn_throttle_may_start(f.throttle, TASKS - 1, 1, 0));
	g_assert_false(gn_throttle_may_start(f.throttle, TASKS, 0, 1));
	do
		advice = add_sample(&f, 300, TASKS - 1);
	while (advice.task_limit >= TASKS - 1);
	g_assert_true(gn_throttle_may_start(f.throttle, 0, 1, 0));
	g_assert_true(gn_throttle_may_start(f.throttle, TASKS - 1, 0, 1));
	g_assert_false(gn_throttle_may_start(f.throttle, TASKS - 1, 1, 1));
	g_assert_false(gn_throttle_may_start(f.throttle, TASKS - 1, 0, 0));
	do
		advice = add_sample(&f, 300, TASKS - 1);
	while (advice.speed_pct > f.config.floor_pct);
	g_assert_false(gn_throttle_may_start(f.throttle, TASKS - 1, 0, 1));
	talloc_free(f.throttle);
}

/**
 * Tasks known to interfere start in groups; each group must be measured before
 * the next one starts.
 */
static void test_waves(void)
{
	fixture_t f;

	setup(&f);
	gn_throttle_set_floor(f.throttle, 50);
	add_sample(&f, 70, 0);
	/*
	 * The tail is 0.7 of the target, and each task adds 0.25 at half its
	 * speed.
	 */
	g_assert_true(gn_throttle_may_start(f.throttle, 0, 0.5, true));
	gn_throttle_record_start(f.throttle, 0.5);
	g_assert_false(gn_throttle_may_start(f.throttle, 1, 0.5, true));
	g_assert_true(gn_throttle_may_start(f.throttle, 1, 0.5, false));
	gn_clock_advance(&f.clock, SAMPLE_US);
	add_sample(&f, 75, 1);
	g_assert_true(gn_throttle_may_start(f.throttle, 1, 0.5, true));
	talloc_free(f.throttle);
}

/** If tasks can't be slowed, the place of a task that left stays free. */
static void test_unthrottled(void)
{
	fixture_t f;
	gn_throttle_advice_t advice;

	setup(&f);
	gn_throttle_set_floor(f.throttle, 100);
	advice = add_sample(&f, 300, TASKS);
	g_assert_cmpuint(advice.speed_pct, ==, 100);
	gn_clock_advance(&f.clock, f.config.patience_ms * GN_US_PER_MS);
	gn_throttle_advise(f.throttle, TASKS, &advice);
	g_assert_cmpint(advice.step, ==, GN_THROTTLE_CHECKPOINT);
	gn_throttle_begin_checkpoint(f.throttle);
	gn_throttle_end_checkpoint(f.throttle, TASKS - 1);
	advice = add_sample(&f, f.config.high_pct - 1, TASKS - 1);
	g_assert_cmpuint(advice.task_limit, ==, TASKS - 1);
	g_assert_false(gn_throttle_may_start(f.throttle, TASKS - 1, 0, 0));
	talloc_free(f.throttle);
}

/* ======   Interference estimator   ====== */

/*
 * What a task of each kind adds to the tail, as a share of its target: the kind
 * "loud" interferes strongly, the kind "quiet" hardly.
 */
#define LOUD_ADDED 0.30
#define QUIET_ADDED 0.02

/** Feeds measurements that are a second late while tasks start and end. */
static void feed_measurements(gn_clock_t *clock, gn_interfere_t *interfere,
			      GRand *rand, unsigned load_pct, double loud_added)
{
	double delayed_tail = 0.4;
	uint64_t delayed_us = gn_clock_now_us(clock);

	for (int i = 0; i < 600; i++) {
		double loud = g_rand_int_range(rand, 0, 4);
		double quiet = g_rand_int_range(rand, 0, 4);

		gn_interfere_set_running(interfere, GN_STR("loud"), loud);
		gn_interfere_set_running(interfere, GN_STR("quiet"), quiet);
		gn_interfere_learn(interfere, delayed_us, load_pct,
				   delayed_tail);
		delayed_tail = 0.4 + loud * loud_added + quiet * QUIET_ADDED;
		delayed_us = gn_clock_now_us(clock);
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
	g_assert_false(gn_interfere_find_worst(interfere, 90, &worst));
	feed_measurements(&clock, interfere, rand, 90, LOUD_ADDED);
	feed_measurements(&clock, interfere, rand, 20, LOUD_ADDED / 10);
	gn_interfere_set_running(interfere, GN_STR("loud"), 1);
	gn_interfere_set_running(interfere, GN_STR("quiet"), 8);
	high = gn_interfere_estimate(interfere, GN_STR("loud"), 90);
	/*
	 * The estimate of the high band has decayed by one half-life meanwhile.
	 */
	g_assert_cmpfloat_with_epsilon(high, LOUD_ADDED / 2, 0.05);
	g_assert_cmpfloat_with_epsilon(
		gn_interfere_estimate(interfere, GN_STR("loud"), 20),
		LOUD_ADDED / 10, 0.02);
	g_assert_true(gn_interfere_find_worst(interfere, 90, &worst));
	g_assert_true(gn_str_equal(worst, GN_STR("loud")));
	g_assert_cmpfloat(gn_interfere_estimate(interfere, GN_STR("none"), 90),
			  ==, 0);
	g_rand_free(rand);
	talloc_free(interfere);
}

/**
 * The kind "loud" is slowed first, the kind "quiet" only once "loud" has the
 * lowest speed.
 */
static void test_speed(void)
{
	static const struct {
		unsigned total_pct;
		unsigned loud_min, loud_max;
		unsigned quiet_min, quiet_max;
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
			/* Without estimates, all kinds get the same speed. */
			gn_speed_distribute(interfere, 90, 35, 10, kinds, 2);
			g_assert_cmpuint(kinds[0].speed_pct, ==, 35);
			g_assert_cmpuint(kinds[1].speed_pct, ==, 35);
			feed_measurements(&clock, interfere, rand, 90,
					  LOUD_ADDED);
			continue;
		}
		gn_speed_distribute(interfere, 90, cases[i - 1].total_pct, 10,
				    kinds, 2);
		g_assert_cmpuint(kinds[0].speed_pct, >=,
				 cases[i - 1].quiet_min);
		g_assert_cmpuint(kinds[0].speed_pct, <=,
				 cases[i - 1].quiet_max);
		g_assert_cmpuint(kinds[1].speed_pct, >=, cases[i - 1].loud_min);
		g_assert_cmpuint(kinds[1].speed_pct, <=, cases[i - 1].loud_max);
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
