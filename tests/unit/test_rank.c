#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "gypsumnotch.h"
#include "sched/rank.h"

#define NOW_US (1000 * GN_US_PER_S)

/* Creates a job whose deadline is @p objective_ms after its acceptance. */
static gn_rank_job_t make_job(unsigned priority, uint64_t accepted_ms,
			      uint64_t objective_ms, uint64_t chain_ms,
			      uint64_t work)
{
	gn_rank_job_t job = { .priority = priority,
			      .accepted_us = accepted_ms * GN_US_PER_MS,
			      .chain_us = chain_ms * GN_US_PER_MS,
			      .work = work };

	job.deadline_us = job.accepted_us + objective_ms * GN_US_PER_MS;
	return job;
}

static int compare_by_rank(const gn_rank_job_t *a, const gn_rank_job_t *b,
			   uint64_t now_us)
{
	const gn_rank_t first = gn_rank_compute(a, now_us);
	const gn_rank_t second = gn_rank_compute(b, now_us);

	return gn_rank_compare(&first, &second);
}

static void test_classes(void)
{
	const uint64_t now_ms = NOW_US / GN_US_PER_MS;
	gn_rank_job_t job = make_job(0, now_ms, 1000, 900, 1);

	g_assert_cmpint(gn_rank_classify(&job, NOW_US), ==, GN_RANK_IN_TIME);
	job = make_job(0, now_ms, 1000, 1100, 1);
	g_assert_cmpint(gn_rank_classify(&job, NOW_US), ==, GN_RANK_LATE);
	job = make_job(0, now_ms - 2500, 1000, 600, 1);
	g_assert_cmpint(gn_rank_classify(&job, NOW_US), ==, GN_RANK_USELESS);
}

static void test_order(void)
{
	const uint64_t now_ms = NOW_US / GN_US_PER_MS;
	const gn_rank_job_t quick_late =
		make_job(0, now_ms - 2000, 1000, 500, 9);
	const gn_rank_job_t small = make_job(2, now_ms, 9000, 500, 10);
	const gn_rank_job_t large = make_job(2, now_ms, 9000, 500, 100);
	const gn_rank_job_t urgent = make_job(2, now_ms - 8400, 9000, 500, 30);
	const gn_rank_job_t relaxed = make_job(2, now_ms, 9000, 500, 30);
	const gn_rank_job_t late = make_job(2, now_ms - 9000, 9000, 500, 1);

	/* Priority comes first, then whether the deadline can be met. */
	g_assert_cmpint(compare_by_rank(&quick_late, &small, NOW_US), <, 0);
	g_assert_cmpint(compare_by_rank(&large, &late, NOW_US), <, 0);
	/* Little work goes first, and so does a job with little slack. */
	g_assert_cmpint(compare_by_rank(&small, &large, NOW_US), <, 0);
	g_assert_cmpint(compare_by_rank(&urgent, &relaxed, NOW_US), <, 0);
	g_assert_cmpint(compare_by_rank(&small, &small, NOW_US), ==, 0);
}

/* ======   Overload   ====== */

#define JOBS 120
/** Work that the simulated server does per millisecond. */
#define WORK_PER_MS 1

typedef int (*compare_t)(const gn_rank_job_t *a, const gn_rank_job_t *b,
			 uint64_t now_us);

static int compare_by_arrival(const gn_rank_job_t *a, const gn_rank_job_t *b,
			      uint64_t now_us)
{
	(void)now_us;
	return a->accepted_us < b->accepted_us ? -1 : 1;
}

static int compare_by_deadline(const gn_rank_job_t *a, const gn_rank_job_t *b,
			       uint64_t now_us)
{
	(void)now_us;
	return a->deadline_us < b->deadline_us ? -1 : 1;
}

/*
 * Simulates one server with 1.5 times the work that it can do. Returns the
 * share of jobs that meet their deadline if @p compare determines the order.
 */
static double simulate(compare_t compare, guint32 seed)
{
	GRand *rand = g_rand_new_with_seed(seed);
	gn_rank_job_t jobs[JOBS];
	bool finished[JOBS] = { false };
	uint64_t now_us = NOW_US;
	unsigned in_time = 0;
	uint64_t arrival_ms = NOW_US / GN_US_PER_MS;

	for (unsigned i = 0; i < JOBS; i++) {
		uint64_t work = (uint64_t)g_rand_int_range(rand, 200, 3000);

		arrival_ms += (uint64_t)g_rand_int_range(rand, 0, 2133);
		jobs[i] = make_job(2, arrival_ms, 2 * work + 1000, work, work);
	}
	for (unsigned left = JOBS; left > 0; left--) {
		unsigned best = JOBS;

		while (best == JOBS) {
			for (unsigned i = 0; i < JOBS; i++) {
				if (finished[i] || jobs[i].accepted_us > now_us)
					continue;
				if (best == JOBS ||
				    compare(&jobs[i], &jobs[best], now_us) < 0)
					best = i;
			}
			if (best == JOBS)
				now_us += GN_US_PER_MS;
		}
		finished[best] = true;
		now_us += jobs[best].work / WORK_PER_MS * GN_US_PER_MS;
		in_time += now_us <= jobs[best].deadline_us;
	}
	g_rand_free(rand);
	return (double)in_time / JOBS;
}

static void test_overload_serves_more_callers_in_time(void)
{
	double by_rank = 0;
	double by_arrival = 0;
	double by_deadline = 0;

	for (guint32 seed = 1; seed <= 20; seed++) {
		by_rank += simulate(compare_by_rank, seed) / 20;
		by_arrival += simulate(compare_by_arrival, seed) / 20;
		by_deadline += simulate(compare_by_deadline, seed) / 20;
	}
	g_test_message(
		"in time: by rank %.2f, by arrival %.2f, by deadline %.2f",
		by_rank, by_arrival, by_deadline);
	g_assert_cmpfloat(by_rank, >, 2 * by_arrival);
	g_assert_cmpfloat(by_rank, >, 2 * by_deadline);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/rank/classes", test_classes);
	g_test_add_func("/rank/order", test_order);
	g_test_add_func("/rank/overload_serves_more_callers_in_time",
			test_overload_serves_more_callers_in_time);
	return g_test_run();
}
