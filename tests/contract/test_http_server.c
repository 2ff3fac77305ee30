/* Malformed, oversized, truncated and slow requests to the HTTP server. */
#include <arpa/inet.h>
#include <glib.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.h>

#include "http/server.h"

#define PORT 20777
#define BODY_MAX 4096
/** Limit of the server for slow senders, milliseconds. */
#define TIMEOUT_MS 1000
/** A slow sender is shut down within twice the limit, and some slack. */
#define SHUT_DOWN_MS (2 * TIMEOUT_MS + 2000)
/** Pause between the bytes of a slow sender, shorter than the idle limit. */
#define SLOW_MS 50
/** Stands for a connection that was closed without an answer. */
#define CLOSED 1
/** Most connections of a server. */
#define CONNECTIONS 16
/** More slow senders than connections, and the limit for them. */
#define SLOW_SENDERS 40
#define SLOW_SENDERS_TIMEOUT_MS 8000
/** Number of pairs of concurrent requests. */
#define PAIRS 200
/** A traffic thread that misses a wake-up sleeps longer, for a second. */
#define STALL_MS 900
/** Number of servers that end right after an answer. */
#define LAST_ANSWERS 50

typedef struct case_s {
	const char *name;
	const char *text; /* First part of the request. */
	size_t filler; /* Number of bytes 'x' sent after text. */
	const char *end; /* Text sent after the filler. */
	bool slow; /* Sends single bytes of text, then 'x' without end. */
	bool hang_up; /* Shuts down its side after sending. */
	unsigned statuses[3]; /* Accepted statuses. */
	unsigned handled; /* Requests that must reach the handler. */
	unsigned deadlines; /* Of these, those with the deadline "17". */
} case_t;

#define POST "POST /x HTTP/1.1\r\nHost: a\r\n"

static const case_t cases[] = {
	{ "good", POST "Content-Length: 2\r\n\r\nok", .statuses = { 200 },
	  .handled = 1 },
	{ "good-deadline",
	  POST "x-limit: 17\r\nX-Other: 18\r\nContent-Length: 2\r\n\r\nok",
	  .statuses = { 200 }, .handled = 1, .deadlines = 1 },
	{ "good-chunked",
	  POST "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	  .statuses = { 200 }, .handled = 1 },
	{ "no-request-line", "nonsense\r\n\r\n", .statuses = { 400, CLOSED } },
	{ "binary", "\x16\x03\x01\x02\x7f\xff\xfe\r\n\r\n",
	  .statuses = { 400, CLOSED } },
	{ "unknown-version", "GET / HTTP/7.3\r\n\r\n",
	  .statuses = { 400, 505, CLOSED } },
	{ "unknown-method", "BREW / HTTP/1.1\r\nHost: a\r\n\r\n",
	  .statuses = { 405 } },
	{ "no-colon", "GET / HTTP/1.1\r\nHost a\r\n\r\n", .statuses = { 400 } },
	{ "huge-line", "GET /", 65536, " HTTP/1.1\r\n\r\n",
	  .statuses = { 414, 431, 413 } },
	{ "huge-header", "GET / HTTP/1.1\r\nHost: a\r\nX: ", 65536, "\r\n\r\n",
	  .statuses = { 431, 413 } },
	{ "long-body", POST "Content-Length: 8192\r\n\r\n", 8192,
	  .statuses = { 413 } },
	{ "long-length", POST "Content-Length: 99999999999999999999999\r\n\r\n",
	  .statuses = { 400, 413 } },
	{ "long-chunk", POST "Transfer-Encoding: chunked\r\n\r\n2000\r\n", 8192,
	  "\r\n0\r\n\r\n", .statuses = { 413 } },
	{ "bad-length", POST "Content-Length: many\r\n\r\n",
	  .statuses = { 400 } },
	{ "negative-length", POST "Content-Length: -5\r\n\r\n",
	  .statuses = { 400 } },
	{ "two-lengths", POST "Content-Length: 2\r\nContent-Length: 5\r\n\r\n",
	  .end = "ok", .statuses = { 400 } },
	{ "length-list", POST "Content-Length: 2, 5\r\n\r\n", .end = "ok",
	  .statuses = { 400 } },
	{ "length-and-chunks",
	  POST "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
	  .end = "2\r\nok\r\n0\r\n\r\n", .statuses = { 400 } },
	{ "chunks-and-length",
	  POST "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n",
	  .end = "2\r\nok\r\n0\r\n\r\n", .statuses = { 400 } },
	{ "unknown-encoding", POST "Transfer-Encoding: gzip\r\n\r\n",
	  .end = "ok", .statuses = { 400 } },
	{ "very-long-body", POST "Content-Length: 2097152\r\n\r\n", 2097152,
	  .statuses = { 413 } },
	{ "bad-chunk", POST "Transfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n",
	  .statuses = { 400, CLOSED } },
	{ "short-body", POST "Content-Length: 10\r\n\r\nabc", .hang_up = true,
	  .statuses = { 400, CLOSED } },
	{ "short-chunk", POST "Transfer-Encoding: chunked\r\n\r\na\r\nabc",
	  .hang_up = true, .statuses = { 400, CLOSED } },
	{ "half-header", "POST /x HTTP/1.1\r\nHo", .hang_up = true,
	  .statuses = { 400, CLOSED } },
	{ "stalled-header", "POST /x HTTP/1.1\r\nHo",
	  .statuses = { 408, CLOSED } },
	{ "stalled-body", POST "Content-Length: 10\r\n\r\nabc",
	  .statuses = { 408, CLOSED } },
	{ "slow-header", "POST /x HTTP/1.1\r\nX: ", .slow = true,
	  .statuses = { 408, CLOSED } },
	{ "slow-body", POST "Content-Length: 4000\r\n\r\n", .slow = true,
	  .statuses = { 408, CLOSED } },
};

/* ======   Caller, in its own thread   ====== */

typedef struct caller_s {
	const case_t *test;
	const char *host;
	int done[2]; /* Socket pair that signals the end to the loop. */
	unsigned status; /* HTTP status of the case. */
	unsigned
		parallel_status; /* HTTP status of a good concurrent request. */
	gint64 elapsed_us;
	unsigned stall_count;
	unsigned timeout_ms; /* Limit for slow senders; 0: TIMEOUT_MS. */
} caller_t;

static int open_connection(const caller_t *caller)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(PORT) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, caller->host, &address.sin_addr);
	g_assert_cmpint(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), ==,
		0);
	return fd;
}

