/**
 * @file leading.c
 * @brief Work of the leader: loads all jobs, then schedules and stores them.
 */
#include <string.h>

#include "common/event.h"
#include "common/str.h"
#include "platform/backoff.h"
#include "scheduler/scheduler_internal.h"

/** Interval between checks of leases, due times and lost orders. */
#define TICK_INTERVAL_US (100 * GN_US_PER_MS)
#define MS_PER_S 1000
/** Maximum delay before a failed read of the jobs is repeated. */
#define BACKOFF_MAX_US (200 * GN_US_PER_MS)

/** Stages of loading, in the order in which their keys are listed. */
typedef enum load_stage_e {
	LOAD_SPECS = 0,
	LOAD_STATES,
	LOAD_INTERFERENCE,
	LOAD_LEAVES,
	LOAD_STAGE_COUNT
} load_stage_t;

/** State of reading all jobs from the store. */
typedef struct scheduler_loading_s {
	scheduler_t *scheduler;
	uint64_t start_us;
	GHashTable *states; /**< Maps a job ID to Gn__JobState. */
	GHashTable *specs; /**< Maps a job ID to Gn__JobSpec. */
	GPtrArray *leaves; /**< Of Gn__Leave. */
	load_stage_t stage;
	char *last_key; /**< Last key of the previous page, or NULL. */
	gn_kv_call_t call; /**< 0 if none is in flight. */
	uint64_t retry_at_us; /**< Earliest time of the next attempt. */
	gn_backoff_t backoff;
} scheduler_loading_t;

static uint64_t now_us(const scheduler_t *scheduler)
{
	return gn_runtime_now_us(scheduler->runtime);
}

bool scheduler_is_serving(const scheduler_t *scheduler)
{
	return scheduler->ledger != NULL;
}

/*
 * A leader whose leadership was not confirmed recently may not know all jobs,
 * because another scheduler may have accepted some.
 */
bool scheduler_is_confirmed(const scheduler_t *scheduler)
{
	uint64_t ttl_us = (uint64_t)scheduler->runtime->settings->lease_ttl_ms *
			  GN_US_PER_MS;

	return now_us(scheduler) - gn_lead_confirmed_us(scheduler->lead) <
	       ttl_us;
}

bool scheduler_knows_all_jobs(const scheduler_t *scheduler)
{
	uint64_t ttl_us = (uint64_t)scheduler->runtime->settings->lease_ttl_ms *
			  GN_US_PER_MS;

	/* A stored batch shows that there was no other leader when it was sent,
	 * but does not extend the lease. */
	return now_us(scheduler) - gn_lead_renewed_us(scheduler->lead) < ttl_us;
}

/* ======   Callbacks   ====== */

static void send_order(void *arg, const char *host, const gn_run_order_t *order)
{
	scheduler_add_order(arg, host, order);
}

static void on_durable(void *arg, const char *job, uint64_t version)
{
	scheduler_answer_durable_calls(arg, job, version);
}

static void log_evacuation(const scheduler_t *scheduler,
			   const gn_sched_event_t *event)
{
	uint64_t age_us = gn_evacuations_age_us(scheduler->evacuations,
						now_us(scheduler));

	gn_event("evacuation", "{s:s, s:s, s:I, s:I, s:I, s:I, s:I}",
		 "data_centre", event->data_centre, "why", event->reason,
		 "revision",
		 (json_int_t)gn_evacuations_revision(scheduler->evacuations),
		 "age_ms", (json_int_t)(age_us / GN_US_PER_MS), "claims",
		 (json_int_t)event->value, "workers",
		 (json_int_t)event->workers, "epoch",
		 (json_int_t)scheduler->epoch);
}

/** Members of each line about a decision. */
#define EVENT_MEMBERS "s:s*, s:s*, s:I, s:s*, s:s*, s:I, s:I, s:I"
/** Members that a line about a worker adds. */
#define WORKER_MEMBERS ", s:s, s:I, s:I, s:I, s:I"
/** Members that a line about a claim adds. */
#define CLAIM_MEMBERS ", s:b, s:I"
/** Members for another life than the one above. */
#define OTHER_LIFE_MEMBERS ", s:s, s:I"

