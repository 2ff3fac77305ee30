#include "platform/kv_http.h"

#include <assert.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/str.h"
#include "platform/kv_http_internal.h"

static uint64_t now_us(const gn_kv_http_t *http)
{
	return gn_clock_now_us(http->options.clock);
}

/* ======   Deadlines   ====== */

static gn_kv_http_call_t *find_earliest_deadline(gn_kv_http_t *http)
{
	gn_kv_http_call_t *earliest = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, http->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		gn_kv_http_call_t *call = value;

		if (!earliest || call->deadline_us < earliest->deadline_us)
			earliest = call;
	}
	return earliest;
}

static void update_timer(gn_kv_http_t *http)
{
	const gn_kv_http_call_t *call = find_earliest_deadline(http);
	uint64_t time_us = now_us(http);

	if (!call)
		gn_wake_timer_stop(http->timer);
	else if (call->deadline_us <= time_us)
		gn_wake_timer_start(http->timer, 0);
	else
		gn_wake_timer_start(http->timer, call->deadline_us - time_us);
}

void gn_kv_http_expire(gn_kv_http_t *http)
{
	uint64_t time_us = now_us(http);
	gn_kv_http_call_t *call = find_earliest_deadline(http);

	while (call && call->deadline_us <= time_us) {
		if (call->refusal != GN_OK)
			gn_kv_http_end_refused(call, call->refusal, "not sent");
		else
			gn_kv_http_end_lost(call, GN_KV_NO_ANSWER,
					    "no answer within the timeout");
		call = find_earliest_deadline(http);
	}
	update_timer(http);
}

static void on_timer(void *context)
{
	gn_kv_http_expire(context);
}

/* ======   Start of a call   ====== */

static size_t append_answer(char *data, size_t size, size_t count,
			    void *context)
{
	gn_kv_http_call_t *call = context;

	if (call->answer->len + size * count > GN_KV_HTTP_ANSWER_MAX)
		return 0;
	g_byte_array_append(call->answer, (const guint8 *)data,
			    (guint)(size * count));
	return size * count;
}

static bool needs_new_connection(const gn_kv_http_call_t *call)
{
	return call->http->last_call_failed ||
	       (!gn_kv_kind_is_read(call->request.kind) &&
		call->request.kind != GN_KV_TXN);
}

static void set_options(gn_kv_http_call_t *call)
{
	gn_kv_http_t *http = call->http;
	CURL *easy = call->easy;
	char *url =
		g_strdup_printf("http://%s%s", http->address, call->wire.path);

	curl_easy_setopt(easy, CURLOPT_URL, url);
	g_free(url);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call->wire.method);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, http->headers);
	if (call->wire.body) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call->wire.body);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)strlen(call->wire.body));
	}
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_answer);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
			 needs_new_connection(call) ? 1L : 0L);
}

static gn_code_t send_call(gn_kv_http_call_t *call,
			   const gn_kv_request_t *request)
{
	gn_kv_http_t *http = call->http;

	call->answer = g_byte_array_new();
	call->easy = curl_easy_init();
	if (!http->codec->encode(request, &call->wire) || !call->easy)
		return GN_ERR_UNAVAILABLE;
	set_options(call);
	if (gn_curl_loop_add(http->transfers, call->easy) != CURLM_OK)
		return GN_ERR_UNAVAILABLE;
	gn_kv_http_count_call(&http->counters, request->kind);
	if (request->kind == GN_KV_WATCH)
		gn_kv_http_count_watch(&http->counters, true);
	return GN_OK;
}

/* Returns GN_OK if @p request may be sent, else the reason why not. */
static gn_code_t check_limits(gn_kv_http_t *http,
			      const gn_kv_request_t *request)
{
	gn_code_t code = gn_kv_request_check(request);

	if (code != GN_OK)
		return code;
	if (g_hash_table_size(http->calls) > GN_KV_HTTP_CALLS_MAX ||
	    !gn_kv_budget_try_consume(&http->budget, now_us(http),
				      request->kind == GN_KV_RENEW))
		return GN_ERR_RATE;
	return GN_OK;
}

/* Makes the call due at once, so that the loop ends it with @p code. */
static void refuse_call(gn_kv_http_call_t *call, gn_code_t code)
{
	if (call->easy)
		curl_easy_cleanup(call->easy);
	call->easy = NULL;
	call->refusal = code;
	call->deadline_us = call->sent_us;
}

