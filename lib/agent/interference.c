/**
 * @file interference.c
 * @brief Limits the interference of batch tasks with the service beside them.
 *
 * Measures the response times of the requests that pass through the agent,
 * estimates how much each kind of task adds to them, and applies the advice of
 * lib/admit: gradual starts, throttling and, as the last resort, a
 * checkpoint, after which the task's owner resumes it elsewhere. Standing tasks
 * are measured, but neither throttled nor evicted.
 */
#include "agent/interference_internal.h"

/** Interval of control rounds, milliseconds. */
#define CONTROL_INTERVAL_MS 200
/**
 * Minimum number of requests in a window. A service with fewer in the longest
 * window has too little load to be slowed down by tasks.
 */
#define MIN_WINDOW_REQUESTS 10
/**
 * After a start was put off, one slot is offered even above the limit once this
 * time has passed, milliseconds.
 */
#define PROBE_INTERVAL_MS 10000

/* ======   Creation   ====== */

static void open_counters(agent_t *agent)
{
	gn_counters_t *all = agent->runtime->counters;
	interference_counters_t *counters = &agent->interference->counters;

	counters->tails = gn_counters_get(all, "agent.tails");
	counters->tails_high = gn_counters_get(all, "agent.tails_high");
	counters->throttled = gn_counters_get(all, "agent.throttled");
	counters->checkpoints =
		gn_counters_get(all, "agent.interference_checkpoints");
	counters->stops = gn_counters_get(all, "agent.interference_stops");
	counters->put_off = gn_counters_get(all, "agent.interference_put_off");
}

static gn_code_t open_control(agent_t *agent)
{
	const gn_settings_t *settings = agent->runtime->settings;
	agent_interference_t *self = agent->interference;
	const gn_clock_t *clock = &agent->runtime->clock;
	const gn_interfere_config_t interfere = gn_interfere_defaults();
	const gn_throttle_weights_t weights = {
		.tail = settings->interference_tail,
		.throughput = settings->interference_throughput,
		.evictions = settings->interference_evictions,
	};

	self->config = gn_throttle_defaults(settings->interference_target_ms *
						    (uint32_t)GN_US_PER_MS,
					    settings->max_tasks, &weights);
	self->config.min_samples = MIN_WINDOW_REQUESTS;
	self->throttle = gn_throttle_create(self, clock, &self->config);
	self->interfere = gn_interfere_create(self, clock, &interfere);
	return self->throttle && self->interfere ? GN_OK : GN_ERR_MEMORY;
}

gn_code_t agent_interference_open(agent_t *agent)
{
	agent->interference = talloc_zero(agent, agent_interference_t);
	if (!agent->interference)
		return GN_ERR_MEMORY;
	open_counters(agent);
	agent->interference->window.begin_us =
		gn_runtime_now_us(agent->runtime);
	if (!agent->runtime->settings->interference_target_ms)
		return GN_OK;
	return open_control(agent);
}

/* ======   Rounds   ====== */

static void run_control(agent_t *agent)
{
	agent_interference_t *self = agent->interference;
	gn_throttle_advice_t advice;

	interference_finish_eviction(self);
	gn_throttle_advise(self->throttle, self->running_batch, &advice);
	interference_apply_step(agent, advice.step);
	interference_distribute_speed(self, advice.speed_pct);
}

void agent_interference_tick(agent_t *agent)
{
	agent_interference_t *self = agent->interference;
	uint64_t now_us = gn_runtime_now_us(agent->runtime);

	if (self->throttle)
		interference_close_window(agent, now_us);
	if (now_us - self->round_us < CONTROL_INTERVAL_MS * GN_US_PER_MS)
		return;
	self->round_us = now_us;
	interference_detect_restart(agent);
	interference_count_runs(agent);
	if (self->throttle)
		run_control(agent);
	interference_set_speeds(agent);
	if (!self->throttle)
		return;
	interference_count_runs(agent);
	interference_report_running(self);
}

/* ======   Starts   ====== */

static double estimate(const agent_interference_t *self, const char *kind)
{
	return gn_interfere_estimate(self->interfere, gn_str_from(kind),
				     self->measured.load_pct);
}

bool agent_interference_may_start(agent_t *agent, const gn_task_t *task)
{
	agent_interference_t *self = agent->interference;
	bool known;

	if (!self->throttle || task->work_class != GN_CLASS_BATCH)
		return true;
	known = gn_interfere_is_known(self->interfere, gn_str_from(task->kind),
				      self->measured.load_pct);
	if (gn_throttle_may_start(self->throttle, self->running_batch,
				  estimate(self, task->kind), known))
		return true;
	self->put_off_us = gn_runtime_now_us(agent->runtime);
	gn_counter_inc(self->counters.put_off);
	return false;
}

void agent_interference_record_start(agent_t *agent, const gn_task_t *task)
{
	agent_interference_t *self = agent->interference;

	if (!self->throttle || task->work_class != GN_CLASS_BATCH)
		return;
	self->running_batch++;
	gn_throttle_record_start(self->throttle, estimate(self, task->kind));
}

/*
 * Each start that is put off has cost the task's owner a claim. So only slots
 * that may be used are offered, apart from one now and then for a standing task
 * or one that doesn't interfere.
 */
unsigned agent_interference_limit_slots(const agent_t *agent, unsigned slots)
{
	const agent_interference_t *self = agent->interference;
	uint64_t now_us = gn_runtime_now_us(agent->runtime);
	gn_throttle_advice_t advice;
	unsigned allowed = 0;

	if (!self->throttle)
		return slots;
	gn_throttle_advise(self->throttle, self->running_batch, &advice);
	if (advice.task_limit > self->running_batch)
		allowed = advice.task_limit - self->running_batch;
	if (!self->put_off_us ||
	    now_us - self->put_off_us >= PROBE_INTERVAL_MS * GN_US_PER_MS)
		allowed = MAX(allowed, 1);
	return MIN(slots, allowed);
}

/* ======   Queries   ====== */

static json_t *dump_kinds(const agent_interference_t *self)
{
	json_t *kinds = json_array();

	for (size_t i = 0; i < self->kind_count; i++) {
		const interference_kind_t *kind = &self->kinds[i];
		bool known = gn_interfere_is_known(self->interfere,
						   gn_str_from(kind->name),
						   self->measured.load_pct);
		int added_pct = (int)(estimate(self, kind->name) *
				      INTERFERENCE_PERCENT);

		json_array_append_new(
			kinds,
			json_pack("{s:s, s:i, s:i, s:b, s:i}", "kind",
				  kind->name, "batch", (int)kind->running_batch,
				  "speed_pct", (int)kind->speed_pct, "known",
				  (int)known, "added_pct", added_pct));
	}
	return kinds;
}

json_t *agent_interference_dump(const agent_t *agent)
{
	const agent_interference_t *self = agent->interference;
	gn_throttle_advice_t advice;

	if (!self->throttle)
		return json_pack("{s:b}", "on", 0);
	gn_throttle_advise(self->throttle, self->running_batch, &advice);
	return json_pack(
		"{s:b, s:i, s:i, s:i, s:i, s:i, s:i, s:s, s:b, s:o}", "on", 1,
		"target_us", (int)self->config.target_us, "tail_us",
		(int)self->measured.tail_us, "requests",
		(int)self->measured.requests, "load_pct",
		(int)self->measured.load_pct, "task_limit",
		(int)advice.task_limit, "speed_pct", (int)advice.speed_pct,
		"step", gn_throttle_step_name(advice.step), "throttles",
		(int)!self->throttling_unsupported, "kinds", dump_kinds(self));
}
