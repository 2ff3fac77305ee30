/**
 * @file tasks_list.c
 * @brief Takes the backend server's list of the tasks that it runs.
 */
#include "agent/agent_internal.h"

static gn_code_t take_runs(agent_t *agent, const json_t *list,
			   const gn_backend_run_t *runs, size_t count)
{
	unsigned requests =
		(unsigned)agent_task_number(list, "running_requests");
	gn_admit_task_t *asked = g_new0(gn_admit_task_t, count + 1);
	gn_code_t code;
	size_t running = 0;

	for (size_t i = 0; i < count; i++) {
		char id[GN_TASK_ID_SIZE];

		if (runs[i].state != GN_RUN_RUNNING)
			continue;
		gn_task_id_format(runs[i].id, id);
		g_hash_table_add(agent->admitted, g_strdup(id));
		asked[running++] = agent_task_admission(
			g_hash_table_lookup(agent->admitted, id), runs[i].cores,
			runs[i].memory_mb, runs[i].accelerators);
	}
	code = gn_admit_apply_list(agent->admit, requests, asked, running);
	if (!code)
		code = gn_worker_tasks_set_backend(
			agent->tasks,
			agent_task_incarnation(
				agent_task_text(list, "incarnation")),
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

	if (!json_is_array(rows) || !agent_task_text(list, "incarnation") ||
	    !json_is_integer(json_object_get(list, "running_requests")))
		return GN_ERR_INVALID;
	runs = g_new0(gn_backend_run_t, count + 1);
	for (size_t i = 0; i < count && !code; i++)
		if (!agent_task_parse_run(json_array_get(rows, i), &runs[i]))
			code = GN_ERR_INVALID;
	if (!code)
		code = take_runs(agent, list, runs, count);
	g_free(runs);
	return code;
}
