#include <glib.h>

#include "member/cell_view.h"

#define CELL_SIZE 4

static const gn_cell_times_t times = { 500 * GN_US_PER_MS,
				       2000 * GN_US_PER_MS };

typedef struct load_case_s {
	const char *name;
	gn_cell_load_t before;
	gn_cell_load_t now;
	bool differs;
} load_case_t;

static const load_case_t load_cases[] = {
	{ "same", { 4, 2, 900, 2000, 0, 1 }, { 4, 2, 900, 2000, 0, 1 }, 0 },
	{ "one-more", { 4, 2, 900, 2000, 0, 1 }, { 5, 2, 900, 2000, 0, 1 }, 0 },
	{ "two-more", { 4, 2, 900, 2000, 0, 1 }, { 6, 2, 900, 2000, 0, 1 }, 1 },
	{ "quarter", { 0, 0, 900, 2000, 0, 1 }, { 0, 0, 1200, 2000, 0, 1 }, 0 },
	{ "more", { 0, 0, 900, 2000, 0, 1 }, { 0, 0, 1201, 2000, 0, 1 }, 1 },
	{ "less", { 0, 0, 1201, 2000, 0, 1 }, { 0, 0, 900, 2000, 0, 1 }, 1 },
	{ "tail", { 0, 0, 900, 2000, 0, 1 }, { 0, 0, 900, 9000, 0, 1 }, 1 },
	{ "tasks", { 0, 1, 0, 0, 0, 1 }, { 0, 8, 0, 0, 0, 1 }, 1 },
	{ "draining", { 0, 0, 0, 0, 0, 1 }, { 0, 0, 0, 0, 1, 1 }, 1 },
	{ "backend-down", { 0, 0, 0, 0, 0, 1 }, { 0, 0, 0, 0, 0, 0 }, 1 },
};

static void test_load(const void *data)
{
	const load_case_t *c = data;

	g_assert_cmpint(gn_cell_load_differs(&c->before, &c->now), ==,
			c->differs);
}

/** In events, 't' is one interval and a digit an ack from that rank. */
typedef struct agent_case_s {
	const char *name;
	unsigned rank;
	const char *events;
	unsigned target;
	bool is_reporting;
} agent_case_t;

static const agent_case_t agent_cases[] = {
	{ "first-is-head", 0, "tttttttttt", 0, true },
	{ "starts-with-first", 3, "ttt", 0, false },
	{ "timeout-tries-next", 3, "tttt", 1, false },
	{ "next-answers", 3, "tttt1t", 1, false },
	{ "two-silent-reports", 3, "tttttt", 2, true },
	{ "answer-ends-reports", 3, "tttttt2", 2, false },
	{ "all-silent-is-head", 3, "tttttttt", 3, true },
	{ "no-further", 3, "tttttttttttttttt", 3, true },
	{ "lower-rank-returns", 3, "tttttttt1", 1, false },
	{ "first-returns", 3, "tttttttt10", 0, false },
	{ "higher-rank-ignored", 3, "tttt12", 1, false },
	{ "own-rank-ignored", 1, "t1ttt", 1, true },
	{ "acks-keep-head", 3, "ttt0ttt0ttt0", 0, false },
	{ "known-head-has-timeout", 3, "tttt1ttt", 1, false },
	{ "known-head-times-out", 3, "tttt1tttt", 2, false },
};

static void test_agent(const void *data)
{
	const agent_case_t *c = data;
	gn_clock_t clock;
	gn_cell_agent_t *agent;

	gn_clock_init_paused(&clock, 1);
	agent = gn_cell_agent_create(NULL, &clock, &times, c->rank, CELL_SIZE,
				     1);
	for (const char *event = c->events; *event; event++) {
		if (*event == 't') {
			gn_clock_advance(&clock, times.interval_us);
			gn_cell_agent_tick(agent);
		} else {
			gn_cell_agent_on_ack(agent, (unsigned)(*event - '0'));
		}
	}
	g_assert_cmpuint(gn_cell_agent_head_rank(agent), ==, c->target);
	g_assert_cmpint(gn_cell_agent_is_reporting(agent), ==, c->is_reporting);
	talloc_free(agent);
}

