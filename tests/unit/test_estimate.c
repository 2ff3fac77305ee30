/*
 * Run times learned from ends, with the plain smoothed mean of all ratios as the
 * baseline.
 */
#include <glib.h>
#include <math.h>
#include <stdlib.h>

#include "estimate/estimate.h"
#include "job/job.pb-c.h"
#include "sched/interference.h"
#include "support/sched_rig.h"

#define DECLARED_US (600 * GN_US_PER_MS)
#define STRAGGLER_SHARE 0.03
#define STRAGGLER_FACTOR 7
#define SEEDS 40

static gn_estimate_run_t make_run(double ratio)
{
	return (gn_estimate_run_t){ .took_us = (uint64_t)(ratio *
							  (double)DECLARED_US),
				    .declared_us = DECLARED_US,
				    .slowness = 1 };
}

static bool learn(gn_estimate_t *estimate, const char *image, double ratio)
{
	const gn_estimate_run_t run = make_run(ratio);

	return gn_estimate_learn(estimate, "batch", image, &run);
}

static gn_estimate_value_t get(gn_estimate_t *estimate, const char *image)
{
	return gn_estimate_get(estimate, "batch", image);
}

/* Returns a ratio around @p usual, with a spread of up to 20 %. */
static double draw_ratio(GRand *rand, double usual)
{
	double ratio = usual * g_rand_double_range(rand, 0.8, 1.2);

	if (g_rand_double(rand) < STRAGGLER_SHARE)
		ratio *= STRAGGLER_FACTOR;
	return ratio;
}

static double get_error(double value, double usual)
{
	return fabs(value / usual - 1);
}

/* ======   Skewed estimates and stragglers   ====== */

/* Guards against a learned value that keeps the error of declared times. */
static void test_skew(void)
{
	static const double usual[] = { 0.2, 0.5, 1, 2.5, 5 };

	for (size_t i = 0; i < G_N_ELEMENTS(usual); i++)
		for (guint32 seed = 0; seed < SEEDS; seed++) {
			gn_estimate_t *estimate = gn_estimate_create(NULL);
			GRand *rand = g_rand_new_with_seed(seed);

			for (int k = 0; k < GN_ESTIMATE_ENDS_MIN; k++)
				learn(estimate, "i",
				      draw_ratio(rand, usual[i]));
			g_assert_cmpfloat(
				get_error(get(estimate, "i").ratio, usual[i]),
				<, 0.25);
			g_rand_free(rand);
			talloc_free(estimate);
		}
}

/* Guards against stragglers that carry the mean away, over long times and right
 * at the beginning. */
static void test_stragglers(void)
{
	double worst = 0;
	double baseline_worst = 0;

	for (guint32 seed = 0; seed < SEEDS; seed++) {
		gn_estimate_t *estimate = gn_estimate_create(NULL);
		GRand *rand = g_rand_new_with_seed(seed);
		double baseline = 1;

		for (int i = 0; i < 400; i++) {
			double ratio = draw_ratio(rand, 1);

			learn(estimate, "i", ratio);
			baseline += 0.05 * (ratio - baseline);
			if (i < 50)
				continue;
			worst = fmax(worst,
				     get_error(get(estimate, "i").ratio, 1));
			baseline_worst =
				fmax(baseline_worst, get_error(baseline, 1));
		}
		g_assert_cmpfloat(get(estimate, "i").spread, <, 0.25);
		g_rand_free(rand);
		talloc_free(estimate);
	}
	g_test_message("worst error %.3f, smoothed mean %.3f", worst,
		       baseline_worst);
	g_assert_cmpfloat(worst, <, 0.15);
	g_assert_cmpfloat(baseline_worst, >, 0.5);
}

