#include "admit/admit.h"

#include <assert.h>
#include <glib.h>

#define MAX_CONCURRENT 4096

/** The session of an entry incarnation. */
typedef struct session_s {
	/** Incarnation of the entry; key of the table of sessions. */
	gint64 entry;
	uint64_t session; /**< Session number; 0: closed. */
	unsigned running;
	GList link; /**< Node in the queue of sessions. */
} session_t;

typedef struct task_s {
	char id[GN_KEY_MAX + 1];
	gn_resources_t needs;
} task_t;

struct gn_admit_s {
	gn_admit_config_t config;
	gn_fence_t *fence;
	GHashTable *sessions; /**< Maps entry incarnations to sessions. */
	GQueue opened; /**< All sessions, oldest first. */
	uint64_t last_session;

	bool listed;
	bool draining;
	unsigned requests;
	unsigned foreign;
	GHashTable *tasks; /**< Maps task IDs to tasks. */
	gn_resources_t task_use;

	/** Running requests when the list was queried. */
	unsigned list_requests;
	unsigned list_ended; /**< Requests that have ended since then. */

	uint64_t refused[GN_ADMIT_REASON_COUNT];
};

/* ======   Sessions   ====== */

static session_t *find_session(const gn_admit_t *admit, uint64_t entry)
{
	gint64 key = (gint64)entry;

	return g_hash_table_lookup(admit->sessions, &key);
}

static void drop_session(gn_admit_t *admit, session_t *session)
{
	assert(!session->running);
	g_queue_unlink(&admit->opened, &session->link);
	g_hash_table_remove(admit->sessions, &session->entry);
	talloc_free(session);
}

/**
 * Frees a place by forgetting the entry with the oldest session that has no
 * running requests.
 */
static gn_code_t forget_oldest_entry(gn_admit_t *admit)
{
	for (GList *link = admit->opened.head; link; link = link->next) {
		session_t *session = link->data;
		gn_code_t code;

		if (session->running)
			continue;
		code = gn_fence_forget(admit->fence, (uint64_t)session->entry);
		if (code != GN_OK && code != GN_ERR_NOT_FOUND)
			return code;
		drop_session(admit, session);
		return GN_OK;
	}
	return GN_ERR_CAPACITY;
}

static gn_code_t add_session(gn_admit_t *admit, uint64_t entry,
			     session_t **added)
{
	session_t *session;
	gn_code_t code = GN_OK;

	if (admit->opened.length >= admit->config.fence.entries)
		code = forget_oldest_entry(admit);
	if (code != GN_OK)
		return code;
	session = talloc_zero(admit, session_t);
	if (!session)
		return GN_ERR_MEMORY;
	session->entry = (gint64)entry;
	session->link.data = session;
	g_hash_table_insert(admit->sessions, &session->entry, session);
	g_queue_push_tail_link(&admit->opened, &session->link);
	*added = session;
	return GN_OK;
}

gn_code_t gn_admit_open_session(gn_admit_t *admit, uint64_t entry,
				uint64_t *session)
{
	session_t *found = find_session(admit, entry);
	gn_code_t code = GN_OK;

	if (!found)
		code = add_session(admit, entry, &found);
	if (code != GN_OK)
		return code;
	g_queue_unlink(&admit->opened, &found->link);
	g_queue_push_tail_link(&admit->opened, &found->link);
	found->session = ++admit->last_session;
	*session = found->session;
	return GN_OK;
}

void gn_admit_close_session(gn_admit_t *admit, uint64_t entry)
{
	session_t *session = find_session(admit, entry);

	if (session)
		session->session = 0;
}

/* ======   Tasks and the backend server's list   ====== */

static task_t *find_task(const gn_admit_t *admit, gn_str_t id)
{
	char key[GN_KEY_MAX + 1];

	if (gn_str_copy(key, sizeof(key), id) != GN_OK)
		return NULL;
	return g_hash_table_lookup(admit->tasks, key);
}

static gn_code_t add_task(gn_admit_t *admit, const gn_admit_task_t *task)
{
	task_t *added;

	if (!task->id.len || task->id.len > GN_KEY_MAX)
		return GN_ERR_RANGE;
	added = talloc_zero(admit, task_t);
	if (!added)
		return GN_ERR_MEMORY;
	gn_str_copy(added->id, sizeof(added->id), task->id);
	added->needs = task->needs;
	g_hash_table_insert(admit->tasks, added->id, added);
	admit->task_use.cores_milli += task->needs.cores_milli;
	admit->task_use.memory_mb += task->needs.memory_mb;
	admit->task_use.accelerators += task->needs.accelerators;
	return GN_OK;
}

static void remove_task(gn_admit_t *admit, task_t *task)
{
	admit->task_use.cores_milli -= task->needs.cores_milli;
	admit->task_use.memory_mb -= task->needs.memory_mb;
	admit->task_use.accelerators -= task->needs.accelerators;
	g_hash_table_remove(admit->tasks, task->id);
	talloc_free(task);
}

