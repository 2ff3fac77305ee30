/**
 * @file relay.c
 * @brief A TCP relay that injects network faults between two processes.
 *
 * POST /fault on the control address sets faults:
 *   {"black_hole": true}  open connections carry no more data, but are neither
 *                         closed nor reset; new connections work
 *   {"cut": true|false}   resets all connections, and new ones until unset
 *   {"delay_ms": N}       delays each chunk of data by N milliseconds
 * The request is answered once the fault is in effect. GET /connections returns
 * the numbers of connections accepted so far, open now, and silent (open, but
 * carrying no more data).
 */
#include <argtable2.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <microhttpd.h>
#include <poll.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clock.h"

#define PAIRS_MAX 256
#define CHUNK_SIZE 16384
/** Longest sleep of the event loop, milliseconds. */
#define POLL_MS 5
/** Longest wait for a fault to take effect, milliseconds. */
#define FAULT_WAIT_MS 1000
#define BODY_MAX 1024

/* Data that was read from one end and not yet written to the other. */
typedef struct chunk_s {
	char data[CHUNK_SIZE];
	size_t len;
	size_t sent;
	uint64_t due_us;
} chunk_t;

/* A relayed connection: from the client [0] and to the target [1]. */
typedef struct pair_s {
	int fds[2];
	chunk_t chunks[2]; /* chunks[i] was read from fds[i] */
	bool silent;
} pair_t;

static struct {
	struct sockaddr_in target;
	int listener;
	pair_t *pairs[PAIRS_MAX];
	gn_clock_t clock;
	atomic_bool stop;
	atomic_bool black_hole; /* cleared by the loop once in effect */
	atomic_bool cut;
	atomic_uint delay_ms;
	atomic_uint rounds;
	atomic_uint accepted;
	atomic_uint open;
	atomic_uint silent;
} relay;

static bool parse_address(const char *text, struct sockaddr_in *address)
{
	char host[64];
	char *port;

	snprintf(host, sizeof(host), "%s", text);
	port = strchr(host, ':');
	if (!port)
		return false;
	*port = '\0';
	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	address->sin_port = htons((uint16_t)strtoul(port + 1, NULL, 10));
	return inet_pton(AF_INET, host, &address->sin_addr) == 1;
}

/* ======   Event loop   ====== */

static void reset_socket(int fd)
{
	const struct linger at_once = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
	close(fd);
}

static void close_pair(unsigned index, bool reset)
{
	pair_t *pair = relay.pairs[index];

	for (int i = 0; i < 2; i++) {
		if (reset)
			reset_socket(pair->fds[i]);
		else
			close(pair->fds[i]);
	}
	relay.open--;
	relay.silent -= pair->silent;
	relay.pairs[index] = NULL;
	free(pair);
}

static int connect_target(void)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	if (connect(fd, (struct sockaddr *)&relay.target,
		    sizeof(relay.target))) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

static unsigned find_free_slot(void)
{
	unsigned index = 0;

	while (index < PAIRS_MAX && relay.pairs[index])
		index++;
	return index;
}

static void accept_connection(unsigned index)
{
	int fd = accept4(relay.listener, NULL, NULL,
			 SOCK_NONBLOCK | SOCK_CLOEXEC);
	int target;
	pair_t *pair;

	if (fd < 0)
		return;
	target = relay.cut ? -1 : connect_target();
	pair = target < 0 ? NULL : calloc(1, sizeof(*pair));
	if (!pair) {
		reset_socket(fd);
		if (target >= 0)
			close(target);
		return;
	}
	pair->fds[0] = fd;
	pair->fds[1] = target;
	relay.pairs[index] = pair;
	relay.accepted++;
	relay.open++;
}

static void apply_pending_faults(void)
{
	bool black_hole = relay.black_hole;

	for (unsigned i = 0; i < PAIRS_MAX; i++) {
		pair_t *pair = relay.pairs[i];

		if (pair && relay.cut) {
			close_pair(i, true);
		} else if (pair && black_hole && !pair->silent) {
			pair->silent = true;
			relay.silent++;
		}
	}
	if (black_hole)
		relay.black_hole = false;
	relay.rounds++;
}

