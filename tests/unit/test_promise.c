#include <glib.h>

#include "batch/promise.h"

#define SECOND UINT64_C(1000000)
#define ME 1
#define PEER 2
#define LATER 3

static const gn_promise_params_t params = {
	.renew_us = 8 * SECOND,
	.confirm_us = SECOND,
	.promise_us = 10 * SECOND,
	.drift_us = SECOND,
	.dark_us = 3600 * SECOND,
	.rate_ppm = 1000,
};

static const gn_promise_member_t record[] = { { ME, 1, 1 }, { PEER, 2, 1 } };

typedef struct fixture_s {
	gn_clock_t clock;
	gn_promise_t *promise;
} fixture_t;

static uint64_t now_us(const fixture_t *f)
{
	return gn_clock_now_us(&f->clock);
}

static void set_up(fixture_t *f, gconstpointer data)
{
	(void)data;
	gn_clock_init_paused(&f->clock, 1000 * SECOND);
	f->promise = gn_promise_create(NULL, &params, &f->clock, ME);
	g_assert_false(gn_promise_may_renew(f->promise));
	gn_promise_on_renewed(f->promise, now_us(f));
	g_assert_false(gn_promise_may_renew(f->promise));
	g_assert_cmpint(gn_promise_adopt(f->promise, 2, record, 2), ==, GN_OK);
	g_assert_true(gn_promise_may_start(f->promise));
}

static void tear_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	talloc_free(f->promise);
}

static void confirm(fixture_t *f, uint64_t sent_us)
{
	gn_promise_on_answer(f->promise, GN_PROMISE_CONFIRM, PEER, ME, sent_us,
			     true);
}

static void test_normal(fixture_t *f, gconstpointer data)
{
	(void)data;
	gn_clock_advance(&f->clock, params.renew_us - 1);
	g_assert_true(gn_promise_may_start(f->promise));
	gn_clock_advance(&f->clock, 1);
	g_assert_false(gn_promise_may_start(f->promise));
	g_assert_false(gn_promise_may_renew(f->promise));
	/* An answer that was held up counts from its sending. */
	gn_promise_on_renewed(f->promise, now_us(f) - params.renew_us);
	g_assert_false(gn_promise_may_start(f->promise));
	gn_promise_on_renewed(f->promise, now_us(f) - 1);
	g_assert_true(gn_promise_may_start(f->promise));
}

static void test_dark(fixture_t *f, gconstpointer data)
{
	uint64_t to[4];

	(void)data;
	gn_clock_advance(&f->clock, params.renew_us);
	g_assert_cmpuint(gn_promise_confirmers(f->promise, to, 4), ==, 1);
	g_assert_cmpuint(to[0], ==, PEER);
	confirm(f, now_us(f));
	g_assert_true(gn_promise_may_renew(f->promise));
	g_assert_false(gn_promise_may_start(f->promise));
	gn_clock_advance(&f->clock, params.confirm_us + 1);
	g_assert_false(gn_promise_may_renew(f->promise));
	gn_clock_advance(&f->clock, params.dark_us - params.renew_us -
					    params.confirm_us - 2);
	confirm(f, now_us(f));
	g_assert_true(gn_promise_may_renew(f->promise));
	gn_clock_advance(&f->clock, 1);
	confirm(f, now_us(f));
	g_assert_false(gn_promise_may_renew(f->promise));
}

/** Ten minutes without the platform, seen by all: nothing is let go. */
static void test_outage(fixture_t *f, gconstpointer data)
{
	(void)data;
	for (int i = 0; i < 600 * 2; i++) {
		if (!gn_promise_is_normal(f->promise))
			confirm(f, now_us(f));
		g_assert_true(gn_promise_may_renew(f->promise));
		gn_clock_advance(&f->clock, SECOND / 2);
	}
}

static void test_confirm(fixture_t *f, gconstpointer data)
{
	(void)data;
	g_assert_false(gn_promise_on_query(f->promise, GN_PROMISE_CONFIRM, PEER,
					   PEER));
	gn_clock_advance(&f->clock, params.renew_us);
	g_assert_true(gn_promise_on_query(f->promise, GN_PROMISE_CONFIRM, PEER,
					  PEER));
	/* Not in the record. */
	g_assert_false(gn_promise_on_query(f->promise, GN_PROMISE_CONFIRM,
					   LATER, LATER));
	g_assert_false(
		gn_promise_on_query(f->promise, GN_PROMISE_VOUCH, ME, PEER));
	/* From the first such query on it confirms no more. */
	g_assert_false(gn_promise_on_query(f->promise, GN_PROMISE_CONFIRM, PEER,
					   PEER));
	gn_clock_advance(&f->clock, params.confirm_us + params.promise_us +
					    params.drift_us);
	g_assert_false(
		gn_promise_on_query(f->promise, GN_PROMISE_VOUCH, ME, PEER));
	gn_clock_advance(&f->clock, 1);
	g_assert_true(
		gn_promise_on_query(f->promise, GN_PROMISE_VOUCH, ME, PEER));
}

