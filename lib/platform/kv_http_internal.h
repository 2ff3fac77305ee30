/**
 * @file kv_http_internal.h
 * @brief Declarations shared by the source files of the HTTP client.
 */
#ifndef GN_PLATFORM_KV_HTTP_INTERNAL_H
#define GN_PLATFORM_KV_HTTP_INTERNAL_H

#include <curl/curl.h>
#include <glib.h>

#include "common/wake_timer.h"
#include "platform/budget.h"
#include "platform/curl_loop_internal.h"
#include "platform/kv_http.h"
#include "platform/kv_json.h"

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
	gn_counter_t *entries_refused;
} gn_kv_http_counters_t;

/**
 * Finds or creates the client's counters in @p set.
 * @return false if out of memory
 */
bool gn_kv_http_counters_get(gn_kv_http_counters_t *counters,
			     gn_counters_t *set);

/** Counts a call that was sent. */
void gn_kv_http_count_call(const gn_kv_http_counters_t *counters,
			   gn_kv_kind_t kind);

/** Counts the result of a call. */
void gn_kv_http_count_result(const gn_kv_http_counters_t *counters,
			     gn_code_t code);

/** Updates the number of waiting watches as one begins or ends to wait. */
void gn_kv_http_count_watch(const gn_kv_http_counters_t *counters, bool begins);

/* ======   State   ====== */

/** A call in progress. */
typedef struct gn_kv_http_call_s {
	gn_kv_http_t *http;
	gn_kv_call_t id;
	/* Only kind and key are set; the key is owned by the call. */
	gn_kv_request_t request;
	gn_kv_wire_t wire;
	CURL *easy;
	GByteArray *answer;
	gn_kv_done_t done;
	void *context;
	uint64_t sent_us;
	uint64_t deadline_us;
	uint64_t min_revision; /* Newest revision seen when it was sent. */
	gn_code_t refusal; /* Why it was not sent; GN_OK: it was sent. */
} gn_kv_http_call_t;

struct gn_kv_http_s {
	gn_kv_t kv; /* Must be first. */
	gn_kv_http_options_t options;
	const gn_kv_codec_t *codec;
	char *address;
	gn_kv_http_counters_t counters;
	gn_kv_budget_t budget;
	gn_curl_loop_t *transfers;
	gn_wake_timer_t *timer;
	struct curl_slist *headers;
	GHashTable *calls; /* Maps an ID to its gn_kv_http_call_t. */
	gn_kv_call_t last_id;
	uint64_t newest_revision; /* Newest revision seen in any answer. */
	gn_kv_health_t health;
	bool last_call_failed; /* If set, idle connections may be dead. */
};

/* ======   Calls   ====== */

/** The client's functions; each fills in a request and starts a call. */
extern const gn_kv_ops_t gn_kv_http_ops;

/**
 * Starts a call. The strings of @p request are copied.
 * @return the ID of the call
 */
gn_kv_call_t gn_kv_http_start(gn_kv_http_t *http,
			      const gn_kv_request_t *request, gn_kv_done_t done,
			      void *context);

/** Drops a call without its callback; an unknown ID is ignored. */
void gn_kv_http_cancel(gn_kv_http_t *http, gn_kv_call_t id);

/* ======   Ends of calls   ====== */

/** Frees the resources of a call; a talloc destructor. */
int gn_kv_http_free_call(gn_kv_http_call_t *call);

/** Removes @p call from the calls in progress; the caller frees it. */
void gn_kv_http_unlink(gn_kv_http_call_t *call);

/** Ends a call that was sent and has no complete answer. */
void gn_kv_http_end_lost(gn_kv_http_call_t *call, gn_kv_failure_t failure,
			 const char *detail);

/** Ends a call with @p code; a write was not applied. */
void gn_kv_http_end_refused(gn_kv_http_call_t *call, gn_code_t code,
			    const char *detail);

/** Ends the call whose transfer has ended. */
void gn_kv_http_handle_end(void *context, CURL *easy, CURLcode code);

#endif
