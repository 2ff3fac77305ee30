/**
 * @file returns.h
 * @brief When refused callers are to come back: one behind the other, at a
 * rate that can be admitted, with jitter.
 */
#ifndef GN_LIMIT_RETURNS_H
#define GN_LIMIT_RETURNS_H

#include <glib.h>
#include <stdint.h>

/** The places given so far; set the bounds, zero the rest. */
typedef struct gn_returns_s {
	uint32_t min_ms; /**< soonest return */
	uint32_t max_ms; /**< latest return, at least min_ms */
	uint64_t last_us; /**< place of the last caller */
} gn_returns_t;

/**
 * Places one more caller.
 * @param rate returns a second that can be admitted; below 1 counts as 1
 * @return min_ms..max_ms
 */
uint32_t gn_returns_draw_ms(gn_returns_t *returns, GRand *rand, uint64_t now_us,
			    double rate);

#endif
