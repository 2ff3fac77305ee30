/**
 * @file share.h
 * @brief Limits how many of the waiting tasks one poll of a worker may claim.
 *
 * Tasks are spread so that all workers hold equally many; without a limit, the
 * first worker to poll would get all waiting tasks. Tasks that less loaded
 * workers don't claim in time may go to any worker, some of them per poll. The
 * sums over all workers are updated incrementally, so the cost of a poll does
 * not depend on the number of workers. No I/O; control thread only.
 */
#ifndef GN_BATCH_SHARE_H
#define GN_BATCH_SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "batch/task_queue.h"

/** The contribution of one worker to the sums; zero-initialized at first. */
typedef struct gn_batch_share_member_s {
	bool accepts_tasks; /**< Whether the worker may be given tasks. */
	/** Number of tasks at the worker, including claimed ones. */
	unsigned placed;
	/** Whether the worker has free capacity for an urgent task. */
	bool has_urgent_room;
} gn_batch_share_member_t;

/** The sums over the workers that accept tasks; zero-initialized at first. */
typedef struct gn_batch_share_s {
	unsigned workers; /**< Number of workers that accept tasks. */
	uint64_t placed; /**< Number of tasks at workers that accept tasks. */
	/** Number of workers that accept tasks and have has_urgent_room set. */
	unsigned with_urgent_room;
	/** Time since which tasks wait, 0 if none do. */
	uint64_t waiting_since_us;
} gn_batch_share_t;

/**
 * Updates @p member and the sums.
 * @param accepts_tasks whether the worker may be given tasks; false before it
 *        is removed
 * @param placed tasks at the worker, including claimed ones
 */
void gn_batch_share_set(gn_batch_share_t *share,
			gn_batch_share_member_t *member, bool accepts_tasks,
			unsigned placed);

/**
 * Returns the maximum number of tasks that a poll of @p member may claim.
 * @param waiting number of tasks that wait for a worker
 * @param now_us time of a monotonic clock, above 0
 */
unsigned gn_batch_share_get_limit(gn_batch_share_t *share,
				  const gn_batch_share_member_t *member,
				  size_t waiting, uint64_t now_us);

/**
 * Limits the claims of @p worker in this poll to @p max_tasks tasks that are
 * not urgent. If too few other workers have free capacity for an urgent task,
 * capacity for one is reserved on this worker. Urgent tasks are not limited.
 * @param worker its total and free capacity; the reservation is set in it
 */
void gn_batch_share_apply_limit(const gn_batch_share_t *share,
				const gn_batch_share_member_t *member,
				unsigned max_tasks, gn_batch_worker_t *worker);

/**
 * Updates whether @p worker, which belongs to @p member, has free capacity for
 * an urgent task.
 */
void gn_batch_share_update_room(gn_batch_share_t *share,
				gn_batch_share_member_t *member,
				const gn_batch_worker_t *worker);

#endif
