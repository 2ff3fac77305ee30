/**
 * @file bucket_internal.h
 * @brief Internal types and functions of the bucket module.
 */
#ifndef GN_BATCH_BUCKET_INTERNAL_H
#define GN_BATCH_BUCKET_INTERNAL_H

#include "batch/bucket.h"
#include "batch/mutant.h"

/** The write whose effect is not known yet. */
typedef struct gn_bucket_write_s {
	bool active; /**< There is such a write. */
	bool sent; /**< Its answer is awaited. */
	bool unknown; /**< Its answer was lost; a read shows its effect. */
	/** An answer was lost, so that a copy may still take effect. */
	bool doubtful;
	bool conflicted; /**< Lost a compare-and-swap, maybe to its own copy. */
	uint64_t change_id;
	uint64_t seq; /**< Number of the last change that it contains. */
	gn_str_t value;
	gn_batch_ownership_t ownership; /**< The ownership that it encodes. */
} gn_bucket_write_t;

/** A worker that polled or holds tasks. */
typedef struct gn_bucket_worker_s {
	uint64_t incarnation; /**< Agent of the last poll, 0 if none. */
	uint64_t sent_us; /**< Sending time of its newest poll. */
	GHashTable *held; /**< Maps an ID to its gn_task_t. */
} gn_bucket_worker_t;

struct gn_batch_bucket_s {
	unsigned index;
	gn_batch_ownership_t ownership;
	uint64_t owner;
	uint32_t owner_epoch;
	uint64_t owner_revision; /**< Record revision at the takeover. */
	uint64_t revision; /**< Revision of the stored value last seen. */
	uint64_t taken_us; /**< When the takeover was known to be durable. */
	uint64_t next_serial;
	gn_batch_predecessor_t predecessors[GN_BATCH_PREDECESSORS_MAX];
	size_t predecessor_count;

	gn_batch_params_t params;
	gn_batch_gate_t gate;
	const gn_clock_t *clock;
	GRand *rand;

	uint64_t seq; /**< Number of the last change. */
	uint64_t durable_seq; /**< Number of the last stored change. */
	gn_bucket_write_t write;
	size_t value_size; /**< Estimated size of the stored value, bytes. */

	GHashTable *tasks; /**< Maps an ID to its gn_task_t. */
	GHashTable *keys; /**< Maps a team and key to their gn_task_t. */
	/** Maps a worker name to its gn_bucket_worker_t. */
	GHashTable *workers;
	gn_task_queue_t *queue;
	GHashTable *evictions; /**< Set of IDs of tasks to checkpoint. */
	GHashTable *ready_workers; /**< Names of workers to send starts to. */
	uint64_t poll_count;
	uint64_t pruned_us; /**< When ended tasks were last dropped. */
	gn_batch_stats_t stats;
};

/** Gives the change just made to @p task the next sequence number. */
void gn_bucket_mark_changed(gn_batch_bucket_t *bucket, gn_task_t *task);

/** Finds the worker called @p name, or creates it. */
gn_bucket_worker_t *gn_bucket_get_worker(gn_batch_bucket_t *bucket,
					 const char *name);

/**
 * Builds the index key of an idempotency key; free it with g_free(). It
 * contains the team, since teams choose their keys independently.
 */
char *gn_bucket_make_key(gn_str_t team, gn_str_t key);

/** Enters @p task into the queue, held set and quota that its state needs. */
void gn_bucket_enter_state(gn_batch_bucket_t *bucket, gn_task_t *task);

/** Moves @p task to @p state; updates queue, quota and held sets with it. */
void gn_bucket_set_state(gn_batch_bucket_t *bucket, gn_task_t *task,
			 gn_task_state_t state);

/** Drops tasks that ended at least @p age_us ago and are stored as ended. */
void gn_bucket_prune(gn_batch_bucket_t *bucket, uint64_t age_us);

/** Drops settled earlier owners; returns whether none is left. */
bool gn_bucket_drop_settled_owners(gn_batch_bucket_t *bucket);

/** Whether the bucket may issue any orders. */
bool gn_bucket_may_order(const gn_batch_bucket_t *bucket);

/** Whether tasks may be claimed, started, and moved to other workers. */
bool gn_bucket_may_start(const gn_batch_bucket_t *bucket);

/** Whether the last claim of @p task is stored. */
bool gn_bucket_claim_is_durable(const gn_batch_bucket_t *bucket,
				const gn_task_t *task);

/**
 * Queues @p task again after its run ended or its lease expired. It is not
 * offered to workers before @p not_before_us.
 */
void gn_bucket_requeue(gn_batch_bucket_t *bucket, gn_task_t *task,
		       uint64_t not_before_us);

/** Counts a failure on @p worker; parks @p task or queues it again. */
void gn_bucket_record_failure(gn_batch_bucket_t *bucket, gn_task_t *task,
			      const char *worker);

/** Marks the bucket as lost to another entry; it issues no more orders. */
void gn_bucket_mark_lost(gn_batch_bucket_t *bucket);

#endif
