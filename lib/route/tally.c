#include "route/tally.h"

#include <math.h>

/**
 * A difference below this counts as zero, so rounding errors of the decayed
 * sums don't distort the rates.
 */
#define MIN_COUNT 0.01

void gn_route_tally_decay(gn_route_tally_t *tally, uint64_t now_us,
			  uint64_t half_life_us)
{
	double factor;

	if (now_us <= tally->at_us)
		return;
	factor = exp2(-(double)(now_us - tally->at_us) / (double)half_life_us);
	tally->successes *= factor;
	tally->failures *= factor;
	tally->latency_sum_us *= factor;
	tally->at_us = now_us;
}

void gn_route_tally_add_success(gn_route_tally_t *tally, uint64_t time_us)
{
	tally->successes += 1;
	tally->latency_sum_us += (double)time_us;
}

void gn_route_tally_add_failure(gn_route_tally_t *tally)
{
	tally->failures += 1;
}

static double subtract_count(double whole, double part)
{
	double rest = whole - part;

	return rest > MIN_COUNT ? rest : 0;
}

gn_route_tally_t gn_route_tally_subtract(const gn_route_tally_t *whole,
					 const gn_route_tally_t *part)
{
	gn_route_tally_t rest = {
		.successes = subtract_count(whole->successes, part->successes),
		.failures = subtract_count(whole->failures, part->failures),
		.latency_sum_us = subtract_count(whole->latency_sum_us,
						 part->latency_sum_us),
		.at_us = whole->at_us,
	};

	return rest;
}

double gn_route_tally_failure_rate(const gn_route_tally_t *tally)
{
	double all = tally->successes + tally->failures;

	return all > 0 ? tally->failures / all : 0;
}

double gn_route_tally_mean_us(const gn_route_tally_t *tally)
{
	return tally->successes > 0 ? tally->latency_sum_us / tally->successes
				    : 0;
}
