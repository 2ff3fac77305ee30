/**
 * @file disturb.h
 * @brief Learns how much what fills disturbs what serves, by pairs of images.
 *
 * Answers the load of filling tasks of many images beside serving ones: most
 * pairs hardly disturb each other, a few do so heavily, and which ones is seen
 * only in tail latencies that also move with the serving task's own load.
 *
 * A serving task is taken for a queue: its tail is its service time over the
 * share of time that it is idle, so the reciprocal of the tail falls in
 * proportion to its own load and to what disturbs it. The headroom of a task
 * is its target over its tail; it is 1 at the target. It is the headroom that
 * the task would have alone, less, for each image that fills beside it, the
 * share of the worker's processors in use by that image times the pair's
 * weight. Tasks of one step share their callers, so they share one headroom
 * alone, which follows their load. Each reading corrects that headroom and the
 * weights in proportion to how uncertain they are and to their part in it (a
 * Kalman filter without covariances). Weights never go below zero.
 */
#ifndef GN_SCHED_DISTURB_H
#define GN_SCHED_DISTURB_H

#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#include "gypsumnotch.h"

typedef struct gn_interference_s gn_interference_t;

/** What fills on a worker, summed over tasks of one image. */
typedef struct gn_image_use_s {
	const char *image; /**< interned */
	double share; /**< of the worker's processors that it uses, 0..1 */
} gn_image_use_t;

/** What is known of the headroom of a step's tasks when nothing fills. */
typedef struct gn_headroom_s {
	double value;
	double variance;
	uint64_t updated_us; /**< time of the last reading; 0: not known yet */
} gn_headroom_t;

/** Creates an empty table; NULL: memory. */
gn_interference_t *gn_interference_create(TALLOC_CTX *parent);

/**
 * The weight of a pair: the headroom that is lost when all of a worker's
 * processors are in use by @p fills. Images are interned strings everywhere
 * here.
 */
double gn_interference_weight(const gn_interference_t *disturb,
			      const char *serves, const char *fills);

/** The same, higher by one standard deviation of what is known of it. */
double gn_interference_weight_bound(const gn_interference_t *disturb,
				    const char *serves, const char *fills);

/** The headroom that is lost to @p uses. */
double gn_interference_loss(const gn_interference_t *disturb,
			    const char *serves, const gn_image_use_t *uses,
			    size_t count);

/**
 * Takes a reading.
 * @param headroom target over tail
 * @param alone of the step that the task is part of
 */
void gn_interference_update(gn_interference_t *disturb, const char *serves,
			    double headroom, gn_headroom_t *alone,
			    const gn_image_use_t *uses, size_t count,
			    uint64_t now_us);

/** Packs what is known of all pairs, for a successor; free(). */
uint8_t *gn_interference_pack(const gn_interference_t *disturb, size_t *len);

/**
 * Takes what a predecessor knew.
 * @return GN_OK, or GN_ERR_INVALID: malformed; nothing or a part was taken
 */
gn_code_t gn_interference_unpack(gn_interference_t *disturb,
				 const uint8_t *data, size_t len);

#endif
