/**
 * @file relay.c
 * @brief A TCP relay that stands for what lies between two ends.
 *
 * POST /fault on the control address sets faults:
 *   {"black_hole": true}  the connections open now carry nothing more, and
 *                         are neither closed nor reset; new ones work
 *   {"cut": true|false}   resets all connections, and new ones until unset
 *   {"delay_ms": N}       holds each piece back for so long
 * It answers once the fault is in effect. GET /connections tells how many
 * connections were made, and how many are open and silent.
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
#define PIECE_SIZE 16384
/** Longest sleep of the loop, milliseconds. */
#define POLL_MS 5
/** Longest wait until a fault is in effect, milliseconds. */
#define FAULT_WAIT_MS 1000
#define BODY_MAX 1024

/* Bytes read from one end and not yet written to the other. */
typedef struct piece_s {
	char data[PIECE_SIZE];
	size_t len;
	size_t sent;
	uint64_t due_us;
} piece_t;

/* A connection: from the caller [0] and to the target [1]. */
typedef struct pair_s {
	int fds[2];
	piece_t pieces[2]; /* pieces[i] was read from fds[i] */
	bool silent;
} pair_t;

static struct {
	struct sockaddr_in target;
	int listener;
	pair_t *pairs[PAIRS_MAX];
	gn_clock_t clock;
	atomic_bool stop;
	atomic_bool black_hole; /* unset by the loop once in effect */
	atomic_bool cut;
	atomic_uint delay_ms;
	atomic_uint rounds;
	atomic_uint made;
	atomic_uint open;
	atomic_uint silent;
} self;

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

/* ======   The loop   ====== */

static void reset_socket(int fd)
{
	const struct linger at_once = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
	close(fd);
}

static void close_pair(unsigned index, bool reset)
{
	pair_t *pair = self.pairs[index];

	for (int i = 0; i < 2; i++) {
		if (reset)
			reset_socket(pair->fds[i]);
		else
			close(pair->fds[i]);
	}
	self.open--;
	self.silent -= pair->silent;
	self.pairs[index] = NULL;
	free(pair);
}

static int connect_target(void)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	if (connect(fd, (struct sockaddr *)&self.target, sizeof(self.target))) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

static unsigned find_room(void)
{
	unsigned index = 0;

	while (index < PAIRS_MAX && self.pairs[index])
		index++;
	return index;
}

static void accept_one(unsigned index)
{
	int fd = accept4(self.listener, NULL, NULL,
			 SOCK_NONBLOCK | SOCK_CLOEXEC);
	int target;
	pair_t *pair;

	if (fd < 0)
		return;
	target = self.cut ? -1 : connect_target();
	pair = target < 0 ? NULL : calloc(1, sizeof(*pair));
	if (!pair) {
		reset_socket(fd);
		if (target >= 0)
			close(target);
		return;
	}
	pair->fds[0] = fd;
	pair->fds[1] = target;
	self.pairs[index] = pair;
	self.made++;
	self.open++;
}

static void apply_faults(void)
{
	bool black_hole = self.black_hole;

	for (unsigned i = 0; i < PAIRS_MAX; i++) {
		pair_t *pair = self.pairs[i];

		if (pair && self.cut) {
			close_pair(i, true);
		} else if (pair && black_hole && !pair->silent) {
			pair->silent = true;
			self.silent++;
		}
	}
	if (black_hole)
		self.black_hole = false;
	self.rounds++;
}

static bool would_block(void)
{
	return errno == EAGAIN || errno == EINTR;
}

/* Reads a piece from end @p from; false once that end has closed. */
static bool read_piece(pair_t *pair, int from)
{
	piece_t *piece = &pair->pieces[from];
	ssize_t len = recv(pair->fds[from], piece->data, PIECE_SIZE, 0);

	if (len <= 0)
		return len < 0 && would_block();
	piece->len = (size_t)len;
	piece->sent = 0;
	piece->due_us = gn_clock_now_us(&self.clock) +
			(uint64_t)self.delay_ms * GN_US_PER_MS;
	return true;
}

/* Writes what was read from end @p from; false once the other has closed. */
static bool write_piece(pair_t *pair, int from)
{
	piece_t *piece = &pair->pieces[from];
	ssize_t len = send(pair->fds[!from], piece->data + piece->sent,
			   piece->len - piece->sent, MSG_NOSIGNAL);

	if (len < 0)
		return would_block();
	piece->sent += (size_t)len;
	if (piece->sent == piece->len)
		piece->len = 0;
	return true;
}

