#include <glib.h>
#include <string.h>

#include "common/str.h"
#include "support/bucket_gate.h"

#define WORKER "w1"
#define PROMISE_US (10 * GN_US_PER_S)
#define DRIFT_US GN_US_PER_S

/** One bucket with a simulated clock, stored value and worker. */
typedef struct fixture_s {
	TALLOC_CTX *frame;
	gn_clock_t clock;
	GRand *rand;
	gn_batch_bucket_t *bucket;
	bucket_gate_t gate;
	bool draining; /**< the worker reports that it drains */
	uint64_t polled_us; /**< sending time of the last poll */
	uint64_t agent; /**< incarnation of the agent */
	uint64_t revision; /**< revision of the stored value */
	gn_str_t stored; /**< the stored value */
	gn_batch_orders_t orders; /**< answer to the last poll */
} fixture_t;

/** Stores the next write; returns false if there is none. */
static bool store_next_write(fixture_t *f)
{
	gn_batch_commit_t write;

	if (!gn_batch_bucket_next_commit(f->bucket, &write))
		return false;
	g_assert_cmpuint(write.expected_revision, ==, f->revision);
	f->stored.data =
		talloc_memdup(f->frame, write.value.data, write.value.len);
	f->stored.len = write.value.len;
	f->revision++;
	gn_batch_bucket_on_commit(f->bucket, write.change_id, GN_OK,
				  f->revision);
	return true;
}

/** Begins a takeover of the bucket by @p owner from the stored value. */
static void begin_takeover(fixture_t *f, uint64_t owner)
{
	gn_error_t error;

	g_assert_cmpint(gn_batch_bucket_create(f->frame, 3, owner, f->stored,
					       f->revision, &bucket_params,
					       bucket_gate(&f->gate), &f->clock,
					       f->rand, &f->bucket, &error),
			==, GN_OK);
	g_assert_cmpint(gn_batch_bucket_get_ownership(f->bucket), ==,
			GN_BATCH_TAKING);
}

/** Makes @p owner take the bucket over and stores the takeover. */
static void change_owner(fixture_t *f, uint64_t owner)
{
	begin_takeover(f, owner);
	g_assert_true(store_next_write(f));
}

static void set_up(fixture_t *f, gconstpointer data)
{
	(void)data;
	f->frame = talloc_new(NULL);
	gn_clock_init_paused(&f->clock, 1000 * GN_US_PER_S);
	f->rand = g_rand_new_with_seed(1);
	f->gate = (bucket_gate_t)BUCKET_GATE_OPEN;
	f->agent = 1;
	change_owner(f, 11);
}

static void tear_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	talloc_free(f->frame);
	g_rand_free(f->rand);
}

static gn_code_t submit_request(fixture_t *f, gn_str_t spec, gn_str_t key,
				unsigned cores, uint64_t *id,
				gn_task_reason_t *reason)
{
	gn_task_request_t request = { .work_class = GN_CLASS_BATCH,
				      .team = GN_STR("t"),
				      .kind = GN_STR("k"),
				      .service = GN_STR("s"),
				      .key = key,
				      .cores = cores,
				      .spec = spec };
	uint64_t seq;

	return gn_batch_bucket_submit(f->bucket, &request, id, &seq, reason);
}

static uint64_t submit_keyed(fixture_t *f, gn_str_t key)
{
	gn_task_reason_t reason;
	uint64_t id = 0;

	g_assert_cmpint(submit_request(f, GN_STR(""), key, 1, &id, &reason), ==,
			GN_OK);
	return id;
}

static uint64_t submit(fixture_t *f)
{
	return submit_keyed(f, GN_STR(""));
}

static gn_code_t poll_at(fixture_t *f, const char *name, uint64_t sent_us,
			 const gn_batch_report_t *reports, size_t count)
{
	gn_batch_worker_t worker = {
		.name = name,
		.service = "s",
		.free_tasks = 8,
		.free_cores = 8,
		.draining = f->draining,
	};
	gn_batch_poll_t poll = { .incarnation = f->agent,
				 .sent_us = sent_us,
				 .reports = reports,
				 .report_count = count,
				 .worker = &worker };

	return gn_batch_bucket_on_poll(f->bucket, &poll, f->frame, &f->orders);
}

