/**
 * @file workers.c
 * @brief The entry's view of the workers: sessions, heartbeats and liveness.
 */
#include <string.h>

#include "common/log.h"
#include "entry/buckets.h"
#include "entry/config.h"

/** How long a worker is silent before it is removed, in milliseconds; by then
 * it has been replaced. */
#define FORGET_AFTER_MS (10 * 60 * 1000)

static void free_worker(gpointer data)
{
	entry_worker_t *worker = data;

	if (worker->hello)
		gn__hello__free_unpacked(worker->hello, NULL);
	talloc_free(worker);
}

static void free_service(gpointer service)
{
	talloc_free(service);
}

gn_code_t entry_workers_open(entry_t *entry)
{
	const gn_runtime_t *runtime = entry->runtime;
	gn_str_t data_centre = gn_str_from(runtime->settings->data_centre);

	entry->workers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       free_worker);
	entry->sessions = g_hash_table_new(g_int64_hash, g_int64_equal);
	entry->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						free_service);
	entry->view = gn_route_view_create(entry, &runtime->clock, data_centre);
	if (!entry->view)
		return GN_ERR_MEMORY;
	entry->eject =
		gn_eject_create(entry, entry->view, &runtime->clock,
				runtime->rand, &runtime->settings->eject);
	return entry->eject ? GN_OK : GN_ERR_MEMORY;
}

void entry_workers_close(entry_t *entry)
{
	if (entry->sessions)
		g_hash_table_destroy(entry->sessions);
	if (entry->workers)
		g_hash_table_destroy(entry->workers);
	if (entry->services)
		g_hash_table_destroy(entry->services);
}

void entry_worker_update_load(entry_t *entry, entry_worker_t *worker,
			      const Gn__Load *load)
{
	const gn_route_report_t report = {
		.running_requests = load->running_requests,
		.service_time_us = load->service_time_us,
		.draining = load->draining,
		.backend_up = load->backend_up,
		.received_us = gn_runtime_now_us(entry->runtime),
	};

	worker->running_tasks = load->running_tasks;
	gn_route_view_report(entry->view, worker->route, &report);
}

gn_code_t entry_worker_send(entry_t *entry, const entry_worker_t *worker,
			    Gn__Envelope *envelope)
{
	envelope->incarnation = entry->runtime->incarnation;
	envelope->session = worker->session;
	return gn_link_send(entry->link, &worker->peer, envelope);
}

static void send_welcome(entry_t *entry, const entry_worker_t *worker)
{
	Gn__Envelope envelope = GN__ENVELOPE__INIT;
	Gn__Welcome welcome = GN__WELCOME__INIT;

	welcome.entry = (char *)entry->runtime->settings->name;
	envelope.body_case = GN__ENVELOPE__BODY_WELCOME;
	envelope.welcome = &welcome;
	entry_worker_send(entry, worker, &envelope);
}

static void send_beat_ack(entry_t *entry, const entry_worker_t *worker,
			  uint64_t sequence)
{
	Gn__Envelope envelope = GN__ENVELOPE__INIT;
	Gn__BeatAck ack = GN__BEAT_ACK__INIT;

	ack.sequence = sequence;
	ack.moves_held = entry_buckets_block_moves(entry);
	envelope.body_case = GN__ENVELOPE__BODY_BEAT_ACK;
	envelope.beat_ack = &ack;
	entry_worker_send(entry, worker, &envelope);
}

static entry_service_t *get_service(entry_t *entry, const char *name)
{
	const gn_retry_config_t *config = &entry->runtime->settings->retry;
	entry_service_t *service = g_hash_table_lookup(entry->services, name);

	if (service)
		return service;
	service = talloc_zero(NULL, entry_service_t);
	if (!service)
		return NULL;
	service->retry_budget = gn_retry_budget_create(service, config);
	if (!service->retry_budget) {
		talloc_free(service);
		return NULL;
	}
	gn_str_copy(service->name, sizeof(service->name), gn_str_from(name));
	g_hash_table_insert(entry->services, service->name, service);
	return service;
}

static entry_worker_t *get_worker(entry_t *entry, const char *name)
{
	entry_worker_t *worker = g_hash_table_lookup(entry->workers, name);

	if (worker)
		return worker;
	worker = talloc_zero(NULL, entry_worker_t);
	if (!worker)
		return NULL;
	gn_str_copy(worker->name, sizeof(worker->name), gn_str_from(name));
	g_hash_table_insert(entry->workers, worker->name, worker);
	return worker;
}