/** An agent whose candidates do not answer probes each in bounded time. */
static void test_probe_covers_lower_ranks(void)
{
	gn_clock_t clock;
	gn_cell_agent_t *agent;
	unsigned probed = 0;
	unsigned rank;

	gn_clock_init_paused(&clock, 1);
	agent = gn_cell_agent_create(NULL, &clock, &times, 3, CELL_SIZE, 1);
	g_assert_false(gn_cell_agent_probe_target(agent, &rank));
	for (int i = 0; i < 8 + 4 * 3; i++) {
		gn_clock_advance(&clock, times.interval_us);
		gn_cell_agent_tick(agent);
		if (gn_cell_agent_probe_target(agent, &rank))
			probed |= 1U << rank;
	}
	g_assert_cmpuint(probed, ==, 7);
	talloc_free(agent);
}

/** One summary with one status, or with none if its rank is CELL_SIZE. */
typedef struct apply_step_s {
	unsigned wait; /**< Intervals to wait before the summary. */
	unsigned head;
	uint64_t head_incarnation;
	uint64_t sequence;
	uint64_t base;
	gn_cell_status_t status;
	gn_code_t expected_code;
	uint64_t acked_sequence;
	bool is_live; /**< Whether worker 2 is live afterwards. */
	uint64_t version; /**< Status version of worker 2 afterwards. */
} apply_step_t;

#define CASE_STEPS_MAX 4

typedef struct view_case_s {
	const char *name;
	apply_step_t steps[CASE_STEPS_MAX];
} view_case_t;

#define STATUS(incarnation, version, is_gone)                          \
	{                                                              \
		2, incarnation, version, { 0, 0, 0, 0, 0, 0 }, is_gone \
	}
#define NO_STATUS                                            \
	{                                                    \
		CELL_SIZE, 0, 0, { 0, 0, 0, 0, 0, 0 }, false \
	}

static const view_case_t view_cases[] = {
	{ "full", { { 0, 0, 1, 4, 0, STATUS(1, 3, 0), GN_OK, 4, true, 3 } } },
	{ "delta",
	  { { 0, 0, 1, 4, 0, STATUS(1, 3, 0), GN_OK, 4, true, 3 },
	    { 1, 0, 1, 5, 4, STATUS(1, 4, 0), GN_OK, 5, true, 4 },
	    { 1, 0, 1, 6, 5, NO_STATUS, GN_OK, 6, true, 4 } } },
	{ "lost-summary-is-made-good",
	  { { 0, 0, 1, 4, 0, STATUS(1, 3, 0), GN_OK, 4, true, 3 },
	    { 2, 0, 1, 6, 4, STATUS(1, 4, 0), GN_OK, 6, true, 4 } } },
	{ "delta-without-its-base",
	  { { 0, 0, 1, 5, 4, STATUS(1, 3, 0), GN_ERR_CONFLICT, 0, false, 0 },
	    { 1, 0, 1, 6, 0, STATUS(1, 3, 0), GN_OK, 6, true, 3 } } },
	{ "duplicate",
	  { { 0, 0, 1, 4, 0, STATUS(1, 3, 0), GN_OK, 4, true, 3 },
	    { 0, 0, 1, 4, 0, STATUS(1, 3, 0), GN_ERR_STALE, 4, true, 3 } } },
	{ "reordered-gone",
	  { { 0, 0, 1, 5, 0, STATUS(1, 3, 0), GN_OK, 5, true, 3 },
	    { 0, 0, 1, 4, 0, STATUS(1, 3, 1), GN_ERR_STALE, 5, true, 3 } } },
	{ "older-version-of-wrong-head",
	  { { 0, 0, 1, 4, 0, STATUS(1, 3, 0), GN_OK, 4, true, 3 },
	    { 0, 1, 1, 9, 0, STATUS(1, 2, 0), GN_OK, 9, true, 3 } } },
	{ "wrong-head-lets-go",
	  { { 0, 0, 1, 4, 0, STATUS(1, 3, 0), GN_OK, 4, true, 3 },
	    { 0, 1, 1, 9, 0, STATUS(1, 3, 0), GN_OK, 9, true, 3 },
	    { 1, 1, 1, 10, 9, STATUS(1, 3, 1), GN_OK, 10, true, 3 } } },
	{ "last-head-lets-go",
	  { { 0, 0, 1, 4, 0, STATUS(1, 3, 0), GN_OK, 4, true, 3 },
	    { 1, 0, 1, 5, 4, STATUS(1, 3, 1), GN_OK, 5, false, 3 } } },
	{ "full-without-the-worker",
	  { { 0, 0, 1, 4, 0, STATUS(1, 3, 0), GN_OK, 4, true, 3 },
	    { 1, 0, 1, 5, 0, NO_STATUS, GN_OK, 5, false, 3 } } },
	{ "restarted-worker",
	  { { 0, 0, 1, 4, 0, STATUS(1, 3, 0), GN_OK, 4, true, 3 },
	    { 1, 0, 1, 5, 4, STATUS(2, 1, 0), GN_OK, 5, true, 1 } } },
	{ "restarted-worker-loses-old-vouchers",
	  { { 0, 0, 1, 4, 0, STATUS(1, 3, 0), GN_OK, 4, true, 3 },
	    { 0, 1, 1, 9, 0, STATUS(2, 1, 0), GN_OK, 9, true, 1 },
	    { 1, 1, 1, 10, 9, STATUS(2, 1, 1), GN_OK, 10, false, 1 } } },
	{ "older-incarnation-of-worker",
	  { { 0, 0, 1, 4, 0, STATUS(2, 1, 0), GN_OK, 4, true, 1 },
	    { 1, 0, 1, 5, 4, STATUS(2, 1, 1), GN_OK, 5, false, 1 },
	    { 0, 1, 1, 9, 0, STATUS(1, 7, 0), GN_OK, 9, false, 1 } } },
	{ "restarted-head",
	  { { 0, 0, 1, 400, 0, STATUS(1, 3, 0), GN_OK, 400, true, 3 },
	    { 1, 0, 2, 4, 0, STATUS(1, 3, 0), GN_OK, 4, true, 3 } } },
	{ "older-incarnation-of-head",
	  { { 0, 0, 2, 4, 0, STATUS(1, 3, 0), GN_OK, 4, true, 3 },
	    { 1, 0, 1, 400, 0, STATUS(1, 3, 1), GN_ERR_STALE, 0, true, 3 } } },
	{ "silent-head",
	  { { 0, 0, 1, 4, 0, STATUS(1, 3, 0), GN_OK, 4, true, 3 },
	    { 4, 1, 1, 9, 0, NO_STATUS, GN_OK, 9, false, 3 } } },
	{ "head-speaks-within-timeout",
	  { { 0, 0, 1, 4, 0, STATUS(1, 3, 0), GN_OK, 4, true, 3 },
	    { 3, 1, 1, 9, 0, NO_STATUS, GN_OK, 9, true, 3 } } },
	{ "head-out-of-range",
	  { { 0, CELL_SIZE, 1, 4, 0, STATUS(1, 3, 0), GN_ERR_RANGE, 0, false,
	      0 } } },
};

