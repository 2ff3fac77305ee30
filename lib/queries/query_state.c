/* Queries of the state of an entry: hosts, jobs and the state dump. */
#include <string.h>

#include "ctl/ctl_outcome.h"
#include "ctl/ctl_print.h"
#include "queries/queries.h"

static const gn_ctl_column_t status_columns[] = {
	{ "NAME", "name" },
	{ "INCARNATION", "incarnation" },
	{ "DATA CENTRE", "data_centre" },
	{ "REVISION", "config_revision" },
	{ "WORKERS", "workers" },
	{ "DRAINING", "draining" },
	{ NULL, NULL },
};

static const gn_ctl_column_t host_columns[] = {
	{ "NAME", "name" },
	{ "DATA CENTRE", "data_centre" },
	{ "RACK", "rack" },
	{ "SERVICE", "service" },
	{ "STATE", "state" },
	{ "REQUESTS", "running_requests" },
	{ "TASKS", "running_tasks" },
	{ "REVISION", "config_revision" },
	{ NULL, NULL },
};

static const gn_ctl_column_t job_columns[] = {
	{ "ID", "id" },
	{ "CLASS", "class" },
	{ "TEAM", "team" },
	{ "KIND", "kind" },
	{ "STATE", "state" },
	{ "WORKER", "worker" },
	{ "ATTEMPTS", "attempts" },
	{ "REASON", "reason" },
	{ NULL, NULL },
};

static const gn_ctl_column_t evacuation_columns[] = {
	{ "DATA CENTRE", "data_centre" },
	{ "REVISION", "revision" },
	{ "FAULT", "fault" },
	{ NULL, NULL },
};

static const gn_ctl_column_t evacuations_columns[] = {
	{ "REVISION", "revision" },
	{ "AGE MS", "age_ms" },
	{ NULL, NULL },
};

static void print_status(gn_ctl_t *ctl, const json_t *object)
{
	gn_ctl_print_record(ctl->out, status_columns, object);
}

static void print_hosts(gn_ctl_t *ctl, const json_t *object)
{
	gn_ctl_print_table(ctl->out, host_columns,
			   json_object_get(object, "hosts"));
}

static void print_jobs(gn_ctl_t *ctl, const json_t *object)
{
	gn_ctl_print_table(ctl->out, job_columns,
			   json_object_get(object, "jobs"));
}

static void print_job(gn_ctl_t *ctl, const json_t *object)
{
	gn_ctl_print_record(ctl->out, job_columns, object);
}

/* Part of the state dump of a scheduler. */
static void print_evacuations(gn_ctl_t *ctl, const json_t *object)
{
	const json_t *evacuations = json_object_get(object, "evacuations");

	gn_ctl_print_table(ctl->out, evacuation_columns,
			   json_object_get(evacuations, "data_centres"));
	gn_ctl_print_record(ctl->out, evacuations_columns, evacuations);
}

static void print_dump(gn_ctl_t *ctl, const json_t *object)
{
	gn_ctl_print_json(ctl->out, object);
}

static const gn_ctl_view_t status_view = { "name", print_status };
static const gn_ctl_view_t hosts_view = { "hosts", print_hosts };
static const gn_ctl_view_t jobs_view = { "jobs", print_jobs };
static const gn_ctl_view_t job_view = { "id", print_job };
static const gn_ctl_view_t evacuations_view = { "evacuations",
						print_evacuations };
static const gn_ctl_view_t dump_view = { NULL, print_dump };

/** Runs a query that has no arguments. */
static int run_simple_query(gn_ctl_t *ctl, int argc, char **argv,
			    const char *path, const gn_ctl_view_t *view)
{
	gn_ctl_options_t o;
	int status;

	gn_ctl_init_options(&o);
	void *table[] = { GN_CTL_COMMON_OPTIONS(o), GN_CTL_OPTIONS_END(o) };

	status = gn_ctl_parse_options(ctl, &o, argc, argv, table);
	if (status == GN_CTL_CONTINUE)
		status = gn_ctl_run_query(ctl, path, view);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}

int gn_query_status(gn_ctl_t *ctl, int argc, char **argv)
{
	return run_simple_query(ctl, argc, argv, "/v1/status", &status_view);
}

int gn_query_hosts(gn_ctl_t *ctl, int argc, char **argv)
{
	return run_simple_query(ctl, argc, argv, "/v1/hosts", &hosts_view);
}

int gn_query_jobs(gn_ctl_t *ctl, int argc, char **argv)
{
	return run_simple_query(ctl, argc, argv, "/v1/jobs", &jobs_view);
}

int gn_query_evacuations(gn_ctl_t *ctl, int argc, char **argv)
{
	return run_simple_query(ctl, argc, argv, "/dump", &evacuations_view);
}

int gn_query_dump(gn_ctl_t *ctl, int argc, char **argv)
{
	return run_simple_query(ctl, argc, argv, "/dump", &dump_view);
}

static int query_by_id(gn_ctl_t *ctl, const char *prefix, const char *id,
		       const gn_ctl_view_t *view)
{
	char *path = gn_ctl_build_path(NULL, prefix, id, "");
	int status;

	if (!path) {
		fprintf(ctl->err, "%s: out of memory\n", ctl->name);
		return GN_CTL_EXIT_FAILED;
	}
	status = gn_ctl_run_query(ctl, path, view);
	talloc_free(path);
	return status;
}

int gn_query_job(gn_ctl_t *ctl, int argc, char **argv)
{
	struct arg_str *id = arg_str1(NULL, NULL, "JOB", "job ID");
	gn_ctl_options_t o;
	int status;

	gn_ctl_init_options(&o);
	void *table[] = { GN_CTL_COMMON_OPTIONS(o), id, GN_CTL_OPTIONS_END(o) };

	status = gn_ctl_parse_options(ctl, &o, argc, argv, table);
	if (status == GN_CTL_CONTINUE)
		status = query_by_id(ctl, "/v1/jobs/", id->sval[0], &job_view);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
