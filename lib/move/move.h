/**
 * @file move.h
 * @brief Decides whether a slow task gains by a move to another worker.
 *
 * A best-effort task is throttled beside serving tasks and may run faster
 * elsewhere. A move costs a stop, a new claim and start, and the time to resume
 * from the checkpoint. For a task that is nearly done, that is longer than the
 * rest of its run, and the capacity it takes is lost to others.
 *
 * Load: serving tasks need more headroom at the peaks of their demand, so that
 * many best-effort tasks become slow at the same time.
 */
#ifndef GN_MOVE_MOVE_H
#define GN_MOVE_MOVE_H

#include <stdbool.h>

/** What is known of a task that runs slowly. */
typedef struct gn_move_task_s {
	double estimate_ms; /**< Estimated run time at full speed; above 0. */
	double done_ms; /**< Part of it that is done. */
	double speed; /**< Present share of full speed, 0 to 1. */
	/** Share of full speed that it would reach elsewhere, 0 to 1. */
	double other_speed;
	double restore_ms; /**< Time to resume from a checkpoint. */
} gn_move_task_t;

/** Whether the task is expected to end clearly earlier by a move. */
bool gn_move_pays(const gn_move_task_t *task);

#endif
