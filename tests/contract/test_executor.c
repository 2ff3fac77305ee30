/* Orders and answers around a restart of the worker under its ID. */
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include <zmq.h>

#include "executor/executor.h"
#include "executor/executor_internal.h"
#include "job/job.h"
#include "support/capture.h"
#include "support/fake_kv.h"

#define HOST "side-1"
/** A name of the maximum length. */
#define LONG_HOST \
	"side-123456789-123456789-123456789-123456789-123456789-12345678"
#define ID "i-1"
#define PORT 20778
#define TIMEOUT_MS 5000
#define TASK "00000000000000aa.0.0.0"
#define START_US (1000 * GN_US_PER_S)
#define LEASE_US (4 * GN_US_PER_S)
/** Longest time after which a call without an answer is carried out. */
#define LATE_US (12 * GN_US_PER_S)
/** Starts of two lives with the same ID. */
#define EARLIER_MS 1000
#define LATER_MS 2000
/** Reading of the worker's clock in its answers. */
#define CLOCK_MS 500

/** The executor, and the stand-ins for its peers. */
typedef struct rig_s {
	executor_t *executor;
	gn_runtime_t runtime;
	gn_settings_t settings;
	gn_link_handler_t leader_handler;
	char address[GN_ADDRESS_MAX + 1]; /**< Of the executor. */
	gn_worker_notice_t notice; /**< Next notice of the worker. */
	gn_worker_answer_t answer; /**< Next answer of the worker. */
	bool answered; /**< The worker has answered. */
	uint64_t lease_until_ms; /**< Lease of the last call with one. */
	uint64_t discarded_ends; /**< Ends to discard by the last list call. */
	uint64_t fence; /**< Fencing token of the last call. */
	unsigned reported_results; /**< Results in the reports sent. */
	unsigned starts; /**< Calls for starts. */
	uint32_t reported_cold_left_ms; /**< In the last report. */
	size_t reported_ends; /**< Ends in the lists that were reported. */
	bool reported_left; /**< The last report said that the worker left. */
	bool reported_crashed; /**< It said that the worker has crashed. */
	Gn__WorkerReport reported; /**< The last report; its rows are gone. */
	Gn__OpenStart reported_start; /**< Its first open start call. */
} rig_t;

static rig_t *rig;

/* ======   Stand-ins for the link and the adapter   ====== */

gn_code_t gn_link_connect(TALLOC_CTX *parent, const gn_link_config_t *config,
			  gn_link_t **link, gn_error_t *error)
{
	(void)error;
	rig->leader_handler = config->handler;
	*link = talloc_new(parent);
	return GN_OK;
}

gn_code_t gn_link_send(gn_link_t *link, const gn_link_peer_t *peer,
		       Gn__Envelope *envelope)
{
	(void)link;
	(void)peer;
	rig->reported_results += envelope->worker_report->n_results;
	if (envelope->worker_report->listed)
		rig->reported_ends += envelope->worker_report->n_ends;
	rig->reported_left = envelope->worker_report->left;
	rig->reported_cold_left_ms = envelope->worker_report->cold_left_ms;
	rig->reported_crashed = envelope->worker_report->crashed;
	rig->reported = *envelope->worker_report;
	if (rig->reported.n_open_starts)
		rig->reported_start = *rig->reported.open_starts[0];
	return GN_OK;
}

static gn_code_t read_notice(TALLOC_CTX *parent,
			     const gn_http_request_t *request,
			     gn_worker_notice_t *notice, gn_error_t *error)
{
	(void)request;
	(void)error;
	*notice = rig->notice;
	notice->labels = talloc_zero_array(parent, char *, 1);
	return GN_OK;
}

/* Nothing listens there, so each call ends soon with the scripted answer. */
static bool write_worker_call(const gn_worker_call_t *call,
			      gn_http_call_t *http)
{
	http->method = GN_HTTP_POST;
	g_snprintf(http->url, sizeof(http->url), "http://%s/x", call->address);
	if (call->kind == GN_WORKER_LIST)
		rig->discarded_ends = call->ends_stored;
	rig->starts += call->kind == GN_WORKER_START;
	rig->fence = call->epoch;
	if (call->lease_until_ms)
		rig->lease_until_ms = call->lease_until_ms;
	return true;
}

static void read_worker_answer(TALLOC_CTX *parent, gn_worker_call_kind_t kind,
			       const gn_http_call_t *http,
			       gn_worker_answer_t *answer)
{
	(void)parent;
	(void)kind;
	(void)http;
	*answer = rig->answer;
	rig->answered = true;
}

/* ======   Fixture   ====== */

static const gn_adapter_t adapter = { .read_notice = read_notice,
				      .write_worker_call = write_worker_call,
				      .read_worker_answer =
					      read_worker_answer };

static void on_notice_answered(void *arg, const gn_http_call_t *call)
{
	unsigned *status = arg;

	*status = call->status;
}

/* Returns the status of the answer. */
static unsigned post_notice(void)
{
	gn_http_call_t *call = gn_http_call_create();
	unsigned status = 0;

	call->method = GN_HTTP_POST;
	g_snprintf(call->url, sizeof(call->url), "http://%s/x", rig->address);
	call->timeout_ms = TIMEOUT_MS;
	call->done = on_notice_answered;
	call->arg = &status;
	gn_http_client_call(rig->executor->client, call);
	while (!status)
		g_assert_cmpint(tevent_loop_once(rig->runtime.events), ==, 0);
	return status;
}

static unsigned send_notice(uint64_t started_ms)
{
	g_strlcpy(rig->notice.life, ID, sizeof(rig->notice.life));
	rig->notice.life_started_ms = started_ms;
	return post_notice();
}

/* Lets the worker answer, as rig->answer says, which life is there. */
static void answer_question(void)
{
	while (rig->executor->announced.pending)
		g_assert_cmpint(tevent_loop_once(rig->runtime.events), ==, 0);
}

static void send_heartbeat(uint64_t started_ms)
{
	const gn_worker_answer_t answer = rig->answer;

	rig->notice.sequence++;
	rig->answer = (gn_worker_answer_t){ .life_started_ms = started_ms };
	g_assert_cmpuint(send_notice(started_ms), ==, 200);
	answer_question();
	rig->answer = answer;
}

static void send_deregistration(uint64_t started_ms)
{
	rig->notice.deregisters = true;
	g_assert_cmpuint(send_notice(started_ms), ==, 200);
	rig->notice.deregisters = false;
}

/* The leader has answered a report, and the worker's clock was read. */
static void allow_leases(void)
{
	gn_grant_t *grant = &rig->executor->grant;
	uint64_t now_us = executor_now_us(rig->executor);

	gn_grant_record_answer(grant, now_us);
	gn_grant_record_clock(grant, 1, now_us);
}

