/**
 * @file sched_claim.c
 * @brief Claims, which bind tasks to workers, and the orders for them.
 */
#include "sched/sched_internal.h"

#include "common/str.h"

gn_resource_vector_t sched_step_resources(const Gn__JobStep *step)
{
	gn_resource_vector_t resources = {
		.cpu_milli = step->fills ? 0 : step->cpu_milli,
		.memory_mb = step->memory_mb,
		.accelerators = step->accelerators
	};

	return resources;
}

static const Gn__JobStep *get_step(const sched_task_t *task)
{
	return task->unit->step;
}

/* ======   Claim and release   ====== */

static void attach_claim(sched_task_t *task, sched_worker_t *worker,
			 gn_life_t life)
{
	const Gn__JobStep *step = get_step(task);
	gn_resource_vector_t resources = sched_step_resources(step);
	sched_job_t *job = task->job;

	task->state = GN_JOB_TASK_CLAIMED;
	task->worker = worker;
	task->life.id = g_intern_string(life.id);
	task->life.started_ms = life.started_ms;
	task->start_sent = false;
	task->restored = false;
	task->listed = false;
	task->settled = false;
	task->held = false;
	task->moved = false;
	task->repeated = false;
	task->stopping = false;
	task->last_order_us = 0;
	task->start_ordered_us = 0;
	task->pace_percent = 100;
	task->pace_ordered_us = 0;
	task->last_reading = 0;
	task->previous_reading = 0;
	if (!task->checkpoint)
		task->progress_us = 0;
	task->slow_since_us = 0;
	task->very_slow_since_us = 0;
	task->isolated = false;
	task->resumed = task->checkpoint != NULL;
	task->near_wait_us = 0;
	task->near_wait_until_us = 0;
	task->claimed_us = sched_now_us(job->sched);
	gn_resource_vector_add(&worker->used, &resources);
	g_ptr_array_add(worker->claims, task);
	worker->serving += step->target_ms != 0;
	worker->serving_milli += step->target_ms ? step->cpu_milli : 0;
	worker->best_effort += step->fills;
	worker->best_effort_milli += step->fills ? step->cpu_milli : 0;
	task->unit->waiting--;
	job->claimed++;
	job->sched->claims++;
}

static void detach_claim(sched_task_t *task)
{
	const Gn__JobStep *step = get_step(task);
	gn_resource_vector_t resources = sched_step_resources(step);
	sched_worker_t *worker = task->worker;

	gn_resource_vector_subtract(&worker->used, &resources);
	g_ptr_array_remove_fast(worker->claims, task);
	worker->serving -= step->target_ms != 0;
	worker->serving_milli -= step->target_ms ? step->cpu_milli : 0;
	worker->best_effort -= step->fills;
	worker->best_effort_milli -= step->fills ? step->cpu_milli : 0;
	g_ptr_array_remove_fast(task->job->pending_starts, task);
	task->isolated = false;
	task->worker = NULL;
	task->job->claimed--;
	task->job->sched->claims--;
}

void sched_create_claim(sched_task_t *task, sched_worker_t *worker,
			uint32_t attempt)
{
	sched_job_t *job = task->job;

	attach_claim(task, worker, worker->life);
	gn_backlog_count_taken(&job->sched->backlog, sched_now_us(job->sched));
	task->repeated = attempt == task->attempt;
	task->attempt = attempt;
	task->claimed_ms = sched_wall_ms(job->sched);
	task->claim_version = sched_job_mark_dirty(job);
	g_ptr_array_add(job->pending_starts, task);
	sched_emit_task_event(job->sched, "claim", task, NULL,
			      (int64_t)task->claim_version);
}

/* An earlier leader orders no start later than depose_ms after the stored time
 * (has_stored_time()). */
static uint64_t get_earlier_order_us(const gn_sched_t *sched,
				     uint64_t claimed_ms)
{
	uint64_t wall_ms = sched_wall_ms(sched);
	uint64_t since_ms = claimed_ms + SCHED_CLOCK_DIFFERENCE_MS;
	uint64_t age_us =
		since_ms < wall_ms ? (wall_ms - since_ms) * GN_US_PER_MS : 0;
	uint64_t until_us = sched_now_us(sched) +
			    (uint64_t)sched->config.depose_ms * GN_US_PER_MS;

	return age_us < until_us ? until_us - age_us : 1;
}

