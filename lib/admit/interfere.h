/**
 * @file interfere.h
 * @brief Estimates from delayed measurements how much each kind of batch work
 * increases the tail latency of a service, per band of the service's load.
 *
 * There is one estimator per pair of host and service. It models the tail
 * latency, relative to its target, as a base plus a contribution of each
 * running task that depends on its kind. Base and contributions are fitted by
 * recursive least squares with a drift term (a Kalman filter). Contributions
 * that are no longer measured decay. No I/O.
 */
#ifndef GN_ADMIT_INTERFERE_H
#define GN_ADMIT_INTERFERE_H

#include <stdbool.h>
#include <talloc.h>

#include "common/clock.h"
#include "common/str.h"

/** Maximum number of kinds distinguished at a time. */
#define GN_INTERFERE_KINDS 32
/** Number of load bands: below 40 %, below 75 % and above. */
#define GN_INTERFERE_BANDS 3

/** Estimator of the interference with one service. */
typedef struct gn_interfere_s gn_interfere_t;

/**
 * Settings of an estimator. Each member states its range and its default; see
 * gn_interfere_defaults().
 */
typedef struct gn_interfere_config_s {
	/**
	 * Standard deviation of a measured tail, relative to the
	 * target, 1..100 %; 10.
	 */
	unsigned noise_pct;
	/** Half-life of estimates without new measurements, 1..86400 s; 600. */
	uint32_t half_life_s;
} gn_interfere_config_t;

/** Returns the default settings. */
gn_interfere_config_t gn_interfere_defaults(void);

/* ======   Commands   ====== */

/**
 * Creates an estimator without data.
 * @return NULL if out of memory or a setting is out of range
 */
gn_interfere_t *gn_interfere_create(TALLOC_CTX *parent, const gn_clock_t *clock,
				    const gn_interfere_config_t *config);

/**
 * Sets how much of a kind is running from now on.
 * @param kind name of the kind, 1..GN_NAME_MAX bytes
 * @param tasks number of tasks times their relative speed, 0..4096
 * @return GN_OK, GN_ERR_RANGE, or GN_ERR_CAPACITY: too many kinds are running,
 *         and this one isn't distinguished
 */
gn_code_t gn_interfere_set_running(gn_interfere_t *interfere, gn_str_t kind,
				   double tasks);

/**
 * Updates the estimates from a measurement of the service.
 * @param measured_us time of the measurement; ignored if older than the
 *        recorded history of running tasks
 * @param load_pct the service's load at that time, in percent of its capacity,
 *        0..1000
 * @param tail_share tail latency divided by its target
 */
void gn_interfere_learn(gn_interfere_t *interfere, uint64_t measured_us,
			unsigned load_pct, double tail_share);

/* ======   Queries   ====== */

/**
 * Returns what one more task of @p kind adds to the tail, as a share of its
 * target; 0 if unknown.
 */
double gn_interfere_estimate(const gn_interfere_t *interfere, gn_str_t kind,
			     unsigned load_pct);

/**
 * Whether @p kind was measured at this load within the last half-life.
 */
bool gn_interfere_is_known(const gn_interfere_t *interfere, gn_str_t kind,
			   unsigned load_pct);

/**
 * Finds the running kind that adds most to the tail per task.
 * @return false if no kind is known to add anything
 */
bool gn_interfere_find_worst(const gn_interfere_t *interfere, unsigned load_pct,
			     gn_str_t *kind);

#endif
