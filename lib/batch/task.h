/**
 * @file task.h
 * @brief The record of one batch or standing task.
 *
 * A record changes through the bucket that holds it; this module gives its
 * names, bounds and invariants.
 */
#ifndef GN_BATCH_TASK_H
#define GN_BATCH_TASK_H

#include <stdbool.h>
#include <talloc.h>

#include "gypsumnotch.h"

/** Longest specification handed to the backend server, bytes. */
#define GN_TASK_SPEC_MAX (16 * 1024)
/** Longest checkpoint reference, bytes. */
#define GN_TASK_CHECKPOINT_MAX 255
/** Priorities: 0 is the most urgent. */
#define GN_TASK_PRIORITIES 4
/** A task that failed on this many different workers is parked. */
#define GN_TASK_FAILED_WORKERS_MAX 3
/** A task that failed this often, wherever, is parked. */
#define GN_TASK_ATTEMPTS_MAX 8
/** Declared sizes of a task. */
#define GN_TASK_CORES_MAX 4096
#define GN_TASK_MEMORY_MB_MAX (16 * 1024 * 1024)
#define GN_TASK_ACCELERATORS_MAX 256
/** Declared run time and time to a checkpoint, milliseconds (31 days). */
#define GN_TASK_RUN_MS_MAX (31ULL * 24 * 3600 * 1000)
/** Longest textual id with its terminator, bytes. */
#define GN_TASK_ID_SIZE 24

/** Where a task stands. */
typedef enum gn_task_state_e {
	GN_TASK_QUEUED = 0, /**< waits for a worker */
	GN_TASK_CLAIMED, /**< given to a worker, not yet seen there */
	GN_TASK_RUNNING, /**< its worker reported it */
	GN_TASK_CHECKPOINTED, /**< released with a checkpoint, waits to resume */
	GN_TASK_DONE, /**< ended, with its result */
	GN_TASK_CANCELLED, /**< will not be started any more */
	GN_TASK_PARKED, /**< given up, with its reason */
	GN_TASK_STATE_COUNT
} gn_task_state_t;

/** Why a task is parked or was refused. */
typedef enum gn_task_reason_e {
	GN_TASK_REASON_NONE = 0,
	GN_TASK_REASON_NO_SERVICE, /**< no worker has the service */
	GN_TASK_REASON_CORES, /**< wants more cores than any worker has */
	GN_TASK_REASON_MEMORY, /**< wants more memory than any worker has */
	GN_TASK_REASON_ACCELERATORS, /**< wants more than any worker has */
	GN_TASK_REASON_FAILED_WORKERS, /**< failed on several workers */
	GN_TASK_REASON_ATTEMPTS, /**< failed too often */
	GN_TASK_REASON_COUNT
} gn_task_reason_t;

/** What a submitter states about a task; text and bytes are not owned. */
typedef struct gn_task_request_s {
	gn_class_t work_class; /**< GN_CLASS_BATCH or GN_CLASS_STANDING */
	gn_str_t team; /**< 1..GN_NAME_MAX bytes */
	gn_str_t kind; /**< 1..GN_NAME_MAX bytes */
	gn_str_t service; /**< 1..GN_NAME_MAX bytes */
	gn_str_t key; /**< idempotency key, 0..GN_KEY_MAX bytes */
	unsigned priority; /**< 0..GN_TASK_PRIORITIES - 1 */
	unsigned cores; /**< 0..GN_TASK_CORES_MAX */
	unsigned memory_mb; /**< 0..GN_TASK_MEMORY_MB_MAX */
	unsigned accelerators; /**< 0..GN_TASK_ACCELERATORS_MAX */
	uint64_t run_ms; /**< declared, 0 (unknown)..GN_TASK_RUN_MS_MAX */
	uint64_t checkpoint_ms; /**< time a checkpoint takes; 0: none */
	gn_str_t spec; /**< 0..GN_TASK_SPEC_MAX bytes */
} gn_task_request_t;

