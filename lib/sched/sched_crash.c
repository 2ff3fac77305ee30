/**
 * @file sched_crash.c
 * @brief Crashes of workers, and the tasks that may have caused them: fills in
 *        the evidence for crash/crash.h and carries out its verdict.
 */
#include <string.h>

#include "sched/sched_internal.h"

/** Names of workers that are kept for operators and callers. */
#define WORKERS_MAX 8
/** A crash of this weight counts as caused by the task, for the evidence about
 * others. */
#define EXPLAINING_WEIGHT 18

bool sched_crash_ended_life(const sched_worker_t *worker, gn_life_t life)
{
	return !gn_life_matches(worker->life, life) ||
	       !(worker->left || worker->draining);
}

int64_t sched_crash_listed_ms(const sched_task_t *task)
{
	uint64_t until_us = MAX(task->list_made_us, task->first_listed_us);

	if (!task->listed)
		return -1;
	return (int64_t)((until_us - task->first_listed_us) / GN_US_PER_MS);
}

/* ======   Counting   ====== */

static void add_worker(sched_crashes_t *crashes, const char *worker)
{
	if (!crashes->workers)
		crashes->workers = g_ptr_array_new_with_free_func(g_free);
	if (crashes->workers->len < WORKERS_MAX)
		g_ptr_array_add(crashes->workers, g_strdup(worker));
}

static bool has_worker(const sched_crashes_t *crashes, const char *worker)
{
	return crashes->workers &&
	       g_ptr_array_find_with_equal_func(crashes->workers, worker,
						g_str_equal, NULL);
}

bool sched_crash_has_worker(const sched_task_t *task, const char *worker)
{
	return has_worker(&task->crashes, worker);
}

bool sched_crash_has_host(const sched_task_t *task, const char *host)
{
	const GPtrArray *workers = task->crashes.workers;
	size_t len = strlen(host);

	for (guint i = 0; workers && i < workers->len; i++) {
		const char *worker = g_ptr_array_index(workers, i);

		if (!strncmp(worker, host, len) && worker[len] == ' ')
			return true;
	}
	return false;
}

static bool have_common_worker(const sched_crashes_t *a,
			       const sched_crashes_t *b)
{
	for (guint i = 0; a->workers && i < a->workers->len; i++)
		if (has_worker(b, g_ptr_array_index(a->workers, i)))
			return true;
	return false;
}

/* Clears those that ran beside the task in its earlier crashes, since it has
 * crashed a worker in isolation. */
static void clear_others(const sched_task_t *cause)
{
	const gn_sched_t *sched = cause->job->sched;

	for (guint i = 0; i < sched->active->len; i++) {
		sched_job_t *job = g_ptr_array_index(sched->active, i);
		sched_task_iter_t tasks;
		sched_task_t *task;

		if (!job->suspects || job == cause->job)
			continue;
		tasks = (sched_task_iter_t){ .job = job };
		while ((task = sched_task_iter_next(&tasks))) {
			sched_crashes_t *crashes = &task->crashes;

			if (!crashes->record.suspect ||
			    crashes->record.isolated ||
			    !have_common_worker(crashes, &cause->crashes))
				continue;
			crashes->record.suspect = false;
			sched_job_mark_dirty(job);
		}
	}
}

static void add_siblings(const sched_task_t *task,
			 gn_crash_evidence_t *evidence)
{
	const sched_unit_t *unit = task->unit;

	for (uint32_t i = 0; i < unit->step->count; i++) {
		const sched_task_t *other = &unit->tasks[i];

		if (other == task)
			continue;
		evidence->siblings_crashed +=
			other->crashes.record.proven &&
			!have_common_worker(&other->crashes, &task->crashes);
		evidence->siblings_done += other->state == GN_JOB_TASK_DONE;
	}
}

static void emit_evidence(const sched_task_t *task,
			  const gn_crash_evidence_t *evidence, uint32_t weight)
{
	char text[256];

	gn_crash_describe_evidence(evidence, weight, text, sizeof(text));
	sched_emit_task_event(task->job->sched, "crash evidence", task, text,
			      task->crashes.record.weight);
}

