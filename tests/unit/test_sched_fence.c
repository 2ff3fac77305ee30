/**
 * @file test_sched_fence.c
 * @brief Fencing tokens keep calls for an earlier life of a worker out of the
 *        present one.
 *
 * A call names the worker's ID only and may be executed late, by a process that
 * has started again under this ID. It would discard ends that nobody has seen.
 */
#include <stdlib.h>

#include "support/sched_rig.h"

#define JOB "00000000000000a1"
#define TASK JOB ".0.0.0"

static const rig_step_t step = { .count = 1,
				 .cpu_milli = 1000,
				 .estimate_ms = 1000 };

static void store_one(sched_rig_t *rig, uint64_t revision)
{
	gn_sched_write_t write = { 0 };

	gn_sched_begin_batch(rig->sched, &write, 1);
	free(write.value);
	gn_sched_confirm_batch(rig->sched, revision);
}

/* Guards against write batches for lives that refuse calls for earlier ones by
 * their ID. */
static void test_life_with_a_new_id_needs_no_token(void)
{
	sched_rig_t rig;

	rig_open(&rig);
	rig_report(&rig, "a", "1");
	rig_report(&rig, "a", "1");
	rig_report(&rig, "a", "2");
	g_assert_false(gn_sched_is_dirty(rig.sched));
	g_assert_cmpuint(gn_sched_get_fence(rig.sched, "a"), ==, 0);
	g_assert_cmpuint(gn_sched_get_fence(rig.sched, "unknown"), ==, 0);
	rig_close(&rig);
}

/* Guards against a new life that carries out calls for the one before. */
static void test_each_new_life_has_a_token_of_its_own(void)
{
	sched_rig_t rig;

	rig_open(&rig);
	rig_report(&rig, "a", "1");
	rig_restart_worker(&rig, "a");
	rig_report(&rig, "a", "1");
	g_assert_true(gn_sched_is_dirty(rig.sched));
	store_one(&rig, 70);
	g_assert_cmpuint(gn_sched_get_fence(rig.sched, "a"), ==, 70);
	g_assert_false(gn_sched_is_dirty(rig.sched));
	rig_report(&rig, "a", "2");
	g_assert_false(gn_sched_is_dirty(rig.sched));
	rig_restart_worker(&rig, "a");
	rig_report(&rig, "a", "2");
	store_one(&rig, 80);
	g_assert_cmpuint(gn_sched_get_fence(rig.sched, "a"), ==, 80);
	rig_close(&rig);
}

/* Guards against a token that calls for the earlier life may carry, too. */
static void test_batch_of_before_the_life_gives_no_token(void)
{
	sched_rig_t rig;
	gn_sched_write_t write = { 0 };

	rig_open(&rig);
	rig_report(&rig, "a", "1");
	rig_submit(&rig, JOB, "quick", &step, 1);
	g_assert_cmpuint(gn_sched_begin_batch(rig.sched, &write, 1), ==, 1);
	free(write.value);
	rig_restart_worker(&rig, "a");
	rig_report(&rig, "a", "1");
	gn_sched_confirm_batch(rig.sched, 60);
	g_assert_cmpuint(gn_sched_get_fence(rig.sched, "a"), ==, 0);
	store_one(&rig, 70);
	g_assert_cmpuint(gn_sched_get_fence(rig.sched, "a"), ==, 70);
	rig_close(&rig);
}

/* Guards against a run whose end a late call discards unseen. */
static void test_start_in_a_new_life_has_its_token(void)
{
	sched_rig_t rig;

	rig_open(&rig);
	rig_report(&rig, "a", "1");
	rig_restart_worker(&rig, "a");
	rig_report(&rig, "a", "1");
	rig_submit(&rig, JOB, "quick", &step, 1);
	gn_sched_run_pass(rig.sched);
	g_assert_null(rig_find_order(&rig, GN_RUN_ORDER_START, TASK));
	store_one(&rig, 70);
	g_assert_nonnull(rig_find_order(&rig, GN_RUN_ORDER_START, TASK));
	g_assert_cmpuint(gn_sched_get_fence(rig.sched, "a"), ==, 70);
	rig_close(&rig);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
#define ADD(name) g_test_add_func("/sched-fence/" #name, test_##name)
	ADD(life_with_a_new_id_needs_no_token);
	ADD(each_new_life_has_a_token_of_its_own);
	ADD(batch_of_before_the_life_gives_no_token);
	ADD(start_in_a_new_life_has_its_token);
	return g_test_run();
}