void sched_restore_claim(sched_task_t *task, sched_worker_t *worker,
			 const Gn__TaskState *row)
{
	attach_claim(task, worker, (gn_life_t){ row->life, row->born_ms });
	/* The claim is durable. Whether a start was sent is unknown, so it
	 * counts as sent. */
	task->start_sent = true;
	task->restored = true;
	task->claimed_ms = row->claimed_ms;
	/* Older builds do not store when it was claimed. */
	task->settled = row->settled || !row->claimed_ms;
	task->start_ordered_us =
		get_earlier_order_us(task->job->sched, row->claimed_ms);
}

void sched_release_claim(sched_task_t *task, const char *why)
{
	sched_job_t *job = task->job;
	sched_unit_t *unit = task->unit;

	sched_calls_keep(task);
	sched_emit_task_event(job->sched, "release", task, why, 0);
	detach_claim(task);
	task->state = GN_JOB_TASK_WAITING;
	unit->waiting++;
	unit->waiting_us = sched_now_us(job->sched);
	task->released_us = unit->waiting_us;
	if (task->number - unit->first < unit->search_from)
		unit->search_from = task->number - unit->first;
	sched_job_mark_dirty(job);
	if (sched_is_gang(task))
		sched_gang_stop(task, "another gang member has ended");
}

void sched_complete_claim(sched_task_t *task)
{
	detach_claim(task);
	sched_job_task_done(task);
}

void sched_complete_waiting(sched_task_t *task)
{
	task->unit->waiting--;
	sched_job_task_done(task);
}

void sched_stop_run(sched_task_t *task, const char *why)
{
	if (task->stopping)
		return;
	/* No stop is needed if no start was sent. */
	if (!task->start_sent) {
		sched_release_claim(task, why);
		return;
	}
	sched_emit_task_event(task->job->sched, "stop", task, why, 0);
	task->stopping = true;
	task->last_order_us = 0;
	sched_send_due_order(task);
}

void sched_stop_in_new_life(sched_task_t *task, gn_life_t life)
{
	const char *why = "new life of the worker";

	task->life = life;
	task->moved = true;
	task->listed = false;
	if (task->stopping) {
		/* The earlier life may have taken the last order. */
		task->last_order_us = 0;
		sched_send_due_order(task);
	} else {
		sched_stop_run(task, why);
	}
	/* The run in the earlier life is over, so the gang is broken. */
	if (sched_is_gang(task))
		sched_gang_stop(task, why);
}

/* ======   Orders   ====== */

static void send_order(sched_task_t *task, gn_run_order_kind_t kind)
{
	const sched_job_t *job = task->job;
	char name[GN_TASK_NAME_SIZE];
	gn_run_order_t order = {
		.kind = kind,
		.task = name,
		.attempt = task->attempt,
		.life = task->life,
		.payload = { (const char *)job->spec->payload.data,
			     job->spec->payload.len },
		.checkpoint = task->checkpoint ? task->checkpoint : "",
		.ticket = sched_advice_ticket(job, task->unit, task->life),
		.percent = task->pace_percent,
		.first = !task->start_ordered_us && !task->repeated,
	};

	gn_task_format_name(job->spec, task->number, name);
	task->last_order_us = sched_now_us(job->sched);
	if (kind == GN_RUN_ORDER_START) {
		task->settled = false;
		task->start_ordered_us =
			MAX(task->start_ordered_us, task->last_order_us);
	}
	job->sched->ops->send_order(job->sched->arg, task->worker->host,
				    &order);
}

/* Whether no evacuation prevents the start, as far as is known. */
static bool is_evacuation_clear(const sched_task_t *task)
{
	gn_sched_t *sched = task->job->sched;

	if (!task->worker->evacuated && sched_knows_evacuations(sched))
		return true;
	sched->held_back_starts++;
	return false;
}

