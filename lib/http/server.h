/**
 * @file server.h
 * @brief HTTP server whose requests are handled in the control thread.
 *
 * Each traffic thread runs its own libmicrohttpd daemon on the shared address.
 * It reads a complete request within the configured limits, passes it to the
 * control thread and suspends the connection. It sends the answer when the
 * control thread returns the request.
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
	unsigned status; /**< HTTP status. */
	bool has_outcome; /**< Whether to send @ref outcome. */
	gn_outcome_t outcome;
	const char *reason; /**< Reason to send, not owned, or NULL. */
	/** Storage for a reason that came from another entry. */
	char peer_reason[GN_NAME_MAX + 1];
	unsigned retry_after_s; /**< 0: the header is not sent. */
	bool json; /**< Whether the body is JSON, not opaque bytes. */
	void *body; /**< Allocated by malloc(), owned; may be NULL. */
	size_t body_len; /**< Bytes. */
} gn_http_answer_t;

/** A complete request, owned by the control thread until it is answered. */
typedef struct gn_http_request_s {
	gn_http_method_t method;
	char *path; /**< Decoded path without the query. */
	char *query_team; /**< Parameter "team" of the query, or NULL. */
	/** Another entry forwarded it, with "forwarded" in the query. */
	bool forwarded;
	char *headers[GN_HEADER_COUNT]; /**< NULL for absent headers. */
	/** Value of gn_http_server_config_t.deadline_header, or NULL. */
	char *deadline;
	char *body;
	size_t body_len; /**< Bytes. */
	gn_http_answer_t answer; /**< Filled in by the handler. */
	void *connection; /**< For internal use by the server. */
} gn_http_request_t;

/**
 * Called in the control thread for each request, which must be answered by
 * gn_http_server_answer(), now or later.
 */
typedef void (*gn_http_handler_t)(void *arg, gn_http_request_t *request);

/** Configuration of a server. All pointers must outlive the server. */
typedef struct gn_http_server_config_s {
	struct tevent_context *events;
	void *zmq;
	const char *address; /**< "IP:PORT". */
	/** Maximum number of open connections, 1..65536. */
	unsigned connections;
	/** Limit of idle and slow senders, 100..600000. */
	unsigned timeout_ms;
	unsigned threads; /**< Number of traffic threads, 1..16. */
	size_t body_max; /**< Maximum size of a body, bytes. */
	/** Name of the header with a request's deadline; NULL: none. */
	const char *deadline_header;
	gn_counters_t *counters;
	gn_http_handler_t handler;
	void *arg;
} gn_http_server_config_t;

/**
 * Starts a server.
 * @return GN_OK, GN_ERR_MEMORY, GN_ERR_INVALID (address) or GN_ERR_SYSTEM
 */
gn_code_t gn_http_server_start(TALLOC_CTX *parent,
			       const gn_http_server_config_t *config,
			       gn_http_server_t **server, gn_error_t *error);

/** Sends the answer of @p request, which the server then owns again. */
void gn_http_server_answer(gn_http_server_t *server,
			   gn_http_request_t *request);

/** Stops accepting connections; the open ones continue. */
void gn_http_server_quiesce(gn_http_server_t *server);

/** Returns the number of requests not answered by the control thread yet. */
size_t gn_http_server_pending(const gn_http_server_t *server);

/** Whether all answers have been sent and all connections are closed. */
bool gn_http_server_is_idle(const gn_http_server_t *server);

/* talloc_free() of a server ends its threads and closes its connections. */

#endif
