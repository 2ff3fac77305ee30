/**
 * @file sched_worker.c
 * @brief Workers: reports of their executors and expiry of their leases.
 */
#include <string.h>

#include "common/str.h"
#include "sched/sched_internal.h"

/* ======   Creation and state   ====== */

sched_worker_t *sched_worker_get(gn_sched_t *sched, const char *host)
{
	sched_worker_t *worker = g_hash_table_lookup(sched->workers, host);

	if (worker)
		return worker;
	worker = g_new0(sched_worker_t, 1);
	worker->host = g_strdup(host);
	worker->life.id = "";
	worker->claims = g_ptr_array_new();
	g_queue_init(&worker->ends);
	g_hash_table_insert(sched->workers, worker->host, worker);
	return worker;
}

static void drop_ends(sched_worker_t *worker)
{
	sched_end_t *end;

	while ((end = g_queue_pop_head(&worker->ends))) {
		if (end->job)
			end->job->pending_ends--;
		g_free(end);
	}
}

void sched_worker_free(gpointer data)
{
	sched_worker_t *worker = data;

	drop_ends(worker);
	g_ptr_array_free(worker->claims, TRUE);
	g_strfreev(worker->labels);
	g_free(worker->service);
	g_free(worker->data_centre);
	g_free(worker->rack);
	g_free(worker->machine);
	g_free(worker->host);
	g_free(worker);
}

bool sched_worker_is_live(const gn_sched_t *sched, const sched_worker_t *worker)
{
	return worker->last_report_us &&
	       sched_now_us(sched) - worker->last_report_us <
		       SCHED_REPORT_TIMEOUT_US;
}

bool sched_worker_has_fresh_list(const gn_sched_t *sched,
				 const sched_worker_t *worker)
{
	return worker->last_list_us &&
	       sched_now_us(sched) - worker->last_list_us <
		       SCHED_REPORT_TIMEOUT_US;
}

int64_t sched_list_age_ms(const gn_sched_t *sched, const sched_worker_t *worker)
{
	if (!worker || !worker->last_list_us)
		return -1;
	return (int64_t)((sched_now_us(sched) - worker->last_list_us) /
			 GN_US_PER_MS);
}

bool sched_worker_accepts_tasks(const gn_sched_t *sched,
				const sched_worker_t *worker)
{
	uint64_t now_us = sched_now_us(sched);

	return !worker->draining && *worker->life.id &&
	       sched_worker_is_live(sched, worker) &&
	       sched_worker_has_fresh_list(sched, worker) &&
	       now_us >= worker->full_until_us;
}

bool sched_worker_is_eligible(const gn_sched_t *sched,
			      const sched_worker_t *worker,
			      const sched_job_t *job, const Gn__JobStep *step)
{
	return sched_worker_accepts_tasks(sched, worker) &&
	       !strcmp(worker->service, job->service) &&
	       (!*step->label ||
		g_strv_contains((const gchar *const *)worker->labels,
				step->label));
}

static void emit_worker_event(const gn_sched_t *sched, const char *what,
			      const sched_worker_t *worker, const char *why,
			      int64_t value)
{
	const gn_sched_event_t event = { .name = what,
					 .host = worker->host,
					 .life = worker->life.id,
					 .reason = why,
					 .value = value,
					 .list_age_ms = sched_list_age_ms(
						 sched, worker) };

	sched->ops->log_event(sched->arg, &event);
}

/* ======   Release of claims   ====== */

static void release_claims(sched_worker_t *worker, const char *why)
{
	while (worker->claims->len)
		sched_release_claim(g_ptr_array_index(worker->claims, 0), why);
}

/* Ends the claims of other lives, whose runs are over. */
static void end_other_lives(sched_worker_t *worker, gn_life_t life)
{
	guint i = 0;

	/* Ending one gang member can release others, so start over. */
	while (i < worker->claims->len) {
		sched_task_t *task = g_ptr_array_index(worker->claims, i);

		if (gn_life_matches(task->life, life)) {
			/* An older build has stored no start time. */
			if (!task->life.started_ms)
				task->life.started_ms = life.started_ms;
			i++;
			continue;
		}
		if (gn_life_same_id(task->life, life))
			sched_stop_in_new_life(task, life);
		else
			sched_release_claim(task, "new life of the worker");
		i = 0;
	}
}

void sched_expire_leases(gn_sched_t *sched)
{
	uint64_t now_us = sched_now_us(sched);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sched_worker_t *worker = value;

		if (!worker->claims->len ||
		    (now_us < worker->report_expiry_us &&
		     now_us < worker->list_expiry_us))
			continue;
		emit_worker_event(sched, "lapse", worker,
				  now_us < worker->report_expiry_us
					  ? "no list from the worker"
					  : "no report from the executor",
				  (int64_t)(now_us - worker->last_report_us));
		release_claims(worker, "lapsed");
	}
}

