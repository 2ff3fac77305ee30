/**
 * @file cell_view.h
 * @brief Entry's view of the cells: which workers are live, and their load.
 *
 * A status is replaced only by one with a higher (incarnation, version),
 * whichever head sent it and in whatever order. A worker is live while at
 * least one head that has not timed out reports it as live.
 */
#ifndef GN_MEMBER_CELL_VIEW_H
#define GN_MEMBER_CELL_VIEW_H

#include "member/cell_head.h"

/** Maximum number of cells of a data centre. */
#define GN_CELLS_MAX 1024

/** View of the cells of one data centre. */
typedef struct gn_cell_view_s gn_cell_view_t;

/**
 * Creates an empty view.
 * @param clock must outlive the view
 * @param sizes number of workers of each cell, 1..GN_CELL_SIZE_MAX
 * @param cell_count 1..GN_CELLS_MAX
 * @return NULL if out of memory
 */
gn_cell_view_t *gn_cell_view_create(TALLOC_CTX *parent, const gn_clock_t *clock,
				    const gn_cell_times_t *times,
				    const unsigned *sizes, size_t cell_count);

/* ======   Commands   ====== */

/**
 * Applies a summary and fills in the acknowledgement to send, also on error.
 * @return GN_OK, GN_ERR_RANGE (cell, head or worker out of range; nothing is
 *         applied), GN_ERR_STALE (older than one already applied) or
 *         GN_ERR_CONFLICT (its base summary was not applied here; the
 *         acknowledgement requests all statuses)
 */
gn_code_t gn_cell_view_apply(gn_cell_view_t *view,
			     const gn_cell_summary_t *summary,
			     gn_cell_ack_t *ack);

/** Discards the reports of heads that timed out; call it every interval. */
void gn_cell_view_expire(gn_cell_view_t *view);

/* ======   Queries   ====== */

/**
 * Returns the status of the worker of rank @p rank in cell @p cell.
 * @param[out] status the last known status, zeroed if there is none; the rank
 *             and is_gone are always set
 * @return whether the worker is live
 */
bool gn_cell_view_get_worker(const gn_cell_view_t *view, uint32_t cell,
			     unsigned rank, gn_cell_status_t *status);

/** Returns the number of live workers. */
size_t gn_cell_view_live_count(const gn_cell_view_t *view);

#endif
