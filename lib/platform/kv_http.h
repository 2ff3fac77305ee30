/**
 * @file kv_http.h
 * @brief The client of the platform's service over HTTP.
 *
 * Runs in the control thread: libcurl's multi interface is driven by socket
 * and timer callbacks inside the tevent loop. Weighed against a traffic
 * thread joined by an inproc ZeroMQ pair, as callers' and backend servers'
 * traffic has it: the calls to the platform are bounded to some tens a second
 * by the process's own budget, their answers are needed in the control thread
 * alone, and a second queue would only add an order of events to reason
 * about. Encoding a value of 1 MB blocks the loop for some milliseconds;
 * should values of that size become frequent, the thread is the better way.
 *
 * A write of one key, a grant and a renewal go out on a fresh connection,
 * since libcurl sends a request again by itself when a reused connection turns
 * out to be dead. A read may use an idle connection, unless the last call
 * failed; so may a transaction, whose writer finds its own mark in the keys of
 * the conditions when a second copy of it conflicts.
 */
#ifndef GN_PLATFORM_KV_HTTP_H
#define GN_PLATFORM_KV_HTTP_H

#include <talloc.h>
#include <tevent.h>

#include "common/clock.h"
#include "common/counter.h"
#include "platform/kv.h"
#include "platform/kv_json.h"

/** Bounds of the time one call may take, milliseconds. */
#define GN_KV_TIMEOUT_MIN_MS 10
#define GN_KV_TIMEOUT_MAX_MS 60000
/** Most calls in progress; more are answered with GN_ERR_RATE. */
#define GN_KV_HTTP_CALLS_MAX 128
/** Longest answer, bytes. */
#define GN_KV_HTTP_ANSWER_MAX (64 * 1024 * 1024)

typedef struct gn_kv_http_s gn_kv_http_t;

/** How to reach the service; what is pointed to must outlive the client. */
typedef struct gn_kv_http_options_s {
	const char *address; /**< "IP:PORT", copied */
	uint32_t timeout_ms; /**< GN_KV_TIMEOUT_MIN_MS..GN_KV_TIMEOUT_MAX_MS */
	uint32_t calls_per_s; /**< GN_KV_RATE_MIN..GN_KV_RATE_MAX */
	const gn_clock_t *clock;
	gn_counters_t *counters;
	struct tevent_context *loop;
	const gn_kv_codec_t *codec; /**< NULL: gn_kv_json_codec */
} gn_kv_http_options_t;

/**
 * Creates a client; curl_global_init() comes before.
 * @return NULL if memory or descriptors are short or an option is out of its
 *         bounds
 */
gn_kv_http_t *gn_kv_http_create(TALLOC_CTX *parent,
				const gn_kv_http_options_t *options);

/** Drops the calls in progress without a callback, and frees. */
void gn_kv_http_free(gn_kv_http_t *http);

/** The table. */
gn_kv_t *gn_kv_http_client(gn_kv_http_t *http);

/**
 * Ends the calls whose time is over by the clock. The client does so by
 * itself in the loop; needed only with a paused clock.
 */
void gn_kv_http_expire(gn_kv_http_t *http);

/** Calls in progress. */
size_t gn_kv_http_pending(const gn_kv_http_t *http);

#endif