/* ======   Description of a worker   ====== */

static void replace_text(char **text, const char *value)
{
	if (*text && !strcmp(*text, value))
		return;
	g_free(*text);
	*text = g_strdup(value);
}

static void replace_labels(sched_worker_t *worker,
			   const Gn__WorkerReport *report)
{
	g_strfreev(worker->labels);
	worker->labels = g_new0(char *, report->n_labels + 1);
	for (size_t i = 0; i < report->n_labels; i++)
		worker->labels[i] = g_strdup(report->labels[i]);
}

/* Resets the state of the worker, since a new life has no earlier runs or
 * ends. */
static void begin_life(gn_sched_t *sched, sched_worker_t *worker,
		       gn_life_t life)
{
	bool is_present = gn_life_matches(worker->life, life);

	if (is_present && worker->life.started_ms == life.started_ms)
		return;
	end_other_lives(worker, life);
	worker->life = life;
	/* Only its start time was unknown. */
	if (is_present)
		return;
	drop_ends(worker);
	worker->ends_seen = 0;
	worker->ends_durable = 0;
	memset(&worker->health, 0, sizeof(worker->health));
	memset(&worker->unclaimed_use, 0, sizeof(worker->unclaimed_use));
	worker->full_until_us = 0;
	worker->last_list_us = 0;
	worker->has_listed = false;
	emit_worker_event(sched, "worker", worker, "new life",
			  (int64_t)life.started_ms);
}

static void update_description(sched_worker_t *worker,
			       const Gn__WorkerReport *report)
{
	replace_text(&worker->service, report->service);
	replace_text(&worker->data_centre, report->data_centre);
	replace_text(&worker->rack, report->rack);
	replace_text(&worker->machine, report->machine);
	replace_labels(worker, report);
	worker->draining = report->draining;
	worker->capacity.cpu_milli = report->cpu_milli;
	worker->capacity.memory_mb = report->memory_mb;
	worker->capacity.accelerators = report->accelerators;
}

/* ======   Runs   ====== */

/* Returns the task with this name, or NULL. */
static sched_task_t *find_task(const gn_sched_t *sched, const char *name)
{
	char id[GN_JOB_ID_LEN + 1];
	gn_task_position_t place;
	sched_job_t *job;
	uint32_t unit;

	if (gn_task_parse_name(name, id, &place))
		return NULL;
	job = g_hash_table_lookup(sched->jobs, id);
	if (!job || place.step >= job->spec->n_steps)
		return NULL;
	unit = place.occurrence * job->spec->n_steps + place.step;
	if (unit >= job->unit_count ||
	    place.index >= job->units[unit].step->count)
		return NULL;
	return &job->tasks[job->units[unit].first + place.index];
}

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
	const gn_run_order_t order = { .kind = GN_RUN_ORDER_STOP,
				       .task = run->task,
				       .attempt = run->attempt,
				       .life = worker->life,
				       .checkpoint = "",
				       .ticket = "" };
	const Gn__JobStep *step =
		task ? task->job->units[task->unit].step : NULL;
	const gn_sched_event_t event = { .name = "stop",
					 .task = run->task,
					 .attempt = run->attempt,
					 .host = worker->host,
					 .life = worker->life.id,
					 .reason = "no claim",
					 .list_age_ms = sched_list_age_ms(
						 sched, worker) };

	if (step) {
		gn_resource_vector_t resources = sched_step_resources(step);

		gn_resource_vector_add(&worker->unclaimed_use, &resources);
	}
	sched->ops->log_event(sched->arg, &event);
	sched->ops->send_order(sched->arg, worker->host, &order);
}

static void handle_run(gn_sched_t *sched, sched_worker_t *worker,
		       const Gn__WorkerRun *run)
{
	sched_task_t *task = find_task(sched, run->task);

	if (!is_claimed_run(task, worker, run->attempt)) {
		stop_unclaimed_run(sched, worker, run, task);
		return;
	}
	sched_mark_started(task);
	/* Stored only with the job's next change. */
	sched_set_checkpoint(task, run->checkpoint);
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
		handle_run(sched, worker, report->runs[i]);
	if (had_unclaimed_use)
		sched->changed = true;
}

/* ======   Ends   ====== */

/* Whether a run had succeeded before its claim was released, so that the task
 * need not run again. */
static bool is_late_done(const sched_task_t *task, const Gn__WorkerEnd *listed)
{
	return task && task->state == GN_JOB_TASK_WAITING &&
	       task->attempt == listed->attempt && listed->how == GN_END_DONE &&
	       !sched_is_gang(task);
}

