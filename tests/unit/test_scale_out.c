/*
 * Plays workers that are added while tasks wait. An empty worker must not stand
 * idle while tasks that fit it wait.
 */
#include <glib.h>
#include <string.h>

#include "support/sched_rig.h"

#define JOB "00000000000000aa"
#define TASKS 12
/** Tasks of a worker, which has 4 cores. */
#define TASKS_PER_WORKER 2
/** Interval of the reports of an executor. */
#define REPORT_MS 300
/** An added worker must have its tasks after this time. */
#define FRESH_MAX_MS 1000

static unsigned count_starts(const sched_rig_t *rig, const char *host)
{
	unsigned count = 0;

	for (guint i = 0; i < rig->orders->len; i++) {
		const rig_order_t *order =
			&g_array_index(rig->orders, rig_order_t, i);

		count += order->kind == GN_RUN_ORDER_START &&
			 !strcmp(order->host, host);
	}
	return count;
}

static void submit_tasks(sched_rig_t *rig, const char *queue)
{
	const rig_step_t step = { .count = TASKS,
				  .cpu_milli = 4000 / TASKS_PER_WORKER,
				  .estimate_ms = 60000 };

	rig_submit(rig, JOB, queue, &step, 1);
	rig_store(rig);
}

/* Two workers are full when four more announce themselves, one after another. */
static void test_added_workers_get_waiting_tasks(gconstpointer queue)
{
	static const char *const hosts[] = { "a", "b", "c", "d", "e", "f" };
	sched_rig_t rig;

	rig_open(&rig);
	rig_report(&rig, hosts[0], "1");
	rig_report(&rig, hosts[1], "1");
	submit_tasks(&rig, queue);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==,
			 2 * TASKS_PER_WORKER);
	for (size_t i = 2; i < G_N_ELEMENTS(hosts); i++) {
		rig_report(&rig, hosts[i], "1");
		for (unsigned ms = 0; ms < FRESH_MAX_MS; ms += REPORT_MS) {
			rig_advance_ms(&rig, REPORT_MS);
			rig_store(&rig);
			for (size_t k = 0; k <= i; k++)
				rig_report_stale_list(&rig, hosts[k], "1", 0);
		}
		g_assert_cmpuint(count_starts(&rig, hosts[i]), >=,
				 TASKS_PER_WORKER);
	}
	g_assert_cmpuint(gn_sched_stats(rig.sched).waiting_tasks, ==, 0);
	rig_close(&rig);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func("/scale-out/quick", "quick",
			     test_added_workers_get_waiting_tasks);
	g_test_add_data_func("/scale-out/batch", "batch",
			     test_added_workers_get_waiting_tasks);
	return g_test_run();
}
