/**
 * @file config.c
 * @brief Watches the operators' configuration of queues and services.
 */
#include "common/event.h"
#include "common/str.h"
#include "scheduler/scheduler_internal.h"

/** Duration of one watch call; short because a connection may hang. */
#define WATCH_WAIT_MS 1000
/** Maximum delay after a failure; a new configuration must apply soon. */
#define WATCH_BACKOFF_MS 300

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

static void on_config_update(void *context, const gn_kv_update_t *update)
{
	for (size_t i = 0; i < update->count; i++)
		handle_entry(context, &update->entries[i]);
}

gn_code_t scheduler_watch_config(scheduler_t *scheduler, gn_error_t *error)
{
	const gn_kv_watch_options_t options = {
		.prefix = scheduler->adapter->config_key,
		.wait_ms = WATCH_WAIT_MS,
		.on_update = on_config_update,
		.context = scheduler,
	};

	scheduler->config_watch = gn_kv_watch_create(
		scheduler, scheduler->kv, &scheduler->runtime->clock,
		scheduler->runtime->rand, &options);
	if (!scheduler->config_watch)
		return gn_error_set(error, GN_ERR_MEMORY, "start", NULL,
				    "configuration watch");
	gn_kv_watch_limit_backoff(scheduler->config_watch, WATCH_BACKOFF_MS);
	return GN_OK;
}
