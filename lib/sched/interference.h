/**
 * @file interference.h
 * @brief Estimates how much best-effort tasks slow down serving tasks, for each
 *        pair of images.
 *
 * Serving tasks (see sched/sched.h) have a latency target. Best-effort tasks
 * use the processor time that other tasks leave. Most pairs of images hardly
 * interfere with each other, a few do so heavily. Only tail latency shows which
 * ones, and it also changes with the load of the serving task itself.
 *
 * A serving task is modeled as a queue: its tail latency is its service time
 * divided by the share of time that it is idle, so the reciprocal of the tail
 * falls linearly with its own load and with interference. The headroom of a
 * task is its target divided by its tail; it is 1 at the target. It is modeled
 * as a baseline, which is the headroom without best-effort tasks, minus, for
 * each image of best-effort tasks on the same worker, the share of the worker's
 * processors that this image uses times the weight of the pair. All tasks of a
 * step get the same load from their callers, so they share one baseline. Each
 * reading corrects the baseline and the weights in proportion to their
 * uncertainty and to their part in the reading (a Kalman filter without
 * covariances). Weights never fall below zero.
 */
#ifndef GN_SCHED_INTERFERENCE_H
#define GN_SCHED_INTERFERENCE_H

#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#include "gypsumnotch.h"

typedef struct gn_interference_s gn_interference_t;

/** Processor use of all best-effort tasks of one image on a worker. */
typedef struct gn_image_use_s {
	const char *image; /**< Interned string. */
	double share; /**< Share of the worker's processors in use, 0 to 1. */
} gn_image_use_t;

/** Estimated headroom of a step's tasks without best-effort tasks. */
typedef struct gn_headroom_s {
	double value;
	double variance;
	uint64_t updated_us; /**< Time of the last reading; 0 if none. */
} gn_headroom_t;

/**
 * Creates an empty table of weights.
 * @return the table, or NULL if out of memory
 */
gn_interference_t *gn_interference_create(TALLOC_CTX *parent);

/**
 * Returns the weight of a pair: the headroom that a serving task loses when
 * @p best_effort uses all processors of the worker. Images are interned
 * strings in all functions of this module.
 */
double gn_interference_weight(const gn_interference_t *interference,
			      const char *serving, const char *best_effort);

/** Returns the weight of a pair plus one standard deviation. */
double gn_interference_weight_bound(const gn_interference_t *interference,
				    const char *serving,
				    const char *best_effort);

/** Returns the headroom that a serving task loses to @p uses. */
double gn_interference_loss(const gn_interference_t *interference,
			    const char *serving, const gn_image_use_t *uses,
			    size_t count);

/**
 * Updates the weights and the baseline with one reading.
 * @param headroom target divided by measured tail latency
 * @param baseline baseline of the step that the task belongs to
 */
void gn_interference_update(gn_interference_t *interference,
			    const char *serving, double headroom,
			    gn_headroom_t *baseline, const gn_image_use_t *uses,
			    size_t count, uint64_t now_us);

/**
 * Serializes all weights for the next leader.
 * @return a buffer to be freed with free()
 */
uint8_t *gn_interference_pack(const gn_interference_t *interference,
			      size_t *len);

/**
 * Loads the weights that an earlier leader stored.
 * @return GN_OK, or GN_ERR_INVALID if @p data is malformed; rows before the
 *         malformed one may have been loaded
 */
gn_code_t gn_interference_unpack(gn_interference_t *interference,
				 const uint8_t *data, size_t len);

#endif
