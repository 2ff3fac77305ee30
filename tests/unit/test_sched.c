#include <glib.h>
#include <stdlib.h>

#include "support/sched_rig.h"

#define JOB RIG_JOB
#define TASK RIG_TASK
#define OTHER "00000000000000bb"

static const rig_step_t one_task = { .count = 1,
				     .cpu_milli = 1000,
				     .estimate_ms = 600 };

/* ======   Claims   ====== */

static void test_no_start_before_its_claim_is_stored(void)
{
	sched_rig_t rig;
	gn_sched_write_t write;

	rig_open(&rig);
	rig_report(&rig, "a", "1");
	rig_submit(&rig, JOB, "quick", &one_task, 1);
	gn_sched_pass(rig.sched);
	g_assert_cmpuint(gn_sched_take_writes(rig.sched, &write, 1), ==, 1);
	free(write.value);
	rig_advance_ms(&rig, 500);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 0);
	gn_sched_written(rig.sched);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 1);
	rig_close(&rig);
}

static void test_lost_start_is_sent_again(void)
{
	sched_rig_t rig;

	rig_open(&rig);
	rig_report(&rig, "a", "1");
	rig_submit(&rig, JOB, "quick", &one_task, 1);
	rig_store(&rig);
	rig_clear(&rig);
	rig_advance_ms(&rig, 400);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 1);
	rig_report_run(&rig, "a", "1", TASK, 1);
	rig_clear(&rig);
	rig_advance_ms(&rig, 400);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 0);
	rig_close(&rig);
}

static void test_no_start_to_a_worker_without_a_list(void)
{
	sched_rig_t rig;

	rig_open(&rig);
	rig_report(&rig, "a", "1");
	rig_submit(&rig, JOB, "quick", &one_task, 1);
	rig_store(&rig);
	rig_advance_ms(&rig, 1500);
	rig_report_stale_list(&rig, "a", "1", 1500);
	rig_clear(&rig);
	rig_advance_ms(&rig, 400);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 0);
	rig_close(&rig);
}

/* The worker may forget an end only when what it means is stored. */
static void test_end_is_stored_before_it_is_forgotten(void)
{
	sched_rig_t rig;
	const char *life;

	rig_open_with_running_task(&rig, &one_task);
	g_assert_cmpuint(rig_report_end(&rig, "a", "1", TASK, 1, GN_END_DONE),
			 ==, 0);
	g_assert_cmpint(rig_phase(&rig, JOB), ==, GN_JOB_COMPLETED);
	rig_store(&rig);
	g_assert_cmpuint(gn_sched_ends_stored(rig.sched, "a", &life), ==, 1);
	rig_close(&rig);
}

static void test_steps_follow_each_other(void)
{
	const rig_step_t steps[] = { { .count = 2, .cpu_milli = 500 },
				     { .count = 1, .cpu_milli = 500 } };
	sched_rig_t rig;

	rig_open(&rig);
	rig_report(&rig, "a", "1");
	rig_submit(&rig, JOB, "quick", steps, 2);
	rig_store(&rig);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 2);
	rig_report_end(&rig, "a", "1", JOB ".0.0.1", 1, GN_END_DONE);
	rig_store(&rig);
	g_assert_null(rig_find_order(&rig, GN_RUN_ORDER_START, JOB ".0.1.0"));
	rig_report_end(&rig, "a", "1", JOB ".0.0.0", 1, GN_END_DONE);
	rig_store(&rig);
	g_assert_nonnull(
		rig_find_order(&rig, GN_RUN_ORDER_START, JOB ".0.1.0"));
	rig_close(&rig);
}

/* ======   Ends of claims   ====== */

