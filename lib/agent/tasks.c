/**
 * @file tasks.c
 * @brief Batch and standing tasks on the agent: list, actions, polls, orders.
 *
 * lib/batch/worker_tasks.h decides; this file carries its actions to the
 * backend server, one at a time so that they arrive in order, and its polls
 * to the entries.
 */
#include <stdio.h>
#include <string.h>

#include "agent/agent_internal.h"
#include "common/log.h"
#include "http/status.h"
#include "wire/task_wire.h"

/** Between polls when nothing happens, milliseconds. */
#define POLL_INTERVAL_MS 300
/** The worker's lease is shorter than its agent's by this. */
#define LEASE_MARGIN_MS 200
/** Difference of clock rates over one promise. */
#define DRIFT_MS 50
/** Ended runs stay known for this long. */
#define FORGET_MS 60000
/** Thousandths of a core. */
#define MILLI 1000
#define PATH_SIZE 64

/* ======   Admission   ====== */

static gn_admit_task_t to_admit_task(const char *id, unsigned cores,
				     unsigned memory_mb, unsigned accelerators)
{
	const gn_admit_task_t task = {
		.id = gn_str_from(id),
		.needs = { (uint64_t)cores * MILLI, memory_mb, accelerators },
	};

	return task;
}

static bool admit_task(void *context, const gn_task_t *task)
{
	agent_t *agent = context;
	char id[GN_TASK_ID_SIZE];
	gn_admit_task_t asked;

	gn_task_id_format(task->id, id);
	asked = to_admit_task(id, task->cores, task->memory_mb,
			      task->accelerators);
	if (!agent_interference_may_start(agent, task) ||
	    gn_admit_ask_task(agent->admit, &asked) != GN_ADMIT_ADMITTED)
		return false;
	agent_interference_note_start(agent, task);
	g_hash_table_add(agent->admitted, g_strdup(id));
	return true;
}

static void mark_running(uint64_t id, uint64_t epoch, gn_run_state_t state,
			 uint64_t lease_until_us, void *data)
{
	char text[GN_TASK_ID_SIZE];

	(void)epoch;
	(void)state;
	(void)lease_until_us;
	gn_task_id_format(id, text);
	g_hash_table_add(data, g_strdup(text));
}

/* Gives back the room of the tasks that have ended. */
static void release_ended(agent_t *agent)
{
	GHashTable *running =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTableIter iter;
	gpointer id;

	gn_worker_tasks_foreach(agent->tasks, mark_running, running);
	g_hash_table_iter_init(&iter, agent->admitted);
	while (g_hash_table_iter_next(&iter, &id, NULL)) {
		if (g_hash_table_contains(running, id))
			continue;
		gn_admit_end_task(agent->admit, gn_str_from(id));
		g_hash_table_iter_remove(&iter);
	}
	g_hash_table_destroy(running);
}

gn_code_t agent_tasks_open(agent_t *agent)
{
	const gn_worker_tasks_params_t params = {
		.lease_margin_us = LEASE_MARGIN_MS * GN_US_PER_MS,
		.drift_us = DRIFT_MS * GN_US_PER_MS,
		.forget_us = (uint64_t)FORGET_MS * GN_US_PER_MS,
	};
	const gn_worker_tasks_gate_t gate = { admit_task, agent };

	agent->admitted =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	agent->tasks = gn_worker_tasks_create(agent, &params, gate,
					      &agent->runtime->clock);
	return agent->tasks ? GN_OK : GN_ERR_MEMORY;
}

void agent_tasks_close(agent_t *agent)
{
	if (agent->admitted)
		g_hash_table_destroy(agent->admitted);
}

/* ======   The backend server's list   ====== */

/* How the backend server names the states of its runs. */
static const char *const state_names[GN_RUN_STATE_COUNT] = {
	[GN_RUN_RUNNING] = "running", [GN_RUN_DONE] = "done",
	[GN_RUN_FAILED] = "failed",   [GN_RUN_RELEASED] = "checkpointed",
	[GN_RUN_STOPPED] = "stopped", [GN_RUN_REFUSED] = "refused",
};

static bool parse_state(const char *name, gn_run_state_t *state)
{
	for (int i = 0; name && i < GN_RUN_STATE_COUNT; i++) {
		if (!strcmp(name, state_names[i])) {
			*state = (gn_run_state_t)i;
			return true;
		}
	}
	return false;
}

static const char *class_name(gn_class_t work_class)
{
	return work_class == GN_CLASS_STANDING ? "standing" : "batch";
}

static const char *text_of(const json_t *json, const char *key)
{
	return json_string_value(json_object_get(json, key));
}

static uint64_t number_of(const json_t *json, const char *key)
{
	json_int_t value = json_integer_value(json_object_get(json, key));

	return value > 0 ? (uint64_t)value : 0;
}

