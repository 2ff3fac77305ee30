/**
 * @file worker_tasks.h
 * @brief The agent's state of batch and standing tasks on its worker.
 *
 * Tracks which tasks run on one worker, under which epoch and until when. It
 * does no I/O: its caller passes in orders and events of the backend server,
 * and gets actions for the backend server and reports for the owners.
 *
 * A run lease is counted from the time when the agent sent the poll that the
 * order answers. A delayed answer thus gives a shorter lease, or an expired
 * one.
 * The lease passed to the backend server is an absolute time of the host's
 * clock, which both use, and is shorter by a margin: a task stops even if the
 * agent has died or is suspended.
 *
 * These are refused and counted: orders with a lower owner's epoch than the
 * highest seen for the bucket, or with a lower claim than the highest seen for
 * the task; answers to polls older than the newest answered one, or sent before
 * the agent restarted; start orders whose run promise has expired on
 * arrival.
 */
#ifndef GN_BATCH_WORKER_TASKS_H
#define GN_BATCH_WORKER_TASKS_H

#include "batch/report.h"

/** Speed of a run that is not throttled, percent. */
#define GN_SPEED_FULL_PCT 100

/** Parameters of an agent's runs. */
typedef struct gn_worker_tasks_params_s {
	/** The lease of the backend server ends earlier by this. */
	uint64_t lease_margin_us;
	uint64_t drift_us; /**< Subtracted from each run promise, 0..1 s. */
	/**
	 * How long a run is remembered after its end was stored; not shorter
	 * than a run promise.
	 */
	uint64_t forget_us;
} gn_worker_tasks_params_t;

/** The agent's admission check: whether the worker has room for a task. */
typedef struct gn_worker_tasks_gate_s {
	bool (*admit)(void *context, const gn_task_t *task);
	void *context;
} gn_worker_tasks_gate_t;

/** Kinds of actions for the backend server. */
typedef enum gn_action_kind_e {
	/** Start once per claim, unless the lease expired. */
	GN_ACTION_START = 0,
	GN_ACTION_LEASE, /**< Extend the lease to lease_until_us. */
	GN_ACTION_CHECKPOINT, /**< Checkpoint, then stop. */
	GN_ACTION_STOP, /**< Stop, and refuse a start of it that comes late. */
	GN_ACTION_FORGET, /**< Drop an ended run; no start of it can follow. */
	GN_ACTION_THROTTLE, /**< Run at speed_pct of the full speed. */
	GN_ACTION_KIND_COUNT
} gn_action_kind_t;

/** One action; the caller frees it with talloc_free(). */
typedef struct gn_action_s {
	gn_action_kind_t kind;
	uint64_t id;
	uint64_t epoch;
	uint64_t lease_until_us; /**< START and LEASE: agent's clock. */
	/** START: only this incarnation starts it; 0: any. */
	uint64_t backend;
	const char *task_kind; /**< START; the action owns all its strings. */
	/** START: reference to resume from, or empty. */
	const char *checkpoint;
	gn_str_t spec; /**< Set for START only. */
	unsigned cores;
	unsigned memory_mb;
	unsigned accelerators;
	gn_class_t work_class; /**< Set for START only. */
	unsigned speed_pct; /**< THROTTLE: 1..100. */
} gn_action_t;

/** A run in the list of the backend server. */
typedef struct gn_backend_run_s {
	uint64_t id;
	uint64_t epoch;
	gn_run_state_t state;
	uint64_t lease_until_us; /**< End of the backend server's lease. */
	uint32_t result_code;
	const char *checkpoint; /**< Checkpoint reference, or NULL. */
	const char *kind; /**< 1..GN_NAME_MAX bytes. */
	unsigned cores;
	unsigned memory_mb;
	unsigned accelerators;
	gn_class_t work_class;
	unsigned speed_pct; /**< 1..100; 0: unknown. */
} gn_backend_run_t;

/** A run that uses resources of the worker. */
typedef struct gn_active_run_s {
	uint64_t id;
	const char *kind; /**< Valid until the next command. */
	gn_class_t work_class;
	bool confirmed; /**< The backend server reported that it runs. */
	uint64_t confirmed_us; /**< Time of the first such report. */
	bool ending; /**< A stop or checkpoint was requested. */
	unsigned speed_pct; /**< Last requested speed, 1..100; 0: unknown. */
} gn_active_run_t;

/** Resources that running tasks use, and counters. */
typedef struct gn_worker_tasks_stats_s {
	unsigned running;
	unsigned cores;
	unsigned memory_mb;
	unsigned accelerators;
	uint64_t starts;
	uint64_t expiries; /**< Runs stopped because the lease expired. */
	uint64_t refused_epoch; /**< Orders with a lower epoch or claim. */
	/** Orders that expired or answer an old poll. */
	uint64_t refused_late;
	uint64_t refused_admission; /**< Starts refused for lack of capacity. */
} gn_worker_tasks_stats_t;

typedef struct gn_worker_tasks_s gn_worker_tasks_t;

/**
 * Creates the state of an agent that has not got the backend server's list yet;
 * NULL if out of memory.
 */
gn_worker_tasks_t *
gn_worker_tasks_create(TALLOC_CTX *parent,
		       const gn_worker_tasks_params_t *params,
		       gn_worker_tasks_gate_t gate, const gn_clock_t *clock);

/* ======   Commands   ====== */

