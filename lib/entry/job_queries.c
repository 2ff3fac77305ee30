/**
 * @file job_queries.c
 * @brief Queries for jobs, answered from the stored values of the buckets.
 */
#include "entry/buckets.h"
#include "entry/jobs.h"
#include "entry/membership.h"
#include "http/status.h"

/** Retry-After of responses with status 503, in seconds. */
#define RETRY_AFTER_S 1

/* A query that waits for the platform's key-value service. */
typedef struct query_s {
	entry_t *entry;
	gn_http_request_t *request;
	uint64_t id; /**< ID of the requested job, 0 for all jobs. */
} query_t;

static query_t *create_query(entry_t *entry, gn_http_request_t *request,
			     uint64_t id)
{
	query_t *query = g_new0(query_t, 1);

	query->entry = entry;
	query->request = request;
	query->id = id;
	return query;
}

static void refuse_request(entry_t *entry, gn_http_request_t *request,
			   unsigned status, const char *reason)
{
	gn_http_reply_not_run(entry->server, request, status, reason,
			      status == HTTP_UNAVAILABLE ? RETRY_AFTER_S : 0,
			      NULL);
}

static json_t *task_to_json(const gn_task_t *task)
{
	char id[GN_TASK_ID_SIZE];

	gn_task_id_format(task->id, id);
	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:s, s:i}",
			 "id", id, "class", gn_class_name(task->work_class),
			 "team", task->team, "kind", task->kind, "service",
			 task->service, "state",
			 gn_task_state_name(task->state), "worker",
			 task->worker, "attempts", (int)task->attempts,
			 "reason", gn_task_reason_name(task->reason),
			 "result_code", (int)task->result_code);
}

static gn_batch_value_t *decode_bucket(const entry_t *entry, gn_str_t bytes)
{
	gn_batch_value_t *value = NULL;

	gn_batch_codec_decode(NULL, bytes, gn_runtime_now_us(entry->runtime),
			      &value, NULL);
	return value;
}

static void append_jobs(const entry_t *entry, json_t *jobs, gn_str_t bytes)
{
	gn_batch_value_t *value = decode_bucket(entry, bytes);

	for (size_t i = 0; value && i < value->task_count; i++)
		json_array_append_new(jobs, task_to_json(value->tasks[i]));
	talloc_free(value);
}

static void on_listed(void *context, const gn_kv_result_t *result)
{
	query_t *query = context;
	json_t *jobs = json_array();

	for (size_t i = 0; result->code == GN_OK && i < result->count; i++)
		append_jobs(query->entry, jobs, result->entries[i].value);
	if (result->code == GN_OK) {
		gn_http_reply_json(query->entry->server, query->request,
				   HTTP_OK, json_pack("{s:O}", "jobs", jobs));
	} else {
		refuse_request(query->entry, query->request, HTTP_UNAVAILABLE,
			       "platform-unavailable");
	}
	json_decref(jobs);
	g_free(query);
}

void entry_on_jobs_get(void *arg, gn_http_request_t *request, gn_str_t name)
{
	entry_t *entry = arg;

	(void)name;
	gn_kv_list(entry->membership->kv, GN_STR(GN_MEMBER_BUCKET_PREFIX),
		   on_listed, create_query(entry, request, 0));
}

static json_t *find_job(const gn_batch_value_t *value, uint64_t id)
{
	for (size_t i = 0; value && i < value->task_count; i++)
		if (value->tasks[i]->id == id)
			return task_to_json(value->tasks[i]);
	return NULL;
}

static void on_read(void *context, const gn_kv_result_t *result)
{
	query_t *query = context;
	gn_batch_value_t *value = NULL;
	json_t *job = NULL;

	if (result->code == GN_OK) {
		value = decode_bucket(query->entry, result->entries[0].value);
		job = find_job(value, query->id);
	}
	if (job)
		gn_http_reply_json(query->entry->server, query->request,
				   HTTP_OK, job);
	else if (result->code == GN_OK || result->code == GN_ERR_NOT_FOUND)
		refuse_request(query->entry, query->request, HTTP_NOT_FOUND,
			       "no-such-job");
	else
		refuse_request(query->entry, query->request, HTTP_UNAVAILABLE,
			       "platform-unavailable");
	talloc_free(value);
	g_free(query);
}

void entry_on_job_get(void *arg, gn_http_request_t *request, gn_str_t name)
{
	entry_t *entry = arg;
	char key[GN_BUCKET_KEY_SIZE];
	uint64_t id;

	if (gn_task_id_parse(name, &id) ||
	    gn_task_id_bucket(id) >= GN_BUCKET_COUNT) {
		refuse_request(entry, request, HTTP_NOT_FOUND, "no-such-job");
		return;
	}
	entry_bucket_format_key(gn_task_id_bucket(id), key);
	gn_kv_get(entry->membership->kv, gn_str_from(key), on_read,
		  create_query(entry, request, id));
}