/* A backend server that tells no class runs batch work. */
static gn_class_t parse_class(const char *name)
{
	if (!g_strcmp0(name, class_name(GN_CLASS_STANDING)))
		return GN_CLASS_STANDING;
	return GN_CLASS_BATCH;
}

static bool parse_run(const json_t *json, gn_backend_run_t *run)
{
	const char *id = text_of(json, "id");

	run->kind = text_of(json, "kind");
	run->checkpoint = text_of(json, "checkpoint");
	run->epoch = number_of(json, "epoch");
	run->lease_until_us = number_of(json, "lease_until_us");
	run->result_code = (uint32_t)number_of(json, "result_code");
	run->cores = (unsigned)number_of(json, "cores");
	run->memory_mb = (unsigned)number_of(json, "memory_mb");
	run->accelerators = (unsigned)number_of(json, "accelerators");
	run->speed_pct = (unsigned)number_of(json, "speed_pct");
	run->work_class = parse_class(text_of(json, "class"));
	return id && run->kind && run->kind[0] &&
	       strlen(run->kind) <= GN_NAME_MAX &&
	       run->speed_pct <= GN_SPEED_FULL_PCT &&
	       parse_state(text_of(json, "state"), &run->state) &&
	       gn_task_id_parse(gn_str_from(id), &run->id) == GN_OK;
}

/* The decisions know a backend server's incarnation by number, never 0. */
static uint64_t incarnation_of(const char *name)
{
	return gn_str_hash(gn_str_from(name), 0) | 1;
}

static gn_code_t take_runs(agent_t *agent, const json_t *list,
			   const gn_backend_run_t *runs, size_t count)
{
	unsigned requests = (unsigned)number_of(list, "running_requests");
	gn_admit_task_t *asked = g_new0(gn_admit_task_t, count + 1);
	gn_code_t code;
	size_t running = 0;

	for (size_t i = 0; i < count; i++) {
		char id[GN_TASK_ID_SIZE];

		if (runs[i].state != GN_RUN_RUNNING)
			continue;
		gn_task_id_format(runs[i].id, id);
		g_hash_table_add(agent->admitted, g_strdup(id));
		asked[running++] = to_admit_task(
			g_hash_table_lookup(agent->admitted, id), runs[i].cores,
			runs[i].memory_mb, runs[i].accelerators);
	}
	code = gn_admit_take_list(agent->admit, requests, asked, running);
	if (!code)
		code = gn_worker_tasks_set_backend(
			agent->tasks,
			incarnation_of(text_of(list, "incarnation")),
			agent->backend.listed_us);
	if (!code)
		code = gn_worker_tasks_on_list(
			agent->tasks, agent->backend.listed_us, runs, count);
	g_free(asked);
	return code;
}

gn_code_t agent_tasks_take_list(agent_t *agent, json_t *list)
{
	json_t *rows = json_object_get(list, "tasks");
	size_t count = json_array_size(rows);
	gn_backend_run_t *runs;
	gn_code_t code = GN_OK;

	if (!json_is_array(rows) || !text_of(list, "incarnation") ||
	    !json_is_integer(json_object_get(list, "running_requests")))
		return GN_ERR_INVALID;
	runs = g_new0(gn_backend_run_t, count + 1);
	for (size_t i = 0; i < count && !code; i++)
		if (!parse_run(json_array_get(rows, i), &runs[i]))
			code = GN_ERR_INVALID;
	if (!code)
		code = take_runs(agent, list, runs, count);
	g_free(runs);
	return code;
}

/* ======   Actions   ====== */

static const char *const action_names[GN_ACTION_KIND_COUNT] = {
	[GN_ACTION_START] = "start",
	[GN_ACTION_LEASE] = "lease",
	[GN_ACTION_CHECKPOINT] = "checkpoint",
	[GN_ACTION_STOP] = "stop",
	[GN_ACTION_FORGET] = "forget",
	[GN_ACTION_THROTTLE] = "throttle",
};

/* Neither a renewed lease nor a speed changes what owners wait for. */
bool agent_action_changes_list(const gn_action_t *action)
{
	return action->kind != GN_ACTION_LEASE &&
	       action->kind != GN_ACTION_THROTTLE;
}

bool agent_action_is_current(const agent_t *agent, const gn_action_t *action)
{
	return action->backend == incarnation_of(agent->backend.incarnation);
}

