#include "platform/backoff.h"

uint64_t gn_backoff_next_us(gn_backoff_t *backoff, GRand *rand)
{
	uint64_t limit_us =
		backoff->limit_us ? backoff->limit_us : GN_BACKOFF_MAX_US;
	uint64_t half_us;

	backoff->window_us =
		backoff->window_us ? 2 * backoff->window_us : GN_BACKOFF_MIN_US;
	if (backoff->window_us > limit_us)
		backoff->window_us = limit_us;
	half_us = backoff->window_us / 2;
	return half_us + (uint64_t)((double)half_us * g_rand_double(rand));
}

void gn_backoff_reset(gn_backoff_t *backoff)
{
	backoff->window_us = 0;
}
