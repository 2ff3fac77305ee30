/*
 * The decision on the headroom that serving tasks keep, with each input that it
 * must follow or ignore.
 */
#include <glib.h>
#include <math.h>

#include "gypsumnotch.h"
#include "sharing/sharing.h"

#define TICK_MS 200
#define TASKS 30
#define TARGET_MS 40
#define START_US (1000 * GN_US_PER_S)
#define JOBS_MAX 64

/** A decision with its inputs, which tests change between updates. */
typedef struct rig_s {
	gn_sharing_t sharing;
	gn_sharing_job_t jobs[JOBS_MAX];
	gn_sharing_serving_t serving[TASKS];
	gn_sharing_input_t input;
	uint64_t now_us;
	double travel; /* Sum of the changes. */
	unsigned falls;
	unsigned rises;
} rig_t;

/* Opens with 200 cores in use of 400, and serving tasks within target. */
static void open_rig(rig_t *rig)
{
	*rig = (rig_t){ .now_us = START_US };
	gn_sharing_init(&rig->sharing);
	for (size_t i = 0; i < TASKS; i++)
		rig->serving[i] =
			(gn_sharing_serving_t){ .target_ms = TARGET_MS,
						.tail_ms = 20,
						.previous_tail_ms = 20,
						.fresh = true,
						.shared = true };
	rig->input = (gn_sharing_input_t){ .serving_count = TASKS,
					   .rate_known = true,
					   .rate_milli = 200000,
					   .usable_milli = 400000,
					   .running_milli = 200000 };
}

static void update(rig_t *rig)
{
	double before = rig->sharing.goal;
	double change;

	rig->now_us += TICK_MS * GN_US_PER_MS;
	rig->input.jobs = rig->jobs;
	rig->input.serving = rig->serving;
	g_assert_cmpint(
		gn_sharing_update(&rig->sharing, &rig->input, rig->now_us), ==,
		rig->sharing.goal != before);
	change = rig->sharing.goal - before;
	g_assert_cmpfloat(rig->sharing.goal, >=, GN_SHARING_MIN);
	g_assert_cmpfloat(rig->sharing.goal, <=, GN_SHARING_MAX);
	if (change == 0)
		return;
	/* Hysteresis: no change below 0.05, no step above 0.1. */
	g_assert_cmpfloat(ABS(change), >, 0.05 - 1e-6);
	g_assert_cmpfloat(ABS(change), <, 0.1 + 1e-6);
	rig->travel += ABS(change);
	rig->falls += change < 0;
	rig->rises += change > 0;
}

static void assert_goal(const rig_t *rig, double goal)
{
	g_assert_cmpfloat_with_epsilon(rig->sharing.goal, goal, 0.001);
}

static void update_for_ms(rig_t *rig, unsigned ms)
{
	for (unsigned passed = 0; passed < ms; passed += TICK_MS)
		update(rig);
}

/* Opens when the decision has seen that serving tasks are within target. */
static void open_settled_rig(rig_t *rig)
{
	open_rig(rig);
	update_for_ms(rig, 10000);
	assert_goal(rig, GN_SHARING_INITIAL);
}

/* Lets one job wait whose work takes this time at the rate. */
static void set_waiting_job(rig_t *rig, int64_t left_ms, uint64_t chain_ms,
			    double work_ms)
{
	rig->jobs[0] =
		(gn_sharing_job_t){ .work = work_ms * rig->input.rate_milli,
				    .waits = true,
				    .left_ms = left_ms,
				    .chain_ms = chain_ms,
				    .slack_ms = 2700 };
	rig->input.job_count = 1;
}

/* A job that will lose nearly all its slack, but can still be in time. */
static void set_endangered_job(rig_t *rig)
{
	set_waiting_job(rig, 4400, 1700, 4200);
}

/* ======   Demand   ====== */

/* A new leader must not decide by a rate that it does not know. */
static void test_initial_goal_lasts_without_a_rate(void)
{
	rig_t rig;

	open_rig(&rig);
	rig.input.rate_known = false;
	set_endangered_job(&rig);
	update_for_ms(&rig, 60000);
	assert_goal(&rig, GN_SHARING_INITIAL);
}

