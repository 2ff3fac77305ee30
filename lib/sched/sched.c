#include "sched/sched.h"

#include <stdlib.h>

#include "sched/sched_internal.h"

uint64_t sched_now_us(const gn_sched_t *sched)
{
	return gn_clock_now_us(sched->clock);
}

uint64_t sched_wall_ms(const gn_sched_t *sched)
{
	return gn_clock_now_us(sched->wall) / GN_US_PER_MS;
}

static int64_t get_age_ms(const gn_sched_t *sched, uint64_t time_us)
{
	uint64_t now_us = sched_now_us(sched);

	if (!time_us)
		return -1;
	/* An earlier leader may have ordered a start until now. */
	return time_us < now_us ? (int64_t)((now_us - time_us) / GN_US_PER_MS)
				: 0;
}

void sched_emit_event(const gn_sched_t *sched, gn_sched_event_t *event,
		      const sched_worker_t *worker)
{
	event->list_age_ms = sched_list_age_ms(sched, worker);
	event->serving_ms = get_age_ms(sched, sched->created_us);
	if (worker) {
		event->host = worker->host;
		event->fence = worker->fence;
		event->heard_ms = get_age_ms(sched, worker->first_heard_us);
	}
	if (worker && !event->life.id)
		event->life = worker->life;
	else if (worker && !gn_life_equals(event->life, worker->life))
		event->worker_life = worker->life;
	sched->ops->log_event(sched->arg, event);
}

void sched_emit_task_event(const gn_sched_t *sched, const char *what,
			   const sched_task_t *task, const char *why,
			   int64_t value)
{
	char name[GN_TASK_NAME_SIZE];
	gn_sched_event_t event = {
		.name = what,
		.job = task->job->spec->id,
		.task = name,
		.attempt = task->attempt,
		.life = task->life,
		.reason = why,
		.value = value,
		.claimed = task->worker != NULL,
		.settled = task->settled,
		.ordered_age_ms = get_age_ms(sched, task->start_ordered_us),
	};

	gn_task_format_name(task->job->spec, task->number, name);
	sched_emit_event(sched, &event, task->worker);
}

double sched_get_headroom_goal(const gn_sched_t *sched)
{
	return sched->config.headroom_goal > 0 ? sched->config.headroom_goal
					       : sched->sharing.goal;
}

/* ======   Creation   ====== */

static void free_job(gpointer job)
{
	sched_job_free(job);
}

static int free_sched(gn_sched_t *sched)
{
	g_hash_table_destroy(sched->workers);
	g_hash_table_destroy(sched->jobs);
	g_hash_table_destroy(sched->life_ids);
	g_hash_table_destroy(sched->evacuated);
	g_array_unref(sched->crash_events);
	g_ptr_array_free(sched->active, TRUE);
	g_ptr_array_free(sched->writing, TRUE);
	g_queue_clear(&sched->dirty);
	return 0;
}

gn_sched_t *gn_sched_create(TALLOC_CTX *parent, const gn_sched_config_t *config,
			    const gn_clock_t *clock, const gn_clock_t *wall,
			    const gn_sched_ops_t *ops, void *arg)
{
	gn_sched_t *sched = talloc_zero(parent, gn_sched_t);

	if (!sched)
		return NULL;
	sched->config = *config;
	sched->clock = clock;
	sched->wall = wall;
	sched->ops = ops;
	sched->arg = arg;
	sched->created_us = sched_now_us(sched);
	sched->jobs =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_job);
	sched->life_ids = g_hash_table_new(NULL, NULL);
	sched->workers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       sched_worker_free);
	sched->evacuated =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	sched->interference = gn_interference_create(sched);
	sched->estimate = gn_estimate_create(sched);
	gn_sharing_init(&sched->sharing);
	sched->forecast = gn_forecast_create(sched);
	sched->crash_events = sched_crash_create_events();
	sched->calls = gn_calls_create(sched);
	if (!sched->calls)
		abort();
	sched->active = g_ptr_array_new();
	sched->writing = g_ptr_array_new();
	g_queue_init(&sched->dirty);
	talloc_set_destructor(sched, free_sched);
	return sched;
}

void gn_sched_configure(gn_sched_t *sched, const gn_queues_t *queues)
{
	GHashTableIter iter;
	gpointer value;

	sched->queues = queues;
	g_hash_table_iter_init(&iter, sched->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sched_job_configure(value);
		sched_job_check_limits(value);
	}
	sched->changed = true;
}

/* ======   Evacuations   ====== */

bool sched_knows_evacuations(const gn_sched_t *sched)
{
	return !sched->evacuations ||
	       gn_evacuations_may_start(sched->evacuations,
					sched_now_us(sched));
}

