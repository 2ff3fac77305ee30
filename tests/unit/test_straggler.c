#include <glib.h>

#include "gypsumnotch.h"
#include "sched/straggler.h"

#define START_US (100 * GN_US_PER_S)
#define ESTIMATE_US (600 * GN_US_PER_MS)
#define STEP_MS 100

/* Judges a run that makes @p percent each step until it is not fine. */
static gn_progress_verdict_t play(uint32_t first, uint32_t percent,
				  unsigned steps, unsigned *took_ms)
{
	gn_progress_t progress = { 0 };

	for (unsigned i = 0; i < steps; i++) {
		uint64_t now_us =
			START_US + (uint64_t)i * STEP_MS * GN_US_PER_MS;
		gn_progress_verdict_t verdict = gn_progress_judge(
			&progress, MIN(100, first + i * percent), ESTIMATE_US,
			now_us);

		*took_ms = i * STEP_MS;
		if (verdict != GN_PROGRESS_FINE)
			return verdict;
	}
	return GN_PROGRESS_FINE;
}

static void test_usual_runs_are_fine(void)
{
	unsigned took_ms;

	/* as declared, twice as long, and resumed at 80 % */
	g_assert_cmpint(play(0, 16, 12, &took_ms), ==, GN_PROGRESS_FINE);
	g_assert_cmpint(play(0, 8, 14, &took_ms), ==, GN_PROGRESS_FINE);
	g_assert_cmpint(play(80, 3, 10, &took_ms), ==, GN_PROGRESS_FINE);
}

static void test_run_that_stands_still(void)
{
	unsigned took_ms;

	g_assert_cmpint(play(0, 0, 30, &took_ms), ==, GN_PROGRESS_STILL);
	g_assert_cmpuint(took_ms, ==, 900);
}

/* Six times slower: sooner done elsewhere, seen before a second is over. */
static void test_run_on_a_slow_worker(void)
{
	unsigned took_ms;

	g_assert_cmpint(play(0, 3, 30, &took_ms), ==, GN_PROGRESS_SLOW);
	g_assert_cmpuint(took_ms, <, 1000);
}

/* Nearly done: to begin anew would take longer. */
static void test_slow_run_that_is_nearly_done(void)
{
	unsigned took_ms;

	g_assert_cmpint(play(70, 3, 10, &took_ms), ==, GN_PROGRESS_FINE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/straggler/usual_runs_are_fine",
			test_usual_runs_are_fine);
	g_test_add_func("/straggler/run_that_stands_still",
			test_run_that_stands_still);
	g_test_add_func("/straggler/run_on_a_slow_worker",
			test_run_on_a_slow_worker);
	g_test_add_func("/straggler/slow_run_that_is_nearly_done",
			test_slow_run_that_is_nearly_done);
	return g_test_run();
}
