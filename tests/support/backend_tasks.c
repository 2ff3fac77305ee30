#include "support/backend_tasks.h"

#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"

#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND 404
#define HTTP_CONFLICT 409
#define HTTP_NOT_IMPLEMENTED 501
#define PER_CENT 100

typedef struct task_s {
	char *id;
	char *kind;
	uint64_t epoch;
	const char *state;
	uint64_t lease_us; /**< End of the lease. */
	/** Run time at full speed; 0 runs until it is stopped. */
	uint64_t run_ms;
	uint64_t end_us; /**< Time when it will be done at its present speed. */
	uint64_t done_us; /**< Progress until since_us, at full speed. */
	uint64_t since_us; /**< Time of its start, throttling or end. */
	unsigned speed_pct;
	json_t *order; /**< Body of the start; owned. */
} task_t;

struct backend_tasks_s {
	char *incarnation;
	pthread_mutex_t lock;
	GHashTable *by_id;
	GString *journal;
	gn_clock_t clock;
	bool throttling_unsupported; /**< Throttling is answered with 501. */
};

static void free_task(gpointer data)
{
	task_t *task = data;

	json_decref(task->order);
	g_free(task->id);
	g_free(task->kind);
	g_free(task);
}

backend_tasks_t *backend_tasks_create(const char *incarnation)
{
	backend_tasks_t *tasks = g_new0(backend_tasks_t, 1);

	tasks->incarnation = g_strdup(incarnation);

	pthread_mutex_init(&tasks->lock, NULL);
	tasks->by_id =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_task);
	tasks->journal = g_string_new(NULL);
	gn_clock_init_boot(&tasks->clock);
	return tasks;
}

void backend_tasks_free(backend_tasks_t *tasks)
{
	g_hash_table_destroy(tasks->by_id);
	g_string_free(tasks->journal, TRUE);
	g_free(tasks->incarnation);
	g_free(tasks);
}

static void log_event(backend_tasks_t *tasks, const char *what,
		      const task_t *task, uint64_t at_us)
{
	g_string_append_printf(tasks->journal, "%s %s %llu %llu %s\n", what,
			       task->id, (unsigned long long)task->epoch,
			       (unsigned long long)(at_us / GN_US_PER_MS),
			       task->kind);
}

static uint64_t progress_us(const task_t *task, uint64_t at_us)
{
	return task->done_us +
	       (at_us - task->since_us) * task->speed_pct / PER_CENT;
}

static void add_progress(task_t *task, uint64_t at_us)
{
	task->done_us = progress_us(task, at_us);
	task->since_us = at_us;
}

static void set_end(task_t *task)
{
	uint64_t run_us = task->run_ms * GN_US_PER_MS;
	uint64_t left_us = run_us > task->done_us ? run_us - task->done_us : 0;

	task->end_us = task->run_ms ? task->since_us + left_us * PER_CENT /
							       task->speed_pct
				    : UINT64_MAX;
}

static void end_task(backend_tasks_t *tasks, task_t *task, const char *state,
		     uint64_t at_us)
{
	task->state = state;
	add_progress(task, at_us);
	log_event(tasks, state, task, at_us);
}

/* Ends tasks that are done or whose lease ended, as of the time it did. */
static void end_due_tasks(backend_tasks_t *tasks, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, tasks->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		task_t *task = value;

		if (strcmp(task->state, "running") != 0)
			continue;
		if (task->end_us <= now_us && task->end_us <= task->lease_us)
			end_task(tasks, task, "done", task->end_us);
		else if (task->lease_us <= now_us)
			end_task(tasks, task, "stopped", task->lease_us);
	}
}

static uint64_t get_number(const json_t *json, const char *key)
{
	return (uint64_t)json_integer_value(json_object_get(json, key));
}

static uint64_t get_run_ms(const json_t *json, bool *fails)
{
	const char *spec = json_string_value(json_object_get(json, "spec"));
	gsize len = 0;
	guchar *bytes = spec ? g_base64_decode(spec, &len) : NULL;
	char *text = g_strndup((const char *)bytes, len);
	uint64_t run_ms = strtoull(text, NULL, 10);

	*fails = !strcmp(text, "fail");
	g_free(text);
	g_free(bytes);
	return run_ms;
}

