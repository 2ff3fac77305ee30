/**
 * @file tally.h
 * @brief Counts of results with exponential decay.
 */
#ifndef GN_ROUTE_TALLY_H
#define GN_ROUTE_TALLY_H

#include <stdint.h>

/**
 * Decayed counts of results and sum of their response times. A zeroed struct is
 * empty.
 */
typedef struct gn_route_tally_s {
	double successes;
	double failures;
	/** Sum of the response times of the successes. */
	double latency_sum_us;
	uint64_t at_us; /**< Time at which the sums were last decayed. */
} gn_route_tally_t;

/** Decays @p tally to @p now_us with the given half-life. */
void gn_route_tally_decay(gn_route_tally_t *tally, uint64_t now_us,
			  uint64_t half_life_us);

/**
 * Adds a success with response time @p time_us. Decay the sums to the current
 * time first.
 */
void gn_route_tally_add_success(gn_route_tally_t *tally, uint64_t time_us);

/** Adds a failure. Decay the sums to the current time first. */
void gn_route_tally_add_failure(gn_route_tally_t *tally);

/** Returns @p whole without @p part. Both must be decayed to the same time. */
gn_route_tally_t gn_route_tally_subtract(const gn_route_tally_t *whole,
					 const gn_route_tally_t *part);

/** Returns the share of failures, 0..1; 0 without results. */
double gn_route_tally_failure_rate(const gn_route_tally_t *tally);

/** Returns the mean response time of the successes; 0 without any. */
double gn_route_tally_mean_us(const gn_route_tally_t *tally);

#endif