static bool send_all(int fd, const char *text, size_t len)
{
	while (len) {
		ssize_t sent = send(fd, text, len, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		text += sent;
		len -= (size_t)sent;
	}
	return true;
}

static void send_filler(int fd, size_t len)
{
	char *filler = g_strnfill(len, 'x');

	send_all(fd, filler, len);
	g_free(filler);
}

static bool is_readable(int fd, int wait_ms)
{
	struct pollfd poll_fd = { fd, POLLIN, 0 };

	return poll(&poll_fd, 1, wait_ms) > 0;
}

/* Sends single bytes until the server answers or closes the connection. */
static void send_slowly(int fd, const char *text)
{
	gint64 limit_us = g_get_monotonic_time() + 2 * SHUT_DOWN_MS * 1000;

	while (!is_readable(fd, SLOW_MS) && g_get_monotonic_time() < limit_us) {
		send_all(fd, *text ? text : "x", 1);
		text += *text != '\0';
	}
}

/* Returns the status of the answer, or CLOSED. */
static unsigned read_status(int fd)
{
	char head[64] = "";
	size_t len = 0;
	unsigned status = CLOSED;

	while (len < sizeof(head) - 1 && is_readable(fd, 2 * SHUT_DOWN_MS)) {
		ssize_t got = recv(fd, head + len, sizeof(head) - 1 - len, 0);

		if (got <= 0)
			break;
		len += (size_t)got;
		head[len] = '\0';
		if (strchr(head, '\n'))
			break;
	}
	if (g_str_has_prefix(head, "HTTP/1.") && len > 12)
		status = (unsigned)g_ascii_strtoull(head + 9, NULL, 10);
	return status;
}

static unsigned send_good_request(const caller_t *caller)
{
	int fd = open_connection(caller);
	unsigned status;

	send_all(fd, cases[0].text, strlen(cases[0].text));
	status = read_status(fd);
	close(fd);
	return status;
}

/* Sends pairs of concurrent requests and counts those that were delayed. */
static gpointer run_pairs(gpointer data)
{
	caller_t *caller = data;

	for (int i = 0; i < PAIRS; i++) {
		gint64 start_us = g_get_monotonic_time();
		int first = open_connection(caller);

		send_all(first, cases[0].text, strlen(cases[0].text));
		caller->parallel_status = send_good_request(caller);
		caller->status = read_status(first);
		close(first);
		if (g_get_monotonic_time() - start_us > STALL_MS * 1000)
			caller->stall_count++;
	}
	send_all(caller->done[1], "x", 1);
	return NULL;
}

static gpointer run_caller(gpointer data)
{
	caller_t *caller = data;
	const case_t *test = caller->test;
	gint64 start_us = g_get_monotonic_time();
	int fd = open_connection(caller);

	if (test->slow)
		send_slowly(fd, test->text);
	else
		send_all(fd, test->text, strlen(test->text));
	if (test->filler)
		send_filler(fd, test->filler);
	if (test->end)
		send_all(fd, test->end, strlen(test->end));
	if (test->hang_up)
		shutdown(fd, SHUT_WR);
	caller->parallel_status = send_good_request(caller);
	caller->status = read_status(fd);
	caller->elapsed_us = g_get_monotonic_time() - start_us;
	close(fd);
	send_all(caller->done[1], "x", 1);
	return NULL;
}

/* Opens more slow senders than connections, then sends a good request. */
static gpointer run_slow_senders(gpointer data)
{
	static const char start[] = "POST /x HTTP/1.1\r\nHo";
	caller_t *caller = data;
	gint64 start_us;
	int fds[SLOW_SENDERS];

	for (int i = 0; i < SLOW_SENDERS; i++) {
		fds[i] = open_connection(caller);
		send_all(fds[i], start, sizeof(start) - 1);
	}
	start_us = g_get_monotonic_time();
	caller->parallel_status = send_good_request(caller);
	caller->elapsed_us = g_get_monotonic_time() - start_us;
	for (int i = 0; i < SLOW_SENDERS; i++)
		close(fds[i]);
	send_all(caller->done[1], "x", 1);
	return NULL;
}

/* ======   Server   ====== */

typedef struct fixture_s {
	gn_http_server_t *server;
	unsigned handled;
	unsigned deadlines;
	bool done;
} fixture_t;

static void on_request(void *arg, gn_http_request_t *request)
{
	fixture_t *fixture = arg;

	fixture->handled++;
	fixture->deadlines += !g_strcmp0(request->deadline, "17");
	g_assert_cmpuint(request->body_len, ==, 2);
	g_assert_cmpint(memcmp(request->body, "ok", 2), ==, 0);
	request->answer.status = 200;
	gn_http_server_answer(fixture->server, request);
}

static void on_done(struct tevent_context *events, struct tevent_fd *event,
		    uint16_t flags, void *arg)
{
	fixture_t *fixture = arg;

	(void)events;
	(void)event;
	(void)flags;
	fixture->done = true;
}

static bool is_accepted_status(const case_t *test, unsigned status)
{
	for (size_t i = 0; i < G_N_ELEMENTS(test->statuses); i++)
		if (test->statuses[i] && test->statuses[i] == status)
			return true;
	return false;
}

/* The address depends on the process id, so that runs don't collide. */
static void write_address(char *host, size_t host_size, char *address,
			  size_t address_size)
{
	g_snprintf(host, host_size, "127.77.%u.%u",
		   (unsigned)getpid() / 250 % 250,
		   1 + (unsigned)getpid() % 250);
	g_snprintf(address, address_size, "%s:%u", host, PORT);
}

static void run_test(caller_t *caller, GThreadFunc run, unsigned handled)
{
	struct tevent_context *events = tevent_context_init(NULL);
	void *zmq = zmq_ctx_new();
	fixture_t fixture = { 0 };
	gn_error_t error = { 0 };
	char host[16];
	char address[32];
	gn_http_server_config_t config = {
		.events = events,
		.zmq = zmq,
		.address = address,
		.connections = CONNECTIONS,
		.timeout_ms =
			caller->timeout_ms ? caller->timeout_ms : TIMEOUT_MS,
		.threads = 1,
		.body_max = BODY_MAX,
		.deadline_header = "X-Limit",
		.counters = gn_counters_create(events),
		.handler = on_request,
		.arg = &fixture,
	};
	GThread *thread;

	write_address(host, sizeof(host), address, sizeof(address));
	caller->host = host;
	g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM, 0, caller->done), ==,
			0);
	g_assert_cmpint(
		gn_http_server_start(events, &config, &fixture.server, &error),
		==, GN_OK);
	tevent_add_fd(events, events, caller->done[0], TEVENT_FD_READ, on_done,
		      &fixture);
	thread = g_thread_new("caller", run, caller);
	while (!fixture.done)
		g_assert_cmpint(tevent_loop_once(events), ==, 0);
	g_thread_join(thread);
	g_assert_cmpuint(caller->parallel_status, ==, 200);
	g_assert_cmpuint(fixture.handled, ==, handled);
	g_assert_cmpuint(fixture.deadlines, ==,
			 caller->test ? caller->test->deadlines : 0);
	TALLOC_FREE(fixture.server);
	close(caller->done[0]);
	close(caller->done[1]);
	talloc_free(events);
	zmq_ctx_term(zmq);
}