static void test_silent_executor_keeps_its_claim_for_a_lease(void)
{
	sched_rig_t rig;

	rig_open_with_running_task(&rig, &one_task);
	rig_report(&rig, "b", "1");
	for (unsigned ms = 0; ms < RIG_LEASE_MS; ms += 200) {
		rig_advance_ms(&rig, 200);
		rig_report(&rig, "b", "1");
		rig_store(&rig);
	}
	g_assert_null(rig_find_order(&rig, GN_RUN_ORDER_START, TASK));
	for (unsigned ms = 0; ms < 400; ms += 200) {
		rig_advance_ms(&rig, 200);
		rig_report(&rig, "b", "1");
	}
	rig_store(&rig);
	g_assert_cmpstr(rig_find_order(&rig, GN_RUN_ORDER_START, TASK)->host,
			==, "b");
	g_assert_cmpuint(
		rig_find_order(&rig, GN_RUN_ORDER_START, TASK)->attempt, ==, 2);
	rig_close(&rig);
}

/* Seen on ozav, seed 1078356639499: an executor outlives its worker. */
static void test_silent_worker_loses_its_claim(void)
{
	sched_rig_t rig;
	unsigned ms;

	rig_open_with_running_task(&rig, &one_task);
	for (ms = 200; ms < RIG_LEASE_MS + 2000; ms += 200) {
		rig_advance_ms(&rig, 200);
		rig_report(&rig, "b", "1");
		rig_report_stale_list(&rig, "a", "1", ms);
		rig_store(&rig);
		if (rig_find_order(&rig, GN_RUN_ORDER_START, TASK))
			break;
	}
	g_assert_cmpuint(ms, >=, RIG_LEASE_MS);
	g_assert_cmpuint(ms, <, RIG_LEASE_MS + 2000);
	g_assert_cmpstr(rig_find_order(&rig, GN_RUN_ORDER_START, TASK)->host,
			==, "b");
	rig_close(&rig);
}

static void test_worker_without_a_list_gets_nothing(void)
{
	sched_rig_t rig;

	rig_open(&rig);
	rig_report(&rig, "a", "1");
	rig_advance_ms(&rig, 1500);
	rig_report_stale_list(&rig, "a", "1", 1500);
	rig_submit(&rig, JOB, "quick", &one_task, 1);
	rig_store(&rig);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 0);
	rig_report(&rig, "a", "1");
	rig_store(&rig);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 1);
	rig_close(&rig);
}

static void test_new_life_ends_claims_at_once(void)
{
	sched_rig_t rig;

	rig_open_with_running_task(&rig, &one_task);
	rig_report(&rig, "a", "2");
	rig_store(&rig);
	g_assert_cmpuint(
		rig_find_order(&rig, GN_RUN_ORDER_START, TASK)->attempt, ==, 2);
	/* a report of the life before changes nothing */
	rig_clear(&rig);
	rig_report_run(&rig, "a", "1", TASK, 1);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_STOP), ==, 0);
	rig_close(&rig);
}

/* Seen in the soak, seed 8: an executor that was paused for 5 s. */
static void test_done_before_a_lapse_is_not_repeated(void)
{
	sched_rig_t rig;

	rig_open_with_running_task(&rig, &one_task);
	rig_advance_ms(&rig, RIG_LEASE_MS + 1000);
	rig_store(&rig);
	g_assert_cmpuint(gn_sched_figures(rig.sched).claims, ==, 0);
	rig_report_end(&rig, "a", "1", TASK, 1, GN_END_DONE);
	rig_store(&rig);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 0);
	g_assert_cmpint(rig_phase(&rig, JOB), ==, GN_JOB_COMPLETED);
	rig_close(&rig);
}

static void test_done_of_an_earlier_attempt_is_void(void)
{
	sched_rig_t rig;

	rig_open_with_running_task(&rig, &one_task);
	rig_advance_ms(&rig, RIG_LEASE_MS + 1000);
	rig_report(&rig, "b", "1");
	rig_store(&rig);
	g_assert_cmpuint(
		rig_find_order(&rig, GN_RUN_ORDER_START, TASK)->attempt, ==, 2);
	rig_report_end(&rig, "a", "1", TASK, 1, GN_END_DONE);
	g_assert_cmpint(rig_phase(&rig, JOB), ==, GN_JOB_RUNNING);
	rig_close(&rig);
}

