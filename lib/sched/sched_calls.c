/**
 * @file sched_calls.c
 * @brief Start calls that may still be carried out: fills in hold/calls.h from
 *        reports and released claims, and asks it before a task starts.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "executor/grant.h"
#include "sched/sched_pass.h"

/** Size of the key of a call with its terminator, bytes. */
#define KEY_SIZE (GN_TASK_NAME_SIZE + 16)
/** Start of a former life that is not known. */
#define UNKNOWN_FORMER_MS 1

struct sched_calls_view_s {
	GHashTable *open; /**< "TASK ATTEMPT" of each open call. */
	/** Those with a call in progress, which may have begun the run. */
	GHashTable *in_progress;
	/** "TASK ATTEMPT" of starts that have certainly not begun. */
	GHashTable *not_begun;
	GHashTable *runs; /**< Names of the tasks that run; not owned. */
	bool tracks; /**< The executor tells which starts are settled. */
	bool is_complete; /**< The executor knows all calls. */
	/** It knows those for claims made since, and for these "TASK ATTEMPT". */
	uint64_t known_from_us;
	GHashTable *known;
};

static void write_key(char key[KEY_SIZE], const char *task, uint32_t attempt)
{
	g_snprintf(key, KEY_SIZE, "%s %u", task, attempt);
}

uint64_t sched_late_us(const gn_sched_t *sched)
{
	return (uint64_t)sched->config.late_call_ms * GN_US_PER_MS;
}

/* ======   Reports   ====== */

static bool is_open(const void *arg, const char *task, uint32_t attempt)
{
	const sched_calls_view_t *view = arg;
	char key[KEY_SIZE];

	write_key(key, task, attempt);
	return g_hash_table_contains(view->open, key);
}

static bool has_run(const void *arg, const char *task)
{
	const sched_calls_view_t *view = arg;

	return g_hash_table_contains(view->runs, task);
}

/* Returns when the process of the executor began, at the latest. */
static uint64_t get_known_from_us(const gn_sched_t *sched,
				  const Gn__WorkerReport *report)
{
	uint64_t now_us = sched_now_us(sched);
	uint64_t unknown_us =
		(uint64_t)report->unknown_starts_ms * GN_US_PER_MS;

	if (!report->lists_open_starts)
		return UINT64_MAX;
	return now_us + unknown_us - MIN(sched_late_us(sched), now_us);
}

static void add_result(sched_calls_view_t *view, const Gn__OrderResult *result)
{
	char key[KEY_SIZE];

	if (result->verdict != GN_ORDER_OUTCOME_NOT_STARTED || !result->settled)
		return;
	write_key(key, result->task, result->attempt);
	g_hash_table_add(view->not_begun, g_strdup(key));
}

static sched_calls_view_t *create_view(const gn_sched_t *sched,
				       const Gn__WorkerReport *report)
{
	sched_calls_view_t *view = g_new0(sched_calls_view_t, 1);

	view->open =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	view->known =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	view->in_progress =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	view->not_begun =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	view->runs = g_hash_table_new(g_str_hash, g_str_equal);
	view->tracks = report->tracks_starts;
	view->is_complete =
		report->lists_open_starts && !report->unknown_starts_ms;
	view->known_from_us = get_known_from_us(sched, report);
	for (size_t i = 0; i < report->n_open_starts; i++) {
		const Gn__OpenStart *call = report->open_starts[i];
		char key[KEY_SIZE];

		write_key(key, call->task, call->attempt);
		g_hash_table_add(call->left_ms ? view->open : view->known,
				 g_strdup(key));
		if (call->pending || call->in_progress)
			g_hash_table_add(view->in_progress, g_strdup(key));
	}
	for (size_t i = 0; i < report->n_results; i++)
		add_result(view, report->results[i]);
	for (size_t i = 0; i < report->n_runs; i++)
		g_hash_table_add(view->runs, report->runs[i]->task);
	return view;
}

void sched_calls_free_view(sched_calls_view_t *view)
{
	g_hash_table_destroy(view->open);
	g_hash_table_destroy(view->known);
	g_hash_table_destroy(view->in_progress);
	g_hash_table_destroy(view->not_begun);
	g_hash_table_destroy(view->runs);
	g_free(view);
}

