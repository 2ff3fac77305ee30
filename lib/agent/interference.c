/**
 * @file interference.c
 * @brief Keeps batch tasks from slowing down the service beside them.
 *
 * Measures the requests that pass through the agent, learns which kinds of
 * task disturb them and how much, and carries out what lib/admit advises:
 * starts in waves, throttling, and as the last means a checkpoint, after which
 * the task's owner resumes it elsewhere. Standing tasks are measured, but
 * neither throttled nor evicted.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "admit/speed.h"
#include "admit/throttle.h"
#include "agent/agent_internal.h"
#include "common/log.h"
#include "common/str.h"
#include "http/status.h"

#define PER_CENT 100
/** Shortest and longest window of a tail, milliseconds. */
#define WINDOW_MS 1000
#define WINDOW_MAX_MS 10000
/** Between two rounds of the control, milliseconds. */
#define CONTROL_INTERVAL_MS 200
/** Most requests whose time is kept in a window; then the newest. */
#define WINDOW_REQUESTS 4096
/** The tail is this per mille of the requests. */
#define TAIL_PER_MILLE 990
/** Fewer requests in the longest window are no service to be disturbed. */
#define LEAST_REQUESTS 10
/** A smaller change of a task's speed is not told, per cent of full speed. */
#define SPEED_STEP_PCT 5
/** Beyond this, in targets, a tail tells no more which kind adds to it. */
#define TAIL_LEARNED 5
/** A place beyond the limit is offered once in this time, milliseconds. */
#define PROBE_INTERVAL_MS 10000

/* The times of the requests that ended since its begin. */
typedef struct window_s {
	uint64_t begin_us;
	uint64_t sum_us;
	unsigned requests;
	uint32_t spent_us[WINDOW_REQUESTS];
} window_t;

/* The last whole window. */
typedef struct measured_s {
	uint32_t tail_us;
	unsigned requests;
	unsigned load_pct; /**< requests at once, of max_connections */
} measured_t;

/* One kind of task on this worker. */
typedef struct kind_s {
	char name[GN_NAME_MAX + 1];
	unsigned batch; /**< batch tasks of it that run */
	unsigned speed_pct; /**< of each batch task */
	unsigned running_pct; /**< speeds of all tasks of it together */
	unsigned noted_pct; /**< told gn_interfere_set_running() */
} kind_t;

typedef struct counters_s {
	gn_counter_t *tails;
	gn_counter_t *tails_high;
	gn_counter_t *throttled;
	gn_counter_t *checkpoints;
	gn_counter_t *stops;
	gn_counter_t *put_off;
} counters_t;

struct agent_interference_s {
	gn_throttle_config_t config;
	gn_throttle_t *throttle; /**< NULL: the control is off */
	gn_interfere_t *interfere;
	counters_t counters;
	window_t window;
	measured_t measured;
	kind_t kinds[GN_INTERFERE_KINDS];
	size_t kind_count;
	unsigned batch; /**< batch tasks that run */
	uint64_t control_us; /**< of the last round */
	uint64_t put_off_us; /**< of the last start that was put off */
	uint64_t evicted; /**< task told to leave, 0: none */
	bool evicted_runs;
	bool evicted_stopped; /**< its checkpoint did not come in time */
	bool unthrottled; /**< the backend server can't throttle */
	char incarnation[GN_NAME_MAX + 1]; /**< that this holds for */
};

/* ======   Life   ====== */

