/**
 * @file sched_report.c
 * @brief Reports of executors: the runs and ends that workers list, and the
 *        outcomes of orders.
 */
#include <string.h>

#include "sched/sched_pass.h"

/* ======   Runs   ====== */

static bool is_claimed_run(const sched_task_t *task,
			   const sched_worker_t *worker, uint32_t attempt)
{
	return task && task->state == GN_JOB_TASK_CLAIMED &&
	       task->worker == worker &&
	       gn_life_matches(task->life, worker->life) &&
	       task->attempt == attempt;
}

/* Stops a run without a claim and counts its resources as used meanwhile. */
static void stop_unclaimed_run(gn_sched_t *sched, sched_worker_t *worker,
			       const Gn__WorkerRun *run,
			       const sched_task_t *task)
{
	const Gn__JobStep *step = task ? task->unit->step : NULL;

	if (step) {
		gn_resource_vector_t resources = sched_step_resources(step);

		gn_resource_vector_add(&worker->unclaimed_use, &resources);
	}
	sched_calls_note_run(sched, worker, run);
	sched_stop_attempt(sched, worker, run->task, run->attempt, "no claim");
}

/* Whether a call for a former life has begun a run that its task waits for. */
static bool is_awaited_run(const sched_task_t *task,
			   const sched_worker_t *worker,
			   const Gn__WorkerRun *run)
{
	return task && task->state == GN_JOB_TASK_WAITING &&
	       task->attempt == run->attempt && task->unit->ready &&
	       !sched_job_is_finished(task->job) && !sched_is_gang(task) &&
	       !sched_isolate_is_awaited(task) &&
	       sched_worker_is_eligible(task->job->sched, worker, task->job,
					task->unit->step) &&
	       sched_calls_may_have_begun(task, worker);
}

/* Claims a run that has begun without an order of this claim. */
static void adopt_run(sched_task_t *task, sched_worker_t *worker)
{
	sched_create_claim(task, worker, task->attempt);
	task->start_sent = true;
	sched_emit_task_event(task->job->sched, "adopt", task,
			      "a call for a former life has begun it", 0);
}

/* Adds the time since the last list, at the share of its CPU that a best-effort
 * run has used. */
static void count_progress(sched_task_t *task, uint32_t used_milli)
{
	const Gn__JobStep *step = task->unit->step;
	uint64_t passed_us =
		sched_now_us(task->job->sched) - task->last_listed_us;

	if (step->fills && step->cpu_milli)
		task->progress_us += passed_us *
				     MIN(used_milli, step->cpu_milli) /
				     step->cpu_milli;
}

static void handle_run(gn_sched_t *sched, sched_worker_t *worker,
		       const Gn__WorkerReport *report, const Gn__WorkerRun *run)
{
	sched_task_t *task = sched_find_task(sched, run->task);

	if (is_awaited_run(task, worker, run))
		adopt_run(task, worker);
	if (!is_claimed_run(task, worker, run->attempt)) {
		stop_unclaimed_run(sched, worker, run, task);
		return;
	}
	sched_mark_started(task);
	task->settled |= run->settled || !report->tracks_starts;
	count_progress(task, run->gauge);
	task->last_listed_us = sched_now_us(sched);
	task->list_made_us = worker->last_list_us;
	/* Stored only with the job's next change. */
	sched_set_checkpoint(task, run->checkpoint);
	sched_isolate_end_if_proven(task);
	sched_crash_clear_long_run(task);
	task->previous_reading = task->last_reading;
	task->last_reading = run->gauge;
}

static void handle_runs(gn_sched_t *sched, sched_worker_t *worker,
			const Gn__WorkerReport *report)
{
	bool had_unclaimed_use = worker->unclaimed_use.cpu_milli ||
				 worker->unclaimed_use.memory_mb;

	memset(&worker->unclaimed_use, 0, sizeof(worker->unclaimed_use));
	for (size_t i = 0; i < report->n_runs; i++)
		handle_run(sched, worker, report, report->runs[i]);
	if (had_unclaimed_use)
		sched->changed = true;
}

/*
 * Stops the runs that were confirmed and that the worker no longer lists, nor
 * their ends: the worker was told to discard an end that nobody has seen. The
 * stop shows whether they are gone, and without it their claims would last for
 * ever.
 */
static void stop_missing_runs(gn_sched_t *sched, sched_worker_t *worker,
			      const Gn__WorkerReport *report)
{
	uint64_t now_us = sched_now_us(sched);

	/* A long list of ends may have been cut. */
	if (report->n_ends)
		return;
	for (guint i = 0; i < worker->claims->len; i++) {
		sched_task_t *task = g_ptr_array_index(worker->claims, i);

		if (task->listed &&
		    now_us - task->last_listed_us >= SCHED_MISSING_US)
			sched_stop_run(task, "no longer listed");
	}
}

