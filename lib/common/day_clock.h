/**
 * @file day_clock.h
 * @brief Time of day that follows a step only once it has lasted.
 *
 * The time of day of a host may be set by seconds, and back again. This clock is
 * the boot clock plus an offset that was observed. A step is taken over once it has
 * been observed for as long as the offset before it, and after
 * GN_DAY_CLOCK_SETTLE_US at the latest.
 */
#ifndef GN_COMMON_DAY_CLOCK_H
#define GN_COMMON_DAY_CLOCK_H

#include <stdbool.h>

#include "common/clock.h"

/** Longest time after which a step is taken over. */
#define GN_DAY_CLOCK_SETTLE_US (60 * GN_US_PER_S)
/** Smaller changes of the offset are taken over at once. */
#define GN_DAY_CLOCK_STEP_US (250 * GN_US_PER_MS)

/** State of a clock; initialize it with gn_day_clock_init(). */
typedef struct gn_day_clock_s {
	/** The offset in use, microseconds, and when it was first observed. */
	int64_t offset_us;
	uint64_t since_us;
	/** An offset that may be taken over, and when it was first observed. */
	bool is_stepped;
	int64_t new_offset_us;
	uint64_t new_since_us;
} gn_day_clock_t;

/** Initializes the clock with an observation of the boot clock and the time of
 * day. */
void gn_day_clock_init(gn_day_clock_t *day, uint64_t boot_us, uint64_t wall_us);

/** Adds an observation; to be called several times a second. */
void gn_day_clock_update(gn_day_clock_t *day, uint64_t boot_us,
			 uint64_t wall_us);

#endif
