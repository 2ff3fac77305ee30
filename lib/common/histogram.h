/**
 * @file histogram.h
 * @brief Latency histograms, exported as counters.
 *
 * The histogram "x" consists of cumulative buckets, such as "x.le_5" for
 * durations of at most 5 ms, of the total number "x.count" and of the sum of
 * all durations "x.sum_us", in microseconds.
 */
#ifndef GN_COMMON_HISTOGRAM_H
#define GN_COMMON_HISTOGRAM_H

#include "common/counter.h"

typedef struct gn_histogram_s gn_histogram_t;

/**
 * Creates a histogram. Call it from the control thread, at startup.
 * @param parent talloc parent of the histogram
 * @param counters set that its counters are added to
 * @return the histogram, or NULL if out of memory
 */
gn_histogram_t *gn_histogram_create(TALLOC_CTX *parent, gn_counters_t *counters,
				    const char *name);

/** Adds one duration to the histogram; thread-safe. */
void gn_histogram_add(gn_histogram_t *histogram, uint64_t duration_us);

#endif
