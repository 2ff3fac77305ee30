#include "support/platform_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <string.h>

#include "common/clock.h"
#include "common/str.h"
#include "support/platform_api.h"
#include "support/platform_faults.h"

/** Longest request body: a value in base64 and its frame; bytes. */
#define REQUEST_MAX (2 * GN_KV_VALUE_MAX)
/** How often leases, watches and slow answers are looked at, microseconds. */
#define TICK_US (5 * GN_US_PER_MS)
#define CONNECTIONS_MAX 1024

/** What a request waits for. */
typedef enum phase_e {
	PHASE_BODY = 0, /**< the rest of its body */
	PHASE_WATCH, /**< a newer revision */
	PHASE_SLOW, /**< the time of its answer */
	PHASE_HOLE, /**< the end of the black hole, to be closed */
	PHASE_ANSWER, /**< nothing: its answer is ready */
} phase_t;

typedef struct request_s {
	struct MHD_Connection *connection;
	platform_call_t call;
	phase_t phase;
	bool suspended;
	GString *body;
	json_t *json;
	uint64_t due_us;
	uint64_t seen; /* revision a watch was last looked at */
	unsigned status;
	char *answer;
} request_t;

struct platform_server_s {
	struct MHD_Daemon *daemon;
	GThread *ticker;
	GMutex lock;
	gn_clock_t clock;
	kv_state_t *state;
	GHashTable *requests; /* set of request_t */
	platform_faults_t faults;
	uint64_t calls[PLATFORM_CALL_COUNT];
	bool stopping;
};

/* ======   Waiting requests   ====== */

static void suspend(request_t *request, phase_t phase)
{
	request->phase = phase;
	request->suspended = true;
	MHD_suspend_connection(request->connection);
}

static bool is_due(const platform_server_t *server, const request_t *request)
{
	bool in_time = gn_clock_now_us(&server->clock) >= request->due_us;

	if (server->stopping)
		return true;
	switch (request->phase) {
	case PHASE_WATCH:
		return in_time ||
		       request->seen != kv_state_revision(server->state);
	case PHASE_SLOW:
		return in_time;
	case PHASE_HOLE:
		return !server->faults.black_hole;
	default:
		return false;
	}
}

static void resume_due(platform_server_t *server)
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

