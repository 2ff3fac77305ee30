/**
 * @file test_sched_evacuation.c
 * @brief The leader's decisions while data centres are evacuated. Host "a" is in
 *        data centre "x", host "b" in "y".
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "support/sched_rig.h"

#define JOB RIG_JOB
#define TASK RIG_TASK

static const rig_step_t one_task = { .count = 1,
				     .cpu_milli = 1000,
				     .estimate_ms = 600 };
static const rig_step_t serving = { .count = 1,
				    .cpu_milli = 1000,
				    .flags = RIG_STANDING,
				    .target_ms = 50,
				    .image = "i" };

static void report_all(sched_rig_t *rig)
{
	rig_report(rig, "a", "1");
	rig_report(rig, "b", "1");
}

static void open_fleet(sched_rig_t *rig)
{
	rig_open(rig);
	rig_locate(rig, "a", "x", "r1", NULL);
	rig_locate(rig, "b", "y", "r2", NULL);
	rig_enable_evacuations(rig);
	rig_evacuate(rig, "");
}

/* Has the job's start ordered for "a", which does not confirm it. */
static void open_with_start_on_a(sched_rig_t *rig, const rig_step_t *step)
{
	open_fleet(rig);
	rig_report(rig, "a", "1");
	rig_submit(rig, JOB, "quick", step, 1);
	rig_store(rig);
	g_assert_nonnull(rig_find_order(rig, GN_RUN_ORDER_START, TASK));
	rig_report(rig, "b", "1");
	rig_clear(rig);
}

/* Passes time while both hosts report empty lists. */
static void pass_ms(sched_rig_t *rig, unsigned ms)
{
	for (unsigned t = 0; t < ms; t += 100) {
		report_all(rig);
		rig_advance_ms(rig, 100);
		rig_store(rig);
	}
}

static void assert_started_on(const sched_rig_t *rig, const char *host,
			      uint32_t attempt)
{
	const rig_order_t *order =
		rig_find_order(rig, GN_RUN_ORDER_START, TASK);

	g_assert_nonnull(order);
	g_assert_cmpstr(order->host, ==, host);
	g_assert_cmpuint(order->attempt, ==, attempt);
}

/* ======   Placement   ====== */

static void test_tasks_are_placed_elsewhere(void)
{
	sched_rig_t rig;
	rig_step_t wide = one_task;

	open_fleet(&rig);
	report_all(&rig);
	rig_evacuate(&rig, "x");
	wide.count = 6;
	rig_submit(&rig, JOB, "quick", &wide, 1);
	pass_ms(&rig, 300);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), >=, 4);
	for (guint i = 0; i < rig.orders->len; i++)
		g_assert_cmpstr(g_array_index(rig.orders, rig_order_t, i).host,
				==, "b");
	g_assert_true(gn_sched_is_evacuated(rig.sched, "a"));
	g_assert_false(gn_sched_is_evacuated(rig.sched, "b"));
	g_assert_false(gn_sched_is_evacuated(rig.sched, "unknown"));
	g_assert_cmpuint(gn_sched_stats(rig.sched).evacuated_workers, ==, 1);
	rig_close(&rig);
}

/* A worker may be heard of first while its data centre is evacuated. */
static void test_new_worker_of_an_evacuated_data_centre_gets_nothing(void)
{
	sched_rig_t rig;

	open_fleet(&rig);
	rig_evacuate(&rig, "x");
	rig_submit(&rig, JOB, "quick", &one_task, 1);
	rig_report(&rig, "a", "1");
	rig_store(&rig);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 0);
	g_assert_true(gn_sched_is_evacuated(rig.sched, "a"));
	rig_evacuate(&rig, "");
	rig_store(&rig);
	assert_started_on(&rig, "a", 1);
	rig_close(&rig);
}

static void test_tasks_wait_while_all_are_evacuated(void)
{
	sched_rig_t rig;

	open_fleet(&rig);
	report_all(&rig);
	rig_evacuate(&rig, "x,y,z");
	g_assert_cmpint(rig_submit(&rig, JOB, "quick", &one_task, 1).result, ==,
			GN_RESULT_OK);
	pass_ms(&rig, 5000);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 0);
	g_assert_cmpint(rig_phase(&rig, JOB), ==, GN_JOB_QUEUED);
	rig_evacuate(&rig, "x,z");
	rig_store(&rig);
	assert_started_on(&rig, "b", 1);
	rig_close(&rig);
}

