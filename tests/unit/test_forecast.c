/*
 * Checks which jobs are refused, and plays overloads on the decisions that
 * accept and order jobs, with and without the forecast, to compare what callers
 * get. The fleet is one pool of cores; a job uses at most the cores of its
 * tasks.
 */
#include <glib.h>
#include <stdbool.h>

#include "forecast/forecast.h"
#include "gypsumnotch.h"
#include "sched/feasibility.h"
#include "sched/rank.h"

/* ======   Decisions   ====== */

#define START_US (100 * GN_US_PER_S)
#define OBJECTIVE_US (4 * GN_US_PER_S)

/* A job of 10 core-seconds behind 2,000 on 100 cores: it ends in 20.1 s, and is
 * of use for 12 s. */
static gn_forecast_input_t make_input(const char *job)
{
	const gn_forecast_input_t input = {
		.job = job,
		.queue = "batch",
		.now_us = START_US,
		.chain_us = GN_US_PER_S,
		.work = 10e6,
		.objective_us = OBJECTIVE_US,
		.ahead = 2000e6,
		.rate_milli = 100e3,
		.late_start_us = UINT64_MAX,
	};

	return input;
}

/* Creates a state whose queue "batch" has just had a job accepted. */
static gn_forecast_t *create_forecast(void)
{
	gn_forecast_t *forecast = gn_forecast_create(NULL);
	const gn_forecast_input_t input = make_input("first");

	g_assert_cmpint(gn_forecast_decide(forecast, &input).reason, ==,
			GN_FORECAST_QUEUE_SHARE);
	return forecast;
}

typedef struct case_s {
	const char *name;
	double ahead;
	double rate_milli;
	double spread_milli;
	uint64_t late_start_us;
	bool has_free_capacity;
	gn_forecast_reason_t reason;
} case_t;

static const case_t cases[] = {
	{ "no-use", 2000e6, 100e3, 0, UINT64_MAX, false, GN_FORECAST_NO_USE },
	{ "late-but-of-use", 1100e6, 100e3, 0, UINT64_MAX, false,
	  GN_FORECAST_USEFUL },
	{ "rate-may-be-higher", 2000e6, 100e3, 50e3, UINT64_MAX, false,
	  GN_FORECAST_USEFUL },
	{ "goes-ahead-although-late", 2000e6, 100e3, 0,
	  START_US + 11 * GN_US_PER_S, false, GN_FORECAST_USEFUL },
	{ "goes-ahead-too-late", 2000e6, 100e3, 0, START_US + 12 * GN_US_PER_S,
	  false, GN_FORECAST_NO_USE },
	{ "free-capacity", 2000e6, 100e3, 0, UINT64_MAX, true,
	  GN_FORECAST_FREE_CAPACITY },
	{ "unknown-rate", 2000e6, 0, 0, UINT64_MAX, false,
	  GN_FORECAST_NO_RATE },
};

/* Guards against refusals of jobs that could end while of use. */
static void test_case(gconstpointer data)
{
	const case_t *c = data;
	gn_forecast_t *forecast = create_forecast();
	gn_forecast_input_t input = make_input("a");
	gn_forecast_decision_t decision;

	input.ahead = c->ahead;
	input.rate_milli = c->rate_milli;
	input.spread_milli = c->spread_milli;
	input.late_start_us = c->late_start_us;
	input.has_free_capacity = c->has_free_capacity;
	decision = gn_forecast_decide(forecast, &input);
	g_assert_cmpint(decision.reason, ==, c->reason);
	g_assert_cmpint(decision.retry_ms > 0, ==,
			c->reason == GN_FORECAST_NO_USE);
	talloc_free(forecast);
}

/* Guards against callers who all return in the same second. */
static void test_returns_are_spread_in_order(void)
{
	gn_forecast_t *forecast = create_forecast();
	unsigned last_ms = 0;

	for (unsigned i = 0; i < 10; i++) {
		g_autofree char *job = g_strdup_printf("%u", i);
		gn_forecast_input_t input = make_input(job);
		gn_forecast_decision_t decision;

		input.work = 100e6;
		decision = gn_forecast_decide(forecast, &input);
		g_assert_cmpuint(decision.retry_ms, >, last_ms);
		g_assert_cmpuint(decision.retry_ms % 1000, ==, 0);
		last_ms = decision.retry_ms;
	}
	/* In time on its return: 2,000 + 100 core-seconds ahead, less 4 s. */
	g_assert_cmpuint(last_ms, ==, 26000);
	talloc_free(forecast);
}

