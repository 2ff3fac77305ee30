/*
 * Plays more best-effort work than a fleet can do in time on the decisions that
 * order jobs, and checks what callers get. The fleet is one pool of cores; a
 * job uses at most the cores of its tasks.
 */
#include <glib.h>
#include <stdbool.h>

#include "gypsumnotch.h"
#include "sched/rank.h"
#include "sched/room.h"

#define POOL_MILLI 200000
#define TASK_MILLI 3500
#define TASK_MS 1700
#define OBJECTIVE_MS (2 * TASK_MS + 1000)
/** Width of the jobs, in tasks. */
#define TASKS_MIN 4
#define TASKS_MAX 60
#define STEP_MS 100
#define LOAD_MS 60000
#define SEEDS 8

typedef struct job_s {
	uint64_t accepted_us;
	uint64_t deadline_us;
	double milli_max; /* Cores that its tasks can use at once. */
	double work; /* Left, thousandths of a core times ms. */
	uint64_t ended_us;
	gn_rank_t rank;
} job_t;

typedef struct pool_s {
	GRand *rand;
	GPtrArray *jobs; /* Of job_t, owned. */
	gn_room_t room;
	bool fits; /* Whether gn_room_fits() is asked. */
	uint64_t now_us;
} pool_t;

typedef struct result_s {
	unsigned jobs;
	unsigned in_time;
	double longest_s; /* Longest time from acceptance to end. */
} result_t;

static gint compare_jobs(gconstpointer a, gconstpointer b)
{
	return gn_rank_compare(&(*(job_t *const *)a)->rank,
			       &(*(job_t *const *)b)->rank);
}

static void submit(pool_t *pool)
{
	job_t *job = g_new0(job_t, 1);
	gint tasks = g_rand_int_range(pool->rand, TASKS_MIN, TASKS_MAX + 1);

	job->accepted_us = pool->now_us;
	job->deadline_us = pool->now_us + OBJECTIVE_MS * GN_US_PER_MS;
	job->milli_max = (double)tasks * TASK_MILLI;
	job->work = job->milli_max * TASK_MS;
	g_ptr_array_add(pool->jobs, job);
}

static void rank_job(const pool_t *pool, job_t *job)
{
	const gn_rank_job_t input = {
		.accepted_us = job->accepted_us,
		.deadline_us = job->deadline_us,
		.chain_us =
			(uint64_t)(job->work / job->milli_max * GN_US_PER_MS),
		.work = (uint64_t)job->work,
	};

	job->rank = gn_rank_compute(&input, pool->now_us);
}

static void fit_jobs(const pool_t *pool, GPtrArray *ranked)
{
	double ahead = 0;

	for (guint i = 0; i < ranked->len; i++) {
		job_t *job = g_ptr_array_index(ranked, i);

		if (job->rank.class != GN_RANK_IN_TIME)
			continue;
		if (gn_room_fits(&pool->room, ahead, job->work,
				 job->deadline_us, pool->now_us))
			ahead += job->work;
		else
			job->rank.class = GN_RANK_NO_ROOM;
	}
	g_ptr_array_sort(ranked, compare_jobs);
}

static void give_turn(pool_t *pool, GPtrArray *ranked)
{
	job_t *oldest = NULL;

	for (guint i = 0; i < ranked->len; i++) {
		job_t *job = g_ptr_array_index(ranked, i);

		if (job->rank.class != GN_RANK_IN_TIME &&
		    (!oldest || job->accepted_us < oldest->accepted_us))
			oldest = job;
	}
	if (!oldest ||
	    !gn_room_has_turn(&pool->room, oldest->accepted_us, pool->now_us))
		return;
	pool->room.turn_us = pool->now_us;
	/* Its tasks run to their end once they are placed. */
	gn_room_count_done(&pool->room, oldest->work);
	oldest->work = 0;
	oldest->ended_us = pool->now_us + TASK_MS * GN_US_PER_MS;
}

static GPtrArray *rank_jobs(pool_t *pool)
{
	GPtrArray *ranked = g_ptr_array_new();

	for (guint i = 0; i < pool->jobs->len; i++) {
		job_t *job = g_ptr_array_index(pool->jobs, i);

		if (job->ended_us)
			continue;
		rank_job(pool, job);
		g_ptr_array_add(ranked, job);
	}
	g_ptr_array_sort(ranked, compare_jobs);
	if (pool->fits) {
		fit_jobs(pool, ranked);
		give_turn(pool, ranked);
	}
	return ranked;
}

