#include "entry/peers.h"
#include "entry/peer_beats.h"
#include "http/status.h"

#include <stdio.h>
#include <string.h>

/** Timeout of a call to another entry, in milliseconds. */
#define CALL_TIMEOUT_MS 3000
#define CONNECTIONS_PER_PEER 16
/** Maximum size of the body of a response, in bytes. */
#define ANSWER_MAX (4 * 1024 * 1024)
/** Query parameter that marks a forwarded request. */
#define FORWARDED_QUERY "forwarded=1"

gn_code_t entry_peers_open(entry_t *entry, gn_error_t *error)
{
	const gn_http_client_config_t config = {
		.events = entry->runtime->events,
		.zmq = entry->runtime->zmq,
		.host_connections = CONNECTIONS_PER_PEER,
		.answer_max = ANSWER_MAX,
		.counters = entry->runtime->counters,
	};

	return gn_http_client_start(entry, &config, &entry->client, error);
}

gn_code_t entry_peer_call(entry_t *entry, const char *address, const char *path,
			  json_t *json, gn_http_done_t done, void *arg)
{
	gn_http_call_t *call = gn_http_call_create();

	if (!call) {
		json_decref(json);
		return GN_ERR_MEMORY;
	}
	entry_peer_beats_record_call(entry, address);
	call->method = GN_HTTP_POST;
	snprintf(call->url, sizeof(call->url), "http://%s%s", address, path);
	call->body = json_dumps(json, JSON_COMPACT);
	call->body_len = call->body ? strlen(call->body) : 0;
	json_decref(json);
	call->timeout_ms = CALL_TIMEOUT_MS;
	call->done = done;
	call->arg = arg;
	gn_http_client_call(entry->client, call);
	return GN_OK;
}

/* ======   Forwarding   ====== */

/* A forwarded request that waits for its response. */
typedef struct forward_s {
	entry_t *entry;
	gn_http_request_t *request;
} forward_t;

bool entry_peer_is_forwarded(const gn_http_request_t *request)
{
	return request->forwarded;
}

static void refuse_forward(entry_t *entry, gn_http_request_t *request,
			   gn_code_t code)
{
	static const gn_refusal_t unreachable = { HTTP_UNAVAILABLE,
						  GN_OUTCOME_NOT_RUN,
						  "owner-unreachable", 1 };
	static const gn_refusal_t answer_lost = { HTTP_BAD_GATEWAY,
						  GN_OUTCOME_UNKNOWN,
						  "answer-lost", 1 };

	gn_http_reply_refusal(
		entry->server, request,
		code == GN_ERR_UNAVAILABLE ? &unreachable : &answer_lost, NULL);
}

static void copy_answer(gn_http_request_t *request, const gn_http_call_t *call)
{
	gn_http_answer_t *answer = &request->answer;

	answer->status = call->status;
	answer->json = true;
	answer->has_outcome = call->has_outcome;
	answer->outcome = call->outcome;
	answer->retry_after_s = call->retry_after_s;
	gn_str_copy(answer->peer_reason, sizeof(answer->peer_reason),
		    gn_str_from(call->reason));
	if (answer->peer_reason[0])
		answer->reason = answer->peer_reason;
	answer->body = g_memdup2(call->answer, call->answer_len);
	answer->body_len = call->answer_len;
}

static void on_forwarded(void *arg, const gn_http_call_t *call)
{
	forward_t *forward = arg;

	if (call->code) {
		refuse_forward(forward->entry, forward->request, call->code);
	} else {
		copy_answer(forward->request, call);
		gn_http_server_answer(forward->entry->server, forward->request);
	}
	g_free(forward);
}

void entry_peer_forward(entry_t *entry, const char *address,
			gn_http_request_t *request)
{
	gn_http_call_t *call = gn_http_call_create();
	forward_t *forward;

	if (!call) {
		refuse_forward(entry, request, GN_ERR_UNAVAILABLE);
		return;
	}
	forward = g_new0(forward_t, 1);
	entry_peer_beats_record_call(entry, address);
	forward->entry = entry;
	forward->request = request;
	call->method = request->method;
	snprintf(call->url, sizeof(call->url),
		 "http://%s%s?" FORWARDED_QUERY "%s%s", address, request->path,
		 request->query_team ? "&team=" : "",
		 request->query_team ? request->query_team : "");
	for (int i = 0; i < GN_HEADER_COUNT; i++)
		call->headers[i] = request->headers[i];
	call->body = g_memdup2(request->body, request->body_len);
	call->body_len = request->body_len;
	call->timeout_ms = CALL_TIMEOUT_MS;
	call->send_once = true;
	call->done = on_forwarded;
	call->arg = forward;
	gn_http_client_call(entry->client, call);
}