static void poll_worker(fixture_t *f, const char *name,
			const gn_batch_report_t *reports, size_t count)
{
	g_assert_cmpint(poll_at(f, name, ++f->polled_us, reports, count), ==,
			GN_OK);
}

static const gn_batch_order_msg_t *only_order(fixture_t *f,
					      gn_order_kind_t kind)
{
	g_assert_cmpuint(f->orders.count, ==, 1);
	g_assert_cmpint(f->orders.orders[0].kind, ==, kind);
	return &f->orders.orders[0];
}

/** Polls as WORKER and checks that the answer has no order. */
static void poll_without_orders(fixture_t *f, const gn_batch_report_t *report)
{
	poll_worker(f, WORKER, report, report != NULL);
	g_assert_cmpuint(f->orders.count, ==, 0);
}

/** Polls as WORKER and checks that the answer is one order of @p kind. */
static const gn_batch_order_msg_t *
poll_for_order(fixture_t *f, const gn_batch_report_t *report,
	       gn_order_kind_t kind)
{
	poll_worker(f, WORKER, report, report != NULL);
	return only_order(f, kind);
}

/** Submits and starts a task; returns the report of its worker. */
static gn_batch_report_t start_task(fixture_t *f, uint64_t *id)
{
	*id = submit(f);
	g_assert_true(store_next_write(f));
	poll_without_orders(f, NULL);
	g_assert_true(store_next_write(f));
	return (gn_batch_report_t){
		.task = *id,
		.epoch = poll_for_order(f, NULL, GN_ORDER_START)->epoch
	};
}

static gn_task_state_t state_of(fixture_t *f, uint64_t id)
{
	return gn_batch_bucket_find(f->bucket, id)->state;
}

/** Advances the clock and checks the state of the task after a tick. */
static void expect_after(fixture_t *f, uint64_t us, uint64_t id,
			 gn_task_state_t state)
{
	gn_clock_advance(&f->clock, us);
	gn_batch_bucket_tick(f->bucket);
	g_assert_cmpint(state_of(f, id), ==, state);
}

static bool is_task_durable(fixture_t *f, uint64_t id)
{
	return gn_batch_bucket_task_is_durable(
		f->bucket, gn_batch_bucket_find(f->bucket, id));
}

/**
 * Callers are answered from stored states, so a task must be stored as running.
 * One write does this; later reports of the run cause none.
 */
static void test_running_is_stored(fixture_t *f)
{
	gn_batch_value_t *value = NULL;
	uint64_t id;
	gn_batch_report_t report = start_task(f, &id);

	poll_worker(f, WORKER, &report, 1);
	g_assert_true(store_next_write(f));
	g_assert_cmpint(
		gn_batch_codec_decode(f->frame, f->stored, 1, &value, NULL), ==,
		GN_OK);
	g_assert_cmpint(value->tasks[0]->state, ==, GN_TASK_RUNNING);
	poll_worker(f, WORKER, &report, 1);
	g_assert_false(store_next_write(f));
}

static void test_run(fixture_t *f)
{
	uint64_t id;
	gn_batch_report_t report = start_task(f, &id);

	g_assert_cmpuint(poll_for_order(f, &report, GN_ORDER_RENEW)->promise_us,
			 ==, PROMISE_US);
	report.state = GN_RUN_DONE;
	report.result_code = 200;
	poll_worker(f, WORKER, &report, 1);
	/* The end must be stored before it is reported or forgotten. */
	g_assert_cmpuint(f->orders.count, ==, 0);
	g_assert_false(is_task_durable(f, id));
	g_assert_true(store_next_write(f));
	g_assert_true(is_task_durable(f, id));
	poll_for_order(f, &report, GN_ORDER_FORGET);
	g_assert_cmpint(state_of(f, id), ==, GN_TASK_DONE);
	g_assert_cmpuint(gn_batch_bucket_stats(f->bucket)->finishes, ==, 1);
	gn_clock_advance(&f->clock, bucket_params.retention_us);
	gn_batch_bucket_tick(f->bucket);
	g_assert_null(gn_batch_bucket_find(f->bucket, id));
}

