/**
 * @file task_queue.h
 * @brief Queue of waiting tasks; chooses the next task for a worker.
 *
 * Waiting tasks are grouped by team, kind, service, priority and size class,
 * and each group is in FIFO order. A choice looks only at the first tasks of
 * each group, so its cost grows with the number of groups, not of tasks. Urgent
 * tasks go first; a waiting task gains one priority level per ageing step,
 * which prevents starvation.
 */
#ifndef GN_BATCH_TASK_QUEUE_H
#define GN_BATCH_TASK_QUEUE_H

#include <glib.h>

#include "batch/task.h"
#include "common/clock.h"

/** Priority of urgent tasks. */
#define GN_BATCH_URGENT 0
/** Maximum number of kinds of work listed for one worker. */
#define GN_BATCH_KINDS_MAX 64

/** Parameters of the task queue. */
typedef struct gn_task_queue_params_s {
	uint64_t ageing_step_us; /**< Wait per gained priority, 1 s..1 day. */
	uint64_t drain_lead_us; /**< Margin from a task's end to the drain. */
	uint64_t backoff_min_us; /**< Delay of the first retry, 1 ms..1 h. */
	uint64_t backoff_max_us; /**< Maximum retry delay, up to 1 day. */
} gn_task_queue_params_t;

/** A worker and its free capacity. */
typedef struct gn_batch_worker_s {
	const char *name; /**< 1..GN_NAME_MAX bytes. */
	const char *service; /**< 1..GN_NAME_MAX bytes. */
	unsigned free_tasks;
	unsigned free_cores;
	unsigned free_memory_mb;
	unsigned free_accelerators;
	unsigned cores; /**< Total cores, 0 if not known. */
	unsigned memory_mb; /**< Total memory, 0 if not known. */
	unsigned reserved_tasks; /**< Free task slots only for urgent tasks. */
	unsigned reserved_cores; /**< Free cores only for urgent tasks. */
	unsigned reserved_memory_mb; /**< Free memory only for urgent tasks. */
	bool draining; /**< Accepts no new task. */
	/**
	 * When its rack begins to drain ahead of a maintenance window, 0 if
	 * none.
	 */
	uint64_t drain_at_us;
	const char *kinds[GN_BATCH_KINDS_MAX]; /**< Kinds running on it. */
	size_t kind_count;
} gn_batch_worker_t;

typedef struct gn_task_queue_s gn_task_queue_t;

/** Creates an empty queue; @p rand and @p clock must outlive it. */
gn_task_queue_t *gn_task_queue_create(TALLOC_CTX *parent,
				      const gn_task_queue_params_t *params,
				      const gn_clock_t *clock, GRand *rand);

/* ======   Rules   ====== */

/**
 * Limits how many tasks of @p team run at once; UINT_MAX lifts the limit.
 * @return GN_OK, GN_ERR_RANGE (bad name)
 */
gn_code_t gn_task_queue_set_quota(gn_task_queue_t *queue, const char *team,
				  unsigned running_max);

/**
 * Forbids tasks of @p kind_a and @p kind_b to run on the same host.
 * @return GN_OK, GN_ERR_RANGE (bad name)
 */
gn_code_t gn_task_queue_forbid_sharing(gn_task_queue_t *queue,
				       const char *kind_a, const char *kind_b);

/** Removes all quotas and rules, before those of a new revision are set. */
void gn_task_queue_clear_rules(gn_task_queue_t *queue);

/**
 * Sets the capacity of the largest worker of @p service, against which
 * gn_task_queue_check_fits() compares.
 * @return GN_OK, GN_ERR_RANGE (bad name)
 */
gn_code_t gn_task_queue_set_largest(gn_task_queue_t *queue, const char *service,
				    unsigned cores, unsigned memory_mb,
				    unsigned accelerators);

/** Removes all such capacities, before new ones are set. */
void gn_task_queue_clear_largest(gn_task_queue_t *queue);

/**
 * Returns why no worker could ever run such a task, or GN_TASK_REASON_NONE.
 * Until the capacity of any worker is known, every task is accepted.
 */
gn_task_reason_t gn_task_queue_check_fits(const gn_task_queue_t *queue,
					  const char *service, unsigned cores,
					  unsigned memory_mb,
					  unsigned accelerators);

/* ======   Queue   ====== */

/**
 * Adds a waiting task; it stays in the queue until taken or removed.
 * @return GN_OK, GN_ERR_MEMORY
 */
gn_code_t gn_task_queue_add(gn_task_queue_t *queue, gn_task_t *task);

/** Removes @p task from the queue; does nothing if it isn't queued. */
void gn_task_queue_remove(gn_task_queue_t *queue, gn_task_t *task);

/** Counts @p task against the quota of its team, once. */
void gn_task_queue_use_quota(gn_task_queue_t *queue, gn_task_t *task);

/** Undoes gn_task_queue_use_quota(), if it was called for @p task. */
void gn_task_queue_return_quota(gn_task_queue_t *queue, gn_task_t *task);

/**
 * Removes the next task for @p worker from the queue, and subtracts it from the
 * free capacity there.
 * @return the task, or NULL if none fits
 */
gn_task_t *gn_task_queue_take_next(gn_task_queue_t *queue,
				   gn_batch_worker_t *worker);

/** Returns when a task that failed @p attempts times may be retried. */
uint64_t gn_task_queue_retry_at_us(gn_task_queue_t *queue, unsigned attempts);

/** Returns the number of waiting tasks, including those in backoff. */
size_t gn_task_queue_count(const gn_task_queue_t *queue);

/** Returns the number of groups that have waiting tasks. */
size_t gn_task_queue_group_count(const gn_task_queue_t *queue);

#endif
