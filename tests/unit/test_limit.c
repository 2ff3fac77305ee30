#include <glib.h>

#include "limit/limit.h"

#define DEADLINE_US (100 * GN_US_PER_MS)
#define FAST_US (10 * GN_US_PER_MS)
#define LATE_US (80 * GN_US_PER_MS)

typedef struct fixture_s {
	gn_clock_t clock;
	GRand *rand;
	gn_limit_config_t config;
	gn_limit_t *limit;
} fixture_t;

static void setup(fixture_t *f, unsigned start)
{
	gn_clock_init_paused(&f->clock, GN_US_PER_S);
	f->rand = g_rand_new_with_seed(1);
	f->config = gn_limit_defaults();
	f->config.start = start;
	f->limit = gn_limit_create(NULL, &f->clock, f->rand, &f->config);
	g_assert_nonnull(f->limit);
}

static void teardown(fixture_t *f)
{
	talloc_free(f->limit);
	g_rand_free(f->rand);
}

static gn_limit_result_t request_admission(fixture_t *f, const char *team,
					   gn_class_t work_class)
{
	gn_limit_request_t request = { work_class, gn_str_from(team),
				       DEADLINE_US, FAST_US, FAST_US };
	gn_limit_result_t verdict;

	gn_limit_acquire(f->limit, &request, &verdict);
	return verdict;
}

static unsigned current_limit(const fixture_t *f)
{
	gn_limit_info_t info;

	gn_limit_info(f->limit, &info);
	return info.limit;
}

static void test_reasons(void)
{
	gn_limit_request_t no_time = { GN_CLASS_QUICK, GN_STR("a"), FAST_US,
				       FAST_US, FAST_US };
	gn_limit_result_t verdict;
	fixture_t f;

	setup(&f, 20);
	gn_limit_acquire(f.limit, &no_time, &verdict);
	g_assert_cmpint(verdict.reason, ==, GN_LIMIT_DEADLINE);
	g_assert_cmpuint(verdict.retry_after_ms, >=, f.config.retry_min_ms);
	for (int i = 0; i < 5; i++)
		g_assert_cmpint(
			request_admission(&f, "a", GN_CLASS_STANDING).reason,
			==, GN_LIMIT_ADMITTED);
	g_assert_cmpint(request_admission(&f, "a", GN_CLASS_STANDING).reason,
			==, GN_LIMIT_CLASS);
	for (int i = 0; i < 15; i++)
		g_assert_cmpint(
			request_admission(&f, "a", GN_CLASS_QUICK).reason, ==,
			GN_LIMIT_ADMITTED);
	verdict = request_admission(&f, "a", GN_CLASS_QUICK);
	g_assert_cmpint(verdict.reason, ==, GN_LIMIT_TOTAL);
	g_assert_cmpstr(gn_limit_reason_name(verdict.reason), ==, "total");
	teardown(&f);
}

/** Team shares are enforced only under contention, and then by weight. */
static void test_teams(void)
{
	gn_limit_ticket_t tickets[100];
	unsigned ticket_count = 0;
	fixture_t f;

	setup(&f, 100);
	g_assert_cmpint(gn_limit_set_team(f.limit, GN_STR("big"), 3), ==,
			GN_OK);
	g_assert_cmpint(gn_limit_set_team(f.limit, GN_STR("small"), 1), ==,
			GN_OK);
	/* A team that is alone may use the whole limit. */
	for (; ticket_count < 100; ticket_count++) {
		gn_limit_result_t verdict =
			request_admission(&f, "small", GN_CLASS_QUICK);

		g_assert_cmpint(verdict.reason, ==, GN_LIMIT_ADMITTED);
		tickets[ticket_count] = verdict.ticket;
	}
	g_assert_cmpint(request_admission(&f, "big", GN_CLASS_QUICK).reason, ==,
			GN_LIMIT_TOTAL);
	/*
	 * Both teams request all the time; a freed place goes to the one below
	 * its share.
	 */
	for (int i = 0; i < 1000; i++) {
		unsigned at = (unsigned)g_rand_int_range(f.rand, 0, 100);
		gn_limit_result_t verdict;

		gn_limit_release(f.limit, &tickets[at], GN_LIMIT_OTHER);
		verdict = request_admission(&f, i % 2 ? "big" : "small",
					    GN_CLASS_QUICK);
		if (verdict.reason != GN_LIMIT_ADMITTED)
			verdict = request_admission(&f, i % 2 ? "small" : "big",
						    GN_CLASS_QUICK);
		g_assert_cmpint(verdict.reason, ==, GN_LIMIT_ADMITTED);
		tickets[at] = verdict.ticket;
	}
	g_assert_cmpuint(gn_limit_team_in_flight(f.limit, GN_STR("big")), >=,
			 74);
	g_assert_cmpuint(gn_limit_team_in_flight(f.limit, GN_STR("small")), >=,
			 24);
	/* A removed team is freed by its last release. */
	g_assert_cmpint(gn_limit_set_team(f.limit, GN_STR("small"), 0), ==,
			GN_OK);
	for (unsigned i = 0; i < ticket_count; i++)
		gn_limit_release(f.limit, &tickets[i], GN_LIMIT_OTHER);
	teardown(&f);
}

