#include "sched/feasibility.h"

#include <math.h>

#include "gypsumnotch.h"

/** Minimum time between updates of the rate. */
#define UPDATE_US (200 * GN_US_PER_MS)
/** Time constant of the rate, longer than most tasks run. */
#define SMOOTHING_US (3000 * GN_US_PER_MS)

void gn_feasibility_count_done(gn_feasibility_t *state, double work)
{
	state->done += work;
}

void gn_feasibility_update(gn_feasibility_t *state, bool is_short,
			   double usable_milli, uint64_t now_us)
{
	uint64_t passed_us = now_us - state->updated_us;
	double rate;

	if (state->started_us && passed_us < UPDATE_US)
		return;
	if (!state->started_us) {
		state->cpu_milli = usable_milli;
		state->started_us = now_us;
		state->late_promoted_us = now_us;
	} else {
		rate = state->done * GN_US_PER_MS / (double)passed_us;
		/* Without a shortage, less work is finished than could be. */
		if (!is_short && rate < usable_milli)
			rate = usable_milli;
		state->cpu_milli +=
			(1 - exp(-(double)passed_us / SMOOTHING_US)) *
			(rate - state->cpu_milli);
	}
	state->done = 0;
	state->updated_us = now_us;
}

bool gn_feasibility_is_known(const gn_feasibility_t *state, uint64_t now_us)
{
	return state->started_us && state->cpu_milli > 0 &&
	       now_us - state->started_us >= SMOOTHING_US;
}

bool gn_feasibility_check(const gn_feasibility_t *state, double ahead,
			  double work, uint64_t deadline_us, uint64_t now_us)
{
	double left_ms;

	if (!gn_feasibility_is_known(state, now_us))
		return true;
	if (deadline_us <= now_us)
		return false;
	left_ms = (double)(deadline_us - now_us) / GN_US_PER_MS;
	return (ahead + work) / state->cpu_milli <= left_ms;
}

bool gn_feasibility_allows_late(const gn_feasibility_t *state,
				uint64_t accepted_us, uint64_t now_us)
{
	return now_us - accepted_us >=
		       GN_FEASIBILITY_LATE_AGE_MS * GN_US_PER_MS &&
	       now_us - state->late_promoted_us >=
		       GN_FEASIBILITY_LATE_INTERVAL_MS * GN_US_PER_MS;
}
