/**
 * Retry policy: a table of attempt results with the expected decision, and
 * seeded random runs. Two mutants treat an attempt without evidence as one that
 * did not run the request, a third ignores the budget; a run must then find a
 * violation.
 */
#include <glib.h>

#include "route/retry.h"

#define SERVICE GN_STR("s")
#define WORKERS 5
#define AMPLE_TIME_US GN_US_PER_S

typedef struct fixture_s {
	gn_clock_t clock;
	gn_route_view_t *view;
	gn_route_worker_t *workers[WORKERS];
	gn_retry_budget_t *budget;
} fixture_t;

static void setup(fixture_t *f, const gn_retry_config_t *config)
{
	gn_clock_init_paused(&f->clock, 1);
	f->view = gn_route_view_create(NULL, &f->clock, GN_STR("here"));
	for (int i = 0; i < WORKERS; i++) {
		char name[] = "a";
		gn_route_spec_t spec = {
			.name = gn_str_from(name),
			.service = SERVICE,
			.data_centre = GN_STR("here"),
			.max_connections = 100,
		};

		name[0] = (char)('a' + i);
		gn_route_view_put(f->view, &spec, &f->workers[i]);
	}
	f->budget = gn_retry_budget_create(f->view, config);
	g_assert_nonnull(f->budget);
}

typedef struct case_s {
	const char *name;
	bool repeatable;
	unsigned count;
	gn_attempt_result_t ends[GN_ROUTE_ATTEMPTS_MAX];
	gn_retry_decision_t last_decision;
	gn_outcome_t outcome;
} case_t;

#define P GN_ATTEMPT_SUCCEEDED
#define F GN_ATTEMPT_FAILED
#define N GN_ATTEMPT_NOT_RUN
#define U GN_ATTEMPT_UNKNOWN

static const case_t cases[] = {
	{ "passed", false, 1, { P }, GN_RETRY_STOP, GN_OUTCOME_DONE },
	{ "failed", false, 1, { F }, GN_RETRY_STOP, GN_OUTCOME_DONE },
	{ "not-run", false, 1, { N }, GN_RETRY_AGAIN, GN_OUTCOME_NOT_RUN },
	{ "unknown", false, 1, { U }, GN_RETRY_STOP, GN_OUTCOME_UNKNOWN },
	{ "not-run-unknown",
	  false,
	  2,
	  { N, U },
	  GN_RETRY_STOP,
	  GN_OUTCOME_UNKNOWN },
	{ "not-run-3",
	  false,
	  3,
	  { N, N, N },
	  GN_RETRY_STOP,
	  GN_OUTCOME_NOT_RUN },
	{ "rep-failed", true, 1, { F }, GN_RETRY_AGAIN, GN_OUTCOME_DONE },
	{ "rep-unknown", true, 1, { U }, GN_RETRY_AGAIN, GN_OUTCOME_UNKNOWN },
	/*
	 * The first attempt may have run the request, so the last one's
	 * evidence is not enough.
	 */
	{ "rep-unknown-not-run",
	  true,
	  2,
	  { U, N },
	  GN_RETRY_AGAIN,
	  GN_OUTCOME_UNKNOWN },
	{ "rep-unknown-passed",
	  true,
	  2,
	  { U, P },
	  GN_RETRY_STOP,
	  GN_OUTCOME_DONE },
	{ "rep-unknown-3",
	  true,
	  3,
	  { U, U, U },
	  GN_RETRY_STOP,
	  GN_OUTCOME_UNKNOWN },
};

static void test_case(const void *data)
{
	const case_t *c = data;
	gn_retry_config_t config = gn_retry_defaults();
	gn_retry_decision_t decision = GN_RETRY_AGAIN;
	gn_retry_t retry;
	fixture_t f;

	setup(&f, &config);
	gn_retry_init(&retry, c->repeatable);
	for (unsigned i = 0; i < c->count; i++) {
		g_assert_cmpint(decision, ==, GN_RETRY_AGAIN);
		gn_retry_begin_attempt(&retry, f.workers[i]);
		decision = gn_retry_end_attempt(&retry, f.budget, c->ends[i],
						AMPLE_TIME_US, 1);
	}
	g_assert_cmpint(decision, ==, c->last_decision);
	g_assert_cmpint(gn_retry_outcome(&retry), ==, c->outcome);
	talloc_free(f.view);
}

static void test_never_sent(void)
{
	gn_retry_t retry;

	gn_retry_init(&retry, false);
	g_assert_cmpint(gn_retry_outcome(&retry), ==, GN_OUTCOME_NOT_RUN);
}

static void test_no_time(void)
{
	gn_retry_config_t config = gn_retry_defaults();
	gn_retry_t retry;
	fixture_t f;

	setup(&f, &config);
	gn_retry_init(&retry, true);
	gn_retry_begin_attempt(&retry, f.workers[0]);
	g_assert_cmpint(gn_retry_end_attempt(&retry, f.budget,
					     GN_ATTEMPT_NOT_RUN, 5000, 5000),
			==, GN_RETRY_STOP);
	talloc_free(f.view);
}

/**
 * During an outage, and after it, the number of retries stays within the
 * budget.
 */