static bool is_valid_name(const char *name)
{
	size_t len = strlen(name);

	return len > 0 && len <= GN_NAME_MAX;
}

static bool is_valid_hello(const Gn__Hello *hello)
{
	return is_valid_name(hello->worker) &&
	       is_valid_name(hello->data_centre) &&
	       is_valid_name(hello->rack) && is_valid_name(hello->service);
}

/*
 * Returns the one-way network delay between this entry and a worker in
 * @p data_centre according to the inventory, in microseconds.
 */
static unsigned get_one_way_us(const entry_t *entry, const char *data_centre)
{
	const char *own = entry->runtime->settings->data_centre;
	const gn_inventory_t *inventory = entry->config->inventory;
	const gn_data_centre_t *here = NULL;
	const gn_data_centre_t *there = NULL;

	if (!strcmp(own, data_centre))
		return 0;
	if (inventory) {
		here = gn_inventory_find_data_centre(inventory, own);
		there = gn_inventory_find_data_centre(inventory, data_centre);
	}
	if (!here || !there)
		return GN_ONE_WAY_DEFAULT_US;
	return gn_inventory_one_way_us(
		inventory, (unsigned)(here - inventory->data_centres),
		(unsigned)(there - inventory->data_centres));
}

static gn_code_t update_view(entry_t *entry, entry_worker_t *worker,
			     const Gn__Envelope *envelope)
{
	const Gn__Hello *hello = envelope->hello;
	const gn_route_spec_t spec = {
		.name = gn_str_from(hello->worker),
		.service = gn_str_from(hello->service),
		.data_centre = gn_str_from(hello->data_centre),
		.max_connections = hello->max_connections,
		.cores = hello->cores,
		.one_way_us = get_one_way_us(entry, hello->data_centre),
		.handle = (uint64_t)(uintptr_t)worker,
		.incarnation = envelope->incarnation,
	};

	return gn_route_view_put(entry->view, &spec, &worker->route);
}

/* Updates whether tasks are spread over this worker as well. */
static void update_share(entry_t *entry, entry_worker_t *worker)
{
	bool open = !worker->silent && !entry_config_is_drained(entry, worker);

	gn_batch_share_set(&entry->share, &worker->share_member, open,
			   worker->share_member.placed);
}

/* Replaces the worker's earlier session, whose state is no longer valid. */
static void begin_session(entry_t *entry, entry_worker_t *worker,
			  uint64_t session)
{
	const Gn__Load no_load = GN__LOAD__INIT;

	gn_log(LOG_INFO, "hello", worker->name, "new session");
	if (worker->session) {
		entry_attempts_end_lost(worker);
		g_hash_table_remove(entry->sessions, &worker->session);
	}
	worker->session = session;
	g_hash_table_insert(entry->sessions, &worker->session, worker);
	/* An empty load reports the backend server as down, so no request is
	 * dispatched to the worker before its first heartbeat. */
	entry_worker_update_load(entry, worker, &no_load);
}

static Gn__Hello *copy_hello(const Gn__Hello *hello)
{
	size_t size = gn__hello__get_packed_size(hello);
	uint8_t *packed = g_malloc(size + 1);
	Gn__Hello *copy;

	gn__hello__pack(hello, packed);
	copy = gn__hello__unpack(NULL, size, packed);
	g_free(packed);
	return copy;
}

static void on_hello(entry_t *entry, const gn_link_peer_t *peer,
		     const Gn__Envelope *envelope)
{
	const Gn__Hello *hello = envelope->hello;
	entry_service_t *service;
	entry_worker_t *worker;

	if (!envelope->session || !is_valid_hello(hello))
		return;
	service = get_service(entry, hello->service);
	worker = get_worker(entry, hello->worker);
	if (!service || !worker || update_view(entry, worker, envelope))
		return;
	if (worker->session != envelope->session)
		begin_session(entry, worker, envelope->session);
	if (worker->hello)
		gn__hello__free_unpacked(worker->hello, NULL);
	worker->hello = copy_hello(hello);
	gn_str_copy(worker->rack, sizeof(worker->rack),
		    gn_str_from(hello->rack));
	worker->service = service;
	worker->agent_incarnation = envelope->incarnation;
	worker->peer = *peer;
	worker->last_message_us = gn_runtime_now_us(entry->runtime);
	worker->silent = false;
	worker->unreachable = false;
	update_share(entry, worker);
	send_welcome(entry, worker);
	entry_config_push(entry, worker);
}

