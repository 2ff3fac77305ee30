#include "batch/share.h"

#include <assert.h>

#include <glib.h>

#include "common/clock.h"

/** If tasks have waited for longer, any worker may claim them. */
#define LEVELLING_WAIT_MAX_MS 500

/** Capacity for an urgent task, percent of a worker's capacity. */
#define URGENT_ROOM_PCT 13
/** One in this many workers must have free capacity for an urgent task. */
#define WORKERS_PER_URGENT_ROOM 3

static void subtract_member(gn_batch_share_t *share,
			    const gn_batch_share_member_t *member)
{
	if (!member->accepts_tasks)
		return;
	assert(share->workers > 0 && share->placed >= member->placed);
	share->workers--;
	share->placed -= member->placed;
	share->with_urgent_room -= member->has_urgent_room;
}

static void add_member(gn_batch_share_t *share,
		       const gn_batch_share_member_t *member)
{
	if (!member->accepts_tasks)
		return;
	share->workers++;
	share->placed += member->placed;
	share->with_urgent_room += member->has_urgent_room;
}

void gn_batch_share_set(gn_batch_share_t *share,
			gn_batch_share_member_t *member, bool accepts_tasks,
			unsigned placed)
{
	subtract_member(share, member);
	member->accepts_tasks = accepts_tasks;
	member->placed = placed;
	add_member(share, member);
}

/**
 * Whether tasks have been waiting without interruption for longer than the
 * limit; records since when.
 */
static bool has_waited_long(gn_batch_share_t *share, size_t waiting,
			    uint64_t now_us)
{
	if (!waiting)
		share->waiting_since_us = 0;
	else if (!share->waiting_since_us)
		share->waiting_since_us = now_us;
	return waiting &&
	       now_us - share->waiting_since_us >
		       (uint64_t)LEVELLING_WAIT_MAX_MS * GN_US_PER_MS;
}

unsigned gn_batch_share_get_limit(gn_batch_share_t *share,
				  const gn_batch_share_member_t *member,
				  size_t waiting, uint64_t now_us)
{
	uint64_t workers = share->workers ? share->workers : 1;
	uint64_t level = (share->placed + waiting + workers - 1) / workers;

	if (has_waited_long(share, waiting, now_us))
		return (unsigned)(waiting / workers) + 1;
	return level > member->placed ? (unsigned)(level - member->placed) : 0;
}

static unsigned urgent_room_of(unsigned total)
{
	return (unsigned)((uint64_t)total * URGENT_ROOM_PCT / 100);
}

void gn_batch_share_apply_limit(const gn_batch_share_t *share,
				const gn_batch_share_member_t *member,
				unsigned max_tasks, gn_batch_worker_t *worker)
{
	bool is_counted = member->accepts_tasks && member->has_urgent_room;
	unsigned others_with_room = share->with_urgent_room - is_counted;
	unsigned must_reserve =
		others_with_room < share->workers / WORKERS_PER_URGENT_ROOM;
	unsigned non_urgent = worker->free_tasks > must_reserve
				      ? worker->free_tasks - must_reserve
				      : 0;

	non_urgent = MIN(non_urgent, max_tasks);
	worker->reserved_tasks = worker->free_tasks - non_urgent;
	worker->reserved_cores = must_reserve * urgent_room_of(worker->cores);
	worker->reserved_memory_mb =
		must_reserve * urgent_room_of(worker->memory_mb);
}

void gn_batch_share_update_room(gn_batch_share_t *share,
				gn_batch_share_member_t *member,
				const gn_batch_worker_t *worker)
{
	subtract_member(share, member);
	member->has_urgent_room =
		worker->free_tasks > 0 &&
		worker->free_cores >= urgent_room_of(worker->cores) &&
		worker->free_memory_mb >= urgent_room_of(worker->memory_mb);
	add_member(share, member);
}
