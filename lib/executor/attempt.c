#include "executor/attempt.h"

/** Timeout of the first call; it doubles with each further one. */
#define FIRST_TIMEOUT_MS 175

unsigned gn_attempt_timeout_ms(unsigned attempt)
{
	unsigned timeout_ms = FIRST_TIMEOUT_MS;

	while (--attempt && timeout_ms < GN_ATTEMPT_TIMEOUT_MAX_MS)
		timeout_ms *= 2;
	return timeout_ms;
}
