#include "sched/sched_mix.h"

#include <math.h>

/* See tests/support/colocation_model.h for the workload behind these values. */

/** Share of the headroom above 1 that may be used in any case. */
#define BUDGET_SHARE_MIN 0.25
/** Budget of a task over its target even without best-effort tasks, where
 * throttling can't help. */
#define BUDGET_OVER_TARGET 0.1
/** Budget of a task without readings. */
#define BUDGET_UNKNOWN 1.0
/** Minimum divisor for cost and budget use, so that these stay comparable. */
#define BUDGET_MIN 0.2
/** Minimum speed to be expected of a best-effort task. */
#define SPEED_MIN 0.02

static const Gn__JobStep *get_step(const sched_task_t *task)
{
	return task->job->units[task->unit].step;
}

/* ======   Aggregation   ====== */

/* Returns the headroom of @p task that best-effort tasks may use. */
static double get_budget(const gn_sched_t *sched, const sched_task_t *task)
{
	const gn_headroom_t *alone = &task->job->units[task->unit].baseline;

	if (!alone->updated_us)
		return BUDGET_UNKNOWN;
	if (alone->value < 1)
		return BUDGET_OVER_TARGET;
	return fmax(alone->value - sched->config.headroom_goal,
		    BUDGET_SHARE_MIN * (alone->value - 1));
}

