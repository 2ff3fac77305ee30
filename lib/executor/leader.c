/**
 * @file leader.c
 * @brief The link to the leading scheduler: sends reports, handles orders.
 */
#include <string.h>

#include "common/event.h"
#include "common/str.h"
#include "executor/executor_internal.h"
#include "lead/lead.h"

/** Interval of reports while nothing changes. */
#define REPORT_INTERVAL_US (300 * GN_US_PER_MS)
/** Results of orders wait this long for more, to share a report. */
#define RESULT_DELAY_US (5 * GN_US_PER_MS)
/** Without an answer as leader for this long, the next scheduler is tried. */
#define LEADER_TIMEOUT_US (900 * GN_US_PER_MS)
/** Interval of lookups of the schedulers in the store. */
#define LOOKUP_INTERVAL_US (400 * GN_US_PER_MS)
/** A returning scheduler is reconnected to within this, milliseconds. */
#define RECONNECT_MS 400

/* ======   Orders   ====== */

static void connect_to(executor_t *executor, const char *address,
		       const char *why);

static void refuse_entry(executor_t *executor, const gn_kv_entry_t *entry)
{
	gn_counter_inc(executor->refused_entries);
	gn_event("entry refused", "{s:s%, s:s}", "key", entry->key.data,
		 entry->key.len, "why", "its value names no scheduler");
}

static void add_scheduler(executor_t *executor, const gn_kv_entry_t *entry)
{
	bool leads = gn_str_equal(entry->key, GN_STR(GN_LEAD_KEY));
	char address[GN_ADDRESS_MAX + 1];

	if (!(leads ? gn_lead_read_value(entry->value, address)
		    : gn_lead_read_presence(entry->value, address))) {
		refuse_entry(executor, entry);
		return;
	}
	g_ptr_array_insert(executor->schedulers, leads ? 0 : -1,
			   g_strdup(address));
	if (leads && strcmp(address, executor->leader_address) != 0)
		connect_to(executor, address, "listed as leader in the store");
}

static void on_schedulers_listed(void *context, const gn_kv_result_t *result)
{
	executor_t *executor = context;

	executor->lookup = 0;
	if (result->code != GN_OK || !result->count)
		return;
	g_ptr_array_set_size(executor->schedulers, 0);
	for (size_t i = 0; i < result->count; i++)
		add_scheduler(executor, &result->entries[i]);
	executor->next_scheduler = 0;
}

static void request_schedulers(executor_t *executor)
{
	uint64_t now_us = executor_now_us(executor);

	if (executor->lookup || now_us < executor->lookup_due_us)
		return;
	executor->lookup_due_us = now_us + LOOKUP_INTERVAL_US;
	executor->lookup = gn_kv_list(executor->kv, GN_STR(GN_LEAD_LIVE_PREFIX),
				      on_schedulers_listed, executor);
}

/* Returns the report with this number; NULL if too old or never sent. */
static const executor_sent_report_t *find_report(const executor_t *executor,
						 uint64_t sequence)
{
	if (!sequence || sequence > executor->sequence ||
	    executor->sequence - sequence >= EXECUTOR_REPORT_HISTORY)
		return NULL;
	return &executor->sent[sequence % EXECUTOR_REPORT_HISTORY];
}

static uint64_t get_basis_us(const executor_t *executor, uint64_t sequence)
{
	const executor_sent_report_t *report = find_report(executor, sequence);

	return report ? report->basis_us : 0;
}

/*
 * Records an answer as a permission to extend the lease. The leader counts the
 * lease also from the worker's last list, so a report without a fresh list
 * permits nothing.
 */
static void record_answer(executor_t *executor, uint64_t sequence)
{
	const executor_sent_report_t *report = find_report(executor, sequence);

	if (report && report->has_fresh_list)
		gn_grant_record_answer(&executor->grant, report->sent_us);
}

/* Records what the leader has stored of the worker's present life. */
static void record_stored(executor_t *executor, const Gn__WorkerOrders *message)
{
	if (message->ends_stored > executor->ends_stored) {
		executor->ends_stored = message->ends_stored;
		executor->list_due_us = 0;
	}
	executor->leave_stored |= message->leave_stored;
}

static void record_evacuation(executor_t *executor,
			      const Gn__WorkerOrders *message)
{
	if (!!message->evacuated != executor->evacuated)
		gn_event("evacuation", "{s:s, s:s, s:I, s:I}", "data_centre",
			 executor->notice.data_centre, "why",
			 message->evacuated ? "begins" : "ends", "orders",
			 (json_int_t)gn_orders_count(executor->orders), "epoch",
			 (json_int_t)message->epoch);
	executor->evacuated = message->evacuated;
	gn_orders_set_evacuated(executor->orders, executor->evacuated);
}

