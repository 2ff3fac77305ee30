#include <glib.h>

#include "batch/worker_tasks.h"
#include "common/str.h"

#define SECOND UINT64_C(1000000)
#define PROMISE_US (10 * SECOND)
#define BUCKET 3

static const gn_worker_tasks_params_t params = {
	.lease_margin_us = SECOND,
	.drift_us = 0,
	.forget_us = 20 * SECOND,
};

typedef struct fixture_s {
	TALLOC_CTX *frame;
	gn_clock_t clock;
	gn_worker_tasks_t *tasks;
	gn_task_t *task;
	bool admits_tasks;
} fixture_t;

static bool admit(void *context, const gn_task_t *task)
{
	(void)task;
	return ((fixture_t *)context)->admits_tasks;
}

static void create_tasks(fixture_t *f)
{
	gn_worker_tasks_gate_t gate = { admit, f };

	f->tasks = gn_worker_tasks_create(f->frame, &params, gate, &f->clock);
}

static void process_list(fixture_t *f, const gn_backend_run_t *runs,
			 size_t count)
{
	g_assert_cmpint(gn_worker_tasks_on_list(f->tasks,
						gn_clock_now_us(&f->clock),
						runs, count),
			==, GN_OK);
}

static void set_up(fixture_t *f, gconstpointer data)
{
	gn_task_request_t request = { .work_class = GN_CLASS_BATCH,
				      .team = GN_STR("t"),
				      .kind = GN_STR("k"),
				      .service = GN_STR("s"),
				      .cores = 2,
				      .spec = GN_STR("x=1") };

	(void)data;
	f->frame = talloc_new(NULL);
	f->admits_tasks = true;
	gn_clock_init_paused(&f->clock, 1000 * SECOND);
	f->task = gn_task_create(f->frame, gn_task_id_make(BUCKET, 1), &request,
				 0);
	create_tasks(f);
	g_assert_cmpuint(gn_worker_tasks_begin_poll(f->tasks), ==, 0);
	process_list(f, NULL, 0);
}

static void tear_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	talloc_free(f->frame);
}

static gn_code_t send_order(fixture_t *f, gn_order_kind_t kind, uint32_t owner,
			    uint32_t claim, uint64_t sent_us)
{
	gn_batch_order_msg_t msg = { .kind = kind,
				     .id = f->task->id,
				     .epoch = gn_task_epoch(owner, claim),
				     .promise_us = PROMISE_US,
				     .task = f->task };

	return gn_worker_tasks_on_orders(f->tasks, BUCKET, owner, sent_us, &msg,
					 1);
}

/** Returns the kind of the next action, GN_ACTION_KIND_COUNT if none. */
static gn_action_kind_t next_action(fixture_t *f, uint64_t *lease_until_us)
{
	gn_action_t *action = gn_worker_tasks_next_action(f->tasks);
	gn_action_kind_t kind;

	if (!action)
		return GN_ACTION_KIND_COUNT;
	kind = action->kind;
	if (lease_until_us)
		*lease_until_us = action->lease_until_us;
	talloc_free(action);
	return kind;
}

static gn_run_state_t reported_state(fixture_t *f)
{
	gn_batch_report_t *reports;
	size_t count;

	gn_worker_tasks_list_reports(f->tasks, BUCKET, f->frame, &reports,
				     &count);
	/* An ended run is reported until stored, but is not running. */
	g_assert_cmpuint(gn_batch_reports_count_running(reports, count), ==,
			 count && reports[0].state == GN_RUN_RUNNING);
	return count ? reports[0].state : GN_RUN_STATE_COUNT;
}

static uint64_t start_run(fixture_t *f)
{
	uint64_t sent_us = gn_worker_tasks_begin_poll(f->tasks);

	g_assert_cmpint(send_order(f, GN_ORDER_START, 2, 1, sent_us), ==,
			GN_OK);
	return sent_us;
}

