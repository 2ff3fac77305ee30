/**
 * @file pick.h
 * @brief Load balancing: selects the worker of a request by one of several
 * policies.
 *
 * A selected worker is never down, draining, ejected, at its request limit
 * or already tried. If such a worker exists, one is selected. No I/O.
 */
#ifndef GN_ROUTE_PICK_H
#define GN_ROUTE_PICK_H

#include <glib.h>

#include "route/view.h"

/** Maximum number of workers that one request is sent to. */
#define GN_ROUTE_ATTEMPTS_MAX 4

/**
 * The workers that a request was already sent to. A zeroed struct is the empty
 * set.
 */
typedef struct gn_route_tried_s {
	/** Worker IDs, as in gn_route_info_t.id. */
	uint64_t ids[GN_ROUTE_ATTEMPTS_MAX];
	unsigned count; /**< Number of valid IDs, 0..GN_ROUTE_ATTEMPTS_MAX. */
} gn_route_tried_t;

/** Result of a selection. */
typedef struct gn_route_choice_s {
	gn_route_worker_t *worker;
	/** Estimated response time at the worker's present load. */
	uint64_t response_us;
	/** Estimated response time if the worker were idle. */
	uint64_t idle_response_us;
} gn_route_choice_t;

/** A load-balancing policy; see gn_route_policies. */
typedef struct gn_route_policy_s {
	const char *name;
	/**
	 * Selects a worker or returns NULL. Parameters as in gn_route_pick().
	 */
	gn_route_worker_t *(*pick)(const gn_route_view_t *view,
				   gn_str_t service, GRand *rand,
				   const gn_route_tried_t *tried);
} gn_route_policy_t;

/** Index of a policy in gn_route_policies. */
typedef enum gn_route_policy_id_e {
	/**
	 * Power of two choices: draws two workers from the entry's own data
	 * centre and two from the others, and selects the one with the lowest
	 * estimated cost. The own data centre wins ties.
	 */
	GN_ROUTE_TWO_CHOICES = 0,
	GN_ROUTE_RANDOM,
	GN_ROUTE_ROUND_ROBIN,
	/** Scans all workers, so its cost is linear in their number. */
	GN_ROUTE_LEAST_REPORTED,
	GN_ROUTE_POLICY_COUNT
} gn_route_policy_id_t;

/** All policies; the product uses GN_ROUTE_TWO_CHOICES. */
extern const gn_route_policy_t gn_route_policies[GN_ROUTE_POLICY_COUNT];

/**
 * Selects a worker of @p service. Doesn't count the dispatch; see
 * gn_route_view_begin_dispatch().
 * @param rand random source, seeded by the caller
 * @param tried workers to exclude, or NULL
 * @param choice set on GN_OK
 * @return GN_OK; GN_ERR_NOT_FOUND: the service is unknown; GN_ERR_CAPACITY: all
 *         workers that are up are full; GN_ERR_UNAVAILABLE: no worker is up, or
 *         all were tried
 */
gn_code_t gn_route_pick(const gn_route_policy_t *policy,
			const gn_route_view_t *view, gn_str_t service,
			GRand *rand, const gn_route_tried_t *tried,
			gn_route_choice_t *choice);

/**
 * Adds @p worker to @p tried, which must hold fewer than GN_ROUTE_ATTEMPTS_MAX
 * workers.
 */
void gn_route_tried_add(gn_route_tried_t *tried,
			const gn_route_worker_t *worker);

/** Whether @p worker is in @p tried, which may be NULL. */
bool gn_route_tried_contains(const gn_route_tried_t *tried,
			     const gn_route_worker_t *worker);

/** Returns the estimated response time of @p worker if it were idle. */
uint64_t gn_route_worker_idle_response_us(const gn_route_worker_t *worker);

/**
 * Returns the estimated response time of a request that is sent to @p worker
 * now.
 */
uint64_t gn_route_worker_response_us(const gn_route_worker_t *worker,
				     uint64_t now_us);

#endif
