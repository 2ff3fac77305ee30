/**
 * @file store.h
 * @brief Stores the configuration in the platform's key-value service.
 *
 * One key holds the whole configuration document. A change is validated,
 * written by compare-and-swap, and reported as accepted only once it is known
 * to have taken effect. If the response to a write is lost, the key is read
 * back and searched for the change ID. A write is retried only with the same
 * expected revision and change ID, so that at most one copy takes effect. The
 * revision in use never decreases.
 *
 * If two operators change the same part concurrently, one change is accepted
 * and the other fails with GN_ERR_CONFLICT. A change without an expected
 * revision is rebased on a concurrent change of the other part and validated
 * again.
 */
#ifndef GN_CONFIG_STORE_H
#define GN_CONFIG_STORE_H

#include <glib.h>

#include "common/clock.h"
#include "config/store_doc.h"

/** Key of the configuration document. */
#define GN_STORE_KEY "config/current"
/**
 * Maximum wait of one watch call, in milliseconds. It limits the time until a
 * silent connection of a watch is detected.
 */
#define GN_STORE_WATCH_WAIT_MS 3000
/** Maximum number of queued changes, including the one in progress. */
#define GN_STORE_QUEUE_MAX 64
/** Bounds of the timeout of a change, in milliseconds. */
#define GN_STORE_TIMEOUT_MIN_MS 100
#define GN_STORE_TIMEOUT_MAX_MS 60000

typedef struct gn_store_s gn_store_t;

/**
 * Validates a document.
 * @return GN_OK, or another code with @p error set
 */
typedef gn_code_t (*gn_store_check_t)(void *context, const gn_config_doc_t *doc,
				      gn_error_t *error);

/** Called with a newly adopted document, valid until the next call. */
typedef void (*gn_store_adopt_t)(void *context, const gn_config_doc_t *doc);

/** Options of a store; all that they point to must outlive the store. */
typedef struct gn_store_options_s {
	gn_kv_t *kv;
	const gn_clock_t *clock;
	GRand *rand; /**< Random source for the jitter of retries. */
	uint32_t timeout_ms; /**< Timeout of a change, GN_STORE_TIMEOUT_*. */
	gn_store_check_t check;
	gn_store_adopt_t on_adopt; /**< May be NULL. */
	void *context; /**< Passed to check and on_adopt. */
} gn_store_options_t;

/** A change requested by an operator; strings are copied. */
typedef struct gn_store_change_s {
	gn_config_part_t part;
	gn_str_t text; /**< New text of the whole part. */
	gn_str_t id; /**< Unique ID, 1..GN_KV_CHANGE_MAX bytes. */
	uint64_t if_revision; /**< Expected revision of the document; 0: any. */
} gn_store_change_t;

/** The result of a change. */
typedef struct gn_store_result_s {
	/**
	 * GN_OK: accepted as the given revision. GN_ERR_CONFLICT: not
	 * accepted; the revision is the current one. GN_ERR_UNKNOWN: may have
	 * been accepted or may be accepted later; query the change by its ID.
	 * Any other code: not accepted.
	 */
	gn_code_t code;
	uint64_t revision;
	gn_str_t id;
	const gn_error_t *error; /**< Never NULL. */
} gn_store_result_t;

/** Called with the result of a change or query; must not free the store. */
typedef void (*gn_store_done_t)(void *context, const gn_store_result_t *result);

/**
 * Creates a store.
 * @return the store, or NULL if out of memory or if the timeout is out of
 *         bounds
 */
gn_store_t *gn_store_create(TALLOC_CTX *parent,
			    const gn_store_options_t *options);

/** Frees a store; its pending changes end without a callback. */
void gn_store_free(gn_store_t *store);

/* ======   Commands   ====== */

/** Starts operations that are due; to be called several times a second. */
void gn_store_tick(gn_store_t *store);

/**
 * Queues a change.
 * @param done called once with the result, never from within this call
 */
void gn_store_change(gn_store_t *store, const gn_store_change_t *change,
		     gn_store_done_t done, void *context);

/**
 * Adopts a document from a peer if it is newer than the current one and valid.
 * @param doc accepted document; a peer must not send one that is only proposed
 * @return GN_OK (adopted), GN_ERR_STALE (not newer) or the code of the check,
 *         with @p error set
 */
gn_code_t gn_store_offer(gn_store_t *store, const gn_config_doc_t *doc,
			 gn_error_t *error);

/* ======   Queries   ====== */

/** Returns the newest known document, or NULL before the first. */
const gn_config_doc_t *gn_store_current(const gn_store_t *store);

/**
 * Returns when the key-value service last responded to the watch; 0 means
 * never.
 */
uint64_t gn_store_last_response_us(const gn_store_t *store);

/**
 * Queries the key-value service for the result of a change.
 * @param done called with GN_OK and the revision of the change; with
 *        GN_ERR_NOT_FOUND if it is not among the latest GN_CONFIG_CHANGES_MAX
 *        changes of the current revision; or with another code if the
 *        key-value service did not respond
 */
void gn_store_query_change(gn_store_t *store, gn_str_t id, gn_store_done_t done,
			   void *context);

#endif
