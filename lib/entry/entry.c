#include "entry/entry.h"

#include "entry/buckets.h"
#include "entry/config.h"
#include "entry/keys.h"
#include "entry/membership.h"
#include "entry/peer_beats.h"
#include "entry/peers.h"

/** Tick interval with requests in progress, in milliseconds; it bounds the
 * delay in enforcing their deadlines. */
#define BUSY_TICK_MS 5
/** Tick interval without requests, in milliseconds; sufficient for heartbeats,
 * commits and watches. */
#define IDLE_TICK_MS 25
/** How long a stopping entry still accepts new connections, in milliseconds;
 * by then the load balancer has noticed its status. */
#define QUIESCE_DELAY_MS 1000

static void open_counters(entry_t *entry)
{
	gn_counters_t *all = entry->runtime->counters;
	entry_counters_t *counters = &entry->counters;

	counters->done = gn_counters_get(all, "entry.done");
	counters->not_run = gn_counters_get(all, "entry.not_run");
	counters->unknown = gn_counters_get(all, "entry.unknown");
	counters->retries = gn_counters_get(all, "entry.retries");
	counters->late_answers = gn_counters_get(all, "entry.late_answers");
	counters->workers_silent = gn_counters_get(all, "entry.workers_silent");
	counters->workers_forgotten =
		gn_counters_get(all, "entry.workers_forgotten");
	counters->unsent = gn_counters_get(all, "entry.unsent");
	counters->stale_sessions = gn_counters_get(all, "entry.stale_sessions");
}

static gn_code_t start_server(entry_t *entry, gn_error_t *error)
{
	const gn_settings_t *settings = entry->runtime->settings;
	const gn_http_server_config_t config = {
		.events = entry->runtime->events,
		.zmq = entry->runtime->zmq,
		.address = settings->http_listen,
		.connections = settings->http_connections,
		.timeout_ms = settings->http_timeout_ms,
		.threads = settings->http_threads,
		.body_max = GN_BODY_MAX,
		.counters = entry->runtime->counters,
		.handler = entry_on_http,
		.arg = entry,
	};

	return gn_http_server_start(entry, &config, &entry->server, error);
}

static gn_code_t start_link(entry_t *entry, gn_error_t *error)
{
	const gn_link_config_t config = {
		.events = entry->runtime->events,
		.zmq = entry->runtime->zmq,
		.address = entry->runtime->settings->link_listen,
		.counters = entry->runtime->counters,
		.handler = entry_on_envelope,
		.arg = entry,
	};

	return gn_link_listen(entry, &config, &entry->link, error);
}

static int entry_destructor(entry_t *entry)
{
	/* Buckets and requests respond through the server, so it is freed
	 * last: by talloc, with the entry. */
	TALLOC_FREE(entry->buckets);
	TALLOC_FREE(entry->config);
	entry_requests_close(entry);
	TALLOC_FREE(entry->client);
	TALLOC_FREE(entry->membership);
	entry_workers_close(entry);
	return 0;
}

static gn_code_t entry_start(gn_runtime_t *runtime, void **state,
			     gn_error_t *error)
{
	entry_t *entry = talloc_zero(NULL, entry_t);

	if (!entry)
		return gn_error_set(error, GN_ERR_MEMORY, "start", NULL,
				    "entry");
	*state = entry;
	entry->runtime = runtime;
	talloc_set_destructor(entry, entry_destructor);
	open_counters(entry);
	if (entry_workers_open(entry) || entry_requests_open(entry) ||
	    entry_peer_beats_open(entry))
		return gn_error_set(error, GN_ERR_MEMORY, "start", NULL,
				    "tables");
	if (start_server(entry, error) || entry_peers_open(entry, error) ||
	    entry_membership_open(entry, error))
		return error->code;
	if (entry_config_open(entry) || entry_buckets_open(entry) ||
	    entry_keys_open(entry))
		return gn_error_set(error, GN_ERR_MEMORY, "start", NULL,
				    "configuration");
	return start_link(entry, error);
}

/*
 * Leaves the member record once all buckets are released. Stops accepting
 * connections after a fixed delay.
 */
static void advance_stop(entry_t *entry)
{
	const gn_runtime_t *runtime = entry->runtime;
	uint64_t since_us =
		gn_runtime_now_us(runtime) - runtime->stop_requested_us;

	if (entry_buckets_are_released(entry) && !entry->leave_started) {
		entry->leave_started = true;
		entry_membership_leave(entry);
	}
	if (!entry->quiesced && since_us >= QUIESCE_DELAY_MS * GN_US_PER_MS) {
		entry->quiesced = true;
		gn_http_server_quiesce(entry->server);
	}
}

static void entry_tick(void *state)
{
	entry_t *entry = state;

	entry_workers_tick(entry);
	entry_requests_tick(entry);
	entry_membership_tick(entry);
	entry_peer_beats_tick(entry);
	entry_config_tick(entry);
	entry_keys_tick(entry);
	entry_buckets_tick(entry);
	if (entry->runtime->stopping)
		advance_stop(entry);
}

static unsigned entry_next_tick_ms(const void *state)
{
	const entry_t *entry = state;

	return g_hash_table_size(entry->requests) ? BUSY_TICK_MS : IDLE_TICK_MS;
}

static void entry_stop(void *state)
{
	/* /v1/status reports it to the load balancer; advance_stop() does the
	 * rest. */
	(void)state;
}

static bool entry_is_stopped(const void *state)
{
	const entry_t *entry = state;

	return entry->quiesced && entry->leave_started &&
	       entry_membership_has_left(entry) &&
	       gn_http_server_is_idle(entry->server);
}

const gn_role_ops_t gn_entry_role = {
	.name = "entry",
	.next_tick_ms = entry_next_tick_ms,
	.start = entry_start,
	.tick = entry_tick,
	.stop = entry_stop,
	.is_stopped = entry_is_stopped,
};
