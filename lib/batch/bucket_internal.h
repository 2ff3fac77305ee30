/**
 * @file bucket_internal.h
 * @brief What the parts of the bucket module share.
 */
#ifndef GN_BATCH_BUCKET_INTERNAL_H
#define GN_BATCH_BUCKET_INTERNAL_H

#include "batch/bucket.h"
#include "batch/mutant.h"

/** A write whose answer is awaited or unknown. */
typedef struct gn_bucket_flight_s {
	bool active; /**< a write is not settled */
	bool sent; /**< its answer is awaited */
	bool unknown; /**< its answer was lost; a read settles it */
	bool conflicted; /**< lost a compare-and-swap, perhaps with itself */
	uint64_t change_id;
	uint64_t seq; /**< changes it makes durable */
	gn_str_t value;
	gn_batch_standing_t standing; /**< when it was encoded */
} gn_bucket_flight_t;

/** A worker that polled or holds tasks. */
typedef struct gn_bucket_worker_s {
	uint64_t incarnation;
	uint64_t sent_us; /**< of the newest poll of that incarnation */
	GHashTable *held; /**< id -> gn_task_t */
} gn_bucket_worker_t;

struct gn_batch_bucket_s {
	unsigned index;
	gn_batch_standing_t standing;
	uint64_t owner;
	uint32_t owner_epoch;
	uint64_t owner_revision; /**< member record when it was taken */
	uint64_t revision; /**< of the value last seen */
	uint64_t taken_us; /**< when the take was known to be durable */
	uint64_t next_serial;
	gn_batch_predecessor_t predecessors[GN_BATCH_PREDECESSORS_MAX];
	size_t predecessor_count;

	gn_batch_params_t params;
	gn_batch_gate_t gate;
	const gn_clock_t *clock;
	GRand *rand;

	uint64_t seq; /**< of the last change */
	uint64_t durable_seq; /**< of the last change that is stored */
	gn_bucket_flight_t flight;
	size_t value_size; /**< estimate of the stored bytes */

	GHashTable *tasks; /**< id -> gn_task_t */
	GHashTable *keys; /**< team and key -> gn_task_t */
	GHashTable *workers; /**< name -> gn_bucket_worker_t */
	gn_batch_order_t *order;
	GHashTable *evictions; /**< set of ids to checkpoint */
	GHashTable *ready; /**< names of workers with starts to order */
	uint64_t poll_count;
	uint64_t pruned_us; /**< when ended tasks were last dropped */
	gn_batch_stats_t stats;
};

/** Notes a change of @p task that must become durable. */
void gn_bucket_touch(gn_batch_bucket_t *bucket, gn_task_t *task);

/** The worker called @p name, made if new. */
gn_bucket_worker_t *gn_bucket_worker(gn_batch_bucket_t *bucket,
				     const char *name);

/** The team and its idempotency key; teams choose keys independently. */
char *gn_bucket_make_key(gn_str_t team, gn_str_t key);

/** Puts a task where its state belongs: queue, held set, quota. */
void gn_bucket_enter_state(gn_batch_bucket_t *bucket, gn_task_t *task);

/** Moves @p task to @p state and keeps queue, quota and held sets in step. */
void gn_bucket_set_state(gn_batch_bucket_t *bucket, gn_task_t *task,
			 gn_task_state_t state);

/** Drops ended tasks older than @p age_us that are stored as such. */
void gn_bucket_prune(gn_batch_bucket_t *bucket, uint64_t age_us);

/** Whether every earlier owner is settled; drops those that are. */
bool gn_bucket_settle(gn_batch_bucket_t *bucket);

/** Whether the bucket may order anything at all. */
bool gn_bucket_may_order(const gn_batch_bucket_t *bucket);

/** Whether claims, starts and moves may be made. */
bool gn_bucket_may_start(const gn_batch_bucket_t *bucket);

/** Whether the last claim of @p task is stored. */
bool gn_bucket_claim_is_durable(const gn_batch_bucket_t *bucket,
				const gn_task_t *task);

/** Queues @p task again, with its reason to wait; after a confirmed end. */
void gn_bucket_requeue(gn_batch_bucket_t *bucket, gn_task_t *task,
		       uint64_t not_before_us);

/** Counts a failure on @p worker; parks the task or queues it again. */
void gn_bucket_fail(gn_batch_bucket_t *bucket, gn_task_t *task,
		    const char *worker);

/** Stops ordering for good: another entry owns the bucket. */
void gn_bucket_lose(gn_batch_bucket_t *bucket);

#endif
