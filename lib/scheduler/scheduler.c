#include "scheduler/scheduler.h"

#include <curl/curl.h>

#include "common/event.h"
#include "daemon/metrics.h"
#include "scheduler/scheduler_internal.h"
#include "scheduler/stop.h"

/** Tick interval, the resolution of deadlines and watches, milliseconds. */
#define TICK_MS 10
/** Timeout of a call to the store, milliseconds. */
#define STORE_TIMEOUT_MS 1000
/** Maximum number of open connections to the status server. */
#define STATUS_CONNECTIONS 64
/** Concurrent calls to the adviser, which serves them sequentially. */
#define ADVICE_CONNECTIONS 2
/** Maximum size of a response of the adviser, bytes. */
#define ADVICE_ANSWER_MAX (1024 * 1024)
/**
 * Cores and link bandwidth below which a host delays its candidacy, so that
 * it leads only if no better host does.
 */
#define LEADER_CORES_MIN 0.2
#define LEADER_LINK_MBPS_MIN 50
/**
 * Delay for each of the two that is too small, milliseconds; longer than an
 * election, which takes about 50 ms.
 */
#define CANDIDACY_DELAY_MS 150
/** Time after which a stopping leader resigns even if a write batch is
 * unstored. */
#define RESIGN_TIMEOUT_US (400 * GN_US_PER_MS)

/* ======   Start   ====== */

static bool open_counters(scheduler_t *scheduler)
{
	static const char *const call_names[GN_CALL_KIND_COUNT] = {
		"scheduler.calls.submit", "scheduler.calls.state",
		"scheduler.calls.cancel", "scheduler.calls.count"
	};
	static const char *const result_names[GN_RESULT_COUNT] = {
		"scheduler.results.ok",	      "scheduler.results.not_found",
		"scheduler.results.refused",  "scheduler.results.not_leader",
		"scheduler.results.unknown",  "scheduler.results.invalid",
		"scheduler.results.no_queue",
	};
	static const char *const forecast_names[GN_FORECAST_REASON_COUNT] = {
		"scheduler.forecast.not_asked",
		"scheduler.forecast.useful",
		"scheduler.forecast.no_rate",
		"scheduler.forecast.free_capacity",
		"scheduler.forecast.queue_share",
		"scheduler.forecast.refused",
	};
	gn_counters_t *all = scheduler->runtime->counters;
	scheduler_counters_t *counters = &scheduler->counters;
	bool complete = true;

	for (int i = 0; i < GN_CALL_KIND_COUNT; i++) {
		counters->calls[i] = gn_counters_get(all, call_names[i]);
		complete &= counters->calls[i] != NULL;
	}
	for (int i = 0; i < GN_RESULT_COUNT; i++) {
		counters->results[i] = gn_counters_get(all, result_names[i]);
		complete &= counters->results[i] != NULL;
	}
	for (int i = 0; i < GN_FORECAST_REASON_COUNT; i++) {
		counters->forecasts[i] =
			gn_counters_get(all, forecast_names[i]);
		complete &= counters->forecasts[i] != NULL;
	}
	counters->forwarded = gn_counters_get(all, "scheduler.handed_on");
	counters->batches = gn_counters_get(all, "scheduler.batches");
	counters->writes = gn_counters_get(all, "scheduler.writes");
	counters->orders = gn_counters_get(all, "scheduler.orders");
	counters->elections = gn_counters_get(all, "scheduler.elections");
	counters->near_waits = gn_counters_get(all, "scheduler.near.waits");
	counters->near_starts = gn_counters_get(all, "scheduler.near.starts");
	counters->far_starts =
		gn_counters_get(all, "scheduler.near.far_starts");
	counters->near_won_ms = gn_counters_get(all, "scheduler.near.won_ms");
	counters->near_lost_ms = gn_counters_get(all, "scheduler.near.lost_ms");
	complete &= counters->near_waits && counters->near_starts &&
		    counters->far_starts && counters->near_won_ms &&
		    counters->near_lost_ms;
	counters->outages = gn_counters_get(all, "scheduler.outages");
	counters->held = gn_counters_get(all, "scheduler.held");
	counters->held_refused = gn_counters_get(all, "scheduler.held_refused");
	counters->holding = gn_counters_get(all, "scheduler.holding");
	counters->outage_ms = gn_counters_get(all, "scheduler.outage_ms");
	counters->headroom_pct = gn_counters_get(all, "scheduler.headroom_pct");
	counters->config_age_ms =
		gn_counters_get(all, "scheduler.configuration_age_ms");
	counters->config_waits =
		gn_counters_get(all, "scheduler.configuration_waits");
	counters->config_refused =
		gn_counters_get(all, "scheduler.configuration_refused");
	counters->refused_entries =
		gn_counters_get(all, "scheduler.entries_refused");
	counters->refused_reports =
		gn_counters_get(all, "scheduler.reports_refused");
	counters->evacuations = gn_counters_get(all, "scheduler.evacuations");
	counters->evacuation_claims =
		gn_counters_get(all, "scheduler.evacuation_claims");
	counters->held_back_starts =
		gn_counters_get(all, "scheduler.held_back_starts");
	counters->held_back_passes =
		gn_counters_get(all, "scheduler.held_back_passes");
	counters->call_time =
		gn_histogram_create(scheduler, all, "scheduler.call_time");
	counters->store_time =
		gn_histogram_create(scheduler, all, "scheduler.store_time");
	return complete && counters->call_time && counters->store_time &&
	       counters->forwarded && counters->batches && counters->writes &&
	       counters->orders && counters->elections && counters->outages &&
	       counters->held && counters->held_refused && counters->holding &&
	       counters->outage_ms && counters->headroom_pct &&
	       counters->config_age_ms && counters->config_waits &&
	       counters->config_refused && counters->refused_entries &&
	       counters->refused_reports && counters->evacuations &&
	       counters->evacuation_claims && counters->held_back_starts &&
	       counters->held_back_passes;
}

