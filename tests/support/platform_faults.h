/**
 * @file platform_faults.h
 * @brief The fault switch of the platform stand-in; set from JSON.
 */
#ifndef GN_TESTS_PLATFORM_FAULTS_H
#define GN_TESTS_PLATFORM_FAULTS_H

#include <jansson.h>
#include <stdbool.h>

#include "common/error.h"

/** What is wrong with the service now; counts run down to 0. */
typedef struct platform_faults_s {
	bool down; /**< answers 503, nothing is applied */
	bool black_hole; /**< accepts, never applies, never answers */
	bool freeze_leases; /**< no lease lapses */
	uint64_t slow_ms; /**< each answer waits so long */
	uint64_t lose_answers; /**< apply, then close without an answer */
	uint64_t drop_requests; /**< close without applying */
	uint64_t truncate_answers; /**< close in the middle of the answer */
	uint64_t garbage_answers; /**< the answer is no JSON */
	uint64_t older_reads; /**< get and list answer from a past state */
	uint64_t expire_lease; /**< this lease ends now */
} platform_faults_t;

/** Sets what @p json names; GN_ERR_INVALID and no change if it is wrong. */
gn_code_t platform_faults_parse(platform_faults_t *faults, const json_t *json);

/** Counts one down; whether there was one. */
bool platform_fault_take(uint64_t *count);

#endif