static void start_http(executor_t *executor)
{
	gn_runtime_t *runtime = &rig->runtime;
	const gn_http_client_config_t client = { .events = runtime->events,
						 .zmq = runtime->zmq,
						 .host_connections = 1,
						 .answer_max = 4096,
						 .counters =
							 runtime->counters };
	const gn_http_server_config_t server = { .events = runtime->events,
						 .zmq = runtime->zmq,
						 .address = rig->address,
						 .connections = 4,
						 .timeout_ms = TIMEOUT_MS,
						 .threads = 1,
						 .body_max = 4096,
						 .counters = runtime->counters,
						 .handler = executor_on_http,
						 .arg = executor };
	gn_error_t error = { 0 };

	g_assert_cmpint(
		gn_http_client_start(NULL, &client, &executor->client, &error),
		==, GN_OK);
	g_assert_cmpint(
		gn_http_server_start(NULL, &server, &executor->server, &error),
		==, GN_OK);
}

static void open_rig(void)
{
	executor_t *executor;

	rig = g_new0(rig_t, 1);
	executor = talloc_zero(NULL, executor_t);
	rig->executor = executor;
	rig->settings.name = HOST;
	rig->settings.jobs.worker_address = "127.0.0.1:1";
	rig->settings.jobs.late_call_ms = LATE_US / GN_US_PER_MS;
	/* The address depends on the process id, so that runs don't collide. */
	g_snprintf(rig->address, sizeof(rig->address), "127.78.%u.%u:%u",
		   (unsigned)getpid() / 250 % 250, 1 + (unsigned)getpid() % 250,
		   PORT);
	rig->runtime.events = tevent_context_init(NULL);
	rig->runtime.zmq = zmq_ctx_new();
	rig->runtime.counters = gn_counters_create(NULL);
	rig->runtime.settings = &rig->settings;
	rig->runtime.adapter = &adapter;
	gn_clock_init_paused(&rig->runtime.clock, START_US);
	gn_clock_init_paused(&executor->wall, START_US);
	g_strlcpy(rig->notice.address, rig->settings.jobs.worker_address,
		  sizeof(rig->notice.address));
	executor->runtime = &rig->runtime;
	executor->adapter = &adapter;
	executor->grant.lease_us = LEASE_US;
	executor->grant.start_max_age_ms = GN_GRANT_START_MAX_AGE_MS;
	executor->old_links = talloc_new(executor);
	executor->orders = gn_orders_create(executor, &rig->runtime.clock,
					    &executor->grant, LATE_US,
					    &executor_orders_ops, executor);
	executor->waiting_list.executor = executor;
	executor->prompt_list.executor = executor;
	executor->results =
		g_ptr_array_new_with_free_func(executor_result_free);
	executor->schedulers = g_ptr_array_new_with_free_func(g_free);
	executor->refused_rows =
		gn_counters_get(rig->runtime.counters, "executor.rows_refused");
	executor->refused_entries = gn_counters_get(rig->runtime.counters,
						    "executor.entries_refused");
	executor->refused_heartbeats = gn_counters_get(
		rig->runtime.counters, "executor.heartbeats_refused");
	executor->answers_of_other_lives = gn_counters_get(
		rig->runtime.counters, "executor.answers_of_other_lives");
	executor->starts_unanswered = gn_counters_get(
		rig->runtime.counters, "executor.starts_unanswered");
	executor->starts_evacuated = gn_counters_get(
		rig->runtime.counters, "executor.starts_evacuated");
	executor->order_time = gn_histogram_create(
		executor, rig->runtime.counters, "executor.order_time");
	start_http(executor);
	/* A lookup of the schedulers is in progress and lists this one. */
	executor->lookup = 1;
	g_ptr_array_add(executor->schedulers, g_strdup("127.0.0.1:2"));
	executor_leader_tick(executor);
	g_assert_nonnull(rig->leader_handler);
	send_heartbeat(EARLIER_MS);
	allow_leases();
}

static void close_rig(void)
{
	executor_t *executor = rig->executor;

	/* Freeing the client would lose what its calls point to. */
	while (gn_http_client_pending(executor->client))
		g_assert_cmpint(tevent_loop_once(rig->runtime.events), ==, 0);
	talloc_free(executor->client);
	talloc_free(executor->server);
	g_ptr_array_free(executor->results, TRUE);
	g_ptr_array_free(executor->schedulers, TRUE);
	talloc_free(executor);
	talloc_free(rig->runtime.counters);
	talloc_free(rig->runtime.events);
	zmq_ctx_term(rig->runtime.zmq);
	g_free(rig);
}

static void advance_ms(unsigned ms)
{
	gn_clock_advance(&rig->runtime.clock, ms * GN_US_PER_MS);
	gn_orders_tick(rig->executor->orders);
}

/* The leader's order for the life with this ID and start. */
static void send_order(gn_run_order_kind_t kind, uint64_t born_ms)
{
	Gn__WorkerOrder order = GN__WORKER_ORDER__INIT;

	order.kind = kind;
	order.task = (char *)TASK;
	order.attempt = 1;
	order.life = (char *)ID;
	order.born_ms = born_ms;
	gn_orders_handle(rig->executor->orders, &order,
			 executor_now_us(rig->executor));
}

static bool is_call_pending(void)
{
	return gn_http_client_pending(rig->executor->client) > 0;
}

/* The life that started at @p started_ms answers the call in progress. */
static void answer_call(gn_worker_call_outcome_t outcome, uint64_t started_ms)
{
	g_assert_true(is_call_pending());
	rig->answer.outcome = outcome;
	rig->answer.clock_ms = CLOCK_MS;
	rig->answer.life_started_ms = started_ms;
	rig->answered = false;
	while (!rig->answered)
		g_assert_cmpint(tevent_loop_once(rig->runtime.events), ==, 0);
}

/* The worker answers the call in progress at this time on its clock. */
static void answer_list(uint64_t clock_ms)
{
	g_assert_true(is_call_pending());
	rig->answer.clock_ms = clock_ms;
	rig->answered = false;
	while (!rig->answered)
		g_assert_cmpint(tevent_loop_once(rig->runtime.events), ==, 0);
}

/* ======   Tests   ====== */

static void test_start_answered_by_its_life_counts(void)
{
	open_rig();
	send_order(GN_RUN_ORDER_START, EARLIER_MS);
	answer_call(GN_WORKER_OK, EARLIER_MS);
	g_assert_cmpuint(rig->executor->results->len, ==, 1);
	g_assert_cmpuint(rig->executor->grant.clock_ms, ==, CLOCK_MS);
	close_rig();
}

