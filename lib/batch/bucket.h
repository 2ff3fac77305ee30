/**
 * @file bucket.h
 * @brief A bucket of batch and standing tasks, owned by one entry.
 *
 * The owner of a bucket holds the authoritative state of its tasks. This module
 * does no I/O: its caller passes in requests, polls, answers of the platform's
 * key-value service and the time, and gets the value to write and the orders
 * to send.
 *
 * Group commit: every change gets a sequence number and is kept in memory; one
 * write carries all changes since the previous one. Nothing is reported to a
 * caller or a worker before it is durable: a start is ordered after its claim
 * is stored, and an end is reported after it is stored. At most one write is
 * in flight. A write that lost its compare-and-swap to another entry means
 * that this entry no longer owns the bucket: the bucket becomes GN_BATCH_LOST,
 * issues no more orders, and the caller frees it.
 *
 * A run promise is the owner's commitment not to start a task elsewhere for a
 * limited time; the worker's run lease for that task ends earlier.
 *
 * Use: create the bucket from the stored value, if any; write what
 * gn_batch_bucket_next_commit() gives and report the answer to
 * gn_batch_bucket_on_commit(); while gn_batch_bucket_wants_read() is true, read
 * the value and pass it to gn_batch_bucket_on_read(); answer each poll with
 * gn_batch_bucket_on_poll(); call gn_batch_bucket_tick() about every 100 ms.
 */
#ifndef GN_BATCH_BUCKET_H
#define GN_BATCH_BUCKET_H

#include "batch/codec.h"
#include "batch/report.h"
#include "batch/task_queue.h"

/* ======   Creation   ====== */

/** Checks of the run promise rules; see batch/promise.h. */
typedef struct gn_batch_gate_ops_s {
	/** Whether run promises for running tasks may be renewed. */
	bool (*may_renew)(void *context);
	/**
	 * Whether tasks may be claimed, started, and moved to other workers.
	 */
	bool (*may_start)(void *context);
	/**
	 * Whether every run promise of the earlier owner @p incarnation has
	 * expired, for a bucket that was taken over at @p taken_us; @p acked is
	 * the highest record revision that the earlier owner acknowledged.
	 */
	bool (*is_settled)(void *context, uint64_t incarnation, uint64_t acked,
			   uint64_t taken_us);
	/**
	 * Whether @p incarnation, a member at record revision @p revision, has
	 * left the record. A member that left never returns to it.
	 */
	bool (*has_left)(void *context, uint64_t incarnation,
			 uint64_t revision);
	/** Returns the revision of the member record that the entry adopted. */
	uint64_t (*revision)(void *context);
	/**
	 * Returns the highest record revision that @p incarnation is known to
	 * have acknowledged, or 0 if none is known. 0 is always safe.
	 */
	uint64_t (*acked)(void *context, uint64_t incarnation);
} gn_batch_gate_ops_t;

typedef struct gn_batch_gate_s {
	const gn_batch_gate_ops_t *ops;
	void *context;
} gn_batch_gate_t;

/** Parameters of a bucket. */
typedef struct gn_batch_params_s {
	uint64_t promise_us; /**< Length of a run promise, 1 s..60 s. */
	uint64_t drift_us; /**< Margin for clock drift, 10 ms..10 s. */
	uint64_t retention_us; /**< Ended tasks are kept for 1 s..31 days. */
	gn_task_queue_params_t queue;
} gn_batch_params_t;

typedef struct gn_batch_bucket_s gn_batch_bucket_t;

/** Ownership of a bucket by this entry. */
typedef enum gn_batch_ownership_e {
	/** The write of the takeover isn't durable yet. */
	GN_BATCH_TAKING = 0,
	GN_BATCH_OWNED,
	GN_BATCH_RELEASING, /**< Handover requested; no orders are issued. */
	GN_BATCH_RELEASED, /**< The handover is durable. */
	GN_BATCH_LOST /**< Another entry owns the bucket. */
} gn_batch_ownership_t;

/** One write to the key-value service. */
typedef struct gn_batch_commit_s {
	uint64_t change_id;
	uint64_t expected_revision; /**< 0: the key must not exist. */
	gn_str_t value; /**< Valid until the answer is reported. */
} gn_batch_commit_t;

