/**
 * @file interference_evict.c
 * @brief Evicts one batch task if throttling is not enough.
 *
 * The task is told to checkpoint, and is stopped if the checkpoint doesn't
 * complete in time. Its owner resumes it elsewhere.
 */
#include <inttypes.h>

#include "agent/interference_internal.h"
#include "common/log.h"

/**
 * Tail, as a multiple of the target, up to which measurements show which kind
 * adds to it.
 */
#define LEARNABLE_TAIL_MAX 5

/** Search for the batch run that was confirmed last. */
typedef struct search_s {
	gn_str_t kind; /**< Only runs of this kind; empty for all. */
	uint64_t id; /**< ID of the run found; 0 if none. */
	uint64_t confirmed_us; /**< Time when that run was confirmed. */
} search_t;

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
 * With throttling and a tail in the range that can be learned, the absence of a
 * worst kind means that no kind adds to the tail, so evicting would not help.
 */
static bool is_eviction_useless(const agent_interference_t *self)
{
	uint64_t learnable_us =
		(uint64_t)LEARNABLE_TAIL_MAX * self->config.target_us;

	return !self->throttling_unsupported &&
	       self->measured.tail_us < learnable_us;
}

static uint64_t choose_victim(const agent_t *agent)
{
	const agent_interference_t *self = agent->interference;
	search_t search = { 0 };

	if (!gn_interfere_find_worst(self->interfere, self->measured.load_pct,
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
	uint64_t id = choose_victim(agent);

	if (!id ||
	    gn_worker_tasks_evict(agent->tasks, id, GN_ACTION_CHECKPOINT))
		return;
	self->evicted_id = id;
	self->evicted_running = true;
	self->evicted_stop_sent = false;
	gn_throttle_begin_checkpoint(self->throttle);
	gn_counter_inc(self->counters.checkpoints);
	log_eviction(agent, "checkpoint", id);
}

/* lib/batch/worker_tasks.h repeats a stop each second until confirmed. */
static void stop_evicted(agent_t *agent)
{
	agent_interference_t *self = agent->interference;

	gn_worker_tasks_evict(agent->tasks, self->evicted_id, GN_ACTION_STOP);
	if (self->evicted_stop_sent)
		return;
	self->evicted_stop_sent = true;
	gn_counter_inc(self->counters.stops);
	log_eviction(agent, "stop", self->evicted_id);
}

/* A task evicted while its owner can't move it would wait, not resume. */
static bool may_evict(const agent_t *agent)
{
	return !agent_is_draining(agent) && !agent_moves_are_blocked(agent);
}

void interference_apply_step(agent_t *agent, gn_throttle_step_t step)
{
	if (step == GN_THROTTLE_CHECKPOINT && may_evict(agent))
		begin_eviction(agent);
	if (step == GN_THROTTLE_STOP && agent->interference->evicted_id)
		stop_evicted(agent);
}

void interference_finish_eviction(agent_interference_t *self)
{
	if (!self->evicted_id || self->evicted_running)
		return;
	self->evicted_id = 0;
	gn_throttle_end_checkpoint(self->throttle, self->running_batch);
}