/* Applies the evacuations to the workers of a data centre, and logs it. */
static void change_evacuation(gn_sched_t *sched, const char *data_centre)
{
	bool begins = gn_evacuations_contain(sched->evacuations, data_centre);
	gn_sched_event_t event = { .name = "evacuation",
				   .reason = begins ? "begins" : "ends",
				   .data_centre = data_centre,
				   .list_age_ms = -1 };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sched_worker_t *worker = value;

		if (g_strcmp0(worker->data_centre, data_centre) != 0)
			continue;
		sched_worker_check_evacuation(sched, worker);
		event.workers++;
		event.value += (int64_t)sched_evacuate_starts(worker);
	}
	sched->ops->log_event(sched->arg, &event);
}

void gn_sched_set_evacuations(gn_sched_t *sched, const gn_evacuations_t *set)
{
	GList *before = g_hash_table_get_keys(sched->evacuated);

	sched->evacuations = set;
	for (size_t i = 0; i < gn_evacuations_count(set); i++) {
		const char *name = gn_evacuations_get(set, i)->data_centre;

		/* Adding a name again would free the one in the list. */
		if (g_hash_table_contains(sched->evacuated, name))
			continue;
		g_hash_table_add(sched->evacuated, g_strdup(name));
		change_evacuation(sched, name);
	}
	for (GList *item = before; item; item = item->next) {
		if (gn_evacuations_contain(set, item->data))
			continue;
		change_evacuation(sched, item->data);
		g_hash_table_remove(sched->evacuated, item->data);
	}
	g_list_free(before);
	sched->changed = true;
}

bool gn_sched_is_evacuated(const gn_sched_t *sched, const char *host)
{
	const sched_worker_t *worker =
		g_hash_table_lookup(sched->workers, host);

	return worker && worker->evacuated;
}

/* ======   Time   ====== */

static bool is_job_active(const sched_job_t *job)
{
	return !sched_job_is_finished(job) || job->claimed;
}

static void remove_inactive_jobs(gn_sched_t *sched)
{
	for (guint i = sched->active->len; i > 0; i--)
		if (!is_job_active(g_ptr_array_index(sched->active, i - 1)))
			g_ptr_array_remove_index(sched->active, i - 1);
}

static void send_due_orders(gn_sched_t *sched)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sched_worker_t *worker = value;

		for (guint i = 0; i < worker->claims->len; i++)
			sched_send_due_order(
				g_ptr_array_index(worker->claims, i));
		sched_lapse_send_stops(sched, worker);
	}
}

void gn_sched_tick(gn_sched_t *sched)
{
	sched_expire_leases(sched);
	sched_calls_expire(sched);
	for (guint i = 0; i < sched->active->len; i++) {
		sched_job_t *job = g_ptr_array_index(sched->active, i);

		if (!job->spec->repeats || sched_job_is_finished(job))
			continue;
		sched_occurrences_close_done(job);
		sched_job_update_units(job);
	}
	send_due_orders(sched);
	sched_jobs_expire(sched);
	remove_inactive_jobs(sched);
	/* A worker may have become usable again after a backoff or silence. */
	sched->changed = true;
	gn_sched_run_pass(sched);
}

/* ======   Statistics   ====== */

gn_sched_near_stats_t gn_sched_near_stats(const gn_sched_t *sched)
{
	return sched->near_stats;
}

gn_sched_stats_t gn_sched_stats(const gn_sched_t *sched)
{
	gn_sched_stats_t figures = {
		.jobs = g_hash_table_size(sched->jobs),
		.claims = sched->claims,
		.run_times = gn_estimate_count(sched->estimate),
		.headroom_goal = sched_get_headroom_goal(sched),
		.evacuation_claims = sched->evacuation_claims,
		.held_back_starts = sched->held_back_starts,
		.held_back_passes = sched->held_back_passes,
	};
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < sched->active->len; i++) {
		const sched_job_t *job = g_ptr_array_index(sched->active, i);

		if (sched_job_is_finished(job))
			continue;
		figures.active_jobs++;
		figures.late_jobs +=
			job->late && sched_job_has_best_effort_work(job);
		for (guint k = 0; k < job->units->len; k++) {
			const sched_unit_t *unit =
				g_ptr_array_index(job->units, k);

			if (unit->ready)
				figures.waiting_tasks += unit->waiting;
		}
	}
	g_hash_table_iter_init(&iter, sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const sched_worker_t *worker = value;
		bool is_live = sched_worker_is_live(sched, worker);

		figures.workers += is_live;
		figures.evacuated_workers += is_live && worker->evacuated;
	}
	return figures;
}

size_t gn_sched_count_unsettled(const gn_sched_t *sched)
{
	GHashTableIter iter;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const GPtrArray *claims = ((sched_worker_t *)value)->claims;

		for (guint i = 0; i < claims->len; i++) {
			const sched_task_t *task = g_ptr_array_index(claims, i);

			count += !task->settled;
		}
	}
	return count;
}

unsigned gn_sched_get_headroom_pct(const gn_sched_t *sched)
{
	return (unsigned)(100 * sched_get_headroom_goal(sched) + 0.5);
}