/** A task; text is terminated and owned by the record. */
typedef struct gn_task_s {
	uint64_t id; /**< bucket in the upper 16 bits, serial below */
	gn_class_t work_class;
	gn_task_state_t state;
	const char *team;
	const char *kind;
	const char *service;
	const char *key; /**< empty if none */
	unsigned priority;
	unsigned cores;
	unsigned memory_mb;
	unsigned accelerators;
	uint64_t run_ms;
	uint64_t checkpoint_ms;
	gn_str_t spec;

	const char *worker; /**< of the last claim; empty if never claimed */
	uint32_t claim; /**< number of the last claim, 0 if never claimed */
	const char *checkpoint; /**< reference to resume from, or empty */
	unsigned attempts; /**< runs that failed or were lost */
	const char *failed_workers[GN_TASK_FAILED_WORKERS_MAX];
	unsigned failed_worker_count;
	gn_task_reason_t reason;
	bool not_run; /**< cancelled, and proved never to have started */
	bool lapsed; /**< queued again because its run lease lapsed */
	uint32_t result_code; /**< of the backend server, when done */

	uint64_t since_us; /**< submitted, or ended if the task has ended */
	uint64_t not_before_us; /**< retry backoff; 0 if none */

	/* Known to the owner alone, not stored. */
	uint64_t changed_seq; /**< last change that must become durable */
	uint64_t claim_seq; /**< the change that made the last claim */
	uint64_t
		promised_us; /**< latest promise to the worker, owner's clock */
	bool ordered; /**< a start went out, or an earlier owner's claim */
	uint64_t start_incarnation; /**< agent it was ordered from, or 0 */
	bool seen; /**< the worker reported this claim */
	bool lost; /**< the worker reported it, and later no more */
	uint64_t claimed_us; /**< when the last claim was made, owner's clock */
	uint64_t listed; /**< number of the last poll that reported it */
	bool quota_used; /**< counted against its team */
	void *group; /**< where the order module holds it, or NULL */
} gn_task_t;

/** The stable name of @p state, such as "queued". */
const char *gn_task_state_name(gn_task_state_t state);

/** The stable name of @p reason, such as "too-many-cores". */
const char *gn_task_reason_name(gn_task_reason_t reason);

/** Whether a task in @p state is finished with: done, cancelled or parked. */
bool gn_task_state_is_final(gn_task_state_t state);

/** Whether a task in @p state waits for a worker. */
bool gn_task_state_is_waiting(gn_task_state_t state);

/** Whether a task in @p state holds a worker. */
bool gn_task_state_is_held(gn_task_state_t state);

/** The id of task number @p serial of @p bucket. */
uint64_t gn_task_id_make(unsigned bucket, uint64_t serial);

/** The bucket that holds the task @p id. */
unsigned gn_task_id_bucket(uint64_t id);

/** Writes @p id as text into @p text. */
void gn_task_id_format(uint64_t id, char text[GN_TASK_ID_SIZE]);

/** Parses what gn_task_id_format() wrote. GN_OK or GN_ERR_INVALID. */
gn_code_t gn_task_id_parse(gn_str_t text, uint64_t *id);

/** Checks @p request against the bounds above: GN_OK or GN_ERR_RANGE. */
gn_code_t gn_task_request_check(const gn_task_request_t *request);

/** Creates a queued task; NULL if memory is short. */
gn_task_t *gn_task_create(TALLOC_CTX *parent, uint64_t id,
			  const gn_task_request_t *request, uint64_t now_us);

/** Replaces the owned text at @p field by a copy of @p text. */
gn_code_t gn_task_set_text(gn_task_t *task, const char **field, gn_str_t text);

/** Notes that the task failed on @p worker; counts each worker once. */
gn_code_t gn_task_add_failed_worker(gn_task_t *task, const char *worker);

/** Whether the task failed on @p worker before. */
bool gn_task_has_failed_on(const gn_task_t *task, const char *worker);

/** Asserts what must hold of a record at any time. */
void gn_task_assert(const gn_task_t *task);

/** The epoch of an order: the owner's epoch above the task's claim. */
uint64_t gn_task_epoch(uint32_t owner_epoch, uint32_t claim);

/** The claim within @p epoch. */
uint32_t gn_task_epoch_claim(uint64_t epoch);

/** The owner's epoch within @p epoch. */
uint32_t gn_task_epoch_owner(uint64_t epoch);

#endif