static void handle_listed_end(gn_sched_t *sched, sched_worker_t *worker,
			      const Gn__WorkerEnd *listed)
{
	sched_task_t *task = find_task(sched, listed->task);
	sched_end_t *end;

	if (listed->number <= worker->ends_seen)
		return;
	worker->ends_seen = listed->number;
	end = g_new0(sched_end_t, 1);
	end->number = listed->number;
	g_queue_push_tail(&worker->ends, end);
	if (is_claimed_run(task, worker, listed->attempt))
		sched_handle_end(task, (gn_end_kind_t)listed->how,
				 listed->checkpoint);
	else if (is_late_done(task, listed))
		sched_handle_late_done(task);
	else
		return;
	end->job = task->job;
	end->job->pending_ends++;
	end->version = end->job->version;
}

void sched_worker_retire_ends(sched_worker_t *worker)
{
	sched_end_t *end;

	while ((end = g_queue_peek_head(&worker->ends))) {
		if (end->job && end->job->durable_version < end->version)
			return;
		if (end->job)
			end->job->pending_ends--;
		worker->ends_durable = end->number;
		g_free(g_queue_pop_head(&worker->ends));
	}
}

/* ======   Results of orders   ====== */

static void handle_result(gn_sched_t *sched, sched_worker_t *worker,
			  const Gn__OrderResult *result)
{
	sched_task_t *task = find_task(sched, result->task);
	const char *outcome = gn_run_order_outcome_name(
		(gn_run_order_outcome_t)result->verdict);

	if (!is_claimed_run(task, worker, result->attempt))
		return;
	sched_emit_task_event(sched, "order", task, outcome, 0);
	switch ((gn_run_order_outcome_t)result->verdict) {
	case GN_ORDER_OUTCOME_STARTED:
		/* The run starts at full pace and may have to be throttled. */
		sched_mark_started(task);
		if (task->job->units[task->unit].step->fills)
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
	default:
		sched_release_claim(task, outcome);
	}
}

/* ======   Reports   ====== */

static uint64_t get_longest_lease_us(const gn_sched_t *sched)
{
	uint64_t lease_us = (uint64_t)sched->config.lease_ms * GN_US_PER_MS;

	return lease_us + lease_us / SCHED_CLOCK_DRIFT_DIVISOR +
	       SCHED_LEASE_MARGIN_US;
}

/* Computes when the lease expires that the executor may extend after the answer
 * to this report. */
static void extend_lease(const gn_sched_t *sched, sched_worker_t *worker,
			 const Gn__WorkerReport *report)
{
	uint64_t now_us = sched_now_us(sched);
	uint64_t age_us = (uint64_t)report->list_age_ms * GN_US_PER_MS;

	worker->report_expiry_us = now_us + get_longest_lease_us(sched);
	/* Without a list, the executor has not extended any lease. */
	if (report->list_age_ms == UINT32_MAX)
		return;
	worker->last_list_us = age_us < now_us ? now_us - age_us : 0;
	worker->list_expiry_us = worker->last_list_us +
				 SCHED_CLOCK_READING_MAX_US +
				 get_longest_lease_us(sched);
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

	worker->last_report_us = sched_now_us(sched);
	if (*report->life && life.started_ms >= worker->life.started_ms) {
		begin_life(sched, worker, life);
		update_description(worker, report);
	}
	if (!gn_life_matches(life, worker->life))
		return 0;
	extend_lease(sched, worker, report);
	if (!was_live)
		emit_worker_event(sched, "worker", worker, "heard", 0);
	if (worker->draining != was_draining)
		emit_worker_event(sched, "worker", worker, "draining", 0);
	if (report->listed) {
		for (size_t i = 0; i < report->n_ends; i++)
			handle_listed_end(sched, worker, report->ends[i]);
		handle_runs(sched, worker, report);
		worker->has_listed = true;
		sched_learn_from_worker(sched, worker);
		sched_pace_worker(sched, worker);
	}
	if (report->left)
		release_claims(worker, "worker left");
	for (size_t i = 0; i < report->n_results; i++)
		handle_result(sched, worker, report->results[i]);
	sched_worker_retire_ends(worker);
	if (was_open != sched_worker_accepts_tasks(sched, worker))
		sched->changed = true;
	return worker->ends_durable;
}

uint64_t gn_sched_get_durable_ends(const gn_sched_t *sched, const char *host,
				   gn_life_t *life)
{
	const sched_worker_t *worker =
		g_hash_table_lookup(sched->workers, host);

	*life = worker ? worker->life : (gn_life_t){ .id = "" };
	return worker ? worker->ends_durable : 0;
}