static void apply_step(gn_cell_view_t *view, gn_clock_t *clock,
		       const apply_step_t *step)
{
	gn_cell_summary_t summary = { .cell = 0 };
	gn_cell_ack_t ack;
	gn_cell_status_t status;
	bool is_live;

	gn_clock_advance(clock, step->wait * times.interval_us);
	gn_cell_view_expire(view);
	summary.head_rank = step->head;
	summary.head_incarnation = step->head_incarnation;
	summary.sequence = step->sequence;
	summary.base_sequence = step->base;
	summary.statuses[0] = step->status;
	summary.count = step->status.rank < CELL_SIZE;
	g_assert_cmpint(gn_cell_view_apply(view, &summary, &ack), ==,
			step->expected_code);
	g_assert_cmpuint(ack.applied_sequence, ==, step->acked_sequence);
	is_live = gn_cell_view_get_worker(view, 0, 2, &status);
	g_assert_cmpint(is_live, ==, step->is_live);
	g_assert_cmpuint(status.version, ==, step->version);
	g_assert_cmpuint(gn_cell_view_live_count(view), ==, step->is_live);
}

static void test_view(const void *data)
{
	static const unsigned sizes[] = { CELL_SIZE };
	const view_case_t *c = data;
	gn_clock_t clock;
	gn_cell_view_t *view;

	gn_clock_init_paused(&clock, 1);
	view = gn_cell_view_create(NULL, &clock, &times, sizes, 1);
	for (int i = 0; i < CASE_STEPS_MAX && c->steps[i].sequence; i++)
		apply_step(view, &clock, &c->steps[i]);
	talloc_free(view);
}

typedef struct heartbeat_case_s {
	const char *name;
	/** Sent after (sequence 5, incarnation 2, version 3). */
	gn_cell_heartbeat_t heartbeat;
	gn_code_t expected_code;
	unsigned status_count; /**< Number of statuses in the next summary. */
} heartbeat_case_t;