static void test_run_without_a_claim_is_stopped_and_takes_room(void)
{
	const rig_step_t whole = { .count = 2,
				   .cpu_milli = 3000,
				   .estimate_ms = 600 };
	sched_rig_t rig;

	rig_open(&rig);
	rig_report(&rig, "a", "1");
	rig_submit(&rig, JOB, "batch", &whole, 1);
	rig_store(&rig);
	/* the second task does not fit beside the first */
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 1);
	rig_report_end(&rig, "a", "1", TASK, 1, GN_END_LAPSED);
	rig_report_run(&rig, "a", "1", TASK, 1);
	rig_clear(&rig);
	rig_store(&rig);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 0);
	rig_report_run(&rig, "a", "1", TASK, 1);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_STOP), ==, 1);
	rig_report(&rig, "a", "1");
	rig_store(&rig);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 1);
	rig_close(&rig);
}

/*
 * Seen on ozav, mix seed 88164461423: a successor ordered starts of runs that
 * it had not seen yet, a draining worker's executor refused them, and they were
 * begun elsewhere as well.
 */
static void test_successor_looks_before_it_orders(void)
{
	sched_rig_t rig;
	sched_rig_t old;
	gn_sched_write_t write;
	Gn__JobRecord *record;

	rig_open(&old);
	rig_report(&old, "a", "1");
	rig_submit(&old, JOB, "batch", &one_task, 1);
	gn_sched_pass(old.sched);
	g_assert_cmpuint(gn_sched_take_writes(old.sched, &write, 1), ==, 1);
	record = gn__job_record__unpack(NULL, write.len, write.value);
	free(write.value);
	rig_close(&old);

	rig_open(&rig);
	g_assert_cmpint(gn_sched_load(rig.sched, record->spec, record->state),
			==, GN_OK);
	record->spec = NULL;
	gn__job_record__free_unpacked(record, NULL);
	gn_sched_loaded(rig.sched);
	rig_report_stale_list(&rig, "a", "1", 100);
	rig_advance_ms(&rig, 400);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 0);
	rig_report_run(&rig, "a", "1", TASK, 1);
	rig_advance_ms(&rig, 400);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 0);
	rig_close(&rig);
}

/* ======   Attempts   ====== */

static void test_attempts_are_used_up(void)
{
	sched_rig_t rig;

	rig_open_with_running_task(&rig, &one_task);
	rig_report_end(&rig, "a", "1", TASK, 1, GN_END_FAILED);
	rig_store(&rig);
	g_assert_cmpint(rig_phase(&rig, JOB), ==, GN_JOB_RUNNING);
	rig_report_end(&rig, "a", "1", TASK, 2, GN_END_STOPPED);
	rig_store(&rig);
	g_assert_cmpint(rig_phase(&rig, JOB), ==, GN_JOB_RUNNING);
	rig_report_end(&rig, "a", "1", TASK, 3, GN_END_FAILED);
	g_assert_cmpint(rig_phase(&rig, JOB), ==, GN_JOB_FAILED);
	rig_close(&rig);
}

static void test_standing_task_comes_back_however_it_ends(void)
{
	const rig_step_t standing = { .count = 1,
				      .cpu_milli = 1000,
				      .flags = RIG_STANDING };
	sched_rig_t rig;

	rig_open_with_running_task(&rig, &standing);
	for (uint32_t attempt = 1; attempt < 7; attempt++) {
		rig_report_end(&rig, "a", "1", TASK, attempt, GN_END_FAILED);
		rig_advance_ms(&rig, 3000);
		rig_report(&rig, "a", "1");
		rig_store(&rig);
		g_assert_cmpuint(
			rig_find_order(&rig, GN_RUN_ORDER_START, TASK)->attempt,
			==, attempt + 1);
	}
	rig_close(&rig);
}

/* ======   Callers   ====== */

