/**
 * @file bench_place.c
 * @brief Measures the placement of batch tasks against baseline policies.
 *
 * A model of a fleet runs on a simulated clock; the baselines belong to the
 * same run. Workers poll every 300 ms; a start takes the time of a commit
 * longer. Actual run times differ from the declared ones by kind and at random.
 * Two racks are taken out of service for a window of the landlord each.
 * usage: bench_place [SEED]
 */
#include <stdio.h>
#include <stdlib.h>

#include "support/place_model.h"

#define DEFAULT_SEED 7

static const struct {
	const char *title;
	place_config_t config;
} fleets[] = {
	{ "Graenbylgja: 11 workers of 32 cores",
	  { .workers = 11,
	    .cores = 32,
	    .memory_mb = 125000,
	    .shares = { 0.02, 0.48, 0.20, 0.05, 0.25 } } },
	{ "Ohrmarken: 11 workers of 16 cores",
	  { .workers = 11,
	    .cores = 16,
	    .memory_mb = 60000,
	    .shares = { 0.05, 0.30, 0.55, 0.02, 0.08 } } },
};

static void print_row(const place_config_t *config)
{
	place_result_t result;

	place_model_run(config, &result);
	printf("| %u%% | %s | %.1f%% | %u | %.1f | %u | %.2f | %.2f | %.1f%% | "
	       "%.0f | %.1f%% | %u |\n",
	       config->load_pct, config->policy->name, result.work_pct,
	       result.evictions, result.lost_core_h, result.avoidable,
	       result.urgent_p50_s, result.urgent_p99_s, result.urgent_late_pct,
	       result.large_p99_s, result.stranded_pct, result.over_capacity);
}

int main(int argc, char **argv)
{
	static const unsigned loads[] = { 60, 90, 120 };
	guint32 seed = DEFAULT_SEED;

	if (argc > 1)
		seed = (guint32)strtoul(argv[1], NULL, 10);
	for (size_t f = 0; f < G_N_ELEMENTS(fleets); f++) {
		place_config_t config = fleets[f].config;

		config.seed = seed;
		printf("\n### %s, 8 h, seed %u\n\n", fleets[f].title, seed);
		printf("| load | policy | work of capacity | evicted | work lost,"
		       " core h | evicted soon | urgent p50 s | p99 s | "
		       "over 1.1 s | large p99 s | stranded | over capacity |\n"
		       "|---|---|---|---|---|---|---|---|---|---|---|---|\n");
		for (size_t l = 0; l < G_N_ELEMENTS(loads); l++) {
			config.load_pct = loads[l];
			for (int p = 0; p < PLACE_POLICY_COUNT; p++) {
				config.policy = &place_policies[p];
				print_row(&config);
			}
		}
	}
	return 0;
}
