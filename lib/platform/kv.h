/**
 * @file kv.h
 * @brief The platform's key-value service: compare-and-swap, leases, watches.
 *
 * The service holds keys under one store-wide revision that grows with every
 * write; the revision of a key is that of its last write. All calls are
 * asynchronous: the callback runs in the control thread, once, and never from
 * within the call that started it. Strings in a result live until the
 * callback returns.
 *
 * Codes of a result:
 *  - GN_OK: done.
 *  - GN_ERR_NOT_FOUND: get of an absent key; an unknown or lapsed lease
 *    (a put bound to it was not done).
 *  - GN_ERR_CONFLICT: a compare-and-swap lost; entries[0] is what is there
 *    now, or count is 0 if the key is absent.
 *  - GN_ERR_UNKNOWN: the answer was lost, a write may have taken effect and
 *    may still do so; reading the change id back tells.
 *  - GN_ERR_UNAVAILABLE: a write was surely not done; a read has no answer.
 *  - GN_ERR_RATE: surely not done, this process's own budget is used up.
 *  - GN_ERR_STALE: a read was answered from an older state than this process
 *    has seen, or a watch began before what the service remembers: list anew.
 *  - GN_ERR_INVALID, GN_ERR_RANGE: surely not done, an argument is out of
 *    bounds.
 */
#ifndef GN_PLATFORM_KV_H
#define GN_PLATFORM_KV_H

#include <stdbool.h>

#include "common/error.h"

/* ======   Bounds   ====== */

/** Longest key or prefix, bytes; a key holds [A-Za-z0-9/_.:-], a prefix too. */
#define GN_KV_KEY_MAX 255
/** Longest value, bytes. */
#define GN_KV_VALUE_MAX (1024 * 1024)
/** Longest change id, bytes; same characters as a key. */
#define GN_KV_CHANGE_MAX 63
/** Bounds of a lease's time to live, milliseconds. */
#define GN_KV_TTL_MIN_MS 100
#define GN_KV_TTL_MAX_MS (10 * 60 * 1000)
/** Longest wait of one watch call, milliseconds. */
#define GN_KV_WATCH_MAX_MS 60000
/** Expected revision of a key that must not exist. */
#define GN_KV_ABSENT 0

/* ======   Types   ====== */

typedef struct gn_kv_s gn_kv_t;

/** Names a call in progress; 0 names none. */
typedef uint64_t gn_kv_call_t;

/** A key as the service holds it. */
typedef struct gn_kv_entry_s {
	gn_str_t key;
	gn_str_t value; /**< 0..GN_KV_VALUE_MAX bytes */
	gn_str_t change; /**< change id of the last write; may be empty */
	uint64_t revision; /**< of the last write */
	uint64_t lease; /**< lease it is bound to, or 0 */
	bool deleted; /**< in watch results: the key is gone */
} gn_kv_entry_t;

/** The result of a call. */
typedef struct gn_kv_result_s {
	gn_code_t code;
	const gn_error_t *error; /**< step, peer and detail; never NULL */
	/**
	 * Store-wide revision the answer holds for: after a put or delete the
	 * revision of that write, after a list or watch where to watch from.
	 */
	uint64_t revision;
	const gn_kv_entry_t *entries; /**< sorted by key */
	size_t count;
	uint64_t lease; /**< grant: the new lease */
	bool more; /**< list: keys after the last entry were left out */
	uint64_t sent_us; /**< when the call was sent, on the client's clock */
} gn_kv_result_t;

/** Takes the result of a call. */
typedef void (*gn_kv_done_t)(void *context, const gn_kv_result_t *result);

/** A write of one key; strings are copied by the call. */
typedef struct gn_kv_put_s {
	gn_str_t key; /**< 1..GN_KV_KEY_MAX bytes */
	gn_str_t value; /**< 0..GN_KV_VALUE_MAX bytes */
	gn_str_t change; /**< 0..GN_KV_CHANGE_MAX bytes, unique to this write */
	uint64_t expected; /**< revision of the key, or GN_KV_ABSENT */
	uint64_t lease; /**< deleted when this lease ends; 0: stays */
} gn_kv_put_t;

