/**
 * @file calls.h
 * @brief Start calls without an answer, by task and worker.
 *
 * Such a call may be carried out later, also by a later life of its worker under
 * the same ID, which knows nothing of the runs and stops before. So while calls
 * for a task are open, they are all for one attempt at one worker: a worker that
 * is called twice to start an attempt has one run of it. The task may start there
 * only, under the same number: in the life in which the calls were sent, or in one
 * that has outlived them. A call is outlived once a later life, which refuses it by
 * its fencing token, has listed without a run of the task. Where the attempt was
 * closed by a stop or has ended, the task waits until the calls are over.
 *
 * The record holds calls whatever became of the claim that they were for. It
 * does no I/O and reads no clock.
 */
#ifndef GN_HOLD_CALLS_H
#define GN_HOLD_CALLS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#include "job/life.h"

typedef struct gn_calls_s gn_calls_t;

/** An open call. */
typedef struct gn_call_s {
	const char *host; /**< Executor of the worker; interned. */
	/** Life in which it was sent, or the last that has outlived it; its ID is
	 * interned. */
	gn_life_t life;
	uint32_t attempt;
	uint64_t until_us; /**< It is not carried out later. */
	bool outlived;
	/** Start of the life in which the attempt cannot begin any more, as it has
	 * ended or was stopped there; 0 if there is none. */
	uint64_t closed_ms;
	/** It was in progress when it was last heard of, and may have had an
	 * answer. */
	bool pending;
	bool runs; /**< The last list has a run of the task. */
} gn_call_t;

/** Where a task may start. */
typedef enum gn_calls_place_e {
	GN_CALLS_ANYWHERE = 0,
	/** Only in one life of a worker, under the attempt number of the calls. */
	GN_CALLS_ONE_LIFE,
	GN_CALLS_NOWHERE
} gn_calls_place_t;

/** What a report of a host says of its open calls. */
typedef struct gn_calls_report_s {
	const char *host; /**< Interned. */
	gn_life_t life; /**< Present life; its ID is interned. */
	uint64_t now_us;
	bool process_gone; /**< The life has ended and nothing runs. */
	/** The present life refuses calls for former ones. */
	bool fenced;
	/** It has a list of runs that is not older than that. */
	bool listed;
	/** Whether a call is still open; NULL if the host may not know all. */
	bool (*is_open)(const void *arg, const char *task, uint32_t attempt);
	/** Whether the list has a run of the task. */
	bool (*has_run)(const void *arg, const char *task);
	const void *arg;
} gn_calls_report_t;

/** Creates an empty record; NULL if out of memory. */
gn_calls_t *gn_calls_create(TALLOC_CTX *parent);

/** Adds a call, or sets until when the same one is open and whether its task
 * runs. Of a known call, the life stays as it is. */
void gn_calls_note(gn_calls_t *calls, const char *task, const gn_call_t *call);

/** Notes that the attempt cannot begin any more in the given life. */
void gn_calls_close(gn_calls_t *calls, const char *task, const char *host,
		    uint32_t attempt, gn_life_t life);

/** Returns where the task may start. @p where receives the call that decides
 * it, unless that is anywhere. */
gn_calls_place_t gn_calls_get_place(const gn_calls_t *calls, const char *task,
				    gn_call_t *where);

/** Returns until when a call for the task is open that has ended without an answer,
 * for the present life or one after it; 0 if there is none.
 * @param host only for calls to this host; interned */
uint64_t gn_calls_silent_until_us(const gn_calls_t *calls, const char *task,
				  const char *host);
/** Returns until when a call is open that is not outlived, or in progress; 0 if
 * there is none. */
uint64_t gn_calls_open_until_us(const gn_calls_t *calls, const char *task,
				const char *host);

/** Updates the calls to a host. Returns whether tasks may start on more workers
 * since calls for former lives are over or outlived. */
bool gn_calls_handle_report(gn_calls_t *calls, const gn_calls_report_t *report);

/**
 * Drops the calls that cannot be carried out any more.
 * @param lease_max_us longest lease of a run that one may have begun
 */
void gn_calls_expire(gn_calls_t *calls, uint64_t now_us, uint64_t lease_max_us);

/** Returns the calls for the task, or NULL, and their number. */
const gn_call_t *gn_calls_get(const gn_calls_t *calls, const char *task,
			      size_t *count);

/** Returns the number of tasks with open calls. */
size_t gn_calls_count(const gn_calls_t *calls);

#endif