static void test_unknown_data_centre_changes_nothing(void)
{
	sched_rig_t rig;

	open_fleet(&rig);
	report_all(&rig);
	rig_evacuate(&rig, "nowhere");
	g_assert_cmpuint(rig.evacuation_events, ==, 1);
	g_assert_cmpuint(rig.evacuation_workers, ==, 0);
	rig_submit(&rig, JOB, "quick", &one_task, 1);
	rig_store(&rig);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 1);
	rig_close(&rig);
}

/* A task with data on a rack there goes to another rack at once; one whose label
 * only workers there have waits. */
static void test_rack_is_left_and_label_is_waited_for(void)
{
	static const char other[] = "00000000000000bb";
	rig_step_t near_a = one_task;
	rig_step_t labelled = one_task;
	sched_rig_t rig;

	open_fleet(&rig);
	rig_locate(&rig, "a", "x", "r1", "gpu");
	report_all(&rig);
	rig_evacuate(&rig, "x");
	near_a.rack = "r1";
	labelled.label = "gpu";
	rig_submit(&rig, JOB, "quick", &near_a, 1);
	rig_submit(&rig, other, "quick", &labelled, 1);
	rig_store(&rig);
	assert_started_on(&rig, "b", 1);
	pass_ms(&rig, 2000);
	g_assert_null(rig_find_order(&rig, GN_RUN_ORDER_START,
				     "00000000000000bb.0.0.0"));
	rig_evacuate(&rig, "");
	rig_store(&rig);
	g_assert_nonnull(rig_find_order(&rig, GN_RUN_ORDER_START,
					"00000000000000bb.0.0.0"));
	rig_close(&rig);
}

/* Two members fit on each host. */
static void test_gang_is_placed_where_all_members_may_go(void)
{
	const rig_step_t gang = { .count = 3,
				  .cpu_milli = 2000,
				  .estimate_ms = 600,
				  .flags = RIG_GANG };
	sched_rig_t rig;

	open_fleet(&rig);
	report_all(&rig);
	rig_evacuate(&rig, "x");
	rig_submit(&rig, JOB, "quick", &gang, 1);
	pass_ms(&rig, 1000);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 0);
	rig_evacuate(&rig, "");
	rig_store(&rig);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 3);
	rig_close(&rig);
}

/* Starts a task on "a", which crashes under it, evacuates these, and returns where
 * the task is started in isolation. */
static guchar get_host_of_isolated_start(const char *evacuated)
{
	const rig_order_t *order;
	sched_rig_t rig;
	guchar host;

	open_with_start_on_a(&rig, &one_task);
	rig_report_result(&rig, "a", "1", TASK, 1, GN_ORDER_OUTCOME_STARTED);
	rig_report_crash(&rig, "a", "1");
	rig_evacuate(&rig, evacuated);
	for (unsigned t = 0; t < 3000; t += 100) {
		rig_report(&rig, "a", "2");
		rig_report(&rig, "b", "1");
		rig_advance_ms(&rig, 100);
		rig_store(&rig);
	}
	order = rig_find_order(&rig, GN_RUN_ORDER_START, TASK);
	host = order ? (guchar)*order->host : '-';
	rig_close(&rig);
	return host;
}

/* The host that has crashed is only the second choice. */
static void test_start_in_isolation_goes_elsewhere(void)
{
	g_assert_cmpuint(get_host_of_isolated_start(""), ==, 'b');
	g_assert_cmpuint(get_host_of_isolated_start("x"), ==, 'b');
	g_assert_cmpuint(get_host_of_isolated_start("y"), ==, 'a');
	g_assert_cmpuint(get_host_of_isolated_start("x,y"), ==, '-');
}

/* ======   Work in progress   ====== */

static void check_run_goes_on(const rig_step_t *step)
{
	sched_rig_t rig;

	open_with_start_on_a(&rig, step);
	rig_report_run(&rig, "a", "1", TASK, 1);
	rig_evacuate(&rig, "x");
	g_assert_cmpint(rig.evacuation_claims, ==, 0);
	g_assert_cmpuint(rig.evacuation_workers, ==, 1);
	for (unsigned i = 0; i < 50; i++) {
		rig_report_run(&rig, "a", "1", TASK, 1);
		rig_report(&rig, "b", "1");
		rig_advance_ms(&rig, 100);
		rig_store(&rig);
	}
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_STOP), ==, 0);
	rig_report_end(&rig, "a", "1", TASK, 1, GN_END_FAILED);
	rig_store(&rig);
	assert_started_on(&rig, "b", 2);
	rig_close(&rig);
}

