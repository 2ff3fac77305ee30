/**
 * @file lease.h
 * @brief The lease of this process and the key that shows it is alive.
 *
 * Grants a lease, creates the key bound to it, renews. The key is created once
 * and never again: who sees it gone knows that its process will not come back
 * under that key. Times count from the sending of a call, so that a holder
 * that was paused never believes in a lease longer than the service does.
 */
#ifndef GN_MEMBER_LEASE_H
#define GN_MEMBER_LEASE_H

#include <glib.h>
#include <talloc.h>

#include "common/clock.h"
#include "platform/kv.h"

/** Bounds of the time to live, milliseconds. */
#define GN_LEASE_TTL_MIN_MS 1000
#define GN_LEASE_TTL_MAX_MS 60000

/** Where a lease stands. */
typedef enum gn_lease_state_e {
	GN_LEASE_GRANTING = 0,
	GN_LEASE_CREATING, /**< the lease is there, its key is not yet */
	GN_LEASE_HELD,
	GN_LEASE_ENDING, /**< being revoked */
	GN_LEASE_LOST /**< for good; the key is gone or will be */
} gn_lease_state_t;

/** Told when a grant or a renewal that was sent at @p sent_us worked. */
typedef void (*gn_lease_renewed_t)(void *context, uint64_t sent_us);

/** What to hold; what is pointed to must outlive the lease. */
typedef struct gn_lease_options_s {
	gn_kv_t *kv;
	const gn_clock_t *clock;
	GRand *rand;
	const char *key; /**< copied; nobody else ever writes it */
	gn_str_t value; /**< of the key at first; copied */
	uint32_t ttl_ms; /**< GN_LEASE_TTL_MIN_MS..GN_LEASE_TTL_MAX_MS */
	gn_lease_renewed_t on_renewed; /**< may be NULL */
	void *context;
} gn_lease_options_t;

typedef struct gn_lease_s gn_lease_t;

/** Creates one that starts with the first tick; NULL: memory, bounds. */
gn_lease_t *gn_lease_create(TALLOC_CTX *parent,
			    const gn_lease_options_t *options);

/** Frees without a word to the service: the lease lapses there in time. */
void gn_lease_free(gn_lease_t *lease);

/** Starts the call that is due; to be called some times a second. */
void gn_lease_tick(gn_lease_t *lease);

/** Revokes the lease, by the next ticks; lost when the service has done so. */
void gn_lease_end(gn_lease_t *lease);

/** Sends one revocation, waits for no answer, and counts as lost. */
void gn_lease_abandon(gn_lease_t *lease);

gn_lease_state_t gn_lease_state(const gn_lease_t *lease);

/** The service's number of the lease; 0 before it is granted. */
uint64_t gn_lease_id(const gn_lease_t *lease);

#endif
