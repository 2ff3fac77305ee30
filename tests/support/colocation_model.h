/**
 * @file colocation_model.h
 * @brief Simulation of serving tasks with best-effort batch jobs beside them.
 *
 * Runs the scheduler against simulated workers with paused clocks. Tasks of six
 * serving images are spread over the workers. Their load rises and falls, and
 * their tail latency is that of a queue, increased by the best-effort tasks on
 * the same worker. A quarter of the image pairs interfere heavily. Batch jobs
 * of many images arrive throughout. Lists arrive about three times a second and
 * show tail latencies with a delay, as an exponentially decaying average.
 */
#ifndef GN_TESTS_COLOCATION_MODEL_H
#define GN_TESTS_COLOCATION_MODEL_H

#include <stdbool.h>
#include <stdint.h>

/** Parameters of a simulation. */
typedef struct colocation_config_s {
	uint32_t seed;
	double jobs_per_s;
	bool ignore_paces; /**< Baseline: workers ignore pace orders. */
	/** Standard deviation of what else changes the headroom of each serving
	 * task for some seconds, such as callers of its own. */
	double unevenness;
	/** Fixed headroom goal; 0 stands for the default of the settings. */
	double headroom_goal;
	bool follow_demand; /**< The headroom goal follows the demand. */
	bool limit_late; /**< Late jobs use only headroom above a higher goal. */
	/** Simulated time; 0 for 30 s. */
	unsigned duration_ms;
	/** Share by which the demand for batch jobs rises and falls around its
	 * mean, with a period of 17 s. */
	double swing;
	/** Factor by which this demand is multiplied for 6 s; 0 for none. */
	double burst;
	bool mixed_sizes; /**< Every other worker is 1.5 times as large. */
} colocation_config_t;

/** Results of a simulation. */
typedef struct colocation_result_s {
	unsigned jobs; /**< Jobs with a deadline within the simulated time. */
	unsigned in_time; /**< Jobs of these that met it. */
	double over_target; /**< Share of serving time over target. */
	double longest_over_target_s; /**< Longest period of one task. */
	unsigned stops; /**< Stopped best-effort runs. */
	double mean_headroom_goal;
	double headroom_travel; /**< Sum of the changes of this goal. */
	/** Jobs whose result would no longer be of use at the end of the
	 * simulated time (GN_RANK_USEFUL_FACTOR). */
	unsigned settled;
	unsigned settled_in_time; /**< Jobs of these that were in time. */
	unsigned settled_late; /**< Late, but while still of use. */
	unsigned settled_never; /**< Not done while still of use. */
} colocation_result_t;

/** Runs a simulation. */
colocation_result_t colocation_run(const colocation_config_t *config);

#endif
