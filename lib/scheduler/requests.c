/**
 * @file requests.c
 * @brief Reads the callers' HTTP requests by the configuration.
 */
#include <string.h>

#include "common/event.h"
#include "confirm/confirm.h"
#include "scheduler/scheduler_internal.h"
#include "scheduler/stop.h"

/** Delay before the caller of a stopping scheduler may retry elsewhere. */
#define STOPPING_RETRY_S 1
#define MS_PER_S 1000
/** The key-value service answers if it did so within this time; a scheduler
 * renews its lease several times in it. */
#define SERVICE_ANSWERS_US (1000 * GN_US_PER_MS)
/** Maximum number of requests that wait for a confirmation. */
#define UNCONFIRMED_MAX 512
#define NOT_CONFIRMED "configuration not confirmed"

/** A request that waits until the configuration is confirmed. */
typedef struct unconfirmed_s {
	gn_http_request_t *request;
	uint64_t received_us;
} unconfirmed_t;

static scheduler_call_t *create_call(scheduler_t *scheduler,
				     const unconfirmed_t *received,
				     gn_job_call_t *parsed)
{
	scheduler_call_t *call = g_new0(scheduler_call_t, 1);

	call->request = received->request;
	call->kind = parsed->kind;
	memcpy(call->job, parsed->job, sizeof(call->job));
	call->queue = g_strdup(parsed->queue->name);
	call->configuration = scheduler->queues->version;
	call->received_us = received->received_us;
	call->deadline_us =
		scheduler_get_deadline_us(scheduler, parsed->deadline_ms);
	if (parsed->spec) {
		call->spec_len = gn__job_spec__get_packed_size(parsed->spec);
		call->spec = g_malloc(call->spec_len + 1);
		gn__job_spec__pack(parsed->spec, call->spec);
		gn__job_spec__free_unpacked(parsed->spec, NULL);
	}
	return call;
}

static void refuse_request(scheduler_t *scheduler, gn_http_request_t *request,
			   gn_job_result_t result, unsigned retry_after_s,
			   const char *reason)
{
	const gn_sched_reply_t reply = { .result = result,
					 .retry_after_ms =
						 retry_after_s * MS_PER_S,
					 .reason = reason };

	gn_counter_inc(scheduler->counters.results[result]);
	gn_event("call refused", "{s:s, s:s, s:s, s:I, s:I}", "path",
		 request->path, "result", gn_job_result_name(result), "why",
		 reason, "configuration",
		 (json_int_t)scheduler_config_version(scheduler), "age_ms",
		 (json_int_t)scheduler_config_age_ms(scheduler));
	scheduler_answer_http(scheduler, request, GN_CALL_STATE, &reply);
}

/* Whether this process may exit before the leader would answer. */
static bool is_closing(const scheduler_t *scheduler)
{
	const gn_runtime_t *runtime = scheduler->runtime;

	return runtime->stopping &&
	       !scheduler_stop_accepts_requests(
		       gn_runtime_now_us(scheduler->runtime) -
		       runtime->stop_requested_us);
}

/* ======   Confirmation   ====== */

static gn_confirm_view_t get_view(const scheduler_t *scheduler,
				  uint64_t received_us)
{
	gn_kv_health_t health = gn_kv_http_health(scheduler->kv_http);
	uint64_t now_us = gn_runtime_now_us(scheduler->runtime);
	gn_confirm_view_t view = {
		.now_us = now_us,
		.confirmed_us =
			gn_kv_watch_confirmed_us(scheduler->config_watch),
		.bound_ms = scheduler->runtime->settings->jobs.configuration_ms,
		.service_answers =
			health.answered_us > health.failed_us &&
			now_us - health.answered_us < SERVICE_ANSWERS_US,
		.received_us = received_us,
	};

	return view;
}

/* @p call is NULL if the configuration has no queue for the request. */
static gn_confirm_decision_t decide(const scheduler_t *scheduler,
				    const unconfirmed_t *received,
				    const gn_job_call_t *call)
{
	gn_confirm_view_t view = get_view(scheduler, received->received_us);

	view.has_queue = call != NULL;
	view.needs_queue = !call || call->kind == GN_CALL_SUBMIT ||
			   call->kind == GN_CALL_COUNT_WAITING;
	return gn_confirm_decide(&view);
}

