#include <glib.h>

#include "batch/promise.h"

#define SECOND UINT64_C(1000000)
#define SELF 1
#define PEER 2
#define LATER 3

static const gn_promise_params_t params = {
	.renew_us = 8 * SECOND,
	.confirm_us = SECOND,
	.promise_us = 10 * SECOND,
	.drift_us = SECOND,
	.outage_max_us = 3600 * SECOND,
	.rate_ppm = 1000,
};

static const gn_promise_member_t record[] = { { SELF, 1, 1 }, { PEER, 2, 1 } };

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
	f->promise = gn_promise_create(NULL, &params, &f->clock, SELF);
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

static void receive_confirmation(fixture_t *f, uint64_t sent_us)
{
	gn_promise_on_answer(f->promise, GN_PROMISE_CONFIRM, PEER, SELF,
			     sent_us, true);
}

static void test_normal(fixture_t *f, gconstpointer data)
{
	(void)data;
	gn_clock_advance(&f->clock, params.renew_us - 1);
	g_assert_true(gn_promise_may_start(f->promise));
	gn_clock_advance(&f->clock, 1);
	g_assert_false(gn_promise_may_start(f->promise));
	g_assert_false(gn_promise_may_renew(f->promise));
	/* A renewal counts from when it was sent, even if answered late. */
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
	g_assert_cmpuint(gn_promise_list_confirmers(f->promise, to, 4), ==, 1);
	g_assert_cmpuint(to[0], ==, PEER);
	receive_confirmation(f, now_us(f));
	g_assert_true(gn_promise_may_renew(f->promise));
	g_assert_false(gn_promise_may_start(f->promise));
	gn_clock_advance(&f->clock, params.confirm_us + 1);
	g_assert_false(gn_promise_may_renew(f->promise));
	gn_clock_advance(&f->clock, params.outage_max_us - params.renew_us -
					    params.confirm_us - 2);
	receive_confirmation(f, now_us(f));
	g_assert_true(gn_promise_may_renew(f->promise));
	gn_clock_advance(&f->clock, 1);
	receive_confirmation(f, now_us(f));
	g_assert_false(gn_promise_may_renew(f->promise));
}

/** During an outage of ten minutes that all confirm, promises are renewed. */
static void test_outage(fixture_t *f, gconstpointer data)
{
	(void)data;
	for (int i = 0; i < 600 * 2; i++) {
		if (!gn_promise_is_normal(f->promise))
			receive_confirmation(f, now_us(f));
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
	/* LATER is not in the record. */
	g_assert_false(gn_promise_on_query(f->promise, GN_PROMISE_CONFIRM,
					   LATER, LATER));
	g_assert_false(
		gn_promise_on_query(f->promise, GN_PROMISE_VOUCH, SELF, PEER));
	/* After the first query for a voucher it never confirms again. */
	g_assert_false(gn_promise_on_query(f->promise, GN_PROMISE_CONFIRM, PEER,
					   PEER));
	gn_clock_advance(&f->clock, params.confirm_us + params.promise_us +
					    params.drift_us);
	g_assert_false(
		gn_promise_on_query(f->promise, GN_PROMISE_VOUCH, SELF, PEER));
	gn_clock_advance(&f->clock, 1);
	g_assert_true(
		gn_promise_on_query(f->promise, GN_PROMISE_VOUCH, SELF, PEER));
}

typedef struct settle_case_s {
	const char *name;
	uint64_t joined; /**< record revision at which the voucher joined */
	uint64_t acked; /**< revision acknowledged by the earlier owner */
	uint64_t wait_us; /**< time since the takeover */
	bool vouched;
	bool settled; /**< expected result */
} settle_case_t;

/** Longest outage by the fastest clock, plus promise_us and drift_us. */
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
	gn_promise_member_t after[] = { { SELF, 1, 1 },
					{ LATER, c->joined, 1 } };
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
	/* Acknowledged revisions are taken from older records as well. */
	g_assert_cmpuint(gn_promise_acked(f->promise, PEER), ==, 2);
	g_assert_cmpint(gn_promise_adopt(f->promise, 3, without, 1), ==, GN_OK);
	g_assert_true(gn_promise_is_removed(f->promise));
	g_assert_false(gn_promise_may_renew(f->promise));
	g_assert_false(gn_promise_on_query(f->promise, GN_PROMISE_CONFIRM, PEER,
					   PEER));
}

#define ADD(path, data, func) \
	g_test_add("/promise/" path, fixture_t, data, set_up, func, tear_down)

/** A retirement settles an owner, but not while it is in the record. */
static void test_retired(fixture_t *f, gconstpointer data)
{
	const gn_promise_member_t without[] = { { SELF, 1, 3 },
						{ LATER, 3, 3 } };
	uint64_t taken_us;

	(void)data;
	gn_promise_set_retired(f->promise, PEER);
	g_assert_false(gn_promise_is_settled(f->promise, PEER, 0, now_us(f)));
	g_assert_cmpint(gn_promise_adopt(f->promise, 3, without, 2), ==, GN_OK);
	taken_us = now_us(f);
	g_assert_true(gn_promise_is_settled(f->promise, PEER, 0, taken_us));
	/* It settles no other owner. */
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
