/**
 * @file report.h
 * @brief What an agent reports of its tasks, and what it is ordered to do.
 *
 * Both ends use these types; lib/wire carries them as TaskPoll and TaskOrders.
 */
#ifndef GN_BATCH_REPORT_H
#define GN_BATCH_REPORT_H

#include "batch/order.h"

/** How a run of a task stands at its worker. */
typedef enum gn_run_state_e {
	GN_RUN_RUNNING = 0, /**< started, not ended */
	GN_RUN_DONE, /**< ended by itself with a result */
	GN_RUN_FAILED, /**< ended with an error, or was lost */
	GN_RUN_RELEASED, /**< stopped after a checkpoint, not a failure */
	GN_RUN_STOPPED, /**< stopped without a checkpoint, not a failure */
	GN_RUN_REFUSED, /**< never started: no room, or draining */
	GN_RUN_STATE_COUNT
} gn_run_state_t;

/** One task at a worker. */
typedef struct gn_batch_report_s {
	uint64_t task;
	uint64_t epoch; /**< of the order that the worker runs it under */
	gn_run_state_t state;
	uint32_t result_code; /**< of the backend server, if done or failed */
	const char *checkpoint; /**< reference, empty if none */
} gn_batch_report_t;

/** What an agent asks an owner. */
typedef struct gn_batch_poll_s {
	uint64_t incarnation; /**< of the agent */
	uint64_t sent_us; /**< agent's clock; echoed with the orders */
	const gn_batch_report_t *reports;
	size_t report_count;
	/**
	 * The worker with what it has free. Claims made in answer to the poll
	 * are subtracted, so one poll can be put to many buckets in turn.
	 */
	gn_batch_worker_t *worker;
} gn_batch_poll_t;

/** What an agent is to do with a task. */
typedef enum gn_order_kind_e {
	GN_ORDER_START = 0, /**< start it, under a promise */
	GN_ORDER_RENEW, /**< go on, under a promise */
	GN_ORDER_STOP, /**< stop it */
	GN_ORDER_CHECKPOINT, /**< checkpoint it and release it */
	GN_ORDER_FORGET, /**< its end is stored; forget it */
	GN_ORDER_KIND_COUNT
} gn_order_kind_t;

/** One order; @p task is given for GN_ORDER_START only. */
typedef struct gn_batch_order_msg_s {
	gn_order_kind_t kind;
	uint64_t id;
	uint64_t epoch; /**< the owner's epoch above the task's claim */
	uint64_t promise_us; /**< counted from the poll's sent_us */
	const gn_task_t *task;
} gn_batch_order_msg_t;

/** The orders that answer one poll; under one talloc context. */
typedef struct gn_batch_orders_s {
	gn_batch_order_msg_t *orders;
	size_t count;
} gn_batch_orders_t;

/** How many of the @p count runs in @p reports have not ended. */
size_t gn_batch_reports_count_running(const gn_batch_report_t *reports,
				      size_t count);

/** The stable name of @p state, such as "running". */
const char *gn_run_state_name(gn_run_state_t state);

/** The stable name of @p kind, such as "start". */
const char *gn_order_kind_name(gn_order_kind_t kind);

#endif
