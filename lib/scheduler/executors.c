/**
 * @file executors.c
 * @brief Reports from executors and orders to them.
 */
#include <string.h>

#include "common/event.h"
#include "common/str.h"
#include "job/life.h"
#include "scheduler/scheduler_internal.h"

/** Size of the orders in one message, bytes. Links take GN_BODY_MAX. */
#define ORDERS_SIZE_MAX (GN_BODY_MAX / 2)

/* ======   Order queue   ====== */

static void free_order(gpointer data)
{
	gn__worker_order__free_unpacked(data, NULL);
}

void scheduler_executor_free(gpointer data)
{
	scheduler_executor_t *executor = data;

	g_ptr_array_free(executor->orders, TRUE);
	g_free(executor->host);
	g_free(executor);
}

static scheduler_executor_t *get_or_create_executor(scheduler_t *scheduler,
						    const char *host)
{
	scheduler_executor_t *executor =
		g_hash_table_lookup(scheduler->executors, host);

	if (executor)
		return executor;
	executor = g_new0(scheduler_executor_t, 1);
	executor->host = g_strdup(host);
	executor->orders = g_ptr_array_new_with_free_func(free_order);
	g_hash_table_insert(scheduler->executors, executor->host, executor);
	return executor;
}

static void copy_payload(ProtobufCBinaryData *to, gn_str_t from)
{
	to->data = malloc(from.len + 1);
	if (!to->data)
		abort(); /* GLib also aborts when out of memory. */
	memcpy(to->data, from.data, from.len);
	to->len = from.len;
}

void scheduler_add_order(scheduler_t *scheduler, const char *host,
			 const gn_run_order_t *order)
{
	scheduler_executor_t *executor =
		get_or_create_executor(scheduler, host);
	Gn__WorkerOrder *message = malloc(sizeof(*message));

	if (!message)
		abort();
	gn__worker_order__init(message);
	message->kind = order->kind;
	message->task = strdup(order->task);
	message->attempt = order->attempt;
	message->life = strdup(order->life.id);
	message->born_ms = order->life.started_ms;
	message->checkpoint = strdup(order->checkpoint);
	message->ticket = strdup(order->ticket);
	message->percent = order->percent;
	message->first = order->first;
	if (order->kind == GN_RUN_ORDER_START)
		copy_payload(&message->payload, order->payload);
	/* An order is based on what is known now, though it may wait here. */
	if (!executor->orders->len)
		executor->orders_basis = executor->newest.sequence;
	g_ptr_array_add(executor->orders, message);
	gn_counter_inc(scheduler->counters.orders);
}

/* ======   Sending   ====== */

static void send_orders(scheduler_t *scheduler, const gn_link_peer_t *peer,
			Gn__WorkerOrders *message)
{
	Gn__Envelope envelope = GN__ENVELOPE__INIT;

	envelope.incarnation = scheduler->runtime->incarnation;
	envelope.body_case = GN__ENVELOPE__BODY_WORKER_ORDERS;
	envelope.worker_orders = message;
	gn_link_send(scheduler->link, peer, &envelope);
}

static uint64_t get_unconfirmed_us(const scheduler_t *scheduler)
{
	return gn_runtime_now_us(scheduler->runtime) -
	       gn_lead_confirmed_us(scheduler->lead);
}

/*
 * Whether reports may be answered. Answers let executors extend the leases of
 * their workers, so there are none if the store has not confirmed this leader
 * for too long.
 */
static bool may_answer(const scheduler_t *scheduler)
{
	const gn_settings_t *settings = scheduler->runtime->settings;

	return get_unconfirmed_us(scheduler) <
	       (uint64_t)settings->jobs.depose_ms * GN_US_PER_MS;
}

/*
 * Whether the lease of this leader may have expired and another scheduler may
 * lead without this one knowing.
 */
static bool may_be_superseded(const scheduler_t *scheduler)
{
	const gn_settings_t *settings = scheduler->runtime->settings;

	return get_unconfirmed_us(scheduler) >
	       (uint64_t)settings->lease_ttl_ms * GN_US_PER_MS;
}

/* Returns the number of the orders from @p first on that fit into a message; at
 * least one. */
static size_t count_fitting(const GPtrArray *orders, size_t first)
{
	size_t size = 0;
	size_t count = 0;

	for (size_t i = first; i < orders->len; i++) {
		size += gn__worker_order__get_packed_size(
			g_ptr_array_index(orders, i));
		if (count && size > ORDERS_SIZE_MAX)
			break;
		count++;
	}
	return count;
}

/* An executor closes the connection on a message that is too large. */
static void send_in_parts(scheduler_t *scheduler,
			  const scheduler_executor_t *executor,
			  Gn__WorkerOrders *message)
{
	size_t first = 0;

	do {
		message->n_orders = count_fitting(executor->orders, first);
		message->orders =
			(Gn__WorkerOrder **)executor->orders->pdata + first;
		send_orders(scheduler, &executor->peer, message);
		first += message->n_orders;
	} while (first < executor->orders->len);
}

