#include "ctl/ctl_outcome.h"

#include <string.h>

#include "ctl/ctl_print.h"

#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_SERVER_ERROR 500

/** Outcomes of a change, as reported by the entry or derived from a failure. */
typedef enum outcome_e {
	OUTCOME_ACCEPTED = 0,
	OUTCOME_CONFLICT,
	OUTCOME_REJECTED,
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
	OUTCOME_UNREACHABLE,
	OUTCOME_COUNT
} outcome_t;

/** Prints an outcome as plain text after the description of the change. */
typedef void (*print_outcome_fn_t)(FILE *file, const gn_ctl_change_t *change,
				   const json_t *answer);

static const char *get_text(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "";
}

/** Prints the entry's explanation: its error, otherwise its reason. */
static void print_reason(FILE *file, const json_t *answer)
{
	const char *reason = get_text(answer, "error");

	if (!*reason)
		reason = get_text(answer, "reason");
	if (*reason)
		fputs(": ", file);
	gn_ctl_print_text(file, reason);
}

static void print_accepted(FILE *file, const gn_ctl_change_t *change,
			   const json_t *answer)
{
	const json_t *revision = json_object_get(answer, "revision");

	fputs("accepted", file);
	if (json_is_integer(revision))
		fprintf(file, ", revision %lld",
			(long long)json_integer_value(revision));
	if (*get_text(answer, "job")) {
		fputs(", job ", file);
		gn_ctl_print_text(file, get_text(answer, "job"));
	}
	if (change->id)
		fprintf(file, ", %s %s", change->id_name, change->id);
}

static void print_conflict(FILE *file, const gn_ctl_change_t *change,
			   const json_t *answer)
{
	const json_t *revision = json_object_get(answer, "revision");

	(void)change;
	fputs("conflict", file);
	if (json_is_integer(revision))
		fprintf(file, ", the revision is %lld now",
			(long long)json_integer_value(revision));
	fputs("; check it before retrying", file);
}

static void print_rejected(FILE *file, const gn_ctl_change_t *change,
			   const json_t *answer)
{
	(void)change;
	fputs("rejected", file);
	print_reason(file, answer);
}

static void print_not_run(FILE *file, const gn_ctl_change_t *change,
			  const json_t *answer)
{
	const json_t *wait = json_object_get(answer, "retry_after_s");

	(void)change;
	fputs("not run", file);
	print_reason(file, answer);
	if (json_is_integer(wait))
		fprintf(file, "; try again after %lld s",
			(long long)json_integer_value(wait));
}

static void print_unknown(FILE *file, const gn_ctl_change_t *change,
			  const json_t *answer)
{
	fputs("unknown, it may have taken effect", file);
	print_reason(file, answer);
	if (change->id)
		fprintf(file, "; %s %s", change->id_name, change->id);
	if (change->hint)
		fprintf(file, "; %s", change->hint);
}

static void print_unreachable(FILE *file, const gn_ctl_change_t *change,
			      const json_t *answer)
{
	fputs(change->is_query ? "unreachable"
			       : "unreachable, nothing was changed",
	      file);
	print_reason(file, answer);
}

static const struct {
	const char *name; /**< Value of "outcome" in JSON. */
	gn_ctl_exit_t exit;
	print_outcome_fn_t print;
} outcomes[OUTCOME_COUNT] = {
	[OUTCOME_ACCEPTED] = { "accepted", GN_CTL_EXIT_OK, print_accepted },
	[OUTCOME_CONFLICT] = { "conflict", GN_CTL_EXIT_CONFLICT,
			       print_conflict },
	[OUTCOME_REJECTED] = { "rejected", GN_CTL_EXIT_FAILED, print_rejected },
	[OUTCOME_NOT_RUN] = { "not-run", GN_CTL_EXIT_FAILED, print_not_run },
	[OUTCOME_UNKNOWN] = { "unknown", GN_CTL_EXIT_UNKNOWN, print_unknown },
	[OUTCOME_UNREACHABLE] = { "unreachable", GN_CTL_EXIT_UNREACHABLE,
				  print_unreachable },
};

/**
 * Returns the outcome that the answer proves. Only the entry's "outcome" is a
 * proof. Without it, a client error (4xx) means that nothing was changed. Any
 * other status leaves the outcome unknown, because a load balancer in between
 * may have answered.
 */
static outcome_t get_outcome(const gn_ctl_answer_t *answer)
{
	const char *name = get_text(answer->json, "outcome");

	for (int i = 0; i < OUTCOME_COUNT; i++)
		if (!strcmp(name, outcomes[i].name))
			return (outcome_t)i;
	if (answer->status >= STATUS_BAD_REQUEST &&
	    answer->status < STATUS_SERVER_ERROR)
		return OUTCOME_REJECTED;
	return OUTCOME_UNKNOWN;
}

