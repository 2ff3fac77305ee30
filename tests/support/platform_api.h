/**
 * @file platform_api.h
 * @brief The service's JSON calls, applied to a kv_state_t; no I/O.
 */
#ifndef GN_TESTS_PLATFORM_API_H
#define GN_TESTS_PLATFORM_API_H

#include <jansson.h>

#include "support/kv_state.h"

/** The kinds of call, in the order of their statistics. */
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

/** The name of @p call, the last part of its path. */
const char *platform_call_name(platform_call_t call);

/** Finds the call of an HTTP path; PLATFORM_CALL_COUNT if there is none. */
platform_call_t platform_call_find(const char *path);

/** Whether @p call only reads. */
bool platform_call_is_read(platform_call_t call);

/** The wait a watch asks for, milliseconds, bounded. */
uint32_t platform_watch_wait_ms(const json_t *request);

/**
 * Applies one call.
 * @param back for get and list: how many revisions ago to read
 * @return whether the request was well formed; if not, nothing was done
 */
bool platform_api_apply(kv_state_t *state, platform_call_t call,
			const json_t *request, uint64_t now_us, unsigned back,
			kv_answer_t *answer);

/** The JSON text of @p answer; free(). */
char *platform_api_encode(const kv_answer_t *answer);

#endif
