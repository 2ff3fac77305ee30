/**
 * @file cell_head.h
 * @brief The head's side of a cell: members heard, summaries to entries.
 *
 * Every agent has one of these, as any may become the head. A summary holds
 * the lines that changed since the last one its entry acknowledged, so a lost
 * summary is made good by the next; an entry that knows nothing gets all.
 */
#ifndef GN_MEMBER_CELL_HEAD_H
#define GN_MEMBER_CELL_HEAD_H

#include "member/cell.h"

/** Most entries of a data centre that a head reports to. */
#define GN_CELL_ENTRIES_MAX 16

/** From a head to an entry. */
typedef struct gn_cell_summary_s {
	uint32_t cell; /**< in the layout of the data centre */
	unsigned head; /**< rank of the sender */
	uint64_t head_incarnation;
	uint64_t sequence; /**< of this round, from 1 */
	uint64_t base; /**< holds all changes after this one; 0: everything */
	unsigned count; /**< lines, 0..GN_CELL_SIZE_MAX */
	gn_cell_line_t lines[GN_CELL_SIZE_MAX];
} gn_cell_summary_t;

/** From an entry to a head. */
typedef struct gn_cell_ack_s {
	uint64_t head_incarnation; /**< of the summary that is answered */
	uint64_t applied; /**< the last sequence applied; 0: send everything */
} gn_cell_ack_t;

/** A head. */
typedef struct gn_cell_head_s gn_cell_head_t;

/**
 * Creates the head of rank @p rank in cell @p cell of @p size workers.
 * @return NULL if memory is short
 */
gn_cell_head_t *gn_cell_head_create(TALLOC_CTX *parent, const gn_clock_t *clock,
				    const gn_cell_times_t *times, uint32_t cell,
				    unsigned rank, unsigned size,
				    uint64_t incarnation);

/* ======   Commands   ====== */

/**
 * Takes a beat of a member, or of the agent itself.
 * @return GN_OK, GN_ERR_RANGE (no such rank) or GN_ERR_STALE (an older one)
 */
gn_code_t gn_cell_head_beat(gn_cell_head_t *head, const gn_cell_beat_t *beat);

/** Begins a round of summaries; members silent for the timeout are gone. */
void gn_cell_head_round(gn_cell_head_t *head);

/** Takes the acknowledgement of entry @p entry, 0..GN_CELL_ENTRIES_MAX - 1. */
void gn_cell_head_acked(gn_cell_head_t *head, unsigned entry,
			const gn_cell_ack_t *ack);

/* ======   Queries   ====== */

/**
 * Makes this round's summary for entry @p entry.
 *
 * A head that has just started stays silent for half a timeout, until its
 * members have beaten to it: a summary without them would hide live workers.
 * @return false if there is nothing to vouch for, or it is too early
 */
bool gn_cell_head_summary(const gn_cell_head_t *head, unsigned entry,
			  gn_cell_summary_t *summary);

#endif
