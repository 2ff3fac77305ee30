/**
 * @file clock.h
 * @brief The clock: one that runs through suspension, one that tests advance.
 *
 * Every deadline and lease is kept on a gn_clock_t. The wall clock, which can
 * jump, appears in log lines and in the due times of timed jobs only.
 */
#ifndef GN_COMMON_CLOCK_H
#define GN_COMMON_CLOCK_H

#include "gypsumnotch.h"

typedef struct gn_clock_s gn_clock_t;

/** What a kind of clock can do. */
typedef struct gn_clock_ops_s {
	/** Microseconds since a fixed point; never goes back. */
	uint64_t (*now_us)(const gn_clock_t *clock);
} gn_clock_ops_t;

/** A clock. Initialise with gn_clock_init_boot() or gn_clock_init_paused(). */
struct gn_clock_s {
	const gn_clock_ops_t *ops;
	uint64_t paused_us; /**< the time of a paused clock */
};

/** Makes @p clock follow the machine's time since boot (CLOCK_BOOTTIME). */
void gn_clock_init_boot(gn_clock_t *clock);

/** Makes @p clock follow the time of day, which can jump (CLOCK_REALTIME). */
void gn_clock_init_wall(gn_clock_t *clock);

/** Makes @p clock stand still at @p now_us until gn_clock_advance(). */
void gn_clock_init_paused(gn_clock_t *clock, uint64_t now_us);

/** Moves a paused clock on by @p step_us. */
void gn_clock_advance(gn_clock_t *clock, uint64_t step_us);

/** The time of @p clock in microseconds. */
uint64_t gn_clock_now_us(const gn_clock_t *clock);

#endif
