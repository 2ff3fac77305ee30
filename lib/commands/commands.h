/**
 * @file commands.h
 * @brief Subcommands that change state.
 */
#ifndef GN_COMMANDS_COMMANDS_H
#define GN_COMMANDS_COMMANDS_H

#include "ctl/ctl.h"

/** Table of the commands; ends with an entry whose name is NULL. */
extern const gn_ctl_command_t gn_commands[];

/** Runs import-inventory FILE: replaces the inventory. */
int gn_command_import_inventory(gn_ctl_t *ctl, int argc, char **argv);

/** Runs set-rules FILE: replaces the rules. */
int gn_command_set_rules(gn_ctl_t *ctl, int argc, char **argv);

/** Runs drain HOST: assigns no new work to the host. */
int gn_command_drain(gn_ctl_t *ctl, int argc, char **argv);

/** Runs resume HOST: ends a drain. */
int gn_command_resume(gn_ctl_t *ctl, int argc, char **argv);

/** Runs submit FILE: submits a batch job or a standing task. */
int gn_command_submit(gn_ctl_t *ctl, int argc, char **argv);

/** Runs cancel JOB or cancel --team TEAM: cancels jobs. */
int gn_command_cancel(gn_ctl_t *ctl, int argc, char **argv);

#endif
