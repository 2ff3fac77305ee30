/**
 * @file peers.h
 * @brief Calls to other entries over their HTTP interface.
 *
 * These calls are rare: commands on jobs in a bucket of another owner, queries
 * of the promise rules, and requests for a newer configuration. They therefore
 * use the HTTP interface for callers instead of links of their own.
 */
#ifndef GN_ENTRY_PEERS_H
#define GN_ENTRY_PEERS_H

#include "entry/entry_internal.h"
#include "http/client.h"

/**
 * Starts the HTTP client.
 * @return GN_OK, GN_ERR_MEMORY or GN_ERR_SYSTEM
 */
gn_code_t entry_peers_open(entry_t *entry, gn_error_t *error);

/**
 * Sends a POST request to the entry at @p address.
 * @param json the body; the function takes over this reference
 * @return GN_OK, or GN_ERR_MEMORY, in which case @p done is not called
 */
gn_code_t entry_peer_call(entry_t *entry, const char *address, const char *path,
			  json_t *json, gn_http_done_t done, void *arg);

/** Whether another entry forwarded @p request. */
bool entry_peer_is_forwarded(const gn_http_request_t *request);

/**
 * Forwards @p request to the entry at @p address and returns its response to
 * the caller. A request is forwarded only once: if that entry doesn't own the
 * bucket either, it refuses the request.
 */
void entry_peer_forward(entry_t *entry, const char *address,
			gn_http_request_t *request);

#endif
