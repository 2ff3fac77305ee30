/* Start calls that the worker may still carry out. Each case is a script of
 * events: o order, r repeated order, c call, a answer, k confirmed run, l new
 * life under the same ID, i new life under another ID, n new process; a digit lets that many seconds pass. */
#include <glib.h>

#include "executor/starts.h"

#define LATE_S 5
#define TASK "0123456789abcdef.0.0.0"

typedef struct starts_case_s {
	const char *name;
	const char *script;
	bool settled;
	bool open;
	bool confirmed;
	/** Seconds until the last open call cannot be carried out; 0: none. */
	unsigned left_s;
	bool former; /**< The open calls are of a former life. */
	unsigned unknown_s; /**< The same for calls of an earlier process. */
	bool never_began;
} starts_case_t;

static const starts_case_t cases[] = {
	{ "answered", "oca", true, false, false, 0, false, 5, true },
	{ "unanswered", "oc", false, true, false, 5, false, 5, false },
	{ "second-call-answered", "occa", false, true, false, 5, false, 5,
	  false },
	{ "all-answered", "occaa", true, false, false, 0, false, 5, true },
	{ "no-longer-carried-out", "oc5", true, false, false, 0, false, 0,
	  false },
	{ "last-call-counts", "oc3c4", false, true, false, 1, false, 0, false },
	{ "last-open-call-counts", "oc3ca", false, true, false, 2, false, 2,
	  false },
	{ "answers-between-open-calls", "oc1ca1ca1c1ca", false, true, false, 4,
	  false, 1, false },
	{ "unknown-to-a-young-process", "", false, false, false, 0, false, 5,
	  false },
	{ "ordered-from-an-earlier-process", "rca", false, false, false, 0,
	  false, 5, false },
	{ "first-order-decides", "orca", true, false, false, 0, false, 5,
	  true },
	{ "ordered-without-a-call", "o2", true, false, false, 0, false, 3,
	  true },
	{ "begun-under-an-earlier-process", "ocan", false, false, false, 0,
	  false, 5, false },
	{ "older-than-the-calls-of-that", "ocn5", true, false, false, 0, false,
	  0, false },
	{ "unanswered-in-the-life-before", "ocl", false, true, false, 5, true,
	  5, false },
	{ "unanswered-in-both-lives", "oc2lc1", false, true, false, 4, false, 2,
	  false },
	{ "answered-in-the-next-life", "oc2lca", false, true, false, 3, true, 3,
	  false },
	{ "of-two-lives-before", "oc1l1l", false, true, false, 3, true, 3,
	  false },
	{ "another-id-refuses-it", "oci", true, false, false, 0, false, 0,
	  false },
	{ "another-id-refuses-those-of-an-earlier-process", "i", true, false,
	  false, 0, false, 0, false },
	{ "new-call-under-another-id", "ociroc", false, true, false, 5, false,
	  0, false },
	{ "confirmed", "ocak", true, false, true, 0, false, 5, false },
	{ "not-confirmed-in-the-next-life", "ocakl", true, false, false, 0,
	  false, 5, false },
};

static gn_starts_t *create(const gn_clock_t *clock)
{
	return gn_starts_create(NULL, clock, LATE_S * GN_US_PER_S);
}

static gn_starts_t *play(gn_starts_t *starts, gn_clock_t *clock, char event)
{
	switch (event) {
	case 'o':
	case 'r':
		gn_starts_record_order(starts, TASK, 1, event == 'o');
		break;
	case 'c':
		gn_starts_record_call(starts, TASK, 1);
		break;
	case 'a':
		gn_starts_record_answer(starts, TASK, 1);
		break;
	case 'k':
		gn_starts_record_run(starts, TASK, 1);
		break;
	case 'l':
	case 'i':
		gn_starts_begin_life(starts, event == 'l');
		break;
	case 'n':
		talloc_free(starts);
		return create(clock);
	default:
		gn_clock_advance(clock, (uint64_t)(event - '0') * GN_US_PER_S);
		gn_starts_tick(starts);
	}
	return starts;
}