void sched_crash_count(sched_task_t *task, const sched_crashed_run_t *run)
{
	sched_crashes_t *crashes = &task->crashes;
	g_autofree char *worker = sched_crash_name_worker(run->host, run->life);
	gn_crash_evidence_t evidence = run->evidence;
	uint32_t weight;

	if (evidence.listed_ms >= GN_CRASH_HARMLESS_MS ||
	    sched_job_is_finished(task->job) ||
	    task->state == GN_JOB_TASK_DONE || has_worker(crashes, worker))
		return;
	task->job->suspects += !crashes->record.count;
	evidence.new_host = !sched_crash_has_host(task, run->host);
	add_worker(crashes, worker);
	sched_crash_add_fleet_evidence(task, run->host, &evidence);
	add_siblings(task, &evidence);
	weight = gn_crash_add(&crashes->record, &evidence);
	if (weight >= EXPLAINING_WEIGHT || sched_crash_is_at_limit(task)) {
		sched_crash_explain_events(task);
		clear_others(task);
	}
	emit_evidence(task, &evidence, weight);
	sched_job_mark_dirty(task->job);
}

/* Time from the confirmed start to a report of the crash that comes now. */
static int64_t get_delay_ms(const sched_task_t *task)
{
	uint64_t now_us = sched_now_us(task->job->sched);

	return (int64_t)((now_us - (task->listed ? task->first_listed_us
						 : task->claimed_us)) /
			 GN_US_PER_MS);
}

/* Whether the run had not lasted long enough to be harmless. */
static bool is_rival(const sched_task_t *task)
{
	const gn_crash_record_t *record = &task->crashes.record;

	return record->count &&
	       sched_crash_listed_ms(task) < gn_crash_watch_ms(record);
}

/* Whether the task may have run on the worker's life. No call can have reached
 * the worker without a start order. */
static bool may_have_run(const sched_task_t *task, gn_life_t life)
{
	return task->start_sent && gn_life_matches(task->life, life);
}

/* A claim that was moved to this life to be stopped has not run there. */
static bool is_only_stopped(const sched_task_t *task)
{
	return task->stopping && !task->listed;
}

static bool is_attended(const sched_worker_t *worker, gn_life_t life)
{
	for (guint i = 0; i < worker->claims->len; i++) {
		const sched_task_t *task = g_ptr_array_index(worker->claims, i);

		if (may_have_run(task, life) &&
		    sched_crash_listed_ms(task) < GN_CRASH_YOUNG_MS)
			return true;
	}
	return false;
}

void sched_crash_note(const sched_worker_t *worker, const gn_sched_t *sched)
{
	sched_crash_add_event(sched, worker->host, worker->life,
			      is_attended(worker, worker->life));
}

/* Adds the other tasks that are lost with the worker. */
static void add_others(const sched_task_t *task, const sched_calls_view_t *view,
		       gn_crash_evidence_t *evidence)
{
	const GPtrArray *claims = task->worker->claims;

	for (guint i = 0; i < claims->len; i++) {
		const sched_task_t *other = g_ptr_array_index(claims, i);

		/* Whichever of its tasks is the cause, the job is given up. */
		if (other->job == task->job ||
		    !may_have_run(other, task->life) ||
		    sched_calls_never_began(view, other))
			continue;
		if (is_rival(other))
			evidence->rivals++;
		else if (sched_crash_listed_ms(other) < GN_CRASH_BEGUN_MS)
			evidence->begun++;
		else if (sched_crash_listed_ms(other) < GN_CRASH_YOUNG_MS)
			evidence->young++;
	}
}

static sched_crashed_run_t describe_run(const sched_task_t *task,
					const sched_calls_view_t *view)
{
	sched_crashed_run_t run = {
		.host = task->worker->host,
		.life = task->life,
		.evidence = {
			.isolated = task->isolated,
			.listed_ms = sched_crash_listed_ms(task),
			.delay_ms = view ? get_delay_ms(task) : -1,
			.unanswered = sched_calls_are_unanswered(view, task),
		},
	};

	add_others(task, view, &run.evidence);
	return run;
}

/* Counting changes what the tasks are to each other, so all the evidence is
 * taken first. */
