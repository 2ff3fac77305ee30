#include "sched/interference.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>

#include "common/clock.h"
#include "job/job.pb-c.h"

/* See docs/PLATFORM-DESIGN.md for the variances and weights. */

/** Variance of one headroom reading. */
#define READING_VARIANCE 0.05
/** Growth of a baseline's variance per second, since the load changes. */
#define BASELINE_VARIANCE_PER_S 0.8
/** Initial and maximum variance of a baseline. */
#define BASELINE_VARIANCE_MAX 1.0
/** Initial weight and variance of a pair; most pairs interfere little. */
#define INITIAL_WEIGHT 2.5
#define INITIAL_VARIANCE 7.0
/** Growth of a weight's variance per reading, since pairs change slowly. */
#define VARIANCE_GROWTH 0.0005
/** A reading is an outlier if its error exceeds this many deviations. */
#define OUTLIER_DEVIATIONS 3.0
/** Factor by which an outlier increases the variance of its pairs. */
#define OUTLIER_VARIANCE_FACTOR 2.0
/** Added to the variance of loaded weights, which may be out of date. */
#define VARIANCE_AFTER_LOAD 0.2
/** Limit on stored pairs, since callers choose the images. */
#define PAIRS_MAX 4096
#define WEIGHT_MAX 40.0
/** Weights are not updated by processor shares below this. */
#define SHARE_MIN 0.003

/** Estimate for a pair of images. */
typedef struct pair_s {
	double weight;
	double variance;
} pair_t;

struct gn_interference_s {
	/** Serving image to a table of best-effort image to pair_t. */
	GHashTable *tables;
	size_t count; /**< Number of pairs in all tables. */
};

static void free_table(gpointer table)
{
	g_hash_table_destroy(table);
}

static int free_interference(gn_interference_t *interference)
{
	g_hash_table_destroy(interference->tables);
	return 0;
}

gn_interference_t *gn_interference_create(TALLOC_CTX *parent)
{
	gn_interference_t *interference =
		talloc_zero(parent, gn_interference_t);

	if (!interference)
		return NULL;
	interference->tables = g_hash_table_new_full(
		g_direct_hash, g_direct_equal, NULL, free_table);
	talloc_set_destructor(interference, free_interference);
	return interference;
}

static pair_t *find_pair(const gn_interference_t *interference,
			 const char *serving, const char *best_effort)
{
	GHashTable *table = g_hash_table_lookup(interference->tables, serving);

	return table ? g_hash_table_lookup(table, best_effort) : NULL;
}

static pair_t *create_pair(gn_interference_t *interference, const char *serving,
			   const char *best_effort)
{
	GHashTable *table;
	pair_t *pair = g_new(pair_t, 1);

	/* Starting over is better than unbounded memory. */
	if (interference->count == PAIRS_MAX) {
		g_hash_table_remove_all(interference->tables);
		interference->count = 0;
	}
	table = g_hash_table_lookup(interference->tables, serving);
	if (!table) {
		table = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					      NULL, g_free);
		g_hash_table_insert(interference->tables, (gpointer)serving,
				    table);
	}
	pair->weight = INITIAL_WEIGHT;
	pair->variance = INITIAL_VARIANCE;
	g_hash_table_insert(table, (gpointer)best_effort, pair);
	interference->count++;
	return pair;
}

double gn_interference_weight(const gn_interference_t *interference,
			      const char *serving, const char *best_effort)
{
	const pair_t *pair = find_pair(interference, serving, best_effort);

	return pair ? pair->weight : INITIAL_WEIGHT;
}

double gn_interference_weight_bound(const gn_interference_t *interference,
				    const char *serving,
				    const char *best_effort)
{
	const pair_t *pair = find_pair(interference, serving, best_effort);

	return pair ? pair->weight + sqrt(pair->variance)
		    : INITIAL_WEIGHT + sqrt(INITIAL_VARIANCE);
}

double gn_interference_loss(const gn_interference_t *interference,
			    const char *serving, const gn_image_use_t *uses,
			    size_t count)
{
	double sum = 0;

	for (size_t i = 0; i < count; i++)
		sum += uses[i].share * gn_interference_weight(interference,
							      serving,
							      uses[i].image);
	return sum;
}

static pair_t *get_or_create_pair(gn_interference_t *interference,
				  const char *serving, const char *best_effort)
{
	pair_t *pair = find_pair(interference, serving, best_effort);

	return pair ? pair : create_pair(interference, serving, best_effort);
}

/* Returns the variance of a reading's prediction error. */
static double get_variance(gn_interference_t *interference, const char *serving,
			   const gn_headroom_t *baseline,
			   const gn_image_use_t *uses, size_t count)
{
	double sum = READING_VARIANCE + baseline->variance;

	for (size_t i = 0; i < count; i++)
		sum += get_or_create_pair(interference, serving, uses[i].image)
			       ->variance *
		       uses[i].share * uses[i].share;
	return sum;
}

