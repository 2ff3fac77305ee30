/* Requests that must not be sent twice. */
#include <arpa/inet.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>
#include <zmq.h>

#include "common/counter.h"
#include "http/client.h"

static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

typedef struct server_s {
	int listener;
	unsigned port;
	unsigned requests;
} server_t;

typedef struct outcome_s {
	bool done;
	gn_code_t code;
} outcome_t;

/* Reads a request with its body, which may come apart from the headers. */
static bool read_request(int fd)
{
	char text[4096] = "";
	size_t len = 0;
	ssize_t got;

	while (!strstr(text, "\r\n\r\n{}")) {
		got = recv(fd, text + len, sizeof(text) - 1 - len, 0);
		if (got <= 0)
			return false;
		len += (size_t)got;
		text[len] = '\0';
	}
	return true;
}

/* Answers one request; reads the next one, and is gone. */
static gpointer serve(gpointer data)
{
	server_t *server = data;
	int fd = accept(server->listener, NULL, NULL);

	if (read_request(fd)) {
		server->requests++;
		send(fd, answer, strlen(answer), MSG_NOSIGNAL);
	}
	server->requests += read_request(fd);
	close(server->listener);
	close(fd);
	return NULL;
}

static void listen_on_any_port(server_t *server)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t len = sizeof(address);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	server->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	g_assert_cmpint(bind(server->listener, (struct sockaddr *)&address,
			     sizeof(address)),
			==, 0);
	g_assert_cmpint(listen(server->listener, 4), ==, 0);
	getsockname(server->listener, (struct sockaddr *)&address, &len);
	server->port = ntohs(address.sin_port);
}

static void on_done(void *arg, const gn_http_call_t *call)
{
	outcome_t *outcome = arg;

	outcome->done = true;
	outcome->code = call->code;
}

static gn_code_t post(struct tevent_context *events, gn_http_client_t *client,
		      unsigned port)
{
	gn_http_call_t *call = gn_http_call_create();
	outcome_t outcome = { 0 };

	call->method = GN_HTTP_POST;
	g_snprintf(call->url, sizeof(call->url), "http://127.0.0.1:%u/run",
		   port);
	call->json = true;
	call->body = strdup("{}");
	call->body_len = 2;
	call->timeout_ms = 5000;
	call->send_once = true;
	call->done = on_done;
	call->arg = &outcome;
	gn_http_client_call(client, call);
	while (!outcome.done)
		g_assert_cmpint(tevent_loop_once(events), ==, 0);
	return outcome.code;
}

/* libcurl connects again for it, and is refused. */
static void test_request_that_was_read_does_not_count_as_unsent(void)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct tevent_context *events = tevent_context_init(ctx);
	void *zmq = zmq_ctx_new();
	const gn_http_client_config_t config = {
		.events = events,
		.zmq = zmq,
		.host_connections = 4,
		.answer_max = 4096,
		.counters = gn_counters_create(ctx),
	};
	gn_http_client_t *client;
	gn_error_t error = { 0 };
	server_t server = { 0 };
	GThread *thread;

	listen_on_any_port(&server);
	thread = g_thread_new("server", serve, &server);
	g_assert_cmpint(gn_http_client_start(ctx, &config, &client, &error), ==,
			GN_OK);
	g_assert_cmpint(post(events, client, server.port), ==, GN_OK);
	g_assert_cmpint(post(events, client, server.port), !=,
			GN_ERR_UNAVAILABLE);
	g_thread_join(thread);
	g_assert_cmpuint(server.requests, ==, 2);
	talloc_free(ctx);
	zmq_ctx_term(zmq);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
		"/http-client/request_that_was_read_does_not_count_as_unsent",
		test_request_that_was_read_does_not_count_as_unsent);
	return g_test_run();
}
