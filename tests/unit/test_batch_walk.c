/**
 * @file test_batch_walk.c
 * @brief Seeded random walks over the batch decisions, and the planted bugs
 * that the walks must catch. tests/bench/walk_batch.c walks more.
 */
#include "support/batch_mutants.h"

#include "support/batch_model.h"
#include "support/batch_mutant_list.h"

/** Walks without a planted bug, seeds 1.. */
#define WALKS 300

static const char *walk(uint32_t seed, const mutant_t *mutant,
			gn_model_counts_t *counts)
{
	return gn_model_walk(seed, mutant && !mutant->on, counts);
}

static void test_walks(void)
{
	gn_model_counts_t counts = { 0 };

	for (uint32_t seed = 1; seed <= WALKS; seed++) {
		const char *violation = walk(seed, NULL, &counts);

		if (violation)
			g_error("seed %u: %s", seed, violation);
	}
	/* A walk that never met a fault proves nothing about it. */
#define ASSERT_OCCURRED(name) g_assert_cmpuint(counts.name, >, 0);
	GN_MODEL_COUNTS(ASSERT_OCCURRED)
#undef ASSERT_OCCURRED
}

/** The same seed gives the same walk, or no violation could be replayed. */
static void test_replay(void)
{
	gn_model_counts_t first = { 0 };
	gn_model_counts_t second = { 0 };

	g_assert_null(walk(3, NULL, &first));
	g_assert_null(walk(3, NULL, &second));
	g_assert_cmpmem(&first, sizeof(first), &second, sizeof(second));
}

static void test_mutant(const void *data)
{
	const mutant_t *mutant = data;
	gn_model_counts_t counts = { 0 };
	const char *violation = NULL;
	uint32_t seed = mutant->step;

	if (mutant->on)
		*mutant->on = true;
	for (uint32_t i = 0; i < mutant->walks && !violation; i++) {
		violation = walk(seed, mutant, &counts);
		seed += mutant->step;
	}
	if (mutant->on)
		*mutant->on = false;
	g_assert_nonnull(violation);
	g_test_message("%s: seed %u: %s", mutant->name, seed - mutant->step,
		       violation);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/batch-walk/walks", test_walks);
	g_test_add_func("/batch-walk/replay", test_replay);
	for (size_t i = 0; i < G_N_ELEMENTS(mutants); i++) {
		char *path = g_strdup_printf("/batch-walk/mutant/%s",
					     mutants[i].name);

		g_test_add_data_func(path, &mutants[i], test_mutant);
		g_free(path);
	}
	return g_test_run();
}