/* ======   Ends   ====== */

/* Whether a run has succeeded whose claim was released before, so that the task
 * need not run again. A call that was carried out late may have begun it. */
static bool is_late_done(const sched_task_t *task, const Gn__WorkerEnd *listed)
{
	if (!task || task->state != GN_JOB_TASK_WAITING ||
	    listed->how != GN_END_DONE)
		return false;
	return listed->attempt == task->attempt ||
	       (listed->attempt < task->attempt && !sched_is_gang(task));
}

/* Whether a run of an earlier attempt has succeeded, which a late call has begun,
 * while the task is claimed again. */
static bool is_done_before_claim(const sched_task_t *task,
				 const sched_worker_t *worker,
				 const Gn__WorkerEnd *listed)
{
	return task && task->state == GN_JOB_TASK_CLAIMED && !task->listed &&
	       (task->worker == worker || !task->start_ordered_us) &&
	       !sched_is_gang(task) && listed->attempt < task->attempt &&
	       listed->how == GN_END_DONE;
}

/* Logs an end whose claim was released before. */
static void log_unclaimed_end(const gn_sched_t *sched,
			      const sched_worker_t *worker,
			      const Gn__WorkerEnd *listed)
{
	gn_sched_event_t event = {
		.name = "unclaimed end",
		.task = listed->task,
		.attempt = listed->attempt,
		.reason = gn_end_kind_name((gn_end_kind_t)listed->how),
		.value = (int64_t)listed->number,
	};

	sched_emit_event(sched, &event, worker);
}

/* Whether a run has failed that a late call had begun, and whose task waits. */
static bool is_late_failure(const sched_task_t *task,
			    const sched_worker_t *worker,
			    const Gn__WorkerEnd *listed)
{
	return task && task->state == GN_JOB_TASK_WAITING &&
	       listed->attempt == task->attempt &&
	       listed->how == GN_END_FAILED &&
	       sched_calls_may_have_begun(task, worker);
}

/* Where it has failed, the attempt is closed, so that no leader counts it twice. */
static void count_late_failure(sched_task_t *task, const sched_worker_t *worker,
			       const Gn__WorkerEnd *listed)
{
	gn_sched_t *sched = task->job->sched;

	log_unclaimed_end(sched, worker, listed);
	sched_calls_close(sched, worker, listed->task, listed->attempt);
	task->failed++;
	sched_job_mark_dirty(task->job);
	sched_job_check_limits(task->job);
}

/* The present attempt stays open and is stopped: its start may still be carried
 * out. */
static void complete_claim_early(sched_task_t *task)
{
	sched_emit_task_event(task->job->sched, "end", task,
			      "done, in an earlier attempt", 0);
	sched_lapse_record(task->worker, task);
	sched_complete_claim(task);
}

static void handle_listed_end(gn_sched_t *sched, sched_worker_t *worker,
			      const Gn__WorkerReport *report,
			      const Gn__WorkerEnd *listed)
{
	sched_task_t *task = sched_find_task(sched, listed->task);
	sched_end_t *end;

	if (listed->number <= worker->ends_seen)
		return;
	worker->ends_seen = listed->number;
	sched_lapse_close(worker, listed->task, listed->attempt);
	if (is_claimed_run(task, worker, listed->attempt)) {
		task->settled |= listed->settled || !report->lists_open_starts;
		/* The process of the executor that sent a call may be gone. */
		if (listed->how == GN_END_DONE)
			sched_calls_keep(task);
	}
	end = g_new0(sched_end_t, 1);
	end->number = listed->number;
	if (sched_calls_hold_end(sched, worker, listed->task))
		end->open_task = g_strdup(listed->task);
	g_queue_push_tail(&worker->ends, end);
	if (listed->how >= GN_END_KIND_COUNT) {
		/* The run is no longer listed, and is stopped for that. */
		log_unclaimed_end(sched, worker, listed);
		return;
	}
	if (is_claimed_run(task, worker, listed->attempt)) {
		sched_handle_end(task, (gn_end_kind_t)listed->how,
				 listed->checkpoint);
	} else if (is_late_done(task, listed)) {
		sched_handle_late_done(task, worker);
	} else if (is_done_before_claim(task, worker, listed)) {
		complete_claim_early(task);
	} else if (is_late_failure(task, worker, listed)) {
		count_late_failure(task, worker, listed);
	} else {
		log_unclaimed_end(sched, worker, listed);
		return;
	}
	end->job = task->job;
	end->job->pending_ends++;
	end->version = end->job->version;
}

/* ======   Results of orders   ====== */

