/**
 * @file sched_worker.c
 * @brief Workers: their state, their lives and the expiry of their leases.
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
	worker->open_attempts = sched_lapse_create();
	g_queue_init(&worker->ends);
	g_hash_table_insert(sched->workers, worker->host, worker);
	return worker;
}

static void free_end(sched_end_t *end)
{
	g_free(end->open_task);
	g_free(end);
}

static void drop_ends(sched_worker_t *worker)
{
	sched_end_t *end;

	while ((end = g_queue_pop_head(&worker->ends))) {
		if (end->job)
			end->job->pending_ends--;
		free_end(end);
	}
}

void sched_worker_free(gpointer data)
{
	sched_worker_t *worker = data;

	drop_ends(worker);
	g_ptr_array_free(worker->claims, TRUE);
	g_array_unref(worker->open_attempts);
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

void sched_worker_check_evacuation(const gn_sched_t *sched,
				   sched_worker_t *worker)
{
	worker->evacuated =
		sched->evacuations &&
		gn_evacuations_contain(sched->evacuations, worker->data_centre);
}

bool sched_worker_accepts_tasks(const gn_sched_t *sched,
				const sched_worker_t *worker)
{
	uint64_t now_us = sched_now_us(sched);

	return !worker->draining && !worker->evacuated && !worker->crashed &&
	       *worker->life.id && sched_worker_is_live(sched, worker) &&
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

void sched_emit_worker_event(const gn_sched_t *sched, const char *what,
			     const sched_worker_t *worker, const char *why,
			     int64_t value)
{
	gn_sched_event_t event = { .name = what,
				   .reason = why,
				   .value = value };

	sched_emit_event(sched, &event, worker);
}

void sched_stop_attempt(const gn_sched_t *sched, const sched_worker_t *worker,
			const char *task, uint32_t attempt, const char *why)
{
	const gn_run_order_t order = { .kind = GN_RUN_ORDER_STOP,
				       .task = task,
				       .attempt = attempt,
				       .life = worker->life,
				       .checkpoint = "",
				       .ticket = "" };
	gn_sched_event_t event = {
		.name = "stop", .task = task, .attempt = attempt, .reason = why
	};

	sched_calls_close(sched, worker, task, attempt);
	sched_emit_event(sched, &event, worker);
	sched->ops->send_order(sched->arg, worker->host, &order);
}

/* ======   Release of claims   ====== */

/* Whether a start call for the claim may be open, as its worker's executor has
 * recorded the leave. */
static bool is_open_at_leave(const sched_task_t *task, const Gn__Leave *leave)
{
	uint64_t wall_ms = sched_wall_ms(task->job->sched);
	char name[GN_TASK_NAME_SIZE];
	g_autofree char *call = NULL;

	if (!task->settled &&
	    wall_ms < leave->unknown_until_ms + SCHED_CLOCK_DIFFERENCE_MS)
		return true;
	gn_task_format_name(task->job->spec, task->number, name);
	call = g_strdup_printf("%s %u", name, task->attempt);
	for (size_t i = 0; i < leave->n_open_starts; i++)
		if (!strcmp(leave->open_starts[i], call))
			return true;
	return false;
}

void sched_worker_load_leave(sched_worker_t *worker, const Gn__Leave *leave)
{
	const gn_life_t life = { leave->life, leave->born_ms };
	guint i = 0;

	/* Releasing one gang member can release others, so start over. */
	while (i < worker->claims->len) {
		sched_task_t *task = g_ptr_array_index(worker->claims, i);

		if (!gn_life_matches(task->life, life) ||
		    is_open_at_leave(task, leave)) {
			i++;
			continue;
		}
		task->settled = true;
		sched_release_claim(task, "worker left");
		i = 0;
	}
}

/* Makes gn_sched_is_leave_durable() wait for the present state of a job. */
static void await_job(sched_worker_t *worker, sched_job_t *job)
{
	sched_end_t *end;

	/* One that is being deleted soon has no claims in the store. */
	if (job->removing)
		return;
	end = g_new0(sched_end_t, 1);
	end->number = worker->ends_seen;
	end->job = job;
	end->version = job->version;
	job->pending_ends++;
	g_queue_push_tail(&worker->ends, end);
}

static void await_stored_jobs(const gn_sched_t *sched, sched_worker_t *worker)
{
	for (GList *item = sched->dirty.head; item; item = item->next) {
		sched_job_t *job = item->data;

		/* Others have no claims in the store. */
		if (job->stored)
			await_job(worker, job);
	}
	/* The first write of a job may have a claim that is released by now. */
	for (guint i = 0; i < sched->writing->len; i++)
		await_job(worker, g_ptr_array_index(sched->writing, i));
}

void sched_worker_leave(gn_sched_t *sched, sched_worker_t *worker,
			const sched_calls_view_t *view)
{
	bool had_claims = worker->left_with_claims;

	sched_calls_release_gone(worker, view, "worker left");
	worker->left_with_claims = worker->claims->len != 0;
	/* The record has the calls that may reach the next life. */
	g_array_set_size(worker->open_attempts, 0);
	if (worker->left && !had_claims)
		return;
	worker->left = true;
	await_stored_jobs(sched, worker);
}

