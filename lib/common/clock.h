/**
 * @file clock.h
 * @brief Clocks: time since boot, time of day, and a manual clock for tests.
 *
 * Deadlines and leases use the boot clock, which also advances while the
 * host is suspended. The wall clock can jump, so only log lines use it as it
 * is; see day_clock.h for the rest.
 */
#ifndef GN_COMMON_CLOCK_H
#define GN_COMMON_CLOCK_H

#include "gypsumnotch.h"

typedef struct gn_clock_s gn_clock_t;

/** The operations of one type of clock. */
typedef struct gn_clock_ops_s {
	/**
	 * Returns the microseconds since a fixed point in time. The value
	 * never decreases, except on the wall clock.
	 */
	uint64_t (*now_us)(const gn_clock_t *clock);
} gn_clock_ops_t;

/** A clock, initialized by one of the gn_clock_init_ functions. */
struct gn_clock_s {
	const gn_clock_ops_t *ops;
	uint64_t paused_us; /**< Current time of a paused clock. */
	/** Set in a clock that is another one with an offset. */
	const gn_clock_t *base;
	const int64_t *offset_us;
};

/** Initializes @p clock with the monotonic time since boot (CLOCK_BOOTTIME). */
void gn_clock_init_boot(gn_clock_t *clock);

/** Initializes @p clock with the time of day (CLOCK_REALTIME). */
void gn_clock_init_wall(gn_clock_t *clock);

/** Initializes @p clock at @p now_us; only gn_clock_advance() moves it. */
void gn_clock_init_paused(gn_clock_t *clock, uint64_t now_us);

/**
 * Initializes @p clock as @p base plus an offset. Both must outlive it.
 * @param offset_us microseconds, read at each reading of the clock
 */
void gn_clock_init_offset(gn_clock_t *clock, const gn_clock_t *base,
			  const int64_t *offset_us);

/** Advances a paused clock by @p step_us. */
void gn_clock_advance(gn_clock_t *clock, uint64_t step_us);

/** Returns the time of @p clock in microseconds. */
uint64_t gn_clock_now_us(const gn_clock_t *clock);

#endif