static void run_step(pool_t *pool)
{
	GPtrArray *ranked = rank_jobs(pool);
	double left = POOL_MILLI;

	for (guint i = 0; i < ranked->len && left > 0; i++) {
		job_t *job = g_ptr_array_index(ranked, i);
		double milli = MIN(left, job->milli_max);
		double work = MIN(job->work, milli * STEP_MS);

		left -= milli;
		job->work -= work;
		gn_room_count_done(&pool->room, work);
		if (job->work <= 0 && !job->ended_us)
			job->ended_us = pool->now_us + STEP_MS * GN_US_PER_MS;
	}
	gn_room_update(&pool->room, ranked->len && left <= 0, POOL_MILLI,
		       pool->now_us);
	g_ptr_array_unref(ranked);
}

static void count_jobs(const pool_t *pool, result_t *result)
{
	for (guint i = 0; i < pool->jobs->len; i++) {
		const job_t *job = g_ptr_array_index(pool->jobs, i);
		double took_s = (double)(job->ended_us - job->accepted_us) /
				GN_US_PER_S;

		g_assert_cmpuint(job->ended_us, >, 0);
		result->jobs++;
		result->in_time += job->ended_us <= job->deadline_us;
		result->longest_s = MAX(result->longest_s, took_s);
	}
}

/* Plays a minute at @p load times the capacity, then lets all jobs end. */
static void play(double load, guint32 seed, bool fits, result_t *result)
{
	const double mean_work =
		(TASKS_MIN + TASKS_MAX) / 2.0 * TASK_MILLI * TASK_MS;
	const double jobs_per_step = load * POOL_MILLI * STEP_MS / mean_work;
	pool_t pool = { .rand = g_rand_new_with_seed(seed),
			.jobs = g_ptr_array_new_with_free_func(g_free),
			.fits = fits,
			.now_us = GN_US_PER_S };

	for (unsigned ms = 0; ms < 3 * LOAD_MS; ms += STEP_MS) {
		if (ms < LOAD_MS && g_rand_double(pool.rand) < jobs_per_step)
			submit(&pool);
		run_step(&pool);
		pool.now_us += STEP_MS * GN_US_PER_MS;
	}
	count_jobs(&pool, result);
	g_ptr_array_unref(pool.jobs);
	g_rand_free(pool.rand);
}

static result_t play_seeds(double load, bool fits)
{
	result_t result = { 0 };

	for (guint32 seed = 1; seed <= SEEDS; seed++)
		play(load, seed, fits, &result);
	g_test_message("load %.1f, %s: %u of %u in time, at most %.1f s", load,
		       fits ? "room" : "rank alone", result.in_time,
		       result.jobs, result.longest_s);
	return result;
}

static void test_overload_makes_few_jobs_late(void)
{
	const result_t alone = play_seeds(1.3, false);
	const result_t room = play_seeds(1.3, true);

	g_assert_cmpuint(room.in_time, >, alone.in_time);
	/* At 1.3 times the capacity, 1 / 1.3 of the work can be in time, and
	 * more jobs than that if the large ones are late. */
	g_assert_cmpuint(4 * room.in_time, >=, 3 * room.jobs);
	/* Late jobs do not wait until the load is over. */
	g_assert_cmpfloat(2 * room.longest_s, <, alone.longest_s);
}

static void test_nothing_changes_while_there_is_room(void)
{
	const result_t alone = play_seeds(0.6, false);
	const result_t room = play_seeds(0.6, true);

	g_assert_cmpuint(100 * room.in_time, >=, 99 * alone.in_time);
}

/* While late jobs of this age wait, one of them goes ahead in each interval. */
static void test_late_jobs_have_their_turn(void)
{
	const uint64_t now_us = 100 * GN_US_PER_S;
	const uint64_t patience_us = GN_ROOM_PATIENCE_MS * GN_US_PER_MS;
	const uint64_t interval_us = GN_ROOM_TURN_MS * GN_US_PER_MS;
	gn_room_t room = { 0 };

	g_assert_true(gn_room_has_turn(&room, now_us - patience_us, now_us));
	g_assert_false(
		gn_room_has_turn(&room, now_us - patience_us + 1, now_us));
	room.turn_us = now_us;
	g_assert_false(gn_room_has_turn(&room, 0, now_us + interval_us - 1));
	g_assert_true(gn_room_has_turn(&room, 0, now_us + interval_us));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/room/overload-makes-few-jobs-late",
			test_overload_makes_few_jobs_late);
	g_test_add_func("/room/nothing-changes-while-there-is-room",
			test_nothing_changes_while_there_is_room);
	g_test_add_func("/room/late-jobs-have-their-turn",
			test_late_jobs_have_their_turn);
	return g_test_run();
}
