/**
 * @file fill_model.h
 * @brief Workers with serving tasks, and batch jobs that fill beside them.
 *
 * Plays the load on the scheduler's decisions, on paused clocks: each serving
 * image is on each worker, its load goes up and down, and its tail is that of
 * a queue, longer by what fills beside it, by pairs of images of which a quarter
 * is heavy. Batch jobs of many images keep coming. Lists come three times a
 * second and show tails late, as an average that decays.
 */
#ifndef GN_TESTS_FILL_MODEL_H
#define GN_TESTS_FILL_MODEL_H

#include <stdbool.h>
#include <stdint.h>

/** What is played. */
typedef struct fill_model_config_s {
	uint32_t seed;
	double jobs_per_s;
	bool ignore_paces; /**< baseline: workers ignore paces */
} fill_model_config_t;

/** What callers and serving tasks got. */
typedef struct fill_model_result_s {
	unsigned jobs; /**< whose objective ends within the play */
	unsigned in_time; /**< of these */
	double over_target; /**< share of the serving tasks' time over the target */
	double longest_over_target_s; /**< of one task, on end */
	unsigned stops;
} fill_model_result_t;

/** Plays half a minute. */
fill_model_result_t fill_model_play(const fill_model_config_t *config);

#endif
