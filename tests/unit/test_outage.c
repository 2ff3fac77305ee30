/*
 * Tests what callers get while jobs cannot be stored. Guards against callers
 * whose retries all fall into one outage, requests held in vain, and callers
 * that all return at once.
 */
#include <glib.h>

#include "outage/outage.h"
#include "support/outage_model.h"

#define MS GN_US_PER_MS
#define S GN_US_PER_S
#define LEASE_US (1000 * MS)
#define SEEDS 20

/* ======   Model   ====== */

typedef struct model_case_s {
	const char *name;
	outage_model_case_t c;
	/* The constant refuses callers for good; if so, at most a third are. */
	bool constant_loses;
	/* Mean delay in relation to the constant, if that loses no caller. */
	double delay_max;
} model_case_t;

/* Callers refused for good, in relation to the constant. */
#define LOST_MAX 0.33
/* Callers served within their objective, in relation to the constant. */
#define IN_TIME_MIN 0.97

static void add(outage_model_result_t *sum, const outage_model_result_t *one)
{
	sum->callers += one->callers;
	sum->served += one->served;
	sum->in_time += one->in_time;
	sum->refused_for_good += one->refused_for_good;
	sum->timeouts += one->timeouts;
	sum->refusals += one->refusals;
	sum->delay_s += one->delay_s / SEEDS;
	sum->returns_max = MAX(sum->returns_max, one->returns_max);
	sum->overtaken += one->overtaken;
}

static outage_model_result_t run_seeds(const model_case_t *c,
				       const outage_model_rule_t *rule)
{
	outage_model_result_t sum = { 0 };
	outage_model_case_t one = c->c;

	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		outage_model_result_t result;

		one.seed = seed;
		result = outage_model_run(&one, rule);
		g_assert_cmpuint(result.served + result.refused_for_good, ==,
				 result.callers);
		add(&sum, &result);
	}
	g_test_message("%s, %s: %u callers, %u served, %u in time, %u refused "
		       "for good, %u timeouts, %u refusals, mean delay %.3f s, "
		       "at most %u returns in 100 ms, %u overtaken",
		       c->name, rule->name, sum.callers, sum.served,
		       sum.in_time, sum.refused_for_good, sum.timeouts,
		       sum.refusals, sum.delay_s, sum.returns_max,
		       sum.overtaken);
	return sum;
}

#define ALL_CUT .cut_off = -1, .failure = GN_OUTAGE_NO_ANSWER

static const model_case_t model_cases[] = {
	/* A leader gives up what waits for the store after 0.75 s, not 1 s. */
	{ "outage-1s", { .length_us = 1 * S, ALL_CUT }, false, 1.6 },
	{ "outage-4s", { .length_us = 4 * S, ALL_CUT }, false, 1.15 },
	{ "outage-4s-recovery",
	  { .length_us = 4 * S, .recovery_us = 2 * S, ALL_CUT },
	  true,
	  0 },
	{ "outage-10s", { .length_us = 10 * S, ALL_CUT }, true, 0 },
	{ "reset-4s",
	  { .length_us = 4 * S, .cut_off = -1, .failure = GN_OUTAGE_RESET },
	  false,
	  1.15 },
	{ "refused-4s",
	  { .length_us = 4 * S, .cut_off = -1, .failure = GN_OUTAGE_REFUSED },
	  false,
	  1.15 },
	{ "one-cut-off",
	  { .length_us = 4 * S,
	    .cut_off = 3,
	    .loses_links = true,
	    .failure = GN_OUTAGE_NO_ANSWER },
	  false,
	  1.0 },
	{ "one-without-service",
	  { .length_us = 4 * S, .cut_off = 3, .failure = GN_OUTAGE_NO_ANSWER },
	  false,
	  1.0 },
	{ "leader-without-service",
	  { .length_us = 4 * S,
	    .cut_off = 0,
	    .leads = true,
	    .failure = GN_OUTAGE_NO_ANSWER },
	  false,
	  1.6 },
	{ "leader-cut-off",
	  { .length_us = 4 * S,
	    .cut_off = 0,
	    .leads = true,
	    .loses_links = true,
	    .failure = GN_OUTAGE_NO_ANSWER },
	  false,
	  1.6 },
	{ "restarts-4s",
	  { .length_us = 4 * S, ALL_CUT, .restarts = true },
	  false,
	  1.2 },
	{ "comes-and-goes",
	  { .length_us = 1500 * MS,
	    .outages = 4,
	    .pause_us = 500 * MS,
	    ALL_CUT },
	  true,
	  0 },
};

