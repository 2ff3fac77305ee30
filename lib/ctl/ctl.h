/**
 * @file ctl.h
 * @brief The command line's frame: subcommands, common options, exit codes.
 *
 * A subcommand is a row of a table. Commands (lib/commands/) change state,
 * queries (lib/queries/) only read; both speak to an entry over HTTP.
 */
#ifndef GN_CTL_CTL_H
#define GN_CTL_CTL_H

#include <stdbool.h>
#include <stdio.h>
#include <argtable2.h>

#include "gypsumnotch.h"

/** Names the entry where --entry is not given. */
#define GN_CTL_ENTRY_VARIABLE "GYPSUMNOTCH_ENTRY"
/** How long one answer may take, milliseconds: least, most, default. */
#define GN_CTL_TIMEOUT_MIN_MS 100
#define GN_CTL_TIMEOUT_MAX_MS 600000
#define GN_CTL_TIMEOUT_DEFAULT_MS 10000

/** Exit codes. */
typedef enum gn_ctl_exit_e {
	GN_CTL_EXIT_OK = 0,
	GN_CTL_EXIT_FAILED = 1, /**< refused; nothing was changed */
	GN_CTL_EXIT_USAGE = 2, /**< the command line is wrong */
	GN_CTL_EXIT_CONFLICT = 3, /**< another change came first */
	GN_CTL_EXIT_UNKNOWN = 4, /**< the change may have taken effect */
	GN_CTL_EXIT_UNREACHABLE = 5, /**< no entry; nothing was changed */
	/** Not an exit code: gn_ctl_parse_options() found nothing to end for. */
	GN_CTL_CONTINUE = -1
} gn_ctl_exit_t;

/** One run of the command line. */
typedef struct gn_ctl_s {
	FILE *out;
	FILE *err;
	const char *name; /**< of the subcommand */
	const char *summary; /**< of the subcommand */
	const char *entry; /**< IP:PORT */
	unsigned timeout_ms;
	bool json; /**< print JSON in place of plain text */
} gn_ctl_t;

/** Runs a subcommand; argv[0] is its name. Returns an exit code. */
typedef int (*gn_ctl_run_fn_t)(gn_ctl_t *ctl, int argc, char **argv);

/** A subcommand; a table of them ends with one without a name. */
typedef struct gn_ctl_command_s {
	const char *name;
	const char *summary; /**< one line */
	gn_ctl_run_fn_t run;
} gn_ctl_command_t;

/** Some subcommands with a heading. */
typedef struct gn_ctl_group_s {
	const char *heading;
	const gn_ctl_command_t *commands;
} gn_ctl_group_t;

/**
 * Finds the subcommand argv[1] in @p groups and runs it.
 * @param groups ended by one without a heading
 * @return an exit code
 */
int gn_ctl_run(const gn_ctl_group_t *groups, int argc, char **argv, FILE *out,
	       FILE *err);

/** The options of every subcommand that speaks to an entry. */
typedef struct gn_ctl_options_s {
	struct arg_lit *help;
	struct arg_lit *json;
	struct arg_str *entry;
	struct arg_int *timeout;
	struct arg_end *end;
} gn_ctl_options_t;

/** The options as the first and the last members of an argtable. */
#define GN_CTL_COMMON_OPTIONS(o) (o).help, (o).json, (o).entry, (o).timeout
#define GN_CTL_OPTIONS_END(o) (o).end

/** Creates the common options. */
void gn_ctl_init_options(gn_ctl_options_t *options);

/** Creates --help alone, for subcommands that work offline. */
void gn_ctl_init_offline_options(gn_ctl_options_t *options);

/**
 * Parses the command line and answers --help and wrong usage.
 * @param table the argtable, ended by options->end
 * @return GN_CTL_CONTINUE, else the exit code
 */
int gn_ctl_parse_options(gn_ctl_t *ctl, const gn_ctl_options_t *options,
			 int argc, char **argv, void **table);

/** Says what is wrong with the usage; returns GN_CTL_EXIT_USAGE. */
int gn_ctl_report_usage(gn_ctl_t *ctl, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** The text of an optional argument, or NULL. */
const char *gn_ctl_get_text(const struct arg_str *argument);

#endif
