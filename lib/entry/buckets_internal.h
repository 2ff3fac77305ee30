/**
 * @file buckets_internal.h
 * @brief State of the buckets, shared by buckets.c and polls.c.
 */
#ifndef GN_ENTRY_BUCKETS_INTERNAL_H
#define GN_ENTRY_BUCKETS_INTERNAL_H

#include "entry/buckets.h"
#include "entry/membership.h"
#include "member/bucket.h"

/** A response that is delayed until a change is durable. */
typedef struct pending_reply_s {
	uint64_t seq; /**< Sequence number of the change. */
	gn_http_request_t *request;
	json_t *json; /**< Body of the response; owned. */
} pending_reply_t;

/** One bucket number; the bucket itself may or may not be held. */
typedef struct bucket_slot_s {
	entry_t *entry;
	unsigned index;
	gn_member_bucket_t *holder;
	GQueue *pending_replies; /**< pending_reply_t, ordered by seq. */
} bucket_slot_t;

struct entry_buckets_s {
	bucket_slot_t slots[GN_BUCKET_COUNT];
	uint64_t last_tick_us; /**< Time of the last tick of the holders. */
	gn_counter_t *taken;
	gn_counter_t *released;
	gn_counter_t *lost;
	gn_counter_t *polls;
};

/** Sends the start orders of tasks whose claims have become durable. */
void bucket_send_start_orders(bucket_slot_t *slot, gn_batch_bucket_t *bucket);

#endif