/* Jobs would miss their deadlines while processors are free. */
static void test_goal_falls_for_endangered_jobs(void)
{
	rig_t rig;

	open_settled_rig(&rig);
	set_endangered_job(&rig);
	update_for_ms(&rig, 1000);
	assert_goal(&rig, 1.0);
	update_for_ms(&rig, 10000);
	assert_goal(&rig, GN_SHARING_MIN);
}

static void test_goal_falls_by_at_most_a_step_a_second(void)
{
	rig_t rig;

	open_settled_rig(&rig);
	rig.sharing.goal = GN_SHARING_MAX;
	set_endangered_job(&rig);
	for (unsigned s = 1; s <= 6; s++) {
		update_for_ms(&rig, 1000);
		g_assert_cmpfloat(rig.sharing.goal, >=,
				  GN_SHARING_MAX - 0.1 * s - 1e-6);
	}
	assert_goal(&rig, GN_SHARING_MIN);
}

/* More headroom costs nobody anything while nothing waits for long. */
static void test_goal_rises_while_jobs_have_slack(void)
{
	rig_t rig;

	open_rig(&rig);
	set_waiting_job(&rig, 4200, 1700, 1000);
	update_for_ms(&rig, 15000);
	assert_goal(&rig, GN_SHARING_INITIAL);
	update_for_ms(&rig, 45000);
	assert_goal(&rig, GN_SHARING_MAX);
}

/* What waits for its tasks to end is not helped by less headroom. */
static void test_goal_falls_for_jobs_that_do_not_wait(void)
{
	rig_t rig;

	open_settled_rig(&rig);
	set_endangered_job(&rig);
	rig.jobs[0].waits = false;
	update_for_ms(&rig, 10000);
	g_assert_cmpuint(rig.falls, ==, 0);
}

static void test_goal_falls_for_late_jobs(void)
{
	rig_t rig;

	open_settled_rig(&rig);
	set_waiting_job(&rig, -1, 1700, 20000);
	update_for_ms(&rig, 10000);
	g_assert_cmpuint(rig.falls, ==, 0);
	set_waiting_job(&rig, 1600, 1700, 20000);
	update_for_ms(&rig, 10000);
	g_assert_cmpuint(rig.falls, ==, 0);
}

/* Late jobs wait behind the others, so that these must not seem to wait for
 * their work. */
static void test_goal_falls_for_the_work_of_late_jobs(void)
{
	rig_t rig;

	open_settled_rig(&rig);
	set_waiting_job(&rig, 4200, 1700, 1000);
	rig.jobs[1] = rig.jobs[0];
	rig.jobs[1].left_ms = 100;
	rig.jobs[1].work *= 100;
	rig.input.job_count = 2;
	update_for_ms(&rig, 10000);
	g_assert_cmpuint(rig.falls, ==, 0);
}

/* All processors are in use, so that less headroom would only harm. */
static void test_goal_falls_without_free_processors(void)
{
	rig_t rig;

	open_settled_rig(&rig);
	rig.input.running_milli = 0.97 * rig.input.usable_milli;
	rig.input.rate_milli = rig.input.running_milli;
	set_endangered_job(&rig);
	update_for_ms(&rig, 10000);
	g_assert_cmpuint(rig.falls, ==, 0);
}

/* Lets demand for best-effort work swing by 55 % with a period of 17 s around
 * this share of what can be done at a goal of 0.9. Jobs queue for a fleet whose
 * rate falls by 15 % for each 0.1 of headroom. */
static void swing_for_ms(rig_t *rig, double share, unsigned ms)
{
	double queue_milli_ms = 0;

	for (unsigned passed = 0; passed < ms; passed += TICK_MS) {
		double rate = 300000 * (1 - 1.5 * (rig->sharing.goal - 0.9));
		double demand = 300000 * share *
				(1 + 0.55 * sin(2 * G_PI * passed / 17000.0));

		queue_milli_ms =
			MAX(0, queue_milli_ms + (demand - rate) * TICK_MS);
		rig->input.running_milli =
			queue_milli_ms > 0 ? rate : MIN(demand, rate);
		rig->input.rate_milli = rate;
		set_waiting_job(rig, 4400, 1700, 0);
		rig->jobs[0].work = queue_milli_ms;
		rig->input.job_count = queue_milli_ms > 0;
		update(rig);
	}
}