static bool is_retryable(void)
{
	return errno == EAGAIN || errno == EINTR;
}

/* Reads a chunk from end @p from. False if that end has closed. */
static bool read_chunk(pair_t *pair, int from)
{
	chunk_t *chunk = &pair->chunks[from];
	ssize_t len = recv(pair->fds[from], chunk->data, CHUNK_SIZE, 0);

	if (len <= 0)
		return len < 0 && is_retryable();
	chunk->len = (size_t)len;
	chunk->sent = 0;
	chunk->due_us = gn_clock_now_us(&relay.clock) +
			(uint64_t)relay.delay_ms * GN_US_PER_MS;
	return true;
}

/* Writes a chunk read from end @p from. False if the other end has closed. */
static bool write_chunk(pair_t *pair, int from)
{
	chunk_t *chunk = &pair->chunks[from];
	ssize_t len = send(pair->fds[!from], chunk->data + chunk->sent,
			   chunk->len - chunk->sent, MSG_NOSIGNAL);

	if (len < 0)
		return is_retryable();
	chunk->sent += (size_t)len;
	if (chunk->sent == chunk->len)
		chunk->len = 0;
	return true;
}

static bool forward(pair_t *pair, int from)
{
	chunk_t *chunk = &pair->chunks[from];

	if (!chunk->len && !read_chunk(pair, from))
		return false;
	if (chunk->len && chunk->due_us <= gn_clock_now_us(&relay.clock))
		return write_chunk(pair, from);
	return true;
}

static short get_poll_events(const pair_t *pair, int end)
{
	uint64_t now_us = gn_clock_now_us(&relay.clock);
	const chunk_t *out = &pair->chunks[!end];
	short events = pair->chunks[end].len ? 0 : POLLIN;

	if (out->len && out->due_us <= now_us)
		events |= POLLOUT;
	return events;
}

static void wait_for_events(unsigned slot)
{
	struct pollfd fds[2 * PAIRS_MAX + 1];
	nfds_t count = 0;

	if (slot < PAIRS_MAX)
		fds[count++] = (struct pollfd){ relay.listener, POLLIN, 0 };
	for (unsigned i = 0; i < PAIRS_MAX; i++) {
		const pair_t *pair = relay.pairs[i];

		for (int end = 0; pair && !pair->silent && end < 2; end++)
			fds[count++] = (struct pollfd){
				pair->fds[end], get_poll_events(pair, end), 0
			};
	}
	poll(fds, count, POLL_MS);
}

static void run_loop(void)
{
	while (!relay.stop) {
		unsigned slot = find_free_slot();

		wait_for_events(slot);
		apply_pending_faults();
		if (slot < PAIRS_MAX)
			accept_connection(slot);
		for (unsigned i = 0; i < PAIRS_MAX; i++) {
			pair_t *pair = relay.pairs[i];

			if (!pair || pair->silent)
				continue;
			if (!forward(pair, 0) || !forward(pair, 1))
				close_pair(i, false);
		}
	}
}

/* ======   Control   ====== */

typedef struct upload_s {
	char data[BODY_MAX];
	size_t len;
} upload_t;

static enum MHD_Result reply(struct MHD_Connection *connection, unsigned status,
			     const char *body)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(body), (void *)body, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result =
		MHD_queue_response(connection, status, response);

	MHD_destroy_response(response);
	return result;
}

static void wait_for_effect(void)
{
	unsigned before = relay.rounds;

	/* Two rounds, because the current one may have begun before. */
	for (int i = 0; i < FAULT_WAIT_MS && relay.rounds - before < 2; i++)
		usleep(GN_US_PER_MS);
}

