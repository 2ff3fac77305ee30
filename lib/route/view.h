/**
 * @file view.h
 * @brief An entry's view of the workers: their identity, their load reports and
 * the entry's own dispatches in flight.
 *
 * The workers of a service are kept in two pools: those in the entry's own data
 * centre and all others. Each pool keeps its ready workers at the front of an
 * array, so selecting a worker takes constant time whatever the number of
 * workers. Not thread-safe: call from the control thread only. No I/O.
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
 * A worker in the view. The pointer stays valid until the worker is removed and
 * its last dispatch has ended.
 */
typedef struct gn_route_worker_s gn_route_worker_t;

/** Health of a worker, judged by the results of its dispatches. */
typedef enum gn_route_health_e {
	/** The worker gets requests without a limit of its own. */
	GN_ROUTE_PASSING = 0,
	/** The worker gets no requests until its ejection ends. */
	GN_ROUTE_EJECTED,
	/** The worker gets single probe requests with pauses between them. */
	GN_ROUTE_PROBATION,
	/** The worker gets requests up to a limit that doubles at intervals. */
	GN_ROUTE_RECOVERING,
	GN_ROUTE_HEALTH_COUNT
} gn_route_health_t;

/** Properties that a worker announced. */
typedef struct gn_route_spec_s {
	gn_str_t name; /**< Unique worker name, 1..GN_NAME_MAX bytes. */
	gn_str_t service; /**< Service name, 1..GN_NAME_MAX bytes. */
	gn_str_t data_centre; /**< Data centre name, 1..GN_NAME_MAX bytes. */
	/**
	 * Maximum number of concurrent requests, 1..4096; the request limit.
	 */
	unsigned max_connections;
	/** Number of cores, 1..4096; 0: same as max_connections. */
	unsigned cores;
	/** One-way network delay between entry and worker, 0..10 s. */
	uint32_t one_way_us;
	/** Identifies the link to the caller; not interpreted here. */
	uint64_t handle;
	/** Incarnation of the worker's agent; only compared here. */
	uint64_t incarnation;
} gn_route_spec_t;

/** A load report of a worker. */
typedef struct gn_route_report_s {
	unsigned running_requests; /**< Running requests, from all entries. */
	/**
	 * Smoothed time that a request takes at the backend server; 0: unknown.
	 */
	uint32_t service_time_us;
	bool draining;
	bool backend_up;
	uint64_t received_us; /**< Time of receipt on the clock of the view. */
} gn_route_report_t;

/** State of a worker in the view. */
typedef struct gn_route_info_s {
	gn_str_t name;
	gn_str_t service;
	gn_str_t data_centre;
	uint64_t id; /**< Unique in this view and never reused. */
	uint64_t handle;
	uint64_t incarnation;
	unsigned max_connections;
	unsigned in_flight; /**< Dispatches of this entry in flight. */
	/** Running requests in the last load report. */
	unsigned reported_requests;
	uint32_t service_time_us;
	bool link_up;
	bool backend_up;
	bool draining;
	bool ready; /**< True if the worker may be selected. */
	gn_route_health_t health;
} gn_route_info_t;

/** Totals over the workers of a service. */
typedef struct gn_route_totals_s {
	unsigned workers;
	unsigned ready; /**< Number of workers that may be selected. */
	/** Number of workers that are up but at their request limit. */
	unsigned full;
	unsigned ejected;
	unsigned in_flight; /**< Dispatches of this entry in flight. */
} gn_route_totals_t;

/* ======   Commands   ====== */

/**
 * Creates an empty view for an entry in @p data_centre (1..GN_NAME_MAX bytes).
 * @return NULL if out of memory
 */
gn_route_view_t *gn_route_view_create(TALLOC_CTX *parent,
				      const gn_clock_t *clock,
				      gn_str_t data_centre);

/**
 * Adds the worker named @p spec->name or updates it. A new incarnation discards
 * the load reports of the old one; dispatches in flight remain counted. Marks
 * the link to the worker as up.
 * @param worker set on success; may be NULL
 * @return GN_OK, GN_ERR_RANGE or GN_ERR_MEMORY
 */
gn_code_t gn_route_view_put(gn_route_view_t *view, const gn_route_spec_t *spec,
			    gn_route_worker_t **worker);

/**
 * Removes a worker. It is freed when its last dispatch has ended.
 * @return GN_OK or GN_ERR_NOT_FOUND
 */
gn_code_t gn_route_view_remove(gn_route_view_t *view, gn_str_t name);

/** Sets whether the link to the worker's agent is up. */
void gn_route_view_set_link(gn_route_view_t *view, gn_route_worker_t *worker,
			    bool up);

/** Updates the one-way delay to @p worker; values above 10 s are clamped. */
void gn_route_view_set_one_way(gn_route_worker_t *worker, uint32_t one_way_us);

/** Applies a load report. A report older than the last one is ignored. */
void gn_route_view_report(gn_route_view_t *view, gn_route_worker_t *worker,
			  const gn_route_report_t *report);

/** Counts a dispatch to @p worker as in flight. */
void gn_route_view_begin_dispatch(gn_route_view_t *view,
				  gn_route_worker_t *worker);

/**
 * Ends a dispatch that gn_route_view_begin_dispatch() counted. Frees @p worker
 * if it was removed and this was its last dispatch.
 */
void gn_route_view_end_dispatch(gn_route_view_t *view,
				gn_route_worker_t *worker);

/**
 * Records that @p worker refused a request for lack of capacity. The worker
 * isn't selected again until its next report or until another dispatch of this
 * entry ends there. Call it after gn_route_view_end_dispatch() of the refused
 * dispatch, and only if the worker hasn't been removed.
 */
void gn_route_view_note_full(gn_route_view_t *view, gn_route_worker_t *worker);

/* ======   Queries   ====== */

/** Returns the worker named @p name, or NULL. */
gn_route_worker_t *gn_route_view_find(const gn_route_view_t *view,
				      gn_str_t name);

/**
 * Fills @p info with the state of @p worker. Its strings are valid as long as
 * the worker is.
 */
void gn_route_worker_info(const gn_route_worker_t *worker,
			  gn_route_info_t *info);

/** Fills @p totals for @p service; all zero if it is unknown. */
void gn_route_view_totals(const gn_route_view_t *view, gn_str_t service,
			  gn_route_totals_t *totals);

/** Callback of gn_route_view_foreach(), called once for each worker. */
typedef void (*gn_route_visit_t)(const gn_route_worker_t *worker, void *data);

/**
 * Calls @p visit for each worker, in unspecified order. The cost is linear in
 * the number of workers; meant for state dumps.
 */
void gn_route_view_foreach(const gn_route_view_t *view, gn_route_visit_t visit,
			   void *data);

/** Returns the name of @p health, such as "probation". It never changes. */
const char *gn_route_health_name(gn_route_health_t health);

#endif