static gpointer run_ticker(gpointer data)
{
	platform_server_t *server = data;
	bool stopping = false;

	while (!stopping) {
		g_usleep(TICK_US);
		g_mutex_lock(&server->lock);
		kv_state_expire(server->state, gn_clock_now_us(&server->clock));
		resume_due(server);
		stopping = server->stopping;
		g_mutex_unlock(&server->lock);
	}
	return NULL;
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

/* Sends the first half of an answer whose header declares all of it. */
static struct MHD_Response *create_truncated(const char *text)
{
	return MHD_create_response_from_callback(
		strlen(text), strlen(text), send_half, g_strdup(text), g_free);
}

static enum MHD_Result send_text(platform_server_t *server, request_t *request)
{
	struct MHD_Response *response;
	enum MHD_Result result;

	if (platform_fault_take(&server->faults.lose_answers))
		return MHD_NO;
	if (platform_fault_take(&server->faults.garbage_answers)) {
		g_free(request->answer);
		request->answer = g_strdup("{\"code\": \"ok\", ");
	}
	if (platform_fault_take(&server->faults.truncate_answers))
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

static enum MHD_Result send_plain(request_t *request, unsigned status,
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

/* Applies the call; false: a watch has nothing to tell yet. */
static bool apply_call(platform_server_t *server, request_t *request)
{
	uint64_t now_us = gn_clock_now_us(&server->clock);
	unsigned back = 0;
	kv_answer_t answer;
	bool ready;

	if ((request->call == PLATFORM_GET || request->call == PLATFORM_LIST) &&
	    platform_fault_take(&server->faults.older_reads))
		back = 1;
	kv_answer_init(&answer);
	ready = true;
	request->status = MHD_HTTP_OK;
	if (!request->json ||
	    !platform_api_apply(server->state, request->call, request->json,
				now_us, back, &answer)) {
		request->status = MHD_HTTP_BAD_REQUEST;
		answer.code = GN_ERR_INVALID;
	} else if (request->call == PLATFORM_WATCH) {
		ready = answer.code != GN_OK || answer.items->len ||
			now_us >= request->due_us;
		request->seen = answer.revision;
	}
	if (ready)
		request->answer = platform_api_encode(&answer);
	kv_answer_clear(&answer);
	return ready;
}

static enum MHD_Result answer_call(platform_server_t *server,
				   request_t *request)
{
	if (!apply_call(server, request)) {
		suspend(request, PHASE_WATCH);
		return MHD_YES;
	}
	if (!platform_call_is_read(request->call))
		resume_due(server);
	if (server->faults.slow_ms) {
		request->due_us = gn_clock_now_us(&server->clock) +
				  server->faults.slow_ms * GN_US_PER_MS;
		suspend(request, PHASE_SLOW);
		return MHD_YES;
	}
	request->phase = PHASE_ANSWER;
	return send_text(server, request);
}

static enum MHD_Result take_call(platform_server_t *server, request_t *request)
{
	server->calls[request->call]++;
	if (server->faults.down)
		return send_plain(request, MHD_HTTP_SERVICE_UNAVAILABLE, "");
	if (server->faults.black_hole) {
		suspend(request, PHASE_HOLE);
		return MHD_YES;
	}
	if (platform_fault_take(&server->faults.drop_requests))
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

static enum MHD_Result resume_call(platform_server_t *server,
				   request_t *request)
{
	if (request->phase == PHASE_HOLE)
		return MHD_NO;
	if (request->phase == PHASE_WATCH)
		return answer_call(server, request);
	request->phase = PHASE_ANSWER;
	return send_text(server, request);
}

/* ======   Control   ====== */

static json_t *collect_stats(platform_server_t *server)
{
	json_t *calls = json_object();
	GHashTableIter iter;
	uint64_t total = 0;
	int waiting = 0;
	gpointer key;

	for (int i = 0; i < PLATFORM_CALL_COUNT; i++) {
		total += server->calls[i];
		json_object_set_new(calls,
				    platform_call_name((platform_call_t)i),
				    json_integer((json_int_t)server->calls[i]));
	}
	g_hash_table_iter_init(&iter, server->requests);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		waiting += ((request_t *)key)->phase == PHASE_WATCH;
	return json_pack("{s:o, s:I, s:i, s:I}", "calls", calls, "total",
			 (json_int_t)total, "waiting_watches", waiting,
			 "revision",
			 (json_int_t)kv_state_revision(server->state));
}

static void act_on_faults(platform_server_t *server)
{
	kv_answer_t answer;

	kv_state_freeze_leases(server->state, server->faults.freeze_leases);
	if (server->faults.expire_lease) {
		kv_answer_init(&answer);
		kv_state_revoke(server->state, server->faults.expire_lease,
				&answer);
		kv_answer_clear(&answer);
		server->faults.expire_lease = 0;
	}
	resume_due(server);
}

static enum MHD_Result take_faults(platform_server_t *server,
				   request_t *request)
{
	json_t *json =
		json_loadb(request->body->str, request->body->len, 0, NULL);
	gn_code_t code = platform_faults_parse(&server->faults, json);

	json_decref(json);
	if (code != GN_OK)
		return send_plain(request, MHD_HTTP_BAD_REQUEST,
				  "unknown fault or wrong type\n");
	act_on_faults(server);
	return send_plain(request, MHD_HTTP_OK, "{}");
}

static enum MHD_Result take_stats(platform_server_t *server, request_t *request)
{
	json_t *stats = collect_stats(server);
	char *text = json_dumps(stats, JSON_COMPACT);
	enum MHD_Result result = send_plain(request, MHD_HTTP_OK, text);

	free(text);
	json_decref(stats);
	return result;
}

/* ======   HTTP   ====== */

static enum MHD_Result route(platform_server_t *server, request_t *request,
			     const char *path, const char *method)
{
	if (!strcmp(path, "/stats") && !strcmp(method, "GET"))
		return take_stats(server, request);
	if (!g_str_equal(method, "POST"))
		return send_plain(request, MHD_HTTP_METHOD_NOT_ALLOWED, "");
	if (!strcmp(path, "/fault"))
		return take_faults(server, request);
	request->call = platform_call_find(path);
	if (request->call == PLATFORM_CALL_COUNT)
		return send_plain(request, MHD_HTTP_NOT_FOUND, "");
	return take_call(server, request);
}

static enum MHD_Result handle(void *context, struct MHD_Connection *connection,
			      const char *path, const char *method,
			      const char *version, const char *data,
			      size_t *size, void **state)
{
	platform_server_t *server = context;
	request_t *request = *state;
	enum MHD_Result result;

	(void)version;
	if (!request) {
		request = g_new0(request_t, 1);
		request->connection = connection;
		request->body = g_string_new(NULL);
		*state = request;
		g_mutex_lock(&server->lock);
		g_hash_table_add(server->requests, request);
		g_mutex_unlock(&server->lock);
		return MHD_YES;
	}
	if (*size) {
		if (request->body->len + *size > REQUEST_MAX)
			return MHD_NO;
		g_string_append_len(request->body, data, (gssize)*size);
		*size = 0;
		return MHD_YES;
	}
	g_mutex_lock(&server->lock);
	if (server->stopping)
		result = MHD_NO;
	else if (request->phase == PHASE_BODY)
		result = route(server, request, path, method);
	else
		result = resume_call(server, request);
	g_mutex_unlock(&server->lock);
	return result;
}

static void end_request(void *context, struct MHD_Connection *connection,
			void **state, enum MHD_RequestTerminationCode code)
{
	platform_server_t *server = context;
	request_t *request = *state;

	(void)connection;
	(void)code;
	if (!request)
		return;
	g_mutex_lock(&server->lock);
	g_hash_table_remove(server->requests, request);
	g_mutex_unlock(&server->lock);
	g_string_free(request->body, TRUE);
	json_decref(request->json);
	g_free(request->answer);
	g_free(request);
}

/* ======   Life   ====== */

static bool parse_address(const char *address, struct sockaddr_in *to)
{
	const char *colon = strrchr(address, ':');
	char *ip;
	uint64_t port;
	bool valid;

	memset(to, 0, sizeof(*to));
	if (!colon || gn_str_parse_u64(gn_str_from(colon + 1), UINT16_MAX,
				       &port) != GN_OK)
		return false;
	ip = g_strndup(address, (gsize)(colon - address));
	to->sin_family = AF_INET;
	to->sin_port = htons((uint16_t)port);
	valid = inet_pton(AF_INET, ip, &to->sin_addr) == 1;
	g_free(ip);
	return valid;
}

static void free_server(platform_server_t *server)
{
	g_hash_table_unref(server->requests);
	kv_state_free(server->state);
	g_mutex_clear(&server->lock);
	g_free(server);
}

platform_server_t *platform_server_start(const char *address)
{
	platform_server_t *server;
	struct sockaddr_in to;

	if (!parse_address(address, &to))
		return NULL;
	server = g_new0(platform_server_t, 1);
	g_mutex_init(&server->lock);
	gn_clock_init_boot(&server->clock);
	server->state = kv_state_create();
	server->requests = g_hash_table_new(g_direct_hash, g_direct_equal);
	server->daemon = MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD | MHD_ALLOW_SUSPEND_RESUME |
			MHD_USE_EPOLL,
		0, NULL, NULL, handle, server, MHD_OPTION_SOCK_ADDR,
		(struct sockaddr *)&to, MHD_OPTION_NOTIFY_COMPLETED,
		end_request, server, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned)CONNECTIONS_MAX, MHD_OPTION_END);
	if (!server->daemon) {
		free_server(server);
		return NULL;
	}
	server->ticker = g_thread_new("ticker", run_ticker, server);
	return server;
}

uint16_t platform_server_port(const platform_server_t *server)
{
	return MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_BIND_PORT)
		->port;
}

gn_code_t platform_server_set_faults(platform_server_t *server,
				     const json_t *faults)
{
	gn_code_t code;

	g_mutex_lock(&server->lock);
	code = platform_faults_parse(&server->faults, faults);
	if (code == GN_OK)
		act_on_faults(server);
	g_mutex_unlock(&server->lock);
	return code;
}

json_t *platform_server_stats(platform_server_t *server)
{
	json_t *stats;

	g_mutex_lock(&server->lock);
	stats = collect_stats(server);
	g_mutex_unlock(&server->lock);
	return stats;
}

void platform_server_stop(platform_server_t *server)
{
	g_mutex_lock(&server->lock);
	server->stopping = true;
	resume_due(server);
	g_mutex_unlock(&server->lock);
	g_thread_join(server->ticker);
	MHD_stop_daemon(server->daemon);
	free_server(server);
}
