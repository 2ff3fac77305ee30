#include "batch/task_queue_internal.h"

#include <assert.h>
#include <string.h>

#include "common/str.h"

/** Number of tasks tried from the head of a group before it is skipped. */
#define HEAD_SCAN_MAX 4
/** Run time of a task that declares none, milliseconds. */
#define RUN_DEFAULT_MS (3600 * 1000)

/** Waiting tasks of the same team, kind, service, priority and size class. */
typedef struct group_s {
	char *key;
	GPtrArray *service_groups; /**< All groups of the same service. */
	guint index; /**< Position of this group in service_groups. */
	GQueue tasks;
} group_t;

/** Queue position of one task: in a group, or among the tasks in backoff. */
typedef struct place_s {
	group_t *group;
	GList *link;
	GSequenceIter *delayed;
} place_t;

/* ======   Groups   ====== */

static void free_group(gpointer data)
{
	group_t *group = data;

	g_queue_clear(&group->tasks);
	g_free(group->key);
	g_free(group);
}

static void free_service_groups(gpointer data)
{
	g_ptr_array_free(data, TRUE);
}

/** Returns the size class; the sizes of one class differ by less than 2x. */
static unsigned size_class_of(unsigned size)
{
	return size ? g_bit_storage(size) : 0;
}

static char *make_key(const gn_task_t *task)
{
	return g_strdup_printf("%s\n%s\n%s\n%u %u %u %u", task->service,
			       task->team, task->kind, task->priority,
			       size_class_of(task->cores),
			       size_class_of(task->memory_mb),
			       size_class_of(task->accelerators));
}

static GPtrArray *find_service_groups(gn_task_queue_t *queue,
				      const char *service)
{
	GPtrArray *service_groups =
		g_hash_table_lookup(queue->services, service);

	if (!service_groups) {
		service_groups = g_ptr_array_new();
		g_hash_table_insert(queue->services, g_strdup(service),
				    service_groups);
	}
	return service_groups;
}

static group_t *find_group(gn_task_queue_t *queue, const gn_task_t *task)
{
	char *key = make_key(task);
	group_t *group = g_hash_table_lookup(queue->groups, key);

	if (group) {
		g_free(key);
		return group;
	}
	group = g_new0(group_t, 1);
	group->key = key;
	g_queue_init(&group->tasks);
	group->service_groups = find_service_groups(queue, task->service);
	group->index = group->service_groups->len;
	g_ptr_array_add(group->service_groups, group);
	g_hash_table_insert(queue->groups, key, group);
	return group;
}

static void drop_group(gn_task_queue_t *queue, group_t *group)
{
	GPtrArray *service_groups = group->service_groups;
	group_t *last =
		g_ptr_array_index(service_groups, service_groups->len - 1);

	last->index = group->index;
	g_ptr_array_remove_index_fast(service_groups, group->index);
	g_hash_table_remove(queue->groups, group->key);
}

static uint64_t age_us(const gn_task_t *task, uint64_t now_us)
{
	return now_us - task->since_us;
}

/**
 * Adds @p task to its group: at the head if it is older than the present head,
 * as a task that is queued again mostly is, else at the tail.
 */
static void enter_group(gn_task_queue_t *queue, gn_task_t *task)
{
	place_t *position = task->group;
	group_t *group = find_group(queue, task);
	uint64_t now_us = gn_clock_now_us(queue->clock);
	const gn_task_t *head = g_queue_peek_head(&group->tasks);

	if (head && age_us(task, now_us) > age_us(head, now_us)) {
		g_queue_push_head(&group->tasks, task);
		position->link = group->tasks.head;
	} else {
		g_queue_push_tail(&group->tasks, task);
		position->link = group->tasks.tail;
	}
	position->group = group;
}

static int compare_not_before(gconstpointer a, gconstpointer b, gpointer unused)
{
	const gn_task_t *left = a;
	const gn_task_t *right = b;

	(void)unused;
	return (left->not_before_us > right->not_before_us) -
	       (left->not_before_us < right->not_before_us);
}

