/**
 * @file kv_http_internal.h
 * @brief What the modules of the HTTP client share.
 */
#ifndef GN_PLATFORM_KV_HTTP_INTERNAL_H
#define GN_PLATFORM_KV_HTTP_INTERNAL_H

#include <curl/curl.h>
#include <glib.h>

#include "platform/budget.h"
#include "platform/curl_loop_internal.h"
#include "platform/kv_http.h"
#include "platform/kv_json.h"
#include "platform/wake_internal.h"

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

/* ======   State   ====== */

/** A call in progress. */
typedef struct gn_kv_http_call_s {
	gn_kv_http_t *http;
	gn_kv_call_t id;
	gn_kv_request_t request; /* its key is the call's, its value is not */
	gn_kv_wire_t wire;
	CURL *easy;
	GByteArray *answer;
	gn_kv_done_t done;
	void *context;
	uint64_t sent_us;
	uint64_t deadline_us;
	uint64_t floor; /* newest revision seen when it was sent */
	gn_code_t refused; /* never sent, for this reason */
} gn_kv_http_call_t;

struct gn_kv_http_s {
	gn_kv_t kv; /* must be first */
	gn_kv_http_options_t options;
	const gn_kv_codec_t *codec;
	char *address;
	gn_kv_http_counters_t counters;
	gn_kv_budget_t budget;
	gn_curl_loop_t *transfers;
	gn_wake_t *wake;
	struct curl_slist *headers;
	GHashTable *calls; /* id to gn_kv_http_call_t */
	gn_kv_call_t last_id;
	uint64_t floor; /* newest revision seen */
	bool is_suspect; /* the last call failed: trust no idle connection */
};

/* ======   Calls   ====== */

/** The table; each function fills a request and starts it. */
extern const gn_kv_ops_t gn_kv_http_ops;

/** Starts any call; the strings of @p request are copied. */
gn_kv_call_t gn_kv_http_start(gn_kv_http_t *http,
			      const gn_kv_request_t *request, gn_kv_done_t done,
			      void *context);

/** Forgets a call. */
void gn_kv_http_cancel(gn_kv_http_t *http, gn_kv_call_t id);

/* ======   Ends of calls   ====== */

/** Frees what a call holds; a talloc destructor. */
int gn_kv_http_free_call(gn_kv_http_call_t *call);

/** Takes @p call out of those in progress. */
void gn_kv_http_unlink(gn_kv_http_call_t *call);

/** Ends a call that was sent and has no whole answer. */
void gn_kv_http_end_lost(gn_kv_http_call_t *call, const char *why);

/** Ends a call that was surely not done. */
void gn_kv_http_end_refused(gn_kv_http_call_t *call, gn_code_t code,
			    const char *why);

/** Ends the call of a transfer that is over. */
void gn_kv_http_take_end(void *context, CURL *easy, CURLcode code);

#endif
