/**
 * @file forward.c
 * @brief Forwards requests to the leader.
 */
#include <string.h>

#include "common/event.h"
#include "common/str.h"
#include "scheduler/hold.h"
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
	scheduler->leader_contact_us = gn_runtime_now_us(scheduler->runtime);
	scheduler->leader_serves = message->result != GN_RESULT_NOT_LEADER;
	if (scheduler->leader_serves)
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
	message.job = call->job;
	message.spec.data = call->spec;
	message.spec.len = call->spec_len;
	envelope.incarnation = scheduler->runtime->incarnation;
	envelope.body_case = GN__ENVELOPE__BODY_JOB_CALL;
	envelope.job_call = &message;
	call->sent = true;
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

/* Sends the held calls to a leader that serves. */
static void send_held_calls(scheduler_t *scheduler)
{
	GHashTableIter iter;
	gpointer value;

	if (!scheduler_can_forward(scheduler))
		return;
	g_hash_table_iter_init(&iter, scheduler->forwarded);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		scheduler_call_t *call = value;

		/* A call that cannot be sent ends with its timeout. */
		if (!call->sent && send_call(scheduler, call))
			call->sent = false;
	}
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
	call->number = ++scheduler->last_number;
	if (send_call(scheduler, call)) {
		call->sent = false;
		return false;
	}
	gn_counter_inc(scheduler->counters.forwarded);
	g_hash_table_insert(scheduler->forwarded, &call->number, call);
	return true;
}

bool scheduler_may_hold(const scheduler_t *scheduler)
{
	const gn_settings_t *settings = scheduler->runtime->settings;
	const scheduler_absence_t absence = {
		.served_us = scheduler->served_us,
		.store_answered_us = gn_lead_last_contact_us(scheduler->lead),
		.lease_us = (uint64_t)settings->lease_ttl_ms * GN_US_PER_MS,
	};

	return scheduler_hold_is_useful(&absence,
					gn_runtime_now_us(scheduler->runtime));
}

void scheduler_hold(scheduler_t *scheduler, scheduler_call_t *call)
{
	call->number = ++scheduler->last_number;
	call->sent = false;
	g_hash_table_insert(scheduler->forwarded, &call->number, call);
}
