#include "evacuation/cold.h"

#include "gypsumnotch.h"

/** Slowness that a worker has on top of 1 when it starts. */
#define START_SLOWNESS 1.0

void gn_cold_record(gn_cold_t *cold, uint32_t left_ms, uint64_t now_us)
{
	uint64_t left_us = (uint64_t)left_ms * GN_US_PER_MS;

	cold->until_us = now_us + left_us;
	if (left_us > cold->total_us)
		cold->total_us = left_us;
}

double gn_cold_get_slowness(const gn_cold_t *cold, double measured,
			    uint64_t now_us)
{
	double slowness = 1;

	if (cold->total_us && now_us < cold->until_us)
		slowness += START_SLOWNESS * (double)(cold->until_us - now_us) /
			    (double)cold->total_us;
	return measured > slowness ? measured : slowness;
}
