#include "job/life.h"

#include <string.h>

bool gn_life_same_id(gn_life_t a, gn_life_t b)
{
	return !strcmp(a.id, b.id);
}

bool gn_life_matches(gn_life_t a, gn_life_t b)
{
	return gn_life_same_id(a, b) &&
	       (a.started_ms == b.started_ms || !a.started_ms || !b.started_ms);
}