static void test_case(gconstpointer data)
{
	const case_t *test = data;
	caller_t caller = { .test = test };

	run_test(&caller, run_caller, test->handled + 1);
	g_test_message("status %u after %d ms", caller.status,
		       (int)(caller.elapsed_us / 1000));
	g_assert_true(is_accepted_status(test, caller.status));
	g_assert_cmpint(caller.elapsed_us, <, SHUT_DOWN_MS * 1000);
}

static void test_no_stall(void)
{
	caller_t caller = { 0 };

	run_test(&caller, run_pairs, 2 * PAIRS);
	g_assert_cmpuint(caller.stall_count, ==, 0);
}

/* Slow senders are shut down for a new request before their limit is over. */
static void test_slow_senders_give_way(void)
{
	caller_t caller = { .timeout_ms = SLOW_SENDERS_TIMEOUT_MS };

	run_test(&caller, run_slow_senders, 1);
	g_assert_cmpint(caller.elapsed_us, <, SLOW_SENDERS_TIMEOUT_MS * 1000);
}

static void keep_request(void *arg, gn_http_request_t *request)
{
	*(gn_http_request_t **)arg = request;
}

static gpointer run_good_request(gpointer data)
{
	caller_t *caller = data;

	caller->status = send_good_request(caller);
	return NULL;
}

