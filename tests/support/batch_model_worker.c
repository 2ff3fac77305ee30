/**
 * @file batch_model_worker.c
 * @brief The hosts of the model: an agent that runs the product's code and a
 * simulated backend server.
 */
#include <string.h>

#include "common/str.h"
#include "support/batch_model_internal.h"

#define LEASE_MARGIN_US (GN_US_PER_S / 4)

static int backend_node(const host_t *host)
{
	return host->agent_node - NODE_AGENT + NODE_BACKEND;
}

static uint64_t host_now(const host_t *host)
{
	return gn_clock_now_us(&host->clock);
}

bool model_run_executes(const host_t *host, const backend_run_t *run)
{
	return run->state == GN_RUN_RUNNING &&
	       host_now(host) < run->lease_until_us;
}

/* ======   The backend server   ====== */

static void send_event(gn_model_t *model, host_t *host,
		       const backend_run_t *run)
{
	message_t *event = model_create_message(
		model, MSG_EVENT, backend_node(host), host->agent_node);

	event->a = run->id;
	event->b = run->epoch;
	event->state = run->state;
	event->checkpoint = talloc_strdup(event, run->checkpoint);
	model_send(model, event);
}

static void end_run(gn_model_t *model, host_t *host, backend_run_t *run,
		    gn_run_state_t state)
{
	run->state = state;
	if (state == GN_RUN_RELEASED)
		g_snprintf(run->checkpoint, sizeof(run->checkpoint), "c%u",
			   gn_task_epoch_claim(run->epoch));
	send_event(model, host, run);
}

static void check_start(gn_model_t *model, const gn_action_t *action)
{
	task_oracle_t *oracle = model_find_oracle(model, action->id);
	uint32_t claim = gn_task_epoch_claim(action->epoch);

	if (oracle->is_reported_not_run)
		model_report_violation(model,
				       "a task told as not run has started");
	if (oracle->is_reported_done)
		model_report_violation(model,
				       "a task told as done has started again");
	if (claim <= oracle->started_claim)
		model_report_violation(model, "a claim has started twice");
	if (action->checkpoint[0])
		model->counts->resume++;
	oracle->is_started = true;
	oracle->started_claim = MAX(claim, oracle->started_claim);
	model->counts->claim_start++;
}

static backend_run_t *add_run(host_t *host, const gn_action_t *action)
{
	backend_run_t *run = g_new0(backend_run_t, 1);

	run->id = action->id;
	run->epoch = action->epoch;
	run->lease_until_us = action->lease_until_us;
	g_hash_table_replace(host->runs, &run->id, run);
	return run;
}

static void start_run(gn_model_t *model, host_t *host,
		      const gn_action_t *action)
{
	backend_run_t *run;

	if (host_now(host) >= action->lease_until_us ||
	    action->backend != host->backend)
		return;
	check_start(model, action);
	run = add_run(host, action);
	run->ends_us = host_now(host) +
		       (uint64_t)model_pick(
			       model, model_chance(model, .5) ? 20 : 200) *
			       GN_US_PER_S;
	run->fails = model_chance(model, .2);
	send_event(model, host, run);
}

/** Records a stop that precedes its start, so that the start is refused. */
static void fence_run(gn_model_t *model, host_t *host,
		      const gn_action_t *action)
{
	if (action->kind == GN_ACTION_STOP)
		end_run(model, host, add_run(host, action), GN_RUN_STOPPED);
}

static void apply_to_ended(gn_model_t *model, host_t *host,
			   const backend_run_t *run, const gn_action_t *action)
{
	if (action->kind == GN_ACTION_STOP)
		send_event(model, host, run);
	if (action->kind == GN_ACTION_FORGET)
		g_hash_table_remove(host->runs, &action->id);
}

static void apply_to_running(gn_model_t *model, host_t *host,
			     backend_run_t *run, const gn_action_t *action)
{
	if (action->kind == GN_ACTION_LEASE && model_run_executes(host, run)) {
		run->epoch = MAX(run->epoch, action->epoch);
		run->lease_until_us =
			MAX(run->lease_until_us, action->lease_until_us);
	}
	if (action->kind == GN_ACTION_STOP)
		end_run(model, host, run, GN_RUN_STOPPED);
	if (action->kind == GN_ACTION_CHECKPOINT)
		end_run(model, host, run, GN_RUN_RELEASED);
}