/* The goal must settle where the peaks of the demand need it. */
static void test_goal_oscillates_with_the_demand(void)
{
	const double shares[] = { 0.2, 0.4, 0.6, 0.8 };
	const unsigned periods = 20;

	for (size_t i = 0; i < G_N_ELEMENTS(shares); i++) {
		rig_t rig;

		open_rig(&rig);
		swing_for_ms(&rig, shares[i], periods * 17000);
		g_test_message("demand %.1f: goal %.2f, %u falls, %u rises in "
			       "%u periods",
			       shares[i], rig.sharing.goal, rig.falls,
			       rig.rises, periods);
		g_assert_cmpfloat(rig.travel, <=, 0.1 * periods);
	}
}

/* ======   Serving tasks   ====== */

/* A new leader must not lower the goal before it knows how serving tasks do. */
static void test_goal_falls_before_serving_tasks_are_known(void)
{
	rig_t rig;

	open_rig(&rig);
	set_endangered_job(&rig);
	update_for_ms(&rig, 5000);
	g_assert_cmpuint(rig.falls, ==, 0);
	update_for_ms(&rig, 15000);
	assert_goal(&rig, GN_SHARING_MIN);
}

static void set_over(rig_t *rig, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		rig->serving[i].tail_ms = 1.2 * TARGET_MS;
		rig->serving[i].previous_tail_ms = 1.2 * TARGET_MS;
	}
}

/* Users of serving tasks were promised their target in 95 % of the time. */
static void test_goal_falls_while_serving_tasks_are_over_target(void)
{
	rig_t rig;

	open_settled_rig(&rig);
	set_over(&rig, TASKS / 5);
	update_for_ms(&rig, 5000);
	set_endangered_job(&rig);
	update_for_ms(&rig, 20000);
	g_assert_cmpuint(rig.falls, ==, 0);
}

static void test_goal_stays_low_while_serving_tasks_are_over_target(void)
{
	rig_t rig;

	open_settled_rig(&rig);
	set_endangered_job(&rig);
	update_for_ms(&rig, 5000);
	assert_goal(&rig, GN_SHARING_MIN);
	set_over(&rig, TASKS / 5);
	update_for_ms(&rig, 30000);
	assert_goal(&rig, GN_SHARING_INITIAL);
}

/* Without best-effort tasks beside them, these are not the cause. */
static void test_slow_serving_tasks_alone_keep_the_goal_up(void)
{
	rig_t rig;

	open_settled_rig(&rig);
	set_over(&rig, TASKS / 5);
	for (size_t i = 0; i < TASKS / 5; i++)
		rig.serving[i].shared = false;
	set_endangered_job(&rig);
	update_for_ms(&rig, 10000);
	assert_goal(&rig, GN_SHARING_MIN);
}

/* Reports stop for a third of the workers, whose serving tasks may suffer. */
static void test_unknown_serving_tasks_count_as_within_target(void)
{
	rig_t rig;

	open_settled_rig(&rig);
	for (size_t i = 0; i < TASKS / 3; i++)
		rig.serving[i].fresh = false;
	set_endangered_job(&rig);
	update_for_ms(&rig, 20000);
	g_assert_cmpuint(rig.falls, ==, 0);
	/* One in 20 of all would be within tolerance, one in 13 is not. */
	g_assert_cmpfloat(rig.sharing.view.unknown, >, 0.3);
}

/* A tail latency of 0 is none; such tasks may be over their targets. */
static void test_tasks_without_tail_count_as_within_target(void)
{
	rig_t rig;

	open_settled_rig(&rig);
	for (size_t i = 0; i < TASKS / 3; i++)
		rig.serving[i].tail_ms = 0;
	set_endangered_job(&rig);
	update_for_ms(&rig, 20000);
	g_assert_cmpuint(rig.falls, ==, 0);
}

/* Runs with an endangered job and returns the goal; every 2 s, one reading of
 * all tasks is this. */
