#include "http/client.h"

#include <curl/curl.h>
#include <errno.h>
#include <limits.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "common/clock.h"
#include "common/str.h"
#include "wire/pipe.h"

/** Maximum sleep of the traffic thread, milliseconds. */
#define POLL_MAX_MS 1000
/** Limit of an attempt to connect, milliseconds. */
#define CONNECT_MS 1000
/** Maximum number of idle connections kept open, over all hosts. */
#define CONNECTIONS_KEPT 128
/** Idle time after which libcurl closes a connection by default, seconds. */
#define IDLE_MAX_S 118
/** Maximum length of a header line that is sent, bytes. */
#define HEADER_LINE_MAX 512

struct gn_http_client_s {
	pthread_t thread;
	bool running;
	CURLM *multi;
	gn_pipe_t *control_end; /**< Used by the control thread. */
	gn_pipe_t *traffic_end; /**< Used by the traffic thread. */
	size_t answer_max;
	size_t pending;
	gn_clock_t clock;
	/** When a reused connection last timed out. */
	uint64_t last_silent_us;
	gn_counter_t *calls;
	gn_counter_t *failed;
	gn_counter_t *silent;
};

/* A call in progress; used by the traffic thread only. */
typedef struct transfer_s {
	gn_http_call_t *call;
	CURL *easy;
	struct curl_slist *headers;
	size_t answer_max;
	size_t answer_size;
	size_t body_sent;
	bool too_long;
} transfer_t;

static char stop_item;

gn_http_call_t *gn_http_call_create(void)
{
	return calloc(1, sizeof(gn_http_call_t));
}

static void call_free(gn_http_call_t *call)
{
	free(call->body);
	free(call->answer);
	free(call);
}

static size_t on_data(char *data, size_t size, size_t count, void *arg)
{
	transfer_t *transfer = arg;
	gn_http_call_t *call = transfer->call;
	size_t len = size * count;
	char *grown;

	if (len > transfer->answer_max - call->answer_len) {
		transfer->too_long = true;
		return 0;
	}
	if (call->answer_len + len + 1 > transfer->answer_size) {
		transfer->answer_size = 2 * (call->answer_len + len + 1);
		grown = realloc(call->answer, transfer->answer_size);
		if (!grown)
			return 0;
		call->answer = grown;
	}
	memcpy(call->answer + call->answer_len, data, len);
	call->answer_len += len;
	call->answer[call->answer_len] = '\0';
	return len;
}

/* Returns the value of a header line of @p name; empty for another header. */
static gn_str_t get_header_value(const char *line, size_t len, const char *name)
{
	size_t name_len = strlen(name);
	gn_str_t value = { NULL, 0 };

	if (len <= name_len || line[name_len] != ':' ||
	    strncasecmp(line, name, name_len) != 0)
		return value;
	value.data = line + name_len + 1;
	value.len = len - name_len - 1;
	while (value.len && strchr(" \t", value.data[0])) {
		value.data++;
		value.len--;
	}
	while (value.len && strchr(" \t\r\n", value.data[value.len - 1]))
		value.len--;
	return value;
}

static void read_outcome(gn_http_call_t *call, gn_str_t value)
{
	for (int i = 0; i < GN_OUTCOME_COUNT; i++) {
		const char *name = gn_outcome_name((gn_outcome_t)i);

		if (!gn_str_equal(value, gn_str_from(name)))
			continue;
		call->has_outcome = true;
		call->outcome = (gn_outcome_t)i;
	}
}

static size_t on_header(char *data, size_t size, size_t count, void *arg)
{
	transfer_t *transfer = arg;
	size_t len = size * count;
	gn_str_t outcome = get_header_value(data, len, GN_HEADER_OUTCOME);
	gn_str_t after = get_header_value(data, len, GN_HEADER_RETRY_AFTER);
	gn_str_t reason = get_header_value(data, len, GN_HEADER_REASON);
	gn_http_call_t *call = transfer->call;
	uint64_t seconds;

	if (outcome.len)
		read_outcome(call, outcome);
	if (reason.len)
		gn_str_copy(call->reason, sizeof(call->reason), reason);
	if (after.len && !gn_str_parse_u64(after, UINT_MAX, &seconds))
		call->retry_after_s = (unsigned)seconds;
	return len;
}

/* Passes the body to libcurl as a stream, which it can't rewind. */
static size_t read_body(char *buffer, size_t size, size_t count, void *arg)
{
	transfer_t *transfer = arg;
	const gn_http_call_t *call = transfer->call;
	size_t len = size * count;

	if (len > call->body_len - transfer->body_sent)
		len = call->body_len - transfer->body_sent;
	if (len)
		memcpy(buffer, (char *)call->body + transfer->body_sent, len);
	transfer->body_sent += len;
	return len;
}

/*
 * libcurl repeats a request by itself if a reused connection is closed before
 * the first byte of the answer. A body that can't be rewound makes the call
 * fail instead; a request without a body gets a new connection.
 */
