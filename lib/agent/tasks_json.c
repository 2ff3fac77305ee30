/**
 * @file tasks_json.c
 * @brief Parses the JSON in which the backend server describes its tasks.
 */
#include <string.h>

#include "agent/agent_internal.h"

/* Names of run states in the backend server's protocol. */
static const char *const state_names[GN_RUN_STATE_COUNT] = {
	[GN_RUN_RUNNING] = "running", [GN_RUN_DONE] = "done",
	[GN_RUN_FAILED] = "failed",   [GN_RUN_RELEASED] = "checkpointed",
	[GN_RUN_STOPPED] = "stopped", [GN_RUN_REFUSED] = "refused",
};

bool agent_parse_run_state(const char *name, gn_run_state_t *state)
{
	for (int i = 0; name && i < GN_RUN_STATE_COUNT; i++) {
		if (!strcmp(name, state_names[i])) {
			*state = (gn_run_state_t)i;
			return true;
		}
	}
	return false;
}

const char *agent_class_name(gn_class_t work_class)
{
	return work_class == GN_CLASS_STANDING ? "standing" : "batch";
}

const char *agent_json_text(const json_t *json, const char *key)
{
	return json_string_value(json_object_get(json, key));
}

uint64_t agent_json_number(const json_t *json, const char *key)
{
	json_int_t value = json_integer_value(json_object_get(json, key));

	return value > 0 ? (uint64_t)value : 0;
}

/* A run without a class is batch work. */
static gn_class_t parse_class(const char *name)
{
	if (!g_strcmp0(name, agent_class_name(GN_CLASS_STANDING)))
		return GN_CLASS_STANDING;
	return GN_CLASS_BATCH;
}

bool agent_parse_run(const json_t *json, gn_backend_run_t *run)
{
	const char *id = agent_json_text(json, "id");

	run->kind = agent_json_text(json, "kind");
	run->checkpoint = agent_json_text(json, "checkpoint");
	run->epoch = agent_json_number(json, "epoch");
	run->lease_until_us = agent_json_number(json, "lease_until_us");
	run->result_code = (uint32_t)agent_json_number(json, "result_code");
	run->cores = (unsigned)agent_json_number(json, "cores");
	run->memory_mb = (unsigned)agent_json_number(json, "memory_mb");
	run->accelerators = (unsigned)agent_json_number(json, "accelerators");
	run->speed_pct = (unsigned)agent_json_number(json, "speed_pct");
	run->work_class = parse_class(agent_json_text(json, "class"));
	return id && run->kind && run->kind[0] &&
	       strlen(run->kind) <= GN_NAME_MAX &&
	       run->speed_pct <= GN_SPEED_FULL_PCT &&
	       agent_parse_run_state(agent_json_text(json, "state"),
				     &run->state) &&
	       gn_task_id_parse(gn_str_from(id), &run->id) == GN_OK;
}

/* The lowest bit is set because 0 stands for no incarnation. */
uint64_t agent_hash_incarnation(const char *name)
{
	return gn_str_hash(gn_str_from(name), 0) | 1;
}
