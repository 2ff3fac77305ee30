/**
 * @file backend_tasks.h
 * @brief Tasks of the stand-in for a backend server, each under a lease.
 *
 * GET  /v1/tasks                {"tasks":[...], "running_requests",
 *                               "incarnation"}
 * POST /v1/tasks/ID/start       {epoch, backend, lease_until_us, spec, kind,
 *                               checkpoint, cores, memory_mb, accelerators}
 * POST /v1/tasks/ID/lease       {epoch, lease_until_us}
 * POST /v1/tasks/ID/checkpoint  {epoch}: stops it and keeps its progress
 * POST /v1/tasks/ID/throttle    {epoch, speed_pct}
 * POST /v1/tasks/ID/stop        {epoch}: also fences an epoch not started
 * POST /v1/tasks/ID/forget      {epoch}
 * GET  /v1/tasks/journal        lines "start ID EPOCH MS KIND", "done ID ..."
 *
 * States: running, done, failed, checkpointed, stopped. A task stops by itself
 * when its lease ends. Times are those of CLOCK_BOOTTIME. An action of a lower
 * epoch is answered with 409. So is a start of an epoch that was started or
 * fenced before, and one whose "backend" is another incarnation.
 *
 * The spec is the run time in milliseconds as decimal text in base64; 0 runs
 * until it is stopped, "fail" fails at once.
 */
#ifndef GN_TESTS_BACKEND_TASKS_H
#define GN_TESTS_BACKEND_TASKS_H

#include <stdbool.h>
#include <stddef.h>

typedef struct backend_tasks_s backend_tasks_t;

/** Creates the tasks of a backend server with the given @p incarnation. */
backend_tasks_t *backend_tasks_create(const char *incarnation);
/** Frees the tasks. */
void backend_tasks_free(backend_tasks_t *tasks);

/** Returns the number of running tasks. */
int backend_tasks_count_running(backend_tasks_t *tasks);

/** Sets whether throttle actions are answered with 501. */
void backend_tasks_set_throttling_unsupported(backend_tasks_t *tasks,
					      bool unthrottled);

/** Returns the sum of the speeds of all running tasks of @p kind, per cent. */
unsigned backend_tasks_total_speed_pct(backend_tasks_t *tasks,
				       const char *kind);

/**
 * Handles one HTTP request.
 * @param status 200 on input; set to the HTTP status of the answer
 * @return the body of the answer; free with free()
 */
char *backend_tasks_handle(backend_tasks_t *tasks, const char *method,
			   const char *url, const char *body, size_t len,
			   int running_requests, unsigned *status);

#endif