static void apply_action(gn_model_t *model, host_t *host,
			 const gn_action_t *action)
{
	backend_run_t *run = g_hash_table_lookup(host->runs, &action->id);
	uint32_t claim = gn_task_epoch_claim(action->epoch);

	if (!run || claim > gn_task_epoch_claim(run->epoch)) {
		if (action->kind == GN_ACTION_START)
			start_run(model, host, action);
		else
			fence_run(model, host, action);
		return;
	}
	if (claim < gn_task_epoch_claim(run->epoch))
		return;
	if (run->state == GN_RUN_RUNNING)
		apply_to_running(model, host, run, action);
	else
		apply_to_ended(model, host, run, action);
}

static void answer_list(gn_model_t *model, host_t *host, const message_t *asked)
{
	message_t *answer = model_create_message(
		model, MSG_LIST_ANSWER, backend_node(host), host->agent_node);
	GHashTableIter iter;
	gpointer value;

	answer->to_incarnation = asked->from_incarnation;
	answer->sent_us = asked->sent_us;
	answer->a = host->backend;
	answer->runs = talloc_zero_array(answer, gn_backend_run_t,
					 g_hash_table_size(host->runs) + 1);
	g_hash_table_iter_init(&iter, host->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const backend_run_t *run = value;

		answer->runs[answer->count++] = (gn_backend_run_t){
			.id = run->id,
			.epoch = run->epoch,
			.state = run->state,
			.lease_until_us = run->lease_until_us,
			.checkpoint = talloc_strdup(answer, run->checkpoint),
			.kind = "k",
			.cores = 1,
		};
	}
	model_send(model, answer);
}

void model_backend_handle(gn_model_t *model, host_t *host, message_t *message)
{
	if (message->type == MSG_ACTION)
		apply_action(model, host, message->action);
	else
		answer_list(model, host, message);
}

/** Ends the runs that are done, have failed, or whose lease has lapsed. */
void model_backend_step(gn_model_t *model, host_t *host)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, host->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		backend_run_t *run = value;

		if (run->state != GN_RUN_RUNNING)
			continue;
		if (!model_run_executes(host, run))
			end_run(model, host, run, GN_RUN_STOPPED);
		else if (host_now(host) >= run->ends_us)
			end_run(model, host, run,
				run->fails ? GN_RUN_FAILED : GN_RUN_DONE);
	}
}

void model_backend_crash(gn_model_t *model, host_t *host)
{
	host->backend = ++model->next_incarnation;
	g_hash_table_remove_all(host->runs);
}

/* ======   The agent   ====== */

static bool may_admit(void *context, const gn_task_t *task)
{
	const host_t *host = context;

	(void)task;
	return gn_worker_tasks_stats(host->tasks)->running < HOST_SLOTS;
}

void model_agent_restart(gn_model_t *model, host_t *host)
{
	static const gn_worker_tasks_params_t params = {
		.lease_margin_us = LEASE_MARGIN_US,
		.drift_us = 0,
		.forget_us = 4 * PROMISE_US,
	};
	gn_worker_tasks_gate_t gate = { may_admit, host };
	message_t *message;

	while ((message = g_queue_pop_head(&host->inbox)))
		talloc_free(message);
	talloc_free(host->tasks);
	host->tasks =
		gn_worker_tasks_create(model, &params, gate, &host->clock);
	host->incarnation = ++model->next_incarnation;
	host->frozen_until_us = 0;
	host->draining_until_us = 0;
	host->seen_epoch = 0;
	host->counted_epoch = 0;
	host->counted_late = 0;
}

