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
#define LATE_GOAL 1.5
/** Differences between such runs that mean nothing. */
#define OVER_TARGET_NOISE 0.002

/** A load of the model. */
typedef struct profile_s {
	const char *name;
	double jobs_per_s;
	double swing;
	double burst;
	bool mixed_sizes;
} profile_t;

static const profile_t profiles[] = {
	{ .name = "light", .jobs_per_s = 0.4 },
	{ .name = "overload", .jobs_per_s = 1.8 },
	{ .name = "swing", .jobs_per_s = 0.9, .swing = 0.55 },
	{ .name = "burst", .jobs_per_s = 0.7, .burst = 2.6 },
	{ .name = "sizes", .jobs_per_s = 0.9, .mixed_sizes = true },
};

static colocation_result_t run_profile(const profile_t *profile,
				       double headroom_goal,
				       double late_headroom_goal)
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
			.late_headroom_goal = late_headroom_goal,
			.duration_ms = DURATION_MS,
		};
		const colocation_result_t one = colocation_run(&config);

		all.settled += one.settled;
		all.settled_in_time += one.settled_in_time;
		all.settled_late += one.settled_late;
		all.settled_never += one.settled_never;
		all.over_target += one.over_target / SEEDS;
		all.longest_over_target_s = MAX(all.longest_over_target_s,
						one.longest_over_target_s);
	}
	g_test_message(
		"%s, goal %.1f, late %.1f: %.3f of the serving time within target, "
		"at most %.2f s over it; of %u jobs %u in time, %u "
		"late, %u never",
		profile->name, headroom_goal, late_headroom_goal,
		1 - all.over_target, all.longest_over_target_s, all.settled,
		all.settled_in_time, all.settled_late, all.settled_never);
	return all;
}

/* A goal that changed nothing for either kind of callers would make all
 * comparisons with fixed goals meaningless. */
static void test_goal_trades_one_kind_of_callers_for_the_other(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(profiles); i++) {
		const colocation_result_t low =
			run_profile(&profiles[i], 0.9, 0);
		const colocation_result_t high =
			run_profile(&profiles[i], 1.4, 0);

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
			run_profile(&profiles[i], 1.1, 0);
		const colocation_result_t after =
			run_profile(&profiles[i], 1.1, LATE_GOAL);

		g_assert_cmpfloat(after.over_target, <,
				  same.over_target + OVER_TARGET_NOISE);
		g_assert_cmpuint(after.settled_in_time + after.settled / 50, >=,
				 same.settled_in_time);
		if (!strcmp(profiles[i].name, "overload"))
			check_overload(&same, &after);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/headroom/goal_trades_one_kind_of_callers",
			test_goal_trades_one_kind_of_callers_for_the_other);
	g_test_add_func("/headroom/late_jobs_leave_headroom_to_others",
			test_late_jobs_leave_headroom_to_others);
	return g_test_run();
}