/* The answer to a start names no life, but the clock of one never goes back. */
static void test_start_answered_by_a_younger_clock_is_not_settled(void)
{
	const gn_grant_t *grant;
	const Gn__OrderResult *result;

	open_rig();
	grant = &rig->executor->grant;
	gn_grant_record_clock(&rig->executor->grant, 100 * CLOCK_MS,
			      executor_now_us(rig->executor));
	send_order(GN_RUN_ORDER_START, EARLIER_MS);
	answer_call(GN_WORKER_OK, 0);
	g_assert_cmpuint(grant->clock_ms, ==, 100 * CLOCK_MS);
	if (rig->executor->results->len) {
		result = g_ptr_array_index(rig->executor->results, 0);
		g_assert_false(result->settled);
	}
	close_rig();
}

static void test_start_answered_by_another_life_is_unanswered(void)
{
	const gn_worker_call_outcome_t outcomes[] = { GN_WORKER_OK,
						      GN_WORKER_FULL,
						      GN_WORKER_MALFORMED,
						      GN_WORKER_NO_TICKET };

	for (size_t i = 0; i < G_N_ELEMENTS(outcomes); i++) {
		open_rig();
		send_order(GN_RUN_ORDER_START, EARLIER_MS);
		answer_call(outcomes[i], LATER_MS);
		g_assert_cmpuint(rig->executor->results->len, ==, 0);
		advance_ms(100);
		g_assert_true(is_call_pending());
		close_rig();
	}
}

static void test_stop_answered_by_another_life_is_repeated(void)
{
	open_rig();
	send_order(GN_RUN_ORDER_STOP, EARLIER_MS);
	answer_call(GN_WORKER_OK, LATER_MS);
	advance_ms(100);
	g_assert_true(is_call_pending());
	close_rig();
}

/* The leader would release the claim, but an earlier call may take effect. */
static void test_start_for_an_earlier_life_is_not_reported_as_not_started(void)
{
	open_rig();
	send_heartbeat(LATER_MS);
	send_order(GN_RUN_ORDER_START, EARLIER_MS);
	g_assert_cmpuint(rig->executor->results->len, ==, 0);
	g_assert_cmpuint(gn_orders_count(rig->executor->orders), ==, 0);
	g_assert_false(is_call_pending());
	close_rig();
}

/* Guards against a record that does not say in which life of the worker an
 * order was carried out. */
static void test_lines_of_orders_do_not_tell_lives_apart(void)
{
	static const char *const events[] = { "take", "order" };

	for (size_t i = 0; i < G_N_ELEMENTS(events); i++) {
		capture_t capture;
		json_t *lines;

		open_rig();
		rig->executor->epoch = 7;
		begin_capture(&capture);
		send_order(GN_RUN_ORDER_START, EARLIER_MS);
		answer_call(GN_WORKER_OK, EARLIER_MS);
		lines = end_capture(&capture, events[i]);
		g_assert_cmpuint(json_array_size(lines), ==, 1);
		g_assert_cmpstr(json_string_value(json_object_get(
					json_array_get(lines, 0), "life")),
				==, ID);
		g_assert_cmpint(read_number(lines, 0, "born_ms"), ==,
				EARLIER_MS);
		g_assert_cmpint(read_number(lines, 0, "token"), ==, 7);
		g_assert_null(json_object_get(json_array_get(lines, 0),
					      "for_born_ms"));
		json_decref(lines);
		close_rig();
	}
}

static void test_orders_for_an_earlier_life_are_dropped_silently(void)
{
	capture_t capture;
	json_t *lines;

	open_rig();
	rig->executor->epoch = 7;
	rig->executor->leader_fences_lives = true;
	send_order(GN_RUN_ORDER_START, EARLIER_MS);
	begin_capture(&capture);
	send_heartbeat(LATER_MS);
	send_order(GN_RUN_ORDER_STOP, EARLIER_MS);
	lines = end_capture(&capture, "order dropped");
	g_assert_cmpuint(json_array_size(lines), ==, 2);
	for (size_t i = 0; i < 2; i++) {
		g_assert_cmpint(read_number(lines, i, "born_ms"), ==, LATER_MS);
		g_assert_cmpint(read_number(lines, i, "for_born_ms"), ==,
				EARLIER_MS);
	}
	/* The call of the first one is under way with the earlier token. */
	g_assert_cmpint(read_number(lines, 0, "token"), ==, 7);
	g_assert_cmpint(read_number(lines, 0, "calls"), ==, 1);
	g_assert_cmpint(read_number(lines, 1, "calls"), ==, 0);
	json_decref(lines);
	close_rig();
}

/* The same life answers many lists before its heartbeat comes. */
static void test_answers_of_another_life_are_discarded_silently(void)
{
	capture_t capture;
	json_t *lines;

	open_rig();
	begin_capture(&capture);
	for (unsigned i = 0; i < 3; i++) {
		advance_ms(1000);
		executor_worker_tick(rig->executor);
		answer_call(GN_WORKER_OK, LATER_MS);
	}
	lines = end_capture(&capture, "answer discarded");
	g_assert_cmpuint(gn_counter_read(rig->executor->answers_of_other_lives),
			 ==, 3);
	g_assert_cmpuint(json_array_size(lines), ==, 1);
	g_assert_cmpint(read_number(lines, 0, "born_ms"), ==, EARLIER_MS);
	g_assert_cmpint(read_number(lines, 0, "answered_born_ms"), ==,
			LATER_MS);
	json_decref(lines);
	/* A call that nobody answers is not of another life. */
	advance_ms(1000);
	executor_worker_tick(rig->executor);
	answer_call(GN_WORKER_UNSENT, 0);
	g_assert_cmpuint(gn_counter_read(rig->executor->answers_of_other_lives),
			 ==, 3);
	close_rig();
}

static void test_start_of_an_unknown_start_time_is_sent(void)
{
	open_rig();
	send_order(GN_RUN_ORDER_START, 0);
	g_assert_true(is_call_pending());
	close_rig();
}

static void test_results_of_an_earlier_life_are_not_reported(void)
{
	open_rig();
	send_order(GN_RUN_ORDER_START, EARLIER_MS);
	answer_call(GN_WORKER_OK, EARLIER_MS);
	g_assert_cmpuint(rig->executor->results->len, ==, 1);
	send_heartbeat(LATER_MS);
	g_assert_cmpuint(rig->reported_results, ==, 0);
	close_rig();
}

/* The leader would release the claims of the later life while they run. */
static void test_late_deregistration_of_an_earlier_life_is_ignored(void)
{
	open_rig();
	send_heartbeat(LATER_MS);
	send_deregistration(EARLIER_MS);
	g_assert_false(rig->executor->worker_left);
	send_deregistration(LATER_MS);
	g_assert_true(rig->executor->worker_left);
	close_rig();
}

static void test_deregistration_of_an_unknown_start_time_counts(void)
{
	open_rig();
	send_deregistration(0);
	g_assert_true(rig->executor->worker_left);
	close_rig();
}