/**
 * Processes the backend server's list of runs. Until the first list, no poll is
 * sent and no start is accepted. Later lists show which runs ended or were
 * lost; request one periodically and whenever the backend server has restarted.
 * @param asked_us when this agent requested the list, on its clock
 * @return GN_OK, GN_ERR_STALE (requested before the newest list received, or
 *         before this agent was created), GN_ERR_MEMORY
 */
gn_code_t gn_worker_tasks_on_list(gn_worker_tasks_t *tasks, uint64_t asked_us,
				  const gn_backend_run_t *runs, size_t count);

/**
 * Sets the incarnation of the backend server; call it before passing in a list.
 * Start actions carry the incarnation, so that a backend server that restarted
 * since then refuses a delayed or duplicate start; and the next list shows
 * which runs of an earlier incarnation are lost.
 * @param incarnation not 0
 * @param asked_us when this agent requested that list, on its clock
 * @return GN_OK, GN_ERR_STALE (see gn_worker_tasks_on_list())
 */
gn_code_t gn_worker_tasks_set_backend(gn_worker_tasks_t *tasks,
				      uint64_t incarnation, uint64_t asked_us);

/**
 * Processes the backend server's report of the state of a run; GN_RUN_RUNNING
 * confirms a start.
 * @return GN_OK, GN_ERR_STALE (no such active run under that claim),
 *         GN_ERR_RANGE (checkpoint too long), GN_ERR_MEMORY
 */
gn_code_t gn_worker_tasks_on_event(gn_worker_tasks_t *tasks, uint64_t id,
				   uint64_t epoch, gn_run_state_t state,
				   uint32_t result_code, gn_str_t checkpoint);

/**
 * Begins a poll.
 * @return the time to send with the poll, strictly increasing; 0 until the
 *         first list of the backend server has been processed
 */
uint64_t gn_worker_tasks_begin_poll(gn_worker_tasks_t *tasks);

/**
 * Processes the orders of a bucket's owner that answer the poll of @p sent_us.
 * @param owner_epoch epoch of the bucket's owner, also given without orders
 * @return GN_OK, GN_ERR_STALE (lower epoch, older poll, or a poll sent before
 *         this agent was created), GN_ERR_MEMORY
 */
gn_code_t gn_worker_tasks_on_orders(gn_worker_tasks_t *tasks, unsigned bucket,
				    uint32_t owner_epoch, uint64_t sent_us,
				    const gn_batch_order_msg_t *orders,
				    size_t count);

/** Stops runs whose lease expired; call it about every 100 ms. */
void gn_worker_tasks_tick(gn_worker_tasks_t *tasks);

/** Enters or leaves draining: all runs are checkpointed, starts refused. */
void gn_worker_tasks_set_draining(gn_worker_tasks_t *tasks, bool draining);

/**
 * Requests that the backend server run a task at the given speed; does nothing
 * if that speed was requested last.
 * @param speed_pct percent of the full speed, 1..100
 * @return GN_OK, GN_ERR_RANGE, GN_ERR_MEMORY, GN_ERR_STALE (the run is not
 *         active, not confirmed, or already ending)
 */
gn_code_t gn_worker_tasks_set_speed(gn_worker_tasks_t *tasks, uint64_t id,
				    unsigned speed_pct);

/** Sets the recorded speed of a run after a throttle failed; 0: unknown. */
void gn_worker_tasks_set_known_speed(gn_worker_tasks_t *tasks, uint64_t id,
				     unsigned speed_pct);

/**
 * Evicts one run from this worker; its owner queues the task again.
 * @param kind GN_ACTION_CHECKPOINT, or GN_ACTION_STOP if no checkpoint came
 * @return GN_OK, GN_ERR_STALE (the run is not active)
 */
gn_code_t gn_worker_tasks_evict(gn_worker_tasks_t *tasks, uint64_t id,
				gn_action_kind_t kind);

/** Returns the next action in order, owned by the caller, or NULL. */
gn_action_t *gn_worker_tasks_next_action(gn_worker_tasks_t *tasks);

/* ======   Queries   ====== */

/** Whether a list of the backend server has been processed. */
bool gn_worker_tasks_is_ready(const gn_worker_tasks_t *tasks);

/**
 * Lists the runs of @p bucket, or of all buckets if UINT_MAX, for a poll.
 * @param reports set to an array under @p parent; its strings are valid until
 *        the next command
 * @return GN_OK, GN_ERR_MEMORY
 */
gn_code_t gn_worker_tasks_list_reports(const gn_worker_tasks_t *tasks,
				       unsigned bucket, TALLOC_CTX *parent,
				       gn_batch_report_t **reports,
				       size_t *count);

/**
 * Lists the kinds of the active runs, one entry per run.
 * @return the number of kinds written to @p kinds
 */
size_t gn_worker_tasks_list_kinds(const gn_worker_tasks_t *tasks,
				  const char **kinds, size_t size);

/** Calls @p visit for each run that is not forgotten; for dumps. */
void gn_worker_tasks_foreach(const gn_worker_tasks_t *tasks,
			     void (*visit)(uint64_t id, uint64_t epoch,
					   gn_run_state_t state,
					   uint64_t lease_until_us, void *data),
			     void *data);

/** Calls @p visit for each active run. */
void gn_worker_tasks_foreach_active(const gn_worker_tasks_t *tasks,
				    void (*visit)(const gn_active_run_t *run,
						  void *data),
				    void *data);

const gn_worker_tasks_stats_t *
gn_worker_tasks_stats(const gn_worker_tasks_t *tasks);

#endif
