/**
 * @file interfere.h
 * @brief Learns from late measurements how much each kind of batch work
 * disturbs a service, for each band of the service's load.
 *
 * One per pair of host and service. The tail, as a share of its target, is
 * taken as a base plus so much for each running task of each kind; base and
 * amounts follow the measurements by recursive least squares with a drift
 * (a Kalman filter). What isn't observed any more fades. No I/O.
 */
#ifndef GN_ADMIT_INTERFERE_H
#define GN_ADMIT_INTERFERE_H

#include <stdbool.h>
#include <talloc.h>

#include "common/clock.h"
#include "common/str.h"

/** Most kinds that are told apart at a time. */
#define GN_INTERFERE_KINDS 32
/** Bands of load: below 40%, below 75%, above. */
#define GN_INTERFERE_BANDS 3

/** What was learned beside one service. */
typedef struct gn_interfere_s gn_interfere_t;

/** Settings; see gn_interfere_defaults(). */
typedef struct gn_interfere_config_s {
	unsigned
		noise_pct; /**< of the target, deviation of a tail, 1..100; 10 */
	uint32_t half_life_s; /**< fading of what is learned, 1..86400; 600 */
} gn_interfere_config_t;

/** The settings that a process starts with. */
gn_interfere_config_t gn_interfere_defaults(void);

/* ======   Commands   ====== */

/** Creates one that has learned nothing; NULL if short or out of bounds. */
gn_interfere_t *gn_interfere_create(TALLOC_CTX *parent, const gn_clock_t *clock,
				    const gn_interfere_config_t *config);

/**
 * Notes how much of a kind runs from now on.
 * @param kind 1..GN_NAME_MAX bytes
 * @param tasks number of tasks times their speed, 0..4096
 * @return GN_OK, GN_ERR_RANGE, or GN_ERR_CAPACITY: too many kinds run at a
 *         time, this one is not told apart
 */
gn_code_t gn_interfere_set_running(gn_interfere_t *interfere, gn_str_t kind,
				   double tasks);

/**
 * Learns from a measurement of the service.
 * @param measured_us when it was measured; older than remembered: ignored
 * @param load_pct the service's share of its capacity then, 0..1000
 * @param tail_share the tail divided by its target
 */
void gn_interfere_learn(gn_interfere_t *interfere, uint64_t measured_us,
			unsigned load_pct, double tail_share);

/* ======   Queries   ====== */

/** What one more task of @p kind adds to the tail's share; 0 unknown. */
double gn_interfere_estimate(const gn_interfere_t *interfere, gn_str_t kind,
			     unsigned load_pct);

/** Whether @p kind was measured at this load within a half-life. */
bool gn_interfere_is_known(const gn_interfere_t *interfere, gn_str_t kind,
			   unsigned load_pct);

/**
 * The running kind that adds most to the tail for each of its tasks.
 * @return false if none is known to add anything
 */
bool gn_interfere_worst(const gn_interfere_t *interfere, unsigned load_pct,
			gn_str_t *kind);

#endif
