/**
 * @file counter.h
 * @brief Named counters and gauges that any thread may read and update.
 *
 * A module creates its counters at startup in the process's set. The names are
 * part of the public interface and are documented in docs/OPERATIONS.md.
 */
#ifndef GN_COMMON_COUNTER_H
#define GN_COMMON_COUNTER_H

#include <jansson.h>
#include <stdatomic.h>
#include <talloc.h>

#include "gypsumnotch.h"

/** A monotonic counter or a gauge. */
typedef struct gn_counter_s {
	atomic_uint_fast64_t value;
} gn_counter_t;

/** The set of all counters of a process. */
typedef struct gn_counters_s gn_counters_t;

/** Creates an empty set under @p parent; returns NULL if out of memory. */
gn_counters_t *gn_counters_create(TALLOC_CTX *parent);

/**
 * Finds or creates a counter. Call it from the control thread, at startup.
 * @param name string that outlives the set
 * @return the counter, owned by the set, or NULL if out of memory
 */
gn_counter_t *gn_counters_get(gn_counters_t *counters, const char *name);

/** Adds @p amount to @p counter; thread-safe. */
void gn_counter_add(gn_counter_t *counter, uint64_t amount);

/** Increments @p counter; thread-safe. */
void gn_counter_inc(gn_counter_t *counter);

/** Sets a gauge to @p value; thread-safe. */
void gn_counter_set(gn_counter_t *counter, uint64_t value);

/** Returns the value of @p counter; thread-safe. */
uint64_t gn_counter_read(const gn_counter_t *counter);

/**
 * Formats the counters as text, one line "NAME VALUE" each.
 * @return text to be freed with free(), or NULL if out of memory
 */
char *gn_counters_format_text(const gn_counters_t *counters);

/** Returns a JSON object of all values by name; the caller owns it. */
json_t *gn_counters_to_json(const gn_counters_t *counters);

#endif