/** Creates an answer that stands for a missing one. */
static json_t *describe_failure(outcome_t outcome, const char *error)
{
	return json_pack("{s:s, s:s}", "outcome", outcomes[outcome].name,
			 "error", error);
}

/** Returns the JSON of the answer; without any, an object with the status. */
static json_t *describe_answer(outcome_t outcome, const gn_ctl_answer_t *answer)
{
	char error[] = "HTTP status 4294967295";
	json_t *object;

	if (answer->json) {
		object = json_incref(answer->json);
	} else {
		snprintf(error, sizeof(error), "HTTP status %u",
			 answer->status);
		object = describe_failure(outcome, error);
	}
	if (answer->retry_after_s)
		json_object_set_new(object, "retry_after_s",
				    json_integer(answer->retry_after_s));
	return object;
}

static int print_outcome(gn_ctl_t *ctl, outcome_t outcome,
			 const gn_ctl_change_t *change, json_t *object)
{
	bool succeeded = outcomes[outcome].exit == GN_CTL_EXIT_OK;
	FILE *file = succeeded ? ctl->out : ctl->err;

	if (ctl->json) {
		if (change->id && !json_object_get(object, "change_id"))
			json_object_set_new(object, change->id_name,
					    json_string(change->id));
		gn_ctl_print_json(ctl->out, object);
	} else {
		fprintf(file, "%s: ", change->description);
		outcomes[outcome].print(file, change, object);
		fputc('\n', file);
	}
	json_decref(object);
	return outcomes[outcome].exit;
}

static outcome_t get_failure_outcome(gn_code_t code)
{
	return code == GN_ERR_UNKNOWN ? OUTCOME_UNKNOWN : OUTCOME_UNREACHABLE;
}

/**
 * Whether the answer to a query is about this change. "not-run" without the ID
 * of the change refers to the query itself.
 */
static bool is_about_change(const gn_ctl_answer_t *answer,
			    const gn_ctl_change_t *change)
{
	return !strcmp(get_text(answer->json, "change_id"), change->id);
}

int gn_ctl_run_change(gn_ctl_t *ctl, const gn_ctl_request_t *request,
		      const gn_ctl_change_t *change)
{
	gn_ctl_answer_t *answer = NULL;
	gn_error_t error = { 0 };
	gn_code_t code = gn_ctl_send_request(ctl, request, &answer, &error);
	outcome_t outcome;
	int status;

	if (code == GN_ERR_INVALID)
		return gn_ctl_report_usage(ctl, "%s", error.detail);
	if (code) {
		outcome = get_failure_outcome(code);
		return print_outcome(ctl, outcome, change,
				     describe_failure(outcome, error.detail));
	}
	outcome = get_outcome(answer);
	if (change->is_query && !is_about_change(answer, change))
		outcome = OUTCOME_UNKNOWN;
	status = print_outcome(ctl, outcome, change,
			       describe_answer(outcome, answer));
	talloc_free(answer);
	return status;
}

/** Reports a query whose answer cannot be printed. */
static int report_failed_query(gn_ctl_t *ctl, const gn_ctl_answer_t *answer)
{
	const gn_ctl_change_t change = { .description = ctl->name,
					 .is_query = true };

	return print_outcome(ctl, OUTCOME_REJECTED, &change,
			     describe_answer(OUTCOME_REJECTED, answer));
}

/**
 * Whether the answer can be printed. The status is not checked if the answer
 * has the required key: a stopping entry answers with 503 and complete data.
 */
static bool can_print(const gn_ctl_view_t *view, const gn_ctl_answer_t *answer)
{
	if (!answer->json)
		return false;
	if (!view->required_key)
		return answer->status == STATUS_OK;
	return json_object_get(answer->json, view->required_key);
}

int gn_ctl_run_query(gn_ctl_t *ctl, const char *path, const gn_ctl_view_t *view)
{
	const gn_ctl_request_t request = { .method = "GET", .path = path };
	const gn_ctl_change_t change = { .description = ctl->name,
					 .is_query = true };
	gn_ctl_answer_t *answer = NULL;
	int status = GN_CTL_EXIT_OK;
	gn_error_t error = { 0 };

	/* A query changes nothing, so a lost answer leaves nothing unknown. */
	if (gn_ctl_send_request(ctl, &request, &answer, &error))
		return print_outcome(
			ctl, OUTCOME_UNREACHABLE, &change,
			describe_failure(OUTCOME_UNREACHABLE, error.detail));
	if (!can_print(view, answer))
		status = report_failed_query(ctl, answer);
	else if (ctl->json)
		gn_ctl_print_json(ctl->out, answer->json);
	else
		view->print(ctl, answer->json);
	if (answer->replaced)
		fprintf(ctl->err,
			"%s: %zu values are out of range or nested too deeply\n",
			ctl->name, answer->replaced);
	talloc_free(answer);
	return status;
}
