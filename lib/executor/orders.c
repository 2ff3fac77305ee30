#include "executor/orders.h"

#include <glib.h>
#include <string.h>

#include "common/str.h"
#include "executor/attempt.h"
#include "executor/starts.h"

/** Delay before a call is repeated. */
#define RETRY_DELAY_US (80 * GN_US_PER_MS)
/** Maximum number of calls for a pace, and for a start that the worker doesn't
 * carry out. */
#define TRIES_MAX 5
/** The same for a start of which a call has no answer and may be carried out
 * later. */
#define SILENT_TRIES_MAX 12
/** A start that was refused is refused again for this long. Starts on an older
 * basis are refused anyway; see gn_grant_may_start(). */
#define REFUSED_US (4000 * GN_US_PER_MS)
/** Size of the key of an order with its terminator, bytes. */
#define KEY_SIZE (GN_TASK_NAME_SIZE + 16)

struct gn_orders_s {
	const gn_clock_t *clock;
	gn_grant_t *grant;
	gn_starts_t *starts;
	const gn_orders_ops_t *ops;
	void *arg;
	gn_life_t life; /**< Life of the worker; interned ID. */
	bool refuses_starts; /**< The worker is leaving. */
	bool is_gone; /**< Its process is gone. */
	bool evacuated; /**< Its data centre is evacuated. */
	/** gn_order_t by "TASK ATTEMPT", or by "pTASK ATTEMPT" for a pace. */
	GHashTable *table;
	/** refused_t by "TASK ATTEMPT": starts that were reported as refused. */
	GHashTable *refused;
};

/** A start that must not begin any more. */
typedef struct refused_s {
	gn_run_order_outcome_t outcome;
	gn_life_t life; /**< Life of the worker; interned ID. */
	uint64_t until_us; /**< No repetition of the order is accepted later. */
} refused_t;

static uint64_t get_now_us(const gn_orders_t *orders)
{
	return gn_clock_now_us(orders->clock);
}

/* ======   Creation and removal   ====== */

static void free_order(gpointer data)
{
	gn_order_t *order = data;

	g_free(order->payload);
	g_free(order->checkpoint);
	g_free(order->ticket);
	g_free(order);
}

static int free_orders(gn_orders_t *orders)
{
	g_hash_table_destroy(orders->table);
	g_hash_table_destroy(orders->refused);
	return 0;
}

gn_orders_t *gn_orders_create(TALLOC_CTX *parent, const gn_clock_t *clock,
			      gn_grant_t *grant, uint64_t late_us,
			      const gn_orders_ops_t *ops, void *arg)
{
	gn_orders_t *orders = talloc_zero(parent, gn_orders_t);

	if (!orders)
		return NULL;
	orders->starts = gn_starts_create(orders, clock, late_us);
	if (!orders->starts) {
		talloc_free(orders);
		return NULL;
	}
	orders->clock = clock;
	orders->grant = grant;
	orders->ops = ops;
	orders->arg = arg;
	orders->life.id = "";
	orders->table = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      free_order);
	orders->refused =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	talloc_set_destructor(orders, free_orders);
	return orders;
}

size_t gn_orders_count(const gn_orders_t *orders)
{
	return g_hash_table_size(orders->table);
}

static void write_key(char key[KEY_SIZE], gn_run_order_kind_t kind,
		      const char *task, uint32_t attempt)
{
	/* A pace may be in progress besides a start or stop of its run. */
	g_snprintf(key, KEY_SIZE, "%s%s %u",
		   kind == GN_RUN_ORDER_PACE ? "p" : "", task, attempt);
}

static gn_order_t *find_order(const gn_orders_t *orders,
			      gn_run_order_kind_t kind, const char *task,
			      uint32_t attempt)
{
	char key[KEY_SIZE];

	write_key(key, kind, task, attempt);
	return g_hash_table_lookup(orders->table, key);
}