/* Two lists are requested at a time, and their answers may overtake. */
static void test_older_list_replaces_a_newer_one(void)
{
	open_rig();
	executor_worker_tick(rig->executor);
	rig->answer.run_count = 1;
	answer_list(CLOCK_MS);
	g_assert_cmpuint(rig->executor->run_count, ==, 1);
	executor_worker_tick(rig->executor);
	rig->answer.run_count = 0;
	answer_list(CLOCK_MS - 1);
	g_assert_cmpuint(rig->executor->run_count, ==, 1);
	executor_worker_tick(rig->executor);
	answer_list(CLOCK_MS);
	g_assert_cmpuint(rig->executor->run_count, ==, 0);
	send_heartbeat(LATER_MS);
	executor_worker_tick(rig->executor);
	rig->answer.run_count = 1;
	rig->answer.life_started_ms = LATER_MS;
	answer_list(1);
	g_assert_cmpuint(rig->executor->run_count, ==, 1);
	close_rig();
}

/* The leader has answered the last report. */
static void answer_report(void)
{
	Gn__WorkerOrders orders = GN__WORKER_ORDERS__INIT;
	Gn__Envelope envelope = GN__ENVELOPE__INIT;

	envelope.body_case = GN__ENVELOPE__BODY_WORKER_ORDERS;
	envelope.worker_orders = &orders;
	orders.epoch = 1;
	orders.sequence = rig->executor->sequence;
	rig->leader_handler(rig->executor, NULL, &envelope);
}

static void request_list_refused(gn_worker_call_outcome_t outcome)
{
	gn_clock_advance(&rig->runtime.clock, GN_US_PER_S);
	executor_worker_tick(rig->executor);
	answer_call(outcome, EARLIER_MS);
}

/* Two start calls without an answer; the first one is logged. */
static void test_open_start_call_is_logged_once(void)
{
	capture_t capture;
	json_t *lines;

	open_rig();
	rig->executor->epoch = 7;
	begin_capture(&capture);
	send_order(GN_RUN_ORDER_START, EARLIER_MS);
	answer_call(GN_WORKER_UNANSWERED, 0);
	advance_ms(100);
	answer_call(GN_WORKER_UNANSWERED, 0);
	lines = end_capture(&capture, "start call open");
	g_assert_cmpuint(gn_counter_read(rig->executor->starts_unanswered), ==,
			 2);
	g_assert_cmpuint(json_array_size(lines), ==, 1);
	g_assert_cmpint(read_number(lines, 0, "attempt"), ==, 1);
	g_assert_cmpint(read_number(lines, 0, "born_ms"), ==, EARLIER_MS);
	g_assert_cmpint(read_number(lines, 0, "token"), ==, 7);
	g_assert_cmpint(read_number(lines, 0, "left_ms"), ==,
			LATE_US / GN_US_PER_MS);
	json_decref(lines);
	close_rig();
}

static void report_after_ms(unsigned ms)
{
	gn_clock_advance(&rig->runtime.clock, ms * GN_US_PER_MS);
	executor_report(rig->executor);
}

static void test_report_has_open_starts_in_the_next_life(void)
{
	open_rig();
	rig->executor->epoch = 7;
	send_order(GN_RUN_ORDER_START, EARLIER_MS);
	answer_call(GN_WORKER_UNANSWERED, 0);
	report_after_ms(2000);
	g_assert_true(rig->reported.lists_open_starts);
	g_assert_false(rig->reported.listed);
	g_assert_cmpuint(rig->reported.unknown_starts_ms, ==, 10000);
	g_assert_cmpuint(rig->reported.n_open_starts, ==, 1);
	g_assert_cmpstr(rig->reported_start.task, ==, TASK);
	g_assert_cmpuint(rig->reported_start.left_ms, ==, 10000);
	g_assert_false(rig->reported_start.former);
	send_heartbeat(LATER_MS);
	report_after_ms(1000);
	g_assert_cmpuint(rig->reported.n_open_starts, ==, 1);
	g_assert_cmpuint(rig->reported_start.left_ms, ==, 9000);
	g_assert_true(rig->reported_start.former);
	report_after_ms(9000);
	g_assert_cmpuint(rig->reported.n_open_starts, ==, 0);
	g_assert_cmpuint(rig->reported.unknown_starts_ms, ==, 0);
	close_rig();
}

/* Lists the runs of the life that started at this time, and reports them. */
static void report_list(uint64_t started_ms)
{
	executor_worker_tick(rig->executor);
	answer_call(GN_WORKER_OK, started_ms);
	executor_report(rig->executor);
}

static void test_age_of_a_life_counts_from_a_list_with_its_token(void)
{
	open_rig();
	rig->executor->epoch = 7;
	rig->executor->leader_fences_lives = true;
	report_after_ms(LATE_US / GN_US_PER_MS);
	g_assert_cmpuint(rig->reported.list_token, ==, 0);
	g_assert_cmpuint(rig->reported.life_age_ms, ==, UINT32_MAX);
	report_list(EARLIER_MS);
	g_assert_cmpuint(rig->reported.list_token, ==, 7);
	g_assert_cmpuint(rig->reported.life_age_ms, ==, 0);
	send_heartbeat(LATER_MS);
	g_assert_cmpuint(rig->reported.list_token, ==, 0);
	g_assert_cmpuint(rig->reported.life_age_ms, ==, UINT32_MAX);
	report_list(LATER_MS);
	g_assert_cmpuint(rig->reported.list_token, ==, 8);
	g_assert_cmpuint(rig->reported.life_age_ms, ==, 0);
	rig->executor->epoch = 9;
	report_after_ms(3000);
	g_assert_cmpuint(rig->reported.life_age_ms, ==, 3000);
	rig->executor->leader_fences_lives = false;
	report_after_ms(1);
	g_assert_cmpuint(rig->reported.life_age_ms, ==, UINT32_MAX);
	close_rig();
}

/* An earlier process may have sent starts with the token of this epoch. */
static void test_age_of_the_first_life_starts_over_with_the_epoch(void)
{
	open_rig();
	rig->executor->epoch = 7;
	rig->executor->leader_fences_lives = true;
	report_list(EARLIER_MS);
	report_after_ms(1000);
	g_assert_cmpuint(rig->reported.life_age_ms, ==, 1000);
	rig->executor->epoch = 8;
	report_after_ms(1000);
	g_assert_cmpuint(rig->reported.life_age_ms, ==, UINT32_MAX);
	report_list(EARLIER_MS);
	report_after_ms(1000);
	g_assert_cmpuint(rig->reported.life_age_ms, ==, 1000);
	close_rig();
}