/** A key and the revision it must be at; GN_KV_ABSENT: must not exist. */
typedef struct gn_kv_expect_s {
	gn_str_t key;
	uint64_t revision;
} gn_kv_expect_t;

/**
 * Writes of several keys under several conditions, all or nothing. Strings
 * are copied by the call.
 */
typedef struct gn_kv_txn_s {
	const gn_kv_expect_t *expects;
	size_t expect_count;
	const gn_kv_put_t *puts; /**< change and expected are not used */
	size_t put_count;
	const gn_str_t *removes; /**< keys to delete */
	size_t remove_count;
} gn_kv_txn_t;

/** What an implementation of the service's client can do. */
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
	/** NULL: the service has no transactions. */
	gn_kv_call_t (*txn)(gn_kv_t *kv, const gn_kv_txn_t *txn,
			    gn_kv_done_t done, void *context);
	/** NULL: a list is always whole. */
	gn_kv_call_t (*list_after)(gn_kv_t *kv, gn_str_t prefix, gn_str_t after,
				   gn_kv_done_t done, void *context);
	void (*cancel)(gn_kv_t *kv, gn_kv_call_t call);
} gn_kv_ops_t;

/** A client of the service; the first member of an implementation. */
struct gn_kv_s {
	const gn_kv_ops_t *ops;
};

/* ======   Reads   ====== */

/** Reads @p key: entries[0], or GN_ERR_NOT_FOUND. */
gn_kv_call_t gn_kv_get(gn_kv_t *kv, gn_str_t key, gn_kv_done_t done,
		       void *context);

/** Reads all keys that begin with @p prefix, at one revision. */
gn_kv_call_t gn_kv_list(gn_kv_t *kv, gn_str_t prefix, gn_kv_done_t done,
			void *context);

/**
 * Reads keys that begin with @p prefix and sort after @p after (empty: from
 * the first). The result's more tells whether some were left out; pages are
 * not read at one revision.
 */
gn_kv_call_t gn_kv_list_after(gn_kv_t *kv, gn_str_t prefix, gn_str_t after,
			      gn_kv_done_t done, void *context);

/**
 * Waits until a key that begins with @p prefix has a revision above @p from
 * and returns all such keys in their latest state, deleted ones too.
 * @param wait_ms 0..GN_KV_WATCH_MAX_MS; then GN_OK with no entries
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

/** Most rows of a transaction: conditions, puts and deletes together. */
#define GN_KV_TXN_ROWS_MAX 32

/**
 * Writes several keys under several conditions. GN_ERR_CONFLICT: the entries
 * are what the keys of the conditions hold now, absent ones left out.
 */
gn_kv_call_t gn_kv_txn(gn_kv_t *kv, const gn_kv_txn_t *txn, gn_kv_done_t done,
		       void *context);

/** Asks for a lease of GN_KV_TTL_MIN_MS..GN_KV_TTL_MAX_MS. */
gn_kv_call_t gn_kv_grant(gn_kv_t *kv, uint32_t ttl_ms, gn_kv_done_t done,
			 void *context);

/** Prolongs @p lease by its time to live; GN_ERR_NOT_FOUND: it has lapsed. */
gn_kv_call_t gn_kv_renew(gn_kv_t *kv, uint64_t lease, gn_kv_done_t done,
			 void *context);

/** Ends @p lease; its keys are deleted. */
gn_kv_call_t gn_kv_revoke(gn_kv_t *kv, uint64_t lease, gn_kv_done_t done,
			  void *context);

/** Forgets @p call: its callback won't run; a write may still take effect. */
void gn_kv_cancel(gn_kv_t *kv, gn_kv_call_t call);

/* ======   Checks   ====== */

/** Whether @p text has the characters of a key and 0..@p max bytes. */
bool gn_kv_is_key_text(gn_str_t text, size_t max);

/** Whether @p put lies within the documented bounds. */
gn_code_t gn_kv_check_put(const gn_kv_put_t *put);

#endif
