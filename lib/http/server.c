#include "http/server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netdb.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/str.h"
#include "http/server_internal.h"

/** Memory for the headers of one connection, bytes. */
#define CONNECTION_MEMORY 16384
#define LISTEN_BACKLOG 1024
/** Time for callers to take the last answers when the server ends. */
#define LAST_ANSWERS_US (100 * GN_US_PER_MS)
/** Maximum sleep of a traffic thread, milliseconds. */
#define POLL_MAX_MS 1000

struct gn_http_server_s {
	http_thread_t *threads;
	unsigned thread_count;
	gn_http_handler_t handler;
	void *arg;
	size_t pending;
	bool quiesced;
};

char http_thread_wake;
char http_thread_stop;

/* Handles the items in the pipe; returns false to stop the thread. */
static bool handle_items(http_thread_t *thread, bool *received)
{
	void *item;

	*received = false;
	while ((item = gn_pipe_receive(thread->traffic_end))) {
		*received = true;
		if (item == &http_thread_stop)
			return false;
		if (item != &http_thread_wake)
			http_exchange_resume(
				((gn_http_request_t *)item)->connection);
	}
	return true;
}

static int poll_timeout_ms(struct MHD_Daemon *daemon)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	if (MHD_get_timeout(daemon, &timeout_ms) != MHD_YES ||
	    timeout_ms > POLL_MAX_MS)
		return POLL_MAX_MS;
	return (int)timeout_ms;
}

void *http_thread_run(void *arg)
{
	http_thread_t *thread = arg;
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(thread->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	struct pollfd fds[2] = {
		{ .fd = info->epoll_fd, .events = POLLIN },
		{ .fd = gn_pipe_fd(thread->traffic_end), .events = POLLIN },
	};
	bool quiesced = false;
	bool received;

	while (handle_items(thread, &received)) {
		if (!quiesced && atomic_load(&thread->quiesce)) {
			int fd = (int)MHD_quiesce_daemon(thread->daemon);

			if (fd >= 0)
				close(fd);
			quiesced = true;
		}
		thread->has_closed_connection = false;
		MHD_run(thread->daemon);
		http_connections_sweep(thread);
		/* A send from a callback can clear the pipe's edge. */
		if (!handle_items(thread, &received))
			break;
		/*
		 * MHD_get_timeout() ignores connections that were just resumed.
		 * After the limit of connections was reached, only the next
		 * run accepts new ones.
		 */
		poll(fds, 2,
		     received || thread->has_closed_connection
			     ? 0
			     : poll_timeout_ms(thread->daemon));
	}
	return NULL;
}

static int open_socket(const char *address, gn_error_t *error)
{
	struct addrinfo hints = { .ai_flags = AI_NUMERICHOST | AI_NUMERICSERV,
				  .ai_socktype = SOCK_STREAM };
	struct addrinfo *info = NULL;
	char host[GN_ADDRESS_MAX + 1];
	char *port;
	const int on = 1;
	int fd = -1;

	gn_error_set(error, GN_ERR_INVALID, "listen", address,
		     "not an IP:PORT address");
	if (gn_str_copy(host, sizeof(host), gn_str_from(address)))
		return -1;
	port = strrchr(host, ':');
	if (!port)
		return -1;
	*port = '\0';
	if (getaddrinfo(host, port + 1, &hints, &info))
		return -1;
	fd = socket(info->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		    0);
	if (fd < 0)
		goto out;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
	if (bind(fd, info->ai_addr, info->ai_addrlen) ||
	    listen(fd, LISTEN_BACKLOG)) {
		gn_error_set(error, GN_ERR_SYSTEM, "listen", address, "%s",
			     strerror(errno));
		close(fd);
		fd = -1;
	}
out:
	freeaddrinfo(info);
	return fd;
}

static void on_item(void *arg, void *item)
{
	http_thread_t *thread = arg;

	thread->server->pending++;
	thread->server->handler(thread->server->arg, item);
}

static unsigned get_idle_s(const gn_http_server_config_t *config)
{
	return (config->timeout_ms + 999) / 1000;
}

static struct MHD_Daemon *start_daemon(http_thread_t *thread, int fd,
				       const gn_http_server_config_t *config)
{
	unsigned timeout_s = get_idle_s(config);

	return MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
		http_on_request, thread, MHD_OPTION_LISTEN_SOCKET, fd,
		MHD_OPTION_CONNECTION_LIMIT, thread->connections_max,
		MHD_OPTION_CONNECTION_TIMEOUT, timeout_s,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY,
		MHD_OPTION_NOTIFY_COMPLETED, http_on_completed, thread,
		MHD_OPTION_NOTIFY_CONNECTION, http_on_connection, thread,
		MHD_OPTION_END);
}