static void note_call(const gn_sched_t *sched, const char *name,
		      const gn_call_t *call)
{
	sched_task_t *task = sched_find_task(sched, name);

	gn_calls_note(sched->calls, name, call);
	if (task)
		task->has_calls = true;
}

static bool is_claimed(const gn_sched_t *sched, const sched_worker_t *worker,
		       const Gn__OpenStart *listed)
{
	const sched_task_t *task = sched_find_task(sched, listed->task);

	return task && task->state == GN_JOB_TASK_CLAIMED &&
	       task->worker == worker && task->attempt == listed->attempt;
}

static void note_listed(const gn_sched_t *sched, const sched_worker_t *worker,
			const Gn__OpenStart *listed)
{
	uint64_t left_us = (uint64_t)listed->left_ms * GN_US_PER_MS;
	bool is_closed = !listed->former && !is_claimed(sched, worker, listed);
	const gn_call_t call = {
		.host = g_intern_string(worker->host),
		.life = { worker->life.id, listed->former
						   ? UNKNOWN_FORMER_MS
						   : worker->life.started_ms },
		.attempt = listed->attempt,
		.until_us = sched_now_us(sched) +
			    MIN(left_us, sched_late_us(sched)),
		.pending = listed->pending,
		.closed_ms = is_closed ? worker->life.started_ms : 0,
	};

	if (listed->left_ms && strlen(listed->task) < GN_TASK_NAME_SIZE)
		note_call(sched, listed->task, &call);
}

/* Whether the present life refuses all calls for former ones. */
static bool is_fenced(const gn_sched_t *sched, const sched_worker_t *worker,
		      const Gn__WorkerReport *report)
{
	return report->lists_open_starts && report->life_age_ms != UINT32_MAX &&
	       !worker->fence_batch &&
	       report->list_token >= MAX(worker->fence, sched->config.epoch);
}

/* Claims of an earlier leader: whether a start call for them is open is stored as
 * it was before the start. */
static void settle_restored(const gn_sched_t *sched, sched_worker_t *worker,
			    const Gn__WorkerReport *report,
			    const sched_calls_view_t *view)
{
	/* The executor takes no more orders of that leader. */
	if (!view->is_complete || report->list_token < sched->config.epoch)
		return;
	for (guint i = 0; i < worker->claims->len; i++) {
		sched_task_t *task = g_ptr_array_index(worker->claims, i);
		char name[GN_TASK_NAME_SIZE];

		if (!task->restored || task->last_order_us ||
		    !gn_life_matches(task->life, worker->life))
			continue;
		gn_task_format_name(task->job->spec, task->number, name);
		task->settled |= !is_open(view, name, task->attempt);
	}
}

sched_calls_view_t *sched_calls_handle_report(gn_sched_t *sched,
					      const sched_worker_t *worker,
					      const Gn__WorkerReport *report)
{
	sched_calls_view_t *view = create_view(sched, report);
	const gn_calls_report_t summary = {
		.host = g_intern_string(worker->host),
		.life = worker->life,
		.now_us = sched_now_us(sched),
		.process_gone = report->crashed || report->left,
		.fenced = is_fenced(sched, worker, report),
		.listed = report->listed,
		.is_open = view->is_complete ? is_open : NULL,
		.has_run = has_run,
		.arg = view,
	};

	for (size_t i = 0; i < report->n_open_starts; i++)
		note_listed(sched, worker, report->open_starts[i]);
	/* Without a life, the executor does not know the ID. */
	if (*worker->life.id && gn_calls_count(sched->calls) &&
	    gn_calls_handle_report(sched->calls, &summary))
		sched->changed = true;
	settle_restored(sched, (sched_worker_t *)worker, report, view);
	return view;
}

/* ======   Claims   ====== */

static uint64_t get_open_until_us(const sched_task_t *task)
{
	const gn_sched_t *sched = task->job->sched;
	char name[GN_TASK_NAME_SIZE];

	if (!task->has_calls || !gn_calls_count(sched->calls))
		return 0;
	gn_task_format_name(task->job->spec, task->number, name);
	return gn_calls_open_until_us(sched->calls, name,
				      g_intern_string(task->worker->host));
}

