#include "http/reply.h"

#include <stdlib.h>
#include <string.h>

#include "common/error.h"

static void fill_json(gn_http_answer_t *answer, unsigned status, json_t *json)
{
	answer->status = status;
	answer->json = true;
	answer->body = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
	answer->body_len = answer->body ? strlen(answer->body) : 0;
	json_decref(json);
}

void gn_http_reply_json(gn_http_server_t *server, gn_http_request_t *request,
			unsigned status, json_t *json)
{
	fill_json(&request->answer, status, json);
	gn_http_server_answer(server, request);
}

void gn_http_reply_refusal(gn_http_server_t *server, gn_http_request_t *request,
			   const gn_refusal_t *refusal, const char *error)
{
	gn_http_answer_t *answer = &request->answer;
	const char *outcome = gn_outcome_name(refusal->outcome);
	json_t *json = json_object();

	json_object_set_new(json, "outcome", json_string(outcome));
	json_object_set_new(json, "reason", json_string(refusal->reason));
	if (error)
		json_object_set_new(json, "error", json_string(error));
	fill_json(answer, refusal->status, json);
	answer->has_outcome = true;
	answer->outcome = refusal->outcome;
	answer->reason = refusal->reason;
	answer->retry_after_s = refusal->retry_after_s;
	gn_http_server_answer(server, request);
}

void gn_http_reply_not_run(gn_http_server_t *server, gn_http_request_t *request,
			   unsigned status, const char *reason,
			   unsigned retry_after_s, const char *error)
{
	const gn_refusal_t refusal = { status, GN_OUTCOME_NOT_RUN, reason,
				       retry_after_s };

	gn_http_reply_refusal(server, request, &refusal, error);
}
