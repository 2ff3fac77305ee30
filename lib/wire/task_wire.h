/**
 * @file task_wire.h
 * @brief Converts batch reports and orders to and from messages.
 *
 * Received messages are checked field by field. Messages are built under a
 * talloc context, so they must not be freed with the functions of protobuf-c.
 */
#ifndef GN_WIRE_TASK_WIRE_H
#define GN_WIRE_TASK_WIRE_H

#include "batch/report.h"
#include "wire/gypsumnotch.pb-c.h"

/** Maximum number of runs or orders accepted in one message. */
#define GN_TASK_WIRE_ITEMS_MAX 8192

/**
 * Sets the runs of @p poll; their texts remain owned by @p reports.
 * @return GN_OK or GN_ERR_MEMORY
 */
gn_code_t gn_task_wire_encode_runs(TALLOC_CTX *parent,
				   const gn_batch_report_t *reports,
				   size_t count, Gn__TaskPoll *poll);

/**
 * Reads the runs of @p poll; their texts remain owned by it.
 * @return GN_OK, GN_ERR_INVALID or GN_ERR_MEMORY
 */
gn_code_t gn_task_wire_decode_runs(TALLOC_CTX *parent, const Gn__TaskPoll *poll,
				   gn_batch_report_t **reports);

/**
 * Sets the orders of @p bucket; their texts remain owned by @p orders.
 * @return GN_OK or GN_ERR_MEMORY
 */
gn_code_t gn_task_wire_encode_orders(TALLOC_CTX *parent,
				     const gn_batch_orders_t *orders,
				     Gn__BucketOrders *bucket);

/**
 * Reads the orders of @p bucket and creates a task under @p parent for each
 * start.
 * @return GN_OK, GN_ERR_INVALID or GN_ERR_MEMORY
 */
gn_code_t gn_task_wire_decode_orders(TALLOC_CTX *parent,
				     const Gn__BucketOrders *bucket,
				     gn_batch_orders_t *orders);

#endif
