/**
 * @file bucket_gate.h
 * @brief What surrounds one bucket in tests and benches: times and a gate.
 */
#ifndef GN_TESTS_BUCKET_GATE_H
#define GN_TESTS_BUCKET_GATE_H

#include "batch/bucket.h"

/** Promises of 10 s, a margin of 1 s, ended tasks kept for a minute. */
extern const gn_batch_params_t bucket_params;

/** What the gate says; the record's revision is always 1. */
typedef struct bucket_gate_s {
	bool may_renew;
	bool may_start;
	bool settled; /**< all earlier owners */
	bool owner_lives; /**< the earlier owner is in the record */
} bucket_gate_t;

/** A gate that allows all. */
#define BUCKET_GATE_OPEN                \
	{                               \
		true, true, true, false \
	}

/** The gate; @p says may change and must outlive it. */
gn_batch_gate_t bucket_gate(bucket_gate_t *says);

#endif
