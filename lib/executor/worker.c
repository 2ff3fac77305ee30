/**
 * @file worker.c
 * @brief The worker: its heartbeats, its list and its lease.
 */
#include <string.h>

#include "common/event.h"
#include "common/str.h"
#include "executor/attempt.h"
#include "executor/ends.h"
#include "executor/executor_internal.h"
#include "executor/notice.h"
#include "http/reply.h"
#include "http/status.h"

/** Maximum time that the worker waits for an end before it lists, ms. */
#define LIST_WAIT_MS 400
/** Delay after a failed request for the list; shorter after the first ones, to
 * learn soon whether the worker's process is gone. */
#define LIST_RETRY_DELAY_US (100 * GN_US_PER_MS)
#define LIST_QUICK_RETRY_DELAY_US (25 * GN_US_PER_MS)
#define LIST_QUICK_RETRIES 3
/** Delay while ends are not stored yet, since the worker lists them at once. */
#define LIST_ENDS_DELAY_US (60 * GN_US_PER_MS)

gn_life_t executor_get_life(const executor_t *executor)
{
	return gn_notice_get_life(&executor->notice);
}

static void log_life(const executor_t *executor, const char *event)
{
	gn_event(event, "{s:s, s:I, s:I}", "life", executor->notice.life,
		 "born_ms", (json_int_t)executor->notice.life_started_ms,
		 "token", (json_int_t)executor_get_token(executor));
}

/* ======   Calls   ====== */

uint64_t executor_get_token(const executor_t *executor)
{
	return gn_token_get(&executor->token, executor->epoch);
}

bool executor_call_worker(executor_t *executor, gn_worker_call_t *call,
			  unsigned timeout_ms, gn_http_done_t done, void *arg)
{
	gn_http_call_t *http = gn_http_call_create();

	call->address = executor->runtime->settings->jobs.worker_address;
	if (!call->life)
		call->life =
			executor->worker_known ? executor->notice.life : "";
	call->epoch = executor_get_token(executor);
	if (call->kind == GN_WORKER_START || call->lease_until_ms ||
	    call->ends_stored)
		gn_token_record_call(&executor->token);
	if (!http || !executor->adapter->write_worker_call(call, http)) {
		free(http);
		return false;
	}
	http->timeout_ms = timeout_ms;
	/* Each start call without an answer must be known. */
	http->send_once = call->kind == GN_WORKER_START;
	http->done = done;
	http->arg = arg;
	gn_http_client_call(executor->client, http);
	return true;
}

void executor_record_clock(executor_t *executor,
			   const gn_worker_answer_t *answer)
{
	if (!answer->clock_ms || answer->outcome == GN_WORKER_LIFE_ENDED)
		return;
	if (!gn_grant_record_clock(&executor->grant, answer->clock_ms,
				   executor_now_us(executor)))
		return;
	gn_event("lease lapsed", "{s:s, s:I, s:I, s:I}", "life",
		 executor->notice.life, "born_ms",
		 (json_int_t)executor->notice.life_started_ms, "clock_ms",
		 (json_int_t)answer->clock_ms, "until_ms",
		 (json_int_t)executor->grant.granted_until_ms);
	executor->grant.granted_until_ms = 0;
}

/* A process of another ID refuses the call, so that the answer is of a life
 * under the ID that was called. */
gn_life_t executor_get_answering_life(const char *called,
				      const gn_worker_answer_t *answer)
{
	return (gn_life_t){ called, answer->life_started_ms };
}

static bool is_current_life(const executor_t *executor,
			    const gn_worker_answer_t *answer)
{
	return gn_life_matches(
		executor_get_answering_life(executor->notice.life, answer),
		executor_get_life(executor));
}

static bool is_from_worker(gn_worker_call_outcome_t outcome)
{
	return outcome != GN_WORKER_UNSENT && outcome != GN_WORKER_UNANSWERED;
}

/* All answers of a kind that one life gives to the calls of another are alike,
 * so the first of them is logged. */
