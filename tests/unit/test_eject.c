#include <glib.h>

#include "route/eject.h"
#include "route/pick.h"

#define SERVICE GN_STR("planner")
#define WORKERS 10
#define STEP_US 10000
#define SERVICE_TIME_US 5000

/** Behaviour of a worker. */
typedef enum behaviour_e {
	WORKS = 0,
	FAILS_FAST,
	REFUSES,
	SLOW,
	FLAPS, /**< Fails for 3 s, then works for 3 s, in turn. */
} behaviour_t;

typedef struct fixture_s {
	gn_clock_t clock;
	gn_route_view_t *view;
	gn_eject_t *eject;
	gn_eject_config_t config;
	GRand *rand;
	gn_route_worker_t *workers[WORKERS];
	behaviour_t behaviours[WORKERS];
	unsigned sent[WORKERS];
	unsigned failed;
} fixture_t;

static void setup(fixture_t *f)
{
	*f = (fixture_t){ .config = gn_eject_defaults() };
	gn_clock_init_paused(&f->clock, GN_US_PER_S);
	f->rand = g_rand_new_with_seed(3);
	f->view = gn_route_view_create(NULL, &f->clock, GN_STR("here"));
	f->eject = gn_eject_create(f->view, f->view, &f->clock, f->rand,
				   &f->config);
	g_assert_nonnull(f->eject);
	for (int i = 0; i < WORKERS; i++) {
		char name[] = "a";
		gn_route_spec_t spec = {
			.name = gn_str_from(name),
			.service = SERVICE,
			.data_centre = GN_STR("here"),
			.max_connections = 64,
		};

		name[0] = (char)('a' + i);
		gn_route_view_put(f->view, &spec, &f->workers[i]);
	}
}

static void teardown(fixture_t *f)
{
	talloc_free(f->view);
	g_rand_free(f->rand);
}

static gn_eject_result_t simulate_result(const fixture_t *f, int index,
					 uint64_t *time_us)
{
	uint64_t second = gn_clock_now_us(&f->clock) / GN_US_PER_S;

	*time_us = SERVICE_TIME_US;
	switch (f->behaviours[index]) {
	case FAILS_FAST:
		return GN_EJECT_FAILURE;
	case REFUSES:
		return GN_EJECT_REFUSED;
	case SLOW:
		*time_us = 20 * SERVICE_TIME_US;
		return GN_EJECT_SUCCESS;
	case FLAPS:
		return second % 6 < 3 ? GN_EJECT_FAILURE : GN_EJECT_SUCCESS;
	default:
		return GN_EJECT_SUCCESS;
	}
}

/**
 * Sends ten requests every 10 ms; each is answered before the next one is sent.
 */
static void run_requests(fixture_t *f, uint64_t length_us)
{
	const gn_route_policy_t *policy =
		&gn_route_policies[GN_ROUTE_TWO_CHOICES];

	for (uint64_t at = 0; at < length_us; at += STEP_US) {
		gn_clock_advance(&f->clock, STEP_US);
		gn_eject_tick(f->eject);
		for (int i = 0; i < 10; i++) {
			gn_route_choice_t choice;
			gn_eject_result_t result;
			uint64_t time_us;
			int index = 0;

			if (gn_route_pick(policy, f->view, SERVICE, f->rand,
					  NULL, &choice) != GN_OK)
				continue;
			while (f->workers[index] != choice.worker)
				index++;
			gn_route_view_begin_dispatch(f->view, choice.worker);
			result = simulate_result(f, index, &time_us);
			f->sent[index]++;
			f->failed += result == GN_EJECT_FAILURE;
			gn_eject_record_result(f->eject, choice.worker, result,
					       time_us);
			gn_route_view_end_dispatch(f->view, choice.worker);
		}
	}
}

static gn_route_health_t health_of(const fixture_t *f, int index)
{
	gn_route_info_t info;

	gn_route_worker_info(f->workers[index], &info);
	return info.health;
}

static unsigned count_ejected(const fixture_t *f)
{
	gn_route_totals_t totals;

	gn_route_view_totals(f->view, SERVICE, &totals);
	return totals.ejected;
}

typedef struct case_s {
	const char *name;
	behaviour_t behaviour;
	/** Number of workers with that behaviour, from the first one on. */
	int faulty;
	int min_ejected; /**< Fewest workers ejected after 0.5 s. */
	int max_ejected;
} case_t;

static const case_t cases[] = {
	{ "none", WORKS, WORKERS, 0, 0 },
	{ "one-fails", FAILS_FAST, 1, 1, 1 },
	{ "one-refuses", REFUSES, 1, 1, 1 },
	{ "half-refuse", REFUSES, 5, 5, 5 },
	{ "all-refuse", REFUSES, WORKERS, 0, 0 },
	{ "one-slow", SLOW, 1, 1, 1 },
	{ "three-fail", FAILS_FAST, 3, 3, 3 },
	{ "half-fail", FAILS_FAST, 5, 5, 5 },
	{ "most-fail", FAILS_FAST, 8, 0, 5 },
	/* All workers fail or lag alike, so none is an outlier. */
	{ "all-fail", FAILS_FAST, WORKERS, 0, 0 },
	{ "all-slow", SLOW, WORKERS, 0, 0 },
};

