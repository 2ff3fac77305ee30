/**
 * @file notice.h
 * @brief Whether a heartbeat can be one of the executor's worker.
 *
 * Anyone on the host may send heartbeats, and a later start or a higher sequence
 * number than the worker has would make its own heartbeats seem outdated.
 */
#ifndef GN_EXECUTOR_NOTICE_H
#define GN_EXECUTOR_NOTICE_H

#include "adapter/adapter.h"
#include "job/life.h"

/** Number of heartbeats that may be lost between two of a life. */
#define GN_NOTICE_SEQUENCE_GAP 1000000
/** Maximum of each capacity. */
#define GN_NOTICE_CAPACITY_MAX 1000000000

/** What an executor knows when it receives a heartbeat. */
typedef struct gn_notice_view_s {
	const char *worker_address; /**< Address that it calls. */
	uint64_t wall_ms; /**< Time of day, in ms since 1970. */
	/** The last heartbeat that was taken; NULL: there was none. */
	const gn_worker_notice_t *last;
} gn_notice_view_t;

/** Returns the life that @p notice is of; its ID is that of the notice. */
gn_life_t gn_notice_get_life(const gn_worker_notice_t *notice);

/**
 * Returns why @p notice cannot be one of the worker, as static text, or NULL.
 * A deregistration names its life only, and is not checked.
 */
const char *gn_notice_get_fault(const gn_worker_notice_t *notice,
				const gn_notice_view_t *view);

/**
 * Whether @p notice is of the same life as @p last and was sent before it. A
 * sequence number that is far below the last one shows that that one was wrong.
 */
bool gn_notice_is_outdated(const gn_worker_notice_t *notice,
			   const gn_worker_notice_t *last);

#endif