static void count_discarded(executor_t *executor, gn_worker_call_kind_t kind,
			    uint64_t lives, const gn_worker_answer_t *answer)
{
	static const char *const kinds[GN_WORKER_CALL_KIND_COUNT] = {
		[GN_WORKER_LIST] = "list",
		[GN_WORKER_START] = "start",
		[GN_WORKER_STOP] = "stop",
		[GN_WORKER_PACE] = "pace",
	};
	const executor_discarded_t discarded = { lives, executor->lives,
						 answer->life_started_ms };
	executor_discarded_t *last = &executor->discarded[kind];

	gn_counter_inc(executor->answers_of_other_lives);
	if (!memcmp(&discarded, last, sizeof(discarded)))
		return;
	*last = discarded;
	gn_event("answer discarded", "{s:s, s:s, s:b, s:s, s:I, s:I, s:I, s:I}",
		 "why",
		 lives == executor->lives
			 ? "another life of the worker has answered"
			 : "the call was sent in an earlier life",
		 "kind", kinds[kind], "done", answer->outcome == GN_WORKER_OK,
		 "life", executor->notice.life, "born_ms",
		 (json_int_t)executor->notice.life_started_ms,
		 "answered_born_ms", (json_int_t)answer->life_started_ms,
		 "token", (json_int_t)executor_get_token(executor), "epoch",
		 (json_int_t)executor->epoch);
}

void executor_read_answer(executor_t *executor, TALLOC_CTX *parent,
			  gn_worker_call_kind_t kind,
			  const gn_http_call_t *http, uint64_t lives,
			  gn_worker_answer_t *answer)
{
	executor->adapter->read_worker_answer(parent, kind, http, answer);
	if (lives == executor->lives && is_current_life(executor, answer))
		return;
	if (is_from_worker(answer->outcome))
		count_discarded(executor, kind, lives, answer);
	/* Each life has its own runs and its own clock. */
	answer->outcome = GN_WORKER_UNANSWERED;
	answer->clock_ms = 0;
}

/* ======   Fencing token   ====== */

static void raise_fence(executor_t *executor, const char *why)
{
	if (gn_token_raise(&executor->token, executor->epoch))
		gn_event("fence", "{s:s, s:I, s:I, s:s}", "life",
			 executor->notice.life, "born_ms",
			 (json_int_t)executor->notice.life_started_ms, "token",
			 (json_int_t)executor_get_token(executor), "why", why);
}

/* If the present life is still there, another process of this executor could
 * call it only with a later token of the leader. */
void executor_fence_next_life(executor_t *executor, const char *why)
{
	if (executor->leader_renews_tokens)
		raise_fence(executor, why);
}

/* The leader's next epoch is not lower, and another process of this executor has
 * to learn that. */
static void fence_begun_life(executor_t *executor,
			     const gn_worker_notice_t *notice)
{
	bool has_known_id =
		executor->worker_known &&
		gn_life_compare(executor_get_life(executor),
				gn_notice_get_life(notice)) != GN_LIFE_OTHER;
	bool has_unknown_calls =
		executor->first_life ||
		(has_known_id && gn_orders_unknown_starts_us(executor->orders));

	if (has_known_id && executor->leader_fences_lives)
		raise_fence(executor, "it has begun");
	gn_life_age_begin(
		&executor->life_age,
		has_known_id
			? gn_token_get_former(&executor->token, executor->epoch)
			: 0,
		has_unknown_calls ? gn_orders_unknown_until_us(executor->orders)
				  : 0);
	gn_token_begin_life(&executor->token);
}

/* ======   The list   ====== */

static uint64_t get_list_retry_delay_us(const executor_list_t *request)
{
	const executor_t *executor = request->executor;

	/* The next life must be fenced before a late start reaches it. */
	if (executor->gone.gone && gn_orders_have_open_starts(executor->orders))
		return LIST_QUICK_RETRY_DELAY_US;
	return request->attempts <= LIST_QUICK_RETRIES
		       ? LIST_QUICK_RETRY_DELAY_US
		       : LIST_RETRY_DELAY_US;
}

/* A malformed row stays in the list until it has ended, so each number of them
 * is logged once. */
static void count_refused_rows(executor_t *executor,
			       const gn_worker_answer_t *answer)
{
	size_t known = executor->refused_row_count;

	executor->refused_row_count = answer->refused_rows;
	if (answer->refused_rows <= known)
		return;
	gn_counter_add(executor->refused_rows, answer->refused_rows - known);
	gn_event("list rows refused", "{s:s, s:I, s:I, s:I, s:I}", "life",
		 executor->notice.life, "born_ms",
		 (json_int_t)executor->notice.life_started_ms, "refused",
		 (json_int_t)answer->refused_rows, "runs",
		 (json_int_t)answer->run_count, "ends",
		 (json_int_t)answer->end_count);
}

