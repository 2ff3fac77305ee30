#include "common/histogram.h"

#include <stdbool.h>

/** Upper bounds of the buckets in milliseconds, each about twice the last. */
static const unsigned bucket_bounds_ms[] = { 1,	  2,   5,   10,	  20,	50,
					     100, 200, 500, 1000, 2000, 5000 };

#define BUCKET_COUNT (sizeof(bucket_bounds_ms) / sizeof(*bucket_bounds_ms))

struct gn_histogram_s {
	gn_counter_t *buckets[BUCKET_COUNT];
	gn_counter_t *count;
	gn_counter_t *sum_us;
};

static gn_counter_t *get_counter(gn_histogram_t *histogram,
				 gn_counters_t *counters, const char *format,
				 const char *name, unsigned bound)
{
	char *full_name = talloc_asprintf(histogram, format, name, bound);

	return full_name ? gn_counters_get(counters, full_name) : NULL;
}

gn_histogram_t *gn_histogram_create(TALLOC_CTX *parent, gn_counters_t *counters,
				    const char *name)
{
	gn_histogram_t *histogram = talloc_zero(parent, gn_histogram_t);
	bool complete = true;

	if (!histogram)
		return NULL;
	for (size_t i = 0; i < BUCKET_COUNT; i++) {
		histogram->buckets[i] =
			get_counter(histogram, counters, "%s.le_%u", name,
				    bucket_bounds_ms[i]);
		complete &= histogram->buckets[i] != NULL;
	}
	histogram->count =
		get_counter(histogram, counters, "%s.count", name, 0);
	histogram->sum_us =
		get_counter(histogram, counters, "%s.sum_us", name, 0);
	if (complete && histogram->count && histogram->sum_us)
		return histogram;
	talloc_free(histogram);
	return NULL;
}

void gn_histogram_add(gn_histogram_t *histogram, uint64_t duration_us)
{
	for (size_t i = 0; i < BUCKET_COUNT; i++)
		if (duration_us <= (uint64_t)bucket_bounds_ms[i] * GN_US_PER_MS)
			gn_counter_inc(histogram->buckets[i]);
	gn_counter_inc(histogram->count);
	gn_counter_add(histogram->sum_us, duration_us);
}
