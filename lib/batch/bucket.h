/**
 * @file bucket.h
 * @brief A bucket of batch and standing tasks, owned by one entry.
 *
 * The bucket is the authority for its tasks. It does no I/O: it is told what
 * submitters, agents, the platform's service and the clock say, and answers
 * with the value to write and the orders to send.
 *
 * Group commit: every change gets a sequence number and waits in memory; one
 * write carries all changes since the last. What is told to anybody is told
 * only once it is durable: a start is ordered after its claim, a finish is
 * told after it is stored. At most one write is in flight. A conflict means
 * that another entry owns the bucket: the bucket is then lost, it orders
 * nothing, and its owner frees it.
 *
 * Use: create from the value read (or none); write what
 * gn_batch_bucket_next_commit() gives; report with gn_batch_bucket_on_commit();
 * after an unknown answer, read while gn_batch_bucket_wants_read() and report
 * with gn_batch_bucket_on_read(); answer each poll with
 * gn_batch_bucket_on_poll(); call gn_batch_bucket_tick() each 100 ms or so.
 */
#ifndef GN_BATCH_BUCKET_H
#define GN_BATCH_BUCKET_H

#include "batch/codec.h"
#include "batch/order.h"
#include "batch/report.h"

/* ======   Creation   ====== */

/** What the run promise rules allow the entry now; see batch/promise.h. */
typedef struct gn_batch_gate_ops_s {
	/** Whether a promise for a running task may be renewed. */
	bool (*may_renew)(void *context);
	/** Whether claims, starts and moves may be made. */
	bool (*may_start)(void *context);
	/**
	 * Whether no promise of the earlier owner @p incarnation can be open,
	 * of a bucket taken at @p taken_us; @p acked is its highest
	 * acknowledged record revision.
	 */
	bool (*is_settled)(void *context, uint64_t incarnation, uint64_t acked,
			   uint64_t taken_us);
	/**
	 * Whether @p incarnation, a member at record revision @p revision, has
	 * left the record for good.
	 */
	bool (*has_left)(void *context, uint64_t incarnation,
			 uint64_t revision);
	/** The member record that the entry has adopted. */
	uint64_t (*revision)(void *context);
	/**
	 * The highest record revision @p incarnation is known to have
	 * acknowledged; 0 if not known, which is always safe.
	 */
	uint64_t (*acked)(void *context, uint64_t incarnation);
} gn_batch_gate_ops_t;

typedef struct gn_batch_gate_s {
	const gn_batch_gate_ops_t *ops;
	void *context;
} gn_batch_gate_t;

/** How a bucket keeps its tasks. */
typedef struct gn_batch_params_s {
	uint64_t promise_us; /**< length of a run promise, 1 s..60 s */
	uint64_t drift_us; /**< margin for clock rates, 10 ms..10 s */
	uint64_t retention_us; /**< ended tasks are kept, 1 s..31 days */
	gn_batch_order_params_t order;
} gn_batch_params_t;

typedef struct gn_batch_bucket_s gn_batch_bucket_t;

/** Who owns a bucket. */
typedef enum gn_batch_standing_e {
	GN_BATCH_TAKING = 0, /**< the write that takes it isn't durable yet */
	GN_BATCH_OWNED,
	GN_BATCH_RELEASING, /**< handing over; orders nothing */
	GN_BATCH_RELEASED, /**< handed over durably */
	GN_BATCH_LOST /**< another entry owns it */
} gn_batch_standing_t;

/** One write to the platform's service. */
typedef struct gn_batch_commit_s {
	uint64_t change_id;
	uint64_t expected_revision; /**< 0: the key must not exist */
	gn_str_t value; /**< valid until the answer is reported */
} gn_batch_commit_t;

/** What a bucket counts since its creation. */
typedef struct gn_batch_stats_s {
	uint64_t commits;
	uint64_t commit_conflicts;
	uint64_t commit_unknowns;
	uint64_t starts; /**< starts ordered, repeated ones included */
	uint64_t finishes; /**< ends that were accepted */
	uint64_t failures;
	uint64_t releases; /**< checkpointed and queued again */
	uint64_t lapses; /**< queued again after the run lease lapsed */
	uint64_t cancels;
	uint64_t parked;
	uint64_t stale_polls;
	uint64_t promises;
} gn_batch_stats_t;

/**
 * Opens bucket number @p index for the entry @p owner, to take it.
 * The first commit raises the owner's epoch; until it is durable the bucket
 * accepts nothing and orders nothing. A bucket whose owner has not left the
 * member record and has not handed over is refused.
 *
 * @param value the bytes read from the platform's service, empty if none
 * @param revision of that value, 0 if there is none
 * @param gate what the run promise rules allow; outlives the bucket
 * @param rand seeded; outlives the bucket
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
 * Adds a task. With an idempotency key that the team used before, gives the id
 * of that task and adds nothing. The caller is told once the bucket
 * gn_batch_bucket_is_durable() for @p seq.
 * @param reason why no worker could run it, with GN_ERR_CAPACITY
 * @return GN_OK; GN_ERR_RANGE (bounds), GN_ERR_CAPACITY (no worker could ever
 *         run it, see @p reason), GN_ERR_RATE (the bucket is full),
 *         GN_ERR_CONFLICT (the key belongs to a different request),
 *         GN_ERR_UNAVAILABLE (not owned), GN_ERR_MEMORY
 */
