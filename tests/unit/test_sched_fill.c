#include <glib.h>
#include <stdlib.h>

#include "support/sched_rig.h"

#define OTHER "00000000000000bb"

static const rig_step_t one_task = { .count = 1,
				     .cpu_milli = 1000,
				     .estimate_ms = 600 };

/*
 * Beside a serving task that exceeds its target regardless of interference,
 * best-effort work waits, but not forever.
 */
static void test_best_effort_does_not_starve(void)
{
	const rig_step_t serving = { .count = 1,
				     .cpu_milli = 3000,
				     .flags = RIG_STANDING,
				     .target_ms = 40,
				     .image = "s" };
	const rig_step_t best_effort = { .count = 1,
					 .cpu_milli = 1000,
					 .estimate_ms = 600,
					 .flags = RIG_BEST_EFFORT,
					 .image = "f" };
	sched_rig_t rig;

	rig_open_with_running_task(&rig, &serving);
	rig_report_tail(&rig, "a", "1", RIG_TASK, 1, 60);
	rig_submit(&rig, OTHER, "batch", &best_effort, 1);
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

/* A worker is given no more best-effort tasks than can be throttled. */
static void test_best_effort_is_limited_to_throttled(void)
{
	const rig_step_t serving = { .count = 1,
				     .cpu_milli = 1000,
				     .flags = RIG_STANDING,
				     .target_ms = 40,
				     .image = "s" };
	const rig_step_t best_effort = { .count = 100,
					 .cpu_milli = 1,
					 .estimate_ms = 600,
					 .flags = RIG_BEST_EFFORT,
					 .image = "f" };
	sched_rig_t rig;

	rig_open_with_running_task(&rig, &serving);
	rig_submit(&rig, OTHER, "batch", &best_effort, 1);
	rig_store(&rig);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), >, 0);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), <=, 48);
	rig_close(&rig);
}

/* ======   Paces   ====== */

#define BEST_EFFORT_TASK OTHER ".0.0.0"

/* Lists a best-effort run and, unless @p tail_ms is 0, a serving run. */
static void report_both(sched_rig_t *rig, uint32_t tail_ms)
{
	const rig_run_t runs[] = { { .task = BEST_EFFORT_TASK,
				     .reading = 1000 },
				   { .task = RIG_TASK, .reading = tail_ms } };

	rig_report_runs(rig, "a", "1", runs, tail_ms ? 2 : 1);
}

/* Lists both runs for this time, every 300 ms. */
static void report_both_for_ms(sched_rig_t *rig, uint32_t tail_ms, unsigned ms)
{
	for (unsigned passed = 0; passed < ms; passed += 300) {
		rig_advance_ms(rig, 300);
		report_both(rig, tail_ms);
	}
}

/* Returns the percentage of the last pace order, or -1 without one. */
static int get_last_pace(const sched_rig_t *rig)
{
	const rig_order_t *order =
		rig_find_order(rig, GN_RUN_ORDER_PACE, BEST_EFFORT_TASK);

	return order ? (int)order->percent : -1;
}

static void open_with_best_effort_beside_serving(sched_rig_t *rig)
{
	const rig_step_t serving = {
		.count = 1, .cpu_milli = 1000, .target_ms = 40, .image = "s"
	};
	const rig_step_t best_effort = { .count = 1,
					 .cpu_milli = 1000,
					 .estimate_ms = 600,
					 .flags = RIG_BEST_EFFORT,
					 .image = "f" };

	rig_open_with_running_task(rig, &serving);
	rig_submit(rig, OTHER, "batch", &best_effort, 1);
	rig_store(rig);
	g_assert_nonnull(
		rig_find_order(rig, GN_RUN_ORDER_START, BEST_EFFORT_TASK));
	rig_clear(rig);
}

static void open_with_paused_best_effort(sched_rig_t *rig)
{
	open_with_best_effort_beside_serving(rig);
	report_both_for_ms(rig, 60, 2100);
	g_assert_cmpint(get_last_pace(rig), ==, 0);
	rig_clear(rig);
}

static void test_best_effort_stays_paused_without_serving_tasks(void)
{
	sched_rig_t rig;

	open_with_paused_best_effort(&rig);
	rig_report_end(&rig, "a", "1", RIG_TASK, 1, GN_END_DONE);
	report_both(&rig, 0);
	g_assert_cmpint(get_last_pace(&rig), ==, 100);
	rig_close(&rig);
}