static void start_task(backend_tasks_t *tasks, task_t *task, json_t *json,
		       uint64_t now_us)
{
	const char *checkpoint =
		json_string_value(json_object_get(json, "checkpoint"));
	bool fails;

	task->run_ms = get_run_ms(json, &fails);
	json_decref(task->order);
	task->order = json_incref(json);
	g_free(task->kind);
	task->kind = g_strdup(json_string_value(json_object_get(json, "kind")));
	task->epoch = get_number(json, "epoch");
	task->done_us =
		checkpoint ? strtoull(checkpoint, NULL, 10) * GN_US_PER_MS : 0;
	task->state = "running";
	task->since_us = now_us;
	task->speed_pct = PER_CENT;
	task->lease_us = get_number(json, "lease_until_us");
	set_end(task);
	log_event(tasks, "start", task, now_us);
	if (fails)
		end_task(tasks, task, "failed", now_us);
}

static task_t *get_or_create_task(backend_tasks_t *tasks, const char *id)
{
	task_t *task = g_hash_table_lookup(tasks->by_id, id);

	if (task)
		return task;
	task = g_new0(task_t, 1);
	task->id = g_strdup(id);
	task->kind = g_strdup("none");
	task->state = "stopped";
	g_hash_table_insert(tasks->by_id, task->id, task);
	return task;
}

static unsigned apply_start(backend_tasks_t *tasks, const char *id,
			    json_t *json, uint64_t now_us)
{
	task_t *task = g_hash_table_lookup(tasks->by_id, id);

	if (task && (get_number(json, "epoch") <= task->epoch ||
		     !strcmp(task->state, "running")))
		return HTTP_CONFLICT;
	if (get_number(json, "lease_until_us") <= now_us)
		return HTTP_CONFLICT;
	if (g_strcmp0(json_string_value(json_object_get(json, "backend")),
		      tasks->incarnation) != 0)
		return HTTP_CONFLICT;
	start_task(tasks, get_or_create_task(tasks, id), json, now_us);
	return HTTP_OK;
}

static unsigned apply_throttle(const backend_tasks_t *tasks, task_t *task,
			       json_t *json, uint64_t now_us)
{
	uint64_t speed_pct = get_number(json, "speed_pct");

	if (tasks->throttling_unsupported)
		return HTTP_NOT_IMPLEMENTED;
	if (!speed_pct || speed_pct > PER_CENT)
		return HTTP_BAD_REQUEST;
	add_progress(task, now_us);
	task->speed_pct = (unsigned)speed_pct;
	set_end(task);
	return HTTP_OK;
}

static unsigned apply_action(backend_tasks_t *tasks, const char *id,
			     const char *verb, json_t *json, uint64_t now_us)
{
	task_t *task = g_hash_table_lookup(tasks->by_id, id);
	uint64_t epoch = get_number(json, "epoch");
	bool running = task && !strcmp(task->state, "running");

	if (!strcmp(verb, "start"))
		return apply_start(tasks, id, json, now_us);
	if (task && epoch < task->epoch)
		return HTTP_CONFLICT;
	if (!strcmp(verb, "stop")) {
		task = get_or_create_task(tasks, id);
		task->epoch = epoch;
		if (running)
			end_task(tasks, task, "stopped", now_us);
		return HTTP_OK;
	}
	if (!task)
		return HTTP_NOT_FOUND;
	if (!strcmp(verb, "lease") && running) {
		task->epoch = epoch;
		task->lease_us = get_number(json, "lease_until_us");
	} else if (!strcmp(verb, "throttle") && running) {
		return apply_throttle(tasks, task, json, now_us);
	} else if (!strcmp(verb, "checkpoint") && running) {
		end_task(tasks, task, "checkpointed", now_us);
	} else if (!strcmp(verb, "forget") && !running) {
		g_hash_table_remove(tasks->by_id, id);
	}
	return HTTP_OK;
}

static json_t *describe_task(const task_t *task)
{
	json_t *json = task->order ? json_copy(task->order) : json_object();
	uint64_t done_ms = task->done_us / GN_US_PER_MS;
	char done[sizeof("18446744073709551615")];

	snprintf(done, sizeof(done), "%llu", (unsigned long long)done_ms);
	json_object_del(json, "spec");
	json_object_set_new(json, "id", json_string(task->id));
	json_object_set_new(json, "kind", json_string(task->kind));
	json_object_set_new(json, "epoch",
			    json_integer((json_int_t)task->epoch));
	json_object_set_new(json, "state", json_string(task->state));
	json_object_set_new(json, "checkpoint",
			    json_string(done_ms ? done : ""));
	json_object_set_new(json, "lease_until_us",
			    json_integer((json_int_t)task->lease_us));
	json_object_set_new(json, "speed_pct", json_integer(task->speed_pct));
	return json;
}