static json_t *pack_action(const agent_t *agent, const gn_action_t *action)
{
	json_t *json = json_object();
	char *spec;

	json_object_set_new(json, "epoch",
			    json_integer((json_int_t)action->epoch));
	if (action->kind == GN_ACTION_THROTTLE)
		json_object_set_new(json, "speed_pct",
				    json_integer(action->speed_pct));
	else if (action->lease_until_us)
		json_object_set_new(
			json, "lease_until_us",
			json_integer((json_int_t)action->lease_until_us));
	if (action->kind != GN_ACTION_START)
		return json;
	spec = g_base64_encode((const guchar *)action->spec.data,
			       action->spec.len);
	/* A backend server that restarted meanwhile refuses the start. */
	if (agent_action_is_current(agent, action))
		json_object_set_new(json, "backend",
				    json_string(agent->backend.incarnation));
	json_object_set_new(json, "spec", json_string(spec));
	json_object_set_new(json, "kind", json_string(action->task_kind));
	json_object_set_new(json, "class",
			    json_string(class_name(action->work_class)));
	json_object_set_new(json, "checkpoint",
			    json_string(action->checkpoint));
	json_object_set_new(json, "cores", json_integer(action->cores));
	json_object_set_new(json, "memory_mb", json_integer(action->memory_mb));
	json_object_set_new(json, "accelerators",
			    json_integer(action->accelerators));
	g_free(spec);
	return json;
}

/* Tells how the run stands by the answer; without one, the list tells. */
static void take_action_answer(agent_t *agent, const gn_action_t *action,
			       const gn_http_call_t *call)
{
	bool refused =
		call->code == GN_ERR_UNAVAILABLE ||
		(call->code == GN_OK && call->status == HTTP_UNAVAILABLE);
	json_t *json = json_loadb(call->answer ? call->answer : "",
				  call->answer_len, 0, NULL);
	gn_run_state_t state;

	if (call->code == GN_OK && call->status == HTTP_OK &&
	    parse_state(text_of(json, "state"), &state))
		gn_worker_tasks_on_event(
			agent->tasks, action->id, action->epoch, state,
			(uint32_t)number_of(json, "result_code"),
			gn_str_from(text_of(json, "checkpoint")));
	else if (refused && action->kind == GN_ACTION_START)
		gn_worker_tasks_on_event(agent->tasks, action->id,
					 action->epoch, GN_RUN_REFUSED, 0,
					 GN_STR(""));
	json_decref(json);
}

static void run_actions(agent_t *agent);

static void on_action_done(void *arg, const gn_http_call_t *call)
{
	agent_t *agent = arg;
	gn_action_t *action = agent->action;
	char id[GN_TASK_ID_SIZE];

	agent->action = NULL;
	if (agent_action_changes_list(action)) {
		agent->backend.list_spoiled = true;
		agent->poll_soon = true;
	}
	gn_task_id_format(action->id, id);
	if (call->code || call->status != HTTP_OK) {
		gn_counter_inc(agent->counters.actions_failed);
		gn_log(LOG_WARNING, action_names[action->kind],
		       agent->backend.address, "task %s error=%s status=%u", id,
		       gn_code_name(call->code), call->status);
	}
	if (action->kind == GN_ACTION_THROTTLE)
		agent_interference_on_throttled(agent, action, call);
	else
		take_action_answer(agent, action, call);
	talloc_free(action);
	run_actions(agent);
}

static void run_actions(agent_t *agent)
{
	char id[GN_TASK_ID_SIZE];
	char path[PATH_SIZE];

	if (agent->action || !agent_backend_is_up(agent))
		return;
	agent->action = gn_worker_tasks_next_action(agent->tasks);
	if (!agent->action)
		return;
	gn_counter_inc(agent->counters.actions);
	gn_task_id_format(agent->action->id, id);
	snprintf(path, sizeof(path), "/v1/tasks/%s/%s", id,
		 action_names[agent->action->kind]);
	if (agent_action_changes_list(agent->action))
		agent->backend.list_spoiled = true;
	if (agent_backend_call(agent, path, pack_action(agent, agent->action),
			       on_action_done, agent))
		TALLOC_FREE(agent->action);
}

/* ======   Polls and orders   ====== */

static void fill_free(agent_t *agent, Gn__TaskPoll *poll)
{
	const gn_settings_t *settings = agent->runtime->settings;
	const gn_worker_tasks_stats_t *used =
		gn_worker_tasks_stats(agent->tasks);
	unsigned places = settings->max_tasks > used->running
				  ? settings->max_tasks - used->running
				  : 0;

	poll->free_tasks = agent_interference_limit_places(agent, places);
	poll->free_cores = settings->cores > used->cores
				   ? settings->cores - used->cores
				   : 0;
	poll->free_memory_mb = settings->memory_mb > used->memory_mb
				       ? settings->memory_mb - used->memory_mb
				       : 0;
	poll->free_accelerators =
		settings->accelerators > used->accelerators
			? settings->accelerators - used->accelerators
			: 0;
	poll->draining =
		agent_is_draining(agent) || !agent_backend_is_ready(agent);
}

