/**
 * @file tasks.c
 * @brief Batch and standing tasks on the agent: their admission and state.
 *
 * lib/batch/worker_tasks.h makes the decisions. tasks_list.c applies the
 * backend server's list, tasks_actions.c sends actions to the backend server,
 * and tasks_polls.c sends polls to the entries and handles their orders.
 */
#include "agent/agent_internal.h"

/** The backend server's lease ends before the agent's by this, ms. */
#define LEASE_MARGIN_MS 200
/** Maximum drift between two clocks over one run promise, milliseconds. */
#define DRIFT_MS 50
/** Ended runs are remembered for this long, milliseconds. */
#define ENDED_RUN_RETENTION_MS 60000
#define MILLICORES_PER_CORE 1000

/* ======   Admission   ====== */

gn_admit_task_t agent_make_admit_task(const char *id, unsigned cores,
				      unsigned memory_mb, unsigned accelerators)
{
	const gn_admit_task_t task = {
		.id = gn_str_from(id),
		.needs = { (uint64_t)cores * MILLICORES_PER_CORE, memory_mb,
			   accelerators },
	};

	return task;
}

static bool admit_task(void *context, const gn_task_t *task)
{
	agent_t *agent = context;
	char id[GN_TASK_ID_SIZE];
	gn_admit_task_t admission;

	gn_task_id_format(task->id, id);
	admission = agent_make_admit_task(id, task->cores, task->memory_mb,
					  task->accelerators);
	if (!agent_interference_may_start(agent, task) ||
	    gn_admit_start_task(agent->admit, &admission) != GN_ADMIT_ADMITTED)
		return false;
	agent_interference_record_start(agent, task);
	g_hash_table_add(agent->admitted, g_strdup(id));
	return true;
}

static void collect_id(uint64_t id, uint64_t epoch, gn_run_state_t state,
		       uint64_t lease_until_us, void *data)
{
	char text[GN_TASK_ID_SIZE];

	(void)epoch;
	(void)state;
	(void)lease_until_us;
	gn_task_id_format(id, text);
	g_hash_table_add(data, g_strdup(text));
}

/* Releases the admitted capacity of tasks whose runs were forgotten. */
static void release_ended_tasks(agent_t *agent)
{
	GHashTable *running =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTableIter iter;
	gpointer id;

	gn_worker_tasks_foreach(agent->tasks, collect_id, running);
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
		.forget_us = (uint64_t)ENDED_RUN_RETENTION_MS * GN_US_PER_MS,
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

void agent_tasks_tick(agent_t *agent)
{
	if (!gn_worker_tasks_is_ready(agent->tasks))
		return;
	gn_worker_tasks_set_draining(agent->tasks, agent_is_draining(agent));
	gn_worker_tasks_tick(agent->tasks);
	release_ended_tasks(agent);
	agent_tasks_send_action(agent);
	agent_tasks_send_polls(agent);
}

/* ======   Queries   ====== */

bool agent_tasks_are_settled(const agent_t *agent)
{
	TALLOC_CTX *scratch = talloc_new(NULL);
	gn_batch_report_t *reports;
	size_t count = 0;

	if (gn_worker_tasks_is_ready(agent->tasks))
		gn_worker_tasks_list_reports(agent->tasks, UINT_MAX, scratch,
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
			 (json_int_t)stats->expiries, "refused_epoch",
			 (json_int_t)stats->refused_epoch, "refused_late",
			 (json_int_t)stats->refused_late, "refused_admission",
			 (json_int_t)stats->refused_admission);
}
