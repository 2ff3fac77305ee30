/* Commands that submit and cancel jobs. */
#include <stdio.h>
#include <string.h>

#include "commands/commands.h"
#include "common/str.h"
#include "config/file.h"
#include "ctl/ctl_outcome.h"

#define PRIORITY_MAX 3
#define JOBS_PATH "/v1/jobs"

/** Options of the submit command. */
typedef struct submit_options_s {
	gn_ctl_options_t common;
	struct arg_str *work_class;
	struct arg_str *team;
	struct arg_str *service;
	struct arg_str *kind;
	struct arg_int *priority;
	struct arg_str *key;
	struct arg_str *file;
} submit_options_t;

static void create_submit_options(submit_options_t *o)
{
	gn_ctl_init_options(&o->common);
	o->work_class = arg_str0(NULL, "class", "CLASS",
				 "batch or standing (default batch)");
	o->team = arg_str1(NULL, "team", "TEAM", "team whose quota is used");
	o->service = arg_str1(NULL, "service", "SERVICE",
			      "service that runs the task");
	o->kind = arg_str1(NULL, "kind", "KIND", "kind of work");
	o->priority =
		arg_int0(NULL, "priority", "N", "0..3; 0 is the most urgent");
	o->key = arg_str0(NULL, "key", "KEY",
			  "idempotency key (default: random)");
	o->file = arg_str1(NULL, NULL, "FILE",
			   "task payload; - for standard input");
}

static int check_submit_options(gn_ctl_t *ctl, const submit_options_t *o)
{
	const char *name = gn_ctl_get_text(o->work_class);
	const char *key = gn_ctl_get_text(o->key);
	gn_class_t work_class = GN_CLASS_BATCH;

	if (name && gn_class_parse(gn_str_from(name), &work_class))
		work_class = GN_CLASS_COUNT;
	if (work_class != GN_CLASS_BATCH && work_class != GN_CLASS_STANDING)
		return gn_ctl_report_usage(ctl,
					   "--class is not batch or standing");
	if (o->priority->count &&
	    (o->priority->ival[0] < 0 || o->priority->ival[0] > PRIORITY_MAX))
		return gn_ctl_report_usage(ctl, "--priority is outside 0..%d",
					   PRIORITY_MAX);
	if (key && (!*key || strlen(key) > GN_KEY_MAX))
		return gn_ctl_report_usage(ctl, "--key is outside 1..%d bytes",
					   GN_KEY_MAX);
	return GN_CTL_CONTINUE;
}

static void set_submit_headers(const submit_options_t *o, const char *key,
			       const char *priority, gn_ctl_request_t *request)
{
	const char *work_class = gn_ctl_get_text(o->work_class);
	const gn_ctl_header_t headers[] = {
		{ "Gypsumnotch-Class", work_class ? work_class : "batch" },
		{ "Gypsumnotch-Team", gn_ctl_get_text(o->team) },
		{ "Gypsumnotch-Service", gn_ctl_get_text(o->service) },
		{ "Gypsumnotch-Kind", gn_ctl_get_text(o->kind) },
		{ "Gypsumnotch-Priority", priority },
		{ "Idempotency-Key", key },
		{ "Content-Type", "application/octet-stream" },
	};

	memcpy(request->headers, headers, sizeof(headers));
}

static int send_submit(gn_ctl_t *ctl, const submit_options_t *o, gn_str_t body)
{
	gn_ctl_request_t request = { .method = "POST",
				     .path = JOBS_PATH,
				     .body = body };
	gn_ctl_change_t change = {
		.description = "submit",
		.id_name = "key",
		.hint = "submitting with the same --key again runs it at "
			"most once"
	};
	char *generated_key = NULL;
	char priority[sizeof("9")];
	int status;

	change.id = gn_ctl_get_text(o->key);
	if (!change.id)
		change.id = generated_key = gn_ctl_generate_id(NULL);
	if (!change.id) {
		fputs("submit: cannot create ID\n", ctl->err);
		return GN_CTL_EXIT_FAILED;
	}
	if (o->priority->count)
		snprintf(priority, sizeof(priority), "%u",
			 (unsigned)o->priority->ival[0] % (PRIORITY_MAX + 1));
	set_submit_headers(o, change.id, o->priority->count ? priority : NULL,
			   &request);
	status = gn_ctl_run_change(ctl, &request, &change);
	talloc_free(generated_key);
	return status;
}

static int submit_file(gn_ctl_t *ctl, const submit_options_t *o)
{
	const char *path = o->file->sval[0];
	gn_error_t error = { 0 };
	gn_str_t body;
	int status;

	if (!strcmp(path, "-"))
		path = "/dev/stdin";
	if (gn_file_read(NULL, path, GN_BODY_MAX, "read-task", &body, &error)) {
		fprintf(ctl->err, "submit: %s: %s\n", path, error.detail);
		return GN_CTL_EXIT_FAILED;
	}
	status = send_submit(ctl, o, body);
	talloc_free((void *)body.data);
	return status;
}

int gn_command_submit(gn_ctl_t *ctl, int argc, char **argv)
{
	submit_options_t o;
	int status;

	create_submit_options(&o);
	void *table[] = { GN_CTL_COMMON_OPTIONS(o.common),
			  o.work_class,
			  o.team,
			  o.service,
			  o.kind,
			  o.priority,
			  o.key,
			  o.file,
			  GN_CTL_OPTIONS_END(o.common) };

	status = gn_ctl_parse_options(ctl, &o.common, argc, argv, table);
	if (status == GN_CTL_CONTINUE)
		status = check_submit_options(ctl, &o);
	if (status == GN_CTL_CONTINUE)
		status = submit_file(ctl, &o);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}

static int send_cancel(gn_ctl_t *ctl, const char *job, const char *team)
{
	gn_ctl_request_t request = { .method = "DELETE" };
	TALLOC_CTX *scratch = talloc_new(NULL);
	gn_ctl_change_t change = {
		.hint = "cancelling again is safe",
	};
	int status;

	request.path =
		job ? gn_ctl_build_path(scratch, JOBS_PATH "/", job, "")
		    : gn_ctl_build_path(scratch, JOBS_PATH "?team=", team, "");
	change.description = talloc_asprintf(
		scratch, "cancel %s%s", job ? "" : "team ", job ? job : team);
	if (!request.path || !change.description) {
		fputs("cancel: out of memory\n", ctl->err);
		status = GN_CTL_EXIT_FAILED;
	} else {
		status = gn_ctl_run_change(ctl, &request, &change);
	}
	talloc_free(scratch);
	return status;
}

int gn_command_cancel(gn_ctl_t *ctl, int argc, char **argv)
{
	struct arg_str *job = arg_str0(NULL, NULL, "JOB", "job ID");
	struct arg_str *team =
		arg_str0(NULL, "team", "TEAM", "cancel all jobs of this team");
	gn_ctl_options_t o;
	int status;

	gn_ctl_init_options(&o);
	void *table[] = { GN_CTL_COMMON_OPTIONS(o), team, job,
			  GN_CTL_OPTIONS_END(o) };

	status = gn_ctl_parse_options(ctl, &o, argc, argv, table);
	if (status == GN_CTL_CONTINUE && job->count == team->count)
		status =
			gn_ctl_report_usage(ctl, "give either a job or --team");
	if (status == GN_CTL_CONTINUE)
		status = send_cancel(ctl, gn_ctl_get_text(job),
				     gn_ctl_get_text(team));
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