static bool has_starts(fixture_t *f, const char **worker, uint64_t *sent_us)
{
	uint64_t incarnation;

	return gn_batch_bucket_next_starts(f->bucket, f->frame, worker,
					   &incarnation, sent_us, &f->orders);
}

static void test_starts_after_commit(fixture_t *f)
{
	uint64_t id = submit(f);
	const char *worker = NULL;
	uint64_t sent_us = 0;

	poll_worker(f, WORKER, NULL, 0);
	g_assert_false(has_starts(f, &worker, &sent_us));
	g_assert_true(store_next_write(f));
	g_assert_true(has_starts(f, &worker, &sent_us));
	g_assert_cmpstr(worker, ==, WORKER);
	g_assert_cmpuint(sent_us, ==, f->polled_us);
	g_assert_cmpuint(only_order(f, GN_ORDER_START)->id, ==, id);
	g_assert_false(has_starts(f, &worker, &sent_us));
}

static void test_idempotent_submit(fixture_t *f)
{
	uint64_t id = submit_keyed(f, GN_STR("night"));

	g_assert_cmpuint(submit_keyed(f, GN_STR("night")), ==, id);
	g_assert_cmpuint(submit_keyed(f, GN_STR("day")), !=, id);
	g_assert_true(store_next_write(f));
	change_owner(f, 12);
	g_assert_cmpuint(submit_keyed(f, GN_STR("night")), ==, id);
	g_assert_cmpuint(gn_batch_bucket_task_count(f->bucket), ==, 2);
}

static void test_cancel(fixture_t *f)
{
	uint64_t id = submit(f);
	uint64_t seq = 0;
	gn_outcome_t outcome;
	gn_batch_report_t report;

	/* The task is claimed, but its start was never ordered. */
	poll_worker(f, WORKER, NULL, 0);
	g_assert_true(store_next_write(f));
	gn_batch_bucket_cancel(f->bucket, id, &outcome, &seq);
	g_assert_cmpint(outcome, ==, GN_OUTCOME_NOT_RUN);
	poll_without_orders(f, NULL);
	g_assert_true(store_next_write(f));
	g_assert_true(gn_batch_bucket_is_durable(f->bucket, seq));

	report = start_task(f, &id);
	gn_batch_bucket_cancel(f->bucket, id, &outcome, &seq);
	g_assert_cmpint(outcome, ==, GN_OUTCOME_UNKNOWN);
	poll_without_orders(f, &report);
	g_assert_true(store_next_write(f));
	poll_for_order(f, &report, GN_ORDER_STOP);
	report.state = GN_RUN_STOPPED;
	poll_for_order(f, &report, GN_ORDER_FORGET);
	g_assert_cmpint(state_of(f, id), ==, GN_TASK_CANCELLED);
}

static void test_cancel_wave(fixture_t *f)
{
	size_t count = 0;
	uint64_t seq = 0;
	uint64_t commits;

	for (int i = 0; i < 3000; i++)
		submit(f);
	g_assert_true(store_next_write(f));
	commits = gn_batch_bucket_stats(f->bucket)->commits;
	gn_batch_bucket_cancel_matching(f->bucket, GN_STR("t"), GN_STR(""),
					&count, &seq);
	g_assert_cmpuint(count, ==, 3000);
	g_assert_true(store_next_write(f));
	g_assert_false(store_next_write(f));
	g_assert_true(gn_batch_bucket_is_durable(f->bucket, seq));
	g_assert_cmpuint(gn_batch_bucket_stats(f->bucket)->commits, ==,
			 commits + 1);
	poll_worker(f, WORKER, NULL, 0);
	g_assert_false(store_next_write(f));
}

