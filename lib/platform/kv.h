/**
 * @file kv.h
 * @brief The platform's key-value service: compare-and-swap, leases, watches.
 *
 * The key-value service has one revision for the whole store, which increases
 * with each write; the revision of a key is that of its last write. All calls
 * are asynchronous: the callback runs once, in the control thread, and never
 * from within the call that started it. Strings in a result are valid until the
 * callback returns.
 *
 * Codes of a result:
 *  - GN_OK: The call succeeded.
 *  - GN_ERR_NOT_FOUND: The key of a get is absent, or the lease is unknown or
 *    expired (a put bound to it was not applied).
 *  - GN_ERR_CONFLICT: The key was not at the expected revision. entries[0] is
 *    its current state, or count is 0 if it is absent.
 *  - GN_ERR_UNKNOWN: The answer was lost. A write may have been applied or may
 *    yet be; the key's change ID shows it.
 *  - GN_ERR_UNAVAILABLE: A write was not applied; a read has no answer.
 *  - GN_ERR_RATE: Not sent, since this process's rate budget is exhausted.
 *  - GN_ERR_STALE: A read returned an older revision than this process has
 *    already seen, or a watch began before the history that the key-value
 *    service keeps; the prefix must be listed again.
 *  - GN_ERR_INVALID, GN_ERR_RANGE: Not applied, an argument is out of bounds.
 */
#ifndef GN_PLATFORM_KV_H
#define GN_PLATFORM_KV_H

#include <stdbool.h>

#include "common/error.h"

/* ======   Bounds   ====== */

/**
 * Maximum length of a key or prefix, bytes; both consist of [A-Za-z0-9/_.:-].
 */
#define GN_KV_KEY_MAX 255
/** Maximum size of a value, bytes. */
#define GN_KV_VALUE_MAX (1024 * 1024)
/**
 * Maximum length of a change ID, bytes; it has the same characters as a key.
 */
#define GN_KV_CHANGE_MAX 63
/** Bounds of a lease's time to live, milliseconds. */
#define GN_KV_TTL_MIN_MS 100
#define GN_KV_TTL_MAX_MS (10 * 60 * 1000)
/** Maximum wait of one watch call, milliseconds. */
#define GN_KV_WATCH_MAX_MS 60000
/** Expected revision of a key that must not exist. */
#define GN_KV_ABSENT 0

/* ======   Types   ====== */

typedef struct gn_kv_s gn_kv_t;

/** Id of a call in progress; 0 is never one. */
typedef uint64_t gn_kv_call_t;

/** A key in the store. */
typedef struct gn_kv_entry_s {
	gn_str_t key;
	gn_str_t value; /**< 0..GN_KV_VALUE_MAX bytes. */
	gn_str_t change_id; /**< Change id of the last write; may be empty. */
	uint64_t revision; /**< Revision of the last write. */
	uint64_t lease; /**< Lease that the key is bound to, or 0. */
	bool deleted; /**< In results of a watch: the key was deleted. */
} gn_kv_entry_t;

/** The result of a call. */
typedef struct gn_kv_result_s {
	gn_code_t code;
	const gn_error_t *error; /**< Step, peer and detail; never NULL. */
	/**
	 * Revision of the store at which the answer was valid. After a put or
	 * delete it is the revision of that write, after a list or watch the
	 * revision to watch from.
	 */
	uint64_t revision;
	const gn_kv_entry_t *entries; /**< Sorted by key. */
	size_t count; /**< Number of entries. */
	uint64_t lease; /**< The new lease of a grant. */
	bool more; /**< A list omitted keys after its last entry. */
	size_t refused; /**< Malformed entries, which are left out. */
	/**
	 * Last key of a list whose last entry is left out; else empty. See
	 * gn_kv_last_key().
	 */
	gn_str_t last_key;
	uint64_t sent_us; /**< When the call was sent, on the client's clock. */
} gn_kv_result_t;

/** Returns the key after which the next page of a list begins; empty: none. */
gn_str_t gn_kv_last_key(const gn_kv_result_t *result);

/** Callback that receives the result of a call. */
typedef void (*gn_kv_done_t)(void *context, const gn_kv_result_t *result);

/** A write of one key; the call copies the strings. */
typedef struct gn_kv_put_s {
	gn_str_t key; /**< 1..GN_KV_KEY_MAX bytes. */
	gn_str_t value; /**< 0..GN_KV_VALUE_MAX bytes. */
	/** Unique ID of this write, 0..GN_KV_CHANGE_MAX bytes. */
	gn_str_t change_id;
	uint64_t expected; /**< Required revision, or GN_KV_ABSENT. */
	uint64_t lease; /**< The key is deleted when it ends; 0: none. */
} gn_kv_put_t;

/** Condition on the revision of a key; GN_KV_ABSENT: it must not exist. */
typedef struct gn_kv_expect_s {
	gn_str_t key;
	uint64_t revision;
} gn_kv_expect_t;

/**
 * An atomic write of several keys under several conditions. The call copies
 * the strings.
 */
typedef struct gn_kv_txn_s {
	const gn_kv_expect_t *expects;
	size_t expect_count;
	const gn_kv_put_t *puts; /**< change_id and expected are ignored. */
	size_t put_count;
	const gn_str_t *removes; /**< Keys to delete. */
	size_t remove_count;
} gn_kv_txn_t;

