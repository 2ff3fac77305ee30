#include "daemon/runtime.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <sys/random.h>
#include <zmq.h>

#include "common/event.h"
#include "common/log.h"
#include "common/wake_timer.h"
#include "daemon/tick_monitor.h"

/** One thread suffices for in-process traffic and a few hundred peers. */
#define ZMQ_IO_THREADS 1
#define ZMQ_SOCKETS_MAX 2048

typedef struct daemon_s {
	gn_runtime_t runtime;
	const gn_role_ops_t *role;
	void *state;
	bool done;
	gn_clock_t wall; /* Read for the log only. */
	gn_wake_timer_t *tick_timer;
	gn_tick_monitor_t monitor;
	gn_counter_t *late_ticks;
	gn_counter_t *clock_steps;
} daemon_t;

uint64_t gn_runtime_random_id(void)
{
	uint64_t id = 0;

	while (!id)
		if (getrandom(&id, sizeof(id), 0) != (ssize_t)sizeof(id))
			id = 0;
	return id;
}

uint64_t gn_runtime_now_us(const gn_runtime_t *runtime)
{
	return gn_clock_now_us(&runtime->clock);
}

json_t *gn_runtime_dump(const gn_runtime_t *runtime)
{
	char incarnation[sizeof("0123456789abcdef")];
	json_t *dump = json_object();

	snprintf(incarnation, sizeof(incarnation), "%016" PRIx64,
		 runtime->incarnation);
	json_object_set_new(dump, "version", json_string(GN_VERSION));
	json_object_set_new(dump, "name", json_string(runtime->settings->name));
	json_object_set_new(dump, "data_centre",
			    json_string(runtime->settings->data_centre));
	json_object_set_new(dump, "incarnation", json_string(incarnation));
	json_object_set_new(dump, "stopping", json_boolean(runtime->stopping));
	json_object_set_new(dump, "counters",
			    gn_counters_to_json(runtime->counters));
	return dump;
}

/* Settings are read only at start; a reload has no effect until a restart. */
static void on_reload(struct tevent_context *events, struct tevent_signal *se,
		      int signum, int count, void *siginfo, void *data)
{
	(void)events;
	(void)se;
	(void)signum;
	(void)count;
	(void)siginfo;
	(void)data;
	gn_event("reload", "{s:s}", "outcome",
		 "settings are not reloaded until a restart");
}

static void on_signal(struct tevent_context *events, struct tevent_signal *se,
		      int signum, int count, void *siginfo, void *data)
{
	daemon_t *daemon = data;

	(void)events;
	(void)se;
	(void)count;
	(void)siginfo;
	if (daemon->runtime.stopping)
		return;
	gn_log(LOG_NOTICE, "stop", NULL,
	       "signal %d received, stopping gracefully", signum);
	gn_event("stopping", "{s:i}", "signal", signum);
	daemon->runtime.stopping = true;
	daemon->runtime.stop_requested_us = gn_runtime_now_us(&daemon->runtime);
	daemon->role->stop(daemon->state);
}

static bool is_grace_over(const gn_runtime_t *runtime)
{
	uint64_t grace_us =
		(uint64_t)runtime->settings->stop_grace_ms * GN_US_PER_MS;

	return gn_runtime_now_us(runtime) - runtime->stop_requested_us >
	       grace_us;
}

static void monitor_tick(daemon_t *daemon)
{
	gn_tick_reading_t reading = gn_tick_monitor_record(
		&daemon->monitor, gn_runtime_now_us(&daemon->runtime),
		gn_clock_now_us(&daemon->wall));
	bool is_late = gn_tick_is_late(&reading);
	bool has_step = gn_tick_has_step(&reading);

	if (!is_late && !has_step)
		return;
	if (is_late)
		gn_counter_inc(daemon->late_ticks);
	if (has_step)
		gn_counter_inc(daemon->clock_steps);
	gn_event(is_late ? "late tick" : "clock step", "{s:I, s:I, s:I}",
		 "late_ms", (json_int_t)(reading.late_us / GN_US_PER_MS),
		 "step_ms", (json_int_t)(reading.step_us / GN_US_PER_MS),
		 "rounds", (json_int_t)reading.rounds);
}

static void schedule_tick(daemon_t *daemon)
{
	uint64_t delay_us =
		(uint64_t)daemon->role->next_tick_ms(daemon->state) *
		GN_US_PER_MS;

	gn_tick_monitor_expect(&daemon->monitor,
			       gn_runtime_now_us(&daemon->runtime) + delay_us);
	gn_wake_timer_start(daemon->tick_timer, delay_us);
}

