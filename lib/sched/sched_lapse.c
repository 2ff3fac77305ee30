/**
 * @file sched_lapse.c
 * @brief Attempts whose claims have lapsed.
 *
 * A lapse shows that a run is over, but not that it cannot begin again: the
 * worker may carry out a start call late, and the executor that sent it may have
 * been restarted. So the attempts are closed by stops once the worker is heard
 * again.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "common/str.h"
#include "executor/grant.h"
#include "hold/hold.h"
#include "sched/sched_internal.h"

/** Newest attempts of a task that are stored for the next leader. */
#define STORED_MAX 4

/** An attempt that the worker may still begin. */
typedef struct open_attempt_s {
	char task[GN_TASK_NAME_SIZE];
	uint32_t attempt;
	gn_life_t life; /**< Life of the claim; interned ID. */
	uint64_t last_order_us; /**< Time of the last stop order; 0 if none. */
	uint64_t lapsed_ms; /**< Wall clock, since 1970. */
	int64_t listed_ms; /**< As sched_crash_listed_ms() returned it. */
	bool isolated;
	bool crash_counted;
} open_attempt_t;

static void store_with_job(sched_task_t *task, const char *host,
			   const open_attempt_t *open)
{
	if (!task->open_attempts)
		task->open_attempts = g_ptr_array_new_with_free_func(g_free);
	if (task->open_attempts->len == STORED_MAX)
		g_ptr_array_remove_index(task->open_attempts, 0);
	g_ptr_array_add(
		task->open_attempts,
		g_strdup_printf(
			"%s %s %" PRIu64 " %u %" PRIu64 " %" PRId64 " %d", host,
			open->life.id, open->life.started_ms, open->attempt,
			open->lapsed_ms, open->listed_ms, open->isolated));
}

void sched_lapse_record(sched_worker_t *worker, sched_task_t *task)
{
	open_attempt_t open = {
		.attempt = task->attempt,
		.life = task->life,
		.lapsed_ms = sched_wall_ms(task->job->sched),
		.listed_ms = sched_crash_listed_ms(task),
		.isolated = task->isolated,
	};

	/* No call can be under way without a start order. */
	if (!task->start_sent)
		return;
	gn_task_format_name(task->job->spec, task->number, open.task);
	g_array_append_val(worker->open_attempts, open);
	store_with_job(task, worker->host, &open);
}

/* Reads what store_with_job() wrote. */
static bool parse(const char *text, char *host, char *life,
		  open_attempt_t *open)
{
	int isolated;

	G_STATIC_ASSERT(GN_NAME_MAX == 63);
	if (sscanf(text,
		   "%63s %63s %" SCNu64 " %" SCNu32 " %" SCNu64 " %" SCNd64
		   " %d",
		   host, life, &open->life.started_ms, &open->attempt,
		   &open->lapsed_ms, &open->listed_ms, &isolated) != 7)
		return false;
	open->isolated = isolated;
	open->life.id = g_intern_string(life);
	return true;
}

void sched_lapse_load(sched_task_t *task, const Gn__TaskState *row)
{
	for (size_t i = 0; i < row->n_open_attempts; i++) {
		open_attempt_t open = { 0 };
		char host[GN_NAME_MAX + 1];
		char life[GN_NAME_MAX + 1];

		if (!parse(row->open_attempts[i], host, life, &open))
			continue;
		gn_task_format_name(task->job->spec, task->number, open.task);
		g_array_append_val(
			sched_worker_get(task->job->sched, host)->open_attempts,
			open);
		store_with_job(task, host, &open);
	}
}

void sched_lapse_store(const sched_task_t *task, Gn__TaskState *row)
{
	if (!task->open_attempts || task->state == GN_JOB_TASK_DONE)
		return;
	row->open_attempts = (char **)task->open_attempts->pdata;
	row->n_open_attempts = task->open_attempts->len;
}

void sched_lapse_forget_other_lives(sched_worker_t *worker, gn_life_t life)
{
	GArray *all = worker->open_attempts;

	for (guint i = all->len; i > 0; i--)
		if (gn_life_compare(
			    g_array_index(all, open_attempt_t, i - 1).life,
			    life) == GN_LIFE_OTHER)
			g_array_remove_index_fast(all, i - 1);
}

