/**
 * @file kv_http_internal.h
 * @brief What the modules of the HTTP client share.
 */
#ifndef GN_PLATFORM_KV_HTTP_INTERNAL_H
#define GN_PLATFORM_KV_HTTP_INTERNAL_H

#include "platform/kv_http.h"
#include "platform/kv_json.h"

/* ======   Calls   ====== */

/** The table; each function fills a request and starts it. */
extern const gn_kv_ops_t gn_kv_http_ops;

/** Starts any call; the strings of @p request are copied. */
gn_kv_call_t gn_kv_http_start(gn_kv_http_t *http,
			      const gn_kv_request_t *request, gn_kv_done_t done,
			      void *context);

/** Forgets a call. */
void gn_kv_http_cancel(gn_kv_http_t *http, gn_kv_call_t id);

/* ======   Counters   ====== */

/** The counters of the client; their names are in docs/PLATFORM.md. */
typedef struct gn_kv_http_counters_s {
	gn_counter_t *calls[GN_KV_KIND_COUNT];
	gn_counter_t *waiting_watches;
	gn_counter_t *rate_refused;
	gn_counter_t *unavailable;
	gn_counter_t *unknown;
	gn_counter_t *stale;
	gn_counter_t *conflict;
} gn_kv_http_counters_t;

/** Finds or creates them in @p set; false: memory is short. */
bool gn_kv_http_counters_get(gn_kv_http_counters_t *counters,
			     gn_counters_t *set);

/** Counts a call that was sent. */
void gn_kv_http_count_call(const gn_kv_http_counters_t *counters,
			   gn_kv_kind_t kind);

/** Counts the result of a call. */
void gn_kv_http_count_result(const gn_kv_http_counters_t *counters,
			     gn_code_t code);

/** Counts a watch that begins or ends to wait. */
void gn_kv_http_count_watch(const gn_kv_http_counters_t *counters, bool begins);

#endif
