#include <glib.h>
#include <string.h>

#include "executor/orders.h"

#define TASK "00000000000000aa.0.0.0"
static const gn_life_t life = { "i-1", 1 };

#define STEP_MS 50
#define LEASE_US (4000 * GN_US_PER_MS)

/* ======   A worker, and what leaves the executor   ====== */

/** Orders at a worker that knows one task. */
typedef struct rig_s {
	gn_clock_t clock;
	gn_grant_t grant;
	gn_orders_t *orders;
	/** Outcome of the next starts, until the worker has recovered. */
	gn_worker_call_outcome_t refusal;
	bool is_healthy;
	bool runs;
	uint32_t
		closed_attempt; /**< This attempt and lower ones can't start. */
	GQueue calls; /**< Calls (gn_order_call_t) without an answer yet. */
	GString *trace; /**< One line for each call and each outcome. */
	int outcome; /**< Last outcome, or -1. */
} rig_t;

static bool send_call(void *arg, gn_worker_call_t *call, unsigned timeout_ms,
		      gn_order_call_t *sent)
{
	static const char *const names[] = { [GN_WORKER_LIST] = "list",
					     [GN_WORKER_START] = "start",
					     [GN_WORKER_STOP] = "stop",
					     [GN_WORKER_PACE] = "pace" };
	rig_t *rig = arg;

	g_assert_cmpuint(timeout_ms, >, 0);
	g_string_append_printf(rig->trace, "call %s %u\n", names[call->kind],
			       call->attempt);
	g_queue_push_tail(&rig->calls, sent);
	return true;
}

static void report(void *arg, const gn_order_t *order,
		   gn_run_order_outcome_t outcome)
{
	rig_t *rig = arg;

	g_string_append_printf(rig->trace, "report %s %u\n",
			       gn_run_order_outcome_name(outcome),
			       order->attempt);
	rig->outcome = (int)outcome;
}

static void log_taken(void *arg, const gn_order_t *order)
{
	rig_t *rig = arg;

	g_string_append_printf(rig->trace, "take %s %u\n",
			       gn_run_order_kind_name(order->kind),
			       order->attempt);
}

static const gn_orders_ops_t ops = { send_call, report, log_taken };

static void restart_executor(rig_t *rig)
{
	talloc_free(rig->orders);
	rig->orders =
		gn_orders_create(NULL, &rig->clock, &rig->grant, &ops, rig);
	gn_orders_begin_life(rig->orders, life);
}

static void rig_open(rig_t *rig, gn_worker_call_outcome_t refusal)
{
	memset(rig, 0, sizeof(*rig));
	gn_clock_init_paused(&rig->clock, GN_US_PER_S);
	rig->grant.lease_us = LEASE_US;
	rig->refusal = refusal;
	rig->outcome = -1;
	rig->trace = g_string_new(NULL);
	g_queue_init(&rig->calls);
	restart_executor(rig);
}

static void rig_close(rig_t *rig)
{
	talloc_free(rig->orders);
	g_queue_clear_full(&rig->calls, g_free);
	g_string_free(rig->trace, TRUE);
}

static void order(rig_t *rig, gn_run_order_kind_t kind, uint32_t attempt)
{
	Gn__WorkerOrder message = GN__WORKER_ORDER__INIT;

	message.kind = kind;
	message.task = (char *)TASK;
	message.attempt = attempt;
	message.life = (char *)life.id;
	message.born_ms = life.started_ms;
	gn_orders_handle(rig->orders, &message, gn_clock_now_us(&rig->clock));
}

static gn_worker_call_outcome_t carry_out(rig_t *rig,
					  const gn_order_call_t *call)
{
	uint32_t attempt = call->order->attempt;

	if (call->kind == GN_WORKER_STOP) {
		rig->runs = false;
		rig->closed_attempt = MAX(rig->closed_attempt, attempt);
		return GN_WORKER_OK;
	}
	if (!rig->is_healthy)
		return rig->refusal;
	if (attempt <= rig->closed_attempt)
		return GN_WORKER_RUN_OVER;
	rig->runs = true;
	return GN_WORKER_OK;
}

