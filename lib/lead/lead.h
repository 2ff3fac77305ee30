/**
 * @file lead.h
 * @brief Which scheduler leads: one key of the store, bound to a lease.
 *
 * Every scheduler holds a lease and a key that shows it is there. The leader
 * also holds the leader's key, bound to the same lease. Taking it writes the
 * chain key in the same transaction (see ledger/ledger.h), so that no write of
 * an earlier leader can take effect any more; the revision of that transaction
 * is the leader's epoch, and rises from leader to leader.
 */
#ifndef GN_LEAD_LEAD_H
#define GN_LEAD_LEAD_H

#include <glib.h>
#include <talloc.h>

#include "common/clock.h"
#include "platform/kv.h"

/** The key that every write of the leader is chained to. */
#define GN_LEAD_CHAIN_KEY "gn/chain"
/** The keys bound to leases. */
#define GN_LEAD_LIVE_PREFIX "gn/live/"

typedef struct gn_lead_s gn_lead_t;

/** What its owner is told; not from within a call. */
typedef struct gn_lead_ops_s {
	/** This process leads, under @p epoch, the revision of the chain key. */
	void (*elected)(void *arg, uint64_t epoch);
	/** It leads no more; @p why is static text. */
	void (*deposed)(void *arg, const char *why);
} gn_lead_ops_t;

/** What is pointed to must outlive the rest. */
typedef struct gn_lead_options_s {
	gn_kv_t *kv;
	const gn_clock_t *clock;
	GRand *rand;
	uint64_t incarnation;
	const char *address; /**< of its link, for executors and schedulers */
	unsigned ttl_ms; /**< of the lease */
	/** Leaves a free key to others for so long: a weak host leads last. */
	unsigned handicap_ms;
	const gn_lead_ops_t *ops;
	void *arg;
} gn_lead_options_t;

/** Creates one that starts with the first tick; NULL: memory, bounds. */
gn_lead_t *gn_lead_create(TALLOC_CTX *parent, const gn_lead_options_t *options);

/** Starts the calls that are due; some times a second. */
void gn_lead_tick(gn_lead_t *lead);

bool gn_lead_is_leader(const gn_lead_t *lead);

/** The leader's address as last heard, this process's too; NULL: none. */
const char *gn_lead_address(const gn_lead_t *lead);

/** Counts a write as a proof of leadership, sent at @p sent_us. */
void gn_lead_confirm(gn_lead_t *lead, uint64_t sent_us);

/** When the newest call that proved leadership was sent. */
uint64_t gn_lead_confirmed_us(const gn_lead_t *lead);

/** When the store last answered a watch; 0: never. */
uint64_t gn_lead_heard_us(const gn_lead_t *lead);

/** Gives up leadership and its place for good, without a word to the ops. */
void gn_lead_resign(gn_lead_t *lead);

/** Has this process lost leadership to what a write has met. */
void gn_lead_depose(gn_lead_t *lead, const char *why);

#endif
