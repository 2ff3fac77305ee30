#include <glib.h>

#include "admit/fence.h"

#define REQUESTS 16
#define ENTRY 7u

static gn_fence_t *create_fence(unsigned markers)
{
	gn_fence_config_t config = { REQUESTS, 2, markers };
	gn_fence_t *fence = gn_fence_create(NULL, &config);

	g_assert_nonnull(fence);
	return fence;
}

static void run_request(gn_fence_t *fence, uint64_t entry, uint64_t request)
{
	g_assert_cmpint(gn_fence_start(fence, entry, request), ==, GN_OK);
	gn_fence_end(fence, entry, request);
}

static void test_before_and_after_start(void)
{
	gn_fence_t *fence = create_fence(2);

	g_assert_true(gn_fence_cancel(fence, ENTRY, 1));
	g_assert_true(gn_fence_cancel(fence, ENTRY, 1));
	g_assert_cmpint(gn_fence_check(fence, ENTRY, 1), ==, GN_FENCE_FENCED);
	g_assert_cmpint(gn_fence_start(fence, ENTRY, 2), ==, GN_OK);
	g_assert_false(gn_fence_cancel(fence, ENTRY, 2));
	gn_fence_end(fence, ENTRY, 2);
	g_assert_false(gn_fence_cancel(fence, ENTRY, 2));
	g_assert_cmpint(gn_fence_check(fence, ENTRY, 2), ==,
			GN_FENCE_DUPLICATE);
	g_assert_cmpint(gn_fence_check(fence, ENTRY + 1, 2), ==, GN_FENCE_NEW);
	talloc_free(fence);
}

static void test_watermarks(void)
{
	gn_fence_t *fence = create_fence(2);

	/*
	 * The record of a running request is kept however many requests follow.
	 */
	g_assert_cmpint(gn_fence_start(fence, ENTRY, 1), ==, GN_OK);
	for (uint64_t i = 10; i < 10 + 2 * REQUESTS; i++)
		run_request(fence, ENTRY, i);
	g_assert_cmpuint(gn_fence_size(fence), ==, REQUESTS + 1);
	g_assert_cmpint(gn_fence_check(fence, ENTRY, 1), ==,
			GN_FENCE_DUPLICATE);
	g_assert_cmpint(gn_fence_check(fence, ENTRY, 10), ==,
			GN_FENCE_FORGOTTEN);
	/*
	 * A request without a record below the watermark can neither be proved
	 * not run nor started.
	 */
	g_assert_cmpint(gn_fence_check(fence, ENTRY, 5), ==,
			GN_FENCE_FORGOTTEN);
	g_assert_false(gn_fence_cancel(fence, ENTRY, 5));
	g_assert_true(gn_fence_cancel(fence, ENTRY, 100));
	talloc_free(fence);
}

static void test_forgotten_fences(void)
{
	gn_fence_t *fence = create_fence(2);

	for (uint64_t i = 1; i <= 2 * REQUESTS; i++)
		g_assert_true(gn_fence_cancel(fence, ENTRY, i));
	g_assert_cmpuint(gn_fence_size(fence), ==, REQUESTS);
	g_assert_cmpint(gn_fence_check(fence, ENTRY, 1), ==, GN_FENCE_FENCED);
	talloc_free(fence);
}

static void test_forgotten_entry(void)
{
	gn_fence_t *fence = create_fence(2);

	run_request(fence, ENTRY, 9);
	g_assert_cmpint(gn_fence_forget(fence, ENTRY), ==, GN_OK);
	g_assert_cmpint(gn_fence_forget(fence, ENTRY), ==, GN_ERR_NOT_FOUND);
	g_assert_cmpint(gn_fence_check(fence, ENTRY, 9), ==,
			GN_FENCE_FORGOTTEN);
	g_assert_false(gn_fence_cancel(fence, ENTRY, 9));
	g_assert_true(gn_fence_cancel(fence, ENTRY, 10));
	talloc_free(fence);
}

static void test_running_entry_stays(void)
{
	gn_fence_t *fence = create_fence(2);

	g_assert_cmpint(gn_fence_start(fence, ENTRY, 1), ==, GN_OK);
	g_assert_cmpint(gn_fence_forget(fence, ENTRY), ==, GN_ERR_CONFLICT);
	run_request(fence, ENTRY + 1, 1);
	g_assert_cmpint(gn_fence_start(fence, ENTRY + 2, 1), ==,
			GN_ERR_CAPACITY);
	g_assert_false(gn_fence_cancel(fence, ENTRY + 2, 1));
	talloc_free(fence);
}

static void test_lost_markers(void)
{
	gn_fence_t *fence = create_fence(2);

	for (uint64_t entry = 1; entry <= 3; entry++) {
		run_request(fence, entry, 5);
		g_assert_cmpint(gn_fence_forget(fence, entry), ==, GN_OK);
	}
	/*
	 * The first entry's marker was dropped, so any of its requests may have
	 * run.
	 */
	g_assert_false(gn_fence_is_complete(fence, 1));
	g_assert_false(gn_fence_cancel(fence, 1, 50));
	/* Dropping the entry once more doesn't restore the proof. */
	run_request(fence, 1, 60);
	g_assert_cmpint(gn_fence_forget(fence, 1), ==, GN_OK);
	g_assert_false(gn_fence_is_complete(fence, 1));
	g_assert_true(gn_fence_is_complete(fence, 3));
	g_assert_true(gn_fence_cancel(fence, 3, 50));
	talloc_free(fence);
}

static void test_bounds(void)
{
	const gn_fence_config_t invalid[] = {
		{ 15, 2, 2 }, { 16, 1, 2 }, { 16, 2, 1 }, { 1048577, 2, 2 }
	};

	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++)
		g_assert_null(gn_fence_create(NULL, &invalid[i]));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fence/start", test_before_and_after_start);
	g_test_add_func("/fence/watermarks", test_watermarks);
	g_test_add_func("/fence/forgotten-fences", test_forgotten_fences);
	g_test_add_func("/fence/forgotten-entry", test_forgotten_entry);
	g_test_add_func("/fence/running-entry", test_running_entry_stays);
	g_test_add_func("/fence/lost-markers", test_lost_markers);
	g_test_add_func("/fence/bounds", test_bounds);
	return g_test_run();
}