static void remove_all_tasks(gn_admit_t *admit)
{
	GList *tasks = g_hash_table_get_values(admit->tasks);

	for (GList *link = tasks; link; link = link->next)
		remove_task(admit, link->data);
	g_list_free(tasks);
}

void gn_admit_begin_list(gn_admit_t *admit)
{
	admit->list_requests = admit->requests;
	admit->list_ended = 0;
}

/**
 * Returns how many of the listed requests can't have been admitted by this
 * incarnation.
 */
static unsigned count_foreign(const gn_admit_t *admit, unsigned listed)
{
	unsigned own = admit->list_requests;

	/* Requests that ended since the query may be missing from the list. */
	own -= MIN(own, admit->list_ended);
	return listed - MIN(listed, own);
}

static gn_code_t add_listed_tasks(gn_admit_t *admit,
				  const gn_admit_task_t *tasks, size_t count)
{
	if (!admit->listed)
		remove_all_tasks(admit);
	for (size_t i = 0; i < count; i++) {
		gn_code_t code = GN_OK;

		if (!find_task(admit, tasks[i].id))
			code = add_task(admit, &tasks[i]);
		if (code != GN_OK)
			return code;
	}
	return GN_OK;
}

gn_code_t gn_admit_apply_list(gn_admit_t *admit, unsigned running_requests,
			      const gn_admit_task_t *tasks, size_t task_count)
{
	unsigned foreign = count_foreign(admit, running_requests);
	gn_code_t code = add_listed_tasks(admit, tasks, task_count);

	if (code != GN_OK) {
		admit->listed = false;
		return code;
	}
	/*
	 * Requests of earlier incarnations only end, so their number can't
	 * grow.
	 */
	admit->foreign = admit->listed ? MIN(admit->foreign, foreign) : foreign;
	admit->listed = true;
	return GN_OK;
}

void gn_admit_mark_backend_lost(gn_admit_t *admit)
{
	admit->listed = false;
}

void gn_admit_set_draining(gn_admit_t *admit, bool draining)
{
	admit->draining = draining;
}

/* ======   Requests   ====== */

static gn_admit_reason_t check_identity(const gn_admit_t *admit,
					const gn_admit_request_t *request)
{
	const session_t *session = find_session(admit, request->entry);

	if (request->agent != admit->config.incarnation)
		return GN_ADMIT_INCARNATION;
	switch (gn_fence_check(admit->fence, request->entry,
			       request->request)) {
	case GN_FENCE_DUPLICATE:
		return GN_ADMIT_DUPLICATE;
	case GN_FENCE_FORGOTTEN:
		return GN_ADMIT_NO_PROOF;
	case GN_FENCE_FENCED:
		return GN_ADMIT_FENCED;
	default:
		break;
	}
	if (session && session->session && session->session == request->session)
		return GN_ADMIT_ADMITTED;
	return gn_fence_is_complete(admit->fence, request->entry)
		       ? GN_ADMIT_SESSION
		       : GN_ADMIT_NO_PROOF;
}

static gn_admit_reason_t check_capacity(const gn_admit_t *admit)
{
	if (!admit->listed)
		return GN_ADMIT_UNLISTED;
	if (admit->draining)
		return GN_ADMIT_DRAINING;
	if (admit->requests + admit->foreign >= admit->config.max_connections)
		return GN_ADMIT_REQUESTS;
	return GN_ADMIT_ADMITTED;
}

/** Fences a refused request, so that a copy of it isn't started later. */
static gn_admit_reason_t fence_refused(gn_admit_t *admit,
				       const gn_admit_request_t *request,
				       gn_admit_reason_t reason)
{
	if (gn_fence_cancel(admit->fence, request->entry, request->request))
		return reason;
	return GN_ADMIT_NO_PROOF;
}

static gn_admit_reason_t start_request(gn_admit_t *admit,
				       const gn_admit_request_t *request)
{
	gn_code_t code =
		gn_fence_start(admit->fence, request->entry, request->request);

	if (code != GN_OK)
		return GN_ADMIT_NO_MEMORY;
	admit->requests++;
	find_session(admit, request->entry)->running++;
	return GN_ADMIT_ADMITTED;
}

gn_admit_reason_t gn_admit_start_request(gn_admit_t *admit,
					 const gn_admit_request_t *request)
{
	gn_admit_reason_t reason = check_identity(admit, request);

	assert(request->request);
	if (reason == GN_ADMIT_ADMITTED) {
		reason = check_capacity(admit);
		if (reason == GN_ADMIT_ADMITTED)
			reason = start_request(admit, request);
		else
			reason = fence_refused(admit, request, reason);
	}
	if (reason != GN_ADMIT_ADMITTED)
		admit->refused[reason]++;
	return reason;
}