bool sched_calls_are_settled(const sched_task_t *task)
{
	return task->settled && !get_open_until_us(task);
}

static bool has_claim_key(GHashTable *keys, const sched_task_t *task)
{
	char key[KEY_SIZE];
	char name[GN_TASK_NAME_SIZE];

	gn_task_format_name(task->job->spec, task->number, name);
	write_key(key, name, task->attempt);
	return g_hash_table_contains(keys, key);
}

/* Whether the executor knows all start calls for the claim. */
static bool knows_calls(const sched_calls_view_t *view,
			const sched_task_t *task)
{
	return view->is_complete ||
	       (!task->restored && task->claimed_us >= view->known_from_us) ||
	       has_claim_key(view->known, task) ||
	       has_claim_key(view->open, task);
}

bool sched_calls_never_began(const sched_calls_view_t *view,
			     const sched_task_t *task)
{
	return view && !task->listed && has_claim_key(view->not_begun, task);
}

bool sched_calls_are_unanswered(const sched_calls_view_t *view,
				const sched_task_t *task)
{
	return view && !task->listed && has_claim_key(view->open, task) &&
	       !has_claim_key(view->in_progress, task);
}

static void settle_claim(const sched_calls_view_t *view, sched_task_t *task)
{
	task->settled = !has_claim_key(view->open, task);
}

void sched_calls_release_gone(sched_worker_t *worker,
			      const sched_calls_view_t *view, const char *why)
{
	guint i = 0;

	/* Releasing one gang member can release others, so start over. */
	while (i < worker->claims->len) {
		sched_task_t *task = g_ptr_array_index(worker->claims, i);
		sched_job_t *job = task->job;
		bool is_known = knows_calls(view, task);

		if (!gn_life_matches(task->life, worker->life) ||
		    (!is_known && view->tracks && task->start_ordered_us &&
		     !sched_calls_are_settled(task))) {
			i++;
			continue;
		}
		if (is_known)
			settle_claim(view, task);
		task->settled |= !view->tracks;
		sched_release_claim(task, why);
		sched_job_check_limits(job);
		i = 0;
	}
}

void sched_calls_note_run(const gn_sched_t *sched, const sched_worker_t *worker,
			  const Gn__WorkerRun *run)
{
	const gn_call_t call = {
		.host = g_intern_string(worker->host),
		.life = worker->life,
		.attempt = run->attempt,
		.until_us = sched_now_us(sched),
		.runs = true,
	};

	if (strlen(run->task) < GN_TASK_NAME_SIZE)
		note_call(sched, run->task, &call);
}

/* Longest time for which calls that go on to be without an answer hold a task. */
static uint64_t get_bound_max_us(const gn_sched_t *sched)
{
	return GN_GRANT_START_MAX_AGE_MS * GN_US_PER_MS + sched_late_us(sched);
}

/* A task that has run since, or long ago, is held anew. */
static void begin_hold(sched_task_t *task)
{
	const gn_sched_t *sched = task->job->sched;
	uint64_t now_us = sched_now_us(sched);

	if (!task->bound_us || task->listed ||
	    now_us - task->bound_us >= 2 * get_bound_max_us(sched))
		task->bound_us = now_us;
}

/* Whether the life of the claim goes on, so that an end of its run or a stop has
 * closed the attempt there. */
static bool is_closed(const sched_task_t *task)
{
	const sched_worker_t *worker = task->worker;

	return !worker->process_gone &&
	       gn_life_matches(task->life, worker->life);
}

void sched_calls_close(const gn_sched_t *sched, const sched_worker_t *worker,
		       const char *task, uint32_t attempt)
{
	gn_calls_close(sched->calls, task, g_intern_string(worker->host),
		       attempt, worker->life);
}

/* The executor sends the call of an older order no more. */
static uint64_t get_last_until_us(const sched_task_t *task)
{
	return task->start_ordered_us + get_bound_max_us(task->job->sched);
}

