#include "member/cell_head.h"

#include <assert.h>
#include <string.h>

/** State of a member of the cell, from its heartbeats. */
typedef struct member_s {
	bool is_known;
	uint64_t sequence; /**< Sequence number of the last heartbeat. */
	uint64_t last_heartbeat_us;
	uint64_t changed_round; /**< First round that reports this status. */
	gn_cell_status_t status;
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
	uint64_t last_changed_round; /**< Highest changed_round of a member. */
	uint64_t acked_sequence[GN_CELL_ENTRIES_MAX];
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

static bool is_older(const member_t *member,
		     const gn_cell_heartbeat_t *heartbeat)
{
	if (heartbeat->status.incarnation != member->status.incarnation)
		return heartbeat->status.incarnation <
		       member->status.incarnation;
	return heartbeat->sequence <= member->sequence;
}

static void mark_member_changed(gn_cell_head_t *head, member_t *member)
{
	member->changed_round = head->round + 1;
	head->last_changed_round = member->changed_round;
}

gn_code_t gn_cell_head_on_heartbeat(gn_cell_head_t *head,
				    const gn_cell_heartbeat_t *heartbeat)
{
	member_t *member;
	bool is_changed;

	if (heartbeat->status.rank >= head->size)
		return GN_ERR_RANGE;
	member = &head->members[heartbeat->status.rank];
	if (member->is_known && is_older(member, heartbeat))
		return GN_ERR_STALE;
	is_changed =
		!member->is_known || member->status.is_gone ||
		member->status.incarnation != heartbeat->status.incarnation ||
		member->status.version != heartbeat->status.version;
	member->is_known = true;
	member->sequence = heartbeat->sequence;
	member->last_heartbeat_us = gn_clock_now_us(head->clock);
	member->status = heartbeat->status;
	member->status.is_gone = false;
	if (is_changed)
		mark_member_changed(head, member);
	return GN_OK;
}

void gn_cell_head_start_round(gn_cell_head_t *head)
{
	uint64_t now_us = gn_clock_now_us(head->clock);

	for (unsigned i = 0; i < head->size; i++) {
		member_t *member = &head->members[i];

		if (!member->is_known || member->status.is_gone ||
		    now_us - member->last_heartbeat_us < head->times.timeout_us)
			continue;
		member->status.is_gone = true;
		mark_member_changed(head, member);
	}
	head->round++;
}

void gn_cell_head_on_ack(gn_cell_head_t *head, unsigned entry,
			 const gn_cell_ack_t *ack)
{
	assert(entry < GN_CELL_ENTRIES_MAX);
	if (ack->head_incarnation != head->incarnation ||
	    ack->applied_sequence > head->round)
		return;
	head->acked_sequence[entry] = ack->applied_sequence;
}

static bool has_live_members(const gn_cell_head_t *head)
{
	for (unsigned i = 0; i < head->size; i++)
		if (head->members[i].is_known &&
		    !head->members[i].status.is_gone)
			return true;
	return false;
}

/**
 * Adds the statuses that the entry does not have. A gone member is reported
 * only to an entry that may have seen it live.
 */
static void add_statuses(const gn_cell_head_t *head, gn_cell_summary_t *summary)
{
	for (unsigned i = 0; i < head->size; i++) {
		const member_t *member = &head->members[i];

		if (!member->is_known ||
		    member->changed_round <= summary->base_sequence)
			continue;
		if (member->status.is_gone && !summary->base_sequence)
			continue;
		summary->statuses[summary->count++] = member->status;
	}
}

bool gn_cell_head_make_summary(const gn_cell_head_t *head, unsigned entry,
			       gn_cell_summary_t *summary)
{
	uint64_t age_us = gn_clock_now_us(head->clock) - head->started_us;

	assert(entry < GN_CELL_ENTRIES_MAX);
	if (age_us < head->times.timeout_us / 2)
		return false;
	if (!has_live_members(head) &&
	    head->acked_sequence[entry] >= head->last_changed_round)
		return false;
	summary->cell = head->cell;
	summary->head_rank = head->rank;
	summary->head_incarnation = head->incarnation;
	summary->sequence = head->round;
	summary->base_sequence = head->acked_sequence[entry];
	summary->count = 0;
	add_statuses(head, summary);
	return true;
}
