/**
 * @file walk.h
 * @brief The frame of seeded random walks: seeds, counts, planted bugs.
 *
 * A plan adds the test PATH/walks, which walks its seeds and prints how often
 * everything named in the counts occurred, and a test PATH/mutant/NAME for each
 * planted bug, which must be caught. GN_WALKS sets another number of walks and
 * GN_SEED the first seed, 1 if unset; a mutant then walks these seeds to their
 * end, and the walks with a violation are counted.
 */
#ifndef GN_TESTS_WALK_H
#define GN_TESTS_WALK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** How often something occurs at the least, or the walks prove nothing. */
typedef enum gn_walk_least_e {
	GN_WALK_ANY, /**< not asked for */
	GN_WALK_SOME, /**< once in all walks */
	GN_WALK_EACH, /**< more than once a walk on average */
} gn_walk_least_t;

/** Something that is counted. */
typedef struct gn_walk_count_s {
	const char *name; /**< NULL: none is printed */
	gn_walk_least_t least;
} gn_walk_count_t;

/** A planted bug; it walks the seeds step, 2 step, 3 step... */
typedef struct gn_walk_mutant_s {
	const char *name;
	unsigned step; /**< 0 as 1 */
	unsigned walks; /**< within which it must be caught; 0 as the plan's */
} gn_walk_mutant_t;

/** Walks of one kind; lives as long as the program. */
typedef struct gn_walk_plan_s {
	const char *path;
	unsigned walks; /**< in CI */
	unsigned mutant_walks; /**< for mutants that say nothing else */
	const gn_walk_count_t *counts;
	size_t count_count;
	const gn_walk_mutant_t *mutants; /**< by number; 0 stands for none */
	size_t mutant_count;
	/**
	 * Runs one whole walk and adds to @p counts, one for each name.
	 * @return NULL, or what was violated, static
	 */
	const char *(*run)(guint32 seed, unsigned mutant, uint64_t *counts);
} gn_walk_plan_t;

/** Adds the tests of @p plan. */
void gn_walk_add(const gn_walk_plan_t *plan);

/** Draws whether something of that chance happens, 0..1. */
bool gn_walk_draw(GRand *rand, double chance);

#endif
