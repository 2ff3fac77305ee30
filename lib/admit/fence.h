/**
 * @file fence.h
 * @brief An agent's records of requests: which were started, ended or fenced.
 *
 * A fence recorded before any start proves that a request was not run and never
 * will be. The number of records per entry incarnation is bounded, and dropped
 * records raise a watermark. Dropping them is safe because:
 *
 * - An entry numbers its requests upwards. Dropped requests are at or below its
 *   watermark, so a number above it without a record is new.
 * - A dispatch at or below a watermark without a record is never started: the
 *   request may have been fenced or may have run.
 * - A fence at or below the watermark of started requests is answered with "may
 *   have run".
 * - The record of a running request is never dropped.
 * - An entry is dropped as a whole only after its session was closed, so
 *   dispatches under way are refused as stale. A marker keeps the highest
 *   request number that it had started. Once any marker was dropped too, no
 *   fence of an entry without records or a marker is answered with "not run"
 *   any more.
 *
 * No I/O.
 */
#ifndef GN_ADMIT_FENCE_H
#define GN_ADMIT_FENCE_H

#include <stdbool.h>
#include <talloc.h>

#include "gypsumnotch.h"

/** The records of one agent incarnation. */
typedef struct gn_fence_s gn_fence_t;

/**
 * Settings of a fence. Each member states its range and its default; see
 * gn_fence_defaults().
 */
typedef struct gn_fence_config_s {
	/** Finished requests recorded per entry, 16..1048576; 2048. */
	unsigned requests;
	unsigned entries; /**< Entry incarnations recorded, 2..4096; 256. */
	/** Markers kept for dropped entries, 2..1048576; 16384. */
	unsigned markers;
} gn_fence_config_t;

/** Whether a request may start. */
typedef enum gn_fence_result_e {
	GN_FENCE_NEW = 0, /**< No record: the request may start. */
	/** The request was fenced: it was not and will not be run. */
	GN_FENCE_FENCED,
	/** The request was started before; ignore this copy. */
	GN_FENCE_DUPLICATE,
	/**
	 * The record may have been dropped, so the request may have been
	 * started.
	 */
	GN_FENCE_FORGOTTEN,
	GN_FENCE_VERDICT_COUNT
} gn_fence_result_t;

/** Returns the default settings. */
gn_fence_config_t gn_fence_defaults(void);

/**
 * Creates a fence without records.
 * @return NULL if out of memory or a setting is out of range
 */
gn_fence_t *gn_fence_create(TALLOC_CTX *parent,
			    const gn_fence_config_t *config);

/* ======   Commands   ====== */

/**
 * Records the start of a request, for which gn_fence_check() must return
 * GN_FENCE_NEW.
 * @return GN_OK; GN_ERR_CAPACITY (too many entries) or GN_ERR_MEMORY: the
 *         request must not start
 */
gn_code_t gn_fence_start(gn_fence_t *fence, uint64_t entry, uint64_t request);

/** Records the end of a started request. */
void gn_fence_end(gn_fence_t *fence, uint64_t entry, uint64_t request);

/**
 * Fences a request: it can't be started from now on.
 * @return true only if it is proved that the request was never started
 */
bool gn_fence_cancel(gn_fence_t *fence, uint64_t entry, uint64_t request);

/**
 * Drops an entry and leaves a marker. Its session must have been closed before.
 * @return GN_OK, GN_ERR_NOT_FOUND, GN_ERR_CONFLICT (a request is running) or
 *         GN_ERR_MEMORY; the entry is dropped only on GN_OK
 */
gn_code_t gn_fence_forget(gn_fence_t *fence, uint64_t entry);

/* ======   Queries   ====== */

/** Whether @p request of @p entry may start. */
gn_fence_result_t gn_fence_check(const gn_fence_t *fence, uint64_t entry,
				 uint64_t request);

/**
 * Whether every request that @p entry ever started is recorded or at or
 * below a watermark. If not, nothing is proved about its requests.
 */
bool gn_fence_is_complete(const gn_fence_t *fence, uint64_t entry);

/** Returns the number of requests recorded, for all entries. */
size_t gn_fence_size(const gn_fence_t *fence);

#endif