static void remove_order(gn_order_t *order)
{
	char key[KEY_SIZE];

	write_key(key, order->kind, order->task, order->attempt);
	/* The call in progress still points to the order. */
	if (order->call_pending) {
		order->cancelled = true;
		return;
	}
	g_hash_table_remove(order->orders->table, key);
}

static bool is_refusal(gn_run_order_outcome_t outcome)
{
	return outcome != GN_ORDER_OUTCOME_STARTED &&
	       outcome != GN_ORDER_OUTCOME_ENDED &&
	       outcome != GN_ORDER_OUTCOME_LIFE_ENDED;
}

/* A repetition of the order may be under way, and the worker that has refused
 * the start may restart under its ID and know nothing of it. */
static void remember_refusal(const gn_order_t *order,
			     gn_run_order_outcome_t outcome)
{
	refused_t *refused = g_new(refused_t, 1);
	char key[KEY_SIZE];

	write_key(key, GN_RUN_ORDER_START, order->task, order->attempt);
	refused->outcome = outcome;
	refused->life = order->orders->life;
	refused->until_us = get_now_us(order->orders) + REFUSED_US;
	g_hash_table_replace(order->orders->refused, g_strdup(key), refused);
}

static gboolean is_refusal_over(gpointer key, gpointer value, gpointer now_us)
{
	const refused_t *refused = value;

	(void)key;
	return refused->until_us <= *(const uint64_t *)now_us;
}

static void finish_order(gn_order_t *order, gn_run_order_outcome_t outcome)
{
	if (is_refusal(outcome))
		remember_refusal(order, outcome);
	order->orders->ops->report(order->orders->arg, order, outcome);
	remove_order(order);
}

static void schedule_retry(gn_order_t *order)
{
	order->next_call_us = get_now_us(order->orders) + RETRY_DELAY_US;
}

static void send_order(gn_order_t *order);

/* Stops the run; reports @p outcome once the run is gone. */
static void convert_to_stop(gn_order_t *order, gn_run_order_outcome_t outcome)
{
	order->kind = GN_RUN_ORDER_STOP;
	order->stop_outcome = outcome;
	order->tries = 0;
	order->awaits_list = false;
	order->check_only = false;
	send_order(order);
}

static void await_list(gn_order_t *order)
{
	order->awaits_list = true;
	order->awaits_list_since_us = get_now_us(order->orders);
}

/*
 * Waits for a list that shows whether the run is there, since an earlier order
 * or executor process may have started it.
 */
static void check_run(gn_order_t *order, gn_run_order_outcome_t outcome)
{
	order->kind = GN_RUN_ORDER_STOP;
	order->stop_outcome = outcome;
	order->check_only = true;
	await_list(order);
}

/* Whether a call for the attempt may be carried out later. Until then the attempt
 * is not closed: another one would begin beside it in the next life. */
static bool may_begin_later(const gn_order_t *order)
{
	return gn_starts_is_open(order->orders->starts, order->task,
				 order->attempt);
}

/* ======   Responses   ====== */

/* Whether the worker may take the same start when it is called again. */
static bool is_passing(gn_worker_call_outcome_t outcome)
{
	return outcome == GN_WORKER_UNANSWERED || outcome == GN_WORKER_FULL ||
	       outcome == GN_WORKER_UNHEALTHY || outcome == GN_WORKER_FENCED ||
	       outcome == GN_WORKER_LEASE_EXPIRED;
}

