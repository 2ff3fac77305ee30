#include "executor/grant.h"

#include "gypsumnotch.h"

/** Heartbeats are about a second apart; what one says counts as known for this
 * long after it. */
#define DESCRIPTION_FRESH_US (500 * GN_US_PER_MS)

void gn_grant_record_answer(gn_grant_t *grant, uint64_t sent_us)
{
	if (sent_us > grant->report_sent_us)
		grant->report_sent_us = sent_us;
}

bool gn_grant_record_clock(gn_grant_t *grant, uint64_t clock_ms,
			   uint64_t now_us)
{
	bool expired =
		grant->granted_until_ms && clock_ms > grant->granted_until_ms;

	/* Answers on different connections may arrive out of order. */
	if (clock_ms >= grant->clock_ms) {
		grant->clock_ms = clock_ms;
		grant->clock_received_us = now_us;
	}
	return expired;
}

uint64_t gn_grant_extend_until_ms(gn_grant_t *grant, uint64_t now_us)
{
	uint64_t end_us = grant->report_sent_us + grant->lease_us;
	uint64_t until_ms;

	if (!grant->report_sent_us || !grant->clock_ms || now_us >= end_us ||
	    end_us <= grant->clock_received_us)
		return 0;
	if (now_us - grant->clock_received_us >
	    GN_GRANT_CLOCK_MAX_AGE_MS * GN_US_PER_MS)
		return 0;
	until_ms = grant->clock_ms +
		   (end_us - grant->clock_received_us) / GN_US_PER_MS;
	if (until_ms > grant->granted_until_ms)
		grant->granted_until_ms = until_ms;
	return until_ms;
}

void gn_grant_reset(gn_grant_t *grant)
{
	grant->report_sent_us = 0;
	grant->clock_ms = 0;
	grant->clock_received_us = 0;
	grant->granted_until_ms = 0;
}

uint64_t gn_grant_get_basis_us(uint64_t reported_us, uint64_t described_us)
{
	uint64_t fresh_until_us = described_us + DESCRIPTION_FRESH_US;

	return reported_us < fresh_until_us ? reported_us : fresh_until_us;
}

bool gn_grant_may_start(const gn_grant_t *grant, uint64_t basis_us,
			uint64_t now_us)
{
	return now_us <
	       basis_us + (uint64_t)grant->start_max_age_ms * GN_US_PER_MS;
}