static enum MHD_Result on_fault(struct MHD_Connection *connection,
				const upload_t *upload)
{
	json_t *json = json_loadb(upload->data, upload->len, 0, NULL);

	if (!json)
		return reply(connection, MHD_HTTP_BAD_REQUEST, "");
	relay.cut = json_is_true(json_object_get(json, "cut"));
	relay.delay_ms =
		(unsigned)json_integer_value(json_object_get(json, "delay_ms"));
	relay.black_hole = json_is_true(json_object_get(json, "black_hole"));
	json_decref(json);
	wait_for_effect();
	return reply(connection, MHD_HTTP_OK, "");
}

static enum MHD_Result on_connections(struct MHD_Connection *connection)
{
	char body[128];

	snprintf(body, sizeof(body), "{\"made\":%u,\"open\":%u,\"silent\":%u}",
		 relay.accepted, relay.open, relay.silent);
	return reply(connection, MHD_HTTP_OK, body);
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *size, void **context)
{
	upload_t *upload = *context;

	(void)cls;
	(void)method;
	(void)version;
	if (!upload) {
		*context = calloc(1, sizeof(upload_t));
		return *context ? MHD_YES : MHD_NO;
	}
	if (*size) {
		if (*size > sizeof(upload->data) - upload->len)
			return MHD_NO;
		memcpy(upload->data + upload->len, data, *size);
		upload->len += *size;
		*size = 0;
		return MHD_YES;
	}
	if (!strcmp(url, "/fault"))
		return on_fault(connection, upload);
	if (!strcmp(url, "/connections"))
		return on_connections(connection);
	return reply(connection, MHD_HTTP_NOT_FOUND, "");
}

static void on_completed(void *cls, struct MHD_Connection *connection,
			 void **context, enum MHD_RequestTerminationCode code)
{
	(void)cls;
	(void)connection;
	(void)code;
	free(*context);
}

static int open_listener(const char *text)
{
	struct sockaddr_in address;
	const int enable = 1;
	int fd;

	if (!parse_address(text, &address))
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(fd, PAIRS_MAX)) {
		close(fd);
		return -1;
	}
	return fd;
}

static struct MHD_Daemon *start_control(const char *text)
{
	struct sockaddr_in address;

	if (!parse_address(text, &address))
		return NULL;
	return MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL,
				on_request, NULL, MHD_OPTION_SOCK_ADDR,
				&address, MHD_OPTION_LISTENING_ADDRESS_REUSE,
				1U, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
				NULL, MHD_OPTION_END);
}

static void on_signal(int signum)
{
	(void)signum;
	relay.stop = true;
}

static int serve(const char *listen, const char *to, const char *control)
{
	struct MHD_Daemon *daemon = NULL;
	int status = EXIT_FAILURE;

	gn_clock_init_boot(&relay.clock);
	relay.listener = open_listener(listen);
	if (relay.listener < 0 || !parse_address(to, &relay.target)) {
		fprintf(stderr,
			"relay: cannot listen on %s or parse target %s\n",
			listen, to);
		goto out;
	}
	daemon = start_control(control);
	if (!daemon) {
		fprintf(stderr, "relay: cannot listen on control address %s\n",
			control);
		goto out;
	}
	run_loop();
	status = EXIT_SUCCESS;
out:
	if (daemon)
		MHD_stop_daemon(daemon);
	for (unsigned i = 0; i < PAIRS_MAX; i++)
		if (relay.pairs[i])
			close_pair(i, false);
	if (relay.listener >= 0)
		close(relay.listener);
	return status;
}

int main(int argc, char **argv)
{
	struct arg_str *listen =
		arg_str1(NULL, "listen", "IP:PORT", "address to listen on");
	struct arg_str *to =
		arg_str1(NULL, "to", "IP:PORT", "address to relay to");
	struct arg_str *control = arg_str1(NULL, "control", "IP:PORT",
					   "address to set faults on");
	struct arg_end *end = arg_end(4);
	void *table[] = { listen, to, control, end };
	int status;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "relay");
		return 2;
	}
	signal(SIGTERM, on_signal);
	signal(SIGPIPE, SIG_IGN);
	status = serve(listen->sval[0], to->sval[0], control->sval[0]);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
