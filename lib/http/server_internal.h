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

/** A request on a connection, from its first header to its answer. */
typedef struct http_exchange_s {
	gn_http_request_t request; /**< Must be first. */
	http_thread_t *thread;
	struct MHD_Connection *connection;
	size_t body_size; /**< Allocated size of the body, bytes. */
	uint64_t started_us;
	unsigned refusal_status; /**< HTTP status of the refusal, or 0. */
	bool discards_body; /**< The body is read before the refusal. */
	bool handed_over; /**< It was passed to the control thread. */
	bool resumed; /**< Its answer is being sent. */
} http_exchange_t;

/** A traffic thread. */
struct http_thread_s {
	pthread_t thread;
	bool running;
	struct MHD_Daemon *daemon;
	gn_pipe_t *control_end; /**< Used by the control thread. */
	gn_pipe_t *traffic_end; /**< Used by the traffic thread. */
	gn_http_server_t *server;
	gn_clock_t clock;
	size_t body_max;
	const char *deadline_header;
	unsigned connections_max;
	uint64_t timeout_us;
	uint64_t idle_us; /**< Limit of libmicrohttpd, in whole seconds. */
	GHashTable *open; /**< Set of http_connection_t; this thread only. */
	bool has_closed_connection; /**< In the daemon's last run. */
	unsigned unsent; /**< Number of answers that are being sent. */
	uint64_t swept_us; /**< Time of the last sweep. */
	atomic_bool quiesce;
	atomic_uint connections;
	gn_counter_t *requests;
	gn_counter_t *refused;
	gn_counter_t *slow;
};

/** Items from the control thread, by address, that are not requests. */
extern char http_thread_wake;
extern char http_thread_stop;

/** Main function of a traffic thread; @p arg is its http_thread_t. */
void *http_thread_run(void *arg);

/* Callbacks of libmicrohttpd. */
enum MHD_Result http_on_request(void *cls, struct MHD_Connection *connection,
				const char *url, const char *method,
				const char *version, const char *data,
				size_t *data_size, void **context);
void http_on_completed(void *cls, struct MHD_Connection *connection,
		       void **context, enum MHD_RequestTerminationCode code);
void http_on_connection(void *cls, struct MHD_Connection *connection,
			void **context,
			enum MHD_ConnectionNotificationCode code);

/** Creates the set of connections; to be called before the daemon starts. */
void http_connections_open(http_thread_t *thread);
/** Frees the set of connections; to be called after the daemon stopped. */
void http_connections_close(http_thread_t *thread);
/** Shuts down the connections of slow senders. */
void http_connections_sweep(http_thread_t *thread);
/**
 * Records that the next phase of a connection begins: the header or body of a
 * request, or (@p answering) its answer.
 */
void http_connection_begin_phase(http_thread_t *thread,
				 struct MHD_Connection *connection,
				 bool answering);

/** Resumes the connection of @p exchange, so that its answer is sent. */
void http_exchange_resume(http_exchange_t *exchange);

#endif
