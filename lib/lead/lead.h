/**
 * @file lead.h
 * @brief Leader election among the schedulers by a key bound to a lease.
 *
 * Every scheduler holds a lease and a key that shows it is alive. The leader
 * also holds the leader key, bound to the same lease. The transaction that
 * creates the leader key also writes the chain key (see ledger/ledger.h), so
 * that no later write of an earlier leader can take effect. The revision of
 * that transaction is the leader's epoch, which rises with every election.
 */
#ifndef GN_LEAD_LEAD_H
#define GN_LEAD_LEAD_H

#include <glib.h>
#include <stdbool.h>
#include <talloc.h>

#include "common/clock.h"
#include "platform/kv.h"

/** Key whose revision is a precondition of every write of the leader. */
#define GN_LEAD_CHAIN_KEY "gn/chain"
/** Prefix of the keys that are bound to leases. */
#define GN_LEAD_LIVE_PREFIX "gn/live/"
/** Key that the leader holds. */
#define GN_LEAD_KEY GN_LEAD_LIVE_PREFIX "leader"

typedef struct gn_lead_s gn_lead_t;

/** Callbacks of an election. */
typedef struct gn_lead_ops_s {
	/**
	 * This process has become the leader.
	 * @param epoch revision of the chain key
	 */
	void (*elected)(void *arg, uint64_t epoch);
	/** This process is no longer the leader; @p why is static text. */
	void (*deposed)(void *arg, const char *why);
	/**
	 * The leader key has a value that names no leader, and is free for that
	 * reason; may be NULL.
	 */
	void (*malformed)(void *arg, const char *key);
} gn_lead_ops_t;

/**
 * Reads the address of the leader in the value of its key.
 * @param address buffer of GN_ADDRESS_MAX + 1 bytes
 * @return false if the value is malformed
 */
bool gn_lead_read_value(gn_str_t value, char *address);

/**
 * Reads the address in the value of a scheduler's own key, which shows that it
 * is alive. Arguments and result are as for gn_lead_read_value().
 */
bool gn_lead_read_presence(gn_str_t value, char *address);

/** Options; all objects pointed to must outlive the election. */
typedef struct gn_lead_options_s {
	gn_kv_t *kv;
	const gn_clock_t *clock;
	GRand *rand;
	uint64_t incarnation;
	/** Address of this process's link for executors and schedulers. */
	const char *address;
	unsigned ttl_ms; /**< Time to live of the lease. */
	/**
	 * Time for which the leader key must be absent before this process
	 * tries to create it. A delay on less suitable hosts lets the others
	 * lead first.
	 */
	unsigned candidacy_delay_ms;
	const gn_lead_ops_t *ops;
	void *arg; /**< Passed to the callbacks. */
} gn_lead_options_t;

/**
 * Creates an election that starts on the first tick.
 * @return NULL if out of memory or an option is out of range
 */
gn_lead_t *gn_lead_create(TALLOC_CTX *parent, const gn_lead_options_t *options);

/** Starts the calls that are due; call it several times a second. */
void gn_lead_tick(gn_lead_t *lead);

bool gn_lead_is_leader(const gn_lead_t *lead);

/**
 * Returns the last known address of the leader, which may be this process;
 * NULL if none is known.
 */
const char *gn_lead_address(const gn_lead_t *lead);

/**
 * Confirms leadership by a write of the leader that was sent at @p sent_us
 * and succeeded.
 */
void gn_lead_confirm(gn_lead_t *lead, uint64_t sent_us);

/** Returns when the last call that confirmed leadership was sent. There was no
 * other leader then, but there may be one at any time since. */
uint64_t gn_lead_confirmed_us(const gn_lead_t *lead);

/** Returns when the last successful renewal of the lease was sent. There can be
 * no other leader before its time to live has passed since then. */
uint64_t gn_lead_renewed_us(const gn_lead_t *lead);

/** Returns the time when the store last responded to a watch call; 0 if
 * never. */
uint64_t gn_lead_last_contact_us(const gn_lead_t *lead);

/**
 * Resigns leadership and leaves the election for good, without calling the
 * callbacks.
 */
void gn_lead_resign(gn_lead_t *lead);

/**
 * Ends this process's leadership because a write has shown that it is lost;
 * @p why is static text, passed to the deposed callback.
 */
void gn_lead_depose(gn_lead_t *lead, const char *why);

#endif