/* The worker that was taken for gone goes on, and a start is sent to it. */
static void test_start_after_a_wrong_crash_is_fenced_off(void)
{
	open_rig();
	rig->executor->epoch = 7;
	rig->executor->leader_fences_lives = true;
	rig->executor->leader_renews_tokens = true;
	request_list_refused(GN_WORKER_UNSENT);
	request_list_refused(GN_WORKER_UNSENT);
	g_assert_true(rig->reported_crashed);
	request_list_refused(GN_WORKER_OK);
	g_assert_cmpuint(rig->fence, ==, 8);
	allow_leases();
	send_order(GN_RUN_ORDER_START, EARLIER_MS);
	answer_call(GN_WORKER_UNANSWERED, 0);
	g_assert_cmpuint(rig->fence, ==, 8);
	send_heartbeat(LATER_MS);
	report_list(LATER_MS);
	g_assert_cmpuint(rig->reported.list_token, ==, 9);
	close_rig();
}

/* The leader lets the claims lapse by the age of the worker's list. */
static void test_report_with_an_old_list_extends_the_lease(void)
{
	const gn_grant_t *grant;

	open_rig();
	grant = &rig->executor->grant;
	executor_report(rig->executor);
	answer_report();
	g_assert_cmpuint(grant->report_sent_us, ==, START_US);
	gn_clock_advance(&rig->runtime.clock,
			 (GN_GRANT_CLOCK_MAX_AGE_MS + 1) * GN_US_PER_MS);
	executor_report(rig->executor);
	answer_report();
	g_assert_cmpuint(grant->report_sent_us, ==, START_US);
	close_rig();
}

/* Asks a worker that left for its list, and passes the time of a report. */
static void list_after_leaving(gn_worker_call_outcome_t outcome,
			       unsigned took_ms)
{
	gn_clock_advance(&rig->runtime.clock, GN_US_PER_S);
	executor_worker_tick(rig->executor);
	gn_clock_advance(&rig->runtime.clock, took_ms * GN_US_PER_MS);
	answer_call(outcome, EARLIER_MS);
	executor_report(rig->executor);
}

/* It ends some seconds later if the answer to its deregistration is lost. */
static void test_runs_of_a_worker_that_left_are_over_before_it_ends(void)
{
	open_rig();
	send_deregistration(EARLIER_MS);
	list_after_leaving(GN_WORKER_OK, 1);
	g_assert_false(rig->reported_left);
	list_after_leaving(GN_WORKER_UNANSWERED, 1);
	g_assert_false(rig->reported_left);
	/* The connection timed out. */
	list_after_leaving(GN_WORKER_UNSENT, 1000);
	g_assert_false(rig->reported_left);
	list_after_leaving(GN_WORKER_UNSENT, 1);
	g_assert_true(rig->reported_left);
	close_rig();
}

static void test_crash_is_reported_only_with_the_next_life(void)
{
	open_rig();
	request_list_refused(GN_WORKER_UNSENT);
	g_assert_false(rig->reported_crashed);
	request_list_refused(GN_WORKER_UNSENT);
	g_assert_true(rig->reported_crashed);
	request_list_refused(GN_WORKER_OK);
	executor_report(rig->executor);
	g_assert_false(rig->reported_crashed);
	close_rig();
}

static void test_busy_worker_is_reported_as_crashed(void)
{
	open_rig();
	for (unsigned i = 0; i < 4; i++)
		request_list_refused(GN_WORKER_UNANSWERED);
	g_assert_false(rig->reported_crashed);
	close_rig();
}

/* The leader has stored that the life with this start has ended. */
static void confirm_leave(uint64_t started_ms)
{
	Gn__WorkerOrders orders = GN__WORKER_ORDERS__INIT;
	Gn__Envelope envelope = GN__ENVELOPE__INIT;

	envelope.body_case = GN__ENVELOPE__BODY_WORKER_ORDERS;
	envelope.worker_orders = &orders;
	orders.epoch = 1;
	orders.life = (char *)ID;
	orders.born_ms = started_ms;
	orders.leave_stored = true;
	rig->leader_handler(rig->executor, NULL, &envelope);
}

/* The leader that knows may be replaced before it has stored this. */
static void test_executor_ends_before_the_leave_of_its_worker_is_stored(void)
{
	open_rig();
	g_assert_true(gn_executor_role.is_stopped(rig->executor));
	send_deregistration(EARLIER_MS);
	g_assert_false(gn_executor_role.is_stopped(rig->executor));
	list_after_leaving(GN_WORKER_UNSENT, 1);
	g_assert_true(rig->reported_left);
	g_assert_false(gn_executor_role.is_stopped(rig->executor));
	confirm_leave(LATER_MS);
	g_assert_false(gn_executor_role.is_stopped(rig->executor));
	confirm_leave(EARLIER_MS);
	g_assert_true(gn_executor_role.is_stopped(rig->executor));
	close_rig();
}

/* Returns the number of records of leaves in the store. */
static size_t record_leaves(kv_state_t *state, fake_kv_t *fake)
{
	kv_answer_t answer;
	size_t count;

	for (unsigned i = 0; i < 100; i++) {
		gn_clock_advance(&rig->runtime.clock, 10 * GN_US_PER_MS);
		executor_leave_tick(rig->executor);
		fake_kv_run(fake);
	}
	kv_answer_init(&answer);
	kv_state_list(state, GN_LEAVE_PREFIX, 0, &answer);
	count = answer.items->len;
	kv_answer_clear(&answer);
	return count;
}

/* No leader is there until the grace time is over. */
static void test_leave_is_forgotten_when_no_leader_comes_in_time(void)
{
	kv_state_t *state = kv_state_create();
	fake_kv_t *fake;

	open_rig();
	rig->settings.name = LONG_HOST;
	fake = fake_kv_create(state, &rig->runtime.clock, 1);
	rig->executor->kv = fake_kv_client(fake);
	rig->runtime.rand = g_rand_new_with_seed(1);
	send_deregistration(EARLIER_MS);
	list_after_leaving(GN_WORKER_UNSENT, 1);
	g_assert_cmpuint(record_leaves(state, fake), ==, 0);
	rig->runtime.stopping = true;
	g_assert_cmpuint(record_leaves(state, fake), ==, 1);
	g_assert_false(gn_executor_role.is_stopped(rig->executor));
	executor_leave_reset(rig->executor);
	g_rand_free(rig->runtime.rand);
	close_rig();
	fake_kv_free(fake);
	kv_state_free(state);
}

static void test_orders_in_progress_delay_the_stop_only_briefly(void)
{
	open_rig();
	send_order(GN_RUN_ORDER_START, EARLIER_MS);
	rig->runtime.stop_requested_us = executor_now_us(rig->executor);
	g_assert_false(gn_executor_role.is_stopped(rig->executor));
	gn_clock_advance(&rig->runtime.clock, 500 * GN_US_PER_MS);
	g_assert_true(gn_executor_role.is_stopped(rig->executor));
	close_rig();
}

static void test_lease_of_a_worker_that_left_is_extended(void)
{
	open_rig();
	send_deregistration(EARLIER_MS);
	allow_leases();
	rig->lease_until_ms = 0;
	executor_worker_tick(rig->executor);
	g_assert_true(is_call_pending());
	g_assert_cmpuint(rig->lease_until_ms, ==, 0);
	close_rig();
}