static void test_run(fixture_t *f, gconstpointer data)
{
	uint64_t until_us = 0;
	uint64_t sent_us;

	(void)data;
	sent_us = gn_worker_tasks_begin_poll(f->tasks);
	gn_clock_advance(&f->clock, 3 * SECOND);
	g_assert_cmpint(send_order(f, GN_ORDER_START, 2, 1, sent_us), ==,
			GN_OK);
	g_assert_cmpint(next_action(f, &until_us), ==, GN_ACTION_START);
	/* The lease counts from the poll and is shortened by the margin. */
	g_assert_cmpuint(until_us, ==,
			 sent_us + PROMISE_US - params.lease_margin_us);
	g_assert_cmpuint(gn_worker_tasks_stats(f->tasks)->cores, ==, 2);
	/* A duplicate order starts nothing. */
	g_assert_cmpint(send_order(f, GN_ORDER_START, 2, 1, sent_us), ==,
			GN_OK);
	g_assert_cmpint(next_action(f, NULL), ==, GN_ACTION_KIND_COUNT);
	sent_us = gn_worker_tasks_begin_poll(f->tasks);
	g_assert_cmpint(send_order(f, GN_ORDER_RENEW, 2, 1, sent_us), ==,
			GN_OK);
	g_assert_cmpint(next_action(f, NULL), ==, GN_ACTION_LEASE);
	gn_worker_tasks_on_event(f->tasks, f->task->id, gn_task_epoch(2, 1),
				 GN_RUN_DONE, 200, GN_STR(""));
	g_assert_cmpint(reported_state(f), ==, GN_RUN_DONE);
	g_assert_cmpuint(gn_worker_tasks_stats(f->tasks)->cores, ==, 0);
	sent_us = gn_worker_tasks_begin_poll(f->tasks);
	g_assert_cmpint(send_order(f, GN_ORDER_FORGET, 2, 1, sent_us), ==,
			GN_OK);
	g_assert_cmpint(reported_state(f), ==, GN_RUN_STATE_COUNT);
	/* A duplicate order doesn't start a forgotten run again. */
	g_assert_cmpint(send_order(f, GN_ORDER_START, 2, 1, sent_us), ==,
			GN_OK);
	gn_worker_tasks_tick(f->tasks);
	g_assert_cmpint(next_action(f, NULL), ==, GN_ACTION_KIND_COUNT);
	/* The backend server forgets it once no start of it can follow. */
	gn_clock_advance(&f->clock, PROMISE_US);
	gn_worker_tasks_tick(f->tasks);
	g_assert_cmpint(next_action(f, NULL), ==, GN_ACTION_FORGET);
	gn_clock_advance(&f->clock, params.forget_us);
	gn_worker_tasks_tick(f->tasks);
	g_assert_cmpint(next_action(f, NULL), ==, GN_ACTION_KIND_COUNT);
}

typedef struct refuse_case_s {
	const char *name;
	uint32_t owner;
	uint32_t claim;
	int poll; /**< answered poll: 0 newest, -1 older, 1 in the future */
	unsigned delay_s;
	gn_code_t code;
} refuse_case_t;

static const refuse_case_t refuse_cases[] = {
	{ "lower-owner", 1, 3, 0, 0, GN_ERR_STALE },
	{ "lower-claim", 2, 1, 0, 0, GN_OK },
	{ "older-poll", 2, 3, -1, 0, GN_ERR_STALE },
	{ "future-poll", 2, 3, 1, 0, GN_ERR_STALE },
	{ "lapsed", 2, 3, 0, 10, GN_OK },
	{ "earlier-claim-still-runs", 2, 3, 0, 0, GN_OK },
};

