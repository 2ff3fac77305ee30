/**
 * @file cell.h
 * @brief Cells: groups of workers whose agents report through one of them.
 *
 * An entry cannot receive heartbeats from every worker of its data centre
 * within the traffic limit of a node. Workers are therefore grouped into
 * cells by rack. The agents of a cell send heartbeats to the cell's head, the
 * first live agent in inventory order, and the head sends one summary to each
 * entry of its data centre. If two agents act as head at the same time, the
 * only cost is traffic: every status has a version that its own worker
 * increments, and receivers keep the highest.
 *
 * This module does no I/O and must be called from the control thread only.
 */
#ifndef GN_MEMBER_CELL_H
#define GN_MEMBER_CELL_H

#include <stdbool.h>
#include <talloc.h>

#include "common/clock.h"

/** Number of workers up to which a cell is filled. */
#define GN_CELL_SIZE 27
/** Maximum number of workers of a cell; a 64-bit set holds one bit for each. */
#define GN_CELL_SIZE_MAX 64

/** Heartbeat interval and timeout of a cell. */
typedef struct gn_cell_times_s {
	/** Time between two heartbeats of an agent, 50 ms to 10 s. */
	uint64_t interval_us;
	/**
	 * Time without a message after which a peer counts as failed, at least
	 * 3 intervals.
	 */
	uint64_t timeout_us;
} gn_cell_times_t;

/** Load of one worker, measured by its agent. */
typedef struct gn_cell_load_s {
	uint32_t running_requests;
	uint32_t running_tasks;
	/** Smoothed time that a request takes at the backend server. */
	uint32_t service_time_us;
	uint32_t tail_time_us; /**< 99th percentile of the last window. */
	bool is_draining;
	bool is_backend_up;
} gn_cell_load_t;

/** Status of one worker. */
typedef struct gn_cell_status_s {
	unsigned rank; /**< Position in the cell, in inventory order. */
	/** Incarnation of the agent; each start has a higher one. */
	uint64_t incarnation;
	/** Incremented by the agent on each significant load change. */
	uint64_t version;
	gn_cell_load_t load;
	/**
	 * Whether the sender has stopped receiving this worker's heartbeats.
	 */
	bool is_gone;
} gn_cell_status_t;

/** Message from an agent to a head. */
typedef struct gn_cell_heartbeat_s {
	uint64_t sequence; /**< Interval counter of the agent. */
	gn_cell_status_t status;
} gn_cell_heartbeat_t;

/**
 * Agent of one worker. It selects the head that receives its heartbeats, and
 * acts as the head if no lower rank answers.
 */
typedef struct gn_cell_agent_s gn_cell_agent_t;

/**
 * Creates the agent of rank @p rank in a cell of @p size workers.
 * @param clock must outlive the agent
 * @param rank 0..@p size - 1
 * @param size 1..GN_CELL_SIZE_MAX
 * @param incarnation higher than in all earlier starts of this agent
 * @return NULL if out of memory
 */
gn_cell_agent_t *gn_cell_agent_create(TALLOC_CTX *parent,
				      const gn_clock_t *clock,
				      const gn_cell_times_t *times,
				      unsigned rank, unsigned size,
				      uint64_t incarnation);

/* ======   Commands   ====== */

/** Updates the load; a significant change increments the status version. */
void gn_cell_agent_update_load(gn_cell_agent_t *agent,
			       const gn_cell_load_t *load);

/**
 * Starts a new interval, and selects the next candidate for head if the
 * current one has timed out.
 */
void gn_cell_agent_tick(gn_cell_agent_t *agent);

/**
 * Fills in the heartbeat of this interval. The caller sends it to the target,
 * to the rank being probed, and to the agent's own head if the agent reports.
 */
void gn_cell_agent_make_heartbeat(gn_cell_agent_t *agent,
				  gn_cell_heartbeat_t *heartbeat);

/** Handles a heartbeat acknowledgement from rank @p sender, 0..size - 1. */
void gn_cell_agent_on_ack(gn_cell_agent_t *agent, unsigned sender);

/* ======   Queries   ====== */

/** Returns the rank this agent considers the head, which may be its own. */
unsigned gn_cell_agent_head_rank(const gn_cell_agent_t *agent);

/**
 * Returns the lower rank to probe in this interval, so that the agent detects
 * a head that has come back.
 * @param[out] rank set only if the result is true
 * @return false if there is nothing to probe in this interval
 */
bool gn_cell_agent_probe_target(const gn_cell_agent_t *agent, unsigned *rank);

/**
 * Whether the agent reports its status to the entries itself, either
 * because it is the head or because it currently has none.
 */
bool gn_cell_agent_is_reporting(const gn_cell_agent_t *agent);

/**
 * Whether @p now differs significantly from @p before.
 *
 * Ignoring small changes keeps a busy worker from sending a new status with
 * every heartbeat. Responses carry the exact load anyway.
 */
bool gn_cell_load_differs(const gn_cell_load_t *before,
			  const gn_cell_load_t *now);

#endif
