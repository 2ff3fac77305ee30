/**
 * @file watch.h
 * @brief Follows a prefix of keys without a gap and never backwards.
 *
 * Lists the prefix, then watches from the revision of the list. After a
 * failure it goes on from the last revision that it delivered; if the service
 * has forgotten that one, it lists again. What is older than what was
 * delivered is ignored.
 */
#ifndef GN_PLATFORM_WATCH_H
#define GN_PLATFORM_WATCH_H

#include <glib.h>
#include <talloc.h>

#include "common/clock.h"
#include "platform/kv.h"

typedef struct gn_kv_watch_s gn_kv_watch_t;

/** News of a watched prefix; the entries live until the callback returns. */
typedef struct gn_kv_news_s {
	bool whole; /**< the entries are all there are: others are gone */
	uint64_t revision; /**< the news hold for this revision */
	const gn_kv_entry_t *entries;
	size_t count;
} gn_kv_news_t;

/** Takes news; must not free the watch. */
typedef void (*gn_kv_news_fn_t)(void *context, const gn_kv_news_t *news);

/** What to follow and how. */
typedef struct gn_kv_watch_options_s {
	const char *prefix; /**< 0..GN_KV_KEY_MAX bytes, copied */
	uint32_t wait_ms; /**< of one call, 1..GN_KV_WATCH_MAX_MS */
	uint32_t interval_ms; /**< least time between two calls, 0..60000 */
	gn_kv_news_fn_t on_news;
	void *context;
} gn_kv_watch_options_t;

/**
 * Creates a watch under @p parent; it starts with the first tick.
 * @param rand for the backoff's jitter; not owned, as @p kv and @p clock
 * @return NULL if memory is short or an option is out of its bounds
 */
gn_kv_watch_t *gn_kv_watch_create(TALLOC_CTX *parent, gn_kv_t *kv,
				  const gn_clock_t *clock, GRand *rand,
				  const gn_kv_watch_options_t *options);

/** Cancels the call in progress and frees. */
void gn_kv_watch_free(gn_kv_watch_t *watch);

/**
 * Bounds the pause after a failure, which is GN_BACKOFF_MAX_US at first.
 * @param backoff_ms at least 1
 */
void gn_kv_watch_limit_backoff(gn_kv_watch_t *watch, uint32_t backoff_ms);

/** Starts the call that is due; to be called some times a second. */
void gn_kv_watch_tick(gn_kv_watch_t *watch);

/** The newest revision that was delivered; 0: none yet. */
uint64_t gn_kv_watch_revision(const gn_kv_watch_t *watch);

/** When the service last answered, on the clock; 0: never. */
uint64_t gn_kv_watch_heard_us(const gn_kv_watch_t *watch);

#endif
