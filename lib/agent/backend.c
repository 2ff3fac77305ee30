/**
 * @file backend.c
 * @brief What the agent knows of the backend server beside it.
 */
#include <string.h>

#include "agent/agent_internal.h"
#include "common/log.h"
#include "common/str.h"
#include "http/reply.h"

/** A backend server that stays silent for longer is down, milliseconds. */
#define ANNOUNCE_TIMEOUT_MS 3000
#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400

bool agent_backend_is_up(const agent_t *agent)
{
	uint64_t now_us = gn_runtime_now_us(agent->runtime);

	return agent->backend.address[0] &&
	       now_us - agent->backend.announced_us <
		       (uint64_t)ANNOUNCE_TIMEOUT_MS * GN_US_PER_MS;
}

static gn_code_t take_announcement(agent_t *agent, json_t *json)
{
	agent_backend_t *backend = &agent->backend;
	const char *address =
		json_string_value(json_object_get(json, "address"));
	const char *incarnation =
		json_string_value(json_object_get(json, "incarnation"));
	bool draining = json_is_true(json_object_get(json, "draining"));

	if (!address || !incarnation || !*address ||
	    strlen(address) > GN_ADDRESS_MAX ||
	    strlen(incarnation) > GN_NAME_MAX)
		return GN_ERR_INVALID;
	if (strcmp(backend->incarnation, incarnation) != 0)
		gn_log(LOG_NOTICE, "announce", address, "backend server %s",
		       incarnation);
	if (draining && !backend->draining)
		gn_log(LOG_NOTICE, "announce", address, "draining");
	gn_str_copy(backend->address, sizeof(backend->address),
		    gn_str_from(address));
	gn_str_copy(backend->incarnation, sizeof(backend->incarnation),
		    gn_str_from(incarnation));
	backend->draining = draining;
	backend->announced_us = gn_runtime_now_us(agent->runtime);
	return GN_OK;
}

void agent_on_announce(void *arg, gn_http_request_t *request, gn_str_t name)
{
	static const gn_refusal_t malformed = { HTTP_BAD_REQUEST,
						GN_OUTCOME_NOT_RUN, "malformed",
						0 };
	agent_t *agent = arg;
	json_t *json = json_loadb(request->body, request->body_len, 0, NULL);

	(void)name;
	gn_counter_inc(agent->counters.announcements);
	if (!json || take_announcement(agent, json)) {
		gn_http_reply_refusal(agent->server, request, &malformed,
				      "address and incarnation are needed");
	} else {
		const char *worker = agent->runtime->settings->name;

		gn_http_reply_json(agent->server, request, HTTP_OK,
				   json_pack("{s:s}", "worker", worker));
	}
	json_decref(json);
}
