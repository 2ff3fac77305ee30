/**
 * @file calls.c
 * @brief Sends the calls for orders to the worker and collects their outcomes.
 */
#include "common/event.h"
#include "executor/executor_internal.h"

/* ======   Log   ====== */

/** Members of a line about an order that depend on the event. */
typedef struct order_line_s {
	const char *text_name;
	const char *text; /**< NULL leaves the member out. */
	const char *number_name;
	uint64_t number;
	uint64_t token; /**< Fencing token of its calls; 0 if there are none. */
} order_line_t;

/** Members of a line about an order, without those of another life. */
#define ORDER_MEMBERS "s:s, s:I, s:s, s:s*, s:I, s:s, s:I, s:I, s:I"

/*
 * Logs a line about an order. The members for_life and for_born_ms are the life
 * that the leader names, if the worker has another one.
 */
static void log_order(const executor_t *executor, const char *event,
		      const gn_order_t *order, const order_line_t *line)
{
	const gn_life_t life = gn_orders_get_life(order->orders);

	gn_event(event,
		 gn_life_equals(order->life, life) ? "{" ORDER_MEMBERS "}"
						   : "{" ORDER_MEMBERS
						     ", s:s, s:I}",
		 "task", order->task, "attempt", (json_int_t)order->attempt,
		 "kind", gn_run_order_kind_name(order->kind), line->text_name,
		 line->text, line->number_name, (json_int_t)line->number,
		 "life", life.id, "born_ms", (json_int_t)life.started_ms,
		 "token", (json_int_t)line->token, "epoch",
		 (json_int_t)executor->epoch, "for_life", order->life.id,
		 "for_born_ms", (json_int_t)order->life.started_ms);
}

/* ======   Calls   ====== */

/* The answer names no life, but a clock that is behind the one before the call is
 * that of a later life, which has carried the call out. */
static void discard_if_younger(executor_t *executor,
			       const gn_order_call_t *sent,
			       gn_worker_answer_t *answer)
{
	if (!answer->clock_ms || answer->clock_ms >= sent->clock_ms)
		return;
	executor_fence_next_life(executor, "its clock has answered");
	answer->outcome = GN_WORKER_UNANSWERED;
	answer->clock_ms = 0;
}

/* The worker may still carry out the call. One line for an order is enough, as
 * later calls only last longer. */
static void record_open_start(executor_t *executor, const gn_order_call_t *sent)
{
	gn_order_t *order = sent->order;
	uint64_t late_ms = executor->runtime->settings->jobs.late_call_ms;
	uint64_t age_ms =
		(executor_now_us(executor) - sent->sent_us) / GN_US_PER_MS;

	gn_counter_inc(executor->starts_unanswered);
	/* A worker under another ID refuses it. */
	if (order->open_logged ||
	    gn_life_compare(order->life, gn_orders_get_life(order->orders)) ==
		    GN_LIFE_OTHER)
		return;
	order->open_logged = true;
	log_order(executor, "start call open", order,
		  &(order_line_t){ "why", NULL, "left_ms",
				   late_ms > age_ms ? late_ms - age_ms : 0,
				   order->token });
}

static void on_answer(void *arg, const gn_http_call_t *http)
{
	gn_order_call_t *sent = arg;
	executor_t *executor = sent->arg;
	TALLOC_CTX *scratch = talloc_new(executor);
	gn_worker_answer_t answer;

	executor_read_answer(executor, scratch, sent->kind, http, sent->lives,
			     &answer);
	discard_if_younger(executor, sent, &answer);
	gn_histogram_add(executor->order_time,
			 executor_now_us(executor) - sent->sent_us);
	executor_record_clock(executor, &answer);
	if (sent->kind == GN_WORKER_START &&
	    answer.outcome == GN_WORKER_UNANSWERED)
		record_open_start(executor, sent);
	gn_orders_handle_answer(sent, answer.outcome);
	talloc_free(scratch);
}

static bool send_call(void *arg, gn_worker_call_t *call, unsigned timeout_ms,
		      gn_order_call_t *sent)
{
	const executor_t *executor = arg;

	sent->lives = executor->lives;
	sent->clock_ms = executor->grant.clock_ms;
	return executor_call_worker(arg, call, timeout_ms, on_answer, sent);
}

/* ======   Outcomes   ====== */

void executor_result_free(gpointer result)
{
	gn__order_result__free_unpacked(result, NULL);
}

static void report(void *arg, const gn_order_t *order,
		   gn_run_order_outcome_t outcome)
{
	executor_t *executor = arg;
	Gn__OrderResult *result = malloc(sizeof(*result));

	if (!result)
		abort(); /* GLib aborts too when out of memory. */
	gn__order_result__init(result);
	result->task = strdup(order->task);
	result->attempt = order->attempt;
	result->verdict = outcome;
	result->settled = gn_orders_is_settled(order->orders, order->task,
					       order->attempt);
	g_ptr_array_add(executor->results, result);
	executor->report_due = true;
	if (outcome == GN_ORDER_OUTCOME_EVACUATED)
		gn_counter_inc(executor->starts_evacuated);
	log_order(executor, "order", order,
		  &(order_line_t){ "outcome",
				   gn_run_order_outcome_name(outcome), "calls",
				   order->calls, order->token });
}

static void log_taken(void *arg, const gn_order_t *order)
{
	const executor_t *executor = arg;
	uint64_t age_us = executor_now_us(executor) - order->basis_us;

	log_order(executor, "take", order,
		  &(order_line_t){ "why", NULL, "basis_age_ms",
				   age_us / GN_US_PER_MS,
				   executor_get_token(executor) });
}

static void log_dropped(void *arg, const gn_order_t *order, const char *why)
{
	log_order(arg, "order dropped", order,
		  &(order_line_t){ "why", why, "calls", order->calls,
				   order->token });
}

const gn_orders_ops_t executor_orders_ops = { send_call, report, log_taken,
					      log_dropped };
