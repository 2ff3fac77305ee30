/* Offline check of a document, without an entry. */
#include <string.h>

#include "config/inventory.h"
#include "config/rules.h"
#include "config/settings.h"
#include "queries/queries.h"

/**
 * Checks the document at @p path and prints a summary if it is valid.
 * @param inventory path of the inventory to check rules against, or NULL
 */
typedef gn_code_t (*check_fn_t)(gn_ctl_t *ctl, const char *path,
				const char *inventory, gn_error_t *error);

static gn_code_t check_inventory(gn_ctl_t *ctl, const char *path,
				 const char *inventory_path, gn_error_t *error)
{
	gn_inventory_t *inventory;
	gn_code_t code = gn_inventory_load(NULL, path, &inventory, error);

	(void)inventory_path;
	if (code)
		return code;
	fprintf(ctl->out, "%s: valid: %zu data centres, %zu racks, %zu hosts\n",
		path, inventory->data_centre_count, inventory->rack_count,
		inventory->host_count);
	talloc_free(inventory);
	return GN_OK;
}

static gn_code_t check_rules(gn_ctl_t *ctl, const char *path,
			     const char *inventory_path, gn_error_t *error)
{
	gn_inventory_t *inventory = NULL;
	gn_code_t code = GN_OK;
	gn_rules_t *rules;

	if (inventory_path)
		code = gn_inventory_load(NULL, inventory_path, &inventory,
					 error);
	if (!code)
		code = gn_rules_load(NULL, path, inventory, &rules, error);
	talloc_free(inventory);
	if (code)
		return code;
	fprintf(ctl->out,
		"%s: valid: %zu teams, %zu exclusions, %zu windows, "
		"%zu drained hosts\n",
		path, rules->team_count, rules->exclusion_count,
		rules->window_count, rules->drain_count);
	talloc_free(rules);
	return GN_OK;
}

static gn_code_t check_settings(gn_ctl_t *ctl, const char *path,
				const char *inventory_path, gn_error_t *error)
{
	gn_settings_t *settings;
	gn_code_t code = gn_settings_load(NULL, path, &settings, error);

	(void)inventory_path;
	if (code)
		return code;
	fprintf(ctl->out, "%s: valid: %s %s\n", path,
		settings->role == GN_ROLE_ENTRY ? "entry" : "agent",
		settings->name);
	talloc_free(settings);
	return GN_OK;
}

static const struct {
	const char *name;
	check_fn_t check;
} checks[] = {
	{ "inventory", check_inventory },
	{ "rules", check_rules },
	{ "settings", check_settings },
};

static int check_document(gn_ctl_t *ctl, const char *name, const char *path,
			  const char *inventory_path)
{
	gn_error_t error = { 0 };

	for (size_t i = 0; i < sizeof(checks) / sizeof(checks[0]); i++) {
		if (strcmp(name, checks[i].name) != 0)
			continue;
		if (!checks[i].check(ctl, path, inventory_path, &error))
			return GN_CTL_EXIT_OK;
		fprintf(ctl->err, "%s: %s\n", error.peer, error.detail);
		return GN_CTL_EXIT_FAILED;
	}
	return gn_ctl_report_usage(
		ctl, "%s is not inventory, rules or settings", name);
}

int gn_query_check(gn_ctl_t *ctl, int argc, char **argv)
{
	struct arg_str *name =
		arg_str1(NULL, NULL, "KIND", "inventory, rules or settings");
	struct arg_str *file =
		arg_str1(NULL, NULL, "FILE", "document to check");
	struct arg_str *inventory = arg_str0(
		NULL, "inventory", "FILE", "inventory to check rules against");
	gn_ctl_options_t o;
	int status;

	gn_ctl_init_offline_options(&o);
	void *table[] = { o.help, inventory, name, file,
			  GN_CTL_OPTIONS_END(o) };

	status = gn_ctl_parse_options(ctl, &o, argc, argv, table);
	if (status == GN_CTL_CONTINUE)
		status = check_document(ctl, name->sval[0], file->sval[0],
					gn_ctl_get_text(inventory));
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