static void on_start_answer(gn_order_t *order, gn_worker_call_outcome_t outcome)
{
	if (is_passing(outcome) && may_begin_later(order) &&
	    order->tries < SILENT_TRIES_MAX) {
		schedule_retry(order);
		return;
	}
	switch (outcome) {
	case GN_WORKER_OK:
		gn_starts_record_run(order->orders->starts, order->task,
				     order->attempt);
		finish_order(order, GN_ORDER_OUTCOME_STARTED);
		break;
	case GN_WORKER_UNSENT:
		/* The process may be gone, and the next call reach another one
		 * with the same ID. */
		check_run(order, GN_ORDER_OUTCOME_NOT_STARTED);
		break;
	case GN_WORKER_UNANSWERED:
	case GN_WORKER_LEASE_EXPIRED:
	case GN_WORKER_FENCED:
		if (order->tries >= TRIES_MAX)
			check_run(order, GN_ORDER_OUTCOME_NOT_STARTED);
		else
			schedule_retry(order);
		break;
	case GN_WORKER_FULL:
		if (may_begin_later(order))
			check_run(order, GN_ORDER_OUTCOME_NO_ROOM);
		else
			convert_to_stop(order, GN_ORDER_OUTCOME_NO_ROOM);
		break;
	case GN_WORKER_RUN_OVER:
		/* The next list shows the run's end, unless it is gone. */
		check_run(order, GN_ORDER_OUTCOME_GONE);
		break;
	case GN_WORKER_NO_TICKET:
		convert_to_stop(order, GN_ORDER_OUTCOME_NO_TICKET);
		break;
	case GN_WORKER_MALFORMED:
		convert_to_stop(order, GN_ORDER_OUTCOME_MALFORMED);
		break;
	case GN_WORKER_LIFE_ENDED:
		/* No earlier call can take effect, as that life is over. */
		finish_order(order, GN_ORDER_OUTCOME_LIFE_ENDED);
		break;
	case GN_WORKER_UNHEALTHY:
		check_run(order, GN_ORDER_OUTCOME_NOT_STARTED);
		break;
	}
}

static void on_stop_answer(gn_order_t *order, gn_worker_call_outcome_t outcome)
{
	switch (outcome) {
	case GN_WORKER_OK:
	case GN_WORKER_RUN_OVER:
		await_list(order);
		break;
	case GN_WORKER_LIFE_ENDED:
		finish_order(order, GN_ORDER_OUTCOME_LIFE_ENDED);
		break;
	default:
		schedule_retry(order);
	}
}

static void on_pace_answer(gn_order_t *order, gn_worker_call_outcome_t outcome)
{
	bool retryable = outcome == GN_WORKER_UNANSWERED ||
			 outcome == GN_WORKER_UNSENT ||
			 outcome == GN_WORKER_UNHEALTHY;

	/* A pace ordered during the call replaces the one that was sent. */
	if (order->percent != order->sent_percent)
		send_order(order);
	else if (retryable && order->tries < TRIES_MAX)
		schedule_retry(order);
	else
		remove_order(order);
}

static const gn_worker_call_kind_t call_kinds[GN_RUN_ORDER_KIND_COUNT] = {
	[GN_RUN_ORDER_START] = GN_WORKER_START,
	[GN_RUN_ORDER_STOP] = GN_WORKER_STOP,
	[GN_RUN_ORDER_PACE] = GN_WORKER_PACE,
};

void gn_orders_handle_answer(gn_order_call_t *sent,
			     gn_worker_call_outcome_t outcome)
{
	gn_order_t *order = sent->order;

	if (sent->kind == GN_WORKER_START && outcome != GN_WORKER_UNANSWERED)
		gn_starts_record_answer(order->orders->starts, order->task,
					order->attempt);
	else if (sent->kind == GN_WORKER_START)
		gn_starts_record_silence(order->orders->starts, order->task,
					 order->attempt);
	g_free(sent);
	order->call_pending = false;
	if (order->cancelled && order->kind != GN_RUN_ORDER_START) {
		remove_order(order);
	} else if (order->cancelled) {
		order->cancelled = false;
		convert_to_stop(order, GN_ORDER_OUTCOME_GONE);
	} else if (order->kind == GN_RUN_ORDER_START) {
		on_start_answer(order, outcome);
	} else if (order->kind == GN_RUN_ORDER_STOP) {
		on_stop_answer(order, outcome);
	} else {
		on_pace_answer(order, outcome);
	}
}

/* ======   Calls   ====== */