static void test_team_bounds(void)
{
	fixture_t f;

	setup(&f, 20);
	g_assert_cmpint(gn_limit_set_team(f.limit, GN_STR(""), 1), ==,
			GN_ERR_RANGE);
	g_assert_cmpint(gn_limit_set_team(f.limit, GN_STR("a"),
					  GN_LIMIT_WEIGHT_MAX + 1),
			==, GN_ERR_RANGE);
	for (int i = 0; i <= GN_LIMIT_TEAMS_MAX; i++) {
		char *name = g_strdup_printf("team-%d", i);
		gn_code_t code =
			gn_limit_set_team(f.limit, gn_str_from(name), 1);

		g_assert_cmpint(code, ==,
				i < GN_LIMIT_TEAMS_MAX ? GN_OK
						       : GN_ERR_CAPACITY);
		g_free(name);
	}
	teardown(&f);
}

/** Fills the limit and ends all requests after @p time_us, @p rounds times. */
static void run_rounds(fixture_t *f, int rounds, uint64_t time_us,
		       gn_limit_end_t end)
{
	for (int i = 0; i < rounds; i++) {
		GArray *tickets =
			g_array_new(FALSE, FALSE, sizeof(gn_limit_ticket_t));

		for (;;) {
			gn_limit_result_t verdict =
				request_admission(f, "a", GN_CLASS_QUICK);

			if (verdict.reason != GN_LIMIT_ADMITTED)
				break;
			g_array_append_val(tickets, verdict.ticket);
		}
		gn_clock_advance(&f->clock, time_us);
		for (guint j = 0; j < tickets->len; j++)
			gn_limit_release(
				f->limit,
				&g_array_index(tickets, gn_limit_ticket_t, j),
				end);
		g_array_free(tickets, TRUE);
	}
}

static void test_adapts(void)
{
	fixture_t f;
	unsigned grown_limit;

	setup(&f, 100);
	run_rounds(&f, 100, FAST_US, GN_LIMIT_ANSWERED);
	grown_limit = current_limit(&f);
	g_assert_cmpuint(grown_limit, >, 120);
	run_rounds(&f, 200, LATE_US, GN_LIMIT_ANSWERED);
	g_assert_cmpuint(current_limit(&f), <, grown_limit / 2);
	run_rounds(&f, 1000, LATE_US, GN_LIMIT_REFUSED);
	g_assert_cmpuint(current_limit(&f), ==, f.config.floor);
	for (int i = 0; i < 1000 && current_limit(&f) < f.config.ceiling; i++)
		run_rounds(&f, 100, FAST_US, GN_LIMIT_ANSWERED);
	g_assert_cmpuint(current_limit(&f), ==, f.config.ceiling);
	run_rounds(&f, 100, FAST_US, GN_LIMIT_ANSWERED);
	g_assert_cmpuint(current_limit(&f), ==, f.config.ceiling);
	teardown(&f);
}

