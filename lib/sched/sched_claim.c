/**
 * @file sched_claim.c
 * @brief Claims: what binds a task to a worker, and the orders they call for.
 */
#include "sched/sched_internal.h"

#include "common/str.h"

gn_room_t sched_step_room(const Gn__JobStep *step)
{
	gn_room_t room = { .cpu_milli = step->fills ? 0 : step->cpu_milli,
			   .memory_mb = step->memory_mb,
			   .accelerators = step->accelerators };

	return room;
}

static const Gn__JobStep *step_of(const sched_task_t *task)
{
	return task->job->units[task->unit].step;
}

/* ======   Claim and release   ====== */

static void bind_task(sched_task_t *task, sched_worker_t *worker,
		      const char *life)
{
	const Gn__JobStep *step = step_of(task);
	gn_room_t room = sched_step_room(step);
	sched_job_t *job = task->job;

	task->status = GN_TASK_CLAIMED;
	task->worker = worker;
	task->life = g_intern_string(life);
	task->ordered = false;
	task->restored = false;
	task->listed = false;
	task->stopping = false;
	task->order_us = 0;
	task->percent = 100;
	task->gauge = 0;
	task->gauge_before = 0;
	task->slow_us = 0;
	task->crawl_us = 0;
	task->claimed_us = sched_now_us(job->sched);
	gn_room_add(&worker->used, &room);
	g_ptr_array_add(worker->claims, task);
	worker->serving += step->target_ms != 0;
	worker->serve_milli += step->target_ms ? step->cpu_milli : 0;
	worker->filling += step->fills;
	worker->fill_milli += step->fills ? step->cpu_milli : 0;
	job->units[task->unit].waiting--;
	job->claimed++;
	job->sched->claims++;
}

static void unbind_task(sched_task_t *task)
{
	const Gn__JobStep *step = step_of(task);
	gn_room_t room = sched_step_room(step);
	sched_worker_t *worker = task->worker;

	gn_room_subtract(&worker->used, &room);
	g_ptr_array_remove_fast(worker->claims, task);
	worker->serving -= step->target_ms != 0;
	worker->serve_milli -= step->target_ms ? step->cpu_milli : 0;
	worker->filling -= step->fills;
	worker->fill_milli -= step->fills ? step->cpu_milli : 0;
	g_ptr_array_remove_fast(task->job->starts, task);
	task->worker = NULL;
	task->job->claimed--;
	task->job->sched->claims--;
}

void sched_claim(sched_task_t *task, sched_worker_t *worker, uint32_t attempt)
{
	sched_job_t *job = task->job;

	bind_task(task, worker, worker->life);
	task->attempt = attempt;
	task->claim_version = sched_job_mark(job);
	g_ptr_array_add(job->starts, task);
	sched_note_task(job->sched, "claim", task, NULL,
			(int64_t)task->claim_version);
}

void sched_claim_restore(sched_task_t *task, sched_worker_t *worker,
			 const char *life)
{
	bind_task(task, worker, life);
	/* durable as it is; the start may never have been sent */
	task->ordered = true;
	task->restored = true;
}

void sched_unclaim(sched_task_t *task, const char *why)
{
	sched_job_t *job = task->job;
	sched_unit_t *unit = &job->units[task->unit];

	sched_note_task(job->sched, "release", task, why, 0);
	unbind_task(task);
	task->status = GN_TASK_WAITING;
	unit->waiting++;
	unit->waiting_us = sched_now_us(job->sched);
	if (task->number - unit->first < unit->next)
		unit->next = task->number - unit->first;
	sched_job_mark(job);
	if (sched_is_gang(task))
		sched_gang_stop(task, "a member of the gang has ended");
}

void sched_unclaim_done(sched_task_t *task)
{
	unbind_task(task);
	sched_job_task_done(task);
}

void sched_stop(sched_task_t *task, const char *why)
{
	if (task->stopping)
		return;
	/* a start that was never sent needs no stop */
	if (!task->ordered) {
		sched_unclaim(task, why);
		return;
	}
	sched_note_task(task->job->sched, "stop", task, why, 0);
	task->stopping = true;
	task->order_us = 0;
	sched_claim_order(task);
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
		.ticket = sched_advice_ticket(job, &job->units[task->unit],
					      task->life),
		.percent = task->percent,
	};

	gn_task_name(job->spec, task->number, name);
	task->order_us = sched_now_us(job->sched);
	job->sched->ops->order(job->sched->arg, task->worker->host, &order);
}

