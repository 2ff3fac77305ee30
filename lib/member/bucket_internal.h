/**
 * @file bucket_internal.h
 * @brief Mutants of the bucket holder, for tests.
 */
#ifndef GN_MEMBER_BUCKET_INTERNAL_H
#define GN_MEMBER_BUCKET_INTERNAL_H

#include "member/bucket.h"

/** Mutants: deliberate faults that the randomized tests must detect. */
typedef enum gn_member_bucket_mutant_e {
	GN_MEMBER_BUCKET_MUTANT_NONE = 0,
	/** Repeats a write that conflicted, with the current revision. */
	GN_MEMBER_BUCKET_MUTANT_IGNORE_CONFLICT,
	/** Treats a write whose answer was lost as successful. */
	GN_MEMBER_BUCKET_MUTANT_ASSUME_WRITTEN,
	/** Does not release the bucket when another entry should own it. */
	GN_MEMBER_BUCKET_MUTANT_KEEP,
	GN_MEMBER_BUCKET_MUTANT_COUNT
} gn_member_bucket_mutant_t;

/** Activates a mutant; for tests only. */
void gn_member_bucket_set_mutant(gn_member_bucket_t *holder,
				 gn_member_bucket_mutant_t mutant);

#endif
