/**
 * @file histogram.h
 * @brief Latency histograms, as counters of a process's set.
 *
 * A histogram called "x" is a row of counters: "x.le_5" counts what took at
 * most 5 ms, and so on for each bound, "x.count" all, "x.sum_us" their time.
 */
#ifndef GN_COMMON_HISTOGRAM_H
#define GN_COMMON_HISTOGRAM_H

#include "common/counter.h"

typedef struct gn_histogram_s gn_histogram_t;

/** Creates one under @p parent; control thread, at start. NULL: memory. */
gn_histogram_t *gn_histogram_create(TALLOC_CTX *parent, gn_counters_t *counters,
				    const char *name);

/** Counts something that took @p duration_us; any thread. */
void gn_histogram_add(gn_histogram_t *histogram, uint64_t duration_us);

#endif
