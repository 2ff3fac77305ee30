/**
 * @file stats.h
 * @brief Result statistics with exponential decay.
 */
#ifndef GN_ROUTE_STATS_H
#define GN_ROUTE_STATS_H

#include <stdint.h>

/** Decayed sums of results. A zeroed struct is empty. */
typedef struct gn_route_stats_s {
	double successes;
	double failures;
	double latency_sum_us; /**< Sum of the response times of the successes. */
	uint64_t at_us; /**< Time at which the sums were last decayed. */
} gn_route_stats_t;

/** Decays @p stats to @p now_us with the given half-life. */
void gn_route_stats_decay(gn_route_stats_t *stats, uint64_t now_us,
			  uint64_t half_life_us);

/**
 * Adds a success with response time @p time_us. Decay the sums to the current
 * time first.
 */
void gn_route_stats_add_success(gn_route_stats_t *stats, uint64_t time_us);

/** Adds a failure. Decay the sums to the current time first. */
void gn_route_stats_add_failure(gn_route_stats_t *stats);

/** Returns @p whole without @p part. Both must be decayed to the same time. */
gn_route_stats_t gn_route_stats_subtract(const gn_route_stats_t *whole,
					 const gn_route_stats_t *part);

/** Returns the share of failures, 0..1; 0 without results. */
double gn_route_stats_failure_rate(const gn_route_stats_t *stats);

/** Returns the mean response time of the successes; 0 without any. */
double gn_route_stats_mean_us(const gn_route_stats_t *stats);

#endif