/* The worker would discard ends that nobody has stored. */
static void test_stored_ends_of_an_earlier_life_are_ignored(void)
{
	Gn__WorkerOrders orders = GN__WORKER_ORDERS__INIT;
	Gn__Envelope envelope = GN__ENVELOPE__INIT;

	open_rig();
	send_heartbeat(LATER_MS);
	envelope.body_case = GN__ENVELOPE__BODY_WORKER_ORDERS;
	envelope.worker_orders = &orders;
	orders.epoch = 1;
	orders.life = (char *)ID;
	orders.ends_stored = 7;
	orders.born_ms = EARLIER_MS;
	rig->leader_handler(rig->executor, NULL, &envelope);
	g_assert_cmpuint(rig->executor->ends_stored, ==, 0);
	orders.born_ms = LATER_MS;
	rig->leader_handler(rig->executor, NULL, &envelope);
	g_assert_cmpuint(rig->executor->ends_stored, ==, 7);
	close_rig();
}

/* Has a list requested; the worker lists end 7 or none. */
static void request_ends(size_t count)
{
	static Gn__WorkerEnd end = GN__WORKER_END__INIT;
	static Gn__WorkerEnd *ends[] = { &end };

	end.number = 7;
	gn_clock_advance(&rig->runtime.clock, GN_US_PER_S);
	executor_worker_tick(rig->executor);
	rig->answer.outcome = GN_WORKER_OK;
	rig->answer.life_started_ms = EARLIER_MS;
	rig->answer.ends = ends;
	rig->answer.end_count = count;
	answer_list(CLOCK_MS);
}

static void request_list_of_no_process(void)
{
	gn_clock_advance(&rig->runtime.clock, GN_US_PER_S);
	executor_worker_tick(rig->executor);
	answer_call(GN_WORKER_UNSENT, EARLIER_MS);
}

/*
 * Guards against the loss of an end that the worker lists after its
 * deregistration: the leader would release the claim when the worker has ended,
 * and the task would run again.
 */
static void test_ends_of_a_worker_that_left_are_not_reported(void)
{
	open_rig();
	send_deregistration(EARLIER_MS);
	request_ends(1);
	g_assert_cmpuint(rig->reported_ends, ==, 1);
	g_assert_false(rig->reported_left);
	close_rig();
}

/* Guards against a done task that runs again since the last report of its end was
 * lost with its leader. */
static void test_ends_of_a_worker_that_ended_are_reported_until_stored(void)
{
	open_rig();
	send_deregistration(EARLIER_MS);
	request_ends(1);
	request_list_of_no_process();
	g_assert_true(rig->reported_left);
	rig->reported_ends = 0;
	executor_report(rig->executor);
	g_assert_cmpuint(rig->reported_ends, ==, 1);
	rig->executor->ends_stored = 7;
	executor_report(rig->executor);
	g_assert_cmpuint(rig->reported_ends, ==, 1);
	close_rig();
}

/* A worker restarted under its ID would discard its own ends, unseen. */
static void test_ends_are_discarded_again_without_need(void)
{
	open_rig();
	request_ends(1);
	rig->executor->ends_stored = 6;
	request_ends(1);
	g_assert_cmpuint(rig->discarded_ends, ==, 0);
	rig->executor->ends_stored = 7;
	request_ends(0);
	g_assert_cmpuint(rig->discarded_ends, ==, 7);
	request_ends(0);
	g_assert_cmpuint(rig->discarded_ends, ==, 0);
	close_rig();
}

/* The worker has ended before it could discard them. */
static void test_ends_are_discarded_after_the_process_has_ended(void)
{
	open_rig();
	request_ends(1);
	rig->executor->ends_stored = 7;
	request_ends(1);
	g_assert_cmpuint(rig->discarded_ends, ==, 7);
	gn_clock_advance(&rig->runtime.clock, GN_US_PER_S);
	executor_worker_tick(rig->executor);
	answer_call(GN_WORKER_UNSENT, EARLIER_MS);
	request_ends(1);
	g_assert_cmpuint(rig->discarded_ends, ==, 0);
	request_ends(1);
	g_assert_cmpuint(rig->discarded_ends, ==, 7);
	close_rig();
}

/* A lease counted on the clock of another life would end at a wrong time. */
/* Guards against a lease on the clock of an earlier life, which the worker takes
 * for one of the longest: the answer to a start does not say whose it is. */
static void test_answer_that_waited_for_a_new_life_has_no_clock(void)
{
	gn_worker_notice_t notice;

	open_rig();
	send_order(GN_RUN_ORDER_START, EARLIER_MS);
	notice = rig->notice;
	notice.life_started_ms = LATER_MS;
	notice.labels = talloc_zero_array(rig->executor, char *, 1);
	executor_begin_life(rig->executor, &notice);
	answer_call(GN_WORKER_OK, 0);
	g_assert_cmpuint(rig->executor->grant.clock_ms, ==, 0);
	g_assert_cmpuint(rig->executor->results->len, ==, 0);
	close_rig();
}

static void test_clock_of_another_life_is_not_recorded(void)
{
	open_rig();
	send_order(GN_RUN_ORDER_STOP, EARLIER_MS);
	answer_call(GN_WORKER_OK, LATER_MS);
	g_assert_cmpuint(rig->executor->grant.clock_ms, ==, 1);
	close_rig();
}

/* A leader with this epoch answers whether the data centre is evacuated. */
static void answer_evacuated(uint64_t epoch, bool evacuated)
{
	Gn__WorkerOrders orders = GN__WORKER_ORDERS__INIT;
	Gn__Envelope envelope = GN__ENVELOPE__INIT;

	envelope.body_case = GN__ENVELOPE__BODY_WORKER_ORDERS;
	envelope.worker_orders = &orders;
	orders.epoch = epoch;
	orders.evacuated = evacuated;
	rig->leader_handler(rig->executor, NULL, &envelope);
}

/* Guards against an answer of a leader that has been superseded, and of a
 * scheduler that does not lead. */
static void test_older_leader_ends_an_evacuation(void)
{
	open_rig();
	answer_evacuated(2, true);
	answer_evacuated(1, false);
	answer_evacuated(0, false);
	g_assert_true(rig->executor->evacuated);
	send_order(GN_RUN_ORDER_START, EARLIER_MS);
	g_assert_cmpuint(rig->starts, ==, 0);
	answer_evacuated(3, false);
	g_assert_false(rig->executor->evacuated);
	close_rig();
}

/* The heartbeat ages until the next one. */
/* Returns the fencing token of the first call to a life that began after one
 * under the same ID, while the leader is of @p epoch. */
