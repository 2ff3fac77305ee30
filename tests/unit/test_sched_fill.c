#include <glib.h>
#include <stdlib.h>

#include "support/sched_rig.h"

#define OTHER "00000000000000bb"

static const rig_step_t one_task = { .count = 1,
				     .cpu_milli = 1000,
				     .estimate_ms = 600 };

/*
 * Beside a task that is over its target by itself, batch work waits, but not
 * for ever.
 */
static void test_what_fills_does_not_starve(void)
{
	const rig_step_t serves = { .count = 1,
				    .cpu_milli = 3000,
				    .flags = RIG_STANDING,
				    .target_ms = 40,
				    .image = "s" };
	const rig_step_t fills = { .count = 1,
				   .cpu_milli = 1000,
				   .estimate_ms = 600,
				   .flags = RIG_BEST_EFFORT,
				   .image = "f" };
	sched_rig_t rig;

	rig_open_with_running_task(&rig, &serves);
	rig_report_tail(&rig, "a", "1", RIG_TASK, 1, 60);
	rig_submit(&rig, OTHER, "batch", &fills, 1);
	for (unsigned ms = 0; ms < 20000; ms += 200) {
		rig_advance_ms(&rig, 200);
		rig_report_tail(&rig, "a", "1", RIG_TASK, 1, 60 + ms / 200 % 2);
		rig_store(&rig);
		if (ms < 5000)
			g_assert_cmpuint(
				rig_count_orders(&rig, GN_RUN_ORDER_START), ==,
				0);
	}
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), >, 0);
	rig_close(&rig);
}

/* A worker is given no more filling tasks than the control of tails sees. */
static void test_what_fills_is_all_paced(void)
{
	const rig_step_t serves = { .count = 1,
				    .cpu_milli = 1000,
				    .flags = RIG_STANDING,
				    .target_ms = 40,
				    .image = "s" };
	const rig_step_t fills = { .count = 100,
				   .cpu_milli = 1,
				   .estimate_ms = 600,
				   .flags = RIG_BEST_EFFORT,
				   .image = "f" };
	sched_rig_t rig;

	rig_open_with_running_task(&rig, &serves);
	rig_submit(&rig, OTHER, "batch", &fills, 1);
	rig_store(&rig);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), >, 0);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), <=, 48);
	rig_close(&rig);
}

/* What was learned is stored beside other writes, for a successor. */
static void test_what_is_learned_is_stored(void)
{
	const rig_step_t serves = { .count = 1,
				    .cpu_milli = 500,
				    .flags = RIG_STANDING,
				    .target_ms = 40,
				    .image = "s" };
	gn_sched_write_t writes[4];
	sched_rig_t rig;
	sched_rig_t successor;
	size_t count;

	rig_open_with_running_task(&rig, &serves);
	rig_report_tail(&rig, "a", "1", RIG_TASK, 1, 20);
	rig_report_tail(&rig, "a", "1", RIG_TASK, 1, 30);
	rig_submit(&rig, OTHER, "batch", &one_task, 1);
	gn_sched_pass(rig.sched);
	count = gn_sched_take_writes(rig.sched, writes, 4);
	g_assert_cmpuint(count, ==, 2);
	g_assert_true(writes[1].learned);
	rig_open(&successor);
	g_assert_cmpint(gn_sched_load_learned(successor.sched, writes[1].value,
					      writes[1].len),
			==, GN_OK);
	for (size_t i = 0; i < count; i++)
		free(writes[i].value);
	gn_sched_written(rig.sched);
	rig_close(&rig);
	rig_close(&successor);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sched_fill/what_fills_does_not_starve",
			test_what_fills_does_not_starve);
	g_test_add_func("/sched_fill/what_fills_is_all_paced",
			test_what_fills_is_all_paced);
	g_test_add_func("/sched_fill/what_is_learned_is_stored",
			test_what_is_learned_is_stored);
	return g_test_run();
}