static double run_with_wrong_readings(double tail_ms)
{
	rig_t rig;

	open_settled_rig(&rig);
	for (unsigned ms = 0; ms < 40000; ms += TICK_MS) {
		bool wrong = tail_ms >= 0 && ms % 2000 == 1000;

		for (size_t i = 0; i < TASKS; i++) {
			gn_sharing_serving_t *task = &rig.serving[i];

			task->previous_tail_ms = task->tail_ms;
			task->tail_ms = wrong ? tail_ms : 20;
		}
		if (ms == 2000)
			set_endangered_job(&rig);
		update(&rig);
	}
	return rig.sharing.goal;
}

/* A worker's reading of 0, or of 100 times the usual, is no trend. */
static void test_wrong_reading_changes_the_goal(void)
{
	g_assert_cmpfloat(run_with_wrong_readings(-1), ==,
			  run_with_wrong_readings(0));
	g_assert_cmpfloat(run_with_wrong_readings(-1), ==,
			  run_with_wrong_readings(2000));
}

/* A tail that stays at such a value is no wrong reading. */
static void test_lasting_jump_is_ignored(void)
{
	rig_t rig;

	open_settled_rig(&rig);
	for (size_t i = 0; i < TASKS / 3; i++) {
		rig.serving[i].tail_ms = 2000;
		rig.serving[i].previous_tail_ms = 2000;
	}
	update_for_ms(&rig, 5000);
	set_endangered_job(&rig);
	update_for_ms(&rig, 10000);
	g_assert_cmpuint(rig.falls, ==, 0);
}

static void test_empty_fleet(void)
{
	rig_t rig;

	open_rig(&rig);
	rig.input.serving_count = 0;
	rig.input.usable_milli = 0;
	rig.input.running_milli = 0;
	rig.input.rate_milli = 0;
	set_endangered_job(&rig);
	update_for_ms(&rig, 10000);
	g_assert_cmpuint(rig.falls, ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sharing/initial_goal_lasts_without_a_rate",
			test_initial_goal_lasts_without_a_rate);
	g_test_add_func("/sharing/goal_falls_for_endangered_jobs",
			test_goal_falls_for_endangered_jobs);
	g_test_add_func("/sharing/goal_falls_by_at_most_a_step_a_second",
			test_goal_falls_by_at_most_a_step_a_second);
	g_test_add_func("/sharing/goal_rises_while_jobs_have_slack",
			test_goal_rises_while_jobs_have_slack);
	g_test_add_func("/sharing/goal_falls_for_jobs_that_do_not_wait",
			test_goal_falls_for_jobs_that_do_not_wait);
	g_test_add_func("/sharing/goal_falls_for_late_jobs",
			test_goal_falls_for_late_jobs);
	g_test_add_func("/sharing/goal_falls_for_the_work_of_late_jobs",
			test_goal_falls_for_the_work_of_late_jobs);
	g_test_add_func("/sharing/goal_falls_without_free_processors",
			test_goal_falls_without_free_processors);
	g_test_add_func("/sharing/goal_oscillates_with_the_demand",
			test_goal_oscillates_with_the_demand);
	g_test_add_func("/sharing/goal_falls_before_serving_tasks_are_known",
			test_goal_falls_before_serving_tasks_are_known);
	g_test_add_func("/sharing/goal_falls_while_serving_tasks_are_over",
			test_goal_falls_while_serving_tasks_are_over_target);
	g_test_add_func(
		"/sharing/goal_stays_low_while_serving_tasks_are_over",
		test_goal_stays_low_while_serving_tasks_are_over_target);
	g_test_add_func("/sharing/slow_serving_tasks_alone_keep_the_goal_up",
			test_slow_serving_tasks_alone_keep_the_goal_up);
	g_test_add_func("/sharing/unknown_serving_tasks_count_as_within_target",
			test_unknown_serving_tasks_count_as_within_target);
	g_test_add_func("/sharing/tasks_without_tail_count_as_within_target",
			test_tasks_without_tail_count_as_within_target);
	g_test_add_func("/sharing/wrong_reading_changes_the_goal",
			test_wrong_reading_changes_the_goal);
	g_test_add_func("/sharing/lasting_jump_is_ignored",
			test_lasting_jump_is_ignored);
	g_test_add_func("/sharing/empty_fleet", test_empty_fleet);
	return g_test_run();
}
