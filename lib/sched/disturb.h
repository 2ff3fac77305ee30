/**
 * @file disturb.h
 * @brief Learns how much what fills disturbs what serves, by pairs of images.
 *
 * Answers the load of filling tasks of many images beside serving ones: most
 * pairs do not disturb each other, a few do so heavily, and which ones is seen
 * only in tail latencies that also move with the serving task's own load.
 *
 * The logarithm of a serving task's tail is taken as a baseline of its own,
 * which moves with its load, plus, for each image that fills beside it, the
 * share of the worker's processors in use by that image times the pair's
 * weight; tails grow by factors as a worker fills up. Each reading corrects
 * baseline and weights in proportion to how uncertain they are and to their
 * part in it (a Kalman filter without covariances), so a pair is learned from
 * its first readings and steady after them. Weights never go below zero.
 */
#ifndef GN_SCHED_DISTURB_H
#define GN_SCHED_DISTURB_H

#include <stddef.h>
#include <talloc.h>

typedef struct gn_disturb_s gn_disturb_t;

/** What fills on a worker, summed over tasks of one image. */
typedef struct gn_fill_use_s {
	const char *image; /**< interned */
	double share; /**< of the worker's processors that it uses, 0..1 */
} gn_fill_use_t;

/** Creates an empty table; NULL: memory. */
gn_disturb_t *gn_disturb_create(TALLOC_CTX *parent);

/**
 * The weight of a pair: the logarithm of the factor by which the whole
 * worker's processors in use by @p fills would lengthen the tail. Images are
 * interned strings everywhere here.
 */
double gn_disturb_weight(const gn_disturb_t *disturb, const char *serves,
			 const char *fills);

/** The same, higher by one standard deviation of what is known of it. */
double gn_disturb_bound(const gn_disturb_t *disturb, const char *serves,
			const char *fills);

/** The logarithm of the factor by which @p uses lengthen the tail. */
double gn_disturb_sum(const gn_disturb_t *disturb, const char *serves,
		      const gn_fill_use_t *uses, size_t count);

/**
 * Takes a reading.
 * @param tail_ms above 0
 * @param baseline logarithm of the serving task's own tail in milliseconds;
 *        below 0: not known yet
 */
void gn_disturb_learn(gn_disturb_t *disturb, const char *serves, double tail_ms,
		      double *baseline_ms, const gn_fill_use_t *uses,
		      size_t count);

#endif
