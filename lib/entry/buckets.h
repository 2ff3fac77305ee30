/**
 * @file buckets.h
 * @brief The buckets of batch and standing tasks that this entry owns.
 *
 * lib/batch/bucket.h decides, lib/member/bucket.h holds each bucket; this
 * module says which are wanted, carries their orders to the agents, and holds
 * back answers until they are durable.
 */
#ifndef GN_ENTRY_BUCKETS_H
#define GN_ENTRY_BUCKETS_H

#include "member/bucket.h"
#include "entry/entry_internal.h"

/**
 * Buckets of the system. A team's tasks all live in one bucket, so that one
 * owner keeps its quota. All entries must agree on the number.
 */
#define GN_BUCKET_COUNT 16
#define GN_BUCKET_KEY_SIZE (sizeof(GN_MEMBER_BUCKET_PREFIX) + 3)

/** Opens the table. */
gn_code_t entry_buckets_open(entry_t *entry);
/** Takes, writes, hands over. */
void entry_buckets_tick(entry_t *entry);
/** Drops all buckets at once: this entry may own none any more. */
void entry_buckets_drop(entry_t *entry);
/** Whether none is held, so that the entry can leave. */
bool entry_buckets_are_released(const entry_t *entry);
/**
 * Whether this entry owns buckets whose tasks it can't move now: it could not
 * store that they go on elsewhere.
 */
bool entry_buckets_block_moves(const entry_t *entry);
/** Applies the present rules and inventory to the buckets. */
void entry_buckets_apply_config(entry_t *entry);
/** Earlier owners whose promises may still be open; returns how many. */
size_t entry_buckets_list_unsettled(const entry_t *entry,
				    gn_batch_predecessor_t *to, size_t size);
/** Answers an agent's poll. */
void entry_on_task_poll(entry_t *entry, entry_worker_t *worker,
			const Gn__TaskPoll *poll);
/** The bucket that holds the tasks of @p team. */
unsigned entry_bucket_index_of_team(gn_str_t team);
/** Bucket number @p index if this entry owns it, else NULL. */
gn_batch_bucket_t *entry_bucket_find_owned(const entry_t *entry,
					   unsigned index);
/**
 * Answers @p request with @p json once the change @p seq is durable, or as
 * unknown if the bucket is lost before.
 * @param json consumed
 */
void entry_bucket_reply_when_durable(entry_t *entry, unsigned index,
				     uint64_t seq, gn_http_request_t *request,
				     json_t *json);
/** Writes the key of bucket @p index. */
void entry_bucket_format_key(unsigned index, char key[GN_BUCKET_KEY_SIZE]);
/** The part of the state dump; the caller owns it. */
json_t *entry_buckets_dump(const entry_t *entry);

#endif
