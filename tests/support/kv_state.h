/**
 * @file kv_state.h
 * @brief State of the platform's key-value service, for test doubles.
 *
 * The in-process fake and the HTTP stand-in share it: revisions, leases, change
 * ids and deletions. It does no I/O, and the caller passes the time.
 */
#ifndef GN_TESTS_KV_STATE_H
#define GN_TESTS_KV_STATE_H

#include <glib.h>

#include "platform/kv.h"

/** Most revisions that a stale read can lag behind. */
#define KV_STATE_DEPTH 8

/** A version of a key, reference-counted by g_rc_box. */
typedef struct kv_item_s {
	struct kv_item_s *older;
	char *key;
	GBytes *value;
	char *change;
	uint64_t revision;
	uint64_t lease;
	bool deleted;
} kv_item_t;

/** An answer of the service. */
typedef struct kv_answer_s {
	gn_code_t code;
	uint64_t revision;
	uint64_t lease;
	GPtrArray *items; /**< Elements are kv_item_t, sorted by key. */
} kv_answer_t;

typedef struct kv_state_s kv_state_t;

kv_state_t *kv_state_create(void);
void kv_state_free(kv_state_t *state);

/** Initializes an empty answer; kv_answer_clear() frees its items. */
void kv_answer_init(kv_answer_t *answer);
void kv_answer_clear(kv_answer_t *answer);

/* ======   Reads   ====== */

uint64_t kv_state_revision(const kv_state_t *state);

/** Returns the current item or NULL; it is valid until the next write. */
const kv_item_t *kv_state_find(kv_state_t *state, const char *key);

/** Returns the value of @p item, valid as long as the item. */
gn_str_t kv_item_value(const kv_item_t *item);

/** Reads the state of @p back revisions ago, 0..KV_STATE_DEPTH. */
void kv_state_get(kv_state_t *state, const char *key, unsigned back,
		  kv_answer_t *answer);
void kv_state_list(kv_state_t *state, const char *prefix, unsigned back,
		   kv_answer_t *answer);

/**
 * Returns the changes after @p from, or GN_ERR_STALE if deletions after it
 * were removed by kv_state_compact().
 */
void kv_state_watch(kv_state_t *state, const char *prefix, uint64_t from,
		    kv_answer_t *answer);

/* ======   Writes   ====== */

void kv_state_put(kv_state_t *state, uint64_t now_us, const gn_kv_put_t *put,
		  kv_answer_t *answer);
void kv_state_remove(kv_state_t *state, const char *key, uint64_t expected,
		     kv_answer_t *answer);
/** Applies all writes at one revision, or none. */
void kv_state_txn(kv_state_t *state, uint64_t now_us, const gn_kv_txn_t *txn,
		  kv_answer_t *answer);
void kv_state_grant(kv_state_t *state, uint64_t now_us, uint32_t ttl_ms,
		    kv_answer_t *answer);
void kv_state_renew(kv_state_t *state, uint64_t now_us, uint64_t lease,
		    kv_answer_t *answer);
void kv_state_revoke(kv_state_t *state, uint64_t lease, kv_answer_t *answer);

/** Ends the leases that have expired by @p now_us. */
void kv_state_expire(kv_state_t *state, uint64_t now_us);

/** Sets whether leases do not expire. */
void kv_state_freeze_leases(kv_state_t *state, bool frozen);

/** Removes the history of deletions, as the service does after a time. */
void kv_state_compact(kv_state_t *state);

#endif
