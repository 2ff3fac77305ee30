/**
 * @file ctl_http.h
 * @brief Sends one HTTP request to an entry and receives the answer.
 */
#ifndef GN_CTL_HTTP_H
#define GN_CTL_HTTP_H

#include <jansson.h>
#include <talloc.h>

#include "common/error.h"
#include "ctl/ctl.h"

/** Maximum size of the body of an answer, bytes. */
#define GN_CTL_ANSWER_MAX (64 * 1024 * 1024)
/** Maximum number of headers of a request. */
#define GN_CTL_HEADERS_MAX 8

/** A header; not sent if its value is NULL. */
typedef struct gn_ctl_header_s {
	const char *name;
	const char *value;
} gn_ctl_header_t;

/** An HTTP request. */
typedef struct gn_ctl_request_s {
	const char *method; /**< "GET", "PUT", "POST" or "DELETE" */
	/** Path and query; gn_ctl_build_path() escapes variable parts. */
	const char *path;
	gn_str_t body; /**< Empty for GET and DELETE. */
	gn_ctl_header_t headers[GN_CTL_HEADERS_MAX];
} gn_ctl_request_t;

/** A complete answer; a talloc object. */
typedef struct gn_ctl_answer_s {
	unsigned status; /**< HTTP status. */
	unsigned retry_after_s; /**< Retry-After in seconds, or 0. */
	json_t *json; /**< Body; NULL if it is not a JSON object. */
	/** Values in it that were out of range or nested too deeply. */
	size_t replaced;
} gn_ctl_answer_t;

/**
 * Sends @p request to the entry on a new connection and waits for the complete
 * answer. The request is sent at most once.
 * @param answer set on success; the caller frees it with talloc_free()
 * @return GN_OK (complete answer with any status), GN_ERR_UNAVAILABLE (nothing
 *         was sent), GN_ERR_UNKNOWN (sent, but no complete answer),
 *         GN_ERR_INVALID (a header has control characters; nothing was sent),
 *         GN_ERR_MEMORY (nothing was sent)
 */
gn_code_t gn_ctl_send_request(const gn_ctl_t *ctl,
			      const gn_ctl_request_t *request,
			      gn_ctl_answer_t **answer, gn_error_t *error);

/**
 * Joins @p prefix, @p part with reserved characters percent-encoded, and
 * @p suffix.
 * @return talloc string under @p parent, or NULL if out of memory
 */
char *gn_ctl_build_path(TALLOC_CTX *parent, const char *prefix,
			const char *part, const char *suffix);

/**
 * Generates a random identifier of 32 hexadecimal digits.
 * @return talloc string under @p parent, or NULL on failure
 */
char *gn_ctl_generate_id(TALLOC_CTX *parent);

#endif
