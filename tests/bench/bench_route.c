/**
 * @file bench_route.c
 * @brief Measures the routing decisions for requests against baselines.
 *
 * A queueing model runs on a simulated clock; the baselines belong to the same
 * run.
 * usage: bench_route [SEED [pick|delay|limit|retry|eject|cost]]
 */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "support/queue_model.h"

#define DEFAULT_SEED 7
#define SECONDS(count) ((uint64_t)(count)*GN_US_PER_S)

static guint32 seed = DEFAULT_SEED;

static model_config_t base_config(void)
{
	model_config_t config = {
		.seed = seed,
		.workers = 11,
		.data_centres = 3,
		.entries = 2,
		.cores = 32,
		.connections = 64,
		.one_way_us = 1000,
		.service_us = 20000,
		.load_pct = 80,
		.report_interval_us = 500000,
		.report_delay_us = SECONDS(1),
		.warm_up_us = SECONDS(3),
		.length_us = SECONDS(6),
		.deadline_us = SECONDS(2),
		.repeatable_pct = 50,
		.policy = GN_ROUTE_TWO_CHOICES,
		.use_retry = true,
	};

	return config;
}

static double to_percent(uint64_t part, uint64_t whole)
{
	return whole ? 100.0 * (double)part / (double)whole : 0;
}

static double to_ms(uint32_t us)
{
	return us / (double)GN_US_PER_MS;
}

/* ======   Pick   ====== */

static void print_policies(const char *title, const model_config_t *like)
{
	static const unsigned loads[] = { 50, 80, 95, 120 };

	printf("\n### %s\n\n", title);
	printf("| load | policy | p50 ms | p99 ms | p99.9 ms | spread | "
	       "refused |\n|---|---|---|---|---|---|---|\n");
	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		for (int j = 0; j < GN_ROUTE_POLICY_COUNT; j++) {
			model_config_t config = *like;
			model_result_t r;

			config.load_pct = loads[i];
			config.policy = (gn_route_policy_id_t)j;
			model_run(&config, &r);
			printf("| %u%% | %s | %.1f | %.1f | %.1f | %.3f | "
			       "%.2f%% |\n",
			       loads[i], gn_route_policies[j].name,
			       to_ms(r.p50_us), to_ms(r.p99_us),
			       to_ms(r.p999_us), r.spread,
			       to_percent(r.not_run, r.requests));
		}
	}
}

static void bench_pick(void)
{
	model_config_t config = base_config();

	print_policies("Pick: 11 workers of 32 cores, 2 entries, 1 ms, "
		       "reports 1 s late",
		       &config);
	config.piggyback = true;
	print_policies("Pick: the same, with a report on each answer", &config);
	config = base_config();
	config.cores = 16;
	config.one_way_us = 1500;
	print_policies("Pick: 11 workers of 16 cores, 2 entries, 1.5 ms, "
		       "reports 1 s late",
		       &config);
	config.faulty = 1;
	config.fault = MODEL_SLOW;
	print_policies("Pick: the same, one worker ten times slower", &config);
}

static void bench_delay(void)
{
	static const unsigned loads[] = { 50, 80, 95 };

	printf("\n### Pick: one of three data centres 20 ms away, 32 cores\n\n");
	printf("| load | delays | p50 ms | p99 ms | p99.9 ms |\n"
	       "|---|---|---|---|---|\n");
	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		for (int unaware = 1; unaware >= 0; unaware--) {
			model_config_t config = base_config();
			model_result_t r;

			config.load_pct = loads[i];
			config.last_one_way_us = 20000;
			config.unaware = unaware;
			model_run(&config, &r);
			printf("| %u%% | %s | %.1f | %.1f | %.1f |\n", loads[i],
			       unaware ? "1 ms assumed" : "by inventory",
			       to_ms(r.p50_us), to_ms(r.p99_us),
			       to_ms(r.p999_us));
		}
	}
}

/* ======   Limits   ====== */

static void bench_limit(void)
{
	static const uint64_t deadlines_ms[] = { 100, 200, 2000 };

	printf("\n### Admission at 150%% offered load\n\n");
	printf("| deadline ms | limit | goodput of capacity | admitted in time "
	       "| p99 ms | refused | refusal heard p99 ms |\n"
	       "|---|---|---|---|---|---|---|\n");
	for (size_t i = 0; i < G_N_ELEMENTS(deadlines_ms); i++) {
		for (int is_enabled = 0; is_enabled < 2; is_enabled++) {
			model_config_t config = base_config();
			model_result_t r;
			double capacity;

			config.load_pct = 150;
			config.deadline_us = deadlines_ms[i] * GN_US_PER_MS;
			config.use_limit = is_enabled;
			config.use_eject = true;
			config.piggyback = true;
			model_run(&config, &r);
			capacity = (double)r.requests / 1.5;
			printf("| %u | %s | %.1f%% | %.2f%% | %.1f | %.1f%% | "
			       "%.1f |\n",
			       (unsigned)deadlines_ms[i],
			       is_enabled ? "on" : "off",
			       100.0 * (double)r.in_time / capacity,
			       to_percent(r.in_time, r.succeeded),
			       to_ms(r.p99_us),
			       to_percent(r.not_run, r.requests),
			       to_ms(r.refusal_p99_us));
		}
	}
}

/* ======   Retries and ejection   ====== */

