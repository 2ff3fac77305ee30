/**
 * @file worker_tasks.h
 * @brief The agent's side of batch and standing tasks.
 *
 * Holds what runs on one worker, under which epoch and until when. It does no
 * I/O: orders and the backend server's events come in, actions for the backend
 * server and reports for the owners go out.
 *
 * A run lease counts from when the agent sent the poll that the order answers,
 * so an answer that was held up arrives shorter, or lapsed. The lease passed
 * on to the backend server is an absolute time of the host's clock, which both
 * share, and shorter by a margin: the worker stops by itself when its agent is
 * dead or frozen.
 *
 * Refused, and counted: orders of a lower owner's epoch than the bucket has
 * shown, of a lower claim than the task has shown, answers to older polls than
 * the newest answered one, answers to polls of an earlier life of the agent,
 * and promises that have lapsed on arrival.
 */
#ifndef GN_BATCH_WORKER_TASKS_H
#define GN_BATCH_WORKER_TASKS_H

#include "batch/report.h"

/** Speed of a run that is not throttled, per cent. */
#define GN_SPEED_FULL_PCT 100

/** How runs are kept. */
typedef struct gn_worker_tasks_params_s {
	uint64_t lease_margin_us; /**< the worker's lease is shorter by this */
	uint64_t drift_us; /**< taken off each promise, 0..1 s */
	uint64_t forget_us; /**< ended runs stay known, a promise at least */
} gn_worker_tasks_params_t;

/** Whether the worker has room for a task; the agent's admission. */
typedef struct gn_worker_tasks_gate_s {
	bool (*admit)(void *context, const gn_task_t *task);
	void *context;
} gn_worker_tasks_gate_t;

/** What the backend server is to do. */
typedef enum gn_action_kind_e {
	GN_ACTION_START = 0, /**< start; once per claim, unless lease lapsed */
	GN_ACTION_LEASE, /**< the lease now runs until lease_until_us */
	GN_ACTION_CHECKPOINT, /**< checkpoint, then stop */
	GN_ACTION_STOP, /**< also fences an epoch that it has not started */
	GN_ACTION_FORGET, /**< drop an ended run; no start of it can come */
	GN_ACTION_THROTTLE, /**< run at speed_pct of its full speed */
	GN_ACTION_KIND_COUNT
} gn_action_kind_t;

/** One action; the caller frees it with talloc_free(). */
typedef struct gn_action_s {
	gn_action_kind_t kind;
	uint64_t id;
	uint64_t epoch;
	uint64_t lease_until_us; /**< agent's clock; for START and LEASE */
	uint64_t backend; /**< START: another incarnation refuses it; 0: any */
	const char *task_kind; /**< START: owned by the action, as the rest */
	const char
		*checkpoint; /**< START: reference to resume from, or empty */
	gn_str_t spec; /**< START */
	unsigned cores;
	unsigned memory_mb;
	unsigned accelerators;
	gn_class_t work_class; /**< START */
	unsigned speed_pct; /**< THROTTLE: 1..100 */
} gn_action_t;

/** A run as the backend server lists it. */
typedef struct gn_backend_run_s {
	uint64_t id;
	uint64_t epoch;
	gn_run_state_t state;
	uint64_t lease_until_us; /**< of the worker's own lease */
	uint32_t result_code;
	const char *checkpoint; /**< or NULL */
	const char *kind; /**< 1..GN_NAME_MAX bytes */
	unsigned cores;
	unsigned memory_mb;
	unsigned accelerators;
	gn_class_t work_class;
	unsigned speed_pct; /**< 1..100; 0: not told */
} gn_backend_run_t;

/** A run that takes up room on the worker. */
typedef struct gn_active_run_s {
	uint64_t id;
	const char *kind; /**< valid until a command */
	gn_class_t work_class;
	bool confirmed; /**< the backend server has said that it runs */
	uint64_t confirmed_us; /**< when it first said so */
	bool ending; /**< told to stop or to checkpoint */
	unsigned speed_pct; /**< last told, 1..100; 0: unknown */
} gn_active_run_t;

/** What running tasks use, and what was refused. */
typedef struct gn_worker_tasks_stats_s {
	unsigned running;
	unsigned cores;
	unsigned memory_mb;
	unsigned accelerators;
	uint64_t starts;
	uint64_t lapses; /**< stopped because the lease lapsed */
	uint64_t refused_epoch; /**< orders of a lower owner's epoch or claim */
	uint64_t refused_late; /**< lapsed on arrival, or an older poll's */
	uint64_t refused_admission;
} gn_worker_tasks_stats_t;

typedef struct gn_worker_tasks_s gn_worker_tasks_t;

/** Creates the state of an agent that knows nothing yet of its worker. */
gn_worker_tasks_t *
gn_worker_tasks_create(TALLOC_CTX *parent,
		       const gn_worker_tasks_params_t *params,
		       gn_worker_tasks_gate_t gate, const gn_clock_t *clock);

/* ======   Commands   ====== */

