/**
 * @file cell_head.h
 * @brief Head of a cell: receives heartbeats and makes summaries for entries.
 *
 * Every agent has a head object, since any agent may become the head. A
 * summary contains the statuses that have changed since the last summary the
 * entry acknowledged, so the next summary makes up for a lost one. An entry
 * that has acknowledged none receives all statuses.
 */
#ifndef GN_MEMBER_CELL_HEAD_H
#define GN_MEMBER_CELL_HEAD_H

#include "member/cell.h"

/** Maximum number of entries of a data centre that a head reports to. */
#define GN_CELL_ENTRIES_MAX 16

/** Message from a head to an entry. */
typedef struct gn_cell_summary_s {
	uint32_t cell; /**< Index of the cell in the data centre. */
	unsigned head_rank; /**< Rank of the sender. */
	uint64_t head_incarnation;
	uint64_t sequence; /**< Round in which it was made, from 1. */
	/**
	 * The summary contains all changes after the summary with this sequence
	 * number; 0 if it contains all statuses.
	 */
	uint64_t base_sequence;
	unsigned count; /**< Number of statuses, 0..GN_CELL_SIZE_MAX. */
	gn_cell_status_t statuses[GN_CELL_SIZE_MAX];
} gn_cell_summary_t;

/** Message from an entry to a head. */
typedef struct gn_cell_ack_s {
	/** Head incarnation of the summary being acknowledged. */
	uint64_t head_incarnation;
	/** Last sequence number applied; 0 requests all statuses. */
	uint64_t applied_sequence;
} gn_cell_ack_t;

/** Head of a cell. */
typedef struct gn_cell_head_s gn_cell_head_t;

/**
 * Creates the head of rank @p rank in cell @p cell of @p size workers.
 * @param clock must outlive the head
 * @return NULL if out of memory
 */
gn_cell_head_t *gn_cell_head_create(TALLOC_CTX *parent, const gn_clock_t *clock,
				    const gn_cell_times_t *times, uint32_t cell,
				    unsigned rank, unsigned size,
				    uint64_t incarnation);

/* ======   Commands   ====== */

/**
 * Handles a heartbeat of a member or of the head's own agent.
 * @return GN_OK, GN_ERR_RANGE (rank out of range) or GN_ERR_STALE (older than
 *         one already received)
 */
gn_code_t gn_cell_head_on_heartbeat(gn_cell_head_t *head,
				    const gn_cell_heartbeat_t *heartbeat);

/**
 * Starts a round of summaries. Members without a heartbeat within the timeout
 * are marked as gone.
 */
void gn_cell_head_start_round(gn_cell_head_t *head);

/**
 * Handles a summary acknowledgement from entry @p entry,
 * 0..GN_CELL_ENTRIES_MAX - 1.
 */
void gn_cell_head_on_ack(gn_cell_head_t *head, unsigned entry,
			 const gn_cell_ack_t *ack);

/* ======   Queries   ====== */

/**
 * Makes the summary of this round for entry @p entry.
 *
 * A head that has just started sends nothing for half a timeout, until its
 * members have sent it heartbeats: a summary without them would make live
 * workers appear to be gone.
 * @return false if there is nothing to report or it is too early
 */
bool gn_cell_head_make_summary(const gn_cell_head_t *head, unsigned entry,
			       gn_cell_summary_t *summary);

#endif
