#include "occurrence/occurrence.h"

#include <glib.h>

#define PER_BYTE 4
#define STATE_BITS 2
#define STATE_MASK 3

void gn_occurrences_init(gn_occurrences_t *all, uint32_t count)
{
	*all = (gn_occurrences_t){ .count = count };
	all->states = g_malloc0(count / PER_BYTE + 1);
}

void gn_occurrences_clear(gn_occurrences_t *all)
{
	g_free(all->states);
	*all = (gn_occurrences_t){ 0 };
}

gn_occurrence_state_t gn_occurrences_get(const gn_occurrences_t *all,
					 uint32_t number)
{
	unsigned shift = number % PER_BYTE * STATE_BITS;

	return (all->states[number / PER_BYTE] >> shift) & STATE_MASK;
}

void gn_occurrences_set(gn_occurrences_t *all, uint32_t number,
			gn_occurrence_state_t state)
{
	gn_occurrence_state_t before = gn_occurrences_get(all, number);
	unsigned shift = number % PER_BYTE * STATE_BITS;
	uint8_t *byte = &all->states[number / PER_BYTE];

	all->open -= before == GN_OCCURRENCE_OPEN;
	all->done -= before == GN_OCCURRENCE_DONE;
	all->open += state == GN_OCCURRENCE_OPEN;
	all->done += state == GN_OCCURRENCE_DONE;
	*byte = (uint8_t)((*byte & ~(STATE_MASK << shift)) |
			  ((unsigned)state << shift));
}

uint32_t gn_occurrences_first_waiting(gn_occurrences_t *all)
{
	while (all->first_waiting < all->count &&
	       gn_occurrences_get(all, all->first_waiting) !=
		       GN_OCCURRENCE_WAITING)
		all->first_waiting++;
	return all->first_waiting;
}

bool gn_occurrence_may_open(const gn_occurrence_room_t *room)
{
	if (room->all_tasks &&
	    room->all_tasks + room->width > GN_OCCURRENCE_TASKS_MAX)
		return false;
	return !room->job_tasks ||
	       room->job_tasks + room->width <= GN_OCCURRENCE_JOB_TASKS_MAX;
}

bool gn_occurrence_may_accept(size_t width, size_t all_tasks)
{
	return !all_tasks || all_tasks + width <= GN_OCCURRENCE_TASKS_MAX;
}
