/**
 * @file config.c
 * @brief Watches the operators' configuration of queues and services, and the
 *        data centres that they evacuate.
 *
 * One watch covers both, since each call to the platform's key-value service is
 * paid for. Every scheduler watches them, so that a new leader has them at once.
 */
#include "common/event.h"
#include "common/str.h"
#include "scheduler/scheduler_internal.h"

/** Duration of one watch call; short because a connection may hang. */
#define WATCH_WAIT_MS 1000
/** Maximum delay after a failure; a new configuration must apply soon. */
#define WATCH_BACKOFF_MS 300
/** Age from which an unconfirmed configuration is logged; a watch that works
 * confirms it about once per WATCH_WAIT_MS. */
#define UNCONFIRMED_MS 2000

static void apply_config(scheduler_t *scheduler, gn_queues_t *queues,
			 uint64_t revision)
{
	gn_queues_t *old = scheduler->queues;

	scheduler->queues = queues;
	if (scheduler->sched)
		gn_sched_configure(scheduler->sched, queues);
	talloc_free(old);
	gn_event("configuration", "{s:I, s:I, s:I}", "version",
		 (json_int_t)queues->version, "revision", (json_int_t)revision,
		 "queues", (json_int_t)queues->queue_count);
	if (scheduler_is_serving(scheduler))
		scheduler_run_pass(scheduler);
}

static void handle_entry(scheduler_t *scheduler, const gn_kv_entry_t *entry)
{
	gn_queues_t *queues = NULL;
	gn_error_t error = { 0 };

	if (entry->deleted ||
	    !gn_str_equal(entry->key,
			  gn_str_from(scheduler->adapter->config_key)))
		return;
	if (scheduler->adapter->read_config(scheduler, entry->value, &queues,
					    &error)) {
		gn_event("configuration refused", "{s:I, s:s}", "revision",
			 (json_int_t)entry->revision, "why", error.detail);
		return;
	}
	/* An older version never replaces a newer one. */
	if (scheduler->queues &&
	    queues->version <= scheduler->queues->version) {
		talloc_free(queues);
		return;
	}
	apply_config(scheduler, queues, entry->revision);
}

/* ======   Evacuations   ====== */

static void log_ignored(void *arg, gn_str_t key, const char *why)
{
	(void)arg;
	gn_event("evacuation ignored", "{s:s%, s:s}", "key", key.data, key.len,
		 "why", why);
}

/* The data centre is evacuated all the same. */
static void log_faults(const gn_evacuations_t *set, uint64_t before)
{
	for (size_t i = 0; i < gn_evacuations_count(set); i++) {
		const gn_evacuation_t *evacuation = gn_evacuations_get(set, i);

		if (evacuation->fault && evacuation->revision > before)
			gn_event("evacuation malformed", "{s:s, s:I, s:s}",
				 "data_centre", evacuation->data_centre,
				 "revision", (json_int_t)evacuation->revision,
				 "why", evacuation->fault);
	}
}

static void confirm_evacuations(scheduler_t *scheduler)
{
	gn_evacuations_confirm(
		scheduler->evacuations,
		gn_kv_watch_confirmed_us(scheduler->config_watch));
}

static void update_evacuations(scheduler_t *scheduler,
			       const gn_kv_update_t *update)
{
	gn_evacuations_t *set = scheduler->evacuations;
	uint64_t before = gn_evacuations_revision(set);
	bool changed =
		gn_evacuations_update(set, update, log_ignored, scheduler);

	confirm_evacuations(scheduler);
	log_faults(set, before);
	if (!changed)
		return;
	gn_counter_set(scheduler->counters.evacuations,
		       gn_evacuations_count(set));
	if (scheduler->sched)
		gn_sched_set_evacuations(scheduler->sched, set);
	if (scheduler_is_serving(scheduler))
		scheduler_run_pass(scheduler);
}

json_t *scheduler_dump_evacuations(const scheduler_t *scheduler)
{
	const gn_evacuations_t *set = scheduler->evacuations;
	uint64_t age_us = gn_evacuations_age_us(
		set, gn_runtime_now_us(scheduler->runtime));
	json_t *rows = json_array();

	for (size_t i = 0; i < gn_evacuations_count(set); i++) {
		const gn_evacuation_t *row = gn_evacuations_get(set, i);

		json_array_append_new(
			rows, json_pack("{s:s, s:I, s:s*}", "data_centre",
					row->data_centre, "revision",
					(json_int_t)row->revision, "fault",
					row->fault));
	}
	return json_pack("{s:o, s:I, s:I}", "data_centres", rows, "revision",
			 (json_int_t)gn_evacuations_revision(set), "age_ms",
			 age_us == UINT64_MAX
				 ? (json_int_t)-1
				 : (json_int_t)(age_us / GN_US_PER_MS));
}

