/**
 * @file task_queue_internal.h
 * @brief Internal types and functions of the task queue.
 */
#ifndef GN_BATCH_TASK_QUEUE_INTERNAL_H
#define GN_BATCH_TASK_QUEUE_INTERNAL_H

#include "batch/task_queue.h"

/** The quota of a team and the number of its running tasks. */
typedef struct gn_team_usage_s {
	unsigned running_max;
	unsigned running;
} gn_team_usage_t;

/** The capacity of the largest worker of a service. */
typedef struct gn_largest_s {
	unsigned cores;
	unsigned memory_mb;
	unsigned accelerators;
} gn_largest_t;

struct gn_task_queue_s {
	gn_task_queue_params_t params;
	const gn_clock_t *clock;
	GRand *rand;
	GHashTable *groups; /**< Maps a key to its group_t. */
	/** Maps a service name to a GPtrArray of its groups. */
	GHashTable *services;
	GHashTable *teams; /**< Maps a team name to its gn_team_usage_t. */
	/** Maps a kind to the set of kinds not to run beside it. */
	GHashTable *forbidden;
	GHashTable *largest; /**< Maps a service name to its gn_largest_t. */
	GSequence *delayed; /**< Tasks in backoff, earliest retry first. */
	size_t count; /**< Waiting tasks, including those in backoff. */
};

/** Whether the quota of the team of @p task allows one more running task. */
bool gn_task_queue_has_quota(gn_task_queue_t *queue, const gn_task_t *task);

/** Whether @p kind may run beside the kinds that run on @p worker. */
bool gn_task_queue_may_share_host(const gn_task_queue_t *queue,
				  const char *kind,
				  const gn_batch_worker_t *worker);

#endif