static void test_case(const void *data)
{
	const case_t *c = data;
	fixture_t f;
	int ejected = 0;

	setup(&f);
	for (int i = 0; i < c->faulty; i++)
		f.behaviours[i] = c->behaviour;
	run_requests(&f, GN_US_PER_S / 2);
	for (int i = 0; i < WORKERS; i++) {
		bool excluded = health_of(&f, i) != GN_ROUTE_PASSING;

		ejected += excluded;
		g_assert_true(!excluded || i < c->faulty);
	}
	g_assert_cmpint(ejected, >=, c->min_ejected);
	g_assert_cmpint(ejected, <=, c->max_ejected);
	g_assert_cmpuint(count_ejected(&f), ==, ejected);
	teardown(&f);
}

/** A worker that keeps failing is probed at growing intervals. */
static void test_backoff(void)
{
	fixture_t f;
	unsigned early;

	setup(&f);
	f.behaviours[0] = FAILS_FAST;
	run_requests(&f, 10 * GN_US_PER_S);
	early = f.sent[0];
	run_requests(&f, 60 * GN_US_PER_S);
	g_assert_cmpuint(f.sent[0] - early, <=, early);
	g_assert_cmpuint(f.failed, ==, f.sent[0]);
	teardown(&f);
}

/**
 * A repaired worker gets single probes first, then a growing share of the
 * requests, then its full share.
 */
static void test_recovery(void)
{
	static const gn_route_health_t order[] = { GN_ROUTE_EJECTED,
						   GN_ROUTE_PROBATION,
						   GN_ROUTE_RECOVERING,
						   GN_ROUTE_PASSING };
	fixture_t f;
	unsigned at = 0;

	setup(&f);
	f.behaviours[0] = FAILS_FAST;
	run_requests(&f, GN_US_PER_S / 2);
	f.behaviours[0] = WORKS;
	for (int i = 0; i < 10000 && at < G_N_ELEMENTS(order) - 1; i++) {
		run_requests(&f, STEP_US);
		if (health_of(&f, 0) == order[at])
			continue;
		at++;
		g_assert_cmpint(health_of(&f, 0), ==, order[at]);
		if (order[at] == GN_ROUTE_RECOVERING)
			g_assert_cmpuint(f.sent[0], <=,
					 f.config.min_failures +
						 f.config.probes);
	}
	g_assert_cmpint(health_of(&f, 0), ==, GN_ROUTE_PASSING);
	g_assert_cmpuint(gn_eject_not_passing_count(f.eject), ==, 0);
	teardown(&f);
}

/**
 * When live workers are lost, the ejected ones don't exceed the cap on the
 * remaining ones.
 */
static void test_cap_follows(void)
{
	fixture_t f;

	setup(&f);
	for (int i = 0; i < 4; i++)
		f.behaviours[i] = FAILS_FAST;
	run_requests(&f, GN_US_PER_S / 2);
	g_assert_cmpuint(count_ejected(&f), ==, 4);
	for (int i = 4; i < WORKERS; i++)
		gn_route_view_set_link(f.view, f.workers[i], false);
	gn_eject_tick(f.eject);
	g_assert_cmpuint(count_ejected(&f), <=, 2);
	teardown(&f);
}

static void test_flapping(void)
{
	fixture_t f;

	setup(&f);
	f.behaviours[0] = FLAPS;
	run_requests(&f, 60 * GN_US_PER_S);
	/* Of the 60,000 requests, an even share would be 3,000 failures. */
	g_assert_cmpuint(f.failed, <=, 300);
	teardown(&f);
}

static void test_remove_ejected(void)
{
	gn_route_totals_t totals;
	fixture_t f;

	setup(&f);
	f.behaviours[0] = FAILS_FAST;
	run_requests(&f, GN_US_PER_S / 2);
	g_assert_cmpuint(gn_eject_not_passing_count(f.eject), ==, 1);
	g_assert_cmpint(gn_route_view_remove(f.view, GN_STR("a")), ==, GN_OK);
	g_assert_cmpuint(gn_eject_not_passing_count(f.eject), ==, 0);
	gn_route_view_totals(f.view, SERVICE, &totals);
	g_assert_cmpuint(totals.ejected, ==, 0);
	g_assert_cmpuint(totals.workers, ==, WORKERS - 1);
	teardown(&f);
}

/** While all workers refuse a part of their requests, none is an outlier. */
static void test_refusals(void)
{
	fixture_t f;

	setup(&f);
	for (int i = 0; i < 10000; i++) {
		gn_eject_result_t result = g_rand_int_range(f.rand, 0, 2)
						   ? GN_EJECT_REFUSED
						   : GN_EJECT_SUCCESS;

		gn_clock_advance(&f.clock, 1000);
		gn_eject_record_result(f.eject, f.workers[i % WORKERS], result,
				       SERVICE_TIME_US);
	}
	g_assert_cmpuint(gn_eject_not_passing_count(f.eject), ==, 0);
	teardown(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = g_strdup_printf("/eject/case/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], test_case);
		g_free(path);
	}
	g_test_add_func("/eject/backoff", test_backoff);
	g_test_add_func("/eject/recovery", test_recovery);
	g_test_add_func("/eject/cap-follows", test_cap_follows);
	g_test_add_func("/eject/flapping", test_flapping);
	g_test_add_func("/eject/remove", test_remove_ejected);
	g_test_add_func("/eject/refusals", test_refusals);
	return g_test_run();
}
