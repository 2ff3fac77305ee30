/*
 * Plays jobs on a worker that leaves a share of the calls unanswered, and checks
 * how long their callers wait for lost starts.
 */
#include <glib.h>

#include "executor/attempt.h"

#define SEED 7
#define JOBS 2000
/** Tasks of a step, all of which have to be started before it can end. */
#define STEP_TASKS 9
/** Share of the calls that get no answer. */
#define LOST_SHARE 0.055
#define RETRY_DELAY_MS 80
/** Time that a job of one step can lose without being late. */
#define SLACK_MS 650

/* Returns how long the last task of a step waits for its start. */
static unsigned play_step(GRand *rand, unsigned fixed_timeout_ms)
{
	unsigned longest_ms = 0;

	for (unsigned i = 0; i < STEP_TASKS; i++) {
		unsigned waited_ms = 0;

		for (unsigned attempt = 1; g_rand_double(rand) < LOST_SHARE;
		     attempt++)
			waited_ms += RETRY_DELAY_MS +
				     (fixed_timeout_ms
					      ? fixed_timeout_ms
					      : gn_attempt_timeout_ms(attempt));
		longest_ms = MAX(longest_ms, waited_ms);
	}
	return longest_ms;
}

static unsigned count_late(unsigned fixed_timeout_ms)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	unsigned late = 0;

	for (unsigned i = 0; i < JOBS; i++)
		late += play_step(rand, fixed_timeout_ms) > SLACK_MS;
	g_rand_free(rand);
	g_test_message("%u of %u jobs late", late, JOBS);
	return late;
}

static void test_lost_starts_make_few_jobs_late(void)
{
	unsigned baseline = count_late(GN_ATTEMPT_TIMEOUT_MAX_MS);

	/* With 5.5 % lost, 40 % of the steps lose at least one start. */
	g_assert_cmpuint(100 * baseline, >, 35 * JOBS);
	g_assert_cmpuint(100 * count_late(0), <=, 5 * JOBS);
}

/* A worker that answers nothing gets few calls. */
static void test_later_calls_are_rare(void)
{
	for (unsigned attempt = 3; attempt < 100; attempt++)
		g_assert_cmpuint(gn_attempt_timeout_ms(attempt), ==,
				 GN_ATTEMPT_TIMEOUT_MAX_MS);
	g_assert_cmpuint(gn_attempt_timeout_ms(1), <,
			 GN_ATTEMPT_TIMEOUT_MAX_MS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/attempt/lost-starts-make-few-jobs-late",
			test_lost_starts_make_few_jobs_late);
	g_test_add_func("/attempt/later-calls-are-rare",
			test_later_calls_are_rare);
	return g_test_run();
}
