/**
 * @file speed.h
 * @brief Shares a slowdown among the kinds of batch work on a host: the ones
 * that disturb the service most are slowed first. No I/O.
 */
#ifndef GN_ADMIT_SPEED_H
#define GN_ADMIT_SPEED_H

#include "admit/interfere.h"

/** The running tasks of one kind. */
typedef struct gn_speed_s {
	gn_str_t kind;
	unsigned tasks; /**< 1..4096 */
	unsigned speed_pct; /**< set: floor..100, for each of them */
} gn_speed_t;

/**
 * Sets the speeds so that the estimated disturbance falls to @p total_pct of
 * what it is at full speed. While nothing is known all get the same speed.
 * @param load_pct the service's share of its capacity
 * @param total_pct of gn_throttle_advice_t.speed_pct, floor_pct..100
 * @param floor_pct slowest speed of a task, 1..100
 * @param count at most GN_INTERFERE_KINDS
 */
void gn_speed_share(const gn_interfere_t *interfere, unsigned load_pct,
		    unsigned total_pct, unsigned floor_pct, gn_speed_t *kinds,
		    size_t count);

#endif
