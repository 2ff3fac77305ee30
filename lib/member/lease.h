/**
 * @file lease.h
 * @brief Lease of this process, and the key that shows the process is alive.
 *
 * Grants a lease, creates a key bound to it, and renews the lease. The key is
 * created exactly once: an observer that sees it deleted knows that the
 * process will not come back under that key. Times are counted from the
 * sending of a call, so that a process that was paused never considers its
 * lease valid for longer than the platform's key-value service does.
 */
#ifndef GN_MEMBER_LEASE_H
#define GN_MEMBER_LEASE_H

#include <glib.h>
#include <talloc.h>

#include "common/clock.h"
#include "platform/kv.h"

/** Minimum time to live of a lease, in milliseconds. */
#define GN_LEASE_TTL_MIN_MS 1000
/** Maximum time to live of a lease, in milliseconds. */
#define GN_LEASE_TTL_MAX_MS 60000

/** State of a lease. */
typedef enum gn_lease_state_e {
	GN_LEASE_GRANTING = 0,
	GN_LEASE_CREATING, /**< The lease is granted; its key does not exist. */
	GN_LEASE_HELD,
	GN_LEASE_REVOKING, /**< The lease is being revoked. */
	/** Final state: the key has been deleted or will be. */
	GN_LEASE_LOST
} gn_lease_state_t;

/** Called after a grant or renewal that was sent at @p sent_us succeeds. */
typedef void (*gn_lease_renewed_t)(void *context, uint64_t sent_us);

/** Options of a lease; all objects pointed to must outlive the lease. */
typedef struct gn_lease_options_s {
	gn_kv_t *kv;
	const gn_clock_t *clock;
	GRand *rand;
	const char *key; /**< Copied; no other process may ever write it. */
	gn_str_t value; /**< Initial value of the key; copied. */
	/** GN_LEASE_TTL_MIN_MS..GN_LEASE_TTL_MAX_MS. */
	uint32_t ttl_ms;
	gn_lease_renewed_t on_renewed; /**< May be NULL. */
	void *context; /**< Passed to on_renewed. */
} gn_lease_options_t;

typedef struct gn_lease_s gn_lease_t;

/**
 * Creates a lease that is requested on the first tick.
 * @return NULL if out of memory or an option is out of range
 */
gn_lease_t *gn_lease_create(TALLOC_CTX *parent,
			    const gn_lease_options_t *options);

/** Frees the lease without revoking it, so that it expires. */
void gn_lease_free(gn_lease_t *lease);

/** Starts the call that is due; call it several times a second. */
void gn_lease_tick(gn_lease_t *lease);

/**
 * Revokes the lease on the following ticks. The state is GN_LEASE_LOST once
 * the key-value service has confirmed it.
 */
void gn_lease_revoke(gn_lease_t *lease);

/**
 * Sends one revocation without waiting for the answer, and sets the state to
 * GN_LEASE_LOST at once.
 */
void gn_lease_abandon(gn_lease_t *lease);

gn_lease_state_t gn_lease_state(const gn_lease_t *lease);

/** Returns the key-value service's ID of the lease; 0 before it is granted. */
uint64_t gn_lease_id(const gn_lease_t *lease);

#endif