/* Guards against newcomers who take the capacity that a refused caller was told
 * to come back for. */
static void test_returning_caller_goes_first(void)
{
	gn_forecast_t *forecast = create_forecast();
	gn_forecast_input_t input = make_input("a");
	unsigned retry_ms;

	input.work = 900e6;
	retry_ms = gn_forecast_decide(forecast, &input).retry_ms;
	g_assert_cmpuint(retry_ms, >, 0);
	/* Another job of the queue is accepted, so that its share is used. */
	input = make_input("b");
	input.now_us += retry_ms * GN_US_PER_MS - 1;
	input.ahead = 0;
	g_assert_cmpint(gn_forecast_decide(forecast, &input).reason, ==,
			GN_FORECAST_USEFUL);
	input = make_input("c");
	input.now_us += retry_ms * GN_US_PER_MS;
	input.ahead = 200e6;
	input.work = 900e6;
	g_assert_cmpint(gn_forecast_decide(forecast, &input).reason, ==,
			GN_FORECAST_NO_USE);
	input.job = "a";
	g_assert_cmpint(gn_forecast_decide(forecast, &input).reason, ==,
			GN_FORECAST_USEFUL);
	talloc_free(forecast);
}

/* Guards against small jobs that are refused for the sake of larger ones that
 * go behind them. */
static void test_larger_returning_job_goes_behind(void)
{
	gn_forecast_t *forecast = create_forecast();
	gn_forecast_input_t input = make_input("a");

	input.work = 1000e6;
	input.ahead = 500e6;
	g_assert_cmpint(gn_forecast_decide(forecast, &input).reason, ==,
			GN_FORECAST_NO_USE);
	input.job = "b";
	input.work = 100e6;
	g_assert_cmpint(gn_forecast_decide(forecast, &input).reason, ==,
			GN_FORECAST_USEFUL);
	talloc_free(forecast);
}

/* Guards against refusals for the sake of a caller who returns only after the
 * job has ended. */
static void test_later_return_does_not_count(void)
{
	gn_forecast_t *forecast = create_forecast();
	gn_forecast_input_t input = make_input("a");

	g_assert_cmpuint(gn_forecast_decide(forecast, &input).retry_ms, >,
			 12000);
	input.job = "b";
	input.ahead = 1185e6;
	g_assert_cmpint(gn_forecast_decide(forecast, &input).reason, ==,
			GN_FORECAST_USEFUL);
	talloc_free(forecast);
}

/* Guards against jobs accepted although their chain alone takes too long. */
static void test_chain_is_too_long(void)
{
	gn_forecast_t *forecast = create_forecast();
	gn_forecast_input_t input = make_input("a");

	input.ahead = 0;
	input.chain_us = 13 * GN_US_PER_S;
	g_assert_cmpint(gn_forecast_decide(forecast, &input).reason, ==,
			GN_FORECAST_NO_USE);
	talloc_free(forecast);
}

/* Guards against a caller who goes before others by returning early, and
 * against its own work counted as ahead of it. */
static void test_early_return_has_no_precedence(void)
{
	gn_forecast_t *forecast = create_forecast();
	gn_forecast_input_t input = make_input("a");

	input.ahead = 800e6;
	input.work = 600e6;
	g_assert_cmpuint(gn_forecast_decide(forecast, &input).retry_ms, >, 0);
	input.job = "b";
	g_assert_cmpuint(gn_forecast_decide(forecast, &input).retry_ms, >, 0);
	input.now_us += 5 * GN_US_PER_S;
	input.job = "a";
	g_assert_cmpfloat(gn_forecast_decide(forecast, &input).promised, ==,
			  600e6);
	talloc_free(forecast);
}

/* Guards against callers who gain a place by returning before their time, and
 * against a new time that is later than the one they were told. */
static void test_early_return_gains_nothing(void)
{
	gn_forecast_t *forecast = create_forecast();
	gn_forecast_input_t input = make_input("a");
	unsigned retry_ms = gn_forecast_decide(forecast, &input).retry_ms;

	input.now_us += 2 * GN_US_PER_S;
	g_assert_cmpuint(gn_forecast_decide(forecast, &input).retry_ms, ==,
			 retry_ms - 2000);
	g_assert_cmpuint(gn_forecast_count_refused(forecast), ==, 1);
	talloc_free(forecast);
}

