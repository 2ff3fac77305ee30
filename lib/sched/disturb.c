#include "sched/disturb.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>

#include "common/clock.h"
#include "job/job.pb-c.h"

/*
 * Variances and weights: fitted to the readings of a day of the users' bench;
 * docs/PLATFORM-DESIGN.md.
 */

/** Variance of a reading of the headroom. */
#define READING_VARIANCE 0.05
/** Growth of the variance of a step's own headroom, a second: load moves. */
#define ALONE_VARIANCE_PER_S 0.8
/** The same before it is known well, and at most. */
#define ALONE_VARIANCE_NEW 1.0
/** A pair that was not seen yet: most are light. */
#define WEIGHT_NEW 2.5
#define VARIANCE_NEW 7.0
/** Growth of a weight's variance with each reading: pairs change slowly. */
#define VARIANCE_GROWTH 0.0005
/** An error of more than this many standard deviations is a surprise. */
#define SURPRISE 3.0
/** A surprise makes its pairs this much less certain. */
#define SURPRISE_FACTOR 2.0
/** Added to the variance of what a predecessor knew: time has passed. */
#define VARIANCE_HANDED_ON 0.2
/** Pairs that are kept; callers choose the images. */
#define PAIRS_MAX 4096
/** The largest weight. */
#define WEIGHT_MAX 40.0
/** Uses of a smaller share teach nothing. */
#define SHARE_MIN 0.003

/** What is known of a pair. */
typedef struct pair_s {
	double weight;
	double variance;
} pair_t;

struct gn_interference_s {
	GHashTable *serves; /**< image to a table of image to pair_t */
	size_t count; /**< of all pairs */
};

static void free_table(gpointer table)
{
	g_hash_table_destroy(table);
}

static int free_disturb(gn_interference_t *disturb)
{
	g_hash_table_destroy(disturb->serves);
	return 0;
}

gn_interference_t *gn_interference_create(TALLOC_CTX *parent)
{
	gn_interference_t *disturb = talloc_zero(parent, gn_interference_t);

	if (!disturb)
		return NULL;
	disturb->serves = g_hash_table_new_full(g_direct_hash, g_direct_equal,
						NULL, free_table);
	talloc_set_destructor(disturb, free_disturb);
	return disturb;
}

static pair_t *find(const gn_interference_t *disturb, const char *serves,
		    const char *fills)
{
	GHashTable *table = g_hash_table_lookup(disturb->serves, serves);

	return table ? g_hash_table_lookup(table, fills) : NULL;
}

static pair_t *create(gn_interference_t *disturb, const char *serves,
		      const char *fills)
{
	GHashTable *table;
	pair_t *pair = g_new(pair_t, 1);

	/* rather learns anew than grows without bound */
	if (disturb->count == PAIRS_MAX) {
		g_hash_table_remove_all(disturb->serves);
		disturb->count = 0;
	}
	table = g_hash_table_lookup(disturb->serves, serves);
	if (!table) {
		table = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					      NULL, g_free);
		g_hash_table_insert(disturb->serves, (gpointer)serves, table);
	}
	pair->weight = WEIGHT_NEW;
	pair->variance = VARIANCE_NEW;
	g_hash_table_insert(table, (gpointer)fills, pair);
	disturb->count++;
	return pair;
}

double gn_interference_weight(const gn_interference_t *disturb,
			      const char *serves, const char *fills)
{
	const pair_t *pair = find(disturb, serves, fills);

	return pair ? pair->weight : WEIGHT_NEW;
}

double gn_interference_weight_bound(const gn_interference_t *disturb,
				    const char *serves, const char *fills)
{
	const pair_t *pair = find(disturb, serves, fills);

	return pair ? pair->weight + sqrt(pair->variance)
		    : WEIGHT_NEW + sqrt(VARIANCE_NEW);
}

double gn_interference_loss(const gn_interference_t *disturb,
			    const char *serves, const gn_image_use_t *uses,
			    size_t count)
{
	double sum = 0;

	for (size_t i = 0; i < count; i++)
		sum += uses[i].share *
		       gn_interference_weight(disturb, serves, uses[i].image);
	return sum;
}

static pair_t *get(gn_interference_t *disturb, const char *serves,
		   const char *fills)
{
	pair_t *pair = find(disturb, serves, fills);

	return pair ? pair : create(disturb, serves, fills);
}

/* The variance of a reading's error. */
static double get_variance(gn_interference_t *disturb, const char *serves,
			   const gn_headroom_t *alone,
			   const gn_image_use_t *uses, size_t count)
{
	double sum = READING_VARIANCE + alone->variance;

	for (size_t i = 0; i < count; i++)
		sum += get(disturb, serves, uses[i].image)->variance *
		       uses[i].share * uses[i].share;
	return sum;
}

