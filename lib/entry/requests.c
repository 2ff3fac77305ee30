/**
 * @file requests.c
 * @brief Latency-critical requests on the entry: tries, answers, deadlines.
 */
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "entry/entry_internal.h"

#define HTTP_BAD_REQUEST 400
#define HTTP_BAD_GATEWAY 502
#define HTTP_UNAVAILABLE 503
#define HTTP_GATEWAY_TIMEOUT 504
/** When a refused caller may come back: a random whole second up to this. */
#define RETRY_AFTER_MAX_S 3

static const gn_refusal_t no_worker = { HTTP_UNAVAILABLE, GN_OUTCOME_NOT_RUN,
					"no-worker", 0 };
static const gn_refusal_t answer_lost = { HTTP_BAD_GATEWAY, GN_OUTCOME_UNKNOWN,
					  "answer-lost", 0 };
static const gn_refusal_t deadline_passed = { HTTP_GATEWAY_TIMEOUT,
					      GN_OUTCOME_UNKNOWN,
					      "deadline-passed", 0 };

static gint compare_deadlines(gconstpointer a, gconstpointer b, gpointer data)
{
	const entry_request_t *left = a;
	const entry_request_t *right = b;

	(void)data;
	return left->deadline_us < right->deadline_us	? -1
	       : left->deadline_us > right->deadline_us ? 1
							: 0;
}

gn_code_t entry_requests_open(entry_t *entry)
{
	entry->requests = g_hash_table_new(g_int64_hash, g_int64_equal);
	entry->deadlines = g_sequence_new(NULL);
	/* A random start keeps the ids of two incarnations apart. */
	entry->next_request = gn_runtime_random_id();
	return GN_OK;
}

static unsigned retry_after_s(const entry_t *entry)
{
	return (unsigned)g_rand_int_range(entry->runtime->random, 1,
					  RETRY_AFTER_MAX_S + 1);
}

static void leave_worker(entry_request_t *request)
{
	if (request->worker && request->worker->in_flight &&
	    request->worker->session == request->worker_session)
		request->worker->in_flight--;
	request->worker = NULL;
}

static void forget(entry_request_t *request)
{
	leave_worker(request);
	g_hash_table_remove(request->entry->requests, &request->id);
	g_sequence_remove(request->by_deadline);
	talloc_free(request);
}

static void finish_done(entry_request_t *request, const Gn__Answer *answer)
{
	entry_t *entry = request->entry;
	gn_http_answer_t *reply = &request->http->answer;

	gn_counter_inc(entry->counters.done);
	reply->status = answer->status;
	reply->has_outcome = true;
	reply->outcome = GN_OUTCOME_DONE;
	if (answer->body.len) {
		reply->body = malloc(answer->body.len);
		if (reply->body) {
			memcpy(reply->body, answer->body.data,
			       answer->body.len);
			reply->body_len = answer->body.len;
		}
	}
	gn_http_server_answer(entry->server, request->http);
	forget(request);
}

/* Ends the request without an answer of a backend server. */
static void give_up(entry_request_t *request, gn_refusal_t refusal)
{
	entry_t *entry = request->entry;

	if (request->maybe_ran)
		refusal.outcome = GN_OUTCOME_UNKNOWN;
	gn_counter_inc(refusal.outcome == GN_OUTCOME_NOT_RUN
			       ? entry->counters.not_run
			       : entry->counters.unknown);
	refusal.retry_after_s = retry_after_s(entry);
	gn_http_reply_refusal(entry->server, request->http, &refusal, NULL);
	forget(request);
}

static bool was_tried(const entry_request_t *request,
		      const entry_worker_t *worker)
{
	for (unsigned i = 0; i < request->tries; i++)
		if (request->tried[i] == worker)
			return true;
	return false;
}

static entry_worker_t *pick_worker(const entry_request_t *request)
{
	GHashTableIter iter;
	gpointer value;
	entry_worker_t *best = NULL;

	g_hash_table_iter_init(&iter, request->entry->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry_worker_t *worker = value;

		if (!entry_worker_is_usable(worker) ||
		    strcmp(worker->service, request->service) != 0 ||
		    was_tried(request, worker))
			continue;
		if (!best || worker->in_flight < best->in_flight)
			best = worker;
	}
	return best;
}

