/**
 * @file forward.c
 * @brief Hands requests on to the leading scheduler.
 */
#include <string.h>

#include "common/event.h"
#include "common/str.h"
#include "scheduler/scheduler_internal.h"

/** A leader that answers nothing for this long gets a new connection. */
#define LEADER_TIMEOUT_US (800 * GN_US_PER_MS)
/** Between two probes of the leader. */
#define PROBE_INTERVAL_US (250 * GN_US_PER_MS)
/** The number of a probe; calls count from 1. */
#define PROBE_NUMBER 0
/** Reconnection of the link is spread over this, milliseconds. */
#define RECONNECT_MS 400

static void on_envelope(void *arg, const gn_link_peer_t *peer,
			const Gn__Envelope *envelope)
{
	(void)peer;
	if (envelope->body_case == GN__ENVELOPE__BODY_JOB_REPLY)
		scheduler_on_job_reply(arg, envelope->job_reply);
}

/* Keeps when the leader was last heard, and whether it serves. */
void scheduler_record_leader_reply(scheduler_t *scheduler,
				   const Gn__JobReply *message)
{
	scheduler->leader_contact_us = gn_runtime_now_us(scheduler->runtime);
	scheduler->leader_serves = message->result != GN_RESULT_NOT_LEADER;
}

static void disconnect(scheduler_t *scheduler)
{
	TALLOC_FREE(scheduler->leader_link);
	scheduler->leader_address[0] = '\0';
}

static void connect_to(scheduler_t *scheduler, const char *address)
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

static void send_call(scheduler_t *scheduler, scheduler_call_t *call,
		      gn_code_t *code)
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
	*code = gn_link_send(scheduler->leader_link, NULL, &envelope);
}

/* All calls are idempotent, so a new connection or leader gets them again. */
static void send_again(scheduler_t *scheduler)
{
	GHashTableIter iter;
	gpointer value;
	gn_code_t code;

	if (!scheduler->leader_link)
		return;
	g_hash_table_iter_init(&iter, scheduler->forwarded);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		send_call(scheduler, value, &code);
}

/* Asks for a count of no queue, which the leader answers at once. */
static void probe(scheduler_t *scheduler)
{
	uint64_t now_us = gn_runtime_now_us(scheduler->runtime);
	char none[] = "";
	scheduler_call_t call = { .number = PROBE_NUMBER,
				  .kind = GN_CALL_COUNT_WAITING,
				  .queue = none };
	gn_code_t code;

	if (now_us - scheduler->last_probe_us < PROBE_INTERVAL_US)
		return;
	scheduler->last_probe_us = now_us;
	send_call(scheduler, &call, &code);
}

static bool is_silent(const scheduler_t *scheduler)
{
	return gn_runtime_now_us(scheduler->runtime) -
		       scheduler->leader_contact_us >
	       LEADER_TIMEOUT_US;
}

bool scheduler_can_forward(const scheduler_t *scheduler)
{
	return scheduler->leader_link && scheduler->leader_serves &&
	       !is_silent(scheduler);
}

void scheduler_forward_tick(scheduler_t *scheduler)
{
	const char *address = gn_lead_address(scheduler->lead);
	bool is_own =
		address &&
		!strcmp(address, scheduler->runtime->settings->link_listen);

	if (!address || is_own) {
		disconnect(scheduler);
		return;
	}
	if (scheduler->leader_link &&
	    !strcmp(address, scheduler->leader_address) &&
	    !is_silent(scheduler)) {
		probe(scheduler);
		return;
	}
	disconnect(scheduler);
	connect_to(scheduler, address);
	send_again(scheduler);
}

bool scheduler_forward(scheduler_t *scheduler, scheduler_call_t *call)
{
	gn_code_t code;

	if (!scheduler_can_forward(scheduler))
		return false;
	call->number = ++scheduler->last_number;
	send_call(scheduler, call, &code);
	if (code)
		return false;
	gn_counter_inc(scheduler->counters.forwarded);
	g_hash_table_insert(scheduler->forwarded, &call->number, call);
	return true;
}