static uint64_t get_first_fence(uint64_t epoch, bool fences_lives)
{
	Gn__WorkerOrders message = GN__WORKER_ORDERS__INIT;
	Gn__Envelope envelope = GN__ENVELOPE__INIT;
	uint64_t fence;

	open_rig();
	message.epoch = epoch;
	message.fences_lives = fences_lives;
	envelope.body_case = GN__ENVELOPE__BODY_WORKER_ORDERS;
	envelope.worker_orders = &message;
	rig->leader_handler(rig->executor, NULL, &envelope);
	answer_call(GN_WORKER_UNANSWERED, EARLIER_MS);
	g_assert_cmpuint(rig->fence, ==, epoch);
	send_heartbeat(LATER_MS);
	advance_ms(100);
	executor_worker_tick(rig->executor);
	fence = rig->fence;
	close_rig();
	return fence;
}

/* Guards against calls for the earlier life that the new one carries out before
 * its leader knows it. A leader of an older build would not give this token to
 * another process of the executor. */
static void test_first_call_of_a_life_fences_off_the_earlier_one(void)
{
	g_assert_cmpuint(get_first_fence(7, true), ==, 8);
	g_assert_cmpuint(get_first_fence(7, false), ==, 7);
}

static void test_cold_time_falls_between_heartbeats(void)
{
	open_rig();
	rig->executor->notice.cold_left_ms = 3000;
	executor_report(rig->executor);
	g_assert_cmpuint(rig->reported_cold_left_ms, ==, 3000);
	gn_clock_advance(&rig->runtime.clock, GN_US_PER_S);
	executor_report(rig->executor);
	g_assert_cmpuint(rig->reported_cold_left_ms, ==, 2000);
	gn_clock_advance(&rig->runtime.clock, 5 * GN_US_PER_S);
	executor_report(rig->executor);
	g_assert_cmpuint(rig->reported_cold_left_ms, ==, 0);
	close_rig();
}

/* A heartbeat announces a life that @p answer then speaks of. */
static void announce(const char *life, uint64_t started_ms,
		     gn_worker_answer_t answer)
{
	rig->answer = answer;
	rig->notice.sequence++;
	g_strlcpy(rig->notice.life, life, sizeof(rig->notice.life));
	rig->notice.life_started_ms = started_ms;
	g_assert_cmpuint(post_notice(), ==, 200);
	answer_question();
}

static void assert_life(const char *life, uint64_t started_ms)
{
	g_assert_true(gn_life_matches(executor_get_life(rig->executor),
				      (gn_life_t){ life, started_ms }));
}

/* Guards against the end of a life by a heartbeat of another writer. */
static void test_life_goes_on_until_the_worker_confirms_another(void)
{
	const gn_worker_answer_t other = { .outcome = GN_WORKER_LIFE_ENDED };
	const gn_worker_answer_t none = { .outcome = GN_WORKER_UNANSWERED };
	const gn_worker_answer_t yes = { .life_started_ms = LATER_MS };

	open_rig();
	announce("i-2", LATER_MS, other);
	assert_life(ID, EARLIER_MS);
	g_assert_cmpuint(gn_counter_read(rig->executor->refused_heartbeats), ==,
			 1);
	announce("i-2", LATER_MS, none);
	assert_life(ID, EARLIER_MS);
	rig->answer = yes;
	advance_ms(100);
	executor_announce_tick(rig->executor);
	answer_question();
	assert_life("i-2", LATER_MS);
	close_rig();
}

/* Guards against a delayed heartbeat of an earlier life under the same ID, which
 * is the first that this process gets. */
static void test_worker_says_when_its_life_began(void)
{
	const gn_worker_answer_t later = { .life_started_ms = LATER_MS };

	open_rig();
	rig->executor->worker_known = false;
	announce(ID, EARLIER_MS, later);
	g_assert_false(rig->executor->worker_known);
	announce(ID, LATER_MS, later);
	assert_life(ID, LATER_MS);
	close_rig();
}

/* Guards against a question that is asked for ever, and against an executor
 * that has restarted and never knows a worker that refuses its token. */
static void test_announced_life_expires_or_is_refused_by_fence(void)
{
	const gn_worker_answer_t none = { .outcome = GN_WORKER_UNANSWERED };
	const gn_worker_answer_t fenced = { .outcome = GN_WORKER_FENCED };

	open_rig();
	announce("i-2", LATER_MS, none);
	advance_ms(6000);
	executor_announce_tick(rig->executor);
	g_assert_false(rig->executor->announced.known);
	assert_life(ID, EARLIER_MS);
	announce("i-2", LATER_MS, fenced);
	assert_life(ID, EARLIER_MS);
	rig->executor->worker_known = false;
	announce("i-2", LATER_MS, fenced);
	assert_life("i-2", LATER_MS);
	close_rig();
}

static void test_odd_heartbeat_leaves_the_worker(void)
{
	open_rig();
	g_assert_cmpuint(send_notice(INT64_MAX), ==, 400);
	g_strlcpy(rig->notice.address, "127.0.0.1:65536",
		  sizeof(rig->notice.address));
	g_assert_cmpuint(send_notice(LATER_MS), ==, 400);
	g_assert_cmpuint(gn_counter_read(rig->executor->refused_heartbeats), ==,
			 2);
	g_strlcpy(rig->notice.address, rig->settings.jobs.worker_address,
		  sizeof(rig->notice.address));
	g_assert_cmpuint(rig->executor->notice.life_started_ms, ==, EARLIER_MS);
	send_heartbeat(LATER_MS);
	g_assert_cmpuint(rig->executor->notice.life_started_ms, ==, LATER_MS);
	close_rig();
}

static void put_key(kv_state_t *state, const char *key, const char *value)
{
	const gn_kv_put_t put = { .key = gn_str_from(key),
				  .value = gn_str_from(value),
				  .change_id = GN_STR("x") };
	kv_answer_t answer;

	kv_answer_init(&answer);
	kv_state_put(state, gn_clock_now_us(&rig->runtime.clock), &put,
		     &answer);
	g_assert_cmpint(answer.code, ==, GN_OK);
	kv_answer_clear(&answer);
}

