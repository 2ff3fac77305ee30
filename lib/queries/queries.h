/**
 * @file queries.h
 * @brief Subcommands that only read.
 */
#ifndef GN_QUERIES_QUERIES_H
#define GN_QUERIES_QUERIES_H

#include "ctl/ctl.h"

/** Table of the queries; ends with an entry whose name is NULL. */
extern const gn_ctl_command_t gn_queries[];

/** Runs status: prints the state of an entry. */
int gn_query_status(gn_ctl_t *ctl, int argc, char **argv);

/** Runs hosts: prints a table of the hosts. */
int gn_query_hosts(gn_ctl_t *ctl, int argc, char **argv);

/** Runs jobs: prints a table of the jobs. */
int gn_query_jobs(gn_ctl_t *ctl, int argc, char **argv);

/** Runs job JOB: prints one job. */
int gn_query_job(gn_ctl_t *ctl, int argc, char **argv);

/** Runs config [inventory|rules]: prints the active configuration. */
int gn_query_config(gn_ctl_t *ctl, int argc, char **argv);

/** Runs change ID: prints the outcome of a change. */
int gn_query_change(gn_ctl_t *ctl, int argc, char **argv);

/** Runs evacuations: prints the data centres that a scheduler knows as
 * evacuated. */
int gn_query_evacuations(gn_ctl_t *ctl, int argc, char **argv);

/** Runs dump: prints the full state of a process as JSON. */
int gn_query_dump(gn_ctl_t *ctl, int argc, char **argv);

/** Runs check inventory|rules|settings FILE: validates a file offline. */
int gn_query_check(gn_ctl_t *ctl, int argc, char **argv);

#endif