/* Keeps a list unless a newer one came before, on another connection. */
static void store_list(executor_t *executor, TALLOC_CTX *list,
		       const gn_worker_answer_t *answer, uint64_t token)
{
	if (answer->clock_ms < executor->list_clock_ms) {
		talloc_free(list);
		return;
	}
	count_refused_rows(executor, answer);
	talloc_free(executor->list);
	executor->list = list;
	executor->list_clock_ms = answer->clock_ms;
	executor->list_token = token;
	executor->runs = answer->runs;
	executor->run_count = answer->run_count;
	executor->ends = answer->ends;
	executor->end_count = answer->end_count;
	executor->ends_cut = answer->ends_cut;
	executor->list_unreported = true;
	if (answer->end_count)
		executor->list_due_us =
			executor_now_us(executor) + LIST_ENDS_DELAY_US;
}

/*
 * Whether the answer shows that the worker's process has ended. A connection is
 * refused at once where no process listens; a busy one lets it time out.
 */
static bool is_proof_of_end(const executor_list_t *request,
			    gn_worker_call_outcome_t outcome)
{
	uint64_t took_us =
		executor_now_us(request->executor) - request->sent_us;

	return outcome == GN_WORKER_LIFE_ENDED ||
	       (outcome == GN_WORKER_UNSENT &&
		took_us < gn_attempt_timeout_ms(1) * GN_US_PER_MS);
}

static void on_end(executor_t *executor)
{
	if (executor->worker_ended)
		return;
	log_life(executor, "worker ended");
	executor->worker_ended = true;
	gn_orders_record_gone(executor->orders, true);
	executor_report(executor);
}

/* Tells the leader at once, which then need not wait for the next life. */
static void on_refusal(executor_t *executor)
{
	if (!gn_gone_record_refusal(&executor->gone, executor_now_us(executor)))
		return;
	executor_fence_next_life(executor, "the present one has crashed");
	log_life(executor, "worker crashed");
	gn_orders_record_gone(executor->orders, true);
	executor_report(executor);
}

static void on_response(executor_t *executor)
{
	if (!gn_gone_record_response(&executor->gone))
		return;
	log_life(executor, "worker answers again");
	gn_orders_record_gone(executor->orders, false);
}

static void note_token(executor_t *executor, const gn_worker_answer_t *answer)
{
	const gn_life_t life =
		executor_get_answering_life(executor->notice.life, answer);

	if (answer->outcome == GN_WORKER_FENCED)
		executor->fenced = true;
	else if (answer->outcome == GN_WORKER_OK)
		executor->fenced = false;
	if (executor->worker_known &&
	    gn_life_compare(executor_get_life(executor), life) ==
		    GN_LIFE_FORMER)
		executor_fence_next_life(executor, "it has answered");
}

static void on_list(void *arg, const gn_http_call_t *http)
{
	executor_list_t *request = arg;
	executor_t *executor = request->executor;
	TALLOC_CTX *list = talloc_new(executor);
	gn_worker_answer_t answer;

	request->pending = false;
	executor_read_answer(executor, list, GN_WORKER_LIST, http,
			     request->lives, &answer);
	note_token(executor, &answer);
	if (is_proof_of_end(request, answer.outcome)) {
		executor->is_process_gone = true;
		if (executor->worker_left)
			on_end(executor);
	}
	if (answer.outcome == GN_WORKER_UNSENT && http->refused &&
	    !executor->worker_left)
		on_refusal(executor);
	if (answer.outcome != GN_WORKER_OK || !executor->worker_known) {
		executor->list_due_us = executor_now_us(executor) +
					get_list_retry_delay_us(request);
		talloc_free(list);
		return;
	}
	on_response(executor);
	gn_life_age_record_list(&executor->life_age, request->token,
				executor->epoch, executor_now_us(executor));
	executor_record_clock(executor, &answer);
	executor->is_process_gone = false;
	request->attempts = 0;
	executor->list_due_us =
		executor->worker_left
			? executor_now_us(executor) + LIST_RETRY_DELAY_US
			: 0;
	gn_orders_handle_list(executor->orders, &answer, request->sent_us);
	store_list(executor, list, &answer, request->token);
	if (executor->end_count)
		executor_report(executor);
}

bool executor_has_unstored_ends(const executor_t *executor)
{
	return executor->end_count &&
	       executor->ends[executor->end_count - 1]->number >
		       executor->ends_stored;
}