static gn_code_t start_server(scheduler_t *scheduler, const char *address,
			      unsigned connections, gn_http_handler_t handler,
			      gn_http_server_t **server, gn_error_t *error)
{
	const gn_settings_t *settings = scheduler->runtime->settings;
	const gn_http_server_config_t config = {
		.events = scheduler->runtime->events,
		.zmq = scheduler->runtime->zmq,
		.address = address,
		.connections = connections,
		.timeout_ms = settings->http_timeout_ms,
		.threads = settings->http_threads,
		.body_max = GN_BODY_MAX,
		.deadline_header = scheduler->adapter->deadline_header,
		.counters = scheduler->runtime->counters,
		.handler = handler,
		.arg = scheduler,
	};

	return gn_http_server_start(scheduler, &config, server, error);
}

static void on_envelope(void *arg, const gn_link_peer_t *peer,
			const Gn__Envelope *envelope)
{
	if (envelope->body_case == GN__ENVELOPE__BODY_WORKER_REPORT)
		scheduler_on_report(arg, peer, envelope->incarnation,
				    envelope->worker_report);
	else if (envelope->body_case == GN__ENVELOPE__BODY_JOB_CALL)
		scheduler_on_job_call(arg, peer, envelope->job_call);
}

static gn_code_t start_link(scheduler_t *scheduler, gn_error_t *error)
{
	const gn_link_config_t config = {
		.events = scheduler->runtime->events,
		.zmq = scheduler->runtime->zmq,
		.address = scheduler->runtime->settings->link_listen,
		.counters = scheduler->runtime->counters,
		.handler = on_envelope,
		.arg = scheduler,
	};

	return gn_link_listen(scheduler, &config, &scheduler->link, error);
}

static gn_code_t start_client(scheduler_t *scheduler, gn_error_t *error)
{
	const gn_http_client_config_t config = {
		.events = scheduler->runtime->events,
		.zmq = scheduler->runtime->zmq,
		.host_connections = ADVICE_CONNECTIONS,
		.answer_max = ADVICE_ANSWER_MAX,
		.counters = scheduler->runtime->counters,
	};

	if (!scheduler->runtime->settings->jobs.advice_address)
		return GN_OK;
	return gn_http_client_start(scheduler, &config, &scheduler->client,
				    error);
}

