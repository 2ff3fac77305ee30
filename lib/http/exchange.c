/**
 * @file exchange.c
 * @brief Reads one request within the bounds and sends its answer.
 */
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "http/server_internal.h"

/** First allocation for a body of unknown length, bytes. */
#define BODY_FIRST_SIZE 1024
/**
 * A body of up to this many times what is taken is read and dropped, so that
 * its sender sees the answer; a longer one is cut off with a reset.
 */
#define DROP_FACTOR 64

static const char *const method_names[GN_HTTP_METHOD_COUNT] = {
	[GN_HTTP_GET] = MHD_HTTP_METHOD_GET,
	[GN_HTTP_POST] = MHD_HTTP_METHOD_POST,
	[GN_HTTP_PUT] = MHD_HTTP_METHOD_PUT,
	[GN_HTTP_DELETE] = MHD_HTTP_METHOD_DELETE,
};

static bool parse_method(const char *name, gn_http_method_t *method)
{
	for (int i = 0; i < GN_HTTP_METHOD_COUNT; i++) {
		if (!strcmp(name, method_names[i])) {
			*method = (gn_http_method_t)i;
			return true;
		}
	}
	return false;
}

static void exchange_free(http_exchange_t *exchange)
{
	for (int i = 0; i < GN_HEADER_COUNT; i++)
		free(exchange->request.headers[i]);
	free(exchange->request.path);
	free(exchange->request.query_team);
	free(exchange->request.body);
	free(exchange->request.answer.body);
	free(exchange);
}

static char *copy_value(struct MHD_Connection *connection,
			enum MHD_ValueKind kind, const char *name)
{
	const char *value = MHD_lookup_connection_value(connection, kind, name);

	return value ? strdup(value) : NULL;
}

/* What a request says of the length of its body. */
typedef struct framing_s {
	unsigned lengths;
	unsigned encodings;
	bool unknown; /* a length or an encoding that can't be read */
	unsigned long long length;
} framing_t;

static void take_length(framing_t *framing, const char *value)
{
	char *end;

	framing->lengths++;
	framing->length = strtoull(value, &end, 10);
	framing->unknown |= *value < '0' || *value > '9' || *end;
}

static enum MHD_Result take_header(void *cls, enum MHD_ValueKind kind,
				   const char *name, const char *value)
{
	framing_t *framing = cls;

	(void)kind;
	if (!value)
		value = "";
	if (!strcasecmp(name, MHD_HTTP_HEADER_CONTENT_LENGTH)) {
		take_length(framing, value);
	} else if (!strcasecmp(name, MHD_HTTP_HEADER_TRANSFER_ENCODING)) {
		framing->encodings++;
		framing->unknown |= strcasecmp(value, "chunked") != 0;
	}
	return MHD_YES;
}

/*
 * Where a request ends must be beyond doubt, or a proxy before this server
 * may take a part of it for another request.
 */
static unsigned check_framing(http_exchange_t *exchange)
{
	framing_t framing = { 0 };

	MHD_get_connection_values(exchange->connection, MHD_HEADER_KIND,
				  take_header, &framing);
	if (framing.unknown || framing.lengths + framing.encodings > 1)
		return MHD_HTTP_BAD_REQUEST;
	if (framing.length <= exchange->thread->body_max)
		return 0;
	exchange->dropping =
		framing.length / DROP_FACTOR <= exchange->thread->body_max;
	return MHD_HTTP_CONTENT_TOO_LARGE;
}

static http_exchange_t *exchange_create(http_thread_t *thread,
					struct MHD_Connection *connection,
					const char *url, const char *method)
{
	http_exchange_t *exchange = calloc(1, sizeof(*exchange));

	if (!exchange)
		return NULL;
	exchange->thread = thread;
	exchange->connection = connection;
	exchange->started_us = gn_clock_now_us(&thread->clock);
	exchange->request.connection = exchange;
	exchange->request.path = strdup(url);
	exchange->request.query_team =
		copy_value(connection, MHD_GET_ARGUMENT_KIND, "team");
	exchange->request.forwarded =
		MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND,
					    "forwarded") != NULL;
	for (int i = 0; i < GN_HEADER_COUNT; i++)
		exchange->request.headers[i] =
			copy_value(connection, MHD_HEADER_KIND,
				   gn_header_name((gn_header_t)i));
	if (!parse_method(method, &exchange->request.method))
		exchange->refused = MHD_HTTP_METHOD_NOT_ALLOWED;
	else
		exchange->refused = check_framing(exchange);
	return exchange;
}