static void release_delayed(gn_task_queue_t *queue)
{
	uint64_t now_us = gn_clock_now_us(queue->clock);

	while (!g_sequence_is_empty(queue->delayed)) {
		GSequenceIter *first =
			g_sequence_get_begin_iter(queue->delayed);
		gn_task_t *task = g_sequence_get(first);
		place_t *position = task->group;

		if (task->not_before_us > now_us)
			return;
		g_sequence_remove(first);
		position->delayed = NULL;
		enter_group(queue, task);
	}
}

/* ======   Creation   ====== */

static int destroy_queue(gn_task_queue_t *queue)
{
	g_hash_table_destroy(queue->groups);
	g_hash_table_destroy(queue->services);
	g_hash_table_destroy(queue->teams);
	g_hash_table_destroy(queue->forbidden);
	g_hash_table_destroy(queue->largest);
	g_sequence_free(queue->delayed);
	return 0;
}

gn_task_queue_t *gn_task_queue_create(TALLOC_CTX *parent,
				      const gn_task_queue_params_t *params,
				      const gn_clock_t *clock, GRand *rand)
{
	gn_task_queue_t *queue = talloc_zero(parent, gn_task_queue_t);

	if (!queue)
		return NULL;
	assert(params->ageing_step_us >= GN_US_PER_S);
	assert(params->backoff_min_us >= GN_US_PER_MS);
	assert(params->backoff_max_us >= params->backoff_min_us);
	queue->params = *params;
	queue->clock = clock;
	queue->rand = rand;
	queue->groups = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      free_group);
	queue->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						free_service_groups);
	queue->teams =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	queue->forbidden =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_hash_table_destroy);
	queue->largest =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	queue->delayed = g_sequence_new(NULL);
	talloc_set_destructor(queue, destroy_queue);
	return queue;
}

/* ======   Queue   ====== */

gn_code_t gn_task_queue_add(gn_task_queue_t *queue, gn_task_t *task)
{
	place_t *position;

	assert(gn_task_state_is_waiting(task->state));
	assert(!task->group);
	position = talloc_zero(task, place_t);
	if (!position)
		return GN_ERR_MEMORY;
	task->group = position;
	queue->count++;
	if (task->not_before_us > gn_clock_now_us(queue->clock))
		position->delayed = g_sequence_insert_sorted(
			queue->delayed, task, compare_not_before, NULL);
	else
		enter_group(queue, task);
	return GN_OK;
}

void gn_task_queue_remove(gn_task_queue_t *queue, gn_task_t *task)
{
	place_t *position = task->group;

	if (!position)
		return;
	if (position->delayed) {
		g_sequence_remove(position->delayed);
	} else {
		g_queue_delete_link(&position->group->tasks, position->link);
		if (g_queue_is_empty(&position->group->tasks))
			drop_group(queue, position->group);
	}
	queue->count--;
	task->group = NULL;
	talloc_free(position);
}

/** Returns how long @p task needs to end or to be checkpointed. */
static uint64_t needed_us(const gn_task_t *task)
{
	uint64_t needed_ms = task->run_ms ? task->run_ms : RUN_DEFAULT_MS;

	/* A standing task can be restarted elsewhere at any time. */
	if (task->work_class == GN_CLASS_STANDING)
		return 0;
	if (task->checkpoint_ms && task->checkpoint_ms < needed_ms)
		needed_ms = task->checkpoint_ms;
	return needed_ms * GN_US_PER_MS;
}

static bool fits_window(const gn_task_queue_t *queue, const gn_task_t *task,
			const gn_batch_worker_t *worker)
{
	uint64_t now_us = gn_clock_now_us(queue->clock);
	uint64_t end_us = now_us + needed_us(task);

	return !worker->drain_at_us ||
	       end_us + queue->params.drain_lead_us < worker->drain_at_us;
}

static bool has_room(unsigned need, unsigned free, unsigned reserved,
		     unsigned total)
{
	/* A task too large to run beside the reservation may use it. */
	if (need + reserved > total)
		reserved = 0;
	return need + reserved <= free;
}

static bool has_room_for(const gn_batch_worker_t *worker, const gn_task_t *task)
{
	unsigned is_limited = task->priority != GN_BATCH_URGENT;

	return worker->free_tasks > is_limited * worker->reserved_tasks &&
	       has_room(task->cores, worker->free_cores,
			is_limited * worker->reserved_cores, worker->cores) &&
	       has_room(task->memory_mb, worker->free_memory_mb,
			is_limited * worker->reserved_memory_mb,
			worker->memory_mb);
}

