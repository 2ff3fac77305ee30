/**
 * @file cold.h
 * @brief Slowness of a worker that has started shortly before.
 *
 * Many workers of a data centre may start at once when an evacuation is over. A
 * cold worker gets work according to what it can do: it counts as twice as slow
 * at first, and less as the time for which it remains cold runs out.
 */
#ifndef GN_EVACUATION_COLD_H
#define GN_EVACUATION_COLD_H

#include <stdint.h>

/** The cold time of one life of a worker; zero-initialized. */
typedef struct gn_cold_s {
	uint64_t until_us; /**< When the worker is at full speed. */
	uint64_t total_us; /**< Longest time left that it has reported. */
} gn_cold_t;

/** Records the time that the worker says is left. */
void gn_cold_record(gn_cold_t *cold, uint32_t left_ms, uint64_t now_us);

/**
 * Returns the slowness to expect: 2 at the start, falling to 1.
 * @param measured slowness measured from its runs, which counts if it is higher;
 *        0: unknown
 */
double gn_cold_get_slowness(const gn_cold_t *cold, double measured,
			    uint64_t now_us);

#endif
