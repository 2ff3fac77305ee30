/**
 * @file sharing.h
 * @brief Decides how much headroom serving tasks keep beside best-effort tasks.
 *
 * The headroom of a serving task is its latency target divided by its tail
 * latency (sched/interference.h). What is kept above 1 absorbs load that rises
 * before best-effort tasks are throttled; the rest is used by best-effort tasks.
 * With spare capacity, keeping more serves the callers of serving tasks better
 * and costs nobody anything. When best-effort work queues up, it makes jobs
 * late. So the goal follows the slack of the jobs that wait:
 *
 * - It falls while jobs that can still be in time are about to lose most of
 *   their slack, processors are free, and the callers of serving tasks get what
 *   they were promised. Targets apply to the 95th percentile, so a serving task
 *   may be over its target for a twentieth of the time.
 * - It rises while waiting jobs have lost little of their slack for longer than
 *   the period of usual swings of demand, and longer if this has turned out to
 *   be too early before. So it stays where the peaks of such a
 *   swing need it, and does not follow each of them.
 * - Below the initial goal, it also rises while serving tasks are over their
 *   targets for more than that.
 *
 * Jobs that are late already, or cannot be in time on their own, have no
 * influence.
 *
 * Load: best-effort jobs whose demand swings by half within some 17 s, has
 * bursts of some seconds, or exceeds the capacity for minutes, beside serving
 * tasks with a load of their own.
 */
#ifndef GN_SHARING_SHARING_H
#define GN_SHARING_SHARING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Bounds of the goal. */
#define GN_SHARING_MIN 0.9
#define GN_SHARING_MAX 1.5
/** Goal before the rate of best-effort work is known. */
#define GN_SHARING_INITIAL 1.1

/** A job with best-effort tasks. */
typedef struct gn_sharing_job_s {
	/** Best-effort work left, thousandths of a core times ms. */
	double work;
	/** Tasks wait that could run now. Other jobs only count as work ahead of
	 * those that wait. */
	bool waits;
	int64_t left_ms; /**< Time to the deadline; below 0 after it. */
	uint64_t chain_ms; /**< Longest remaining chain of steps. */
	uint64_t slack_ms; /**< Slack that it had when it was accepted. */
} gn_sharing_job_t;

/** A running serving task. */
typedef struct gn_sharing_serving_s {
	double target_ms;
	double tail_ms; /**< In the last list; 0 if none. */
	double previous_tail_ms; /**< In the list before. */
	bool fresh; /**< The last list is recent. */
	bool shared; /**< Best-effort tasks run beside it. */
} gn_sharing_serving_t;

/** Inputs of one update. */
typedef struct gn_sharing_input_s {
	/** Sorted by gn_sharing_update(). */
	gn_sharing_job_t *jobs;
	size_t job_count;
	const gn_sharing_serving_t *serving;
	size_t serving_count;
	bool rate_known;
	/** Rate at which best-effort work is done, thousandths of a core. */
	double rate_milli;
	/** CPU that best-effort tasks could use, thousandths of a core. */
	double usable_milli;
	double running_milli; /**< Part of it that they may use now. */
} gn_sharing_input_t;

/** What an update has made of its inputs. */
typedef struct gn_sharing_view_s {
	/** Share of the best-effort work in jobs that are about to lose most of
	 * their slack, smoothed. */
	double endangered;
	/** Share in jobs that are about to lose more than a little of it. */
	double strained;
	/** Share of the serving tasks over their targets beside best-effort
	 * tasks, smoothed. */
	double over;
	double unknown; /**< Share of the serving tasks without readings. */
	double free; /**< Free share of the usable CPU. */
} gn_sharing_view_t;

/** The decision's state. */
typedef struct gn_sharing_s {
	double goal; /**< Headroom to be kept. */
	gn_sharing_view_t view;
	const char *reason; /**< Of the last change; NULL before it. */
	uint64_t updated_us; /**< Last update; 0 before the rate is known. */
	uint64_t changed_us; /**< Last change of the goal; 0 before it. */
	/** Last time with strained jobs, or the first update. */
	uint64_t strained_us;
	uint64_t calm_us; /**< Time without strained jobs before a rise. */
	bool rising; /**< The last change was a rise. */
} gn_sharing_t;

void gn_sharing_init(gn_sharing_t *sharing);

/** Whether an update is due, so that inputs need not be collected before. */
bool gn_sharing_is_due(const gn_sharing_t *sharing, uint64_t now_us);

/**
 * Updates the goal if that is due; call it several times a second.
 * @return whether the goal has changed
 */
bool gn_sharing_update(gn_sharing_t *sharing, const gn_sharing_input_t *input,
		       uint64_t now_us);

#endif
