/**
 * @file links.c
 * @brief Links from the agent to the entries: sessions, heartbeats,
 * replacement.
 */
#include <inttypes.h>
#include <time.h>

#include "agent/agent_internal.h"
#include "common/log.h"

static uint64_t heartbeat_interval_us(const agent_t *agent)
{
	return (uint64_t)agent->runtime->settings->beat_interval_ms *
	       GN_US_PER_MS;
}

void agent_fill_load(const agent_t *agent, Gn__Load *load)
{
	gn__load__init(load);
	load->running_requests = agent->running_requests;
	load->service_time_us = agent->service_time_us;
	load->running_tasks = gn_worker_tasks_stats(agent->tasks)->running;
	load->draining = agent_is_draining(agent);
	load->backend_up = agent_backend_is_ready(agent);
}

static bool is_drained_by_rules(const agent_config_t *config)
{
	int64_t now_s = (int64_t)time(NULL);

	return config->draining ||
	       (now_s >= config->drain_from_s && now_s < config->drain_until_s);
}

bool agent_is_draining(const agent_t *agent)
{
	return agent->runtime->stopping || agent->backend.draining ||
	       is_drained_by_rules(&agent->config);
}

static void on_config(agent_t *agent, const Gn__Config *message)
{
	agent_config_t *config = &agent->config;

	/* An entry that was disconnected may still send an older revision. */
	if (message->revision <= config->revision)
		return;
	config->revision = message->revision;
	config->draining = message->draining;
	config->drain_from_s = message->drain_from_s;
	config->drain_until_s = message->drain_until_s;
	gn_log(LOG_INFO, "config", NULL, "revision %" PRIu64 "%s",
	       config->revision, config->draining ? ", draining" : "");
}

gn_code_t agent_link_send(agent_link_t *link, Gn__Envelope *envelope)
{
	envelope->incarnation = link->agent->runtime->incarnation;
	envelope->session = link->session;
	return gn_link_send(link->link, NULL, envelope);
}

static void send_hello(agent_link_t *link)
{
	const gn_settings_t *settings = link->agent->runtime->settings;
	Gn__Envelope envelope = GN__ENVELOPE__INIT;
	Gn__Hello hello = GN__HELLO__INIT;

	hello.worker = (char *)settings->name;
	hello.data_centre = (char *)settings->data_centre;
	hello.rack = (char *)settings->rack;
	hello.service = (char *)settings->service;
	hello.max_tasks = settings->max_tasks;
	hello.max_connections = settings->max_connections;
	hello.cores = settings->cores;
	hello.memory_mb = settings->memory_mb;
	hello.accelerators = settings->accelerators;
	envelope.body_case = GN__ENVELOPE__BODY_HELLO;
	envelope.hello = &hello;
	agent_link_send(link, &envelope);
}

static void send_heartbeat(agent_link_t *link)
{
	Gn__Envelope envelope = GN__ENVELOPE__INIT;
	Gn__Beat beat = GN__BEAT__INIT;
	Gn__Load load;

	agent_fill_load(link->agent, &load);
	beat.sequence = ++link->sequence;
	beat.load = &load;
	beat.config_revision = link->agent->config.revision;
	envelope.body_case = GN__ENVELOPE__BODY_BEAT;
	envelope.beat = &beat;
	agent_link_send(link, &envelope);
}

static void on_welcome(agent_link_t *link, const Gn__Envelope *envelope)
{
	agent_t *agent = link->agent;

	if (link->entry_incarnation == envelope->incarnation)
		return;
	if (link->entry_incarnation)
		gn_admit_close_session(agent->admit, link->entry_incarnation);
	if (gn_admit_open_session(agent->admit, envelope->incarnation,
				  &link->admit_session))
		return;
	link->entry_incarnation = envelope->incarnation;
	gn_log(LOG_INFO, "welcome", link->address, "entry %s",
	       envelope->welcome->entry);
}

/* Logs one line for the recovery, however many links were opened. */
static void record_contact(agent_link_t *link)
{
	uint64_t now_us = gn_runtime_now_us(link->agent->runtime);
	uint64_t lost_us = link->reconnect.lost_us;
	unsigned failures = gn_reconnect_note_answer(&link->reconnect, now_us);

	if (failures)
		gn_log(LOG_NOTICE, "beat", link->address,
		       "link restored after %" PRIu64
		       " ms and %u new connections",
		       (now_us - lost_us) / GN_US_PER_MS, failures);
}

