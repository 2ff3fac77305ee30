#include "sched/room.h"

#include <math.h>

#include "gypsumnotch.h"

/** Minimum time between updates of the rate. */
#define UPDATE_US (200 * GN_US_PER_MS)
/** Time constant of the rate, longer than most tasks run. */
#define SMOOTHING_US (3000 * GN_US_PER_MS)

void gn_room_count_done(gn_room_t *room, double work)
{
	room->done += work;
}

void gn_room_update(gn_room_t *room, bool is_short, double usable_milli,
		    uint64_t now_us)
{
	uint64_t passed_us = now_us - room->updated_us;
	double rate;

	if (room->started_us && passed_us < UPDATE_US)
		return;
	if (!room->started_us) {
		room->cpu_milli = usable_milli;
		room->started_us = now_us;
		room->turn_us = now_us;
	} else {
		rate = room->done * GN_US_PER_MS / (double)passed_us;
		/* Without a shortage, less work is finished than could be. */
		if (!is_short && rate < usable_milli)
			rate = usable_milli;
		room->cpu_milli +=
			(1 - exp(-(double)passed_us / SMOOTHING_US)) *
			(rate - room->cpu_milli);
	}
	room->done = 0;
	room->updated_us = now_us;
}

bool gn_room_fits(const gn_room_t *room, double ahead, double work,
		  uint64_t deadline_us, uint64_t now_us)
{
	double left_ms;

	if (!room->started_us || room->cpu_milli <= 0 ||
	    now_us - room->started_us < SMOOTHING_US)
		return true;
	if (deadline_us <= now_us)
		return false;
	left_ms = (double)(deadline_us - now_us) / GN_US_PER_MS;
	return (ahead + work) / room->cpu_milli <= left_ms;
}

bool gn_room_has_turn(const gn_room_t *room, uint64_t accepted_us,
		      uint64_t now_us)
{
	return now_us - accepted_us >= GN_ROOM_PATIENCE_MS * GN_US_PER_MS &&
	       now_us - room->turn_us >= GN_ROOM_TURN_MS * GN_US_PER_MS;
}