/*
 * Guards against the loss of more callers than by a constant where callers give
 * up 3 s after their first try, whatever they are told. Those of the first 1.2 s
 * cannot be served, since the service is away for longer than they wait.
 */
static void test_impatient_callers_are_lost(void)
{
	const model_case_t c = {
		"impatient-4.2s",
		{ .length_us = 4200 * MS, ALL_CUT, .patience_us = 3 * S },
		true,
		0
	};
	const outage_model_result_t before =
		run_seeds(&c, &outage_model_constant_rule);
	const outage_model_result_t after = run_seeds(&c, &outage_model_rule);

	g_assert_cmpuint(after.refused_for_good, <=, before.refused_for_good);
	g_assert_cmpuint(after.refusals, <, before.refusals);
	g_assert_cmpuint(after.timeouts, ==, 0);
}

static void test_model(gconstpointer data)
{
	const model_case_t *c = data;
	outage_model_result_t before =
		run_seeds(c, &outage_model_constant_rule);
	outage_model_result_t after = run_seeds(c, &outage_model_rule);

	g_assert_true(c->constant_loses == (before.refused_for_good > 0));
	g_assert_cmpfloat(after.refused_for_good, <=,
			  LOST_MAX * before.refused_for_good);
	g_assert_cmpfloat(after.in_time, >=, IN_TIME_MIN * before.in_time);
	if (!c->constant_loses)
		g_assert_cmpfloat(after.delay_s, <=,
				  c->delay_max * before.delay_s);
	g_assert_cmpuint(after.timeouts, ==, 0);
	g_assert_cmpuint(after.overtaken, ==, 0);
}

/* ======   Elections   ====== */

/** Time at which the last leader of a case served. */
#define SERVED_US (100 * S)

typedef struct hold_case_s {
	const char *name;
	uint64_t served_us;
	uint64_t store_silent_us;
	uint64_t absent_us;
	bool held;
} hold_case_t;

static const hold_case_t hold_cases[] = {
	{ "leader-killed", SERVED_US, 0, 0, true },
	{ "lease-running", SERVED_US, 200 * MS, 900 * MS, true },
	{ "election", SERVED_US, 200 * MS, LEASE_US + 300 * MS, true },
	{ "no-election", SERVED_US, 200 * MS, 2 * LEASE_US, false },
	{ "store-away", SERVED_US, 1600 * MS, 900 * MS, false },
	{ "never-led", 0, 0, 0, false },
};

static void test_hold(gconstpointer data)
{
	const hold_case_t *c = data;
	const uint64_t now_us = SERVED_US + c->absent_us;
	const gn_outage_view_t view = {
		.now_us = now_us,
		.started_us = S,
		.served_us = c->served_us,
		.answered_us = now_us - c->store_silent_us,
		.lease_us = LEASE_US,
	};
	gn_outage_t outage = { 0 };
	gn_outage_decision_t decision = gn_outage_decide(&outage, &view, 3 * S);

	g_assert_true(decision.hold == c->held);
	g_assert_true((gn_outage_get_end_us(&view) != 0) == c->held);
	if (!decision.hold)
		g_assert_cmpuint(decision.retry_after_s, >=, 1);
}

/*
 * Requests arrive every 10 ms from the kill of a leader on, and the next one
 * serves after a lease and a round trip. Without holding, all that arrive
 * before it are refused.
 */
static void test_nobody_is_refused_during_an_election(void)
{
	const uint64_t next_us = SERVED_US + LEASE_US + 100 * MS;
	gn_outage_t outage = { 0 };
	unsigned refused = 0;

	for (uint64_t now_us = SERVED_US; now_us < next_us; now_us += 10 * MS) {
		const gn_outage_view_t view = {
			.now_us = now_us,
			.served_us = SERVED_US,
			.answered_us = now_us - 100 * MS,
			.lease_us = LEASE_US,
		};

		refused += !gn_outage_decide(&outage, &view, 3 * S).hold;
	}
	g_assert_cmpuint(refused, ==, 0);
}

