/**
 * @file run_model_reports.c
 * @brief Reports of the executors and orders to them, with glue that follows
 *        lib/executor/leader.c.
 */
#include "support/run_model_internal.h"

#include <string.h>

/* The same values as in lib/executor/leader.c. */
#define REPORT_INTERVAL_US (300 * RM_MS)
#define RESULT_DELAY_US (5 * RM_MS)
#define LEADER_TIMEOUT_US (900 * RM_MS)
#define LOOKUP_INTERVAL_US (400 * RM_MS)

/* ======   Orders of the leader   ====== */

/* Returns the time when a report was sent; 0 if too old or never sent. */
static uint64_t get_sent_us(const rm_executor_t *executor, uint64_t sequence)
{
	if (!sequence || sequence > executor->sequence ||
	    executor->sequence - sequence >= RM_REPORT_HISTORY)
		return 0;
	return executor->sent_us[sequence % RM_REPORT_HISTORY];
}

/* Connects to the leader that the store names. */
static void look_up_leader(rm_executor_t *executor)
{
	run_model_t *model = executor->model;
	uint64_t now_us = rm_now_us(model);

	if (now_us < executor->lookup_us)
		return;
	executor->lookup_us = now_us + LOOKUP_INTERVAL_US;
	if (model->leader && model->leader->epoch != executor->target)
		rm_link_connect(executor, model->leader->epoch);
}

static uint64_t get_basis_us(const rm_executor_t *executor,
			     const Gn__WorkerOrders *message)
{
	if (executor->model->options.bug == RUN_MODEL_BUG_FRESH_BASIS)
		return rm_now_us(executor->model);
	return get_sent_us(executor, message->basis)
		       ? executor->basis_us[message->basis % RM_REPORT_HISTORY]
		       : 0;
}

static void record_answer(rm_executor_t *executor,
			  const Gn__WorkerOrders *message)
{
	uint64_t sent_us = get_sent_us(executor, message->sequence);

	if (sent_us &&
	    executor->has_fresh_list[message->sequence % RM_REPORT_HISTORY])
		gn_grant_record_answer(&executor->grant, sent_us);
	if (!gn_life_matches((gn_life_t){ message->life, message->born_ms },
			     (gn_life_t){ executor->life, executor->born_ms }))
		return;
	if (message->ends_stored > executor->ends_stored) {
		executor->ends_stored = message->ends_stored;
		executor->list_due_us = 0;
	}
	executor->leave_stored |= message->leave_stored;
}

void rm_executor_on_orders(rm_executor_t *executor,
			   const Gn__WorkerOrders *message)
{
	/* Ignores a leader that has been superseded. */
	if (message->epoch < executor->epoch)
		return;
	executor->answered_us = rm_now_us(executor->model);
	executor->epoch = message->epoch;
	if (message->unsure)
		look_up_leader(executor);
	record_answer(executor, message);
	gn_orders_set_evacuated(executor->orders, message->evacuated);
	for (size_t i = 0; i < message->n_orders; i++)
		gn_orders_handle(executor->orders, message->orders[i],
				 get_basis_us(executor, message));
	rm_executor_tick_list(executor);
}

/* ======   Reports   ====== */

static uint32_t get_list_age_ms(const rm_executor_t *executor)
{
	uint64_t age_ms = (rm_now_us(executor->model) -
			   executor->grant.clock_received_us) /
			  RM_MS;

	if (!executor->grant.clock_ms || age_ms > UINT32_MAX)
		return UINT32_MAX;
	return (uint32_t)age_ms;
}

static bool is_last_list_due(const rm_executor_t *executor)
{
	return (executor->worker_ended || executor->gone.gone) &&
	       rm_executor_has_unstored_ends(executor);
}