static gn_code_t start_store(scheduler_t *scheduler, gn_error_t *error)
{
	gn_runtime_t *runtime = scheduler->runtime;
	const gn_kv_http_options_t options = {
		.address = runtime->settings->platform_address,
		.timeout_ms = STORE_TIMEOUT_MS,
		.calls_per_s = runtime->settings->platform_calls_per_s,
		.codec = scheduler->adapter->store,
		.clock = &runtime->clock,
		.counters = runtime->counters,
		.loop = runtime->events,
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	scheduler->kv_http = gn_kv_http_create(scheduler, &options);
	if (!scheduler->kv_http)
		return gn_error_set(error, GN_ERR_MEMORY, "start",
				    options.address, "store client");
	scheduler->kv = gn_kv_http_client(scheduler->kv_http);
	return GN_OK;
}

/* A leader needs a fifth of a core and some megabits per second. */
static unsigned get_candidacy_delay_ms(const gn_jobs_settings_t *jobs)
{
	unsigned delay_ms = 0;

	if (jobs->cores < LEADER_CORES_MIN)
		delay_ms += CANDIDACY_DELAY_MS;
	if (jobs->link_mbps < LEADER_LINK_MBPS_MIN)
		delay_ms += CANDIDACY_DELAY_MS;
	return delay_ms;
}

static gn_code_t start_lead(scheduler_t *scheduler, gn_error_t *error)
{
	gn_runtime_t *runtime = scheduler->runtime;
	const gn_lead_options_t options = {
		.kv = scheduler->kv,
		.clock = &runtime->clock,
		.rand = runtime->rand,
		.incarnation = runtime->incarnation,
		.address = runtime->settings->link_listen,
		.ttl_ms = runtime->settings->lease_ttl_ms,
		.candidacy_delay_ms =
			get_candidacy_delay_ms(&runtime->settings->jobs),
		.ops = &scheduler_lead_ops,
		.arg = scheduler,
	};

	scheduler->lead = gn_lead_create(scheduler, &options);
	if (!scheduler->lead)
		return gn_error_set(error, GN_ERR_MEMORY, "start", NULL,
				    "leadership");
	return GN_OK;
}

static int free_scheduler(scheduler_t *scheduler)
{
	if (scheduler->sched || scheduler->awaiting_store)
		scheduler_end_leadership(scheduler);
	TALLOC_FREE(scheduler->client);
	TALLOC_FREE(scheduler->leader_link);
	TALLOC_FREE(scheduler->lead);
	gn_kv_watch_free(scheduler->config_watch);
	scheduler->config_watch = NULL;
	TALLOC_FREE(scheduler->kv_http);
	g_hash_table_destroy(scheduler->forwarded);
	g_array_free(scheduler->unconfirmed, TRUE);
	g_hash_table_destroy(scheduler->executors);
	g_ptr_array_free(scheduler->awaiting_store, TRUE);
	return 0;
}

static void open_wall_clock(scheduler_t *scheduler)
{
	const gn_clock_t *boot = &scheduler->runtime->clock;

	gn_clock_init_wall(&scheduler->host_wall);
	gn_day_clock_init(&scheduler->day, gn_clock_now_us(boot),
			  gn_clock_now_us(&scheduler->host_wall));
	gn_clock_init_offset(&scheduler->wall, boot, &scheduler->day.offset_us);
}

static gn_code_t scheduler_start(gn_runtime_t *runtime, void **state,
				 gn_error_t *error)
{
	const gn_settings_t *settings = runtime->settings;
	scheduler_t *scheduler = talloc_zero(NULL, scheduler_t);

	if (!scheduler)
		return gn_error_set(error, GN_ERR_MEMORY, "start", NULL,
				    "scheduler");
	*state = scheduler;
	scheduler->runtime = runtime;
	scheduler->adapter = runtime->adapter;
	open_wall_clock(scheduler);
	scheduler->started_us = gn_runtime_now_us(runtime);
	scheduler->awaiting_store = g_ptr_array_new();
	scheduler->unconfirmed = scheduler_create_unconfirmed();
	scheduler->forwarded = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, NULL, scheduler_call_free);
	scheduler->executors = g_hash_table_new_full(
		g_str_hash, g_str_equal, NULL, scheduler_executor_free);
	talloc_set_destructor(scheduler, free_scheduler);
	if (!open_counters(scheduler))
		return gn_error_set(error, GN_ERR_MEMORY, "start", NULL,
				    "counters");
	if (start_store(scheduler, error) || start_client(scheduler, error) ||
	    scheduler_watch_config(scheduler, error) ||
	    start_lead(scheduler, error) || start_link(scheduler, error) ||
	    start_server(scheduler, settings->http_listen,
			 settings->http_connections, scheduler_on_http,
			 &scheduler->server, error) ||
	    start_server(scheduler, settings->http_readiness,
			 STATUS_CONNECTIONS, scheduler_on_status,
			 &scheduler->status_server, error) ||
	    gn_metrics_start(scheduler, runtime, error))
		return error->code;
	return GN_OK;
}

