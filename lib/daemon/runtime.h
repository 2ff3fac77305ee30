/**
 * @file runtime.h
 * @brief Runtime of all daemons: event loop, clock, counters and signals.
 *
 * Only the control thread may use the runtime. A role (entry, agent, scheduler
 * or executor) is a table of functions that the runtime calls.
 */
#ifndef GN_DAEMON_RUNTIME_H
#define GN_DAEMON_RUNTIME_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <talloc.h>
#include <tevent.h>

#include "common/clock.h"
#include "common/counter.h"
#include "config/settings.h"

/** State common to all roles. */
typedef struct gn_runtime_s {
	/** Adapter to the platform; used by scheduler and executor only. */
	const struct gn_adapter_s *adapter;
	const gn_settings_t *settings;
	struct tevent_context *events;
	void *zmq;
	gn_clock_t clock;
	gn_counters_t *counters;
	GRand *rand;
	/** Random identifier of this start of the process, never 0. */
	uint64_t incarnation;
	bool stopping; /**< A signal has requested a graceful stop. */
	uint64_t stop_requested_us; /**< Time at which that signal arrived. */
} gn_runtime_t;

/** Functions of a role. */
typedef struct gn_role_ops_s {
	const char *name;
	/** Returns the milliseconds until the next @ref tick, at least 1. */
	unsigned (*next_tick_ms)(const void *state);
	/**
	 * Opens the resources of the role.
	 * @param state receives the state that is passed to the other
	 *        functions; the runtime frees it with talloc_free(), also
	 *        after a failure
	 */
	gn_code_t (*start)(gn_runtime_t *runtime, void **state,
			   gn_error_t *error);
	/** Does periodic work such as heartbeats, deadlines and leases. */
	void (*tick)(void *state);
	/** Begins a graceful stop; called at most once. */
	void (*stop)(void *state);
	/** Whether a graceful stop is complete. */
	bool (*is_stopped)(const void *state);
} gn_role_ops_t;

/**
 * Runs a daemon until it has stopped.
 * @param adapter adapter to the platform; required by scheduler and executor
 * @return GN_OK after the daemon has run, otherwise the reason why it did not
 *         start
 */
gn_code_t gn_runtime_run(const gn_settings_t *settings,
			 const gn_role_ops_t *role,
			 const struct gn_adapter_s *adapter, gn_error_t *error);

/** Returns the time of the boot clock, microseconds. */
uint64_t gn_runtime_now_us(const gn_runtime_t *runtime);

/** Returns a random number, never 0, for incarnations and sessions. */
uint64_t gn_runtime_random_id(void);

/** Returns a new object with the part of a state dump common to all roles. */
json_t *gn_runtime_dump(const gn_runtime_t *runtime);

#endif