static void test_runs_go_on_and_start_again_elsewhere(void)
{
	check_run_goes_on(&one_task);
	check_run_goes_on(&serving);
}

/* The attempt is closed at the worker before the task is placed elsewhere. */
static void test_unconfirmed_start_is_given_up(void)
{
	sched_rig_t rig;

	open_with_start_on_a(&rig, &one_task);
	rig_evacuate(&rig, "x");
	g_assert_cmpint(rig.evacuation_claims, ==, 1);
	g_assert_nonnull(rig_find_order(&rig, GN_RUN_ORDER_STOP, TASK));
	pass_ms(&rig, 1000);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 0);
	rig_report_result(&rig, "a", "1", TASK, 1, GN_ORDER_OUTCOME_GONE);
	rig_store(&rig);
	assert_started_on(&rig, "b", 2);
	rig_close(&rig);
}

/* Guards against a claim that becomes durable after the evacuation. */
static void test_claim_stored_late_is_not_started(void)
{
	gn_sched_write_t write;
	sched_rig_t rig;

	open_fleet(&rig);
	rig_submit(&rig, JOB, "quick", &one_task, 1);
	rig_store(&rig);
	rig_report(&rig, "a", "1");
	gn_sched_run_pass(rig.sched);
	g_assert_cmpuint(gn_sched_begin_batch(rig.sched, &write, 1), ==, 1);
	free(write.value);
	rig_evacuate(&rig, "x");
	gn_sched_confirm_batch(rig.sched, ++rig.revision);
	pass_ms(&rig, 1000);
	for (guint i = 0; i < rig.orders->len; i++)
		g_assert_cmpstr(g_array_index(rig.orders, rig_order_t, i).host,
				==, "b");
	assert_started_on(&rig, "b", 2);
	rig_close(&rig);
}

/* Guards against a repetition of the order, which a lost order needs. */
static void test_start_is_not_repeated(void)
{
	sched_rig_t rig;

	open_with_start_on_a(&rig, &one_task);
	rig_evacuate(&rig, "x,y");
	pass_ms(&rig, 3000);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 0);
	/* The stop is repeated instead. */
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_STOP), >, 5);
	rig_close(&rig);
}

/* A gang that waits for a member there could not run. */
static void test_gang_with_an_unconfirmed_member_is_stopped(void)
{
	const rig_step_t gang = { .count = 2,
				  .cpu_milli = 3000,
				  .estimate_ms = 600,
				  .flags = RIG_GANG };
	sched_rig_t rig;

	open_fleet(&rig);
	report_all(&rig);
	rig_submit(&rig, JOB, "quick", &gang, 1);
	rig_store(&rig);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 2);
	rig_clear(&rig);
	rig_evacuate(&rig, "x");
	rig_report_result(&rig, "a", "1",
			  rig_find_order(&rig, GN_RUN_ORDER_STOP, TASK) ? TASK
									: JOB
				  ".0.0.1",
			  1, GN_ORDER_OUTCOME_GONE);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_STOP), ==, 2);
	rig_close(&rig);
}

/* The attempt that was given up stays closed, and the next one may go anywhere. */
static void test_short_evacuation_gives_starts_up(void)
{
	sched_rig_t rig;

	open_with_start_on_a(&rig, &one_task);
	rig_evacuate(&rig, "x");
	rig_evacuate(&rig, "");
	pass_ms(&rig, 600);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 0);
	rig_report_result(&rig, "a", "1", TASK, 1, GN_ORDER_OUTCOME_GONE);
	rig_store(&rig);
	g_assert_cmpuint(
		rig_find_order(&rig, GN_RUN_ORDER_START, TASK)->attempt, ==, 2);
	rig_close(&rig);
}

/* ======   Refusals by executors   ====== */

/* Lets "a", the only worker, refuse a start, and returns whether the task is
 * claimed for it again at once. */
static bool is_claimed_again_after(gn_run_order_outcome_t outcome)
{
	sched_rig_t rig;
	bool again;

	open_fleet(&rig);
	rig_report(&rig, "a", "1");
	rig_submit(&rig, JOB, "quick", &one_task, 1);
	rig_store(&rig);
	/* Few failures in a row make a worker unhealthy. */
	for (uint32_t attempt = 1; attempt <= 4; attempt++) {
		rig_report_result(&rig, "a", "1", TASK, attempt, outcome);
		rig_report(&rig, "a", "1");
		rig_clear(&rig);
		rig_store(&rig);
	}
	again = rig_count_orders(&rig, GN_RUN_ORDER_START) == 1;
	rig_close(&rig);
	return again;
}

