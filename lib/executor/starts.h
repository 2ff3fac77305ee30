/**
 * @file starts.h
 * @brief Start calls that the worker may still carry out.
 *
 * A call without an answer may be carried out later, also by the next life of
 * the worker under the same ID, which knows nothing of earlier runs. A run is
 * settled once no start call for it can be under way. The leader keeps the claim
 * of a run that is not (hold/hold.h).
 *
 * A process knows of the calls of an earlier process of its executor only that
 * they were sent before it began.
 */
#ifndef GN_EXECUTOR_STARTS_H
#define GN_EXECUTOR_STARTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#include "common/clock.h"
#include "wire/gypsumnotch.pb-c.h"

/** Maximum number of attempts with open calls in a report. */
#define GN_STARTS_REPORT_MAX 2000

typedef struct gn_starts_s gn_starts_t;

/**
 * Creates the record of a process that begins now; NULL if out of memory.
 * @param clock must outlive the record
 * @param late_us longest time after which a call without an answer is carried
 *        out
 */
gn_starts_t *gn_starts_create(TALLOC_CTX *parent, const gn_clock_t *clock,
			      uint64_t late_us);

/**
 * Records that a start is ordered.
 * @param first it has not been ordered before
 */
void gn_starts_record_order(gn_starts_t *starts, const char *task,
			    uint32_t attempt, bool first);
/** Records that a start call has been sent. */
void gn_starts_record_call(gn_starts_t *starts, const char *task,
			   uint32_t attempt);
/** Records that a start call was answered, or certainly not carried out. */
void gn_starts_record_answer(gn_starts_t *starts, const char *task,
			     uint32_t attempt);
/** Records that a start call has ended without an answer. */
void gn_starts_record_silence(gn_starts_t *starts, const char *task,
			      uint32_t attempt);
/** Records that the worker has confirmed the run. */
void gn_starts_record_run(gn_starts_t *starts, const char *task,
			  uint32_t attempt);
/**
 * Forgets which runs are confirmed, since the worker has a new life.
 * @param same_id it has the ID of the life before, so that it carries out calls
 *        for that one; otherwise it refuses them, and they are forgotten
 */
void gn_starts_begin_life(gn_starts_t *starts, bool same_id);

/** Whether the worker has confirmed the run in its present life, so that no call
 * is needed if the start is ordered again. */
bool gn_starts_is_confirmed(const gn_starts_t *starts, const char *task,
			    uint32_t attempt);

/** Whether no start call for this attempt can be under way. */
bool gn_starts_is_settled(const gn_starts_t *starts, const char *task,
			  uint32_t attempt);

/** Whether a start call of this process for the attempt can be under way. */
bool gn_starts_is_open(const gn_starts_t *starts, const char *task,
		       uint32_t attempt);

/**
 * Whether the attempt has certainly not begun, unless by a call that the worker
 * receives later: the executor was ordered to start it in this process first,
 * and each call was answered, none of them as carried out.
 */
bool gn_starts_never_began(const gn_starts_t *starts, const char *task,
			   uint32_t attempt);

/** Whether any start call of this process can be under way. */
bool gn_starts_are_open(const gn_starts_t *starts);

/** Returns the number of attempts with start calls of this process that can be
 * under way, among them those whose answer is still waited for. */
size_t gn_starts_count_open(const gn_starts_t *starts);

/** Returns the time for which a start call of an earlier process of the executor
 * can be under way; 0 if none can. */
uint64_t gn_starts_unknown_left_us(const gn_starts_t *starts);
/** Returns until when that is; 0 if no such call is possible. */
uint64_t gn_starts_unknown_until_us(const gn_starts_t *starts);

/**
 * Sets the fields of a report on start calls that can be under way. Beyond
 * GN_STARTS_REPORT_MAX attempts, the others count as calls of an earlier process.
 * @param parent talloc parent of the rows, whose names belong to @p starts: send
 *        the report before this changes
 */
void gn_starts_describe(const gn_starts_t *starts, TALLOC_CTX *parent,
			Gn__WorkerReport *report);

/** Forgets the calls that can no longer be carried out. */
void gn_starts_tick(gn_starts_t *starts);

#endif