/* Guards against places kept for callers who never return. */
static void test_place_of_absent_caller_lapses(void)
{
	gn_forecast_t *forecast = create_forecast();
	gn_forecast_input_t input = make_input("a");
	unsigned retry_ms;

	input.work = 900e6;
	retry_ms = gn_forecast_decide(forecast, &input).retry_ms;
	input.job = "b";
	input.ahead = 0;
	input.now_us += (retry_ms + GN_FORECAST_GRACE_MS) * GN_US_PER_MS;
	g_assert_cmpfloat(gn_forecast_decide(forecast, &input).promised, ==,
			  900e6);
	input.job = "c";
	input.now_us++;
	g_assert_cmpfloat(gn_forecast_decide(forecast, &input).promised, ==, 0);
	talloc_free(forecast);
}

/* Guards against memory that grows with the number of refused callers. */
static void test_memory_is_bounded(void)
{
	gn_forecast_t *forecast = create_forecast();
	gn_forecast_input_t input;

	for (unsigned i = 0; i < GN_FORECAST_REFUSED_MAX + 10; i++) {
		g_autofree char *job = g_strdup_printf("%u", i);

		input = make_input(job);
		g_assert_cmpuint(gn_forecast_decide(forecast, &input).retry_ms,
				 <=, GN_FORECAST_RETRY_MAX_MS);
	}
	g_assert_cmpuint(gn_forecast_count_refused(forecast), ==,
			 GN_FORECAST_REFUSED_MAX);
	input = make_input("later");
	input.now_us += GN_FORECAST_MEMORY_MS * GN_US_PER_MS;
	gn_forecast_decide(forecast, &input);
	g_assert_cmpuint(gn_forecast_count_refused(forecast), ==, 0);
	talloc_free(forecast);
}

/* Guards against a queue whose jobs are all refused. */
static void test_each_queue_has_its_share(void)
{
	gn_forecast_t *forecast = create_forecast();
	const char *const queues[] = { "batch", "other" };
	uint64_t accepted_us[] = { START_US, START_US };

	for (unsigned ms = 0; ms < 60000; ms += 500) {
		for (unsigned i = 0; i < G_N_ELEMENTS(queues); i++) {
			g_autofree char *job =
				g_strdup_printf("%s%u", queues[i], ms);
			gn_forecast_input_t input = make_input(job);

			input.queue = queues[i];
			input.now_us += ms * GN_US_PER_MS;
			if (!gn_forecast_decide(forecast, &input).retry_ms)
				accepted_us[i] = input.now_us;
			g_assert_cmpuint(input.now_us - accepted_us[i], <,
					 10 * GN_US_PER_S);
		}
	}
	talloc_free(forecast);
}

/* ======   Model of the load   ====== */

#define POOL_MILLI 200000
#define TASK_MILLI 3500
#define TASK_MS 1700
#define OBJECTIVE_MS (2 * TASK_MS + 1000)
/** Width of the jobs, in tasks. */
#define TASKS_MIN 4
#define TASKS_MAX 60
#define STEP_MS 100
/** Load before and after the overload, as a share of the pool. */
#define USUAL_LOAD 0.6
#define OVERLOAD_FROM_MS 10000
#define CALM_MS 60000 /* Length of the usual load after the overload. */
#define END_MS 300000 /* Time without new jobs, in which all end. */
/* Time over which the rate of arrivals is taken. */
#define ARRIVALS_MS 5000
#define RETRIES_MAX 4
#define DATA_CENTRES 3
#define QUEUES 2
#define SEEDS 8
/** Jobs of all seeds. */
#define JOBS_MAX 2048

typedef struct job_s {
	char id[17];
	unsigned queue;
	unsigned data_centre;
	uint64_t first_us; /* First try. */
	uint64_t due_us; /* Next try; 0 if none is to come. */
	unsigned refusals;
	uint64_t accepted_us; /* 0 if not accepted. */
	uint64_t deadline_us;
	double milli_max; /* Cores that its tasks can use at once. */
	double work; /* Left, thousandths of a core times ms. */
	uint64_t ended_us;
	bool promoted; /* Went ahead although it was late. */
	gn_rank_t rank;
} job_t;

