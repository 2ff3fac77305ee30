/**
 * @file kv_json.h
 * @brief The JSON of the service's protocol, as docs/PLATFORM.md has it.
 */
#ifndef GN_PLATFORM_KV_JSON_H
#define GN_PLATFORM_KV_JSON_H

#include <talloc.h>

#include "platform/kv.h"

/** The kinds of call. */
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

/** A call with its arguments; those that its kind lacks are zero. */
typedef struct gn_kv_request_s {
	gn_kv_kind_t kind;
	gn_kv_put_t put; /**< key or prefix, value, change, expected, lease */
	uint64_t from; /**< watch */
	uint32_t limit_ms; /**< watch: wait, grant: time to live */
	gn_str_t after; /**< list: a key to begin after, or empty */
	const gn_kv_txn_t *txn; /**< transaction, while it is encoded */
} gn_kv_request_t;

/** A call as it goes over HTTP. */
typedef struct gn_kv_wire_s {
	const char *method; /**< static text */
	char *path; /**< with its query; g_free() */
	char *body; /**< free(); NULL: none */
} gn_kv_wire_t;

/** The protocol of a service: how calls and answers look on the wire. */
typedef struct gn_kv_codec_s {
	/** false: memory is short, or the service has no such call. */
	bool (*encode)(const gn_kv_request_t *request, gn_kv_wire_t *wire);
	/**
	 * Decodes an answer that is not a refusal (429, 503).
	 * @return GN_OK; GN_ERR_INVALID: no answer to this request;
	 *         GN_ERR_RANGE: the request was refused as malformed
	 */
	gn_code_t (*decode)(TALLOC_CTX *parent, long status, gn_str_t text,
			    const gn_kv_request_t *request,
			    gn_kv_result_t *result);
} gn_kv_codec_t;

/** The protocol of docs/PLATFORM.md. */
extern const gn_kv_codec_t gn_kv_json_codec;

/** The name of @p kind as the last part of its path. */
const char *gn_kv_kind_name(gn_kv_kind_t kind);

/** Whether @p kind only reads. */
bool gn_kv_kind_is_read(gn_kv_kind_t kind);

/** Checks the arguments against the bounds of kv.h. */
gn_code_t gn_kv_request_check(const gn_kv_request_t *request);

/** The JSON text of @p request; free(); NULL if memory is short. */
char *gn_kv_request_encode(const gn_kv_request_t *request);

/**
 * Decodes the answer to @p request and checks it field by field.
 * @param parent talloc parent of the entries
 * @param result code, revision, lease and entries are set
 * @return GN_OK; GN_ERR_INVALID: no answer to this request; GN_ERR_MEMORY
 */
gn_code_t gn_kv_answer_decode(TALLOC_CTX *parent, gn_str_t text,
			      const gn_kv_request_t *request,
			      gn_kv_result_t *result);

#endif