typedef struct end_case_s {
	const char *name;
	gn_run_state_t state;
	const char *checkpoint;
	gn_task_state_t want;
	unsigned attempts;
} end_case_t;

static const end_case_t end_cases[] = {
	{ "failed", GN_RUN_FAILED, "", GN_TASK_QUEUED, 1 },
	{ "failed-later", GN_RUN_FAILED, "c1", GN_TASK_CHECKPOINTED, 1 },
	{ "released", GN_RUN_RELEASED, "c1", GN_TASK_CHECKPOINTED, 0 },
	{ "stopped", GN_RUN_STOPPED, "", GN_TASK_QUEUED, 0 },
	{ "refused", GN_RUN_REFUSED, "", GN_TASK_QUEUED, 0 },
	{ "done", GN_RUN_DONE, "", GN_TASK_DONE, 0 },
};

static void test_end(fixture_t *f, gconstpointer data)
{
	const end_case_t *c = data;
	uint64_t id;
	gn_batch_report_t report = start_task(f, &id);

	report.state = c->state;
	report.checkpoint = c->checkpoint;
	f->draining = true;
	poll_worker(f, WORKER, &report, 1);
	g_assert_cmpint(state_of(f, id), ==, c->want);
	g_assert_cmpuint(gn_batch_bucket_find(f->bucket, id)->attempts, ==,
			 c->attempts);
	/* A duplicate of the report changes nothing. */
	poll_worker(f, WORKER, &report, 1);
	g_assert_cmpuint(gn_batch_bucket_find(f->bucket, id)->attempts, ==,
			 c->attempts);
}

static void test_parked(fixture_t *f)
{
	static const char *const names[] = { "w1", "w2", "w3" };
	uint64_t id = submit(f);

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		gn_batch_report_t report = { .task = id,
					     .state = GN_RUN_FAILED };

		gn_clock_advance(&f->clock, 60 * GN_US_PER_S);
		poll_worker(f, names[i], NULL, 0);
		g_assert_true(store_next_write(f));
		poll_worker(f, names[i], NULL, 0);
		report.epoch = only_order(f, GN_ORDER_START)->epoch;
		poll_worker(f, names[i], &report, 1);
		/* The task is not offered to a worker that it failed on. */
		gn_clock_advance(&f->clock, 60 * GN_US_PER_S);
		poll_worker(f, names[i], NULL, 0);
		g_assert_cmpint(state_of(f, id), !=, GN_TASK_CLAIMED);
	}
	g_assert_cmpint(state_of(f, id), ==, GN_TASK_PARKED);
	g_assert_cmpint(gn_batch_bucket_find(f->bucket, id)->reason, ==,
			GN_TASK_REASON_FAILED_WORKERS);
}

static void test_lapse(fixture_t *f)
{
	uint64_t id;
	gn_batch_report_t report = start_task(f, &id);

	expect_after(f, PROMISE_US + DRIFT_US, id, GN_TASK_CLAIMED);
	expect_after(f, 1, id, GN_TASK_QUEUED);
	/* A late result is accepted as long as there is no new start. */
	report.state = GN_RUN_DONE;
	poll_worker(f, WORKER, &report, 1);
	g_assert_cmpint(state_of(f, id), ==, GN_TASK_DONE);
}

static void test_unsettled(fixture_t *f)
{
	gn_batch_predecessor_t predecessors[2];
	uint64_t id;
	gn_batch_report_t report = start_task(f, &id);

	begin_takeover(f, 12);
	g_assert_cmpint(poll_at(f, WORKER, 100, &report, 1), ==,
			GN_ERR_UNAVAILABLE);
	g_assert_true(store_next_write(f));
	change_owner(f, 13);
	g_assert_cmpuint(
		gn_batch_bucket_list_unsettled(f->bucket, predecessors, 2), ==,
		2);
	f->gate.settled = false;
	expect_after(f, 10 * PROMISE_US, id, GN_TASK_CLAIMED);
	/* A worker that reports its task keeps it, under a higher epoch. */
	g_assert_cmpuint(poll_for_order(f, &report, GN_ORDER_RENEW)->epoch, >,
			 report.epoch);
	gn_clock_advance(&f->clock, 10 * PROMISE_US);
	f->gate.settled = true;
	gn_batch_bucket_tick(f->bucket);
	g_assert_cmpint(state_of(f, id), ==, GN_TASK_QUEUED);
}

