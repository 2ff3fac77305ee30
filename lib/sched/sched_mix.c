#include "sched/sched_mix.h"

#include <math.h>

/* Chosen by the model of the load, tests/support/fill_model.h, and trials. */

/** Headroom that is kept: the target is over the tail by this factor. */
#define GOAL_HEADROOM 1.1
/** Share of the headroom beyond 1 that may be used up anyway. */
#define LEAST_BUDGET 0.25
/** Share of what is set aside for serving tasks that they use, as a guess. */
#define SERVING_USE 0.5
/** Budget of what is over its target by itself: nothing else is to blame. */
#define BUDGET_OVER 0.1
/** Budget of what has not told its tail yet. */
#define BUDGET_NEW 1.0
/** Budgets count as at least this, so that harm stays comparable. */
#define BUDGET_MIN 0.2
/** Slowest that a filling task is expected to be. */
#define SPEED_MIN 0.02

static const Gn__JobStep *step_of(const sched_task_t *task)
{
	return task->job->units[task->unit].step;
}

/* ======   Sums   ====== */

/* The headroom that what fills beside @p task may use up. */
static double get_budget(const sched_task_t *task)
{
	const gn_headroom_t *alone = &task->job->units[task->unit].baseline;

	if (!alone->updated_us)
		return BUDGET_NEW;
	if (alone->value < 1)
		return BUDGET_OVER;
	return fmax(alone->value - GOAL_HEADROOM,
		    LEAST_BUDGET * (alone->value - 1));
}

static void add_serving(sched_mix_t *mix, const sched_task_t *task)
{
	double budget = get_budget(task);
	sched_mix_serving_t *row;

	for (size_t i = 0; i < mix->serving_count; i++) {
		row = &mix->serving[i];
		if (row->image != task->image)
			continue;
		row->budget = fmin(row->budget, budget);
		return;
	}
	if (mix->serving_count == SCHED_MIX_SERVING_MAX)
		return;
	row = &mix->serving[mix->serving_count++];
	row->image = task->image;
	row->budget = budget;
}

static void add_use(sched_mix_t *mix, const char *image, double share)
{
	for (size_t i = 0; i < mix->use_count; i++) {
		if (mix->uses[i].image != image)
			continue;
		mix->uses[i].share += share;
		return;
	}
	if (mix->use_count == SCHED_MIX_USES_MAX)
		return;
	mix->uses[mix->use_count].image = image;
	mix->uses[mix->use_count++].share = share;
}

/* The share of its wish that what fills gets, with @p more beside it. */
static double get_spare(const sched_worker_t *worker, uint32_t more)
{
	double set_aside = worker->used.cpu_milli -
			   (1 - SERVING_USE) * worker->serving_milli;
	double left = worker->capacity.cpu_milli - set_aside;
	double wished = (double)worker->best_effort_milli + more;

	if (wished <= 0 || left >= wished)
		return 1;
	return left > 0 ? left / wished : 0;
}

/* A tail is that of the time between two lists. */
static double get_use(const sched_task_t *task)
{
	return (task->gauge_before + task->gauge) / 2.0;
}

static void add_task(sched_mix_t *mix, const sched_worker_t *worker,
		     const sched_task_t *task)
{
	const Gn__JobStep *step = step_of(task);

	/* what is being stopped still disturbs */
	if (step->fills && task->listed)
		add_use(mix, task->image,
			get_use(task) / worker->capacity.cpu_milli);
	else if (step->target_ms && !task->stopping)
		add_serving(mix, task);
}

/* ======   Sharing out   ====== */

/* Sets the weights of @p image, and returns what these cost at most. */
static double get_weights(const gn_sched_t *sched, const sched_mix_t *mix,
			  const char *image, float *weights)
{
	double most = 0;

	for (size_t i = 0; i < mix->serving_count; i++) {
		const sched_mix_serving_t *serving = &mix->serving[i];
		double weight = gn_interference_weight(sched->interference,
						       serving->image, image);

		weights[i] = (float)weight;
		most = fmax(most, weight / fmax(BUDGET_MIN, serving->budget));
	}
	return most;
}

/* Inserts a task by its cost. */
static void add_filling(const gn_sched_t *sched, sched_mix_t *mix,
			sched_task_t *task)
{
	sched_mix_best_effort_t row = { .task = task };
	size_t at = mix->best_effort_count;

	if (at == SCHED_MIX_BEST_EFFORT_MAX)
		return;
	row.cost = get_weights(sched, mix, task->image, row.weights);
	for (; at > 0 && mix->best_effort[at - 1].cost > row.cost; at--)
		mix->best_effort[at] = mix->best_effort[at - 1];
	mix->best_effort[at] = row;
	mix->best_effort_count++;
}

