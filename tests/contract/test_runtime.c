/* The daemon's ticks while the time of day is set. */
#include <signal.h>
#include <sys/time.h>
#include <time.h>

#include <glib.h>

#include "daemon/runtime.h"

#define TICK_MS 5
/** Tick at which the time of day is set, and the number of all ticks. */
#define STEP_TICK 10
#define TICKS 30
#define STEP_S 6
/** Maximum time between ticks; the step is longer. */
#define GAP_MAX_US (2 * GN_US_PER_S)

static int step_s; /* Step of the time of day so far. */

/* Replaces the function of the C library for all libraries of the test. */
int gettimeofday(struct timeval *restrict now, void *restrict zone)
{
	struct timespec time;

	(void)zone;
	clock_gettime(CLOCK_REALTIME, &time);
	now->tv_sec = time.tv_sec + step_s;
	now->tv_usec = time.tv_nsec / 1000;
	return 0;
}

/** State of the role. */
typedef struct ticker_s {
	gn_runtime_t *runtime;
	unsigned ticks;
	uint64_t last_us;
} ticker_t;

static int step_at_tick_s;
static uint64_t longest_gap_us;

static unsigned get_next_tick_ms(const void *state)
{
	(void)state;
	return TICK_MS;
}

static gn_code_t start(gn_runtime_t *runtime, void **state, gn_error_t *error)
{
	ticker_t *ticker = talloc_zero(NULL, ticker_t);

	(void)error;
	ticker->runtime = runtime;
	ticker->last_us = gn_runtime_now_us(runtime);
	*state = ticker;
	return GN_OK;
}

/* Runs while the timer of the next tick is pending. */
static void set_time_of_day(struct tevent_context *events,
			    struct tevent_immediate *immediate, void *data)
{
	(void)events;
	(void)immediate;
	(void)data;
	step_s += step_at_tick_s;
}

static void tick(void *state)
{
	ticker_t *ticker = state;
	uint64_t now_us = gn_runtime_now_us(ticker->runtime);

	longest_gap_us = MAX(longest_gap_us, now_us - ticker->last_us);
	ticker->last_us = now_us;
	ticker->ticks++;
	if (ticker->ticks == STEP_TICK)
		tevent_schedule_immediate(tevent_create_immediate(ticker),
					  ticker->runtime->events,
					  set_time_of_day, NULL);
	if (ticker->ticks == TICKS)
		raise(SIGTERM);
}

static void stop(void *state)
{
	(void)state;
}

static bool is_stopped(const void *state)
{
	(void)state;
	return true;
}

static const gn_role_ops_t role = { .name = "ticker",
				    .next_tick_ms = get_next_tick_ms,
				    .start = start,
				    .tick = tick,
				    .stop = stop,
				    .is_stopped = is_stopped };

static void run_with_step(int seconds)
{
	char name[] = "ticker-1";
	gn_settings_t settings = { .name = name,
				   .data_centre = name,
				   .stop_grace_ms = 1000 };
	gn_error_t error = { 0 };

	step_at_tick_s = seconds;
	longest_gap_us = 0;
	g_assert_cmpint(gn_runtime_run(&settings, &role, NULL, &error), ==,
			GN_OK);
	g_assert_cmpuint(longest_gap_us, <, GAP_MAX_US);
}

static void test_ticks_go_on_when_time_of_day_is_set_back(void)
{
	run_with_step(-STEP_S);
}

static void test_ticks_go_on_when_time_of_day_is_set_forward(void)
{
	run_with_step(STEP_S);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/runtime/ticks_go_on_when_time_of_day_is_set_back",
			test_ticks_go_on_when_time_of_day_is_set_back);
	g_test_add_func("/runtime/ticks_go_on_when_time_of_day_is_set_forward",
			test_ticks_go_on_when_time_of_day_is_set_forward);
	return g_test_run();
}
