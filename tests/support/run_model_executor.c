/**
 * @file run_model_executor.c
 * @brief The executors: gn_orders and gn_grant with glue to their workers that
 *        follows lib/executor/worker.c and lib/executor/calls.c.
 */
#include "support/run_model_internal.h"

#include <stdlib.h>
#include <string.h>

#include "common/str.h"
#include "executor/attempt.h"
#include "executor/ends.h"

/* The same values as in lib/executor. */
#define LIST_WAIT_MS 400
#define LIST_RETRY_DELAY_US (100 * RM_MS)
#define LIST_QUICK_RETRY_DELAY_US (25 * RM_MS)
#define LIST_QUICK_RETRIES 3
#define LIST_ENDS_DELAY_US (60 * RM_MS)
/** Time until the process of an executor that has ended starts again. */
#define START_DELAY_US (100 * RM_MS)

bool rm_executor_is_frozen(const rm_executor_t *executor)
{
	return rm_now_us(executor->model) < executor->frozen_us;
}

/* ======   Orders   ====== */

static bool send_call(void *arg, gn_worker_call_t *call, unsigned timeout_ms,
		      gn_order_call_t *sent)
{
	rm_call_send(arg, call, timeout_ms, sent, 0);
	return true;
}

static void free_result(gpointer result)
{
	gn__order_result__free_unpacked(result, NULL);
}

static void report_outcome(void *arg, const gn_order_t *order,
			   gn_run_order_outcome_t outcome)
{
	rm_executor_t *executor = arg;
	Gn__OrderResult *result = malloc(sizeof(*result));

	gn__order_result__init(result);
	result->task = strdup(order->task);
	result->attempt = order->attempt;
	result->verdict = outcome;
	result->settled = gn_orders_is_settled(order->orders, order->task,
					       order->attempt);
	g_ptr_array_add(executor->results, result);
	executor->report_due = true;
	executor->model->counts->refused_evacuated +=
		outcome == GN_ORDER_OUTCOME_EVACUATED;
	rm_log(executor->model, "executor", executor->at, "reports",
	       rm_find_task(executor->model, order->task), order->attempt,
	       gn_run_order_outcome_name(outcome));
}

static void log_taken(void *arg, const gn_order_t *order)
{
	rm_executor_t *executor = arg;

	rm_log(executor->model, "executor", executor->at, "takes",
	       rm_find_task(executor->model, order->task), order->attempt,
	       gn_run_order_kind_name(order->kind));
}

static void log_dropped(void *arg, const gn_order_t *order, const char *why)
{
	rm_executor_t *executor = arg;

	rm_log(executor->model, "executor", executor->at, "drops",
	       rm_find_task(executor->model, order->task), order->attempt, why);
}

static const gn_orders_ops_t orders_ops = { send_call, report_outcome,
					    log_taken, log_dropped };

/* ======   Start and stop   ====== */

static unsigned get_start_max_age_ms(const run_model_t *model)
{
	return gn_evacuation_start_max_age_ms(
		model->options.evacuations ? RM_EVACUATE_MS : 0,
		GN_GRANT_START_MAX_AGE_MS);
}

void rm_executor_start(run_model_t *model, rm_executor_t *executor)
{
	const unsigned at = executor->at;
	const uint64_t cut_us = executor->cut_us;
	const uint64_t slow_us = executor->slow_us;

	memset(executor, 0, sizeof(*executor));
	executor->model = model;
	executor->at = at;
	executor->cut_us = cut_us;
	executor->slow_us = slow_us;
	executor->up = true;
	executor->serial = ++model->serial;
	executor->ctx = talloc_new(NULL);
	executor->grant.lease_us = RM_LEASE_MS * RM_MS;
	executor->grant.start_max_age_ms = get_start_max_age_ms(model);
	if (model->options.bug == RUN_MODEL_BUG_LONG_LEASE)
		executor->grant.lease_us *= 2;
	executor->orders =
		gn_orders_create(executor->ctx, &model->clock, &executor->grant,
				 RM_LATE_MAX_MS * RM_MS, &orders_ops, executor);
	executor->results = g_ptr_array_new_with_free_func(free_result);
}