static void increase_variance(pair_t *pair)
{
	pair->variance = fmin(INITIAL_VARIANCE,
			      pair->variance * OUTLIER_VARIANCE_FACTOR);
}

static void correct_pair(pair_t *pair, double share, double error,
			 double variance)
{
	double gain = pair->variance * share / variance;

	pair->weight = CLAMP(pair->weight - gain * error, 0, WEIGHT_MAX);
	pair->variance = pair->variance * (1 - gain * share) + VARIANCE_GROWTH;
}

/* Increases the variance, since the load may have changed. */
static void age_baseline(gn_headroom_t *baseline, uint64_t now_us)
{
	double passed_s = (double)(now_us - baseline->updated_us) / GN_US_PER_S;

	baseline->variance =
		fmin(BASELINE_VARIANCE_MAX,
		     baseline->variance + passed_s * BASELINE_VARIANCE_PER_S);
	baseline->updated_us = now_us;
}

void gn_interference_update(gn_interference_t *interference,
			    const char *serving, double headroom,
			    gn_headroom_t *baseline, const gn_image_use_t *uses,
			    size_t count, uint64_t now_us)
{
	double sum = gn_interference_loss(interference, serving, uses, count);
	double variance;
	double error;

	if (!baseline->updated_us) {
		baseline->value = headroom + sum;
		baseline->variance = BASELINE_VARIANCE_MAX;
		baseline->updated_us = now_us;
		return;
	}
	age_baseline(baseline, now_us);
	error = headroom - (baseline->value - sum);
	variance = get_variance(interference, serving, baseline, uses, count);
	if (error * error >
	    OUTLIER_DEVIATIONS * OUTLIER_DEVIATIONS * variance) {
		for (size_t i = 0; i < count; i++)
			increase_variance(get_or_create_pair(
				interference, serving, uses[i].image));
		variance = get_variance(interference, serving, baseline, uses,
					count);
	}
	baseline->value += error * baseline->variance / variance;
	baseline->variance *= 1 - baseline->variance / variance;
	for (size_t i = 0; i < count; i++)
		if (uses[i].share > SHARE_MIN)
			correct_pair(get_or_create_pair(interference, serving,
							uses[i].image),
				     uses[i].share, error, variance);
}

/* ======   Serialization   ====== */

static void add_rows(Gn__Disturbances *all, const char *serving,
		     GHashTable *table)
{
	GHashTableIter iter;
	gpointer best_effort;
	gpointer value;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, &best_effort, &value)) {
		const pair_t *pair = value;
		Gn__Disturbance *row = g_new(Gn__Disturbance, 1);

		gn__disturbance__init(row);
		row->serves = (char *)serving;
		row->fills = best_effort;
		row->weight = pair->weight;
		row->variance = pair->variance;
		all->pairs[all->n_pairs++] = row;
	}
}

uint8_t *gn_interference_pack(const gn_interference_t *interference,
			      size_t *len)
{
	Gn__Disturbances all = GN__DISTURBANCES__INIT;
	GHashTableIter iter;
	gpointer serving;
	gpointer table;
	uint8_t *data;

	all.pairs = g_new(Gn__Disturbance *, interference->count + 1);
	g_hash_table_iter_init(&iter, interference->tables);
	while (g_hash_table_iter_next(&iter, &serving, &table))
		add_rows(&all, serving, table);
	*len = gn__disturbances__get_packed_size(&all);
	data = malloc(*len + 1);
	if (!data)
		abort(); /* GLib also aborts when out of memory. */
	gn__disturbances__pack(&all, data);
	for (size_t i = 0; i < all.n_pairs; i++)
		g_free(all.pairs[i]);
	g_free(all.pairs);
	return data;
}

static bool is_row_valid(const Gn__Disturbance *row)
{
	return row->weight >= 0 && row->weight <= WEIGHT_MAX &&
	       row->variance >= 0 && row->variance <= INITIAL_VARIANCE;
}

gn_code_t gn_interference_unpack(gn_interference_t *interference,
				 const uint8_t *data, size_t len)
{
	Gn__Disturbances *all = gn__disturbances__unpack(NULL, len, data);
	gn_code_t code = GN_OK;

	if (!all)
		return GN_ERR_INVALID;
	for (size_t i = 0; i < all->n_pairs && i < PAIRS_MAX; i++) {
		const Gn__Disturbance *row = all->pairs[i];
		pair_t *pair;

		if (!is_row_valid(row)) {
			code = GN_ERR_INVALID;
			continue;
		}
		pair = get_or_create_pair(interference,
					  g_intern_string(row->serves),
					  g_intern_string(row->fills));
		pair->weight = row->weight;
		pair->variance = fmin(INITIAL_VARIANCE,
				      row->variance + VARIANCE_AFTER_LOAD);
	}
	gn__disturbances__free_unpacked(all, NULL);
	return code;
}
