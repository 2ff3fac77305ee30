#include "scheduler/stop.h"

/** It takes new connections until the balancer has seen that it stops. */
#define LAME_DUCK_US (2600 * GN_US_PER_MS)
/** Then it takes what comes on open connections for this long. */
#define LINGER_US (1200 * GN_US_PER_MS)

bool scheduler_stop_is_quiet(uint64_t since_us)
{
	return since_us > LAME_DUCK_US;
}

bool scheduler_stop_takes_requests(uint64_t since_us)
{
	return since_us <= LAME_DUCK_US + LINGER_US;
}

bool scheduler_stop_is_over(uint64_t since_us, size_t pending)
{
	return !scheduler_stop_takes_requests(since_us) && !pending;
}