/* ======   Timers and stop   ====== */

/* Both lines of a hand-over have these, so that its claims can be compared. */
static void log_hand_over(const scheduler_t *scheduler, const char *event)
{
	const gn_sched_t *sched = scheduler->sched;
	uint64_t since_us = gn_runtime_now_us(scheduler->runtime) -
			    scheduler->runtime->stop_requested_us;

	gn_event(event, "{s:I, s:I, s:I, s:I}", "epoch",
		 (json_int_t)scheduler->epoch, "since_us", (json_int_t)since_us,
		 "claims",
		 (json_int_t)(sched ? gn_sched_stats(sched).claims : 0),
		 "unsettled",
		 (json_int_t)(sched ? gn_sched_count_unsettled(sched) : 0));
}

/* Resigns leadership, then stops accepting connections. */
static void continue_stop(scheduler_t *scheduler)
{
	uint64_t since_us = gn_runtime_now_us(scheduler->runtime) -
			    scheduler->runtime->stop_requested_us;

	if (!scheduler->resigned &&
	    (!scheduler->ledger || gn_ledger_is_idle(scheduler->ledger) ||
	     since_us > RESIGN_TIMEOUT_US)) {
		log_hand_over(scheduler, "resign");
		scheduler->resigned = true;
		scheduler_end_leadership(scheduler);
		gn_lead_resign(scheduler->lead);
	}
	if (!scheduler->quiesced &&
	    scheduler_stop_refuses_connections(since_us)) {
		scheduler->quiesced = true;
		gn_http_server_quiesce(scheduler->server);
	}
}

static void scheduler_tick(void *state)
{
	scheduler_t *scheduler = state;

	gn_day_clock_update(&scheduler->day,
			    gn_runtime_now_us(scheduler->runtime),
			    gn_clock_now_us(&scheduler->host_wall));
	scheduler_record_tick(scheduler);
	scheduler_config_tick(scheduler);
	gn_lead_tick(scheduler->lead);
	scheduler_forward_tick(scheduler);
	scheduler_leading_tick(scheduler);
	scheduler_outage_tick(scheduler);
	scheduler_expire_calls(scheduler);
	scheduler_serve_unconfirmed(scheduler);
	if (scheduler->runtime->stopping)
		continue_stop(scheduler);
}

static unsigned scheduler_next_tick_ms(const void *state)
{
	(void)state;
	return TICK_MS;
}

static void scheduler_stop(void *state)
{
	const scheduler_t *scheduler = state;

	/* The load balancer learns of the stop from the readiness check; the
	 * rest happens in continue_stop(). */
	if (scheduler->epoch)
		log_hand_over(scheduler, "resigning");
}

static bool scheduler_is_stopped(const void *state)
{
	const scheduler_t *scheduler = state;
	uint64_t since_us = gn_runtime_now_us(scheduler->runtime) -
			    scheduler->runtime->stop_requested_us;

	return scheduler->quiesced &&
	       scheduler_stop_is_complete(
		       since_us, gn_http_server_pending(scheduler->server));
}

const gn_role_ops_t gn_scheduler_role = {
	.name = "scheduler",
	.next_tick_ms = scheduler_next_tick_ms,
	.start = scheduler_start,
	.tick = scheduler_tick,
	.stop = scheduler_stop,
	.is_stopped = scheduler_is_stopped,
};