/* Guards against a request that waits for a leader beyond its deadline. */
static void test_nobody_waits_beyond_a_deadline(void)
{
	const gn_outage_view_t view = { .now_us = SERVED_US,
					.served_us = SERVED_US,
					.answered_us = SERVED_US,
					.lease_us = LEASE_US };
	gn_outage_t outage = { 0 };

	/* The election is expected to end after 1.8 s. */
	g_assert_true(gn_outage_decide(&outage, &view, 2100 * MS).hold);
	g_assert_false(gn_outage_decide(&outage, &view, 1900 * MS).hold);
	g_assert_true(gn_outage_keeps_holding(&outage, &view, SERVED_US - 1,
					      SERVED_US + 300 * MS));
	g_assert_false(gn_outage_keeps_holding(&outage, &view, SERVED_US + S,
					       SERVED_US + 100 * MS));
}

/* ======   Outages of the service   ====== */

/** Last answer of the service before the outage of a case. */
#define ANSWERED_US (200 * S)

/* Returns the view at @p age_us of an outage for all. */
static gn_outage_view_t view_outage(gn_outage_t *outage, uint64_t age_us)
{
	const gn_outage_view_t view = {
		.now_us = ANSWERED_US + age_us,
		.started_us = S,
		.answered_us = ANSWERED_US,
		.failed_us = ANSWERED_US + age_us,
		.failure = GN_OUTAGE_NO_ANSWER,
		.served_us = ANSWERED_US,
		.lease_us = LEASE_US,
	};

	gn_outage_update(outage, &view);
	return view;
}

/* Guards against a caller whose four retries all fall into one outage of 10 s
 * and the election after it, from whatever age of the outage on. */
static void test_four_retries_cover_an_outage(void)
{
	for (uint64_t first_us = 450 * MS; first_us < 10 * S;
	     first_us += 10 * MS) {
		uint64_t age_us = first_us;

		for (unsigned i = 0; i < OUTAGE_MODEL_RETRIES; i++) {
			gn_outage_t outage = { 0 };
			gn_outage_view_t view = view_outage(&outage, age_us);
			gn_outage_decision_t decision =
				gn_outage_decide(&outage, &view, 3 * S);

			if (decision.hold) {
				age_us = decision.until_us - ANSWERED_US;
				view = view_outage(&outage, age_us);
				decision = gn_outage_refuse(&outage, &view);
			}
			age_us += decision.retry_after_s * S;
		}
		g_assert_cmpuint(age_us, >=, 10500 * MS);
	}
}

/* Guards against a wait in vain of more than a quarter of the remaining time,
 * and against a wait whose end is not known at its start. */
static void test_waits_are_bounded(void)
{
	for (uint64_t age_us = 450 * MS; age_us < 10 * S; age_us += 10 * MS) {
		gn_outage_t outage = { 0 };
		gn_outage_view_t view = view_outage(&outage, age_us);
		gn_outage_decision_t decision =
			gn_outage_decide(&outage, &view, 3 * S);

		g_assert_true(decision.hold == (age_us <= 1150 * MS));
		if (!decision.hold)
			continue;
		g_assert_cmpuint(decision.until_us, <=, view.now_us + 750 * MS);
		view = view_outage(&outage, decision.until_us - ANSWERED_US);
		g_assert_false(gn_outage_keeps_holding(&outage, &view,
						       decision.until_us,
						       view.now_us + 2 * S));
	}
}

/* Guards against a leader that takes submissions it will have to give up. */
static void test_leader_without_store(void)
{
	gn_outage_t outage = { 0 };
	gn_outage_view_t view = view_outage(&outage, 300 * MS);

	view.leads = true;
	g_assert_true(gn_outage_waits_for_store(&outage, &view, 3 * S));
	view = view_outage(&outage, 450 * MS);
	view.leads = true;
	g_assert_true(gn_outage_waits_for_store(&outage, &view, 3 * S));
	view = view_outage(&outage, 600 * MS);
	view.leads = true;
	g_assert_false(gn_outage_waits_for_store(&outage, &view, 3 * S));
}

/* Guards against a wait for an election that goes on, beyond a quarter of the
 * caller's time, after the service has gone as well. */
static void test_lost_sight_of_the_end(void)
{
	gn_outage_t outage = { 0 };
	gn_outage_view_t view = { .now_us = SERVED_US,
				  .served_us = SERVED_US,
				  .answered_us = SERVED_US,
				  .lease_us = LEASE_US };
	uint64_t limit_us = SERVED_US + gn_outage_get_limit_us(3 * S);

	g_assert_true(gn_outage_check(&outage, &view, 3 * S).hold);
	view.now_us = SERVED_US + 1400 * MS;
	g_assert_true(gn_outage_keeps_holding(&outage, &view, limit_us,
					      SERVED_US + 3 * S));
	view.now_us = SERVED_US + 1500 * MS;
	g_assert_false(gn_outage_keeps_holding(&outage, &view, limit_us,
					       SERVED_US + 3 * S));
}

