/**
 * @file tally.h
 * @brief Sums of results that fade with time.
 */
#ifndef GN_ROUTE_TALLY_H
#define GN_ROUTE_TALLY_H

#include <stdint.h>

/** A zeroed one is empty. */
typedef struct gn_route_tally_s {
	double passes;
	double fails;
	double time_us; /**< sum over the passes */
	uint64_t at_us; /**< the time up to which the sums have faded */
} gn_route_tally_t;

/** Fades @p tally up to @p now_us, by half each @p half_life_us. */
void gn_route_tally_fade(gn_route_tally_t *tally, uint64_t now_us,
			 uint64_t half_life_us);

/** Adds a pass of @p time_us; fade first. */
void gn_route_tally_pass(gn_route_tally_t *tally, uint64_t time_us);

/** Adds a fail; fade first. */
void gn_route_tally_fail(gn_route_tally_t *tally);

/** @p whole without @p part; both faded to the same time. */
gn_route_tally_t gn_route_tally_rest(const gn_route_tally_t *whole,
				     const gn_route_tally_t *part);

/** Share of fails, 0 to 1; 0 if there is no result. */
double gn_route_tally_fail_rate(const gn_route_tally_t *tally);

/** Mean time of a pass; 0 if there is none. */
double gn_route_tally_mean_us(const gn_route_tally_t *tally);

#endif