/* A start call that is under way may reach the next life if that has the same
 * ID, so claims whose runs are not settled wait for the next life. */
static void release_crashed_claims(sched_worker_t *worker)
{
	guint i = 0;

	while (i < worker->claims->len) {
		sched_task_t *task = g_ptr_array_index(worker->claims, i);
		sched_job_t *job = task->job;

		if (!task->listed || !sched_calls_are_settled(task) ||
		    !gn_life_matches(task->life, worker->life)) {
			i++;
			continue;
		}
		sched_lapse_record(worker, task);
		sched_release_claim(task, "the worker has crashed");
		sched_job_check_limits(job);
		i = 0;
	}
}

void sched_worker_crash(const gn_sched_t *sched, sched_worker_t *worker,
			const sched_calls_view_t *view)
{
	int64_t crashed;

	if (worker->crashed || !sched_crash_ended_life(worker, worker->life))
		return;
	worker->crashed = true;
	sched_crash_note(worker, sched);
	crashed = sched_crash_count_claims(worker, worker->life, view);
	sched_emit_worker_event(sched, "crash", worker, "its process is gone",
				crashed);
	if (!crashed)
		return;
	release_crashed_claims(worker);
	sched_isolate_reserve(sched, worker);
}

bool gn_sched_is_leave_durable(const gn_sched_t *sched, const char *host)
{
	const sched_worker_t *worker =
		g_hash_table_lookup(sched->workers, host);

	return worker && worker->left && !worker->left_with_claims &&
	       g_queue_is_empty((GQueue *)&worker->ends);
}

uint64_t sched_lease_us(unsigned lease_ms)
{
	uint64_t lease_us = (uint64_t)lease_ms * GN_US_PER_MS;

	return lease_us + lease_us / SCHED_CLOCK_DRIFT_DIVISOR +
	       SCHED_LEASE_MARGIN_US;
}

/*
 * The clock of a life begins anew. A call with a time on the clock of an earlier
 * life with the same ID may have extended the lease to its maximum.
 */
static void expect_longest_lease(const gn_sched_t *sched,
				 sched_worker_t *worker)
{
	uint64_t expiry_us = sched_now_us(sched) +
			     sched_lease_us(sched->config.lease_max_ms);

	worker->report_expiry_us = MAX(worker->report_expiry_us, expiry_us);
	worker->list_expiry_us = MAX(worker->list_expiry_us, expiry_us);
}

static bool has_life(const GArray *lives, gn_life_t life)
{
	for (guint i = 0; i < lives->len; i++)
		if (gn_life_matches(g_array_index(lives, gn_life_t, i), life))
			return true;
	return false;
}

/* Counts the crashes of lives before this one. */
static int64_t count_crashes_of_other_lives(sched_worker_t *worker,
					    gn_life_t life)
{
	g_autoptr(GArray) lives = g_array_new(FALSE, FALSE, sizeof(gn_life_t));
	int64_t crashed = 0;

	g_array_append_val(lives, life);
	for (guint i = 0; i < worker->claims->len; i++) {
		const sched_task_t *task = g_ptr_array_index(worker->claims, i);

		if (has_life(lives, task->life))
			continue;
		g_array_append_val(lives, task->life);
		if (sched_crash_ended_life(worker, task->life))
			crashed += sched_crash_count_claims(worker, task->life,
							    NULL);
	}
	return crashed;
}

/* Ends the claim of a former life under the same ID. A stop would close the
 * attempt in the new one, so that its task had to wait for the open calls. */
static void end_former_claim(const gn_sched_t *sched, sched_task_t *task,
			     gn_life_t life)
{
	sched_worker_t *worker = task->worker;

	expect_longest_lease(sched, worker);
	if (worker->lists_open_starts && !sched_is_gang(task) &&
	    sched_calls_may_be_open(task))
		sched_release_claim(task, "new life of the worker");
	else
		sched_stop_in_new_life(task, life);
}