void gn_admit_end_request(gn_admit_t *admit, uint64_t entry, uint64_t request)
{
	session_t *session = find_session(admit, entry);

	assert(admit->requests && session && session->running);
	gn_fence_end(admit->fence, entry, request);
	admit->requests--;
	admit->list_ended++;
	session->running--;
}

bool gn_admit_cancel_request(gn_admit_t *admit, uint64_t entry, uint64_t agent,
			     uint64_t request)
{
	if (agent != admit->config.incarnation)
		return false;
	if (!find_session(admit, entry))
		return false;
	return gn_fence_cancel(admit->fence, entry, request);
}

/* ======   Tasks   ====== */

static bool fits(uint64_t used, uint64_t need, uint64_t host, uint64_t reserve)
{
	return need <= host && used + need + reserve <= host;
}

static gn_admit_reason_t check_resources(const gn_admit_t *admit,
					 const gn_resources_t *need)
{
	const gn_resources_t *host = &admit->config.host;
	const gn_resources_t *reserve = &admit->config.reserve;
	const gn_resources_t *used = &admit->task_use;

	if (!fits(used->cores_milli, need->cores_milli, host->cores_milli,
		  reserve->cores_milli))
		return GN_ADMIT_CORES;
	if (!fits(used->memory_mb, need->memory_mb, host->memory_mb,
		  reserve->memory_mb))
		return GN_ADMIT_MEMORY;
	if (!fits(used->accelerators, need->accelerators, host->accelerators,
		  reserve->accelerators))
		return GN_ADMIT_ACCELERATORS;
	return GN_ADMIT_ADMITTED;
}

static gn_admit_reason_t check_task(const gn_admit_t *admit,
				    const gn_admit_task_t *task)
{
	if (find_task(admit, task->id))
		return GN_ADMIT_TASK_RUNNING;
	if (!admit->listed)
		return GN_ADMIT_UNLISTED;
	if (admit->draining)
		return GN_ADMIT_DRAINING;
	if (g_hash_table_size(admit->tasks) >= admit->config.max_tasks)
		return GN_ADMIT_TASKS;
	return check_resources(admit, &task->needs);
}

gn_admit_reason_t gn_admit_start_task(gn_admit_t *admit,
				      const gn_admit_task_t *task)
{
	gn_admit_reason_t reason = check_task(admit, task);

	if (reason == GN_ADMIT_ADMITTED && add_task(admit, task) != GN_OK)
		reason = GN_ADMIT_NO_MEMORY;
	if (reason != GN_ADMIT_ADMITTED)
		admit->refused[reason]++;
	return reason;
}

gn_code_t gn_admit_end_task(gn_admit_t *admit, gn_str_t id)
{
	task_t *task = find_task(admit, id);

	if (!task)
		return GN_ERR_NOT_FOUND;
	remove_task(admit, task);
	return GN_OK;
}

/* ======   Creation and queries   ====== */

void gn_admit_info(const gn_admit_t *admit, gn_admit_info_t *info)
{
	*info = (gn_admit_info_t){
		.listed = admit->listed,
		.draining = admit->draining,
		.requests = admit->requests,
		.earlier_requests = admit->foreign,
		.tasks = g_hash_table_size(admit->tasks),
		.task_use = admit->task_use,
		.sessions = admit->opened.length,
		.remembered = gn_fence_size(admit->fence),
	};
	for (int i = 0; i < GN_ADMIT_REASON_COUNT; i++)
		info->refused[i] = admit->refused[i];
}

static bool is_config_valid(const gn_admit_config_t *config)
{
	return config->incarnation && config->max_tasks &&
	       config->max_tasks <= MAX_CONCURRENT && config->max_connections &&
	       config->max_connections <= MAX_CONCURRENT &&
	       config->reserve.cores_milli <= config->host.cores_milli &&
	       config->reserve.memory_mb <= config->host.memory_mb &&
	       config->reserve.accelerators <= config->host.accelerators;
}

static int destroy_admit(gn_admit_t *admit)
{
	g_hash_table_destroy(admit->sessions);
	g_hash_table_destroy(admit->tasks);
	return 0;
}

gn_admit_t *gn_admit_create(TALLOC_CTX *parent, const gn_admit_config_t *config)
{
	gn_admit_t *admit;

	if (!is_config_valid(config))
		return NULL;
	admit = talloc_zero(parent, gn_admit_t);
	if (!admit)
		return NULL;
	admit->config = *config;
	admit->fence = gn_fence_create(admit, &config->fence);
	if (!admit->fence) {
		talloc_free(admit);
		return NULL;
	}
	admit->sessions = g_hash_table_new(g_int64_hash, g_int64_equal);
	admit->tasks = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&admit->opened);
	talloc_set_destructor(admit, destroy_admit);
	return admit;
}
