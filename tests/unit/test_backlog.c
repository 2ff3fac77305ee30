/* Plays more work than a fleet can run soon, and checks what callers get. */
#include <glib.h>
#include <stdbool.h>

#include "gypsumnotch.h"
#include "sched/backlog.h"

#define JOB_TASKS 500
#define TASKS_PER_S 2000
#define STEP_MS 100
#define DURATION_S 60
#define CALLERS 120
/** The time after which the callers of the baseline return. */
#define BASELINE_RETRY_MS 2000

typedef struct caller_s {
	uint64_t due_us;
	unsigned attempts;
	uint64_t accepted_us;
} caller_t;

typedef struct result_s {
	unsigned accepted;
	unsigned attempts;
} result_t;

static void take_tasks(gn_backlog_t *backlog, size_t *waiting, uint64_t now_us)
{
	size_t taken = MIN(*waiting, TASKS_PER_S * STEP_MS / 1000);

	*waiting -= taken;
	while (taken--)
		gn_backlog_count_taken(backlog, now_us);
}

static void submit(caller_t *caller, gn_backlog_t *backlog, size_t *waiting,
		   bool baseline, uint64_t now_us)
{
	unsigned retry_ms =
		gn_backlog_admit(backlog, *waiting, JOB_TASKS, 1, now_us);

	caller->attempts++;
	if (!retry_ms) {
		caller->accepted_us = now_us;
		*waiting += JOB_TASKS;
		return;
	}
	if (baseline)
		retry_ms = BASELINE_RETRY_MS;
	caller->due_us = now_us + retry_ms * GN_US_PER_MS;
}

/* All callers submit a job within a second, far more than the limit allows. */
static result_t play(bool baseline)
{
	gn_backlog_t backlog = { 0 };
	caller_t callers[CALLERS] = { 0 };
	result_t result = { 0 };
	size_t waiting = GN_BACKLOG_TASKS_MIN;

	for (unsigned i = 0; i < CALLERS; i++)
		callers[i].due_us = (5 * 1000 + 8 * i) * GN_US_PER_MS;
	for (unsigned ms = 100; ms < DURATION_S * 1000; ms += STEP_MS) {
		take_tasks(&backlog, &waiting, ms * GN_US_PER_MS);
		for (unsigned i = 0; i < CALLERS; i++)
			if (!callers[i].accepted_us &&
			    callers[i].due_us <= ms * GN_US_PER_MS)
				submit(&callers[i], &backlog, &waiting,
				       baseline, ms * GN_US_PER_MS);
	}
	for (unsigned i = 0; i < CALLERS; i++) {
		result.accepted += callers[i].accepted_us != 0;
		result.attempts += callers[i].attempts;
	}
	g_test_message("%u of %u accepted after %u attempts", result.accepted,
		       CALLERS, result.attempts);
	return result;
}

static void test_callers_return_when_there_is_room(void)
{
	const result_t result = play(false);
	const result_t baseline = play(true);

	g_assert_cmpuint(result.accepted, ==, CALLERS);
	/* Most callers are accepted when they return. */
	g_assert_cmpuint(result.attempts, <=, 5 * CALLERS / 2);
	g_assert_cmpuint(result.attempts, <, baseline.attempts);
}

/* Who was refused first may return first. */
static void test_callers_return_in_order(void)
{
	gn_backlog_t backlog = { .tasks_per_s = 1000 };
	unsigned last_ms = 0;

	for (unsigned i = 0; i < 20; i++) {
		unsigned retry_ms =
			gn_backlog_admit(&backlog, 20000, 1200, 1, 1);

		g_assert_cmpuint(retry_ms, >, last_ms);
		last_ms = retry_ms;
	}
}

static void test_limit_grows_with_the_fleet(void)
{
	gn_backlog_t backlog = { 0 };

	g_assert_cmpuint(gn_backlog_admit(&backlog, 19000, 900, 1, 1), ==, 0);
	g_assert_cmpuint(gn_backlog_admit(&backlog, 20000, 1, 1, 1), >, 0);
	g_assert_cmpuint(gn_backlog_admit(&backlog, 100000, 1, 1000, 1), ==, 0);
	g_assert_cmpuint(gn_backlog_admit(&backlog, 399999, 1, 18346, 1), ==,
			 0);
	g_assert_cmpuint(gn_backlog_admit(&backlog, 400000, 1, 18346, 1), >, 0);
	/* A huge job is not refused for ever. */
	g_assert_cmpuint(gn_backlog_admit(&backlog, 0, 30000, 1, 1), ==, 0);
}

static void test_retry_has_bounds(void)
{
	gn_backlog_t backlog = { 0 };

	for (unsigned i = 0; i < 100; i++)
		g_assert_cmpuint(gn_backlog_admit(&backlog, 20000, 5000, 1, 1),
				 <=, GN_BACKLOG_RETRY_MAX_MS);
	backlog = (gn_backlog_t){ .tasks_per_s = 1e6 };
	g_assert_cmpuint(gn_backlog_admit(&backlog, 20000, 1, 1, 1), ==,
			 GN_BACKLOG_RETRY_MIN_MS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/backlog/callers-return-when-there-is-room",
			test_callers_return_when_there_is_room);
	g_test_add_func("/backlog/callers-return-in-order",
			test_callers_return_in_order);
	g_test_add_func("/backlog/limit-grows-with-the-fleet",
			test_limit_grows_with_the_fleet);
	g_test_add_func("/backlog/retry-has-bounds", test_retry_has_bounds);
	return g_test_run();
}
