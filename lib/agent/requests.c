/**
 * @file requests.c
 * @brief Handles requests: admission, call to the backend server, answer.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agent/agent_internal.h"
#include "common/log.h"

/** A new service time has the weight 1/SMOOTHING in the moving average. */
#define SMOOTHING 8
/** Without a new measurement, the service time halves after this, ms. */
#define SERVICE_TIME_HALF_LIFE_MS 1000
/** Lower service times are not halved, microseconds. */
#define SERVICE_TIME_FLOOR_US 1000

/** A request at the backend server. */
typedef struct agent_request_s {
	agent_link_t *link;
	uint64_t session; /**< Session of the link on arrival. */
	uint64_t entry; /**< Incarnation of the entry. */
	uint64_t id;
	uint64_t started_us; /**< Time when the call was started. */
} agent_request_t;

/*
 * Entries refuse requests that could not be answered in time. After a slow
 * period, no request might run that would show that the period is over, so an
 * old service time must decay by itself.
 */
void agent_requests_tick(agent_t *agent)
{
	uint64_t now_us = gn_runtime_now_us(agent->runtime);

	if (agent->running_requests ||
	    agent->service_time_us < SERVICE_TIME_FLOOR_US ||
	    now_us - agent->service_time_set_us <
		    SERVICE_TIME_HALF_LIFE_MS * GN_US_PER_MS)
		return;
	agent->service_time_us /= 2;
	agent->service_time_outdated = true;
	agent->service_time_set_us = now_us;
}

static void send_answer(agent_link_t *link, Gn__Answer *answer)
{
	Gn__Envelope envelope = GN__ENVELOPE__INIT;
	Gn__Load load;

	agent_fill_load(link->agent, &load);
	answer->load = &load;
	envelope.body_case = GN__ENVELOPE__BODY_ANSWER;
	envelope.answer = answer;
	agent_link_send(link, &envelope);
}

static void refuse_request(agent_link_t *link, const Gn__Dispatch *dispatch,
			   gn_outcome_t outcome, gn_code_t reason)
{
	Gn__Answer answer = GN__ANSWER__INIT;

	gn_counter_inc(link->agent->counters.refused);
	answer.request = dispatch->request;
	answer.outcome = outcome;
	answer.reason = reason;
	send_answer(link, &answer);
}

static gn_admit_reason_t admit_request(const agent_link_t *link,
				       const Gn__Dispatch *dispatch)
{
	const gn_admit_request_t request = {
		.entry = link->entry_incarnation,
		.session = link->admit_session,
		.agent = dispatch->agent_incarnation,
		.request = dispatch->request,
	};

	return gn_admit_start_request(link->agent->admit, &request);
}

static gn_outcome_t get_outcome(const gn_http_call_t *call)
{
	if (call->code == GN_OK)
		return call->has_outcome ? call->outcome : GN_OUTCOME_DONE;
	if (call->code == GN_ERR_UNAVAILABLE)
		return GN_OUTCOME_NOT_RUN;
	return GN_OUTCOME_UNKNOWN;
}

static void count_outcome(agent_t *agent, gn_outcome_t outcome)
{
	if (outcome == GN_OUTCOME_DONE)
		gn_counter_inc(agent->counters.done);
	else if (outcome == GN_OUTCOME_UNKNOWN)
		gn_counter_inc(agent->counters.unknown);
	else
		gn_counter_inc(agent->counters.refused);
}

static void update_service_time(agent_t *agent, uint64_t spent_us)
{
	uint32_t old_us = agent->service_time_us;
	bool outdated = agent->service_time_outdated;

	agent->service_time_outdated = false;
	agent->service_time_set_us = gn_runtime_now_us(agent->runtime);
	if (!old_us || outdated)
		agent->service_time_us = (uint32_t)spent_us;
	else
		agent->service_time_us =
			(uint32_t)((old_us * (uint64_t)(SMOOTHING - 1) +
				    spent_us) /
				   SMOOTHING);
}

