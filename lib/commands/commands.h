/**
 * @file commands.h
 * @brief The subcommands that change state.
 */
#ifndef GN_COMMANDS_COMMANDS_H
#define GN_COMMANDS_COMMANDS_H

#include "ctl/ctl.h"

/** All commands, ended by one without a name. */
extern const gn_ctl_command_t gn_commands[];

/** import-inventory FILE: replaces the inventory. */
int gn_command_import_inventory(gn_ctl_t *ctl, int argc, char **argv);

/** set-rules FILE: replaces the rules. */
int gn_command_set_rules(gn_ctl_t *ctl, int argc, char **argv);

/** drain HOST: gives the host no new work. */
int gn_command_drain(gn_ctl_t *ctl, int argc, char **argv);

/** resume HOST: ends a drain. */
int gn_command_resume(gn_ctl_t *ctl, int argc, char **argv);

/** submit FILE: submits a batch job or a standing task. */
int gn_command_submit(gn_ctl_t *ctl, int argc, char **argv);

/** cancel JOB or cancel --team TEAM. */
int gn_command_cancel(gn_ctl_t *ctl, int argc, char **argv);

#endif