typedef struct answer_case_s {
	const char *name;
	gn_code_t answer;
	int stored; /**< value read: 0 old, 1 this write, 2 another owner's */
	gn_batch_ownership_t standing;
	bool durable;
} answer_case_t;

static const answer_case_t answer_cases[] = {
	{ "unknown-written", GN_ERR_TIMEOUT, 1, GN_BATCH_OWNED, true },
	{ "unknown-not-written", GN_ERR_TIMEOUT, 0, GN_BATCH_OWNED, false },
	{ "unknown-other", GN_ERR_TIMEOUT, 2, GN_BATCH_LOST, false },
	{ "conflict-with-itself", GN_ERR_CONFLICT, 1, GN_BATCH_OWNED, true },
	{ "conflict-other", GN_ERR_CONFLICT, 2, GN_BATCH_LOST, false },
};

static void test_answer(fixture_t *f, gconstpointer data)
{
	const answer_case_t *c = data;
	gn_batch_bucket_t *mine = f->bucket;
	gn_batch_commit_t write;
	gn_batch_commit_t again;

	submit(f);
	g_assert_true(gn_batch_bucket_next_commit(mine, &write));
	g_assert_false(gn_batch_bucket_next_commit(mine, &again));
	gn_batch_bucket_on_commit(mine, write.change_id, c->answer, 0);
	g_assert_true(gn_batch_bucket_wants_read(mine));
	g_assert_false(gn_batch_bucket_next_commit(mine, &again));
	/* A value older than the last one seen is ignored. */
	gn_batch_bucket_on_read(mine, f->stored, f->revision - 1);
	g_assert_true(gn_batch_bucket_wants_read(mine));
	if (c->stored == 2)
		change_owner(f, 12);
	gn_batch_bucket_on_read(mine, c->stored == 1 ? write.value : f->stored,
				f->revision + (c->stored == 1));
	g_assert_cmpint(gn_batch_bucket_get_ownership(mine), ==, c->standing);
	g_assert_cmpint(gn_batch_bucket_is_durable(mine, 2), ==, c->durable);
	if (c->stored)
		return;
	g_assert_true(gn_batch_bucket_next_commit(mine, &again));
	g_assert_cmpuint(again.change_id, ==, write.change_id);
}

static void test_gate(fixture_t *f)
{
	uint64_t id;
	gn_batch_report_t report = start_task(f, &id);

	f->gate.may_start = false;
	submit(f);
	poll_for_order(f, &report, GN_ORDER_RENEW);
	g_assert_cmpuint(gn_task_queue_count(gn_batch_bucket_queue(f->bucket)),
			 ==, 1);
	f->gate.may_renew = false;
	poll_without_orders(f, &report);
	expect_after(f, 10 * PROMISE_US, id, GN_TASK_RUNNING);
}

static void test_stale_poll(fixture_t *f)
{
	uint64_t id;
	gn_batch_report_t report = start_task(f, &id);

	poll_worker(f, WORKER, &report, 1);
	g_assert_cmpint(poll_at(f, WORKER, f->polled_us, NULL, 0), ==,
			GN_ERR_STALE);
}

/**
 * A task that its worker no longer reports is queued again after its run lease
 * expired, and counts as failed.
 */
static void test_lost(fixture_t *f)
{
	uint64_t id;
	gn_batch_report_t report = start_task(f, &id);

	poll_worker(f, WORKER, &report, 1);
	poll_without_orders(f, NULL);
	expect_after(f, PROMISE_US + DRIFT_US + 1, id, GN_TASK_QUEUED);
	g_assert_cmpuint(gn_batch_bucket_find(f->bucket, id)->attempts, ==, 1);
}

