/**
 * @file view.h
 * @brief An entry's view of the workers: who they are, what they reported,
 * what this entry has in flight at each.
 *
 * The workers of a service stand in two pools, those of the entry's own data
 * centre and the others. Each pool keeps the workers that may be picked in
 * front, so that a pick needs no search and costs the same in every fleet.
 * Control thread only; no I/O.
 */
#ifndef GN_ROUTE_VIEW_H
#define GN_ROUTE_VIEW_H

#include <stdbool.h>
#include <talloc.h>

#include "common/clock.h"
#include "common/str.h"

/** The view of one entry. */
typedef struct gn_route_view_s gn_route_view_t;

/**
 * A worker in the view. A pointer stays valid until the worker is removed and
 * its last dispatch has ended.
 */
typedef struct gn_route_worker_s gn_route_worker_t;

/** Whether requests may go to a worker, by what came back from it. */
typedef enum gn_route_health_e {
	GN_ROUTE_PASSING = 0, /**< takes its full share */
	GN_ROUTE_EJECTED, /**< takes nothing until its ejection ends */
	GN_ROUTE_PROBATION, /**< takes one request at a time, spaced */
	GN_ROUTE_RECOVERING, /**< takes a growing number */
	GN_ROUTE_HEALTH_COUNT
} gn_route_health_t;

/** What a worker announced. */
typedef struct gn_route_spec_s {
	gn_str_t name; /**< 1..GN_NAME_MAX bytes */
	gn_str_t service; /**< 1..GN_NAME_MAX bytes */
	gn_str_t data_centre; /**< 1..GN_NAME_MAX bytes */
	unsigned max_connections; /**< requests at once, 1..4096 */
	unsigned cores; /**< 1..4096; 0: as max_connections */
	uint32_t one_way_us; /**< delay between entry and worker, 0..10 s */
	uint64_t handle; /**< the link's; opaque here */
	uint64_t incarnation; /**< of the agent; opaque here */
} gn_route_spec_t;

/** A load report of a worker. */
typedef struct gn_route_report_s {
	unsigned running_requests; /**< of all entries */
	uint32_t service_time_us; /**< smoothed time of a request; 0 unknown */
	bool draining;
	bool backend_up;
	uint64_t received_us; /**< on the clock of the view */
} gn_route_report_t;

/** What the view knows of a worker. */
typedef struct gn_route_info_s {
	gn_str_t name;
	gn_str_t service;
	gn_str_t data_centre;
	uint64_t id; /**< unique in this view, never used again */
	uint64_t handle;
	uint64_t incarnation;
	unsigned max_connections;
	unsigned in_flight; /**< dispatches of this entry */
	unsigned reported; /**< running requests last reported */
	uint32_t service_time_us;
	bool link_up;
	bool backend_up;
	bool draining;
	bool ready; /**< may be picked */
	gn_route_health_t health;
} gn_route_info_t;

/** The sums over a service. */
typedef struct gn_route_totals_s {
	unsigned workers;
	unsigned ready; /**< may be picked */
	unsigned full; /**< up, but at their connections' limit */
	unsigned ejected;
	unsigned in_flight; /**< dispatches of this entry */
} gn_route_totals_t;

/* ======   Commands   ====== */

/**
 * Creates an empty view for an entry in @p data_centre (1..GN_NAME_MAX bytes).
 * @return NULL if memory is short
 */
gn_route_view_t *gn_route_view_create(TALLOC_CTX *parent,
				      const gn_clock_t *clock,
				      gn_str_t data_centre);

/**
 * Adds the worker called @p spec->name, or updates it. A new incarnation
 * forgets the reports of the old one; dispatches in flight stay counted.
 * The worker's link counts as up afterwards.
 * @param worker set on success; may be NULL
 * @return GN_OK, GN_ERR_RANGE, GN_ERR_MEMORY
 */
gn_code_t gn_route_view_put(gn_route_view_t *view, const gn_route_spec_t *spec,
			    gn_route_worker_t **worker);

/**
 * Takes a worker out. It is freed when its last dispatch has ended.
 * @return GN_OK or GN_ERR_NOT_FOUND
 */
gn_code_t gn_route_view_remove(gn_route_view_t *view, gn_str_t name);

/** Notes whether the link to the worker's agent works. */
void gn_route_view_set_link(gn_route_view_t *view, gn_route_worker_t *worker,
			    bool up);

/** States the delay to @p worker anew, 0..10 s; a longer one counts as 10 s. */
void gn_route_view_set_one_way(gn_route_worker_t *worker, uint32_t one_way_us);

/** Takes a load report; one older than the last is ignored. */
void gn_route_view_report(gn_route_view_t *view, gn_route_worker_t *worker,
			  const gn_route_report_t *report);

/** Counts a dispatch to @p worker. */
void gn_route_view_begin(gn_route_view_t *view, gn_route_worker_t *worker);

/** Uncounts a dispatch; @p worker may be freed by it if it was removed. */
void gn_route_view_end(gn_route_view_t *view, gn_route_worker_t *worker);

/**
 * Notes that @p worker refused for want of capacity. It isn't picked again
 * until a report comes or another dispatch of this entry ends there. Call it
 * after gn_route_view_end() of the refused dispatch, and only while the worker
 * is known to be there.
 */
void gn_route_view_note_full(gn_route_view_t *view, gn_route_worker_t *worker);

/* ======   Queries   ====== */

/** The worker called @p name, or NULL. */
gn_route_worker_t *gn_route_view_find(const gn_route_view_t *view,
				      gn_str_t name);

/** What is known of @p worker; the strings live as long as the worker. */
void gn_route_worker_info(const gn_route_worker_t *worker,
			  gn_route_info_t *info);

/** The sums over @p service; zeros if it is unknown. */
void gn_route_view_totals(const gn_route_view_t *view, gn_str_t service,
			  gn_route_totals_t *totals);

/** Called by gn_route_view_each() for each worker. */
typedef void (*gn_route_visit_t)(const gn_route_worker_t *worker, void *data);

/** Visits all workers, in no order; grows with the fleet: for dumps. */
void gn_route_view_each(const gn_route_view_t *view, gn_route_visit_t visit,
			void *data);

/** The stable name of @p health, such as "probation". */
const char *gn_route_health_name(gn_route_health_t health);

#endif
