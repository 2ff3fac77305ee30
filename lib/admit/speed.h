/**
 * @file speed.h
 * @brief Distributes a slowdown over the kinds of batch work on a host: the
 * kinds that interfere most with the service are slowed first. No I/O.
 */
#ifndef GN_ADMIT_SPEED_H
#define GN_ADMIT_SPEED_H

#include "admit/interfere.h"

/** The running tasks of one kind. */
typedef struct gn_speed_s {
	gn_str_t kind;
	unsigned tasks; /**< Number of running tasks, 1..4096. */
	/** Resulting speed of each task, floor_pct..100 %. */
	unsigned speed_pct;
} gn_speed_t;

/**
 * Sets the speed of each kind so that the estimated interference falls to @p
 * total_pct of its value at full speed. Without any estimates, all kinds get
 * the same speed.
 * @param load_pct the service's load in percent of its capacity
 * @param total_pct gn_throttle_advice_t.speed_pct, floor_pct..100
 * @param floor_pct lowest speed of a task, 1..100 %
 * @param count number of kinds; at most GN_INTERFERE_KINDS
 */
void gn_speed_distribute(const gn_interfere_t *interfere, unsigned load_pct,
			 unsigned total_pct, unsigned floor_pct,
			 gn_speed_t *kinds, size_t count);

#endif
