/**
 * @file order.h
 * @brief Which waiting task goes next onto a worker.
 *
 * Waiting tasks stand in groups of one team, kind, service, priority and size
 * class, first come first served within a group. A choice looks at the heads
 * of the groups, so its cost grows with the number of groups and not with the
 * number of tasks. Urgent tasks go first; a waiting task gains one priority
 * each ageing step, so that none starves.
 */
#ifndef GN_BATCH_ORDER_H
#define GN_BATCH_ORDER_H

#include <glib.h>

#include "batch/task.h"
#include "common/clock.h"

/** Tasks of this priority are urgent. */
#define GN_BATCH_URGENT 0
/** Most kinds of work that one worker is described with. */
#define GN_BATCH_KINDS_MAX 64

/** How tasks are ordered. */
typedef struct gn_batch_order_params_s {
	uint64_t
		ageing_step_us; /**< wait that gains one priority, 1 s..1 day */
	uint64_t
		window_lead_us; /**< tasks end so long before their rack drains */
	uint64_t backoff_least_us; /**< before the first retry, 1 ms..1 h */
	uint64_t backoff_most_us; /**< before any retry, up to 1 day */
} gn_batch_order_params_t;

/** A worker with what it has free. */
typedef struct gn_batch_worker_s {
	const char *name; /**< 1..GN_NAME_MAX bytes */
	const char *service; /**< 1..GN_NAME_MAX bytes */
	unsigned free_tasks;
	unsigned free_cores;
	unsigned free_memory_mb;
	unsigned free_accelerators;
	unsigned cores; /**< all it has, 0 if not known */
	unsigned memory_mb; /**< all it has, 0 if not known */
	unsigned kept_tasks; /**< of what is free, for urgent tasks only */
	unsigned kept_cores;
	unsigned kept_memory_mb;
	bool draining; /**< takes no new task */
	uint64_t window_us; /**< when its rack begins to drain ahead of a
			       landlord window, 0 if not planned */
	const char *kinds[GN_BATCH_KINDS_MAX]; /**< kinds that run on it */
	size_t kind_count;
} gn_batch_worker_t;

typedef struct gn_batch_order_s gn_batch_order_t;

/** Creates an empty order; @p rand and @p clock outlive it. */
gn_batch_order_t *gn_batch_order_create(TALLOC_CTX *parent,
					const gn_batch_order_params_t *params,
					const gn_clock_t *clock, GRand *rand);

/* ======   Rules   ====== */

/** Limits how many tasks of @p team run at once; UINT_MAX lifts the limit. */
gn_code_t gn_batch_order_set_quota(gn_batch_order_t *order, const char *team,
				   unsigned running_max);

/** Forbids @p kind_a and @p kind_b to share a host. */
gn_code_t gn_batch_order_forbid(gn_batch_order_t *order, const char *kind_a,
				const char *kind_b);

/** Drops all rules, ahead of setting those of a new revision. */
void gn_batch_order_clear_rules(gn_batch_order_t *order);

/** States the largest worker of @p service; tells what can ever run. */
gn_code_t gn_batch_order_set_largest(gn_batch_order_t *order,
				     const char *service, unsigned cores,
				     unsigned memory_mb, unsigned accelerators);

/** Drops what is known of the fleet, ahead of stating it anew. */
void gn_batch_order_clear_largest(gn_batch_order_t *order);

/**
 * Why no worker could ever run such a task, or GN_TASK_REASON_NONE. While
 * nothing is known of the fleet, everything may run.
 */
gn_task_reason_t gn_batch_order_check(const gn_batch_order_t *order,
				      const char *service, unsigned cores,
				      unsigned memory_mb,
				      unsigned accelerators);

/* ======   Queue   ====== */

/** Adds a waiting task; it stays until taken or removed. */
gn_code_t gn_batch_order_add(gn_batch_order_t *order, gn_task_t *task);

/** Removes a task, wherever it stands; none if it isn't there. */
void gn_batch_order_remove(gn_batch_order_t *order, gn_task_t *task);

/** Counts @p task against its team's quota, or gives it back. */
void gn_batch_order_use_quota(gn_batch_order_t *order, gn_task_t *task);
void gn_batch_order_return_quota(gn_batch_order_t *order, gn_task_t *task);

/**
 * Takes the task that goes next onto @p worker and subtracts it there.
 * @return the task, no longer in the order, or NULL if none fits
 */
gn_task_t *gn_batch_order_take(gn_batch_order_t *order,
			       gn_batch_worker_t *worker);

/** When a task that failed @p attempts times may be tried again. */
uint64_t gn_batch_order_retry_at_us(gn_batch_order_t *order, unsigned attempts);

/** Tasks that wait, those in backoff included. */
size_t gn_batch_order_count(const gn_batch_order_t *order);

/** Groups that waiting tasks stand in. */
size_t gn_batch_order_group_count(const gn_batch_order_t *order);

#endif