static void on_orders(executor_t *executor, const Gn__WorkerOrders *message)
{
	if (!message->epoch) {
		if (*message->leader &&
		    strcmp(message->leader, executor->leader_address) != 0)
			connect_to(executor, message->leader, "redirected");
		return;
	}
	/* Ignores a leader that has been superseded. */
	if (message->epoch < executor->epoch)
		return;
	executor->leader_answered_us = executor_now_us(executor);
	if (message->epoch > executor->epoch) {
		gn_event("leader", "{s:s, s:I}", "leader",
			 executor->leader_address, "epoch",
			 (json_int_t)message->epoch);
		executor->epoch = message->epoch;
	}
	executor->leader_fences_lives = message->fences_lives;
	executor->leader_renews_tokens = message->renews_tokens;
	if (message->unsure)
		request_schedulers(executor);
	record_answer(executor, message->sequence);
	record_evacuation(executor, message);
	if (gn_life_matches((gn_life_t){ message->life, message->born_ms },
			    executor_get_life(executor)))
		record_stored(executor, message);
	for (size_t i = 0; i < message->n_orders; i++)
		gn_orders_handle(executor->orders, message->orders[i],
				 get_basis_us(executor, message->basis));
	executor_worker_tick(executor);
}

static void on_envelope(void *arg, const gn_link_peer_t *peer,
			const Gn__Envelope *envelope)
{
	(void)peer;
	if (envelope->body_case == GN__ENVELOPE__BODY_WORKER_ORDERS)
		on_orders(arg, envelope->worker_orders);
}

/* ======   Reports   ====== */

static uint32_t get_cold_left_ms(const executor_t *executor)
{
	uint64_t passed_ms =
		(executor_now_us(executor) - executor->described_us) /
		GN_US_PER_MS;

	return passed_ms < executor->notice.cold_left_ms
		       ? executor->notice.cold_left_ms - (uint32_t)passed_ms
		       : 0;
}

static void describe_worker(executor_t *executor, Gn__WorkerReport *report)
{
	gn_worker_notice_t *notice = &executor->notice;

	report->life = notice->life;
	report->born_ms = notice->life_started_ms;
	report->machine = notice->machine;
	report->service = notice->service;
	report->data_centre = notice->data_centre;
	report->rack = notice->rack;
	report->cpu_milli = notice->cpu_milli;
	report->memory_mb = notice->memory_mb;
	report->accelerators = notice->accelerators;
	report->labels = notice->labels;
	report->n_labels = g_strv_length(notice->labels);
	report->draining = notice->draining || executor->worker_left;
	report->remaining_ms = notice->remaining_ms;
	report->cold_left_ms = get_cold_left_ms(executor);
}

/* Returns UINT32_MAX if this process has no list of the worker's life. */
static uint32_t get_list_age_ms(const executor_t *executor)
{
	uint64_t age_ms = (executor_now_us(executor) -
			   executor->grant.clock_received_us) /
			  GN_US_PER_MS;

	if (!executor->grant.clock_ms || age_ms > UINT32_MAX)
		return UINT32_MAX;
	return (uint32_t)age_ms;
}

/*
 * Whether the last list of a process that is gone has to be repeated: the report
 * with it may have been lost, and no other list follows.
 */
static bool is_last_list_due(const executor_t *executor)
{
	return (executor->worker_ended || executor->gone.gone) &&
	       executor_has_unstored_ends(executor);
}

/* Returns UINT32_MAX if the worker may carry out start calls for former lives. */
static uint32_t get_life_age_ms(const executor_t *executor)
{
	/* Another leader gives the same token to a life under a known ID. */
	if (!executor->leader_fences_lives)
		return UINT32_MAX;
	return gn_life_age_get_ms(&executor->life_age, executor->epoch,
				  executor_now_us(executor));
}