static gn_kv_http_call_t *create_call(gn_kv_http_t *http,
				      const gn_kv_request_t *request,
				      gn_kv_done_t done, void *context)
{
	gn_kv_http_call_t *call = talloc_zero(http, gn_kv_http_call_t);
	gn_kv_request_t *copy;

	/* GLib, which allocates the rest of a call, aborts likewise. */
	if (!call)
		abort();
	talloc_set_destructor(call, gn_kv_http_free_call);
	call->http = http;
	call->id = ++http->last_id;
	call->done = done;
	call->context = context;
	call->sent_us = now_us(http);
	call->min_revision = http->newest_revision;
	copy = &call->request;
	copy->kind = request->kind;
	copy->put.key.len = request->put.key.len;
	copy->put.key.data = talloc_strndup(call, request->put.key.data,
					    request->put.key.len);
	call->deadline_us = call->sent_us +
			    (uint64_t)http->options.timeout_ms * GN_US_PER_MS;
	if (request->kind == GN_KV_WATCH)
		call->deadline_us += (uint64_t)request->limit_ms * GN_US_PER_MS;
	return call;
}

gn_kv_call_t gn_kv_http_start(gn_kv_http_t *http,
			      const gn_kv_request_t *request, gn_kv_done_t done,
			      void *context)
{
	gn_kv_http_call_t *call = create_call(http, request, done, context);
	gn_code_t code;

	g_hash_table_insert(http->calls, &call->id, call);
	code = check_limits(http, request);
	if (code == GN_OK)
		code = send_call(call, request);
	if (code != GN_OK)
		refuse_call(call, code);
	update_timer(http);
	return call->id;
}

void gn_kv_http_cancel(gn_kv_http_t *http, gn_kv_call_t id)
{
	gn_kv_http_call_t *call = g_hash_table_lookup(http->calls, &id);

	if (!call)
		return;
	gn_kv_http_unlink(call);
	talloc_free(call);
}

/* ======   Creation and destruction   ====== */

static int http_destructor(gn_kv_http_t *http)
{
	GHashTableIter iter;
	gpointer value;

	if (http->calls) {
		g_hash_table_iter_init(&iter, http->calls);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			g_hash_table_iter_remove(&iter);
			talloc_free(value);
		}
		g_hash_table_unref(http->calls);
	}
	curl_slist_free_all(http->headers);
	return 0;
}

static struct curl_slist *create_headers(void)
{
	struct curl_slist *type =
		curl_slist_append(NULL, "Content-Type: application/json");
	/* Without this libcurl waits for "100 Continue" before long bodies. */
	struct curl_slist *all = curl_slist_append(type, "Expect:");

	if (!all)
		curl_slist_free_all(type);
	return all;
}

static bool are_valid(const gn_kv_http_options_t *options)
{
	return options->timeout_ms >= GN_KV_TIMEOUT_MIN_MS &&
	       options->timeout_ms <= GN_KV_TIMEOUT_MAX_MS &&
	       options->calls_per_s >= GN_KV_RATE_MIN &&
	       strlen(options->address) <= GN_ADDRESS_MAX;
}

gn_kv_http_t *gn_kv_http_create(TALLOC_CTX *parent,
				const gn_kv_http_options_t *options)
{
	gn_kv_http_t *http;

	if (!are_valid(options))
		return NULL;
	http = talloc_zero(parent, gn_kv_http_t);
	if (!http)
		return NULL;
	talloc_set_destructor(http, http_destructor);
	http->kv.ops = &gn_kv_http_ops;
	http->options = *options;
	http->codec = options->codec ? options->codec : &gn_kv_json_codec;
	http->address = talloc_strdup(http, options->address);
	gn_kv_budget_init(&http->budget, options->calls_per_s, now_us(http));
	http->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	http->headers = create_headers();
	http->transfers = gn_curl_loop_create(http, options->loop,
					      gn_kv_http_handle_end, http);
	http->timer = gn_wake_timer_create(http, options->loop, on_timer, http);
	if (!http->address || !http->headers || !http->transfers ||
	    !http->timer ||
	    !gn_kv_http_counters_get(&http->counters, options->counters)) {
		talloc_free(http);
		return NULL;
	}
	return http;
}

void gn_kv_http_free(gn_kv_http_t *http)
{
	talloc_free(http);
}

gn_kv_t *gn_kv_http_client(gn_kv_http_t *http)
{
	return &http->kv;
}

gn_kv_health_t gn_kv_http_health(const gn_kv_http_t *http)
{
	return http->health;
}

size_t gn_kv_http_pending(const gn_kv_http_t *http)
{
	return g_hash_table_size(http->calls);
}
