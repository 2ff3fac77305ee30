/**
 * @file main.c
 * @brief Daemon: reads the settings and runs the role that they specify.
 */
#include <argtable2.h>
#include <stdio.h>

#include "agent/agent.h"
#include "common/log.h"
#include "daemon/runtime.h"
#include "entry/entry.h"
#include "executor/executor.h"
#include "scheduler/scheduler.h"

#include "../../platform/adapter.h"

#define EXIT_FAILED 1
#define EXIT_USAGE 2

static const gn_role_ops_t *const roles[GN_ROLE_COUNT] = {
	[GN_ROLE_ENTRY] = &gn_entry_role,
	[GN_ROLE_AGENT] = &gn_agent_role,
	[GN_ROLE_SCHEDULER] = &gn_scheduler_role,
	[GN_ROLE_EXECUTOR] = &gn_executor_role,
};

static int run(const char *path, bool check_only)
{
	gn_settings_t *settings = NULL;
	gn_error_t error = { 0 };
	int status = 0;

	if (gn_settings_load(NULL, path, &settings, &error))
		goto fail;
	gn_log_init("gypsumnotchd", settings->log_level);
	if (!check_only && gn_runtime_run(settings, roles[settings->role],
					  &platform_adapter, &error))
		goto fail;
	goto out;
fail:
	gn_log_error(LOG_ERR, &error);
	status = EXIT_FAILED;
out:
	talloc_free(settings);
	return status;
}

int main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_lit *version = arg_lit0("V", "version", "show the version");
	struct arg_lit *check =
		arg_lit0("c", "check", "check the settings and exit");
	struct arg_file *settings =
		arg_file1("s", "settings", "FILE", "settings file in TOML");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, version, check, settings, end };
	int errors = arg_parse(argc, argv, table);
	int status = 0;

	gn_log_init("gypsumnotchd", LOG_INFO);
	if (help->count) {
		printf("usage: gypsumnotchd");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-22s %s\n");
	} else if (version->count) {
		puts("gypsumnotchd " GN_VERSION);
	} else if (errors) {
		arg_print_errors(stderr, end, "gypsumnotchd");
		status = EXIT_USAGE;
	} else {
		status = run(settings->filename[0], check->count > 0);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
