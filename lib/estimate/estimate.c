#include "estimate/estimate.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>

#include "job/job.pb-c.h"

/** Bounds of one run's ratio. Short tasks take many times their declared time
 * just to be started and listed. */
#define RATIO_MAX 16.0
/** Weight of the latest run once a pair has as many ends as its inverse; until
 * then, all runs weigh the same. */
#define WEIGHT 0.05
/** A run further from the mean than this many spreads counts as one there. A
 * straggler of seven times the usual time then moves the mean by 3 % of the
 * time at most, at a spread of 20 %. */
#define CLIP_SPREADS 3.0
/** Bounds of the spread. With less, a change of the run times would be taken
 * for outliers; more is the spread of the declared times as a whole. */
#define SPREAD_MIN 0.05
#define SPREAD_MAX 1.0
/** Spread of a pair without ends. */
#define SPREAD_INITIAL 0.4
/** Number of ends by whose median a pair begins. A mean would need a spread
 * first to tell outliers; with 9 ends, four stragglers do not carry the median
 * away. */
#define FIRST_ENDS 9
/** Mean deviation of a normal distribution, by its median deviation. */
#define MEAN_BY_MEDIAN_DEVIATION 1.18
/** A worker is slow beside the others that run the pair from this factor. */
#define SLOW_FACTOR 1.5
/** Change of a ratio's logarithm from which it is worth storing again. */
#define ANNOUNCED_CHANGE 0.1

/** Learned values of a queue and image. */
typedef struct pair_s {
	char *queue; /**< Owned. */
	char *image; /**< Owned. */
	double mean; /**< Mean logarithm of the ratio. */
	double spread; /**< Mean deviation of the logarithm. */
	uint32_t count;
	double first[FIRST_ENDS]; /**< Logarithms of the first ends, sorted. */
	/** Mean logarithm of the slowness of the workers that ran it. A worker's
	 * slowness includes the error of the declared times, so it is compared
	 * with that of others under the same tasks. */
	double slowness;
	uint32_t slowness_count;
	bool announced; /**< gn_estimate_learn() has told that it is in use. */
	double announced_mean; /**< Mean at that time. */
	GList link; /**< In gn_estimate_s.uses. */
} pair_t;

struct gn_estimate_s {
	GHashTable *pairs; /**< Set of pair_t, owned. */
	GQueue uses; /**< The least recently used pair comes first. */
};

/* ======   Table   ====== */

static guint hash_pair(gconstpointer key)
{
	const pair_t *pair = key;

	return g_str_hash(pair->queue) * 31 + g_str_hash(pair->image);
}

static gboolean is_same_pair(gconstpointer a, gconstpointer b)
{
	const pair_t *first = a;
	const pair_t *second = b;

	return g_str_equal(first->queue, second->queue) &&
	       g_str_equal(first->image, second->image);
}

static void free_pair(gpointer data)
{
	pair_t *pair = data;

	g_free(pair->queue);
	g_free(pair->image);
	g_free(pair);
}

static int free_estimate(gn_estimate_t *estimate)
{
	g_hash_table_destroy(estimate->pairs);
	return 0;
}

gn_estimate_t *gn_estimate_create(TALLOC_CTX *parent)
{
	gn_estimate_t *estimate = talloc_zero(parent, gn_estimate_t);

	if (!estimate)
		return NULL;
	estimate->pairs =
		g_hash_table_new_full(hash_pair, is_same_pair, free_pair, NULL);
	g_queue_init(&estimate->uses);
	talloc_set_destructor(estimate, free_estimate);
	return estimate;
}

static void mark_used(gn_estimate_t *estimate, pair_t *pair)
{
	g_queue_unlink(&estimate->uses, &pair->link);
	g_queue_push_tail_link(&estimate->uses, &pair->link);
}

/* Returns the pair and marks it as used, or NULL if there is none. */
static pair_t *find_pair(gn_estimate_t *estimate, const char *queue,
			 const char *image)
{
	const pair_t key = { .queue = (char *)queue, .image = (char *)image };
	pair_t *pair = g_hash_table_lookup(estimate->pairs, &key);

	if (pair)
		mark_used(estimate, pair);
	return pair;
}

