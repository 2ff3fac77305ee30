/**
 * @file orders.c
 * @brief Carries out the leader's orders on the worker.
 *
 * Starts are idempotent, so a start is repeated until a response arrives. If
 * one is refused after an earlier call went unanswered, that call may still
 * take effect late. Then the run is stopped first, which makes the worker
 * refuse the start from then on. No start is sent long after the leader ordered
 * it, since the leader may have given up the claim by then. A stopped run is
 * gone once a list requested after the stop doesn't show it.
 */
#include <string.h>

#include "common/event.h"
#include "common/str.h"
#include "executor/attempt.h"
#include "executor/executor_internal.h"

/** Delay before a call is repeated. */
#define RETRY_DELAY_US (80 * GN_US_PER_MS)
/**
 * Maximum number of calls for a pace, which the leader orders again if the next
 * list shows another speed, and for a start that the worker doesn't carry out.
 */
#define TRIES_MAX 5
/** Size of the key of an order with its terminator, bytes. */
#define KEY_SIZE (GN_TASK_NAME_SIZE + 16)

/* ======   Creation and results   ====== */

void executor_order_free(gpointer data)
{
	executor_order_t *order = data;

	g_free(order->life);
	g_free(order->payload);
	g_free(order->checkpoint);
	g_free(order->ticket);
	g_free(order);
}

void executor_result_free(gpointer data)
{
	gn__order_result__free_unpacked(data, NULL);
}

static void write_key(char key[KEY_SIZE], gn_run_order_kind_t kind,
		      const char *task, uint32_t attempt)
{
	/* A pace may be in progress besides a start or stop of its run. */
	g_snprintf(key, KEY_SIZE, "%s%s %u",
		   kind == GN_RUN_ORDER_PACE ? "p" : "", task, attempt);
}

static executor_order_t *find_order(const executor_t *executor,
				    gn_run_order_kind_t kind, const char *task,
				    uint32_t attempt)
{
	char key[KEY_SIZE];

	write_key(key, kind, task, attempt);
	return g_hash_table_lookup(executor->orders, key);
}

static void remove_order(executor_order_t *order)
{
	char key[KEY_SIZE];

	write_key(key, order->kind, order->task, order->attempt);
	/* The call in progress still points to the order. */
	if (order->call_pending) {
		order->cancelled = true;
		return;
	}
	g_hash_table_remove(order->executor->orders, key);
}

static void add_result(executor_order_t *order, gn_run_order_outcome_t outcome)
{
	executor_t *executor = order->executor;
	Gn__OrderResult *result = malloc(sizeof(*result));

	if (!result)
		abort(); /* GLib aborts too when out of memory. */
	gn__order_result__init(result);
	result->task = strdup(order->task);
	result->attempt = order->attempt;
	result->verdict = outcome;
	g_ptr_array_add(executor->results, result);
	executor->report_due = true;
	gn_event("order", "{s:s, s:I, s:s, s:s, s:I, s:I}", "task", order->task,
		 "attempt", (json_int_t)order->attempt, "kind",
		 gn_run_order_kind_name(order->kind), "outcome",
		 gn_run_order_outcome_name(outcome), "calls",
		 (json_int_t)order->calls, "epoch",
		 (json_int_t)executor->epoch);
}

static void finish_order(executor_order_t *order,
			 gn_run_order_outcome_t outcome)
{
	add_result(order, outcome);
	remove_order(order);
}

static void schedule_retry(executor_order_t *order)
{
	order->next_call_us = executor_now_us(order->executor) + RETRY_DELAY_US;
}

static void send_order(executor_order_t *order);

/* Stops the run; reports @p outcome once the run is gone. */
static void convert_to_stop(executor_order_t *order,
			    gn_run_order_outcome_t outcome)
{
	order->kind = GN_RUN_ORDER_STOP;
	order->stop_outcome = outcome;
	order->tries = 0;
	order->awaits_list = false;
	send_order(order);
}

/*
 * Reports @p outcome only once a list requested from now on doesn't show the
 * run, since an earlier executor process may have started it.
 */
static void await_list(executor_order_t *order, gn_run_order_outcome_t outcome)
{
	order->kind = GN_RUN_ORDER_STOP;
	order->stop_outcome = outcome;
	order->awaits_list = true;
	order->check_only = true;
	order->awaits_list_since_us = executor_now_us(order->executor);
}