/* Guards against a request that is answered just before the next leader serves:
 * once the service is back, the end is in sight. */
static void test_waits_last_while_the_end_is_in_sight(void)
{
	gn_outage_t outage = { 0 };
	gn_outage_view_t view = view_outage(&outage, 500 * MS);
	uint64_t until_us = view.now_us + 750 * MS;

	view.now_us = until_us;
	view.answered_us = until_us - 10 * MS;
	g_assert_cmpint(gn_outage_update(&outage, &view), ==, GN_OUTAGE_ENDED);
	g_assert_true(gn_outage_keeps_holding(&outage, &view, until_us,
					      until_us + 2 * S));
	view.now_us += 2 * S;
	view.answered_us = view.now_us;
	g_assert_false(gn_outage_keeps_holding(&outage, &view, until_us,
					       view.now_us + 2 * S));
}

/* Guards against an outage seen in a single failed call or a quiet watch. */
static void test_single_failures_are_no_outage(void)
{
	gn_outage_t outage = { 0 };
	gn_outage_view_t view = view_outage(&outage, 300 * MS);

	g_assert_cmpuint(outage.began_us, ==, 0);
	view.failed_us = 0;
	view.now_us = ANSWERED_US + 1400 * MS;
	g_assert_cmpint(gn_outage_update(&outage, &view), ==,
			GN_OUTAGE_UNCHANGED);
	view.now_us = ANSWERED_US + 1500 * MS;
	g_assert_cmpint(gn_outage_update(&outage, &view), ==, GN_OUTAGE_BEGAN);
}

/* ======   Returns   ====== */

/* Guards against all callers returning in one second, and against one that was
 * refused later returning earlier. */
static void test_returns_are_spread_in_order(void)
{
	gn_outage_t outage = { 0 };
	unsigned per_second[GN_OUTAGE_RETRY_MAX_S + 1] = { 0 };
	unsigned last_s = 0;

	for (unsigned i = 0; i < 40; i++) {
		gn_outage_view_t view = view_outage(&outage, 2 * S);
		unsigned retry_s =
			gn_outage_refuse(&outage, &view).retry_after_s;

		g_assert_cmpuint(retry_s, >=, last_s);
		last_s = retry_s;
		per_second[retry_s]++;
	}
	for (unsigned s = 0; s <= GN_OUTAGE_RETRY_MAX_S; s++)
		g_assert_cmpuint(per_second[s], <=, 10);
	g_assert_cmpuint(per_second[2], ==, 10);
	g_assert_cmpuint(last_s, ==, 5);
}

/* A scheduler that served more submissions takes back more callers a second. */
static void test_returns_follow_the_rate(void)
{
	gn_outage_t outage = { 0 };
	unsigned soonest = 0;

	for (uint64_t now_us = ANSWERED_US - 20 * S; now_us < ANSWERED_US;
	     now_us += 20 * MS)
		gn_outage_count_served(&outage, now_us);
	for (unsigned i = 0; i < 200; i++) {
		gn_outage_view_t view = view_outage(&outage, 2 * S);

		soonest += gn_outage_refuse(&outage, &view).retry_after_s == 2;
	}
	g_assert_cmpuint(soonest, >=, 95);
	g_assert_cmpuint(soonest, <=, 105);
}

/* Guards against times without bound when everything is full. */
static void test_returns_are_bounded(void)
{
	gn_outage_t outage = { 0 };

	for (unsigned i = 0; i < 10000; i++) {
		gn_outage_view_t view =
			view_outage(&outage, (20 * 60 + i / 100) * S);
		unsigned retry_s =
			gn_outage_refuse(&outage, &view).retry_after_s;

		g_assert_cmpuint(retry_s, >=, GN_OUTAGE_RETRY_MIN_S);
		g_assert_cmpuint(retry_s, <=, GN_OUTAGE_RETRY_MAX_S);
	}
}

/* ======   What is known   ====== */