static void test_odd_scheduler_entries_hide_no_leader(void)
{
	kv_state_t *state = kv_state_create();
	executor_t *executor;
	fake_kv_t *fake;

	open_rig();
	executor = rig->executor;
	put_key(state, "gn/live/leader", "00000000000000aa@127.0.0.1:7");
	put_key(state, "gn/live/members/a", "127.0.0.1:8");
	put_key(state, "gn/live/members/b", "127.0.0.1:65536");
	put_key(state, "gn/live/members/c", "00000000000000aa@127.0.0.1:9");
	put_key(state, "gn/live/members/d", "[[[[");
	put_key(state, "gn/live/odd", "x@127.0.0.1:99999");
	fake = fake_kv_create(state, &rig->runtime.clock, 1);
	executor->kv = fake_kv_client(fake);
	executor->lookup = 0;
	gn_clock_advance(&rig->runtime.clock, GN_US_PER_S);
	executor_leader_tick(executor);
	for (unsigned i = 0; i < 10; i++) {
		gn_clock_advance(&rig->runtime.clock, 2 * GN_US_PER_MS);
		fake_kv_run(fake);
	}
	g_assert_cmpstr(executor->leader_address, ==, "127.0.0.1:7");
	g_assert_cmpuint(executor->schedulers->len, ==, 2);
	g_assert_cmpstr(g_ptr_array_index(executor->schedulers, 1), ==,
			"127.0.0.1:8");
	g_assert_cmpuint(gn_counter_read(executor->refused_entries), ==, 4);
	close_rig();
	fake_kv_free(fake);
	kv_state_free(state);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/executor/start_answered_by_its_life_counts",
			test_start_answered_by_its_life_counts);
	g_test_add_func(
		"/executor/start_answered_by_another_life_is_unanswered",
		test_start_answered_by_another_life_is_unanswered);
	g_test_add_func(
		"/executor/start_answered_by_a_younger_clock_is_not_settled",
		test_start_answered_by_a_younger_clock_is_not_settled);
	g_test_add_func("/executor/stop_answered_by_another_life_is_repeated",
			test_stop_answered_by_another_life_is_repeated);
	g_test_add_func(
		"/executor/answer_that_waited_for_a_new_life_has_no_clock",
		test_answer_that_waited_for_a_new_life_has_no_clock);
	g_test_add_func("/executor/clock_of_another_life_is_not_recorded",
			test_clock_of_another_life_is_not_recorded);
	g_test_add_func(
		"/executor/"
		"start_for_an_earlier_life_is_not_reported_as_not_started",
		test_start_for_an_earlier_life_is_not_reported_as_not_started);
	g_test_add_func("/executor/lines_of_orders_do_not_tell_lives_apart",
			test_lines_of_orders_do_not_tell_lives_apart);
	g_test_add_func(
		"/executor/orders_for_an_earlier_life_are_dropped_silently",
		test_orders_for_an_earlier_life_are_dropped_silently);
	g_test_add_func(
		"/executor/answers_of_another_life_are_discarded_silently",
		test_answers_of_another_life_are_discarded_silently);
	g_test_add_func("/executor/start_of_an_unknown_start_time_is_sent",
			test_start_of_an_unknown_start_time_is_sent);
	g_test_add_func("/executor/results_of_an_earlier_life_are_not_reported",
			test_results_of_an_earlier_life_are_not_reported);
	g_test_add_func("/executor/ends_of_a_worker_that_left_are_not_reported",
			test_ends_of_a_worker_that_left_are_not_reported);
	g_test_add_func("/executor/ends_are_discarded_again_without_need",
			test_ends_are_discarded_again_without_need);
	g_test_add_func(
		"/executor/ends_are_discarded_after_the_process_has_ended",
		test_ends_are_discarded_after_the_process_has_ended);
	g_test_add_func("/executor/stored_ends_of_an_earlier_life_are_ignored",
			test_stored_ends_of_an_earlier_life_are_ignored);
	g_test_add_func("/executor/"
			"late_deregistration_of_an_earlier_life_is_ignored",
			test_late_deregistration_of_an_earlier_life_is_ignored);
	g_test_add_func(
		"/executor/deregistration_of_an_unknown_start_time_counts",
		test_deregistration_of_an_unknown_start_time_counts);
	g_test_add_func(
		"/executor/runs_of_a_worker_that_left_are_over_before_it_ends",
		test_runs_of_a_worker_that_left_are_over_before_it_ends);
	g_test_add_func(
		"/executor/"
		"executor_ends_before_the_leave_of_its_worker_is_stored",
		test_executor_ends_before_the_leave_of_its_worker_is_stored);
	g_test_add_func(
		"/executor/leave_is_forgotten_when_no_leader_comes_in_time",
		test_leave_is_forgotten_when_no_leader_comes_in_time);
	g_test_add_func(
		"/executor/orders_in_progress_delay_the_stop_only_briefly",
		test_orders_in_progress_delay_the_stop_only_briefly);
	g_test_add_func("/executor/crash_is_reported_only_with_the_next_life",
			test_crash_is_reported_only_with_the_next_life);
	g_test_add_func("/executor/busy_worker_is_reported_as_crashed",
			test_busy_worker_is_reported_as_crashed);
	g_test_add_func("/executor/lease_of_a_worker_that_left_is_extended",
			test_lease_of_a_worker_that_left_is_extended);
	g_test_add_func("/executor/older_list_replaces_a_newer_one",
			test_older_list_replaces_a_newer_one);
	g_test_add_func("/executor/report_with_an_old_list_extends_the_lease",
			test_report_with_an_old_list_extends_the_lease);
	g_test_add_func("/executor/open_start_call_is_logged_once",
			test_open_start_call_is_logged_once);
	g_test_add_func("/executor/report_has_open_starts_in_the_next_life",
			test_report_has_open_starts_in_the_next_life);
	g_test_add_func(
		"/executor/age_of_a_life_counts_from_a_list_with_its_token",
		test_age_of_a_life_counts_from_a_list_with_its_token);
	g_test_add_func(
		"/executor/age_of_the_first_life_starts_over_with_the_epoch",
		test_age_of_the_first_life_starts_over_with_the_epoch);
	g_test_add_func("/executor/start_after_a_wrong_crash_is_fenced_off",
			test_start_after_a_wrong_crash_is_fenced_off);
	g_test_add_func("/executor/older_leader_ends_an_evacuation",
			test_older_leader_ends_an_evacuation);
	g_test_add_func(
		"/executor/first_call_of_a_life_fences_off_the_earlier_one",
		test_first_call_of_a_life_fences_off_the_earlier_one);
	g_test_add_func("/executor/cold_time_falls_between_heartbeats",
			test_cold_time_falls_between_heartbeats);
	g_test_add_func(
		"/executor/life_goes_on_until_the_worker_confirms_another",
		test_life_goes_on_until_the_worker_confirms_another);
	g_test_add_func("/executor/worker_says_when_its_life_began",
			test_worker_says_when_its_life_began);
	g_test_add_func(
		"/executor/announced_life_expires_or_is_refused_by_fence",
		test_announced_life_expires_or_is_refused_by_fence);
	g_test_add_func("/executor/odd_heartbeat_leaves_the_worker",
			test_odd_heartbeat_leaves_the_worker);
	g_test_add_func("/executor/odd_scheduler_entries_hide_no_leader",
			test_odd_scheduler_entries_hide_no_leader);
	g_test_add_func(
		"/executor/ends_of_a_worker_that_ended_are_reported_"
		"until_stored",
		test_ends_of_a_worker_that_ended_are_reported_until_stored);
	return g_test_run();
}
