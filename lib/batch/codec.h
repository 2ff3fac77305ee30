/**
 * @file codec.h
 * @brief The value of one bucket, as the bytes the platform's service holds.
 *
 * Times are stored as ages, since clocks of different hosts have no common
 * origin. What comes from outside is checked field by field after unpacking.
 */
#ifndef GN_BATCH_CODEC_H
#define GN_BATCH_CODEC_H

#include "batch/task.h"
#include "common/error.h"

/** Version of the stored value. */
#define GN_BATCH_VALUE_VERSION 1
/** Largest stored value, bytes; the platform's service holds 1 MiB. */
#define GN_BATCH_VALUE_MAX (1000 * 1000)
/** Most tasks of one bucket. */
#define GN_BATCH_TASKS_MAX 16384
/** Most earlier owners whose promises may be open. */
#define GN_BATCH_PREDECESSORS_MAX 64

/** An earlier owner whose last promise is not known to have lapsed. */
typedef struct gn_batch_predecessor_s {
	uint64_t incarnation;
	uint64_t acked; /**< highest record revision it acknowledged */
} gn_batch_predecessor_t;

/** The value of a bucket. */
typedef struct gn_batch_value_s {
	unsigned bucket; /**< 0..65535 */
	uint64_t owner; /**< incarnation; 0 after a hand-over */
	uint32_t owner_epoch;
	uint64_t owner_revision; /**< member record adopted when it was taken */
	uint64_t change_id; /**< of the write that made this value */
	uint64_t next_serial;
	gn_batch_predecessor_t predecessors[GN_BATCH_PREDECESSORS_MAX];
	size_t predecessor_count;
	gn_task_t **tasks;
	size_t task_count; /**< 0..GN_BATCH_TASKS_MAX */
} gn_batch_value_t;

/**
 * Encodes @p value at the time @p now_us into bytes under @p parent.
 * @return GN_OK, GN_ERR_CAPACITY (over GN_BATCH_VALUE_MAX), GN_ERR_MEMORY
 */
gn_code_t gn_batch_codec_encode(TALLOC_CTX *parent,
				const gn_batch_value_t *value, uint64_t now_us,
				gn_str_t *bytes);

/**
 * Decodes @p bytes at the time @p now_us; the tasks belong to the value.
 * @param error step "bucket-value"; the detail names the field
 * @return GN_OK, GN_ERR_INVALID, GN_ERR_RANGE or GN_ERR_MEMORY
 */
gn_code_t gn_batch_codec_decode(TALLOC_CTX *parent, gn_str_t bytes,
				uint64_t now_us, gn_batch_value_t **value,
				gn_error_t *error);

/** About the bytes that @p task takes in the value; not less, while new. */
size_t gn_batch_codec_task_size(const gn_task_t *task);

#endif