/* ======   The watch   ====== */

static void on_update(void *context, const gn_kv_update_t *update)
{
	scheduler_t *scheduler = context;

	/* A new configuration may let tasks start, so the evacuations come
	 * first. */
	if (scheduler->evacuations)
		update_evacuations(scheduler, update);
	for (size_t i = 0; i < update->count; i++)
		handle_entry(context, &update->entries[i]);
}

uint64_t scheduler_config_version(const scheduler_t *scheduler)
{
	return scheduler->queues ? scheduler->queues->version : 0;
}

int64_t scheduler_config_age_ms(const scheduler_t *scheduler)
{
	uint64_t confirmed_us =
		gn_kv_watch_confirmed_us(scheduler->config_watch);
	uint64_t now_us = gn_runtime_now_us(scheduler->runtime);

	return confirmed_us ? (int64_t)((now_us - confirmed_us) / GN_US_PER_MS)
			    : -1;
}

/* Logs when the configuration has become unconfirmed, and when that ends. */
static void monitor_age(scheduler_t *scheduler)
{
	gn_kv_health_t health = gn_kv_http_health(scheduler->kv_http);
	uint64_t silent_us =
		gn_runtime_now_us(scheduler->runtime) - health.answered_us;
	int64_t age_ms = scheduler_config_age_ms(scheduler);
	bool is_old = age_ms >= UNCONFIRMED_MS;

	gn_counter_set(scheduler->counters.config_age_ms,
		       age_ms < 0 ? 0 : (uint64_t)age_ms);
	if (is_old == scheduler->config_is_old)
		return;
	scheduler->config_is_old = is_old;
	gn_event(is_old ? "configuration unconfirmed"
			: "configuration confirmed",
		 "{s:I, s:I, s:I}", "version",
		 (json_int_t)scheduler_config_version(scheduler), "age_ms",
		 (json_int_t)age_ms, "store_silent_ms",
		 health.answered_us ? (json_int_t)(silent_us / GN_US_PER_MS)
				    : -1);
}

void scheduler_config_tick(scheduler_t *scheduler)
{
	monitor_age(scheduler);
	gn_kv_watch_tick(scheduler->config_watch);
	if (scheduler->evacuations)
		confirm_evacuations(scheduler);
}

/* Returns the longest prefix of both. */
static char *get_common_prefix(TALLOC_CTX *parent, const char *a, const char *b)
{
	size_t len = 0;

	while (a[len] && a[len] == b[len])
		len++;
	return talloc_strndup(parent, a, len);
}

static gn_code_t create_evacuations(scheduler_t *scheduler)
{
	if (!scheduler->runtime->settings->jobs.evacuate_ms ||
	    !scheduler->adapter->evacuation_prefix)
		return GN_OK;
	scheduler->evacuations = gn_evacuations_create(
		scheduler, scheduler->adapter->evacuation_prefix);
	return scheduler->evacuations ? GN_OK : GN_ERR_MEMORY;
}

gn_code_t scheduler_watch_config(scheduler_t *scheduler, gn_error_t *error)
{
	gn_kv_watch_options_t options = {
		.prefix = scheduler->adapter->config_key,
		.wait_ms = WATCH_WAIT_MS,
		.on_update = on_update,
		.context = scheduler,
	};
	char *prefix = NULL;

	if (create_evacuations(scheduler))
		return gn_error_set(error, GN_ERR_MEMORY, "start", NULL,
				    "evacuations");
	if (scheduler->evacuations) {
		prefix = get_common_prefix(
			scheduler, scheduler->adapter->config_key,
			scheduler->adapter->evacuation_prefix);
		options.prefix = prefix;
	}
	scheduler->config_watch = gn_kv_watch_create(
		scheduler, scheduler->kv, &scheduler->runtime->clock,
		scheduler->runtime->rand, &options);
	talloc_free(prefix);
	if (!scheduler->config_watch)
		return gn_error_set(error, GN_ERR_MEMORY, "start", NULL,
				    "configuration watch");
	gn_kv_watch_limit_backoff(scheduler->config_watch, WATCH_BACKOFF_MS);
	gn_kv_watch_confirm_soon(scheduler->config_watch);
	return GN_OK;
}
