/**
 * @file http.c
 * @brief HTTP interface of the agent: announcements and the state dump.
 */
#include <inttypes.h>
#include <stdio.h>

#include "agent/agent_internal.h"
#include "http/reply.h"
#include "http/router.h"
#include "http/status.h"

static json_t *dump_links(const agent_t *agent)
{
	json_t *links = json_array();

	for (size_t i = 0; i < agent->link_count; i++) {
		const agent_link_t *link = &agent->links[i];
		json_t *json = json_object();

		json_object_set_new(json, "address",
				    json_string(link->address));
		json_object_set_new(json, "welcomed",
				    json_boolean(link->entry_incarnation != 0));
		json_array_append_new(links, json);
	}
	return links;
}

static void on_dump(void *arg, gn_http_request_t *request, gn_str_t name)
{
	agent_t *agent = arg;
	json_t *dump = gn_runtime_dump(agent->runtime);
	json_t *backend = json_object();

	(void)name;
	json_object_set_new(backend, "address",
			    json_string(agent->backend.address));
	json_object_set_new(backend, "up",
			    json_boolean(agent_backend_is_up(agent)));
	json_object_set_new(backend, "draining",
			    json_boolean(agent->backend.draining));
	json_object_set_new(dump, "role", json_string("agent"));
	json_object_set_new(dump, "backend", backend);
	json_object_set_new(dump, "links", dump_links(agent));
	json_object_set_new(dump, "config_revision",
			    json_integer((json_int_t)agent->config.revision));
	json_object_set_new(dump, "draining",
			    json_boolean(agent_is_draining(agent)));
	json_object_set_new(dump, "tasks", agent_tasks_dump(agent));
	json_object_set_new(dump, "interference",
			    agent_interference_dump(agent));
	json_object_set_new(dump, "running_requests",
			    json_integer(agent->running_requests));
	gn_http_reply_json(agent->server, request, HTTP_OK, dump);
}

static const gn_http_route_t routes[] = {
	{ GN_HTTP_POST, "/v1/announce", agent_on_announce },
	{ GN_HTTP_GET, "/dump", on_dump },
	{ GN_HTTP_GET, NULL, NULL },
};

void agent_on_http(void *arg, gn_http_request_t *request)
{
	agent_t *agent = arg;

	gn_http_route(routes, agent->server, agent, request);
}