static void test_release(fixture_t *f)
{
	uint64_t id;
	gn_batch_predecessor_t predecessors[1];

	start_task(f, &id);
	gn_batch_bucket_release(f->bucket);
	g_assert_cmpint(poll_at(f, WORKER, 100, NULL, 0), ==,
			GN_ERR_UNAVAILABLE);
	g_assert_true(store_next_write(f));
	g_assert_cmpint(gn_batch_bucket_get_ownership(f->bucket), ==,
			GN_BATCH_RELEASED);
	change_owner(f, 12);
	g_assert_cmpuint(
		gn_batch_bucket_list_unsettled(f->bucket, predecessors, 1), ==,
		0);
}

typedef struct keep_case_s {
	const char *name;
	bool sent; /**< The handover is written before it is taken back. */
	gn_code_t answers[2]; /**< Answers to the writes of the handover. */
	size_t answer_count;
	bool kept;
} keep_case_t;

static const keep_case_t keep_cases[] = {
	{ "not-sent", false, { GN_OK }, 0, true },
	{ "no-answer", true, { GN_OK }, 0, false },
	{ "refused", true, { GN_ERR_UNAVAILABLE }, 1, true },
	{ "over-rate", true, { GN_ERR_RATE }, 1, true },
	{ "lost", true, { GN_ERR_UNKNOWN }, 1, false },
	{ "lost-then-refused",
	  true,
	  { GN_ERR_UNKNOWN, GN_ERR_UNAVAILABLE },
	  2,
	  false },
};

/* A bucket whose handover was certainly not written renews run promises. */
static void test_keep(fixture_t *f, gconstpointer data)
{
	const keep_case_t *c = data;
	gn_batch_commit_t commit = { 0 };
	uint64_t id;

	start_task(f, &id);
	gn_batch_bucket_release(f->bucket);
	if (c->sent)
		g_assert_true(gn_batch_bucket_next_commit(f->bucket, &commit));
	for (size_t i = 0; i < c->answer_count; i++) {
		if (i) {
			gn_batch_bucket_on_read(f->bucket, f->stored,
						f->revision);
			g_assert_true(gn_batch_bucket_next_commit(f->bucket,
								  &commit));
		}
		gn_batch_bucket_on_commit(f->bucket, commit.change_id,
					  c->answers[i], 0);
	}
	gn_batch_bucket_keep(f->bucket);
	g_assert_cmpint(poll_at(f, WORKER, 100, NULL, 0), ==,
			c->kept ? GN_OK : GN_ERR_UNAVAILABLE);
}

/** A takeover from an owner that is in the member record is refused. */
static void test_take(fixture_t *f)
{
	gn_batch_bucket_t *bucket = NULL;

	f->gate.owner_lives = true;
	g_assert_cmpint(gn_batch_bucket_create(f->frame, 3, 12, f->stored,
					       f->revision, &bucket_params,
					       bucket_gate(&f->gate), &f->clock,
					       f->rand, &bucket, NULL),
			==, GN_ERR_UNAVAILABLE);
}

static void test_refused(fixture_t *f)
{
	static const char spec[GN_TASK_SPEC_MAX];
	gn_task_reason_t reason;
	gn_code_t code = GN_OK;
	unsigned count = 0;
	uint64_t id;

	gn_task_queue_set_largest(gn_batch_bucket_queue(f->bucket), "s", 32,
				  1000, 0);
	g_assert_cmpint(
		submit_request(f, GN_STR("a"), GN_STR("n"), 33, &id, &reason),
		==, GN_ERR_CAPACITY);
	g_assert_cmpint(reason, ==, GN_TASK_REASON_CORES);
	g_assert_cmpint(
		submit_request(f, GN_STR("a"), GN_STR("n"), 1, &id, &reason),
		==, GN_OK);
	g_assert_cmpint(
		submit_request(f, GN_STR("b"), GN_STR("n"), 1, &id, &reason),
		==, GN_ERR_CONFLICT);
	/* A full bucket refuses tasks; the accepted ones can be stored. */
	for (; !code; count++)
		code = submit_request(f, (gn_str_t){ spec, sizeof(spec) },
				      GN_STR(""), 1, &id, &reason);
	g_assert_cmpint(code, ==, GN_ERR_RATE);
	g_assert_cmpuint(count, >, 40);
	g_assert_true(store_next_write(f));
}

