#include "sched/disturb.h"

#include <glib.h>
#include <math.h>

/** Part of an error that one reading corrects. */
#define LEARNING_RATE 0.5
/** The baseline's part in a reading, as a squared share of the processors. */
#define BASELINE_PART 0.04
/** Weight of a pair that was not seen yet, and the largest. */
#define WEIGHT_NEW 0.3
#define WEIGHT_MAX 20.0

struct gn_disturb_s {
	GHashTable *serves; /**< image to a table of image to double */
};

static void free_table(gpointer table)
{
	g_hash_table_destroy(table);
}

static int free_disturb(gn_disturb_t *disturb)
{
	g_hash_table_destroy(disturb->serves);
	return 0;
}

gn_disturb_t *gn_disturb_create(TALLOC_CTX *parent)
{
	gn_disturb_t *disturb = talloc_zero(parent, gn_disturb_t);

	if (!disturb)
		return NULL;
	disturb->serves = g_hash_table_new_full(g_direct_hash, g_direct_equal,
						NULL, free_table);
	talloc_set_destructor(disturb, free_disturb);
	return disturb;
}

static double *find(const gn_disturb_t *disturb, const char *serves,
		    const char *fills)
{
	GHashTable *table = g_hash_table_lookup(disturb->serves, serves);

	return table ? g_hash_table_lookup(table, fills) : NULL;
}

static double *create(gn_disturb_t *disturb, const char *serves,
		      const char *fills)
{
	GHashTable *table = g_hash_table_lookup(disturb->serves, serves);
	double *weight = g_new(double, 1);

	if (!table) {
		table = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					      NULL, g_free);
		g_hash_table_insert(disturb->serves, (gpointer)serves, table);
	}
	*weight = WEIGHT_NEW;
	g_hash_table_insert(table, (gpointer)fills, weight);
	return weight;
}

double gn_disturb_weight(const gn_disturb_t *disturb, const char *serves,
			 const char *fills)
{
	const double *weight = find(disturb, serves, fills);

	return weight ? *weight : WEIGHT_NEW;
}

double gn_disturb_sum(const gn_disturb_t *disturb, const char *serves,
		      const gn_fill_use_t *uses, size_t count)
{
	double sum = 0;

	for (size_t i = 0; i < count; i++)
		sum += uses[i].share *
		       gn_disturb_weight(disturb, serves, uses[i].image);
	return sum;
}

static void correct(gn_disturb_t *disturb, const char *serves,
		    const char *fills, double change)
{
	double *weight = find(disturb, serves, fills);

	if (!weight)
		weight = create(disturb, serves, fills);
	*weight = CLAMP(*weight + change, 0, WEIGHT_MAX);
}

void gn_disturb_learn(gn_disturb_t *disturb, const char *serves, double tail_ms,
		      double *baseline, const gn_fill_use_t *uses, size_t count)
{
	double sum = gn_disturb_sum(disturb, serves, uses, count);
	double norm = BASELINE_PART;
	double error;

	if (*baseline < 0)
		*baseline = fmax(0, log(tail_ms) - sum);
	error = log(tail_ms) - *baseline - sum;
	for (size_t i = 0; i < count; i++)
		norm += uses[i].share * uses[i].share;
	*baseline += LEARNING_RATE * error * BASELINE_PART / norm;
	*baseline = fmax(0, *baseline);
	for (size_t i = 0; i < count; i++)
		if (uses[i].share > 0)
			correct(disturb, serves, uses[i].image,
				LEARNING_RATE * error * uses[i].share / norm);
}