gn_code_t gn_batch_bucket_submit(gn_batch_bucket_t *bucket,
				 const gn_task_request_t *request, uint64_t *id,
				 uint64_t *seq, gn_task_reason_t *reason);

/**
 * Cancels one task. The caller is told once durable.
 * @param outcome GN_OUTCOME_NOT_RUN only if no start was ever ordered,
 *        GN_OUTCOME_DONE if it ended before, else GN_OUTCOME_UNKNOWN
 * @return GN_OK, GN_ERR_NOT_FOUND, GN_ERR_UNAVAILABLE (not owned)
 */
gn_code_t gn_batch_bucket_cancel(gn_batch_bucket_t *bucket, uint64_t id,
				 gn_outcome_t *outcome, uint64_t *seq);

/**
 * Cancels every task of @p team, and of @p kind unless that is empty, with one
 * commit.
 * @param count set to the number that were cancelled
 */
gn_code_t gn_batch_bucket_cancel_wave(gn_batch_bucket_t *bucket, gn_str_t team,
				      gn_str_t kind, size_t *count,
				      uint64_t *seq);

/** Begins a hand-over: the next commit leaves the bucket without owner. */
void gn_batch_bucket_release(gn_batch_bucket_t *bucket);

/** Asks the task's worker to checkpoint and release it, once. */
gn_code_t gn_batch_bucket_evict(gn_batch_bucket_t *bucket, uint64_t id);

/**
 * Answers a poll of an agent.
 * @param orders filled in under @p parent; none unless the bucket is owned
 * @return GN_OK, GN_ERR_STALE (an older poll of that agent came late),
 *         GN_ERR_UNAVAILABLE (not owned), GN_ERR_MEMORY
 */
gn_code_t gn_batch_bucket_on_poll(gn_batch_bucket_t *bucket,
				  const gn_batch_poll_t *poll,
				  TALLOC_CTX *parent,
				  gn_batch_orders_t *orders);

/**
 * Gives the starts whose claims became durable after their worker's last
 * poll, as a further answer to that poll: one worker a call. Call it after
 * each commit until it returns false.
 * @param worker set to the worker's name, valid until the next command
 * @param incarnation set to that of the agent that polled
 * @param sent_us set to the poll's time, to be echoed
 */
bool gn_batch_bucket_next_starts(gn_batch_bucket_t *bucket, TALLOC_CTX *parent,
				 const char **worker, uint64_t *incarnation,
				 uint64_t *sent_us, gn_batch_orders_t *orders);

/** Moves tasks whose run lease lapsed; drops ended tasks after retention. */
void gn_batch_bucket_tick(gn_batch_bucket_t *bucket);

/* ======   Group commit   ====== */

/**
 * Gives the next write, if there are changes and none is in flight.
 * Also gives an unanswered write again, after a read showed that it had not
 * taken effect: the same bytes under the same change id.
 */
bool gn_batch_bucket_next_commit(gn_batch_bucket_t *bucket,
				 gn_batch_commit_t *commit);

/**
 * Reports the answer to a write.
 * @param code GN_OK (with the new @p revision), GN_ERR_CONFLICT, or anything
 *        else for an answer that never came: the effect is unknown
 */
void gn_batch_bucket_on_commit(gn_batch_bucket_t *bucket, uint64_t change_id,
			       gn_code_t code, uint64_t revision);

/** Whether the value must be read to settle a write. */
bool gn_batch_bucket_wants_read(const gn_batch_bucket_t *bucket);

/** Reports the value read; empty with revision 0 if the key doesn't exist. */
void gn_batch_bucket_on_read(gn_batch_bucket_t *bucket, gn_str_t value,
			     uint64_t revision);

/* ======   Queries   ====== */

gn_batch_standing_t gn_batch_bucket_standing(const gn_batch_bucket_t *bucket);

/** The owner's epoch, that of the commit in flight included. */
uint32_t gn_batch_bucket_epoch(const gn_batch_bucket_t *bucket);

/** Whether the change @p seq is stored. */
bool gn_batch_bucket_is_durable(const gn_batch_bucket_t *bucket, uint64_t seq);

/** The task @p id, or NULL. What is told of it must be durable: see below. */
const gn_task_t *gn_batch_bucket_find(const gn_batch_bucket_t *bucket,
				      uint64_t id);

/** Whether all that the record of @p task says is stored. */
bool gn_batch_bucket_task_is_durable(const gn_batch_bucket_t *bucket,
				     const gn_task_t *task);

/** Calls @p visit for each task, in no order. */
void gn_batch_bucket_foreach(const gn_batch_bucket_t *bucket,
			     void (*visit)(const gn_task_t *task, void *data),
			     void *data);

size_t gn_batch_bucket_task_count(const gn_batch_bucket_t *bucket);

/** Earlier owners whose promises may still be open. */
size_t gn_batch_bucket_unsettled(const gn_batch_bucket_t *bucket,
				 gn_batch_predecessor_t *to, size_t size);

const gn_batch_stats_t *gn_batch_bucket_stats(const gn_batch_bucket_t *bucket);

/** The order of the bucket, for quotas, rules and the fleet's sizes. */
gn_batch_order_t *gn_batch_bucket_order(gn_batch_bucket_t *bucket);

#endif