/* The run may have begun before the worker's life ended. */
static void end_claim_of_ended_life(sched_task_t *task, const char *why)
{
	if (sched_crash_ended_life(task->worker, task->life))
		sched_crash_count_claims(task->worker, task->life, NULL);
	sched_release_claim(task, why);
	sched_job_check_limits(task->job);
}

/* Whether the run is not there, but may begin in the next life. */
static bool may_begin_later(const sched_task_t *task,
			    const Gn__WorkerReport *report,
			    const Gn__OrderResult *result)
{
	/* Otherwise the next start waits until the call is outlived. */
	if (result->settled || !report->tracks_starts ||
	    report->lists_open_starts)
		return false;
	return (result->verdict == GN_ORDER_OUTCOME_GONE ||
		result->verdict == GN_ORDER_OUTCOME_NOT_STARTED) &&
	       sched_may_start_in_later_life(task);
}

static void handle_result(gn_sched_t *sched, sched_worker_t *worker,
			  const Gn__WorkerReport *report,
			  const Gn__OrderResult *result)
{
	sched_task_t *task = sched_find_task(sched, result->task);
	const char *outcome = gn_run_order_outcome_name(
		(gn_run_order_outcome_t)result->verdict);

	if (!is_claimed_run(task, worker, result->attempt)) {
		if (result->verdict == GN_ORDER_OUTCOME_GONE)
			sched_lapse_close(worker, result->task,
					  result->attempt);
		return;
	}
	sched_emit_task_event(sched, "order", task, outcome, 0);
	if (result->verdict >= GN_ORDER_OUTCOME_COUNT)
		return;
	task->settled |= result->settled || !report->tracks_starts;
	if (may_begin_later(task, report, result)) {
		sched_stop_run(task, "a start call may still be carried out");
		return;
	}
	switch ((gn_run_order_outcome_t)result->verdict) {
	case GN_ORDER_OUTCOME_STARTED:
		/* The run starts at full pace and may have to be throttled. */
		sched_mark_started(task);
		if (task->unit->step->fills)
			sched_pace_worker(sched, worker);
		break;
	case GN_ORDER_OUTCOME_MALFORMED:
		sched_handle_end(task, GN_END_FAILED, "");
		break;
	case GN_ORDER_OUTCOME_ENDED:
		/* The list will show how the run ended. */
		break;
	case GN_ORDER_OUTCOME_NOT_STARTED:
		if (!worker->draining)
			gn_health_fail(&worker->health, sched_now_us(sched));
		sched_release_claim(task, outcome);
		break;
	case GN_ORDER_OUTCOME_NO_TICKET:
		sched_advice_drop_ticket(task);
		sched_release_claim(task, outcome);
		break;
	case GN_ORDER_OUTCOME_NO_ROOM:
		worker->full_until_us =
			sched_now_us(sched) + SCHED_FULL_BACKOFF_US;
		sched_release_claim(task, outcome);
		break;
	case GN_ORDER_OUTCOME_EVACUATED:
		/* The worker is healthy. */
		sched_release_claim(task, outcome);
		break;
	case GN_ORDER_OUTCOME_LIFE_ENDED:
		/* A process under another ID refuses the calls. */
		task->settled = true;
		end_claim_of_ended_life(task, outcome);
		break;
	default:
		sched_release_claim(task, outcome);
	}
}

/* ======   Reports   ====== */

/* Computes when the lease expires that the executor may extend after the answer
 * to this report. */
static void extend_lease(const gn_sched_t *sched, sched_worker_t *worker,
			 const Gn__WorkerReport *report)
{
	uint64_t now_us = sched_now_us(sched);
	uint64_t lease_us = sched_lease_us(sched->config.lease_ms);
	uint64_t age_us = (uint64_t)report->list_age_ms * GN_US_PER_MS;

	/* An earlier leader may still have leases extended after a new one has
	 * received a report, so the bounds never decrease. */
	worker->report_expiry_us =
		MAX(worker->report_expiry_us, now_us + lease_us);
	/* Without a list, the executor has not extended any lease. */
	if (report->list_age_ms == UINT32_MAX)
		return;
	worker->last_list_us = age_us < now_us ? now_us - age_us : 0;
	worker->list_expiry_us = MAX(
		worker->list_expiry_us,
		worker->last_list_us + SCHED_CLOCK_READING_MAX_US + lease_us);
}

/*
 * Allows for the longest lease, which a call for a former life may have given
 * this one before it refused such calls. The leader may not know that there was
 * a former life.
 * @param has_begun this leader had not heard of the life before
 */