static void refuse_until_confirmed(scheduler_t *scheduler,
				   gn_http_request_t *request)
{
	gn_counter_inc(scheduler->counters.config_refused);
	refuse_request(scheduler, request, GN_RESULT_NOT_LEADER,
		       scheduler_refuse_caller(scheduler, NULL, NOT_CONFIRMED),
		       NOT_CONFIRMED);
}

static void wait_until_confirmed(scheduler_t *scheduler,
				 const unconfirmed_t *received)
{
	if (scheduler->unconfirmed->len >= UNCONFIRMED_MAX) {
		refuse_until_confirmed(scheduler, received->request);
		return;
	}
	gn_counter_inc(scheduler->counters.config_waits);
	gn_event("held", "{s:s, s:s, s:I, s:I}", "path",
		 received->request->path, "basis", NOT_CONFIRMED, "age_ms",
		 (json_int_t)scheduler_config_age_ms(scheduler), "hold_ms",
		 (json_int_t)GN_CONFIRM_WAIT_MS);
	g_array_append_val(scheduler->unconfirmed, *received);
}

/* ======   Requests   ====== */

static void free_call(gn_job_call_t *call)
{
	if (call->spec)
		gn__job_spec__free_unpacked(call->spec, NULL);
}

static void receive(scheduler_t *scheduler, const unconfirmed_t *received)
{
	gn_http_request_t *request = received->request;
	gn_error_t error = { 0 };
	gn_job_call_t call = { 0 };
	gn_code_t code;

	if (!scheduler->queues) {
		refuse_request(scheduler, request, GN_RESULT_NOT_LEADER,
			       scheduler_refuse_caller(scheduler, NULL,
						       "no configuration yet"),
			       "no configuration yet");
		return;
	}
	if (is_closing(scheduler)) {
		refuse_request(scheduler, request, GN_RESULT_NOT_LEADER,
			       STOPPING_RETRY_S, "stopping");
		return;
	}
	code = scheduler->adapter->read_call(request, scheduler->queues, &call,
					     &error);
	if (code && code != GN_ERR_NOT_FOUND) {
		refuse_request(scheduler, request, GN_RESULT_INVALID, 0,
			       error.detail);
		return;
	}
	switch (decide(scheduler, received, code ? NULL : &call)) {
	case GN_CONFIRM_WAIT:
		free_call(&call);
		wait_until_confirmed(scheduler, received);
		return;
	case GN_CONFIRM_REFUSE:
		free_call(&call);
		refuse_until_confirmed(scheduler, request);
		return;
	default:
		break;
	}
	if (code)
		refuse_request(scheduler, request, GN_RESULT_NO_QUEUE, 0,
			       error.detail);
	else
		scheduler_dispatch_call(
			scheduler, create_call(scheduler, received, &call));
}

void scheduler_on_http(void *arg, gn_http_request_t *request)
{
	scheduler_t *scheduler = arg;
	const unconfirmed_t received = { request, gn_runtime_now_us(
							  scheduler->runtime) };

	receive(scheduler, &received);
}

GArray *scheduler_create_unconfirmed(void)
{
	return g_array_new(FALSE, FALSE, sizeof(unconfirmed_t));
}

void scheduler_serve_unconfirmed(scheduler_t *scheduler)
{
	GArray *waiting = scheduler->unconfirmed;
	gn_confirm_view_t view;

	if (!waiting->len)
		return;
	scheduler->unconfirmed = scheduler_create_unconfirmed();
	for (guint i = 0; i < waiting->len; i++) {
		const unconfirmed_t *received =
			&g_array_index(waiting, unconfirmed_t, i);

		view = get_view(scheduler, received->received_us);
		if (gn_confirm_decide(&view) == GN_CONFIRM_WAIT)
			g_array_append_val(scheduler->unconfirmed, *received);
		else
			receive(scheduler, received);
	}
	g_array_free(waiting, TRUE);
}