/* Adds the present progress for benches; it isn't checkpointed. */
static void add_live_progress(json_t *row, const task_t *task, uint64_t now_us)
{
	uint64_t done_us = task->done_us;

	if (!strcmp(task->state, "running"))
		done_us = progress_us(task, now_us);
	json_object_set_new(row, "progress_ms",
			    json_integer((json_int_t)(done_us / GN_US_PER_MS)));
}

static char *list_tasks(const backend_tasks_t *tasks, int running_requests,
			uint64_t now_us)
{
	json_t *rows = json_array();
	json_t *json =
		json_pack("{s:o, s:i, s:s}", "tasks", rows, "running_requests",
			  running_requests, "incarnation", tasks->incarnation);
	GHashTableIter iter;
	gpointer value;
	char *text;

	g_hash_table_iter_init(&iter, tasks->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		json_t *row = describe_task(value);

		add_live_progress(row, value, now_us);
		json_array_append_new(rows, row);
	}
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	return text;
}

void backend_tasks_set_throttling_unsupported(backend_tasks_t *tasks,
					      bool unthrottled)
{
	pthread_mutex_lock(&tasks->lock);
	tasks->throttling_unsupported = unthrottled;
	pthread_mutex_unlock(&tasks->lock);
}

unsigned backend_tasks_total_speed_pct(backend_tasks_t *tasks, const char *kind)
{
	GHashTableIter iter;
	gpointer value;
	unsigned load_pct = 0;

	pthread_mutex_lock(&tasks->lock);
	end_due_tasks(tasks, gn_clock_now_us(&tasks->clock));
	g_hash_table_iter_init(&iter, tasks->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const task_t *task = value;

		if (!strcmp(task->state, "running") &&
		    !strcmp(task->kind, kind))
			load_pct += task->speed_pct;
	}
	pthread_mutex_unlock(&tasks->lock);
	return load_pct;
}

int backend_tasks_count_running(backend_tasks_t *tasks)
{
	GHashTableIter iter;
	gpointer value;
	int running = 0;

	pthread_mutex_lock(&tasks->lock);
	end_due_tasks(tasks, gn_clock_now_us(&tasks->clock));
	g_hash_table_iter_init(&iter, tasks->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		running += !strcmp(((task_t *)value)->state, "running");
	pthread_mutex_unlock(&tasks->lock);
	return running;
}

static char *handle_action(backend_tasks_t *tasks, const char *url,
			   const char *body, size_t len, unsigned *status,
			   uint64_t now_us)
{
	gchar **parts = g_strsplit(url, "/", -1);
	json_t *json = json_loadb(body ? body : "", len, 0, NULL);

	const task_t *task = NULL;
	char *text = NULL;

	*status = HTTP_BAD_REQUEST;
	if (json && g_strv_length(parts) == 5) {
		*status = apply_action(tasks, parts[3], parts[4], json, now_us);
		task = g_hash_table_lookup(tasks->by_id, parts[3]);
	}
	if (task) {
		json_t *answer = describe_task(task);

		text = json_dumps(answer, JSON_COMPACT);
		json_decref(answer);
	}
	json_decref(json);
	g_strfreev(parts);
	return text ? text : strdup("{}");
}

char *backend_tasks_handle(backend_tasks_t *tasks, const char *method,
			   const char *url, const char *body, size_t len,
			   int running_requests, unsigned *status)
{
	uint64_t now_us = gn_clock_now_us(&tasks->clock);
	char *text;

	pthread_mutex_lock(&tasks->lock);
	end_due_tasks(tasks, now_us);
	if (!strcmp(url, "/v1/tasks/journal"))
		text = strdup(tasks->journal->str);
	else if (!strcmp(method, "GET"))
		text = list_tasks(tasks, running_requests, now_us);
	else
		text = handle_action(tasks, url, body, len, status, now_us);
	pthread_mutex_unlock(&tasks->lock);
	return text;
}
