#include <glib.h>

#include "executor/grant.h"
#include "gypsumnotch.h"

#define LEASE_US (4000 * GN_US_PER_MS)
#define START_US (100 * GN_US_PER_S)

static gn_grant_t create(void)
{
	gn_grant_t grant = { .lease_us = LEASE_US };

	return grant;
}

static void test_nothing_without_a_promise_or_a_clock(void)
{
	gn_grant_t grant = create();

	g_assert_cmpuint(gn_grant_until_ms(&grant, START_US), ==, 0);
	gn_grant_promise(&grant, START_US);
	g_assert_cmpuint(gn_grant_until_ms(&grant, START_US), ==, 0);
	gn_grant_read(&grant, 500, START_US);
	g_assert_cmpuint(gn_grant_until_ms(&grant, START_US), ==, 4500);
}

/* The lease counts from the report's sending, whatever came later. */
static void test_counts_from_the_report(void)
{
	gn_grant_t grant = create();

	gn_grant_promise(&grant, START_US);
	gn_grant_read(&grant, 1500, START_US + GN_US_PER_S);
	g_assert_cmpuint(gn_grant_until_ms(&grant, START_US + GN_US_PER_S + 10),
			 ==, 4500);
	gn_grant_promise(&grant, START_US - GN_US_PER_S);
	g_assert_cmpuint(gn_grant_until_ms(&grant, START_US + GN_US_PER_S + 10),
			 ==, 4500);
}

static void test_no_longer_lease_for_a_silent_worker(void)
{
	gn_grant_t grant = create();

	gn_grant_read(&grant, 500, START_US);
	gn_grant_promise(&grant, START_US + GN_US_PER_S);
	g_assert_cmpuint(gn_grant_until_ms(&grant, START_US + GN_US_PER_S), >,
			 0);
	g_assert_cmpuint(gn_grant_until_ms(&grant, START_US + GN_US_PER_S + 1),
			 ==, 0);
}

static void test_tells_that_it_lapsed(void)
{
	gn_grant_t grant = create();

	gn_grant_promise(&grant, START_US);
	g_assert_false(gn_grant_read(&grant, 500, START_US));
	gn_grant_until_ms(&grant, START_US);
	g_assert_false(gn_grant_read(&grant, 4500, START_US + LEASE_US));
	g_assert_true(gn_grant_read(&grant, 4501, START_US + LEASE_US + 1));
	gn_grant_reset(&grant);
	g_assert_false(gn_grant_read(&grant, 9000, START_US + LEASE_US + 2));
}

/*
 * Seen on grown ozav, mix seed 68331180477: starts that were tried for six
 * seconds began after their claims had been given up.
 */
static void test_starts_run_out_before_claims_do(void)
{
	g_assert_true(gn_grant_may_start(START_US, START_US + 1));
	g_assert_false(gn_grant_may_start(
		START_US, START_US + GN_GRANT_START_MS * GN_US_PER_MS));
	g_assert_false(gn_grant_may_start(0, START_US));
	g_assert_cmpuint(GN_GRANT_START_MS * GN_US_PER_MS, <, LEASE_US);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/grant/nothing_without_a_promise_or_a_clock",
			test_nothing_without_a_promise_or_a_clock);
	g_test_add_func("/grant/counts_from_the_report",
			test_counts_from_the_report);
	g_test_add_func("/grant/no_longer_lease_for_a_silent_worker",
			test_no_longer_lease_for_a_silent_worker);
	g_test_add_func("/grant/tells_that_it_lapsed",
			test_tells_that_it_lapsed);
	g_test_add_func("/grant/starts_run_out_before_claims_do",
			test_starts_run_out_before_claims_do);
	return g_test_run();
}
