/* Scripted ticks of the boot clock and the time of day, in milliseconds. */
#include <glib.h>

#include "common/clock.h"
#include "daemon/tick_monitor.h"

#define DUE_MS 10

typedef struct tick_case_s {
	const char *name;
	unsigned boot_ms; /**< Time between the two ticks. */
	int wall_ms; /**< Change of the time of day between them. */
	unsigned late_ms;
	int step_ms;
	bool is_late;
	bool has_step;
} tick_case_t;

static const tick_case_t cases[] = {
	{ "in-time", 10, 10, 0, 0, false, false },
	{ "early", 4, 4, 0, 0, false, false },
	{ "a-little-late", 200, 200, 190, 0, false, false },
	{ "paused", 3010, 3010, 3000, 0, true, false },
	{ "set-forward", 10, 6010, 0, 6000, false, true },
	{ "set-back", 10, -5990, 0, -6000, false, true },
	{ "late-and-set-back", 6010, 10, 6000, -6000, true, true },
	{ "slewed", 10, 12, 0, 2, false, false },
};

static void test_tick(const void *data)
{
	const tick_case_t *c = data;
	const uint64_t boot_us = 1000 * GN_US_PER_S;
	const uint64_t wall_us = 1700000000 * (uint64_t)GN_US_PER_S;
	gn_tick_monitor_t monitor = { 0 };
	gn_tick_reading_t reading;

	gn_tick_monitor_expect(&monitor, boot_us);
	reading = gn_tick_monitor_record(&monitor, boot_us, wall_us);
	g_assert_cmpuint(reading.late_us, ==, 0);
	g_assert_cmpint(reading.step_us, ==, 0);
	gn_tick_monitor_count_round(&monitor);
	gn_tick_monitor_count_round(&monitor);
	gn_tick_monitor_expect(&monitor, boot_us + DUE_MS * GN_US_PER_MS);
	reading = gn_tick_monitor_record(
		&monitor, boot_us + c->boot_ms * GN_US_PER_MS,
		wall_us + (uint64_t)((int64_t)c->wall_ms * GN_US_PER_MS));
	g_assert_cmpuint(reading.late_us, ==, c->late_ms * GN_US_PER_MS);
	g_assert_cmpint(reading.step_us, ==,
			(int64_t)c->step_ms * GN_US_PER_MS);
	g_assert_cmpuint(reading.rounds, ==, 2);
	g_assert_true(gn_tick_is_late(&reading) == c->is_late);
	g_assert_true(gn_tick_has_step(&reading) == c->has_step);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = g_strdup_printf("/tick_monitor/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], test_tick);
		g_free(path);
	}
	return g_test_run();
}
