/**
 * @file jobs.c
 * @brief Commands on jobs: submit one, cancel one, cancel all of a team.
 */
#include "entry/jobs.h"

#include <string.h>

#include "entry/buckets.h"
#include "entry/membership.h"
#include "entry/peers.h"
#include "http/status.h"

/** Retry-After of responses with status 503, in seconds. */
#define RETRY_AFTER_S 1
/** Priority of a job that specifies none; 0 is the most urgent. */
#define PRIORITY_DEFAULT 2
/** Duration of a checkpoint if the job specifies none, in milliseconds. */
#define CHECKPOINT_DEFAULT_MS 1000

static void refuse_request(entry_t *entry, gn_http_request_t *request,
			   unsigned status, const char *reason,
			   const char *error)
{
	gn_http_reply_not_run(entry->server, request, status, reason,
			      status == HTTP_UNAVAILABLE ? RETRY_AFTER_S : 0,
			      error);
}

/*
 * Refuses a submission at once because nothing can be made durable without the
 * platform's key-value service. With an idempotency key the outcome is unknown,
 * because the key may belong to a job that was accepted before.
 */
static void refuse_without_kv(entry_t *entry, gn_http_request_t *request,
			      bool has_key)
{
	const gn_refusal_t unavailable = { HTTP_UNAVAILABLE,
					   has_key ? GN_OUTCOME_UNKNOWN
						   : GN_OUTCOME_NOT_RUN,
					   "platform-away", RETRY_AFTER_S };

	gn_http_reply_refusal(entry->server, request, &unavailable, NULL);
}

/*
 * Returns bucket @p index if this entry owns it. Otherwise forwards or refuses
 * the request and returns NULL.
 */
static gn_batch_bucket_t *find_bucket_or_forward(entry_t *entry, unsigned index,
						 gn_http_request_t *request)
{
	gn_batch_bucket_t *bucket = entry_bucket_find_owned(entry, index);
	const gn_record_member_t *owner;

	if (bucket)
		return bucket;
	owner = entry_membership_find_owner(entry, index);
	if (!owner || entry_membership_is_self(entry, owner) ||
	    entry_peer_is_forwarded(request))
		refuse_request(entry, request, HTTP_UNAVAILABLE, "no-owner",
			       NULL);
	else
		entry_peer_forward(entry, owner->address, request);
	return NULL;
}

/* ======   Submit   ====== */

/** A header whose value is a number, and its bounds. */
typedef struct number_header_s {
	gn_header_t header;
	uint64_t max;
	uint64_t default_value;
	const char *error;
} number_header_t;

enum { PRIORITY, CORES, MEMORY, ACCELERATORS, RUN, CHECKPOINT, NUMBER_COUNT };

static const number_header_t number_headers[NUMBER_COUNT] = {
	[PRIORITY] = { GN_HEADER_PRIORITY, GN_TASK_PRIORITIES - 1,
		       PRIORITY_DEFAULT, "Gypsumnotch-Priority: 0 to 3" },
	[CORES] = { GN_HEADER_CORES, GN_TASK_CORES_MAX, 1,
		    "Gypsumnotch-Cores: 0 to 4096" },
	[MEMORY] = { GN_HEADER_MEMORY, GN_TASK_MEMORY_MB_MAX, 0,
		     "Gypsumnotch-Memory-Mb: 0 to 16777216" },
	[ACCELERATORS] = { GN_HEADER_ACCELERATORS, GN_TASK_ACCELERATORS_MAX, 0,
			   "Gypsumnotch-Accelerators: 0 to 256" },
	[RUN] = { GN_HEADER_RUN, GN_TASK_RUN_MS_MAX, 0,
		  "Gypsumnotch-Run-Ms: 0 to 2678400000" },
	[CHECKPOINT] = { GN_HEADER_CHECKPOINT, GN_TASK_RUN_MS_MAX,
			 CHECKPOINT_DEFAULT_MS,
			 "Gypsumnotch-Checkpoint-Ms: 0 to 2678400000" },
};

static const char *parse_number_headers(char **headers, uint64_t *numbers)
{
	for (int i = 0; i < NUMBER_COUNT; i++) {
		const number_header_t *number_header = &number_headers[i];
		gn_str_t text = gn_str_from(headers[number_header->header]);

		numbers[i] = number_header->default_value;
		if (text.len &&
		    gn_str_parse_u64(text, number_header->max, &numbers[i]))
			return number_header->error;
	}
	return NULL;
}

/*
 * Parses the headers into @p request.
 * @return an error message, or NULL if they are valid
 */
