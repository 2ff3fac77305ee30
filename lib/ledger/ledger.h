/**
 * @file ledger.h
 * @brief Stores the leader's changes in sequential write batches.
 *
 * Each write batch is one transaction that requires the chain key to have the
 * revision written by the previous write batch, and replaces its value by a
 * marker unique to this write batch. Write batches thus take effect in order
 * and at most once each, and no write batch of a deposed leader takes effect. A
 * write batch without an answer is sent again unchanged: only one copy can take
 * effect, and the marker shows the writer that one did. Changes made while a
 * write batch is in flight go into the next one.
 */
#ifndef GN_LEDGER_LEDGER_H
#define GN_LEDGER_LEDGER_H

#include <glib.h>
#include <talloc.h>

#include "common/clock.h"
#include "platform/kv.h"
#include "sched/sched.h"

/** Prefix of the key of a job's specification as submitted. */
#define GN_LEDGER_SPEC_PREFIX "gn/jobs/"
/** Prefix of the key of a job's state. */
#define GN_LEDGER_STATE_PREFIX "gn/states/"
/** Key of the learned interference between pairs of images. */
#define GN_LEDGER_LEARNED_KEY "gn/learned"

typedef struct gn_ledger_s gn_ledger_t;

/** Callbacks to the owner of a ledger. */
typedef struct gn_ledger_ops_s {
	/** A write batch of @p writes that was sent at @p sent_us is stored. */
	void (*stored)(void *arg, uint64_t sent_us, size_t writes);
	/** Another process wrote the chain key: this one does not lead. */
	void (*superseded)(void *arg);
} gn_ledger_ops_t;

/** Parameters of a ledger; everything pointed to must outlive it. */
typedef struct gn_ledger_options_s {
	gn_kv_t *kv;
	const gn_clock_t *clock;
	GRand *rand;
	gn_sched_t *sched;
	uint64_t epoch; /**< Revision of the chain key at the election. */
	uint64_t incarnation; /**< Incarnation of this process, for markers. */
	const gn_ledger_ops_t *ops;
	void *arg;
} gn_ledger_options_t;

/** Creates a ledger without a write batch; NULL if out of memory. */
gn_ledger_t *gn_ledger_create(TALLOC_CTX *parent,
			      const gn_ledger_options_t *options);

/** Cancels the write batch in flight and frees the ledger. */
void gn_ledger_free(gn_ledger_t *ledger);

/** Sends the next write batch if none is in flight and there are changes. */
void gn_ledger_send_next(gn_ledger_t *ledger);

/** Whether all changes are stored. */
bool gn_ledger_is_idle(const gn_ledger_t *ledger);

/**
 * Returns the age of the current write batch, microseconds; 0 if there is none.
 */
uint64_t gn_ledger_batch_age_us(const gn_ledger_t *ledger);

#endif