/** Drops the messages in transit between an agent and its backend server. */
static void drop_local_messages(gn_model_t *model, const host_t *host)
{
	for (guint i = 0; i < model->network->len;) {
		message_t *message = g_ptr_array_index(model->network, i);

		if (message->from != backend_node(host) &&
		    message->to != backend_node(host)) {
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast(model->network, i);
		talloc_unlink(model, message);
	}
}

void model_host_replace(gn_model_t *model, host_t *host)
{
	drop_local_messages(model, host);
	model_backend_crash(model, host);
	/* A new machine under the same name has another clock origin. */
	gn_clock_init_paused(&host->clock,
			     GN_US_PER_S *
				     (uint64_t)(100 + model_pick(model, 9000)));
	model_agent_restart(model, host);
}

static void on_orders(gn_model_t *model, host_t *host, const message_t *message)
{
	const gn_worker_tasks_stats_t *stats =
		gn_worker_tasks_stats(host->tasks);

	gn_code_t code = gn_worker_tasks_on_orders(
		host->tasks, BUCKET, message->owner_epoch, message->sent_us,
		message->orders, message->count);

	if (!code && message->owner_epoch < host->seen_epoch)
		model_report_violation(
			model, "an order of an earlier owner was taken");
	if (!code)
		host->seen_epoch = message->owner_epoch;
	model->counts->refused_epoch +=
		stats->refused_epoch - host->counted_epoch;
	model->counts->refused_late += stats->refused_late - host->counted_late;
	host->counted_epoch = stats->refused_epoch;
	host->counted_late = stats->refused_late;
}

static void handle_message(gn_model_t *model, host_t *host,
			   const message_t *message)
{
	if (message->to_incarnation &&
	    message->to_incarnation != host->incarnation)
		return;
	switch (message->type) {
	case MSG_ORDERS:
		on_orders(model, host, message);
		break;
	case MSG_EVENT:
		gn_worker_tasks_on_event(host->tasks, message->a, message->b,
					 message->state, 0,
					 gn_str_from(message->checkpoint));
		break;
	case MSG_LIST_ANSWER:
		gn_worker_tasks_set_backend(host->tasks, message->a,
					    message->sent_us);
		gn_worker_tasks_on_list(host->tasks, message->sent_us,
					message->runs, message->count);
		break;
	default:
		g_assert_not_reached();
	}
}

static void send_actions(gn_model_t *model, host_t *host)
{
	gn_action_t *action;

	while ((action = gn_worker_tasks_next_action(host->tasks))) {
		message_t *message = model_create_message(model, MSG_ACTION,
							  host->agent_node,
							  backend_node(host));

		message->action = talloc_steal(message, action);
		model_send(model, message);
	}
}

static void send_poll(gn_model_t *model, host_t *host, int entry,
		      uint64_t sent_us)
{
	unsigned running = gn_worker_tasks_stats(host->tasks)->running;
	message_t *poll = model_create_message(
		model, MSG_POLL, host->agent_node, NODE_ENTRY + entry);

	poll->from_incarnation = host->incarnation;
	poll->sent_us = sent_us;
	gn_worker_tasks_list_reports(host->tasks, UINT_MAX, poll,
				     &poll->reports, &poll->count);
	for (size_t i = 0; i < poll->count; i++)
		poll->reports[i].checkpoint =
			talloc_strdup(poll, poll->reports[i].checkpoint);
	poll->worker = (gn_batch_worker_t){
		.name = host->name,
		.service = "s",
		.free_tasks = HOST_SLOTS - MIN(running, HOST_SLOTS),
		.free_cores = HOST_SLOTS - MIN(running, HOST_SLOTS),
		.draining = host->draining_until_us > model->now_us,
	};
	model_send(model, poll);
}

static void send_polls(gn_model_t *model, host_t *host)
{
	uint64_t sent_us = gn_worker_tasks_begin_poll(host->tasks);

	if (!sent_us)
		return;
	for (int i = 0; i < ENTRIES; i++)
		send_poll(model, host, i, sent_us);
}

void model_agent_step(gn_model_t *model, host_t *host)
{
	bool draining = host->draining_until_us > model->now_us;
	message_t *message;

	while ((message = g_queue_pop_head(&host->inbox))) {
		handle_message(model, host, message);
		talloc_free(message);
	}
	gn_worker_tasks_set_draining(host->tasks, draining);
	gn_worker_tasks_tick(host->tasks);
	send_actions(model, host);
	if (!model_is_send_step(model))
		return;
	if (!gn_worker_tasks_is_ready(host->tasks) || model_chance(model, .1)) {
		message_t *list = model_create_message(
			model, MSG_LIST, host->agent_node, backend_node(host));

		list->from_incarnation = host->incarnation;
		list->sent_us = host_now(host);
		model_send(model, list);
	}
	send_polls(model, host);
}
