/**
 * @file eject.h
 * @brief Outlier ejection: excludes workers that fail more often or respond
 * more slowly than the rest of their service, and readmits them in steps.
 *
 * A worker's health goes from passing to ejected, to probation, to recovering
 * and back to passing. A worker is an outlier only in comparison with the rest
 * of its service, and only a part of a service is ejected at a time, so a fault
 * that affects all workers leaves the service in place. Old results lose weight
 * over time. Not thread-safe: call from the control thread only. No I/O.
 */
#ifndef GN_ROUTE_EJECT_H
#define GN_ROUTE_EJECT_H

#include <glib.h>

#include "route/view.h"

/** The outlier detector of one view. */
typedef struct gn_eject_s gn_eject_t;

/**
 * Settings of an ejector. Each member states its range and its default; see
 * gn_eject_defaults().
 */
typedef struct gn_eject_config_s {
	/** Half-life of the result statistics, 100..60000 ms; 2000. */
	uint32_t half_life_ms;
	/** Minimum number of failures that eject a worker, 2..100; 3. */
	unsigned min_failures;
	/**
	 * Margin over the other workers' mean failure rate, in percentage
	 * points, 5..100; 30.
	 */
	unsigned fail_margin_pct;
	/**
	 * A worker is slow from this multiple of the others' mean response time
	 * on, 2..100; 4.
	 */
	unsigned slow_factor;
	/**
	 * A slow worker also exceeds the others' mean response time by at least
	 * this much, 1000..10000000 us; 20000.
	 */
	uint32_t slow_min_us;
	/**
	 * Minimum number of successes, of the worker and of the others, for a
	 * comparison of response times, 5..1000; 20.
	 */
	unsigned slow_min_successes;
	/** Maximum ejected share of a service's live workers, 1..90 %; 50. */
	unsigned max_ejected_pct;
	/**
	 * Length of a worker's first ejection, 100..60000 ms; 1000. It doubles
	 * with each further ejection.
	 */
	uint32_t first_ms;
	/**
	 * Upper bound of the length of an ejection, first_ms..3600000 ms;
	 * 60000.
	 */
	uint32_t longest_ms;
	/** Pause between two probe requests on probation, 10..60000 ms; 250. */
	uint32_t probe_interval_ms;
	/** Successful probes that end the probation, 1..100; 3. */
	unsigned probes;
	/**
	 * Interval at which a recovering worker's dispatch limit doubles,
	 * 10..60000 ms; 500.
	 */
	uint32_t growth_interval_ms;
} gn_eject_config_t;

/** Result of a dispatch, as the ejector counts it. */
typedef enum gn_eject_result_e {
	GN_EJECT_SUCCESS = 0, /**< The worker returned a complete response. */
	/**
	 * The backend server returned an error, the connection was cut, no
	 * response came or the deadline expired.
	 */
	GN_EJECT_FAILURE,
	/**
	 * The worker refused the request without running it. Refusals count as
	 * failures, so a worker that refuses while others accept is ejected.
	 */
	GN_EJECT_REFUSED,
	GN_EJECT_RESULT_COUNT
} gn_eject_result_t;

/** Returns the default settings. */
gn_eject_config_t gn_eject_defaults(void);

/**
 * Creates the ejector of @p view. The ejector must not outlive the view, and a
 * view has at most one.
 * @param config copied; each member must be in its documented range
 * @param rand random source, seeded by the caller; spreads the ends of
 *        ejections
 * @return NULL if out of memory or a setting is out of range
 */
gn_eject_t *gn_eject_create(TALLOC_CTX *parent, gn_route_view_t *view,
			    const gn_clock_t *clock, GRand *rand,
			    const gn_eject_config_t *config);

/**
 * Records the result of a dispatch. Call it before
 * gn_route_view_end_dispatch().
 * @param time_us time from the dispatch to its result
 */
void gn_eject_record_result(gn_eject_t *eject, gn_route_worker_t *worker,
			    gn_eject_result_t result, uint64_t time_us);

/**
 * Advances the workers whose ejection, probe pause or growth interval has
 * ended. The cost is linear in the number of workers that aren't passing. Call
 * it at least once per probe interval.
 */
void gn_eject_tick(gn_eject_t *eject);

/** Returns the number of workers whose health isn't passing. */
unsigned gn_eject_not_passing_count(const gn_eject_t *eject);

#endif
