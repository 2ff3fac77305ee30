#include "job/life.h"

#include <string.h>

gn_life_relation_t gn_life_compare(gn_life_t life, gn_life_t other)
{
	if (strcmp(life.id, other.id) != 0)
		return GN_LIFE_OTHER;
	if (!life.started_ms || !other.started_ms ||
	    life.started_ms == other.started_ms)
		return GN_LIFE_SAME;
	return life.started_ms < other.started_ms ? GN_LIFE_FORMER
						  : GN_LIFE_NEXT;
}

bool gn_life_matches(gn_life_t a, gn_life_t b)
{
	return gn_life_compare(a, b) == GN_LIFE_SAME;
}

bool gn_life_equals(gn_life_t a, gn_life_t b)
{
	return gn_life_matches(a, b) && a.started_ms == b.started_ms;
}

bool gn_life_began_before(gn_life_t life, gn_life_t other)
{
	return life.started_ms < other.started_ms;
}
