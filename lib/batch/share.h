/**
 * @file share.h
 * @brief How many of the waiting tasks one poll of a worker may take.
 *
 * All workers are filled to one level: else the first to ask would get
 * everything. What the less loaded do not take in time, anyone may, a part of
 * it at a poll. The sums are kept as workers change, so that a share costs the
 * same in every fleet. No I/O; control thread only.
 */
#ifndef GN_BATCH_SHARE_H
#define GN_BATCH_SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "batch/order.h"

/** What a worker adds to the sums; a zeroed one adds nothing. */
typedef struct gn_batch_member_s {
	bool open; /**< may be given tasks */
	unsigned placed; /**< tasks that it has, claimed ones included */
	bool roomy; /**< has room for an urgent task */
} gn_batch_member_t;

/** The sums over the open workers; a zeroed one is empty. */
typedef struct gn_batch_share_s {
	unsigned workers;
	uint64_t placed; /**< tasks at them */
	unsigned roomy; /**< those with room for an urgent task */
	uint64_t waiting_us; /**< since when tasks wait; 0: none do */
} gn_batch_share_t;

/** States anew what @p member is and has; closed to take it out. */
void gn_batch_share_set(gn_batch_share_t *share, gn_batch_member_t *member,
			bool open, unsigned placed);

/**
 * The most tasks that a poll of @p member takes.
 * @param waiting tasks that wait for a worker
 * @param now_us on any steady clock, above 0
 */
unsigned gn_batch_share_get(gn_batch_share_t *share,
			    const gn_batch_member_t *member, size_t waiting,
			    uint64_t now_us);

/**
 * Limits what @p worker takes now to @p most tasks. If too few others have room
 * for an urgent task, it keeps such room; urgent tasks are not limited.
 * @param worker with what it has and has free
 */
void gn_batch_share_limit(const gn_batch_share_t *share,
			  const gn_batch_member_t *member, unsigned most,
			  gn_batch_worker_t *worker);

/** Notes whether @p worker, of @p member, has room for an urgent task now. */
void gn_batch_share_note_room(gn_batch_share_t *share,
			      gn_batch_member_t *member,
			      const gn_batch_worker_t *worker);

#endif
