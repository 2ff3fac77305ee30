#include "common/histogram.h"

#include <stdbool.h>

/** Bounds of the buckets, milliseconds: steps of about two. */
static const unsigned bounds_ms[] = { 1,   2,	5,   10,   20,	 50,
				      100, 200, 500, 1000, 2000, 5000 };

#define BOUNDS (sizeof(bounds_ms) / sizeof(*bounds_ms))

struct gn_histogram_s {
	gn_counter_t *buckets[BOUNDS];
	gn_counter_t *count;
	gn_counter_t *sum_us;
};

static gn_counter_t *get(gn_histogram_t *histogram, gn_counters_t *counters,
			 const char *format, const char *name, unsigned bound)
{
	char *full = talloc_asprintf(histogram, format, name, bound);

	return full ? gn_counters_get(counters, full) : NULL;
}

gn_histogram_t *gn_histogram_create(TALLOC_CTX *parent, gn_counters_t *counters,
				    const char *name)
{
	gn_histogram_t *histogram = talloc_zero(parent, gn_histogram_t);
	bool complete = true;

	if (!histogram)
		return NULL;
	for (size_t i = 0; i < BOUNDS; i++) {
		histogram->buckets[i] = get(histogram, counters, "%s.le_%u",
					    name, bounds_ms[i]);
		complete &= histogram->buckets[i] != NULL;
	}
	histogram->count = get(histogram, counters, "%s.count", name, 0);
	histogram->sum_us = get(histogram, counters, "%s.sum_us", name, 0);
	if (complete && histogram->count && histogram->sum_us)
		return histogram;
	talloc_free(histogram);
	return NULL;
}

void gn_histogram_add(gn_histogram_t *histogram, uint64_t took_us)
{
	for (size_t i = 0; i < BOUNDS; i++)
		if (took_us <= (uint64_t)bounds_ms[i] * GN_US_PER_MS)
			gn_counter_inc(histogram->buckets[i]);
	gn_counter_inc(histogram->count);
	gn_counter_add(histogram->sum_us, took_us);
}
