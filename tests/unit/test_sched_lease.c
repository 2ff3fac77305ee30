/* Leases of a life that calls for a former one may have extended. */
#include "support/sched_rig.h"

#define TASK RIG_TASK
#define LEASE_MS (RIG_LEASE_MS + 500)
/** The longest lease with the drift of clocks and margins. */
#define LEASE_MAX_MS (RIG_LEASE_MAX_MS + 500)
#define OLD_LIFE_MS 60000

static const rig_step_t one_task = { .count = 1,
				     .cpu_milli = 1000,
				     .estimate_ms = 600 };

static void open_rig(sched_rig_t *rig)
{
	rig_open(rig);
	rig->tracks_starts = true;
	rig->lists_open_starts = true;
	rig->settled = true;
	rig->life_age_ms = OLD_LIFE_MS;
	rig_report(rig, "a", "1");
}

static void submit(sched_rig_t *rig)
{
	rig_submit(rig, RIG_JOB, "batch", &one_task, 1);
	rig_store(rig);
	g_assert_nonnull(rig_find_order(rig, GN_RUN_ORDER_START, TASK));
	rig_clear(rig);
}

/* A new leader hears of the worker for the first time, and gives it a task. */
static void run_under_new_leader(sched_rig_t *rig, unsigned life_age_ms)
{
	open_rig(rig);
	rig_change_leader(rig);
	rig_configure(rig);
	rig->life_age_ms = life_age_ms;
	rig_report(rig, "a", "1");
	submit(rig);
	rig_report_run(rig, "a", "1", TASK, 1);
}

static void test_new_leader_allows_for_the_longest_lease_of_a_young_life(void)
{
	sched_rig_t rig;

	run_under_new_leader(&rig, 200);
	rig_advance_ms(&rig, LEASE_MS);
	g_assert_cmpuint(gn_sched_stats(rig.sched).claims, ==, 1);
	rig_advance_ms(&rig, LEASE_MAX_MS - LEASE_MS);
	g_assert_cmpuint(gn_sched_stats(rig.sched).claims, ==, 0);
	rig_close(&rig);
}

static void test_new_leader_allows_for_the_lease_of_an_old_life(void)
{
	sched_rig_t rig;

	run_under_new_leader(&rig, OLD_LIFE_MS);
	rig_advance_ms(&rig, LEASE_MS);
	g_assert_cmpuint(gn_sched_stats(rig.sched).claims, ==, 0);
	rig_close(&rig);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
		"/sched-lease/new_leader_allows_for_the_longest_lease_of_a_young_life",
		test_new_leader_allows_for_the_longest_lease_of_a_young_life);
	g_test_add_func(
		"/sched-lease/new_leader_allows_for_the_lease_of_an_old_life",
		test_new_leader_allows_for_the_lease_of_an_old_life);
	return g_test_run();
}