void sched_lapse_count_crashes(gn_sched_t *sched, sched_worker_t *worker,
			       gn_life_t life)
{
	if (!sched_crash_ended_life(worker, worker->life))
		return;
	for (guint i = 0; i < worker->open_attempts->len; i++) {
		open_attempt_t *open = &g_array_index(worker->open_attempts,
						      open_attempt_t, i);
		sched_task_t *task = sched_find_task(sched, open->task);

		/* A worker that ended later had killed the run by then. */
		if (!task || open->crash_counted ||
		    gn_life_matches(open->life, life) ||
		    life.started_ms > open->lapsed_ms)
			continue;
		open->crash_counted = true;
		sched_emit_worker_event(sched, "crash", worker,
					"before a lapse", open->listed_ms);
		sched_crash_count(
			task,
			&(sched_crashed_run_t){
				.host = worker->host,
				.life = open->life,
				.evidence = { .isolated = open->isolated,
					      .listed_ms = open->listed_ms,
					      .delay_ms = -1 } });
		sched_job_check_limits(task->job);
	}
}

void sched_lapse_close(sched_worker_t *worker, const char *task,
		       uint32_t attempt)
{
	GArray *all = worker->open_attempts;

	for (guint i = all->len; i > 0; i--) {
		const open_attempt_t *open =
			&g_array_index(all, open_attempt_t, i - 1);

		if (open->attempt == attempt && !strcmp(open->task, task))
			g_array_remove_index_fast(all, i - 1);
	}
}

void sched_lapse_send_stops(gn_sched_t *sched, sched_worker_t *worker)
{
	uint64_t now_us = sched_now_us(sched);

	if (!sched_worker_is_live(sched, worker) || worker->crashed)
		return;
	for (guint i = 0; i < worker->open_attempts->len; i++) {
		open_attempt_t *open = &g_array_index(worker->open_attempts,
						      open_attempt_t, i);

		if (now_us - open->last_order_us < SCHED_RESEND_US)
			continue;
		open->last_order_us = now_us;
		sched_stop_attempt(sched, worker, open->task, open->attempt,
				   "its claim has lapsed");
	}
}

/* ======   Expiry of leases   ====== */

static gn_hold_limits_t get_limits(const gn_sched_t *sched)
{
	const gn_sched_config_t *config = &sched->config;

	return (gn_hold_limits_t){
		.late_us = sched_late_us(sched),
		.lease_max_us = sched_lease_us(config->lease_max_ms),
	};
}

static gn_hold_claim_t describe_claim(const sched_task_t *task)
{
	const sched_worker_t *worker = task->worker;

	return (gn_hold_claim_t){
		.start_sent = task->start_ordered_us != 0,
		.settled = sched_calls_are_settled(task),
		/* The executor sends the call of an older order no more. */
		.last_call_us = task->start_ordered_us +
				GN_GRANT_START_MAX_AGE_MS * GN_US_PER_MS,
		.lease_expiry_us =
			MIN(worker->report_expiry_us, worker->list_expiry_us),
	};
}

static uint64_t get_release_us(const sched_task_t *task)
{
	const gn_hold_limits_t limits = get_limits(task->job->sched);
	const gn_hold_claim_t claim = describe_claim(task);

	return gn_hold_until_us(&limits, &claim);
}

bool sched_may_start_in_later_life(const sched_task_t *task)
{
	const gn_sched_t *sched = task->job->sched;
	const gn_hold_limits_t limits = get_limits(sched);
	const gn_hold_claim_t claim = describe_claim(task);

	return task->moved &&
	       gn_hold_may_start(&limits, &claim, sched_now_us(sched));
}

static void note_hold(sched_task_t *task, uint64_t until_us)
{
	gn_sched_t *sched = task->job->sched;

	if (task->held)
		return;
	task->held = true;
	sched_emit_task_event(
		sched, "hold", task, "a start call may still be carried out",
		(int64_t)((until_us - sched_now_us(sched)) / GN_US_PER_MS));
}

static void emit_lapse(const gn_sched_t *sched, const sched_worker_t *worker)
{
	uint64_t now_us = sched_now_us(sched);

	sched_emit_worker_event(sched, "lapse", worker,
				now_us < worker->report_expiry_us
					? "no list from the worker"
					: "no report from the executor",
				(int64_t)(now_us - worker->last_report_us));
}

static void release_lapsed_claims(gn_sched_t *sched, sched_worker_t *worker)
{
	bool has_lapsed = false;
	guint i = 0;

	/* Releasing one gang member can release others, so start over. */
	while (i < worker->claims->len) {
		sched_task_t *task = g_ptr_array_index(worker->claims, i);
		uint64_t release_us = get_release_us(task);

		if (sched_now_us(sched) < release_us) {
			note_hold(task, release_us);
			i++;
			continue;
		}
		if (!has_lapsed)
			emit_lapse(sched, worker);
		has_lapsed = true;
		sched_lapse_record(worker, task);
		sched_release_claim(task, "lapsed");
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

		if (now_us >= worker->report_expiry_us ||
		    now_us >= worker->list_expiry_us)
			release_lapsed_claims(sched, worker);
	}
}

GArray *sched_lapse_create(void)
{
	return g_array_new(FALSE, FALSE, sizeof(open_attempt_t));
}
