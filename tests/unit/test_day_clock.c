/* Scripts of the time of day; each step sets it and then runs for a while. */
#include <glib.h>

#include "common/day_clock.h"

#define STEPS_MAX 4
#define TICK_MS 100

typedef struct day_case_s {
	const char *name;
	struct {
		int step_ms; /* Step of the time of day. */
		unsigned run_ms;
	} steps[STEPS_MAX];
	int offset_ms; /* The offset in use at the end; 0 at first. */
} day_case_t;

static const day_case_t cases[] = {
	{ "steady", { { 0, 90000 } }, 0 },
	{ "set-forward", { { 0, 90000 }, { 6000, 59000 } }, 0 },
	{ "set-back", { { 0, 90000 }, { -6000, 59000 } }, 0 },
	{ "set-for-good", { { 0, 90000 }, { 6000, 61000 } }, 6000 },
	{ "set-and-returned",
	  { { 0, 90000 }, { 6000, 30000 }, { -6000, 90000 } },
	  0 },
	{ "set-again-and-again",
	  { { 0, 90000 }, { 6000, 40000 }, { 3000, 40000 } },
	  0 },
	{ "slewed",
	  { { 0, 90000 }, { 100, 500 }, { 100, 500 }, { 100, 500 } },
	  300 },
	{ "wrong-at-the-start", { { 0, 4000 }, { -6000, 4200 } }, -6000 },
	{ "wrong-at-the-start-for-less", { { 0, 4000 }, { -6000, 3500 } }, 0 },
};

static void test_day(const void *data)
{
	const day_case_t *c = data;
	uint64_t boot_us = 1000 * (uint64_t)GN_US_PER_S;
	const uint64_t start_us = 1700000000 * (uint64_t)GN_US_PER_S;
	uint64_t wall_us = start_us;
	const int64_t first_us = (int64_t)(wall_us - boot_us);
	gn_day_clock_t day;

	gn_day_clock_init(&day, boot_us, wall_us);
	for (unsigned i = 0; i < STEPS_MAX; i++) {
		wall_us +=
			(uint64_t)((int64_t)c->steps[i].step_ms * GN_US_PER_MS);
		for (unsigned ms = 0; ms < c->steps[i].run_ms; ms += TICK_MS) {
			boot_us += TICK_MS * GN_US_PER_MS;
			wall_us += TICK_MS * GN_US_PER_MS;
			gn_day_clock_update(&day, boot_us, wall_us);
		}
	}
	g_assert_cmpint(day.offset_us - first_us, ==,
			(int64_t)c->offset_ms * GN_US_PER_MS);
}

static void test_clock_with_an_offset(void)
{
	int64_t offset_us = 5 * GN_US_PER_S;
	gn_clock_t base;
	gn_clock_t clock;

	gn_clock_init_paused(&base, 10 * GN_US_PER_S);
	gn_clock_init_offset(&clock, &base, &offset_us);
	g_assert_cmpuint(gn_clock_now_us(&clock), ==, 15 * GN_US_PER_S);
	offset_us = -4 * GN_US_PER_S;
	gn_clock_advance(&base, GN_US_PER_S);
	g_assert_cmpuint(gn_clock_now_us(&clock), ==, 7 * GN_US_PER_S);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path =
			g_strdup_printf("/day_clock/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], test_day);
	}
	g_test_add_func("/day_clock/clock_with_an_offset",
			test_clock_with_an_offset);
	return g_test_run();
}
