/**
 * @file cell.h
 * @brief Cells: a rack group whose agents report through one of them.
 *
 * An entry can't hear from each worker of its data centre within the bytes
 * that a node may spend. The agents of a cell beat to the cell's head, the
 * first live agent by inventory order; the head sends one summary to each
 * entry of its data centre. A second head costs bytes only: every line has a
 * version that its own worker counts, and a receiver keeps the highest.
 *
 * This module has no I/O. It is used from the control thread alone.
 */
#ifndef GN_MEMBER_CELL_H
#define GN_MEMBER_CELL_H

#include <stdbool.h>
#include <talloc.h>

#include "common/clock.h"

/** Workers that a cell is filled up to. */
#define GN_CELL_SIZE 27
/** Most workers of a cell: one bit each in a set of 64. */
#define GN_CELL_SIZE_MAX 64

/** Beats of a cell. */
typedef struct gn_cell_times_s {
	uint64_t interval_us; /**< between beats, 50 ms..10 s */
	uint64_t
		timeout_us; /**< silence that ends trust, 3 intervals at least */
} gn_cell_times_t;

/** The load of one worker, as its agent saw it. */
typedef struct gn_cell_load_s {
	uint32_t running_requests;
	uint32_t running_tasks;
	uint32_t service_time_us; /**< smoothed time of one request */
	uint32_t tail_time_us; /**< p99 of the last window */
	bool is_draining;
	bool is_backend_up;
} gn_cell_load_t;

/** What is known of one worker. */
typedef struct gn_cell_line_s {
	unsigned rank; /**< place in the cell by inventory order */
	uint64_t
		incarnation; /**< of the agent; a later start has a higher one */
	uint64_t version; /**< counted by the agent with each material change */
	gn_cell_load_t load;
	bool is_gone; /**< the sender no longer hears this worker */
} gn_cell_line_t;

/** From an agent to a head. */
typedef struct gn_cell_beat_s {
	uint64_t sequence; /**< counted by the agent */
	gn_cell_line_t line;
} gn_cell_beat_t;

/** One agent of a cell: to whom it beats, and whether it is the head. */
typedef struct gn_cell_agent_s gn_cell_agent_t;

/**
 * Creates the agent of rank @p rank in a cell of @p size workers.
 * @param rank 0..@p size - 1
 * @param size 1..GN_CELL_SIZE_MAX
 * @param incarnation higher than those of earlier starts of this agent
 * @return NULL if memory is short
 */
gn_cell_agent_t *gn_cell_agent_create(TALLOC_CTX *parent,
				      const gn_clock_t *clock,
				      const gn_cell_times_t *times,
				      unsigned rank, unsigned size,
				      uint64_t incarnation);

/* ======   Commands   ====== */

/** Takes a new load; a material change raises the version of the line. */
void gn_cell_agent_observe(gn_cell_agent_t *agent, const gn_cell_load_t *load);

/** Moves on to another candidate where the present one is silent. */
void gn_cell_agent_tick(gn_cell_agent_t *agent);

/** Fills in the beat of this interval; it goes to every rank to be told. */
void gn_cell_agent_beat(gn_cell_agent_t *agent, gn_cell_beat_t *beat);

/** Takes the acknowledgement of rank @p from; 0..size - 1. */
void gn_cell_agent_acked(gn_cell_agent_t *agent, unsigned from);

/* ======   Queries   ====== */

/** The rank that this agent takes for the head; its own if it is the head. */
unsigned gn_cell_agent_target(const gn_cell_agent_t *agent);

/**
 * The lower rank to probe in this interval, so that a returned head is found.
 * @return false if there is none
 */
bool gn_cell_agent_probe(const gn_cell_agent_t *agent, unsigned *rank);

/** Whether the agent tells the entries of itself: head, or without a head. */
bool gn_cell_agent_reports(const gn_cell_agent_t *agent);

/**
 * Whether @p now differs from @p before by enough to tell.
 *
 * The bound on small moves keeps a busy worker from sending a line each beat;
 * exact loads travel with each answer anyway.
 */
bool gn_cell_load_differs(const gn_cell_load_t *before,
			  const gn_cell_load_t *now);

#endif