static gn_code_t start_thread(gn_http_server_t *server, http_thread_t *thread,
			      const gn_http_server_config_t *config,
			      gn_error_t *error)
{
	int fd;

	thread->server = server;
	thread->body_max = config->body_max;
	thread->deadline_header = config->deadline_header;
	thread->connections_max =
		(config->connections + config->threads - 1) / config->threads;
	thread->timeout_us = (uint64_t)config->timeout_ms * GN_US_PER_MS;
	thread->idle_us = get_idle_s(config) * GN_US_PER_S;
	thread->requests = gn_counters_get(config->counters, "http.requests");
	thread->refused = gn_counters_get(config->counters, "http.refused");
	thread->slow = gn_counters_get(config->counters, "http.slow");
	http_connections_open(thread);
	gn_clock_init_boot(&thread->clock);
	if (gn_pipe_open(server, config->zmq, &thread->control_end,
			 &thread->traffic_end, error))
		return error->code;
	if (gn_pipe_attach(thread->control_end, config->events, on_item,
			   thread))
		return gn_error_set(error, GN_ERR_MEMORY, "start http",
				    config->address, "out of memory");
	fd = open_socket(config->address, error);
	if (fd < 0)
		return error->code;
	thread->daemon = start_daemon(thread, fd, config);
	if (!thread->daemon) {
		close(fd);
		return gn_error_set(error, GN_ERR_SYSTEM, "start http",
				    config->address, "%s", strerror(errno));
	}
	if (pthread_create(&thread->thread, NULL, http_thread_run, thread))
		return gn_error_set(error, GN_ERR_SYSTEM, "start http",
				    config->address, "cannot create a thread");
	thread->running = true;
	return GN_OK;
}

/*
 * Resumes the connections whose requests or answers are still in the pipe;
 * libmicrohttpd aborts if it stops with a suspended connection.
 */
static void resume_unanswered(http_thread_t *thread)
{
	gn_http_request_t *request;
	bool received;

	handle_items(thread, &received);
	while ((request = gn_pipe_receive(thread->control_end))) {
		request->answer.status = MHD_HTTP_SERVICE_UNAVAILABLE;
		http_exchange_resume(request->connection);
	}
}

/*
 * Sends the answers given shortly before the end, after the traffic thread has
 * stopped. A caller that does not read in time loses its answer.
 */
static void send_last_answers(http_thread_t *thread)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(thread->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	uint64_t end_us = gn_clock_now_us(&thread->clock) + LAST_ANSWERS_US;
	struct pollfd fd = { .fd = info->epoll_fd, .events = POLLIN };

	MHD_run(thread->daemon);
	while (thread->unsent && gn_clock_now_us(&thread->clock) < end_us) {
		poll(&fd, 1, 1);
		MHD_run(thread->daemon);
	}
}

static int server_destructor(gn_http_server_t *server)
{
	for (unsigned i = 0; i < server->thread_count; i++) {
		http_thread_t *thread = &server->threads[i];

		if (thread->running) {
			gn_pipe_send(thread->control_end, &http_thread_stop);
			pthread_join(thread->thread, NULL);
			resume_unanswered(thread);
			send_last_answers(thread);
		}
		if (thread->daemon)
			MHD_stop_daemon(thread->daemon);
		http_connections_close(thread);
	}
	return 0;
}

gn_code_t gn_http_server_start(TALLOC_CTX *parent,
			       const gn_http_server_config_t *config,
			       gn_http_server_t **result, gn_error_t *error)
{
	gn_http_server_t *server = talloc_zero(parent, gn_http_server_t);

	if (!server)
		goto no_memory;
	server->threads =
		talloc_zero_array(server, http_thread_t, config->threads);
	if (!server->threads)
		goto no_memory;
	server->handler = config->handler;
	server->arg = config->arg;
	server->thread_count = config->threads;
	talloc_set_destructor(server, server_destructor);
	for (unsigned i = 0; i < config->threads; i++) {
		if (start_thread(server, &server->threads[i], config, error)) {
			talloc_free(server);
			return error->code;
		}
	}
	*result = server;
	return GN_OK;
no_memory:
	talloc_free(server);
	return gn_error_set(error, GN_ERR_MEMORY, "start http", config->address,
			    "out of memory");
}

void gn_http_server_answer(gn_http_server_t *server, gn_http_request_t *request)
{
	http_exchange_t *exchange = request->connection;

	server->pending--;
	gn_pipe_send(exchange->thread->control_end, request);
}

void gn_http_server_quiesce(gn_http_server_t *server)
{
	if (server->quiesced)
		return;
	server->quiesced = true;
	for (unsigned i = 0; i < server->thread_count; i++) {
		atomic_store(&server->threads[i].quiesce, true);
		gn_pipe_send(server->threads[i].control_end, &http_thread_wake);
	}
}

size_t gn_http_server_pending(const gn_http_server_t *server)
{
	return server->pending;
}

bool gn_http_server_is_idle(const gn_http_server_t *server)
{
	if (server->pending)
		return false;
	for (unsigned i = 0; i < server->thread_count; i++)
		if (atomic_load(&server->threads[i].connections))
			return false;
	return true;
}
