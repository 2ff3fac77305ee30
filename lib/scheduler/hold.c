#include "scheduler/hold.h"

/** Time for an election, and for the new leader to load all jobs. */
#define ELECTION_US (800 * GN_US_PER_MS)
/**
 * The store is away if it has been silent for this long; a watch call returns
 * after a second at the latest.
 */
#define STORE_SILENT_US (1500 * GN_US_PER_MS)

bool scheduler_hold_is_useful(const scheduler_absence_t *absence,
			      uint64_t now_us)
{
	return absence->served_us &&
	       now_us < absence->served_us + absence->lease_us + ELECTION_US &&
	       now_us < absence->store_answered_us + STORE_SILENT_US;
}