static void forbid_resending(transfer_t *transfer)
{
	CURL *easy = transfer->easy;

	if (!transfer->call->body_len) {
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
		return;
	}
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, NULL);
	curl_easy_setopt(easy, CURLOPT_READFUNCTION, read_body);
	curl_easy_setopt(easy, CURLOPT_READDATA, transfer);
}

/*
 * The fault that makes one idle connection dead mostly affects all of them.
 * After a timeout on a reused connection, those last used before it are closed
 * rather than tried at the cost of one failed request each. libcurl compares
 * the idle time in whole seconds.
 */
static void limit_idle_time(const gn_http_client_t *client, CURL *easy)
{
	uint64_t since_s;

	if (!client->last_silent_us)
		return;
	since_s = (gn_clock_now_us(&client->clock) - client->last_silent_us) /
		  GN_US_PER_S;
	if (!since_s)
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	else if (since_s <= IDLE_MAX_S)
		curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, (long)since_s - 1);
}

static void note_silent_connection(gn_http_client_t *client, CURL *easy)
{
	long made = 0;

	/* On a new connection the host may just be slow. */
	curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &made);
	if (made)
		return;
	client->last_silent_us = gn_clock_now_us(&client->clock);
	gn_counter_inc(client->silent);
}

static void set_method(CURL *easy, const gn_http_call_t *call)
{
	curl_off_t len = (curl_off_t)call->body_len;

	switch (call->method) {
	case GN_HTTP_GET:
		curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
		return;
	case GN_HTTP_PUT:
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "PUT");
		break;
	case GN_HTTP_DELETE:
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "DELETE");
		break;
	default:
		break;
	}
	curl_easy_setopt(easy, CURLOPT_POST, 1L);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
			 call->body ? call->body : "");
	curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, len);
}

static void add_header(transfer_t *transfer, gn_header_t header)
{
	const char *value = transfer->call->headers[header];
	char line[HEADER_LINE_MAX];

	if (!value)
		return;
	snprintf(line, sizeof(line), "%s: %s", gn_header_name(header), value);
	transfer->headers = curl_slist_append(transfer->headers, line);
}

static void set_headers(transfer_t *transfer)
{
	transfer->headers = curl_slist_append(NULL, "Expect:");
	transfer->headers = curl_slist_append(
		transfer->headers,
		transfer->call->json
			? "Content-Type: application/json"
			: "Content-Type: application/octet-stream");
	for (int i = 0; i < GN_HEADER_COUNT; i++)
		add_header(transfer, (gn_header_t)i);
	if (transfer->call->header_line[0])
		transfer->headers = curl_slist_append(
			transfer->headers, transfer->call->header_line);
	curl_easy_setopt(transfer->easy, CURLOPT_HTTPHEADER, transfer->headers);
}

static void set_options(transfer_t *transfer)
{
	const gn_http_call_t *call = transfer->call;
	CURL *easy = transfer->easy;

	curl_easy_setopt(easy, CURLOPT_URL, call->url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)call->timeout_ms);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
	set_method(easy, call);
	if (call->send_once)
		forbid_resending(transfer);
	set_headers(transfer);
}

static void transfer_free(transfer_t *transfer)
{
	curl_slist_free_all(transfer->headers);
	curl_easy_cleanup(transfer->easy);
	free(transfer);
}

/* Returns the call to the control thread. */
static void end_call(gn_http_client_t *client, gn_http_call_t *call,
		     gn_code_t code)
{
	call->code = code;
	if (code)
		gn_counter_inc(client->failed);
	gn_pipe_send(client->traffic_end, call);
}

static void start_call(gn_http_client_t *client, gn_http_call_t *call)
{
	transfer_t *transfer = calloc(1, sizeof(*transfer));

	gn_counter_inc(client->calls);
	if (!transfer) {
		end_call(client, call, GN_ERR_UNAVAILABLE);
		return;
	}
	transfer->call = call;
	transfer->answer_max = client->answer_max;
	transfer->easy = curl_easy_init();
	if (!transfer->easy)
		goto fail;
	call->transfer = transfer;
	set_options(transfer);
	limit_idle_time(client, transfer->easy);
	if (curl_multi_add_handle(client->multi, transfer->easy))
		goto fail;
	return;
fail:
	call->transfer = NULL;
	transfer_free(transfer);
	end_call(client, call, GN_ERR_UNAVAILABLE);
}

/* Whether nothing of the request was sent, so that it can't have run. libcurl may
 * fail to connect for a repetition that it is not allowed to send. */
static bool is_unsent(const transfer_t *transfer, CURLcode result)
{
	CURL *easy = transfer->easy;
	long request_size = 0;

	if (transfer->body_sent)
		return false;
	if (result == CURLE_COULDNT_CONNECT)
		return true;
	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_size);
	return result != CURLE_OK && request_size == 0;
}

