/**
 * @file backend.c
 * @brief The backend server: its announcements, its list, calls to it.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agent/agent_internal.h"
#include "common/log.h"
#include "common/str.h"
#include "config/address.h"
#include "http/reply.h"
#include "http/status.h"

/** A backend server without an announcement for this long is down, ms. */
#define ANNOUNCE_TIMEOUT_MS 3000
/** Interval of requests for the list, milliseconds. */
#define LIST_INTERVAL_MS 500
/** Timeout of calls other than dispatched requests, milliseconds. */
#define CALL_TIMEOUT_MS 2000

bool agent_backend_is_up(const agent_t *agent)
{
	uint64_t now_us = gn_runtime_now_us(agent->runtime);

	return agent->backend.address[0] &&
	       now_us - agent->backend.announced_us <
		       (uint64_t)ANNOUNCE_TIMEOUT_MS * GN_US_PER_MS;
}

bool agent_backend_is_ready(const agent_t *agent)
{
	gn_admit_info_t info;

	gn_admit_info(agent->admit, &info);
	return info.listed && agent_backend_is_up(agent);
}

/* ======   Calls   ====== */

gn_code_t agent_backend_call(agent_t *agent, const char *path, json_t *json,
			     gn_http_done_t done, void *arg)
{
	gn_http_call_t *call = gn_http_call_create();

	if (!call) {
		json_decref(json);
		return GN_ERR_MEMORY;
	}
	call->method = json ? GN_HTTP_POST : GN_HTTP_GET;
	snprintf(call->url, sizeof(call->url), "http://%s%s",
		 agent->backend.address, path);
	if (json) {
		call->body = json_dumps(json, JSON_COMPACT);
		call->body_len = call->body ? strlen(call->body) : 0;
		json_decref(json);
	}
	call->timeout_ms = CALL_TIMEOUT_MS;
	call->send_once = json != NULL;
	call->done = done;
	call->arg = arg;
	gn_http_client_call(agent->client, call);
	return GN_OK;
}

static void on_list(void *arg, const gn_http_call_t *call)
{
	agent_t *agent = arg;
	agent_backend_t *backend = &agent->backend;
	json_t *list = NULL;

	backend->list_pending = false;
	/* The list may show the runs before or after an action's change. */
	if (backend->list_outdated) {
		backend->list_asked_us = 0;
		return;
	}
	if (call->code == GN_OK && call->status == HTTP_OK)
		list = json_loadb(call->answer, call->answer_len, 0, NULL);
	if (!list || agent_tasks_apply_list(agent, list))
		gn_log(LOG_WARNING, "list", backend->address, "error=%s",
		       gn_code_name(call->code));
	else
		gn_counter_inc(agent->counters.lists);
	json_decref(list);
}

static void request_list(agent_t *agent, uint64_t now_us)
{
	agent_backend_t *backend = &agent->backend;

	backend->list_asked_us = now_us;
	backend->list_outdated =
		agent->action && agent_action_changes_list(agent->action);
	if (backend->list_outdated)
		return;
	gn_admit_begin_list(agent->admit);
	backend->list_pending = agent_backend_call(agent, "/v1/tasks", NULL,
						   on_list, agent) == GN_OK;
}

void agent_backend_tick(agent_t *agent)
{
	agent_backend_t *backend = &agent->backend;
	uint64_t now_us = gn_runtime_now_us(agent->runtime);

	if (!agent_backend_is_up(agent)) {
		if (backend->address[0] && !backend->lost) {
			backend->lost = true;
			gn_log(LOG_WARNING, "announce", backend->address,
			       "silent");
			gn_admit_mark_backend_lost(agent->admit);
		}
		return;
	}
	if (!backend->list_pending &&
	    now_us - backend->list_asked_us >=
		    (uint64_t)LIST_INTERVAL_MS * GN_US_PER_MS)
		request_list(agent, now_us);
}

/* ======   Announcements   ====== */

static void detect_restart(agent_t *agent, const char *address,
			   const char *incarnation)
{
	agent_backend_t *backend = &agent->backend;

	if (!strcmp(backend->incarnation, incarnation) && !backend->lost)
		return;
	gn_log(LOG_NOTICE, "announce", address, "backend server incarnation %s",
	       incarnation);
	gn_admit_mark_backend_lost(agent->admit);
	backend->lost = false;
	backend->list_asked_us = 0;
	backend->list_outdated = true;
}

static gn_code_t apply_announcement(agent_t *agent, json_t *json)
{
	agent_backend_t *backend = &agent->backend;
	const char *address =
		json_string_value(json_object_get(json, "address"));
	const char *incarnation =
		json_string_value(json_object_get(json, "incarnation"));
	bool draining = json_is_true(json_object_get(json, "draining"));
	struct sockaddr_storage parsed;

	if (!address || !incarnation ||
	    gn_address_parse(gn_str_from(address), &parsed) ||
	    strlen(incarnation) > GN_NAME_MAX)
		return GN_ERR_INVALID;
	detect_restart(agent, address, incarnation);
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
	agent_t *agent = arg;
	json_t *json = json_loadb(request->body, request->body_len, 0, NULL);

	(void)name;
	gn_counter_inc(agent->counters.announcements);
	if (!json || apply_announcement(agent, json)) {
		gn_http_reply_not_run(agent->server, request, HTTP_BAD_REQUEST,
				      "malformed", 0,
				      "address and incarnation are needed");
	} else {
		const char *worker = agent->runtime->settings->name;

		gn_http_reply_json(agent->server, request, HTTP_OK,
				   json_pack("{s:s}", "worker", worker));
	}
	json_decref(json);
}