static void test_evict(fixture_t *f)
{
	uint64_t id;
	gn_batch_report_t report = start_task(f, &id);

	g_assert_cmpint(gn_batch_bucket_evict(f->bucket, id), ==, GN_OK);
	poll_worker(f, WORKER, &report, 1);
	g_assert_cmpuint(f->orders.count, ==, 2);
	g_assert_cmpint(f->orders.orders[0].kind, ==, GN_ORDER_CHECKPOINT);
	g_assert_cmpint(f->orders.orders[1].kind, ==, GN_ORDER_RENEW);
	f->draining = true;
	report.state = GN_RUN_RELEASED;
	report.checkpoint = "c1";
	poll_worker(f, WORKER, &report, 1);
	g_assert_cmpint(gn_batch_bucket_evict(f->bucket, id), ==,
			GN_ERR_NOT_FOUND);
	/* Another worker resumes it from the checkpoint, under a new claim. */
	f->draining = false;
	poll_worker(f, "w2", NULL, 0);
	g_assert_true(store_next_write(f));
	poll_worker(f, "w2", NULL, 0);
	g_assert_cmpstr(only_order(f, GN_ORDER_START)->task->checkpoint, ==,
			"c1");
	g_assert_cmpuint(gn_task_epoch_claim(f->orders.orders[0].epoch), ==, 2);
}

/**
 * A start ordered by an earlier owner, or sent to an earlier agent, is not
 * repeated, since the task may have run; its claim expires instead.
 */
static void test_no_second_start(fixture_t *f, gconstpointer data)
{
	uint64_t id;

	start_task(f, &id);
	poll_for_order(f, NULL, GN_ORDER_START);
	f->agent = data ? 2 : 1;
	if (!data)
		change_owner(f, 12);
	poll_without_orders(f, NULL);
}

static const struct {
	const char *name;
	void (*run)(fixture_t *f);
} tests[] = {
	{ "run", test_run },
	{ "running-is-stored", test_running_is_stored },
	{ "starts-after-commit", test_starts_after_commit },
	{ "idempotent-submit", test_idempotent_submit },
	{ "cancel", test_cancel },
	{ "cancel-wave", test_cancel_wave },
	{ "parked", test_parked },
	{ "lapse", test_lapse },
	{ "unsettled", test_unsettled },
	{ "gate", test_gate },
	{ "stale-poll", test_stale_poll },
	{ "lost", test_lost },
	{ "release", test_release },
	{ "take", test_take },
	{ "refused", test_refused },
	{ "evict", test_evict },
};

static void test_plain(fixture_t *f, gconstpointer data)
{
	tests[GPOINTER_TO_SIZE(data)].run(f);
}

static void add(const char *group, const char *name, gconstpointer data,
		void (*run)(fixture_t *f, gconstpointer data))
{
	g_autofree char *path = g_strdup_printf("/bucket%s/%s", group, name);

	g_test_add(path, fixture_t, data, set_up, run, tear_down);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(tests); i++)
		add("", tests[i].name, GSIZE_TO_POINTER(i), test_plain);
	add("/no-second-start", "owner", NULL, test_no_second_start);
	add("/no-second-start", "agent", "agent", test_no_second_start);
	for (size_t i = 0; i < G_N_ELEMENTS(end_cases); i++)
		add("/end", end_cases[i].name, &end_cases[i], test_end);
	for (size_t i = 0; i < G_N_ELEMENTS(answer_cases); i++)
		add("/answer", answer_cases[i].name, &answer_cases[i],
		    test_answer);
	for (size_t i = 0; i < G_N_ELEMENTS(keep_cases); i++)
		add("/keep", keep_cases[i].name, &keep_cases[i], test_keep);
	return g_test_run();
}
