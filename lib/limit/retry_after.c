#include "limit/retry_after.h"

#include "gypsumnotch.h"

/**
 * Jitter: the time is drawn from the slot's delay minus this share of it to the
 * delay plus this share.
 */
#define JITTER_SHARE 0.5

static double assign_slot_us(gn_retry_after_t *retry_after, uint64_t now_us,
			     double rate)
{
	uint64_t gap_us = (uint64_t)(GN_US_PER_S / MAX(rate, 1.0));

	retry_after->last_slot_us =
		MAX(retry_after->last_slot_us, now_us) + gap_us;
	return (double)(retry_after->last_slot_us - now_us);
}

uint32_t gn_retry_after_draw_ms(gn_retry_after_t *retry_after, GRand *rand,
				uint64_t now_us, double rate)
{
	double soonest_us = (double)retry_after->min_ms * GN_US_PER_MS;
	double latest_us = (double)retry_after->max_ms * GN_US_PER_MS;
	double slot_us = assign_slot_us(retry_after, now_us, rate);
	double from_us = MAX(slot_us * (1 - JITTER_SHARE), soonest_us);
	double to_us = MAX(slot_us * (1 + JITTER_SHARE), 2 * from_us);

	if (slot_us >= latest_us) {
		/*
		 * More callers than slots before the latest time: spread them
		 * evenly over the whole range.
		 */
		retry_after->last_slot_us = now_us + (uint64_t)latest_us;
		from_us = soonest_us;
	}
	to_us = MIN(to_us, latest_us);
	if (to_us > from_us)
		from_us = g_rand_double_range(rand, from_us, to_us);
	return (uint32_t)(from_us / GN_US_PER_MS);
}