/** Function table of a client; the gn_kv_ functions below describe it. */
typedef struct gn_kv_ops_s {
	gn_kv_call_t (*get)(gn_kv_t *kv, gn_str_t key, gn_kv_done_t done,
			    void *context);
	gn_kv_call_t (*list)(gn_kv_t *kv, gn_str_t prefix, gn_kv_done_t done,
			     void *context);
	gn_kv_call_t (*put)(gn_kv_t *kv, const gn_kv_put_t *put,
			    gn_kv_done_t done, void *context);
	gn_kv_call_t (*remove)(gn_kv_t *kv, gn_str_t key, uint64_t expected,
			       gn_kv_done_t done, void *context);
	gn_kv_call_t (*grant)(gn_kv_t *kv, uint32_t ttl_ms, gn_kv_done_t done,
			      void *context);
	gn_kv_call_t (*renew)(gn_kv_t *kv, uint64_t lease, gn_kv_done_t done,
			      void *context);
	gn_kv_call_t (*revoke)(gn_kv_t *kv, uint64_t lease, gn_kv_done_t done,
			       void *context);
	gn_kv_call_t (*watch)(gn_kv_t *kv, gn_str_t prefix, uint64_t from,
			      uint32_t wait_ms, gn_kv_done_t done,
			      void *context);
	/** NULL if the key-value service has no transactions. */
	gn_kv_call_t (*txn)(gn_kv_t *kv, const gn_kv_txn_t *txn,
			    gn_kv_done_t done, void *context);
	/** NULL if a list is always complete. */
	gn_kv_call_t (*list_after)(gn_kv_t *kv, gn_str_t prefix, gn_str_t after,
				   gn_kv_done_t done, void *context);
	void (*cancel)(gn_kv_t *kv, gn_kv_call_t call);
} gn_kv_ops_t;

/**
 * A client of the key-value service. Each implementation has it as first
 * member.
 */
struct gn_kv_s {
	const gn_kv_ops_t *ops;
};

/* ======   Reads   ====== */

/** Reads @p key. The result is in entries[0], or GN_ERR_NOT_FOUND. */
gn_kv_call_t gn_kv_get(gn_kv_t *kv, gn_str_t key, gn_kv_done_t done,
		       void *context);

/** Reads all keys that begin with @p prefix, at one revision. */
gn_kv_call_t gn_kv_list(gn_kv_t *kv, gn_str_t prefix, gn_kv_done_t done,
			void *context);

/**
 * Reads one page of the keys that begin with @p prefix and sort after
 * @p after (empty: from the first). The result's more is set if keys were
 * omitted. Pages may be of different revisions.
 */
gn_kv_call_t gn_kv_list_after(gn_kv_t *kv, gn_str_t prefix, gn_str_t after,
			      gn_kv_done_t done, void *context);

/**
 * Waits until a key that begins with @p prefix has a revision above @p from
 * and returns all such keys in their latest state, including deleted ones.
 * @param wait_ms maximum wait, 0..GN_KV_WATCH_MAX_MS; after it the result is
 *        GN_OK without entries
 */
gn_kv_call_t gn_kv_watch(gn_kv_t *kv, gn_str_t prefix, uint64_t from,
			 uint32_t wait_ms, gn_kv_done_t done, void *context);

/* ======   Writes   ====== */

/** Writes a key if it is at the expected revision. */
gn_kv_call_t gn_kv_put(gn_kv_t *kv, const gn_kv_put_t *put, gn_kv_done_t done,
		       void *context);

/** Deletes @p key if it is at revision @p expected (above 0). */
gn_kv_call_t gn_kv_remove(gn_kv_t *kv, gn_str_t key, uint64_t expected,
			  gn_kv_done_t done, void *context);

/**
 * Maximum number of conditions, puts and deletes of one transaction, in all.
 */
#define GN_KV_TXN_ROWS_MAX 32

/**
 * Writes several keys atomically under several conditions. With
 * GN_ERR_CONFLICT the entries are the current state of the keys in the
 * conditions, without absent ones.
 */
gn_kv_call_t gn_kv_txn(gn_kv_t *kv, const gn_kv_txn_t *txn, gn_kv_done_t done,
		       void *context);

/**
 * Requests a new lease.
 * @param ttl_ms its time to live, GN_KV_TTL_MIN_MS..GN_KV_TTL_MAX_MS
 */
gn_kv_call_t gn_kv_grant(gn_kv_t *kv, uint32_t ttl_ms, gn_kv_done_t done,
			 void *context);

/**
 * Extends @p lease to its full time to live. GN_ERR_NOT_FOUND means that it
 * has expired.
 */
gn_kv_call_t gn_kv_renew(gn_kv_t *kv, uint64_t lease, gn_kv_done_t done,
			 void *context);

/** Ends @p lease, which deletes the keys bound to it. */
gn_kv_call_t gn_kv_revoke(gn_kv_t *kv, uint64_t lease, gn_kv_done_t done,
			  void *context);

/** Drops @p call without its callback; a write may still be applied. */
void gn_kv_cancel(gn_kv_t *kv, gn_kv_call_t call);

/* ======   Checks   ====== */

/** Whether @p text has only characters of a key and 0..@p max bytes. */
bool gn_kv_is_key_text(gn_str_t text, size_t max);

/**
 * Checks the key, change ID and value of @p put.
 * @return GN_OK, GN_ERR_INVALID (key or change ID) or GN_ERR_RANGE (value)
 */
gn_code_t gn_kv_check_put(const gn_kv_put_t *put);

#endif