/* The pace that @p left allows a task with these weights. */
static double get_pace(const sched_mix_t *mix, const float *weights,
		       double share, const double *left)
{
	double pace = 1;

	for (size_t i = 0; i < mix->serving_count; i++)
		if (weights[i] * share > left[i])
			pace = fmin(pace,
				    fmax(0, left[i]) / (weights[i] * share));
	return pace;
}

static void take(const sched_mix_t *mix, const sched_mix_best_effort_t *row,
		 double *left)
{
	for (size_t i = 0; i < mix->serving_count; i++)
		left[i] -= row->pace * row->share * row->weights[i];
}

static void get_budgets(const sched_mix_t *mix, double *left)
{
	for (size_t i = 0; i < mix->serving_count; i++)
		left[i] = mix->serving[i].budget;
}

static void share_out(sched_mix_t *mix, const sched_worker_t *worker)
{
	double left[SCHED_MIX_SERVING_MAX];

	mix->cpu_share = get_spare(worker, 0);
	get_budgets(mix, left);
	for (size_t i = 0; i < mix->best_effort_count; i++) {
		sched_mix_best_effort_t *row = &mix->best_effort[i];

		row->share = mix->cpu_share * step_of(row->task)->cpu_milli /
			     worker->capacity.cpu_milli;
		row->pace = get_pace(mix, row->weights, row->share, left);
		take(mix, row, left);
	}
}

void sched_mix_get(const gn_sched_t *sched, const sched_worker_t *worker,
		   sched_mix_t *mix)
{
	mix->serving_count = 0;
	mix->best_effort_count = 0;
	mix->use_count = 0;
	for (guint i = 0; i < worker->claims->len; i++)
		add_task(mix, worker, g_ptr_array_index(worker->claims, i));
	for (guint i = 0; i < worker->claims->len; i++) {
		sched_task_t *task = g_ptr_array_index(worker->claims, i);

		if (step_of(task)->fills && !task->stopping)
			add_filling(sched, mix, task);
	}
	share_out(mix, worker);
}

void sched_mix_add(const gn_sched_t *sched, sched_mix_t *mix,
		   const sched_worker_t *worker, sched_task_t *task)
{
	add_filling(sched, mix, task);
	share_out(mix, worker);
}

/* ======   One more task   ====== */

/* What is left of the budgets to a task of that cost. */
static void get_left(const sched_mix_t *mix, double cost, double *left)
{
	get_budgets(mix, left);
	for (size_t i = 0; i < mix->best_effort_count; i++) {
		if (mix->best_effort[i].cost > cost)
			return;
		take(mix, &mix->best_effort[i], left);
	}
}

static double get_share(const sched_worker_t *worker,
			const sched_mix_candidate_t *more)
{
	return get_spare(worker, more->cpu_milli) * more->cpu_milli /
	       worker->capacity.cpu_milli;
}

double sched_mix_speed(const gn_sched_t *sched, const sched_worker_t *worker,
		       const sched_mix_t *mix,
		       const sched_mix_candidate_t *more)
{
	float weights[SCHED_MIX_SERVING_MAX];
	double left[SCHED_MIX_SERVING_MAX];
	double cost = get_weights(sched, mix, more->image, weights);

	/* what is left out would not be paced */
	if (mix->best_effort_count == SCHED_MIX_BEST_EFFORT_MAX)
		return SPEED_MIN;
	get_left(mix, cost, left);
	return fmax(
		get_spare(worker, more->cpu_milli) *
			get_pace(mix, weights, get_share(worker, more), left),
		SPEED_MIN);
}

double sched_mix_harm(const gn_sched_t *sched, const sched_worker_t *worker,
		      const sched_mix_t *mix, const sched_mix_candidate_t *more)
{
	float weights[SCHED_MIX_SERVING_MAX];
	double left[SCHED_MIX_SERVING_MAX];
	double cost = get_weights(sched, mix, more->image, weights);
	double share = get_share(worker, more);
	double worst = 0;

	get_left(mix, cost, left);
	for (size_t i = 0; i < mix->serving_count; i++) {
		const sched_mix_serving_t *serving = &mix->serving[i];
		double bound = gn_interference_weight_bound(
			sched->interference, serving->image, more->image);
		double taken = serving->budget - left[i] + bound * share;

		worst = fmax(worst, taken / fmax(BUDGET_MIN, serving->budget));
	}
	return fmin(worst, SCHED_HARM_MAX);
}