static void describe_worker(rm_executor_t *executor, Gn__WorkerReport *report)
{
	report->life = executor->life;
	if (executor->model->options.bug != RUN_MODEL_BUG_LIFE_BY_ID)
		report->born_ms = executor->born_ms;
	report->service = (char *)"s";
	report->cpu_milli = executor->cpu_milli;
	report->memory_mb = 64000;
	report->list_age_ms = get_list_age_ms(executor);
	report->draining = executor->worker_left;
	report->left = executor->worker_ended;
	report->fenced = executor->fenced;
	report->crashed = executor->gone.gone && !executor->worker_left;
	report->listed =
		executor->list_unreported || is_last_list_due(executor);
	report->ends = executor->listed.ends;
	report->n_ends = executor->listed.end_count;
	report->whole = !executor->listed.ends_cut;
	report->tracks_starts = true;
	report->list_token = executor->list_token;
	report->life_age_ms =
		gn_life_age_get_ms(&executor->life_age, executor->epoch,
				   rm_now_us(executor->model));
	if (!report->listed)
		return;
	for (size_t i = 0; i < executor->listed.end_count; i++)
		executor->listed.ends[i]->settled = gn_orders_is_settled(
			executor->orders, executor->listed.ends[i]->task,
			executor->listed.ends[i]->attempt);
	for (size_t i = 0; i < executor->listed.run_count; i++)
		executor->listed.runs[i]->settled = gn_orders_is_settled(
			executor->orders, executor->listed.runs[i]->task,
			executor->listed.runs[i]->attempt);
	report->runs = executor->listed.runs;
	report->n_runs = executor->listed.run_count;
}

void rm_executor_report(rm_executor_t *executor)
{
	Gn__WorkerReport report = GN__WORKER_REPORT__INIT;
	TALLOC_CTX *scratch = talloc_new(executor->ctx);
	bool is_sent;
	char host[8];
	char data_centre[8];

	executor->report_due = false;
	executor->reported_us = rm_now_us(executor->model);
	if (!executor->connection) {
		talloc_free(scratch);
		return;
	}
	g_snprintf(host, sizeof(host), "h%u", executor->at);
	g_snprintf(data_centre, sizeof(data_centre), "d%u", executor->at);
	report.host = host;
	report.data_centre = data_centre;
	report.sequence = ++executor->sequence;
	if (executor->worker_known)
		describe_worker(executor, &report);
	if (executor->worker_known)
		gn_orders_describe_starts(executor->orders, scratch, &report);
	report.results = (Gn__OrderResult **)executor->results->pdata;
	report.n_results = executor->results->len;
	executor->sent_us[report.sequence % RM_REPORT_HISTORY] =
		executor->reported_us;
	executor->basis_us[report.sequence % RM_REPORT_HISTORY] =
		gn_grant_get_basis_us(executor->reported_us,
				      executor->described_us);
	executor->has_fresh_list[report.sequence % RM_REPORT_HISTORY] =
		executor->worker_known &&
		report.list_age_ms <= GN_GRANT_CLOCK_MAX_AGE_MS;
	is_sent = rm_link_send_report(executor, &report);
	talloc_free(scratch);
	if (!is_sent)
		return;
	g_ptr_array_set_size(executor->results, 0);
	executor->list_unreported = false;
}

/* The next scheduler in turn may be any, or one that doesn't lead. */
static void find_leader(rm_executor_t *executor)
{
	run_model_t *model = executor->model;
	const rm_leader_t *other =
		&model->leaders[g_rand_int_range(model->rand, 0, RM_LEADERS)];

	if (model->leader && rm_draw(model, 0.6))
		rm_link_connect(executor, model->leader->epoch);
	else
		rm_link_connect(executor, other->epoch);
}

void rm_executor_tick_leader(rm_executor_t *executor)
{
	uint64_t now_us = rm_now_us(executor->model);
	uint64_t since_us;

	if (!executor->connection ||
	    now_us - executor->answered_us > LEADER_TIMEOUT_US)
		find_leader(executor);
	since_us = now_us - executor->reported_us;
	if ((executor->report_due && since_us >= RESULT_DELAY_US) ||
	    since_us >= REPORT_INTERVAL_US)
		rm_executor_report(executor);
}