/* Guards against held requests that use up the memory. */
static void test_held_requests_are_limited(void)
{
	gn_outage_t outage = { 0 };
	gn_outage_view_t view = view_outage(&outage, 500 * MS);

	g_assert_true(gn_outage_decide(&outage, &view, 3 * S).hold);
	view.held = GN_OUTAGE_HELD_MAX;
	g_assert_false(gn_outage_decide(&outage, &view, 3 * S).hold);
	view.held = 1;
	view.held_bytes = GN_OUTAGE_HELD_BYTES_MAX;
	g_assert_false(gn_outage_decide(&outage, &view, 3 * S).hold);
}

/* Guards against a wait at a scheduler that is alone without the service. */
static void test_alone(void)
{
	gn_outage_t outage = { 0 };
	gn_outage_view_t view = view_outage(&outage, 500 * MS);
	gn_outage_decision_t decision;

	view.leader_silent = true;
	decision = gn_outage_decide(&outage, &view, 3 * S);
	g_assert_false(decision.hold);
	g_assert_cmpuint(decision.retry_after_s, ==, 1);
	g_assert_cmpstr(decision.basis, ==, "alone");
	/* The leader stored jobs long after the service's last answer here. */
	view = view_outage(&outage, 3 * S);
	g_assert_cmpuint(gn_outage_refuse(&outage, &view).retry_after_s, >, 1);
	view.served_us = view.now_us - 100 * MS;
	g_assert_cmpuint(gn_outage_refuse(&outage, &view).retry_after_s, ==, 1);
	/* Then the leader lost the service as well. */
	view.now_us += 1500 * MS;
	g_assert_cmpuint(gn_outage_refuse(&outage, &view).retry_after_s, >, 1);
}

/* Guards against an age of 0 that a process sees that starts in an outage. */
static void test_no_history(void)
{
	const gn_outage_view_t view = { .now_us = ANSWERED_US + 500 * MS,
					.started_us = ANSWERED_US,
					.failed_us = ANSWERED_US + 50 * MS,
					.failure = GN_OUTAGE_RESET,
					.lease_us = LEASE_US };
	gn_outage_t outage = { 0 };
	gn_outage_decision_t decision;

	g_assert_cmpint(gn_outage_update(&outage, &view), ==, GN_OUTAGE_BEGAN);
	decision = gn_outage_decide(&outage, &view, 3 * S);
	g_assert_false(decision.hold);
	g_assert_cmpuint(decision.retry_after_s, ==, 2);
	g_assert_cmpstr(decision.basis, ==, "never answered");
}

/* Guards against an outage that is seen at each start of a process. */
static void test_start_is_no_outage(void)
{
	const gn_outage_view_t view = { .now_us = ANSWERED_US + 100 * MS,
					.started_us = ANSWERED_US,
					.lease_us = LEASE_US };
	gn_outage_t outage = { 0 };
	gn_outage_decision_t decision;

	g_assert_cmpint(gn_outage_update(&outage, &view), ==,
			GN_OUTAGE_UNCHANGED);
	decision = gn_outage_decide(&outage, &view, 3 * S);
	g_assert_false(decision.hold);
	g_assert_cmpuint(decision.retry_after_s, ==, 1);
}

/* Guards against a leader that waits for an election while only the service is
 * missing, and against one that refuses when the service is back. */
static void test_leader_waits_for_the_service(void)
{
	gn_outage_t outage = { 0 };
	gn_outage_view_t view = { .now_us = ANSWERED_US + 760 * MS,
				  .started_us = S,
				  .answered_us = ANSWERED_US,
				  .served_us = ANSWERED_US + 760 * MS,
				  .leads = true,
				  .lease_us = LEASE_US };
	gn_outage_decision_t decision = gn_outage_refuse(&outage, &view);

	g_assert_cmpstr(decision.basis, ==, "age");
	g_assert_cmpuint(decision.age_us, ==, 760 * MS);
	/* 0.76 s of the outage, and the election since the lease ends. */
	g_assert_cmpuint(decision.estimate_us, ==, 1560 * MS);
	g_assert_cmpuint(decision.retry_after_s, ==, 2);
	view.now_us = ANSWERED_US + 4 * S;
	gn_outage_update(&outage, &view);
	g_assert_false(gn_outage_check(&outage, &view, 3 * S).hold);
	view.answered_us = view.now_us;
	gn_outage_update(&outage, &view);
	g_assert_true(gn_outage_check(&outage, &view, 3 * S).hold);
}

