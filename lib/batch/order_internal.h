/**
 * @file order_internal.h
 * @brief What the parts of the order module share.
 */
#ifndef GN_BATCH_ORDER_INTERNAL_H
#define GN_BATCH_ORDER_INTERNAL_H

#include "batch/order.h"

/** What a team may use and uses. */
typedef struct gn_team_s {
	unsigned running_max;
	unsigned running;
} gn_team_t;

/** The largest worker of a service. */
typedef struct gn_largest_s {
	unsigned cores;
	unsigned memory_mb;
	unsigned accelerators;
} gn_largest_t;

struct gn_batch_order_s {
	gn_batch_order_params_t params;
	const gn_clock_t *clock;
	GRand *rand;
	GHashTable *groups; /**< key -> its group */
	GHashTable *services; /**< name -> GPtrArray of groups */
	GHashTable *teams; /**< name -> gn_team_t */
	GHashTable *forbidden; /**< kind -> GHashTable of kinds */
	GHashTable *largest; /**< service -> gn_largest_t */
	GSequence *delayed; /**< tasks in backoff, the earliest first */
	size_t count;
};

/** Whether the team of @p task may run one more. */
bool gn_order_has_quota(gn_batch_order_t *order, const gn_task_t *task);

/** Whether @p kind may run beside what runs on @p worker. */
bool gn_order_may_share_host(const gn_batch_order_t *order, const char *kind,
			     const gn_batch_worker_t *worker);

#endif
