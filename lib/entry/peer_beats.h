/**
 * @file peer_beats.h
 * @brief Heartbeats to entries that this entry has recently called.
 *
 * Each of these entries is asked for its status more than once per heartbeat
 * timeout. A missing response shows that a kept-alive connection to it has gone
 * silent; the HTTP client then closes all connections that were last used
 * before that. Without heartbeats, a forwarded job would have to time out to
 * detect this.
 */
#ifndef GN_ENTRY_PEER_BEATS_H
#define GN_ENTRY_PEER_BEATS_H

#include "entry/entry_internal.h"

/**
 * Creates the table of peers.
 * @return GN_OK or GN_ERR_MEMORY
 */
gn_code_t entry_peer_beats_open(entry_t *entry);
/** Records that the entry at @p address is called now. */
void entry_peer_beats_record_call(entry_t *entry, const char *address);
/** Sends heartbeats that are due; removes peers not called for long. */
void entry_peer_beats_tick(entry_t *entry);

#endif
