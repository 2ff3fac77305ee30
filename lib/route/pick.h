/**
 * @file pick.h
 * @brief Choosing the worker of a request, by one of several policies.
 *
 * A pick never returns a worker that is down, draining, ejected, full or
 * already tried, and finds one if there is one. No I/O.
 */
#ifndef GN_ROUTE_PICK_H
#define GN_ROUTE_PICK_H

#include <glib.h>

#include "route/view.h"

/** Most workers that one request is tried at. */
#define GN_ROUTE_TRIES_MAX 4

/** The workers that a request was tried at; a zeroed one is empty. */
typedef struct gn_route_tried_s {
	uint64_t ids[GN_ROUTE_TRIES_MAX]; /**< gn_route_info_t.id */
	unsigned count; /**< 0..GN_ROUTE_TRIES_MAX */
} gn_route_tried_t;

/** What a pick found. */
typedef struct gn_route_choice_s {
	gn_route_worker_t *worker;
	uint64_t wait_us; /**< estimated time to the answer */
	uint64_t idle_us; /**< the same if the worker were idle */
} gn_route_choice_t;

/** A policy; see gn_route_policies. */
typedef struct gn_route_policy_s {
	const char *name;
	/** Chooses a worker, or NULL. Parameters as in gn_route_pick(). */
	gn_route_worker_t *(*pick)(const gn_route_view_t *view,
				   gn_str_t service, GRand *rand,
				   const gn_route_tried_t *tried);
} gn_route_policy_t;

/** Index into gn_route_policies. */
typedef enum gn_route_policy_id_e {
	/** Lower estimated wait of two; the own data centre first. */
	GN_ROUTE_TWO_CHOICES = 0,
	GN_ROUTE_RANDOM,
	GN_ROUTE_ROUND_ROBIN,
	GN_ROUTE_LEAST_REPORTED, /**< its cost grows with the fleet */
	GN_ROUTE_POLICY_COUNT
} gn_route_policy_id_t;

/** The policies; the product uses GN_ROUTE_TWO_CHOICES. */
extern const gn_route_policy_t gn_route_policies[GN_ROUTE_POLICY_COUNT];

/**
 * Chooses a worker of @p service. Counts nothing: see gn_route_view_begin().
 * @param rand seeded by the caller
 * @param tried workers to leave out, or NULL
 * @param choice set on GN_OK
 * @return GN_OK; GN_ERR_NOT_FOUND (no such service); GN_ERR_CAPACITY (all
 *         that are up are full); GN_ERR_UNAVAILABLE (none is up, or all were
 *         tried)
 */
gn_code_t gn_route_pick(const gn_route_policy_t *policy,
			const gn_route_view_t *view, gn_str_t service,
			GRand *rand, const gn_route_tried_t *tried,
			gn_route_choice_t *choice);

/** Adds @p worker to @p tried, which must have room. */
void gn_route_tried_add(gn_route_tried_t *tried,
			const gn_route_worker_t *worker);

/** Whether @p worker is in @p tried (which may be NULL). */
bool gn_route_tried_has(const gn_route_tried_t *tried,
			const gn_route_worker_t *worker);

/** Time to the answer of a request sent to @p worker if it were idle. */
uint64_t gn_route_worker_idle_us(const gn_route_worker_t *worker);

/** Estimated time from now to the answer of a request sent to @p worker. */
uint64_t gn_route_worker_wait_us(const gn_route_worker_t *worker,
				 uint64_t now_us);

#endif
