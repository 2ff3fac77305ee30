/**
 * @file view_internal.h
 * @brief Structures behind view.h, shared by the source files of lib/route.
 */
#ifndef GN_ROUTE_VIEW_INTERNAL_H
#define GN_ROUTE_VIEW_INTERNAL_H

#include <glib.h>

#include "route/tally.h"
#include "route/view.h"

/** Value of dispatch_limit for a worker without a dispatch limit. */
#define GN_ROUTE_NO_LIMIT UINT32_MAX

typedef struct gn_route_service_s gn_route_service_t;

/** The workers of a service in one zone, with the ready ones at the front. */
typedef struct gn_route_pool_s {
	/** Array with room for size workers; owned by the service. */
	gn_route_worker_t **workers;
	unsigned size; /**< Allocated length of the array. */
	unsigned count;
	/** The workers in workers[0..ready) may be selected. */
	unsigned ready;
} gn_route_pool_t;

/** Location of a worker relative to the entry. */
typedef enum gn_route_zone_e {
	/** The worker is in the entry's own data centre. */
	GN_ROUTE_LOCAL = 0,
	GN_ROUTE_REMOTE,
	GN_ROUTE_ZONE_COUNT
} gn_route_zone_t;

struct gn_route_service_s {
	char name[GN_NAME_MAX + 1];
	size_t name_len;
	gn_route_pool_t pools[GN_ROUTE_ZONE_COUNT];
	/** Statistics over all workers of the service. */
	gn_route_tally_t tally;
	/** Sum of the failure rates of the workers that have results. */
	double failure_rate_sum;
	unsigned rated_workers; /**< Number of workers that have results. */
	/**
	 * Smoothed time that a request takes at a backend server, without
	 * queueing, over the reports of all workers; 0: unknown.
	 */
	double service_time_us;
	/**
	 * Number of workers with link and backend server up that aren't
	 * draining.
	 */
	unsigned live;
	unsigned full;
	unsigned ejected;
	unsigned in_flight;
	unsigned cursor; /**< Last index used by the round-robin policy. */
};

struct gn_route_worker_s {
	char name[GN_NAME_MAX + 1];
	size_t name_len;
	char data_centre[GN_NAME_MAX + 1];
	size_t data_centre_len;
	uint64_t id;
	uint64_t handle;
	uint64_t incarnation;
	unsigned max_connections;
	unsigned cores;
	uint32_t one_way_us;

	gn_route_service_t *service;
	gn_route_zone_t zone;
	unsigned index; /**< Index in its pool's array. */

	bool link_up;
	bool backend_up;
	bool draining;
	bool removed;
	/** Whether the worker is included in the service's live count. */
	bool live;
	/** Whether the worker is included in the service's full count. */
	bool full;
	/**
	 * Set by a refusal for lack of capacity; cleared by the next report or
	 * the end of another dispatch.
	 */
	bool refused_as_full;

	unsigned in_flight;
	unsigned reported_requests;
	uint64_t reported_us; /**< Time of the last report; 0: none yet. */
	/**
	 * Smoothed time that a request takes at the backend server, without
	 * queueing; 0: unknown.
	 */
	double service_time_us;
	/**
	 * Requests of other entries at the last report. Negative if the report
	 * predates some of this entry's dispatches.
	 */
	double others_reported;
	/** Requests of other entries, smoothed over the reports. */
	double others_mean;

	/* The members below are maintained by eject.c. */
	gn_route_health_t health;
	unsigned dispatch_limit; /**< Maximum number of dispatches in flight. */
	gn_route_tally_t tally;
	/** The rate included in the service's sum of failure rates. */
	double failure_rate;
	/** Whether the worker is included in the sum of failure rates. */
	bool has_failure_rate;
	/** Number of ejections since the worker was added, moved or removed. */
	unsigned ejections;
	unsigned successful_probes;
	/** Time at which the current health ends or is reviewed. */
	uint64_t next_check_us;
	/** Node in the ejector's queue while the worker isn't passing. */
	GList link;
};

struct gn_route_view_s {
	const gn_clock_t *clock;
	char data_centre[GN_NAME_MAX + 1];
	GHashTable *workers; /**< Maps names to workers. */
	GHashTable *services; /**< Maps names to services. */
	uint64_t last_id;
	/**
	 * Called before a worker leaves its pool; set by the ejector if there
	 * is one.
	 */
	void (*on_remove)(void *data, gn_route_worker_t *worker);
	void *on_remove_data;
};

/** Returns the service named @p name, or NULL. */
gn_route_service_t *gn_route_view_find_service(const gn_route_view_t *view,
					       gn_str_t name);

/** Returns the pool that contains @p worker. */
gn_route_pool_t *gn_route_worker_pool(const gn_route_worker_t *worker);

/**
 * Ensures that @p pool has room for one more worker.
 * @return GN_OK or GN_ERR_MEMORY
 */
gn_code_t gn_route_pool_reserve(gn_route_service_t *service,
				gn_route_pool_t *pool);

/**
 * Adds @p worker to a pool, behind its ready workers.
 * @return GN_OK or GN_ERR_MEMORY
 */
gn_code_t gn_route_pool_add(gn_route_worker_t *worker,
			    gn_route_service_t *service, gn_route_zone_t zone);

/** Removes @p worker from its pool and from its service's totals. */
void gn_route_pool_remove(gn_route_worker_t *worker);

/**
 * Recomputes whether @p worker is ready and moves it within its pool to match.
 */
void gn_route_worker_update_ready(gn_route_worker_t *worker);

/**
 * Returns the estimated number of requests at @p worker: those of this entry
 * and an estimate of the others'.
 */
double gn_route_worker_load(const gn_route_worker_t *worker, uint64_t now_us);

#endif
