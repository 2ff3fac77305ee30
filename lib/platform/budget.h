/**
 * @file budget.h
 * @brief Limits the rate of one process's calls to the platform's
 * key-value service.
 *
 * The limit is a token bucket that holds one second's worth of calls. A part
 * of it is reserved for lease renewals, so that a burst of other calls cannot
 * make a lease expire.
 */
#ifndef GN_PLATFORM_BUDGET_H
#define GN_PLATFORM_BUDGET_H

#include <stdbool.h>

#include "gypsumnotch.h"

/** Lowest rate, calls per second. */
#define GN_KV_RATE_MIN 1
/** Rate that a process uses at most, however many calls the service takes. */
#define GN_KV_RATE_MAX 2000

/** A token bucket; initialize it with gn_kv_budget_init(). */
typedef struct gn_kv_budget_s {
	uint64_t calls_per_s;
	uint64_t credit; /**< Calls left, in millionths of a call. */
	uint64_t reserve; /**< Part of the credit for urgent calls only. */
	uint64_t last_us; /**< Time of the last refill. */
} gn_kv_budget_t;

/**
 * Initializes a full bucket.
 * @param calls_per_s at least GN_KV_RATE_MIN; more than GN_KV_RATE_MAX counts
 *        as GN_KV_RATE_MAX
 */
void gn_kv_budget_init(gn_kv_budget_t *budget, uint32_t calls_per_s,
		       uint64_t now_us);

/**
 * Consumes the credit of one call.
 * @param urgent whether the call may use the reserve
 * @return false if the credit is too low; nothing is consumed then
 */
bool gn_kv_budget_try_consume(gn_kv_budget_t *budget, uint64_t now_us,
			      bool urgent);

#endif