/** Values of EVENT_MEMBERS and WORKER_MEMBERS. */
#define EVENT_VALUES(event, leader_epoch)                                   \
	"job", (event)->job, "task", (event)->task, "attempt",              \
		(json_int_t)(event)->attempt, "host", (event)->host, "why", \
		(event)->reason, "value", (json_int_t)(event)->value,       \
		"list_age_ms", (json_int_t)(event)->list_age_ms, "epoch",   \
		(json_int_t)(leader_epoch), "life", (event)->life.id,       \
		"born_ms", (json_int_t)(event)->life.started_ms, "token",   \
		(json_int_t)MAX(leader_epoch, (event)->fence), "heard_ms",  \
		(json_int_t)(event)->heard_ms, "serving_ms",                \
		(json_int_t)(event)->serving_ms
/** Values of OTHER_LIFE_MEMBERS. */
#define OTHER_LIFE_VALUES(event)                                  \
	"worker_life", (event)->worker_life.id, "worker_born_ms", \
		(json_int_t)(event)->worker_life.started_ms

/* The members that a shorter format leaves out are the last ones. */
static const char *get_event_format(const gn_sched_event_t *event)
{
	if (event->worker_life.id)
		return "{" EVENT_MEMBERS WORKER_MEMBERS OTHER_LIFE_MEMBERS "}";
	if (event->host)
		return "{" EVENT_MEMBERS WORKER_MEMBERS "}";
	return event->life.id ? "{" EVENT_MEMBERS ", s:s, s:I}"
			      : "{" EVENT_MEMBERS "}";
}

static const char *get_claim_format(const gn_sched_event_t *event)
{
	if (event->worker_life.id)
		return "{" EVENT_MEMBERS WORKER_MEMBERS CLAIM_MEMBERS
			OTHER_LIFE_MEMBERS "}";
	return "{" EVENT_MEMBERS WORKER_MEMBERS CLAIM_MEMBERS "}";
}

static void log_event(void *arg, const gn_sched_event_t *event)
{
	const scheduler_t *scheduler = arg;

	if (event->data_centre)
		log_evacuation(scheduler, event);
	else if (event->claimed)
		gn_event(event->name, get_claim_format(event),
			 EVENT_VALUES(event, scheduler->epoch), "settled",
			 event->settled, "ordered_age_ms",
			 (json_int_t)event->ordered_age_ms,
			 OTHER_LIFE_VALUES(event));
	else
		gn_event(event->name, get_event_format(event),
			 EVENT_VALUES(event, scheduler->epoch),
			 OTHER_LIFE_VALUES(event));
}

static void request_advice(void *arg, const char *step,
			   const char *const *lives, size_t count)
{
	scheduler_request_advice(arg, step, lives, count);
}

static const gn_sched_ops_t sched_ops = { send_order, on_durable, log_event,
					  request_advice };

static void on_stored(void *arg, uint64_t sent_us, size_t writes)
{
	scheduler_t *scheduler = arg;

	gn_counter_inc(scheduler->counters.batches);
	gn_counter_add(scheduler->counters.writes, writes);
	gn_histogram_add(scheduler->counters.store_time,
			 now_us(scheduler) - sent_us);
	gn_lead_confirm(scheduler->lead, sent_us);
	scheduler_run_pass(scheduler);
}

static void on_superseded(void *arg)
{
	scheduler_t *scheduler = arg;

	gn_lead_depose(scheduler->lead,
		       "another scheduler wrote the chain key");
}

static const gn_ledger_ops_t ledger_ops = { on_stored, on_superseded };

/* ======   Loading   ====== */

static void free_state(gpointer state)
{
	gn__job_state__free_unpacked(state, NULL);
}

static void free_spec(gpointer spec)
{
	gn__job_spec__free_unpacked(spec, NULL);
}

static void free_leave(gpointer leave)
{
	gn__leave__free_unpacked(leave, NULL);
}

static int free_loading(scheduler_loading_t *loading)
{
	gn_kv_cancel(loading->scheduler->kv, loading->call);
	g_hash_table_destroy(loading->states);
	g_hash_table_destroy(loading->specs);
	g_ptr_array_unref(loading->leaves);
	g_free(loading->last_key);
	return 0;
}

