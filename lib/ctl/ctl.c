#include "ctl/ctl.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "common/str.h"
#include "config/address.h"

#define PROGRAM "gypsumnotchctl"
/** Maximum number of usage errors that are printed. */
#define ERRORS_MAX 8
/** Width of a subcommand's name in the overview. */
#define NAME_WIDTH 18

static const char exit_codes[] =
	"Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 conflict,\n"
	"4 unknown (the change may have taken effect), 5 unreachable.\n";

static void print_overview(const gn_ctl_group_t *groups, FILE *file)
{
	fputs("usage: " PROGRAM " SUBCOMMAND [OPTION]... [ARGUMENT]...\n",
	      file);
	for (; groups->heading; groups++) {
		fprintf(file, "\n%s:\n", groups->heading);
		for (const gn_ctl_command_t *c = groups->commands; c->name; c++)
			fprintf(file, "  %-*s%s\n", NAME_WIDTH, c->name,
				c->summary);
	}
	fprintf(file,
		"\nRun " PROGRAM
		" SUBCOMMAND --help for details. The address of "
		"the\nentry is given by --entry IP:PORT or the variable "
		"%s.\n%s",
		GN_CTL_ENTRY_VARIABLE, exit_codes);
}

static const gn_ctl_command_t *find_command(const gn_ctl_group_t *groups,
					    const char *name)
{
	for (; groups->heading; groups++)
		for (const gn_ctl_command_t *c = groups->commands; c->name; c++)
			if (!strcmp(c->name, name))
				return c;
	return NULL;
}

int gn_ctl_run(const gn_ctl_group_t *groups, int argc, char **argv, FILE *out,
	       FILE *err)
{
	gn_ctl_t ctl = { .out = out, .err = err };
	const gn_ctl_command_t *command;

	if (argc < 2) {
		print_overview(groups, err);
		return GN_CTL_EXIT_USAGE;
	}
	if (!strcmp(argv[1], "--help") || !strcmp(argv[1], "help")) {
		print_overview(groups, out);
		return GN_CTL_EXIT_OK;
	}
	if (!strcmp(argv[1], "--version")) {
		fputs(PROGRAM " " GN_VERSION "\n", out);
		return GN_CTL_EXIT_OK;
	}
	command = find_command(groups, argv[1]);
	if (!command) {
		fprintf(err, PROGRAM ": no subcommand %s; see --help\n",
			argv[1]);
		return GN_CTL_EXIT_USAGE;
	}
	ctl.name = command->name;
	ctl.summary = command->summary;
	return command->run(&ctl, argc - 1, argv + 1);
}

void gn_ctl_init_options(gn_ctl_options_t *options)
{
	options->help = arg_lit0(NULL, "help", "print this help");
	options->json = arg_lit0(NULL, "json", "print JSON");
	options->entry =
		arg_str0(NULL, "entry", "IP:PORT", "HTTP address of the entry");
	options->timeout = arg_int0(NULL, "timeout-ms", "MS",
				    "timeout, 100..600000 (default 10000)");
	options->end = arg_end(ERRORS_MAX);
}

void gn_ctl_init_offline_options(gn_ctl_options_t *options)
{
	options->help = arg_lit0(NULL, "help", "print this help");
	options->json = NULL;
	options->entry = NULL;
	options->timeout = NULL;
	options->end = arg_end(ERRORS_MAX);
}

static void print_help(const gn_ctl_t *ctl, void **table)
{
	fprintf(ctl->out, "usage: " PROGRAM " %s", ctl->name);
	arg_print_syntaxv(ctl->out, table, "\n");
	fprintf(ctl->out, "\n%s\n\n", ctl->summary);
	arg_print_glossary(ctl->out, table, "  %-24s %s\n");
	fprintf(ctl->out, "\n%s", exit_codes);
}

int gn_ctl_report_usage(gn_ctl_t *ctl, const char *format, ...)
{
	va_list args;

	fprintf(ctl->err, PROGRAM " %s: ", ctl->name);
	va_start(args, format);
	vfprintf(ctl->err, format, args);
	va_end(args);
	fputs("; see --help\n", ctl->err);
	return GN_CTL_EXIT_USAGE;
}

static int read_timeout(gn_ctl_t *ctl, const struct arg_int *timeout)
{
	ctl->timeout_ms = GN_CTL_TIMEOUT_DEFAULT_MS;
	if (!timeout->count)
		return GN_CTL_CONTINUE;
	if (timeout->ival[0] < GN_CTL_TIMEOUT_MIN_MS ||
	    timeout->ival[0] > GN_CTL_TIMEOUT_MAX_MS)
		return gn_ctl_report_usage(
			ctl, "--timeout-ms is outside %d..%d",
			GN_CTL_TIMEOUT_MIN_MS, GN_CTL_TIMEOUT_MAX_MS);
	ctl->timeout_ms = (unsigned)timeout->ival[0];
	return GN_CTL_CONTINUE;
}

static int read_entry(gn_ctl_t *ctl, const struct arg_str *entry)
{
	struct sockaddr_storage address;

	ctl->entry = gn_ctl_get_text(entry);
	if (!ctl->entry)
		ctl->entry = getenv(GN_CTL_ENTRY_VARIABLE);
	if (!ctl->entry)
		return gn_ctl_report_usage(ctl,
					   "no entry: give --entry or set %s",
					   GN_CTL_ENTRY_VARIABLE);
	if (gn_address_parse(gn_str_from(ctl->entry), &address))
		return gn_ctl_report_usage(ctl, "the entry %s is not IP:PORT",
					   ctl->entry);
	return GN_CTL_CONTINUE;
}

int gn_ctl_parse_options(gn_ctl_t *ctl, const gn_ctl_options_t *options,
			 int argc, char **argv, void **table)
{
	int errors = arg_parse(argc, argv, table);
	int code;

	if (options->help->count) {
		print_help(ctl, table);
		return GN_CTL_EXIT_OK;
	}
	if (errors) {
		arg_print_errors(ctl->err, options->end, PROGRAM);
		return gn_ctl_report_usage(ctl, "wrong usage");
	}
	if (!options->entry)
		return GN_CTL_CONTINUE;
	ctl->json = options->json->count > 0;
	code = read_timeout(ctl, options->timeout);
	return code == GN_CTL_CONTINUE ? read_entry(ctl, options->entry) : code;
}

const char *gn_ctl_get_text(const struct arg_str *argument)
{
	return argument->count ? argument->sval[0] : NULL;
}
