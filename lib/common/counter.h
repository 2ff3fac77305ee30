/**
 * @file counter.h
 * @brief Named counters, readable from any thread.
 *
 * A module creates its counters once, at start, in the process's set; the
 * names are part of the product and documented in docs/OPERATIONS.md.
 */
#ifndef GN_COMMON_COUNTER_H
#define GN_COMMON_COUNTER_H

#include <jansson.h>
#include <stdatomic.h>
#include <talloc.h>

#include "gypsumnotch.h"

/** A counter that only grows, or a gauge that is set. */
typedef struct gn_counter_s {
	atomic_uint_fast64_t value;
} gn_counter_t;

/** The counters of a process. */
typedef struct gn_counters_s gn_counters_t;

/** Creates an empty set under @p parent; NULL if memory is short. */
gn_counters_t *gn_counters_create(TALLOC_CTX *parent);

/**
 * Finds or creates the counter called @p name (static text).
 * Control thread only, at start. NULL if memory is short.
 */
gn_counter_t *gn_counters_get(gn_counters_t *counters, const char *name);

/** Adds @p amount; any thread. */
void gn_counter_add(gn_counter_t *counter, uint64_t amount);

/** Adds one; any thread. */
void gn_counter_inc(gn_counter_t *counter);

/** Sets a gauge; any thread. */
void gn_counter_set(gn_counter_t *counter, uint64_t value);

/** The value; any thread. */
uint64_t gn_counter_read(const gn_counter_t *counter);

/** A line "NAME VALUE" for each counter; free(); NULL: memory is short. */
char *gn_counters_text(const gn_counters_t *counters);

/** A JSON object of all counters by name; the caller owns it. */
json_t *gn_counters_dump(const gn_counters_t *counters);

#endif
