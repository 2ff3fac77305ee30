/**
 * @file forward.c
 * @brief Forwards requests to the leader.
 */
#include <string.h>

#include "common/event.h"
#include "common/str.h"
#include "scheduler/scheduler_internal.h"

/** Time without an answer from the leader after which the link reconnects. */
#define LEADER_TIMEOUT_US (800 * GN_US_PER_MS)
/** Interval between probes of the leader. */
#define PROBE_INTERVAL_US (250 * GN_US_PER_MS)
/** The same until the leader serves, since calls may wait for it. */
#define FIRST_PROBE_INTERVAL_US (50 * GN_US_PER_MS)
/** Number of a probe; forwarded calls count from 1. */
#define PROBE_NUMBER 0
/** Period over which reconnection of the link is spread, milliseconds. */
#define RECONNECT_MS 400

static void on_envelope(void *arg, const gn_link_peer_t *peer,
			const Gn__Envelope *envelope)
{
	(void)peer;
	if (envelope->body_case == GN__ENVELOPE__BODY_JOB_REPLY)
		scheduler_on_job_reply(arg, envelope->job_reply);
}

void scheduler_record_leader_reply(scheduler_t *scheduler,
				   const Gn__JobReply *message)
{
	bool stores = strcmp(message->reason, SCHEDULER_STORE_AWAY) != 0;

	scheduler->leader_contact_us = gn_runtime_now_us(scheduler->runtime);
	scheduler->leader_answered_us = scheduler->leader_contact_us;
	/* A leader without the store still serves the states of jobs. */
	scheduler->leader_serves = message->result != GN_RESULT_NOT_LEADER ||
				   (!stores && scheduler->leader_serves);
	scheduler->leader_stores &= stores;
	if (message->number != PROBE_NUMBER)
		return;
	scheduler->leader_stores = scheduler->leader_serves && stores;
	if (scheduler->leader_stores)
		scheduler->served_us = scheduler->leader_contact_us;
}

static void disconnect_from_leader(scheduler_t *scheduler)
{
	TALLOC_FREE(scheduler->leader_link);
	scheduler->leader_address[0] = '\0';
}

static void connect_to_leader(scheduler_t *scheduler, const char *address)
{
	const gn_link_config_t config = {
		.events = scheduler->runtime->events,
		.zmq = scheduler->runtime->zmq,
		.address = scheduler->leader_address,
		.timeout_ms = RECONNECT_MS,
		.counters = scheduler->runtime->counters,
		.handler = on_envelope,
		.arg = scheduler,
	};
	gn_error_t error = { 0 };

	gn_str_copy(scheduler->leader_address,
		    sizeof(scheduler->leader_address), gn_str_from(address));
	scheduler->leader_contact_us = gn_runtime_now_us(scheduler->runtime);
	scheduler->leader_serves = false;
	scheduler->leader_stores = false;
	scheduler->last_probe_us = 0;
	if (gn_link_connect(scheduler, &config, &scheduler->leader_link,
			    &error))
		gn_event("leader unreachable", "{s:s, s:s}", "leader", address,
			 "why", error.detail);
	else
		gn_event("leader", "{s:s}", "leader", address);
}

static gn_code_t send_call(scheduler_t *scheduler, scheduler_call_t *call)
{
	Gn__Envelope envelope = GN__ENVELOPE__INIT;
	Gn__JobCall message = GN__JOB_CALL__INIT;

	message.number = call->number;
	message.kind = call->kind;
	message.queue = call->queue;
	message.configuration = call->configuration;
	message.job = call->job;
	message.spec.data = call->spec;
	message.spec.len = call->spec_len;
	envelope.incarnation = scheduler->runtime->incarnation;
	envelope.body_case = GN__ENVELOPE__BODY_JOB_CALL;
	envelope.job_call = &message;
	call->sent = true;
	if (!call->sent_us)
		call->sent_us = gn_runtime_now_us(scheduler->runtime);
	return gn_link_send(scheduler->leader_link, NULL, &envelope);
}

