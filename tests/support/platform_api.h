/**
 * @file platform_api.h
 * @brief Decodes the JSON calls of the key-value service, applies them to a
 * kv_state_t and encodes the answers. Performs no I/O.
 */
#ifndef GN_TESTS_PLATFORM_API_H
#define GN_TESTS_PLATFORM_API_H

#include <jansson.h>

#include "support/kv_state.h"

/** Kinds of calls, in the order in which the statistics list them. */
typedef enum platform_call_e {
	PLATFORM_GET,
	PLATFORM_LIST,
	PLATFORM_PUT,
	PLATFORM_REMOVE,
	PLATFORM_GRANT,
	PLATFORM_RENEW,
	PLATFORM_REVOKE,
	PLATFORM_WATCH,
	PLATFORM_CALL_COUNT
} platform_call_t;

/** Returns the name of @p call, which is the last part of its path. */
const char *platform_call_name(platform_call_t call);

/** Returns the call of an HTTP path; PLATFORM_CALL_COUNT if there is none. */
platform_call_t platform_call_find(const char *path);

/** Whether @p call only reads. */
bool platform_call_is_read(platform_call_t call);

/**
 * Returns the wait that a watch requests, in milliseconds, at most
 * GN_KV_WATCH_MAX_MS; 0 if it is malformed.
 */
uint32_t platform_watch_wait_ms(const json_t *request);

/**
 * Applies one call.
 * @param revisions_back for get and list: how many revisions ago to read
 * @return false if the request is malformed; the state is then unchanged
 */
bool platform_api_apply(kv_state_t *state, platform_call_t call,
			const json_t *request, uint64_t now_us,
			unsigned revisions_back, kv_answer_t *answer);

/** Returns the JSON text of @p answer; the caller frees it with free(). */
char *platform_api_encode(const kv_answer_t *answer);

#endif