/*
 * Whether a start may be ordered now. Without a fresh list, it could take
 * effect after the claim has expired. A restored claim needs a list first,
 * since an earlier leader may have started the run. Without a fencing token of
 * its life, a late call for an earlier one could discard the run's end.
 */
static bool may_order_start(const sched_task_t *task)
{
	const gn_sched_t *sched = task->job->sched;

	/* The next list shows which starts still fit. */
	if (task->worker->shrunk || task->worker->fence_batch)
		return false;
	return !task->listed && is_evacuation_clear(task) &&
	       (!task->restored || task->worker->has_listed) &&
	       sched_worker_is_live(sched, task->worker) &&
	       sched_worker_has_fresh_list(sched, task->worker);
}

/*
 * Whether a new leader knows by the stored time of the claim how long a start
 * that is ordered now may be carried out. Otherwise the time is stored first.
 */
static bool has_stored_time(sched_task_t *task)
{
	sched_job_t *job = task->job;
	uint64_t wall_ms = sched_wall_ms(job->sched);

	if (task->claim_version > job->durable_version)
		return false;
	if (wall_ms < task->claimed_ms + job->sched->config.depose_ms)
		return true;
	task->claimed_ms = wall_ms;
	task->claim_version = sched_job_mark_dirty(job);
	return false;
}

void sched_send_due_order(sched_task_t *task)
{
	uint64_t now_us = sched_now_us(task->job->sched);

	if (!task->start_sent || now_us - task->last_order_us < SCHED_RESEND_US)
		return;
	if (!sched_worker_is_live(task->job->sched, task->worker))
		return;
	if (task->stopping) {
		send_order(task, GN_RUN_ORDER_STOP);
		return;
	}
	if (!may_order_start(task) || !has_stored_time(task))
		return;
	sched_emit_task_event(
		task->job->sched, "repeat", task, NULL,
		(int64_t)((now_us - task->claimed_us) / GN_US_PER_MS));
	send_order(task, GN_RUN_ORDER_START);
}

void sched_job_send_starts(sched_job_t *job)
{
	guint remaining = 0;

	for (guint i = 0; i < job->pending_starts->len; i++) {
		sched_task_t *task = g_ptr_array_index(job->pending_starts, i);

		if (!has_stored_time(task)) {
			g_ptr_array_index(job->pending_starts, remaining++) =
				task;
			continue;
		}
		task->start_sent = true;
		/* The worker may have fallen silent while the claim was being
		 * stored; then the start follows with its next list. */
		if (may_order_start(task))
			send_order(task, GN_RUN_ORDER_START);
	}
	g_ptr_array_set_size(job->pending_starts, (gint)remaining);
}

/* ======   Ends   ====== */

void sched_set_checkpoint(sched_task_t *task, const char *checkpoint)
{
	if (!*checkpoint || !g_strcmp0(task->checkpoint, checkpoint))
		return;
	if (sched_is_gang(task)) {
		sched_gang_set_checkpoint(task, checkpoint);
		return;
	}
	g_free(task->checkpoint);
	task->checkpoint = g_strdup(checkpoint);
}

bool sched_is_at_attempt_limit(const sched_task_t *task)
{
	uint32_t failed =
		sched_is_gang(task) ? sched_gang_failures(task) : task->failed;

	return !get_step(task)->standing && task->job->max_attempts &&
	       failed >= task->job->max_attempts;
}

static void handle_failure(sched_task_t *task)
{
	if (!sched_is_gang(task) || !sched_gang_has_failed(task)) {
		task->failed++;
		task->failed_attempt = task->attempt;
	}
	sched_crash_clear_proofs(task);
	sched_release_claim(task, "failed");
	sched_job_check_limits(task->job);
}

void sched_mark_started(sched_task_t *task)
{
	sched_job_t *job = task->job;

	/* Stored only with the job's next change, since the next leader learns
	 * it from a list. */
	if (job->phase == GN_JOB_QUEUED)
		job->phase = GN_JOB_RUNNING;
	if (task->listed)
		return;
	task->listed = true;
	task->first_listed_us = sched_now_us(job->sched);
	task->list_made_us = task->first_listed_us;
	task->last_listed_us = task->first_listed_us;
}