/* Whether a start may be sent now; otherwise decides what becomes of it. */
static bool prepare_start(gn_order_t *order, gn_worker_call_t *call)
{
	gn_orders_t *orders = order->orders;
	uint64_t now_us = get_now_us(orders);

	if (orders->evacuated) {
		check_run(order, GN_ORDER_OUTCOME_EVACUATED);
		return false;
	}
	if (orders->refuses_starts || orders->is_gone ||
	    !gn_grant_may_start(orders->grant, order->basis_us, now_us)) {
		check_run(order, GN_ORDER_OUTCOME_NOT_STARTED);
		return false;
	}
	call->lease_until_ms = gn_grant_extend_until_ms(orders->grant, now_us);
	/* Needs a recent clock reading and an answer of the leader. */
	if (!call->lease_until_ms)
		schedule_retry(order);
	return call->lease_until_ms != 0;
}

static void send_order(gn_order_t *order)
{
	gn_orders_t *orders = order->orders;
	gn_worker_call_t call = {
		.kind = call_kinds[order->kind],
		.task = order->task,
		.attempt = order->attempt,
		.payload = { order->payload, order->payload_len },
		.checkpoint = order->checkpoint,
		.ticket = order->ticket,
		.percent = order->percent,
	};
	gn_order_call_t *sent;

	if (order->kind == GN_RUN_ORDER_START && !prepare_start(order, &call))
		return;
	sent = g_new0(gn_order_call_t, 1);
	sent->order = order;
	sent->arg = orders->arg;
	sent->kind = call.kind;
	sent->sent_us = get_now_us(orders);
	order->tries++;
	order->calls++;
	order->sent_percent = order->percent;
	order->call_pending = orders->ops->send_call(
		orders->arg, &call, gn_attempt_timeout_ms(order->tries), sent);
	if (!order->call_pending) {
		g_free(sent);
		schedule_retry(order);
	} else if (call.kind == GN_WORKER_START) {
		gn_starts_record_call(orders->starts, order->task,
				      order->attempt);
	}
	order->token = call.epoch;
}

/* ======   Orders   ====== */

static gn_life_t get_named_life(const Gn__WorkerOrder *message)
{
	return (gn_life_t){ g_intern_string(message->life), message->born_ms };
}

static gn_order_t *create_order(gn_orders_t *orders,
				const Gn__WorkerOrder *message,
				uint64_t basis_us)
{
	gn_order_t *order = g_new0(gn_order_t, 1);
	char key[KEY_SIZE];

	order->orders = orders;
	order->kind = (gn_run_order_kind_t)message->kind;
	g_strlcpy(order->task, message->task, sizeof(order->task));
	order->attempt = message->attempt;
	order->life = get_named_life(message);
	order->payload = g_memdup2(message->payload.data, message->payload.len);
	order->payload_len = message->payload.len;
	order->checkpoint = g_strdup(message->checkpoint);
	order->ticket = g_strdup(message->ticket);
	order->percent = message->percent;
	order->basis_us = basis_us;
	order->stop_outcome = GN_ORDER_OUTCOME_GONE;
	write_key(key, order->kind, order->task, order->attempt);
	g_hash_table_insert(orders->table, g_strdup(key), order);
	if (order->kind != GN_RUN_ORDER_PACE)
		orders->ops->log_taken(orders->arg, order);
	return order;
}

/* Stops what a start in progress may begin. */
static void give_up_start(gn_order_t *order)
{
	if (order->call_pending)
		order->cancelled = true;
	else
		convert_to_stop(order, GN_ORDER_OUTCOME_GONE);
}

/*
 * Gives up starts of earlier attempts of the task, which the leader has given
 * up, too. Returns false if a later attempt is being started.
 */
static bool is_newest_start(gn_orders_t *orders, const Gn__WorkerOrder *message)
{
	GList *all = g_hash_table_get_values(orders->table);
	bool is_newest = true;

	for (GList *item = all; item; item = item->next) {
		gn_order_t *order = item->data;

		if (order->kind != GN_RUN_ORDER_START ||
		    strcmp(order->task, message->task) != 0)
			continue;
		if (order->attempt < message->attempt)
			give_up_start(order);
		else if (order->attempt > message->attempt)
			is_newest = false;
	}
	g_list_free(all);
	return is_newest;
}