static void on_envelope(void *arg, const gn_link_peer_t *peer,
			const Gn__Envelope *envelope)
{
	agent_link_t *link = arg;

	(void)peer;
	/*
	 * Messages of an earlier session must neither take effect nor count as
	 * contact with the entry.
	 */
	if (envelope->session != link->session)
		return;
	record_contact(link);
	switch (envelope->body_case) {
	case GN__ENVELOPE__BODY_WELCOME:
		on_welcome(link, envelope);
		break;
	case GN__ENVELOPE__BODY_BEAT_ACK:
		link->moves_blocked = envelope->beat_ack->moves_held;
		break;
	case GN__ENVELOPE__BODY_DISPATCH:
		agent_on_dispatch(link, envelope->dispatch);
		break;
	case GN__ENVELOPE__BODY_FENCE:
		agent_on_fence(link, envelope->fence);
		break;
	case GN__ENVELOPE__BODY_CONFIG:
		on_config(link->agent, envelope->config);
		break;
	case GN__ENVELOPE__BODY_TASK_ORDERS:
		agent_on_task_orders(link, envelope->task_orders);
		break;
	default:
		break;
	}
}

bool agent_moves_are_blocked(const agent_t *agent)
{
	for (size_t i = 0; i < agent->link_count; i++)
		if (agent->links[i].moves_blocked)
			return true;
	return false;
}

static gn_code_t open_link(agent_link_t *link, gn_error_t *error)
{
	agent_t *agent = link->agent;
	const gn_link_config_t config = {
		.events = agent->runtime->events,
		.zmq = agent->runtime->zmq,
		.address = link->address,
		.timeout_ms = agent->runtime->settings->beat_timeout_ms,
		.counters = agent->runtime->counters,
		.handler = on_envelope,
		.arg = link,
	};

	link->session = gn_runtime_random_id();
	if (link->entry_incarnation)
		gn_admit_close_session(agent->admit, link->entry_incarnation);
	link->entry_incarnation = 0;
	link->admit_session = 0;
	link->moves_blocked = false;
	link->heartbeat_us = 0;
	gn_reconnect_note_open(&link->reconnect, agent->runtime->rand,
			       gn_runtime_now_us(agent->runtime));
	return gn_link_connect(agent, &config, &link->link, error);
}

static void replace_link(agent_link_t *link)
{
	gn_error_t error = { 0 };

	if (gn_reconnect_note_closed(&link->reconnect,
				     gn_runtime_now_us(link->agent->runtime)))
		gn_log(LOG_WARNING, "beat", link->address,
		       "no message received, opening new connections");
	gn_counter_inc(link->agent->counters.links_replaced);
	TALLOC_FREE(link->link);
	if (open_link(link, &error))
		gn_log_error(LOG_ERR, &error);
}

static void tick_link(agent_link_t *link)
{
	uint64_t now_us = gn_runtime_now_us(link->agent->runtime);

	if (gn_reconnect_is_due(&link->reconnect, now_us))
		replace_link(link);
	if (!link->link ||
	    (link->heartbeat_us &&
	     now_us - link->heartbeat_us < heartbeat_interval_us(link->agent)))
		return;
	link->heartbeat_us = now_us;
	if (link->entry_incarnation)
		send_heartbeat(link);
	else
		send_hello(link);
}

gn_code_t agent_links_open(agent_t *agent, gn_error_t *error)
{
	const gn_settings_t *settings = agent->runtime->settings;

	agent->links =
		talloc_zero_array(agent, agent_link_t, settings->entry_count);
	if (!agent->links)
		return gn_error_set(error, GN_ERR_MEMORY, "start", NULL,
				    "links");
	agent->link_count = settings->entry_count;
	for (size_t i = 0; i < agent->link_count; i++) {
		agent_link_t *link = &agent->links[i];

		link->agent = agent;
		link->address = settings->entries[i];
		link->reconnect.timeout_us =
			(uint64_t)settings->beat_timeout_ms * GN_US_PER_MS;
		if (open_link(link, error))
			return error->code;
	}
	return GN_OK;
}

void agent_links_tick(agent_t *agent)
{
	for (size_t i = 0; i < agent->link_count; i++)
		tick_link(&agent->links[i]);
}