bool sched_calls_may_be_open(const sched_task_t *task)
{
	return task->start_ordered_us && !task->settled &&
	       sched_now_us(task->job->sched) < get_last_until_us(task);
}

void sched_calls_keep(sched_task_t *task)
{
	gn_sched_t *sched = task->job->sched;
	const sched_worker_t *worker = task->worker;
	char name[GN_TASK_NAME_SIZE];
	const gn_call_t call = {
		.host = g_intern_string(worker->host),
		.life = task->life,
		.attempt = task->attempt,
		.until_us = get_last_until_us(task),
		.closed_ms = is_closed(task) ? task->life.started_ms : 0,
	};

	gn_task_format_name(task->job->spec, task->number, name);
	if (is_closed(task))
		sched_calls_close(sched, worker, name, task->attempt);
	if (!sched_calls_may_be_open(task))
		return;
	/* A process under another ID refuses the calls. */
	if (*worker->life.id &&
	    gn_life_compare(task->life, worker->life) == GN_LIFE_OTHER)
		return;
	begin_hold(task);
	note_call(sched, name, &call);
	sched_emit_task_event(sched, "open call", task,
			      "a start may still be carried out",
			      (int64_t)((call.until_us - sched_now_us(sched)) /
					GN_US_PER_MS));
}

/* ======   Placement   ====== */

static bool is_held_too_long(const sched_task_t *task)
{
	const gn_sched_t *sched = task->job->sched;

	return task->bound_us &&
	       sched_now_us(sched) - task->bound_us >= get_bound_max_us(sched);
}

static gn_calls_place_t get_place(const sched_task_t *task, gn_call_t *where)
{
	const gn_sched_t *sched = task->job->sched;
	char name[GN_TASK_NAME_SIZE];
	gn_calls_place_t place;

	if (!task->has_calls || !gn_calls_count(sched->calls))
		return GN_CALLS_ANYWHERE;
	gn_task_format_name(task->job->spec, task->number, name);
	place = gn_calls_get_place(sched->calls, name, where);
	/* All members of a gang start under the same attempt number. */
	if (place == GN_CALLS_ONE_LIFE &&
	    (where->attempt != task->attempt || sched_is_gang(task) ||
	     is_held_too_long(task)))
		return GN_CALLS_NOWHERE;
	return place;
}

bool sched_calls_leave_free(const sched_task_t *task)
{
	gn_call_t where;

	return get_place(task, &where) == GN_CALLS_ANYWHERE;
}

static bool is_life_of(const sched_worker_t *worker, const gn_call_t *call)
{
	return !strcmp(worker->host, call->host) &&
	       gn_life_matches(call->life, worker->life);
}

bool sched_calls_allow(const sched_task_t *task, const sched_worker_t *worker)
{
	gn_call_t where;
	gn_calls_place_t place = get_place(task, &where);

	return place == GN_CALLS_ANYWHERE ||
	       (place == GN_CALLS_ONE_LIFE && is_life_of(worker, &where));
}

uint32_t sched_calls_next_attempt(const sched_task_t *task)
{
	gn_call_t where;

	return get_place(task, &where) == GN_CALLS_ONE_LIFE ? where.attempt
							    : task->attempt + 1;
}

size_t sched_calls_choose(const sched_candidates_t *all,
			  const gn_place_worker_t *views,
			  const sched_task_t *task,
			  const gn_place_task_t *wanted)
{
	gn_call_t where;
	gn_calls_place_t place = get_place(task, &where);

	if (place == GN_CALLS_ANYWHERE)
		return gn_place(wanted, views, all->count);
	for (size_t i = 0; place == GN_CALLS_ONE_LIFE && i < all->count; i++)
		if (is_life_of(all->workers[i], &where) &&
		    gn_place(wanted, &views[i], 1) != GN_PLACE_NONE)
			return i;
	return GN_PLACE_NONE;
}

