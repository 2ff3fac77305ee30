/**
 * @file runtime.h
 * @brief What every daemon has: loop, clock, counters, incarnation, signals.
 *
 * All of it belongs to the control thread. A role (entry or agent) is a table
 * of function pointers that the runtime drives.
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

/** The shared parts of a daemon. */
typedef struct gn_runtime_s {
	/** Of the platform's names; only scheduler and executor use it. */
	const struct gn_adapter_s *adapter;
	const gn_settings_t *settings;
	struct tevent_context *events;
	void *zmq;
	gn_clock_t clock;
	gn_counters_t *counters;
	GRand *random;
	uint64_t incarnation; /**< random, never 0, new at each start */
	bool stopping; /**< a signal asked for a graceful stop */
	uint64_t stop_us; /**< when it did */
} gn_runtime_t;

/** What a role does. */
typedef struct gn_role_ops_s {
	const char *name;
	/** Milliseconds until the next call of @ref tick, at least 1. */
	unsigned (*next_tick_ms)(const void *state);
	/** Opens everything; *state is handed to the others. */
	gn_code_t (*start)(gn_runtime_t *runtime, void **state,
			   gn_error_t *error);
	/** Timers: beats, deadlines, leases. */
	void (*tick)(void *state);
	/** Begins a graceful stop, once. */
	void (*stop)(void *state);
	/** Whether a graceful stop is complete. */
	bool (*is_stopped)(const void *state);
} gn_role_ops_t;

/**
 * Runs a daemon until it has stopped.
 * @param adapter of the platform; the scheduler and the executor need one
 * @return GN_OK after a graceful stop, else why it did not start
 */
gn_code_t gn_runtime_run(const gn_settings_t *settings,
			 const gn_role_ops_t *role,
			 const struct gn_adapter_s *adapter, gn_error_t *error);

/** The time now, microseconds. */
uint64_t gn_runtime_now_us(const gn_runtime_t *runtime);

/** A random number, never 0, for incarnations and sessions. */
uint64_t gn_runtime_random_id(void);

/** The part of a state dump that all roles share; the caller owns it. */
json_t *gn_runtime_dump(const gn_runtime_t *runtime);

#endif
