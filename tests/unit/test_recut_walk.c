/**
 * @file test_recut_walk.c
 * @brief Random walks in which workers start again under their IDs and are cut off
 *        soon after, while long tasks run.
 * support/walk.h tells how to run more.
 */
#include "support/run_model.h"
#include "support/walk.h"

/** Walks whose violation is printed with the events before it. */
#define TRACES_MAX 3

static const char *run_recut(guint32 seed, unsigned mutant, uint64_t *counts)
{
	static unsigned traces;
	run_model_options_t options = { .bug = (run_model_bug_t)mutant,
					.same_id = true,
					.recut = true,
					.later_lives = true,
					.evacuations = seed % 4 == 0 };
	const char *violation;

	options.print = traces < TRACES_MAX;
	violation = run_model_walk(seed, &options,
				   (run_model_counts_t *)(void *)counts);
	traces += violation && options.print;
	return violation;
}

/* Guards against walks in which no restart is followed by a cut. */
static void test_recuts_hit_runs(void)
{
	run_model_options_t options = { .same_id = true,
					.recut = true,
					.later_lives = true };
	run_model_counts_t counts = { 0 };

	for (guint32 seed = 1; seed <= 40; seed++)
		run_model_walk(seed, &options, &counts);
	g_assert_cmpuint(counts.dark_restarts, >, 80);
	g_assert_cmpuint(counts.calls_in_dark, >, 80);
	g_assert_cmpuint(counts.link_recuts, >, 20);
	g_assert_cmpuint(counts.worker_recuts, >, 20);
	g_assert_cmpuint(counts.leader_kills_before_cuts, >, 10);
	g_assert_cmpuint(counts.runs_past_lease, >, 40);
	g_assert_cmpuint(counts.starts_for_former_life, >, 0);
	g_assert_cmpuint(counts.lists_for_former_life, >, 20);
	g_assert_cmpuint(counts.calls_at_returns, >, 80);
	g_assert_cmpuint(counts.worker_returns, >, 10);
	g_assert_cmpuint(counts.starts_after_leave, >, 0);
	g_assert_cmpuint(counts.hand_overs, >, 20);
	g_assert_cmpuint(counts.redirects, >, 20);
}

int main(int argc, char **argv)
{
	static const gn_walk_plan_t recut = {
		.path = "/run-walk-recut",
		.walks = 200,
		.counts = run_model_walk_counts,
		.count_count = RUN_MODEL_COUNT_COUNT,
		.run = run_recut,
	};

	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/run-walk-recut/hit-runs", test_recuts_hit_runs);
	gn_walk_add(&recut);
	return g_test_run();
}
