/**
 * @file backend_tasks.h
 * @brief The tasks of the backend server's stand-in, each under a lease.
 *
 * GET  /v1/tasks                 {"tasks":[{id, epoch, state, checkpoint}]}
 * POST /v1/tasks/ID/start        {epoch, lease_ms, run_ms, checkpoint}
 * POST /v1/tasks/ID/lease        {epoch, lease_ms}
 * POST /v1/tasks/ID/checkpoint   {epoch}: stops it, keeps its progress
 * POST /v1/tasks/ID/stop         {epoch}
 * POST /v1/tasks/ID/forget       {epoch}
 * GET  /v1/tasks/journal         lines "start ID EPOCH MS", "stop ID ..."
 *
 * States: running, done, checkpointed, stopped. A task whose lease lapses
 * stops by itself. An order of a lower epoch gets 409.
 */
#ifndef GN_TESTS_BACKEND_TASKS_H
#define GN_TESTS_BACKEND_TASKS_H

#include <stddef.h>

typedef struct backend_tasks_s backend_tasks_t;

backend_tasks_t *backend_tasks_create(void);
void backend_tasks_free(backend_tasks_t *tasks);

/** Handles one call; returns the answer's text, from malloc(). */
char *backend_tasks_handle(backend_tasks_t *tasks, const char *method,
			   const char *url, const char *body, size_t len,
			   unsigned *status);

#endif