static const char *parse_headers(const gn_http_request_t *http,
				 gn_task_request_t *request)
{
	char **headers = (char **)http->headers;
	gn_str_t work_class = gn_str_from(headers[GN_HEADER_CLASS]);
	uint64_t numbers[NUMBER_COUNT];
	const char *error = parse_number_headers(headers, numbers);

	if (error)
		return error;
	*request = (gn_task_request_t){
		.work_class = GN_CLASS_BATCH,
		.team = gn_str_from(headers[GN_HEADER_TEAM]),
		.service = gn_str_from(headers[GN_HEADER_SERVICE]),
		.kind = gn_str_from(headers[GN_HEADER_KIND]),
		.key = gn_str_from(headers[GN_HEADER_KEY]),
		.priority = (unsigned)numbers[PRIORITY],
		.cores = (unsigned)numbers[CORES],
		.memory_mb = (unsigned)numbers[MEMORY],
		.accelerators = (unsigned)numbers[ACCELERATORS],
		.run_ms = numbers[RUN],
		.checkpoint_ms = numbers[CHECKPOINT],
		.spec = { http->body ? http->body : "", http->body_len },
	};
	if (!request->kind.len)
		request->kind = request->service;
	if (work_class.len &&
	    (gn_class_parse(work_class, &request->work_class) ||
	     request->work_class == GN_CLASS_QUICK))
		return "Gypsumnotch-Class: batch or standing";
	if (!request->team.len || !request->service.len)
		return "Gypsumnotch-Team and Gypsumnotch-Service are needed";
	if (gn_task_request_check(request))
		return "a name, the key or the body is too long";
	return NULL;
}

static void refuse_submit(entry_t *entry, gn_http_request_t *http,
			  gn_code_t code, gn_task_reason_t reason)
{
	switch (code) {
	case GN_ERR_CAPACITY:
		refuse_request(entry, http, HTTP_UNPROCESSABLE,
			       gn_task_reason_name(reason),
			       "no worker could ever run it");
		break;
	case GN_ERR_CONFLICT:
		refuse_request(entry, http, HTTP_CONFLICT, "key-used",
			       "the key belongs to a different request");
		break;
	default:
		refuse_request(entry, http, HTTP_UNAVAILABLE,
			       gn_code_name(code), NULL);
	}
}

void entry_on_job_submit(void *arg, gn_http_request_t *http, gn_str_t name)
{
	entry_t *entry = arg;
	gn_task_reason_t reason = GN_TASK_REASON_NONE;
	gn_batch_bucket_t *bucket;
	gn_task_request_t request;
	const char *error = parse_headers(http, &request);
	char id_text[GN_TASK_ID_SIZE];
	unsigned index;
	uint64_t id;
	uint64_t seq;
	gn_code_t code;

	(void)name;
	if (error) {
		refuse_request(entry, http, HTTP_BAD_REQUEST, "malformed",
			       error);
		return;
	}
	index = entry_bucket_index_of_team(request.team);
	bucket = find_bucket_or_forward(entry, index, http);
	if (!bucket)
		return;
	if (!gn_promise_is_normal(entry->membership->promise)) {
		refuse_without_kv(entry, http, request.key.len > 0);
		return;
	}
	code = gn_batch_bucket_submit(bucket, &request, &id, &seq, &reason);
	if (code) {
		refuse_submit(entry, http, code, reason);
		return;
	}
	gn_task_id_format(id, id_text);
	entry_bucket_reply_when_durable(
		entry, index, seq, http,
		json_pack("{s:s, s:s}", "outcome", "accepted", "job", id_text));
}

/* ======   Cancel   ====== */

void entry_on_job_cancel(void *arg, gn_http_request_t *http, gn_str_t name)
{
	entry_t *entry = arg;
	gn_batch_bucket_t *bucket;
	gn_outcome_t outcome;
	uint64_t id;
	uint64_t seq;

	if (gn_task_id_parse(name, &id) ||
	    gn_task_id_bucket(id) >= GN_BUCKET_COUNT) {
		refuse_request(entry, http, HTTP_NOT_FOUND, "no-such-job",
			       NULL);
		return;
	}
	bucket = find_bucket_or_forward(entry, gn_task_id_bucket(id), http);
	if (!bucket)
		return;
	switch (gn_batch_bucket_cancel(bucket, id, &outcome, &seq)) {
	case GN_OK:
		entry_bucket_reply_when_durable(
			entry, gn_task_id_bucket(id), seq, http,
			json_pack("{s:s, s:s}", "outcome", "accepted", "run",
				  gn_outcome_name(outcome)));
		break;
	case GN_ERR_NOT_FOUND:
		refuse_request(entry, http, HTTP_NOT_FOUND, "no-such-job",
			       NULL);
		break;
	default:
		refuse_request(entry, http, HTTP_UNAVAILABLE, "no-owner", NULL);
	}
}

void entry_on_jobs_cancel(void *arg, gn_http_request_t *http, gn_str_t name)
{
	entry_t *entry = arg;
	gn_str_t team = gn_str_from(http->query_team);
	unsigned index = entry_bucket_index_of_team(team);
	gn_batch_bucket_t *bucket;
	size_t count;
	uint64_t seq;

	(void)name;
	if (!team.len) {
		refuse_request(entry, http, HTTP_BAD_REQUEST, "malformed",
			       "the query names no team");
		return;
	}
	bucket = find_bucket_or_forward(entry, index, http);
	if (!bucket)
		return;
	if (gn_batch_bucket_cancel_matching(bucket, team, GN_STR(""), &count,
					    &seq)) {
		refuse_request(entry, http, HTTP_UNAVAILABLE, "no-owner", NULL);
		return;
	}
	entry_bucket_reply_when_durable(entry, index, seq, http,
					json_pack("{s:s, s:I}", "outcome",
						  "accepted", "cancelled",
						  (json_int_t)count));
}