static gn_code_t dispatch(entry_request_t *request, entry_worker_t *worker)
{
	entry_t *entry = request->entry;
	uint64_t now_us = gn_runtime_now_us(entry->runtime);
	Gn__Envelope envelope = GN__ENVELOPE__INIT;
	Gn__Dispatch message = GN__DISPATCH__INIT;

	message.request = request->id;
	message.agent_incarnation = worker->agent_incarnation;
	message.service = request->service;
	message.repeatable = request->repeatable;
	message.budget_us = (uint32_t)(request->deadline_us - now_us);
	message.body.data = (uint8_t *)request->http->body;
	message.body.len = request->http->body_len;
	envelope.incarnation = entry->runtime->incarnation;
	envelope.session = worker->session;
	envelope.body_case = GN__ENVELOPE__BODY_DISPATCH;
	envelope.dispatch = &message;
	return gn_link_send(entry->link, &worker->peer, &envelope);
}

/* Sends the request to a worker that has not had it, or gives it up. */
static void try_next(entry_request_t *request)
{
	entry_worker_t *worker;

	leave_worker(request);
	while (request->tries < ENTRY_TRIES_MAX) {
		worker = pick_worker(request);
		if (!worker)
			break;
		request->tried[request->tries++] = worker;
		if (request->tries > 1)
			gn_counter_inc(request->entry->counters.retries);
		if (dispatch(request, worker) == GN_OK) {
			request->worker = worker;
			request->worker_session = worker->session;
			worker->in_flight++;
			return;
		}
	}
	give_up(request, no_worker);
}

static void on_unknown(entry_request_t *request, gn_code_t reason)
{
	request->maybe_ran = true;
	if (reason == GN_ERR_TIMEOUT)
		give_up(request, deadline_passed);
	else if (request->repeatable)
		try_next(request);
	else
		give_up(request, answer_lost);
}

void entry_on_answer(entry_t *entry, entry_worker_t *worker,
		     const Gn__Answer *answer)
{
	uint64_t id = answer->request;
	entry_request_t *request = g_hash_table_lookup(entry->requests, &id);

	if (answer->load)
		entry_worker_take_load(worker, answer->load);
	/* Only the present try may answer; an earlier one was given up. */
	if (!request || request->worker != worker) {
		gn_counter_inc(entry->counters.late_answers);
		return;
	}
	if (answer->outcome == GN_OUTCOME_DONE)
		finish_done(request, answer);
	else if (answer->outcome == GN_OUTCOME_NOT_RUN)
		try_next(request);
	else
		on_unknown(request, (gn_code_t)answer->reason);
}

void entry_requests_lost(entry_t *entry, const entry_worker_t *worker)
{
	GList *all = g_hash_table_get_values(entry->requests);

	for (GList *item = all; item; item = item->next) {
		entry_request_t *request = item->data;

		if (request->worker == worker)
			on_unknown(request, GN_ERR_UNAVAILABLE);
	}
	g_list_free(all);
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
		give_up(request, deadline_passed);
	}
}

/* Reads the caller's headers; returns what is wrong with them, or NULL. */
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
	request->repeatable = gn_str_equal(repeatable, GN_STR("yes"));
	if (repeatable.len && !request->repeatable &&
	    !gn_str_equal(repeatable, GN_STR("no")))
		return "Gypsumnotch-Repeatable: yes or no";
	request->deadline_us = gn_runtime_now_us(request->entry->runtime) +
			       deadline_ms * GN_US_PER_MS;
	return NULL;
}

static void refuse_malformed(entry_t *entry, gn_http_request_t *http,
			     const char *error)
{
	static const gn_refusal_t malformed = { HTTP_BAD_REQUEST,
						GN_OUTCOME_NOT_RUN, "malformed",
						0 };

	gn_counter_inc(entry->counters.not_run);
	gn_http_reply_refusal(entry->server, http, &malformed, error);
}

void entry_on_request(void *arg, gn_http_request_t *http, gn_str_t service)
{
	entry_t *entry = arg;
	entry_request_t *request = talloc_zero(NULL, entry_request_t);
	const char *error = "no memory";

	if (request) {
		request->entry = entry;
		request->http = http;
		error = parse_headers(request, service);
	}
	if (error) {
		talloc_free(request);
		refuse_malformed(entry, http, error);
		return;
	}
	request->id = entry->next_request++;
	request->by_deadline = g_sequence_insert_sorted(
		entry->deadlines, request, compare_deadlines, NULL);
	g_hash_table_insert(entry->requests, &request->id, request);
	try_next(request);
}