static void test_refuse(fixture_t *f, gconstpointer data)
{
	const refuse_case_t *c = data;
	uint64_t older_us;
	uint64_t sent_us;

	older_us = gn_worker_tasks_begin_poll(f->tasks);
	gn_clock_advance(&f->clock, SECOND);
	sent_us = gn_worker_tasks_begin_poll(f->tasks);
	g_assert_cmpint(send_order(f, GN_ORDER_START, 2, 2, sent_us), ==,
			GN_OK);
	g_assert_cmpint(next_action(f, NULL), ==, GN_ACTION_START);
	gn_clock_advance(&f->clock, c->delay_s * SECOND);
	if (c->poll < 0)
		sent_us = older_us;
	g_assert_cmpint(send_order(f, GN_ORDER_START, c->owner, c->claim,
				   sent_us + (c->poll > 0)),
			==, c->code);
	g_assert_cmpint(next_action(f, NULL), !=, GN_ACTION_START);
	g_assert_cmpuint(gn_worker_tasks_stats(f->tasks)->starts, ==, 1);
}

static void test_lapse(fixture_t *f, gconstpointer data)
{
	uint64_t sent_us = start_run(f);

	(void)data;
	g_assert_cmpint(next_action(f, NULL), ==, GN_ACTION_START);
	gn_clock_advance(&f->clock,
			 sent_us + PROMISE_US - gn_clock_now_us(&f->clock) - 1);
	gn_worker_tasks_tick(f->tasks);
	g_assert_cmpint(next_action(f, NULL), ==, GN_ACTION_KIND_COUNT);
	gn_clock_advance(&f->clock, 1);
	gn_worker_tasks_tick(f->tasks);
	gn_worker_tasks_tick(f->tasks);
	g_assert_cmpint(next_action(f, NULL), ==, GN_ACTION_STOP);
	g_assert_cmpint(next_action(f, NULL), ==, GN_ACTION_KIND_COUNT);
	/* A renewal doesn't extend a lapsed lease. */
	sent_us = gn_worker_tasks_begin_poll(f->tasks);
	g_assert_cmpint(send_order(f, GN_ORDER_RENEW, 2, 1, sent_us), ==,
			GN_OK);
	g_assert_cmpint(next_action(f, NULL), ==, GN_ACTION_KIND_COUNT);
	/* An unconfirmed stop is repeated. */
	gn_clock_advance(&f->clock, SECOND);
	gn_worker_tasks_tick(f->tasks);
	g_assert_cmpint(next_action(f, NULL), ==, GN_ACTION_STOP);
}

static void test_restart(fixture_t *f, gconstpointer data)
{
	gn_backend_run_t run = { .id = f->task->id,
				 .epoch = gn_task_epoch(2, 1),
				 .state = GN_RUN_RUNNING,
				 .kind = "k",
				 .cores = 2 };
	uint64_t sent_us = gn_worker_tasks_begin_poll(f->tasks);
	uint64_t asked_us;

	(void)data;
	talloc_free(f->tasks);
	gn_clock_advance(&f->clock, SECOND);
	run.lease_until_us = gn_clock_now_us(&f->clock) + 5 * SECOND;
	create_tasks(f);
	g_assert_cmpint(send_order(f, GN_ORDER_START, 2, 2, sent_us), ==,
			GN_ERR_STALE);
	process_list(f, &run, 1);
	g_assert_cmpuint(gn_worker_tasks_stats(f->tasks)->cores, ==, 2);
	/* An answer to a poll sent before the restart is refused. */
	g_assert_cmpint(send_order(f, GN_ORDER_START, 2, 2, sent_us), ==,
			GN_ERR_STALE);
	sent_us = gn_worker_tasks_begin_poll(f->tasks);
	g_assert_cmpint(send_order(f, GN_ORDER_RENEW, 3, 1, sent_us), ==,
			GN_OK);
	g_assert_cmpint(next_action(f, NULL), ==, GN_ACTION_LEASE);
	/* The backend server restarts and has lost the run. */
	asked_us = gn_clock_now_us(&f->clock);
	gn_clock_advance(&f->clock, SECOND);
	process_list(f, NULL, 0);
	g_assert_cmpint(reported_state(f), ==, GN_RUN_FAILED);
	/* A list that was requested earlier is ignored. */
	g_assert_cmpint(gn_worker_tasks_on_list(f->tasks, asked_us, &run, 1),
			==, GN_ERR_STALE);
}