static void test_refusal_for_evacuation_is_not_held_against_the_worker(void)
{
	g_assert_false(is_claimed_again_after(GN_ORDER_OUTCOME_NOT_STARTED));
	g_assert_true(is_claimed_again_after(GN_ORDER_OUTCOME_EVACUATED));
}

/* ======   Leaders   ====== */

/* Leaves a claim for "a" in the store, whose start may have been ordered. */
static void open_next_leader(sched_rig_t *rig)
{
	open_with_start_on_a(rig, &one_task);
	rig_change_leader(rig);
	rig_enable_evacuations(rig);
	rig_configure(rig);
}

static void test_next_leader_closes_a_restored_start(void)
{
	sched_rig_t rig;

	open_next_leader(&rig);
	rig_evacuate(&rig, "x");
	g_assert_cmpuint(rig.orders->len, ==, 0);
	rig_report(&rig, "a", "1");
	rig_report(&rig, "b", "1");
	rig_advance_ms(&rig, 400);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 0);
	g_assert_nonnull(rig_find_order(&rig, GN_RUN_ORDER_STOP, TASK));
	rig_report_result(&rig, "a", "1", TASK, 1, GN_ORDER_OUTCOME_GONE);
	rig_store(&rig);
	assert_started_on(&rig, "b", 2);
	rig_close(&rig);
}

static void test_next_leader_keeps_a_restored_run(void)
{
	sched_rig_t rig;

	open_next_leader(&rig);
	rig_evacuate(&rig, "x");
	rig_report_run(&rig, "a", "1", TASK, 1);
	rig_advance_ms(&rig, 400);
	rig_report_run(&rig, "a", "1", TASK, 1);
	g_assert_cmpuint(rig.orders->len, ==, 0);
	rig_close(&rig);
}

/* Guards against a new leader that has not read the set: neither restored starts
 * nor new ones may be ordered. */
static void test_next_leader_without_the_set_starts_nothing(void)
{
	static const char other[] = "00000000000000bb";
	sched_rig_t rig;

	open_next_leader(&rig);
	rig_submit(&rig, other, "quick", &one_task, 1);
	pass_ms(&rig, 3000);
	g_assert_cmpuint(rig.orders->len, ==, 0);
	g_assert_cmpuint(gn_sched_stats(rig.sched).claims, ==, 1);
	g_assert_cmpuint(gn_sched_stats(rig.sched).held_back_starts, >, 0);
	g_assert_cmpuint(gn_sched_stats(rig.sched).held_back_passes, >, 0);
	rig_evacuate(&rig, "");
	rig_advance_ms(&rig, 400);
	rig_store(&rig);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), >=, 2);
	rig_close(&rig);
}

/* An evacuation may be known before the configuration is. */
static void test_evacuation_before_the_first_configuration(void)
{
	sched_rig_t rig;

	open_with_start_on_a(&rig, &one_task);
	rig_change_leader(&rig);
	rig_enable_evacuations(&rig);
	rig_evacuate(&rig, "x");
	pass_ms(&rig, 500);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 0);
	rig_configure(&rig);
	rig_report_result(&rig, "a", "1", TASK, 1, GN_ORDER_OUTCOME_GONE);
	rig_store(&rig);
	assert_started_on(&rig, "b", 2);
	rig_close(&rig);
}

/* Guards against a leader that has lost the key-value service and goes on. */
static void test_leader_without_the_service_starts_nothing(void)
{
	gn_sched_write_t write;
	sched_rig_t rig;

	open_fleet(&rig);
	rig_submit(&rig, JOB, "quick", &one_task, 1);
	rig_store(&rig);
	report_all(&rig);
	rig_evacuate(&rig, "");
	gn_sched_run_pass(rig.sched);
	g_assert_cmpuint(gn_sched_begin_batch(rig.sched, &write, 1), ==, 1);
	free(write.value);
	rig.evacuations_lost = true;
	for (unsigned t = 0; t < GN_EVACUATION_MAX_AGE_MS + 100; t += 100) {
		report_all(&rig);
		rig_advance_ms(&rig, 100);
	}
	/* The write was stored, and its answer comes late. */
	gn_sched_confirm_batch(rig.sched, ++rig.revision);
	rig_submit(&rig, "00000000000000bb", "quick", &one_task, 1);
	pass_ms(&rig, 1000);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 0);
	g_assert_cmpuint(gn_sched_stats(rig.sched).claims, ==, 1);
	rig.evacuations_lost = false;
	pass_ms(&rig, 500);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), >=, 2);
	rig_close(&rig);
}

