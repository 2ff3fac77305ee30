#include "executor/ends.h"

uint64_t gn_ends_to_discard(Gn__WorkerEnd *const *ends, size_t count,
			    uint64_t stored)
{
	return count && ends[0]->number <= stored ? stored : 0;
}
