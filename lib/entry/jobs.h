/**
 * @file jobs.h
 * @brief HTTP interface for batch and standing jobs.
 *
 * Commands are handled by the owner of the team's bucket; this entry forwards
 * them if another entry owns it. Queries read the stored values of the buckets,
 * so any entry can respond to them, and the responses contain only durable
 * state.
 */
#ifndef GN_ENTRY_JOBS_H
#define GN_ENTRY_JOBS_H

#include "entry/entry_internal.h"

/* ======   Commands   ====== */

/** Handles POST /v1/jobs. */
void entry_on_job_submit(void *arg, gn_http_request_t *request, gn_str_t name);
/** Handles DELETE /v1/jobs/ID. */
void entry_on_job_cancel(void *arg, gn_http_request_t *request, gn_str_t name);
/** Handles DELETE /v1/jobs?team=NAME. */
void entry_on_jobs_cancel(void *arg, gn_http_request_t *request, gn_str_t name);

/* ======   Queries   ====== */

/** Handles GET /v1/jobs. */
void entry_on_jobs_get(void *arg, gn_http_request_t *request, gn_str_t name);
/** Handles GET /v1/jobs/ID. */
void entry_on_job_get(void *arg, gn_http_request_t *request, gn_str_t name);

#endif
