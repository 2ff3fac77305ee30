/**
 * @file life.h
 * @brief Identity of one lifetime of a worker, from its start to its exit.
 *
 * The platform gives a worker an ID, but a worker may start again under the ID
 * that it had. It then knows nothing of its earlier runs and numbers its ends
 * from 1, so only the ID and the time of the start together identify a life.
 */
#ifndef GN_JOB_LIFE_H
#define GN_JOB_LIFE_H

#include <stdbool.h>
#include <stdint.h>

/** Prefix of the keys in the store that record lives that have ended. */
#define GN_LEAVE_PREFIX "gn/left/"

/** Time by which a start may lie ahead of the time of day, which may be wrong. */
#define GN_LIFE_AHEAD_MS (24 * 3600 * 1000ULL)

/** A life of a worker. */
typedef struct gn_life_s {
	const char *id; /**< Not owned; empty if no life is known. */
	/** Start of the life, in ms since 1970. It is 0 if unknown, as in
	 * states and messages of older builds. */
	uint64_t started_ms;
} gn_life_t;

/** Whether both have the same ID, whatever their start times. */
bool gn_life_same_id(gn_life_t a, gn_life_t b);

/**
 * Whether both can be the same life: the same ID, and the same start time
 * unless one of them is unknown.
 */
bool gn_life_matches(gn_life_t a, gn_life_t b);

#endif
