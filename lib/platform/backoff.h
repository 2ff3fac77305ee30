/**
 * @file backoff.h
 * @brief Exponential backoff with jitter.
 *
 * Each wait is drawn from the upper half of a window that doubles up to a
 * limit. The jitter keeps processes that failed at the same time from retrying
 * at the same time.
 */
#ifndef GN_PLATFORM_BACKOFF_H
#define GN_PLATFORM_BACKOFF_H

#include <glib.h>

#include "gypsumnotch.h"

/** First window and default limit of the window, microseconds. */
#define GN_BACKOFF_MIN_US (50 * GN_US_PER_MS)
#define GN_BACKOFF_MAX_US (5 * GN_US_PER_S)

/** State of a backoff; zero it before the first use. */
typedef struct gn_backoff_s {
	uint64_t window_us;
	uint64_t limit_us; /**< Maximum window; 0: GN_BACKOFF_MAX_US. */
} gn_backoff_t;

/** Draws the next wait, microseconds, at most the limit of the window. */
uint64_t gn_backoff_next_us(gn_backoff_t *backoff, GRand *rand);

/** Returns to the first window; to be called after a success. */
void gn_backoff_reset(gn_backoff_t *backoff);

#endif