/**
 * A start carries the incarnation of the backend server. If that has restarted,
 * an unconfirmed run that is not listed is lost.
 */
static void test_backend(fixture_t *f, gconstpointer data)
{
	gn_action_t *action;

	(void)data;
	gn_worker_tasks_set_backend(f->tasks, 71, gn_clock_now_us(&f->clock));
	start_run(f);
	action = gn_worker_tasks_next_action(f->tasks);
	g_assert_cmpuint(action->backend, ==, 71);
	talloc_free(action);
	/* It isn't confirmed, so this incarnation may still start it. */
	gn_clock_advance(&f->clock, SECOND);
	process_list(f, NULL, 0);
	g_assert_cmpint(reported_state(f), ==, GN_RUN_RUNNING);
	gn_worker_tasks_set_backend(f->tasks, 72, gn_clock_now_us(&f->clock));
	gn_clock_advance(&f->clock, SECOND);
	process_list(f, NULL, 0);
	g_assert_cmpint(reported_state(f), ==, GN_RUN_FAILED);
}

/* The backend server answers neither the start nor knows the run. */
static void test_lost_start_is_renewed_forever(fixture_t *f, gconstpointer data)
{
	(void)data;
	start_run(f);
	g_assert_cmpint(next_action(f, NULL), ==, GN_ACTION_START);
	for (unsigned s = 0; s < 60; s++) {
		uint64_t sent_us;

		gn_clock_advance(&f->clock, SECOND);
		gn_worker_tasks_tick(f->tasks);
		process_list(f, NULL, 0);
		if (reported_state(f) != GN_RUN_RUNNING)
			return;
		sent_us = gn_worker_tasks_begin_poll(f->tasks);
		send_order(f, GN_ORDER_RENEW, 2, 1, sent_us);
		if (next_action(f, NULL) == GN_ACTION_START)
			return;
	}
	g_assert_not_reached();
}

/* Actions are sent one at a time, so that a start may be held up. */
static void test_start_not_sent_yet_counts_as_lost(fixture_t *f,
						   gconstpointer data)
{
	(void)data;
	start_run(f);
	gn_clock_advance(&f->clock, 8 * SECOND);
	process_list(f, NULL, 0);
	g_assert_cmpint(next_action(f, NULL), ==, GN_ACTION_START);
	gn_clock_advance(&f->clock, SECOND);
	process_list(f, NULL, 0);
	g_assert_cmpint(next_action(f, NULL), ==, GN_ACTION_KIND_COUNT);
	g_assert_cmpint(reported_state(f), ==, GN_RUN_RUNNING);
}

static void test_drain(fixture_t *f, gconstpointer data)
{
	(void)data;
	start_run(f);
	g_assert_cmpint(next_action(f, NULL), ==, GN_ACTION_START);
	gn_worker_tasks_set_draining(f->tasks, true);
	g_assert_cmpint(next_action(f, NULL), ==, GN_ACTION_CHECKPOINT);
	gn_worker_tasks_on_event(f->tasks, f->task->id, gn_task_epoch(2, 1),
				 GN_RUN_RELEASED, 0, GN_STR("c1"));
	g_assert_cmpint(reported_state(f), ==, GN_RUN_RELEASED);
	g_assert_cmpint(send_order(f, GN_ORDER_START, 2, 2,
				   gn_worker_tasks_begin_poll(f->tasks)),
			==, GN_OK);
	g_assert_cmpint(reported_state(f), ==, GN_RUN_REFUSED);
	g_assert_cmpint(next_action(f, NULL), ==, GN_ACTION_KIND_COUNT);
}