/** Counters of a bucket since its creation. */
typedef struct gn_batch_stats_s {
	uint64_t commits;
	uint64_t commit_conflicts;
	uint64_t commit_unknowns;
	uint64_t starts; /**< Start orders, repeated ones included. */
	uint64_t finishes; /**< Accepted results of tasks that completed. */
	uint64_t failures;
	uint64_t releases; /**< Tasks released by a worker and queued again. */
	uint64_t
		expiries; /**< Tasks queued again as their run lease expired. */
	uint64_t cancels;
	uint64_t parked;
	uint64_t stale_polls;
	uint64_t promises;
} gn_batch_stats_t;

/**
 * Creates bucket number @p index so that the entry @p owner takes it over.
 * The first commit raises the owner's epoch; until it is durable, the bucket
 * accepts no commands and issues no orders. The takeover is refused while
 * another owner is in the member record and has not handed the bucket over.
 *
 * @param value the stored bytes, empty if there are none
 * @param revision the revision of the stored value, 0 if there is none
 * @param gate checks of the run promise rules; must outlive the bucket
 * @param rand seeded random source; must outlive the bucket
 * @return GN_OK, GN_ERR_UNAVAILABLE (another entry owns it), GN_ERR_INVALID or
 *         GN_ERR_RANGE (stored value), GN_ERR_MEMORY,
 *         GN_ERR_CAPACITY (too many unsettled earlier owners)
 */
gn_code_t gn_batch_bucket_create(TALLOC_CTX *parent, unsigned index,
				 uint64_t owner, gn_str_t value,
				 uint64_t revision,
				 const gn_batch_params_t *params,
				 gn_batch_gate_t gate, const gn_clock_t *clock,
				 GRand *rand, gn_batch_bucket_t **bucket,
				 gn_error_t *error);

/* ======   Commands   ====== */

/**
 * Adds a task. If the team used the idempotency key before, gives the ID of
 * that task and adds nothing. Answer the submitter only once
 * gn_batch_bucket_is_durable() is true for @p seq.
 * @param reason set with GN_ERR_CAPACITY: why no worker could run the task
 * @return GN_OK; GN_ERR_RANGE (bounds), GN_ERR_CAPACITY (no worker could ever
 *         run the task, see @p reason), GN_ERR_RATE (the bucket is full),
 *         GN_ERR_CONFLICT (the key belongs to a different request),
 *         GN_ERR_UNAVAILABLE (not owned), GN_ERR_MEMORY
 */
gn_code_t gn_batch_bucket_submit(gn_batch_bucket_t *bucket,
				 const gn_task_request_t *request, uint64_t *id,
				 uint64_t *seq, gn_task_reason_t *reason);

/**
 * Cancels one task. Answer the caller only once @p seq is durable.
 * @param outcome GN_OUTCOME_NOT_RUN only if no start was ever ordered,
 *        GN_OUTCOME_DONE if the task ended before, else GN_OUTCOME_UNKNOWN
 * @return GN_OK, GN_ERR_NOT_FOUND, GN_ERR_UNAVAILABLE (not owned)
 */
gn_code_t gn_batch_bucket_cancel(gn_batch_bucket_t *bucket, uint64_t id,
				 gn_outcome_t *outcome, uint64_t *seq);

/**
 * Cancels all unfinished tasks of @p team, restricted to @p kind unless that is
 * empty. One commit carries all of the changes.
 * @param count set to the number of cancelled tasks
 * @return GN_OK, GN_ERR_UNAVAILABLE (not owned)
 */
gn_code_t gn_batch_bucket_cancel_matching(gn_batch_bucket_t *bucket,
					  gn_str_t team, gn_str_t kind,
					  size_t *count, uint64_t *seq);

/** Begins a handover: the next commit leaves the bucket without an owner. */
void gn_batch_bucket_release(gn_batch_bucket_t *bucket);

/**
 * Takes a handover back, so that run promises are renewed again. It has no
 * effect once the handover may have been written.
 */
void gn_batch_bucket_keep(gn_batch_bucket_t *bucket);

/**
 * Requests that the worker of task @p id checkpoint and release it. The next
 * answers to that worker's polls carry the order until the task is released.
 * @return GN_OK, GN_ERR_NOT_FOUND (no worker holds it), GN_ERR_UNAVAILABLE
 */
gn_code_t gn_batch_bucket_evict(gn_batch_bucket_t *bucket, uint64_t id);

