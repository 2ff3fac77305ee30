/**
 * @file tasks_list.c
 * @brief Applies the backend server's list of its tasks.
 */
#include "agent/agent_internal.h"

static gn_code_t apply_runs(agent_t *agent, const json_t *list,
			    const gn_backend_run_t *runs, size_t count)
{
	unsigned requests =
		(unsigned)agent_json_number(list, "running_requests");
	gn_admit_task_t *admissions = g_new0(gn_admit_task_t, count + 1);
	gn_code_t code;
	size_t running_count = 0;

	for (size_t i = 0; i < count; i++) {
		char id[GN_TASK_ID_SIZE];

		if (runs[i].state != GN_RUN_RUNNING)
			continue;
		gn_task_id_format(runs[i].id, id);
		g_hash_table_add(agent->admitted, g_strdup(id));
		admissions[running_count++] = agent_make_admit_task(
			g_hash_table_lookup(agent->admitted, id), runs[i].cores,
			runs[i].memory_mb, runs[i].accelerators);
	}
	code = gn_admit_apply_list(agent->admit, requests, admissions,
				   running_count);
	if (!code)
		code = gn_worker_tasks_set_backend(
			agent->tasks,
			agent_hash_incarnation(
				agent_json_text(list, "incarnation")),
			agent->backend.list_asked_us);
	if (!code)
		code = gn_worker_tasks_on_list(agent->tasks,
					       agent->backend.list_asked_us,
					       runs, count);
	g_free(admissions);
	return code;
}

gn_code_t agent_tasks_apply_list(agent_t *agent, json_t *list)
{
	json_t *rows = json_object_get(list, "tasks");
	size_t count = json_array_size(rows);
	gn_backend_run_t *runs;
	gn_code_t code = GN_OK;

	if (!json_is_array(rows) || !agent_json_text(list, "incarnation") ||
	    !json_is_integer(json_object_get(list, "running_requests")))
		return GN_ERR_INVALID;
	runs = g_new0(gn_backend_run_t, count + 1);
	for (size_t i = 0; i < count && !code; i++)
		if (!agent_parse_run(json_array_get(rows, i), &runs[i]))
			code = GN_ERR_INVALID;
	if (!code)
		code = apply_runs(agent, list, runs, count);
	g_free(runs);
	return code;
}
