/**
 * @file requests.c
 * @brief Latency-critical requests: parsing, admission, deadlines, responses.
 */
#include <stdlib.h>
#include <string.h>

#include "entry/keys.h"
#include "entry/membership.h"
#include "http/status.h"

/** High bits that are clear in the random first request ID, so that the IDs
 * can't overflow. */
#define SPARE_BITS 2

static gint compare_deadlines(gconstpointer a, gconstpointer b, gpointer data)
{
	const entry_request_t *left = a;
	const entry_request_t *right = b;

	(void)data;
	return (left->deadline_us > right->deadline_us) -
	       (left->deadline_us < right->deadline_us);
}

gn_code_t entry_requests_open(entry_t *entry)
{
	entry->requests = g_hash_table_new(g_int64_hash, g_int64_equal);
	entry->deadlines = g_sequence_new(NULL);
	/* A random start keeps the IDs of different incarnations distinct. */
	entry->next_request_id = gn_runtime_random_id() >> SPARE_BITS;
	entry->limit = gn_limit_create(entry, &entry->runtime->clock,
				       entry->runtime->rand,
				       &entry->runtime->settings->limit);
	return entry->limit ? GN_OK : GN_ERR_MEMORY;
}

void entry_requests_close(entry_t *entry)
{
	if (entry->requests)
		g_hash_table_destroy(entry->requests);
	if (entry->deadlines)
		g_sequence_free(entry->deadlines);
}

/* Rounds up to seconds, the unit of the Retry-After header. */
static unsigned to_seconds(uint32_t ms)
{
	return (ms + 999) / 1000;
}

static void free_request(entry_request_t *request)
{
	entry_t *entry = request->entry;

	entry_attempt_abandon(request);
	gn_kv_cancel(entry->membership->kv, request->key_call);
	gn_limit_release(entry->limit, &request->ticket, request->limit_end);
	g_hash_table_remove(entry->requests, &request->id);
	g_sequence_remove(request->deadline_iter);
	talloc_free(request);
}

void entry_request_finish(entry_request_t *request, const Gn__Answer *answer)
{
	entry_t *entry = request->entry;
	gn_http_answer_t *reply = &request->http->answer;

	gn_counter_inc(entry->counters.done);
	reply->status = answer->status;
	reply->has_outcome = true;
	reply->outcome = GN_OUTCOME_DONE;
	if (answer->body.len) {
		reply->body = g_memdup2(answer->body.data, answer->body.len);
		reply->body_len = answer->body.len;
	}
	request->limit_end = GN_LIMIT_ANSWERED;
	gn_http_server_answer(entry->server, request->http);
	free_request(request);
}

void entry_request_fail(entry_request_t *request, const gn_refusal_t *refusal)
{
	entry_t *entry = request->entry;
	gn_refusal_t reply_refusal = *refusal;

	reply_refusal.retry_after_s =
		to_seconds(gn_limit_draw_retry_after_ms(entry->limit));
	if (reply_refusal.outcome == GN_OUTCOME_NOT_RUN) {
		gn_counter_inc(entry->counters.not_run);
		entry_key_release(request);
	} else {
		gn_counter_inc(entry->counters.unknown);
	}
	gn_http_reply_refusal(entry->server, request->http, &reply_refusal,
			      NULL);
	free_request(request);
}

static void fail_expired(entry_request_t *request)
{
	gn_refusal_t expired = { HTTP_GATEWAY_TIMEOUT, GN_OUTCOME_UNKNOWN,
				 "deadline-passed", 0 };

	/* If no attempt is in progress, for example while the request waits for
	 * its key, the outcome may be known. */
	if (!request->worker)
		expired.outcome = gn_retry_outcome(&request->retry);
	request->limit_end = GN_LIMIT_ANSWERED;
	entry_request_fail(request, &expired);
}

void entry_requests_tick(entry_t *entry)
{
	uint64_t now_us = gn_runtime_now_us(entry->runtime);

	for (;;) {
		GSequenceIter *first =
			g_sequence_get_begin_iter(entry->deadlines);
		entry_request_t *request;

		if (g_sequence_iter_is_end(first))
			return;
		request = g_sequence_get(first);
		if (request->deadline_us > now_us)
			return;
		fail_expired(request);
	}
}

/*
 * Parses the caller's headers into @p request.
 * @return an error message, or NULL if they are valid
 */
