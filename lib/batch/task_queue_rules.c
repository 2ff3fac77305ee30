/**
 * @file task_queue_rules.c
 * @brief Quotas of teams, kinds that may not share a host, and the largest
 * worker of each service.
 */
#include "batch/task_queue_internal.h"

#include <assert.h>
#include <string.h>

static gn_team_usage_t *find_team(gn_task_queue_t *queue, const char *name)
{
	gn_team_usage_t *team = g_hash_table_lookup(queue->teams, name);

	if (!team) {
		team = g_new0(gn_team_usage_t, 1);
		team->running_max = UINT_MAX;
		g_hash_table_insert(queue->teams, g_strdup(name), team);
	}
	return team;
}

gn_code_t gn_task_queue_set_quota(gn_task_queue_t *queue, const char *team,
				  unsigned running_max)
{
	if (!team[0] || strlen(team) > GN_NAME_MAX)
		return GN_ERR_RANGE;
	find_team(queue, team)->running_max = running_max;
	return GN_OK;
}

static void add_forbidden(gn_task_queue_t *queue, const char *kind,
			  const char *other)
{
	GHashTable *others = g_hash_table_lookup(queue->forbidden, kind);

	if (!others) {
		others = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       NULL);
		g_hash_table_insert(queue->forbidden, g_strdup(kind), others);
	}
	g_hash_table_add(others, g_strdup(other));
}

gn_code_t gn_task_queue_forbid_sharing(gn_task_queue_t *queue,
				       const char *kind_a, const char *kind_b)
{
	if (strlen(kind_a) > GN_NAME_MAX || strlen(kind_b) > GN_NAME_MAX)
		return GN_ERR_RANGE;
	add_forbidden(queue, kind_a, kind_b);
	add_forbidden(queue, kind_b, kind_a);
	return GN_OK;
}

void gn_task_queue_clear_rules(gn_task_queue_t *queue)
{
	GHashTableIter iter;
	gpointer team;

	g_hash_table_remove_all(queue->forbidden);
	g_hash_table_iter_init(&iter, queue->teams);
	while (g_hash_table_iter_next(&iter, NULL, &team))
		((gn_team_usage_t *)team)->running_max = UINT_MAX;
}

gn_code_t gn_task_queue_set_largest(gn_task_queue_t *queue, const char *service,
				    unsigned cores, unsigned memory_mb,
				    unsigned accelerators)
{
	gn_largest_t *largest;

	if (!service[0] || strlen(service) > GN_NAME_MAX)
		return GN_ERR_RANGE;
	largest = g_new(gn_largest_t, 1);
	*largest = (gn_largest_t){ cores, memory_mb, accelerators };
	g_hash_table_insert(queue->largest, g_strdup(service), largest);
	return GN_OK;
}

void gn_task_queue_clear_largest(gn_task_queue_t *queue)
{
	g_hash_table_remove_all(queue->largest);
}

gn_task_reason_t gn_task_queue_check_fits(const gn_task_queue_t *queue,
					  const char *service, unsigned cores,
					  unsigned memory_mb,
					  unsigned accelerators)
{
	const gn_largest_t *largest;

	if (!g_hash_table_size(queue->largest))
		return GN_TASK_REASON_NONE;
	largest = g_hash_table_lookup(queue->largest, service);
	if (!largest)
		return GN_TASK_REASON_NO_SERVICE;
	if (cores > largest->cores)
		return GN_TASK_REASON_CORES;
	if (memory_mb > largest->memory_mb)
		return GN_TASK_REASON_MEMORY;
	if (accelerators > largest->accelerators)
		return GN_TASK_REASON_ACCELERATORS;
	return GN_TASK_REASON_NONE;
}

void gn_task_queue_use_quota(gn_task_queue_t *queue, gn_task_t *task)
{
	if (task->quota_used)
		return;
	find_team(queue, task->team)->running++;
	task->quota_used = true;
}

void gn_task_queue_return_quota(gn_task_queue_t *queue, gn_task_t *task)
{
	gn_team_usage_t *team;

	if (!task->quota_used)
		return;
	team = find_team(queue, task->team);
	assert(team->running > 0);
	team->running--;
	task->quota_used = false;
}

bool gn_task_queue_has_quota(gn_task_queue_t *queue, const gn_task_t *task)
{
	const gn_team_usage_t *team =
		g_hash_table_lookup(queue->teams, task->team);

	return !team || team->running < team->running_max;
}

bool gn_task_queue_may_share_host(const gn_task_queue_t *queue,
				  const char *kind,
				  const gn_batch_worker_t *worker)
{
	GHashTable *others = g_hash_table_lookup(queue->forbidden, kind);

	if (!others)
		return true;
	for (size_t i = 0; i < worker->kind_count; i++) {
		if (g_hash_table_contains(others, worker->kinds[i]))
			return false;
	}
	return true;
}
