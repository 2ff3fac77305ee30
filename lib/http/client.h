/**
 * @file client.h
 * @brief HTTP client that runs libcurl's multi interface in a traffic thread.
 *
 * An answer is accepted only if it is complete, by its length or its final
 * chunk. libcurl repeats a request by itself if a reused connection turns out
 * to be dead; calls that must not be sent twice are prepared so that it can't.
 */
#ifndef GN_HTTP_CLIENT_H
#define GN_HTTP_CLIENT_H

#include <stdbool.h>
#include <talloc.h>
#include <tevent.h>

#include "common/counter.h"
#include "common/error.h"
#include "http/server.h"

/** Size of a call's own header line, with its terminator. */
#define GN_HTTP_HEADER_LINE_SIZE 160

typedef struct gn_http_client_s gn_http_client_t;
typedef struct gn_http_call_s gn_http_call_t;

/** Called in the control thread when @p call has ended; it is freed after. */
typedef void (*gn_http_done_t)(void *arg, const gn_http_call_t *call);

/** A call, created by gn_http_call_create() and filled in by the caller. */
struct gn_http_call_s {
	gn_http_method_t method;
	char url[256]; /**< "http://IP:PORT/path". */
	/** Values of headers to send or NULL; valid until the call ends. */
	const char *headers[GN_HEADER_COUNT];
	/** Another header line to send, "Name: value"; empty: none. */
	char header_line[GN_HTTP_HEADER_LINE_SIZE];
	bool json; /**< Whether the body is JSON, not opaque bytes. */
	void *body; /**< Allocated by malloc(), owned; may be NULL. */
	size_t body_len; /**< Bytes. */
	unsigned timeout_ms; /**< Limit of the whole call, at least 1. */
	bool send_once; /**< The request must not be sent twice. */
	gn_http_done_t done;
	void *arg;

	/**
	 * GN_OK: the answer is complete. GN_ERR_UNAVAILABLE: the request was
	 * not sent. GN_ERR_UNKNOWN, GN_ERR_TIMEOUT, GN_ERR_TRUNCATED: the
	 * request may have been executed.
	 */
	gn_code_t code;
	bool refused; /**< Nothing listens at the address. */
	unsigned status; /**< HTTP status. */
	bool has_outcome; /**< Whether the answer has an outcome header. */
	gn_outcome_t outcome;
	char reason[GN_NAME_MAX + 1]; /**< From the answer, or empty. */
	unsigned retry_after_s; /**< From the answer, or 0. */
	char *answer; /**< Body of the answer, owned by the call. */
	size_t answer_len; /**< Bytes. */

	void *transfer; /**< For internal use by the client. */
};

/** Creates a zeroed call; NULL if out of memory. */
gn_http_call_t *gn_http_call_create(void);

/** Configuration of a client. All pointers must outlive the client. */
typedef struct gn_http_client_config_s {
	struct tevent_context *events;
	void *zmq;
	/** Maximum number of connections to a host, 1..4096. */
	unsigned host_connections;
	size_t answer_max; /**< Maximum size of an answer, bytes. */
	gn_counters_t *counters;
} gn_http_client_config_t;

/**
 * Starts the client's thread.
 * @return GN_OK, GN_ERR_MEMORY or GN_ERR_SYSTEM
 */
gn_code_t gn_http_client_start(TALLOC_CTX *parent,
			       const gn_http_client_config_t *config,
			       gn_http_client_t **client, gn_error_t *error);

/** Starts @p call, which the client then owns. */
void gn_http_client_call(gn_http_client_t *client, gn_http_call_t *call);

/** Returns the number of calls that have not ended yet. */
size_t gn_http_client_pending(const gn_http_client_t *client);

/* talloc_free() of a client drops its calls without calling done. */

#endif
