#include "route/stats.h"

#include <math.h>

/**
 * A difference below this counts as zero, so rounding errors of the decayed
 * sums don't distort the rates.
 */
#define MIN_COUNT 0.01

void gn_route_stats_decay(gn_route_stats_t *stats, uint64_t now_us,
			  uint64_t half_life_us)
{
	double factor;

	if (now_us <= stats->at_us)
		return;
	factor = exp2(-(double)(now_us - stats->at_us) / (double)half_life_us);
	stats->successes *= factor;
	stats->failures *= factor;
	stats->latency_sum_us *= factor;
	stats->at_us = now_us;
}

void gn_route_stats_add_success(gn_route_stats_t *stats, uint64_t time_us)
{
	stats->successes += 1;
	stats->latency_sum_us += (double)time_us;
}

void gn_route_stats_add_failure(gn_route_stats_t *stats)
{
	stats->failures += 1;
}

static double subtract_count(double whole, double part)
{
	double rest = whole - part;

	return rest > MIN_COUNT ? rest : 0;
}

gn_route_stats_t gn_route_stats_subtract(const gn_route_stats_t *whole,
					 const gn_route_stats_t *part)
{
	gn_route_stats_t rest = {
		.successes = subtract_count(whole->successes, part->successes),
		.failures = subtract_count(whole->failures, part->failures),
		.latency_sum_us = subtract_count(whole->latency_sum_us,
						 part->latency_sum_us),
		.at_us = whole->at_us,
	};

	return rest;
}

double gn_route_stats_failure_rate(const gn_route_stats_t *stats)
{
	double all = stats->successes + stats->failures;

	return all > 0 ? stats->failures / all : 0;
}

double gn_route_stats_mean_us(const gn_route_stats_t *stats)
{
	return stats->successes > 0 ? stats->latency_sum_us / stats->successes
				    : 0;
}
