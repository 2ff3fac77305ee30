/**
 * @file buckets_internal.h
 * @brief The state of the buckets, shared by their files.
 */
#ifndef GN_ENTRY_BUCKETS_INTERNAL_H
#define GN_ENTRY_BUCKETS_INTERNAL_H

#include "entry/buckets.h"
#include "entry/membership.h"
#include "member/bucket.h"

/** An answer that waits for a commit. */
typedef struct pending_reply_s {
	uint64_t seq;
	gn_http_request_t *request;
	json_t *json;
} pending_reply_t;

/** The place of one bucket. */
typedef struct bucket_slot_s {
	entry_t *entry;
	unsigned index;
	gn_member_bucket_t *holder;
	GQueue *pending_replies;
} bucket_slot_t;

struct entry_buckets_s {
	bucket_slot_t slots[GN_BUCKET_COUNT];
	uint64_t last_tick_us;
	gn_counter_t *taken;
	gn_counter_t *released;
	gn_counter_t *lost;
	gn_counter_t *polls;
};

/** Sends the starts whose claims have just become durable. */
void bucket_send_start_orders(bucket_slot_t *slot, gn_batch_bucket_t *bucket);

#endif