static void evict_pair(gn_estimate_t *estimate)
{
	GList *oldest = g_queue_pop_head_link(&estimate->uses);

	g_hash_table_remove(estimate->pairs, oldest->data);
}

static pair_t *get_or_create_pair(gn_estimate_t *estimate, const char *queue,
				  const char *image)
{
	pair_t *pair = find_pair(estimate, queue, image);

	if (pair)
		return pair;
	if (g_hash_table_size(estimate->pairs) == GN_ESTIMATE_PAIRS_MAX)
		evict_pair(estimate);
	pair = g_new0(pair_t, 1);
	pair->queue = g_strdup(queue);
	pair->image = g_strdup(image);
	pair->spread = SPREAD_INITIAL;
	pair->link.data = pair;
	g_hash_table_add(estimate->pairs, pair);
	g_queue_push_tail_link(&estimate->uses, &pair->link);
	return pair;
}

size_t gn_estimate_count(const gn_estimate_t *estimate)
{
	return g_hash_table_size(estimate->pairs);
}

/* ======   Learning   ====== */

/* Returns the weight of the run that makes up this number of runs. */
static double get_weight(uint32_t count)
{
	return fmax(1.0 / count, WEIGHT);
}

/* Whether the worker is no slower than others that run the pair. */
static bool is_worker_normal(pair_t *pair, double slowness)
{
	double excess;

	if (slowness <= 0)
		return true;
	if (!pair->slowness_count)
		pair->slowness = log(slowness);
	excess = log(slowness) - pair->slowness;
	if (pair->slowness_count < UINT32_MAX)
		pair->slowness_count++;
	pair->slowness += get_weight(pair->slowness_count) *
			  CLAMP(excess, -log(SLOW_FACTOR), log(SLOW_FACTOR));
	return excess < log(SLOW_FACTOR);
}

static void insert_sorted(double *values, uint32_t count, double value)
{
	uint32_t at = count;

	for (; at > 0 && values[at - 1] > value; at--)
		values[at] = values[at - 1];
	values[at] = value;
}

static double get_median(const double *sorted, uint32_t count)
{
	return (sorted[(count - 1) / 2] + sorted[count / 2]) / 2;
}

/* Counts one of the first ends. */
static void count_first_ratio(pair_t *pair, double logarithm)
{
	double deviations[FIRST_ENDS];

	insert_sorted(pair->first, pair->count++, logarithm);
	pair->mean = get_median(pair->first, pair->count);
	if (pair->count < FIRST_ENDS)
		return;
	for (uint32_t i = 0; i < pair->count; i++)
		insert_sorted(deviations, i, fabs(pair->first[i] - pair->mean));
	pair->spread =
		MEAN_BY_MEDIAN_DEVIATION * get_median(deviations, pair->count);
}

static void count_further_ratio(pair_t *pair, double logarithm)
{
	double limit = CLIP_SPREADS * pair->spread;
	double error = CLAMP(logarithm - pair->mean, -limit, limit);

	if (pair->count < UINT32_MAX)
		pair->count++;
	pair->spread += get_weight(pair->count) * (fabs(error) - pair->spread);
	pair->mean += get_weight(pair->count) * error;
}

static void count_ratio(pair_t *pair, double logarithm)
{
	if (pair->count < FIRST_ENDS)
		count_first_ratio(pair, logarithm);
	else
		count_further_ratio(pair, logarithm);
	pair->spread = CLAMP(pair->spread, SPREAD_MIN, SPREAD_MAX);
}

/* Whether the value is in use now, or is since then considerably different. */
static bool announce(pair_t *pair)
{
	if (pair->count < GN_ESTIMATE_ENDS_MIN)
		return false;
	if (pair->announced &&
	    fabs(pair->mean - pair->announced_mean) <= ANNOUNCED_CHANGE)
		return false;
	pair->announced = true;
	pair->announced_mean = pair->mean;
	return true;
}

