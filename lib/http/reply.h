/**
 * @file reply.h
 * @brief Answers to HTTP requests in the system's common form.
 */
#ifndef GN_HTTP_REPLY_H
#define GN_HTTP_REPLY_H

#include <jansson.h>

#include "http/server.h"

/** Why a request was refused and when to come back. */
typedef struct gn_refusal_s {
	unsigned status; /**< HTTP status */
	gn_outcome_t outcome;
	const char *reason; /**< static text, a stable name */
	unsigned retry_after_s; /**< 0: never */
} gn_refusal_t;

/** Answers with @p json, which is consumed. */
void gn_http_reply_json(gn_http_server_t *server, gn_http_request_t *request,
			unsigned status, json_t *json);

/** Answers with @p refusal; @p error is one line of detail, or NULL. */
void gn_http_reply_refusal(gn_http_server_t *server, gn_http_request_t *request,
			   const gn_refusal_t *refusal, const char *error);

/**
 * Answers that nothing was run.
 * @param retry_after_s 0: never
 */
void gn_http_reply_not_run(gn_http_server_t *server, gn_http_request_t *request,
			   unsigned status, const char *reason,
			   unsigned retry_after_s, const char *error);

#endif
