/**
 * @file view_internal.h
 * @brief The structures behind view.h, shared by the modules of lib/route.
 */
#ifndef GN_ROUTE_VIEW_INTERNAL_H
#define GN_ROUTE_VIEW_INTERNAL_H

#include <glib.h>

#include "route/tally.h"
#include "route/view.h"

/** No limit of its own on a worker's dispatches. */
#define GN_ROUTE_NO_LIMIT UINT32_MAX

typedef struct gn_route_service_s gn_route_service_t;

/** Some workers of a service; those that may be picked stand in front. */
typedef struct gn_route_pool_s {
	gn_route_worker_t **workers; /**< talloc array */
	unsigned size; /**< slots of the array */
	unsigned count;
	unsigned ready; /**< workers[0..ready) may be picked */
} gn_route_pool_t;

/** Where the workers of a service stand. */
typedef enum gn_route_zone_e {
	GN_ROUTE_LOCAL = 0, /**< the entry's own data centre */
	GN_ROUTE_REMOTE,
	GN_ROUTE_ZONE_COUNT
} gn_route_zone_t;

struct gn_route_service_s {
	char name[GN_NAME_MAX + 1];
	size_t name_len;
	gn_route_pool_t pools[GN_ROUTE_ZONE_COUNT];
	gn_route_tally_t tally; /**< over all workers */
	double fail_rates; /**< sum over the workers that have results */
	unsigned rated; /**< workers that have results */
	double service_time_us; /**< smoothed over all reports; 0 unknown */
	unsigned live; /**< link and backend up, not draining */
	unsigned full;
	unsigned ejected;
	unsigned in_flight;
	unsigned cursor; /**< of round robin */
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
	unsigned index; /**< in its pool */

	bool link_up;
	bool backend_up;
	bool draining;
	bool removed;
	bool live; /**< as counted in the service */
	bool full; /**< as counted in the service */
	bool said_full; /**< by its last refusal */

	unsigned in_flight;
	unsigned reported;
	uint64_t reported_us; /**< 0: no report yet */
	double service_time_us; /**< 0 unknown */
	/** Requests of other entries, at the last report; may be below 0. */
	double others_last;
	double others_mean; /**< smoothed over the reports */

	/* Kept by eject.c. */
	gn_route_health_t health;
	unsigned dispatch_limit; /**< most dispatches in flight */
	gn_route_tally_t tally;
	double fail_rate; /**< as counted in the service */
	bool rated; /**< as counted in the service */
	unsigned ejections; /**< in a row */
	unsigned good_probes;
	uint64_t change_us; /**< when the present health ends or is reviewed */
	GList link; /**< in the ejector's queue while not passing */
};

struct gn_route_view_s {
	const gn_clock_t *clock;
	char data_centre[GN_NAME_MAX + 1];
	GHashTable *workers; /**< name to worker */
	GHashTable *services; /**< name to service */
	uint64_t last_id;
	/** Tells the ejector, if there is one, that a worker leaves. */
	void (*on_remove)(void *data, gn_route_worker_t *worker);
	void *on_remove_data;
};

/** The service called @p name, or NULL. */
gn_route_service_t *gn_route_view_service(const gn_route_view_t *view,
					  gn_str_t name);

/** The pool that @p worker stands in. */
gn_route_pool_t *gn_route_pool_of(const gn_route_worker_t *worker);

/** Makes room for one more in @p pool: GN_OK or GN_ERR_MEMORY. */
gn_code_t gn_route_pool_reserve(gn_route_service_t *service,
				gn_route_pool_t *pool);

/** Puts @p worker into a pool, behind those that may be picked. */
gn_code_t gn_route_pool_join(gn_route_worker_t *worker,
			     gn_route_service_t *service, gn_route_zone_t zone);

/** Takes @p worker out of its pool and out of the sums of its service. */
void gn_route_pool_leave(gn_route_worker_t *worker);

/** Puts @p worker into the part of its pool where it now belongs. */
void gn_route_worker_refresh(gn_route_worker_t *worker);

/** Requests now at @p worker: this entry's and, estimated, the others'. */
double gn_route_worker_load(const gn_route_worker_t *worker, uint64_t now_us);

#endif