/* Returns how the same start was refused, or NULL. */
static const refused_t *find_refused(const gn_orders_t *orders,
				     const Gn__WorkerOrder *message)
{
	const refused_t *refused;
	char key[KEY_SIZE];

	write_key(key, GN_RUN_ORDER_START, message->task, message->attempt);
	refused = g_hash_table_lookup(orders->refused, key);
	/* The same attempt may be ordered again in a later life. */
	return refused && gn_life_matches(refused->life,
					  get_named_life(message))
		       ? refused
		       : NULL;
}

static bool is_of_other_life(const gn_orders_t *orders,
			     const Gn__WorkerOrder *message)
{
	const gn_life_t life = { message->life, message->born_ms };

	return gn_life_compare(life, orders->life) == GN_LIFE_OTHER;
}

static void on_start_order(gn_orders_t *orders, const Gn__WorkerOrder *message,
			   uint64_t basis_us)
{
	gn_order_t *order = find_order(orders, GN_RUN_ORDER_START,
				       message->task, message->attempt);
	const refused_t *refused = find_refused(orders, message);

	if (order) {
		order->basis_us = MAX(order->basis_us, basis_us);
		return;
	}
	if (!is_newest_start(orders, message))
		return;
	order = create_order(orders, message, basis_us);
	gn_starts_record_order(orders->starts, order->task, order->attempt,
			       message->first);
	if (refused)
		finish_order(order, refused->outcome);
	else if (gn_starts_is_confirmed(orders->starts, order->task,
					order->attempt))
		/* Another call could only be carried out too late. */
		finish_order(order, GN_ORDER_OUTCOME_STARTED);
	else if (is_of_other_life(orders, message))
		finish_order(order, GN_ORDER_OUTCOME_NOT_STARTED);
	else
		send_order(order);
}

static void on_stop_order(gn_orders_t *orders, const Gn__WorkerOrder *message,
			  uint64_t basis_us)
{
	gn_order_t *order = find_order(orders, GN_RUN_ORDER_STOP, message->task,
				       message->attempt);

	if (!order) {
		send_order(create_order(orders, message, basis_us));
	} else if (order->check_only) {
		convert_to_stop(order, GN_ORDER_OUTCOME_GONE);
	} else if (order->kind == GN_RUN_ORDER_START) {
		give_up_start(order);
	}
}

static void on_pace_order(gn_orders_t *orders, const Gn__WorkerOrder *message,
			  uint64_t basis_us)
{
	gn_order_t *order = find_order(orders, GN_RUN_ORDER_PACE, message->task,
				       message->attempt);

	if (!order) {
		send_order(create_order(orders, message, basis_us));
	} else {
		order->percent = message->percent;
		order->tries = 0;
		order->next_call_us = 0;
	}
}

static void log_dropped_message(gn_orders_t *orders,
				const Gn__WorkerOrder *message)
{
	gn_order_t order = {
		.orders = orders,
		.kind = (gn_run_order_kind_t)message->kind,
		.attempt = message->attempt,
		.life = get_named_life(message),
	};

	g_strlcpy(order.task, message->task, sizeof(order.task));
	orders->ops->log_dropped(orders->arg, &order,
				 "it names another life of the worker");
}