static void test_straggler_first(void)
{
	gn_estimate_t *estimate = gn_estimate_create(NULL);

	learn(estimate, "i", STRAGGLER_FACTOR);
	for (int i = 1; i < GN_ESTIMATE_ENDS_MIN; i++)
		learn(estimate, "i", 1);
	g_assert_cmpfloat(get_error(get(estimate, "i").ratio, 1), <, 0.1);
	talloc_free(estimate);
}

/* Guards against a value that sticks when the run times change. */
static void test_change_is_followed(void)
{
	gn_estimate_t *estimate = gn_estimate_create(NULL);
	GRand *rand = g_rand_new_with_seed(1);

	for (int i = 0; i < 500; i++)
		learn(estimate, "i", draw_ratio(rand, 1));
	for (int i = 0; i < 60; i++)
		learn(estimate, "i", draw_ratio(rand, 3));
	g_assert_cmpfloat(get_error(get(estimate, "i").ratio, 3), <, 0.15);
	g_rand_free(rand);
	talloc_free(estimate);
}

/* ======   Which runs count   ====== */

/* Guards against the use of a value from a few ends. */
static void test_few_ends_are_not_used(void)
{
	gn_estimate_t *estimate = gn_estimate_create(NULL);
	gn_estimate_value_t value = get(estimate, "i");

	g_assert_cmpuint(gn_estimate_run_ms(&value, 600), ==, 600);
	for (int i = 0; i < GN_ESTIMATE_ENDS_MIN; i++) {
		value = get(estimate, "i");
		g_assert_cmpuint(value.count, ==, i);
		g_assert_cmpuint(gn_estimate_run_ms(&value, 600), ==, 600);
		learn(estimate, "i", 2);
	}
	value = get(estimate, "i");
	g_assert_cmpuint(gn_estimate_run_ms(&value, 600), ==, 1200);
	/* Other queues and images are not concerned. */
	value = gn_estimate_get(estimate, "quick", "i");
	g_assert_cmpuint(value.count, ==, 0);
	value = get(estimate, "j");
	g_assert_cmpuint(value.count, ==, 0);
	talloc_free(estimate);
}

/* Guards against far, resumed or throttled runs that count as usual ones. */
static void test_altered_runs_do_not_count(void)
{
	gn_estimate_t *estimate = gn_estimate_create(NULL);
	gn_estimate_run_t run = make_run(3);

	run.altered = true;
	gn_estimate_learn(estimate, "batch", "i", &run);
	run = make_run(3);
	run.declared_us = 0;
	gn_estimate_learn(estimate, "batch", "i", &run);
	g_assert_cmpuint(gn_estimate_count(estimate), ==, 0);
	talloc_free(estimate);
}

/* Guards against slow workers that make a task look longer, and against a fleet
 * that looks slow as a whole because the declared times are too short. */
static void test_slow_workers_do_not_count(void)
{
	gn_estimate_t *estimate = gn_estimate_create(NULL);
	GRand *rand = g_rand_new_with_seed(5);

	for (int i = 0; i < 200; i++) {
		bool is_slow = i % 5 == 3;
		gn_estimate_run_t run =
			make_run(draw_ratio(rand, is_slow ? 12 : 4));

		run.slowness = is_slow ? 12 : 4;
		gn_estimate_learn(estimate, "batch", "i", &run);
	}
	g_assert_cmpuint(get(estimate, "i").count, >=, 150);
	g_assert_cmpfloat(get_error(get(estimate, "i").ratio, 4), <, 0.15);
	g_rand_free(rand);
	talloc_free(estimate);
}

/* Guards against values from clocks or times that make no sense. */
static void test_extreme_runs(void)
{
	gn_estimate_t *estimate = gn_estimate_create(NULL);

	for (int i = 0; i < 100; i++) {
		learn(estimate, "short", 0);
		learn(estimate, "long", 1e9);
	}
	g_assert_cmpfloat(get(estimate, "short").ratio, >, 0.05);
	g_assert_cmpfloat(get(estimate, "long").ratio, <, 20);
	talloc_free(estimate);
}

/* ======   Bound   ====== */