static void test_same_id_is_one_job(void)
{
	sched_rig_t rig;
	gn_sched_reply_t reply;

	rig_open(&rig);
	reply = rig_submit(&rig, JOB, "quick", &one_task, 1);
	g_assert_cmpuint(reply.version, >, 0);
	reply = rig_submit(&rig, JOB, "quick", &one_task, 1);
	g_assert_cmpuint(reply.version, >, 0);
	rig_store(&rig);
	reply = rig_submit(&rig, JOB, "quick", &one_task, 1);
	g_assert_cmpuint(reply.version, ==, 0);
	g_assert_cmpuint(gn_sched_figures(rig.sched).jobs, ==, 1);
	rig_close(&rig);
}

static void test_cancel_before_the_start_is_sent(void)
{
	sched_rig_t rig;

	rig_open(&rig);
	rig_report(&rig, "a", "1");
	rig_submit(&rig, JOB, "quick", &one_task, 1);
	gn_sched_pass(rig.sched);
	gn_sched_cancel(rig.sched, JOB);
	rig_store(&rig);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 0);
	g_assert_cmpint(rig_phase(&rig, JOB), ==, GN_JOB_CANCELLED);
	g_assert_cmpuint(gn_sched_figures(rig.sched).claims, ==, 0);
	rig_close(&rig);
}

static void test_cancel_stops_until_the_end_is_listed(void)
{
	sched_rig_t rig;

	rig_open_with_running_task(&rig, &one_task);
	gn_sched_cancel(rig.sched, JOB);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_STOP), ==, 1);
	rig_advance_ms(&rig, 400);
	rig_report_run(&rig, "a", "1", TASK, 1);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_STOP), ==, 2);
	rig_report_end(&rig, "a", "1", TASK, 1, GN_END_STOPPED);
	rig_store(&rig);
	rig_clear(&rig);
	rig_advance_ms(&rig, 400);
	g_assert_cmpuint(rig.orders->len, ==, 0);
	rig_close(&rig);
}

/* Seen on ozav, trouble-1: claims that were never started. */
static void test_job_waits_until_a_run_is_seen(void)
{
	sched_rig_t rig;

	rig_open(&rig);
	rig_report(&rig, "a", "1");
	rig_submit(&rig, JOB, "quick", &one_task, 1);
	rig_store(&rig);
	g_assert_cmpuint(gn_sched_count_waiting(rig.sched, "quick").waiting, ==,
			 1);
	rig_report_run(&rig, "a", "1", TASK, 1);
	g_assert_cmpuint(gn_sched_count_waiting(rig.sched, "quick").waiting, ==,
			 0);
	rig_close(&rig);
}

static void test_finished_job_is_forgotten_in_the_store_first(void)
{
	sched_rig_t rig;
	gn_sched_write_t write;

	rig_open_with_running_task(&rig, &one_task);
	rig_report_end(&rig, "a", "1", TASK, 1, GN_END_DONE);
	rig_store(&rig);
	rig_advance_ms(&rig, 59000);
	g_assert_false(gn_sched_is_dirty(rig.sched));
	rig_advance_ms(&rig, 2000);
	g_assert_cmpuint(gn_sched_take_writes(rig.sched, &write, 1), ==, 1);
	g_assert_true(write.remove);
	g_assert_cmpint(rig_phase(&rig, JOB), ==, GN_JOB_COMPLETED);
	gn_sched_written(rig.sched);
	g_assert_cmpint(gn_sched_state(rig.sched, JOB).result, ==,
			GN_RESULT_NOT_FOUND);
	rig_close(&rig);
}

/* ======   Load   ====== */

/* What is late already yields to what can still be in time. */
static void test_late_job_yields(void)
{
	const rig_step_t wide = { .count = 4,
				  .cpu_milli = 1000,
				  .estimate_ms = 1000 };
	sched_rig_t rig;

	rig_open(&rig);
	rig_submit(&rig, JOB, "batch", &wide, 1);
	rig_advance_ms(&rig, 4000);
	rig_submit(&rig, OTHER, "batch", &wide, 1);
	rig_report(&rig, "a", "1");
	rig_store(&rig);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 4);
	g_assert_nonnull(
		rig_find_order(&rig, GN_RUN_ORDER_START, OTHER ".0.0.0"));
	rig_close(&rig);
}