/* Who is accepted. */
typedef enum rule_e {
	BASELINE, /* All jobs. */
	FORECAST,
	/* The forecast with the rate left by smaller jobs that come. */
	FORECAST_WITH_ARRIVALS,
	/* The forecast; who returns has the deadline of the first try. */
	FORECAST_FIRST_TRY,
	RULES
} rule_t;

static const char *const rule_names[RULES] = {
	"baseline",
	"forecast",
	"forecast with arrivals",
	"forecast, deadline of the first try",
};

/* What a model plays. */
typedef struct play_s {
	double factor; /* Load of the overload, as a share of the pool. */
	unsigned length_ms; /* Length of the overload. */
	double leaves; /* Share of the pool that leaves 2 s after its start. */
} play_t;

typedef struct pool_s {
	const play_t *play;
	GRand *rand;
	GPtrArray *jobs; /* Of job_t, owned. */
	gn_feasibility_t feasibility;
	gn_forecast_t *forecast;
	rule_t rule;
	bool has_free;
	unsigned ms;
	uint64_t now_us;
	/* Last accepted job of each queue, and the longest time from it to a
	 * refusal. */
	uint64_t queue_us[QUEUES];
	uint64_t queue_gap_us[QUEUES];
} pool_t;

typedef struct result_s {
	unsigned jobs;
	/* Accepted at once, by the time from the first try. */
	unsigned in_time;
	unsigned late;
	unsigned no_use;
	/* Refused, then accepted on return. */
	unsigned returned;
	unsigned
		returned_of_use; /* Of these, by the time from the first try. */
	unsigned returned_in_time; /* By the time from the return. */
	unsigned returned_no_use; /* The same, later than of use. */
	unsigned refused;
	/* Core-seconds done for jobs that end later than of use. */
	double useless_work;
	unsigned refusals; /* All answers that refuse. */
	unsigned served[DATA_CENTRES]; /* Ended while of use. */
	unsigned tried[DATA_CENTRES];
	double queue_gap_s[QUEUES];
	/* Of each job, in the order of the first tries. */
	bool of_use[JOBS_MAX]; /* Ended while of use, by the first try. */
	bool was_refused[JOBS_MAX];
} result_t;

static const unsigned delays_ms[DATA_CENTRES] = { 0, 100, 300 };

static gint compare_jobs(gconstpointer a, gconstpointer b)
{
	return gn_rank_compare(&(*(job_t *const *)a)->rank,
			       &(*(job_t *const *)b)->rank);
}

static void rank_job(const pool_t *pool, job_t *job)
{
	const gn_rank_job_t input = {
		.accepted_us = job->deadline_us - OBJECTIVE_MS * GN_US_PER_MS,
		.deadline_us = job->deadline_us,
		.chain_us =
			(uint64_t)(job->work / job->milli_max * GN_US_PER_MS),
		.work = (uint64_t)job->work,
	};

	job->rank = gn_rank_compute(&input, pool->now_us);
	/* Its tasks run to their end once they are placed. */
	if (job->promoted) {
		job->rank.class = GN_RANK_IN_TIME;
		job->rank.effective_work = 0;
	}
}

static bool is_waiting(const job_t *job)
{
	return job->accepted_us && !job->ended_us;
}

static double get_ahead(const pool_t *pool, const job_t *job, size_t *late)
{
	double ahead = 0;

	*late = 0;
	for (guint i = 0; i < pool->jobs->len; i++) {
		const job_t *other = g_ptr_array_index(pool->jobs, i);

		if (other == job || !is_waiting(other))
			continue;
		if (gn_rank_compare(&other->rank, &job->rank) < 0)
			ahead += other->work;
		*late += other->rank.class != GN_RANK_IN_TIME;
	}
	return ahead;
}

/* As sched_job_get_load() ranks a new job. */
static double rank_new_job(const pool_t *pool, job_t *job, size_t *late)
{
	double ahead;

	rank_job(pool, job);
	ahead = get_ahead(pool, job, late);
	if (gn_feasibility_check(&pool->feasibility, ahead, job->work,
				 job->deadline_us, pool->now_us))
		return ahead;
	job->rank.class = GN_RANK_INFEASIBLE;
	return get_ahead(pool, job, late);
}

/* Returns the rate of work of smaller jobs that came lately. */
static double get_arrivals_milli(const pool_t *pool, const job_t *job)
{
	double work = 0;

	for (guint i = 0; i < pool->jobs->len; i++) {
		const job_t *other = g_ptr_array_index(pool->jobs, i);

		if (other->first_us + ARRIVALS_MS * GN_US_PER_MS >
			    pool->now_us &&
		    other->milli_max < job->milli_max)
			work += other->milli_max * TASK_MS;
	}
	return work / ARRIVALS_MS;
}

