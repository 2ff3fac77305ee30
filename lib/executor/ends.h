/**
 * @file ends.h
 * @brief Which ends of runs a worker may discard.
 */
#ifndef GN_EXECUTOR_ENDS_H
#define GN_EXECUTOR_ENDS_H

#include <stddef.h>
#include <stdint.h>

#include "wire/gypsumnotch.pb-c.h"

/**
 * Returns the number up to which the worker may discard its ends; 0 if it has
 * listed none that is stored. A number is not sent without need: a worker that
 * has restarted under its ID would apply it to its own ends, which begin at 1.
 * @param ends the last list, in the order of the numbers
 * @param stored number of the last end that the leader has stored
 */
uint64_t gn_ends_to_discard(Gn__WorkerEnd *const *ends, size_t count,
			    uint64_t stored);

#endif
