/**
 * @file place_model.h
 * @brief A fleet that runs batch tasks on a paused clock, for bench_place.
 *
 * Capacity is counted by declared sizes, as the agents do. A worker whose drain
 * begins releases its tasks: those with a checkpoint go on elsewhere, the
 * others begin anew.
 */
#ifndef GN_TEST_PLACE_MODEL_H
#define GN_TEST_PLACE_MODEL_H

#include "batch/order.h"
#include "batch/share.h"

typedef struct place_model_s place_model_t;

/** How waiting tasks are placed. */
typedef struct place_policy_s {
	const char *name;
	void (*place)(place_model_t *model); /**< each step */
	int pick; /**< of the baselines, which worker */
} place_policy_t;

/** The kinds of work; those before the last arrive at random times. */
enum {
	KIND_URGENT,
	KIND_PLAN, /**< long, a quarter of a worker */
	KIND_SMALL,
	KIND_TRAIN, /**< has no checkpoint, needs an accelerator */
	KIND_LARGE, /**< three quarters of a worker */
	KIND_NOISE, /**< in waves, lowest priority, with a quota */
	KIND_COUNT
};

typedef struct place_config_s {
	guint32 seed;
	unsigned workers;
	unsigned cores; /**< of a worker */
	unsigned memory_mb; /**< of a worker */
	double shares[KIND_NOISE]; /**< of the offered core time */
	unsigned load_pct; /**< offered core time, of the fleet's */
	const place_policy_t *policy;
} place_config_t;

typedef struct place_result_s {
	double work_pct; /**< core time of ended tasks, of the open fleet's */
	unsigned evictions; /**< by windows */
	unsigned avoidable; /**< evicted tasks that were started within an
			       hour before the drain */
	double lost_core_h; /**< run and thrown away */
	double urgent_p50_s; /**< from submission to start */
	double urgent_p99_s;
	double urgent_late_pct; /**< that waited for more than 1.1 s */
	double large_p99_s; /**< tasks of three quarters of a worker */
	double stranded_pct; /**< free core time while tasks that are not
				held back by a quota wait */
	unsigned over_capacity; /**< times that a worker had too much */
} place_result_t;

enum {
	PLACE_PRODUCT = 0,
	PLACE_FIRST_FIT,
	PLACE_RANDOM,
	PLACE_LEAST_LOADED,
	PLACE_POLICY_COUNT
};

extern const place_policy_t place_policies[PLACE_POLICY_COUNT];

void place_model_run(const place_config_t *config, place_result_t *result);

#endif