static bool grow_body(http_exchange_t *exchange, size_t needed)
{
	size_t size =
		exchange->body_size ? exchange->body_size : BODY_FIRST_SIZE;
	char *body;

	while (size < needed)
		size *= 2;
	if (size == exchange->body_size)
		return true;
	body = realloc(exchange->request.body, size);
	if (!body)
		return false;
	exchange->request.body = body;
	exchange->body_size = size;
	return true;
}

/* Takes one part of the body; a refused request's body is read and dropped. */
static void take_body(http_exchange_t *exchange, const char *data, size_t len)
{
	gn_http_request_t *request = &exchange->request;
	uint64_t now_us = gn_clock_now_us(&exchange->thread->clock);

	if (exchange->refused)
		return;
	if (now_us - exchange->started_us > exchange->thread->timeout_us) {
		exchange->refused = MHD_HTTP_REQUEST_TIMEOUT;
	} else if (len > exchange->thread->body_max - request->body_len) {
		exchange->refused = MHD_HTTP_CONTENT_TOO_LARGE;
	} else if (!grow_body(exchange, request->body_len + len)) {
		exchange->refused = MHD_HTTP_INSUFFICIENT_STORAGE;
	} else {
		memcpy(request->body + request->body_len, data, len);
		request->body_len += len;
	}
}

static void refuse(http_exchange_t *exchange)
{
	static const char text[] =
		"{\"outcome\":\"not-run\",\"reason\":\"malformed\"}\n";
	gn_http_answer_t *answer = &exchange->request.answer;

	gn_counter_inc(exchange->thread->refused);
	answer->status = exchange->refused;
	answer->has_outcome = true;
	answer->outcome = GN_OUTCOME_NOT_RUN;
	answer->reason = "malformed";
	answer->json = true;
	answer->body = strdup(text);
	answer->body_len = answer->body ? sizeof(text) - 1 : 0;
}

static void add_headers(struct MHD_Response *response,
			const gn_http_answer_t *answer)
{
	char seconds[sizeof("4294967295")];

	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
				answer->json ? "application/json"
					     : "application/octet-stream");
	if (answer->has_outcome)
		MHD_add_response_header(response, GN_HEADER_OUTCOME,
					gn_outcome_name(answer->outcome));
	if (answer->reason)
		MHD_add_response_header(response, GN_HEADER_REASON,
					answer->reason);
	if (answer->retry_after_s) {
		snprintf(seconds, sizeof(seconds), "%u", answer->retry_after_s);
		MHD_add_response_header(response, GN_HEADER_RETRY_AFTER,
					seconds);
	}
}

static enum MHD_Result send_answer(http_exchange_t *exchange)
{
	gn_http_answer_t *answer = &exchange->request.answer;
	struct MHD_Response *response;
	enum MHD_Result result;

	response = MHD_create_response_from_buffer(
		answer->body_len, answer->body, MHD_RESPMEM_MUST_FREE);
	if (!response)
		return MHD_NO;
	answer->body = NULL;
	add_headers(response, answer);
	/* What is left of a refused request would be taken for the next. */
	if (exchange->refused || atomic_load(&exchange->thread->quiesce))
		MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION,
					"close");
	result = MHD_queue_response(exchange->connection, answer->status,
				    response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result hand_over(http_exchange_t *exchange)
{
	exchange->handed_over = true;
	http_connection_note(exchange->thread, exchange->connection, true);
	gn_counter_inc(exchange->thread->requests);
	MHD_suspend_connection(exchange->connection);
	gn_pipe_send(exchange->thread->traffic_end, &exchange->request);
	return MHD_YES;
}

enum MHD_Result http_on_request(void *cls, struct MHD_Connection *connection,
				const char *url, const char *method,
				const char *version, const char *data,
				size_t *data_size, void **context)
{
	http_exchange_t *exchange = *context;

	(void)version;
	if (!exchange) {
		exchange = exchange_create(cls, connection, url, method);
		*context = exchange;
		if (!exchange)
			return MHD_NO;
		http_connection_note(cls, connection,
				     exchange->refused && !exchange->dropping);
		if (!exchange->refused || exchange->dropping)
			return MHD_YES;
		refuse(exchange);
		return send_answer(exchange);
	}
	if (*data_size) {
		take_body(exchange, data, *data_size);
		*data_size = 0;
		return MHD_YES;
	}
	if (exchange->handed_over)
		return send_answer(exchange);
	if (exchange->refused) {
		refuse(exchange);
		return send_answer(exchange);
	}
	return hand_over(exchange);
}

void http_on_completed(void *cls, struct MHD_Connection *connection,
		       void **context, enum MHD_RequestTerminationCode code)
{
	(void)code;
	http_connection_note(cls, connection, false);
	if (*context)
		exchange_free(*context);
	*context = NULL;
}

void http_exchange_resume(http_exchange_t *exchange)
{
	MHD_resume_connection(exchange->connection);
}