void gn_orders_handle(gn_orders_t *orders, const Gn__WorkerOrder *message,
		      uint64_t basis_us)
{
	const gn_life_t life = { message->life, message->born_ms };
	const gn_life_relation_t relation = gn_life_compare(life, orders->life);

	/* Without a life, there is no worker yet. */
	if (!*orders->life.id || strlen(message->task) >= GN_TASK_NAME_SIZE)
		return;
	/* A call for the earlier life may yet start the run in this one. The
	 * leader stops it first when it learns of this life. */
	if (relation == GN_LIFE_FORMER || relation == GN_LIFE_NEXT) {
		if (message->kind != GN_RUN_ORDER_PACE)
			log_dropped_message(orders, message);
		return;
	}
	switch ((gn_run_order_kind_t)message->kind) {
	case GN_RUN_ORDER_START:
		on_start_order(orders, message, basis_us);
		break;
	case GN_RUN_ORDER_STOP:
		on_stop_order(orders, message, basis_us);
		break;
	case GN_RUN_ORDER_PACE:
		on_pace_order(orders, message, basis_us);
		break;
	default:
		break;
	}
}

/* Whether the outcome of the order says that its run has not begun. */
static bool is_start(const gn_order_t *order)
{
	return order->kind == GN_RUN_ORDER_START ||
	       (order->kind == GN_RUN_ORDER_STOP &&
		order->stop_outcome != GN_ORDER_OUTCOME_GONE);
}

/* Reports the starts that have not begun at a process that is gone. Nothing has
 * to be closed there, as no call for them is under way. */
static void refuse_starts_at_gone(gn_orders_t *orders)
{
	GList *all = g_hash_table_get_values(orders->table);

	for (GList *item = all; item; item = item->next) {
		gn_order_t *order = item->data;

		if (order->call_pending || !is_start(order) ||
		    !gn_starts_never_began(orders->starts, order->task,
					   order->attempt))
			continue;
		finish_order(order, order->kind == GN_RUN_ORDER_START
					    ? GN_ORDER_OUTCOME_NOT_STARTED
					    : order->stop_outcome);
	}
	g_list_free(all);
}

void gn_orders_tick(gn_orders_t *orders)
{
	uint64_t now_us = get_now_us(orders);
	GList *all;

	g_hash_table_foreach_remove(orders->refused, is_refusal_over, &now_us);
	gn_starts_tick(orders->starts);
	if (orders->is_gone)
		refuse_starts_at_gone(orders);
	all = g_hash_table_get_values(orders->table);
	for (GList *item = all; item; item = item->next) {
		gn_order_t *order = item->data;

		if (!order->call_pending && !order->awaits_list &&
		    now_us >= order->next_call_us)
			send_order(order);
	}
	g_list_free(all);
}

static bool is_listed(const gn_worker_answer_t *list, const gn_order_t *order)
{
	for (size_t i = 0; i < list->run_count; i++)
		if (list->runs[i]->attempt == order->attempt &&
		    !strcmp(list->runs[i]->task, order->task))
			return true;
	return false;
}

/* A listed end tells the leader more than a result does. */
static bool is_end_listed(const gn_worker_answer_t *list,
			  const gn_order_t *order)
{
	for (size_t i = 0; i < list->end_count; i++)
		if (list->ends[i]->attempt == order->attempt &&
		    !strcmp(list->ends[i]->task, order->task))
			return true;
	return false;
}

/* Whether the attempt is left open until its calls are over. In an evacuated data
 * centre nothing may begin. */
static bool may_wait(const gn_order_t *order)
{
	return order->stop_outcome != GN_ORDER_OUTCOME_GONE &&
	       !order->orders->evacuated && may_begin_later(order);
}

/* Decides an order by a list that was requested after its last call. */
static void decide_by_list(gn_order_t *order, const gn_worker_answer_t *list)
{
	if (is_listed(list, order)) {
		if (order->check_only)
			finish_order(order, GN_ORDER_OUTCOME_STARTED);
	} else if (is_end_listed(list, order)) {
		remove_order(order);
	} else if (list->ends_cut || (order->check_only && may_wait(order))) {
		/* The run's end may be among those that are not shown, or a call
		 * begin the run later. */
		return;
	} else if (order->check_only &&
		   order->stop_outcome != GN_ORDER_OUTCOME_GONE) {
		/* Closes the attempt at the worker: a repeated order or a late
		 * call could still start it after the claim's release. */
		convert_to_stop(order, order->stop_outcome);
	} else {
		finish_order(order, order->stop_outcome);
	}
}