void rm_executor_stop(run_model_t *model, rm_executor_t *executor)
{
	(void)model;
	if (!executor->up)
		return;
	executor->up = false;
	executor->connection = 0;
	g_ptr_array_unref(executor->results);
	TALLOC_FREE(executor->ctx);
}

static void start_again(run_model_t *model, void *data)
{
	const rm_executor_t *executor = data;

	rm_log(model, "executor", executor->at, "starts", NULL, 0, NULL);
	rm_executor_start(model, data);
}

void rm_executor_restart(run_model_t *model, rm_executor_t *executor,
			 uint64_t start_us)
{
	rm_log(model, "executor", executor->at, "ends", NULL, 0, NULL);
	rm_executor_stop(model, executor);
	rm_at(model, start_us, start_again, executor, NULL);
}

/* ======   The list   ====== */

void rm_executor_record_clock(rm_executor_t *executor,
			      const gn_worker_answer_t *answer)
{
	if (!answer->clock_ms || answer->outcome == GN_WORKER_LIFE_ENDED)
		return;
	if (gn_grant_record_clock(&executor->grant, answer->clock_ms,
				  rm_now_us(executor->model)))
		executor->grant.granted_until_ms = 0;
}

static bool is_current_life(const rm_executor_t *executor,
			    const gn_worker_answer_t *answer)
{
	return !answer->life_started_ms || !executor->born_ms ||
	       answer->life_started_ms == executor->born_ms;
}

void rm_executor_read_answer(const rm_executor_t *executor,
			     gn_worker_answer_t *answer)
{
	if (is_current_life(executor, answer))
		return;
	answer->outcome = GN_WORKER_UNANSWERED;
	answer->clock_ms = 0;
}

/* Keeps a list unless a newer one came before. */
static void store_list(rm_executor_t *executor, rm_call_t *call)
{
	if (call->answer.clock_ms < executor->list_clock_ms)
		return;
	talloc_free(executor->list);
	executor->list = talloc_steal(executor->ctx, call->lists);
	call->lists = NULL;
	executor->listed = call->answer;
	executor->list_clock_ms = call->answer.clock_ms;
	executor->list_token = call->call.epoch;
	executor->list_unreported = true;
	if (call->answer.end_count)
		executor->list_due_us =
			rm_now_us(executor->model) + LIST_ENDS_DELAY_US;
}

static bool is_proof_of_end(const rm_executor_t *executor,
			    const rm_list_t *request,
			    gn_worker_call_outcome_t outcome)
{
	uint64_t took_us = rm_now_us(executor->model) - request->sent_us;

	return outcome == GN_WORKER_LIFE_ENDED ||
	       (outcome == GN_WORKER_UNSENT &&
		took_us < gn_attempt_timeout_ms(1) * RM_MS);
}

static void on_end(rm_executor_t *executor)
{
	if (executor->worker_ended)
		return;
	rm_log(executor->model, "executor", executor->at, "knows the end", NULL,
	       0, NULL);
	executor->worker_ended = true;
	gn_orders_record_gone(executor->orders, true);
	rm_executor_report(executor);
}

static void note_token(rm_executor_t *executor,
		       const gn_worker_answer_t *answer)
{
	if (answer->outcome == GN_WORKER_FENCED)
		executor->fenced = true;
	else if (answer->outcome == GN_WORKER_OK)
		executor->fenced = false;
	if (executor->worker_known &&
	    answer->life_started_ms > executor->born_ms)
		gn_token_raise(&executor->token, executor->epoch);
}

