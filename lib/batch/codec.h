/**
 * @file codec.h
 * @brief Encodes and decodes the stored value of one bucket.
 *
 * Times are stored as ages, since clocks of different hosts have no common
 * origin. Decoding checks every field after unpacking.
 */
#ifndef GN_BATCH_CODEC_H
#define GN_BATCH_CODEC_H

#include "batch/task.h"
#include "common/error.h"

/** Version of the stored value. */
#define GN_BATCH_VALUE_VERSION 1
/**
 * Maximum size of a stored value, bytes. The platform's key-value service
 * accepts up to 1 MiB.
 */
#define GN_BATCH_VALUE_MAX (1000 * 1000)
/** Maximum number of tasks in one bucket. */
#define GN_BATCH_TASKS_MAX 16384
/** Maximum number of earlier owners whose promises may not have expired. */
#define GN_BATCH_PREDECESSORS_MAX 64

/** An earlier owner whose last run promise is not known to have expired. */
typedef struct gn_batch_predecessor_s {
	uint64_t incarnation;
	uint64_t acked; /**< Highest record revision that it acknowledged. */
} gn_batch_predecessor_t;

/** The decoded value of a bucket. */
typedef struct gn_batch_value_s {
	unsigned bucket; /**< 0..65535. */
	uint64_t owner; /**< Incarnation; 0 after a handover. */
	uint32_t owner_epoch;
	uint64_t owner_revision; /**< Record revision at the takeover. */
	uint64_t change_id; /**< Identifies the write of this value. */
	uint64_t next_serial;
	gn_batch_predecessor_t predecessors[GN_BATCH_PREDECESSORS_MAX];
	size_t predecessor_count;
	gn_task_t **tasks;
	size_t task_count; /**< 0..GN_BATCH_TASKS_MAX. */
} gn_batch_value_t;

/**
 * Encodes @p value at the time @p now_us; @p bytes belong to @p parent.
 * @return GN_OK, GN_ERR_CAPACITY (over GN_BATCH_VALUE_MAX), GN_ERR_MEMORY
 */
gn_code_t gn_batch_codec_encode(TALLOC_CTX *parent,
				const gn_batch_value_t *value, uint64_t now_us,
				gn_str_t *bytes);

/**
 * Decodes @p bytes at the time @p now_us. The value belongs to @p parent, its
 * tasks to the value.
 * @param error has the step "bucket-value"; the detail names the field that is
 *        out of bounds or could not be allocated
 * @return GN_OK, GN_ERR_INVALID, GN_ERR_RANGE or GN_ERR_MEMORY
 */
gn_code_t gn_batch_codec_decode(TALLOC_CTX *parent, gn_str_t bytes,
				uint64_t now_us, gn_batch_value_t **value,
				gn_error_t *error);

/**
 * Estimates the encoded size of @p task, bytes. The estimate is not too small
 * for a new task, which has no worker and no checkpoint.
 */
size_t gn_batch_codec_task_size(const gn_task_t *task);

#endif