/* Frees the server right after its answer and returns the caller's status. */
static unsigned get_status_of_last_answer(void)
{
	struct tevent_context *events = tevent_context_init(NULL);
	void *zmq = zmq_ctx_new();
	gn_http_request_t *request = NULL;
	gn_http_server_t *server;
	gn_error_t error = { 0 };
	caller_t caller = { 0 };
	char host[16];
	char address[32];
	gn_http_server_config_t config = {
		.events = events,
		.zmq = zmq,
		.address = address,
		.connections = CONNECTIONS,
		.timeout_ms = TIMEOUT_MS,
		.threads = 1,
		.body_max = BODY_MAX,
		.counters = gn_counters_create(events),
		.handler = keep_request,
		.arg = &request,
	};
	GThread *thread;

	write_address(host, sizeof(host), address, sizeof(address));
	caller.host = host;
	g_assert_cmpint(gn_http_server_start(events, &config, &server, &error),
			==, GN_OK);
	thread = g_thread_new("caller", run_good_request, &caller);
	while (!request)
		g_assert_cmpint(tevent_loop_once(events), ==, 0);
	request->answer.status = 200;
	gn_http_server_answer(server, request);
	TALLOC_FREE(server);
	g_thread_join(thread);
	talloc_free(events);
	zmq_ctx_term(zmq);
	return caller.status;
}

static void test_answer_before_the_end_is_sent(void)
{
	unsigned lost = 0;

	for (int i = 0; i < LAST_ANSWERS; i++)
		lost += get_status_of_last_answer() != 200;
	g_assert_cmpuint(lost, ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = g_strdup_printf("/http_server/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], test_case);
		g_free(path);
	}
	g_test_add_func("/http_server/no-stall", test_no_stall);
	g_test_add_func("/http_server/slow_senders_give_way",
			test_slow_senders_give_way);
	g_test_add_func("/http_server/answer_before_the_end_is_sent",
			test_answer_before_the_end_is_sent);
	return g_test_run();
}