void rm_executor_on_list(rm_executor_t *executor, rm_call_t *call)
{
	rm_list_t *request = &executor->lists[call->list];

	request->pending = false;
	note_token(executor, &call->answer);
	if (is_proof_of_end(executor, request, call->answer.outcome)) {
		executor->is_process_gone = true;
		if (executor->worker_left)
			on_end(executor);
	}
	if (call->answer.outcome == GN_WORKER_UNSENT &&
	    !executor->worker_left &&
	    gn_gone_record_refusal(&executor->gone,
				   rm_now_us(executor->model))) {
		rm_log(executor->model, "executor", executor->at,
		       "knows the crash", NULL, 0, NULL);
		gn_token_raise(&executor->token, executor->epoch);
		gn_orders_record_gone(executor->orders, true);
		rm_executor_report(executor);
	}
	if (call->answer.outcome != GN_WORKER_OK || !executor->worker_known) {
		executor->list_due_us =
			rm_now_us(executor->model) +
			((executor->gone.gone &&
			  gn_orders_have_open_starts(executor->orders)) ||
					 request->attempts <= LIST_QUICK_RETRIES
				 ? LIST_QUICK_RETRY_DELAY_US
				 : LIST_RETRY_DELAY_US);
		return;
	}
	if (gn_gone_record_response(&executor->gone))
		gn_orders_record_gone(executor->orders, false);
	rm_executor_record_clock(executor, &call->answer);
	executor->is_process_gone = false;
	request->attempts = 0;
	executor->list_due_us =
		executor->worker_left
			? rm_now_us(executor->model) + LIST_RETRY_DELAY_US
			: 0;
	gn_orders_handle_list(executor->orders, &call->answer,
			      request->sent_us);
	gn_life_age_record_list(&executor->life_age, call->call.epoch,
				executor->epoch, rm_now_us(executor->model));
	store_list(executor, call);
	if (executor->listed.end_count)
		rm_executor_report(executor);
}

bool rm_executor_has_unstored_ends(const rm_executor_t *executor)
{
	const gn_worker_answer_t *listed = &executor->listed;

	return listed->end_count &&
	       listed->ends[listed->end_count - 1]->number >
		       executor->ends_stored;
}

static void request_list(rm_executor_t *executor, rm_list_kind_t kind,
			 unsigned wait_ms)
{
	rm_list_t *request = &executor->lists[kind];
	uint64_t now_us = rm_now_us(executor->model);
	gn_worker_call_t call = {
		.kind = GN_WORKER_LIST,
		.wait_ms = wait_ms,
	};

	if (kind == RM_LIST_WAITING && !executor->is_process_gone &&
	    !request->attempts)
		call.ends_stored = gn_ends_to_discard(
			executor->listed.ends, executor->listed.end_count,
			executor->ends_stored);
	if (!executor->worker_left && !executor->is_process_gone)
		call.lease_until_ms =
			gn_grant_extend_until_ms(&executor->grant, now_us);
	request->sent_us = now_us;
	request->attempts++;
	request->pending = true;
	rm_call_send(executor, &call,
		     wait_ms + gn_attempt_timeout_ms(request->attempts), NULL,
		     kind);
}

static bool is_list_needed(const rm_executor_t *executor)
{
	uint64_t since_us = gn_orders_list_needed_since_us(executor->orders);

	return executor->lists[RM_LIST_WAITING].sent_us < since_us &&
	       executor->lists[RM_LIST_PROMPT].sent_us < since_us;
}

void rm_executor_tick_list(rm_executor_t *executor)
{
	bool waits = !executor->worker_left &&
		     !rm_executor_has_unstored_ends(executor);

	if (!executor->worker_known || executor->worker_ended)
		return;
	if (!executor->lists[RM_LIST_WAITING].pending &&
	    rm_now_us(executor->model) >= executor->list_due_us)
		request_list(executor, RM_LIST_WAITING,
			     waits ? LIST_WAIT_MS : 0);
	if (!executor->lists[RM_LIST_PROMPT].pending &&
	    is_list_needed(executor))
		request_list(executor, RM_LIST_PROMPT, 0);
}

/* ======   Heartbeats   ====== */

