/**
 * @file backend.c
 * @brief Stand-in for a backend server: runs requests and tasks, announces
 * itself to its agent.
 *
 * POST /v1/run       runs a request; the answer is "ok:" and its body
 * POST /fault        sets faults: {"slow_ms", "fail", "refuse", "truncate",
 *                    "close", "mute_ms", "noisy_kind", "noise_ms",
 *                    "unthrottled"}, until the next call; members that it
 *                    leaves out are cleared. Each task of the noisy kind delays
 *                    requests by noise_ms times its speed. With "unthrottled",
 *                    throttling isn't supported.
 * POST /drain        begins a graceful shutdown
 * GET  /journal      the bodies of the requests that ran, one per line
 * GET  /most         the maximum number of requests that ran at once
 */
#include <argtable2.h>
#include <arpa/inet.h>
#include <curl/curl.h>
#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "support/backend_tasks.h"

#define ANNOUNCE_INTERVAL_MS 300
#define US_PER_MS 1000
#define THREADS_MAX 256
#define PER_CENT 100

typedef struct upload_s {
	char *data;
	size_t len;
} upload_t;

static struct {
	char listen[64];
	const char *announced; /* Address in its announcements. */
	const char *agent;
	char incarnation[32];
	atomic_bool draining;
	atomic_bool stop;
	atomic_int running;
	int most_running; /* Protected by lock. */
	atomic_int slow_ms;
	atomic_int mute_ms;
	atomic_int noise_ms;
	char noisy_kind[64]; /* Protected by lock. */
	atomic_bool fail;
	atomic_bool refuse;
	atomic_bool truncate;
	atomic_bool close;
	pthread_mutex_t lock;
	char *journal;
	size_t journal_len;
	backend_tasks_t *tasks;
} self = { .lock = PTHREAD_MUTEX_INITIALIZER };

static void record_request(const upload_t *upload)
{
	pthread_mutex_lock(&self.lock);
	if (self.running > self.most_running)
		self.most_running = self.running;
	self.journal =
		realloc(self.journal, self.journal_len + upload->len + 2);
	if (upload->len)
		memcpy(self.journal + self.journal_len, upload->data,
		       upload->len);
	self.journal_len += upload->len;
	self.journal[self.journal_len++] = '\n';
	self.journal[self.journal_len] = '\0';
	pthread_mutex_unlock(&self.lock);
}

static enum MHD_Result reply(struct MHD_Connection *connection, unsigned status,
			     const char *body, size_t len)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		len, (void *)body, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;

	if (status == MHD_HTTP_SERVICE_UNAVAILABLE)
		MHD_add_response_header(response, "Gypsumnotch-Outcome",
					"not-run");
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static ssize_t send_first_byte(void *cls, uint64_t position, char *buffer,
			       size_t max)
{
	(void)cls;
	if (position || !max)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	buffer[0] = 'o';
	return 1;
}

/* Announces 100 bytes but sends only one, then closes the connection. */
static enum MHD_Result reply_truncated(struct MHD_Connection *connection)
{
	struct MHD_Response *response = MHD_create_response_from_callback(
		100, 64, send_first_byte, NULL, NULL);
	enum MHD_Result result =
		MHD_queue_response(connection, MHD_HTTP_OK, response);

	MHD_destroy_response(response);
	return result;
}

/* Sleeps as long as a request takes beside the running tasks. */
static void simulate_run_time(void)
{
	char kind[sizeof(self.noisy_kind)];
	unsigned noise_us = 0;

	pthread_mutex_lock(&self.lock);
	memcpy(kind, self.noisy_kind, sizeof(kind));
	pthread_mutex_unlock(&self.lock);
	if (self.noise_ms)
		noise_us = (unsigned)self.noise_ms * US_PER_MS / PER_CENT *
			   backend_tasks_total_speed_pct(self.tasks, kind);
	if (self.slow_ms || noise_us)
		usleep((useconds_t)self.slow_ms * US_PER_MS + noise_us);
}

