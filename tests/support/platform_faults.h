/**
 * @file platform_faults.h
 * @brief The faults of the platform stand-in, set from JSON.
 */
#ifndef GN_TESTS_PLATFORM_FAULTS_H
#define GN_TESTS_PLATFORM_FAULTS_H

#include <jansson.h>
#include <stdbool.h>

#include "common/error.h"

/**
 * The faults in force. A fault whose member is a count affects that many calls.
 */
typedef struct platform_faults_s {
	bool down; /**< answers 503 and applies nothing */
	bool black_hole; /**< accepts calls, neither applies nor answers them */
	bool freeze_leases; /**< no lease expires */
	uint64_t slow_ms; /**< delay of each answer, milliseconds */
	uint64_t lose_answers; /**< count: apply, close without answer */
	uint64_t drop_requests; /**< count: close without applying */
	uint64_t truncate_answers; /**< count: close in mid-answer */
	uint64_t garbage_answers; /**< count: answer with invalid JSON */
	uint64_t older_reads; /**< count: get and list read a past state */
	uint64_t expire_lease; /**< identifier of a lease to end now */
} platform_faults_t;

/**
 * Sets the faults that @p json names and leaves the others.
 * @return GN_ERR_INVALID if @p json names an unknown fault or has a wrong type;
 *         nothing is changed then
 */
gn_code_t platform_faults_parse(platform_faults_t *faults, const json_t *json);

/** Decrements a count above 0. @return whether it was above 0 */
bool platform_fault_consume(uint64_t *count);

#endif
