/**
 * @file place_model.h
 * @brief Simulates a fleet that runs batch tasks, for bench_place.
 *
 * Capacity is counted by declared sizes, as the agents do. A worker releases
 * its tasks when its drain begins: those with a checkpoint resume elsewhere,
 * the others start over.
 */
#ifndef GN_TEST_PLACE_MODEL_H
#define GN_TEST_PLACE_MODEL_H

#include "batch/share.h"
#include "batch/task_queue.h"

typedef struct place_model_s place_model_t;

/** A placement policy. */
typedef struct place_policy_s {
	const char *name;
	void (*place)(place_model_t *model); /**< called in each step */
	int pick; /**< how a baseline policy chooses a worker */
} place_policy_t;

/** Kinds of work; all but KIND_NOISE arrive at random times. */
enum {
	KIND_URGENT,
	KIND_PLAN, /**< long, needs a quarter of a worker */
	KIND_SMALL,
	KIND_TRAIN, /**< has no checkpoint, needs an accelerator */
	KIND_LARGE, /**< needs three quarters of a worker */
	KIND_NOISE, /**< arrives in bursts, lowest priority, has a quota */
	KIND_COUNT
};

typedef struct place_config_s {
	guint32 seed;
	unsigned workers;
	unsigned cores; /**< cores per worker */
	unsigned memory_mb; /**< memory per worker */
	double shares[KIND_NOISE]; /**< shares of the offered core time */
	unsigned load_pct; /**< offered core time, percent of the fleet's */
	const place_policy_t *policy;
} place_config_t;

typedef struct place_result_s {
	double work_pct; /**< core time of ended tasks, percent of that of
			    workers that were not draining */
	unsigned evictions; /**< tasks evicted by drains */
	unsigned avoidable; /**< evicted tasks that were started within an
			       hour before the drain */
	double lost_core_h; /**< core hours lost with evicted tasks */
	double urgent_p50_s; /**< median time from submission to start */
	double urgent_p99_s; /**< 99th percentile of that time */
	double urgent_late_pct; /**< urgent tasks that waited over 1.1 s */
	double large_p99_s; /**< 99th percentile for KIND_LARGE */
	double stranded_pct; /**< free core time while tasks wait, percent;
				urgent tasks in the queue of a baseline policy
				do not count */
	unsigned over_capacity; /**< number of times that a worker was over
				   its capacity */
} place_result_t;

enum {
	PLACE_PRODUCT = 0,
	PLACE_FIRST_FIT,
	PLACE_RANDOM,
	PLACE_LEAST_LOADED,
	PLACE_POLICY_COUNT
};

extern const place_policy_t place_policies[PLACE_POLICY_COUNT];

/** Simulates eight hours of the fleet and fills in @p result. */
void place_model_run(const place_config_t *config, place_result_t *result);

#endif
