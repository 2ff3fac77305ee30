/**
 * @file cell_view.h
 * @brief The entry's side of cells: which workers live, with what load.
 *
 * A line changes only towards a higher (incarnation, version), whichever head
 * sent it and in whatever order. A worker is live while at least one head
 * that is not silent vouches for it.
 */
#ifndef GN_MEMBER_CELL_VIEW_H
#define GN_MEMBER_CELL_VIEW_H

#include "member/cell_head.h"

/** Most cells of a data centre. */
#define GN_CELLS_MAX 1024

/** What an entry knows of the cells of its data centre. */
typedef struct gn_cell_view_s gn_cell_view_t;

/**
 * Creates an empty view.
 * @param sizes workers of each cell, 1..GN_CELL_SIZE_MAX each
 * @param cell_count 1..GN_CELLS_MAX
 * @return NULL if memory is short
 */
gn_cell_view_t *gn_cell_view_create(TALLOC_CTX *parent, const gn_clock_t *clock,
				    const gn_cell_times_t *times,
				    const unsigned *sizes, size_t cell_count);

/* ======   Commands   ====== */

/**
 * Takes a summary and fills in the acknowledgement to send, also on errors.
 * @return GN_OK, GN_ERR_RANGE (no such cell, head or worker; nothing is
 *         applied), GN_ERR_STALE (an older one) or GN_ERR_CONFLICT (it builds
 *         on one that is missing here; the acknowledgement asks for all)
 */
gn_code_t gn_cell_view_apply(gn_cell_view_t *view,
			     const gn_cell_summary_t *summary,
			     gn_cell_ack_t *ack);

/** Withdraws what silent heads vouched for; call it each interval. */
void gn_cell_view_expire(gn_cell_view_t *view);

/* ======   Queries   ====== */

/**
 * The worker of rank @p rank in cell @p cell.
 * @param line filled in if the worker was ever heard of, else zeroed
 * @return whether it is live
 */
bool gn_cell_view_worker(const gn_cell_view_t *view, uint32_t cell,
			 unsigned rank, gn_cell_line_t *line);

/** How many workers are live. */
size_t gn_cell_view_live(const gn_cell_view_t *view);

#endif
