#include "batch/share.h"

#include <assert.h>

#include <glib.h>

#include "common/clock.h"

/** If tasks have waited for longer, any worker may claim them. */
#define LEVEL_WAIT_MS 500

/** Capacity for an urgent task, percent of a worker's capacity. */
#define URGENT_PCT 13
/** One in this many workers must have free capacity for an urgent task. */
#define WORKERS_A_ROOM 3

static void subtract(gn_batch_share_t *share, const gn_batch_member_t *member)
{
	if (!member->open)
		return;
	assert(share->workers > 0 && share->placed >= member->placed);
	share->workers--;
	share->placed -= member->placed;
	share->roomy -= member->roomy;
}

static void add(gn_batch_share_t *share, const gn_batch_member_t *member)
{
	if (!member->open)
		return;
	share->workers++;
	share->placed += member->placed;
	share->roomy += member->roomy;
}

void gn_batch_share_set(gn_batch_share_t *share, gn_batch_member_t *member,
			bool open, unsigned placed)
{
	subtract(share, member);
	member->open = open;
	member->placed = placed;
	add(share, member);
}

/**
 * Whether tasks have been waiting without interruption for longer than the
 * limit; records since when.
 */
static bool has_waited_long(gn_batch_share_t *share, size_t waiting,
			    uint64_t now_us)
{
	if (!waiting)
		share->waiting_us = 0;
	else if (!share->waiting_us)
		share->waiting_us = now_us;
	return waiting && now_us - share->waiting_us >
				  (uint64_t)LEVEL_WAIT_MS * GN_US_PER_MS;
}

unsigned gn_batch_share_get(gn_batch_share_t *share,
			    const gn_batch_member_t *member, size_t waiting,
			    uint64_t now_us)
{
	uint64_t workers = share->workers ? share->workers : 1;
	uint64_t level = (share->placed + waiting + workers - 1) / workers;

	if (has_waited_long(share, waiting, now_us))
		return (unsigned)(waiting / workers) + 1;
	return level > member->placed ? (unsigned)(level - member->placed) : 0;
}

static unsigned urgent_part(unsigned whole)
{
	return (unsigned)((uint64_t)whole * URGENT_PCT / 100);
}

void gn_batch_share_limit(const gn_batch_share_t *share,
			  const gn_batch_member_t *member, unsigned most,
			  gn_batch_worker_t *worker)
{
	bool counted = member->open && member->roomy;
	unsigned others = share->roomy - counted;
	unsigned kept = others < share->workers / WORKERS_A_ROOM;
	unsigned ordinary =
		worker->free_tasks > kept ? worker->free_tasks - kept : 0;

	ordinary = MIN(ordinary, most);
	worker->kept_tasks = worker->free_tasks - ordinary;
	worker->kept_cores = kept * urgent_part(worker->cores);
	worker->kept_memory_mb = kept * urgent_part(worker->memory_mb);
}

void gn_batch_share_note_room(gn_batch_share_t *share,
			      gn_batch_member_t *member,
			      const gn_batch_worker_t *worker)
{
	subtract(share, member);
	member->roomy =
		worker->free_tasks > 0 &&
		worker->free_cores >= urgent_part(worker->cores) &&
		worker->free_memory_mb >= urgent_part(worker->memory_mb);
	add(share, member);
}
