/**
 * @file reconnect.h
 * @brief When a link that is not answered is given up for a new one.
 *
 * A link that was answered is given up after one timeout of silence. A new one
 * that nobody answers is given up after a wait that doubles up to
 * GN_RECONNECT_TIMEOUTS_MAX timeouts, with jitter: the transport below tries
 * to connect by itself meanwhile, so that a peer that returns is found sooner.
 * Nothing here reads a clock; times are the caller's, in microseconds.
 */
#ifndef GN_WIRE_RECONNECT_H
#define GN_WIRE_RECONNECT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Longest wait for the first answer on a new link, timeouts. */
#define GN_RECONNECT_TIMEOUTS_MAX 8

/** The state of one link; zeroed at its start, but for the timeout. */
typedef struct gn_reconnect_s {
	uint64_t timeout_us; /**< of silence on a link that was answered */
	uint64_t window_us; /**< the last wait was drawn from it; 0: answered */
	uint64_t due_us; /**< when the link is given up, unless answered */
	uint64_t lost_us; /**< when the peer was lost; valid if failures */
	unsigned failures; /**< links given up since the peer was heard */
} gn_reconnect_t;

/** Notes that a link was opened, the first or in place of another. */
void gn_reconnect_open(gn_reconnect_t *reconnect, GRand *rand, uint64_t now_us);

/**
 * Notes that the peer was heard.
 * @return how many links had been given up before; 0 unless it was lost
 */
unsigned gn_reconnect_hear(gn_reconnect_t *reconnect, uint64_t now_us);

/** Whether the link is to be given up now. */
bool gn_reconnect_is_due(const gn_reconnect_t *reconnect, uint64_t now_us);

/**
 * Notes that the link was given up; gn_reconnect_open() comes next.
 * @return whether it is the first since the peer was heard: to be logged
 */
bool gn_reconnect_fail(gn_reconnect_t *reconnect, uint64_t now_us);

#endif
