/**
 * @file bucket_internal.h
 * @brief Planted faults of the holder of a bucket, for tests.
 */
#ifndef GN_MEMBER_BUCKET_INTERNAL_H
#define GN_MEMBER_BUCKET_INTERNAL_H

#include "member/bucket.h"

/** Planted faults, which the walks of the tests must find. */
typedef enum gn_member_bucket_mutant_e {
	GN_MEMBER_BUCKET_MUTANT_NONE = 0,
	/** a write that lost is made again on the present revision */
	GN_MEMBER_BUCKET_MUTANT_IGNORE_CONFLICT,
	/** a write whose answer was lost counts as done */
	GN_MEMBER_BUCKET_MUTANT_ASSUME_WRITTEN,
	/** the bucket is not handed over when another entry should own it */
	GN_MEMBER_BUCKET_MUTANT_KEEP,
	GN_MEMBER_BUCKET_MUTANT_COUNT
} gn_member_bucket_mutant_t;

/** Plants a fault; for tests. */
void gn_member_bucket_set_mutant(gn_member_bucket_t *holder,
				 gn_member_bucket_mutant_t mutant);

#endif
