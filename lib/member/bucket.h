/**
 * @file bucket.h
 * @brief Ownership of one bucket: acquiring, writing and releasing it.
 *
 * Rendezvous hashing over the member record selects the entry that should own
 * a bucket. The owner's epoch is part of the bucket's stored value and is
 * raised by compare-and-swap. If two entries both believe they own a bucket,
 * the next write of the stale one therefore fails, and it loses the bucket.
 * batch/bucket.h decides what to write; this module reads and writes it in
 * the platform's key-value service.
 *
 * State machine whose only I/O goes through gn_kv_t.
 */
#ifndef GN_MEMBER_BUCKET_H
#define GN_MEMBER_BUCKET_H

#include "batch/bucket.h"
#include "member/record_doc.h"
#include "platform/kv.h"

/** Prefix of the bucket keys; the bucket's three-digit number follows. */
#define GN_MEMBER_BUCKET_PREFIX "buckets/"
/** Highest bucket number. */
#define GN_MEMBER_BUCKET_MAX 999

/** Callbacks of a bucket holder. */
typedef struct gn_member_bucket_ops_s {
	/** Whether this entry should own bucket @p index now. */
	bool (*is_wanted)(void *context, unsigned index);
	/**
	 * Opens the bucket to acquire it.
	 * @param value stored value, empty if there is none
	 * @return the bucket, allocated under @p parent; NULL if it must not be
	 *         acquired now
	 */
	gn_batch_bucket_t *(*open)(void *context, TALLOC_CTX *parent,
				   unsigned index, gn_str_t value,
				   uint64_t revision);
	/**
	 * The key-value service answered a call; more changes may be durable.
	 */
	void (*on_answer)(void *context, unsigned index,
			  gn_batch_bucket_t *bucket);
	/** The bucket was lost or released; it is freed after this call. */
	void (*on_drop)(void *context, unsigned index,
			gn_batch_bucket_t *bucket);
} gn_member_bucket_ops_t;

/** Options of a holder; all objects pointed to must outlive the holder. */
typedef struct gn_member_bucket_options_s {
	gn_kv_t *kv;
	const gn_clock_t *clock;
	unsigned index; /**< Bucket number, 0..GN_MEMBER_BUCKET_MAX. */
	/** Minimum time between two writes, 0..60000. */
	uint32_t commit_interval_ms;
	/** Delay after a failed call before the next call, 1..60000. */
	uint32_t retry_ms;
	const gn_member_bucket_ops_t *ops;
	void *context; /**< Passed to the callbacks. */
} gn_member_bucket_options_t;

/** Holder of one bucket, which acquires and releases it as required. */
typedef struct gn_member_bucket_s gn_member_bucket_t;

/**
 * Creates a holder that does not hold its bucket yet.
 * @return NULL if out of memory or an option is out of range
 */
gn_member_bucket_t *
gn_member_bucket_create(TALLOC_CTX *parent,
			const gn_member_bucket_options_t *options);

/** Drops the bucket and frees the holder. */
void gn_member_bucket_free(gn_member_bucket_t *holder);

/* ======   Commands   ====== */

/**
 * Starts the call that is due to acquire, write or release the bucket; call it
 * several times a second.
 */
void gn_member_bucket_tick(gn_member_bucket_t *holder);

/** Drops the bucket at once, because this entry may no longer own it. */
void gn_member_bucket_drop(gn_member_bucket_t *holder);

/* ======   Queries   ====== */

/** Returns the bucket in any ownership state; NULL if none is held. */
gn_batch_bucket_t *gn_member_bucket_held(const gn_member_bucket_t *holder);

/** Returns the bucket if this entry owns it, else NULL. */
gn_batch_bucket_t *gn_member_bucket_owned(const gn_member_bucket_t *holder);

/**
 * Returns the member of @p doc that should own bucket @p index; NULL if there
 * are no members.
 */
const gn_record_member_t *gn_member_bucket_owner(const gn_record_doc_t *doc,
						 unsigned index);

#endif
