/**
 * @file store.h
 * @brief The accepted configuration: changes, acceptance, never backwards.
 *
 * One key of the platform's service holds the whole document. A change is
 * validated, then written by compare-and-swap, and accepted only once it is
 * known to have taken effect: when the answer was lost, the key is read back
 * by the change id. A write is repeated only with the same expected revision
 * and change id, so that at most one copy takes effect.
 *
 * Of two operators who change the same part at once one wins and the other is
 * told GN_ERR_CONFLICT. A change that named no revision is rebased over a
 * concurrent change of the other part, and validated again.
 */
#ifndef GN_CONFIG_STORE_H
#define GN_CONFIG_STORE_H

#include <glib.h>

#include "common/clock.h"
#include "config/store_doc.h"

/** The key of the document. */
#define GN_STORE_KEY "config/current"
/**
 * How long one watch call waits, milliseconds. It bounds how long a watch
 * whose connection has gone silent goes unnoticed.
 */
#define GN_STORE_WATCH_WAIT_MS 3000
/** Changes that wait in one process, the present one included. */
#define GN_STORE_QUEUE_MAX 64
/** Bounds of the time one change may take, milliseconds. */
#define GN_STORE_TIMEOUT_MIN_MS 100
#define GN_STORE_TIMEOUT_MAX_MS 60000

typedef struct gn_store_s gn_store_t;

/**
 * Validates a whole document.
 * @return GN_OK, or the code with @p error filled
 */
typedef gn_code_t (*gn_store_check_t)(void *context, const gn_config_doc_t *doc,
				      gn_error_t *error);

/** Takes a newly adopted document; valid until the next one. */
typedef void (*gn_store_adopt_t)(void *context, const gn_config_doc_t *doc);

/** How a store works; what is pointed to must outlive it. */
typedef struct gn_store_options_s {
	gn_kv_t *kv;
	const gn_clock_t *clock;
	GRand *rand; /**< for the jitter of retries */
	uint32_t timeout_ms; /**< of one change, GN_STORE_TIMEOUT_* */
	gn_store_check_t check;
	gn_store_adopt_t on_adopt; /**< may be NULL */
	void *context; /**< of check and on_adopt */
} gn_store_options_t;

/** A change that an operator asks for; strings are copied. */
typedef struct gn_store_change_s {
	gn_config_part_t part;
	gn_str_t text; /**< the whole new part */
	gn_str_t id; /**< 1..GN_KV_CHANGE_MAX bytes, unique to the change */
	uint64_t if_revision; /**< only if this is the revision; 0: any */
} gn_store_change_t;

/** What became of a change. */
typedef struct gn_store_result_s {
	/**
	 * GN_OK: accepted under revision. GN_ERR_CONFLICT: not accepted,
	 * revision is the present one. GN_ERR_UNKNOWN: may have been or may
	 * still be accepted, ask by its id. Any other: not accepted.
	 */
	gn_code_t code;
	uint64_t revision;
	gn_str_t id;
	const gn_error_t *error; /**< never NULL */
} gn_store_result_t;

/** Takes a result; must not free the store. */
typedef void (*gn_store_done_t)(void *context, const gn_store_result_t *result);

/** Creates a store; NULL if memory is short or an option out of bounds. */
gn_store_t *gn_store_create(TALLOC_CTX *parent,
			    const gn_store_options_t *options);

/** Drops the changes in progress without a callback, and frees. */
void gn_store_free(gn_store_t *store);

/* ======   Commands   ====== */

/** Starts what is due; to be called some times a second. */
void gn_store_tick(gn_store_t *store);

/** Asks for a change; @p done runs once, never from within the call. */
void gn_store_change(gn_store_t *store, const gn_store_change_t *change,
		     gn_store_done_t done, void *context);

/**
 * Adopts a peer's document if it is newer than the present one and passes the
 * whole check. It must have been accepted: a peer's proposal is no offer.
 * @return GN_OK, adopted; GN_ERR_STALE, not newer; else the check's code with
 * @p error filled
 */
gn_code_t gn_store_offer(gn_store_t *store, const gn_config_doc_t *doc,
			 gn_error_t *error);

/* ======   Queries   ====== */

/** The newest document known; NULL before the first. */
const gn_config_doc_t *gn_store_current(const gn_store_t *store);

/** When the platform's service last answered the watch; 0: never. */
uint64_t gn_store_heard_us(const gn_store_t *store);

/**
 * Asks the service what became of the change called @p id: GN_OK with its
 * revision; GN_ERR_NOT_FOUND, not among the latest GN_CONFIG_CHANGES_MAX of the
 * present revision; else the service did not answer.
 */
void gn_store_ask(gn_store_t *store, gn_str_t id, gn_store_done_t done,
		  void *context);

#endif