static void test_quick_goes_before_batch(void)
{
	const rig_step_t wide = { .count = 4,
				  .cpu_milli = 1000,
				  .estimate_ms = 1000 };
	sched_rig_t rig;

	rig_open(&rig);
	rig_submit(&rig, JOB, "batch", &wide, 1);
	rig_submit(&rig, OTHER, "quick", &one_task, 1);
	rig_report(&rig, "a", "1");
	rig_store(&rig);
	g_assert_nonnull(
		rig_find_order(&rig, GN_RUN_ORDER_START, OTHER ".0.0.0"));
	rig_close(&rig);
}

static void test_no_worker_gets_more_than_it_has(void)
{
	const rig_step_t wide = { .count = 9,
				  .cpu_milli = 1000,
				  .estimate_ms = 1000 };
	sched_rig_t rig;

	rig_open(&rig);
	rig_report(&rig, "a", "1");
	rig_report(&rig, "b", "1");
	rig_submit(&rig, JOB, "batch", &wide, 1);
	rig_store(&rig);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 8);
	rig_close(&rig);
}

static void test_spread(void)
{
	const rig_step_t spread = { .count = 4,
				    .cpu_milli = 100,
				    .per_worker = 1 };
	sched_rig_t rig;

	rig_open(&rig);
	rig_report(&rig, "a", "1");
	rig_report(&rig, "b", "1");
	rig_submit(&rig, JOB, "batch", &spread, 1);
	rig_store(&rig);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 2);
	rig_close(&rig);
}

/* ======   Gangs   ====== */

static const rig_step_t gang = {
	.count = 3, .cpu_milli = 3000, .estimate_ms = 1000, .flags = RIG_GANG
};

static void open_gang(sched_rig_t *rig)
{
	rig_open(rig);
	rig_report(rig, "a", "1");
	rig_report(rig, "b", "1");
	rig_submit(rig, JOB, "batch", &gang, 1);
	rig_store(rig);
	/* two of three would fit */
	g_assert_cmpuint(rig_count_orders(rig, GN_RUN_ORDER_START), ==, 0);
	rig_report(rig, "c", "1");
	rig_store(rig);
	g_assert_cmpuint(rig_count_orders(rig, GN_RUN_ORDER_START), ==, 3);
	rig_clear(rig);
}

static const char *host_of(const sched_rig_t *rig, unsigned member)
{
	g_autofree char *task = g_strdup_printf("%s.0.0.%u", JOB, member);

	return rig_find_order(rig, GN_RUN_ORDER_START, task)->host;
}

static void test_gang_ends_and_starts_as_one(void)
{
	sched_rig_t rig;
	char hosts[3][8];

	rig_open(&rig);
	rig_report(&rig, "a", "1");
	rig_report(&rig, "b", "1");
	rig_report(&rig, "c", "1");
	rig_submit(&rig, JOB, "batch", &gang, 1);
	rig_store(&rig);
	for (unsigned i = 0; i < 3; i++)
		g_strlcpy(hosts[i], host_of(&rig, i), sizeof(hosts[i]));
	rig_clear(&rig);
	rig_report_end(&rig, hosts[1], "1", JOB ".0.0.1", 1, GN_END_FAILED);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_STOP), ==, 2);
	rig_store(&rig);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 0);
	rig_report_end(&rig, hosts[0], "1", JOB ".0.0.0", 1, GN_END_BROKEN);
	rig_report_end(&rig, hosts[2], "1", JOB ".0.0.2", 1, GN_END_BROKEN);
	rig_store(&rig);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 3);
	for (unsigned i = 0; i < 3; i++) {
		g_autofree char *task = g_strdup_printf("%s.0.0.%u", JOB, i);

		g_assert_cmpuint(
			rig_find_order(&rig, GN_RUN_ORDER_START, task)->attempt,
			==, 2);
	}
	rig_close(&rig);
}