static void allow_for_former_calls(const gn_sched_t *sched,
				   sched_worker_t *worker,
				   const Gn__WorkerReport *report,
				   bool has_begun)
{
	uint64_t age_us = (uint64_t)report->life_age_ms * GN_US_PER_MS;
	uint64_t expiry_us = sched_now_us(sched) +
			     sched_lease_us(sched->config.lease_max_ms);

	if (!report->lists_open_starts ||
	    (report->life_age_ms == UINT32_MAX && !has_begun &&
	     report->list_age_ms > SCHED_CLOCK_READING_MAX_US / GN_US_PER_MS))
		return;
	if (report->life_age_ms != UINT32_MAX)
		expiry_us -= MIN(age_us, expiry_us);
	worker->report_expiry_us = MAX(worker->report_expiry_us, expiry_us);
	worker->list_expiry_us = MAX(worker->list_expiry_us, expiry_us);
}

/*
 * Whether there may be workers of this service. A report that names another
 * describes no worker to use, and does not end the life of one.
 */
static bool is_service_known(const gn_sched_t *sched, const char *service)
{
	if (!sched->queues || gn_queues_name_service(sched->queues, service))
		return true;
	/* A job keeps its service when its queue is removed. */
	for (guint i = 0; i < sched->active->len; i++) {
		const sched_job_t *job = g_ptr_array_index(sched->active, i);

		if (!strcmp(job->service, service))
			return true;
	}
	return false;
}

/* Logs once for a life that its reports are ignored. */
static void log_ignored_report(const gn_sched_t *sched, sched_worker_t *worker,
			       gn_life_t life, uint64_t sequence)
{
	gn_sched_event_t event = { .name = "report ignored",
				   .life = life,
				   .value = (int64_t)sequence };

	if (!*life.id || (worker->ignored_life.id &&
			  gn_life_equals(worker->ignored_life, life)))
		return;
	worker->ignored_life = life;
	if (gn_life_began_before(life, worker->life))
		event.reason = "the worker has a later life";
	else if (sched_worker_is_outlived(worker, life))
		event.reason = "a claim is of a later life";
	else
		event.reason = "its service is unknown";
	sched_emit_event(sched, &event, worker);
}

uint64_t gn_sched_handle_report(gn_sched_t *sched,
				const Gn__WorkerReport *report)
{
	sched_worker_t *worker = sched_worker_get(sched, report->host);
	const gn_life_t life = { g_intern_string(report->life),
				 report->born_ms };
	bool was_live = sched_worker_is_live(sched, worker);
	bool was_draining = worker->draining;
	bool was_open = sched_worker_accepts_tasks(sched, worker);
	const gn_life_t before = worker->life;
	sched_calls_view_t *view;

	worker->last_report_us = sched_now_us(sched);
	worker->lists_open_starts = report->lists_open_starts;
	if (*report->life && is_service_known(sched, report->service) &&
	    !sched_worker_is_outlived(worker, life)) {
		worker->host_restarted = report->first_life;
		sched_worker_begin_life(sched, worker, life);
		sched_worker_describe(worker, report);
		sched_worker_check_evacuation(sched, worker);
		gn_cold_record(&worker->cold, report->cold_left_ms,
			       sched_now_us(sched));
	}
	if (!gn_life_matches(life, worker->life)) {
		log_ignored_report(sched, worker, life, report->sequence);
		return 0;
	}
	worker->process_gone = report->crashed || report->left;
	if (report->fenced)
		sched_worker_renew_fence(sched, worker);
	extend_lease(sched, worker, report);
	allow_for_former_calls(sched, worker, report,
			       !gn_life_equals(before, worker->life));
	view = sched_calls_handle_report(sched, worker, report);
	if (!was_live)
		sched_emit_worker_event(sched, "worker", worker, "heard", 0);
	if (worker->draining != was_draining)
		sched_emit_worker_event(sched, "worker", worker, "draining", 0);
	if (report->listed) {
		worker->ends_cut = report->lists_open_starts && !report->whole;
		for (size_t i = 0; i < report->n_ends; i++)
			handle_listed_end(sched, worker, report,
					  report->ends[i]);
		handle_runs(sched, worker, report);
		stop_missing_runs(sched, worker, report);
		sched_shrink_give_up_starts(worker);
		/* Executors of older builds do not say whether it is whole. */
		worker->has_listed |= report->whole || !report->n_ends;
		sched_learn_from_worker(sched, worker);
		sched_pace_worker(sched, worker);
	}
	if (report->left)
		sched_worker_leave(sched, worker, view);
	else if (report->crashed)
		sched_worker_crash(sched, worker, view);
	else
		worker->crashed = false;
	if (report->crashed && report->lists_open_starts)
		sched_calls_release_gone(worker, view,
					 "the worker has crashed");
	for (size_t i = 0; i < report->n_results; i++)
		handle_result(sched, worker, report, report->results[i]);
	sched_evacuate_starts(worker);
	sched_worker_retire_ends(sched, worker);
	sched_calls_free_view(view);
	if (was_open != sched_worker_accepts_tasks(sched, worker))
		sched->changed = true;
	return worker->ends_durable;
}