/* The earlier leader may have paused it. */
static void test_new_leader_leaves_best_effort_paused(void)
{
	const rig_step_t best_effort = { .count = 1,
					 .cpu_milli = 1000,
					 .estimate_ms = 600,
					 .flags = RIG_BEST_EFFORT,
					 .image = "f" };
	sched_rig_t rig;

	rig_open_with_stored_claim(&rig, &best_effort, true);
	rig_report_run(&rig, "a", "1", RIG_TASK, 1);
	rig_report_run(&rig, "a", "1", RIG_TASK, 1);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_PACE), ==, 1);
	g_assert_cmpuint(
		rig_find_order(&rig, GN_RUN_ORDER_PACE, RIG_TASK)->percent, ==,
		100);
	rig_close(&rig);
}

/* Lists both runs for 10 s and returns the number of pace orders. */
static unsigned count_paces_in_10_s(sched_rig_t *rig, uint32_t tail_ms)
{
	rig_clear(rig);
	report_both_for_ms(rig, tail_ms, 10000);
	return rig_count_orders(rig, GN_RUN_ORDER_PACE);
}

static void test_lost_throttling_is_not_ordered_again(void)
{
	sched_rig_t rig;
	int throttled;

	open_with_best_effort_beside_serving(&rig);
	report_both(&rig, 36);
	throttled = get_last_pace(&rig);
	g_assert_cmpint(throttled, >, 0);
	g_assert_cmpint(throttled, <, 100);
	g_assert_cmpuint(count_paces_in_10_s(&rig, 36), >=, 4);
	g_assert_cmpint(get_last_pace(&rig), ==, throttled);
	rig_close(&rig);
}

/* The worker carries out the earlier order last. */
static void test_throttling_carried_out_late_lasts(void)
{
	sched_rig_t rig;

	open_with_best_effort_beside_serving(&rig);
	report_both(&rig, 36);
	report_both(&rig, 20);
	g_assert_cmpint(get_last_pace(&rig), ==, 100);
	g_assert_cmpuint(count_paces_in_10_s(&rig, 20), >=, 4);
	g_assert_cmpint(get_last_pace(&rig), ==, 100);
	rig_close(&rig);
}

static void test_paces_are_ordered_too_often(void)
{
	sched_rig_t rig;

	open_with_best_effort_beside_serving(&rig);
	report_both(&rig, 36);
	g_assert_cmpuint(count_paces_in_10_s(&rig, 36), <=, 5);
	report_both(&rig, 20);
	g_assert_cmpint(get_last_pace(&rig), ==, 100);
	g_assert_cmpuint(count_paces_in_10_s(&rig, 20), <=, 5);
	rig_close(&rig);
}

static void test_pace_is_ordered_for_a_run_at_full_speed(void)
{
	sched_rig_t rig;

	open_with_best_effort_beside_serving(&rig);
	g_assert_cmpuint(count_paces_in_10_s(&rig, 20), ==, 0);
	rig_close(&rig);
}

static uint32_t get_highest_pace(const sched_rig_t *rig)
{
	uint32_t highest = 0;

	for (guint i = 0; i < rig->orders->len; i++) {
		const rig_order_t *order =
			&g_array_index(rig->orders, rig_order_t, i);

		if (order->kind == GN_RUN_ORDER_PACE)
			highest = MAX(highest, order->percent);
	}
	return highest;
}

/* The pause has ended, and the headroom allows a few percent of full speed. */
static void test_best_effort_stays_paused_at_a_low_pace(void)
{
	sched_rig_t rig;

	open_with_best_effort_beside_serving(&rig);
	report_both_for_ms(&rig, 48, 1800);
	g_assert_cmpint(get_last_pace(&rig), ==, 0);
	count_paces_in_10_s(&rig, 48);
	g_assert_cmpuint(get_highest_pace(&rig), >, 0);
	rig_close(&rig);
}

/* ======   Late jobs   ====== */

#define IN_TIME_JOB "00000000000000cc"
#define LATE_HEADROOM 1.5
/** From here on, the job with these tasks is late: 2 times 600 ms, 1,000 ms of
 * its queue, and 500 ms of uncertainty. */
#define LATE_AFTER_MS 2800
/** Age at which the oldest late job goes ahead of others, and some time for a
 * list and a pass. */
