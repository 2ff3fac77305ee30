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
	GN_RUN_RUNNING = 0, /**< started and not ended */
	GN_RUN_DONE, /**< completed with a result */
	GN_RUN_FAILED, /**< ended with an error, or was lost */
	GN_RUN_RELEASED, /**< stopped after a checkpoint, not a failure */
	GN_RUN_STOPPED, /**< stopped without a checkpoint, not a failure */
	GN_RUN_REFUSED, /**< not started: no capacity, or draining */
	GN_RUN_STATE_COUNT
} gn_run_state_t;

/** The report of a worker on one run. */
typedef struct gn_batch_report_s {
	uint64_t task;
	uint64_t epoch; /**< epoch of the last order on this run */
	gn_run_state_t state;
	uint32_t result_code; /**< backend server's code if done or failed */
	const char *checkpoint; /**< checkpoint reference, empty if none */
} gn_batch_report_t;

/** A poll of an agent for the orders of a bucket's owner. */
typedef struct gn_batch_poll_s {
	uint64_t incarnation; /**< incarnation of the agent */
	uint64_t sent_us; /**< agent's clock; echoed with the orders */
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
	GN_ORDER_START = 0, /**< start the task under a new run lease */
	GN_ORDER_RENEW, /**< extend the run lease of the task */
	GN_ORDER_STOP, /**< stop the task */
	GN_ORDER_CHECKPOINT, /**< checkpoint the task and release it */
	GN_ORDER_FORGET, /**< the end of the task is stored; drop its run */
	GN_ORDER_KIND_COUNT
} gn_order_kind_t;

/** One order on a task. */
typedef struct gn_batch_order_msg_s {
	gn_order_kind_t kind;
	uint64_t id;
	uint64_t epoch; /**< owner's epoch and claim, see gn_task_epoch() */
	uint64_t promise_us; /**< run promise, counted from poll's sent_us */
	const gn_task_t *task; /**< set for GN_ORDER_START only */
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
