/**
 * @file kv_json.h
 * @brief JSON protocol of the platform's key-value service; see
 * docs/PLATFORM.md.
 */
#ifndef GN_PLATFORM_KV_JSON_H
#define GN_PLATFORM_KV_JSON_H

#include <talloc.h>

#include "platform/kv.h"

/** The kinds of calls to the key-value service. */
typedef enum gn_kv_kind_e {
	GN_KV_GET = 0,
	GN_KV_LIST,
	GN_KV_WATCH,
	GN_KV_PUT,
	GN_KV_REMOVE,
	GN_KV_GRANT,
	GN_KV_RENEW,
	GN_KV_REVOKE,
	GN_KV_TXN,
	GN_KV_KIND_COUNT
} gn_kv_kind_t;

/** A call with its arguments; those that its kind does not have are zero. */
typedef struct gn_kv_request_s {
	gn_kv_kind_t kind;
	/** The key or prefix, value, change ID, expected revision and lease. */
	gn_kv_put_t put;
	uint64_t from; /**< Revision after which a watch begins. */
	/** Maximum wait of a watch, or time to live of a grant. */
	uint32_t limit_ms;
	gn_str_t after; /**< Key after which a list begins, or empty. */
	const gn_kv_txn_t *txn; /**< Valid only while it is encoded. */
} gn_kv_request_t;

/** A call encoded as an HTTP request. */
typedef struct gn_kv_wire_s {
	const char *method; /**< Static text. */
	char *path; /**< Path and query; free with g_free(). */
	char *body; /**< Free with free(); NULL: no body. */
} gn_kv_wire_t;

/** Encoding of calls and decoding of answers for one protocol. */
typedef struct gn_kv_codec_s {
	/**
	 * Returns false if out of memory or if the key-value service lacks the
	 * call.
	 */
	bool (*encode)(const gn_kv_request_t *request, gn_kv_wire_t *wire);
	/**
	 * Decodes an answer whose status is not a refusal (429 or 503).
	 * @return GN_OK, GN_ERR_INVALID (not a valid answer to this request),
	 *         GN_ERR_RANGE (the key-value service refused the request as
	 *         malformed) or GN_ERR_MEMORY
	 */
	gn_code_t (*decode)(TALLOC_CTX *parent, long status, gn_str_t text,
			    const gn_kv_request_t *request,
			    gn_kv_result_t *result);
} gn_kv_codec_t;

/** Codec for the protocol that docs/PLATFORM.md describes. */
extern const gn_kv_codec_t gn_kv_json_codec;

/** Returns the name of @p kind, which is the last part of its path. */
const char *gn_kv_kind_name(gn_kv_kind_t kind);

/** Whether calls of @p kind change nothing in the store. */
bool gn_kv_kind_is_read(gn_kv_kind_t kind);

/**
 * Checks the arguments of @p request against the bounds in kv.h.
 * @return GN_OK, GN_ERR_INVALID or GN_ERR_RANGE
 */
gn_code_t gn_kv_request_check(const gn_kv_request_t *request);

/**
 * Encodes @p request as JSON.
 * @return text to be freed with free(), or NULL if out of memory
 */
char *gn_kv_request_encode(const gn_kv_request_t *request);

/**
 * Decodes the answer to @p request and checks each of its fields.
 * @param parent talloc parent of the entries
 * @param result receives the code, revision, lease and entries
 * @return GN_OK, GN_ERR_INVALID (not a valid answer to this request) or
 *         GN_ERR_MEMORY
 */
gn_code_t gn_kv_answer_decode(TALLOC_CTX *parent, gn_str_t text,
			      const gn_kv_request_t *request,
			      gn_kv_result_t *result);

#endif