static const char *const key_prefixes[LOAD_STAGE_COUNT] = {
	[LOAD_SPECS] = GN_LEDGER_SPEC_PREFIX,
	[LOAD_STATES] = GN_LEDGER_STATE_PREFIX,
	[LOAD_INTERFERENCE] = GN_LEDGER_LEARNED_KEY,
	[LOAD_LEAVES] = GN_LEAVE_PREFIX,
};

static void refuse_job(const scheduler_t *scheduler, const char *id,
		       const char *why)
{
	gn_counter_inc(scheduler->counters.refused_entries);
	gn_event("job unreadable", "{s:s, s:s}", "job", id, "why", why);
}

static void refuse_entry(const scheduler_t *scheduler, const char *event,
			 gn_str_t key)
{
	gn_counter_inc(scheduler->counters.refused_entries);
	gn_event(event, "{s:s%, s:s}", "key", key.data, key.len, "why",
		 "its value in the store is malformed");
}

static void parse_job(scheduler_loading_t *loading, const gn_kv_entry_t *entry)
{
	bool is_spec = loading->stage == LOAD_SPECS;
	size_t skip = strlen(key_prefixes[loading->stage]);
	char *id = g_strndup(entry->key.data + skip, entry->key.len - skip);
	const uint8_t *data = (const uint8_t *)entry->value.data;
	gpointer value;

	if (is_spec)
		value = gn__job_spec__unpack(NULL, entry->value.len, data);
	else
		value = gn__job_state__unpack(NULL, entry->value.len, data);
	if (!value) {
		refuse_job(loading->scheduler, id,
			   "its value in the store is malformed");
		g_free(id);
		return;
	}
	g_hash_table_insert(is_spec ? loading->specs : loading->states, id,
			    value);
}

static void parse_interference(scheduler_loading_t *loading,
			       const gn_kv_entry_t *entry)
{
	if (gn_sched_load_interference(loading->scheduler->sched,
				       (const uint8_t *)entry->value.data,
				       entry->value.len))
		refuse_entry(loading->scheduler, "learned unreadable",
			     entry->key);
}

static void parse_leave(scheduler_loading_t *loading,
			const gn_kv_entry_t *entry)
{
	Gn__Leave *leave = gn__leave__unpack(
		NULL, entry->value.len, (const uint8_t *)entry->value.data);

	if (leave)
		g_ptr_array_add(loading->leaves, leave);
	else
		refuse_entry(loading->scheduler, "leave unreadable",
			     entry->key);
}

static void parse_entry(scheduler_loading_t *loading,
			const gn_kv_entry_t *entry)
{
	if (loading->stage == LOAD_INTERFERENCE)
		parse_interference(loading, entry);
	else if (loading->stage == LOAD_LEAVES)
		parse_leave(loading, entry);
	else
		parse_job(loading, entry);
}

static void load_job(scheduler_loading_t *loading, const char *id,
		     const Gn__JobState *state)
{
	Gn__JobSpec *spec = g_hash_table_lookup(loading->specs, id);
	const char *why = NULL;

	if (!spec)
		why = "the store has no spec";
	else if (strcmp(spec->id, id) != 0)
		why = "its ID is not that of its key";
	else if (gn_sched_load_job(loading->scheduler->sched, spec, state))
		why = "state does not match spec";
	if (why) {
		refuse_job(loading->scheduler, id, why);
		return;
	}
	g_hash_table_steal_extended(loading->specs, id, (gpointer *)&id, NULL);
	g_free((char *)id);
}

static void begin_serving(scheduler_t *scheduler)
{
	const gn_ledger_options_t options = {
		.kv = scheduler->kv,
		.clock = &scheduler->runtime->clock,
		.rand = scheduler->runtime->rand,
		.sched = scheduler->sched,
		.epoch = scheduler->epoch,
		.incarnation = scheduler->runtime->incarnation,
		.ops = &ledger_ops,
		.arg = scheduler,
	};

	gn_sched_finish_loading(scheduler->sched);
	scheduler->ledger = gn_ledger_create(scheduler, &options);
	if (!scheduler->ledger)
		abort(); /* GLib also aborts when out of memory. */
	scheduler_serve_forwarded_calls(scheduler);
	scheduler_run_pass(scheduler);
}