/**
 * Takes over the backend server's list. Until the first, no poll is sent and
 * nothing is admitted. Later lists tell which runs ended or were lost; ask for
 * one now and then, and whenever the backend server has restarted.
 * @param asked_us when this agent asked for the list, on its clock
 * @return GN_OK, GN_ERR_STALE (asked before the newest list that came, or in
 *         an earlier life), GN_ERR_MEMORY
 */
gn_code_t gn_worker_tasks_on_list(gn_worker_tasks_t *tasks, uint64_t asked_us,
				  const gn_backend_run_t *runs, size_t count);

/**
 * Tells the incarnation of the backend server, ahead of taking its list.
 * Starts name it, so that one that was held up, or sent twice, is refused by
 * a backend server that has restarted since; and the next list tells which
 * runs an earlier incarnation has lost.
 * @param incarnation not 0
 * @param asked_us when this agent asked for that list, on its clock
 * @return GN_OK, or GN_ERR_STALE as gn_worker_tasks_on_list()
 */
gn_code_t gn_worker_tasks_set_backend(gn_worker_tasks_t *tasks,
				      uint64_t incarnation, uint64_t asked_us);

/**
 * The backend server says how a run stands: GN_RUN_RUNNING confirms a start.
 * @return GN_OK, or GN_ERR_STALE if it is not of the run that is known
 */
gn_code_t gn_worker_tasks_on_event(gn_worker_tasks_t *tasks, uint64_t id,
				   uint64_t epoch, gn_run_state_t state,
				   uint32_t result_code, gn_str_t checkpoint);

/**
 * Begins a poll. @return the time to send with it, never the same twice; 0
 * while the backend server's list is awaited.
 */
uint64_t gn_worker_tasks_begin_poll(gn_worker_tasks_t *tasks);

/**
 * Takes the orders of a bucket's owner that answer the poll of @p sent_us.
 * @param owner_epoch of the bucket's owner, also with no orders
 * @return GN_OK, GN_ERR_STALE (lower epoch, older poll, earlier life),
 *         GN_ERR_MEMORY
 */
gn_code_t gn_worker_tasks_on_orders(gn_worker_tasks_t *tasks, unsigned bucket,
				    uint32_t owner_epoch, uint64_t sent_us,
				    const gn_batch_order_msg_t *orders,
				    size_t count);

/** Stops runs whose lease lapsed; call it each 100 ms or so. */
void gn_worker_tasks_tick(gn_worker_tasks_t *tasks);

/** Checkpoints and releases all runs and refuses starts, or ends that. */
void gn_worker_tasks_set_draining(gn_worker_tasks_t *tasks, bool draining);

/**
 * Tells the backend server to slow a run down, or to let it go on at full
 * speed; does nothing if that speed was told last.
 * @param speed_pct of its full speed, 1..100
 * @return GN_OK, GN_ERR_RANGE, GN_ERR_MEMORY, or GN_ERR_STALE if it does not
 *         run, is not confirmed or ends
 */
gn_code_t gn_worker_tasks_set_speed(gn_worker_tasks_t *tasks, uint64_t id,
				    unsigned speed_pct);

/** Notes at which speed a run goes after a throttle failed; 0: unknown. */
void gn_worker_tasks_note_speed(gn_worker_tasks_t *tasks, uint64_t id,
				unsigned speed_pct);

/**
 * Has one run leave this worker; its owner resumes it once.
 * @param kind GN_ACTION_CHECKPOINT, or GN_ACTION_STOP if that did not come
 * @return GN_OK, or GN_ERR_STALE if it does not run
 */
gn_code_t gn_worker_tasks_evict(gn_worker_tasks_t *tasks, uint64_t id,
				gn_action_kind_t kind);

/** The next action in order, owned by the caller, or NULL. */
gn_action_t *gn_worker_tasks_next_action(gn_worker_tasks_t *tasks);

/* ======   Queries   ====== */

bool gn_worker_tasks_is_ready(const gn_worker_tasks_t *tasks);

/**
 * The runs of @p bucket, or of all buckets if UINT_MAX, for a poll.
 * @param reports an array under @p parent; texts are valid until a command
 */
gn_code_t gn_worker_tasks_reports(const gn_worker_tasks_t *tasks,
				  unsigned bucket, TALLOC_CTX *parent,
				  gn_batch_report_t **reports, size_t *count);

/** The kinds that run, for the description of the worker; returns how many. */
size_t gn_worker_tasks_kinds(const gn_worker_tasks_t *tasks, const char **kinds,
			     size_t size);

/** Lists what is running now, with the time it must stop at; for dumps. */
void gn_worker_tasks_foreach(const gn_worker_tasks_t *tasks,
			     void (*visit)(uint64_t id, uint64_t epoch,
					   gn_run_state_t state,
					   uint64_t lease_until_us, void *data),
			     void *data);

/** Lists the runs that take up room now. */
void gn_worker_tasks_foreach_active(const gn_worker_tasks_t *tasks,
				    void (*visit)(const gn_active_run_t *run,
						  void *data),
				    void *data);

const gn_worker_tasks_stats_t *
gn_worker_tasks_stats(const gn_worker_tasks_t *tasks);

#endif
