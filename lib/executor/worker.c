/**
 * @file worker.c
 * @brief The worker: its heartbeats, its list, its lease.
 */
#include <string.h>

#include "common/event.h"
#include "common/str.h"
#include "executor/executor_internal.h"
#include "http/reply.h"
#include "http/status.h"

/** Longest wait of the worker for an end, milliseconds. */
#define LIST_WAIT_MS 400
/** On top of the wait, until the call is given up, milliseconds. */
#define LIST_SLACK_MS 700
/** Pause after a call that failed. */
#define LIST_RETRY_US (100 * GN_US_PER_MS)
/** Pause while ends wait to be stored, since those are listed at once. */
#define LIST_ENDS_US (60 * GN_US_PER_MS)

/* ======   Calls   ====== */

bool executor_call_worker(executor_t *executor, gn_worker_call_t *call,
			  unsigned timeout_ms, gn_http_done_t done, void *arg)
{
	gn_http_call_t *http = gn_http_call_create();

	call->address = executor->runtime->settings->jobs.worker_address;
	call->life = executor->known ? executor->notice.life : "";
	call->epoch = executor->epoch;
	if (!http || !executor->adapter->write_worker_call(call, http)) {
		free(http);
		return false;
	}
	http->timeout_ms = timeout_ms;
	http->done = done;
	http->arg = arg;
	gn_http_client_call(executor->client, http);
	return true;
}

void executor_take_clock(executor_t *executor, const gn_worker_answer_t *answer)
{
	if (!answer->clock_ms || answer->verdict == GN_WORKER_OTHER_LIFE)
		return;
	if (!gn_grant_read(&executor->grant, answer->clock_ms,
			   executor_now_us(executor)))
		return;
	gn_event("lease lapsed", "{s:s, s:I, s:I}", "life",
		 executor->notice.life, "clock_ms",
		 (json_int_t)answer->clock_ms, "until_ms",
		 (json_int_t)executor->grant.until_ms);
	executor->grant.until_ms = 0;
}

/* ======   The list   ====== */

static bool is_own_life(const executor_t *executor,
			const gn_worker_answer_t *answer)
{
	return !answer->born_ms || !executor->notice.born_ms ||
	       answer->born_ms == executor->notice.born_ms;
}

static void keep_list(executor_t *executor, TALLOC_CTX *list,
		      const gn_worker_answer_t *answer)
{
	bool has_ends = answer->end_count > 0;

	talloc_free(executor->list);
	executor->list = list;
	executor->runs = answer->runs;
	executor->run_count = answer->run_count;
	executor->ends = answer->ends;
	executor->end_count = answer->end_count;
	executor->fresh = true;
	executor_orders_listed(executor, executor->list_sent_us);
	if (has_ends)
		executor->list_due_us =
			executor_now_us(executor) + LIST_ENDS_US;
}

static void take_list(void *arg, const gn_http_call_t *http)
{
	executor_t *executor = arg;
	TALLOC_CTX *list = talloc_new(executor);
	gn_worker_answer_t answer;

	executor->list_in_call = false;
	executor->adapter->read_worker_answer(list, GN_WORKER_LIST, http,
					      &answer);
	if (answer.verdict != GN_WORKER_OK || !executor->known ||
	    !is_own_life(executor, &answer)) {
		executor->list_due_us =
			executor_now_us(executor) + LIST_RETRY_US;
		talloc_free(list);
		return;
	}
	executor_take_clock(executor, &answer);
	executor->list_due_us = 0;
	keep_list(executor, list, &answer);
	if (answer.end_count)
		executor_report(executor);
}

static bool has_ends_waiting(const executor_t *executor)
{
	return executor->end_count &&
	       executor->ends[executor->end_count - 1]->number >
		       executor->ends_stored;
}

void executor_worker_tick(executor_t *executor)
{
	uint64_t now_us = executor_now_us(executor);
	gn_worker_call_t call = { .kind = GN_WORKER_LIST };

	if (!executor->known || executor->left || executor->list_in_call ||
	    now_us < executor->list_due_us)
		return;
	if (!has_ends_waiting(executor))
		call.wait_ms = LIST_WAIT_MS;
	call.ends_stored = executor->ends_stored;
	call.lease_until_ms = gn_grant_until_ms(&executor->grant, now_us);
	executor->list_sent_us = now_us;
	executor->list_in_call = executor_call_worker(
		executor, &call, call.wait_ms + LIST_SLACK_MS, take_list,
		executor);
}

/* ======   Heartbeats   ====== */

static void begin_life(executor_t *executor, const gn_worker_notice_t *notice)
{
	gn_event("worker", "{s:s, s:I, s:s, s:s, s:i, s:i}", "life",
		 notice->life, "born_ms", (json_int_t)notice->born_ms,
		 "service", notice->service, "rack", notice->rack, "cpu_milli",
		 (int)notice->cpu_milli, "memory_mb", (int)notice->memory_mb);
	executor_orders_drop(executor);
	gn_grant_reset(&executor->grant);
	talloc_free(executor->list);
	executor->list = NULL;
	executor->run_count = 0;
	executor->end_count = 0;
	executor->fresh = false;
	executor->ends_stored = 0;
	executor->draining_us = 0;
	executor->left = false;
	executor->list_due_us = 0;
}

static void take_notice(executor_t *executor, const gn_worker_notice_t *notice)
{
	bool is_same = executor->known &&
		       !strcmp(executor->notice.life, notice->life) &&
		       executor->notice.born_ms == notice->born_ms;

	/* a heartbeat of an earlier life, or one that was overtaken */
	if (executor->known &&
	    (notice->born_ms < executor->notice.born_ms ||
	     (is_same && notice->sequence <= executor->notice.sequence))) {
		talloc_free(notice->labels);
		return;
	}
	if (!is_same)
		begin_life(executor, notice);
	if (notice->draining && !executor->draining_us) {
		executor->draining_us = executor_now_us(executor);
		gn_event("worker draining", "{s:s, s:i}", "life", notice->life,
			 "remaining_ms", (int)notice->remaining_ms);
	}
	talloc_free(executor->notice.labels);
	executor->notice = *notice;
	executor->known = true;
	if (!is_same || notice->draining)
		executor_report(executor);
}

static void take_leave(executor_t *executor, const gn_worker_notice_t *notice)
{
	if (!executor->known ||
	    strcmp(executor->notice.life, notice->life) != 0)
		return;
	gn_event("worker left", "{s:s}", "life", notice->life);
	executor->left = true;
	executor->left_us = executor_now_us(executor);
	executor_report(executor);
}

static json_t *dump(const executor_t *executor)
{
	json_t *json = gn_runtime_dump(executor->runtime);

	json_object_set_new(json, "role", json_string("executor"));
	json_object_set_new(json, "life", json_string(executor->notice.life));
	json_object_set_new(json, "leader", json_string(executor->leader));
	json_object_set_new(json, "epoch",
			    json_integer((json_int_t)executor->epoch));
	json_object_set_new(json, "runs",
			    json_integer((json_int_t)executor->run_count));
	json_object_set_new(json, "orders",
			    json_integer(g_hash_table_size(executor->orders)));
	return json;
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
				   dump(executor));
		return;
	}
	code = executor->adapter->read_notice(executor, request, &notice,
					      &error);
	if (code == GN_ERR_INVALID) {
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
	if (notice.leaves)
		take_leave(executor, &notice);
	else
		take_notice(executor, &notice);
	reply_status(executor, request, HTTP_OK);
}