static void on_tick(void *context)
{
	daemon_t *daemon = context;
	gn_runtime_t *runtime = &daemon->runtime;

	monitor_tick(daemon);
	daemon->role->tick(daemon->state);
	if (runtime->stopping && daemon->role->is_stopped(daemon->state)) {
		daemon->done = true;
	} else if (runtime->stopping && is_grace_over(runtime)) {
		gn_log(LOG_WARNING, "stop", NULL,
		       "stop_grace_ms (%u ms) expired with work in progress",
		       runtime->settings->stop_grace_ms);
		daemon->done = true;
	}
	if (!daemon->done)
		schedule_tick(daemon);
}

static bool open_monitor(daemon_t *daemon)
{
	gn_counters_t *counters = daemon->runtime.counters;

	gn_clock_init_wall(&daemon->wall);
	daemon->late_ticks = gn_counters_get(counters, "runtime.late_ticks");
	daemon->clock_steps = gn_counters_get(counters, "runtime.clock_steps");
	return daemon->late_ticks && daemon->clock_steps;
}

static gn_code_t open_runtime(daemon_t *daemon, const gn_settings_t *settings,
			      gn_error_t *error)
{
	gn_runtime_t *runtime = &daemon->runtime;

	runtime->settings = settings;
	runtime->incarnation = gn_runtime_random_id();
	runtime->rand = g_rand_new_with_seed((guint32)runtime->incarnation);
	gn_clock_init_boot(&runtime->clock);
	runtime->events = tevent_context_init(daemon);
	runtime->counters = gn_counters_create(daemon);
	runtime->zmq = zmq_ctx_new();
	if (!runtime->events || !runtime->counters || !runtime->zmq ||
	    !open_monitor(daemon))
		return gn_error_set(error, GN_ERR_MEMORY, "start", NULL,
				    "out of memory");
	daemon->tick_timer =
		gn_wake_timer_create(daemon, runtime->events, on_tick, daemon);
	if (!daemon->tick_timer)
		return gn_error_set(error, GN_ERR_SYSTEM, "start", NULL,
				    "cannot create the timer");
	zmq_ctx_set(runtime->zmq, ZMQ_IO_THREADS, ZMQ_IO_THREADS);
	zmq_ctx_set(runtime->zmq, ZMQ_MAX_SOCKETS, ZMQ_SOCKETS_MAX);
	signal(SIGPIPE, SIG_IGN);
	if (!tevent_add_signal(runtime->events, daemon, SIGTERM, 0, on_signal,
			       daemon) ||
	    !tevent_add_signal(runtime->events, daemon, SIGINT, 0, on_signal,
			       daemon) ||
	    !tevent_add_signal(runtime->events, daemon, SIGHUP, 0, on_reload,
			       daemon))
		return gn_error_set(error, GN_ERR_SYSTEM, "start", NULL,
				    "cannot install signal handlers");
	return GN_OK;
}

static void close_runtime(daemon_t *daemon)
{
	gn_runtime_t *runtime = &daemon->runtime;

	TALLOC_FREE(daemon->tick_timer);
	TALLOC_FREE(runtime->events);
	if (runtime->zmq)
		zmq_ctx_term(runtime->zmq);
	if (runtime->rand)
		g_rand_free(runtime->rand);
}

gn_code_t gn_runtime_run(const gn_settings_t *settings,
			 const gn_role_ops_t *role,
			 const struct gn_adapter_s *adapter, gn_error_t *error)
{
	daemon_t *daemon = talloc_zero(NULL, daemon_t);
	gn_code_t code;

	if (!daemon)
		return gn_error_set(error, GN_ERR_MEMORY, "start", NULL,
				    "out of memory");
	daemon->role = role;
	daemon->runtime.adapter = adapter;
	gn_event_init(settings->name);
	code = open_runtime(daemon, settings, error);
	if (code)
		goto out;
	code = role->start(&daemon->runtime, &daemon->state, error);
	if (code)
		goto out;
	schedule_tick(daemon);
	gn_log(LOG_NOTICE, "start", NULL, "%s %s started", role->name,
	       settings->name);
	gn_event("start", "{s:s, s:s, s:s}", "role", role->name, "version",
		 GN_VERSION, "data_centre", settings->data_centre);
	while (!daemon->done) {
		if (tevent_loop_once(daemon->runtime.events))
			daemon->done = true;
		gn_tick_monitor_count_round(&daemon->monitor);
	}
	gn_log(LOG_NOTICE, "stop", NULL, "%s %s stopped", role->name,
	       settings->name);
	gn_event("stop", "{s:s}", "role", role->name);
out:
	TALLOC_FREE(daemon->state);
	close_runtime(daemon);
	talloc_free(daemon);
	return code;
}
