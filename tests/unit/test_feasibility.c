/*
 * Plays more best-effort work than a fleet can do in time on the decisions that
 * order jobs, and checks what callers get. The fleet is one pool of cores; a
 * job uses at most the cores of its tasks.
 */
#include <glib.h>
#include <stdbool.h>

#include "gypsumnotch.h"
#include "sched/rank.h"
#include "sched/feasibility.h"

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
	gn_feasibility_t feasibility;
	bool fits; /* Whether gn_feasibility_check() is asked. */
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

static void move_infeasible_back(const pool_t *pool, GPtrArray *ranked)
{
	double ahead = 0;

	for (guint i = 0; i < ranked->len; i++) {
		job_t *job = g_ptr_array_index(ranked, i);

		if (job->rank.class != GN_RANK_IN_TIME)
			continue;
		if (gn_feasibility_check(&pool->feasibility, ahead, job->work,
					 job->deadline_us, pool->now_us))
			ahead += job->work;
		else
			job->rank.class = GN_RANK_INFEASIBLE;
	}
	g_ptr_array_sort(ranked, compare_jobs);
}

static void promote_late_job(pool_t *pool, GPtrArray *ranked)
{
	job_t *oldest = NULL;

	for (guint i = 0; i < ranked->len; i++) {
		job_t *job = g_ptr_array_index(ranked, i);

		if (job->rank.class != GN_RANK_IN_TIME &&
		    (!oldest || job->accepted_us < oldest->accepted_us))
			oldest = job;
	}
	if (!oldest ||
	    !gn_feasibility_allows_late(&pool->feasibility, oldest->accepted_us,
					pool->now_us))
		return;
	pool->feasibility.late_promoted_us = pool->now_us;
	/* Its tasks run to their end once they are placed. */
	gn_feasibility_count_done(&pool->feasibility, oldest->work);
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
		move_infeasible_back(pool, ranked);
		promote_late_job(pool, ranked);
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
		gn_feasibility_count_done(&pool->feasibility, work);
		if (job->work <= 0 && !job->ended_us)
			job->ended_us = pool->now_us + STEP_MS * GN_US_PER_MS;
	}
	gn_feasibility_update(&pool->feasibility, ranked->len && left <= 0,
			      POOL_MILLI, pool->now_us);
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
		       fits ? "feasibility" : "rank alone", result.in_time,
		       result.jobs, result.longest_s);
	return result;
}

static void test_overload_makes_few_jobs_late(void)
{
	const result_t alone = play_seeds(1.3, false);
	const result_t ranked = play_seeds(1.3, true);

	g_assert_cmpuint(ranked.in_time, >, alone.in_time);
	/* At 1.3 times the capacity, 1 / 1.3 of the work can be in time, and
	 * more jobs than that if the large ones are late. */
	g_assert_cmpuint(4 * ranked.in_time, >=, 3 * ranked.jobs);
	/* Late jobs do not wait until the load is over. */
	g_assert_cmpfloat(2 * ranked.longest_s, <, alone.longest_s);
}

static void test_nothing_changes_without_overload(void)
{
	const result_t alone = play_seeds(0.6, false);
	const result_t ranked = play_seeds(0.6, true);

	g_assert_cmpuint(100 * ranked.in_time, >=, 99 * alone.in_time);
}

/* While late jobs of this age wait, one of them goes ahead in each interval. */
static void test_late_jobs_are_promoted(void)
{
	const uint64_t now_us = 100 * GN_US_PER_S;
	const uint64_t late_age_us = GN_FEASIBILITY_LATE_AGE_MS * GN_US_PER_MS;
	const uint64_t interval_us =
		GN_FEASIBILITY_LATE_INTERVAL_MS * GN_US_PER_MS;
	gn_feasibility_t state = { 0 };

	g_assert_true(gn_feasibility_allows_late(&state, now_us - late_age_us,
						 now_us));
	g_assert_false(gn_feasibility_allows_late(
		&state, now_us - late_age_us + 1, now_us));
	state.late_promoted_us = now_us;
	g_assert_false(gn_feasibility_allows_late(&state, 0,
						  now_us + interval_us - 1));
	g_assert_true(
		gn_feasibility_allows_late(&state, 0, now_us + interval_us));
}

/* Guards against a job that is said to go ahead later than it may. */
static void test_late_start_is_when_a_late_job_is_promoted(void)
{
	const uint64_t now_us = 100 * GN_US_PER_S;
	gn_feasibility_t state = { .late_promoted_us = now_us };
	uint64_t late_us = gn_feasibility_get_late_start_us(&state, 0, now_us);

	g_assert_true(gn_feasibility_allows_late(&state, now_us, late_us));
	g_assert_false(gn_feasibility_allows_late(&state, now_us, late_us - 1));
	g_assert_cmpuint(
		gn_feasibility_get_late_start_us(&state, 9, now_us), ==,
		now_us + 10 * GN_FEASIBILITY_LATE_INTERVAL_MS * GN_US_PER_MS);
}

/* Guards against a rate that is taken as exact while readings differ, or as
 * known after an election. */
static void test_error_of_the_rate(void)
{
	gn_feasibility_t state = { 0 };
	uint64_t now_us = GN_US_PER_S;

	gn_feasibility_update(&state, true, 1000, now_us);
	g_assert_false(gn_feasibility_is_known(&state, now_us));
	for (unsigned i = 0; i < 300; i++) {
		now_us += GN_US_PER_S / 5;
		gn_feasibility_count_done(&state, 1000 * 200);
		gn_feasibility_update(&state, true, 1000, now_us);
		g_assert_cmpfloat(gn_feasibility_get_error(&state), <, 1e-6);
	}
	g_assert_true(gn_feasibility_is_known(&state, now_us));
	/* Readings of 0 and 2,000: the standard deviation is 1,000, and that of
	 * the smoothed rate 18 % of it. */
	for (unsigned i = 0; i < 300; i++) {
		now_us += GN_US_PER_S / 5;
		gn_feasibility_count_done(&state, i % 2 ? 0 : 2000 * 200);
		gn_feasibility_update(&state, true, 1000, now_us);
	}
	g_assert_cmpfloat(gn_feasibility_get_error(&state), >, 150);
	g_assert_cmpfloat(gn_feasibility_get_error(&state), <, 210);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/feasibility/overload-makes-few-jobs-late",
			test_overload_makes_few_jobs_late);
	g_test_add_func("/feasibility/nothing-changes-without-overload",
			test_nothing_changes_without_overload);
	g_test_add_func("/feasibility/late-jobs-are-promoted",
			test_late_jobs_are_promoted);
	g_test_add_func(
		"/feasibility/late-start-is-when-a-late-job-is-promoted",
		test_late_start_is_when_a_late_job_is_promoted);
	g_test_add_func("/feasibility/error-of-the-rate",
			test_error_of_the_rate);
	return g_test_run();
}
