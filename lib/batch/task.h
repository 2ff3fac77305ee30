/**
 * @file task.h
 * @brief The record of one batch or standing task.
 *
 * The bucket that holds a record changes it; this module defines the names,
 * bounds and invariants of records.
 */
#ifndef GN_BATCH_TASK_H
#define GN_BATCH_TASK_H

#include <stdbool.h>
#include <talloc.h>

#include "gypsumnotch.h"

/** Maximum size of the specification for the backend server, bytes. */
#define GN_TASK_SPEC_MAX (16 * 1024)
/** Maximum length of a checkpoint reference, bytes. */
#define GN_TASK_CHECKPOINT_MAX 255
/** Number of priorities; 0 is the most urgent. */
#define GN_TASK_PRIORITIES 4
/** A task that failed on this many different workers is parked. */
#define GN_TASK_FAILED_WORKERS_MAX 3
/** A task that failed this many times, on any workers, is parked. */
#define GN_TASK_ATTEMPTS_MAX 8
/** Maximum declared resources of a task. */
#define GN_TASK_CORES_MAX 4096
#define GN_TASK_MEMORY_MB_MAX (16 * 1024 * 1024)
#define GN_TASK_ACCELERATORS_MAX 256
/** Maximum declared run and checkpoint time, milliseconds (31 days). */
#define GN_TASK_RUN_MS_MAX (31ULL * 24 * 3600 * 1000)
/** Buffer size of a textual ID with its terminator, bytes. */
#define GN_TASK_ID_SIZE 24

/** State of a task. */
typedef enum gn_task_state_e {
	GN_TASK_QUEUED = 0, /**< Waits for a worker. */
	GN_TASK_CLAIMED, /**< Assigned to a worker that hasn't reported it. */
	GN_TASK_RUNNING, /**< Reported by its worker. */
	GN_TASK_CHECKPOINTED, /**< Released with a checkpoint, waits again. */
	GN_TASK_DONE, /**< Completed with a result. */
	GN_TASK_CANCELLED, /**< Will not be started any more. */
	GN_TASK_PARKED, /**< Failed too often and is not retried. */
	GN_TASK_STATE_COUNT
} gn_task_state_t;

/** Why a task is parked or was refused. */
typedef enum gn_task_reason_e {
	GN_TASK_REASON_NONE = 0,
	GN_TASK_REASON_NO_SERVICE, /**< No worker has the service. */
	GN_TASK_REASON_CORES, /**< Needs more cores than any worker has. */
	GN_TASK_REASON_MEMORY, /**< Needs more memory than any worker has. */
	GN_TASK_REASON_ACCELERATORS, /**< Needs more than any worker has. */
	GN_TASK_REASON_FAILED_WORKERS, /**< Failed on too many workers. */
	GN_TASK_REASON_ATTEMPTS, /**< Failed too many times. */
	GN_TASK_REASON_COUNT
} gn_task_reason_t;

/** A submitter's request for a task; it doesn't own its text and bytes. */
typedef struct gn_task_request_s {
	gn_class_t work_class; /**< GN_CLASS_BATCH or GN_CLASS_STANDING. */
	gn_str_t team; /**< 1..GN_NAME_MAX bytes. */
	gn_str_t kind; /**< 1..GN_NAME_MAX bytes. */
	gn_str_t service; /**< 1..GN_NAME_MAX bytes. */
	gn_str_t key; /**< Idempotency key, 0..GN_KEY_MAX bytes. */
	unsigned priority; /**< 0..GN_TASK_PRIORITIES - 1. */
	unsigned cores; /**< 0..GN_TASK_CORES_MAX. */
	unsigned memory_mb; /**< 0..GN_TASK_MEMORY_MB_MAX. */
	unsigned accelerators; /**< 0..GN_TASK_ACCELERATORS_MAX. */
	uint64_t run_ms; /**< Run time, 0 (unknown)..GN_TASK_RUN_MS_MAX. */
	uint64_t checkpoint_ms; /**< Time to checkpoint, 0 if unsupported. */
	gn_str_t spec; /**< 0..GN_TASK_SPEC_MAX bytes. */
} gn_task_request_t;

