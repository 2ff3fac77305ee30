/**
 * @file worker_tasks_internal.h
 * @brief What the parts of the worker tasks module share.
 */
#ifndef GN_BATCH_WORKER_TASKS_INTERNAL_H
#define GN_BATCH_WORKER_TASKS_INTERNAL_H

#include "batch/mutant.h"
#include "batch/worker_tasks.h"

/** A run on the worker, from the accepted start until it is forgotten. */
typedef struct gn_run_s {
	uint64_t id;
	uint64_t epoch; /**< of the newest order */
	gn_run_state_t state;
	bool confirmed; /**< the backend server has said it runs */
	uint64_t confirmed_us; /**< when it first said so */
	bool ending; /**< told to stop or to checkpoint */
	uint64_t stop_us; /**< when it was last told to stop, 0 if never */
	uint64_t lease_until_us; /**< agent's clock */
	uint32_t result_code;
	const char *checkpoint;
	const char *kind;
	unsigned cores;
	unsigned memory_mb;
	unsigned accelerators;
	gn_class_t work_class;
	unsigned speed_pct; /**< last told, 0: unknown */
	uint64_t forgotten_us; /**< when its end was stored, 0 if not yet */
	bool dropped; /**< the backend server was told to forget it */
} gn_run_t;

/** What a bucket's owners have shown. */
typedef struct gn_run_fence_s {
	unsigned bucket;
	uint32_t owner_epoch; /**< the highest */
	uint64_t answered_us; /**< the newest poll that was answered */
} gn_run_fence_t;

struct gn_worker_tasks_s {
	gn_worker_tasks_params_t params;
	gn_worker_tasks_gate_t gate;
	const gn_clock_t *clock;
	bool ready;
	uint64_t backend; /**< incarnation of the backend server, 0: unknown */
	bool draining;
	uint64_t created_us;
	uint64_t polled_us; /**< of the newest poll */
	uint64_t listed_us; /**< when the newest list was asked for */
	GHashTable *runs; /**< id -> gn_run_t, forgotten ones included */
	GHashTable *fences; /**< bucket -> gn_run_fence_t */
	GQueue actions; /**< of gn_action_t */
	gn_worker_tasks_stats_t stats;
};

/** Whether @p run takes up room on the worker. */
bool gn_run_is_active(const gn_run_t *run);

/** Queues an action on @p run; NULL if memory is short. */
gn_action_t *gn_run_act(gn_worker_tasks_t *tasks, gn_action_kind_t kind,
			const gn_run_t *run);

/** Tells the backend server to end @p run; a stop is repeated each second. */
void gn_run_end(gn_worker_tasks_t *tasks, gn_run_t *run, gn_action_kind_t kind);

/** Records that @p run ended. */
void gn_run_set_ended(gn_worker_tasks_t *tasks, gn_run_t *run,
		      gn_run_state_t state);

/** Counts what @p run uses, or gives it back. */
void gn_run_use(gn_worker_tasks_t *tasks, const gn_run_t *run);

#endif