static void on_beat(entry_t *entry, entry_worker_t *worker,
		    const Gn__Beat *beat)
{
	if (beat->load)
		entry_worker_update_load(entry, worker, beat->load);
	worker->config_revision = beat->config_revision;
	/* An earlier push may have been lost with its connection. */
	if (worker->config_revision < entry->config->revision)
		entry_config_push(entry, worker);
	send_beat_ack(entry, worker, beat->sequence);
}

static void record_contact(entry_t *entry, entry_worker_t *worker,
			   const gn_link_peer_t *peer)
{
	/* ZeroMQ may have reconnected within the session, which changes the
	 * peer. */
	worker->peer = *peer;
	worker->last_message_us = gn_runtime_now_us(entry->runtime);
	if (!worker->silent && !worker->unreachable)
		return;
	worker->silent = false;
	worker->unreachable = false;
	update_share(entry, worker);
	gn_route_view_set_link(entry->view, worker->route, true);
}

void entry_on_envelope(void *arg, const gn_link_peer_t *peer,
		       const Gn__Envelope *envelope)
{
	entry_t *entry = arg;
	uint64_t session = envelope->session;
	entry_worker_t *worker;

	if (envelope->body_case == GN__ENVELOPE__BODY_HELLO) {
		on_hello(entry, peer, envelope);
		return;
	}
	worker = g_hash_table_lookup(entry->sessions, &session);
	if (!worker || worker->agent_incarnation != envelope->incarnation) {
		gn_counter_inc(entry->counters.stale_sessions);
		return;
	}
	record_contact(entry, worker, peer);
	if (envelope->body_case == GN__ENVELOPE__BODY_BEAT)
		on_beat(entry, worker, envelope->beat);
	else if (envelope->body_case == GN__ENVELOPE__BODY_ANSWER)
		entry_on_answer(entry, worker, envelope->answer);
	else if (envelope->body_case == GN__ENVELOPE__BODY_TASK_POLL)
		entry_on_task_poll(entry, worker, envelope->task_poll);
}

void entry_worker_mark_unreachable(entry_t *entry, entry_worker_t *worker)
{
	/* Earlier dispatches stay pending: they may still be answered over a
	 * new connection. */
	worker->unreachable = true;
	gn_route_view_set_link(entry->view, worker->route, false);
}

static void mark_silent(entry_t *entry, entry_worker_t *worker)
{
	worker->silent = true;
	update_share(entry, worker);
	gn_counter_inc(entry->counters.workers_silent);
	gn_log(LOG_WARNING, "beat", worker->name, "silent");
	gn_route_view_set_link(entry->view, worker->route, false);
	entry_attempts_end_lost(worker);
}

static void forget_worker(entry_t *entry, entry_worker_t *worker)
{
	gn_counter_inc(entry->counters.workers_forgotten);
	gn_log(LOG_NOTICE, "beat", worker->name, "forgotten");
	gn_route_view_remove(entry->view, gn_str_from(worker->name));
	g_hash_table_remove(entry->sessions, &worker->session);
}

/* Applies the drains and network delays of a new configuration revision. */
static void apply_config(entry_t *entry)
{
	GHashTableIter iter;
	gpointer value;

	if (entry->workers_config_revision == entry->config->revision)
		return;
	entry->workers_config_revision = entry->config->revision;
	g_hash_table_iter_init(&iter, entry->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry_worker_t *worker = value;

		update_share(entry, worker);
		gn_route_view_set_one_way(
			worker->route,
			get_one_way_us(entry, worker->hello->data_centre));
	}
}

void entry_workers_tick(entry_t *entry)
{
	uint64_t now_us = gn_runtime_now_us(entry->runtime);
	uint64_t timeout_us =
		(uint64_t)entry->runtime->settings->beat_timeout_ms *
		GN_US_PER_MS;
	GHashTableIter iter;
	gpointer value;

	apply_config(entry);
	g_hash_table_iter_init(&iter, entry->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry_worker_t *worker = value;
		uint64_t silence_us = now_us - worker->last_message_us;

		if (!worker->silent && silence_us > timeout_us) {
			mark_silent(entry, worker);
		} else if (silence_us >
			   (uint64_t)FORGET_AFTER_MS * GN_US_PER_MS) {
			forget_worker(entry, worker);
			g_hash_table_iter_remove(&iter);
		}
	}
	gn_eject_tick(entry->eject);
}