/* Ends the claims of other lives, whose runs are over. */
static void end_other_lives(const gn_sched_t *sched, sched_worker_t *worker,
			    gn_life_t life)
{
	int64_t crashed = 0;
	guint i = 0;

	if (*worker->life.id && sched_crash_ended_life(worker, worker->life))
		sched_crash_note(worker, sched);
	if (!worker->host_restarted)
		crashed = count_crashes_of_other_lives(worker, life);
	/* Ending one gang member can release others, so start over. */
	while (i < worker->claims->len) {
		sched_task_t *task = g_ptr_array_index(worker->claims, i);
		sched_job_t *job = task->job;

		if (gn_life_matches(task->life, life)) {
			/* An older build has stored no start time. */
			if (!task->life.started_ms)
				task->life.started_ms = life.started_ms;
			i++;
			continue;
		}
		if (gn_life_compare(task->life, life) != GN_LIFE_OTHER)
			end_former_claim(sched, task, life);
		else
			sched_release_claim(task, "new life of the worker");
		sched_job_check_limits(job);
		i = 0;
	}
	if (!crashed)
		return;
	sched_emit_worker_event(sched, "crash", worker,
				"new life without a leave", crashed);
	sched_isolate_reserve(sched, worker);
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

bool sched_worker_is_outlived(const sched_worker_t *worker, gn_life_t life)
{
	if (gn_life_began_before(life, worker->life))
		return true;
	for (guint i = 0; i < worker->claims->len; i++) {
		const sched_task_t *task = g_ptr_array_index(worker->claims, i);

		if (life.started_ms && gn_life_began_before(life, task->life))
			return true;
	}
	return false;
}

/* Calls for an earlier life with the same ID carry at most the present token, so
 * a new one fences them off. */
static void request_fence(gn_sched_t *sched, sched_worker_t *worker)
{
	worker->fence_batch = sched->batches + 1;
	sched->batches_needed = worker->fence_batch;
}

/* An earlier process of its executor may have raised the token. */
void sched_worker_renew_fence(gn_sched_t *sched, sched_worker_t *worker)
{
	if (!worker->fence_batch)
		request_fence(sched, worker);
}

void sched_workers_raise_fences(gn_sched_t *sched, uint64_t revision)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sched_worker_t *worker = value;

		if (!worker->fence_batch ||
		    worker->fence_batch > sched->batches)
			continue;
		worker->fence = revision;
		worker->fence_batch = 0;
		sched_emit_worker_event(sched, "fence", worker, "new life",
					(int64_t)revision);
	}
}

uint64_t gn_sched_get_fence(const gn_sched_t *sched, const char *host)
{
	const sched_worker_t *worker =
		g_hash_table_lookup(sched->workers, host);

	return worker ? worker->fence : 0;
}

void sched_worker_begin_life(gn_sched_t *sched, sched_worker_t *worker,
			     gn_life_t life)
{
	bool is_present = gn_life_matches(worker->life, life);

	if (gn_life_equals(worker->life, life))
		return;
	if (!*worker->life.id)
		sched_crash_infer_event(sched, worker->host, life);
	if (!is_present && !worker->host_restarted)
		sched_lapse_count_crashes(sched, worker, life);
	worker->process_gone = true;
	end_other_lives(sched, worker, life);
	worker->process_gone = false;
	/* Calls for an earlier life with the same ID may reach this one. */
	if (gn_life_compare(worker->life, life) != GN_LIFE_OTHER)
		expect_longest_lease(sched, worker);
	sched_lapse_forget_other_lives(worker, life);
	if (!is_present &&
	    !g_hash_table_add(sched->life_ids, (gpointer)life.id))
		request_fence(sched, worker);
	worker->life = life;
	/* Only its start time was unknown. */
	if (is_present)
		return;
	worker->first_heard_us = sched_now_us(sched);
	drop_ends(worker);
	worker->ends_seen = 0;
	worker->ends_durable = 0;
	memset(&worker->health, 0, sizeof(worker->health));
	memset(&worker->cold, 0, sizeof(worker->cold));
	memset(&worker->unclaimed_use, 0, sizeof(worker->unclaimed_use));
	worker->full_until_us = 0;
	worker->last_list_us = 0;
	worker->has_listed = false;
	worker->ends_cut = false;
	worker->left = false;
	worker->left_with_claims = false;
	worker->crashed = false;
	sched_emit_worker_event(sched, "worker", worker,
				worker->host_restarted
					? "new life after a restart of the host"
					: "new life",
				(int64_t)life.started_ms);
}

void sched_worker_describe(sched_worker_t *worker,
			   const Gn__WorkerReport *report)
{
	replace_text(&worker->service, report->service);
	replace_text(&worker->data_centre, report->data_centre);
	replace_text(&worker->rack, report->rack);
	replace_text(&worker->machine, report->machine);
	replace_labels(worker, report);
	worker->draining = report->draining;
	sched_shrink_note(worker, &(gn_resource_vector_t){
					  .cpu_milli = report->cpu_milli,
					  .memory_mb = report->memory_mb,
					  .accelerators = report->accelerators,
				  });
}

/* ======   Ends   ====== */

void sched_worker_retire_ends(const gn_sched_t *sched, sched_worker_t *worker)
{
	sched_end_t *end;

	while ((end = g_queue_peek_head(&worker->ends))) {
		if (end->job && end->job->durable_version < end->version)
			return;
		if (end->open_task &&
		    sched_calls_hold_end(sched, worker, end->open_task))
			return;
		if (end->job)
			end->job->pending_ends--;
		worker->ends_durable = end->number;
		free_end(g_queue_pop_head(&worker->ends));
	}
}

uint64_t gn_sched_get_durable_ends(const gn_sched_t *sched, const char *host,
				   gn_life_t *life)
{
	const sched_worker_t *worker =
		g_hash_table_lookup(sched->workers, host);

	*life = worker ? worker->life : (gn_life_t){ .id = "" };
	return worker ? worker->ends_durable : 0;
}