static void bench_retry(void)
{
	static const model_fault_t faults[] = { MODEL_FAILS_FAST,
						MODEL_REFUSES };
	static const char *const names[] = { "fail", "refuse" };

	printf("\n### Retries: 4 of 11 workers fail, 50%% load\n\n");
	printf("| workers | ejection | tries a request | failed | not run |\n"
	       "|---|---|---|---|---|\n");
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		for (int is_enabled = 0; is_enabled < 2; is_enabled++) {
			model_config_t config = base_config();
			model_result_t r;

			config.load_pct = 50;
			config.faulty = 4;
			config.fault = faults[i];
			config.use_eject = is_enabled;
			config.warm_up_us = 0;
			model_run(&config, &r);
			printf("| %s | %s | %.3f | %.2f%% | %.2f%% |\n",
			       names[i], is_enabled ? "on" : "off",
			       (double)r.attempts / (double)r.requests,
			       to_percent(r.failed, r.requests),
			       to_percent(r.not_run, r.requests));
		}
	}
}

typedef struct eject_case_s {
	const char *name;
	model_fault_t fault;
	unsigned faulty;
	uint64_t warm_up_s;
} eject_case_t;

static void bench_eject(void)
{
	static const eject_case_t cases[] = {
		{ "one fails fast, first 2 s", MODEL_FAILS_FAST, 1, 0 },
		{ "one fails fast, after 2 s", MODEL_FAILS_FAST, 1, 2 },
		{ "one slow, after 2 s", MODEL_SLOW, 1, 2 },
		{ "one flaps, after 2 s", MODEL_FLAPS, 1, 2 },
		{ "5 of 11 fail fast, after 2 s", MODEL_FAILS_FAST, 5, 2 },
		{ "all fail fast, after 2 s", MODEL_FAILS_FAST, 11, 2 },
	};

	printf("\n### Ejection: 11 workers, 50%% load, no retries\n\n");
	printf("| workers | ejection | failed | p99 ms | bad out | good out "
	       "|\n|---|---|---|---|---|---|\n");
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (int is_enabled = 0; is_enabled < 2; is_enabled++) {
			model_config_t config = base_config();
			model_result_t r;

			config.load_pct = 50;
			config.faulty = cases[i].faulty;
			config.fault = cases[i].fault;
			config.use_eject = is_enabled;
			config.use_retry = false;
			config.warm_up_us = SECONDS(cases[i].warm_up_s);
			config.length_us = SECONDS(cases[i].warm_up_s ? 20 : 2);
			model_run(&config, &r);
			printf("| %s | %s | %.3f%% | %.1f | %u | %u |\n",
			       cases[i].name, is_enabled ? "on" : "off",
			       to_percent(r.failed, r.requests),
			       to_ms(r.p99_us), r.faulty_ejected,
			       r.healthy_ejected);
		}
	}
}

/* ======   Cost   ====== */

static double now_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e9 + (double)now.tv_nsec;
}

static gn_route_view_t *create_fleet(const gn_clock_t *clock, unsigned workers)
{
	gn_route_view_t *view =
		gn_route_view_create(NULL, clock, GN_STR("dc-0"));

	for (unsigned i = 0; i < workers; i++) {
		char name[32];
		char centre[32];
		gn_route_worker_t *worker;
		gn_route_spec_t spec = {
			.service = GN_STR("service"),
			.max_connections = 64,
			.cores = 32,
			.one_way_us = i % 3 ? 1000 : 50,
		};
		gn_route_report_t report = { i % 32, 20000, false, true, 1 };

		snprintf(name, sizeof(name), "worker-%u", i);
		snprintf(centre, sizeof(centre), "dc-%u", i % 3);
		spec.name = gn_str_from(name);
		spec.data_centre = gn_str_from(centre);
		gn_route_view_put(view, &spec, &worker);
		gn_route_view_report(view, worker, &report);
	}
	return view;
}

static double time_decisions(unsigned workers, gn_route_policy_id_t policy,
			     unsigned rounds)
{
	GRand *rand = g_rand_new_with_seed(seed);
	gn_route_view_t *view;
	gn_clock_t clock;
	double start;
	double elapsed_ns;

	gn_clock_init_paused(&clock, GN_US_PER_S);
	view = create_fleet(&clock, workers);
	start = now_ns();
	for (unsigned i = 0; i < rounds; i++) {
		gn_route_choice_t choice;

		if (gn_route_pick(&gn_route_policies[policy], view,
				  GN_STR("service"), rand, NULL,
				  &choice) != GN_OK)
			abort();
		gn_route_view_begin_dispatch(view, choice.worker);
		gn_route_view_end_dispatch(view, choice.worker);
	}
	elapsed_ns = now_ns() - start;
	talloc_free(view);
	g_rand_free(rand);
	return elapsed_ns / rounds;
}

static void bench_cost(void)
{
	static const unsigned sizes[] = { 11, 100, 1000, 10000 };

	printf("\n### Processor time of a decision (pick, begin, end), ns\n\n");
	printf("| workers | two-choices | least-reported |\n|---|---|---|\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		printf("| %u | %.0f | %.0f |\n", sizes[i],
		       time_decisions(sizes[i], GN_ROUTE_TWO_CHOICES, 1000000),
		       time_decisions(sizes[i], GN_ROUTE_LEAST_REPORTED,
				      20000000 / (sizes[i] + 1000)));
}

typedef struct table_s {
	const char *name;
	void (*print)(void);
} table_t;

static const table_t tables[] = {
	{ "pick", bench_pick },	  { "delay", bench_delay },
	{ "limit", bench_limit }, { "retry", bench_retry },
	{ "eject", bench_eject }, { "cost", bench_cost },
};

int main(int argc, char **argv)
{
	if (argc > 1)
		seed = (guint32)strtoul(argv[1], NULL, 10);
	printf("seed %u\n", seed);
	for (size_t i = 0; i < G_N_ELEMENTS(tables); i++)
		if (argc < 3 || !g_strcmp0(argv[2], tables[i].name))
			tables[i].print();
	return 0;
}