int64_t sched_crash_count_claims(sched_worker_t *worker, gn_life_t life,
				 const sched_calls_view_t *view)
{
	g_autoptr(GPtrArray) claims =
		g_ptr_array_copy(worker->claims, NULL, NULL);
	sched_crashed_run_t *runs = g_new(sched_crashed_run_t, claims->len + 1);
	int64_t counted = 0;

	for (guint i = 0; i < claims->len; i++)
		runs[i] = describe_run(g_ptr_array_index(claims, i), view);
	for (guint i = 0; i < claims->len; i++) {
		sched_task_t *task = g_ptr_array_index(claims, i);

		if (!may_have_run(task, life) || is_only_stopped(task) ||
		    sched_calls_never_began(view, task))
			continue;
		sched_emit_task_event(task->job->sched, "crash", task,
				      task->isolated ? "in isolation"
				      : task->listed ? "listed"
						     : "not listed",
				      runs[i].evidence.listed_ms);
		sched_crash_count(task, &runs[i]);
		counted++;
	}
	g_free(runs);
	return counted;
}

void sched_crash_clear(sched_task_t *task)
{
	task->job->suspects -= task->crashes.record.count > 0;
	sched_crash_free(task);
	task->crashes = (sched_crashes_t){ 0 };
}

void sched_crash_clear_proofs(sched_task_t *task)
{
	gn_crash_withdraw_proofs(&task->crashes.record);
}

void sched_crash_clear_long_run(sched_task_t *task)
{
	if (!task->crashes.record.count ||
	    sched_crash_listed_ms(task) < GN_CRASH_HARMLESS_MS)
		return;
	sched_emit_task_event(task->job->sched, "cleared", task,
			      "the run has lasted", task->crashes.record.count);
	sched_crash_clear(task);
	sched_job_mark_dirty(task->job);
}

/* ======   Consequences   ====== */

gn_crash_verdict_t sched_crash_judge(const sched_task_t *task)
{
	return gn_crash_judge(&task->crashes.record);
}

bool sched_crash_is_at_limit(const sched_task_t *task)
{
	return sched_crash_judge(task) == GN_CRASH_PROVEN;
}

char *sched_crash_describe(const sched_task_t *task)
{
	const GPtrArray *workers = task->crashes.workers;
	char name[GN_TASK_NAME_SIZE];
	GString *text = g_string_new(NULL);

	gn_task_format_name(task->job->spec, task->number, name);
	g_string_printf(text, "task %s has crashed %u workers", name,
			task->crashes.record.count);
	for (guint i = 0; workers && i < workers->len; i++) {
		const char *worker = g_ptr_array_index(workers, i);
		const char *end = strrchr(worker, ' ');

		g_string_append(text, i ? ", " : ": ");
		g_string_append_len(text, worker,
				    end ? end - worker : (gssize)-1);
	}
	return g_string_free(text, FALSE);
}

/* ======   Storage   ====== */

void sched_crash_load(sched_task_t *task, const Gn__TaskState *row)
{
	gn_crash_record_t *record = &task->crashes.record;

	if (row->status == GN_JOB_TASK_DONE)
		return;
	record->count = row->crashes;
	record->isolated = row->isolated_crashes;
	record->proven = row->proven_crashes;
	record->age_ms = row->crash_age_ms;
	record->soon = row->soon_crashes;
	record->begun = row->begun_crashes;
	record->weight = row->crash_weight;
	record->elsewhere = row->crashes_elsewhere;
	record->suspect = row->suspect;
	for (size_t i = 0; i < row->n_crashed; i++)
		add_worker(&task->crashes, row->crashed[i]);
	task->job->suspects += record->count > 0;
}

void sched_crash_store(const sched_task_t *task, Gn__TaskState *row)
{
	const sched_crashes_t *crashes = &task->crashes;
	const gn_crash_record_t *record = &crashes->record;

	row->crashes = record->count;
	row->isolated_crashes = record->isolated;
	row->proven_crashes = record->proven;
	row->crash_age_ms = record->age_ms;
	row->soon_crashes = record->soon;
	row->begun_crashes = record->begun;
	row->crash_weight = record->weight;
	row->crashes_elsewhere = record->elsewhere;
	row->suspect = record->suspect;
	row->isolated = task->isolated;
	if (!crashes->workers)
		return;
	row->crashed = (char **)crashes->workers->pdata;
	row->n_crashed = crashes->workers->len;
}

void sched_crash_free(sched_task_t *task)
{
	if (task->crashes.workers)
		g_ptr_array_unref(task->crashes.workers);
	task->crashes.workers = NULL;
}
