/**
 * @file buckets.h
 * @brief The buckets of batch and standing tasks that this entry owns.
 *
 * lib/batch/bucket.h contains the decisions about tasks, lib/member/bucket.h
 * acquires, writes and releases each bucket. This module selects the buckets
 * that the entry should own, sends their orders to the agents, and delays
 * responses to callers until the changes behind them are durable.
 */
#ifndef GN_ENTRY_BUCKETS_H
#define GN_ENTRY_BUCKETS_H

#include "member/bucket.h"
#include "entry/entry_internal.h"

/**
 * Number of buckets in the system. All tasks of a team are in one bucket, so
 * that a single owner enforces its quota. The number must be the same on all
 * entries.
 */
#define GN_BUCKET_COUNT 16
/** Size of a bucket's key including the terminating NUL, in bytes. */
#define GN_BUCKET_KEY_SIZE (sizeof(GN_MEMBER_BUCKET_PREFIX) + 3)

/**
 * Creates a holder for each bucket; the membership must be open.
 * @return GN_OK or GN_ERR_MEMORY
 */
gn_code_t entry_buckets_open(entry_t *entry);
/** Starts the calls that are due to acquire, write or release buckets. */
void entry_buckets_tick(entry_t *entry);
/** Drops all buckets at once, because this entry may no longer own any. */
void entry_buckets_drop(entry_t *entry);
/** Whether no bucket is held, so that the entry can leave the record. */
bool entry_buckets_are_released(const entry_t *entry);
/**
 * Whether this entry holds buckets but may not move their tasks to other
 * workers now, because it couldn't store such a move durably.
 */
bool entry_buckets_block_moves(const entry_t *entry);
/** Applies the current rules and inventory to all held buckets. */
void entry_buckets_apply_config(entry_t *entry);
/**
 * Lists the earlier owners of held buckets whose run promises may not have
 * expired yet, each once.
 * @param to array of @p size elements
 * @return the number of owners written to @p to
 */
size_t entry_buckets_list_unsettled(const entry_t *entry,
				    gn_batch_predecessor_t *to, size_t size);
/** Answers a poll of the agent of @p worker with the orders for it. */
void entry_on_task_poll(entry_t *entry, entry_worker_t *worker,
			const Gn__TaskPoll *poll);
/** Returns the number of the bucket that contains the tasks of @p team. */
unsigned entry_bucket_index_of_team(gn_str_t team);
/** Returns bucket number @p index if this entry owns it, else NULL. */
gn_batch_bucket_t *entry_bucket_find_owned(const entry_t *entry,
					   unsigned index);
/**
 * Responds to @p request with @p json once change @p seq of bucket @p index,
 * which must be held, is durable. If the bucket is lost or released first, the
 * response reports the outcome as unknown.
 * @param json the function takes over this reference
 */
void entry_bucket_reply_when_durable(entry_t *entry, unsigned index,
				     uint64_t seq, gn_http_request_t *request,
				     json_t *json);
/** Formats the key under which bucket @p index is stored. */
void entry_bucket_format_key(unsigned index, char key[GN_BUCKET_KEY_SIZE]);
/** Returns the held buckets for the state dump; the caller owns the result. */
json_t *entry_buckets_dump(const entry_t *entry);

#endif