static bool fits(const gn_task_queue_t *queue, const gn_task_t *task,
		 const gn_batch_worker_t *worker)
{
	return has_room_for(worker, task) &&
	       task->accelerators <= worker->free_accelerators &&
	       fits_window(queue, task, worker) &&
	       !gn_task_has_failed_on(task, worker->name);
}

/** Returns the first task of @p group that fits @p worker, or NULL. */
static gn_task_t *find_in_group(gn_task_queue_t *queue, const group_t *group,
				const gn_batch_worker_t *worker)
{
	gn_task_t *head = g_queue_peek_head((GQueue *)&group->tasks);
	int scanned = 0;

	if (!gn_task_queue_has_quota(queue, head) ||
	    !gn_task_queue_may_share_host(queue, head->kind, worker))
		return NULL;
	for (GList *link = group->tasks.head; link && scanned < HEAD_SCAN_MAX;
	     link = link->next, scanned++) {
		if (fits(queue, link->data, worker))
			return link->data;
	}
	return NULL;
}

/** Returns the priority of @p task after ageing; lower values go first. */
static int64_t aged_priority(const gn_task_queue_t *queue,
			     const gn_task_t *task)
{
	uint64_t now_us = gn_clock_now_us(queue->clock);

	return (int64_t)task->priority -
	       (int64_t)(age_us(task, now_us) / queue->params.ageing_step_us);
}

static bool goes_before(const gn_task_queue_t *queue, const gn_task_t *task,
			const gn_task_t *other)
{
	uint64_t now_us = gn_clock_now_us(queue->clock);
	int64_t mine = aged_priority(queue, task);
	int64_t theirs = aged_priority(queue, other);

	if (mine != theirs)
		return mine < theirs;
	return age_us(task, now_us) > age_us(other, now_us);
}

static void subtract_task(gn_batch_worker_t *worker, const gn_task_t *task)
{
	worker->free_tasks--;
	worker->free_cores -= task->cores;
	worker->free_memory_mb -= task->memory_mb;
	worker->free_accelerators -= task->accelerators;
	if (worker->kind_count < GN_BATCH_KINDS_MAX)
		worker->kinds[worker->kind_count++] = task->kind;
	else
		/*
		 * The list of kinds is full, so further tasks could not be
		 * checked against the rules on sharing a host.
		 */
		worker->draining = true;
}

gn_task_t *gn_task_queue_take_next(gn_task_queue_t *queue,
				   gn_batch_worker_t *worker)
{
	GPtrArray *service_groups;
	gn_task_t *best = NULL;

	release_delayed(queue);
	service_groups = g_hash_table_lookup(queue->services, worker->service);
	if (!service_groups || worker->draining || !worker->free_tasks)
		return NULL;
	for (guint i = 0; i < service_groups->len; i++) {
		gn_task_t *task = find_in_group(
			queue, g_ptr_array_index(service_groups, i), worker);

		if (task && (!best || goes_before(queue, task, best)))
			best = task;
	}
	if (!best)
		return NULL;
	gn_task_queue_remove(queue, best);
	subtract_task(worker, best);
	return best;
}

uint64_t gn_task_queue_retry_at_us(gn_task_queue_t *queue, unsigned attempts)
{
	unsigned doublings = attempts > 1 ? attempts - 1 : 0;
	uint64_t wait_us = queue->params.backoff_min_us;

	for (; doublings && wait_us < queue->params.backoff_max_us; doublings--)
		wait_us *= 2;
	if (wait_us > queue->params.backoff_max_us)
		wait_us = queue->params.backoff_max_us;
	/*
	 * Half of the delay is random, so that tasks that failed together are
	 * not retried together.
	 */
	return gn_clock_now_us(queue->clock) + wait_us / 2 +
	       (uint64_t)(g_rand_double(queue->rand) * (double)wait_us / 2);
}

size_t gn_task_queue_count(const gn_task_queue_t *queue)
{
	return queue->count;
}

size_t gn_task_queue_group_count(const gn_task_queue_t *queue)
{
	return g_hash_table_size(queue->groups);
}
