#include "confirm/confirm.h"

bool gn_confirm_is_recent(const gn_confirm_view_t *view)
{
	uint64_t max_us = 0;

	if (view->bound_ms > GN_CONFIRM_TRANSIT_MS)
		max_us = (uint64_t)(view->bound_ms - GN_CONFIRM_TRANSIT_MS) *
			 GN_US_PER_MS;
	return view->confirmed_us &&
	       view->now_us - view->confirmed_us <= max_us;
}

gn_confirm_decision_t gn_confirm_decide(const gn_confirm_view_t *view)
{
	if (gn_confirm_is_recent(view))
		return GN_CONFIRM_ANSWER;
	if (view->has_queue && (!view->needs_queue || !view->service_answers))
		return GN_CONFIRM_ANSWER;
	if (view->now_us - view->received_us <
	    GN_CONFIRM_WAIT_MS * GN_US_PER_MS)
		return GN_CONFIRM_WAIT;
	return GN_CONFIRM_REFUSE;
}