/* Guards against memory that grows with the images that callers choose, and
 * against the eviction of pairs in use. */
static void test_pairs_are_bounded(void)
{
	gn_estimate_t *estimate = gn_estimate_create(NULL);

	learn(estimate, "kept", 2);
	for (int i = 0; i < 4 * GN_ESTIMATE_PAIRS_MAX; i++) {
		char image[32];

		g_snprintf(image, sizeof(image), "image-%d", i);
		learn(estimate, image, 1);
		g_assert_cmpuint(get(estimate, "kept").count, ==, 1);
		g_assert_cmpuint(gn_estimate_count(estimate), <=,
				 GN_ESTIMATE_PAIRS_MAX);
	}
	g_assert_cmpuint(get(estimate, "image-0").count, ==, 0);
	g_assert_cmpuint(get(estimate, "image-1023").count, ==, 1);
	talloc_free(estimate);
}

/* ======   Storage   ====== */

/* Guards against a write to the store for each end. */
static void test_few_changes_are_stored(void)
{
	gn_estimate_t *estimate = gn_estimate_create(NULL);
	GRand *rand = g_rand_new_with_seed(3);
	unsigned stored = 0;
	size_t len;

	for (int i = 1; i <= 400; i++) {
		bool is_worth = learn(estimate, "i", draw_ratio(rand, 2));

		g_assert_true(i != GN_ESTIMATE_ENDS_MIN || is_worth);
		if (!is_worth)
			continue;
		stored++;
		free(gn_estimate_pack(estimate, &len));
	}
	g_assert_cmpuint(stored, >=, 1);
	g_assert_cmpuint(stored, <=, 4);
	g_rand_free(rand);
	talloc_free(estimate);
}

static void test_next_leader_has_values(void)
{
	gn_estimate_t *estimate = gn_estimate_create(NULL);
	gn_estimate_t *successor = gn_estimate_create(NULL);
	uint8_t *data;
	size_t len;

	for (int i = 0; i < 30; i++) {
		learn(estimate, "i", 3);
		learn(estimate, "", 0.5);
	}
	data = gn_estimate_pack(estimate, &len);
	g_assert_cmpint(gn_estimate_unpack(successor, data, len), ==, GN_OK);
	free(data);
	g_assert_cmpuint(gn_estimate_count(successor), ==, 2);
	g_assert_cmpfloat_with_epsilon(get(successor, "i").ratio,
				       get(estimate, "i").ratio, 1e-9);
	g_assert_cmpfloat(get(successor, "i").spread, ==,
			  get(estimate, "i").spread);
	g_assert_cmpuint(get(successor, "i").count, ==, 30);
	g_assert_cmpfloat(get(successor, "").ratio, <, 0.6);
	talloc_free(estimate);
	talloc_free(successor);
}

/* Guards against a leader that cannot start on what it finds in the store. */
static void test_malformed_values(void)
{
	static const double ratios[] = { 0, -1, NAN, INFINITY, 1e6 };
	static const uint8_t noise[] = { 0x12, 0xff, 0x01 };
	gn_estimate_t *estimate = gn_estimate_create(NULL);

	g_assert_cmpint(gn_estimate_unpack(estimate, noise, sizeof(noise)), ==,
			GN_ERR_INVALID);
	for (size_t i = 0; i < G_N_ELEMENTS(ratios); i++) {
		char name[] = "i";
		Gn__RunTime row = GN__RUN_TIME__INIT;
		Gn__RunTime *rows[] = { &row };
		Gn__Disturbances all = GN__DISTURBANCES__INIT;
		uint8_t data[64];
		size_t len;

		row.queue = name;
		row.image = name;
		row.ratio = ratios[i];
		row.count = 30;
		all.run_times = rows;
		all.n_run_times = 1;
		len = gn__disturbances__pack(&all, data);
		g_assert_cmpint(gn_estimate_unpack(estimate, data, len), ==,
				GN_ERR_INVALID);
	}
	g_assert_cmpuint(gn_estimate_count(estimate), ==, 0);
	talloc_free(estimate);
}

