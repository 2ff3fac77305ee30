/**
 * @file keys.h
 * @brief Idempotency keys of latency-critical requests.
 *
 * Before a request is sent to a worker, its key is created in the platform's
 * key-value service if it doesn't exist there, so that only one entry runs the
 * request. The key is bound to a lease of 10 minutes. An entry obtains a new
 * lease every 5 minutes and uses it for later keys, so a key is remembered for
 * 5 to 10 minutes. When a request has certainly not run, its key is removed, so
 * that the caller can use it again.
 */
#ifndef GN_ENTRY_KEYS_H
#define GN_ENTRY_KEYS_H

#include "entry/entry_internal.h"

/**
 * Creates the state of the keys; the membership must be open.
 * @return GN_OK or GN_ERR_MEMORY
 */
gn_code_t entry_keys_open(entry_t *entry);
/** Requests a new lease when one is due. */
void entry_keys_tick(entry_t *entry);
/** Whether requests with a key can be accepted now. */
bool entry_keys_are_ready(const entry_t *entry);
/**
 * Claims the key of @p request. Then the request is dispatched, or ends if the
 * key is in use or the key-value service does not respond.
 */
void entry_key_claim(entry_request_t *request);
/** Removes the key of @p request, if claimed: it has certainly not run. */
void entry_key_release(entry_request_t *request);

#endif
