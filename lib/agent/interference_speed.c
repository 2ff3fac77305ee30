/**
 * @file interference_speed.c
 * @brief Throttles the batch tasks that interfere with the service, by kind.
 */
#include <string.h>

#include "agent/interference_internal.h"
#include "common/log.h"
#include "common/str.h"
#include "http/status.h"

/** Smaller changes of a task's speed are not sent, in percent of full speed. */
#define SPEED_CHANGE_MIN_PCT 5

/* ======   Running tasks   ====== */

static interference_kind_t *find_kind(agent_interference_t *self,
				      const char *name)
{
	for (size_t i = 0; i < self->kind_count; i++)
		if (!strcmp(self->kinds[i].name, name))
			return &self->kinds[i];
	return NULL;
}

static interference_kind_t *get_or_add_kind(agent_interference_t *self,
					    const char *name)
{
	interference_kind_t *kind = find_kind(self, name);

	if (kind || self->kind_count == GN_INTERFERE_KINDS)
		return kind;
	kind = &self->kinds[self->kind_count++];
	*kind = (interference_kind_t){ .speed_pct = GN_SPEED_FULL_PCT };
	gn_str_copy(kind->name, sizeof(kind->name), gn_str_from(name));
	return kind;
}

static void count_run(const gn_active_run_t *run, void *data)
{
	agent_interference_t *self = data;
	bool batch = run->work_class == GN_CLASS_BATCH;
	unsigned speed_pct =
		run->speed_pct ? run->speed_pct : GN_SPEED_FULL_PCT;
	interference_kind_t *kind = get_or_add_kind(self, run->kind);

	self->running_batch += batch;
	/* A run with this ID that isn't ending was resumed here later. */
	if (run->id == self->evicted_id && run->ending)
		self->evicted_running = true;
	if (!kind)
		return;
	kind->running_batch += batch;
	kind->running_pct += speed_pct;
}

/* The estimator must have been told before that none of a kind runs. */
static void drop_idle_kinds(agent_interference_t *self)
{
	size_t kept = 0;

	for (size_t i = 0; i < self->kind_count; i++)
		if (self->kinds[i].running_pct)
			self->kinds[kept++] = self->kinds[i];
	self->kind_count = kept;
}

void interference_count_runs(agent_t *agent)
{
	agent_interference_t *self = agent->interference;

	self->running_batch = 0;
	self->evicted_running = false;
	for (size_t i = 0; i < self->kind_count; i++) {
		self->kinds[i].running_batch = 0;
		self->kinds[i].running_pct = 0;
	}
	gn_worker_tasks_foreach_active(agent->tasks, count_run, self);
}

void interference_report_running(agent_interference_t *self)
{
	for (size_t i = 0; i < self->kind_count; i++) {
		interference_kind_t *kind = &self->kinds[i];

		if (kind->reported_pct == kind->running_pct)
			continue;
		gn_interfere_set_running(
			self->interfere, gn_str_from(kind->name),
			(double)kind->running_pct / INTERFERENCE_PERCENT);
		kind->reported_pct = kind->running_pct;
	}
	drop_idle_kinds(self);
}

/* ======   Throttling   ====== */

void interference_distribute_speed(agent_interference_t *self,
				   unsigned total_pct)
{
	gn_speed_t speeds[GN_INTERFERE_KINDS];
	interference_kind_t *kinds[GN_INTERFERE_KINDS];
	size_t count = 0;

	for (size_t i = 0; i < self->kind_count; i++) {
		interference_kind_t *kind = &self->kinds[i];

		if (!kind->running_batch)
			continue;
		kinds[count] = kind;
		speeds[count++] = (gn_speed_t){ gn_str_from(kind->name),
						kind->running_batch, 0 };
	}
	gn_speed_distribute(self->interfere, self->measured.load_pct, total_pct,
			    self->config.floor_pct, speeds, count);
	for (size_t i = 0; i < count; i++)
		kinds[i]->speed_pct = speeds[i].speed_pct;
}

static bool is_speed_current(unsigned sent_pct, unsigned speed_pct)
{
	unsigned change_pct = sent_pct > speed_pct ? sent_pct - speed_pct
						   : speed_pct - sent_pct;

	if (!sent_pct || speed_pct == GN_SPEED_FULL_PCT)
		return sent_pct == speed_pct;
	return change_pct < SPEED_CHANGE_MIN_PCT;
}

static void set_speed(const gn_active_run_t *run, void *data)
{
	agent_t *agent = data;
	agent_interference_t *self = agent->interference;
	const interference_kind_t *kind = find_kind(self, run->kind);
	unsigned speed_pct = GN_SPEED_FULL_PCT;

	/* With the control off, tasks throttled before return to full speed. */
	if (self->throttle && kind && run->work_class == GN_CLASS_BATCH)
		speed_pct = kind->speed_pct;
	if (!self->throttle && !run->speed_pct)
		return;
	if (!is_speed_current(run->speed_pct, speed_pct))
		gn_worker_tasks_set_speed(agent->tasks, run->id, speed_pct);
}

void interference_set_speeds(agent_t *agent)
{
	if (!agent->interference->throttling_unsupported)
		gn_worker_tasks_foreach_active(agent->tasks, set_speed, agent);
}

static void set_throttling_unsupported(agent_t *agent, bool unsupported)
{
	agent_interference_t *self = agent->interference;

	self->throttling_unsupported = unsupported;
	gn_str_copy(self->backend_incarnation,
		    sizeof(self->backend_incarnation),
		    gn_str_from(agent->backend.incarnation));
	if (self->throttle)
		gn_throttle_set_floor(self->throttle,
				      unsupported ? GN_SPEED_FULL_PCT
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
		gn_worker_tasks_set_known_speed(agent->tasks, action->id, 0);
		return;
	}
	gn_worker_tasks_set_known_speed(agent->tasks, action->id,
					GN_SPEED_FULL_PCT);
	/* A backend server that restarted may merely not have the task. */
	if (self->throttling_unsupported ||
	    !agent_action_is_current(agent, action))
		return;
	gn_log(LOG_NOTICE, "throttle", agent->backend.address,
	       "not supported, checkpointing tasks instead");
	set_throttling_unsupported(agent, true);
}

void interference_detect_restart(agent_t *agent)
{
	agent_interference_t *self = agent->interference;

	if (strcmp(self->backend_incarnation, agent->backend.incarnation) != 0)
		set_throttling_unsupported(agent, false);
}