static void add_list(executor_t *executor, Gn__WorkerReport *report)
{
	report->list_age_ms = get_list_age_ms(executor);
	report->left = executor->worker_ended;
	report->fenced = executor->fenced;
	report->crashed = executor->gone.gone && !executor->worker_left;
	report->first_life = executor->first_life;
	report->listed =
		executor->list_unreported || is_last_list_due(executor);
	report->ends = executor->ends;
	report->n_ends = executor->end_count;
	report->whole = !executor->ends_cut;
	report->tracks_starts = true;
	report->list_token = executor->list_token;
	report->life_age_ms = get_life_age_ms(executor);
	if (!report->listed)
		return;
	for (size_t i = 0; i < executor->end_count; i++)
		executor->ends[i]->settled = gn_orders_is_settled(
			executor->orders, executor->ends[i]->task,
			executor->ends[i]->attempt);
	for (size_t i = 0; i < executor->run_count; i++)
		executor->runs[i]->settled = gn_orders_is_settled(
			executor->orders, executor->runs[i]->task,
			executor->runs[i]->attempt);
	report->runs = executor->runs;
	report->n_runs = executor->run_count;
}

static gn_code_t send_report(executor_t *executor, Gn__WorkerReport *report)
{
	Gn__Envelope envelope = GN__ENVELOPE__INIT;

	envelope.incarnation = executor->runtime->incarnation;
	envelope.body_case = GN__ENVELOPE__BODY_WORKER_REPORT;
	envelope.worker_report = report;
	return gn_link_send(executor->link, NULL, &envelope);
}

static void record_report(executor_t *executor, const Gn__WorkerReport *report)
{
	executor_sent_report_t *sent =
		&executor->sent[report->sequence % EXECUTOR_REPORT_HISTORY];

	sent->sent_us = executor->reported_us;
	sent->basis_us = gn_grant_get_basis_us(executor->reported_us,
					       executor->described_us);
	sent->has_fresh_list = executor->worker_known &&
			       report->list_age_ms <= GN_GRANT_CLOCK_MAX_AGE_MS;
}

void executor_report(executor_t *executor)
{
	Gn__WorkerReport report = GN__WORKER_REPORT__INIT;
	TALLOC_CTX *scratch;
	gn_code_t code;

	executor->report_due = false;
	executor->reported_us = executor_now_us(executor);
	if (!executor->link)
		return;
	scratch = talloc_new(executor);
	report.host = (char *)executor->runtime->settings->name;
	report.sequence = ++executor->sequence;
	if (executor->worker_known) {
		describe_worker(executor, &report);
		add_list(executor, &report);
		gn_orders_describe_starts(executor->orders, scratch, &report);
	}
	report.results = (Gn__OrderResult **)executor->results->pdata;
	report.n_results = executor->results->len;
	record_report(executor, &report);
	code = send_report(executor, &report);
	talloc_free(scratch);
	if (code)
		return;
	/* The leader repeats an order whose result was lost with the report. */
	g_ptr_array_set_size(executor->results, 0);
	executor->list_unreported = false;
}

/* ======   Finding the leader   ====== */

static void connect_to(executor_t *executor, const char *address,
		       const char *why)
{
	const gn_link_config_t config = {
		.events = executor->runtime->events,
		.zmq = executor->runtime->zmq,
		.address = executor->leader_address,
		.timeout_ms = RECONNECT_MS,
		.counters = executor->runtime->counters,
		.handler = on_envelope,
		.arg = executor,
	};
	gn_error_t error = { 0 };

	/* A link's handler must not free the link. */
	if (executor->link)
		talloc_steal(executor->old_links, executor->link);
	executor->link = NULL;
	gn_str_copy(executor->leader_address, sizeof(executor->leader_address),
		    gn_str_from(address));
	executor->leader_answered_us = executor_now_us(executor);
	gn_event("connect", "{s:s, s:s}", "scheduler", address, "why", why);
	if (gn_link_connect(executor, &config, &executor->link, &error))
		gn_event("connect failed", "{s:s, s:s}", "scheduler", address,
			 "why", error.detail);
	executor->report_due = true;
	executor->reported_us = 0;
}

static void connect_to_next(executor_t *executor)
{
	GPtrArray *all = executor->schedulers;

	if (!all->len)
		return;
	connect_to(executor,
		   g_ptr_array_index(all, executor->next_scheduler % all->len),
		   "no answer from a leader");
	executor->next_scheduler++;
}

void executor_leader_tick(executor_t *executor)
{
	uint64_t now_us = executor_now_us(executor);
	uint64_t since_us = now_us - executor->reported_us;

	talloc_free_children(executor->old_links);
	if (!executor->link ||
	    now_us - executor->leader_answered_us > LEADER_TIMEOUT_US) {
		request_schedulers(executor);
		connect_to_next(executor);
	}
	if ((executor->report_due && since_us >= RESULT_DELAY_US) ||
	    since_us >= REPORT_INTERVAL_US)
		executor_report(executor);
}