static void answer_calls(rig_t *rig)
{
	gn_order_call_t *call;

	while ((call = g_queue_pop_head(&rig->calls)))
		gn_orders_handle_answer(call, carry_out(rig, call));
}

/* The worker lists what it runs. */
static void list(rig_t *rig)
{
	Gn__WorkerRun run = GN__WORKER_RUN__INIT;
	Gn__WorkerRun *runs[] = { &run };
	gn_worker_answer_t answer = { .runs = runs, .run_count = rig->runs };

	run.task = (char *)TASK;
	run.attempt = rig->closed_attempt + 1;
	gn_orders_handle_list(rig->orders, &answer,
			      gn_clock_now_us(&rig->clock));
}

/* Passes time; the leader answers reports and the worker its calls. */
static void play(rig_t *rig, unsigned ms)
{
	for (unsigned t = 0; t < ms; t += STEP_MS) {
		uint64_t now_us = gn_clock_now_us(&rig->clock);

		gn_grant_record_answer(&rig->grant, now_us);
		gn_grant_record_clock(&rig->grant, now_us / GN_US_PER_MS,
				      now_us);
		gn_orders_tick(rig->orders);
		answer_calls(rig);
		list(rig);
		gn_clock_advance(&rig->clock, STEP_MS * GN_US_PER_MS);
	}
}

/* ======   Refused starts   ====== */

typedef struct refusal_s {
	const char *name;
	gn_worker_call_outcome_t answer;
	gn_run_order_outcome_t outcome;
} refusal_t;

static const refusal_t refusals[] = {
	{ "unhealthy", GN_WORKER_UNHEALTHY, GN_ORDER_OUTCOME_NOT_STARTED },
	{ "full", GN_WORKER_FULL, GN_ORDER_OUTCOME_NO_ROOM },
	{ "no-ticket", GN_WORKER_NO_TICKET, GN_ORDER_OUTCOME_NO_TICKET },
	{ "malformed", GN_WORKER_MALFORMED, GN_ORDER_OUTCOME_MALFORMED },
	{ "unsent", GN_WORKER_UNSENT, GN_ORDER_OUTCOME_NOT_STARTED },
	{ "late", GN_WORKER_LEASE_EXPIRED, GN_ORDER_OUTCOME_NOT_STARTED },
	{ "fenced", GN_WORKER_FENCED, GN_ORDER_OUTCOME_NOT_STARTED },
};

static void play_refused_start(rig_t *rig, const refusal_t *refusal)
{
	rig_open(rig, refusal->answer);
	play(rig, STEP_MS);
	order(rig, GN_RUN_ORDER_START, 1);
	play(rig, 1000);
	g_assert_cmpint(rig->outcome, ==, (int)refusal->outcome);
	rig->is_healthy = true;
}

/* The leader repeats a start while its outcome is under way. */
static void test_repeated_start_runs_after_refusal(gconstpointer data)
{
	rig_t rig;

	play_refused_start(&rig, data);
	order(&rig, GN_RUN_ORDER_START, 1);
	play(&rig, 1000);
	g_assert_false(rig.runs);
	order(&rig, GN_RUN_ORDER_START, 2);
	play(&rig, 1000);
	g_assert_true(rig.runs);
	rig_close(&rig);
}

static void test_repeated_start_runs_after_executor_restart(gconstpointer data)
{
	rig_t rig;

	play_refused_start(&rig, data);
	restart_executor(&rig);
	order(&rig, GN_RUN_ORDER_START, 1);
	play(&rig, 1000);
	g_assert_false(rig.runs);
	rig_close(&rig);
}

