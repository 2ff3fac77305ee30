/**
 * @file eject.h
 * @brief Outlier ejection: leaves out workers that fail or lag where others
 * pass, and takes them back step by step.
 *
 * passing -> ejected -> probation -> recovering -> passing. A worker is an
 * outlier only by comparison with the rest of its service, and only a part of
 * a service is ejected at a time, so that a fault which strikes all of them
 * leaves the service as it is. Results fade with time. Control thread only; no
 * I/O.
 */
#ifndef GN_ROUTE_EJECT_H
#define GN_ROUTE_EJECT_H

#include <glib.h>

#include "route/view.h"

/** The ejector of one view. */
typedef struct gn_eject_s gn_eject_t;

/** Settings; see gn_eject_defaults(). */
typedef struct gn_eject_config_s {
	uint32_t half_life_ms; /**< results fade by half, 100..60000; 2000 */
	unsigned min_fails; /**< fails before an ejection, 2..100; 3 */
	unsigned fail_margin_pct; /**< above the others' rate, 5..100; 30 */
	unsigned slow_factor; /**< times the others' mean, 2..100; 4 */
	uint32_t slow_min_us; /**< above the others' mean, 1000..10 s; 20000 */
	unsigned slow_min_passes; /**< before slowness counts, 5..1000; 20 */
	unsigned max_ejected_pct; /**< of a service's live ones, 1..90; 50 */
	uint32_t first_ms; /**< first ejection, 100..60000; 1000 */
	uint32_t longest_ms; /**< longest, first_ms..3600000; 60000 */
	uint32_t probe_interval_ms; /**< between probes, 10..60000; 250 */
	unsigned probes; /**< passes that end the probation, 1..100; 3 */
	uint32_t growth_interval_ms; /**< limit doubles each, 10..60000; 500 */
} gn_eject_config_t;

/** What came back from a worker. */
typedef enum gn_eject_result_e {
	GN_EJECT_PASS = 0, /**< a whole answer */
	/** An error of the backend server, a cut, silence, an expired deadline. */
	GN_EJECT_FAIL,
	/** Refused as not run; counts against a worker that refuses alone. */
	GN_EJECT_REFUSED,
	GN_EJECT_RESULT_COUNT
} gn_eject_result_t;

/** The settings that a process starts with. */
gn_eject_config_t gn_eject_defaults(void);

/**
 * Creates the ejector of @p view, which it must not outlive.
 * @param config copied; bounds as documented
 * @param rand seeded by the caller; spreads the ends of ejections
 * @return NULL if memory is short or a setting is out of bounds
 */
gn_eject_t *gn_eject_create(TALLOC_CTX *parent, gn_route_view_t *view,
			    const gn_clock_t *clock, GRand *rand,
			    const gn_eject_config_t *config);

/**
 * Takes the result of a dispatch. Call it before gn_route_view_end().
 * @param time_us from dispatch to result
 */
void gn_eject_take_result(gn_eject_t *eject, gn_route_worker_t *worker,
			  gn_eject_result_t result, uint64_t time_us);

/**
 * Moves on the workers whose ejection, probe or growth interval has ended.
 * Costs as much as there are workers that aren't passing. Call it at least
 * each probe interval.
 */
void gn_eject_tick(gn_eject_t *eject);

/** How many workers are not passing. */
unsigned gn_eject_count(const gn_eject_t *eject);

#endif
