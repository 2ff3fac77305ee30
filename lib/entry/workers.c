/**
 * @file workers.c
 * @brief The workers as the entry sees them: sessions, beats, silence.
 */
#include <string.h>

#include "common/log.h"
#include "entry/entry_internal.h"

static void free_worker(gpointer worker)
{
	talloc_free(worker);
}

gn_code_t entry_workers_open(entry_t *entry)
{
	entry->workers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       free_worker);
	return entry->workers ? GN_OK : GN_ERR_MEMORY;
}

bool entry_worker_is_usable(const entry_worker_t *worker)
{
	return !worker->silent && !worker->draining && worker->backend_up &&
	       worker->in_flight < worker->max_connections;
}

void entry_worker_take_load(entry_worker_t *worker, const Gn__Load *load)
{
	worker->draining = load->draining;
	worker->backend_up = load->backend_up;
	worker->reported_running = load->running_requests;
	worker->service_time_us = load->service_time_us;
}

static void send_to(entry_t *entry, const entry_worker_t *worker,
		    Gn__Envelope *envelope)
{
	envelope->incarnation = entry->runtime->incarnation;
	envelope->session = worker->session;
	gn_link_send(entry->link, &worker->peer, envelope);
}

static void send_welcome(entry_t *entry, const entry_worker_t *worker)
{
	Gn__Envelope envelope = GN__ENVELOPE__INIT;
	Gn__Welcome welcome = GN__WELCOME__INIT;

	welcome.entry = (char *)entry->runtime->settings->name;
	envelope.body_case = GN__ENVELOPE__BODY_WELCOME;
	envelope.welcome = &welcome;
	send_to(entry, worker, &envelope);
}

static void send_beat_ack(entry_t *entry, const entry_worker_t *worker,
			  uint64_t sequence)
{
	Gn__Envelope envelope = GN__ENVELOPE__INIT;
	Gn__BeatAck ack = GN__BEAT_ACK__INIT;

	ack.sequence = sequence;
	envelope.body_case = GN__ENVELOPE__BODY_BEAT_ACK;
	envelope.beat_ack = &ack;
	send_to(entry, worker, &envelope);
}

static entry_worker_t *create_worker(entry_t *entry, const char *name)
{
	entry_worker_t *worker = talloc_zero(NULL, entry_worker_t);

	if (!worker)
		return NULL;
	gn_str_copy(worker->name, sizeof(worker->name), gn_str_from(name));
	g_hash_table_insert(entry->workers, worker->name, worker);
	return worker;
}

static bool is_name(const char *name)
{
	size_t len = strlen(name);

	return len > 0 && len <= GN_NAME_MAX;
}

/* What was known of the worker's earlier session holds no longer. */
static void begin_session(entry_t *entry, entry_worker_t *worker,
			  uint64_t session)
{
	gn_log(LOG_INFO, "hello", worker->name, "new session");
	if (worker->session)
		entry_requests_lost(entry, worker);
	worker->session = session;
	worker->in_flight = 0;
	worker->backend_up = false;
}

static void on_hello(entry_t *entry, const gn_link_peer_t *peer,
		     const Gn__Envelope *envelope)
{
	const Gn__Hello *hello = envelope->hello;
	entry_worker_t *worker;

	if (!is_name(hello->worker) || !is_name(hello->data_centre) ||
	    !is_name(hello->rack) || !is_name(hello->service) ||
	    !hello->max_connections)
		return;
	worker = g_hash_table_lookup(entry->workers, hello->worker);
	if (!worker)
		worker = create_worker(entry, hello->worker);
	if (!worker)
		return;
	if (worker->session != envelope->session)
		begin_session(entry, worker, envelope->session);
	gn_str_copy(worker->data_centre, sizeof(worker->data_centre),
		    gn_str_from(hello->data_centre));
	gn_str_copy(worker->rack, sizeof(worker->rack),
		    gn_str_from(hello->rack));
	gn_str_copy(worker->service, sizeof(worker->service),
		    gn_str_from(hello->service));
	worker->max_tasks = hello->max_tasks;
	worker->max_connections = hello->max_connections;
	worker->agent_incarnation = envelope->incarnation;
	worker->peer = *peer;
	worker->heard_us = gn_runtime_now_us(entry->runtime);
	worker->silent = false;
	send_welcome(entry, worker);
}

static entry_worker_t *find_by_session(entry_t *entry, uint64_t session)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry_worker_t *worker = value;

		if (worker->session == session)
			return worker;
	}
	return NULL;
}

static void on_beat(entry_t *entry, entry_worker_t *worker,
		    const Gn__Beat *beat)
{
	if (beat->load)
		entry_worker_take_load(worker, beat->load);
	send_beat_ack(entry, worker, beat->sequence);
}

void entry_on_envelope(void *arg, const gn_link_peer_t *peer,
		       const Gn__Envelope *envelope)
{
	entry_t *entry = arg;
	entry_worker_t *worker;

	if (envelope->body_case == GN__ENVELOPE__BODY_HELLO) {
		on_hello(entry, peer, envelope);
		return;
	}
	worker = find_by_session(entry, envelope->session);
	if (!worker) {
		gn_counter_inc(entry->counters.stale_sessions);
		return;
	}
	/* ZeroMQ may have reconnected below the session. */
	worker->peer = *peer;
	worker->heard_us = gn_runtime_now_us(entry->runtime);
	worker->silent = false;
	if (envelope->body_case == GN__ENVELOPE__BODY_BEAT)
		on_beat(entry, worker, envelope->beat);
	else if (envelope->body_case == GN__ENVELOPE__BODY_ANSWER)
		entry_on_answer(entry, worker, envelope->answer);
}

void entry_workers_tick(entry_t *entry)
{
	uint64_t now_us = gn_runtime_now_us(entry->runtime);
	uint64_t timeout_us =
		(uint64_t)entry->runtime->settings->beat_timeout_ms *
		GN_US_PER_MS;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry_worker_t *worker = value;

		if (worker->silent || now_us - worker->heard_us <= timeout_us)
			continue;
		worker->silent = true;
		gn_counter_inc(entry->counters.workers_silent);
		gn_log(LOG_WARNING, "beat", worker->name, "silent");
		entry_requests_lost(entry, worker);
	}
}
