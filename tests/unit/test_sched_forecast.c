/* Refusals by forecast at submission. */
#include <glib.h>

#include "gypsumnotch.h"
#include "support/sched_rig.h"

/* A job of the queue "batch" that takes the worker's 4 cores for 2.3 s; its
 * objective is 5.6 s, so it is of use for 16.8 s. */
static const rig_step_t whole_worker = { .count = 1,
					 .cpu_milli = 4000,
					 .estimate_ms = 2300,
					 .flags = RIG_BEST_EFFORT };

static gn_sched_reply_t submit(sched_rig_t *rig, unsigned number)
{
	g_autofree char *id = g_strdup_printf("%016x", number);

	return rig_submit(rig, id, "batch", &whole_worker, 1);
}

/* Lets the scheduler learn the rate of an idle worker. */
static void learn_rate(sched_rig_t *rig)
{
	for (unsigned ms = 0; ms < 4000; ms += 200) {
		rig_report(rig, "a", "1");
		rig_advance_ms(rig, 200);
	}
	rig_report(rig, "a", "1");
}

/* Submits a job each millisecond, with a pass after each; returns the number that is accepted
 * before the first refusal, @p max at most. */
static unsigned submit_until_refused(sched_rig_t *rig, unsigned max,
				     gn_sched_reply_t *reply)
{
	for (unsigned i = 0; i < max; i++) {
		*reply = submit(rig, i + 1);
		if (reply->result != GN_RESULT_OK)
			return i;
		rig_store(rig);
		rig_advance_ms(rig, 1);
	}
	return max;
}

/* Guards against refusals where the settings do not ask for them. */
static void test_off_by_default(void)
{
	sched_rig_t rig;
	gn_sched_reply_t reply;

	rig_open(&rig);
	learn_rate(&rig);
	g_assert_cmpuint(submit_until_refused(&rig, 40, &reply), ==, 40);
	g_assert_cmpint(reply.forecast, ==, GN_FORECAST_NOT_ASKED);
	rig_close(&rig);
}

/* Guards against accepted jobs that can only end of no use, and against traces
 * of a refused job. */
static void test_job_of_no_use_is_refused(void)
{
	sched_rig_t rig;
	gn_sched_reply_t reply;
	unsigned accepted;
	g_autofree char *id = NULL;

	rig_open_with_forecast(&rig);
	learn_rate(&rig);
	accepted = submit_until_refused(&rig, 40, &reply);
	/* The worker does 7 such jobs while one of them is of use. */
	g_assert_cmpuint(accepted, >=, 7);
	g_assert_cmpuint(accepted, <, 40);
	g_assert_cmpint(reply.result, ==, GN_RESULT_REFUSED);
	g_assert_cmpint(reply.forecast, ==, GN_FORECAST_NO_USE);
	g_assert_cmpuint(reply.retry_after_ms, >=, 1000);
	g_assert_cmpstr(rig.last_event, ==, "forecast");
	g_assert_cmpuint(gn_sched_stats(rig.sched).jobs, ==, accepted);
	g_assert_cmpuint(gn_sched_stats(rig.sched).active_jobs, ==, accepted);
	g_assert_false(gn_sched_is_dirty(rig.sched));
	id = g_strdup_printf("%016x", accepted + 1);
	g_assert_cmpint(gn_sched_get_state(rig.sched, id).result, ==,
			GN_RESULT_NOT_FOUND);
	/* Known jobs are accepted again. */
	g_assert_cmpint(submit(&rig, 1).result, ==, GN_RESULT_OK);
	rig_close(&rig);
}

/* Guards against refusals of work whose rate is not known. */
static void test_other_kinds_are_accepted(void)
{
	const rig_step_t mixed[] = {
		whole_worker,
		{ .count = 1, .cpu_milli = 1000, .estimate_ms = 2000 },
	};
	sched_rig_t rig;
	gn_sched_reply_t reply;

	rig_open_with_forecast(&rig);
	learn_rate(&rig);
	g_assert_cmpuint(submit_until_refused(&rig, 40, &reply), <, 40);
	reply = rig_submit(&rig, "00000000000000aa", "batch", mixed, 2);
	g_assert_cmpint(reply.result, ==, GN_RESULT_OK);
	reply = rig_submit(&rig, "00000000000000ab", "unknown", &whole_worker,
			   1);
	g_assert_cmpint(reply.result, ==, GN_RESULT_OK);
	rig_close(&rig);
}

/* Guards against refusals although a worker could take the job at once. */
static void test_free_capacity_is_used(void)
{
	const rig_step_t small = { .count = 1,
				   .cpu_milli = 10,
				   .estimate_ms = 2000,
				   .flags = RIG_BEST_EFFORT };
	sched_rig_t rig;
	gn_sched_reply_t reply;

	rig_open_with_forecast(&rig);
	learn_rate(&rig);
	g_assert_cmpuint(submit_until_refused(&rig, 40, &reply), <, 40);
	g_assert_cmpint(submit(&rig, 100).result, ==, GN_RESULT_REFUSED);
	rig_report(&rig, "b", "1");
	g_assert_cmpint(submit(&rig, 101).forecast, ==,
			GN_FORECAST_FREE_CAPACITY);
	reply = rig_submit(&rig, "00000000000000ac", "batch", &small, 1);
	g_assert_cmpint(reply.result, ==, GN_RESULT_OK);
	rig_close(&rig);
}

/* Guards against a new leader that refuses without knowing the rate, and
 * against a caller that must wait for its time there. */
static void test_new_leader_accepts(void)
{
	sched_rig_t rig;
	gn_sched_reply_t reply;
	unsigned accepted;

	rig_open_with_forecast(&rig);
	learn_rate(&rig);
	accepted = submit_until_refused(&rig, 40, &reply);
	g_assert_cmpuint(accepted, <, 40);
	rig_change_leader(&rig);
	rig_configure(&rig);
	rig_report(&rig, "a", "1");
	gn_sched_run_pass(rig.sched);
	reply = submit(&rig, accepted + 1);
	g_assert_cmpint(reply.result, ==, GN_RESULT_OK);
	g_assert_cmpint(reply.forecast, ==, GN_FORECAST_NO_RATE);
	rig_close(&rig);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sched-forecast/off-by-default", test_off_by_default);
	g_test_add_func("/sched-forecast/job-of-no-use-is-refused",
			test_job_of_no_use_is_refused);
	g_test_add_func("/sched-forecast/other-kinds-are-accepted",
			test_other_kinds_are_accepted);
	g_test_add_func("/sched-forecast/free-capacity-is-used",
			test_free_capacity_is_used);
	g_test_add_func("/sched-forecast/new-leader-accepts",
			test_new_leader_accepts);
	return g_test_run();
}
