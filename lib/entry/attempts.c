/**
 * @file attempts.c
 * @brief Attempts of a request: dispatch, result, loss and retry.
 */
#include "entry/entry_internal.h"
#include "http/status.h"

/* A result of an attempt in the terms of each module that evaluates it. */
typedef struct attempt_end_s {
	gn_attempt_result_t retry;
	gn_eject_result_t eject;
	gn_refusal_t refusal; /**< Response if this was the last attempt. */
} attempt_end_t;

static const attempt_end_t end_succeeded = { GN_ATTEMPT_SUCCEEDED,
					     GN_EJECT_SUCCESS,
					     { 0 } };
static const attempt_end_t end_failed = { GN_ATTEMPT_FAILED,
					  GN_EJECT_FAILURE,
					  { 0 } };
static const attempt_end_t end_full = { GN_ATTEMPT_NOT_RUN,
					GN_EJECT_REFUSED,
					{ HTTP_UNAVAILABLE, GN_OUTCOME_NOT_RUN,
					  "capacity", 0 } };
static const attempt_end_t end_refused = {
	GN_ATTEMPT_NOT_RUN,
	GN_EJECT_REFUSED,
	{ HTTP_UNAVAILABLE, GN_OUTCOME_NOT_RUN, "no-worker", 0 }
};
static const attempt_end_t end_unreachable = {
	GN_ATTEMPT_NOT_RUN,
	GN_EJECT_FAILURE,
	{ HTTP_UNAVAILABLE, GN_OUTCOME_NOT_RUN, "no-worker", 0 }
};
static const attempt_end_t end_deadline_passed = {
	GN_ATTEMPT_UNKNOWN,
	GN_EJECT_FAILURE,
	{ HTTP_GATEWAY_TIMEOUT, GN_OUTCOME_UNKNOWN, "deadline-passed", 0 }
};
static const attempt_end_t end_answer_lost = {
	GN_ATTEMPT_UNKNOWN,
	GN_EJECT_FAILURE,
	{ HTTP_BAD_GATEWAY, GN_OUTCOME_UNKNOWN, "answer-lost", 0 }
};

static const attempt_end_t *classify_not_run(const Gn__Answer *answer)
{
	switch ((gn_code_t)answer->reason) {
	case GN_ERR_CAPACITY:
		return &end_full;
	case GN_ERR_SYSTEM:
		return &end_unreachable;
	default:
		return &end_refused;
	}
}

static const attempt_end_t *classify_answer(const Gn__Answer *answer)
{
	switch ((gn_outcome_t)answer->outcome) {
	case GN_OUTCOME_DONE:
		return answer->status < HTTP_SERVER_ERROR ? &end_succeeded
							  : &end_failed;
	case GN_OUTCOME_NOT_RUN:
		return classify_not_run(answer);
	default:
		return answer->reason == GN_ERR_TIMEOUT ? &end_deadline_passed
							: &end_answer_lost;
	}
}

static entry_worker_t *get_worker(const gn_route_worker_t *route)
{
	gn_route_info_t info;

	gn_route_worker_info(route, &info);
	return (entry_worker_t *)(uintptr_t)info.handle;
}

static gn_code_t send_dispatch(entry_request_t *request, entry_worker_t *worker)
{
	uint64_t now_us = gn_runtime_now_us(request->entry->runtime);
	Gn__Envelope envelope = GN__ENVELOPE__INIT;
	Gn__Dispatch message = GN__DISPATCH__INIT;

	message.request = request->id;
	message.agent_incarnation = worker->agent_incarnation;
	message.service = request->service;
	message.repeatable = request->repeatable;
	message.budget_us = request->deadline_us > now_us
				    ? (uint32_t)(request->deadline_us - now_us)
				    : 0;
	message.body.data = (uint8_t *)request->http->body;
	message.body.len = request->http->body_len;
	envelope.body_case = GN__ENVELOPE__BODY_DISPATCH;
	envelope.dispatch = &message;
	return entry_worker_send(request->entry, worker, &envelope);
}

static void send_fence(entry_request_t *request)
{
	Gn__Envelope envelope = GN__ENVELOPE__INIT;
	Gn__Fence fence = GN__FENCE__INIT;

	fence.request = request->id;
	fence.agent_incarnation = request->worker->agent_incarnation;
	envelope.body_case = GN__ENVELOPE__BODY_FENCE;
	envelope.fence = &fence;
	entry_worker_send(request->entry, request->worker, &envelope);
}

static void detach_worker(entry_request_t *request)
{
	gn_route_worker_t *route = request->worker->route;

	g_queue_unlink(&request->worker->attempts, &request->worker_link);
	request->worker = NULL;
	gn_route_view_end_dispatch(request->entry->view, route);
}