void sched_claim_order(sched_task_t *task)
{
	uint64_t now_us = sched_now_us(task->job->sched);

	if (!task->ordered || now_us - task->order_us < SCHED_RESEND_US)
		return;
	if (!sched_worker_is_live(task->job->sched, task->worker))
		return;
	if (task->stopping) {
		send_order(task, GN_RUN_ORDER_STOP);
		return;
	}
	/*
	 * No start that its executor could begin after the claim has lapsed,
	 * and none of a run that a predecessor may have begun.
	 */
	if (!task->listed && (!task->restored || task->worker->looked) &&
	    sched_worker_has_list(task->job->sched, task->worker))
		send_order(task, GN_RUN_ORDER_START);
}

void sched_job_send_starts(sched_job_t *job)
{
	guint kept = 0;

	for (guint i = 0; i < job->starts->len; i++) {
		sched_task_t *task = g_ptr_array_index(job->starts, i);

		if (task->claim_version > job->durable) {
			g_ptr_array_index(job->starts, kept++) = task;
			continue;
		}
		task->ordered = true;
		send_order(task, GN_RUN_ORDER_START);
	}
	g_ptr_array_set_size(job->starts, (gint)kept);
}

/* ======   Ends   ====== */

void sched_keep_checkpoint(sched_task_t *task, const char *checkpoint)
{
	if (!*checkpoint || !g_strcmp0(task->checkpoint, checkpoint))
		return;
	if (sched_is_gang(task)) {
		sched_gang_keep_checkpoint(task, checkpoint);
		return;
	}
	g_free(task->checkpoint);
	task->checkpoint = g_strdup(checkpoint);
}

static uint32_t get_failures(const sched_task_t *task)
{
	return sched_is_gang(task) ? sched_gang_failures(task) : task->failed;
}

static void take_failure(sched_task_t *task)
{
	sched_job_t *job = task->job;

	task->failed++;
	sched_unclaim(task, "failed");
	if (step_of(task)->standing || sched_job_is_finished(job))
		return;
	if (get_failures(task) >= job->max_attempts)
		sched_job_finish(job, GN_JOB_FAILED, "attempts used up");
}

void sched_note_started(sched_task_t *task)
{
	sched_job_t *job = task->job;

	/* stored with the job's next change: a list tells it to a successor */
	if (job->phase == GN_JOB_QUEUED)
		job->phase = GN_JOB_RUNNING;
	if (task->listed)
		return;
	task->listed = true;
	task->listed_us = sched_now_us(job->sched);
}

/* What the run tells of its worker. */
static void learn(const sched_task_t *task, gn_end_how_t how)
{
	gn_health_t *health = &task->worker->health;
	uint64_t now_us = sched_now_us(task->job->sched);
	const Gn__JobStep *step = step_of(task);

	if (how == GN_END_FAILED)
		gn_health_fail(health, now_us);
	else if (how == GN_END_DONE && !step->fills && !task->checkpoint)
		gn_health_succeed(health, now_us - task->claimed_us,
				  (uint64_t)step->estimate_ms * GN_US_PER_MS);
	else if (how == GN_END_DONE)
		gn_health_succeed(health, 0, 0);
}

void sched_take_end(sched_task_t *task, gn_end_how_t how,
		    const char *checkpoint)
{
	sched_note_task(task->job->sched, "end", task, gn_end_how_name(how), 0);
	sched_note_started(task);
	learn(task, how);
	sched_keep_checkpoint(task, checkpoint);
	if (how == GN_END_DONE && sched_is_gang(task))
		sched_gang_done(task);
	else if (how == GN_END_DONE)
		sched_unclaim_done(task);
	else if (how == GN_END_FAILED)
		take_failure(task);
	else
		sched_unclaim(task, gn_end_how_name(how));
}

void sched_take_late_done(sched_task_t *task)
{
	sched_note_task(task->job->sched, "end", task, "done, after a lapse",
			0);
	task->job->units[task->unit].waiting--;
	sched_job_task_done(task);
}