bool gn_estimate_learn(gn_estimate_t *estimate, const char *queue,
		       const char *image, const gn_estimate_run_t *run)
{
	pair_t *pair;
	double ratio;

	if (!run->declared_us || run->altered)
		return false;
	pair = get_or_create_pair(estimate, queue, image);
	if (!is_worker_normal(pair, run->slowness))
		return false;
	ratio = (double)run->took_us / (double)run->declared_us;
	count_ratio(pair, log(CLAMP(ratio, 1 / RATIO_MAX, RATIO_MAX)));
	return announce(pair);
}

/* ======   Use   ====== */

gn_estimate_value_t gn_estimate_get(gn_estimate_t *estimate, const char *queue,
				    const char *image)
{
	const pair_t *pair = find_pair(estimate, queue, image);

	if (!pair)
		return (gn_estimate_value_t){ 1, SPREAD_INITIAL, 0 };
	return (gn_estimate_value_t){ exp(pair->mean), pair->spread,
				      pair->count };
}

uint64_t gn_estimate_run_ms(const gn_estimate_value_t *value,
			    uint64_t declared_ms)
{
	if (value->count < GN_ESTIMATE_ENDS_MIN)
		return declared_ms;
	return (uint64_t)(value->ratio * (double)declared_ms + 0.5);
}

/* ======   Serialization   ====== */

uint8_t *gn_estimate_pack(const gn_estimate_t *estimate, size_t *len)
{
	Gn__Disturbances all = GN__DISTURBANCES__INIT;
	guint count = estimate->uses.length;
	Gn__RunTime *rows = g_new(Gn__RunTime, count + 1);
	uint8_t *data;

	all.run_times = g_new(Gn__RunTime *, count + 1);
	/* In the order of use, so that loading restores it. */
	for (GList *item = estimate->uses.head; item; item = item->next) {
		const pair_t *pair = item->data;
		Gn__RunTime *row = &rows[all.n_run_times];

		/* It is not in use, and its first ends are not stored. */
		if (pair->count < GN_ESTIMATE_ENDS_MIN)
			continue;
		gn__run_time__init(row);
		row->queue = pair->queue;
		row->image = pair->image;
		row->ratio = exp(pair->mean);
		row->spread = pair->spread;
		row->count = pair->count;
		all.run_times[all.n_run_times++] = row;
	}
	*len = gn__disturbances__get_packed_size(&all);
	data = malloc(*len + 1);
	if (!data)
		abort(); /* GLib also aborts when out of memory. */
	gn__disturbances__pack(&all, data);
	g_free(all.run_times);
	g_free(rows);
	return data;
}

/* Comparisons with NaN are false, so NaN is invalid. */
static bool is_row_valid(const Gn__RunTime *row)
{
	return row->ratio >= 1 / (2 * RATIO_MAX) &&
	       row->ratio <= 2 * RATIO_MAX && row->spread >= 0 &&
	       row->spread <= SPREAD_MAX && row->count >= GN_ESTIMATE_ENDS_MIN;
}

gn_code_t gn_estimate_unpack(gn_estimate_t *estimate, const uint8_t *data,
			     size_t len)
{
	Gn__Disturbances *all = gn__disturbances__unpack(NULL, len, data);
	gn_code_t code = GN_OK;

	if (!all)
		return GN_ERR_INVALID;
	for (size_t i = 0; i < all->n_run_times; i++) {
		const Gn__RunTime *row = all->run_times[i];
		pair_t *pair;

		if (!is_row_valid(row)) {
			code = GN_ERR_INVALID;
			continue;
		}
		pair = get_or_create_pair(estimate, row->queue, row->image);
		pair->mean = log(row->ratio);
		pair->spread = CLAMP(row->spread, SPREAD_MIN, SPREAD_MAX);
		pair->count = row->count;
		pair->announced = true;
		pair->announced_mean = pair->mean;
	}
	gn__disturbances__free_unpacked(all, NULL);
	return code;
}
