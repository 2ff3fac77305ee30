#include "executor/executor.h"

#include <curl/curl.h>

#include "daemon/metrics.h"
#include "evacuation/evacuation.h"
#include "executor/executor_internal.h"

/** Interval of the timers that repeat orders and send reports, milliseconds. */
#define TICK_MS 10
/** Timeout of calls to the store, milliseconds. */
#define STORE_TIMEOUT_MS 1000
/** Calls per second to the store, which is only asked for the schedulers. */
#define STORE_CALLS_PER_S 10
/** Maximum number of connections to the worker. */
#define WORKER_CONNECTIONS 8
/** Maximum length of a response of the worker, bytes. */
#define ANSWER_MAX (4 * 1024 * 1024)
/** Maximum time for which orders in progress delay a stop. */
#define STOP_ORDERS_MAX_US (500 * GN_US_PER_MS)
/** A lease is shorter by this than the maximum that the worker grants, ms. */
#define WORKER_LEASE_MARGIN_MS 500

uint64_t executor_now_us(const executor_t *executor)
{
	return gn_runtime_now_us(executor->runtime);
}

/* ======   Start   ====== */

static gn_code_t start_store(executor_t *executor, gn_error_t *error)
{
	gn_runtime_t *runtime = executor->runtime;
	const gn_kv_http_options_t options = {
		.address = runtime->settings->platform_address,
		.timeout_ms = STORE_TIMEOUT_MS,
		.calls_per_s = STORE_CALLS_PER_S,
		.codec = executor->adapter->store,
		.clock = &runtime->clock,
		.counters = runtime->counters,
		.loop = runtime->events,
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	executor->kv_http = gn_kv_http_create(executor, &options);
	if (!executor->kv_http)
		return gn_error_set(error, GN_ERR_MEMORY, "start",
				    options.address, "store client");
	executor->kv = gn_kv_http_client(executor->kv_http);
	return GN_OK;
}

static gn_code_t start_client(executor_t *executor, gn_error_t *error)
{
	const gn_http_client_config_t config = {
		.events = executor->runtime->events,
		.zmq = executor->runtime->zmq,
		.host_connections = WORKER_CONNECTIONS,
		.answer_max = ANSWER_MAX,
		.counters = executor->runtime->counters,
	};

	return gn_http_client_start(executor, &config, &executor->client,
				    error);
}

static gn_code_t start_server(executor_t *executor, gn_error_t *error)
{
	const gn_settings_t *settings = executor->runtime->settings;
	const gn_http_server_config_t config = {
		.events = executor->runtime->events,
		.zmq = executor->runtime->zmq,
		.address = settings->http_listen,
		.connections = settings->http_connections,
		.timeout_ms = settings->http_timeout_ms,
		.threads = settings->http_threads,
		.body_max = GN_BODY_MAX,
		.counters = executor->runtime->counters,
		.handler = executor_on_http,
		.arg = executor,
	};

	return gn_http_server_start(executor, &config, &executor->server,
				    error);
}

static int executor_destructor(executor_t *executor)
{
	/* Freed before the orders, since its calls point to them. */
	TALLOC_FREE(executor->client);
	TALLOC_FREE(executor->link);
	TALLOC_FREE(executor->leave);
	TALLOC_FREE(executor->kv_http);
	TALLOC_FREE(executor->orders);
	g_ptr_array_free(executor->results, TRUE);
	g_ptr_array_free(executor->schedulers, TRUE);
	return 0;
}

static uint64_t get_lease_us(const gn_jobs_settings_t *jobs)
{
	unsigned lease_ms = jobs->lease_ms;

	if (lease_ms + WORKER_LEASE_MARGIN_MS > jobs->lease_max_ms)
		lease_ms = jobs->lease_max_ms - WORKER_LEASE_MARGIN_MS;
	return (uint64_t)lease_ms * GN_US_PER_MS;
}

static gn_code_t executor_start(gn_runtime_t *runtime, void **state,
				gn_error_t *error)
{
	executor_t *executor = talloc_zero(NULL, executor_t);

	if (!executor)
		return gn_error_set(error, GN_ERR_MEMORY, "start", NULL,
				    "executor");
	*state = executor;
	executor->runtime = runtime;
	executor->adapter = runtime->adapter;
	gn_clock_init_wall(&executor->wall);
	executor->old_links = talloc_new(executor);
	executor->waiting_list.executor = executor;
	executor->prompt_list.executor = executor;
	executor->grant.lease_us = get_lease_us(&runtime->settings->jobs);
	executor->grant.start_max_age_ms = gn_evacuation_start_max_age_ms(
		runtime->settings->jobs.evacuate_ms, GN_GRANT_START_MAX_AGE_MS);
	executor->orders = gn_orders_create(
		executor, &runtime->clock, &executor->grant,
		(uint64_t)runtime->settings->jobs.late_call_ms * GN_US_PER_MS,
		&executor_orders_ops, executor);
	executor->results =
		g_ptr_array_new_with_free_func(executor_result_free);
	executor->order_time = gn_histogram_create(executor, runtime->counters,
						   "executor.order_time");
	executor->starts_evacuated =
		gn_counters_get(runtime->counters, "executor.starts_evacuated");
	executor->starts_unanswered = gn_counters_get(
		runtime->counters, "executor.starts_unanswered");
	executor->refused_rows =
		gn_counters_get(runtime->counters, "executor.rows_refused");
	executor->refused_heartbeats = gn_counters_get(
		runtime->counters, "executor.heartbeats_refused");
	executor->answers_of_other_lives = gn_counters_get(
		runtime->counters, "executor.answers_of_other_lives");
	executor->refused_entries =
		gn_counters_get(runtime->counters, "executor.entries_refused");
	executor->schedulers = g_ptr_array_new_with_free_func(g_free);
	talloc_set_destructor(executor, executor_destructor);
	if (!executor->orders || !executor->order_time ||
	    !executor->starts_evacuated || !executor->starts_unanswered ||
	    !executor->refused_rows || !executor->refused_heartbeats ||
	    !executor->answers_of_other_lives || !executor->refused_entries)
		return gn_error_set(error, GN_ERR_MEMORY, "start", NULL,
				    "counters");
	if (start_store(executor, error) || start_client(executor, error) ||
	    start_server(executor, error) ||
	    gn_metrics_start(executor, runtime, error))
		return error->code;
	return GN_OK;
}

/* ======   Time   ====== */

static void executor_tick(void *state)
{
	executor_t *executor = state;

	executor_announce_tick(executor);
	executor_worker_tick(executor);
	gn_orders_tick(executor->orders);
	executor_leader_tick(executor);
	executor_leave_tick(executor);
}

static unsigned executor_next_tick_ms(const void *state)
{
	(void)state;
	return TICK_MS;
}

static void executor_stop(void *state)
{
	(void)state;
}

/*
 * Runs continue under their lease until the executor is started again, so only
 * the orders in progress delay the stop. The executor of a worker that left may
 * not be started again, and without it the next leader would have to wait until
 * the worker's lease is over.
 */
static bool executor_is_stopped(const void *state)
{
	const executor_t *executor = state;
	uint64_t since_us = executor_now_us(executor) -
			    executor->runtime->stop_requested_us;

	if (executor->worker_left && !executor->leave_stored)
		return false;
	return !gn_orders_count(executor->orders) ||
	       since_us >= STOP_ORDERS_MAX_US;
}

const gn_role_ops_t gn_executor_role = {
	.name = "executor",
	.next_tick_ms = executor_next_tick_ms,
	.start = executor_start,
	.tick = executor_tick,
	.stop = executor_stop,
	.is_stopped = executor_is_stopped,
};