static void flush_executor(scheduler_t *scheduler,
			   scheduler_executor_t *executor)
{
	Gn__WorkerOrders message = GN__WORKER_ORDERS__INIT;
	gn_life_t life;
	uint64_t ends = gn_sched_get_durable_ends(scheduler->sched,
						  executor->host, &life);
	uint64_t fence = gn_sched_get_fence(scheduler->sched, executor->host);

	if (!executor->unanswered_sequence && !executor->orders->len &&
	    ends == executor->ends_sent && fence == executor->fence_sent)
		return;
	message.epoch = MAX(scheduler->epoch, fence);
	message.fences_lives = true;
	message.renews_tokens = true;
	message.ends_stored = ends;
	message.life = (char *)life.id;
	message.born_ms = life.started_ms;
	message.leave_stored =
		gn_sched_is_leave_durable(scheduler->sched, executor->host);
	message.evacuated =
		gn_sched_is_evacuated(scheduler->sched, executor->host);
	message.unsure = may_be_superseded(scheduler);
	message.sequence = executor->unanswered_sequence;
	message.basis = executor->orders->len ? executor->orders_basis
					      : executor->newest.sequence;
	send_in_parts(scheduler, executor, &message);
	executor->unanswered_sequence = 0;
	executor->ends_sent = ends;
	executor->fence_sent = fence;
	g_ptr_array_set_size(executor->orders, 0);
}

void scheduler_executors_flush(scheduler_t *scheduler)
{
	GHashTableIter iter;
	gpointer value;

	if (!may_answer(scheduler))
		return;
	g_hash_table_iter_init(&iter, scheduler->executors);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		flush_executor(scheduler, value);
}

/* ======   Reports   ====== */

static void redirect_executor(scheduler_t *scheduler,
			      const gn_link_peer_t *peer)
{
	Gn__WorkerOrders message = GN__WORKER_ORDERS__INIT;
	const char *leader = gn_lead_address(scheduler->lead);

	if (leader)
		message.leader = (char *)leader;
	send_orders(scheduler, peer, &message);
}

static bool fits_name(const char *text)
{
	return strlen(text) <= GN_NAME_MAX;
}

/* Returns why the report cannot be used, or NULL. */
static const char *get_report_fault(const scheduler_t *scheduler,
				    const Gn__WorkerReport *report)
{
	uint64_t wall_ms = gn_clock_now_us(&scheduler->wall) / GN_US_PER_MS;

	if (!*report->host || !fits_name(report->host))
		return "it names no host";
	if (!fits_name(report->life) || !fits_name(report->service) ||
	    !fits_name(report->data_centre) || !fits_name(report->rack) ||
	    !fits_name(report->machine))
		return "a name is too long";
	/* Later reports would seem to be of an earlier life. */
	if (report->born_ms > wall_ms + GN_LIFE_AHEAD_MS)
		return "the worker's start is in the future";
	return NULL;
}

static bool is_refused(const scheduler_t *scheduler,
		       const Gn__WorkerReport *report)
{
	const char *fault = get_report_fault(scheduler, report);

	if (!fault)
		return false;
	gn_counter_inc(scheduler->counters.refused_reports);
	gn_event("report refused", "{s:s*, s:s*, s:I, s:s}", "host",
		 fits_name(report->host) ? report->host : NULL, "life",
		 fits_name(report->life) ? report->life : NULL, "born_ms",
		 (json_int_t)report->born_ms, "why", fault);
	return true;
}

/* Whether a newer report came before; then it is logged. */
static bool is_overtaken(scheduler_executor_t *executor, uint64_t incarnation,
			 const Gn__WorkerReport *report)
{
	if (gn_newest_record(&executor->newest, incarnation, report->sequence))
		return false;
	gn_event("report overtaken", "{s:s, s:s, s:I, s:I, s:I}", "host",
		 report->host, "life", report->life, "born_ms",
		 (json_int_t)report->born_ms, "number",
		 (json_int_t)report->sequence, "newest",
		 (json_int_t)executor->newest.sequence);
	return true;
}

void scheduler_on_report(scheduler_t *scheduler, const gn_link_peer_t *peer,
			 uint64_t incarnation, const Gn__WorkerReport *report)
{
	scheduler_executor_t *executor;

	/* An executor that reports while jobs are being loaded is not
	 * redirected; it waits for orders of this leader. */
	if (scheduler->loading)
		return;
	if (!scheduler_is_serving(scheduler)) {
		redirect_executor(scheduler, peer);
		return;
	}
	if (is_refused(scheduler, report))
		return;
	executor = get_or_create_executor(scheduler, report->host);
	if (is_overtaken(executor, incarnation, report))
		return;
	executor->peer = *peer;
	executor->unanswered_sequence = report->sequence;
	gn_sched_handle_report(scheduler->sched, report);
	scheduler_run_pass(scheduler);
}