/* Loads the values of an older build, which has interference weights only. */
static void test_value_of_older_build(void)
{
	gn_interference_t *weights = gn_interference_create(NULL);
	gn_estimate_t *estimate = gn_estimate_create(NULL);
	gn_headroom_t baseline = { 0 };
	const gn_image_use_t use = { g_intern_static_string("f"), 0.5 };
	uint8_t *data;
	size_t len;

	for (int i = 0; i < 3; i++)
		gn_interference_update(weights, g_intern_static_string("s"), 2,
				       &baseline, &use, 1,
				       (uint64_t)(i + 1) * GN_US_PER_S);
	data = gn_interference_pack(weights, &len);
	g_assert_cmpuint(len, >, 0);
	g_assert_cmpint(gn_estimate_unpack(estimate, data, len), ==, GN_OK);
	g_assert_cmpuint(gn_estimate_count(estimate), ==, 0);
	free(data);
	talloc_free(estimate);
	talloc_free(weights);
}

/* ======   In the scheduler   ====== */

#define LONG_IMAGE "long"
/** Real time of the tasks with LONG_IMAGE, which is 5 times the declared. */
#define LONG_MS 3000

static const rig_step_t long_step = {
	.count = 1, .cpu_milli = 3000, .estimate_ms = 600, .image = LONG_IMAGE
};
static const rig_step_t short_step = {
	.count = 1, .cpu_milli = 3000, .estimate_ms = 900, .image = "short"
};

/* Lets one job run to its end on host "a". */
static void run_job(sched_rig_t *rig, unsigned number, const rig_step_t *step,
		    unsigned took_ms)
{
	char id[GN_JOB_ID_LEN + 1];
	char task[GN_TASK_NAME_SIZE];

	g_snprintf(id, sizeof(id), "%016x", number);
	g_snprintf(task, sizeof(task), "%s.0.0.0", id);
	rig_report(rig, "a", "1");
	rig_submit(rig, id, "batch", step, 1);
	rig_store(rig);
	for (unsigned passed = 0; passed < took_ms; passed += 500) {
		rig_report_run(rig, "a", "1", task, 1);
		rig_advance_ms(rig, 500);
	}
	rig_report_end(rig, "a", "1", task, 1, GN_END_DONE);
	rig_store(rig);
	g_assert_cmpint(rig_phase(rig, id), ==, GN_JOB_COMPLETED);
}

/* Submits a long and a short job of the same size; only one of them fits. The
 * long one comes first and has the shorter declared time. Returns whether the
 * long one is started. */
static bool is_long_job_first(sched_rig_t *rig)
{
	rig_clear(rig);
	rig_submit(rig, "00000000000000f1", "batch", &long_step, 1);
	rig_submit(rig, "00000000000000f2", "batch", &short_step, 1);
	rig_report(rig, "a", "1");
	rig_store(rig);
	g_assert_cmpuint(rig_count_orders(rig, GN_RUN_ORDER_START), ==, 1);
	return rig_find_order(rig, GN_RUN_ORDER_START,
			      "00000000000000f1.0.0.0") != NULL;
}

/* Guards against a chain and work that keep the callers' error, and against a
 * new leader that falls back to it. */
static void test_rank_uses_learned_times(void)
{
	sched_rig_t rig;

	rig_open(&rig);
	rig_report(&rig, "a", "1");
	g_assert_true(is_long_job_first(&rig));
	rig_close(&rig);

	rig_open(&rig);
	for (unsigned i = 0; i < GN_ESTIMATE_ENDS_MIN; i++)
		run_job(&rig, i + 1, &long_step, LONG_MS);
	/* What was learned is stored with the next job. */
	rig_advance_ms(&rig, 2500);
	run_job(&rig, GN_ESTIMATE_ENDS_MIN + 1, &long_step, LONG_MS);
	rig_change_leader(&rig);
	rig_configure(&rig);
	rig_report(&rig, "a", "1");
	g_assert_false(is_long_job_first(&rig));
	rig_close(&rig);
}

