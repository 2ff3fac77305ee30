/**
 * @file requests.c
 * @brief Reads the callers' HTTP requests by the configuration.
 */
#include <string.h>

#include "common/event.h"
#include "scheduler/scheduler_internal.h"
#include "scheduler/stop.h"

/** Delay before the caller of a stopping scheduler may retry elsewhere. */
#define STOPPING_RETRY_S 1
#define MS_PER_S 1000

static scheduler_call_t *create_call(scheduler_t *scheduler,
				     gn_http_request_t *request,
				     gn_job_call_t *parsed)
{
	scheduler_call_t *call = g_new0(scheduler_call_t, 1);

	call->request = request;
	call->kind = parsed->kind;
	memcpy(call->job, parsed->job, sizeof(call->job));
	call->queue = g_strdup(parsed->queue->name);
	call->configuration = scheduler->queues->version;
	call->received_us = gn_runtime_now_us(scheduler->runtime);
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
		 (json_int_t)(scheduler->queues ? scheduler->queues->version
						: 0),
		 "age_ms", (json_int_t)scheduler_config_age_ms(scheduler));
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

void scheduler_on_http(void *arg, gn_http_request_t *request)
{
	scheduler_t *scheduler = arg;
	gn_error_t error = { 0 };
	gn_job_call_t call;
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
	if (code == GN_ERR_NOT_FOUND)
		refuse_request(scheduler, request, GN_RESULT_NO_QUEUE, 0,
			       error.detail);
	else if (code)
		refuse_request(scheduler, request, GN_RESULT_INVALID, 0,
			       error.detail);
	else
		scheduler_dispatch_call(scheduler,
					create_call(scheduler, request, &call));
}
