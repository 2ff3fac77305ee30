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

/** Images that serve on one worker, and tasks that fill; more are left out. */
#define SCHED_MIX_SERVING_MAX 8
#define SCHED_MIX_BEST_EFFORT_MAX 48
/** Images that fill on one worker. */
#define SCHED_MIX_USES_MAX 24

/** The most that sched_mix_harm() tells. */
#define SCHED_HARM_MAX 3.0

/** What serves with one image. */
typedef struct sched_mix_serving_s {
	const char *image;
	double budget; /**< headroom that what fills may use up */
} sched_mix_serving_t;

/** A task that fills. */
typedef struct sched_mix_best_effort_s {
	sched_task_t *task;
	double share; /**< of the processors, at full pace */
	float weights[SCHED_MIX_SERVING_MAX]; /**< of its pairs */
	double cost; /**< largest part of a budget that its weights are */
	double pace; /**< that is left to it, 0 to 1 */
} sched_mix_best_effort_t;

/** A worker's mix. */
typedef struct sched_mix_s {
	sched_mix_serving_t serving[SCHED_MIX_SERVING_MAX];
	size_t serving_count;
	/** In the order in which they are given headroom. */
	sched_mix_best_effort_t best_effort[SCHED_MIX_BEST_EFFORT_MAX];
	size_t best_effort_count;
	gn_image_use_t uses[SCHED_MIX_USES_MAX]; /**< by the worker's figures */
	size_t use_count;
	double cpu_share; /**< share of its wish that what fills can get */
} sched_mix_t;

/** One more task that could fill there. */
typedef struct sched_mix_candidate_s {
	const char *image; /**< interned */
	uint32_t cpu_milli; /**< that it could use */
} sched_mix_candidate_t;

/**
 * Sums up the claims of @p worker, whose capacity is above 0, and shares the
 * headroom of what serves out among what fills: first to those of which a
 * share of the processors takes least of it, so that most work is done.
 */
void sched_mix_get(const gn_sched_t *sched, const sched_worker_t *worker,
		   sched_mix_t *mix);

/**
 * The share of its full speed, above 0, that one more task would have. Those
 * give way to it that take more headroom.
 */
double sched_mix_speed(const gn_sched_t *sched, const sched_worker_t *worker,
		       const sched_mix_t *mix,
		       const sched_mix_candidate_t *more);

/**
 * How much of the headroom that what fills may use up one more task would
 * take, with what takes less; 1: all, more at most SCHED_HARM_MAX.
 */
double sched_mix_harm(const gn_sched_t *sched, const sched_worker_t *worker,
		      const sched_mix_t *mix,
		      const sched_mix_candidate_t *more);

/** Counts one more task as filling. */
void sched_mix_add(const gn_sched_t *sched, sched_mix_t *mix,
		   const sched_worker_t *worker, sched_task_t *task);

#endif
