/**
 * @file platform_calls.c
 * @brief The calls of the platform stand-in: application, waits and answers.
 */
#include <string.h>

#include "support/platform_server_internal.h"

/* ======   Waiting requests   ====== */

static void suspend(request_t *request, phase_t phase)
{
	request->phase = phase;
	request->suspended = true;
	MHD_suspend_connection(request->connection);
}

static bool is_due(const platform_server_t *server, const request_t *request)
{
	bool is_past_due = gn_clock_now_us(&server->clock) >= request->due_us;

	if (server->stopping)
		return true;
	switch (request->phase) {
	case PHASE_WATCH:
		return is_past_due || request->seen_revision !=
					      kv_state_revision(server->state);
	case PHASE_SLOW:
		return is_past_due;
	case PHASE_BLACK_HOLE:
		return !server->faults.black_hole;
	default:
		return false;
	}
}

void platform_resume_due(platform_server_t *server)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, server->requests);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		request_t *request = key;

		if (!request->suspended || !is_due(server, request))
			continue;
		request->suspended = false;
		MHD_resume_connection(request->connection);
	}
}

/* ======   Answers   ====== */

static ssize_t send_half(void *context, uint64_t position, char *buffer,
			 size_t max)
{
	const char *text = context;
	size_t half = strlen(text) / 2;

	if (position >= half)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	max = MIN(max, half - (size_t)position);
	memcpy(buffer, text + position, max);
	return (ssize_t)max;
}

/* The answer declares its full length and ends after the first half. */
static struct MHD_Response *create_truncated(const char *text)
{
	return MHD_create_response_from_callback(
		strlen(text), strlen(text), send_half, g_strdup(text), g_free);
}

static enum MHD_Result send_text(platform_server_t *server, request_t *request)
{
	struct MHD_Response *response;
	enum MHD_Result result;

	if (platform_fault_consume(&server->faults.lose_answers))
		return MHD_NO;
	if (platform_fault_consume(&server->faults.garbage_answers)) {
		g_free(request->answer);
		request->answer = g_strdup("{\"code\": \"ok\", ");
	}
	if (platform_fault_consume(&server->faults.truncate_answers))
		response = create_truncated(request->answer);
	else
		response = MHD_create_response_from_buffer(
			strlen(request->answer), request->answer,
			MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(response, "Content-Type", "application/json");
	result = MHD_queue_response(request->connection, request->status,
				    response);
	MHD_destroy_response(response);
	return result;
}

enum MHD_Result platform_send_plain(request_t *request, unsigned status,
				    const char *text)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result =
		MHD_queue_response(request->connection, status, response);

	MHD_destroy_response(response);
	return result;
}

/* ======   Calls   ====== */

/* Applies the call. Returns false if a watch has to wait for a change. */
static bool apply_call(platform_server_t *server, request_t *request)
{
	uint64_t now_us = gn_clock_now_us(&server->clock);
	unsigned revisions_back = 0;
	kv_answer_t answer;
	bool is_ready;

	if ((request->call == PLATFORM_GET || request->call == PLATFORM_LIST) &&
	    platform_fault_consume(&server->faults.older_reads))
		revisions_back = 1;
	kv_answer_init(&answer);
	is_ready = true;
	request->status = MHD_HTTP_OK;
	if (!request->json ||
	    !platform_api_apply(server->state, request->call, request->json,
				now_us, revisions_back, &answer)) {
		request->status = MHD_HTTP_BAD_REQUEST;
		answer.code = GN_ERR_INVALID;
	} else if (request->call == PLATFORM_WATCH) {
		is_ready = answer.code != GN_OK || answer.items->len ||
			   now_us >= request->due_us;
		request->seen_revision = answer.revision;
	}
	if (is_ready)
		request->answer = platform_api_encode(&answer);
	kv_answer_clear(&answer);
	return is_ready;
}

static enum MHD_Result answer_call(platform_server_t *server,
				   request_t *request)
{
	if (!apply_call(server, request)) {
		suspend(request, PHASE_WATCH);
		return MHD_YES;
	}
	if (!platform_call_is_read(request->call))
		platform_resume_due(server);
	if (server->faults.slow_ms) {
		request->due_us = gn_clock_now_us(&server->clock) +
				  server->faults.slow_ms * GN_US_PER_MS;
		suspend(request, PHASE_SLOW);
		return MHD_YES;
	}
	request->phase = PHASE_ANSWER;
	return send_text(server, request);
}

enum MHD_Result platform_start_call(platform_server_t *server,
				    request_t *request)
{
	server->calls[request->call]++;
	if (server->faults.down)
		return platform_send_plain(request,
					   MHD_HTTP_SERVICE_UNAVAILABLE, "");
	if (server->faults.black_hole) {
		suspend(request, PHASE_BLACK_HOLE);
		return MHD_YES;
	}
	if (platform_fault_consume(&server->faults.drop_requests))
		return MHD_NO;
	request->json = json_loadb(request->body->str, request->body->len,
				   JSON_REJECT_DUPLICATES, NULL);
	if (request->call == PLATFORM_WATCH)
		request->due_us =
			gn_clock_now_us(&server->clock) +
			(uint64_t)platform_watch_wait_ms(request->json) *
				GN_US_PER_MS;
	return answer_call(server, request);
}

enum MHD_Result platform_resume_call(platform_server_t *server,
				     request_t *request)
{
	if (request->phase == PHASE_BLACK_HOLE)
		return MHD_NO;
	if (request->phase == PHASE_WATCH)
		return answer_call(server, request);
	request->phase = PHASE_ANSWER;
	return send_text(server, request);
}
