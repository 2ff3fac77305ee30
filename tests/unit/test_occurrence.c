/**
 * @file test_occurrence.c
 * @brief Jobs of many occurrences hold only what is due, and what is accepted at
 *        the door has a bound in memory.
 */
#include <malloc.h>
#include <stdio.h>

#include "occurrence/occurrence.h"
#include "support/sched_rig.h"

#define JOB "00000000000000a1"
#define DAY_MS (24 * 3600 * 1000ULL)
#define HOUR_MS (3600 * 1000ULL)
/** Every hour for two years. */
#define MANY 17520
#define JOBS 60
/** Memory that one such job may take, bytes. */
#define JOB_BYTES_MAX (24 * 1024)

static const rig_step_t step = { .count = 1,
				 .cpu_milli = 100,
				 .estimate_ms = 1000 };

static uint64_t get_wall_ms(const sched_rig_t *rig)
{
	return gn_clock_now_us(&rig->wall) / GN_US_PER_MS;
}

/* Lets the jobs submitted from now on repeat, first after @p delay_ms. */
static void repeat(sched_rig_t *rig, uint32_t count, uint64_t delay_ms,
		   uint64_t interval_ms)
{
	rig->repeats = count;
	rig->first_due_ms = get_wall_ms(rig) + delay_ms;
	rig->interval_ms = interval_ms;
}

static const char *get_name(uint32_t occurrence)
{
	static char name[GN_TASK_NAME_SIZE];

	snprintf(name, sizeof(name), JOB ".%u.0.0", occurrence);
	return name;
}

static bool is_started(sched_rig_t *rig, uint32_t occurrence)
{
	return rig_find_order(rig, GN_RUN_ORDER_START, get_name(occurrence)) !=
	       NULL;
}

static void run(sched_rig_t *rig, uint32_t occurrence)
{
	g_assert_true(is_started(rig, occurrence));
	rig_report_end(rig, "a", "1", get_name(occurrence), 1, GN_END_DONE);
	rig_store(rig);
}

/* Reports and advances in steps in which the worker stays live. */
static void wait_ms(sched_rig_t *rig, unsigned ms)
{
	for (; ms; ms -= 500) {
		rig_advance_ms(rig, 500);
		rig_report(rig, "a", "1");
		rig_store(rig);
	}
}

/* ======   The decision   ====== */

static void test_states(void)
{
	gn_occurrences_t all;

	gn_occurrences_init(&all, 9);
	g_assert_cmpuint(gn_occurrences_first_waiting(&all), ==, 0);
	for (uint32_t i = 0; i < 9; i++)
		gn_occurrences_set(&all, i, i % 3);
	g_assert_cmpuint(all.open, ==, 3);
	g_assert_cmpuint(all.done, ==, 3);
	for (uint32_t i = 0; i < 9; i++)
		g_assert_cmpuint(gn_occurrences_get(&all, i), ==, i % 3);
	gn_occurrences_set(&all, 0, GN_OCCURRENCE_DONE);
	g_assert_cmpuint(gn_occurrences_first_waiting(&all), ==, 3);
	gn_occurrences_clear(&all);
}

