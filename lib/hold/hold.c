#include "hold/hold.h"

bool gn_hold_may_start(const gn_hold_limits_t *limits,
		       const gn_hold_claim_t *claim, uint64_t now_us)
{
	return claim->start_sent && !claim->settled &&
	       now_us < claim->last_call_us + limits->late_us;
}

uint64_t gn_hold_until_us(const gn_hold_limits_t *limits,
			  const gn_hold_claim_t *claim)
{
	uint64_t until_us =
		claim->last_call_us + limits->late_us + limits->lease_max_us;

	if (!claim->start_sent || claim->settled)
		return claim->lease_expiry_us;
	return until_us > claim->lease_expiry_us ? until_us
						 : claim->lease_expiry_us;
}
