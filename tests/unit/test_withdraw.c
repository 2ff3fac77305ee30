/*
 * Tests the withdrawal of jobs while the store is away. A caller may be told
 * that its job does not run only if the job can't be stored any more.
 */
#include <glib.h>
#include <stdlib.h>

#include "support/sched_rig.h"

#define JOB "00000000000000aa"
#define OTHER_JOB "00000000000000ab"
#define WRITES_MAX 4

static const rig_step_t whole_worker = { .count = 1,
					 .cpu_milli = 4000,
					 .estimate_ms = 1000 };

static size_t begin_batch(sched_rig_t *rig)
{
	gn_sched_write_t writes[WRITES_MAX];
	size_t count = gn_sched_begin_batch(rig->sched, writes, WRITES_MAX);

	for (size_t i = 0; i < count; i++)
		free(writes[i].value);
	return count;
}

static void open_with_job(sched_rig_t *rig)
{
	rig_open(rig);
	rig_submit(rig, JOB, "batch", &whole_worker, 1);
}

static void test_job_that_was_not_sent(void)
{
	sched_rig_t rig;

	open_with_job(&rig);
	g_assert_true(gn_sched_withdraw(rig.sched, JOB));
	g_assert_false(gn_sched_withdraw(rig.sched, JOB));
	g_assert_cmpuint(begin_batch(&rig), ==, 0);
	g_assert_cmpint(gn_sched_get_state(rig.sched, JOB).result, ==,
			GN_RESULT_NOT_FOUND);
	/* The caller may come back with the same ID. */
	g_assert_cmpint(rig_submit(&rig, JOB, "batch", &whole_worker, 1).result,
			==, GN_RESULT_OK);
	rig_close(&rig);
}

static void test_job_in_a_batch(void)
{
	sched_rig_t rig;

	open_with_job(&rig);
	g_assert_cmpuint(begin_batch(&rig), ==, 1);
	g_assert_false(gn_sched_withdraw(rig.sched, JOB));
	/* The store has refused the batch. */
	gn_sched_requeue_batch(rig.sched);
	g_assert_true(gn_sched_withdraw(rig.sched, JOB));
	rig_close(&rig);
}

static void test_stored_job(void)
{
	sched_rig_t rig;

	open_with_job(&rig);
	rig_store(&rig);
	g_assert_false(gn_sched_withdraw(rig.sched, JOB));
	rig_close(&rig);
}

/* The capacity of claims that were never stored is free again. */
static void test_claims_are_released(void)
{
	sched_rig_t rig;

	rig_open(&rig);
	rig_report(&rig, "a", "1");
	rig_submit(&rig, JOB, "batch", &whole_worker, 1);
	gn_sched_run_pass(rig.sched);
	g_assert_true(gn_sched_withdraw(rig.sched, JOB));
	rig_advance_ms(&rig, 100);
	rig_submit(&rig, OTHER_JOB, "batch", &whole_worker, 1);
	rig_store(&rig);
	g_assert_nonnull(
		rig_find_order(&rig, GN_RUN_ORDER_START, OTHER_JOB ".0.0.0"));
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 1);
	rig_close(&rig);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/withdraw/not-sent", test_job_that_was_not_sent);
	g_test_add_func("/withdraw/in-a-batch", test_job_in_a_batch);
	g_test_add_func("/withdraw/stored", test_stored_job);
	g_test_add_func("/withdraw/claims", test_claims_are_released);
	return g_test_run();
}
