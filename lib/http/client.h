/**
 * @file client.h
 * @brief HTTP client: libcurl multi in a traffic thread.
 *
 * An answer counts only if it is whole: its length or its final chunk was
 * seen. Calls that must not be sent twice are handed to libcurl in a form that
 * it can't send again by itself on a reused connection that died.
 */
#ifndef GN_HTTP_CLIENT_H
#define GN_HTTP_CLIENT_H

#include <stdbool.h>
#include <talloc.h>
#include <tevent.h>

#include "common/counter.h"
#include "common/error.h"
#include "http/server.h"

/** Size of a header line of a call with its terminator. */
#define GN_HTTP_HEADER_LINE_SIZE 160

typedef struct gn_http_client_s gn_http_client_t;
typedef struct gn_http_call_s gn_http_call_t;

/** Called in the control thread when @p call has ended; then it is freed. */
typedef void (*gn_http_done_t)(void *arg, const gn_http_call_t *call);

/** One call. Create with gn_http_call_create(), fill in, start. */
struct gn_http_call_s {
	gn_http_method_t method;
	char url[256]; /**< "http://IP:PORT/path" */
	/** Headers to send, NULL where absent; valid until the call ends. */
	const char *headers[GN_HEADER_COUNT];
	/** One more header line, "Name: value"; empty: none. */
	char header_line[GN_HTTP_HEADER_LINE_SIZE];
	bool json; /**< the body is JSON, not opaque bytes */
	void *body; /**< from malloc(), owned; may be NULL */
	size_t body_len; /**< bytes */
	unsigned timeout_ms; /**< of the whole call, at least 1 */
	bool once; /**< never to be sent twice */
	gn_http_done_t done;
	void *arg;

	/**
	 * GN_OK: a whole answer; GN_ERR_UNAVAILABLE: surely not sent;
	 * GN_ERR_UNKNOWN, GN_ERR_TIMEOUT, GN_ERR_TRUNCATED: may have had its
	 * effect.
	 */
	gn_code_t code;
	unsigned status; /**< HTTP status */
	bool has_outcome; /**< the answer told an outcome */
	gn_outcome_t outcome;
	char reason[GN_NAME_MAX + 1]; /**< told by the answer, or empty */
	unsigned retry_after_s; /**< told by the answer, or 0 */
	char *answer; /**< the answer's body, owned by the call */
	size_t answer_len; /**< bytes */

	void *transfer; /**< the client's own */
};

/** A zeroed call, or NULL if memory is short. */
gn_http_call_t *gn_http_call_create(void);

/** What a client needs; all pointers outlive it. */
typedef struct gn_http_client_config_s {
	struct tevent_context *events;
	void *zmq;
	unsigned host_connections; /**< most open ones to one host, 1..4096 */
	size_t answer_max; /**< longest answer, bytes */
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

/** Calls that have not ended yet. */
size_t gn_http_client_pending(const gn_http_client_t *client);

/* Freeing the client (talloc_free) gives up its calls without their done. */

#endif
