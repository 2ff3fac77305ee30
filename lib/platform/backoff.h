/**
 * @file backoff.h
 * @brief Exponential backoff with jitter.
 *
 * Each wait is drawn from the upper half of a window that doubles up to its
 * bound, so that processes that failed together don't return together.
 */
#ifndef GN_PLATFORM_BACKOFF_H
#define GN_PLATFORM_BACKOFF_H

#include <glib.h>

#include "gypsumnotch.h"

/** Bounds of the window, microseconds. */
#define GN_BACKOFF_MIN_US (50 * GN_US_PER_MS)
#define GN_BACKOFF_MAX_US (5 * GN_US_PER_S)

/** A zeroed one is at its start. */
typedef struct gn_backoff_s {
	uint64_t window_us;
	uint64_t limit_us; /**< longest window; 0: GN_BACKOFF_MAX_US */
} gn_backoff_t;

/** The next wait, microseconds, at most GN_BACKOFF_MAX_US. */
uint64_t gn_backoff_next_us(gn_backoff_t *backoff, GRand *rand);

/** Goes back to the start, after a success. */
void gn_backoff_reset(gn_backoff_t *backoff);

#endif