static void count_serving(const gn_sched_t *sched, sched_mix_t *mix,
			  const sched_task_t *task)
{
	double budget = get_budget(sched, task);
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

static void count_use(sched_mix_t *mix, const char *image, double share)
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

/* Returns the share of their CPU demand that best-effort tasks get when the
 * demand grows by @p added. */
static double get_cpu_share(const sched_worker_t *worker, uint32_t added)
{
	double reserved = worker->used.cpu_milli -
			  (1 - SCHED_SERVING_CPU_SHARE) * worker->serving_milli;
	double remaining = worker->capacity.cpu_milli - reserved;
	double demand = (double)worker->best_effort_milli + added;

	if (demand <= 0 || remaining >= demand)
		return 1;
	return remaining > 0 ? remaining / demand : 0;
}

/* Tail latencies cover the time between two lists, so CPU use is averaged over
 * the same time. */
static double get_mean_cpu(const sched_task_t *task)
{
	return (task->previous_reading + task->last_reading) / 2.0;
}

static void count_task(const gn_sched_t *sched, sched_mix_t *mix,
		       const sched_worker_t *worker, const sched_task_t *task)
{
	const Gn__JobStep *step = get_step(task);

	/* A best-effort task still interferes while it is being stopped. */
	if (step->fills && task->listed)
		count_use(mix, task->image,
			  get_mean_cpu(task) / worker->capacity.cpu_milli);
	else if (step->target_ms && !task->stopping)
		count_serving(sched, mix, task);
}

/* ======   Allocation   ====== */

/* Sets the weights of @p image and returns its cost, which is the largest
 * ratio of a weight to a budget. */
static double load_weights(const gn_sched_t *sched, const sched_mix_t *mix,
			   const char *image, float *weights)
{
	double max_cost = 0;

	for (size_t i = 0; i < mix->serving_count; i++) {
		const sched_mix_serving_t *serving = &mix->serving[i];
		double weight = gn_interference_weight(sched->interference,
						       serving->image, image);

		weights[i] = (float)weight;
		max_cost = fmax(max_cost,
				weight / fmax(BUDGET_MIN, serving->budget));
	}
	return max_cost;
}

/* Inserts a task in the order of cost. */
static void add_best_effort(const gn_sched_t *sched, sched_mix_t *mix,
			    sched_task_t *task)
{
	sched_mix_best_effort_t row = { .task = task };
	size_t at = mix->best_effort_count;

	if (at == SCHED_MIX_BEST_EFFORT_MAX)
		return;
	row.cost = load_weights(sched, mix, task->image, row.weights);
	for (; at > 0 && mix->best_effort[at - 1].cost > row.cost; at--)
		mix->best_effort[at] = mix->best_effort[at - 1];
	mix->best_effort[at] = row;
	mix->best_effort_count++;
}

/* Returns the pace that the remaining budgets allow a task. */
static double get_pace(const sched_mix_t *mix, const float *weights,
		       double share, const double *remaining)
{
	double pace = 1;

	for (size_t i = 0; i < mix->serving_count; i++)
		if (weights[i] * share > remaining[i])
			pace = fmin(pace, fmax(0, remaining[i]) /
						  (weights[i] * share));
	return pace;
}

static void consume_budgets(const sched_mix_t *mix,
			    const sched_mix_best_effort_t *row,
			    double *remaining)
{
	for (size_t i = 0; i < mix->serving_count; i++)
		remaining[i] -= row->pace * row->share * row->weights[i];
}

static void init_budgets(const sched_mix_t *mix, double *remaining)
{
	for (size_t i = 0; i < mix->serving_count; i++)
		remaining[i] = mix->serving[i].budget;
}

static void allocate_headroom(sched_mix_t *mix, const sched_worker_t *worker)
{
	double remaining[SCHED_MIX_SERVING_MAX];

	mix->cpu_share = get_cpu_share(worker, 0);
	init_budgets(mix, remaining);
	for (size_t i = 0; i < mix->best_effort_count; i++) {
		sched_mix_best_effort_t *row = &mix->best_effort[i];

		row->share = mix->cpu_share * get_step(row->task)->cpu_milli /
			     worker->capacity.cpu_milli;
		row->pace = get_pace(mix, row->weights, row->share, remaining);
		consume_budgets(mix, row, remaining);
	}
}

void sched_mix_get(const gn_sched_t *sched, const sched_worker_t *worker,
		   sched_mix_t *mix)
{
	mix->serving_count = 0;
	mix->best_effort_count = 0;
	mix->use_count = 0;
	for (guint i = 0; i < worker->claims->len; i++)
		count_task(sched, mix, worker,
			   g_ptr_array_index(worker->claims, i));
	for (guint i = 0; i < worker->claims->len; i++) {
		sched_task_t *task = g_ptr_array_index(worker->claims, i);

		if (get_step(task)->fills && !task->stopping)
			add_best_effort(sched, mix, task);
	}
	allocate_headroom(mix, worker);
}

void sched_mix_add(const gn_sched_t *sched, sched_mix_t *mix,
		   const sched_worker_t *worker, sched_task_t *task)
{
	add_best_effort(sched, mix, task);
	allocate_headroom(mix, worker);
}

/* ======   Added task   ====== */

/* Sets the budgets that remain after all tasks of at most this cost. */
static void get_remaining_budgets(const sched_mix_t *mix, double cost,
				  double *remaining)
{
	init_budgets(mix, remaining);
	for (size_t i = 0; i < mix->best_effort_count; i++) {
		if (mix->best_effort[i].cost > cost)
			return;
		consume_budgets(mix, &mix->best_effort[i], remaining);
	}
}

static double get_processor_share(const sched_worker_t *worker,
				  const sched_mix_candidate_t *added)
{
	return get_cpu_share(worker, added->cpu_milli) * added->cpu_milli /
	       worker->capacity.cpu_milli;
}

double sched_mix_speed(const gn_sched_t *sched, const sched_worker_t *worker,
		       const sched_mix_t *mix,
		       const sched_mix_candidate_t *added)
{
	float weights[SCHED_MIX_SERVING_MAX];
	double remaining[SCHED_MIX_SERVING_MAX];
	double cost = load_weights(sched, mix, added->image, weights);

	/* A task beyond the limit would not be throttled. */
	if (mix->best_effort_count == SCHED_MIX_BEST_EFFORT_MAX)
		return SPEED_MIN;
	get_remaining_budgets(mix, cost, remaining);
	return fmax(get_cpu_share(worker, added->cpu_milli) *
			    get_pace(mix, weights,
				     get_processor_share(worker, added),
				     remaining),
		    SPEED_MIN);
}

double sched_mix_budget_use(const gn_sched_t *sched,
			    const sched_worker_t *worker,
			    const sched_mix_t *mix,
			    const sched_mix_candidate_t *added)
{
	float weights[SCHED_MIX_SERVING_MAX];
	double remaining[SCHED_MIX_SERVING_MAX];
	double cost = load_weights(sched, mix, added->image, weights);
	double share = get_processor_share(worker, added);
	double worst = 0;

	get_remaining_budgets(mix, cost, remaining);
	for (size_t i = 0; i < mix->serving_count; i++) {
		const sched_mix_serving_t *serving = &mix->serving[i];
		double bound = gn_interference_weight_bound(
			sched->interference, serving->image, added->image);
		double used = serving->budget - remaining[i] + bound * share;

		worst = fmax(worst, used / fmax(BUDGET_MIN, serving->budget));
	}
	return fmin(worst, SCHED_BUDGET_USE_MAX);
}