static bool is_refused(CURL *easy, CURLcode result)
{
	long error = 0;

	curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &error);
	return result == CURLE_COULDNT_CONNECT && error == ECONNREFUSED;
}

static gn_code_t classify(const transfer_t *transfer, CURLcode result)
{
	if (result == CURLE_OK)
		return GN_OK;
	if (is_unsent(transfer, result))
		return GN_ERR_UNAVAILABLE;
	if (transfer->too_long || result == CURLE_PARTIAL_FILE)
		return GN_ERR_TRUNCATED;
	if (result == CURLE_OPERATION_TIMEDOUT)
		return GN_ERR_TIMEOUT;
	return GN_ERR_UNKNOWN;
}

static void finish_transfer(gn_http_client_t *client, const CURLMsg *message)
{
	CURL *easy = message->easy_handle;
	CURLcode result = message->data.result;
	transfer_t *transfer = NULL;
	gn_http_call_t *call;
	gn_code_t code;
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &transfer);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	call = transfer->call;
	call->status = (unsigned)status;
	call->refused = is_refused(easy, result);
	code = classify(transfer, result);
	if (code == GN_ERR_TIMEOUT)
		note_silent_connection(client, easy);
	curl_multi_remove_handle(client->multi, easy);
	call->transfer = NULL;
	transfer_free(transfer);
	end_call(client, call, code);
}

static void finish_transfers(gn_http_client_t *client)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(client->multi, &left)))
		if (message->msg == CURLMSG_DONE)
			finish_transfer(client, message);
}

/* Starts the calls waiting in the pipe; returns false to stop the thread. */
static bool start_waiting_calls(gn_http_client_t *client)
{
	void *item;

	while ((item = gn_pipe_receive(client->traffic_end))) {
		if (item == &stop_item)
			return false;
		start_call(client, item);
	}
	return true;
}

static void *client_run(void *arg)
{
	gn_http_client_t *client = arg;
	struct curl_waitfd waitfd = { .fd = gn_pipe_fd(client->traffic_end),
				      .events = CURL_WAIT_POLLIN };
	int running;

	while (start_waiting_calls(client)) {
		curl_multi_perform(client->multi, &running);
		finish_transfers(client);
		/* Returning an ended call can clear the pipe's edge. */
		if (!start_waiting_calls(client))
			break;
		curl_multi_poll(client->multi, &waitfd, 1, POLL_MAX_MS, NULL);
	}
	return NULL;
}

static void on_item(void *arg, void *item)
{
	gn_http_client_t *client = arg;
	gn_http_call_t *call = item;

	client->pending--;
	call->done(call->arg, call);
	call_free(call);
}

static int client_destructor(gn_http_client_t *client)
{
	if (client->running) {
		gn_pipe_send(client->control_end, &stop_item);
		pthread_join(client->thread, NULL);
	}
	if (client->multi)
		curl_multi_cleanup(client->multi);
	return 0;
}

gn_code_t gn_http_client_start(TALLOC_CTX *parent,
			       const gn_http_client_config_t *config,
			       gn_http_client_t **result, gn_error_t *error)
{
	static const char step[] = "start http client";
	gn_http_client_t *client = talloc_zero(parent, gn_http_client_t);

	if (!client)
		return gn_error_set(error, GN_ERR_MEMORY, step, NULL, "client");
	talloc_set_destructor(client, client_destructor);
	client->answer_max = config->answer_max;
	client->calls = gn_counters_get(config->counters, "client.calls");
	client->failed = gn_counters_get(config->counters, "client.failed");
	client->silent = gn_counters_get(config->counters, "client.silent");
	gn_clock_init_boot(&client->clock);
	client->multi = curl_multi_init();
	if (!client->multi) {
		gn_error_set(error, GN_ERR_MEMORY, step, NULL, "libcurl");
		goto fail;
	}
	curl_multi_setopt(client->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
			  (long)config->host_connections);
	curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
			  (long)CONNECTIONS_KEPT);
	if (gn_pipe_open(client, config->zmq, &client->control_end,
			 &client->traffic_end, error))
		goto fail;
	if (gn_pipe_attach(client->control_end, config->events, on_item,
			   client)) {
		gn_error_set(error, GN_ERR_MEMORY, step, NULL, "event");
		goto fail;
	}
	if (pthread_create(&client->thread, NULL, client_run, client)) {
		gn_error_set(error, GN_ERR_SYSTEM, step, NULL, "thread");
		goto fail;
	}
	client->running = true;
	*result = client;
	return GN_OK;
fail:
	talloc_free(client);
	return error->code;
}

void gn_http_client_call(gn_http_client_t *client, gn_http_call_t *call)
{
	client->pending++;
	gn_pipe_send(client->control_end, call);
}

size_t gn_http_client_pending(const gn_http_client_t *client)
{
	return client->pending;
}
