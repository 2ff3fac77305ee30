/**
 * @file estimate.h
 * @brief Learns run times from ends, per queue and image.
 *
 * Callers declare the run time of a task. The declared times are wrong by a
 * factor that is much the same for all tasks of a queue with the same image. So
 * the ratio of the real time to the declared one is learned, from runs that
 * nothing made longer or shorter: without a checkpoint, near their data, at
 * full pace, on workers of normal slowness.
 *
 * Ratios are averaged as logarithms, so that a run of half the time weighs as
 * much as one of twice the time. A run far outside of the usual spread counts
 * only as one at its edge: a few stragglers take several times as long as the
 * others, and the learned value tells how long a usual run takes.
 *
 * Load: declared times are wrong by a factor of up to 5 that depends on the
 * kind of work; 3 % of the runs take seven times as long as the others.
 */
#ifndef GN_ESTIMATE_ESTIMATE_H
#define GN_ESTIMATE_ESTIMATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#include "gypsumnotch.h"

/** Limit on pairs of queue and image, since callers choose the images. */
#define GN_ESTIMATE_PAIRS_MAX 256
/** Number of ends from which a learned value replaces the declared one. */
#define GN_ESTIMATE_ENDS_MIN 20

/** Table of learned values. */
typedef struct gn_estimate_s gn_estimate_t;

/** A run that has ended as done. */
typedef struct gn_estimate_run_s {
	uint64_t took_us;
	uint64_t declared_us; /**< 0 if unknown; such a run is not counted. */
	/** Smoothed slowness of its worker; 0 if unknown. */
	double slowness;
	/** It resumed from a checkpoint, was far from its data or from its gang,
	 * or was throttled; such a run is not counted. */
	bool altered;
} gn_estimate_run_t;

/** Learned value of a pair. */
typedef struct gn_estimate_value_s {
	double ratio; /**< Real time divided by declared time. */
	/** Mean deviation of the ratio's logarithm: 0.1 stands for 10 %. */
	double spread;
	uint32_t count; /**< Number of counted ends; 0 if none are known. */
} gn_estimate_value_t;

/** Creates an empty table; returns NULL if out of memory. */
gn_estimate_t *gn_estimate_create(TALLOC_CTX *parent);

/**
 * Updates a pair from a run that has ended.
 * @return whether the value is to be stored and logged: it is in use from now
 *         on, or differs by 10 % from the one that was stored last
 */
bool gn_estimate_learn(gn_estimate_t *estimate, const char *queue,
		       const char *image, const gn_estimate_run_t *run);

/** Returns the learned value of a pair, which counts as a use of it. */
gn_estimate_value_t gn_estimate_get(gn_estimate_t *estimate, const char *queue,
				    const char *image);

/** Returns the expected run time: the declared one, corrected by the learned
 * ratio if @p value has at least GN_ESTIMATE_ENDS_MIN ends. */
uint64_t gn_estimate_run_ms(const gn_estimate_value_t *value,
			    uint64_t declared_ms);

/** Returns the number of pairs. */
size_t gn_estimate_count(const gn_estimate_t *estimate);

/**
 * Serializes the pairs with at least GN_ESTIMATE_ENDS_MIN ends for the next
 * leader, as a packed Disturbances without
 * interference weights. Appended to a packed Disturbances, it adds the pairs.
 * @return a buffer to be freed with free()
 */
uint8_t *gn_estimate_pack(const gn_estimate_t *estimate, size_t *len);

/**
 * Loads the pairs that an earlier leader stored. A value that an older build
 * has stored holds none.
 * @return GN_OK, or GN_ERR_INVALID if @p data is malformed; rows before the
 *         malformed one may have been loaded
 */
gn_code_t gn_estimate_unpack(gn_estimate_t *estimate, const uint8_t *data,
			     size_t len);

#endif