static void test_refusal_is_reported_before_attempt_is_closed(void)
{
	rig_t rig;

	rig_open(&rig, GN_WORKER_UNHEALTHY);
	play(&rig, STEP_MS);
	order(&rig, GN_RUN_ORDER_START, 1);
	play(&rig, 500);
	rig.is_healthy = true;
	order(&rig, GN_RUN_ORDER_START, 1);
	play(&rig, 500);
	g_assert_cmpstr(rig.trace->str, ==,
			"take start 1\n"
			"call start 1\n"
			"call stop 1\n"
			"report not-started 1\n"
			"take start 1\n"
			"call start 1\n"
			"report gone 1\n");
	rig_close(&rig);
}

/* ======   Orders in progress   ====== */

static void test_repeated_start_in_progress_makes_one_call(void)
{
	rig_t rig;

	rig_open(&rig, GN_WORKER_OK);
	play(&rig, STEP_MS);
	order(&rig, GN_RUN_ORDER_START, 1);
	order(&rig, GN_RUN_ORDER_START, 1);
	rig.is_healthy = true;
	play(&rig, 500);
	g_assert_cmpstr(rig.trace->str, ==,
			"take start 1\n"
			"call start 1\n"
			"report started 1\n");
	rig_close(&rig);
}

static void test_stop_during_start_call_stops_the_run(void)
{
	rig_t rig;

	rig_open(&rig, GN_WORKER_OK);
	rig.is_healthy = true;
	play(&rig, STEP_MS);
	order(&rig, GN_RUN_ORDER_START, 1);
	order(&rig, GN_RUN_ORDER_STOP, 1);
	play(&rig, 500);
	g_assert_false(rig.runs);
	g_assert_cmpstr(rig.trace->str, ==,
			"take start 1\n"
			"call start 1\n"
			"call stop 1\n"
			"report gone 1\n");
	rig_close(&rig);
}

static void test_old_start_is_not_sent(void)
{
	rig_t rig;

	rig_open(&rig, GN_WORKER_OK);
	rig.is_healthy = true;
	gn_clock_advance(&rig.clock, GN_US_PER_S);
	/* Without a lease, the start waits until it is too old. */
	order(&rig, GN_RUN_ORDER_START, 1);
	gn_clock_advance(&rig.clock, GN_GRANT_START_MAX_AGE_MS * GN_US_PER_MS);
	play(&rig, 500);
	g_assert_false(rig.runs);
	g_assert_cmpint(rig.outcome, ==, GN_ORDER_OUTCOME_NOT_STARTED);
	rig_close(&rig);
}

static void test_leaving_worker_gets_no_start(void)
{
	rig_t rig;

	rig_open(&rig, GN_WORKER_OK);
	rig.is_healthy = true;
	play(&rig, STEP_MS);
	gn_orders_refuse_starts(rig.orders);
	order(&rig, GN_RUN_ORDER_START, 1);
	play(&rig, 500);
	g_assert_false(rig.runs);
	g_assert_cmpint(rig.outcome, ==, GN_ORDER_OUTCOME_NOT_STARTED);
	rig_close(&rig);
}

/* ======   Main   ====== */

static void add_refusals(const char *prefix, GTestDataFunc test)
{
	for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++) {
		g_autofree char *path =
			g_strdup_printf("%s/%s", prefix, refusals[i].name);

		g_test_add_data_func(path, &refusals[i], test);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	add_refusals("/orders/repeated_start_runs_after_refusal",
		     test_repeated_start_runs_after_refusal);
	add_refusals("/orders/repeated_start_runs_after_executor_restart",
		     test_repeated_start_runs_after_executor_restart);
	g_test_add_func("/orders/refusal_is_reported_before_attempt_is_closed",
			test_refusal_is_reported_before_attempt_is_closed);
	g_test_add_func("/orders/repeated_start_in_progress_makes_one_call",
			test_repeated_start_in_progress_makes_one_call);
	g_test_add_func("/orders/stop_during_start_call_stops_the_run",
			test_stop_during_start_call_stops_the_run);
	g_test_add_func("/orders/old_start_is_not_sent",
			test_old_start_is_not_sent);
	g_test_add_func("/orders/leaving_worker_gets_no_start",
			test_leaving_worker_gets_no_start);
	return g_test_run();
}
