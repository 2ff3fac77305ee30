/**
 * @file connection.c
 * @brief Tracks a traffic thread's connections and shuts down slow senders.
 *
 * libmicrohttpd closes a connection that is idle for the time limit, but a
 * caller that sends a byte now and then is never idle. Therefore a connection
 * is shut down that has not sent a complete header, or after it a complete
 * body, within twice the limit, including the idle time before the first byte.
 * If a thread has few connections left, the oldest incomplete one is shut down
 * earlier to make room for new callers.
 */
#include <glib.h>
#include <sys/socket.h>

#include "http/server_internal.h"

/** A slow sender is shut down after this multiple of the idle limit. */
#define SLOW_TIMEOUTS 2
/** Time between two sweeps over all connections, microseconds. */
#define SWEEP_INTERVAL_US (250 * GN_US_PER_MS)

/** Divisor: a thread reserves this part of its connections for new callers. */
#define SPARE_CONNECTIONS_DIVISOR 8

/** State of one connection. */
typedef struct http_connection_s {
	int fd;
	bool answering; /**< The request is complete or refused. */
	uint64_t since_us; /**< When the current phase began. */
} http_connection_t;

static http_connection_t *get_state(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info ? info->socket_context : NULL;
}

void http_connections_open(http_thread_t *thread)
{
	thread->open = g_hash_table_new_full(NULL, NULL, g_free, NULL);
}

void http_connections_close(http_thread_t *thread)
{
	if (thread->open)
		g_hash_table_destroy(thread->open);
	thread->open = NULL;
}

void http_connection_begin_phase(http_thread_t *thread,
				 struct MHD_Connection *connection,
				 bool answering)
{
	http_connection_t *state = get_state(connection);

	if (!state)
		return;
	state->answering = answering;
	state->since_us = gn_clock_now_us(&thread->clock);
}

/* Shuts the connection down; libmicrohttpd sees its end and closes it. */
static void shut_down(http_thread_t *thread, http_connection_t *state)
{
	state->answering = true;
	shutdown(state->fd, SHUT_RDWR);
	gn_counter_inc(thread->slow);
}

/* Returns the connection that has waited longest for its request, or NULL. */
static http_connection_t *find_oldest(const http_thread_t *thread)
{
	http_connection_t *oldest = NULL;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, thread->open);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		http_connection_t *state = key;

		if (!state->answering &&
		    (!oldest || state->since_us < oldest->since_us))
			oldest = state;
	}
	return oldest;
}

/* Incomplete requests must not occupy all connections. */
static void make_room(http_thread_t *thread)
{
	unsigned most = thread->connections_max -
			thread->connections_max / SPARE_CONNECTIONS_DIVISOR;
	http_connection_t *oldest;

	if (g_hash_table_size(thread->open) <= most)
		return;
	oldest = find_oldest(thread);
	if (oldest)
		shut_down(thread, oldest);
}

void http_on_connection(void *cls, struct MHD_Connection *connection,
			void **context,
			enum MHD_ConnectionNotificationCode code)
{
	http_thread_t *thread = cls;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		const union MHD_ConnectionInfo *info = MHD_get_connection_info(
			connection, MHD_CONNECTION_INFO_CONNECTION_FD);
		http_connection_t *state = g_new0(http_connection_t, 1);

		state->fd = info->connect_fd;
		state->since_us = gn_clock_now_us(&thread->clock);
		g_hash_table_add(thread->open, state);
		*context = state;
		atomic_fetch_add(&thread->connections, 1);
		make_room(thread);
	} else {
		g_hash_table_remove(thread->open, *context);
		*context = NULL;
		thread->has_closed_connection = true;
		atomic_fetch_sub(&thread->connections, 1);
	}
}

void http_connections_sweep(http_thread_t *thread)
{
	uint64_t now_us = gn_clock_now_us(&thread->clock);
	GHashTableIter iter;
	gpointer key;

	if (now_us - thread->swept_us < SWEEP_INTERVAL_US)
		return;
	thread->swept_us = now_us;
	g_hash_table_iter_init(&iter, thread->open);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		http_connection_t *state = key;

		if (state->answering ||
		    now_us - state->since_us <= SLOW_TIMEOUTS * thread->idle_us)
			continue;
		shut_down(thread, state);
	}
}
