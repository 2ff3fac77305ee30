#include <glib.h>
#include <math.h>

#include "sched/disturb.h"

/** A serving task whose tail the rig makes up, and readings of it. */
#define OWN_TAIL_MS 10.0
#define READINGS 40

/* The tail under uses with the true weights of @p heavy and of the rest. */
static double get_tail_ms(const gn_fill_use_t *uses, size_t count,
			  const char *heavy)
{
	double sum = 0;

	for (size_t i = 0; i < count; i++)
		sum += uses[i].share * (uses[i].image == heavy ? 4.0 : 0.0);
	return OWN_TAIL_MS * exp(sum);
}

static void test_blames_the_pair_that_disturbs(void)
{
	gn_disturb_t *disturb = gn_disturb_create(NULL);
	const char *serves = g_intern_string("s");
	const char *heavy = g_intern_string("heavy");
	const char *light = g_intern_string("light");
	double baseline = -1;

	for (int i = 0; i < READINGS; i++) {
		const gn_fill_use_t uses[] = {
			{ heavy, i % 2 ? 0.4 : 0.0 },
			{ light, i % 3 ? 0.4 : 0.0 },
		};

		gn_disturb_learn(disturb, serves, get_tail_ms(uses, 2, heavy),
				 &baseline, uses, 2);
	}
	g_assert_cmpfloat(gn_disturb_weight(disturb, serves, heavy), >, 3.0);
	g_assert_cmpfloat(gn_disturb_weight(disturb, serves, light), <, 0.4);
	g_assert_cmpfloat_with_epsilon(exp(baseline), OWN_TAIL_MS, 2.0);
	talloc_free(disturb);
}

static void test_pairs_are_apart(void)
{
	gn_disturb_t *disturb = gn_disturb_create(NULL);
	const char *suffers = g_intern_string("suffers");
	const char *other = g_intern_string("other");
	const char *fills = g_intern_string("fills");
	const gn_fill_use_t use = { fills, 0.5 };
	double baseline = log(OWN_TAIL_MS);
	double calm = log(OWN_TAIL_MS);

	for (int i = 0; i < READINGS; i++) {
		gn_disturb_learn(disturb, suffers, 4 * OWN_TAIL_MS, &baseline,
				 &use, 1);
		gn_disturb_learn(disturb, other, OWN_TAIL_MS, &calm, &use, 1);
	}
	g_assert_cmpfloat(gn_disturb_sum(disturb, suffers, &use, 1), >, 0.8);
	g_assert_cmpfloat(gn_disturb_sum(disturb, other, &use, 1), <, 0.1);
	talloc_free(disturb);
}

/* A weight that has grown too large must come down again. */
static void test_forgives(void)
{
	gn_disturb_t *disturb = gn_disturb_create(NULL);
	const char *serves = g_intern_string("s");
	const char *fills = g_intern_string("f");
	const gn_fill_use_t use = { fills, 0.1 };
	double baseline = log(OWN_TAIL_MS);

	for (int i = 0; i < 3; i++)
		gn_disturb_learn(disturb, serves, 50 * OWN_TAIL_MS, &baseline,
				 &use, 1);
	for (int i = 0; i < READINGS; i++)
		gn_disturb_learn(disturb, serves, OWN_TAIL_MS, &baseline, &use,
				 1);
	g_assert_cmpfloat(gn_disturb_sum(disturb, serves, &use, 1), <, 0.2);
	talloc_free(disturb);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/disturb/blames_the_pair_that_disturbs",
			test_blames_the_pair_that_disturbs);
	g_test_add_func("/disturb/pairs_are_apart", test_pairs_are_apart);
	g_test_add_func("/disturb/forgives", test_forgives);
	return g_test_run();
}