static void test_room(void)
{
	const struct {
		gn_occurrence_room_t room;
		bool may_open;
	} cases[] = {
		{ { 1, 0, 0 }, true },		{ { 20000, 0, 0 }, true },
		{ { 1, 1999, 1999 }, true },	{ { 1, 2000, 2000 }, false },
		{ { 20000, 0, 130000 }, true }, { { 20000, 0, 130001 }, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpint(gn_occurrence_may_open(&cases[i].room), ==,
				cases[i].may_open);
	g_assert_true(gn_occurrence_may_accept(20000, 130000));
	g_assert_false(gn_occurrence_may_accept(20000, 130001));
}

/* ======   Jobs   ====== */

/* Guards against a leader that is over its memory by jobs that are due later. */
static void test_jobs_that_are_due_later_take_little_memory(void)
{
	size_t before;
	size_t taken;
	sched_rig_t rig;

	rig_open(&rig);
	repeat(&rig, MANY, DAY_MS, HOUR_MS);
	before = mallinfo2().uordblks + mallinfo2().hblkhd;
	for (unsigned i = 0; i < JOBS; i++) {
		char id[GN_JOB_ID_LEN + 1];

		snprintf(id, sizeof(id), "%016x", i);
		g_assert_cmpint(rig_submit(&rig, id, "quick", &step, 1).result,
				==, GN_RESULT_OK);
	}
	taken = mallinfo2().uordblks + mallinfo2().hblkhd - before;
	g_assert_cmpuint(taken, <, JOBS * JOB_BYTES_MAX);
	rig_store(&rig);
	before = mallinfo2().uordblks + mallinfo2().hblkhd;
	rig_change_leader(&rig);
	rig_configure(&rig);
	taken = mallinfo2().uordblks + mallinfo2().hblkhd;
	g_assert_cmpuint(taken, <, before + JOBS * JOB_BYTES_MAX);
	rig_close(&rig);
}

static void test_each_occurrence_runs_once_when_it_is_due(void)
{
	sched_rig_t rig;

	rig_open(&rig);
	rig_report(&rig, "a", "1");
	repeat(&rig, 3, 1000, 2000);
	rig_submit(&rig, JOB, "quick", &step, 1);
	rig_store(&rig);
	for (uint32_t i = 0; i < 3; i++) {
		g_assert_false(is_started(&rig, i));
		wait_ms(&rig, i ? 2000 : 1000);
		run(&rig, i);
	}
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 3);
	g_assert_cmpint(rig_phase(&rig, JOB), ==, GN_JOB_COMPLETED);
	rig_close(&rig);
}

/* Guards against an end of a closed occurrence that the next leader forgets; the
 * rows are those that older builds read and write. */
static void test_next_leader_knows_the_closed_occurrences(void)
{
	const Gn__JobRecord *record;
	sched_rig_t rig;

	rig_open(&rig);
	rig_report(&rig, "a", "1");
	repeat(&rig, 4, 500, 500);
	rig_submit(&rig, JOB, "quick", &step, 1);
	rig_store(&rig);
	for (uint32_t i = 0; i < 2; i++) {
		wait_ms(&rig, 500);
		run(&rig, i);
	}
	wait_ms(&rig, 500);
	g_assert_true(is_started(&rig, 2));
	record = g_hash_table_lookup(rig.records, JOB);
	g_assert_cmpuint(record->state->n_tasks, ==, 3);
	for (size_t i = 0; i < record->state->n_tasks; i++)
		g_assert_cmpuint(record->state->tasks[i]->attempt, ==, 1);
	rig_change_leader(&rig);
	rig_configure(&rig);
	rig_clear(&rig);
	rig_report_end(&rig, "a", "1", get_name(2), 1, GN_END_DONE);
	rig_store(&rig);
	wait_ms(&rig, 500);
	run(&rig, 3);
	g_assert_cmpuint(rig_count_orders(&rig, GN_RUN_ORDER_START), ==, 1);
	g_assert_cmpint(rig_phase(&rig, JOB), ==, GN_JOB_COMPLETED);
	rig_close(&rig);
}

/* Guards against a job that is over the memory by occurrences that are due at
 * once, and against one that stands still then. */
static void test_due_occurrences_are_opened_in_pieces(void)
{
	const unsigned count = GN_OCCURRENCE_JOB_TASKS_MAX + 5;
	sched_rig_t rig;

	rig_open(&rig);
	repeat(&rig, count, 0, 0);
	rig_submit(&rig, JOB, "quick", &step, 1);
	rig_store(&rig);
	g_assert_cmpuint(gn_sched_stats(rig.sched).waiting_tasks, ==,
			 GN_OCCURRENCE_JOB_TASKS_MAX);
	rig_report(&rig, "a", "1");
	rig_store(&rig);
	run(&rig, 0);
	rig_advance_ms(&rig, 100);
	g_assert_cmpuint(gn_sched_stats(rig.sched).waiting_tasks +
				 gn_sched_stats(rig.sched).claims,
			 ==, GN_OCCURRENCE_JOB_TASKS_MAX);
	rig_close(&rig);
}

/* Guards against steps that wait for others and are in no backlog. */
static void test_job_beyond_the_bound_of_tasks_is_refused(void)
{
	const rig_step_t steps[] = {
		{ .count = 1, .cpu_milli = 100, .estimate_ms = 1000 },
		{ .count = 14999, .cpu_milli = 100, .estimate_ms = 1000 }
	};
	gn_sched_reply_t reply;
	sched_rig_t rig;

	rig_open(&rig);
	for (unsigned i = 0; i < 10; i++) {
		char id[GN_JOB_ID_LEN + 1];

		/* Nothing waits, so that the backlog takes the next one. */
		rig_report(&rig, "a", "1");
		snprintf(id, sizeof(id), "%016x", i);
		reply = rig_submit(&rig, id, "quick", steps, 2);
		g_assert_cmpint(reply.result, ==, GN_RESULT_OK);
		rig_store(&rig);
	}
	reply = rig_submit(&rig, JOB, "quick", steps, 1);
	g_assert_cmpint(reply.result, ==, GN_RESULT_REFUSED);
	g_assert_cmpstr(reply.reason, ==, "limit of 150000 unfinished tasks");
	g_assert_cmpuint(reply.retry_after_ms, >, 0);
	gn_sched_cancel(rig.sched, "0000000000000000");
	reply = rig_submit(&rig, JOB, "quick", steps, 1);
	g_assert_cmpint(reply.result, ==, GN_RESULT_OK);
	rig_close(&rig);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
#define ADD(name) g_test_add_func("/occurrence/" #name, test_##name)
	ADD(states);
	ADD(room);
	ADD(jobs_that_are_due_later_take_little_memory);
	ADD(each_occurrence_runs_once_when_it_is_due);
	ADD(next_leader_knows_the_closed_occurrences);
	ADD(due_occurrences_are_opened_in_pieces);
	ADD(job_beyond_the_bound_of_tasks_is_refused);
	return g_test_run();
}
