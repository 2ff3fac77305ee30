/**
 * @file budget.h
 * @brief The rate budget of one process towards the platform's service.
 *
 * A token bucket that holds one second's worth of calls. A part of it is
 * kept for lease renewals, so that a burst of other calls can't let a lease
 * lapse.
 */
#ifndef GN_PLATFORM_BUDGET_H
#define GN_PLATFORM_BUDGET_H

#include <stdbool.h>

#include "gypsumnotch.h"

/** Bounds of the rate, calls a second. */
#define GN_KV_RATE_MIN 1
#define GN_KV_RATE_MAX 2000

/** A token bucket; initialise with gn_kv_budget_init(). */
typedef struct gn_kv_budget_s {
	uint64_t calls_per_s;
	uint64_t credit; /**< in millionths of a call */
	uint64_t reserve; /**< the part for urgent calls, same unit */
	uint64_t last_us;
} gn_kv_budget_t;

/** Fills the bucket. @p calls_per_s GN_KV_RATE_MIN..GN_KV_RATE_MAX */
void gn_kv_budget_init(gn_kv_budget_t *budget, uint32_t calls_per_s,
		       uint64_t now_us);

/** Takes one call; false: none is left, for an urgent call not even one. */
bool gn_kv_budget_take(gn_kv_budget_t *budget, uint64_t now_us, bool urgent);

#endif
