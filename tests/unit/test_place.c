#include <glib.h>

#include "sched/place.h"

#define MS_TO_US(ms) ((uint64_t)(ms)*1000)

static gn_place_worker_t make_worker(uint32_t used_milli)
{
	gn_place_worker_t worker = { .capacity = { 8000, 1000, 0 },
				     .used = { used_milli, 0, 0 },
				     .slowness = 1,
				     .eligible = true,
				     .near = true,
				     .best_effort_speed = 1 };

	return worker;
}

static const gn_place_task_t plain_task = { .resources = { 2000, 10, 0 },
					    .far_factor = 2 };

static void test_least_loaded_with_room(void)
{
	gn_place_worker_t workers[] = { make_worker(5000), make_worker(1000),
					make_worker(7000) };

	g_assert_cmpuint(gn_place(&plain_task, workers, 3), ==, 1);
	workers[1].eligible = false;
	g_assert_cmpuint(gn_place(&plain_task, workers, 3), ==, 0);
	workers[0].used.memory_mb = 995;
	g_assert_cmpuint(gn_place(&plain_task, workers, 3), ==, GN_PLACE_NONE);
	g_assert_cmpuint(gn_place(&plain_task, workers, 0), ==, GN_PLACE_NONE);
}

static void test_slow_and_far_workers_come_last(void)
{
	gn_place_worker_t workers[] = { make_worker(0), make_worker(4000) };

	workers[0].slowness = 3;
	g_assert_cmpuint(gn_place(&plain_task, workers, 2), ==, 1);
	workers[0].slowness = 1;
	workers[0].near = false;
	g_assert_cmpuint(gn_place(&plain_task, workers, 2), ==, 1);
}

static void test_best_effort_goes_where_it_harms_least(void)
{
	const gn_place_task_t best_effort_task = { .resources = { 0, 10, 0 },
						   .best_effort = true,
						   .min_speed = 0.5 };
	gn_place_worker_t workers[] = { make_worker(0), make_worker(6000),
					make_worker(0) };

	workers[0].budget_use = 1.5;
	workers[2].best_effort_speed = 0.6;
	g_assert_cmpuint(gn_place(&best_effort_task, workers, 3), ==, 1);
	/* The task waits if it would be too slow everywhere. */
	for (int i = 0; i < 3; i++)
		workers[i].best_effort_speed = 0.3;
	g_assert_cmpuint(gn_place(&best_effort_task, workers, 3), ==,
			 GN_PLACE_NONE);
}

static void test_serving_is_packed_by_image(void)
{
	const gn_place_task_t serving_task = { .resources = { 2000, 10, 0 },
					       .serving = true };
	gn_place_worker_t workers[] = { make_worker(0), make_worker(4000),
					make_worker(5000) };

	workers[1].serving = 2;
	workers[2].serving = 2;
	workers[2].same_image = 2;
	g_assert_cmpuint(gn_place(&serving_task, workers, 3), ==, 2);
	workers[2].same_image = 0;
	workers[2].serving = 0;
	g_assert_cmpuint(gn_place(&serving_task, workers, 3), ==, 0);
}

static void test_failing_worker_backs_off(void)
{
	gn_health_t health = { 0 };
	uint64_t now_us = MS_TO_US(1000);

	for (int i = 0; i < 3; i++)
		gn_health_fail(&health, now_us);
	g_assert_true(gn_health_is_good(&health, now_us));
	gn_health_fail(&health, now_us);
	g_assert_false(gn_health_is_good(&health, now_us));
	now_us += MS_TO_US(1500);
	g_assert_true(gn_health_is_good(&health, now_us));
	/* One more failure starts the next backoff, which is longer. */
	gn_health_fail(&health, now_us);
	g_assert_false(gn_health_is_good(&health, now_us + MS_TO_US(2900)));
	g_assert_true(gn_health_is_good(&health, now_us + MS_TO_US(3000)));
	gn_health_succeed(&health, MS_TO_US(100), MS_TO_US(100));
	for (int i = 0; i < 3; i++)
		gn_health_fail(&health, now_us + MS_TO_US(4000));
	g_assert_true(gn_health_is_good(&health, now_us + MS_TO_US(4000)));
}

static void test_slowness_is_learned(void)
{
	gn_health_t health = { 0 };

	for (int i = 0; i < 30; i++)
		gn_health_succeed(&health, MS_TO_US(600), MS_TO_US(100));
	g_assert_cmpfloat(health.slowness, >, 4);
	for (int i = 0; i < 30; i++)
		gn_health_succeed(&health, MS_TO_US(100), MS_TO_US(100));
	g_assert_cmpfloat(health.slowness, <, 1.5);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/place/least_loaded_with_room",
			test_least_loaded_with_room);
	g_test_add_func("/place/slow_and_far_workers_come_last",
			test_slow_and_far_workers_come_last);
	g_test_add_func("/place/best_effort_goes_where_it_harms_least",
			test_best_effort_goes_where_it_harms_least);
	g_test_add_func("/place/serving_is_packed_by_image",
			test_serving_is_packed_by_image);
	g_test_add_func("/place/failing_worker_backs_off",
			test_failing_worker_backs_off);
	g_test_add_func("/place/slowness_is_learned", test_slowness_is_learned);
	return g_test_run();
}
