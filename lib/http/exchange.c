/**
 * @file exchange.c
 * @brief Reads one request within the limits and sends its answer.
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
 * A body of up to this multiple of the limit is read and discarded, so that
 * its sender receives the answer. Longer ones end with a connection reset.
 */
#define DISCARD_FACTOR 64

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
	free(exchange->request.deadline);
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

/* The headers of a request that determine the length of its body. */
typedef struct framing_s {
	unsigned length_count;
	unsigned encoding_count;
	/* A length or an encoding is invalid or not supported. */
	bool malformed;
	unsigned long long length;
} framing_t;

static void parse_length(framing_t *framing, const char *value)
{
	char *end;

	framing->length_count++;
	framing->length = strtoull(value, &end, 10);
	framing->malformed |= *value < '0' || *value > '9' || *end;
}

static enum MHD_Result on_header(void *cls, enum MHD_ValueKind kind,
				 const char *name, const char *value)
{
	framing_t *framing = cls;

	(void)kind;
	if (!value)
		value = "";
	if (!strcasecmp(name, MHD_HTTP_HEADER_CONTENT_LENGTH)) {
		parse_length(framing, value);
	} else if (!strcasecmp(name, MHD_HTTP_HEADER_TRANSFER_ENCODING)) {
		framing->encoding_count++;
		framing->malformed |= strcasecmp(value, "chunked") != 0;
	}
	return MHD_YES;
}

/*
 * The end of a request must be unambiguous. Otherwise a proxy in front of this
 * server may treat a part of it as another request (request smuggling).
 */
static unsigned check_framing(http_exchange_t *exchange)
{
	framing_t framing = { 0 };

	MHD_get_connection_values(exchange->connection, MHD_HEADER_KIND,
				  on_header, &framing);
	if (framing.malformed ||
	    framing.length_count + framing.encoding_count > 1)
		return MHD_HTTP_BAD_REQUEST;
	if (framing.length <= exchange->thread->body_max)
		return 0;
	exchange->discards_body =
		framing.length / DISCARD_FACTOR <= exchange->thread->body_max;
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
	if (thread->deadline_header)
		exchange->request.deadline = copy_value(
			connection, MHD_HEADER_KIND, thread->deadline_header);
	if (!parse_method(method, &exchange->request.method))
		exchange->refusal_status = MHD_HTTP_METHOD_NOT_ALLOWED;
	else
		exchange->refusal_status = check_framing(exchange);
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

/* Appends a part of the body; the body of a refused request is discarded. */
static void append_body(http_exchange_t *exchange, const char *data, size_t len)
{
	gn_http_request_t *request = &exchange->request;
	uint64_t now_us = gn_clock_now_us(&exchange->thread->clock);

	if (exchange->refusal_status)
		return;
	if (now_us - exchange->started_us > exchange->thread->timeout_us) {
		exchange->refusal_status = MHD_HTTP_REQUEST_TIMEOUT;
	} else if (len > exchange->thread->body_max - request->body_len) {
		exchange->refusal_status = MHD_HTTP_CONTENT_TOO_LARGE;
	} else if (!grow_body(exchange, request->body_len + len)) {
		exchange->refusal_status = MHD_HTTP_INSUFFICIENT_STORAGE;
	} else {
		memcpy(request->body + request->body_len, data, len);
		request->body_len += len;
	}
}

static void set_refusal(http_exchange_t *exchange)
{
	static const char text[] =
		"{\"outcome\":\"not-run\",\"reason\":\"malformed\"}\n";
	gn_http_answer_t *answer = &exchange->request.answer;

	gn_counter_inc(exchange->thread->refused);
	answer->status = exchange->refusal_status;
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
	/* The rest of a refused request would be read as the next request. */
	if (exchange->refusal_status || atomic_load(&exchange->thread->quiesce))
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
	http_connection_begin_phase(exchange->thread, exchange->connection,
				    true);
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
		http_connection_begin_phase(cls, connection,
					    exchange->refusal_status &&
						    !exchange->discards_body);
		if (!exchange->refusal_status || exchange->discards_body)
			return MHD_YES;
		set_refusal(exchange);
		return send_answer(exchange);
	}
	if (*data_size) {
		append_body(exchange, data, *data_size);
		*data_size = 0;
		return MHD_YES;
	}
	if (exchange->handed_over)
		return send_answer(exchange);
	if (exchange->refusal_status) {
		set_refusal(exchange);
		return send_answer(exchange);
	}
	return hand_over(exchange);
}

void http_on_completed(void *cls, struct MHD_Connection *connection,
		       void **context, enum MHD_RequestTerminationCode code)
{
	http_exchange_t *exchange = *context;

	(void)code;
	http_connection_begin_phase(cls, connection, false);
	*context = NULL;
	if (!exchange)
		return;
	exchange->thread->unsent -= exchange->resumed;
	exchange_free(exchange);
}

void http_exchange_resume(http_exchange_t *exchange)
{
	exchange->resumed = true;
	exchange->thread->unsent++;
	MHD_resume_connection(exchange->connection);
}