static void send_poll(agent_t *agent, agent_link_t *link, uint64_t sent_us)
{
	TALLOC_CTX *scratch = talloc_new(NULL);
	Gn__Envelope envelope = GN__ENVELOPE__INIT;
	Gn__TaskPoll poll = GN__TASK_POLL__INIT;
	const char *kinds[GN_BATCH_KINDS_MAX];
	gn_batch_report_t *reports;
	size_t count;

	if (gn_worker_tasks_reports(agent->tasks, UINT_MAX, scratch, &reports,
				    &count) ||
	    gn_task_wire_put_runs(scratch, reports, count, &poll))
		goto out;
	poll.sent_us = sent_us;
	poll.n_kinds =
		gn_worker_tasks_kinds(agent->tasks, kinds, GN_BATCH_KINDS_MAX);
	poll.kinds = (char **)kinds;
	fill_free(agent, &poll);
	envelope.body_case = GN__ENVELOPE__BODY_TASK_POLL;
	envelope.task_poll = &poll;
	agent_link_send(link, &envelope);
out:
	talloc_free(scratch);
}

static void send_polls(agent_t *agent)
{
	uint64_t now_us = gn_runtime_now_us(agent->runtime);
	uint64_t interval_us = (uint64_t)POLL_INTERVAL_MS * GN_US_PER_MS;
	uint64_t sent_us = 0;

	for (size_t i = 0; i < agent->link_count; i++) {
		agent_link_t *link = &agent->links[i];

		if (!link->link || !link->entry_incarnation ||
		    (!agent->poll_soon && now_us - link->poll_us < interval_us))
			continue;
		if (!sent_us)
			sent_us = gn_worker_tasks_begin_poll(agent->tasks);
		if (!sent_us)
			return;
		link->poll_us = now_us;
		send_poll(agent, link, sent_us);
	}
	agent->poll_soon = false;
}

void agent_on_task_orders(agent_link_t *link, const Gn__TaskOrders *message)
{
	agent_t *agent = link->agent;

	for (size_t i = 0; i < message->n_buckets; i++) {
		const Gn__BucketOrders *bucket = message->buckets[i];
		TALLOC_CTX *scratch = talloc_new(NULL);
		gn_batch_orders_t orders;

		if (gn_task_wire_get_orders(scratch, bucket, &orders) ||
		    gn_worker_tasks_on_orders(
			    agent->tasks, bucket->bucket, bucket->owner_epoch,
			    message->sent_us, orders.orders, orders.count))
			gn_counter_inc(agent->counters.stale_orders);
		talloc_free(scratch);
	}
	run_actions(agent);
}

void agent_tasks_tick(agent_t *agent)
{
	if (!gn_worker_tasks_is_ready(agent->tasks))
		return;
	gn_worker_tasks_set_draining(agent->tasks, agent_is_draining(agent));
	gn_worker_tasks_tick(agent->tasks);
	release_ended(agent);
	run_actions(agent);
	send_polls(agent);
}

/* ======   Queries   ====== */

bool agent_tasks_are_settled(const agent_t *agent)
{
	TALLOC_CTX *scratch = talloc_new(NULL);
	gn_batch_report_t *reports;
	size_t count = 0;

	if (gn_worker_tasks_is_ready(agent->tasks))
		gn_worker_tasks_reports(agent->tasks, UINT_MAX, scratch,
					&reports, &count);
	talloc_free(scratch);
	return count == 0 && !agent->action;
}

static void dump_run(uint64_t id, uint64_t epoch, gn_run_state_t state,
		     uint64_t lease_until_us, void *data)
{
	char text[GN_TASK_ID_SIZE];

	gn_task_id_format(id, text);
	json_array_append_new(data, json_pack("{s:s, s:I, s:s, s:I}", "id",
					      text, "epoch", (json_int_t)epoch,
					      "state", gn_run_state_name(state),
					      "lease_until_us",
					      (json_int_t)lease_until_us));
}

json_t *agent_tasks_dump(const agent_t *agent)
{
	const gn_worker_tasks_stats_t *stats =
		gn_worker_tasks_stats(agent->tasks);
	json_t *runs = json_array();

	gn_worker_tasks_foreach(agent->tasks, dump_run, runs);
	return json_pack("{s:o, s:i, s:I, s:I, s:I, s:I, s:I}", "runs", runs,
			 "running", (int)stats->running, "starts",
			 (json_int_t)stats->starts, "lapses",
			 (json_int_t)stats->lapses, "refused_epoch",
			 (json_int_t)stats->refused_epoch, "refused_late",
			 (json_int_t)stats->refused_late, "refused_admission",
			 (json_int_t)stats->refused_admission);
}
