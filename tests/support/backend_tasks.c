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

typedef struct task_s {
	char *id;
	uint64_t epoch;
	const char *state;
	uint64_t lease_us; /**< when it lapses */
	uint64_t end_us; /**< when it would be done */
	uint64_t done_ms; /**< progress by its last checkpoint */
	uint64_t run_ms;
	uint64_t started_us;
} task_t;

struct backend_tasks_s {
	pthread_mutex_t lock;
	GHashTable *by_id;
	GString *journal;
	gn_clock_t clock;
};

static void free_task(gpointer data)
{
	task_t *task = data;

	g_free(task->id);
	g_free(task);
}

backend_tasks_t *backend_tasks_create(void)
{
	backend_tasks_t *tasks = g_new0(backend_tasks_t, 1);

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
	g_free(tasks);
}

static void note(backend_tasks_t *tasks, const char *what, const task_t *task,
		 uint64_t at_us)
{
	g_string_append_printf(tasks->journal, "%s %s %llu %llu\n", what,
			       task->id, (unsigned long long)task->epoch,
			       (unsigned long long)(at_us / GN_US_PER_MS));
}

static void end_task(backend_tasks_t *tasks, task_t *task, const char *state,
		     uint64_t at_us)
{
	task->state = state;
	task->done_ms += (at_us - task->started_us) / GN_US_PER_MS;
	note(tasks, state, task, at_us);
}

/* Ends what is done or whose lease has lapsed, at the time it happened. */
static void settle(backend_tasks_t *tasks, uint64_t now_us)
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

static uint64_t number(const json_t *json, const char *key)
{
	return (uint64_t)json_integer_value(json_object_get(json, key));
}

static void start(backend_tasks_t *tasks, task_t *task, const json_t *json,
		  uint64_t now_us)
{
	const char *checkpoint =
		json_string_value(json_object_get(json, "checkpoint"));
	uint64_t left_ms;

	task->epoch = number(json, "epoch");
	task->run_ms = number(json, "run_ms");
	task->done_ms = checkpoint ? strtoull(checkpoint, NULL, 10) : 0;
	left_ms =
		task->run_ms > task->done_ms ? task->run_ms - task->done_ms : 0;
	task->state = "running";
	task->started_us = now_us;
	task->lease_us = now_us + number(json, "lease_ms") * GN_US_PER_MS;
	task->end_us =
		task->run_ms ? now_us + left_ms * GN_US_PER_MS : UINT64_MAX;
	note(tasks, "start", task, now_us);
}

static unsigned apply(backend_tasks_t *tasks, const char *id, const char *verb,
		      const json_t *json, uint64_t now_us)
{
	task_t *task = g_hash_table_lookup(tasks->by_id, id);
	bool running = task && !strcmp(task->state, "running");

	if (task && number(json, "epoch") < task->epoch)
		return HTTP_CONFLICT;
	if (!strcmp(verb, "start")) {
		if (running)
			return HTTP_CONFLICT;
		if (!task) {
			task = g_new0(task_t, 1);
			task->id = g_strdup(id);
			g_hash_table_insert(tasks->by_id, task->id, task);
		}
		start(tasks, task, json, now_us);
		return HTTP_OK;
	}
	if (!task)
		return HTTP_NOT_FOUND;
	if (!strcmp(verb, "lease") && running) {
		task->epoch = number(json, "epoch");
		task->lease_us =
			now_us + number(json, "lease_ms") * GN_US_PER_MS;
	} else if (!strcmp(verb, "checkpoint") && running) {
		end_task(tasks, task, "checkpointed", now_us);
	} else if (!strcmp(verb, "stop") && running) {
		end_task(tasks, task, "stopped", now_us);
	} else if (!strcmp(verb, "forget") && !running) {
		g_hash_table_remove(tasks->by_id, id);
	} else {
		return HTTP_CONFLICT;
	}
	return HTTP_OK;
}

static char *list(const backend_tasks_t *tasks)
{
	json_t *rows = json_array();
	json_t *json = json_pack("{s:o}", "tasks", rows);
	GHashTableIter iter;
	gpointer value;
	char *text;

	g_hash_table_iter_init(&iter, tasks->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const task_t *task = value;
		char *checkpoint = g_strdup_printf(
			"%llu", (unsigned long long)task->done_ms);

		json_array_append_new(
			rows,
			json_pack("{s:s, s:I, s:s, s:s}", "id", task->id,
				  "epoch", (json_int_t)task->epoch, "state",
				  task->state, "checkpoint", checkpoint));
		g_free(checkpoint);
	}
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	return text;
}

static char *post(backend_tasks_t *tasks, const char *url, const char *body,
		  size_t len, unsigned *status, uint64_t now_us)
{
	gchar **parts = g_strsplit(url, "/", -1);
	json_t *json = json_loadb(body ? body : "", len, 0, NULL);

	*status = HTTP_BAD_REQUEST;
	if (json && g_strv_length(parts) == 5)
		*status = apply(tasks, parts[3], parts[4], json, now_us);
	json_decref(json);
	g_strfreev(parts);
	return strdup("{}");
}

char *backend_tasks_handle(backend_tasks_t *tasks, const char *method,
			   const char *url, const char *body, size_t len,
			   unsigned *status)
{
	uint64_t now_us = gn_clock_now_us(&tasks->clock);
	char *text;

	pthread_mutex_lock(&tasks->lock);
	settle(tasks, now_us);
	if (!strcmp(url, "/v1/tasks/journal"))
		text = strdup(tasks->journal->str);
	else if (!strcmp(method, "GET"))
		text = list(tasks);
	else
		text = post(tasks, url, body, len, status, now_us);
	pthread_mutex_unlock(&tasks->lock);
	return text;
}
