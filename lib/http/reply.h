/**
 * @file reply.h
 * @brief Answers to HTTP requests: JSON documents and refusals.
 */
#ifndef GN_HTTP_REPLY_H
#define GN_HTTP_REPLY_H

#include <jansson.h>

#include "http/server.h"

/** A refusal of a request. */
typedef struct gn_refusal_s {
	unsigned status; /**< HTTP status. */
	gn_outcome_t outcome;
	const char *reason; /**< Static text, a stable name. */
	unsigned retry_after_s; /**< 0: a retry is useless. */
} gn_refusal_t;

/** Answers with @p json, which is consumed. */
void gn_http_reply_json(gn_http_server_t *server, gn_http_request_t *request,
			unsigned status, json_t *json);

/**
 * Answers with @p refusal.
 * @param error one line of detail, or NULL
 */
void gn_http_reply_refusal(gn_http_server_t *server, gn_http_request_t *request,
			   const gn_refusal_t *refusal, const char *error);

/**
 * Answers with a refusal whose outcome is that nothing was run.
 * @param reason static text, a stable name
 * @param retry_after_s 0 if a retry is useless
 * @param error one line of detail, or NULL
 */
void gn_http_reply_not_run(gn_http_server_t *server, gn_http_request_t *request,
			   unsigned status, const char *reason,
			   unsigned retry_after_s, const char *error);

#endif
