/**
 * @file reconnect.h
 * @brief Decides when a silent link is closed and replaced by a new one.
 *
 * A link on which the peer has answered is closed after one timeout of silence.
 * A new link without any answer is closed after a wait that doubles up to
 * GN_RECONNECT_TIMEOUTS_MAX timeouts, with jitter. The transport below retries
 * the connection in the meantime, so that a peer that comes back is reached
 * sooner. These functions read no clock; the caller passes the time in
 * microseconds.
 */
#ifndef GN_WIRE_RECONNECT_H
#define GN_WIRE_RECONNECT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Maximum wait for the first answer on a new link, in timeouts. */
#define GN_RECONNECT_TIMEOUTS_MAX 8

/** State of one link. Zero all but the timeout before the first use. */
typedef struct gn_reconnect_s {
	uint64_t timeout_us; /**< Limit of silence after an answer. */
	uint64_t window_us; /**< Window of the last wait; 0 after an answer. */
	uint64_t due_us; /**< When the link is closed unless answered. */
	uint64_t lost_us; /**< When the peer was lost; valid if failures > 0. */
	unsigned failures; /**< Links closed since the last answer. */
} gn_reconnect_t;

/** Records that a link was opened, the first one or a replacement. */
void gn_reconnect_note_open(gn_reconnect_t *reconnect, GRand *rand,
			    uint64_t now_us);

/**
 * Records an answer of the peer.
 * @return the number of links closed since the answer before; 0 if the peer
 *         was not lost
 */
unsigned gn_reconnect_note_answer(gn_reconnect_t *reconnect, uint64_t now_us);

/** Whether the link must be closed now. */
bool gn_reconnect_is_due(const gn_reconnect_t *reconnect, uint64_t now_us);

/**
 * Records that the link was closed; gn_reconnect_note_open() must be called
 * next.
 * @return whether it is the first since the last answer, which is to be logged
 */
bool gn_reconnect_note_closed(gn_reconnect_t *reconnect, uint64_t now_us);

#endif
