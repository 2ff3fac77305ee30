/**
 * @file throttle.h
 * @brief Controls how much batch work a host runs beside its service.
 *
 * The batch concurrency of the host is increased in steps while the service's
 * tail latency is well below its target, and decreased by a factor while it is
 * above. Between the two thresholds nothing changes. Tasks beyond the
 * concurrency are slowed first. A task is told to checkpoint only after slowing
 * all tasks to the lowest speed hasn't helped for a while, and is stopped only
 * if its checkpoint doesn't complete. One controller per host. No I/O.
 */
#ifndef GN_ADMIT_THROTTLE_H
#define GN_ADMIT_THROTTLE_H

#include <stdbool.h>
#include <talloc.h>

#include "common/clock.h"

/** The controller of one host. */
typedef struct gn_throttle_s gn_throttle_t;

/**
 * Weights of the scheduling objectives, each 0..100; only their proportions
 * matter.
 */
typedef struct gn_throttle_weights_s {
	unsigned tail;
	unsigned throughput;
	unsigned evictions;
} gn_throttle_weights_t;

/** Settings of a controller; see gn_throttle_defaults(). */
typedef struct gn_throttle_config_s {
	/** Target of the service's tail latency, 1000..60000000 us. */
	uint32_t target_us;
	unsigned max_tasks; /**< Maximum concurrency, 1..4096 tasks. */
	/**
	 * Tail, in percent of the target, above which the concurrency falls,
	 * 50..300.
	 */
	unsigned high_pct;
	/**
	 * Tail, in percent of the target, below which the concurrency grows,
	 * 10..high_pct.
	 */
	unsigned low_pct;
	/** Part of the concurrency that remains after a cut, 10..95 %. */
	unsigned cut_pct;
	/** Growth per sample in percent of max_tasks, 1..50. */
	unsigned step_pct;
	unsigned floor_pct; /**< Minimum speed of a task, 1..100 %. */
	/**
	 * Minimum number of requests in a sample for a valid tail, 1..10000,
	 * default 20.
	 */
	unsigned min_samples;
	/** Time until a cut shows in the measured tail, 0..60000 ms. */
	uint32_t settle_ms;
	/**
	 * Time at the lowest speed before a task is told to checkpoint,
	 * 0..3600000 ms.
	 */
	uint32_t patience_ms;
	/**
	 * Time for a checkpoint before the task is stopped, 100..3600000 ms.
	 */
	uint32_t checkpoint_ms;
} gn_throttle_config_t;

/** A measurement of the service while batch work is running. */
typedef struct gn_throttle_sample_s {
	/** The 99th percentile of the response times in the window. */
	uint32_t tail_us;
	unsigned requests; /**< Number of requests in the window. */
	/** Start of the window on the controller's clock. */
	uint64_t measured_us;
} gn_throttle_sample_t;

/** Action to take on a task. */
typedef enum gn_throttle_step_e {
	GN_THROTTLE_NONE = 0,
	/** Tell one task to checkpoint and leave the host. */
	GN_THROTTLE_CHECKPOINT,
	/** Stop the task whose checkpoint didn't complete in time. */
	GN_THROTTLE_STOP,
	GN_THROTTLE_STEP_COUNT
} gn_throttle_step_t;

/** Output of the controller. */
typedef struct gn_throttle_advice_s {
	/**
	 * Number of tasks from which no more are started, apart from the
	 * exception in gn_throttle_may_start().
	 */
	unsigned task_limit;
	/** Speed of each running task, floor_pct..100 %. */
	unsigned speed_pct;
	gn_throttle_step_t step;
} gn_throttle_advice_t;

/**
 * Returns the settings for a service with @p target_us and the given @p
 * weights.
 */
gn_throttle_config_t gn_throttle_defaults(uint32_t target_us,
					  unsigned max_tasks,
					  const gn_throttle_weights_t *weights);

/* ======   Commands   ====== */

/**
 * Creates a controller.
 * @return NULL if out of memory or a setting is out of range
 */
gn_throttle_t *gn_throttle_create(TALLOC_CTX *parent, const gn_clock_t *clock,
				  const gn_throttle_config_t *config);

/**
 * Processes a measurement. The concurrency doesn't change if it was measured
 * before the last cut took effect.
 */
void gn_throttle_add_sample(gn_throttle_t *throttle,
			    const gn_throttle_sample_t *sample,
			    unsigned running_tasks);

/**
 * Records that a task was told to checkpoint. Only one task at a time may be.
 */
void gn_throttle_begin_checkpoint(gn_throttle_t *throttle);

/**
 * Records that the task told to checkpoint is gone: checkpointed, ended or
 * stopped. If the controller was at the lowest speed, the task's place stays
 * free until the tail lets the concurrency grow.
 * @param running_tasks number of tasks without it
 */
void gn_throttle_end_checkpoint(gn_throttle_t *throttle,
				unsigned running_tasks);

/**
 * Records the start of a task.
 * @param added as for gn_throttle_may_start()
 */
void gn_throttle_record_start(gn_throttle_t *throttle, double added);

/**
 * Changes the lowest speed of a task.
 * @param floor_pct 1..100; at 100 tasks can't be slowed, so after the patience
 *        time a task is told to checkpoint
 */
void gn_throttle_set_floor(gn_throttle_t *throttle, unsigned floor_pct);

/* ======   Queries   ====== */

/** Computes the present advice for @p running_tasks running tasks. */
void gn_throttle_advise(const gn_throttle_t *throttle, unsigned running_tasks,
			gn_throttle_advice_t *advice);

/**
 * Whether one more task may start. It may not while the others run at
 * the lowest speed, nor if its kind is known to raise the tail above the
 * threshold for a cut even at the task's own lowest speed, counting the tasks
 * started since the tail was measured. A task known to add next to nothing may
 * also start beyond the task limit, up to max_tasks.
 * @param running_tasks number of tasks before the start
 * @param added estimate of gn_interfere_estimate()
 * @param known whether the kind has been measured here
 */
bool gn_throttle_may_start(const gn_throttle_t *throttle,
			   unsigned running_tasks, double added, bool known);

/** Returns the name of @p step, such as "checkpoint". It never changes. */
const char *gn_throttle_step_name(gn_throttle_step_t step);

#endif
