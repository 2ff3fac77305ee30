/**
 * @file interference_internal.h
 * @brief Types and functions shared by the source files of the interference
 * control.
 */
#ifndef GN_AGENT_INTERFERENCE_INTERNAL_H
#define GN_AGENT_INTERFERENCE_INTERNAL_H

#include "admit/speed.h"
#include "admit/throttle.h"
#include "agent/agent_internal.h"

#define INTERFERENCE_PERCENT 100
/** Number of response times kept in a window; the oldest are overwritten. */
#define INTERFERENCE_WINDOW_REQUESTS 4096

/** The response times of the requests that ended in the present window. */
typedef struct interference_window_s {
	uint64_t begin_us; /**< Start of the window. */
	uint64_t sum_us; /**< Sum of all response times. */
	unsigned requests; /**< Number of requests that ended. */
	uint32_t spent_us[INTERFERENCE_WINDOW_REQUESTS];
} interference_window_t;

/** Measurements of the last complete window. */
typedef struct interference_measured_s {
	uint32_t tail_us; /**< 99th percentile of the response times. */
	unsigned requests;
	/** Average concurrency, per cent of max_connections. */
	unsigned load_pct;
} interference_measured_t;

/** The runs of one kind of task on this worker. */
typedef struct interference_kind_s {
	char name[GN_NAME_MAX + 1];
	unsigned running_batch; /**< Number of running batch tasks. */
	unsigned speed_pct; /**< Speed of each batch task. */
	unsigned running_pct; /**< Sum of the speeds of all tasks. */
	/** The sum last passed to gn_interfere_set_running(). */
	unsigned reported_pct;
} interference_kind_t;

/** Counters of the control; docs/OPERATIONS.md documents them. */
typedef struct interference_counters_s {
	gn_counter_t *tails;
	gn_counter_t *tails_high;
	gn_counter_t *throttled;
	gn_counter_t *checkpoints;
	gn_counter_t *stops;
	gn_counter_t *put_off;
} interference_counters_t;

/** State of the interference control. */
struct agent_interference_s {
	gn_throttle_config_t config;
	gn_throttle_t *throttle; /**< NULL if the control is off. */
	gn_interfere_t *interfere;
	interference_counters_t counters;
	interference_window_t window;
	interference_measured_t measured;
	interference_kind_t kinds[GN_INTERFERE_KINDS];
	size_t kind_count;
	unsigned running_batch; /**< Number of running batch tasks. */
	uint64_t round_us; /**< Time of the last control round. */
	uint64_t put_off_us; /**< Time when a start was last put off. */
	uint64_t evicted_id; /**< ID of the task being evicted; 0 if none. */
	bool evicted_running; /**< The run being evicted hasn't ended. */
	/** A stop was sent, as the checkpoint didn't complete in time. */
	bool evicted_stop_sent;
	bool throttling_unsupported; /**< The backend server can't throttle. */
	/** Incarnation to which throttling_unsupported applies. */
	char backend_incarnation[GN_NAME_MAX + 1];
};

/* ======   interference_tail.c   ====== */

/**
 * Closes the window once it has enough requests for a valid tail, and updates
 * the models with its measurements.
 */
void interference_close_window(agent_t *agent, uint64_t now_us);

/* ======   interference_speed.c   ====== */

/** Counts the running tasks and sums up their speeds, by kind. */
void interference_count_runs(agent_t *agent);
/** Passes the sums of speeds to the estimator; drops kinds without a run. */
void interference_report_running(agent_interference_t *self);
/** Distributes a slowdown to @p total_pct over the kinds of batch tasks. */
void interference_distribute_speed(agent_interference_t *self,
				   unsigned total_pct);
/** Requests the speed of its kind for each batch task. */
void interference_set_speeds(agent_t *agent);
/**
 * Assumes throttling to be supported again if the backend server restarted,
 * since it may support it by now.
 */
void interference_detect_restart(agent_t *agent);

/* ======   interference_evict.c   ====== */

/** Begins an eviction, or stops the task whose checkpoint timed out. */
void interference_apply_step(agent_t *agent, gn_throttle_step_t step);
/** Ends the eviction once the evicted run has ended. */
void interference_finish_eviction(agent_interference_t *self);

#endif
