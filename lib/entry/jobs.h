/**
 * @file jobs.h
 * @brief The callers' HTTP interface to batch and standing work.
 *
 * Commands go to the owner of the team's bucket, through this entry if it is
 * another; queries read the buckets' stored values, so that any entry answers
 * them and tells only what is durable.
 */
#ifndef GN_ENTRY_JOBS_H
#define GN_ENTRY_JOBS_H

#include "entry/entry_internal.h"

/* ======   Commands   ====== */

/** POST /v1/jobs. */
void entry_on_job_submit(void *arg, gn_http_request_t *request, gn_str_t name);
/** DELETE /v1/jobs/ID. */
void entry_on_job_cancel(void *arg, gn_http_request_t *request, gn_str_t name);
/** DELETE /v1/jobs?team=NAME. */
void entry_on_jobs_cancel(void *arg, gn_http_request_t *request, gn_str_t name);

/* ======   Queries   ====== */

/** GET /v1/jobs. */
void entry_on_jobs_get(void *arg, gn_http_request_t *request, gn_str_t name);
/** GET /v1/jobs/ID. */
void entry_on_job_get(void *arg, gn_http_request_t *request, gn_str_t name);

#endif
