/**
 * @file test_move.c
 * @brief Whether a slow task gains by a move. Guards against moves of tasks
 *        that are nearly done, which cost more than they gain.
 */
#include <glib.h>

#include "move/move.h"

typedef struct move_case_s {
	const char *name;
	gn_move_task_t task;
	bool pays;
} move_case_t;

static const move_case_t cases[] = {
	{ "new-and-half-as-fast", { 2300, 0, 0.5, 1, 600 }, true },
	{ "half-done", { 2300, 1150, 0.5, 1, 600 }, false },
	{ "half-done-quick-restore", { 2300, 1150, 0.5, 1, 100 }, true },
	{ "nearly-done", { 2300, 2200, 0.5, 1, 600 }, false },
	{ "nearly-done-and-crawling", { 2300, 2200, 0.1, 1, 600 }, true },
	{ "stands-still", { 2300, 2200, 0, 0.95, 600 }, true },
	{ "past-its-estimate", { 2300, 4000, 0.1, 1, 600 }, true },
	{ "hardly-faster-elsewhere", { 2300, 0, 0.8, 1, 0 }, false },
	{ "slower-elsewhere", { 2300, 0, 0.5, 0.4, 0 }, false },
	{ "nowhere-else", { 2300, 0, 0, 0, 0 }, false },
};

static void test_case(gconstpointer data)
{
	const move_case_t *c = data;

	g_assert_true(gn_move_pays(&c->task) == c->pays);
}

/* Returns the time until a task ends that may move once, now. */
static double get_end_ms(const gn_move_task_t *task, double left_ms, bool moves)
{
	/* The same cost of a stop and a start as in move.c. */
	if (moves)
		return 150 + task->restore_ms + left_ms / task->other_speed;
	return left_ms / task->speed;
}

/*
 * Guards against a loss of time beside the rule that a gain of 0.4 in speed
 * pays at any time. Run times are 0.5 to 2 times their estimate.
 */
static void test_tasks_end_later_than_by_a_gain_of_speed(void)
{
	GRand *rand = g_rand_new_with_seed(1);
	double by_speed_ms = 0;
	double by_time_ms = 0;

	for (unsigned i = 0; i < 10000; i++) {
		const double run_ms = 2300 * g_rand_double_range(rand, 0.5, 2);
		const double done_ms = run_ms * g_rand_double(rand);
		const gn_move_task_t task = {
			.estimate_ms = 2300,
			.done_ms = done_ms,
			.speed = g_rand_double_range(rand, 0.1, 0.5),
			.other_speed = g_rand_double_range(rand, 0.5, 1),
			.restore_ms = 600,
		};

		by_speed_ms += get_end_ms(&task, run_ms - done_ms,
					  task.other_speed >= task.speed + 0.4);
		by_time_ms += get_end_ms(&task, run_ms - done_ms,
					 gn_move_pays(&task));
	}
	g_test_message("mean time left: %.0f ms by speed, %.0f ms by time",
		       by_speed_ms / 10000, by_time_ms / 10000);
	g_assert_cmpfloat(by_time_ms, <, by_speed_ms);
	g_rand_free(rand);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = g_strdup_printf("/move/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], test_case);
		g_free(path);
	}
	g_test_add_func("/move/tasks_end_later_than_by_a_gain_of_speed",
			test_tasks_end_later_than_by_a_gain_of_speed);
	return g_test_run();
}