/* Deployments without the setting have no evacuations. */
static void test_without_evacuations_nothing_is_held_back(void)
{
	sched_rig_t rig;

	rig_open(&rig);
	rig_locate(&rig, "a", "x", "r1", NULL);
	rig_report(&rig, "a", "1");
	rig_submit(&rig, JOB, "quick", &one_task, 1);
	rig_store(&rig);
	assert_started_on(&rig, "a", 1);
	g_assert_cmpuint(gn_sched_stats(rig.sched).held_back_starts, ==, 0);
	rig_close(&rig);
}

/* ======   Cold workers   ====== */

/* Returns the number of the 6 starts that "a" gets of one job. */
static unsigned count_starts_on_a(uint32_t cold_left_ms)
{
	rig_step_t wide = one_task;
	unsigned count = 0;
	sched_rig_t rig;

	open_fleet(&rig);
	rig.cold_left_ms = cold_left_ms;
	rig_report(&rig, "a", "1");
	rig.cold_left_ms = 0;
	rig_report(&rig, "b", "1");
	wide.count = 4;
	wide.cpu_milli = 500;
	rig_submit(&rig, JOB, "quick", &wide, 1);
	rig_store(&rig);
	for (guint i = 0; i < rig.orders->len; i++)
		count += *g_array_index(rig.orders, rig_order_t, i).host == 'a';
	rig_close(&rig);
	return count;
}

static void test_cold_worker_gets_less(void)
{
	g_assert_cmpuint(count_starts_on_a(0), ==, 2);
	g_assert_cmpuint(count_starts_on_a(4000), <, 2);
}

int main(int argc, char **argv)
{
	static const struct {
		const char *path;
		GTestFunc run;
	} tests[] = {
		{ "tasks-are-placed-elsewhere",
		  test_tasks_are_placed_elsewhere },
		{ "new-worker-of-an-evacuated-data-centre-gets-nothing",
		  test_new_worker_of_an_evacuated_data_centre_gets_nothing },
		{ "tasks-wait-while-all-are-evacuated",
		  test_tasks_wait_while_all_are_evacuated },
		{ "unknown-data-centre-changes-nothing",
		  test_unknown_data_centre_changes_nothing },
		{ "rack-is-left-and-label-is-waited-for",
		  test_rack_is_left_and_label_is_waited_for },
		{ "gang-is-placed-where-all-members-may-go",
		  test_gang_is_placed_where_all_members_may_go },
		{ "start-in-isolation-goes-elsewhere",
		  test_start_in_isolation_goes_elsewhere },
		{ "runs-go-on-and-start-again-elsewhere",
		  test_runs_go_on_and_start_again_elsewhere },
		{ "unconfirmed-start-is-given-up",
		  test_unconfirmed_start_is_given_up },
		{ "claim-stored-late-is-not-started",
		  test_claim_stored_late_is_not_started },
		{ "start-is-not-repeated", test_start_is_not_repeated },
		{ "gang-with-an-unconfirmed-member-is-stopped",
		  test_gang_with_an_unconfirmed_member_is_stopped },
		{ "short-evacuation-gives-starts-up",
		  test_short_evacuation_gives_starts_up },
		{ "refusal-for-evacuation-is-not-held-against-the-worker",
		  test_refusal_for_evacuation_is_not_held_against_the_worker },
		{ "next-leader-closes-a-restored-start",
		  test_next_leader_closes_a_restored_start },
		{ "next-leader-keeps-a-restored-run",
		  test_next_leader_keeps_a_restored_run },
		{ "next-leader-without-the-set-starts-nothing",
		  test_next_leader_without_the_set_starts_nothing },
		{ "evacuation-before-the-first-configuration",
		  test_evacuation_before_the_first_configuration },
		{ "leader-without-the-service-starts-nothing",
		  test_leader_without_the_service_starts_nothing },
		{ "without-evacuations-nothing-is-held-back",
		  test_without_evacuations_nothing_is_held_back },
		{ "cold-worker-gets-less", test_cold_worker_gets_less },
	};

	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(tests); i++) {
		g_autofree char *path =
			g_strconcat("/sched-evacuation/", tests[i].path, NULL);

		g_test_add_func(path, tests[i].run);
	}
	return g_test_run();
}
