/**
 * @file bucket.h
 * @brief Ownership of one bucket: taken, written, settled, handed over.
 *
 * Rendezvous hashing over the member record names the entry that should own a
 * bucket. The owner's epoch is in the bucket's value and raised by
 * compare-and-swap, so that of two entries that both believe they own it the
 * stale one loses its next write, and the bucket with it. batch/bucket.h
 * decides what is written; this module carries it to the platform's service.
 *
 * Pure state machine: no I/O but through gn_kv_t.
 */
#ifndef GN_MEMBER_BUCKET_H
#define GN_MEMBER_BUCKET_H

#include "batch/bucket.h"
#include "member/record_doc.h"
#include "platform/kv.h"

/** Prefix of the keys of the buckets; then the number in three digits. */
#define GN_MEMBER_BUCKET_PREFIX "buckets/"
/** Highest number of a bucket. */
#define GN_MEMBER_BUCKET_MAX 999

/** What the holder of a bucket asks and tells. */
typedef struct gn_member_bucket_ops_s {
	/** Whether this entry should own bucket @p index now. */
	bool (*is_wanted)(void *context, unsigned index);
	/**
	 * Opens the bucket from its stored value (empty if there is none), to
	 * take it. @return under @p parent, or NULL: not to be taken now
	 */
	gn_batch_bucket_t *(*open)(void *context, TALLOC_CTX *parent,
				   unsigned index, gn_str_t value,
				   uint64_t revision);
	/** The service has answered; more may be durable. */
	void (*on_answer)(void *context, unsigned index,
			  gn_batch_bucket_t *bucket);
	/** The bucket is lost or handed over, and freed after this. */
	void (*on_drop)(void *context, unsigned index,
			gn_batch_bucket_t *bucket);
} gn_member_bucket_ops_t;

/** How to hold a bucket; what is pointed to must outlive the holder. */
typedef struct gn_member_bucket_options_s {
	gn_kv_t *kv;
	const gn_clock_t *clock;
	unsigned index; /**< 0..GN_MEMBER_BUCKET_MAX */
	uint32_t commit_interval_ms; /**< least time between writes, 0..60000 */
	uint32_t retry_ms; /**< before a call after a failure, 1..60000 */
	const gn_member_bucket_ops_t *ops;
	void *context;
} gn_member_bucket_options_t;

typedef struct gn_member_bucket_s gn_member_bucket_t;

/** Creates a holder of nothing yet; NULL: memory or bounds. */
gn_member_bucket_t *
gn_member_bucket_create(TALLOC_CTX *parent,
			const gn_member_bucket_options_t *options);

/** Drops the bucket and frees. */
void gn_member_bucket_free(gn_member_bucket_t *holder);

/* ======   Commands   ====== */

/** Takes, writes, settles, hands over; to be called some times a second. */
void gn_member_bucket_tick(gn_member_bucket_t *holder);

/** Drops the bucket at once: this entry may own it no more. */
void gn_member_bucket_drop(gn_member_bucket_t *holder);

/* ======   Queries   ====== */

/** The bucket in whatever standing; NULL: none is held. */
gn_batch_bucket_t *gn_member_bucket_held(const gn_member_bucket_t *holder);

/** The bucket if it is owned, else NULL. */
gn_batch_bucket_t *gn_member_bucket_owned(const gn_member_bucket_t *holder);

/** The member of @p doc that should own bucket @p index; NULL: no member. */
const gn_record_member_t *gn_member_bucket_owner(const gn_record_doc_t *doc,
						 unsigned index);

#endif
