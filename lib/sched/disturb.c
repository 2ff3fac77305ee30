#include "sched/disturb.h"

#include <glib.h>

/** Part of an error that one reading corrects. */
#define LEARNING_RATE 0.5
/** The baseline's part in a reading, as a squared share of the processors. */
#define BASELINE_PART 0.01
/** Largest weight, milliseconds. */
#define WEIGHT_MAX 5000.0

struct gn_disturb_s {
	GHashTable *weights; /**< "SERVES FILLS" (interned) to double */
};

static int free_disturb(gn_disturb_t *disturb)
{
	g_hash_table_destroy(disturb->weights);
	return 0;
}

gn_disturb_t *gn_disturb_create(TALLOC_CTX *parent)
{
	gn_disturb_t *disturb = talloc_zero(parent, gn_disturb_t);

	if (!disturb)
		return NULL;
	disturb->weights =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	talloc_set_destructor(disturb, free_disturb);
	return disturb;
}

static double *find(const gn_disturb_t *disturb, const char *serves,
		    const char *fills)
{
	char key[256];

	g_snprintf(key, sizeof(key), "%s %s", serves, fills);
	return g_hash_table_lookup(disturb->weights, key);
}

double gn_disturb_weight(const gn_disturb_t *disturb, const char *serves,
			 const char *fills)
{
	const double *weight = find(disturb, serves, fills);

	return weight ? *weight : 0;
}

double gn_disturb_added_ms(const gn_disturb_t *disturb, const char *serves,
			   const gn_fill_use_t *uses, size_t count)
{
	double added_ms = 0;

	for (size_t i = 0; i < count; i++)
		added_ms += uses[i].share *
			    gn_disturb_weight(disturb, serves, uses[i].image);
	return added_ms;
}

static void correct(gn_disturb_t *disturb, const char *serves,
		    const char *fills, double change)
{
	double *weight = find(disturb, serves, fills);

	if (!weight) {
		weight = g_new0(double, 1);
		g_hash_table_insert(disturb->weights,
				    g_strdup_printf("%s %s", serves, fills),
				    weight);
	}
	*weight = CLAMP(*weight + change, 0, WEIGHT_MAX);
}

void gn_disturb_learn(gn_disturb_t *disturb, const char *serves, double tail_ms,
		      double *baseline_ms, const gn_fill_use_t *uses,
		      size_t count)
{
	double added_ms = gn_disturb_added_ms(disturb, serves, uses, count);
	double norm = BASELINE_PART;
	double error_ms;

	if (*baseline_ms < 0)
		*baseline_ms = MAX(0, tail_ms - added_ms);
	error_ms = tail_ms - *baseline_ms - added_ms;
	for (size_t i = 0; i < count; i++)
		norm += uses[i].share * uses[i].share;
	*baseline_ms += LEARNING_RATE * error_ms * BASELINE_PART / norm;
	*baseline_ms = MAX(0, *baseline_ms);
	for (size_t i = 0; i < count; i++)
		if (uses[i].share > 0)
			correct(disturb, serves, uses[i].image,
				LEARNING_RATE * error_ms * uses[i].share /
					norm);
}
