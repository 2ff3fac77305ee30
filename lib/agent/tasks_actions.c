/**
 * @file tasks_actions.c
 * @brief Sends actions on tasks to the backend server.
 *
 * Only one action is in progress at a time, so that they arrive in order.
 */
#include <stdio.h>

#include "agent/agent_internal.h"
#include "common/log.h"
#include "http/status.h"

/** Size of the path of an action with its terminator, bytes. */
#define PATH_SIZE 64

static const char *const action_names[GN_ACTION_KIND_COUNT] = {
	[GN_ACTION_START] = "start",
	[GN_ACTION_LEASE] = "lease",
	[GN_ACTION_CHECKPOINT] = "checkpoint",
	[GN_ACTION_STOP] = "stop",
	[GN_ACTION_FORGET] = "forget",
	[GN_ACTION_THROTTLE] = "throttle",
};

/* A lease or a speed changes nothing that owners wait for. */
bool agent_action_changes_list(const gn_action_t *action)
{
	return action->kind != GN_ACTION_LEASE &&
	       action->kind != GN_ACTION_THROTTLE;
}

bool agent_action_is_current(const agent_t *agent, const gn_action_t *action)
{
	return action->backend ==
	       agent_hash_incarnation(agent->backend.incarnation);
}

static json_t *encode_action(const agent_t *agent, const gn_action_t *action)
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
	/* Makes a backend server that has restarted since refuse the start. */
	if (agent_action_is_current(agent, action))
		json_object_set_new(json, "backend",
				    json_string(agent->backend.incarnation));
	json_object_set_new(json, "spec", json_string(spec));
	json_object_set_new(json, "kind", json_string(action->task_kind));
	json_object_set_new(json, "class",
			    json_string(agent_class_name(action->work_class)));
	json_object_set_new(json, "checkpoint",
			    json_string(action->checkpoint));
	json_object_set_new(json, "cores", json_integer(action->cores));
	json_object_set_new(json, "memory_mb", json_integer(action->memory_mb));
	json_object_set_new(json, "accelerators",
			    json_integer(action->accelerators));
	g_free(spec);
	return json;
}

/* Updates the run's state; without a response, the next list does so. */
static void apply_answer(agent_t *agent, const gn_action_t *action,
			 const gn_http_call_t *call)
{
	bool refused =
		call->code == GN_ERR_UNAVAILABLE ||
		(call->code == GN_OK && call->status == HTTP_UNAVAILABLE);
	json_t *json = json_loadb(call->answer ? call->answer : "",
				  call->answer_len, 0, NULL);
	gn_run_state_t state;

	if (call->code == GN_OK && call->status == HTTP_OK &&
	    agent_parse_run_state(agent_json_text(json, "state"), &state))
		gn_worker_tasks_on_event(
			agent->tasks, action->id, action->epoch, state,
			(uint32_t)agent_json_number(json, "result_code"),
			gn_str_from(agent_json_text(json, "checkpoint")));
	else if (refused && action->kind == GN_ACTION_START)
		gn_worker_tasks_on_event(agent->tasks, action->id,
					 action->epoch, GN_RUN_REFUSED, 0,
					 GN_STR(""));
	json_decref(json);
}

static void on_action_done(void *arg, const gn_http_call_t *call)
{
	agent_t *agent = arg;
	gn_action_t *action = agent->action;
	char id[GN_TASK_ID_SIZE];

	agent->action = NULL;
	if (agent_action_changes_list(action)) {
		agent->backend.list_outdated = true;
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
		apply_answer(agent, action, call);
	talloc_free(action);
	agent_tasks_send_action(agent);
}

void agent_tasks_send_action(agent_t *agent)
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
		agent->backend.list_outdated = true;
	if (agent_backend_call(agent, path, encode_action(agent, agent->action),
			       on_action_done, agent))
		TALLOC_FREE(agent->action);
}