static void doubt(pair_t *pair)
{
	pair->variance = fmin(VARIANCE_NEW, pair->variance * SURPRISE_FACTOR);
}

static void correct(pair_t *pair, double share, double error, double variance)
{
	double gain = pair->variance * share / variance;

	pair->weight = CLAMP(pair->weight - gain * error, 0, WEIGHT_MAX);
	pair->variance = pair->variance * (1 - gain * share) + VARIANCE_GROWTH;
}

/* The load may have moved since the last reading. */
static void age(gn_headroom_t *alone, uint64_t now_us)
{
	double passed_s = (double)(now_us - alone->updated_us) / GN_US_PER_S;

	alone->variance =
		fmin(ALONE_VARIANCE_NEW,
		     alone->variance + passed_s * ALONE_VARIANCE_PER_S);
	alone->updated_us = now_us;
}

void gn_interference_update(gn_interference_t *disturb, const char *serves,
			    double headroom, gn_headroom_t *alone,
			    const gn_image_use_t *uses, size_t count,
			    uint64_t now_us)
{
	double sum = gn_interference_loss(disturb, serves, uses, count);
	double variance;
	double error;

	if (!alone->updated_us) {
		alone->value = headroom + sum;
		alone->variance = ALONE_VARIANCE_NEW;
		alone->updated_us = now_us;
		return;
	}
	age(alone, now_us);
	error = headroom - (alone->value - sum);
	variance = get_variance(disturb, serves, alone, uses, count);
	if (error * error > SURPRISE * SURPRISE * variance) {
		for (size_t i = 0; i < count; i++)
			doubt(get(disturb, serves, uses[i].image));
		variance = get_variance(disturb, serves, alone, uses, count);
	}
	alone->value += error * alone->variance / variance;
	alone->variance *= 1 - alone->variance / variance;
	for (size_t i = 0; i < count; i++)
		if (uses[i].share > SHARE_MIN)
			correct(get(disturb, serves, uses[i].image),
				uses[i].share, error, variance);
}

/* ======   Handing on   ====== */

static void add_rows(Gn__Disturbances *all, const char *serves,
		     GHashTable *table)
{
	GHashTableIter iter;
	gpointer fills;
	gpointer value;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, &fills, &value)) {
		const pair_t *pair = value;
		Gn__Disturbance *row = g_new(Gn__Disturbance, 1);

		gn__disturbance__init(row);
		row->serves = (char *)serves;
		row->fills = fills;
		row->weight = pair->weight;
		row->variance = pair->variance;
		all->pairs[all->n_pairs++] = row;
	}
}

uint8_t *gn_interference_pack(const gn_interference_t *disturb, size_t *len)
{
	Gn__Disturbances all = GN__DISTURBANCES__INIT;
	GHashTableIter iter;
	gpointer serves;
	gpointer table;
	uint8_t *data;

	all.pairs = g_new(Gn__Disturbance *, disturb->count + 1);
	g_hash_table_iter_init(&iter, disturb->serves);
	while (g_hash_table_iter_next(&iter, &serves, &table))
		add_rows(&all, serves, table);
	*len = gn__disturbances__get_packed_size(&all);
	data = malloc(*len + 1);
	if (!data)
		abort(); /* as GLib does when memory is short */
	gn__disturbances__pack(&all, data);
	for (size_t i = 0; i < all.n_pairs; i++)
		g_free(all.pairs[i]);
	g_free(all.pairs);
	return data;
}

static bool is_sound(const Gn__Disturbance *row)
{
	return row->weight >= 0 && row->weight <= WEIGHT_MAX &&
	       row->variance >= 0 && row->variance <= VARIANCE_NEW;
}

gn_code_t gn_interference_unpack(gn_interference_t *disturb,
				 const uint8_t *data, size_t len)
{
	Gn__Disturbances *all = gn__disturbances__unpack(NULL, len, data);
	gn_code_t code = GN_OK;

	if (!all)
		return GN_ERR_INVALID;
	for (size_t i = 0; i < all->n_pairs && i < PAIRS_MAX; i++) {
		const Gn__Disturbance *row = all->pairs[i];
		pair_t *pair;

		if (!is_sound(row)) {
			code = GN_ERR_INVALID;
			break;
		}
		pair = get(disturb, g_intern_string(row->serves),
			   g_intern_string(row->fills));
		pair->weight = row->weight;
		pair->variance =
			fmin(VARIANCE_NEW, row->variance + VARIANCE_HANDED_ON);
	}
	gn__disturbances__free_unpacked(all, NULL);
	return code;
}