/* Earlier outages shorten and lengthen the estimate, within bounds. */
static void test_earlier_outages(void)
{
	static const struct {
		uint64_t length_us;
		uint64_t rest_us; /* Expected at an age of 2 s. */
	} cases[] = {
		{ 1 * S, 2 * S }, /* Shorter ones say nothing. */
		{ 2500 * MS, 1 * S },
		{ 4500 * MS, 2500 * MS },
		{ 60 * S, 5 * S },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		gn_outage_t outage = { .length_count = 3 };
		gn_outage_view_t view;

		for (unsigned j = 0; j < 3; j++)
			outage.lengths_us[j] = cases[i].length_us;
		view = view_outage(&outage, 2 * S);
		g_assert_cmpuint(gn_outage_refuse(&outage, &view).estimate_us,
				 ==, cases[i].rest_us);
	}
}

/* A service that refuses calls is expected back sooner than a silent one. */
static void test_what_failed(void)
{
	gn_outage_t outage = { 0 };
	gn_outage_view_t view = view_outage(&outage, 2 * S);

	g_assert_cmpuint(gn_outage_refuse(&outage, &view).estimate_us, ==,
			 2 * S);
	view.failure = GN_OUTAGE_REFUSED;
	g_assert_cmpuint(gn_outage_refuse(&outage, &view).estimate_us, ==, S);
}

/* Guards against long waits for an election that the next outage ends. */
static void test_flapping(void)
{
	gn_outage_t outage = { .length_count = 2,
			       .lengths_us = { S, S },
			       .ended_us = ANSWERED_US };
	gn_outage_view_t view = { .now_us = ANSWERED_US + 100 * MS,
				  .served_us = ANSWERED_US - 2 * S,
				  .answered_us = ANSWERED_US + 100 * MS,
				  .lease_us = LEASE_US };

	/* The election takes up to 1.8 s, more than a quarter of 3 s. */
	g_assert_false(gn_outage_decide(&outage, &view, 3 * S).hold);
	outage.length_count = 1;
	g_assert_true(gn_outage_decide(&outage, &view, 3 * S).hold);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(model_cases); i++) {
		char *path = g_strdup_printf("/outage/model/%s",
					     model_cases[i].name);

		g_test_add_data_func(path, &model_cases[i], test_model);
		g_free(path);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(hold_cases); i++) {
		char *path =
			g_strdup_printf("/outage/hold/%s", hold_cases[i].name);

		g_test_add_data_func(path, &hold_cases[i], test_hold);
		g_free(path);
	}
	g_test_add_func("/outage/impatient_callers_are_lost",
			test_impatient_callers_are_lost);
	g_test_add_func("/outage/nobody-is-refused-during-an-election",
			test_nobody_is_refused_during_an_election);
	g_test_add_func("/outage/nobody-waits-beyond-a-deadline",
			test_nobody_waits_beyond_a_deadline);
	g_test_add_func("/outage/four-retries-cover-an-outage",
			test_four_retries_cover_an_outage);
	g_test_add_func("/outage/waits-are-bounded", test_waits_are_bounded);
	g_test_add_func("/outage/waits-last-while-the-end-is-in-sight",
			test_waits_last_while_the_end_is_in_sight);
	g_test_add_func("/outage/leader-without-store",
			test_leader_without_store);
	g_test_add_func("/outage/lost-sight-of-the-end",
			test_lost_sight_of_the_end);
	g_test_add_func("/outage/single-failures-are-no-outage",
			test_single_failures_are_no_outage);
	g_test_add_func("/outage/returns-are-spread-in-order",
			test_returns_are_spread_in_order);
	g_test_add_func("/outage/returns-follow-the-rate",
			test_returns_follow_the_rate);
	g_test_add_func("/outage/returns-are-bounded",
			test_returns_are_bounded);
	g_test_add_func("/outage/held-requests-are-limited",
			test_held_requests_are_limited);
	g_test_add_func("/outage/alone", test_alone);
	g_test_add_func("/outage/no-history", test_no_history);
	g_test_add_func("/outage/start-is-no-outage", test_start_is_no_outage);
	g_test_add_func("/outage/leader-waits-for-the-service",
			test_leader_waits_for_the_service);
	g_test_add_func("/outage/earlier-outages", test_earlier_outages);
	g_test_add_func("/outage/what-failed", test_what_failed);
	g_test_add_func("/outage/flapping", test_flapping);
	return g_test_run();
}
