#include <glib.h>

#include "scheduler/stop.h"

/** The grace that the platform gives, and the steps of a play. */
#define GRACE_US (6 * GN_US_PER_S)
#define STEP_US (10 * GN_US_PER_MS)
/** Requests on open connections that come each step, at most. */
#define COME_MAX 2
#define SEEDS 100

/* A request that waits for its answer. */
typedef struct waiting_s {
	uint64_t until_us;
} waiting_t;

static size_t answer(GArray *waiting, uint64_t now_us)
{
	for (guint i = waiting->len; i > 0; i--)
		if (g_array_index(waiting, waiting_t, i - 1).until_us <= now_us)
			g_array_remove_index_fast(waiting, i - 1);
	return waiting->len;
}

/* When the process ends while requests keep coming and answers are slow. */
static uint64_t play(guint32 seed)
{
	GRand *rand = g_rand_new_with_seed(seed);
	GArray *waiting = g_array_new(FALSE, FALSE, sizeof(waiting_t));
	uint64_t now_us = 0;

	while (now_us < 2 * GRACE_US &&
	       !scheduler_stop_is_complete(now_us, answer(waiting, now_us))) {
		gint32 come = g_rand_int_range(rand, 0, COME_MAX + 1);
		waiting_t request = { now_us + SCHEDULER_FORWARD_TIMEOUT_US };

		for (gint32 i = 0;
		     i < come && scheduler_stop_accepts_requests(now_us); i++)
			g_array_append_val(waiting, request);
		now_us += STEP_US;
	}
	g_array_unref(waiting);
	g_rand_free(rand);
	return now_us;
}

static void test_ends_within_its_grace(void)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++)
		g_assert_cmpuint(play(seed), <, GRACE_US);
}

static void test_takes_requests_while_the_balancer_sends_them(void)
{
	/* two looks a second apart, and the second's way */
	g_assert_false(scheduler_stop_refuses_connections(2200 * GN_US_PER_MS));
	g_assert_true(scheduler_stop_accepts_requests(3 * GN_US_PER_S));
	g_assert_false(scheduler_stop_is_complete(3 * GN_US_PER_S, 0));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stop/ends_within_its_grace",
			test_ends_within_its_grace);
	g_test_add_func("/stop/takes_requests_while_the_balancer_sends_them",
			test_takes_requests_while_the_balancer_sends_them);
	return g_test_run();
}