static void check_report(const gn_starts_t *starts, const starts_case_t *c)
{
	TALLOC_CTX *parent = talloc_new(NULL);
	Gn__WorkerReport report = GN__WORKER_REPORT__INIT;

	gn_starts_describe(starts, parent, &report);
	g_assert_true(report.lists_open_starts);
	g_assert_cmpuint(report.unknown_starts_ms, ==, c->unknown_s * 1000);
	g_assert_cmpuint(report.n_open_starts, ==, c->open);
	g_assert_cmpuint(gn_starts_count_open(starts), ==, c->open);
	if (c->open) {
		g_assert_cmpstr(report.open_starts[0]->task, ==, TASK);
		g_assert_cmpuint(report.open_starts[0]->attempt, ==, 1);
		g_assert_cmpuint(report.open_starts[0]->left_ms, ==,
				 c->left_s * 1000);
		g_assert_true(report.open_starts[0]->former == c->former);
	}
	talloc_free(parent);
}

/* A part of a millisecond counts as a whole one. */
static void test_time_left_is_rounded_up(void)
{
	TALLOC_CTX *parent = talloc_new(NULL);
	Gn__WorkerReport report = GN__WORKER_REPORT__INIT;
	gn_clock_t clock;
	gn_starts_t *starts;

	gn_clock_init_paused(&clock, GN_US_PER_S);
	starts = create(&clock);
	gn_starts_record_call(starts, TASK, 1);
	gn_clock_advance(&clock, LATE_S * GN_US_PER_S - 1);
	gn_starts_describe(starts, parent, &report);
	g_assert_cmpuint(report.n_open_starts, ==, 1);
	g_assert_cmpuint(report.open_starts[0]->left_ms, ==, 1);
	g_assert_cmpuint(report.unknown_starts_ms, ==, 1);
	talloc_free(parent);
	talloc_free(starts);
}

/* What does not fit into the report is not taken for settled. */
static void test_report_is_bounded(void)
{
	TALLOC_CTX *parent = talloc_new(NULL);
	Gn__WorkerReport report = GN__WORKER_REPORT__INIT;
	gn_clock_t clock;
	gn_starts_t *starts;

	gn_clock_init_paused(&clock, GN_US_PER_S);
	starts = create(&clock);
	gn_starts_begin_life(starts, false);
	for (unsigned i = 1; i <= GN_STARTS_REPORT_MAX; i++)
		gn_starts_record_call(starts, TASK, i);
	gn_starts_describe(starts, parent, &report);
	g_assert_cmpuint(report.n_open_starts, ==, GN_STARTS_REPORT_MAX);
	g_assert_cmpuint(report.unknown_starts_ms, ==, 0);
	gn_starts_record_call(starts, TASK, GN_STARTS_REPORT_MAX + 1);
	gn_starts_describe(starts, parent, &report);
	g_assert_cmpuint(report.n_open_starts, ==, GN_STARTS_REPORT_MAX);
	g_assert_cmpuint(report.unknown_starts_ms, ==, LATE_S * 1000);
	talloc_free(parent);
	talloc_free(starts);
}

static void test_starts(const void *data)
{
	const starts_case_t *c = data;
	gn_clock_t clock;
	gn_starts_t *starts;

	gn_clock_init_paused(&clock, GN_US_PER_S);
	starts = create(&clock);
	for (const char *event = c->script; *event; event++)
		starts = play(starts, &clock, *event);
	g_assert_true(gn_starts_is_settled(starts, TASK, 1) == c->settled);
	g_assert_true(gn_starts_are_open(starts) == c->open);
	g_assert_true(gn_starts_is_confirmed(starts, TASK, 1) == c->confirmed);
	g_assert_false(gn_starts_is_confirmed(starts, TASK, 2));
	g_assert_true(gn_starts_never_began(starts, TASK, 1) == c->never_began);
	check_report(starts, c);
	talloc_free(starts);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path =
			g_strconcat("/starts/", cases[i].name, NULL);

		g_test_add_data_func(path, &cases[i], test_starts);
	}
	g_test_add_func("/starts/time_left_is_rounded_up",
			test_time_left_is_rounded_up);
	g_test_add_func("/starts/report_is_bounded", test_report_is_bounded);
	return g_test_run();
}
