/**
 * @file keys.h
 * @brief Idempotency keys of latency-critical requests.
 *
 * A key is created in the platform's service, if absent, before the request
 * is sent to any worker, so that one of all entries runs it. It is bound to a
 * lease that the entry takes anew each half of its life, and so remembered for
 * 5 to 10 minutes. When a request ends as surely not run, its key is removed,
 * so that the caller can use it again.
 */
#ifndef GN_ENTRY_KEYS_H
#define GN_ENTRY_KEYS_H

#include "entry/entry_internal.h"

/** Opens the state of keys; the membership comes before. */
gn_code_t entry_keys_open(entry_t *entry);
/** Takes a new lease when it is time. */
void entry_keys_tick(entry_t *entry);
/** Whether requests with a key are taken now. */
bool entry_keys_are_ready(const entry_t *entry);
/** Claims the key of @p request, which then goes on or is answered. */
void entry_key_claim(entry_request_t *request);
/** Gives the key back: @p request was surely not run. */
void entry_key_release(entry_request_t *request);

#endif
