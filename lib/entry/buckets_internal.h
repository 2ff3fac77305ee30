/**
 * @file buckets_internal.h
 * @brief The state of the buckets, shared by their files.
 */
#ifndef GN_ENTRY_BUCKETS_INTERNAL_H
#define GN_ENTRY_BUCKETS_INTERNAL_H

#include "entry/buckets.h"
#include "entry/membership.h"

/** An answer that waits for a commit. */
typedef struct bucket_waiter_s {
	uint64_t seq;
	gn_http_request_t *request;
	json_t *json;
} bucket_waiter_t;

/** The place of one bucket. */
typedef struct bucket_slot_s {
	entry_t *entry;
	unsigned index;
	gn_batch_bucket_t *bucket; /**< NULL if not held */
	gn_kv_call_t call; /**< in progress, or 0 */
	uint64_t change_id; /**< of the write in progress */
	uint64_t next_us; /**< no call to the platform before */
	GQueue *waiters;
} bucket_slot_t;

struct entry_buckets_s {
	bucket_slot_t slots[GN_BUCKETS];
	uint64_t ticked_us;
	uint64_t waiting_us; /**< since when tasks wait; 0: none do */
	gn_counter_t *commits;
	gn_counter_t *conflicts;
	gn_counter_t *unknowns;
	gn_counter_t *taken;
	gn_counter_t *released;
	gn_counter_t *lost;
	gn_counter_t *polls;
};

/** Sends the starts whose claims have just become durable. */
void bucket_send_starts(bucket_slot_t *slot);

#endif
