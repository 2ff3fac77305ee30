/**
 * @file peers.h
 * @brief Calls from one entry to another, over the entries' HTTP interface.
 *
 * These are few: a job for a bucket of another owner, and the questions of
 * the promise rule. They share the callers' interface in place of a link of
 * their own.
 */
#ifndef GN_ENTRY_PEERS_H
#define GN_ENTRY_PEERS_H

#include "entry/entry_internal.h"
#include "http/client.h"

/** Opens the client. */
gn_code_t entry_peers_open(entry_t *entry, gn_error_t *error);

/**
 * Calls the entry at @p address.
 * @param json consumed
 * @return GN_OK, or GN_ERR_MEMORY and @p done won't be called
 */
gn_code_t entry_peer_call(entry_t *entry, const char *address, const char *path,
			  json_t *json, gn_http_done_t done, void *arg);

/** Whether @p request came from another entry. */
bool entry_peer_is_forwarded(const gn_http_request_t *request);

/**
 * Has the entry at @p address answer @p request, once: an entry that does not
 * own the bucket either refuses it.
 */
void entry_peer_forward(entry_t *entry, const char *address,
			gn_http_request_t *request);

#endif