static const char *parse_headers(entry_request_t *request, gn_str_t service)
{
	char **headers = request->http->headers;
	uint64_t deadline_ms = GN_DEADLINE_DEFAULT_MS;
	gn_str_t repeatable = gn_str_from(headers[GN_HEADER_REPEATABLE]);
	gn_str_t work_class = gn_str_from(headers[GN_HEADER_CLASS]);

	if (gn_str_copy(request->service, sizeof(request->service), service))
		return "the service's name is too long";
	if (gn_str_copy(request->team, sizeof(request->team),
			gn_str_from(headers[GN_HEADER_TEAM])))
		return "Gypsumnotch-Team is too long";
	if (work_class.len && !gn_str_equal(work_class, GN_STR("quick")))
		return "Gypsumnotch-Class: only quick; others are jobs";
	if (headers[GN_HEADER_DEADLINE] &&
	    (gn_str_parse_u64(gn_str_from(headers[GN_HEADER_DEADLINE]),
			      GN_DEADLINE_MAX_MS, &deadline_ms) ||
	     !deadline_ms))
		return "Gypsumnotch-Deadline-Ms: 1 to 60000";
	if (gn_str_from(headers[GN_HEADER_KEY]).len > GN_KEY_MAX)
		return "Idempotency-Key: at most 128 bytes";
	request->repeatable = gn_str_equal(repeatable, GN_STR("yes"));
	if (repeatable.len && !request->repeatable &&
	    !gn_str_equal(repeatable, GN_STR("no")))
		return "Gypsumnotch-Repeatable: yes or no";
	request->deadline_us = gn_runtime_now_us(request->entry->runtime) +
			       deadline_ms * GN_US_PER_MS;
	return NULL;
}

/* Refuses and frees a request that was not admitted. */
static void refuse_request(entry_request_t *request,
			   const gn_refusal_t *refusal, const char *error)
{
	gn_counter_inc(request->entry->counters.not_run);
	gn_http_reply_refusal(request->entry->server, request->http, refusal,
			      error);
	talloc_free(request);
}

static void refuse_malformed(entry_request_t *request, const char *error)
{
	static const gn_refusal_t malformed = { HTTP_BAD_REQUEST,
						GN_OUTCOME_NOT_RUN, "malformed",
						0 };

	refuse_request(request, &malformed, error);
}

static void refuse_without_worker(entry_request_t *request, gn_code_t code)
{
	gn_refusal_t refusal = { HTTP_UNAVAILABLE, GN_OUTCOME_NOT_RUN,
				 code == GN_ERR_CAPACITY ? "capacity"
							 : "no-worker",
				 0 };

	refusal.retry_after_s =
		to_seconds(gn_limit_draw_retry_after_ms(request->entry->limit));
	refuse_request(request, &refusal, NULL);
}

static bool try_admit(entry_request_t *request, const gn_route_choice_t *choice,
		      gn_refusal_t *refusal)
{
	entry_t *entry = request->entry;
	const gn_limit_request_t limit_request = {
		.work_class = GN_CLASS_QUICK,
		.team = gn_str_from(request->team),
		.time_left_us = request->deadline_us -
				gn_runtime_now_us(entry->runtime),
		.response_us = choice->response_us,
		.idle_response_us = choice->idle_response_us,
	};
	gn_limit_result_t result;

	gn_limit_acquire(entry->limit, &limit_request, &result);
	request->ticket = result.ticket;
	refusal->status = HTTP_UNAVAILABLE;
	refusal->outcome = GN_OUTCOME_NOT_RUN;
	refusal->reason = gn_limit_reason_name(result.reason);
	refusal->retry_after_s = to_seconds(result.retry_after_ms);
	return result.reason == GN_LIMIT_ADMITTED;
}

static void start_request(entry_request_t *request, gn_route_worker_t *worker)
{
	entry_t *entry = request->entry;

	request->id = entry->next_request_id++;
	request->limit_end = GN_LIMIT_OTHER;
	request->deadline_iter = g_sequence_insert_sorted(
		entry->deadlines, request, compare_deadlines, NULL);
	g_hash_table_insert(entry->requests, &request->id, request);
	gn_retry_init(&request->retry, request->repeatable);
	if (request->http->headers[GN_HEADER_KEY])
		entry_key_claim(request);
	else
		entry_attempt_start(request, worker);
}

static gn_code_t pick_worker(const entry_request_t *request,
			     gn_route_choice_t *choice)
{
	const entry_t *entry = request->entry;

	return gn_route_pick(&gn_route_policies[GN_ROUTE_TWO_CHOICES],
			     entry->view, gn_str_from(request->service),
			     entry->runtime->rand, NULL, choice);
}

void entry_request_dispatch(entry_request_t *request)
{
	static const gn_refusal_t no_worker = { HTTP_UNAVAILABLE,
						GN_OUTCOME_NOT_RUN, "no-worker",
						0 };
	gn_route_choice_t choice;

	if (pick_worker(request, &choice))
		entry_request_fail(request, &no_worker);
	else
		entry_attempt_start(request, choice.worker);
}

void entry_on_request(void *arg, gn_http_request_t *http, gn_str_t service)
{
	entry_t *entry = arg;
	entry_request_t *request = talloc_zero(NULL, entry_request_t);
	gn_route_choice_t choice;
	gn_refusal_t refusal;
	const char *error;
	gn_code_t code;

	if (!request) {
		http->answer.status = HTTP_UNAVAILABLE;
		gn_http_server_answer(entry->server, http);
		return;
	}
	request->entry = entry;
	request->http = http;
	error = parse_headers(request, service);
	if (error) {
		refuse_malformed(request, error);
		return;
	}
	code = pick_worker(request, &choice);
	if (code)
		refuse_without_worker(request, code);
	else if (!try_admit(request, &choice, &refusal))
		refuse_request(request, &refusal, NULL);
	else
		start_request(request, choice.worker);
}
