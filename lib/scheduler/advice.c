/**
 * @file advice.c
 * @brief Calls to the adviser for permissions to run steps.
 */
#include <stdlib.h>

#include "common/event.h"
#include "scheduler/scheduler_internal.h"

/** Timeout of a call to the adviser, milliseconds. */
#define ADVICE_TIMEOUT_MS 1500
/** Maximum number of tickets taken from one response. */
#define TICKETS_MAX 128

/** A call in flight. */
typedef struct advice_call_s {
	scheduler_t *scheduler;
	/** Epoch of the leader that sent the call. */
	uint64_t epoch;
	uint64_t sent_us;
	char step[GN_TASK_NAME_SIZE];
} advice_call_t;

static void apply_advice(advice_call_t *call, const gn_advice_answer_t *answer)
{
	gn_sched_ticket_t tickets[TICKETS_MAX];
	scheduler_t *scheduler = call->scheduler;
	size_t count = 0;

	for (size_t i = 0; i < answer->count && count < TICKETS_MAX; i++) {
		tickets[count].life = answer->lives[i];
		tickets[count++].ticket = answer->tickets[i];
	}
	gn_event("advice", "{s:s, s:I, s:i, s:I}", "step", call->step,
		 "workers", (json_int_t)answer->count, "valid_ms",
		 (int)answer->valid_ms, "took_us",
		 (json_int_t)(gn_runtime_now_us(scheduler->runtime) -
			      call->sent_us));
	gn_sched_handle_advice(scheduler->sched, call->step, tickets, count,
			       answer->valid_ms);
	scheduler_run_pass(scheduler);
}

static void on_answer(void *arg, const gn_http_call_t *http)
{
	advice_call_t *call = arg;
	scheduler_t *scheduler = call->scheduler;
	TALLOC_CTX *scratch = talloc_new(scheduler);
	gn_advice_answer_t answer;

	scheduler->adapter->read_advice_answer(scratch, http, &answer);
	if (scheduler->ledger && scheduler->epoch == call->epoch)
		apply_advice(call, &answer);
	talloc_free(scratch);
	g_free(call);
}

void scheduler_request_advice(scheduler_t *scheduler, const char *step,
			      const char *const *lives, size_t count)
{
	const char *address = scheduler->runtime->settings->jobs.advice_address;
	gn_http_call_t *http = address ? gn_http_call_create() : NULL;
	advice_call_t *call;

	if (!http || !scheduler->adapter->write_advice_call(
			     address, step, lives, count, http)) {
		gn_event("advice", "{s:s, s:s}", "step", step, "why",
			 address ? "out of memory"
				 : "no adviser in the settings");
		free(http);
		return;
	}
	call = g_new0(advice_call_t, 1);
	call->scheduler = scheduler;
	call->epoch = scheduler->epoch;
	call->sent_us = gn_runtime_now_us(scheduler->runtime);
	g_strlcpy(call->step, step, sizeof(call->step));
	http->timeout_ms = ADVICE_TIMEOUT_MS;
	http->done = on_answer;
	http->arg = call;
	gn_http_client_call(scheduler->client, http);
}