static void open_counters(agent_t *agent)
{
	gn_counters_t *all = agent->runtime->counters;
	counters_t *counters = &agent->interference->counters;

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
	self->config.min_samples = LEAST_REQUESTS;
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

/* ======   The tail of the service   ====== */

void agent_interference_note_request(agent_t *agent, uint64_t spent_us)
{
	window_t *window = &agent->interference->window;

	window->spent_us[window->requests % WINDOW_REQUESTS] =
		(uint32_t)MIN(spent_us, UINT32_MAX);
	window->requests++;
	window->sum_us += spent_us;
}

static int compare_times(const void *a, const void *b)
{
	uint32_t first = *(const uint32_t *)a;
	uint32_t second = *(const uint32_t *)b;

	return (first > second) - (first < second);
}

static uint32_t tail_of(window_t *window)
{
	size_t count = MIN(window->requests, WINDOW_REQUESTS);

	if (!count)
		return 0;
	qsort(window->spent_us, count, sizeof(window->spent_us[0]),
	      compare_times);
	return window->spent_us[count * TAIL_PER_MILLE / 1000];
}

static void measure(agent_t *agent, uint64_t now_us)
{
	agent_interference_t *self = agent->interference;
	uint64_t length_us = now_us - self->window.begin_us;
	uint64_t places_us =
		length_us * agent->runtime->settings->max_connections;

	self->measured.tail_us = tail_of(&self->window);
	self->measured.requests = self->window.requests;
	self->measured.load_pct =
		(unsigned)(self->window.sum_us * PER_CENT / places_us);
	gn_counter_inc(self->counters.tails);
	if (self->measured.tail_us > self->config.target_us)
		gn_counter_inc(self->counters.tails_high);
}

static void learn(agent_interference_t *self, uint64_t now_us)
{
	const measured_t *measured = &self->measured;
	const gn_throttle_sample_t sample = {
		.tail_us = measured->tail_us,
		.requests = measured->requests,
		.measured_us = self->window.begin_us,
	};
	double share = (double)measured->tail_us / self->config.target_us;

	/* What ran in the middle of the window stands for all of it. */
	if (measured->requests >= self->config.min_samples)
		gn_interfere_learn(self->interfere,
				   (self->window.begin_us + now_us) / 2,
				   measured->load_pct, share);
	gn_throttle_take_sample(self->throttle, &sample, self->batch);
}

/* Closes the window once it is long enough to tell a tail. */
static void close_window(agent_t *agent, uint64_t now_us)
{
	agent_interference_t *self = agent->interference;
	uint64_t length_us = now_us - self->window.begin_us;

	if (length_us < WINDOW_MS * GN_US_PER_MS)
		return;
	if (self->window.requests < self->config.min_samples &&
	    length_us < WINDOW_MAX_MS * GN_US_PER_MS)
		return;
	measure(agent, now_us);
	learn(self, now_us);
	self->window.begin_us = now_us;
	self->window.sum_us = 0;
	self->window.requests = 0;
}

/* ======   What runs   ====== */

static kind_t *find_kind(agent_interference_t *self, const char *name)
{
	for (size_t i = 0; i < self->kind_count; i++)
		if (!strcmp(self->kinds[i].name, name))
			return &self->kinds[i];
	return NULL;
}

static kind_t *need_kind(agent_interference_t *self, const char *name)
{
	kind_t *kind = find_kind(self, name);

	if (kind || self->kind_count == GN_INTERFERE_KINDS)
		return kind;
	kind = &self->kinds[self->kind_count++];
	*kind = (kind_t){ .speed_pct = GN_SPEED_FULL_PCT };
	gn_str_copy(kind->name, sizeof(kind->name), gn_str_from(name));
	return kind;
}

static void count_run(const gn_active_run_t *run, void *data)
{
	agent_interference_t *self = data;
	bool batch = run->work_class == GN_CLASS_BATCH;
	unsigned speed_pct =
		run->speed_pct ? run->speed_pct : GN_SPEED_FULL_PCT;
	kind_t *kind = need_kind(self, run->kind);

	self->batch += batch;
	/* A run that doesn't end is a later one, resumed here. */
	if (run->id == self->evicted && run->ending)
		self->evicted_runs = true;
	if (!kind)
		return;
	kind->batch += batch;
	kind->running_pct += speed_pct;
}

/* Drops the kinds of which nothing runs, once that is noted. */
static void drop_idle_kinds(agent_interference_t *self)
{
	size_t kept = 0;

	for (size_t i = 0; i < self->kind_count; i++)
		if (self->kinds[i].running_pct)
			self->kinds[kept++] = self->kinds[i];
	self->kind_count = kept;
}

static void count_runs(agent_t *agent)
{
	agent_interference_t *self = agent->interference;

	self->batch = 0;
	self->evicted_runs = false;
	for (size_t i = 0; i < self->kind_count; i++) {
		self->kinds[i].batch = 0;
		self->kinds[i].running_pct = 0;
	}
	gn_worker_tasks_foreach_active(agent->tasks, count_run, self);
}

static void note_running(agent_interference_t *self)
{
	for (size_t i = 0; i < self->kind_count; i++) {
		kind_t *kind = &self->kinds[i];

		if (kind->noted_pct == kind->running_pct)
			continue;
		gn_interfere_set_running(self->interfere,
					 gn_str_from(kind->name),
					 (double)kind->running_pct / PER_CENT);
		kind->noted_pct = kind->running_pct;
	}
	drop_idle_kinds(self);
}

/* ======   Throttling   ====== */

static void share_speed(agent_interference_t *self, unsigned total_pct)
{
	gn_speed_t speeds[GN_INTERFERE_KINDS];
	kind_t *kinds[GN_INTERFERE_KINDS];
	size_t count = 0;

	for (size_t i = 0; i < self->kind_count; i++) {
		kind_t *kind = &self->kinds[i];

		if (!kind->batch)
			continue;
		kinds[count] = kind;
		speeds[count++] =
			(gn_speed_t){ gn_str_from(kind->name), kind->batch, 0 };
	}
	gn_speed_share(self->interfere, self->measured.load_pct, total_pct,
		       self->config.floor_pct, speeds, count);
	for (size_t i = 0; i < count; i++)
		kinds[i]->speed_pct = speeds[i].speed_pct;
}

static bool is_speed_told(unsigned told_pct, unsigned speed_pct)
{
	unsigned change_pct = told_pct > speed_pct ? told_pct - speed_pct
						   : speed_pct - told_pct;

	if (!told_pct || speed_pct == GN_SPEED_FULL_PCT)
		return told_pct == speed_pct;
	return change_pct < SPEED_STEP_PCT;
}

static void set_speed(const gn_active_run_t *run, void *data)
{
	agent_t *agent = data;
	agent_interference_t *self = agent->interference;
	const kind_t *kind = find_kind(self, run->kind);
	unsigned speed_pct = GN_SPEED_FULL_PCT;

	/* With the control off, what was throttled before is let go. */
	if (self->throttle && kind && run->work_class == GN_CLASS_BATCH)
		speed_pct = kind->speed_pct;
	if (!self->throttle && !run->speed_pct)
		return;
	if (!is_speed_told(run->speed_pct, speed_pct))
		gn_worker_tasks_set_speed(agent->tasks, run->id, speed_pct);
}

static void set_speeds(agent_t *agent)
{
	if (!agent->interference->unthrottled)
		gn_worker_tasks_foreach_active(agent->tasks, set_speed, agent);
}

static void set_unthrottled(agent_t *agent, bool unthrottled)
{
	agent_interference_t *self = agent->interference;

	self->unthrottled = unthrottled;
	gn_str_copy(self->incarnation, sizeof(self->incarnation),
		    gn_str_from(agent->backend.incarnation));
	if (self->throttle)
		gn_throttle_set_floor(self->throttle,
				      unthrottled ? GN_SPEED_FULL_PCT
						  : self->config.floor_pct);
}

static bool is_unsupported(const gn_http_call_t *call)
{
	return call->code == GN_OK &&
	       (call->status == HTTP_NOT_FOUND ||
		call->status == HTTP_METHOD_NOT_ALLOWED ||
		call->status == HTTP_NOT_IMPLEMENTED);
}

void agent_interference_on_throttled(agent_t *agent, const gn_action_t *action,
				     const gn_http_call_t *call)
{
	agent_interference_t *self = agent->interference;

	if (call->code == GN_OK && call->status == HTTP_OK) {
		gn_counter_inc(self->counters.throttled);
		return;
	}
	if (!is_unsupported(call)) {
		gn_worker_tasks_note_speed(agent->tasks, action->id, 0);
		return;
	}
	gn_worker_tasks_note_speed(agent->tasks, action->id, GN_SPEED_FULL_PCT);
	/* A server that has restarted may just not have the task any more. */
	if (self->unthrottled || !agent_action_is_current(agent, action))
		return;
	gn_log(LOG_NOTICE, "throttle", agent->backend.address,
	       "not supported, checkpoints take its place");
	set_unthrottled(agent, true);
}

/* ======   Evictions   ====== */

/* What is looked for among the runs. */
typedef struct search_s {
	gn_str_t kind; /**< empty: any */
	uint64_t id; /**< found, or 0 */
	uint64_t confirmed_us;
} search_t;

/* Of the kind, the one that was started last. */
static void find_newest(const gn_active_run_t *run, void *data)
{
	search_t *search = data;

	if (run->work_class != GN_CLASS_BATCH || !run->confirmed || run->ending)
		return;
	if (search->kind.len &&
	    !gn_str_equal(search->kind, gn_str_from(run->kind)))
		return;
	if (search->id && run->confirmed_us <= search->confirmed_us)
		return;
	search->id = run->id;
	search->confirmed_us = run->confirmed_us;
}

/*
 * Whether throttling has shown that no kind adds to the tail: then an
 * eviction would be of no use.
 */
static bool is_eviction_useless(const agent_interference_t *self)
{
	uint64_t learned_us = (uint64_t)TAIL_LEARNED * self->config.target_us;

	return !self->unthrottled && self->measured.tail_us < learned_us;
}

static uint64_t choose_evicted(const agent_t *agent)
{
	const agent_interference_t *self = agent->interference;
	search_t search = { 0 };

	if (!gn_interfere_worst(self->interfere, self->measured.load_pct,
				&search.kind) &&
	    is_eviction_useless(self))
		return 0;
	gn_worker_tasks_foreach_active(agent->tasks, find_newest, &search);
	return search.id;
}

static void log_eviction(const agent_t *agent, const char *step, uint64_t id)
{
	const agent_interference_t *self = agent->interference;
	char text[GN_TASK_ID_SIZE];

	gn_task_id_format(id, text);
	gn_log(LOG_NOTICE, "interference", agent->backend.address,
	       "%s of task %s, tail %" PRIu32 " us, target %" PRIu32 " us",
	       step, text, self->measured.tail_us, self->config.target_us);
}

static void begin_eviction(agent_t *agent)
{
	agent_interference_t *self = agent->interference;
	uint64_t id = choose_evicted(agent);

	if (!id ||
	    gn_worker_tasks_evict(agent->tasks, id, GN_ACTION_CHECKPOINT))
		return;
	self->evicted = id;
	self->evicted_runs = true;
	self->evicted_stopped = false;
	gn_throttle_begin_checkpoint(self->throttle);
	gn_counter_inc(self->counters.checkpoints);
	log_eviction(agent, "checkpoint", id);
}

/* The worker tasks repeat a stop each second until it is confirmed. */
static void stop_evicted(agent_t *agent)
{
	agent_interference_t *self = agent->interference;

	gn_worker_tasks_evict(agent->tasks, self->evicted, GN_ACTION_STOP);
	if (self->evicted_stopped)
		return;
	self->evicted_stopped = true;
	gn_counter_inc(self->counters.stops);
	log_eviction(agent, "stop", self->evicted);
}

static void take_step(agent_t *agent, gn_throttle_step_t step)
{
	if (step == GN_THROTTLE_CHECKPOINT && !agent_is_draining(agent))
		begin_eviction(agent);
	if (step == GN_THROTTLE_STOP && agent->interference->evicted)
		stop_evicted(agent);
}

static void end_eviction(agent_interference_t *self)
{
	if (!self->evicted || self->evicted_runs)
		return;
	self->evicted = 0;
	gn_throttle_end_checkpoint(self->throttle, self->batch);
}

/* ======   Rounds   ====== */

/* A backend server that has restarted may throttle by now. */
static void note_backend(agent_t *agent)
{
	agent_interference_t *self = agent->interference;

	if (strcmp(self->incarnation, agent->backend.incarnation) != 0)
		set_unthrottled(agent, false);
}

static void control(agent_t *agent)
{
	agent_interference_t *self = agent->interference;
	gn_throttle_advice_t advice;

	end_eviction(self);
	gn_throttle_advise(self->throttle, self->batch, &advice);
	take_step(agent, advice.step);
	share_speed(self, advice.speed_pct);
}

void agent_interference_tick(agent_t *agent)
{
	agent_interference_t *self = agent->interference;
	uint64_t now_us = gn_runtime_now_us(agent->runtime);

	if (self->throttle)
		close_window(agent, now_us);
	if (now_us - self->control_us < CONTROL_INTERVAL_MS * GN_US_PER_MS)
		return;
	self->control_us = now_us;
	note_backend(agent);
	count_runs(agent);
	if (self->throttle)
		control(agent);
	set_speeds(agent);
	if (!self->throttle)
		return;
	count_runs(agent);
	note_running(self);
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
	if (gn_throttle_may_start(self->throttle, self->batch,
				  estimate(self, task->kind), known))
		return true;
	self->put_off_us = gn_runtime_now_us(agent->runtime);
	gn_counter_inc(self->counters.put_off);
	return false;
}

void agent_interference_note_start(agent_t *agent, const gn_task_t *task)
{
	agent_interference_t *self = agent->interference;

	if (!self->throttle || task->work_class != GN_CLASS_BATCH)
		return;
	self->batch++;
	gn_throttle_note_start(self->throttle, estimate(self, task->kind));
}

/*
 * Each task that is put off has cost its owner a claim. So no more places are
 * offered than may be used, but one now and then for a quiet or standing task.
 */
unsigned agent_interference_limit_places(const agent_t *agent, unsigned places)
{
	const agent_interference_t *self = agent->interference;
	uint64_t now_us = gn_runtime_now_us(agent->runtime);
	gn_throttle_advice_t advice;
	unsigned allowed = 0;

	if (!self->throttle)
		return places;
	gn_throttle_advise(self->throttle, self->batch, &advice);
	if (advice.task_limit > self->batch)
		allowed = advice.task_limit - self->batch;
	if (!self->put_off_us ||
	    now_us - self->put_off_us >= PROBE_INTERVAL_MS * GN_US_PER_MS)
		allowed = MAX(allowed, 1);
	return MIN(places, allowed);
}

/* ======   Queries   ====== */

static json_t *dump_kinds(const agent_interference_t *self)
{
	json_t *kinds = json_array();

	for (size_t i = 0; i < self->kind_count; i++) {
		const kind_t *kind = &self->kinds[i];
		bool known = gn_interfere_is_known(self->interfere,
						   gn_str_from(kind->name),
						   self->measured.load_pct);
		int added_pct = (int)(estimate(self, kind->name) * PER_CENT);

		json_array_append_new(
			kinds,
			json_pack("{s:s, s:i, s:i, s:b, s:i}", "kind",
				  kind->name, "batch", (int)kind->batch,
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
	gn_throttle_advise(self->throttle, self->batch, &advice);
	return json_pack("{s:b, s:i, s:i, s:i, s:i, s:i, s:i, s:s, s:b, s:o}",
			 "on", 1, "target_us", (int)self->config.target_us,
			 "tail_us", (int)self->measured.tail_us, "requests",
			 (int)self->measured.requests, "load_pct",
			 (int)self->measured.load_pct, "task_limit",
			 (int)advice.task_limit, "speed_pct",
			 (int)advice.speed_pct, "step",
			 gn_throttle_step_name(advice.step), "throttles",
			 (int)!self->unthrottled, "kinds", dump_kinds(self));
}