static void test_outage(void)
{
	gn_retry_config_t config = gn_retry_defaults();
	unsigned attempts = 0;
	const unsigned requests = 10000;
	fixture_t f;

	setup(&f, &config);
	for (unsigned i = 0; i < requests; i++) {
		gn_retry_t retry;
		bool outage = i < requests / 2;
		unsigned at = 0;

		gn_retry_init(&retry, true);
		do {
			gn_retry_begin_attempt(&retry, f.workers[at++]);
			attempts++;
		} while (gn_retry_end_attempt(&retry, f.budget,
					      outage ? GN_ATTEMPT_FAILED
						     : GN_ATTEMPT_SUCCEEDED,
					      AMPLE_TIME_US,
					      1) == GN_RETRY_AGAIN);
		if (outage)
			g_assert_cmpuint(attempts, <=, i + 1 + config.reserve);
	}
	g_assert_cmpuint(gn_retry_budget_left(f.budget), ==, config.reserve);
	talloc_free(f.view);
}

static void test_bounds(void)
{
	const gn_retry_config_t invalid[] = {
		{ 101, 10, 3 },
		{ 10, 1001, 3 },
		{ 10, 10, 0 },
		{ 10, 10, GN_ROUTE_ATTEMPTS_MAX + 1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++)
		g_assert_null(gn_retry_budget_create(NULL, &invalid[i]));
}

/* ======   Random runs   ====== */

#define WALKS 50
#define REQUESTS 400

typedef enum mutant_e {
	MUTANT_NONE = 0,
	/** Treats an attempt without evidence as not run. */
	MUTANT_WITHOUT_EVIDENCE,
	/** Ignores that an earlier attempt may have run the request. */
	MUTANT_LAST_TRY_ONLY,
	MUTANT_NO_BUDGET,
	MUTANT_COUNT
} mutant_t;

static const char *const mutant_names[MUTANT_COUNT] = {
	"none",
	"without-evidence",
	"last-try-only",
	"no-budget",
};

static gn_attempt_result_t draw_end(GRand *rand, bool *ran)
{
	/* A third of the attempts fail in one of the possible ways. */
	gn_attempt_result_t end =
		g_rand_int_range(rand, 0, 3)
			? GN_ATTEMPT_SUCCEEDED
			: (gn_attempt_result_t)g_rand_int_range(
				  rand, GN_ATTEMPT_FAILED,
				  GN_ATTEMPT_RESULT_COUNT);

	*ran = end == GN_ATTEMPT_SUCCEEDED || end == GN_ATTEMPT_FAILED ||
	       (end == GN_ATTEMPT_UNKNOWN && g_rand_int_range(rand, 0, 2));
	return end;
}

static const char *check_request(const gn_retry_t *retry, bool repeatable,
				 unsigned runs)
{
	if (!repeatable && runs > 1)
		return "ran twice although not repeatable";
	if (gn_retry_outcome(retry) == GN_OUTCOME_NOT_RUN && runs)
		return "outcome is \"not run\" although the request ran";
	return NULL;
}

static const char *run_request(fixture_t *f, GRand *rand, mutant_t mutant,
			       unsigned *attempts)
{
	bool repeatable = g_rand_int_range(rand, 0, 2);
	gn_retry_decision_t decision;
	gn_retry_t retry;
	unsigned runs = 0;
	unsigned at = 0;

	gn_retry_init(&retry, repeatable);
	do {
		bool ran;
		gn_attempt_result_t end = draw_end(rand, &ran);

		gn_retry_begin_attempt(&retry, f->workers[at++]);
		(*attempts)++;
		runs += ran;
		if (mutant == MUTANT_WITHOUT_EVIDENCE &&
		    end == GN_ATTEMPT_UNKNOWN)
			end = GN_ATTEMPT_NOT_RUN;
		if (mutant == MUTANT_LAST_TRY_ONLY)
			retry.may_have_run = false;
		decision = gn_retry_end_attempt(&retry, f->budget, end,
						AMPLE_TIME_US, 1);
		if (mutant == MUTANT_NO_BUDGET && at < 3)
			decision = end == GN_ATTEMPT_NOT_RUN ? GN_RETRY_AGAIN
							     : decision;
	} while (decision == GN_RETRY_AGAIN);
	return check_request(&retry, repeatable, runs);
}

static const char *run_walk(guint32 seed, mutant_t mutant)
{
	gn_retry_config_t config = gn_retry_defaults();
	GRand *rand = g_rand_new_with_seed(seed);
	const char *violation = NULL;
	unsigned attempts = 0;
	fixture_t f;

	setup(&f, &config);
	for (int i = 0; i < REQUESTS && !violation; i++)
		violation = run_request(&f, rand, mutant, &attempts);
	if (!violation && attempts > REQUESTS + REQUESTS / 10 + config.reserve)
		violation = "more attempts than the budget allows";
	talloc_free(f.view);
	g_rand_free(rand);
	return violation;
}

static void test_walks(void)
{
	for (guint32 seed = 1; seed <= WALKS; seed++) {
		const char *violation = run_walk(seed, MUTANT_NONE);

		if (violation)
			g_error("seed %u: %s", seed, violation);
	}
}

static void test_mutant(const void *data)
{
	const char *violation = NULL;

	for (guint32 seed = 1; seed <= WALKS && !violation; seed++)
		violation = run_walk(seed, GPOINTER_TO_INT(data));
	g_assert_nonnull(violation);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = g_strdup_printf("/retry/case/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], test_case);
		g_free(path);
	}
	g_test_add_func("/retry/never-sent", test_never_sent);
	g_test_add_func("/retry/no-time", test_no_time);
	g_test_add_func("/retry/outage", test_outage);
	g_test_add_func("/retry/bounds", test_bounds);
	g_test_add_func("/retry/walks", test_walks);
	for (int i = MUTANT_NONE + 1; i < MUTANT_COUNT; i++) {
		char *path =
			g_strdup_printf("/retry/mutant/%s", mutant_names[i]);

		g_test_add_data_func(path, GINT_TO_POINTER(i), test_mutant);
		g_free(path);
	}
	return g_test_run();
}
