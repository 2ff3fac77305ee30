/**
 * @file retry_after.h
 * @brief Retry-after times: when refused callers may send their requests again.
 *
 * Callers get consecutive time slots at a rate that can be admitted, with
 * jitter.
 */
#ifndef GN_LIMIT_RETRY_AFTER_H
#define GN_LIMIT_RETRY_AFTER_H

#include <glib.h>
#include <stdint.h>

/** State of the slot assignment. Set the bounds and zero the rest. */
typedef struct gn_retry_after_s {
	uint32_t min_ms; /**< Minimum retry-after time. */
	uint32_t max_ms; /**< Maximum retry-after time; at least min_ms. */
	uint64_t last_slot_us; /**< Slot of the last caller. */
} gn_retry_after_t;

/**
 * Assigns the next slot to a caller.
 * @param rate retries per second that can be admitted; below 1 counts as 1
 * @return retry-after time, min_ms..max_ms
 */
uint32_t gn_retry_after_draw_ms(gn_retry_after_t *retry_after, GRand *rand,
				uint64_t now_us, double rate);

#endif
