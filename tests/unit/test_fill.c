#include <glib.h>

#include "support/colocation_model.h"

#define SEEDS 12
/** A serving task must be over its target for less than this at a time. */
#define OVER_TARGET_MAX_S 4.0
/** Targets apply to the 95th percentile, so tasks may exceed them for 5 % of
 * the time. */
#define OVER_TARGET_SHARE_MAX 0.05
/** Jobs per second: one rate leaves capacity, the other takes nearly all. */
#define LIGHT_JOBS 0.5
#define HEAVY_JOBS 1.5

/* Sums counts over all seeds, averages shares, and takes the longest time. */
static colocation_result_t run_model(double jobs_per_s, bool ignore_paces)
{
	colocation_result_t all = { 0 };

	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		const colocation_config_t config = { .seed = seed,
						     .jobs_per_s = jobs_per_s,
						     .ignore_paces =
							     ignore_paces };
		colocation_result_t one = colocation_run(&config);

		all.jobs += one.jobs;
		all.in_time += one.in_time;
		all.stops += one.stops;
		all.over_target += one.over_target / SEEDS;
		all.longest_over_target_s = MAX(all.longest_over_target_s,
						one.longest_over_target_s);
	}
	g_test_message("%.1f jobs per second%s: %u of %u in time, over the "
		       "target %.3f of the time, at most %.2f s, %u stops",
		       jobs_per_s, ignore_paces ? ", paces ignored" : "",
		       all.in_time, all.jobs, all.over_target,
		       all.longest_over_target_s, all.stops);
	return all;
}

static void check_serving(const colocation_result_t *result)
{
	g_assert_cmpfloat(result->longest_over_target_s, <, OVER_TARGET_MAX_S);
	g_assert_cmpfloat(result->over_target, <=, OVER_TARGET_SHARE_MAX);
}

static void test_serving_tasks_meet_their_target(void)
{
	const colocation_result_t heavy = run_model(HEAVY_JOBS, false);
	const colocation_result_t unthrottled = run_model(HEAVY_JOBS, true);

	check_serving(&heavy);
	/* Without throttling, this load would harm the serving tasks. */
	g_assert_cmpfloat(unthrottled.over_target, >, 2 * heavy.over_target);
}

static void test_batch_jobs_are_in_time_while_there_is_room(void)
{
	const colocation_result_t light = run_model(LIGHT_JOBS, false);

	check_serving(&light);
	g_assert_cmpuint(5 * light.in_time, >=, 4 * light.jobs);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fill/serving_tasks_meet_their_target",
			test_serving_tasks_meet_their_target);
	g_test_add_func("/fill/batch_jobs_are_in_time_while_there_is_room",
			test_batch_jobs_are_in_time_while_there_is_room);
	return g_test_run();
}