/**
 * Answers a poll of an agent.
 * @param orders the answer, allocated under @p parent; it has no orders unless
 *        the bucket is owned
 * @return GN_OK, GN_ERR_STALE (not newer than that agent's last poll),
 *         GN_ERR_UNAVAILABLE (not owned), GN_ERR_MEMORY
 */
gn_code_t gn_batch_bucket_on_poll(gn_batch_bucket_t *bucket,
				  const gn_batch_poll_t *poll,
				  TALLOC_CTX *parent,
				  gn_batch_orders_t *orders);

/**
 * Gives the start orders whose claims became durable after the last poll of
 * their worker, as another answer to that poll. Each call gives the orders for
 * one worker; call it after each commit until it returns false.
 * @param worker set to the worker's name, valid until the next command
 * @param incarnation set to the incarnation of the agent that polled
 * @param sent_us set to the sending time of that poll, to be echoed
 */
bool gn_batch_bucket_next_starts(gn_batch_bucket_t *bucket, TALLOC_CTX *parent,
				 const char **worker, uint64_t *incarnation,
				 uint64_t *sent_us, gn_batch_orders_t *orders);

/**
 * Queues tasks again whose run lease expired, and drops ended tasks that are
 * older than the retention time.
 */
void gn_batch_bucket_tick(gn_batch_bucket_t *bucket);

/* ======   Group commit   ====== */

/**
 * Gives the next write if there are changes and no write is in flight.
 * A write without an answer is given again, with the same bytes and change ID,
 * after a read showed that it had not taken effect.
 * @return whether @p commit was set
 */
bool gn_batch_bucket_next_commit(gn_batch_bucket_t *bucket,
				 gn_batch_commit_t *commit);

/**
 * Reports the answer to a write.
 * @param code GN_OK (with the new @p revision), GN_ERR_CONFLICT, or any other
 *        code if no answer came and the effect of the write is unknown
 */
void gn_batch_bucket_on_commit(gn_batch_bucket_t *bucket, uint64_t change_id,
			       gn_code_t code, uint64_t revision);

/** Whether the stored value must be read to learn the effect of a write. */
bool gn_batch_bucket_wants_read(const gn_batch_bucket_t *bucket);

/** Passes in the value read; empty with revision 0 if there is no such key. */
void gn_batch_bucket_on_read(gn_batch_bucket_t *bucket, gn_str_t value,
			     uint64_t revision);

/* ======   Queries   ====== */

gn_batch_ownership_t
gn_batch_bucket_get_ownership(const gn_batch_bucket_t *bucket);

/** Returns the owner's epoch, including a raise that is not durable yet. */
/**
 * Returns the time when the takeover was known to be durable; 0 before that.
 */
uint64_t gn_batch_bucket_taken_us(const gn_batch_bucket_t *bucket);

uint32_t gn_batch_bucket_epoch(const gn_batch_bucket_t *bucket);

/** Whether the change @p seq and all earlier ones are stored. */
bool gn_batch_bucket_is_durable(const gn_batch_bucket_t *bucket, uint64_t seq);

/**
 * Returns the task @p id, or NULL. Report its state to others only while
 * gn_batch_bucket_task_is_durable().
 */
const gn_task_t *gn_batch_bucket_find(const gn_batch_bucket_t *bucket,
				      uint64_t id);

/** Whether the present state of @p task is stored. */
bool gn_batch_bucket_task_is_durable(const gn_batch_bucket_t *bucket,
				     const gn_task_t *task);

/** Calls @p visit for each task, in unspecified order. */
void gn_batch_bucket_foreach(const gn_batch_bucket_t *bucket,
			     void (*visit)(const gn_task_t *task, void *data),
			     void *data);

size_t gn_batch_bucket_task_count(const gn_batch_bucket_t *bucket);

/**
 * Copies up to @p size earlier owners whose run promises may not have expired
 * into @p to.
 * @return the number of all such owners, which may exceed @p size
 */
size_t gn_batch_bucket_list_unsettled(const gn_batch_bucket_t *bucket,
				      gn_batch_predecessor_t *to, size_t size);

const gn_batch_stats_t *gn_batch_bucket_stats(const gn_batch_bucket_t *bucket);

/** Returns the task queue of the bucket, for setting quotas and rules. */
gn_task_queue_t *gn_batch_bucket_queue(gn_batch_bucket_t *bucket);

#endif
