/**
 * @file backend_tasks.h
 * @brief The tasks of the backend server's stand-in, each under a lease.
 *
 * GET  /v1/tasks                {"tasks":[...], "running_requests",
 *                               "incarnation"}
 * POST /v1/tasks/ID/start       {epoch, backend, lease_until_us, spec, kind,
 *                               checkpoint, cores, memory_mb, accelerators}
 * POST /v1/tasks/ID/lease       {epoch, lease_until_us}
 * POST /v1/tasks/ID/checkpoint  {epoch}: stops it, keeps its progress
 * POST /v1/tasks/ID/throttle    {epoch, speed_pct}
 * POST /v1/tasks/ID/stop        {epoch}: also fences an epoch not started
 * POST /v1/tasks/ID/forget      {epoch}
 * GET  /v1/tasks/journal        lines "start ID EPOCH MS KIND", "done ID ..."
 *
 * States: running, done, failed, checkpointed, stopped. A task whose lease
 * lapses stops by itself; times are those of CLOCK_BOOTTIME. An order of a
 * lower epoch gets 409, a start of an epoch that was started or fenced too, and
 * one whose "backend" is another incarnation.
 * The spec is the run time in milliseconds as decimal text in base64; 0 runs
 * until it is stopped, "fail" fails at once.
 */
#ifndef GN_TESTS_BACKEND_TASKS_H
#define GN_TESTS_BACKEND_TASKS_H

#include <stdbool.h>
#include <stddef.h>

typedef struct backend_tasks_s backend_tasks_t;

/** Creates the tasks of a backend server that calls itself @p incarnation. */
backend_tasks_t *backend_tasks_create(const char *incarnation);
void backend_tasks_free(backend_tasks_t *tasks);

/** Whether a task is running. */
int backend_tasks_count_running(backend_tasks_t *tasks);

/** Whether it answers throttle orders by 501. */
void backend_tasks_set_throttling_unsupported(backend_tasks_t *tasks,
					      bool unthrottled);

/** The speeds of all running tasks of @p kind together, per cent. */
unsigned backend_tasks_total_speed_pct(backend_tasks_t *tasks,
				       const char *kind);

/** Handles one call; returns the answer's text, from malloc(). */
char *backend_tasks_handle(backend_tasks_t *tasks, const char *method,
			   const char *url, const char *body, size_t len,
			   int running_requests, unsigned *status);

#endif
