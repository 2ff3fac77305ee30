/**
 * @file server.h
 * @brief HTTP server: traffic threads in front of the control thread.
 *
 * Each traffic thread runs a libmicrohttpd daemon of its own on the shared
 * address. It reads a whole request within the bounds, hands it to the
 * control thread, suspends the connection and sends the answer when the
 * control thread gives the request back.
 */
#ifndef GN_HTTP_SERVER_H
#define GN_HTTP_SERVER_H

#include <stdbool.h>
#include <talloc.h>
#include <tevent.h>

#include "common/counter.h"
#include "common/error.h"
#include "http/header.h"

typedef struct gn_http_server_s gn_http_server_t;

/** The method of a request. */
typedef enum gn_http_method_e {
	GN_HTTP_GET = 0,
	GN_HTTP_POST,
	GN_HTTP_PUT,
	GN_HTTP_DELETE,
	GN_HTTP_METHOD_COUNT
} gn_http_method_t;

/** The answer to a request. */
typedef struct gn_http_answer_s {
	unsigned status; /**< HTTP status */
	bool has_outcome; /**< whether @ref outcome is told */
	gn_outcome_t outcome;
	const char *reason; /**< static text, or NULL */
	char told_reason[GN_NAME_MAX + 1]; /**< of another entry, or empty */
	unsigned retry_after_s; /**< 0: not told */
	bool json; /**< the body is JSON, not opaque bytes */
	void *body; /**< from malloc(), owned; may be NULL */
	size_t body_len; /**< bytes */
} gn_http_answer_t;

/** A whole request, owned by the control thread until it is answered. */
typedef struct gn_http_request_s {
	gn_http_method_t method;
	char *path; /**< decoded, without query */
	char *query_team; /**< "team" of the query, or NULL */
	bool forwarded; /**< by another entry: "forwarded" of the query */
	char *headers[GN_HEADER_COUNT]; /**< NULL where absent */
	char *body;
	size_t body_len; /**< bytes */
	gn_http_answer_t answer; /**< to fill in */
	void *connection; /**< the server's own */
} gn_http_request_t;

/** Called in the control thread; answer at once or later. */
typedef void (*gn_http_handler_t)(void *arg, gn_http_request_t *request);

/** What a server needs; all pointers outlive it. */
typedef struct gn_http_server_config_s {
	struct tevent_context *events;
	void *zmq;
	const char *address; /**< "IP:PORT" */
	unsigned connections; /**< most open ones, 1..65536 */
	unsigned timeout_ms; /**< of idle or slow senders, 100..600000 */
	unsigned threads; /**< traffic threads, 1..16 */
	size_t body_max; /**< longest body, bytes */
	gn_counters_t *counters;
	gn_http_handler_t handler;
	void *arg;
} gn_http_server_config_t;

/**
 * Starts to serve.
 * @return GN_OK, GN_ERR_MEMORY, GN_ERR_INVALID (address) or GN_ERR_SYSTEM
 */
gn_code_t gn_http_server_start(TALLOC_CTX *parent,
			       const gn_http_server_config_t *config,
			       gn_http_server_t **server, gn_error_t *error);

/** Sends the answer in @p request, which the server then owns. */
void gn_http_server_answer(gn_http_server_t *server,
			   gn_http_request_t *request);

/** Takes no new connections; those in progress go on. */
void gn_http_server_quiesce(gn_http_server_t *server);

/** Requests that the control thread has not answered yet. */
size_t gn_http_server_pending(const gn_http_server_t *server);

/** Whether all answers have been sent and all connections are closed. */
bool gn_http_server_idle(const gn_http_server_t *server);

/* Freeing the server (talloc_free) ends its threads and connections. */

#endif
