/**
 * @file advice.c
 * @brief Asks the adviser on behalf of the decisions.
 */
#include <stdlib.h>

#include "common/event.h"
#include "scheduler/scheduler_internal.h"

/** Until a call is given up, milliseconds. */
#define CALL_TIMEOUT_MS 1500
/** Tickets that are handed over at once. */
#define TICKETS_MAX 128

/** A call on its way. */
typedef struct advice_call_s {
	scheduler_t *scheduler;
	uint64_t epoch; /**< of the leadership that asked */
	uint64_t sent_us;
	char step[GN_TASK_NAME_SIZE];
} advice_call_t;

static void hand_over(advice_call_t *asking, const gn_advice_answer_t *answer)
{
	gn_sched_ticket_t tickets[TICKETS_MAX];
	scheduler_t *scheduler = asking->scheduler;
	size_t count = 0;

	for (size_t i = 0; i < answer->count && count < TICKETS_MAX; i++) {
		tickets[count].life = answer->lives[i];
		tickets[count++].ticket = answer->tickets[i];
	}
	gn_event("advice", "{s:s, s:I, s:i, s:I}", "step", asking->step,
		 "workers", (json_int_t)answer->count, "valid_ms",
		 (int)answer->valid_ms, "took_us",
		 (json_int_t)(gn_runtime_now_us(scheduler->runtime) -
			      asking->sent_us));
	gn_sched_handle_advice(scheduler->sched, asking->step, tickets, count,
			       answer->valid_ms);
	scheduler_run_pass(scheduler);
}

static void on_answer(void *arg, const gn_http_call_t *http)
{
	advice_call_t *asking = arg;
	scheduler_t *scheduler = asking->scheduler;
	TALLOC_CTX *scratch = talloc_new(scheduler);
	gn_advice_answer_t answer;

	scheduler->adapter->read_advice_answer(scratch, http, &answer);
	if (scheduler->ledger && scheduler->epoch == asking->epoch)
		hand_over(asking, &answer);
	talloc_free(scratch);
	g_free(asking);
}

void scheduler_request_advice(scheduler_t *scheduler, const char *step,
			      const char *const *lives, size_t count)
{
	const char *address = scheduler->runtime->settings->jobs.advice_address;
	gn_http_call_t *http = address ? gn_http_call_create() : NULL;
	advice_call_t *asking;

	if (!http || !scheduler->adapter->write_advice_call(
			     address, step, lives, count, http)) {
		gn_event("advice", "{s:s, s:s}", "step", step, "why",
			 address ? "no memory" : "no adviser in the settings");
		free(http);
		return;
	}
	asking = g_new0(advice_call_t, 1);
	asking->scheduler = scheduler;
	asking->epoch = scheduler->epoch;
	asking->sent_us = gn_runtime_now_us(scheduler->runtime);
	g_strlcpy(asking->step, step, sizeof(asking->step));
	http->timeout_ms = CALL_TIMEOUT_MS;
	http->done = on_answer;
	http->arg = asking;
	gn_http_client_call(scheduler->client, http);
}