static enum MHD_Result on_run(struct MHD_Connection *connection,
			      const upload_t *upload)
{
	char *body;
	enum MHD_Result result;

	if (self.draining || self.refuse)
		return reply(connection, MHD_HTTP_SERVICE_UNAVAILABLE, "", 0);
	self.running++;
	record_request(upload);
	simulate_run_time();
	if (self.close) {
		result = MHD_NO;
	} else if (self.truncate) {
		result = reply_truncated(connection);
	} else if (self.fail) {
		result = reply(connection, MHD_HTTP_INTERNAL_SERVER_ERROR,
			       "failed", 6);
	} else {
		body = malloc(upload->len + 3);
		memcpy(body, "ok:", 3);
		if (upload->len)
			memcpy(body + 3, upload->data, upload->len);
		result = reply(connection, MHD_HTTP_OK, body, upload->len + 3);
		free(body);
	}
	self.running--;
	return result;
}

static void set_noise(const json_t *json)
{
	const char *kind =
		json_string_value(json_object_get(json, "noisy_kind"));

	pthread_mutex_lock(&self.lock);
	snprintf(self.noisy_kind, sizeof(self.noisy_kind), "%s",
		 kind ? kind : "");
	pthread_mutex_unlock(&self.lock);
	self.noise_ms =
		(int)json_integer_value(json_object_get(json, "noise_ms"));
	backend_tasks_set_throttling_unsupported(
		self.tasks, json_is_true(json_object_get(json, "unthrottled")));
}

static enum MHD_Result on_fault(struct MHD_Connection *connection,
				const upload_t *upload)
{
	json_t *json = json_loadb(upload->data, upload->len, 0, NULL);

	if (!json)
		return reply(connection, MHD_HTTP_BAD_REQUEST, "", 0);
	self.slow_ms =
		(int)json_integer_value(json_object_get(json, "slow_ms"));
	self.mute_ms =
		(int)json_integer_value(json_object_get(json, "mute_ms"));
	self.fail = json_is_true(json_object_get(json, "fail"));
	self.refuse = json_is_true(json_object_get(json, "refuse"));
	self.truncate = json_is_true(json_object_get(json, "truncate"));
	self.close = json_is_true(json_object_get(json, "close"));
	set_noise(json);
	json_decref(json);
	return reply(connection, MHD_HTTP_OK, "", 0);
}

static enum MHD_Result on_most(struct MHD_Connection *connection)
{
	char text[16];
	int len;

	pthread_mutex_lock(&self.lock);
	len = snprintf(text, sizeof(text), "%d\n", self.most_running);
	pthread_mutex_unlock(&self.lock);
	return reply(connection, MHD_HTTP_OK, text, (size_t)len);
}

static enum MHD_Result on_journal(struct MHD_Connection *connection)
{
	enum MHD_Result result;

	pthread_mutex_lock(&self.lock);
	result = reply(connection, MHD_HTTP_OK,
		       self.journal ? self.journal : "", self.journal_len);
	pthread_mutex_unlock(&self.lock);
	return result;
}

static enum MHD_Result on_task(struct MHD_Connection *connection,
			       const char *method, const char *url,
			       const upload_t *upload)
{
	unsigned status = MHD_HTTP_OK;
	char *body = backend_tasks_handle(self.tasks, method, url, upload->data,
					  upload->len, self.running, &status);
	enum MHD_Result result = reply(connection, status, body, strlen(body));

	free(body);
	return result;
}

