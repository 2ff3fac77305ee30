/*
 * Tests the phases of the graceful stop of a scheduler. A scheduler that exits
 * too early fails requests that the load balancer still sends; one that exits
 * too late exceeds the grace period of the platform.
 */
#include <glib.h>

#include "scheduler/stop.h"

/** Grace period that the platform allows a stopping process. */
#define GRACE_US (6 * GN_US_PER_S)
/** Step of simulated time. */
#define STEP_US (10 * GN_US_PER_MS)
/** Maximum number of requests that arrive on open connections per step. */
#define REQUESTS_PER_STEP_MAX 2
#define SEEDS 100

/* A request that has not been answered yet. */
typedef struct pending_request_s {
	uint64_t answered_us;
} pending_request_t;

static size_t remove_answered(GArray *pending, uint64_t now_us)
{
	for (guint i = pending->len; i > 0; i--)
		if (g_array_index(pending, pending_request_t, i - 1)
			    .answered_us <= now_us)
			g_array_remove_index_fast(pending, i - 1);
	return pending->len;
}

/*
 * Returns when the process exits if requests keep arriving and each is answered
 * only after the longest time that a forwarded request may take.
 */
static uint64_t simulate_stop(guint32 seed)
{
	GRand *rand = g_rand_new_with_seed(seed);
	GArray *pending = g_array_new(FALSE, FALSE, sizeof(pending_request_t));
	uint64_t now_us = 0;

	while (now_us < 2 * GRACE_US &&
	       !scheduler_stop_is_complete(now_us,
					   remove_answered(pending, now_us))) {
		gint32 arrivals =
			g_rand_int_range(rand, 0, REQUESTS_PER_STEP_MAX + 1);
		pending_request_t request = { now_us +
					      SCHEDULER_FORWARD_TIMEOUT_US };

		for (gint32 i = 0;
		     i < arrivals && scheduler_stop_accepts_requests(now_us);
		     i++)
			g_array_append_val(pending, request);
		now_us += STEP_US;
	}
	g_array_unref(pending);
	g_rand_free(rand);
	return now_us;
}

static void test_ends_within_grace_period(void)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++)
		g_assert_cmpuint(simulate_stop(seed), <, GRACE_US);
}

static void test_accepts_requests_while_the_balancer_sends_them(void)
{
	/* The load balancer needs two checks, one second apart, and the time
	 * that the second one takes. */
	g_assert_false(scheduler_stop_refuses_connections(2200 * GN_US_PER_MS));
	g_assert_true(scheduler_stop_accepts_requests(3 * GN_US_PER_S));
	g_assert_false(scheduler_stop_is_complete(3 * GN_US_PER_S, 0));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stop/ends_within_its_grace",
			test_ends_within_grace_period);
	g_test_add_func("/stop/takes_requests_while_the_balancer_sends_them",
			test_accepts_requests_while_the_balancer_sends_them);
	return g_test_run();
}