static void on_call_done(void *arg, const gn_http_call_t *call)
{
	agent_request_t *request = arg;
	agent_t *agent = request->link->agent;
	Gn__Answer answer = GN__ANSWER__INIT;
	gn_outcome_t outcome = get_outcome(call);
	uint64_t spent_us =
		gn_runtime_now_us(agent->runtime) - request->started_us;

	agent->running_requests--;
	gn_admit_end_request(agent->admit, request->entry, request->id);
	count_outcome(agent, outcome);
	if (call->code)
		gn_log(LOG_WARNING, "backend call", agent->backend.address,
		       "error=%s", gn_code_name(call->code));
	else
		update_service_time(agent, spent_us);
	/* A call that timed out took at least as long as its timeout. */
	if (outcome != GN_OUTCOME_NOT_RUN)
		agent_interference_record_request(agent, spent_us);
	answer.request = request->id;
	answer.outcome = outcome;
	answer.reason = call->code == GN_ERR_UNAVAILABLE ? GN_ERR_SYSTEM
			: call->code			 ? call->code
							 : GN_ERR_UNAVAILABLE;
	if (outcome == GN_OUTCOME_DONE) {
		answer.reason = GN_OK;
		answer.status = call->status;
		answer.body.data = (uint8_t *)call->answer;
		answer.body.len = call->answer_len;
	}
	/* The entry has given up all requests of earlier sessions. */
	if (request->session == request->link->session)
		send_answer(request->link, &answer);
	free(request);
}

static gn_http_call_t *create_call(const agent_t *agent,
				   const Gn__Dispatch *dispatch)
{
	gn_http_call_t *call = gn_http_call_create();

	if (!call)
		return NULL;
	call->method = GN_HTTP_POST;
	snprintf(call->url, sizeof(call->url), "http://%s/v1/run",
		 agent->backend.address);
	call->body_len = dispatch->body.len;
	if (call->body_len) {
		call->body = malloc(call->body_len);
		if (!call->body) {
			free(call);
			return NULL;
		}
		memcpy(call->body, dispatch->body.data, call->body_len);
	}
	call->timeout_ms = dispatch->budget_us / GN_US_PER_MS;
	call->send_once = !dispatch->repeatable;
	call->done = on_call_done;
	return call;
}

static void run_request(agent_link_t *link, const Gn__Dispatch *dispatch)
{
	agent_t *agent = link->agent;
	agent_request_t *request = calloc(1, sizeof(*request));
	gn_http_call_t *call = create_call(agent, dispatch);

	if (!request || !call) {
		free(request);
		free(call);
		gn_admit_end_request(agent->admit, link->entry_incarnation,
				     dispatch->request);
		refuse_request(link, dispatch, GN_OUTCOME_NOT_RUN,
			       GN_ERR_MEMORY);
		return;
	}
	request->link = link;
	request->session = link->session;
	request->entry = link->entry_incarnation;
	request->id = dispatch->request;
	request->started_us = gn_runtime_now_us(agent->runtime);
	call->arg = request;
	agent->running_requests++;
	gn_counter_inc(agent->counters.dispatched);
	gn_http_client_call(agent->client, call);
}

/* Checks what the admission control doesn't: service and time left. */
static gn_code_t check_dispatch(const agent_t *agent,
				const Gn__Dispatch *dispatch)
{
	if (strcmp(dispatch->service, agent->runtime->settings->service) != 0)
		return GN_ERR_NOT_FOUND;
	if (!agent_backend_is_up(agent))
		return GN_ERR_SYSTEM;
	if (dispatch->budget_us < GN_US_PER_MS)
		return GN_ERR_TIMEOUT;
	return GN_OK;
}

void agent_on_dispatch(agent_link_t *link, const Gn__Dispatch *dispatch)
{
	gn_code_t code = check_dispatch(link->agent, dispatch);
	gn_admit_reason_t reason;

	if (code) {
		refuse_request(link, dispatch, GN_OUTCOME_NOT_RUN, code);
		return;
	}
	reason = admit_request(link, dispatch);
	if (reason == GN_ADMIT_ADMITTED)
		run_request(link, dispatch);
	else if (reason != GN_ADMIT_DUPLICATE)
		refuse_request(link, dispatch, gn_admit_outcome(reason),
			       gn_admit_code(reason));
}

void agent_on_fence(agent_link_t *link, const Gn__Fence *fence)
{
	agent_t *agent = link->agent;
	Gn__Envelope envelope = GN__ENVELOPE__INIT;
	Gn__FenceAck ack = GN__FENCE_ACK__INIT;

	gn_counter_inc(agent->counters.fences);
	ack.request = fence->request;
	ack.not_run = gn_admit_cancel_request(
		agent->admit, link->entry_incarnation, fence->agent_incarnation,
		fence->request);
	envelope.body_case = GN__ENVELOPE__BODY_FENCE_ACK;
	envelope.fence_ack = &ack;
	agent_link_send(link, &envelope);
}
