/**
 * @file interference_internal.h
 * @brief The parts of the interference control that its files share.
 */
#ifndef GN_AGENT_INTERFERENCE_INTERNAL_H
#define GN_AGENT_INTERFERENCE_INTERNAL_H

#include "admit/speed.h"
#include "admit/throttle.h"
#include "agent/agent_internal.h"

#define INTERFERENCE_PER_CENT 100
/** Most requests whose time is kept in a window; then the newest. */
#define INTERFERENCE_WINDOW_REQUESTS 4096

/** The times of the requests that ended since its begin. */
typedef struct interference_window_s {
	uint64_t begin_us;
	uint64_t sum_us;
	unsigned requests;
	uint32_t spent_us[INTERFERENCE_WINDOW_REQUESTS];
} interference_window_t;

/** The last whole window. */
typedef struct interference_measured_s {
	uint32_t tail_us;
	unsigned requests;
	unsigned load_pct; /**< requests at once, of max_connections */
} interference_measured_t;

/** One kind of task on this worker. */
typedef struct interference_kind_s {
	char name[GN_NAME_MAX + 1];
	unsigned running_batch; /**< batch tasks of it that run */
	unsigned speed_pct; /**< of each batch task */
	unsigned running_pct; /**< speeds of all tasks of it together */
	unsigned reported_pct; /**< told gn_interfere_set_running() */
} interference_kind_t;

/** Documented in docs/OPERATIONS.md. */
typedef struct interference_counters_s {
	gn_counter_t *tails;
	gn_counter_t *tails_high;
	gn_counter_t *throttled;
	gn_counter_t *checkpoints;
	gn_counter_t *stops;
	gn_counter_t *put_off;
} interference_counters_t;

struct agent_interference_s {
	gn_throttle_config_t config;
	gn_throttle_t *throttle; /**< NULL: the control is off */
	gn_interfere_t *interfere;
	interference_counters_t counters;
	interference_window_t window;
	interference_measured_t measured;
	interference_kind_t kinds[GN_INTERFERE_KINDS];
	size_t kind_count;
	unsigned running_batch; /**< batch tasks that run */
	uint64_t round_us; /**< of the last round */
	uint64_t put_off_us; /**< of the last start that was put off */
	uint64_t evicted_id; /**< task told to leave, 0: none */
	bool is_evicted_running;
	bool is_evicted_stop_sent; /**< its checkpoint did not come in time */
	bool throttling_unsupported; /**< the backend server can't throttle */
	char backend_incarnation[GN_NAME_MAX + 1]; /**< that this holds for */
};

/* ======   interference_tail.c   ====== */

/** Closes the window once it is long enough to tell a tail, and learns. */
void interference_close_window(agent_t *agent, uint64_t now_us);

/* ======   interference_speed.c   ====== */

/** Counts what runs, of each kind. */
void interference_count_runs(agent_t *agent);
/** Tells the learning what runs; drops the kinds of which nothing does. */
void interference_report_running(agent_interference_t *self);
/** Shares @p total_pct of full speed among the kinds of batch tasks. */
void interference_share_speed(agent_interference_t *self, unsigned total_pct);
/** Orders each batch task to the speed of its kind. */
void interference_set_speeds(agent_t *agent);
/** A backend server that has restarted may throttle by now. */
void interference_detect_restart(agent_t *agent);

/* ======   interference_evict.c   ====== */

/** Begins an eviction, or stops the task whose checkpoint did not come. */
void interference_apply_step(agent_t *agent, gn_throttle_step_t step);
/** Notes that the task told to leave is gone, once it is. */
void interference_finish_eviction(agent_interference_t *self);

#endif
