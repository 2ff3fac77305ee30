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

/** What one life of a worker is to another. */
typedef enum gn_life_relation_e {
	/** The same ID, and the same start unless one of them is unknown. */
	GN_LIFE_SAME = 0,
	/** The same ID and an earlier start: the other life carries out calls
	 * for this one, since they name the ID only. */
	GN_LIFE_FORMER,
	GN_LIFE_NEXT, /**< The same ID and a later start. */
	GN_LIFE_OTHER /**< Another ID: each refuses calls for the other. */
} gn_life_relation_t;

/**
 * Returns what @p life is to @p other. Whether a call, an answer, an order or a
 * claim is of the present life is decided here and nowhere else.
 */
gn_life_relation_t gn_life_compare(gn_life_t life, gn_life_t other);

/** Whether both can be the same life (GN_LIFE_SAME). */
bool gn_life_matches(gn_life_t a, gn_life_t b);

/** Whether both are certainly the same life: an unknown start equals no known
 * one. */
bool gn_life_equals(gn_life_t a, gn_life_t b);

/** Whether @p life began before @p other, whatever their IDs. An unknown start
 * counts as the earliest. */
bool gn_life_began_before(gn_life_t life, gn_life_t other);

#endif
