/* Checks on a paused clock when a silent link is closed. */
#include <glib.h>

#include "common/clock.h"
#include "wire/reconnect.h"

#define SEED 7
#define TIMEOUT_US (2ULL * GN_US_PER_S)
/** Time for which a peer is unreachable, seconds. */
#define AWAY_S 3600ULL

typedef struct fixture_s {
	gn_clock_t clock;
	GRand *rand;
	gn_reconnect_t link;
} fixture_t;

static void setup(fixture_t *f, const void *data)
{
	(void)data;
	gn_clock_init_paused(&f->clock, GN_US_PER_S);
	f->rand = g_rand_new_with_seed(SEED);
	f->link = (gn_reconnect_t){ .timeout_us = TIMEOUT_US };
	gn_reconnect_note_open(&f->link, f->rand, gn_clock_now_us(&f->clock));
}

static void teardown(fixture_t *f, const void *data)
{
	(void)data;
	g_rand_free(f->rand);
}

/* Advances the clock until the link must be closed; returns the time passed. */
static uint64_t wait_until_due_us(fixture_t *f)
{
	const uint64_t step_us = GN_US_PER_MS;
	uint64_t waited_us = 0;

	while (!gn_reconnect_is_due(&f->link, gn_clock_now_us(&f->clock))) {
		gn_clock_advance(&f->clock, step_us);
		waited_us += step_us;
	}
	return waited_us;
}

static void replace_link(fixture_t *f)
{
	gn_reconnect_note_closed(&f->link, gn_clock_now_us(&f->clock));
	gn_reconnect_note_open(&f->link, f->rand, gn_clock_now_us(&f->clock));
}

/*
 * After an answer, silence is detected within one timeout, however many links
 * were closed before.
 */
static void test_silence(fixture_t *f, const void *data)
{
	(void)data;
	for (unsigned lost = 0; lost < 6; lost++) {
		for (unsigned i = 0; i < lost; i++) {
			wait_until_due_us(f);
			replace_link(f);
		}
		g_assert_cmpuint(gn_reconnect_note_answer(
					 &f->link, gn_clock_now_us(&f->clock)),
				 ==, lost);
		g_assert_cmpuint(wait_until_due_us(f), <=,
				 TIMEOUT_US + GN_US_PER_MS);
		gn_reconnect_note_answer(&f->link, gn_clock_now_us(&f->clock));
	}
}

/* Waits grow up to the limit and differ; only the first failure is logged. */
static void test_growth(fixture_t *f, const void *data)
{
	uint64_t before_us = 0;
	unsigned logged = 0;

	(void)data;
	for (unsigned i = 0; i < 20; i++) {
		uint64_t now_us;
		uint64_t waited_us = wait_until_due_us(f);
		uint64_t window_us =
			MIN(TIMEOUT_US << MIN(i, 8),
			    GN_RECONNECT_TIMEOUTS_MAX * TIMEOUT_US);

		now_us = gn_clock_now_us(&f->clock);
		g_assert_cmpuint(waited_us, <=, window_us + GN_US_PER_MS);
		g_assert_cmpuint(waited_us, >=, i ? window_us / 2 : TIMEOUT_US);
		g_assert_cmpuint(waited_us, !=, before_us);
		before_us = waited_us;
		logged += gn_reconnect_note_closed(&f->link, now_us);
		gn_reconnect_note_open(&f->link, f->rand, now_us);
	}
	g_assert_cmpuint(logged, ==, 1);
	g_assert_cmpuint(f->link.failures, ==, 20);
}

/* A peer unreachable for an hour costs at most a link per four timeouts. */
static void test_away(fixture_t *f, const void *data)
{
	uint64_t end_us = gn_clock_now_us(&f->clock) + AWAY_S * GN_US_PER_S;

	(void)data;
	while (gn_clock_now_us(&f->clock) < end_us) {
		wait_until_due_us(f);
		replace_link(f);
	}
	g_assert_cmpuint(f->link.failures, <=,
			 AWAY_S * GN_US_PER_S / (4 * TIMEOUT_US) + 4);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add("/reconnect/silence", fixture_t, NULL, setup, test_silence,
		   teardown);
	g_test_add("/reconnect/growth", fixture_t, NULL, setup, test_growth,
		   teardown);
	g_test_add("/reconnect/away", fixture_t, NULL, setup, test_away,
		   teardown);
	return g_test_run();
}