/* Guards against a wrong value that an end of another kind leaves behind: a
 * failure, a resumed run, or one that an earlier leader started. */
static void test_other_ends_are_not_learned(void)
{
	const rig_step_t step = { .count = 1,
				  .cpu_milli = 3000,
				  .estimate_ms = 600,
				  .flags = RIG_CHECKPOINTS,
				  .image = "short" };
	sched_rig_t rig;

	rig_open(&rig);
	for (unsigned i = 0; i < 2 * GN_ESTIMATE_ENDS_MIN; i++) {
		char id[GN_JOB_ID_LEN + 1];
		char task[GN_TASK_NAME_SIZE];
		bool is_resumed = i % 2;

		g_snprintf(id, sizeof(id), "%016x", i + 1);
		g_snprintf(task, sizeof(task), "%s.0.0.0", id);
		rig_report(&rig, "a", "1");
		rig_submit(&rig, id, "patient", &step, 1);
		rig_store(&rig);
		rig_report_run(&rig, "a", "1", task, 1);
		rig_advance_ms(&rig, 100);
		if (is_resumed) {
			rig_report_checkpoint_end(&rig, "a", "1", task, 1);
			rig_store(&rig);
		} else {
			rig_change_leader(&rig);
			rig_configure(&rig);
			rig_report_run(&rig, "a", "1", task, 1);
		}
		rig_advance_ms(&rig, 3000);
		rig_report_end(&rig, "a", "1", task, is_resumed ? 2 : 1,
			       GN_END_DONE);
		rig_store(&rig);
		g_assert_cmpint(rig_phase(&rig, id), ==, GN_JOB_COMPLETED);
	}
	g_assert_null(rig.learned);
	rig_close(&rig);
}

/* Guards against far runs that are taken for usual ones. */
static void test_far_ends_are_not_learned(void)
{
	rig_step_t step = short_step;
	sched_rig_t rig;

	step.rack = "elsewhere";
	rig_open(&rig);
	for (unsigned i = 0; i < 2 * GN_ESTIMATE_ENDS_MIN; i++)
		run_job(&rig, i + 1, &step, 2000);
	g_assert_null(rig.learned);
	rig_close(&rig);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/estimate/skew", test_skew);
	g_test_add_func("/estimate/stragglers", test_stragglers);
	g_test_add_func("/estimate/straggler_first", test_straggler_first);
	g_test_add_func("/estimate/change_is_followed",
			test_change_is_followed);
	g_test_add_func("/estimate/few_ends_are_not_used",
			test_few_ends_are_not_used);
	g_test_add_func("/estimate/altered_runs_do_not_count",
			test_altered_runs_do_not_count);
	g_test_add_func("/estimate/slow_workers_do_not_count",
			test_slow_workers_do_not_count);
	g_test_add_func("/estimate/extreme_runs", test_extreme_runs);
	g_test_add_func("/estimate/pairs_are_bounded", test_pairs_are_bounded);
	g_test_add_func("/estimate/few_changes_are_stored",
			test_few_changes_are_stored);
	g_test_add_func("/estimate/next_leader_has_values",
			test_next_leader_has_values);
	g_test_add_func("/estimate/malformed_values", test_malformed_values);
	g_test_add_func("/estimate/value_of_older_build",
			test_value_of_older_build);
	g_test_add_func("/estimate/rank_uses_learned_times",
			test_rank_uses_learned_times);
	g_test_add_func("/estimate/other_ends_are_not_learned",
			test_other_ends_are_not_learned);
	g_test_add_func("/estimate/far_ends_are_not_learned",
			test_far_ends_are_not_learned);
	return g_test_run();
}
