/* Queries of the active configuration and of the outcome of a change. */
#include <string.h>

#include "ctl/ctl_outcome.h"
#include "ctl/ctl_print.h"
#include "queries/queries.h"

/** Prints a document unescaped, since it came from an operator. */
static void print_document(gn_ctl_t *ctl, const json_t *object,
			   const char *part)
{
	const json_t *text = json_object_get(object, part);

	if (json_is_string(text))
		fwrite(json_string_value(text), 1, json_string_length(text),
		       ctl->out);
}

static void print_inventory(gn_ctl_t *ctl, const json_t *object)
{
	print_document(ctl, object, "inventory");
}

static void print_rules(gn_ctl_t *ctl, const json_t *object)
{
	print_document(ctl, object, "rules");
}

static void print_both(gn_ctl_t *ctl, const json_t *object)
{
	long long revision = (long long)json_integer_value(
		json_object_get(object, "revision"));

	fprintf(ctl->out, "# revision %lld, inventory\n", revision);
	print_inventory(ctl, object);
	fprintf(ctl->out, "# revision %lld, rules\n", revision);
	print_rules(ctl, object);
}

/** Parts of the configuration that `config PART` can print. */
static const struct {
	const char *part;
	gn_ctl_view_t view;
} parts[] = {
	{ "inventory", { "inventory", print_inventory } },
	{ "rules", { "rules", print_rules } },
};

static const gn_ctl_view_t config_view = { "revision", print_both };

static int query_part(gn_ctl_t *ctl, const char *part)
{
	if (!part)
		return gn_ctl_run_query(ctl, "/v1/config", &config_view);
	for (size_t i = 0; i < sizeof(parts) / sizeof(parts[0]); i++)
		if (!strcmp(part, parts[i].part))
			return gn_ctl_run_query(ctl, "/v1/config",
						&parts[i].view);
	return gn_ctl_report_usage(ctl, "%s is not inventory or rules", part);
}

int gn_query_config(gn_ctl_t *ctl, int argc, char **argv)
{
	struct arg_str *part = arg_str0(NULL, NULL, "PART",
					"inventory or rules (default: both)");
	gn_ctl_options_t o;
	int status;

	gn_ctl_init_options(&o);
	void *table[] = { GN_CTL_COMMON_OPTIONS(o), part,
			  GN_CTL_OPTIONS_END(o) };

	status = gn_ctl_parse_options(ctl, &o, argc, argv, table);
	if (status == GN_CTL_CONTINUE)
		status = query_part(ctl, gn_ctl_get_text(part));
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}

static int query_change(gn_ctl_t *ctl, const char *id)
{
	gn_ctl_request_t request = { .method = "GET" };
	const gn_ctl_change_t change = { .description = "change",
					 .id_name = "change",
					 .id = id,
					 .is_query = true };
	char *path = gn_ctl_build_path(NULL, "/v1/changes/", id, "");
	int status;

	if (!path) {
		fputs("change: out of memory\n", ctl->err);
		return GN_CTL_EXIT_FAILED;
	}
	request.path = path;
	status = gn_ctl_run_change(ctl, &request, &change);
	talloc_free(path);
	return status;
}

int gn_query_change(gn_ctl_t *ctl, int argc, char **argv)
{
	struct arg_str *id = arg_str1(NULL, NULL, "ID", "change ID");
	gn_ctl_options_t o;
	int status;

	gn_ctl_init_options(&o);
	void *table[] = { GN_CTL_COMMON_OPTIONS(o), id, GN_CTL_OPTIONS_END(o) };

	status = gn_ctl_parse_options(ctl, &o, argc, argv, table);
	if (status == GN_CTL_CONTINUE)
		status = query_change(ctl, id->sval[0]);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