static const heartbeat_case_t heartbeat_cases[] = {
	{ "unchanged", { 6, STATUS(2, 3, 0) }, GN_OK, 0 },
	{ "changed", { 6, STATUS(2, 4, 0) }, GN_OK, 1 },
	{ "restarted", { 1, STATUS(3, 1, 0) }, GN_OK, 1 },
	{ "duplicate", { 5, STATUS(2, 3, 0) }, GN_ERR_STALE, 0 },
	{ "reordered", { 4, STATUS(2, 2, 0) }, GN_ERR_STALE, 0 },
	{ "older-incarnation", { 9, STATUS(1, 9, 0) }, GN_ERR_STALE, 0 },
	{ "no-such-rank", { 6, NO_STATUS }, GN_ERR_RANGE, 0 },
};

static void test_heartbeat(const void *data)
{
	const heartbeat_case_t *c = data;
	const gn_cell_heartbeat_t first = { 5, STATUS(2, 3, 0) };
	gn_cell_ack_t ack = { 7, 1 };
	gn_cell_summary_t summary;
	gn_clock_t clock;
	gn_cell_head_t *head;

	gn_clock_init_paused(&clock, 1);
	head = gn_cell_head_create(NULL, &clock, &times, 0, 0, CELL_SIZE, 7);
	g_assert_cmpint(gn_cell_head_on_heartbeat(head, &first), ==, GN_OK);
	gn_cell_head_start_round(head);
	g_assert_false(gn_cell_head_make_summary(head, 0, &summary));
	gn_clock_advance(&clock, times.timeout_us / 2);
	g_assert_true(gn_cell_head_make_summary(head, 0, &summary));
	g_assert_cmpuint(summary.count, ==, 1);
	g_assert_cmpuint(summary.base_sequence, ==, 0);
	gn_cell_head_on_ack(head, 0, &ack);
	g_assert_cmpint(gn_cell_head_on_heartbeat(head, &c->heartbeat), ==,
			c->expected_code);
	gn_cell_head_start_round(head);
	g_assert_true(gn_cell_head_make_summary(head, 0, &summary));
	g_assert_cmpuint(summary.base_sequence, ==, 1);
	g_assert_cmpuint(summary.count, ==, c->status_count);
	/* an entry that acknowledged nothing still receives the status */
	g_assert_true(gn_cell_head_make_summary(head, 1, &summary));
	g_assert_cmpuint(summary.count, ==, 1);
	talloc_free(head);
}

/**
 * A member that timed out is reported as gone until that is acknowledged;
 * after that the head has nothing left to report.
 */
static void test_silent_member_is_reported_gone(void)
{
	const gn_cell_heartbeat_t heartbeat = { 5, STATUS(2, 3, 0) };
	gn_cell_ack_t other = { 6, 2 };
	gn_cell_ack_t ack = { 7, 3 };
	gn_cell_summary_t summary;
	gn_clock_t clock;
	gn_cell_head_t *head;

	gn_clock_init_paused(&clock, 1);
	head = gn_cell_head_create(NULL, &clock, &times, 0, 0, CELL_SIZE, 7);
	gn_cell_head_on_heartbeat(head, &heartbeat);
	gn_cell_head_start_round(head);
	gn_cell_head_on_ack(head, 0, &(gn_cell_ack_t){ 7, 1 });
	gn_clock_advance(&clock, times.timeout_us);
	gn_cell_head_start_round(head);
	g_assert_true(gn_cell_head_make_summary(head, 0, &summary));
	g_assert_cmpuint(summary.count, ==, 1);
	g_assert_true(summary.statuses[0].is_gone);
	/* an ack for another incarnation of the head does not count */
	gn_cell_head_on_ack(head, 0, &other);
	gn_cell_head_start_round(head);
	g_assert_true(gn_cell_head_make_summary(head, 0, &summary));
	g_assert_cmpuint(summary.base_sequence, ==, 1);
	g_assert_cmpuint(summary.count, ==, 1);
	gn_cell_head_on_ack(head, 0, &ack);
	g_assert_false(gn_cell_head_make_summary(head, 0, &summary));
	talloc_free(head);
}

#define ADD_CASES(prefix, cases, test)                                       \
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {                   \
		char *path = g_strdup_printf(prefix "/%s", (cases)[i].name); \
                                                                             \
		g_test_add_data_func(path, &(cases)[i], test);               \
		g_free(path);                                                \
	}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES("/cell/load", load_cases, test_load);
	ADD_CASES("/cell/agent", agent_cases, test_agent);
	ADD_CASES("/cell/view", view_cases, test_view);
	ADD_CASES("/cell/beat", heartbeat_cases, test_heartbeat);
	g_test_add_func("/cell/probe", test_probe_covers_lower_ranks);
	g_test_add_func("/cell/gone", test_silent_member_is_reported_gone);
	return g_test_run();
}