static void request_list(executor_list_t *request, unsigned wait_ms)
{
	executor_t *executor = request->executor;
	uint64_t now_us = executor_now_us(executor);
	gn_worker_call_t call = { .kind = GN_WORKER_LIST, .wait_ms = wait_ms };

	/* After a failure, the next process may answer: it has other ends. One
	 * request at a time discards them, so that no failure is overlooked. */
	if (request == &executor->waiting_list && !executor->is_process_gone &&
	    !request->attempts)
		call.ends_stored =
			gn_ends_to_discard(executor->ends, executor->end_count,
					   executor->ends_stored);
	/* A worker that left is only asked whether it has ended; the next process
	 * would take the lease for one on its own clock. */
	if (!executor->worker_left && !executor->is_process_gone)
		call.lease_until_ms =
			gn_grant_extend_until_ms(&executor->grant, now_us);
	request->sent_us = now_us;
	request->lives = executor->lives;
	request->attempts++;
	request->pending = executor_call_worker(
		executor, &call,
		wait_ms + gn_attempt_timeout_ms(request->attempts), on_list,
		request);
	request->token = call.epoch;
}

/* Whether no list was requested yet that could decide all orders. */
static bool is_list_needed(const executor_t *executor)
{
	uint64_t since_us = gn_orders_list_needed_since_us(executor->orders);

	return executor->waiting_list.sent_us < since_us &&
	       executor->prompt_list.sent_us < since_us;
}

void executor_worker_tick(executor_t *executor)
{
	bool waits =
		!executor->worker_left && !executor_has_unstored_ends(executor);

	if (!executor->worker_known || executor->worker_ended)
		return;
	if (!executor->waiting_list.pending &&
	    executor_now_us(executor) >= executor->list_due_us)
		request_list(&executor->waiting_list, waits ? LIST_WAIT_MS : 0);
	if (!executor->prompt_list.pending && is_list_needed(executor))
		request_list(&executor->prompt_list, 0);
}

/* ======   Heartbeats   ====== */

static void reset_for_life(executor_t *executor,
			   const gn_worker_notice_t *notice)
{
	fence_begun_life(executor, notice);
	gn_event("worker", "{s:s, s:I, s:I, s:I, s:b, s:s, s:s, s:i, s:i}",
		 "life", notice->life, "born_ms",
		 (json_int_t)notice->life_started_ms, "token",
		 (json_int_t)executor_get_token(executor), "epoch",
		 (json_int_t)executor->epoch, "first_life",
		 executor->first_life, "service", notice->service, "rack",
		 notice->rack, "cpu_milli", (int)notice->cpu_milli, "memory_mb",
		 (int)notice->memory_mb);
	gn_orders_begin_life(executor->orders, gn_notice_get_life(notice));
	/* The leader would take them for results of this life. */
	g_ptr_array_set_size(executor->results, 0);
	gn_grant_reset(&executor->grant);
	talloc_free(executor->list);
	executor->list = NULL;
	executor->list_clock_ms = 0;
	executor->list_token = 0;
	executor->run_count = 0;
	executor->end_count = 0;
	executor->ends_cut = false;
	executor->refused_row_count = 0;
	executor->list_unreported = false;
	executor->ends_stored = 0;
	executor->is_process_gone = false;
	gn_gone_reset(&executor->gone);
	executor->worker_draining_us = 0;
	executor->worker_left = false;
	executor->worker_ended = false;
	executor->leave_stored = false;
	executor->fenced = false;
	executor_leave_reset(executor);
	executor->list_due_us = 0;
	executor->waiting_list.attempts = 0;
	executor->prompt_list.attempts = 0;
}

/* Takes over what the worker says about itself. */
static void take_notice(executor_t *executor, const gn_worker_notice_t *notice)
{
	if (notice->draining && !executor->worker_draining_us) {
		executor->worker_draining_us = executor_now_us(executor);
		gn_orders_refuse_starts(executor->orders);
		gn_event("worker draining", "{s:s, s:I, s:i}", "life",
			 notice->life, "born_ms",
			 (json_int_t)notice->life_started_ms, "remaining_ms",
			 (int)notice->remaining_ms);
	}
	talloc_free(executor->notice.labels);
	executor->notice = *notice;
	executor->worker_known = true;
	executor->described_us = executor_now_us(executor);
}

void executor_begin_life(executor_t *executor, const gn_worker_notice_t *notice)
{
	executor->first_life = !executor->worker_known;
	executor->lives++;
	reset_for_life(executor, notice);
	take_notice(executor, notice);
	executor_report(executor);
}