static double get_rate_milli(const pool_t *pool, const job_t *job)
{
	double milli = pool->feasibility.cpu_milli;

	if (!gn_feasibility_is_known(&pool->feasibility, pool->now_us))
		return 0;
	if (pool->rule == FORECAST_WITH_ARRIVALS)
		milli -= get_arrivals_milli(pool, job);
	return MAX(milli, 1);
}

static unsigned ask_forecast(pool_t *pool, job_t *job)
{
	const gn_feasibility_t *feasibility = &pool->feasibility;
	size_t late;
	double ahead = rank_new_job(pool, job, &late);
	const gn_forecast_input_t input = {
		.job = job->id,
		.queue = job->queue ? "other" : "batch",
		.now_us = pool->now_us,
		.chain_us = TASK_MS * GN_US_PER_MS,
		.work = job->work,
		.objective_us = OBJECTIVE_MS * GN_US_PER_MS,
		.ahead = ahead,
		.rate_milli = get_rate_milli(pool, job),
		.spread_milli = gn_feasibility_get_error(feasibility),
		.late_start_us = gn_feasibility_get_late_start_us(
			feasibility, late, pool->now_us),
		.has_free_capacity = pool->has_free,
	};

	return gn_forecast_decide(pool->forecast, &input).retry_ms;
}

static void try_job(pool_t *pool, job_t *job)
{
	unsigned retry_ms;

	job->due_us = 0;
	job->accepted_us = pool->now_us;
	job->deadline_us = pool->now_us + OBJECTIVE_MS * GN_US_PER_MS;
	retry_ms = pool->rule == BASELINE ? 0 : ask_forecast(pool, job);
	if (pool->rule == FORECAST_FIRST_TRY)
		job->deadline_us = job->first_us + OBJECTIVE_MS * GN_US_PER_MS;
	if (retry_ms) {
		job->accepted_us = 0;
		job->refusals++;
		if (job->refusals <= RETRIES_MAX)
			job->due_us = pool->now_us +
				      (retry_ms + delays_ms[job->data_centre]) *
					      GN_US_PER_MS;
	}
	if (!retry_ms)
		pool->queue_us[job->queue] = pool->now_us;
	pool->queue_gap_us[job->queue] =
		MAX(pool->queue_gap_us[job->queue],
		    pool->now_us - pool->queue_us[job->queue]);
}

static void add_job(pool_t *pool)
{
	job_t *job = g_new0(job_t, 1);
	gint tasks = g_rand_int_range(pool->rand, TASKS_MIN, TASKS_MAX + 1);

	g_snprintf(job->id, sizeof(job->id), "%016x", pool->jobs->len);
	/* A tenth of the jobs come to the second queue. */
	job->queue = g_rand_int_range(pool->rand, 0, 10) == 0;
	job->data_centre =
		(unsigned)g_rand_int_range(pool->rand, 0, DATA_CENTRES);
	job->first_us = pool->now_us;
	job->milli_max = (double)tasks * TASK_MILLI;
	job->work = job->milli_max * TASK_MS;
	g_ptr_array_add(pool->jobs, job);
	try_job(pool, job);
}