/*
 * Marks all unanswered calls to be sent again over the next connection,
 * possibly to a new leader. Calls are idempotent, so that a leader may receive
 * one twice.
 */
static void hold_unanswered_calls(scheduler_t *scheduler)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, scheduler->forwarded);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		scheduler_call_t *call = value;

		call->uncertain |= call->sent;
		call->sent = false;
	}
}

static gint compare_arrivals(gconstpointer a, gconstpointer b)
{
	const scheduler_call_t *left = *(scheduler_call_t *const *)a;
	const scheduler_call_t *right = *(scheduler_call_t *const *)b;

	if (left->received_us != right->received_us)
		return left->received_us < right->received_us ? -1 : 1;
	return left->number < right->number ? -1 : left->number > right->number;
}

void scheduler_sort_calls(GPtrArray *calls)
{
	g_ptr_array_sort(calls, compare_arrivals);
}

/* Sends the held calls to a leader that can store jobs, in the order of their
 * arrival. */
static void send_held_calls(scheduler_t *scheduler)
{
	GPtrArray *held;
	GHashTableIter iter;
	gpointer value;

	if (!scheduler_can_forward(scheduler) || !scheduler->leader_stores)
		return;
	held = g_ptr_array_new();
	g_hash_table_iter_init(&iter, scheduler->forwarded);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const scheduler_call_t *call = value;

		if (!call->sent)
			g_ptr_array_add(held, value);
	}
	scheduler_sort_calls(held);
	for (guint i = 0; i < held->len; i++) {
		scheduler_call_t *call = g_ptr_array_index(held, i);

		/* A call that cannot be sent ends with its timeout. */
		if (send_call(scheduler, call))
			call->sent = false;
	}
	g_ptr_array_free(held, TRUE);
}

/* Requests a count for an empty queue name; the leader answers at once. */
static void send_probe(scheduler_t *scheduler)
{
	uint64_t now_us = gn_runtime_now_us(scheduler->runtime);
	uint64_t interval_us = scheduler->leader_serves
				       ? PROBE_INTERVAL_US
				       : FIRST_PROBE_INTERVAL_US;
	char none[] = "";
	scheduler_call_t call = { .number = PROBE_NUMBER,
				  .kind = GN_CALL_COUNT_WAITING,
				  .queue = none };

	if (now_us - scheduler->last_probe_us < interval_us)
		return;
	scheduler->last_probe_us = now_us;
	send_call(scheduler, &call);
}

static bool is_leader_silent(const scheduler_t *scheduler)
{
	return gn_runtime_now_us(scheduler->runtime) -
		       scheduler->leader_contact_us >
	       LEADER_TIMEOUT_US;
}

bool scheduler_can_forward(const scheduler_t *scheduler)
{
	return scheduler->leader_link && scheduler->leader_serves &&
	       !is_leader_silent(scheduler);
}

void scheduler_forward_tick(scheduler_t *scheduler)
{
	const char *address = gn_lead_address(scheduler->lead);
	bool is_self =
		address &&
		!strcmp(address, scheduler->runtime->settings->link_listen);

	if (!address || is_self) {
		hold_unanswered_calls(scheduler);
		disconnect_from_leader(scheduler);
		return;
	}
	if (scheduler->leader_link &&
	    !strcmp(address, scheduler->leader_address) &&
	    !is_leader_silent(scheduler)) {
		send_probe(scheduler);
		send_held_calls(scheduler);
		return;
	}
	hold_unanswered_calls(scheduler);
	disconnect_from_leader(scheduler);
	connect_to_leader(scheduler, address);
}

bool scheduler_forward(scheduler_t *scheduler, scheduler_call_t *call)
{
	if (!scheduler_can_forward(scheduler))
		return false;
	/* Held calls go before new ones. */
	send_held_calls(scheduler);
	call->number = ++scheduler->last_number;
	if (send_call(scheduler, call)) {
		call->sent = false;
		return false;
	}
	gn_counter_inc(scheduler->counters.forwarded);
	g_hash_table_insert(scheduler->forwarded, &call->number, call);
	return true;
}
