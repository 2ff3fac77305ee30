/**
 * @file kv_http_end.c
 * @brief Turns the end of a transfer into the result of its call.
 */
#include <jansson.h>
#include <stdlib.h>

#include "common/event.h"
#include "common/str.h"
#include "platform/kv_http_internal.h"

#define STEP "platform"

#define HTTP_TOO_MANY_REQUESTS 429
#define HTTP_SERVICE_UNAVAILABLE 503

int gn_kv_http_free_call(gn_kv_http_call_t *call)
{
	if (call->easy) {
		gn_curl_loop_remove(call->http->transfers, call->easy);
		curl_easy_cleanup(call->easy);
	}
	g_free(call->wire.path);
	free(call->wire.body);
	if (call->answer)
		g_byte_array_unref(call->answer);
	return 0;
}

void gn_kv_http_unlink(gn_kv_http_call_t *call)
{
	gn_kv_http_t *http = call->http;

	g_hash_table_remove(http->calls, &call->id);
	if (call->request.kind == GN_KV_WATCH && call->easy)
		gn_kv_http_count_watch(&http->counters, false);
}

static void finish(gn_kv_http_call_t *call, gn_kv_result_t *result,
		   const char *detail)
{
	gn_error_t error = { 0 };

	gn_error_set(&error, result->code, STEP, call->http->address, "%s: %s",
		     gn_kv_kind_name(call->request.kind), detail);
	result->error = &error;
	result->sent_us = call->sent_us;
	gn_kv_http_count_result(&call->http->counters, result->code);
	gn_kv_http_unlink(call);
	call->done(call->context, result);
	talloc_free(call);
}

static void record_failure(gn_kv_http_t *http, gn_kv_failure_t failure)
{
	http->last_call_failed = true;
	http->health.failed_us = gn_clock_now_us(http->options.clock);
	http->health.failure = failure;
}

void gn_kv_http_end_lost(gn_kv_http_call_t *call, gn_kv_failure_t failure,
			 const char *detail)
{
	bool is_read = gn_kv_kind_is_read(call->request.kind);
	gn_kv_result_t result = { 0 };
	curl_off_t connected_us = 0;

	curl_easy_getinfo(call->easy, CURLINFO_CONNECT_TIME_T, &connected_us);
	record_failure(call->http, failure);
	result.code =
		is_read || !connected_us ? GN_ERR_UNAVAILABLE : GN_ERR_UNKNOWN;
	finish(call, &result, detail);
}

void gn_kv_http_end_refused(gn_kv_http_call_t *call, gn_code_t code,
			    const char *detail)
{
	gn_kv_result_t result = { 0 };

	result.code = code;
	finish(call, &result, detail);
}

static void finish_answered(gn_kv_http_call_t *call, gn_kv_result_t *result)
{
	gn_kv_http_t *http = call->http;

	http->last_call_failed = false;
	http->health.answered_us = gn_clock_now_us(http->options.clock);
	if (gn_kv_kind_is_read(call->request.kind) && result->revision &&
	    result->revision < call->min_revision) {
		gn_kv_http_end_refused(call, GN_ERR_STALE,
				       "answer is older than an earlier one");
		return;
	}
	if (result->refused) {
		gn_counter_add(http->counters.entries_refused, result->refused);
		gn_event("entries refused", "{s:s, s:I, s:I}", "call",
			 gn_kv_kind_name(call->request.kind), "refused",
			 (json_int_t)result->refused, "entries",
			 (json_int_t)result->count);
	}
	if (result->revision > http->newest_revision)
		http->newest_revision = result->revision;
	finish(call, result, gn_code_name(result->code));
}

static bool is_refusal(long status)
{
	return status == HTTP_TOO_MANY_REQUESTS ||
	       status == HTTP_SERVICE_UNAVAILABLE;
}

static void handle_answer(gn_kv_http_call_t *call, long status)
{
	gn_str_t text = { (const char *)call->answer->data, call->answer->len };
	gn_kv_result_t result = { 0 };
	gn_code_t code;

	if (is_refusal(status)) {
		record_failure(call->http, GN_KV_REFUSED);
		gn_kv_http_end_refused(call, GN_ERR_UNAVAILABLE, "refused");
		return;
	}
	code = call->http->codec->decode(call, status, text, &call->request,
					 &result);
	if (code == GN_ERR_RANGE)
		gn_kv_http_end_refused(
			call, GN_ERR_INVALID,
			"service rejected the request as malformed");
	else if (code)
		gn_kv_http_end_lost(call, GN_KV_RESET,
				    "answer is incomplete or malformed");
	else
		finish_answered(call, &result);
}

void gn_kv_http_handle_end(void *context, CURL *easy, CURLcode code)
{
	gn_kv_http_call_t *call = NULL;
	long status = 0;

	(void)context;
	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &call);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	if (code != CURLE_OK)
		gn_kv_http_end_lost(call,
				    code == CURLE_OPERATION_TIMEDOUT
					    ? GN_KV_NO_ANSWER
					    : GN_KV_RESET,
				    curl_easy_strerror(code));
	else
		handle_answer(call, status);
}