static void on_heartbeat(executor_t *executor, const gn_worker_notice_t *notice)
{
	const gn_life_t life = gn_notice_get_life(notice);
	bool is_same = executor->worker_known &&
		       gn_life_equals(life, executor_get_life(executor));

	/* Ignores heartbeats of an earlier life or out of order. */
	if (executor->worker_known &&
	    (gn_life_began_before(life, executor_get_life(executor)) ||
	     gn_notice_is_outdated(notice, &executor->notice))) {
		talloc_free(notice->labels);
		return;
	}
	if (!is_same) {
		executor_announce(executor, notice);
		return;
	}
	take_notice(executor, notice);
	if (notice->draining)
		executor_report(executor);
}

static void on_leave(executor_t *executor, const gn_worker_notice_t *notice)
{
	if (!executor->worker_known ||
	    !gn_life_matches(gn_notice_get_life(notice),
			     executor_get_life(executor)))
		return;
	log_life(executor, "worker left");
	executor->worker_left = true;
	gn_orders_refuse_starts(executor->orders);
	executor->list_due_us = 0;
	executor_report(executor);
}

static json_t *dump_state(const executor_t *executor)
{
	json_t *json = gn_runtime_dump(executor->runtime);

	json_object_set_new(json, "role", json_string("executor"));
	json_object_set_new(json, "life", json_string(executor->notice.life));
	json_object_set_new(
		json, "born_ms",
		json_integer((json_int_t)executor->notice.life_started_ms));
	json_object_set_new(json, "leader",
			    json_string(executor->leader_address));
	json_object_set_new(json, "epoch",
			    json_integer((json_int_t)executor->epoch));
	json_object_set_new(json, "evacuated",
			    json_boolean(executor->evacuated));
	json_object_set_new(json, "runs",
			    json_integer((json_int_t)executor->run_count));
	json_object_set_new(
		json, "orders",
		json_integer((json_int_t)gn_orders_count(executor->orders)));
	json_object_set_new(
		json, "open_starts",
		json_integer((json_int_t)gn_orders_count_open_starts(
			executor->orders)));
	json_object_set_new(
		json, "unknown_starts_ms",
		json_integer((json_int_t)(gn_orders_unknown_starts_us(
						  executor->orders) /
					  GN_US_PER_MS)));
	json_object_set_new(json, "list_token",
			    json_integer((json_int_t)executor->list_token));
	return json;
}

/* Whether the notice cannot be one of the worker; then it is logged. */
static bool is_refused(executor_t *executor, const gn_worker_notice_t *notice)
{
	const gn_notice_view_t view = {
		.worker_address =
			executor->runtime->settings->jobs.worker_address,
		.wall_ms = gn_clock_now_us(&executor->wall) / GN_US_PER_MS,
		.last = executor->worker_known ? &executor->notice : NULL,
	};
	const char *fault = gn_notice_get_fault(notice, &view);

	if (!fault)
		return false;
	gn_counter_inc(executor->refused_heartbeats);
	gn_event("heartbeat refused", "{s:s, s:s, s:s, s:I, s:I}", "peer",
		 notice->life, "why", fault, "address", notice->address,
		 "born_ms", (json_int_t)notice->life_started_ms, "sequence",
		 (json_int_t)notice->sequence);
	return true;
}

static void reply_status(executor_t *executor, gn_http_request_t *request,
			 unsigned status)
{
	request->answer.status = status;
	request->answer.json = true;
	request->answer.body = strdup("{}");
	request->answer.body_len = 2;
	gn_http_server_answer(executor->server, request);
}

void executor_on_http(void *arg, gn_http_request_t *request)
{
	executor_t *executor = arg;
	gn_worker_notice_t notice;
	gn_error_t error = { 0 };
	gn_code_t code;

	if (request->method == GN_HTTP_GET && !strcmp(request->path, "/dump")) {
		gn_http_reply_json(executor->server, request, HTTP_OK,
				   dump_state(executor));
		return;
	}
	code = executor->adapter->read_notice(executor, request, &notice,
					      &error);
	if (code == GN_ERR_INVALID) {
		gn_counter_inc(executor->refused_heartbeats);
		gn_event("heartbeat refused", "{s:s, s:s}", "peer", error.peer,
			 "why", error.detail);
		talloc_free(notice.labels);
	}
	if (code) {
		reply_status(executor, request,
			     code == GN_ERR_NOT_FOUND ? HTTP_NOT_FOUND
						      : HTTP_BAD_REQUEST);
		return;
	}
	if (is_refused(executor, &notice)) {
		talloc_free(notice.labels);
		reply_status(executor, request, HTTP_BAD_REQUEST);
		return;
	}
	if (notice.deregisters)
		on_leave(executor, &notice);
	else
		on_heartbeat(executor, &notice);
	reply_status(executor, request, HTTP_OK);
}
