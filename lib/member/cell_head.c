#include "member/cell_head.h"

#include <assert.h>
#include <string.h>

typedef struct member_s {
	bool is_known;
	uint64_t sequence; /**< of the last beat */
	uint64_t heard_us;
	uint64_t changed; /**< the round that first told of the line */
	gn_cell_line_t line;
} member_t;

struct gn_cell_head_s {
	const gn_clock_t *clock;
	gn_cell_times_t times;
	uint32_t cell;
	unsigned rank;
	unsigned size;
	uint64_t incarnation;
	uint64_t started_us;
	uint64_t round;
	uint64_t last_change; /**< the round of the newest line */
	uint64_t acked[GN_CELL_ENTRIES_MAX];
	member_t *members;
};

gn_cell_head_t *gn_cell_head_create(TALLOC_CTX *parent, const gn_clock_t *clock,
				    const gn_cell_times_t *times, uint32_t cell,
				    unsigned rank, unsigned size,
				    uint64_t incarnation)
{
	gn_cell_head_t *head = talloc_zero(parent, gn_cell_head_t);

	assert(size && size <= GN_CELL_SIZE_MAX && rank < size);
	if (!head)
		return NULL;
	head->clock = clock;
	head->times = *times;
	head->cell = cell;
	head->rank = rank;
	head->size = size;
	head->incarnation = incarnation;
	head->started_us = gn_clock_now_us(clock);
	head->members = talloc_zero_array(head, member_t, size);
	if (!head->members)
		TALLOC_FREE(head);
	return head;
}

static bool is_older(const member_t *member, const gn_cell_beat_t *beat)
{
	if (beat->line.incarnation != member->line.incarnation)
		return beat->line.incarnation < member->line.incarnation;
	return beat->sequence <= member->sequence;
}

static void mark_changed(gn_cell_head_t *head, member_t *member)
{
	member->changed = head->round + 1;
	head->last_change = member->changed;
}

gn_code_t gn_cell_head_beat(gn_cell_head_t *head, const gn_cell_beat_t *beat)
{
	member_t *member;
	bool is_changed;

	if (beat->line.rank >= head->size)
		return GN_ERR_RANGE;
	member = &head->members[beat->line.rank];
	if (member->is_known && is_older(member, beat))
		return GN_ERR_STALE;
	is_changed = !member->is_known || member->line.is_gone ||
		     member->line.incarnation != beat->line.incarnation ||
		     member->line.version != beat->line.version;
	member->is_known = true;
	member->sequence = beat->sequence;
	member->heard_us = gn_clock_now_us(head->clock);
	member->line = beat->line;
	member->line.is_gone = false;
	if (is_changed)
		mark_changed(head, member);
	return GN_OK;
}

void gn_cell_head_round(gn_cell_head_t *head)
{
	uint64_t now_us = gn_clock_now_us(head->clock);

	for (unsigned i = 0; i < head->size; i++) {
		member_t *member = &head->members[i];

		if (!member->is_known || member->line.is_gone ||
		    now_us - member->heard_us < head->times.timeout_us)
			continue;
		member->line.is_gone = true;
		mark_changed(head, member);
	}
	head->round++;
}

void gn_cell_head_acked(gn_cell_head_t *head, unsigned entry,
			const gn_cell_ack_t *ack)
{
	assert(entry < GN_CELL_ENTRIES_MAX);
	if (ack->head_incarnation != head->incarnation ||
	    ack->applied > head->round)
		return;
	head->acked[entry] = ack->applied;
}

static bool has_members(const gn_cell_head_t *head)
{
	for (unsigned i = 0; i < head->size; i++)
		if (head->members[i].is_known && !head->members[i].line.is_gone)
			return true;
	return false;
}

/** Lines that the entry lacks; a gone one only if it knew the live one. */
static void add_lines(const gn_cell_head_t *head, gn_cell_summary_t *summary)
{
	for (unsigned i = 0; i < head->size; i++) {
		const member_t *member = &head->members[i];

		if (!member->is_known || member->changed <= summary->base)
			continue;
		if (member->line.is_gone && !summary->base)
			continue;
		summary->lines[summary->count++] = member->line;
	}
}

bool gn_cell_head_summary(const gn_cell_head_t *head, unsigned entry,
			  gn_cell_summary_t *summary)
{
	uint64_t age_us = gn_clock_now_us(head->clock) - head->started_us;

	assert(entry < GN_CELL_ENTRIES_MAX);
	if (age_us < head->times.timeout_us / 2)
		return false;
	if (!has_members(head) && head->acked[entry] >= head->last_change)
		return false;
	summary->cell = head->cell;
	summary->head = head->rank;
	summary->head_incarnation = head->incarnation;
	summary->sequence = head->round;
	summary->base = head->acked[entry];
	summary->count = 0;
	add_lines(head, summary);
	return true;
}
