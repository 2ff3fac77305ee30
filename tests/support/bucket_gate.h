/**
 * @file bucket_gate.h
 * @brief Bucket parameters and a controllable gate for tests and benches.
 */
#ifndef GN_TESTS_BUCKET_GATE_H
#define GN_TESTS_BUCKET_GATE_H

#include "batch/bucket.h"

/** Run promises of 10 s, a drift margin of 1 s, a retention of one minute. */
extern const gn_batch_params_t bucket_params;

/** The answers of the gate. The record revision is always 1. */
typedef struct bucket_gate_s {
	bool may_renew;
	bool may_start;
	bool settled; /**< all earlier owners are settled */
	bool owner_lives; /**< the earlier owner is in the record */
} bucket_gate_t;

/** A gate that allows everything. */
#define BUCKET_GATE_OPEN                \
	{                               \
		true, true, true, false \
	}

/** Makes a gate from @p answers, which may change and must outlive it. */
gn_batch_gate_t bucket_gate(bucket_gate_t *answers);

#endif