/* The last call certainly had no effect; an unanswered one may still. */
static void fail_start(executor_order_t *order, gn_run_order_outcome_t outcome)
{
	if (order->start_unanswered)
		convert_to_stop(order, outcome);
	else if (outcome == GN_ORDER_OUTCOME_NOT_STARTED)
		await_list(order, outcome);
	else
		finish_order(order, outcome);
}

/* ======   Responses   ====== */

static void on_start_answer(executor_order_t *order,
			    gn_worker_call_outcome_t outcome)
{
	switch (outcome) {
	case GN_WORKER_OK:
		finish_order(order, GN_ORDER_OUTCOME_STARTED);
		break;
	case GN_WORKER_UNANSWERED:
		order->start_unanswered = true;
		schedule_retry(order);
		break;
	case GN_WORKER_UNSENT:
	case GN_WORKER_LEASE_EXPIRED:
	case GN_WORKER_FENCED:
		if (order->tries >= TRIES_MAX)
			fail_start(order, GN_ORDER_OUTCOME_NOT_STARTED);
		else
			schedule_retry(order);
		break;
	case GN_WORKER_FULL:
		fail_start(order, GN_ORDER_OUTCOME_NO_ROOM);
		break;
	case GN_WORKER_RUN_OVER:
		/* The next list shows the run's end, unless it is gone. */
		await_list(order, GN_ORDER_OUTCOME_GONE);
		break;
	case GN_WORKER_NO_TICKET:
		fail_start(order, GN_ORDER_OUTCOME_NO_TICKET);
		break;
	case GN_WORKER_MALFORMED:
		fail_start(order, GN_ORDER_OUTCOME_MALFORMED);
		break;
	case GN_WORKER_LIFE_ENDED:
		/* No earlier call can take effect, as that life is over. */
		finish_order(order, GN_ORDER_OUTCOME_NOT_STARTED);
		break;
	case GN_WORKER_UNHEALTHY:
		fail_start(order, GN_ORDER_OUTCOME_NOT_STARTED);
		break;
	}
}

static void on_stop_answer(executor_order_t *order,
			   gn_worker_call_outcome_t outcome)
{
	switch (outcome) {
	case GN_WORKER_OK:
	case GN_WORKER_RUN_OVER:
		order->awaits_list = true;
		order->awaits_list_since_us = executor_now_us(order->executor);
		break;
	case GN_WORKER_LIFE_ENDED:
		finish_order(order, GN_ORDER_OUTCOME_GONE);
		break;
	default:
		schedule_retry(order);
	}
}

static void on_pace_answer(executor_order_t *order,
			   gn_worker_call_outcome_t outcome)
{
	bool retryable = outcome == GN_WORKER_UNANSWERED ||
			 outcome == GN_WORKER_UNSENT ||
			 outcome == GN_WORKER_UNHEALTHY;

	if (retryable && order->tries < TRIES_MAX)
		schedule_retry(order);
	else
		remove_order(order);
}

static const gn_worker_call_kind_t call_kinds[GN_RUN_ORDER_KIND_COUNT] = {
	[GN_RUN_ORDER_START] = GN_WORKER_START,
	[GN_RUN_ORDER_STOP] = GN_WORKER_STOP,
	[GN_RUN_ORDER_PACE] = GN_WORKER_PACE,
};

/** A call in progress; its order isn't freed before. */
typedef struct order_call_s {
	executor_order_t *order;
	gn_run_order_kind_t kind; /**< Kind of the order when it was sent. */
	uint64_t sent_us;
} order_call_t;

static void on_answer(void *arg, const gn_http_call_t *http)
{
	order_call_t *sent = arg;
	executor_order_t *order = sent->order;
	executor_t *executor = order->executor;
	TALLOC_CTX *scratch = talloc_new(executor);
	gn_worker_answer_t answer;

	executor_read_answer(executor, scratch, call_kinds[sent->kind], http,
			     &answer);
	order->call_pending = false;
	gn_histogram_add(executor->order_time,
			 executor_now_us(executor) - sent->sent_us);
	executor_record_clock(executor, &answer);
	if (order->cancelled && order->kind != GN_RUN_ORDER_START)
		remove_order(order);
	else if (order->cancelled) {
		order->cancelled = false;
		convert_to_stop(order, GN_ORDER_OUTCOME_GONE);
	} else if (order->kind == GN_RUN_ORDER_START)
		on_start_answer(order, answer.outcome);
	else if (order->kind == GN_RUN_ORDER_STOP)
		on_stop_answer(order, answer.outcome);
	else
		on_pace_answer(order, answer.outcome);
	talloc_free(scratch);
	g_free(sent);
}

