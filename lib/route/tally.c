#include "route/tally.h"

#include <math.h>

/**
 * A difference below this counts as zero, so rounding errors of the decayed
 * sums don't distort the rates.
 */
#define MIN_COUNT 0.01

void gn_route_tally_fade(gn_route_tally_t *tally, uint64_t now_us,
			 uint64_t half_life_us)
{
	double factor;

	if (now_us <= tally->at_us)
		return;
	factor = exp2(-(double)(now_us - tally->at_us) / (double)half_life_us);
	tally->passes *= factor;
	tally->fails *= factor;
	tally->time_us *= factor;
	tally->at_us = now_us;
}

void gn_route_tally_pass(gn_route_tally_t *tally, uint64_t time_us)
{
	tally->passes += 1;
	tally->time_us += (double)time_us;
}

void gn_route_tally_fail(gn_route_tally_t *tally)
{
	tally->fails += 1;
}

static double subtract_count(double whole, double part)
{
	double rest = whole - part;

	return rest > MIN_COUNT ? rest : 0;
}

gn_route_tally_t gn_route_tally_rest(const gn_route_tally_t *whole,
				     const gn_route_tally_t *part)
{
	gn_route_tally_t rest = {
		.passes = subtract_count(whole->passes, part->passes),
		.fails = subtract_count(whole->fails, part->fails),
		.time_us = subtract_count(whole->time_us, part->time_us),
		.at_us = whole->at_us,
	};

	return rest;
}

double gn_route_tally_fail_rate(const gn_route_tally_t *tally)
{
	double all = tally->passes + tally->fails;

	return all > 0 ? tally->fails / all : 0;
}

double gn_route_tally_mean_us(const gn_route_tally_t *tally)
{
	return tally->passes > 0 ? tally->time_us / tally->passes : 0;
}