void gn_orders_handle_list(gn_orders_t *orders, const gn_worker_answer_t *list,
			   uint64_t sent_us)
{
	GList *all = g_hash_table_get_values(orders->table);

	for (GList *item = all; item; item = item->next) {
		gn_order_t *order = item->data;

		if (order->awaits_list &&
		    sent_us >= order->awaits_list_since_us)
			decide_by_list(order, list);
		else if (order->kind == GN_RUN_ORDER_START &&
			 is_end_listed(list, order))
			remove_order(order);
	}
	g_list_free(all);
}

uint64_t gn_orders_list_needed_since_us(const gn_orders_t *orders)
{
	uint64_t since_us = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, orders->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const gn_order_t *order = value;

		if (order->awaits_list)
			since_us = MAX(since_us, order->awaits_list_since_us);
	}
	return since_us;
}

bool gn_orders_is_settled(const gn_orders_t *orders, const char *task,
			  uint32_t attempt)
{
	return gn_starts_is_settled(orders->starts, task, attempt);
}

bool gn_orders_have_open_starts(const gn_orders_t *orders)
{
	return gn_starts_are_open(orders->starts);
}

size_t gn_orders_count_open_starts(const gn_orders_t *orders)
{
	return gn_starts_count_open(orders->starts);
}

uint64_t gn_orders_unknown_until_us(const gn_orders_t *orders)
{
	return gn_starts_unknown_until_us(orders->starts);
}

uint64_t gn_orders_unknown_starts_us(const gn_orders_t *orders)
{
	return gn_starts_unknown_left_us(orders->starts);
}

void gn_orders_describe_starts(const gn_orders_t *orders, TALLOC_CTX *parent,
			       Gn__WorkerReport *report)
{
	gn_starts_describe(orders->starts, parent, report);
}

/* ======   Lives   ====== */

static void drop_all(gn_orders_t *orders)
{
	GList *all = g_hash_table_get_values(orders->table);

	for (GList *item = all; item; item = item->next) {
		gn_order_t *order = item->data;

		if (!order->cancelled && order->kind != GN_RUN_ORDER_PACE)
			orders->ops->log_dropped(
				orders->arg, order,
				order->call_pending
					? "the worker's life is over, a call "
					  "is under way"
					: "the worker's life is over");
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

void gn_orders_begin_life(gn_orders_t *orders, gn_life_t life)
{
	/* Before the first life, an earlier process may have called this ID. */
	gn_starts_begin_life(orders->starts,
			     !*orders->life.id ||
				     gn_life_compare(life, orders->life) !=
					     GN_LIFE_OTHER);
	orders->life.id = g_intern_string(life.id);
	orders->life.started_ms = life.started_ms;
	orders->refuses_starts = false;
	orders->is_gone = false;
	drop_all(orders);
}

gn_life_t gn_orders_get_life(const gn_orders_t *orders)
{
	return orders->life;
}

void gn_orders_set_evacuated(gn_orders_t *orders, bool evacuated)
{
	GList *all;

	if (orders->evacuated == evacuated)
		return;
	orders->evacuated = evacuated;
	if (!evacuated)
		return;
	/* Starts in progress are refused now, not at their next repetition. A
	 * call that is under way is waited for. */
	all = g_hash_table_get_values(orders->table);
	for (GList *item = all; item; item = item->next) {
		gn_order_t *order = item->data;

		if (order->kind == GN_RUN_ORDER_START && !order->call_pending)
			send_order(order);
	}
	g_list_free(all);
}

void gn_orders_refuse_starts(gn_orders_t *orders)
{
	orders->refuses_starts = true;
}

void gn_orders_record_gone(gn_orders_t *orders, bool is_gone)
{
	orders->is_gone = is_gone;
	if (is_gone)
		refuse_starts_at_gone(orders);
}
