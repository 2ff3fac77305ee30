#include "limit/returns.h"

#include "gypsumnotch.h"

/** A return is drawn from this part below its place to as much above it. */
#define SPREAD 0.5

static double next_place_us(gn_returns_t *returns, uint64_t now_us, double rate)
{
	uint64_t gap_us = (uint64_t)(GN_US_PER_S / MAX(rate, 1.0));

	returns->last_us = MAX(returns->last_us, now_us) + gap_us;
	return (double)(returns->last_us - now_us);
}

uint32_t gn_returns_draw_ms(gn_returns_t *returns, GRand *rand, uint64_t now_us,
			    double rate)
{
	double soonest_us = (double)returns->min_ms * GN_US_PER_MS;
	double latest_us = (double)returns->max_ms * GN_US_PER_MS;
	double place_us = next_place_us(returns, now_us, rate);
	double from_us = MAX(place_us * (1 - SPREAD), soonest_us);
	double to_us = MAX(place_us * (1 + SPREAD), 2 * from_us);

	if (place_us >= latest_us) {
		/* More than fit: spread them over all of the time there is. */
		returns->last_us = now_us + (uint64_t)latest_us;
		from_us = soonest_us;
	}
	to_us = MIN(to_us, latest_us);
	if (to_us > from_us)
		from_us = g_rand_double_range(rand, from_us, to_us);
	return (uint32_t)(from_us / GN_US_PER_MS);
}
