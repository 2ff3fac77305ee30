/*
 * What the callers of serving tasks and of batch jobs get at fixed headroom
 * goals under different loads. Guards against a rule for the headroom that
 * serves one kind of callers at the expense of the other.
 */
#include <glib.h>
#include <string.h>

#include "support/colocation_model.h"

#define SEEDS 6
#define DURATION_MS 60000
/** Differences between such runs that mean nothing. */
#define OVER_TARGET_NOISE 0.002
/** Changes of the goal in 17 s, the period of a swing of demand: down and up
 * again by two steps. */
#define TRAVEL_MAX 0.4

/** A load of the model. */
typedef struct profile_s {
	const char *name;
	double jobs_per_s;
	double swing;
	double burst;
	bool mixed_sizes;
} profile_t;

static const profile_t profiles[] = {
	{ .name = "quiet", .jobs_per_s = 0.15 },
	{ .name = "light", .jobs_per_s = 0.4 },
	{ .name = "overload", .jobs_per_s = 1.8 },
	{ .name = "swing", .jobs_per_s = 0.9, .swing = 0.55 },
	{ .name = "burst", .jobs_per_s = 0.7, .burst = 2.6 },
	{ .name = "sizes", .jobs_per_s = 0.9, .mixed_sizes = true },
};

static colocation_result_t run_profile(const profile_t *profile,
				       double headroom_goal, bool ignore_late)
{
	colocation_result_t all = { 0 };

	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		const colocation_config_t config = {
			.seed = seed,
			.jobs_per_s = profile->jobs_per_s,
			.swing = profile->swing,
			.burst = profile->burst,
			.mixed_sizes = profile->mixed_sizes,
			.headroom_goal = headroom_goal,
			.follow_demand = headroom_goal <= 0,
			.limit_late = !ignore_late,
			.duration_ms = DURATION_MS,
		};
		const colocation_result_t one = colocation_run(&config);

		all.settled += one.settled;
		all.settled_in_time += one.settled_in_time;
		all.settled_late += one.settled_late;
		all.settled_never += one.settled_never;
		all.mean_headroom_goal += one.mean_headroom_goal / SEEDS;
		all.headroom_travel += one.headroom_travel / SEEDS;
		all.over_target += one.over_target / SEEDS;
		all.longest_over_target_s = MAX(all.longest_over_target_s,
						one.longest_over_target_s);
	}
	g_test_message("%s, goal %.1f%s: %.3f of the serving time within "
		       "target, at most %.2f s over it; of %u jobs %u in time, "
		       "%u late, %u never; mean goal %.2f, moved by %.2f",
		       profile->name, headroom_goal,
		       ignore_late ? ", late like others" : "",
		       1 - all.over_target, all.longest_over_target_s,
		       all.settled, all.settled_in_time, all.settled_late,
		       all.settled_never, all.mean_headroom_goal,
		       all.headroom_travel);
	return all;
}

/* A goal that changed nothing for either kind of callers would make all
 * comparisons with fixed goals meaningless. */
static void test_goal_trades_one_kind_of_callers_for_the_other(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(profiles); i++) {
		const colocation_result_t low =
			run_profile(&profiles[i], 0.9, true);
		const colocation_result_t high =
			run_profile(&profiles[i], 1.4, true);

		g_assert_cmpfloat(high.over_target, <, low.over_target);
		g_assert_cmpuint(high.settled_in_time, <=,
				 low.settled_in_time + low.settled / 20);
	}
}

/* Late work is what an overload consists of, so that both kinds of callers must
 * gain if it yields. */
static void check_overload(const colocation_result_t *same,
			   const colocation_result_t *after)
{
	g_assert_cmpfloat(after->over_target, <, same->over_target);
	g_assert_cmpuint(after->settled_in_time, >, same->settled_in_time);
}

/* Work that can only be late must not take headroom from serving tasks, or
 * capacity from jobs that can be in time. */
static void test_late_jobs_leave_headroom_to_others(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(profiles); i++) {
		const colocation_result_t same =
			run_profile(&profiles[i], 1.1, true);
		const colocation_result_t after =
			run_profile(&profiles[i], 1.1, false);

		g_assert_cmpfloat(after.over_target, <,
				  same.over_target + OVER_TARGET_NOISE);
		g_assert_cmpuint(after.settled_in_time + after.settled / 50, >=,
				 same.settled_in_time);
		if (!strcmp(profiles[i].name, "overload"))
			check_overload(&same, &after);
	}
}

/*
 * Returns by how much @p one serves both kinds of callers better than @p other.
 * A share of the serving time and the same share of the batch jobs count the
 * same: each is what its callers need, the target or the deadline.
 */
static double get_gain(const colocation_result_t *one,
		       const colocation_result_t *other)
{
	return other->over_target - one->over_target +
	       ((double)one->settled_in_time - other->settled_in_time) /
		       one->settled;
}

/* A goal that follows the demand must serve callers better on the whole than
 * the one that a new leader begins with and than a high one. It must not lose
 * what serving tasks are promised as a low one does, nor make more jobs late,
 * nor swing with the demand. */
static void test_following_goal_is_worse_than_a_fixed_one(void)
{
	static const double goals[] = { 0.9, 1.1, 1.4 };
	double gains[G_N_ELEMENTS(goals)] = { 0 };

	for (size_t i = 0; i < G_N_ELEMENTS(profiles); i++) {
		const colocation_result_t following =
			run_profile(&profiles[i], 0, false);

		g_assert_cmpfloat(following.headroom_travel, <=,
				  TRAVEL_MAX * DURATION_MS / 17000);
		for (size_t k = 0; k < G_N_ELEMENTS(goals); k++) {
			const colocation_result_t fixed =
				run_profile(&profiles[i], goals[k], false);

			gains[k] += get_gain(&following, &fixed);
			if (k == 0)
				g_assert_cmpfloat(following.over_target, <,
						  fixed.over_target);
			else
				g_assert_cmpuint(following.settled_in_time +
							 following.settled / 50,
						 >=, fixed.settled_in_time);
		}
	}
	for (size_t k = 0; k < G_N_ELEMENTS(goals); k++)
		g_test_message("gain over goal %.1f: %.3f in %zu profiles",
			       goals[k], gains[k], G_N_ELEMENTS(profiles));
	g_assert_cmpfloat(gains[1], >, 0);
	g_assert_cmpfloat(gains[2], >, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/headroom/goal_trades_one_kind_of_callers",
			test_goal_trades_one_kind_of_callers_for_the_other);
	g_test_add_func("/headroom/late_jobs_leave_headroom_to_others",
			test_late_jobs_leave_headroom_to_others);
	g_test_add_func("/headroom/following_goal_is_worse_than_a_fixed_one",
			test_following_goal_is_worse_than_a_fixed_one);
	return g_test_run();
}
