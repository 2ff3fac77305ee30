#include "scheduler/stop.h"

/**
 * Time for which new connections are accepted, so that the load balancer
 * learns of the stop first.
 */
#define NEW_CONNECTIONS_US (2600 * GN_US_PER_MS)
/** Time after that for which requests on open connections are accepted. */
#define OPEN_CONNECTIONS_US (1200 * GN_US_PER_MS)

bool scheduler_stop_refuses_connections(uint64_t since_us)
{
	return since_us > NEW_CONNECTIONS_US;
}

bool scheduler_stop_accepts_requests(uint64_t since_us)
{
	return since_us <= NEW_CONNECTIONS_US + OPEN_CONNECTIONS_US;
}

bool scheduler_stop_is_complete(uint64_t since_us, size_t pending)
{
	return !scheduler_stop_accepts_requests(since_us) && !pending;
}