static void finish_loading(scheduler_loading_t *loading)
{
	scheduler_t *scheduler = loading->scheduler;
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, loading->states);
	while (g_hash_table_iter_next(&iter, &key, &value))
		load_job(loading, key, value);
	for (guint i = 0; i < loading->leaves->len; i++)
		gn_sched_load_leave(scheduler->sched,
				    g_ptr_array_index(loading->leaves, i));
	gn_event("leading", "{s:I, s:I, s:I, s:I}", "epoch",
		 (json_int_t)scheduler->epoch, "jobs",
		 (json_int_t)g_hash_table_size(loading->states), "took_us",
		 (json_int_t)(now_us(scheduler) - loading->start_us),
		 "configuration",
		 (json_int_t)scheduler_config_version(scheduler));
	scheduler->loading = NULL;
	talloc_free(loading);
	begin_serving(scheduler);
}

static void request_page(scheduler_loading_t *loading);

static void on_page(void *context, const gn_kv_result_t *result)
{
	scheduler_loading_t *loading = context;

	loading->call = 0;
	if (result->code != GN_OK) {
		loading->retry_at_us =
			now_us(loading->scheduler) +
			gn_backoff_next_us(&loading->backoff,
					   loading->scheduler->runtime->rand);
		return;
	}
	gn_backoff_reset(&loading->backoff);
	for (size_t i = 0; i < result->count; i++)
		parse_entry(loading, &result->entries[i]);
	g_free(loading->last_key);
	loading->last_key = NULL;
	if (result->more && gn_kv_last_key(result).len) {
		gn_str_t last = gn_kv_last_key(result);

		loading->last_key = g_strndup(last.data, last.len);
		request_page(loading);
	} else if (++loading->stage < LOAD_STAGE_COUNT) {
		request_page(loading);
	} else {
		finish_loading(loading);
	}
}

static void request_page(scheduler_loading_t *loading)
{
	loading->call = gn_kv_list_after(
		loading->scheduler->kv,
		gn_str_from(key_prefixes[loading->stage]),
		gn_str_from(loading->last_key), on_page, loading);
}

static void begin_loading(scheduler_t *scheduler)
{
	scheduler_loading_t *loading =
		talloc_zero(scheduler, scheduler_loading_t);

	if (!loading)
		abort();
	loading->scheduler = scheduler;
	loading->backoff.limit_us = BACKOFF_MAX_US;
	loading->start_us = now_us(scheduler);
	loading->states = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						free_state);
	loading->specs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       free_spec);
	loading->leaves = g_ptr_array_new_with_free_func(free_leave);
	talloc_set_destructor(loading, free_loading);
	scheduler->loading = loading;
	request_page(loading);
}

/* ======   Leadership   ====== */

static gn_sched_config_t get_sched_config(const gn_settings_t *settings,
					  uint64_t epoch)
{
	const gn_jobs_settings_t *jobs = &settings->jobs;
	gn_sched_config_t config = {
		.lease_ms = jobs->lease_ms,
		.lease_max_ms = jobs->lease_max_ms,
		.late_call_ms = jobs->late_call_ms,
		.depose_ms = jobs->depose_ms,
		.epoch = epoch,
		.retain_ms = jobs->retain_s * MS_PER_S,
		.stop_ms = jobs->stop_ms,
		.early_ms = jobs->early_ms,
		.far_factor = jobs->far_factor,
		.restore_ms = jobs->restore_ms,
		.harm_ms = jobs->harm_ms,
		.pace_ms = jobs->pace_ms,
		.notice_ms = jobs->notice_ms,
		.headroom_goal = jobs->headroom_pct / 100.0,
		.late_headroom_goal = jobs->late_headroom_pct / 100.0,
		.forecast = jobs->forecast != 0,
	};

	return config;
}

