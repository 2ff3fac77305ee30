/**
 * @file throttle.h
 * @brief How much batch work a host bears beside its service.
 *
 * The batch concurrency of the host grows by steps while the service's tail is
 * well below its target and falls by a factor while it is above. What runs
 * beyond the concurrency is slowed down first; a task is told to checkpoint
 * only when slowing all of them to the floor hasn't helped for a while, and
 * stopped only when its checkpoint doesn't come. Between the two thresholds
 * nothing changes. One per host. No I/O.
 */
#ifndef GN_ADMIT_THROTTLE_H
#define GN_ADMIT_THROTTLE_H

#include <stdbool.h>
#include <talloc.h>

#include "common/clock.h"

/** The control of one host. */
typedef struct gn_throttle_s gn_throttle_t;

/** What the users care for, each 0..100; the proportions count. */
typedef struct gn_throttle_weights_s {
	unsigned tail;
	unsigned throughput;
	unsigned evictions;
} gn_throttle_weights_t;

/** Settings; see gn_throttle_defaults(). */
typedef struct gn_throttle_config_s {
	uint32_t target_us; /**< the service's tail, 1000..60 s */
	unsigned max_tasks; /**< the most concurrency, 1..4096 */
	unsigned high_pct; /**< of the target; above it falls, 50..300 */
	unsigned low_pct; /**< of the target; below it grows, 10..high_pct */
	unsigned cut_pct; /**< what a cut leaves, 10..95 */
	unsigned step_pct; /**< growth a sample, of max_tasks, 1..50 */
	unsigned floor_pct; /**< slowest speed of a task, 1..100 */
	unsigned min_samples; /**< requests that a tail needs, 1..10000; 20 */
	uint32_t settle_ms; /**< until a change shows in a tail, 0..60000 */
	uint32_t
		patience_ms; /**< at the floor before a checkpoint, 0..3600000 */
	uint32_t checkpoint_ms; /**< before a stop instead, 100..3600000 */
} gn_throttle_config_t;

/** A measurement of the service beside the batch work. */
typedef struct gn_throttle_sample_s {
	uint32_t tail_us; /**< p99 of the window */
	unsigned requests; /**< in the window */
	uint64_t measured_us; /**< start of the window, on the clock */
} gn_throttle_sample_t;

/** What to do about a task. */
typedef enum gn_throttle_step_e {
	GN_THROTTLE_NONE = 0,
	GN_THROTTLE_CHECKPOINT, /**< have one task checkpoint and leave */
	GN_THROTTLE_STOP, /**< stop the task whose checkpoint didn't come */
	GN_THROTTLE_STEP_COUNT
} gn_throttle_step_t;

/** The present advice. */
typedef struct gn_throttle_advice_s {
	unsigned task_limit; /**< start none beyond this */
	unsigned speed_pct; /**< of each running task, floor_pct..100 */
	gn_throttle_step_t step;
} gn_throttle_advice_t;

/** Settings for a service with @p target_us and users with @p weights. */
gn_throttle_config_t gn_throttle_defaults(uint32_t target_us,
					  unsigned max_tasks,
					  const gn_throttle_weights_t *weights);

/* ======   Commands   ====== */

/** Creates a control; NULL if short of memory or out of bounds. */
gn_throttle_t *gn_throttle_create(TALLOC_CTX *parent, const gn_clock_t *clock,
				  const gn_throttle_config_t *config);

/** Takes a measurement; one from before the last change settled is ignored. */
void gn_throttle_take_sample(gn_throttle_t *throttle,
			     const gn_throttle_sample_t *sample,
			     unsigned running_tasks);

/** Notes that a task was told to checkpoint; one at a time. */
void gn_throttle_begin_checkpoint(gn_throttle_t *throttle);

/**
 * Notes that this task is gone: checkpointed, ended or stopped. Its place
 * stays free until the tail lets the concurrency grow.
 * @param running_tasks without it
 */
void gn_throttle_end_checkpoint(gn_throttle_t *throttle,
				unsigned running_tasks);

/** Notes a start; @p added as for gn_throttle_may_start(). */
void gn_throttle_note_start(gn_throttle_t *throttle, double added);

/**
 * Changes the slowest speed of a task.
 * @param floor_pct 1..100; at 100 tasks can't be slowed, so that what comes
 *        after the patience is a checkpoint
 */
void gn_throttle_set_floor(gn_throttle_t *throttle, unsigned floor_pct);

/* ======   Queries   ====== */

/** What to do now with @p running_tasks tasks. */
void gn_throttle_advise(const gn_throttle_t *throttle, unsigned running_tasks,
			gn_throttle_advice_t *advice);

/**
 * Whether one more task may start: not while the rest is at its slowest, nor
 * if it is known to bring the tail to a cut even at its own slowest, with what
 * started since the tail was measured. One that adds next to nothing may also
 * start beyond the task limit, as long as there is a place.
 * @param running_tasks before the start
 * @param added of gn_interfere_estimate()
 * @param known whether the kind has been measured here
 */
bool gn_throttle_may_start(const gn_throttle_t *throttle,
			   unsigned running_tasks, double added, bool known);

/** The stable name of @p step, such as "checkpoint". */
const char *gn_throttle_step_name(gn_throttle_step_t step);

#endif
