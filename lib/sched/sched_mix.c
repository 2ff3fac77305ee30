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
	return task->unit->step;
}

/* ======   Aggregation   ====== */

/* Returns the headroom of @p task that best-effort tasks may use. */
static double get_budget(const gn_sched_t *sched, const sched_task_t *task)
{
	const gn_headroom_t *alone = &task->unit->baseline;

	if (!alone->updated_us)
		return BUDGET_UNKNOWN;
	if (alone->value < 1)
		return BUDGET_OVER_TARGET;
	return fmax(alone->value - sched_get_headroom_goal(sched),
		    BUDGET_SHARE_MIN * (alone->value - 1));
}

/* Returns the part of the headroom that tasks of late jobs may use. It has no
 * least share: what late jobs could still earn is less than what the callers
 * of the serving task would lose. */
static double get_late_budget(const gn_sched_t *sched, const sched_task_t *task)
{
	const gn_headroom_t *alone = &task->unit->baseline;
	double goal = sched->config.late_headroom_goal;

	if (!alone->updated_us)
		return fmax(0, BUDGET_UNKNOWN + sched_get_headroom_goal(sched) -
				       goal);
	return fmax(0, alone->value - goal);
}

static void count_serving(const gn_sched_t *sched, sched_mix_t *mix,
			  const sched_task_t *task)
{
	double budget = get_budget(sched, task);
	double late_budget = get_late_budget(sched, task);
	sched_mix_serving_t *row;

	for (size_t i = 0; i < mix->serving_count; i++) {
		row = &mix->serving[i];
		if (row->image != task->image)
			continue;
		row->budget = fmin(row->budget, budget);
		row->late_budget = fmin(row->late_budget, late_budget);
		return;
	}
	if (mix->serving_count == SCHED_MIX_SERVING_MAX)
		return;
	row = &mix->serving[mix->serving_count++];
	row->image = task->image;
	row->budget = budget;
	row->late_budget = late_budget;
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

/* Returns the share of their CPU demand that best-effort tasks of late jobs, or
 * of the others, get when the demand of these grows by @p added. */
static double get_cpu_share(const sched_worker_t *worker,
			    const sched_mix_t *mix, uint32_t added, bool late)
{
	double reserved = worker->used.cpu_milli -
			  (1 - SCHED_SERVING_CPU_SHARE) * worker->serving_milli;
	double remaining = worker->capacity.cpu_milli - reserved;
	double in_time = (double)worker->best_effort_milli - mix->late_milli;
	double demand = (late ? mix->late_milli : in_time) + added;

	if (late)
		remaining -= in_time;
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

static bool precedes(const sched_mix_best_effort_t *a,
		     const sched_mix_best_effort_t *b)
{
	return a->late != b->late ? b->late : a->cost < b->cost;
}

/* Inserts a task in the order of headroom allocation. */
static void add_best_effort(const gn_sched_t *sched, sched_mix_t *mix,
			    sched_task_t *task)
{
	sched_mix_best_effort_t row = { .task = task, .late = task->job->late };
	size_t at = mix->best_effort_count;

	if (at == SCHED_MIX_BEST_EFFORT_MAX)
		return;
	row.cost = load_weights(sched, mix, task->image, row.weights);
	for (; at > 0 && precedes(&row, &mix->best_effort[at - 1]); at--)
		mix->best_effort[at] = mix->best_effort[at - 1];
	mix->best_effort[at] = row;
	mix->best_effort_count++;
	if (row.late)
		mix->late_milli += get_step(task)->cpu_milli;
}

/* Returns the pace that the budgets allow a task when @p used of them is in
 * use by the tasks that come before it. */
static double get_pace(const sched_mix_t *mix, const float *weights,
		       double share, const double *used, bool late)
{
	double pace = 1;

	for (size_t i = 0; i < mix->serving_count; i++) {
		const sched_mix_serving_t *serving = &mix->serving[i];
		double budget = late ? serving->late_budget : serving->budget;

		if (weights[i] * share > budget - used[i])
			pace = fmin(pace, fmax(0, budget - used[i]) /
						  (weights[i] * share));
	}
	return pace;
}

static void consume_budgets(const sched_mix_t *mix,
			    const sched_mix_best_effort_t *row, double *used)
{
	for (size_t i = 0; i < mix->serving_count; i++)
		used[i] += row->pace * row->share * row->weights[i];
}

static void allocate_headroom(sched_mix_t *mix, const sched_worker_t *worker)
{
	double used[SCHED_MIX_SERVING_MAX] = { 0 };
	double late_share = get_cpu_share(worker, mix, 0, true);

	mix->cpu_share = get_cpu_share(worker, mix, 0, false);
	for (size_t i = 0; i < mix->best_effort_count; i++) {
		sched_mix_best_effort_t *row = &mix->best_effort[i];

		row->share = (double)get_step(row->task)->cpu_milli /
			     worker->capacity.cpu_milli;
		/* Processors are shared equally by all best-effort tasks, so
		 * that those of late jobs have to be throttled to leave them
		 * to the others. */
		if (!row->late)
			row->share *= mix->cpu_share;
		row->pace = get_pace(mix, row->weights, row->share, used,
				     row->late);
		if (row->late)
			row->pace = fmin(row->pace, late_share);
		consume_budgets(mix, row, used);
	}
}

void sched_mix_get(const gn_sched_t *sched, const sched_worker_t *worker,
		   sched_mix_t *mix)
{
	mix->serving_count = 0;
	mix->best_effort_count = 0;
	mix->use_count = 0;
	mix->late_milli = 0;
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

/* Sums up what the tasks that come before the added one use of the budgets. */
static void get_used_budgets(const sched_mix_t *mix, double cost, bool late,
			     double *used)
{
	const sched_mix_best_effort_t added = { .cost = cost, .late = late };

	for (size_t i = 0; i < mix->serving_count; i++)
		used[i] = 0;
	for (size_t i = 0; i < mix->best_effort_count; i++) {
		if (precedes(&added, &mix->best_effort[i]))
			return;
		consume_budgets(mix, &mix->best_effort[i], used);
	}
}

static double get_processor_share(const sched_worker_t *worker,
				  const sched_mix_t *mix,
				  const sched_mix_candidate_t *added)
{
	return get_cpu_share(worker, mix, added->cpu_milli, added->late) *
	       added->cpu_milli / worker->capacity.cpu_milli;
}

double sched_mix_speed(const gn_sched_t *sched, const sched_worker_t *worker,
		       const sched_mix_t *mix,
		       const sched_mix_candidate_t *added)
{
	float weights[SCHED_MIX_SERVING_MAX];
	double used[SCHED_MIX_SERVING_MAX];
	double cost = load_weights(sched, mix, added->image, weights);

	/* A task beyond the limit would not be throttled. */
	if (mix->best_effort_count == SCHED_MIX_BEST_EFFORT_MAX)
		return SPEED_MIN;
	get_used_budgets(mix, cost, added->late, used);
	return fmax(get_cpu_share(worker, mix, added->cpu_milli, added->late) *
			    get_pace(mix, weights,
				     get_processor_share(worker, mix, added),
				     used, added->late),
		    SPEED_MIN);
}

double sched_mix_budget_use(const gn_sched_t *sched,
			    const sched_worker_t *worker,
			    const sched_mix_t *mix,
			    const sched_mix_candidate_t *added)
{
	float weights[SCHED_MIX_SERVING_MAX];
	double used[SCHED_MIX_SERVING_MAX];
	double cost = load_weights(sched, mix, added->image, weights);
	double share = get_processor_share(worker, mix, added);
	double worst = 0;

	get_used_budgets(mix, cost, added->late, used);
	for (size_t i = 0; i < mix->serving_count; i++) {
		const sched_mix_serving_t *serving = &mix->serving[i];
		double bound = gn_interference_weight_bound(
			sched->interference, serving->image, added->image);
		double budget =
			added->late ? serving->late_budget : serving->budget;

		worst = fmax(worst, (used[i] + bound * share) /
					    fmax(BUDGET_MIN, budget));
	}
	return fmin(worst, SCHED_BUDGET_USE_MAX);
}
