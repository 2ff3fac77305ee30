/**
 * @file report.h
 * @brief Reports of an agent on its tasks, and the orders that answer them.
 *
 * Agents and entries use these types; lib/wire sends them as TaskPoll and
 * TaskOrders.
 */
#ifndef GN_BATCH_REPORT_H
#define GN_BATCH_REPORT_H

#include "batch/task_queue.h"

/** State of a run of a task at its worker. */
typedef enum gn_run_state_e {
	GN_RUN_RUNNING = 0, /**< Started and not ended. */
	GN_RUN_DONE, /**< Completed with a result. */
	GN_RUN_FAILED, /**< Ended with an error, or was lost. */
	GN_RUN_RELEASED, /**< Stopped after a checkpoint, not a failure. */
	GN_RUN_STOPPED, /**< Stopped without a checkpoint, not a failure. */
	GN_RUN_REFUSED, /**< Not started: no capacity, or draining. */
	GN_RUN_STATE_COUNT
} gn_run_state_t;

/** The report of a worker on one run. */
typedef struct gn_batch_report_s {
	uint64_t task;
	uint64_t epoch; /**< Epoch of the last order on this run. */
	gn_run_state_t state;
	uint32_t result_code; /**< Backend server's code if done or failed. */
	const char *checkpoint; /**< Checkpoint reference, empty if none. */
} gn_batch_report_t;

/** A poll of an agent for the orders of a bucket's owner. */
typedef struct gn_batch_poll_s {
	uint64_t incarnation; /**< Incarnation of the agent. */
	uint64_t sent_us; /**< Agent's clock; echoed with the orders. */
	const gn_batch_report_t *reports;
	size_t report_count;
	/**
	 * The worker and its free capacity. Claims made in answer to the poll
	 * are subtracted, so one poll can be passed to many buckets in turn.
	 */
	gn_batch_worker_t *worker;
} gn_batch_poll_t;

/** Kinds of orders to an agent. */
typedef enum gn_order_kind_e {
	GN_ORDER_START = 0, /**< Start the task under a new run lease. */
	GN_ORDER_RENEW, /**< Extend the run lease of the task. */
	GN_ORDER_STOP, /**< Stop the task. */
	GN_ORDER_CHECKPOINT, /**< Checkpoint the task and release it. */
	GN_ORDER_FORGET, /**< The end of the task is stored; drop its run. */
	GN_ORDER_KIND_COUNT
} gn_order_kind_t;

/** One order on a task. */
typedef struct gn_batch_order_msg_s {
	gn_order_kind_t kind;
	uint64_t id;
	uint64_t epoch; /**< Owner's epoch and claim, see gn_task_epoch(). */
	/** Run promise, counted from the poll's sent_us. */
	uint64_t promise_us;
	const gn_task_t *task; /**< Set for GN_ORDER_START only. */
} gn_batch_order_msg_t;

/** The orders that answer one poll; they belong to one talloc context. */
typedef struct gn_batch_orders_s {
	gn_batch_order_msg_t *orders;
	size_t count;
} gn_batch_orders_t;

/** Counts the runs in @p reports that have not ended. */
size_t gn_batch_reports_count_running(const gn_batch_report_t *reports,
				      size_t count);

/** Returns the stable name of @p state, such as "running". */
const char *gn_run_state_name(gn_run_state_t state);

/** Returns the stable name of @p kind, such as "start". */
const char *gn_order_kind_name(gn_order_kind_t kind);

#endif