static void reset_for_life(rm_executor_t *executor, const char *life,
			   uint64_t born_ms)
{
	rm_log(executor->model, "executor", executor->at, "knows life", NULL, 0,
	       g_intern_string(life));
	bool has_known_id =
		executor->worker_known && !strcmp(executor->life, life);
	bool has_unknown_calls =
		!executor->worker_known ||
		(has_known_id && gn_orders_unknown_starts_us(executor->orders));

	if (has_known_id)
		gn_token_raise(&executor->token, executor->epoch);
	gn_life_age_begin(
		&executor->life_age,
		has_known_id
			? gn_token_get_former(&executor->token, executor->epoch)
			: 0,
		has_unknown_calls ? gn_orders_unknown_until_us(executor->orders)
				  : 0);
	gn_token_begin_life(&executor->token);
	executor->fenced = false;
	gn_orders_begin_life(executor->orders, (gn_life_t){ life, born_ms });
	g_ptr_array_set_size(executor->results, 0);
	gn_grant_reset(&executor->grant);
	talloc_free(executor->list);
	executor->list = NULL;
	memset(&executor->listed, 0, sizeof(executor->listed));
	executor->list_unreported = false;
	executor->list_clock_ms = 0;
	executor->list_token = 0;
	executor->ends_stored = 0;
	executor->is_process_gone = false;
	gn_gone_reset(&executor->gone);
	executor->worker_left = false;
	executor->worker_ended = false;
	executor->leave_stored = false;
	executor->list_due_us = 0;
	for (unsigned i = 0; i < RM_LIST_KINDS; i++)
		executor->lists[i].attempts = 0;
}

void rm_executor_on_heartbeat(rm_executor_t *executor, const char *life,
			      uint64_t born_ms, uint64_t heartbeat)
{
	bool is_same = executor->worker_known &&
		       !strcmp(executor->life, life) &&
		       executor->born_ms == born_ms;

	if (!executor->up || rm_executor_is_frozen(executor))
		return;
	if (executor->worker_known &&
	    (born_ms < executor->born_ms ||
	     (is_same && heartbeat <= executor->heartbeat)))
		return;
	if (!is_same)
		reset_for_life(executor, life, born_ms);
	g_strlcpy(executor->life, life, sizeof(executor->life));
	executor->born_ms = born_ms;
	executor->heartbeat = heartbeat;
	executor->described_us = rm_now_us(executor->model);
	executor->cpu_milli = executor->model->workers[executor->at].cpu_milli;
	executor->worker_known = true;
	if (!is_same)
		rm_executor_report(executor);
}

void rm_executor_on_leave(rm_executor_t *executor)
{
	executor->worker_left = true;
	gn_orders_refuse_starts(executor->orders);
	executor->list_due_us = 0;
	rm_executor_report(executor);
}

/* ======   Timer   ====== */

static bool is_stopped(const rm_executor_t *executor)
{
	const run_model_t *model = executor->model;
	uint64_t since_us = rm_now_us(model) - executor->stopping_us;

	if (executor->worker_left && !executor->leave_stored &&
	    model->options.bug != RUN_MODEL_BUG_EARLY_END)
		return false;
	return !gn_orders_count(executor->orders) ||
	       since_us >= RM_STOP_ORDERS_MS * RM_MS;
}

static void tick_stop(rm_executor_t *executor)
{
	run_model_t *model = executor->model;
	uint64_t now_us = rm_now_us(model);

	if (is_stopped(executor)) {
		model->counts->leaves_stored += executor->leave_stored;
		if (executor->worker_left)
			rm_check_leave(model, executor);
	} else if (now_us - executor->stopping_us < RM_GRACE_MS * RM_MS) {
		return;
	}
	rm_executor_restart(model, executor, now_us + START_DELAY_US);
}

void rm_executor_tick(run_model_t *model, rm_executor_t *executor)
{
	(void)model;
	if (!executor->up || rm_executor_is_frozen(executor))
		return;
	rm_executor_tick_list(executor);
	gn_orders_tick(executor->orders);
	rm_executor_tick_leader(executor);
	if (executor->stopping_us)
		tick_stop(executor);
}