typedef struct settle_case_s {
	const char *name;
	uint64_t joined; /**< of the voucher */
	uint64_t acked; /**< of the earlier owner */
	uint64_t wait_us;
	bool vouched;
	bool settled;
} settle_case_t;

/** The longest dark time at the fastest clock, a promise, the margin. */
#define LONGEST_US (UINT64_C(3600 * 1001) * GN_US_PER_MS + 11 * SECOND)

static const settle_case_t settle_cases[] = {
	{ "silent", 3, 3, 60 * SECOND, false, false },
	{ "vouched", 3, 3, 60 * SECOND, true, true },
	{ "not-needed-by-owner", 3, 2, 60 * SECOND, true, false },
	{ "longest-wait", 3, 2, LONGEST_US + 1, false, true },
	{ "almost-longest-wait", 3, 2, LONGEST_US, true, false },
};

static void test_settle(fixture_t *f, gconstpointer data)
{
	const settle_case_t *c = data;
	gn_promise_member_t after[] = { { ME, 1, 1 }, { LATER, c->joined, 1 } };
	uint64_t taken_us = now_us(f);

	g_assert_cmpint(gn_promise_adopt(f->promise, 4, after, 2), ==, GN_OK);
	gn_clock_advance(&f->clock, c->wait_us);
	if (c->vouched)
		gn_promise_on_answer(f->promise, GN_PROMISE_VOUCH, LATER, PEER,
				     now_us(f), true);
	g_assert_cmpint(
		gn_promise_is_settled(f->promise, PEER, c->acked, taken_us), ==,
		c->settled);
}

static void test_record(fixture_t *f, gconstpointer data)
{
	const gn_promise_member_t without[] = { { PEER, 2, 2 } };

	(void)data;
	g_assert_cmpint(gn_promise_adopt(f->promise, 2, without, 1), ==,
			GN_ERR_STALE);
	g_assert_false(gn_promise_is_removed(f->promise));
	/* What a member acknowledged is kept, from whatever record. */
	g_assert_cmpuint(gn_promise_acked(f->promise, PEER), ==, 2);
	g_assert_cmpint(gn_promise_adopt(f->promise, 3, without, 1), ==, GN_OK);
	g_assert_true(gn_promise_is_removed(f->promise));
	g_assert_false(gn_promise_may_renew(f->promise));
	g_assert_false(gn_promise_on_query(f->promise, GN_PROMISE_CONFIRM, PEER,
					   PEER));
}

#define ADD(path, data, func) \
	g_test_add("/promise/" path, fixture_t, data, set_up, func, tear_down)

/** An owner's own word settles it, but not while the record still has it. */
static void test_retired(fixture_t *f, gconstpointer data)
{
	const gn_promise_member_t without[] = { { ME, 1, 3 }, { LATER, 3, 3 } };
	uint64_t taken_us;

	(void)data;
	gn_promise_note_retired(f->promise, PEER);
	g_assert_false(gn_promise_is_settled(f->promise, PEER, 0, now_us(f)));
	g_assert_cmpint(gn_promise_adopt(f->promise, 3, without, 2), ==, GN_OK);
	taken_us = now_us(f);
	g_assert_true(gn_promise_is_settled(f->promise, PEER, 0, taken_us));
	/* Of another owner it says nothing. */
	g_assert_false(gn_promise_is_settled(f->promise, 9, 0, taken_us));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("normal", NULL, test_normal);
	ADD("dark", NULL, test_dark);
	ADD("outage", NULL, test_outage);
	ADD("confirm", NULL, test_confirm);
	ADD("record", NULL, test_record);
	ADD("retired", NULL, test_retired);
	for (size_t i = 0; i < G_N_ELEMENTS(settle_cases); i++) {
		char *path = g_strdup_printf("/promise/settle/%s",
					     settle_cases[i].name);

		g_test_add(path, fixture_t, &settle_cases[i], set_up,
			   test_settle, tear_down);
		g_free(path);
	}
	return g_test_run();
}