#define PROMOTED_AFTER_MS 13000

static const rig_step_t serving_step = { .count = 1,
					 .cpu_milli = 1000,
					 .flags = RIG_STANDING,
					 .target_ms = 40,
					 .image = "s" };
static const rig_step_t best_effort_step = { .count = 1,
					     .cpu_milli = 1000,
					     .estimate_ms = 600,
					     .flags = RIG_BEST_EFFORT,
					     .image = "f" };

/* Opens the fixture with a serving task that lists this tail. */
static void open_beside_serving(sched_rig_t *rig, double late_goal,
				uint32_t tail_ms)
{
	rig_open_with_headroom(rig, 1.1, late_goal);
	rig_report(rig, "a", "1");
	rig_submit(rig, RIG_JOB, "batch", &serving_step, 1);
	rig_store(rig);
	rig_report_tail(rig, "a", "1", RIG_TASK, 1, tail_ms);
	rig_store(rig);
	rig_clear(rig);
}

/* Runs past the deadline of a best-effort job, beside a serving task with
 * headroom of 2, of which the task takes 0.625. Returns the last ordered pace, or 100 without one. */
static int get_pace_of_late_task(double late_goal, unsigned ms)
{
	sched_rig_t rig;
	int pace;

	open_beside_serving(&rig, late_goal, 20);
	rig_submit(&rig, OTHER, "batch", &best_effort_step, 1);
	rig_store(&rig);
	g_assert_nonnull(
		rig_find_order(&rig, GN_RUN_ORDER_START, BEST_EFFORT_TASK));
	report_both_for_ms(&rig, 20, ms);
	pace = get_last_pace(&rig);
	rig_close(&rig);
	return pace < 0 ? 100 : pace;
}

/* Work that can only be late must not bring serving tasks near their target,
 * and a job in time must not be slowed down by that rule. */
static void test_late_tasks_use_only_the_higher_headroom(void)
{
	g_assert_cmpint(get_pace_of_late_task(LATE_HEADROOM, 1500), ==, 100);
	g_assert_cmpint(get_pace_of_late_task(LATE_HEADROOM, LATE_AFTER_MS), <,
			100);
	g_assert_cmpint(get_pace_of_late_task(0, LATE_AFTER_MS), ==, 100);
}

/* Each job must end, so that one that is throttled as late gets its turn. */
static void test_late_tasks_are_throttled_for_ever(void)
{
	g_assert_cmpint(get_pace_of_late_task(LATE_HEADROOM, PROMOTED_AFTER_MS),
			==, 100);
}

/* The serving task has headroom of 1.9, which is enough for a task of a job in
 * time alone. The order of starts must not depend on who came first. */
static void test_waiting_late_tasks_come_after_others(void)
{
	sched_rig_t rig;

	open_beside_serving(&rig, LATE_HEADROOM, 21);
	/* A worker without a recent list gets no tasks, so the job waits until
	 * it is late. */
	rig_advance_ms(&rig, 1300);
	rig_submit(&rig, OTHER, "batch", &best_effort_step, 1);
	rig_advance_ms(&rig, LATE_AFTER_MS / 2);
	rig_report_stale_list(&rig, "a", "1", 1300 + LATE_AFTER_MS / 2);
	rig_advance_ms(&rig, LATE_AFTER_MS / 2);
	rig_store(&rig);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 0);
	for (unsigned ms = 0; ms < 5000; ms += 200) {
		rig_advance_ms(&rig, 200);
		rig_report_tail(&rig, "a", "1", RIG_TASK, 1,
				ms / 200 % 2 ? 21 : 22);
		rig_store(&rig);
		if (ms == 1000)
			rig_submit(&rig, IN_TIME_JOB, "batch",
				   &best_effort_step, 1);
	}
	g_assert_nonnull(
		rig_find_order(&rig, GN_RUN_ORDER_START, IN_TIME_JOB ".0.0.0"));
	g_assert_null(
		rig_find_order(&rig, GN_RUN_ORDER_START, BEST_EFFORT_TASK));
	rig_close(&rig);
}

/* Of the headroom of 2, 0.9 may be used; both tasks together would take 1.25. A
 * running late task must make way at once, also though it came first. */
