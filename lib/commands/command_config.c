/* Commands that change the configuration: inventory, rules and drains. */
#include <stdio.h>

#include "commands/commands.h"
#include "config/file.h"
#include "config/toml.h"
#include "ctl/ctl_outcome.h"

/** Maximum size of a decimal revision, including the terminator, bytes. */
#define REVISION_SIZE 16
#define UNKNOWN_HINT "query the outcome with: gypsumnotchctl change"

/** Options common to changes of the configuration. */
typedef struct change_options_s {
	gn_ctl_options_t common;
	struct arg_int *if_revision;
	struct arg_str *change_id;
} change_options_t;

static void create_options(change_options_t *options)
{
	gn_ctl_init_options(&options->common);
	options->if_revision =
		arg_int0(NULL, "if-revision", "N",
			 "fail unless the current revision is N");
	options->change_id = arg_str0(NULL, "change-id", "ID",
				      "ID of the change (default: random)");
}

/** Sends a change with its ID and, if given, the expected revision. */
static int send_change(gn_ctl_t *ctl, const change_options_t *options,
		       gn_ctl_request_t request, const char *description)
{
	TALLOC_CTX *scratch = talloc_new(NULL);
	char revision[REVISION_SIZE];
	gn_ctl_change_t change = { .description = description,
				   .id_name = "change",
				   .hint = UNKNOWN_HINT };
	int status;

	change.id = gn_ctl_get_text(options->change_id);
	if (!change.id)
		change.id = gn_ctl_generate_id(scratch);
	if (!change.id) {
		fprintf(ctl->err, "%s: cannot create ID\n", description);
		talloc_free(scratch);
		return GN_CTL_EXIT_FAILED;
	}
	request.headers[0] = (gn_ctl_header_t){ "Change-Id", change.id };
	if (options->if_revision->count) {
		snprintf(revision, sizeof(revision), "%d",
			 options->if_revision->ival[0]);
		request.headers[1] =
			(gn_ctl_header_t){ "If-Revision", revision };
	}
	status = gn_ctl_run_change(ctl, &request, &change);
	talloc_free(scratch);
	return status;
}

/** Parses the command line of a change and checks its options. */
static int parse_change_options(gn_ctl_t *ctl, const change_options_t *options,
				int argc, char **argv, void **table)
{
	int status =
		gn_ctl_parse_options(ctl, &options->common, argc, argv, table);

	if (status == GN_CTL_CONTINUE && options->if_revision->count &&
	    options->if_revision->ival[0] < 0)
		return gn_ctl_report_usage(ctl, "--if-revision is negative");
	return status;
}

static int put_file(gn_ctl_t *ctl, const change_options_t *options,
		    const char *path, const char *target,
		    const char *description)
{
	gn_ctl_request_t request = { .method = "PUT", .path = target };
	gn_error_t error = { 0 };
	gn_str_t text;
	int status;

	if (gn_file_read(NULL, path, GN_TOML_TEXT_MAX, "read-document", &text,
			 &error)) {
		fprintf(ctl->err, "%s: %s: %s\n", description, path,
			error.detail);
		return GN_CTL_EXIT_FAILED;
	}
	request.body = text;
	request.headers[2] =
		(gn_ctl_header_t){ "Content-Type", "application/toml" };
	status = send_change(ctl, options, request, description);
	talloc_free((void *)text.data);
	return status;
}

static int replace_document(gn_ctl_t *ctl, int argc, char **argv,
			    const char *target, const char *description)
{
	struct arg_str *file = arg_str1(NULL, NULL, "FILE", "TOML document");
	change_options_t o;
	int status;

	create_options(&o);
	void *table[] = { GN_CTL_COMMON_OPTIONS(o.common), o.if_revision,
			  o.change_id, file, GN_CTL_OPTIONS_END(o.common) };

	status = parse_change_options(ctl, &o, argc, argv, table);
	if (status == GN_CTL_CONTINUE)
		status = put_file(ctl, &o, file->sval[0], target, description);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}

int gn_command_import_inventory(gn_ctl_t *ctl, int argc, char **argv)
{
	return replace_document(ctl, argc, argv, "/v1/config/inventory",
				"inventory");
}

int gn_command_set_rules(gn_ctl_t *ctl, int argc, char **argv)
{
	return replace_document(ctl, argc, argv, "/v1/config/rules", "rules");
}

static int post_host(gn_ctl_t *ctl, const change_options_t *options,
		     const char *host, const char *verb)
{
	TALLOC_CTX *scratch = talloc_new(NULL);
	char *suffix = talloc_asprintf(scratch, "/%s", verb);
	char *description = talloc_asprintf(scratch, "%s %s", verb, host);
	gn_ctl_request_t request = { .method = "POST" };
	int status = GN_CTL_EXIT_FAILED;

	if (suffix && description)
		request.path =
			gn_ctl_build_path(scratch, "/v1/hosts/", host, suffix);
	if (request.path)
		status = send_change(ctl, options, request, description);
	else
		fprintf(ctl->err, "%s: out of memory\n", verb);
	talloc_free(scratch);
	return status;
}

static int change_host(gn_ctl_t *ctl, int argc, char **argv, const char *verb)
{
	struct arg_str *host = arg_str1(NULL, NULL, "HOST", "name of the host");
	change_options_t o;
	int status;

	create_options(&o);
	void *table[] = { GN_CTL_COMMON_OPTIONS(o.common), o.if_revision,
			  o.change_id, host, GN_CTL_OPTIONS_END(o.common) };

	status = parse_change_options(ctl, &o, argc, argv, table);
	if (status == GN_CTL_CONTINUE)
		status = post_host(ctl, &o, host->sval[0], verb);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}

int gn_command_drain(gn_ctl_t *ctl, int argc, char **argv)
{
	return change_host(ctl, argc, argv, "drain");
}

int gn_command_resume(gn_ctl_t *ctl, int argc, char **argv)
{
	return change_host(ctl, argc, argv, "resume");
}