void entry_attempt_abandon(entry_request_t *request)
{
	if (!request->worker)
		return;
	/* A dispatch that has not reached the worker yet must not start. */
	send_fence(request);
	detach_worker(request);
}

static bool pick_next_worker(entry_request_t *request,
			     gn_route_choice_t *choice);
static void begin_attempt(entry_request_t *request, gn_route_worker_t *route);
static void finish_request(entry_request_t *request, const attempt_end_t *end,
			   const Gn__Answer *answer);

/*
 * Tries another worker because the current one can't be reached. Nothing was
 * sent, so this does not count as a retry and uses no retry budget.
 */
static void retry_unsent(entry_request_t *request)
{
	entry_t *entry = request->entry;
	gn_route_choice_t choice;

	gn_counter_inc(entry->counters.unsent);
	entry_worker_mark_unreachable(entry, request->worker);
	detach_worker(request);
	if (request->retry.tried.count < GN_ROUTE_ATTEMPTS_MAX &&
	    pick_next_worker(request, &choice))
		begin_attempt(request, choice.worker);
	else
		finish_request(request, &end_unreachable, NULL);
}

static void begin_attempt(entry_request_t *request, gn_route_worker_t *route)
{
	entry_t *entry = request->entry;
	entry_worker_t *worker = get_worker(route);

	gn_retry_begin_attempt(&request->retry, route);
	gn_route_view_begin_dispatch(entry->view, route);
	request->worker = worker;
	request->worker_link.data = request;
	g_queue_push_tail_link(&worker->attempts, &request->worker_link);
	request->attempt_sent_us = gn_runtime_now_us(entry->runtime);
	if (send_dispatch(request, worker))
		retry_unsent(request);
}

void entry_attempt_start(entry_request_t *request, gn_route_worker_t *worker)
{
	begin_attempt(request, worker);
}

/* Responds to the caller with the result of the last attempt. */
static void finish_request(entry_request_t *request, const attempt_end_t *end,
			   const Gn__Answer *answer)
{
	gn_refusal_t refusal = end->refusal;

	if (answer && request->retry.has_answer) {
		entry_request_finish(request, answer);
		return;
	}
	/* An earlier attempt may have run even if the last one certainly did
	 * not. */
	refusal.outcome = gn_retry_outcome(&request->retry);
	if (end == &end_full)
		request->limit_end = GN_LIMIT_REFUSED;
	else if (end == &end_deadline_passed)
		request->limit_end = GN_LIMIT_ANSWERED;
	entry_request_fail(request, &refusal);
}

static bool pick_next_worker(entry_request_t *request,
			     gn_route_choice_t *choice)
{
	entry_t *entry = request->entry;

	return gn_route_pick(&gn_route_policies[GN_ROUTE_TWO_CHOICES],
			     entry->view, gn_str_from(request->service),
			     entry->runtime->rand, &request->retry.tried,
			     choice) == GN_OK;
}

static void end_attempt(entry_request_t *request, const attempt_end_t *end,
			const Gn__Answer *answer)
{
	entry_t *entry = request->entry;
	entry_service_t *service = request->worker->service;
	gn_route_worker_t *route = request->worker->route;
	uint64_t now_us = gn_runtime_now_us(entry->runtime);
	uint64_t left_us = request->deadline_us > now_us
				   ? request->deadline_us - now_us
				   : 0;
	gn_route_choice_t choice = { 0 };
	bool found;

	gn_eject_record_result(entry->eject, route, end->eject,
			       now_us - request->attempt_sent_us);
	detach_worker(request);
	if (end == &end_full)
		gn_route_view_note_full(entry->view, route);
	found = end != &end_succeeded && pick_next_worker(request, &choice);
	if (gn_retry_end_attempt(&request->retry, service->retry_budget,
				 end->retry, found ? left_us : 0,
				 choice.response_us) == GN_RETRY_AGAIN) {
		gn_counter_inc(entry->counters.retries);
		begin_attempt(request, choice.worker);
	} else {
		finish_request(request, end, answer);
	}
}

void entry_on_answer(entry_t *entry, entry_worker_t *worker,
		     const Gn__Answer *answer)
{
	uint64_t id = answer->request;
	entry_request_t *request = g_hash_table_lookup(entry->requests, &id);

	if (answer->load)
		entry_worker_update_load(entry, worker, answer->load);
	/* Only the current attempt may answer; earlier ones were abandoned. */
	if (!request || request->worker != worker) {
		gn_counter_inc(entry->counters.late_answers);
		return;
	}
	end_attempt(request, classify_answer(answer), answer);
}

void entry_attempts_end_lost(entry_worker_t *worker)
{
	guint count = worker->attempts.length;

	/* A retry never returns to this worker: it counts as tried. */
	for (; count && worker->attempts.length; count--)
		end_attempt(worker->attempts.head->data, &end_answer_lost,
			    NULL);
}