static void test_running_late_task_keeps_others_out(void)
{
	sched_rig_t rig;

	open_beside_serving(&rig, LATE_HEADROOM, 20);
	rig_submit(&rig, OTHER, "batch", &best_effort_step, 1);
	rig_store(&rig);
	report_both_for_ms(&rig, 20, LATE_AFTER_MS);
	g_assert_cmpint(get_last_pace(&rig), >, 0);
	rig_submit(&rig, IN_TIME_JOB, "batch", &best_effort_step, 1);
	rig_store(&rig);
	g_assert_nonnull(
		rig_find_order(&rig, GN_RUN_ORDER_START, IN_TIME_JOB ".0.0.0"));
	g_assert_cmpint(get_last_pace(&rig), ==, 0);
	rig_close(&rig);
}

/* Beside a serving task that exceeds its target regardless of interference,
 * there is never headroom for a late job, but it must end. */
static void test_late_job_starves_beside_a_slow_serving_task(void)
{
	sched_rig_t rig;

	open_beside_serving(&rig, LATE_HEADROOM, 60);
	rig_submit(&rig, OTHER, "batch", &best_effort_step, 1);
	for (unsigned ms = 0; ms < 20000; ms += 200) {
		rig_advance_ms(&rig, 200);
		rig_report_tail(&rig, "a", "1", RIG_TASK, 1, 60 + ms / 200 % 2);
		rig_store(&rig);
	}
	g_assert_nonnull(
		rig_find_order(&rig, GN_RUN_ORDER_START, BEST_EFFORT_TASK));
	rig_close(&rig);
}

/* ======   Headroom goal   ====== */

/* Lists the serving task with this tail and stores, for this time. */
static void report_serving_for_ms(sched_rig_t *rig, uint32_t tail_ms,
				  unsigned ms)
{
	for (unsigned passed = 0; passed < ms; passed += 300) {
		rig_advance_ms(rig, 300);
		rig_report_tail(rig, "a", "1", RIG_TASK, 1, tail_ms);
		rig_store(rig);
	}
}

static void open_following(sched_rig_t *rig)
{
	rig_open_with_headroom(rig, 0, 0);
	rig_report(rig, "a", "1");
	rig_submit(rig, RIG_JOB, "batch", &serving_step, 1);
	rig_store(rig);
	report_serving_for_ms(rig, 20, 300);
	g_assert_cmpuint(gn_sched_get_headroom_pct(rig->sched), ==, 110);
}

/* Placement must keep the headroom of now: a goal of 1.1 leaves 0.9 of the
 * headroom of 2, one of 1.5 leaves 0.5, and the task takes 0.625. */
static void test_placement_uses_another_headroom_goal(void)
{
	sched_rig_t rig;

	open_following(&rig);
	rig_submit(&rig, OTHER, "batch", &best_effort_step, 1);
	rig_store(&rig);
	g_assert_nonnull(
		rig_find_order(&rig, GN_RUN_ORDER_START, BEST_EFFORT_TASK));
	rig_close(&rig);
	open_following(&rig);
	report_serving_for_ms(&rig, 20, 60000);
	g_assert_cmpuint(gn_sched_get_headroom_pct(rig.sched), ==, 150);
	g_assert_cmpstr(rig.last_event, ==, "headroom");
	rig_submit(&rig, OTHER, "batch", &best_effort_step, 1);
	rig_store(&rig);
	g_assert_null(
		rig_find_order(&rig, GN_RUN_ORDER_START, BEST_EFFORT_TASK));
	rig_close(&rig);
}

static void test_throttling_uses_another_headroom_goal(void)
{
	const rig_step_t long_step = { .count = 1,
				       .cpu_milli = 1000,
				       .estimate_ms = 600000,
				       .flags = RIG_BEST_EFFORT,
				       .image = "f" };
	sched_rig_t rig;

	open_following(&rig);
	rig_submit(&rig, OTHER, "batch", &long_step, 1);
	rig_store(&rig);
	report_both_for_ms(&rig, 20, 3000);
	g_assert_cmpint(get_last_pace(&rig), ==, -1);
	report_both_for_ms(&rig, 20, 60000);
	g_assert_cmpuint(gn_sched_get_headroom_pct(rig.sched), ==, 150);
	g_assert_cmpint(get_last_pace(&rig), >, 0);
	g_assert_cmpint(get_last_pace(&rig), <, 100);
	rig_close(&rig);
}