static enum MHD_Result route(struct MHD_Connection *connection, const char *url,
			     const char *method, const upload_t *upload)
{
	if (!strcmp(url, "/v1/run"))
		return on_run(connection, upload);
	if (!strcmp(url, "/fault"))
		return on_fault(connection, upload);
	if (!strcmp(url, "/journal"))
		return on_journal(connection);
	if (!strcmp(url, "/most"))
		return on_most(connection);
	if (!strncmp(url, "/v1/tasks", 9))
		return on_task(connection, method, url, upload);
	if (!strcmp(url, "/drain")) {
		self.draining = true;
		return reply(connection, MHD_HTTP_OK, "", 0);
	}
	return reply(connection, MHD_HTTP_NOT_FOUND, "", 0);
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *size, void **context)
{
	upload_t *upload = *context;

	(void)cls;
	(void)version;
	if (!upload) {
		*context = calloc(1, sizeof(upload_t));
		return MHD_YES;
	}
	if (*size) {
		upload->data = realloc(upload->data, upload->len + *size);
		memcpy(upload->data + upload->len, data, *size);
		upload->len += *size;
		*size = 0;
		return MHD_YES;
	}
	return route(connection, url, method, upload);
}

static void on_completed(void *cls, struct MHD_Connection *connection,
			 void **context, enum MHD_RequestTerminationCode code)
{
	upload_t *upload = *context;

	(void)cls;
	(void)connection;
	(void)code;
	if (upload)
		free(upload->data);
	free(upload);
}

static size_t drop_data(char *data, size_t size, size_t count, void *arg)
{
	(void)data;
	(void)arg;
	return size * count;
}

static void announce(CURL *easy)
{
	char url[128];
	char body[256];

	snprintf(url, sizeof(url), "http://%s/v1/announce", self.agent);
	snprintf(body, sizeof(body),
		 "{\"address\":\"%s\",\"incarnation\":\"%s\",\"draining\":%s}",
		 self.announced, self.incarnation,
		 self.draining ? "true" : "false");
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 1000L);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, drop_data);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	curl_easy_perform(easy);
}

static void on_signal(int signum)
{
	(void)signum;
	self.draining = true;
	self.stop = true;
}

static struct MHD_Daemon *start_server(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	char host[64];
	char *port;

	snprintf(host, sizeof(host), "%s", self.listen);
	port = strchr(host, ':');
	if (!port)
		return NULL;
	*port = '\0';
	inet_pton(AF_INET, host, &address.sin_addr);
	address.sin_port = htons((uint16_t)strtoul(port + 1, NULL, 10));
	return MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION,
		0, NULL, NULL, on_request, NULL, MHD_OPTION_SOCK_ADDR, &address,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned)THREADS_MAX,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
		MHD_OPTION_END);
}

static int run(const char *listen, const char *announced, const char *agent)
{
	struct MHD_Daemon *daemon;
	CURL *easy = curl_easy_init();
	int rounds_left = 3;

	snprintf(self.listen, sizeof(self.listen), "%s", listen);
	snprintf(self.incarnation, sizeof(self.incarnation), "b%d",
		 (int)getpid());
	self.announced = announced;
	self.agent = agent;
	self.tasks = backend_tasks_create(self.incarnation);
	daemon = start_server();
	if (!daemon) {
		fprintf(stderr, "backend: cannot listen on %s\n", listen);
		return 1;
	}
	/* After the signal it announces a few more times that it is draining. */
	while (!self.stop || self.running ||
	       backend_tasks_count_running(self.tasks) || rounds_left-- > 0) {
		if (!self.mute_ms)
			announce(easy);
		usleep(ANNOUNCE_INTERVAL_MS * US_PER_MS);
	}
	MHD_stop_daemon(daemon);
	curl_easy_cleanup(easy);
	backend_tasks_free(self.tasks);
	free(self.journal);
	return 0;
}

int main(int argc, char **argv)
{
	struct arg_str *listen =
		arg_str1("l", "listen", "IP:PORT", "address to listen on");
	struct arg_str *agent =
		arg_str1("a", "agent", "IP:PORT", "address of its agent");
	struct arg_str *announced = arg_str0(NULL, "announce", "IP:PORT",
					     "address to announce, if another");
	struct arg_end *end = arg_end(4);
	void *table[] = { listen, agent, announced, end };
	int status;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "backend");
		return 2;
	}
	signal(SIGTERM, on_signal);
	signal(SIGPIPE, SIG_IGN);
	status = run(listen->sval[0],
		     announced->count ? announced->sval[0] : listen->sval[0],
		     agent->sval[0]);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