/** Callers refused at the same time don't retry at the same time. */
static void test_returns(void)
{
	enum { CALLERS = 2000, SECONDS = 31 };
	unsigned retries[SECONDS] = { 0 };
	unsigned admitted;
	gn_limit_info_t info;
	fixture_t f;

	setup(&f, 100);
	run_rounds(&f, 200, FAST_US, GN_LIMIT_ANSWERED);
	gn_limit_info(f.limit, &info);
	/* Per second: the 200 rounds of 10 ms took two seconds. */
	admitted = (unsigned)info.admitted / 2;
	for (int i = 0; i < CALLERS; i++) {
		uint32_t ms = gn_limit_draw_retry_after_ms(f.limit);

		g_assert_cmpuint(ms, >=, f.config.retry_min_ms);
		g_assert_cmpuint(ms, <=, f.config.retry_max_ms);
		retries[ms / 1000]++;
	}
	for (int i = 0; i < SECONDS; i++)
		g_assert_cmpuint(retries[i], <=, admitted / 2);
	teardown(&f);
}

static void test_config(void)
{
	gn_limit_config_t config = gn_limit_defaults();
	gn_clock_t clock;

	gn_clock_init_paused(&clock, 0);
	config.start = config.floor - 1;
	g_assert_null(gn_limit_create(NULL, &clock, NULL, &config));
	config = gn_limit_defaults();
	config.class_pct[GN_CLASS_BATCH] = 101;
	g_assert_null(gn_limit_create(NULL, &clock, NULL, &config));
}

/* ======   Random runs   ====== */

#define WALKS 30
#define STEPS 3000
#define HELD_MAX 400

typedef struct walk_s {
	fixture_t f;
	gn_limit_ticket_t tickets[HELD_MAX];
	unsigned count;
	unsigned by_class[GN_CLASS_COUNT];
} walk_t;

static void step(walk_t *walk)
{
	static const char *const teams[] = { "a", "b", "c", "unknown" };
	fixture_t *f = &walk->f;
	gn_class_t work_class =
		(gn_class_t)g_rand_int_range(f->rand, 0, GN_CLASS_COUNT);
	const char *team = teams[g_rand_int_range(f->rand, 0, 4)];
	gn_limit_result_t verdict;
	unsigned at;

	switch (g_rand_int_range(f->rand, 0, 5)) {
	case 0:
	case 1:
		verdict = request_admission(f, team, work_class);
		if (verdict.reason != GN_LIMIT_ADMITTED)
			break;
		g_assert_cmpuint(walk->count, <, HELD_MAX);
		walk->tickets[walk->count++] = verdict.ticket;
		walk->by_class[work_class]++;
		g_assert_cmpuint(walk->count, <=, current_limit(f));
		break;
	case 2:
	case 3:
		if (!walk->count)
			break;
		at = (unsigned)g_rand_int_range(f->rand, 0,
						(gint32)walk->count);
		gn_limit_release(f->limit, &walk->tickets[at],
				 (gn_limit_end_t)g_rand_int_range(
					 f->rand, 0, GN_LIMIT_END_COUNT));
		walk->by_class[walk->tickets[at].work_class]--;
		walk->tickets[at] = walk->tickets[--walk->count];
		break;
	default:
		gn_limit_set_team(f->limit, gn_str_from(team),
				  (unsigned)g_rand_int_range(f->rand, 0, 4));
		gn_clock_advance(&f->clock, 20000);
		break;
	}
}

static void test_walks(void)
{
	for (guint32 seed = 1; seed <= WALKS; seed++) {
		walk_t walk = { .count = 0 };
		gn_limit_info_t info;

		setup(&walk.f, 50);
		g_rand_set_seed(walk.f.rand, seed);
		for (int i = 0; i < STEPS; i++) {
			step(&walk);
			gn_limit_info(walk.f.limit, &info);
			g_assert_cmpuint(info.in_flight, ==, walk.count);
			for (int j = 0; j < GN_CLASS_COUNT; j++)
				g_assert_cmpuint(info.class_in_flight[j], ==,
						 walk.by_class[j]);
			g_assert_cmpuint(info.limit, >=, walk.f.config.floor);
		}
		teardown(&walk.f);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/limit/reasons", test_reasons);
	g_test_add_func("/limit/teams", test_teams);
	g_test_add_func("/limit/team-bounds", test_team_bounds);
	g_test_add_func("/limit/adapts", test_adapts);
	g_test_add_func("/limit/returns", test_returns);
	g_test_add_func("/limit/config", test_config);
	g_test_add_func("/limit/walks", test_walks);
	return g_test_run();
}
