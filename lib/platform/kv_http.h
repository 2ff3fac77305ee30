/**
 * @file kv_http.h
 * @brief Client of the platform's key-value service over HTTP.
 *
 * The client runs in the control thread: socket and timer callbacks of the
 * tevent loop drive libcurl's multi interface. It does not use a traffic
 * thread behind an inproc ZeroMQ pair, as the traffic of callers and backend
 * servers does, because the process's own budget limits the calls to some tens
 * per second, only the control thread needs the answers, and a second queue
 * would add one more order of events. Encoding a value of 1 MB blocks the loop
 * for some milliseconds; if such values become frequent, a thread is better.
 *
 * A write of one key, a grant and a renewal use a new connection, since
 * libcurl repeats a request by itself if a reused connection turns out to be
 * dead. A read may use an idle connection unless the last call failed. So may
 * a transaction: if a second copy of it conflicts, its writer recognizes its
 * own write in the keys of the conditions.
 */
#ifndef GN_PLATFORM_KV_HTTP_H
#define GN_PLATFORM_KV_HTTP_H

#include <talloc.h>
#include <tevent.h>

#include "common/clock.h"
#include "common/counter.h"
#include "platform/kv.h"
#include "platform/kv_json.h"

/** Bounds of the timeout of a call, milliseconds. */
#define GN_KV_TIMEOUT_MIN_MS 10
#define GN_KV_TIMEOUT_MAX_MS 60000
/** Maximum number of calls in progress; further ones end with GN_ERR_RATE. */
#define GN_KV_HTTP_CALLS_MAX 128
/** Maximum size of an answer, bytes. */
#define GN_KV_HTTP_ANSWER_MAX (64 * 1024 * 1024)

typedef struct gn_kv_http_s gn_kv_http_t;

/** Options of a client. The objects pointed to must outlive the client. */
typedef struct gn_kv_http_options_s {
	const char *address; /**< "IP:PORT" of the key-value service, copied. */
	/** Limit of one call, GN_KV_TIMEOUT_MIN_MS..GN_KV_TIMEOUT_MAX_MS. */
	uint32_t timeout_ms;
	uint32_t calls_per_s; /**< See gn_kv_budget_init(). */
	const gn_clock_t *clock;
	gn_counters_t *counters;
	struct tevent_context *loop;
	const gn_kv_codec_t *codec; /**< NULL: gn_kv_json_codec. */
} gn_kv_http_options_t;

/**
 * Creates a client. curl_global_init() must have been called.
 * @return NULL if out of memory or file descriptors, or if an option is out of
 *         its bounds
 */
gn_kv_http_t *gn_kv_http_create(TALLOC_CTX *parent,
				const gn_kv_http_options_t *options);

/** Frees the client and its calls in progress, without their callbacks. */
void gn_kv_http_free(gn_kv_http_t *http);

/** Returns the client's interface, which belongs to @p http. */
gn_kv_t *gn_kv_http_client(gn_kv_http_t *http);

/**
 * Ends the calls whose deadline has passed on the clock. The client does so by
 * itself in the loop; only tests with a paused clock need this function.
 */
void gn_kv_http_expire(gn_kv_http_t *http);

/** How a call to the key-value service failed. */
typedef enum gn_kv_failure_e {
	GN_KV_NO_FAILURE = 0,
	GN_KV_NO_ANSWER, /**< None within the timeout. */
	GN_KV_REFUSED, /**< Status 429 or 503. */
	GN_KV_RESET /**< The connection was refused or broken. */
} gn_kv_failure_t;

/** When the key-value service last answered, and what failed. */
typedef struct gn_kv_health_s {
	uint64_t answered_us; /**< 0: never. */
	uint64_t failed_us; /**< End of the last failed call; 0: none. */
	gn_kv_failure_t failure; /**< How that call failed. */
} gn_kv_health_t;

gn_kv_health_t gn_kv_http_health(const gn_kv_http_t *http);

/** Returns the number of calls in progress. */
size_t gn_kv_http_pending(const gn_kv_http_t *http);

#endif
