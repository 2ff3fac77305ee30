#include "executor/gone.h"

#include "common/clock.h"

/** A single refusal may have another cause, such as a lack of ports here. */
#define CONFIRM_US (20 * GN_US_PER_MS)

void gn_gone_reset(gn_gone_t *gone)
{
	*gone = (gn_gone_t){ 0 };
}

bool gn_gone_record_refusal(gn_gone_t *gone, uint64_t now_us)
{
	if (gone->gone)
		return false;
	if (!gone->first_refused_us)
		gone->first_refused_us = now_us;
	gone->gone = now_us - gone->first_refused_us >= CONFIRM_US;
	return gone->gone;
}

bool gn_gone_record_response(gn_gone_t *gone)
{
	bool was_gone = gone->gone;

	gn_gone_reset(gone);
	return was_gone;
}
