/**
 * @file fence.h
 * @brief What an agent knows about each request: started, ended or fenced.
 *
 * A fence recorded before any start proves that a request was not run and
 * never will be. The memory is bounded, a number of requests per entry
 * incarnation, and what falls out of it leaves a watermark. Forgetting is safe
 * for these reasons:
 *
 * - An entry numbers its requests upwards. What was forgotten lies at or below
 *   its watermark, so a number above it that is not remembered is new.
 * - A dispatch at or below a watermark that is not remembered is never
 *   started: it may be one that was fenced or that has run.
 * - A fence at or below the watermark of started requests is answered "may
 *   have run".
 * - A request that is running is never forgotten.
 * - An entry is forgotten as a whole only after its session was closed, so
 *   that dispatches under way are refused as stale; the highest number that it
 *   had started stays behind. Where even that was dropped, no fence of an
 *   entry that is not remembered is answered "not run" any more.
 *
 * No I/O.
 */
#ifndef GN_ADMIT_FENCE_H
#define GN_ADMIT_FENCE_H

#include <stdbool.h>
#include <talloc.h>

#include "gypsumnotch.h"

/** The memory of one agent incarnation. */
typedef struct gn_fence_s gn_fence_t;

/** Settings; see gn_fence_defaults(). */
typedef struct gn_fence_config_s {
	unsigned requests; /**< remembered per entry, 16..1048576; 2048 */
	unsigned entries; /**< entry incarnations, 2..4096; 256 */
	unsigned markers; /**< left by forgotten entries, 2..1048576; 16384 */
} gn_fence_config_t;

/** Whether a request may start. */
typedef enum gn_fence_verdict_e {
	GN_FENCE_NEW = 0, /**< not seen before: may start */
	GN_FENCE_FENCED, /**< fenced: was not and will not be run */
	GN_FENCE_DUPLICATE, /**< started before: a duplicate, to be ignored */
	GN_FENCE_FORGOTTEN, /**< may have been started: no proof either way */
	GN_FENCE_VERDICT_COUNT
} gn_fence_verdict_t;

/** The settings that a process starts with. */
gn_fence_config_t gn_fence_defaults(void);

/** Creates an empty memory; NULL if short of memory or out of bounds. */
gn_fence_t *gn_fence_create(TALLOC_CTX *parent,
			    const gn_fence_config_t *config);

/* ======   Commands   ====== */

/**
 * Records the start of a request for which gn_fence_check() says GN_FENCE_NEW.
 * @return GN_OK; GN_ERR_CAPACITY (too many entries) or GN_ERR_MEMORY: the
 *         request must not start
 */
gn_code_t gn_fence_start(gn_fence_t *fence, uint64_t entry, uint64_t request);

/** Records the end of a started request. */
void gn_fence_end(gn_fence_t *fence, uint64_t entry, uint64_t request);

/**
 * Fences a request: it will not be started from now on.
 * @return true only if it is proved that it was never started
 */
bool gn_fence_cancel(gn_fence_t *fence, uint64_t entry, uint64_t request);

/**
 * Forgets an entry; its session must have been closed before.
 * @return GN_OK, GN_ERR_NOT_FOUND, GN_ERR_CONFLICT (a request is running) or
 *         GN_ERR_MEMORY; forgotten on GN_OK only
 */
gn_code_t gn_fence_forget(gn_fence_t *fence, uint64_t entry);

/* ======   Queries   ====== */

/** Whether @p request of @p entry may start. */
gn_fence_verdict_t gn_fence_check(const gn_fence_t *fence, uint64_t entry,
				  uint64_t request);

/**
 * Whether all that @p entry ever started is remembered or lies below a
 * watermark. If not, nothing is proved about its requests.
 */
bool gn_fence_is_complete(const gn_fence_t *fence, uint64_t entry);

/** Requests remembered, of all entries. */
size_t gn_fence_size(const gn_fence_t *fence);

#endif
