/**
 * @file ctl_http.h
 * @brief One HTTP request of the command line and its whole answer.
 */
#ifndef GN_CTL_HTTP_H
#define GN_CTL_HTTP_H

#include <jansson.h>
#include <talloc.h>

#include "common/error.h"
#include "ctl/ctl.h"

/** Longest answer, bytes. */
#define GN_CTL_ANSWER_MAX (64 * 1024 * 1024)
/** Most headers of one request. */
#define GN_CTL_HEADERS_MAX 8

/** A header; left out if its value is NULL. */
typedef struct gn_ctl_header_s {
	const char *name;
	const char *value;
} gn_ctl_header_t;

/** A request. */
typedef struct gn_ctl_request_s {
	const char *method; /**< "GET", "PUT", "POST" or "DELETE" */
	const char *path; /**< from gn_ctl_build_path() */
	gn_str_t body; /**< empty for GET and DELETE */
	gn_ctl_header_t headers[GN_CTL_HEADERS_MAX];
} gn_ctl_request_t;

/** A whole answer; a talloc object. */
typedef struct gn_ctl_answer_s {
	unsigned status; /**< of HTTP */
	unsigned retry_after_s; /**< 0 if the entry named none */
	json_t *json; /**< the body, NULL if it is no JSON object */
} gn_ctl_answer_t;

/**
 * Sends @p request to the entry on a connection of its own and waits for the
 * whole answer. Nothing is ever sent twice.
 * @param answer set on success; freed with talloc_free()
 * @return GN_OK (a whole answer of any status), GN_ERR_UNAVAILABLE (nothing
 *         was sent), GN_ERR_UNKNOWN (sent, but no whole answer),
 *         GN_ERR_INVALID (a header with control characters; nothing was
 *         sent), GN_ERR_MEMORY (nothing was sent)
 */
gn_code_t gn_ctl_send_request(const gn_ctl_t *ctl,
			      const gn_ctl_request_t *request,
			      gn_ctl_answer_t **answer, gn_error_t *error);

/**
 * Joins @p prefix, @p part with reserved characters escaped, and @p suffix.
 * @return a talloc string under @p parent, NULL if memory is short
 */
char *gn_ctl_build_path(TALLOC_CTX *parent, const char *prefix,
			const char *part, const char *suffix);

/** A new random identifier: 32 hexadecimal digits under @p parent. */
char *gn_ctl_generate_id(TALLOC_CTX *parent);

#endif