static void move_infeasible_back(const pool_t *pool, GPtrArray *ranked)
{
	double ahead = 0;

	for (guint i = 0; i < ranked->len; i++) {
		job_t *job = g_ptr_array_index(ranked, i);

		if (job->rank.class != GN_RANK_IN_TIME)
			continue;
		if (job->promoted ||
		    gn_feasibility_check(&pool->feasibility, ahead, job->work,
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
	oldest->promoted = true;
	rank_job(pool, oldest);
	g_ptr_array_sort(ranked, compare_jobs);
}

static GPtrArray *rank_jobs(pool_t *pool)
{
	GPtrArray *ranked = g_ptr_array_new();

	for (guint i = 0; i < pool->jobs->len; i++) {
		job_t *job = g_ptr_array_index(pool->jobs, i);

		if (!is_waiting(job))
			continue;
		rank_job(pool, job);
		g_ptr_array_add(ranked, job);
	}
	g_ptr_array_sort(ranked, compare_jobs);
	move_infeasible_back(pool, ranked);
	promote_late_job(pool, ranked);
	return ranked;
}

static double get_pool_milli(const pool_t *pool)
{
	return pool->ms < OVERLOAD_FROM_MS + 2000
		       ? POOL_MILLI
		       : POOL_MILLI * (1 - pool->play->leaves);
}

static void run_step(pool_t *pool)
{
	GPtrArray *ranked = rank_jobs(pool);
	double milli_all = get_pool_milli(pool);
	double left = milli_all;

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
	pool->has_free = left > 0;
	gn_feasibility_update(&pool->feasibility, ranked->len && left <= 0,
			      milli_all, pool->now_us);
	g_ptr_array_unref(ranked);
}

static double get_load(const pool_t *pool)
{
	const play_t *play = pool->play;

	if (pool->ms >= OVERLOAD_FROM_MS + play->length_ms + CALM_MS)
		return 0;
	return pool->ms >= OVERLOAD_FROM_MS &&
			       pool->ms < OVERLOAD_FROM_MS + play->length_ms
		       ? play->factor
		       : USUAL_LOAD;
}

static void submit_jobs(pool_t *pool)
{
	const double mean_work =
		(TASKS_MIN + TASKS_MAX) / 2.0 * TASK_MILLI * TASK_MS;
	double jobs = get_load(pool) * POOL_MILLI * STEP_MS / mean_work;

	for (guint i = 0; i < pool->jobs->len; i++) {
		job_t *job = g_ptr_array_index(pool->jobs, i);

		if (job->due_us && job->due_us <= pool->now_us)
			try_job(pool, job);
	}
	for (int i = 0; i < jobs; i++)
		if (g_rand_double(pool->rand) < jobs - i)
			add_job(pool);
}

static void count_job(const job_t *job, result_t *result)
{
	uint64_t objective_us = OBJECTIVE_MS * GN_US_PER_MS;
	uint64_t useful_us = GN_RANK_USEFUL_FACTOR * objective_us;
	uint64_t took_us = job->ended_us - job->first_us;

	g_assert_cmpuint(result->jobs, <, JOBS_MAX);
	result->was_refused[result->jobs] = job->refusals != 0;
	result->of_use[result->jobs] = job->accepted_us && took_us <= useful_us;
	result->jobs++;
	result->refusals += job->refusals;
	result->tried[job->data_centre]++;
	if (!job->accepted_us) {
		result->refused++;
		return;
	}
	g_assert_cmpuint(job->ended_us, >, 0);
	result->served[job->data_centre] += took_us <= useful_us;
	if (job->ended_us - job->accepted_us > useful_us)
		result->useless_work += job->milli_max * TASK_MS / 1e6;
	if (job->refusals) {
		result->returned++;
		result->returned_of_use += took_us <= useful_us;
		result->returned_in_time += job->ended_us <= job->deadline_us;
		result->returned_no_use +=
			job->ended_us - job->accepted_us > useful_us;
	} else if (took_us <= objective_us) {
		result->in_time++;
	} else if (took_us <= useful_us) {
		result->late++;
	} else {
		result->no_use++;
	}
}

static void play_seed(const play_t *play, guint32 seed, rule_t rule,
		      result_t *result)
{
	pool_t pool = { .play = play,
			.rand = g_rand_new_with_seed(seed),
			.jobs = g_ptr_array_new_with_free_func(g_free),
			.forecast = gn_forecast_create(NULL),
			.rule = rule,
			.now_us = GN_US_PER_S };
	unsigned end_ms = OVERLOAD_FROM_MS + play->length_ms + CALM_MS + END_MS;

	for (; pool.ms < end_ms; pool.ms += STEP_MS) {
		submit_jobs(&pool);
		run_step(&pool);
		pool.now_us += STEP_MS * GN_US_PER_MS;
	}
	for (guint i = 0; i < pool.jobs->len; i++)
		count_job(g_ptr_array_index(pool.jobs, i), result);
	for (unsigned i = 0; i < QUEUES; i++)
		result->queue_gap_s[i] =
			MAX(result->queue_gap_s[i],
			    (double)pool.queue_gap_us[i] / GN_US_PER_S);
	g_ptr_array_unref(pool.jobs);
	g_rand_free(pool.rand);
	talloc_free(pool.forecast);
}

static result_t play_seeds(const play_t *play, rule_t rule)
{
	result_t r = { 0 };

	for (guint32 seed = 1; seed <= SEEDS; seed++)
		play_seed(play, seed, rule, &r);
	g_test_message(
		"%.1f for %u s, %.0f%% leave, %s: %u jobs; in time %u, late %u, "
		"no use %u; returned %u (of use by the first try %u, in time "
		"by the return %u, no use %u); refused %u, answers %u; useless "
		"core-s %.0f; queue gaps %.1f %.1f s; of use by data centre %.3f %.3f %.3f",
		play->factor, play->length_ms / 1000, 100 * play->leaves,
		rule_names[rule], r.jobs, r.in_time, r.late, r.no_use,
		r.returned, r.returned_of_use, r.returned_in_time,
		r.returned_no_use, r.refused, r.refusals, r.useless_work,
		r.queue_gap_s[0], r.queue_gap_s[1],
		(double)r.served[0] / r.tried[0],
		(double)r.served[1] / r.tried[1],
		(double)r.served[2] / r.tried[2]);
	return r;
}

/* Counts jobs that were refused and would have ended while of use. */
static unsigned count_wrong(const result_t *baseline, const result_t *result)
{
	unsigned wrong = 0;

	for (unsigned i = 0; i < result->jobs; i++)
		wrong += result->was_refused[i] && baseline->of_use[i];
	return wrong;
}

static double get_share(const result_t *result, unsigned data_centre)
{
	return (double)result->served[data_centre] / result->tried[data_centre];
}

/* Guards against refusals without an overload, refusals of jobs that could be
 * served, and queues or data centres that are starved. */
static void test_play(gconstpointer data)
{
	const play_t *play = data;
	const result_t baseline = play_seeds(play, BASELINE);
	result_t result;

	for (rule_t rule = FORECAST; rule < RULES; rule++) {
		result = play_seeds(play, rule);
		g_test_message("refused, but served by the baseline: %u",
			       count_wrong(&baseline, &result));
		g_assert_cmpuint(result.jobs, ==, baseline.jobs);
		if (rule == FORECAST)
			g_assert_cmpuint(count_wrong(&baseline, &result), ==,
					 0);
		if (play->factor <= 1)
			g_assert_cmpuint(result.refusals, ==, 0);
		g_assert_cmpfloat(result.useless_work, <=,
				  baseline.useless_work);
		for (unsigned i = 0; i < QUEUES; i++)
			g_assert_cmpfloat(result.queue_gap_s[i], <, 10);
		for (unsigned i = 1; i < DATA_CENTRES; i++)
			g_assert_cmpfloat(ABS(get_share(&result, i) -
					      get_share(&result, 0)),
					  <, 0.1);
	}
}

static const play_t plays[] = {
	{ 1.5, 6000, 0 },  { 2.6, 6000, 0 },	{ 1.5, 30000, 0 },
	{ 2.6, 30000, 0 }, { 2.6, 30000, 0.3 }, { 0.6, 30000, 0 },
};

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path =
			g_strdup_printf("/forecast/case/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], test_case);
	}
	g_test_add_func("/forecast/returns-are-spread-in-order",
			test_returns_are_spread_in_order);
	g_test_add_func("/forecast/returning-caller-goes-first",
			test_returning_caller_goes_first);
	g_test_add_func("/forecast/larger-returning-job-goes-behind",
			test_larger_returning_job_goes_behind);
	g_test_add_func("/forecast/later-return-does-not-count",
			test_later_return_does_not_count);
	g_test_add_func("/forecast/chain-is-too-long", test_chain_is_too_long);
	g_test_add_func("/forecast/early-return-has-no-precedence",
			test_early_return_has_no_precedence);
	g_test_add_func("/forecast/early-return-gains-nothing",
			test_early_return_gains_nothing);
	g_test_add_func("/forecast/place-of-absent-caller-lapses",
			test_place_of_absent_caller_lapses);
	g_test_add_func("/forecast/memory-is-bounded", test_memory_is_bounded);
	g_test_add_func("/forecast/each-queue-has-its-share",
			test_each_queue_has_its_share);
	for (size_t i = 0; i < G_N_ELEMENTS(plays); i++) {
		g_autofree char *path = g_strdup_printf(
			"/forecast/play/%.1f-for-%us-%.0f-leave",
			plays[i].factor, plays[i].length_ms / 1000,
			100 * plays[i].leaves);

		g_test_add_data_func(path, &plays[i], test_play);
	}
	return g_test_run();
}
