/**
 * @file test_state_size.c
 * @brief The state of a large job fits into a value of the store, or does not keep
 *        the others from being stored.
 */
#include <stdlib.h>
#include <string.h>

#include "support/sched_rig.h"

#define LARGE "00000000000000a1"
#define OTHER "00000000000000a2"
/** With checkpoints of this length, the state of the large job does not fit. */
#define CHECKPOINT_LEN 300
#define TASKS 4500
/** The largest job, with rows that have names of some length. */
#define MOST GN_JOB_TASKS_MAX
#define HOST "side-123456789-123456789-123456789"
#define LIFE "1-123456789-123456789-123456789"

static const rig_step_t other = { .count = 1,
				  .cpu_milli = 1,
				  .estimate_ms = 1000 };

/* All tasks run on host "a", and its list has their checkpoints. */
static void open_with_running_tasks(sched_rig_t *rig, uint32_t count)
{
	const rig_step_t large = { .count = count,
				   .cpu_milli = 1,
				   .estimate_ms = 100000,
				   .flags = RIG_CHECKPOINTS };

	rig_open(rig);
	rig->cpu_milli = 1000000;
	rig_report(rig, HOST, LIFE);
	rig_submit(rig, LARGE, "quick", &large, 1);
	rig_store(rig);
}

static void report_checkpoints(sched_rig_t *rig, uint32_t count)
{
	Gn__WorkerReport report = GN__WORKER_REPORT__INIT;
	Gn__WorkerRun *rows = g_new0(Gn__WorkerRun, count);
	Gn__WorkerRun **runs = g_new0(Gn__WorkerRun *, count);
	char checkpoint[CHECKPOINT_LEN + 1];

	memset(checkpoint, 'x', CHECKPOINT_LEN);
	checkpoint[CHECKPOINT_LEN] = '\0';
	for (uint32_t i = 0; i < count; i++) {
		gn__worker_run__init(&rows[i]);
		rows[i].task = g_strdup_printf(LARGE ".0.0.%u", i);
		rows[i].attempt = 1;
		rows[i].checkpoint = checkpoint;
		runs[i] = &rows[i];
	}
	report.host = (char *)HOST;
	report.life = (char *)LIFE;
	report.born_ms = rig_get_life_start_ms(rig, HOST, LIFE);
	report.service = (char *)"s";
	report.cpu_milli = rig->cpu_milli;
	report.memory_mb = 1000000;
	report.listed = true;
	report.runs = runs;
	report.n_runs = count;
	gn_sched_handle_report(rig->sched, &report);
	for (uint32_t i = 0; i < count; i++)
		g_free(rows[i].task);
	g_free(rows);
	g_free(runs);
}

static size_t get_stored_len(const sched_rig_t *rig)
{
	const Gn__JobRecord *record = g_hash_table_lookup(rig->records, LARGE);

	return gn__job_state__get_packed_size(record->state);
}

/* Guards against a state that the store refuses for good. */
static void test_checkpoints_that_do_not_fit_are_not_stored(void)
{
	sched_rig_t rig;

	open_with_running_tasks(&rig, TASKS);
	g_assert_cmpuint(gn_sched_stats(rig.sched).claims, ==, TASKS);
	report_checkpoints(&rig, TASKS);
	rig_report_end(&rig, HOST, LIFE, LARGE ".0.0.7", 1, GN_END_DONE);
	rig_store(&rig);
	g_assert_cmpuint(get_stored_len(&rig), <, GN_SCHED_VALUE_MAX);
	rig_change_leader(&rig);
	g_assert_cmpuint(gn_sched_stats(rig.sched).claims, ==, TASKS - 1);
	rig_close(&rig);
}

/* Guards against a job that stops the writes of all others, or that is never
 * started itself. */
static void test_tasks_whose_state_does_not_fit_are_claimed_in_pieces(void)
{
	Gn__JobRecord *record;
	sched_rig_t rig;

	open_with_running_tasks(&rig, MOST);
	record = g_hash_table_lookup(rig.records, LARGE);
	g_assert_nonnull(record);
	rig_store(&rig);
	rig_store(&rig);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), >, 1000);
	g_assert_cmpuint(get_stored_len(&rig), <, GN_SCHED_VALUE_MAX);
	rig_submit(&rig, OTHER, "quick", &other, 1);
	rig_store(&rig);
	record = g_hash_table_lookup(rig.records, OTHER);
	g_assert_nonnull(record);
	g_assert_false(gn_sched_is_dirty(rig.sched));
	rig_close(&rig);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
#define ADD(name) g_test_add_func("/state-size/" #name, test_##name)
	ADD(checkpoints_that_do_not_fit_are_not_stored);
	ADD(tasks_whose_state_does_not_fit_are_claimed_in_pieces);
	return g_test_run();
}
