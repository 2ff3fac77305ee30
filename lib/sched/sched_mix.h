/**
 * @file sched_mix.h
 * @brief What serves and what fills on a worker, summed up by image.
 *
 * Placing and pacing look at many pairs of tasks; the sums make that a matter
 * of a few pairs of images.
 */
#ifndef GN_SCHED_SCHED_MIX_H
#define GN_SCHED_SCHED_MIX_H

#include "sched/sched_internal.h"

/** Images of a kind on one worker; more are left out. */
#define SCHED_MIX_MAX 24

/** The most that sched_mix_harm() tells. */
#define SCHED_HARM_MAX 3.0

/** What serves with one image. */
typedef struct sched_mix_serving_s {
	const char *image;
	double budget; /**< headroom that what fills may use up */
} sched_mix_serving_t;

/** What fills with one image. */
typedef struct sched_mix_filling_s {
	const char *image;
	double full_share; /**< of the processors, at full pace */
} sched_mix_filling_t;

/** A worker's mix. */
typedef struct sched_mix_s {
	sched_mix_serving_t serving[SCHED_MIX_MAX];
	size_t serving_count;
	sched_mix_filling_t filling[SCHED_MIX_MAX];
	size_t filling_count;
	gn_fill_use_t uses[SCHED_MIX_MAX]; /**< by the worker's own figures */
	size_t use_count;
	double spare; /**< share of its wish that what fills can get */
} sched_mix_t;

/** Sums up the claims of @p worker, whose capacity is above 0. */
void sched_mix_get(const sched_worker_t *worker, sched_mix_t *mix);

/**
 * The pace, 0 to 1, that what serves leaves to @p image. Of what is over a
 * budget, that gives way first which weighs most.
 */
double sched_mix_pace(const gn_sched_t *sched, const sched_mix_t *mix,
		      const char *image);

/**
 * The share of its full speed, above 0, that one more task of @p image would
 * have that could use @p cpu_milli.
 */
double sched_mix_speed(const gn_sched_t *sched, const sched_worker_t *worker,
		       const sched_mix_t *mix, const char *image,
		       uint32_t cpu_milli);

/**
 * How much of the headroom that what fills may use up one more task of @p image
 * would take, with what fills already; 1: all, more at most SCHED_HARM_MAX.
 */
double sched_mix_harm(const gn_sched_t *sched, const sched_worker_t *worker,
		      const sched_mix_t *mix, const char *image,
		      uint32_t cpu_milli);

/** Counts one more task as filling. */
void sched_mix_add(sched_mix_t *mix, const sched_worker_t *worker,
		   const char *image, uint32_t cpu_milli);

#endif