static void test_gang_is_placed_whole_or_not(void)
{
	sched_rig_t rig;

	open_gang(&rig);
	rig_close(&rig);
}

static void test_one_end_as_done_is_all(void)
{
	sched_rig_t rig;

	open_gang(&rig);
	rig_report_end(&rig, "a", "1", JOB ".0.0.0", 1, GN_END_DONE);
	rig_report_end(&rig, "a", "1", JOB ".0.0.1", 1, GN_END_DONE);
	rig_report_end(&rig, "a", "1", JOB ".0.0.2", 1, GN_END_DONE);
	g_assert_cmpint(rig_phase(&rig, JOB), ==, GN_JOB_COMPLETED);
	g_assert_cmpuint(gn_sched_figures(rig.sched).claims, ==, 0);
	rig_close(&rig);
}

static void test_gang_fails_by_its_attempts(void)
{
	sched_rig_t rig;

	open_gang(&rig);
	for (uint32_t attempt = 1; attempt <= 2; attempt++) {
		/* another member fails each time; "batch" allows two */
		g_autofree char *task =
			g_strdup_printf("%s.0.0.%u", JOB, attempt);

		for (unsigned i = 0; i < 3; i++) {
			const char *hosts[] = { "a", "b", "c" };

			rig_report_end(&rig, hosts[i], "1", task, attempt,
				       GN_END_FAILED);
		}
		for (unsigned i = 0; i < 9; i++) {
			const char *hosts[] = { "a", "b", "c" };
			g_autofree char *other =
				g_strdup_printf("%s.0.0.%u", JOB, i / 3);

			rig_report_end(&rig, hosts[i % 3], "1", other, attempt,
				       GN_END_BROKEN);
		}
		rig_store(&rig);
	}
	g_assert_cmpint(rig_phase(&rig, JOB), ==, GN_JOB_FAILED);
	rig_close(&rig);
}

/* ======   Advice   ====== */

static void test_advised_step_starts_where_it_may(void)
{
	const gn_sched_ticket_t ticket = { "2", "t-2" };
	sched_rig_t rig;

	rig_open(&rig);
	rig_report(&rig, "a", "1");
	rig_report(&rig, "b", "2");
	rig_submit(&rig, JOB, "advised", &one_task, 1);
	rig_store(&rig);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 0);
	g_assert_cmpstr(rig.asked_step, ==, JOB ".0.0");
	g_assert_cmpuint(rig.asked_lives, ==, 2);
	gn_sched_advise(rig.sched, JOB ".0.0", &ticket, 1, 3000);
	rig_store(&rig);
	g_assert_cmpstr(rig_find_order(&rig, GN_RUN_ORDER_START, TASK)->host,
			==, "b");
	g_assert_cmpstr(rig_find_order(&rig, GN_RUN_ORDER_START, TASK)->ticket,
			==, "t-2");
	g_assert_cmpuint(rig.asks, ==, 1);
	rig_close(&rig);
}

static void test_advice_is_asked_again(void)
{
	const gn_sched_ticket_t ticket = { "1", "t-1" };
	sched_rig_t rig;

	rig_open(&rig);
	rig_report(&rig, "a", "1");
	rig_submit(&rig, JOB, "advised", &one_task, 1);
	rig_store(&rig);
	/* refused by the adviser: not at once */
	gn_sched_advise(rig.sched, JOB ".0.0", NULL, 0, 0);
	rig_advance_ms(&rig, 100);
	g_assert_cmpuint(rig.asks, ==, 1);
	rig_advance_ms(&rig, 200);
	rig_report(&rig, "a", "1");
	g_assert_cmpuint(rig.asks, ==, 2);
	/* a ticket that runs out before its use */
	gn_sched_advise(rig.sched, JOB ".0.0", &ticket, 1, 100);
	rig_store(&rig);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 0);
	g_assert_cmpuint(rig.asks, ==, 3);
	rig_close(&rig);
}