bool sched_calls_may_have_begun(const sched_task_t *task,
				const sched_worker_t *worker)
{
	const gn_sched_t *sched = task->job->sched;
	const char *host = g_intern_string(worker->host);
	char name[GN_TASK_NAME_SIZE];
	const gn_call_t *calls;
	size_t count;

	gn_task_format_name(task->job->spec, task->number, name);
	calls = gn_calls_get(sched->calls, name, &count);
	return count == 1 && calls->host == host &&
	       calls->attempt == task->attempt &&
	       gn_life_compare(calls->life, worker->life) == GN_LIFE_FORMER &&
	       calls->closed_ms != worker->life.started_ms;
}

/* ======   Ends   ====== */

bool sched_calls_hold_end(const gn_sched_t *sched, const sched_worker_t *worker,
			  const char *task)
{
	uint64_t until_us = gn_calls_silent_until_us(
		sched->calls, task, g_intern_string(worker->host));

	/* The worker lists no ends after those of a full list, and one that is
	 * gone discards none. */
	return sched_now_us(sched) < until_us && !worker->ends_cut &&
	       !worker->left && !worker->crashed;
}

/* ======   Time and storage   ====== */

void sched_calls_expire(gn_sched_t *sched)
{
	if (gn_calls_count(sched->calls))
		gn_calls_expire(sched->calls, sched_now_us(sched),
				sched_lease_us(sched->config.lease_max_ms));
}

void sched_calls_store(const sched_task_t *task, Gn__TaskState *row)
{
	const gn_sched_t *sched = task->job->sched;
	uint64_t now_us = sched_now_us(sched);
	char name[GN_TASK_NAME_SIZE];
	const gn_call_t *calls;
	size_t count;

	if (!task->has_calls)
		return;
	gn_task_format_name(task->job->spec, task->number, name);
	calls = gn_calls_get(sched->calls, name, &count);
	if (!count)
		return;
	row->open_calls = g_new(char *, count);
	for (size_t i = 0; i < count; i++) {
		uint64_t left_us = calls[i].until_us > now_us
					   ? calls[i].until_us - now_us
					   : 0;

		row->open_calls[row->n_open_calls++] = g_strdup_printf(
			"%s %s %" PRIu64 " %u %" PRIu64 " %d %" PRIu64,
			calls[i].host, calls[i].life.id,
			calls[i].life.started_ms, calls[i].attempt,
			sched_wall_ms(sched) + left_us / GN_US_PER_MS,
			calls[i].outlived, calls[i].closed_ms);
	}
}

void sched_calls_free_store(Gn__TaskState *row)
{
	for (size_t i = 0; i < row->n_open_calls; i++)
		g_free(row->open_calls[i]);
	g_free(row->open_calls);
}

static bool parse(const char *text, gn_call_t *call, uint64_t *until_ms)
{
	char host[GN_NAME_MAX + 1];
	char life[GN_NAME_MAX + 1];
	int outlived;

	G_STATIC_ASSERT(GN_NAME_MAX == 63);
	/* Older builds do not store where the attempt was closed. */
	if (sscanf(text,
		   "%63s %63s %" SCNu64 " %" SCNu32 " %" SCNu64 " %d %" SCNu64,
		   host, life, &call->life.started_ms, &call->attempt, until_ms,
		   &outlived, &call->closed_ms) < 6)
		return false;
	call->host = g_intern_string(host);
	call->life.id = g_intern_string(life);
	call->outlived = outlived;
	return true;
}

void sched_calls_load(const sched_task_t *task, const Gn__TaskState *row)
{
	const gn_sched_t *sched = task->job->sched;
	uint64_t wall_ms = sched_wall_ms(sched);
	char name[GN_TASK_NAME_SIZE];

	gn_task_format_name(task->job->spec, task->number, name);
	for (size_t i = 0; i < row->n_open_calls; i++) {
		gn_call_t call = { 0 };
		uint64_t until_ms;
		uint64_t left_us;

		if (!parse(row->open_calls[i], &call, &until_ms) ||
		    until_ms + SCHED_CLOCK_DIFFERENCE_MS <= wall_ms)
			continue;
		left_us = (until_ms + SCHED_CLOCK_DIFFERENCE_MS - wall_ms) *
			  GN_US_PER_MS;
		call.until_us = sched_now_us(sched) +
				MIN(left_us, sched_late_us(sched));
		note_call(sched, name, &call);
	}
}
