/**
 * @file test_closed_run_walk.c
 * @brief Random walks in which a start call reaches the next life of a worker
 * although its run was known to be over in a former one.
 * support/walk.h tells how to run more.
 */
#include "support/run_model.h"
#include "support/walk.h"

/** Walks whose violation is printed with the events before it. */
#define TRACES_MAX 3

static const char *run(guint32 seed, unsigned mutant, uint64_t *counts)
{
	static unsigned traces;
	const run_model_options_t options = {
		.bug = (run_model_bug_t)mutant,
		.same_id = true,
		.recut = true,
		.later_lives = true,
		.evacuations = seed % 4 == 0,
		.closed_runs = true,
		.print = traces < TRACES_MAX,
	};
	const char *violation = run_model_walk(
		seed, &options, (run_model_counts_t *)(void *)counts);

	traces += violation && options.print;
	return violation;
}

int main(int argc, char **argv)
{
	static const gn_walk_plan_t plan = {
		.path = "/run-walk-closed-runs",
		.walks = 200,
		.counts = run_model_walk_counts,
		.count_count = RUN_MODEL_COUNT_COUNT,
		.run = run,
	};

	g_test_init(&argc, &argv, NULL);
	gn_walk_add(&plan);
	return g_test_run();
}
