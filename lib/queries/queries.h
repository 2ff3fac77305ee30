/**
 * @file queries.h
 * @brief The subcommands that only read.
 */
#ifndef GN_QUERIES_QUERIES_H
#define GN_QUERIES_QUERIES_H

#include "ctl/ctl.h"

/** All queries, ended by one without a name. */
extern const gn_ctl_command_t gn_queries[];

/** status: the entry and what it sees. */
int gn_query_status(gn_ctl_t *ctl, int argc, char **argv);

/** hosts: a table of the hosts. */
int gn_query_hosts(gn_ctl_t *ctl, int argc, char **argv);

/** jobs: a table of the jobs. */
int gn_query_jobs(gn_ctl_t *ctl, int argc, char **argv);

/** job JOB: one job. */
int gn_query_job(gn_ctl_t *ctl, int argc, char **argv);

/** config [inventory|rules]: the configuration in force. */
int gn_query_config(gn_ctl_t *ctl, int argc, char **argv);

/** change ID: what became of a change. */
int gn_query_change(gn_ctl_t *ctl, int argc, char **argv);

/** dump: the whole state of one process, JSON. */
int gn_query_dump(gn_ctl_t *ctl, int argc, char **argv);

/** check inventory|rules|settings FILE: offline. */
int gn_query_check(gn_ctl_t *ctl, int argc, char **argv);

#endif