/* Updates the health of the worker from the outcome of a run. */
static void update_health(const sched_task_t *task, gn_end_kind_t how)
{
	gn_health_t *health = &task->worker->health;
	uint64_t now_us = sched_now_us(task->job->sched);
	const Gn__JobStep *step = get_step(task);

	if (how == GN_END_FAILED)
		gn_health_fail(health, now_us);
	else if (how == GN_END_DONE && !step->fills && !task->checkpoint &&
		 !task->repeated)
		gn_health_succeed(health, now_us - task->claimed_us,
				  (uint64_t)step->estimate_ms * GN_US_PER_MS);
	else if (how == GN_END_DONE)
		gn_health_succeed(health, 0, 0);
}

/* Whether the run was near its data, and a gang near its other members. */
static bool was_near(const sched_task_t *task)
{
	const Gn__JobStep *step = get_step(task);
	const char *rack = task->worker->rack;

	if (*step->rack && g_strcmp0(step->rack, rack) != 0)
		return false;
	return !step->gang || !step->same_rack ||
	       sched_gang_is_in_one_rack(task);
}

/* Logs the learned value in percent of the declared time. */
static void log_learned_run_time(const sched_task_t *task)
{
	const char *queue = task->job->spec->queue;
	const gn_estimate_value_t value =
		gn_estimate_get(task->job->sched->estimate, queue, task->image);
	g_autofree char *why =
		g_strdup_printf("queue %s, image %s, %u ends, spread %.2f",
				queue, task->image, value.count, value.spread);

	sched_emit_task_event(task->job->sched, "run time", task, why,
			      (int64_t)(100 * value.ratio + 0.5));
}

/* Learns the run time of a task that is done. */
static void learn_run_time(const sched_task_t *task)
{
	const Gn__JobStep *step = get_step(task);
	gn_sched_t *sched = task->job->sched;
	const gn_estimate_run_t run = {
		.took_us = sched_now_us(sched) - task->claimed_us,
		.declared_us = (uint64_t)step->estimate_ms * GN_US_PER_MS,
		.slowness = task->worker->health.slowness,
		.altered = task->resumed || task->pace_ordered_us ||
			   !was_near(task)
	};

	/* The start of a claim that an earlier leader made is unknown, and a late
	 * call may have begun a run before its claim. */
	if (step->standing || task->restored || task->repeated)
		return;
	if (!gn_estimate_learn(sched->estimate, task->job->spec->queue,
			       step->image, &run))
		return;
	sched->learned = true;
	log_learned_run_time(task);
}

void sched_handle_end(sched_task_t *task, gn_end_kind_t how,
		      const char *checkpoint)
{
	sched_emit_task_event(task->job->sched, "end", task,
			      gn_end_kind_name(how), 0);
	sched_mark_started(task);
	if (how == GN_END_DONE)
		learn_run_time(task);
	update_health(task, how);
	sched_set_checkpoint(task, checkpoint);
	if (how == GN_END_DONE && sched_is_gang(task))
		sched_gang_complete(task);
	else if (how == GN_END_DONE)
		sched_complete_claim(task);
	else if (how == GN_END_FAILED)
		handle_failure(task);
	else
		sched_release_claim(task, gn_end_kind_name(how));
}

void sched_handle_late_done(sched_task_t *task, const sched_worker_t *worker)
{
	char name[GN_TASK_NAME_SIZE];
	gn_sched_event_t event = {
		.name = "end",
		.job = task->job->spec->id,
		.task = name,
		.attempt = task->attempt,
		.life = task->life,
		.reason = "done, after the lease had expired",
	};

	gn_task_format_name(task->job->spec, task->number, name);
	sched_emit_event(task->job->sched, &event, worker);
	if (sched_is_gang(task))
		sched_gang_complete(task);
	else
		sched_complete_waiting(task);
}