/** A task; it owns its strings, which are NUL-terminated. */
typedef struct gn_task_s {
	uint64_t id; /**< Bucket in the upper 16 bits, serial below. */
	gn_class_t work_class;
	gn_task_state_t state;
	const char *team;
	const char *kind;
	const char *service;
	const char *key; /**< Empty if none. */
	unsigned priority;
	unsigned cores;
	unsigned memory_mb;
	unsigned accelerators;
	uint64_t run_ms;
	uint64_t checkpoint_ms;
	gn_str_t spec;

	const char *worker; /**< Worker of the last claim, empty if none. */
	uint32_t claim; /**< Number of the last claim, 0 if never claimed. */
	const char *checkpoint; /**< Reference to resume from, or empty. */
	unsigned attempts; /**< Number of runs that failed or were lost. */
	const char *failed_workers[GN_TASK_FAILED_WORKERS_MAX];
	unsigned failed_worker_count;
	gn_task_reason_t reason;
	bool not_run; /**< Cancelled, and known never to have started. */
	bool lease_expired; /**< Queued again because its run lease expired. */
	uint32_t result_code; /**< Backend server's code of the last result. */

	uint64_t since_us; /**< Time of submission, or of the end if ended. */
	uint64_t not_before_us; /**< End of the retry backoff, 0 if none. */

	/* Kept by the owner in memory only, not stored. */
	uint64_t changed_seq; /**< Number of the last change of the task. */
	uint64_t claim_seq; /**< Number of the change that claimed it last. */
	/** Time of the last run promise, owner's clock. */
	uint64_t promised_us;
	bool ordered; /**< Its start may have been ordered by any owner. */
	uint64_t start_incarnation; /**< Agent that got the start, or 0. */
	bool reported; /**< The worker reported this claim. */
	bool missing; /**< The worker reported this claim but no longer does. */
	uint64_t claimed_us; /**< Time of the last claim, owner's clock. */
	uint64_t last_report_poll; /**< Number of the last poll with it. */
	bool quota_used; /**< Counted against the quota of its team. */
	void *group; /**< Position in the task queue, or NULL. */
} gn_task_t;

/** Returns the stable name of @p state, such as "queued". */
const char *gn_task_state_name(gn_task_state_t state);

/** Returns the stable name of @p reason, such as "too-many-cores". */
const char *gn_task_reason_name(gn_task_reason_t reason);

/** Whether a task in @p state has ended: done, cancelled or parked. */
bool gn_task_state_is_final(gn_task_state_t state);

/** Whether a task in @p state waits for a worker. */
bool gn_task_state_is_waiting(gn_task_state_t state);

/** Whether a task in @p state is held by a worker: claimed or running. */
bool gn_task_state_is_held(gn_task_state_t state);

/** Builds the ID of task number @p serial of @p bucket. */
uint64_t gn_task_id_make(unsigned bucket, uint64_t serial);

/** Returns the number of the bucket that holds the task @p id. */
unsigned gn_task_id_bucket(uint64_t id);

/** Writes @p id as text into @p text. */
void gn_task_id_format(uint64_t id, char text[GN_TASK_ID_SIZE]);

/**
 * Parses an ID in the format of gn_task_id_format().
 * @return GN_OK, GN_ERR_INVALID
 */
gn_code_t gn_task_id_parse(gn_str_t text, uint64_t *id);

/**
 * Checks @p request against the bounds above.
 * @return GN_OK, GN_ERR_RANGE
 */
gn_code_t gn_task_request_check(const gn_task_request_t *request);

/** Creates a queued task; NULL if out of memory. */
gn_task_t *gn_task_create(TALLOC_CTX *parent, uint64_t id,
			  const gn_task_request_t *request, uint64_t now_us);

/**
 * Replaces the string at @p field, which @p task owns, by a copy of @p text.
 * @return GN_OK, GN_ERR_MEMORY
 */
gn_code_t gn_task_set_text(gn_task_t *task, const char **field, gn_str_t text);

/**
 * Adds @p worker to the workers that the task failed on, unless it is there.
 * @return GN_OK, GN_ERR_MEMORY
 */
gn_code_t gn_task_add_failed_worker(gn_task_t *task, const char *worker);

/** Whether the task failed on @p worker before. */
bool gn_task_has_failed_on(const gn_task_t *task, const char *worker);

/** Asserts the invariants of a record. */
void gn_task_assert(const gn_task_t *task);

/** Builds an order's epoch: owner's epoch in the upper, claim in lower bits. */
uint64_t gn_task_epoch(uint32_t owner_epoch, uint32_t claim);

/** Returns the claim number in @p epoch. */
uint32_t gn_task_epoch_claim(uint64_t epoch);

/** Returns the owner's epoch in @p epoch. */
uint32_t gn_task_epoch_owner(uint64_t epoch);

#endif
