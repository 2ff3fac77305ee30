#include "agent/agent.h"

#include "agent/agent_internal.h"

/** Interval of the timers, of which none needs a shorter one, milliseconds. */
#define TICK_MS 50
#define MILLICORES_PER_CORE 1000
/** Maximum number of HTTP connections of the backend server and operators. */
#define HTTP_CONNECTIONS_MAX 64

static void open_counters(agent_t *agent)
{
	gn_counters_t *all = agent->runtime->counters;
	agent_counters_t *counters = &agent->counters;

	counters->dispatched = gn_counters_get(all, "agent.dispatched");
	counters->refused = gn_counters_get(all, "agent.refused");
	counters->done = gn_counters_get(all, "agent.done");
	counters->unknown = gn_counters_get(all, "agent.unknown");
	counters->links_replaced = gn_counters_get(all, "agent.links_replaced");
	counters->announcements = gn_counters_get(all, "agent.announcements");
	counters->fences = gn_counters_get(all, "agent.fences");
	counters->lists = gn_counters_get(all, "agent.lists");
	counters->actions = gn_counters_get(all, "agent.actions");
	counters->actions_failed = gn_counters_get(all, "agent.actions_failed");
	counters->stale_orders = gn_counters_get(all, "agent.stale_orders");
}

static gn_code_t start_http(agent_t *agent, gn_error_t *error)
{
	const gn_settings_t *settings = agent->runtime->settings;
	const gn_http_server_config_t server = {
		.events = agent->runtime->events,
		.zmq = agent->runtime->zmq,
		.address = settings->http_listen,
		.connections = HTTP_CONNECTIONS_MAX,
		.timeout_ms = settings->http_timeout_ms,
		.threads = 1,
		.body_max = GN_BODY_MAX,
		.counters = agent->runtime->counters,
		.handler = agent_on_http,
		.arg = agent,
	};
	const gn_http_client_config_t client = {
		.events = agent->runtime->events,
		.zmq = agent->runtime->zmq,
		.host_connections = settings->max_connections,
		.answer_max = GN_BODY_MAX,
		.counters = agent->runtime->counters,
	};
	gn_code_t code;

	code = gn_http_client_start(agent, &client, &agent->client, error);
	if (code)
		return code;
	return gn_http_server_start(agent, &server, &agent->server, error);
}

static gn_code_t open_admission(agent_t *agent)
{
	const gn_settings_t *settings = agent->runtime->settings;
	const gn_admit_config_t config = {
		.max_tasks = settings->max_tasks,
		.max_connections = settings->max_connections,
		.host = { (uint64_t)settings->cores * MILLICORES_PER_CORE,
			  settings->memory_mb, settings->accelerators },
		.incarnation = agent->runtime->incarnation,
		.fence = gn_fence_defaults(),
	};

	agent->admit = gn_admit_create(agent, &config);
	return agent->admit ? GN_OK : GN_ERR_MEMORY;
}

static int agent_destructor(agent_t *agent)
{
	agent_tasks_close(agent);
	return 0;
}

static gn_code_t agent_start(gn_runtime_t *runtime, void **state,
			     gn_error_t *error)
{
	agent_t *agent = talloc_zero(NULL, agent_t);
	gn_code_t code;

	if (!agent)
		return gn_error_set(error, GN_ERR_MEMORY, "start", NULL,
				    "agent");
	*state = agent;
	agent->runtime = runtime;
	talloc_set_destructor(agent, agent_destructor);
	open_counters(agent);
	if (open_admission(agent) || agent_tasks_open(agent) ||
	    agent_interference_open(agent))
		return gn_error_set(error, GN_ERR_MEMORY, "start", NULL,
				    "admission");
	code = start_http(agent, error);
	if (code)
		return code;
	return agent_links_open(agent, error);
}

static void agent_tick(void *state)
{
	agent_t *agent = state;

	agent_backend_tick(agent);
	gn_admit_set_draining(agent->admit, agent_is_draining(agent));
	agent_requests_tick(agent);
	agent_interference_tick(agent);
	agent_tasks_tick(agent);
	agent_links_tick(agent);
}

static unsigned agent_next_tick_ms(const void *state)
{
	(void)state;
	return TICK_MS;
}

static void agent_stop(void *state)
{
	agent_t *agent = state;

	/* Sends heartbeats at once, which now report that the worker drains. */
	for (size_t i = 0; i < agent->link_count; i++)
		agent->links[i].heartbeat_us = 0;
}

static bool agent_is_stopped(const void *state)
{
	const agent_t *agent = state;
	const gn_runtime_t *runtime = agent->runtime;
	uint64_t notice_us = 2 * (uint64_t)runtime->settings->beat_interval_ms *
			     GN_US_PER_MS;

	/*
	 * A dispatch may arrive until every entry has received a heartbeat that
	 * reports draining.
	 */
	return agent->running_requests == 0 &&
	       gn_http_client_pending(agent->client) == 0 &&
	       gn_runtime_now_us(runtime) - runtime->stop_requested_us >
		       notice_us;
}

const gn_role_ops_t gn_agent_role = {
	.name = "agent",
	.next_tick_ms = agent_next_tick_ms,
	.start = agent_start,
	.tick = agent_tick,
	.stop = agent_stop,
	.is_stopped = agent_is_stopped,
};
