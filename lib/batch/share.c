#include "batch/share.h"

#include <assert.h>

#include "common/clock.h"

/** Tasks that wait for longer go to any worker, milliseconds. */
#define LEVEL_WAIT_MS 500

static void subtract(gn_batch_share_t *share, const gn_batch_member_t *member)
{
	if (!member->open)
		return;
	assert(share->workers > 0 && share->placed >= member->placed);
	share->workers--;
	share->placed -= member->placed;
}

void gn_batch_share_set(gn_batch_share_t *share, gn_batch_member_t *member,
			bool open, unsigned placed)
{
	subtract(share, member);
	member->open = open;
	member->placed = placed;
	if (!open)
		return;
	share->workers++;
	share->placed += placed;
}

/** Notes since when tasks have been waiting without a break. */
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
