/**
 * @file test_host_restart.c
 * @brief Tasks whose hosts have lost power are not suspected of the crash.
 *
 * After a loss of power, a worker and the executor beside it restart together.
 * Tasks that ran there are no more likely to crash workers than others, and
 * starting them in isolation makes the recovery last for seconds.
 */
#include "support/sched_rig.h"

#define HOSTS 3
#define TASKS 6

static const char *const hosts[HOSTS] = { "a", "b", "c" };
/* Starts in isolation are of one job at a time, so each task has its own. */
static const char *const jobs[TASKS] = {
	"00000000000000a1", "00000000000000a2", "00000000000000a3",
	"00000000000000a4", "00000000000000a5", "00000000000000a6"
};
static const rig_step_t step = { .count = 1,
				 .cpu_milli = 1000,
				 .estimate_ms = 10000 };

static void report_all(sched_rig_t *rig, const char *life)
{
	for (unsigned i = 0; i < HOSTS; i++)
		rig_report(rig, hosts[i], life);
}

static void submit_all(sched_rig_t *rig)
{
	for (unsigned i = 0; i < TASKS; i++)
		rig_submit(rig, jobs[i], "quick", &step, 1);
	rig_store(rig);
}

/* Starts all tasks; each host then restarts, and a new leader is elected. */
static void open_with_restarted_hosts(sched_rig_t *rig, bool with_executors)
{
	rig_open(rig);
	report_all(rig, "1");
	submit_all(rig);
	g_assert_cmpuint(rig_count_orders(rig, GN_RUN_ORDER_START), ==, TASKS);
	rig_change_leader(rig);
	rig_configure(rig);
	rig_clear(rig);
	rig->first_life = with_executors;
	report_all(rig, "2");
	rig_store(rig);
}

/* Guards against a recovery that starts the tasks of all hosts in isolation. */
static void test_tasks_start_at_once_after_a_loss_of_power(void)
{
	sched_rig_t rig;

	open_with_restarted_hosts(&rig, true);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, TASKS);
	rig_close(&rig);
}

/* Guards against the loss of this evidence where only the worker has ended, as
 * by a task that crashes it. */
static void test_tasks_start_in_isolation_if_only_workers_restart(void)
{
	sched_rig_t rig;

	open_with_restarted_hosts(&rig, false);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), <, TASKS);
	rig_close(&rig);
}

/* Guards against counting the restart of a host once its claims have lapsed. */
static void test_tasks_start_at_once_after_a_lapse(void)
{
	sched_rig_t rig;

	rig_open(&rig);
	report_all(&rig, "1");
	submit_all(&rig);
	rig_clear(&rig);
	rig_advance_ms(&rig, RIG_LEASE_MAX_MS);
	rig.first_life = true;
	report_all(&rig, "2");
	rig_store(&rig);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, TASKS);
	rig_close(&rig);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
#define ADD(name) g_test_add_func("/host-restart/" #name, test_##name)
	ADD(tasks_start_at_once_after_a_loss_of_power);
	ADD(tasks_start_in_isolation_if_only_workers_restart);
	ADD(tasks_start_at_once_after_a_lapse);
	return g_test_run();
}