static bool carry(pair_t *pair, int from)
{
	piece_t *piece = &pair->pieces[from];

	if (!piece->len && !read_piece(pair, from))
		return false;
	if (piece->len && piece->due_us <= gn_clock_now_us(&self.clock))
		return write_piece(pair, from);
	return true;
}

static short wanted_events(const pair_t *pair, int end)
{
	uint64_t now_us = gn_clock_now_us(&self.clock);
	const piece_t *out = &pair->pieces[!end];
	short events = pair->pieces[end].len ? 0 : POLLIN;

	if (out->len && out->due_us <= now_us)
		events |= POLLOUT;
	return events;
}

static void wait_for_events(unsigned room)
{
	struct pollfd fds[2 * PAIRS_MAX + 1];
	nfds_t count = 0;

	if (room < PAIRS_MAX)
		fds[count++] = (struct pollfd){ self.listener, POLLIN, 0 };
	for (unsigned i = 0; i < PAIRS_MAX; i++) {
		const pair_t *pair = self.pairs[i];

		for (int end = 0; pair && !pair->silent && end < 2; end++)
			fds[count++] =
				(struct pollfd){ pair->fds[end],
						 wanted_events(pair, end), 0 };
	}
	poll(fds, count, POLL_MS);
}

static void run_loop(void)
{
	while (!self.stop) {
		unsigned room = find_room();

		wait_for_events(room);
		apply_faults();
		if (room < PAIRS_MAX)
			accept_one(room);
		for (unsigned i = 0; i < PAIRS_MAX; i++) {
			pair_t *pair = self.pairs[i];

			if (!pair || pair->silent)
				continue;
			if (!carry(pair, 0) || !carry(pair, 1))
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
	unsigned before = self.rounds;

	/* Two rounds: the one under way may have begun before. */
	for (int i = 0; i < FAULT_WAIT_MS && self.rounds - before < 2; i++)
		usleep(GN_US_PER_MS);
}

static enum MHD_Result on_fault(struct MHD_Connection *connection,
				const upload_t *upload)
{
	json_t *json = json_loadb(upload->data, upload->len, 0, NULL);

	if (!json)
		return reply(connection, MHD_HTTP_BAD_REQUEST, "");
	self.cut = json_is_true(json_object_get(json, "cut"));
	self.delay_ms =
		(unsigned)json_integer_value(json_object_get(json, "delay_ms"));
	self.black_hole = json_is_true(json_object_get(json, "black_hole"));
	json_decref(json);
	wait_for_effect();
	return reply(connection, MHD_HTTP_OK, "");
}

static enum MHD_Result on_connections(struct MHD_Connection *connection)
{
	char body[128];

	snprintf(body, sizeof(body), "{\"made\":%u,\"open\":%u,\"silent\":%u}",
		 self.made, self.open, self.silent);
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
	const int on = 1;
	int fd;

	if (!parse_address(text, &address))
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
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
	self.stop = true;
}

static int serve(const char *listen, const char *to, const char *control)
{
	struct MHD_Daemon *daemon = NULL;
	int status = EXIT_FAILURE;

	gn_clock_init_boot(&self.clock);
	self.listener = open_listener(listen);
	if (self.listener < 0 || !parse_address(to, &self.target)) {
		fprintf(stderr, "relay: can't relay %s to %s\n", listen, to);
		goto out;
	}
	daemon = start_control(control);
	if (!daemon) {
		fprintf(stderr, "relay: can't listen at %s\n", control);
		goto out;
	}
	run_loop();
	status = EXIT_SUCCESS;
out:
	if (daemon)
		MHD_stop_daemon(daemon);
	for (unsigned i = 0; i < PAIRS_MAX; i++)
		if (self.pairs[i])
			close_pair(i, false);
	if (self.listener >= 0)
		close(self.listener);
	return status;
}

int main(int argc, char **argv)
{
	struct arg_str *listen =
		arg_str1(NULL, "listen", "IP:PORT", "address to relay from");
	struct arg_str *to =
		arg_str1(NULL, "to", "IP:PORT", "address to relay to");
	struct arg_str *control =
		arg_str1(NULL, "control", "IP:PORT", "address for faults");
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
