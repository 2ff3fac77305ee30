/**
 * @file sched_mix.h
 * @brief Serving and best-effort tasks of a worker, aggregated by image.
 *
 * Placement and throttling depend on pairs of tasks. Aggregation reduces these
 * to a few pairs of images.
 */
#ifndef GN_SCHED_SCHED_MIX_H
#define GN_SCHED_SCHED_MIX_H

#include "sched/sched_internal.h"

/** Limits for serving images and best-effort tasks; more are ignored. */
#define SCHED_MIX_SERVING_MAX 8
#define SCHED_MIX_BEST_EFFORT_MAX 48
/** Limit for images of best-effort tasks; more are ignored. */
#define SCHED_MIX_USES_MAX 24

/** Upper limit of the result of sched_mix_budget_use(). */
#define SCHED_BUDGET_USE_MAX 3.0
/** Assumed share of their reserved CPU that serving tasks use. */
#define SCHED_SERVING_CPU_SHARE 0.5

/** Serving tasks of one image. */
typedef struct sched_mix_serving_s {
	const char *image;
	double budget; /**< Headroom that best-effort tasks may use. */
	/** Part of it that tasks of late jobs may use, after all others. */
	double late_budget;
} sched_mix_serving_t;

/** A best-effort task. */
typedef struct sched_mix_best_effort_s {
	sched_task_t *task;
	bool late; /**< Its job is late; see sched_job_update_late(). */
	double share; /**< Share of the processors at full pace. */
	/** Interference weights with the images in `serving`. */
	float weights[SCHED_MIX_SERVING_MAX];
	/** Maximum ratio of a weight to the budget of its serving image. */
	double cost;
	double pace; /**< Pace that budgets and processors allow, 0 to 1. */
} sched_mix_best_effort_t;

/** The mix of tasks on a worker. */
typedef struct sched_mix_s {
	sched_mix_serving_t serving[SCHED_MIX_SERVING_MAX];
	size_t serving_count;
	/** Tasks of late jobs last, else ordered by cost, which is the order of
	 * headroom allocation. */
	sched_mix_best_effort_t best_effort[SCHED_MIX_BEST_EFFORT_MAX];
	size_t best_effort_count;
	uint32_t late_milli; /**< CPU that the tasks of late jobs could use. */
	gn_image_use_t uses[SCHED_MIX_USES_MAX]; /**< Measured CPU use. */
	size_t use_count;
	/** Share of their CPU demand that best-effort tasks of jobs in time can
	 * get. */
	double cpu_share;
} sched_mix_t;

/** A best-effort task to be added to a worker. */
typedef struct sched_mix_candidate_s {
	const char *image; /**< Interned. */
	uint32_t cpu_milli; /**< CPU that it could use. */
	bool late; /**< Its job is late. */
} sched_mix_candidate_t;

/**
 * Aggregates the claims of @p worker, whose CPU capacity must be above 0, and
 * divides the headroom budgets of serving tasks among best-effort tasks. Tasks
 * with the least headroom cost per processor share come first, which maximizes
 * the work done. Tasks of late jobs come after all others, and use only what
 * these leave of the processors and of the late budgets.
 */
void sched_mix_get(const gn_sched_t *sched, const sched_worker_t *worker,
		   sched_mix_t *mix);

/**
 * Returns the share of its full speed, above 0, that the added task would
 * reach. Tasks with a higher headroom cost and those of late jobs yield to it.
 */
double sched_mix_speed(const gn_sched_t *sched, const sched_worker_t *worker,
		       const sched_mix_t *mix,
		       const sched_mix_candidate_t *added);

/**
 * Returns the largest share of a headroom budget that the added task would use
 * together with the tasks that come before it. 1 uses up the budget; the result is at
 * most SCHED_BUDGET_USE_MAX.
 */
double sched_mix_budget_use(const gn_sched_t *sched,
			    const sched_worker_t *worker,
			    const sched_mix_t *mix,
			    const sched_mix_candidate_t *added);

/** Adds a best-effort task to the mix. */
void sched_mix_add(const gn_sched_t *sched, sched_mix_t *mix,
		   const sched_worker_t *worker, sched_task_t *task);

#endif
