#include "wire/reconnect.h"

/*
 * The first wait is one timeout. Each later one is drawn from the upper half
 * of a window that doubles up to GN_RECONNECT_TIMEOUTS_MAX timeouts.
 */
static uint64_t draw_wait_us(gn_reconnect_t *reconnect, GRand *rand)
{
	uint64_t limit_us = GN_RECONNECT_TIMEOUTS_MAX * reconnect->timeout_us;
	uint64_t half_us;

	if (!reconnect->window_us) {
		reconnect->window_us = reconnect->timeout_us;
		return reconnect->timeout_us;
	}
	reconnect->window_us = MIN(2 * reconnect->window_us, limit_us);
	half_us = reconnect->window_us / 2;
	return half_us + (uint64_t)((double)half_us * g_rand_double(rand));
}

void gn_reconnect_note_open(gn_reconnect_t *reconnect, GRand *rand,
			    uint64_t now_us)
{
	reconnect->due_us = now_us + draw_wait_us(reconnect, rand);
}

unsigned gn_reconnect_note_answer(gn_reconnect_t *reconnect, uint64_t now_us)
{
	unsigned failures = reconnect->failures;

	reconnect->failures = 0;
	reconnect->window_us = 0;
	reconnect->due_us = now_us + reconnect->timeout_us;
	return failures;
}

bool gn_reconnect_is_due(const gn_reconnect_t *reconnect, uint64_t now_us)
{
	return now_us > reconnect->due_us;
}

bool gn_reconnect_note_closed(gn_reconnect_t *reconnect, uint64_t now_us)
{
	if (!reconnect->failures++)
		reconnect->lost_us = now_us;
	return reconnect->failures == 1;
}
