/**
 * @file walk_batch.c
 * @brief Seeded random walks over the batch decisions, out of CI.
 *
 * usage: walk_batch [WALKS [SEED [MUTANT]]]
 * Walks the seeds SEED, SEED + 1, ...; prints violations with their seed, and
 * how often each fault occurred and each path was taken. With a mutant's name
 * that planted bug is on.
 */
#include "support/batch_mutants.h"

#include <stdio.h>

#include "support/batch_model.h"
#include "support/batch_mutant_list.h"

/** Violations printed in full. */
#define PRINTED_MAX 10

static uint32_t parse(const char *text, uint32_t otherwise)
{
	return text ? (uint32_t)g_ascii_strtoull(text, NULL, 10) : otherwise;
}

static void print_counts(const gn_model_counts_t *counts)
{
#define GN_MODEL_PRINT(name) \
	printf("  %-20s %llu\n", #name, (unsigned long long)counts->name);
	GN_MODEL_COUNTS(GN_MODEL_PRINT)
#undef GN_MODEL_PRINT
}

int main(int argc, char **argv)
{
	uint32_t walks = parse(argc > 1 ? argv[1] : NULL, 1000);
	uint32_t seed = parse(argc > 2 ? argv[2] : NULL, 1);
	const mutant_t *mutant = argc > 3 ? find_mutant(argv[3]) : NULL;
	gn_model_counts_t counts = { 0 };
	uint32_t violations = 0;
	uint32_t walked = 0;

	if (argc > 3 && !mutant) {
		fprintf(stderr, "no such mutant: %s\n", argv[3]);
		return 2;
	}
	if (mutant && mutant->on)
		*mutant->on = true;
	for (; walked < walks; walked++) {
		const char *violation = gn_model_walk(
			seed + walked, mutant && !mutant->on, &counts);

		if (violation && violations++ < PRINTED_MAX)
			printf("seed %u: %s\n", seed + walked, violation);
	}
	printf("mutant %s, seeds %u..%u, %u walks, %u with a violation\n",
	       mutant ? mutant->name : "none", seed, seed + walked - 1, walked,
	       violations);
	print_counts(&counts);
	return violations && !mutant;
}
