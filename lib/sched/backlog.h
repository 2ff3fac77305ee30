/**
 * @file backlog.h
 * @brief Decides which jobs are refused because too many tasks wait.
 *
 * The limit grows with the number of workers, since a large fleet drains a
 * longer backlog in the same time, up to what a leader can hold in memory. A
 * refused caller is told when the backlog will be short enough: the callers
 * share the rate at which tasks are taken, in the order in which they were
 * refused, so that they do not all return at once.
 *
 * Load: many large jobs are submitted at once, far more than the workers can
 * run soon.
 */
#ifndef GN_SCHED_BACKLOG_H
#define GN_SCHED_BACKLOG_H

#include <stddef.h>
#include <stdint.h>

/** Limits on waiting tasks, whatever the number of workers. */
#define GN_BACKLOG_TASKS_MIN 20000
#define GN_BACKLOG_TASKS_MAX 400000
/** Bounds of the time after which a refused caller may return. */
#define GN_BACKLOG_RETRY_MIN_MS 1000
#define GN_BACKLOG_RETRY_MAX_MS 30000

/** State of the decisions; zero-initialized. */
typedef struct gn_backlog_s {
	double tasks_per_s; /**< Smoothed rate at which tasks are taken. */
	uint64_t counted; /**< Tasks taken since updated_us. */
	uint64_t updated_us;
	/** Time by which all that was refused so far can be accepted. */
	uint64_t promised_us;
} gn_backlog_t;

/** Counts a task that no longer waits because a worker takes it. */
void gn_backlog_count_taken(gn_backlog_t *backlog, uint64_t now_us);

/**
 * Decides whether a job is accepted.
 * @param waiting number of tasks that wait
 * @param tasks number of tasks of the job that will wait
 * @return 0 if it is accepted, else the time after which the caller may
 *         return, in ms
 */
unsigned gn_backlog_admit(gn_backlog_t *backlog, size_t waiting, size_t tasks,
			  size_t workers, uint64_t now_us);

#endif
