/**
 * @file watch.h
 * @brief Follows the keys with a prefix, without gaps or older revisions.
 *
 * A watch lists the prefix and then waits for changes after the revision of the
 * list. After a failure it continues from the last revision that it delivered,
 * or lists the prefix again if the platform's key-value service no longer has
 * that history. Answers that are older than the delivered revision are ignored.
 */
#ifndef GN_PLATFORM_WATCH_H
#define GN_PLATFORM_WATCH_H

#include <glib.h>
#include <talloc.h>

#include "common/clock.h"
#include "platform/kv.h"

typedef struct gn_kv_watch_s gn_kv_watch_t;

/** Update of a watched prefix; the entries are valid during the callback. */
typedef struct gn_kv_update_s {
	/** The entries are all keys; any others are deleted. */
	bool is_snapshot;
	uint64_t revision; /**< Revision of the store after the update. */
	const gn_kv_entry_t *entries;
	size_t count; /**< Number of entries. */
} gn_kv_update_t;

/** Callback that receives an update; it must not free the watch. */
typedef void (*gn_kv_update_fn_t)(void *context, const gn_kv_update_t *news);

/** Options of a watch. */
typedef struct gn_kv_watch_options_s {
	const char *prefix; /**< 0..GN_KV_KEY_MAX bytes, copied. */
	uint32_t wait_ms; /**< Wait of one call, 1..GN_KV_WATCH_MAX_MS. */
	uint32_t interval_ms; /**< Least time between calls, 0..60000. */
	gn_kv_update_fn_t on_update;
	void *context;
} gn_kv_watch_options_t;

/**
 * Creates a watch under @p parent, which starts with the first tick. @p kv,
 * @p clock and @p rand must outlive it.
 * @param rand source of the backoff's jitter
 * @return NULL if out of memory or if an option is out of its bounds
 */
gn_kv_watch_t *gn_kv_watch_create(TALLOC_CTX *parent, gn_kv_t *kv,
				  const gn_clock_t *clock, GRand *rand,
				  const gn_kv_watch_options_t *options);

/** Cancels the call in progress and frees the watch, which may be NULL. */
void gn_kv_watch_free(gn_kv_watch_t *watch);

/**
 * Sets the maximum wait after a failure; the default is GN_BACKOFF_MAX_US.
 * @param backoff_ms at least 1
 */
void gn_kv_watch_limit_backoff(gn_kv_watch_t *watch, uint32_t backoff_ms);

/**
 * Keeps gn_kv_watch_confirmed_us() recent in spite of failures and pauses of the
 * process: the watch asks for changes without waiting after a failure or a late
 * answer, and gives up a call soon after its answer was due instead of at the
 * client's timeout.
 */
void gn_kv_watch_confirm_soon(gn_kv_watch_t *watch);

/** Starts the next call if it is due; to be called several times a second. */
void gn_kv_watch_tick(gn_kv_watch_t *watch);

/** Returns the newest revision that was delivered; 0: none yet. */
uint64_t gn_kv_watch_revision(const gn_kv_watch_t *watch);

/**
 * Returns a time at which the delivered keys were those of the key-value
 * service, on the clock; 0: none yet. An answer counts from when it arrived, but
 * not from later than it was due.
 */
uint64_t gn_kv_watch_confirmed_us(const gn_kv_watch_t *watch);

/** Returns when the key-value service last answered, on the clock; 0: never. */
uint64_t gn_kv_watch_last_answer_us(const gn_kv_watch_t *watch);

#endif
