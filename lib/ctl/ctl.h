/**
 * @file ctl.h
 * @brief Command line framework: subcommands, common options, exit codes.
 *
 * Subcommands are listed in tables. Commands (lib/commands/) change state,
 * queries (lib/queries/) only read; both call an entry over HTTP.
 */
#ifndef GN_CTL_CTL_H
#define GN_CTL_CTL_H

#include <stdbool.h>
#include <stdio.h>
#include <argtable2.h>

#include "gypsumnotch.h"

/** Environment variable with the entry's address if --entry is not given. */
#define GN_CTL_ENTRY_VARIABLE "GYPSUMNOTCH_ENTRY"
/** Range and default of --timeout-ms, the timeout of a request. */
#define GN_CTL_TIMEOUT_MIN_MS 100
#define GN_CTL_TIMEOUT_MAX_MS 600000
#define GN_CTL_TIMEOUT_DEFAULT_MS 10000

/** Exit codes. */
typedef enum gn_ctl_exit_e {
	GN_CTL_EXIT_OK = 0,
	GN_CTL_EXIT_FAILED = 1, /**< Refused or failed; nothing changed. */
	GN_CTL_EXIT_USAGE = 2, /**< The command line is invalid. */
	GN_CTL_EXIT_CONFLICT = 3, /**< The revision has changed meanwhile. */
	GN_CTL_EXIT_UNKNOWN = 4, /**< The change may have taken effect. */
	GN_CTL_EXIT_UNREACHABLE = 5, /**< No entry reached; nothing changed. */
	/** Not an exit code: the subcommand continues. */
	GN_CTL_CONTINUE = -1
} gn_ctl_exit_t;

/** State of one run of the command line. */
typedef struct gn_ctl_s {
	FILE *out;
	FILE *err;
	const char *name; /**< Name of the subcommand. */
	const char *summary; /**< Summary of the subcommand. */
	const char *entry; /**< Address of the entry, IP:PORT. */
	unsigned timeout_ms;
	bool json; /**< Print JSON instead of plain text. */
} gn_ctl_t;

/** Runs a subcommand, whose name is argv[0]; returns an exit code. */
typedef int (*gn_ctl_run_fn_t)(gn_ctl_t *ctl, int argc, char **argv);

/** A subcommand; in a table the last one has a NULL name. */
typedef struct gn_ctl_command_s {
	const char *name;
	const char *summary; /**< Summary in one line. */
	gn_ctl_run_fn_t run;
} gn_ctl_command_t;

/** A table of subcommands and its heading in the overview. */
typedef struct gn_ctl_group_s {
	const char *heading;
	const gn_ctl_command_t *commands;
} gn_ctl_group_t;

/**
 * Finds the subcommand argv[1] in @p groups and runs it.
 * @param groups table whose last element has a NULL heading
 * @return an exit code
 */
int gn_ctl_run(const gn_ctl_group_t *groups, int argc, char **argv, FILE *out,
	       FILE *err);

/** Options common to all subcommands that call an entry. */
typedef struct gn_ctl_options_s {
	struct arg_lit *help;
	struct arg_lit *json;
	struct arg_str *entry;
	struct arg_int *timeout;
	struct arg_end *end;
} gn_ctl_options_t;

/** The common options as the first and the last members of an argtable. */
#define GN_CTL_COMMON_OPTIONS(o) (o).help, (o).json, (o).entry, (o).timeout
#define GN_CTL_OPTIONS_END(o) (o).end

/** Creates the common options, which arg_freetable() frees. */
void gn_ctl_init_options(gn_ctl_options_t *options);

/** Creates only --help, for subcommands that do not call an entry. */
void gn_ctl_init_offline_options(gn_ctl_options_t *options);

/**
 * Parses the command line; prints the help for --help and an error if the
 * command line is invalid.
 * @param table argtable whose last element is options->end
 * @return GN_CTL_CONTINUE if the subcommand is to run, otherwise an exit code
 */
int gn_ctl_parse_options(gn_ctl_t *ctl, const gn_ctl_options_t *options,
			 int argc, char **argv, void **table);

/** Prints a usage error; returns GN_CTL_EXIT_USAGE. */
int gn_ctl_report_usage(gn_ctl_t *ctl, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** Returns the text of an optional argument, or NULL if it is not given. */
const char *gn_ctl_get_text(const struct arg_str *argument);

#endif
