/**
 * @file test_batch_walk.c
 * @brief Randomized model tests of the batch modules with fixed seeds, and the
 * planted bugs that they must detect. support/walk.h tells how to run more.
 */
#include "support/batch_mutants.h"

#include "support/batch_model.h"
#include "support/walk.h"

#define COUNTS (sizeof(gn_model_counts_t) / sizeof(uint64_t))
#define PAIRS (GN_MODEL_PAIRED_COUNT * GN_MODEL_PAIRED_COUNT)

/** Planted bugs by number; the switch is NULL if the bug is in the model. */
static const struct {
	bool *on;
	gn_model_bug_t bug;
} switches[] = {
	{ NULL, GN_MODEL_BUG_NONE },
	{ &gn_mutants.skip_epoch_check, GN_MODEL_BUG_NONE },
	{ &gn_mutants.start_before_claim, GN_MODEL_BUG_NONE },
	{ &gn_mutants.forget_predecessor, GN_MODEL_BUG_NONE },
	{ &gn_mutants.count_from_receipt, GN_MODEL_BUG_NONE },
	{ &gn_mutants.early_move, GN_MODEL_BUG_NONE },
	{ &gn_mutants.blind_write, GN_MODEL_BUG_NONE },
	{ &gn_mutants.promise_while_moving, GN_MODEL_BUG_NONE },
	{ &gn_mutants.no_confirmation, GN_MODEL_BUG_NONE },
	{ &gn_mutants.no_vouching, GN_MODEL_BUG_NONE },
	{ &gn_mutants.adopt_older, GN_MODEL_BUG_NONE },
	{ &gn_mutants.tell_before_durable, GN_MODEL_BUG_NONE },
	{ NULL, GN_MODEL_BUG_EARLY_ACK },
	{ NULL, GN_MODEL_BUG_EARLY_RETIRE },
};

static const gn_walk_mutant_t mutants[G_N_ELEMENTS(switches)] = {
	{ "none", 0, 0 },
	{ "skip-epoch-check", 1, 50 },
	{ "start-before-claim", 1, 50 },
	{ "forget-predecessor", 4, 600 },
	{ "count-from-receipt", 1, 600 },
	{ "early-move", 1, 50 },
	{ "blind-write", 1, 50 },
	{ "promise-while-moving", 1, 600 },
	{ "no-confirmation", 1, 400 },
	{ "no-vouching", 4, 200 },
	{ "adopt-older", 4, 600 },
	{ "tell-before-durable", 1, 50 },
	{ "early-ack", 4, 200 },
	{ "early-retire", 1, 600 },
};

static const char *run(guint32 seed, unsigned mutant, uint64_t *counts)
{
	bool *on = switches[mutant].on;
	const char *violation;

	if (on)
		*on = true;
	violation = gn_model_walk(seed, switches[mutant].bug,
				  (gn_model_counts_t *)(void *)counts);
	if (on)
		*on = false;
	return violation;
}

/** The same seed must give the same walk, so that failures can be replayed. */
static void test_replay(void)
{
	gn_model_counts_t first = { 0 };
	gn_model_counts_t second = { 0 };

	g_assert_null(gn_model_walk(3, GN_MODEL_BUG_NONE, &first));
	g_assert_null(gn_model_walk(3, GN_MODEL_BUG_NONE, &second));
	g_assert_cmpmem(&first, sizeof(first), &second, sizeof(second));
}

static void name_pairs(gn_walk_count_t *counts)
{
#define PAIRED_NAME(name) #name,
	static const char *const names[] = { GN_MODEL_PAIRED(PAIRED_NAME) };
#undef PAIRED_NAME
	static char texts[PAIRS][64];

	for (int i = 0; i < PAIRS; i++) {
		int a = i / GN_MODEL_PAIRED_COUNT;
		int b = i % GN_MODEL_PAIRED_COUNT;

		counts[i] = (gn_walk_count_t){ texts[i], GN_WALK_SOME };
		if (a < b)
			g_snprintf(texts[i], sizeof(texts[i]), "%s + %s",
				   names[a], names[b]);
		else if (a == b)
			counts[i].name = names[a];
		else
			counts[i] = (gn_walk_count_t){ NULL, GN_WALK_ANY };
	}
}

int main(int argc, char **argv)
{
	static gn_walk_count_t counts[COUNTS] = {
#define COUNT_NAME(name) { #name, GN_WALK_SOME },
		GN_MODEL_COUNTS(COUNT_NAME)
#undef COUNT_NAME
	};
	static const gn_walk_plan_t plan = {
		.path = "/batch-walk",
		.walks = 300,
		.counts = counts,
		.count_count = COUNTS,
		.mutants = mutants,
		.mutant_count = G_N_ELEMENTS(mutants),
		.run = run,
	};

	g_test_init(&argc, &argv, NULL);
	name_pairs(&counts[COUNTS - PAIRS - 1]);
	counts[COUNTS - 1] =
		(gn_walk_count_t){ "outage + outage", GN_WALK_SOME };
	g_test_add_func("/batch-walk/replay", test_replay);
	gn_walk_add(&plan);
	return g_test_run();
}
