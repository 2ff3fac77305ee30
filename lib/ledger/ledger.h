/**
 * @file ledger.h
 * @brief Stores the leader's changes, one batch after the other.
 *
 * Every batch is one transaction that expects the chain key at the revision
 * which the batch before gave it, and writes it anew with a mark of its own.
 * So batches take effect in order, at most once each, and none of a deposed
 * leader does. A batch without an answer is sent again as it was: either copy
 * takes effect, and the mark tells its writer so. Changes that come while a
 * batch is on its way go into the next.
 */
#ifndef GN_LEDGER_LEDGER_H
#define GN_LEDGER_LEDGER_H

#include <glib.h>
#include <talloc.h>

#include "common/clock.h"
#include "platform/kv.h"
#include "sched/sched.h"

/** Keys of a job: what was handed in, and what has become of it. */
#define GN_LEDGER_SPEC_PREFIX "gn/jobs/"
#define GN_LEDGER_STATE_PREFIX "gn/states/"
/** Key of what has been learned of pairs of images. */
#define GN_LEDGER_LEARNED_KEY "gn/learned"

typedef struct gn_ledger_s gn_ledger_t;

/** What its owner is told. */
typedef struct gn_ledger_ops_s {
	/** A batch is stored; it was sent at @p sent_us. */
	void (*stored)(void *arg, uint64_t sent_us, size_t writes);
	/** Another has written the chain key: this process does not lead. */
	void (*superseded)(void *arg);
} gn_ledger_ops_t;

/** What is pointed to must outlive the ledger. */
typedef struct gn_ledger_options_s {
	gn_kv_t *kv;
	const gn_clock_t *clock;
	GRand *rand;
	gn_sched_t *sched;
	uint64_t epoch; /**< revision of the chain key */
	uint64_t incarnation; /**< part of the marks */
	const gn_ledger_ops_t *ops;
	void *arg;
} gn_ledger_options_t;

/** Creates one without a batch; NULL: memory. */
gn_ledger_t *gn_ledger_create(TALLOC_CTX *parent,
			      const gn_ledger_options_t *options);

/** Cancels the batch on its way and frees. */
void gn_ledger_free(gn_ledger_t *ledger);

/** Sends the next batch if none is on its way and something is to be stored. */
void gn_ledger_kick(gn_ledger_t *ledger);

/** Whether all changes are stored. */
bool gn_ledger_is_idle(const gn_ledger_t *ledger);

/** How long the present batch has been on its way, microseconds. */
uint64_t gn_ledger_delay_us(const gn_ledger_t *ledger);

#endif