static void on_elected(void *arg, uint64_t epoch)
{
	scheduler_t *scheduler = arg;
	const gn_sched_config_t config =
		get_sched_config(scheduler->runtime->settings, epoch);

	gn_event("elected", "{s:I}", "epoch", (json_int_t)epoch);
	gn_counter_inc(scheduler->counters.elections);
	scheduler_end_leadership(scheduler);
	scheduler->epoch = epoch;
	scheduler->sched =
		gn_sched_create(scheduler, &config, &scheduler->runtime->clock,
				&scheduler->wall, &sched_ops, scheduler);
	if (!scheduler->sched)
		abort();
	scheduler->near_counted = gn_sched_near_stats(scheduler->sched);
	if (scheduler->queues)
		gn_sched_configure(scheduler->sched, scheduler->queues);
	if (scheduler->evacuations)
		gn_sched_set_evacuations(scheduler->sched,
					 scheduler->evacuations);
	begin_loading(scheduler);
}

void scheduler_end_leadership(scheduler_t *scheduler)
{
	scheduler->epoch = 0;
	TALLOC_FREE(scheduler->loading);
	gn_ledger_free(scheduler->ledger);
	scheduler->ledger = NULL;
	scheduler_fail_waiting_calls(scheduler);
	TALLOC_FREE(scheduler->sched);
	gn_counter_set(scheduler->counters.headroom_pct, 0);
	g_hash_table_remove_all(scheduler->executors);
}

static void on_deposed(void *arg, const char *why)
{
	scheduler_t *scheduler = arg;

	gn_event("deposed", "{s:I, s:s}", "epoch", (json_int_t)scheduler->epoch,
		 "why", why);
	scheduler_end_leadership(scheduler);
}

static void on_malformed(void *arg, const char *key)
{
	refuse_entry(arg, "entry refused", gn_str_from(key));
}

const gn_lead_ops_t scheduler_lead_ops = { on_elected, on_deposed,
					   on_malformed };

/* ======   Scheduling   ====== */

void scheduler_run_pass(scheduler_t *scheduler)
{
	if (!scheduler->ledger)
		return;
	gn_sched_run_pass(scheduler->sched);
	gn_counter_set(scheduler->counters.headroom_pct,
		       gn_sched_get_headroom_pct(scheduler->sched));
	gn_ledger_send_next(scheduler->ledger);
	if (scheduler->ledger)
		scheduler_executors_flush(scheduler);
}

static void update_gauges(const scheduler_t *scheduler)
{
	const scheduler_counters_t *counters = &scheduler->counters;
	gn_sched_stats_t stats;

	if (!scheduler->evacuations)
		return;
	stats = gn_sched_stats(scheduler->sched);
	gn_counter_set(counters->evacuation_claims, stats.evacuation_claims);
	gn_counter_set(counters->held_back_starts, stats.held_back_starts);
	gn_counter_set(counters->held_back_passes, stats.held_back_passes);
}

static void count_near_waits(scheduler_t *scheduler)
{
	const scheduler_counters_t *counters = &scheduler->counters;
	const gn_sched_near_stats_t before = scheduler->near_counted;
	const gn_sched_near_stats_t now = gn_sched_near_stats(scheduler->sched);

	gn_counter_add(counters->near_waits, now.waits - before.waits);
	gn_counter_add(counters->near_starts, now.near - before.near);
	gn_counter_add(counters->far_starts, now.far - before.far);
	gn_counter_add(counters->near_won_ms, now.won_ms - before.won_ms);
	gn_counter_add(counters->near_lost_ms, now.lost_ms - before.lost_ms);
	scheduler->near_counted = now;
}

void scheduler_leading_tick(scheduler_t *scheduler)
{
	scheduler_loading_t *loading = scheduler->loading;

	if (loading && !loading->call &&
	    now_us(scheduler) >= loading->retry_at_us)
		request_page(loading);
	if (!scheduler->ledger)
		return;
	if (scheduler_is_confirmed(scheduler))
		scheduler->served_us = now_us(scheduler);
	if (now_us(scheduler) - scheduler->last_tick_us >= TICK_INTERVAL_US) {
		scheduler->last_tick_us = now_us(scheduler);
		gn_sched_tick(scheduler->sched);
		update_gauges(scheduler);
		count_near_waits(scheduler);
	}
	scheduler_run_pass(scheduler);
}
