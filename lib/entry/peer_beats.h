/**
 * @file peer_beats.h
 * @brief Heartbeats between entries that call each other.
 *
 * An entry that was called lately is asked for its status some times in each
 * beat timeout. An answer that doesn't come in time shows that the connection
 * kept to it has gone silent: the HTTP client then uses no connection of that
 * age again. So the next forwarded job does not have to find it.
 */
#ifndef GN_ENTRY_PEER_BEATS_H
#define GN_ENTRY_PEER_BEATS_H

#include "entry/entry_internal.h"

/** Opens the table of peers. */
gn_code_t entry_peer_beats_open(entry_t *entry);
/** Notes that the entry at @p address is called now. */
void entry_peer_beats_record_call(entry_t *entry, const char *address);
/** Sends the beats that are due; forgets peers that are called no more. */
void entry_peer_beats_tick(entry_t *entry);

#endif
