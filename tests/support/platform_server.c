#include "support/platform_server.h"

#include <arpa/inet.h>
#include <string.h>

#include "common/str.h"
#include "support/platform_server_internal.h"

/** Longest request body in bytes: a value in base64 and the JSON around it. */
#define REQUEST_MAX (2 * GN_KV_VALUE_MAX)
/** Period of the check of leases, watches and slow answers, microseconds. */
#define TICK_US (5 * GN_US_PER_MS)
#define CONNECTIONS_MAX 1024

/* ======   Time   ====== */

static void *run_ticker(void *data)
{
	platform_server_t *server = data;
	bool stopping = false;

	while (!stopping) {
		g_usleep(TICK_US);
		pthread_mutex_lock(&server->lock);
		kv_state_expire(server->state, gn_clock_now_us(&server->clock));
		platform_resume_due(server);
		stopping = server->stopping;
		pthread_mutex_unlock(&server->lock);
	}
	return NULL;
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

static void apply_faults(platform_server_t *server)
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
	platform_resume_due(server);
}

static enum MHD_Result handle_faults(platform_server_t *server,
				     request_t *request)
{
	json_t *json =
		json_loadb(request->body->str, request->body->len, 0, NULL);
	gn_code_t code = platform_faults_parse(&server->faults, json);

	json_decref(json);
	if (code != GN_OK)
		return platform_send_plain(request, MHD_HTTP_BAD_REQUEST,
					   "unknown fault or wrong type\n");
	apply_faults(server);
	return platform_send_plain(request, MHD_HTTP_OK, "{}");
}

static enum MHD_Result handle_stats(platform_server_t *server,
				    request_t *request)
{
	json_t *stats = collect_stats(server);
	char *text = json_dumps(stats, JSON_COMPACT);
	enum MHD_Result result =
		platform_send_plain(request, MHD_HTTP_OK, text);

	free(text);
	json_decref(stats);
	return result;
}

/* ======   HTTP   ====== */

static enum MHD_Result route(platform_server_t *server, request_t *request,
			     const char *path, const char *method)
{
	if (!strcmp(path, "/stats") && !strcmp(method, "GET"))
		return handle_stats(server, request);
	if (!g_str_equal(method, "POST"))
		return platform_send_plain(request, MHD_HTTP_METHOD_NOT_ALLOWED,
					   "");
	if (!strcmp(path, "/fault"))
		return handle_faults(server, request);
	request->call = platform_call_find(path);
	if (request->call == PLATFORM_CALL_COUNT)
		return platform_send_plain(request, MHD_HTTP_NOT_FOUND, "");
	return platform_start_call(server, request);
}

static enum MHD_Result on_request(void *context,
				  struct MHD_Connection *connection,
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
		pthread_mutex_lock(&server->lock);
		g_hash_table_add(server->requests, request);
		pthread_mutex_unlock(&server->lock);
		return MHD_YES;
	}
	if (*size) {
		if (request->body->len + *size > REQUEST_MAX)
			return MHD_NO;
		g_string_append_len(request->body, data, (gssize)*size);
		*size = 0;
		return MHD_YES;
	}
	pthread_mutex_lock(&server->lock);
	if (server->stopping)
		result = MHD_NO;
	else if (request->phase == PHASE_BODY)
		result = route(server, request, path, method);
	else
		result = platform_resume_call(server, request);
	pthread_mutex_unlock(&server->lock);
	return result;
}

static void on_completed(void *context, struct MHD_Connection *connection,
			 void **state, enum MHD_RequestTerminationCode code)
{
	platform_server_t *server = context;
	request_t *request = *state;

	(void)connection;
	(void)code;
	if (!request)
		return;
	pthread_mutex_lock(&server->lock);
	g_hash_table_remove(server->requests, request);
	pthread_mutex_unlock(&server->lock);
	g_string_free(request->body, TRUE);
	json_decref(request->json);
	g_free(request->answer);
	g_free(request);
}

/* ======   Start and stop   ====== */

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
	pthread_mutex_destroy(&server->lock);
	g_free(server);
}

platform_server_t *platform_server_start(const char *address)
{
	platform_server_t *server;
	struct sockaddr_in to;

	if (!parse_address(address, &to))
		return NULL;
	server = g_new0(platform_server_t, 1);
	pthread_mutex_init(&server->lock, NULL);
	gn_clock_init_boot(&server->clock);
	server->state = kv_state_create();
	server->requests = g_hash_table_new(g_direct_hash, g_direct_equal);
	server->daemon = MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD | MHD_ALLOW_SUSPEND_RESUME |
			MHD_USE_EPOLL,
		0, NULL, NULL, on_request, server, MHD_OPTION_SOCK_ADDR,
		(struct sockaddr *)&to, MHD_OPTION_NOTIFY_COMPLETED,
		on_completed, server, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned)CONNECTIONS_MAX, MHD_OPTION_END);
	if (!server->daemon) {
		free_server(server);
		return NULL;
	}
	pthread_create(&server->ticker, NULL, run_ticker, server);
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

	pthread_mutex_lock(&server->lock);
	code = platform_faults_parse(&server->faults, faults);
	if (code == GN_OK)
		apply_faults(server);
	pthread_mutex_unlock(&server->lock);
	return code;
}

json_t *platform_server_stats(platform_server_t *server)
{
	json_t *stats;

	pthread_mutex_lock(&server->lock);
	stats = collect_stats(server);
	pthread_mutex_unlock(&server->lock);
	return stats;
}

void platform_server_stop(platform_server_t *server)
{
	pthread_mutex_lock(&server->lock);
	server->stopping = true;
	platform_resume_due(server);
	pthread_mutex_unlock(&server->lock);
	pthread_join(server->ticker, NULL);
	MHD_stop_daemon(server->daemon);
	free_server(server);
}
