/**
 * @file server_internal.h
 * @brief One traffic thread of the HTTP server.
 */
#ifndef GN_HTTP_SERVER_INTERNAL_H
#define GN_HTTP_SERVER_INTERNAL_H

#include <glib.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdatomic.h>

#include "common/clock.h"
#include "http/server.h"
#include "wire/pipe.h"

typedef struct http_thread_s http_thread_t;

/** A connection's request, from its first header to its answer. */
typedef struct http_exchange_s {
	gn_http_request_t request; /**< first: the two are one */
	http_thread_t *thread;
	struct MHD_Connection *connection;
	size_t body_size; /**< allocated, bytes */
	uint64_t started_us;
	unsigned refused; /**< status to refuse with, or 0 */
	bool dropping; /**< refused, once its body has been read */
	bool handed_over; /**< to the control thread, once */
} http_exchange_t;

/** A traffic thread. */
struct http_thread_s {
	pthread_t thread;
	bool running;
	struct MHD_Daemon *daemon;
	gn_pipe_t *control_end; /**< the control thread's end */
	gn_pipe_t *traffic_end; /**< the traffic thread's end */
	gn_http_server_t *server;
	gn_clock_t clock;
	size_t body_max;
	unsigned connections_max;
	uint64_t timeout_us;
	uint64_t idle_us; /**< libmicrohttpd's own limit, in whole seconds */
	GHashTable *open; /**< a set of connections; the thread's own */
	bool closed; /**< a connection, in the last run of the daemon */
	uint64_t swept_us; /**< when it was last looked through */
	atomic_bool quiesce;
	atomic_uint connections;
	gn_counter_t *requests;
	gn_counter_t *refused;
	gn_counter_t *slow;
};

/** Messages from the control thread that are no requests. */
extern char http_thread_wake;
extern char http_thread_stop;

/** What a traffic thread runs; @p arg is its http_thread_t. */
void *http_thread_run(void *arg);

/** libmicrohttpd's callbacks. */
enum MHD_Result http_on_request(void *cls, struct MHD_Connection *connection,
				const char *url, const char *method,
				const char *version, const char *data,
				size_t *data_size, void **context);
void http_on_completed(void *cls, struct MHD_Connection *connection,
		       void **context, enum MHD_RequestTerminationCode code);
void http_on_connection(void *cls, struct MHD_Connection *connection,
			void **context,
			enum MHD_ConnectionNotificationCode code);

/** Opens the set of connections, before the daemon starts. */
void http_connections_open(http_thread_t *thread);
/** Closes it, once the daemon has stopped. */
void http_connections_close(http_thread_t *thread);
/** Shuts down the connections of slow senders. */
void http_connections_sweep(http_thread_t *thread);
/** Notes that the next part of a request begins, or its answer. */
void http_connection_note(http_thread_t *thread,
			  struct MHD_Connection *connection, bool answering);

/** Resumes the connection of @p exchange, whose answer is filled in. */
void http_exchange_resume(http_exchange_t *exchange);

#endif
