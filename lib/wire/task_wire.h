/**
 * @file task_wire.h
 * @brief Batch reports and orders as messages, checked field by field.
 *
 * Functions that build a message allocate it under a talloc context, not as
 * protobuf-c does: it is not to be freed by protobuf-c.
 */
#ifndef GN_WIRE_TASK_WIRE_H
#define GN_WIRE_TASK_WIRE_H

#include "batch/report.h"
#include "wire/gypsumnotch.pb-c.h"

/** Most runs or orders that are taken from one message. */
#define GN_TASK_WIRE_ITEMS_MAX 8192

/** Builds the runs of a poll. GN_OK or GN_ERR_MEMORY. */
gn_code_t gn_task_wire_put_runs(TALLOC_CTX *parent,
				const gn_batch_report_t *reports, size_t count,
				Gn__TaskPoll *poll);

/**
 * Reads the runs of a poll; texts stay those of the message.
 * @return GN_OK, GN_ERR_INVALID or GN_ERR_MEMORY
 */
gn_code_t gn_task_wire_get_runs(TALLOC_CTX *parent, const Gn__TaskPoll *poll,
				gn_batch_report_t **reports);

/** Builds the orders of a bucket. GN_OK or GN_ERR_MEMORY. */
gn_code_t gn_task_wire_put_orders(TALLOC_CTX *parent,
				  const gn_batch_orders_t *orders,
				  Gn__BucketOrders *bucket);

/**
 * Reads the orders of a bucket, with a task record for each start.
 * @return GN_OK, GN_ERR_INVALID or GN_ERR_MEMORY
 */
gn_code_t gn_task_wire_get_orders(TALLOC_CTX *parent,
				  const Gn__BucketOrders *bucket,
				  gn_batch_orders_t *orders);

#endif