/* The next leader knows neither the rate nor the demand. */
static void test_new_leader_keeps_the_goal_of_another_load(void)
{
	sched_rig_t rig;

	open_following(&rig);
	report_serving_for_ms(&rig, 20, 60000);
	g_assert_cmpuint(gn_sched_get_headroom_pct(rig.sched), ==, 150);
	rig_change_leader(&rig);
	rig_configure(&rig);
	g_assert_cmpuint(gn_sched_get_headroom_pct(rig.sched), ==, 110);
	report_serving_for_ms(&rig, 20, 3000);
	g_assert_cmpuint(gn_sched_get_headroom_pct(rig.sched), ==, 110);
	rig_close(&rig);
}

/* ======   Weights   ====== */

/* Interference weights are stored with other writes for the next leader. */
static void test_weights_are_stored(void)
{
	const rig_step_t serving = { .count = 1,
				     .cpu_milli = 500,
				     .flags = RIG_STANDING,
				     .target_ms = 40,
				     .image = "s" };
	gn_sched_write_t writes[4];
	sched_rig_t rig;
	sched_rig_t successor;
	size_t count;

	rig_open_with_running_task(&rig, &serving);
	rig_report_tail(&rig, "a", "1", RIG_TASK, 1, 20);
	rig_report_tail(&rig, "a", "1", RIG_TASK, 1, 30);
	rig_submit(&rig, OTHER, "batch", &one_task, 1);
	gn_sched_run_pass(rig.sched);
	count = gn_sched_begin_batch(rig.sched, writes, 4);
	g_assert_cmpuint(count, ==, 2);
	g_assert_true(writes[1].interference);
	rig_open(&successor);
	g_assert_cmpint(gn_sched_load_interference(successor.sched,
						   writes[1].value,
						   writes[1].len),
			==, GN_OK);
	for (size_t i = 0; i < count; i++)
		free(writes[i].value);
	gn_sched_confirm_batch(rig.sched, ++rig.revision);
	rig_close(&rig);
	rig_close(&successor);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sched_fill/best_effort_does_not_starve",
			test_best_effort_does_not_starve);
	g_test_add_func("/sched_fill/best_effort_is_limited_to_throttled",
			test_best_effort_is_limited_to_throttled);
	g_test_add_func(
		"/sched_fill/best_effort_stays_paused_without_serving_tasks",
		test_best_effort_stays_paused_without_serving_tasks);
	g_test_add_func("/sched_fill/new_leader_leaves_best_effort_paused",
			test_new_leader_leaves_best_effort_paused);
	g_test_add_func("/sched_fill/lost_throttling_is_not_ordered_again",
			test_lost_throttling_is_not_ordered_again);
	g_test_add_func("/sched_fill/throttling_carried_out_late_lasts",
			test_throttling_carried_out_late_lasts);
	g_test_add_func("/sched_fill/paces_are_ordered_too_often",
			test_paces_are_ordered_too_often);
	g_test_add_func("/sched_fill/pace_is_ordered_for_a_run_at_full_speed",
			test_pace_is_ordered_for_a_run_at_full_speed);
	g_test_add_func("/sched_fill/best_effort_stays_paused_at_a_low_pace",
			test_best_effort_stays_paused_at_a_low_pace);
	g_test_add_func("/sched_fill/late_tasks_use_only_the_higher_headroom",
			test_late_tasks_use_only_the_higher_headroom);
	g_test_add_func("/sched_fill/late_tasks_are_throttled_for_ever",
			test_late_tasks_are_throttled_for_ever);
	g_test_add_func("/sched_fill/waiting_late_tasks_come_after_others",
			test_waiting_late_tasks_come_after_others);
	g_test_add_func("/sched_fill/running_late_task_keeps_others_out",
			test_running_late_task_keeps_others_out);
	g_test_add_func(
		"/sched_fill/late_job_starves_beside_a_slow_serving_task",
		test_late_job_starves_beside_a_slow_serving_task);
	g_test_add_func("/sched_fill/placement_uses_another_headroom_goal",
			test_placement_uses_another_headroom_goal);
	g_test_add_func("/sched_fill/throttling_uses_another_headroom_goal",
			test_throttling_uses_another_headroom_goal);
	g_test_add_func("/sched_fill/new_leader_keeps_the_goal_of_another_load",
			test_new_leader_keeps_the_goal_of_another_load);
	g_test_add_func("/sched_fill/weights_are_stored",
			test_weights_are_stored);
	return g_test_run();
}