/* ======   Calls   ====== */

static void send_order(executor_order_t *order)
{
	executor_t *executor = order->executor;
	uint64_t now_us = executor_now_us(executor);
	gn_worker_call_t call = {
		.kind = call_kinds[order->kind],
		.task = order->task,
		.attempt = order->attempt,
		.payload = { order->payload, order->payload_len },
		.checkpoint = order->checkpoint,
		.ticket = order->ticket,
		.percent = order->percent,
	};
	order_call_t *sent;

	if (order->kind == GN_RUN_ORDER_START &&
	    !gn_grant_may_start(order->basis_us, now_us)) {
		fail_start(order, GN_ORDER_OUTCOME_NOT_STARTED);
		return;
	}
	if (order->kind == GN_RUN_ORDER_START) {
		call.lease_until_ms =
			gn_grant_extend_until_ms(&executor->grant, now_us);
		/* Needs a recent clock reading and an answer of the leader. */
		if (!call.lease_until_ms) {
			schedule_retry(order);
			return;
		}
	}
	sent = g_new0(order_call_t, 1);
	sent->order = order;
	sent->kind = order->kind;
	sent->sent_us = now_us;
	order->tries++;
	order->calls++;
	order->call_pending = executor_call_worker(
		executor, &call, gn_attempt_timeout_ms(order->tries), on_answer,
		sent);
	if (!order->call_pending) {
		g_free(sent);
		schedule_retry(order);
	}
}

/* ======   Orders   ====== */

static void log_taken(const executor_order_t *order, uint64_t basis_us)
{
	const executor_t *executor = order->executor;
	uint64_t age_us = executor_now_us(executor) - basis_us;

	gn_event("take", "{s:s, s:I, s:s, s:I, s:I}", "task", order->task,
		 "attempt", (json_int_t)order->attempt, "kind",
		 gn_run_order_kind_name(order->kind), "basis_age_ms",
		 (json_int_t)(age_us / GN_US_PER_MS), "epoch",
		 (json_int_t)executor->epoch);
}

static executor_order_t *create_order(executor_t *executor,
				      const Gn__WorkerOrder *message,
				      uint64_t basis_us)
{
	executor_order_t *order = g_new0(executor_order_t, 1);
	char key[KEY_SIZE];

	order->executor = executor;
	order->kind = (gn_run_order_kind_t)message->kind;
	g_strlcpy(order->task, message->task, sizeof(order->task));
	order->attempt = message->attempt;
	order->life = g_strdup(message->life);
	order->payload = g_memdup2(message->payload.data, message->payload.len);
	order->payload_len = message->payload.len;
	order->checkpoint = g_strdup(message->checkpoint);
	order->ticket = g_strdup(message->ticket);
	order->percent = message->percent;
	order->basis_us = basis_us;
	order->stop_outcome = GN_ORDER_OUTCOME_GONE;
	write_key(key, order->kind, order->task, order->attempt);
	g_hash_table_insert(executor->orders, g_strdup(key), order);
	if (order->kind != GN_RUN_ORDER_PACE)
		log_taken(order, basis_us);
	return order;
}

static void on_start_order(executor_t *executor, const Gn__WorkerOrder *message,
			   uint64_t basis_us)
{
	executor_order_t *order = find_order(executor, GN_RUN_ORDER_START,
					     message->task, message->attempt);
	const gn_life_t life = { message->life, message->born_ms };
	const gn_life_t present = executor_get_life(executor);

	/* A call for the earlier life may yet start the run in this one. The
	 * leader stops it first when it learns of this life. */
	if (gn_life_same_id(life, present) && !gn_life_matches(life, present))
		return;
	if (order) {
		order->basis_us = MAX(order->basis_us, basis_us);
		return;
	}
	order = create_order(executor, message, basis_us);
	if (!gn_life_same_id(life, present))
		finish_order(order, GN_ORDER_OUTCOME_NOT_STARTED);
	else if (executor->worker_draining_us || executor->worker_left)
		fail_start(order, GN_ORDER_OUTCOME_NOT_STARTED);
	else
		send_order(order);
}