static void test_admission(fixture_t *f, gconstpointer data)
{
	(void)data;
	f->admits_tasks = false;
	start_run(f);
	g_assert_cmpint(reported_state(f), ==, GN_RUN_REFUSED);
	g_assert_cmpint(next_action(f, NULL), ==, GN_ACTION_KIND_COUNT);
	g_assert_cmpuint(gn_worker_tasks_stats(f->tasks)->running, ==, 0);
}

static void find_speed(const gn_active_run_t *run, void *data)
{
	*(unsigned *)data = run->speed_pct;
}

/** A speed is requested once, and only of a confirmed run not ending. */
static void test_speed(fixture_t *f, gconstpointer data)
{
	uint64_t id = f->task->id;
	gn_action_t *action;
	unsigned speed_pct = 0;

	(void)data;
	start_run(f);
	g_assert_cmpint(next_action(f, NULL), ==, GN_ACTION_START);
	g_assert_cmpint(gn_worker_tasks_set_speed(f->tasks, id, 40), ==,
			GN_ERR_STALE);
	gn_worker_tasks_on_event(f->tasks, id, gn_task_epoch(2, 1),
				 GN_RUN_RUNNING, 0, GN_STR(""));
	g_assert_cmpint(gn_worker_tasks_set_speed(f->tasks, id, 0), ==,
			GN_ERR_RANGE);
	g_assert_cmpint(gn_worker_tasks_set_speed(f->tasks, id, 40), ==, GN_OK);
	action = gn_worker_tasks_next_action(f->tasks);
	g_assert_cmpint(action->kind, ==, GN_ACTION_THROTTLE);
	g_assert_cmpuint(action->speed_pct, ==, 40);
	talloc_free(action);
	gn_worker_tasks_foreach_active(f->tasks, find_speed, &speed_pct);
	g_assert_cmpuint(speed_pct, ==, 40);
	g_assert_cmpint(gn_worker_tasks_set_speed(f->tasks, id, 40), ==, GN_OK);
	g_assert_cmpint(next_action(f, NULL), ==, GN_ACTION_KIND_COUNT);
	/* A request that failed is repeated. */
	gn_worker_tasks_set_known_speed(f->tasks, id, 0);
	gn_worker_tasks_set_speed(f->tasks, id, 40);
	g_assert_cmpint(next_action(f, NULL), ==, GN_ACTION_THROTTLE);
	g_assert_cmpint(
		gn_worker_tasks_evict(f->tasks, id, GN_ACTION_CHECKPOINT), ==,
		GN_OK);
	g_assert_cmpint(next_action(f, NULL), ==, GN_ACTION_CHECKPOINT);
	g_assert_cmpint(gn_worker_tasks_set_speed(f->tasks, id, 50), ==,
			GN_ERR_STALE);
	gn_worker_tasks_on_event(f->tasks, id, gn_task_epoch(2, 1),
				 GN_RUN_RELEASED, 0, GN_STR("7"));
	g_assert_cmpint(reported_state(f), ==, GN_RUN_RELEASED);
	g_assert_cmpint(gn_worker_tasks_evict(f->tasks, id, GN_ACTION_STOP), ==,
			GN_ERR_STALE);
}

#define ADD(path, func)                                                  \
	g_test_add("/worker-tasks/" path, fixture_t, NULL, set_up, func, \
		   tear_down)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("run", test_run);
	ADD("lapse", test_lapse);
	ADD("restart", test_restart);
	ADD("backend", test_backend);
	ADD("lost_start_is_renewed_forever",
	    test_lost_start_is_renewed_forever);
	ADD("start_not_sent_yet_counts_as_lost",
	    test_start_not_sent_yet_counts_as_lost);
	ADD("drain", test_drain);
	ADD("admission", test_admission);
	ADD("speed", test_speed);
	for (size_t i = 0; i < G_N_ELEMENTS(refuse_cases); i++) {
		char *path = g_strdup_printf("/worker-tasks/refuse/%s",
					     refuse_cases[i].name);

		g_test_add(path, fixture_t, &refuse_cases[i], set_up,
			   test_refuse, tear_down);
		g_free(path);
	}
	return g_test_run();
}
