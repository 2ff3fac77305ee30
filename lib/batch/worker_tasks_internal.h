/**
 * @file worker_tasks_internal.h
 * @brief Internal types and functions of the worker tasks module.
 */
#ifndef GN_BATCH_WORKER_TASKS_INTERNAL_H
#define GN_BATCH_WORKER_TASKS_INTERNAL_H

#include "batch/mutant.h"
#include "batch/worker_tasks.h"

/** A run on the worker, from the accepted start until it is forgotten. */
typedef struct gn_run_s {
	uint64_t id;
	uint64_t epoch; /**< Epoch of the newest order. */
	gn_run_state_t state;
	uint64_t start_sent_us; /**< When its start was sent, 0 if queued. */
	bool confirmed; /**< The backend server reported that it runs. */
	uint64_t confirmed_us; /**< Time of the first such report. */
	bool ending; /**< A stop or checkpoint was requested. */
	uint64_t stop_us; /**< When a stop was last requested, 0 if never. */
	uint64_t lease_until_us; /**< Agent's clock. */
	uint32_t result_code;
	const char *checkpoint;
	const char *kind;
	unsigned cores;
	unsigned memory_mb;
	unsigned accelerators;
	gn_class_t work_class;
	unsigned speed_pct; /**< Last requested speed, 0: unknown. */
	uint64_t forgotten_us; /**< When told that its end is stored, or 0. */
	bool forget_queued; /**< A GN_ACTION_FORGET for it was queued. */
} gn_run_t;

/** Newest answer of a bucket's owners; older ones are refused. */
typedef struct gn_run_fence_s {
	unsigned bucket;
	uint32_t owner_epoch; /**< Highest owner's epoch seen. */
	uint64_t answered_us; /**< Sending time of newest answered poll. */
} gn_run_fence_t;

struct gn_worker_tasks_s {
	gn_worker_tasks_params_t params;
	gn_worker_tasks_gate_t gate;
	const gn_clock_t *clock;
	bool ready; /**< A list of the backend server has been processed. */
	uint64_t backend; /**< Incarnation of the backend server, 0: unknown. */
	bool draining;
	uint64_t created_us;
	uint64_t polled_us; /**< Sending time of the newest poll. */
	uint64_t listed_us; /**< When the newest list was requested. */
	/** Maps an ID to its gn_run_t, including forgotten ones. */
	GHashTable *runs;
	GHashTable *fences; /**< Maps a bucket to its gn_run_fence_t. */
	GQueue actions; /**< Queue of gn_action_t. */
	gn_worker_tasks_stats_t stats;
};

/** Whether @p run uses resources of the worker. */
bool gn_run_is_active(const gn_run_t *run);

/** Queues an action for @p run; returns NULL if out of memory. */
gn_action_t *gn_run_queue_action(gn_worker_tasks_t *tasks,
				 gn_action_kind_t kind, const gn_run_t *run);

/**
 * Queues a stop or checkpoint of @p run unless it was requested before. A stop
 * is queued again once a second, and also follows a checkpoint.
 */
void gn_run_request_end(gn_worker_tasks_t *tasks, gn_run_t *run,
			gn_action_kind_t kind);

/** Records that @p run ended. */
void gn_run_set_ended(gn_worker_tasks_t *tasks, gn_run_t *run,
		      gn_run_state_t state);

/** Adds the resources of @p run to those in use. */
void gn_run_add_usage(gn_worker_tasks_t *tasks, const gn_run_t *run);

#endif