static void on_stop_order(executor_t *executor, const Gn__WorkerOrder *message,
			  uint64_t basis_us)
{
	executor_order_t *order = find_order(executor, GN_RUN_ORDER_STOP,
					     message->task, message->attempt);

	if (!order) {
		send_order(create_order(executor, message, basis_us));
	} else if (order->check_only) {
		order->check_only = false;
		convert_to_stop(order, GN_ORDER_OUTCOME_GONE);
	} else if (order->kind == GN_RUN_ORDER_START) {
		if (order->call_pending)
			order->cancelled = true;
		else
			convert_to_stop(order, GN_ORDER_OUTCOME_GONE);
	}
}

static void on_pace_order(executor_t *executor, const Gn__WorkerOrder *message,
			  uint64_t basis_us)
{
	executor_order_t *order = find_order(executor, GN_RUN_ORDER_PACE,
					     message->task, message->attempt);

	if (!order) {
		send_order(create_order(executor, message, basis_us));
	} else {
		order->percent = message->percent;
		order->tries = 0;
		order->next_call_us = 0;
	}
}

void executor_on_order(executor_t *executor, const Gn__WorkerOrder *message,
		       uint64_t basis_us)
{
	if (!executor->worker_known ||
	    strlen(message->task) >= GN_TASK_NAME_SIZE)
		return;
	switch ((gn_run_order_kind_t)message->kind) {
	case GN_RUN_ORDER_START:
		on_start_order(executor, message, basis_us);
		break;
	case GN_RUN_ORDER_STOP:
		on_stop_order(executor, message, basis_us);
		break;
	case GN_RUN_ORDER_PACE:
		on_pace_order(executor, message, basis_us);
		break;
	default:
		break;
	}
}

void executor_orders_tick(executor_t *executor)
{
	uint64_t now_us = executor_now_us(executor);
	GList *all = g_hash_table_get_values(executor->orders);

	for (GList *item = all; item; item = item->next) {
		executor_order_t *order = item->data;

		if (!order->call_pending && !order->awaits_list &&
		    now_us >= order->next_call_us)
			send_order(order);
	}
	g_list_free(all);
}

static bool is_listed(const executor_t *executor, const executor_order_t *order)
{
	for (size_t i = 0; i < executor->run_count; i++)
		if (executor->runs[i]->attempt == order->attempt &&
		    !strcmp(executor->runs[i]->task, order->task))
			return true;
	return false;
}

/* A listed end tells the leader more than a result does. */
static bool is_end_listed(const executor_t *executor,
			  const executor_order_t *order)
{
	for (size_t i = 0; i < executor->end_count; i++)
		if (executor->ends[i]->attempt == order->attempt &&
		    !strcmp(executor->ends[i]->task, order->task))
			return true;
	return false;
}

void executor_orders_on_list(executor_t *executor, uint64_t sent_us)
{
	GList *all = g_hash_table_get_values(executor->orders);

	for (GList *item = all; item; item = item->next) {
		executor_order_t *order = item->data;

		if (!order->awaits_list ||
		    sent_us < order->awaits_list_since_us)
			continue;
		if (is_listed(executor, order)) {
			if (order->check_only)
				finish_order(order, GN_ORDER_OUTCOME_STARTED);
			continue;
		}
		if (is_end_listed(executor, order))
			remove_order(order);
		else
			finish_order(order, order->stop_outcome);
	}
	g_list_free(all);
}

void executor_orders_drop(executor_t *executor)
{
	GList *all = g_hash_table_get_values(executor->orders);

	for (GList *item = all; item; item = item->next) {
		executor_order_t *order = item->data;

		/*
		 * With a call in progress, the order is removed when the
		 * response comes. A start would then be stopped, so it becomes
		 * a stop.
		 */
		if (order->call_pending && order->kind == GN_RUN_ORDER_START)
			order->kind = GN_RUN_ORDER_STOP;
		remove_order(order);
	}
	g_list_free(all);
}
