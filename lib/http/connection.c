/**
 * @file connection.c
 * @brief The open connections of a traffic thread, and the slow senders.
 *
 * libmicrohttpd closes a connection that is idle for the time limit; a caller
 * that sends a byte now and then is never idle. So a connection that has not
 * brought a whole header, or then a whole body, within twice the limit (idle
 * time before the first byte included) is shut down. Before that, the oldest
 * of them make room for new callers when a thread has few connections left.
 */
#include <glib.h>
#include <sys/socket.h>

#include "http/server_internal.h"

/** Times of the idle limit until a slow sender is cut off. */
#define SLOW_LIMITS 2
/** Between two looks at all connections, microseconds. */
#define SWEEP_INTERVAL_US (250 * GN_US_PER_MS)

/** Share of a thread's connections that is kept for new ones, as a divisor. */
#define SPARE_PART 8

/** What a thread knows of one connection. */
typedef struct http_connection_s {
	int fd;
	bool answering; /**< the request is whole, or refused */
	uint64_t since_us; /**< when the present part began */
} http_connection_t;

static http_connection_t *get(struct MHD_Connection *connection)
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

void http_connection_note(http_thread_t *thread,
			  struct MHD_Connection *connection, bool answering)
{
	http_connection_t *known = get(connection);

	if (!known)
		return;
	known->answering = answering;
	known->since_us = gn_clock_now_us(&thread->clock);
}

/* libmicrohttpd then sees its end and closes it. */
static void cut_off(http_thread_t *thread, http_connection_t *known)
{
	known->answering = true;
	shutdown(known->fd, SHUT_RDWR);
	gn_counter_inc(thread->slow);
}

/* The connection that has been without a whole request for longest, or NULL. */
static http_connection_t *find_oldest(const http_thread_t *thread)
{
	http_connection_t *oldest = NULL;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, thread->open);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		http_connection_t *known = key;

		if (!known->answering &&
		    (!oldest || known->since_us < oldest->since_us))
			oldest = known;
	}
	return oldest;
}

/* Callers that send nothing whole must not keep others out. */
static void make_room(http_thread_t *thread)
{
	unsigned most =
		thread->connections_max - thread->connections_max / SPARE_PART;
	http_connection_t *oldest;

	if (g_hash_table_size(thread->open) <= most)
		return;
	oldest = find_oldest(thread);
	if (oldest)
		cut_off(thread, oldest);
}

void http_on_connection(void *cls, struct MHD_Connection *connection,
			void **context,
			enum MHD_ConnectionNotificationCode code)
{
	http_thread_t *thread = cls;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		const union MHD_ConnectionInfo *info = MHD_get_connection_info(
			connection, MHD_CONNECTION_INFO_CONNECTION_FD);
		http_connection_t *known = g_new0(http_connection_t, 1);

		known->fd = info->connect_fd;
		known->since_us = gn_clock_now_us(&thread->clock);
		g_hash_table_add(thread->open, known);
		*context = known;
		atomic_fetch_add(&thread->connections, 1);
		make_room(thread);
	} else {
		g_hash_table_remove(thread->open, *context);
		*context = NULL;
		thread->closed = true;
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
		http_connection_t *known = key;

		if (known->answering ||
		    now_us - known->since_us <= SLOW_LIMITS * thread->idle_us)
			continue;
		cut_off(thread, known);
	}
}