static void test_events_tell_the_age_of_the_list(void)
{
	sched_rig_t rig;

	rig_open(&rig);
	rig_report(&rig, "a", "1");
	rig_advance_ms(&rig, 300);
	rig_submit(&rig, JOB, "quick", &one_task, 1);
	gn_sched_pass(rig.sched);
	g_assert_cmpstr(rig.last_event, ==, "claim");
	g_assert_cmpint(rig.last_event_list_age_ms, ==, 300);
	rig_close(&rig);
}

int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		GTestFunc run;
	} tests[] = {
		{ "no_start_before_its_claim_is_stored",
		  test_no_start_before_its_claim_is_stored },
		{ "lost_start_is_sent_again", test_lost_start_is_sent_again },
		{ "no_start_to_a_worker_without_a_list",
		  test_no_start_to_a_worker_without_a_list },
		{ "end_is_stored_before_it_is_forgotten",
		  test_end_is_stored_before_it_is_forgotten },
		{ "steps_follow_each_other", test_steps_follow_each_other },
		{ "silent_executor_keeps_its_claim_for_a_lease",
		  test_silent_executor_keeps_its_claim_for_a_lease },
		{ "silent_worker_loses_its_claim",
		  test_silent_worker_loses_its_claim },
		{ "worker_without_a_list_gets_nothing",
		  test_worker_without_a_list_gets_nothing },
		{ "new_life_ends_claims_at_once",
		  test_new_life_ends_claims_at_once },
		{ "done_before_a_lapse_is_not_repeated",
		  test_done_before_a_lapse_is_not_repeated },
		{ "done_of_an_earlier_attempt_is_void",
		  test_done_of_an_earlier_attempt_is_void },
		{ "run_without_a_claim_is_stopped_and_takes_room",
		  test_run_without_a_claim_is_stopped_and_takes_room },
		{ "successor_looks_before_it_orders",
		  test_successor_looks_before_it_orders },
		{ "attempts_are_used_up", test_attempts_are_used_up },
		{ "standing_task_comes_back_however_it_ends",
		  test_standing_task_comes_back_however_it_ends },
		{ "same_id_is_one_job", test_same_id_is_one_job },
		{ "cancel_before_the_start_is_sent",
		  test_cancel_before_the_start_is_sent },
		{ "cancel_stops_until_the_end_is_listed",
		  test_cancel_stops_until_the_end_is_listed },
		{ "job_waits_until_a_run_is_seen",
		  test_job_waits_until_a_run_is_seen },
		{ "finished_job_is_forgotten_in_the_store_first",
		  test_finished_job_is_forgotten_in_the_store_first },
		{ "late_job_yields", test_late_job_yields },
		{ "quick_goes_before_batch", test_quick_goes_before_batch },
		{ "no_worker_gets_more_than_it_has",
		  test_no_worker_gets_more_than_it_has },
		{ "spread", test_spread },
		{ "gang_is_placed_whole_or_not",
		  test_gang_is_placed_whole_or_not },
		{ "gang_ends_and_starts_as_one",
		  test_gang_ends_and_starts_as_one },
		{ "one_end_as_done_is_all", test_one_end_as_done_is_all },
		{ "advised_step_starts_where_it_may",
		  test_advised_step_starts_where_it_may },
		{ "advice_is_asked_again", test_advice_is_asked_again },
		{ "gang_fails_by_its_attempts",
		  test_gang_fails_by_its_attempts },
	};

	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(tests); i++) {
		g_autofree char *path =
			g_strdup_printf("/sched/%s", tests[i].name);

		g_test_add_func(path, tests[i].run);
	}
	g_test_add_func("/sched/events_tell_the_age_of_the_list",
			test_events_tell_the_age_of_the_list);
	return g_test_run();
}
