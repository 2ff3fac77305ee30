#include "sched/sched_mix.h"

#include <math.h>

/** Share of its target up to which a tail is let. */
#define GOAL_SHARE 0.65
/** Share of the way from the baseline to the target that is let anyway. */
#define LEAST_BUDGET 0.3
/** Pairs of less weight are no disturbance. */
#define LIGHT_WEIGHT 0.6
/** Share of what is set aside for serving tasks that they use, as a guess. */
#define SERVING_USE 0.5
/** Budgets count as at least this, so that harm stays comparable. */
#define BUDGET_MIN 0.05
/** Slowest that a filling task is expected to be. */
#define SPEED_MIN 0.02

static const Gn__JobStep *step_of(const sched_task_t *task)
{
	return task->job->units[task->unit].step;
}

/* ======   Sums   ====== */

/* The logarithm of the factor by which the tail of @p task may grow. */
static double get_budget(const sched_task_t *task)
{
	double target = log(step_of(task)->target_ms);
	double baseline = fmax(0, task->baseline);

	return fmax(0, fmax(target + log(GOAL_SHARE) - baseline,
			    LEAST_BUDGET * (target - baseline)));
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
	if (mix->serving_count == SCHED_MIX_MAX)
		return;
	row = &mix->serving[mix->serving_count++];
	row->image = task->image;
	row->budget = budget;
}

static void add_filling(sched_mix_t *mix, const char *image, double full_share)
{
	for (size_t i = 0; i < mix->filling_count; i++) {
		if (mix->filling[i].image != image)
			continue;
		mix->filling[i].full_share += full_share;
		return;
	}
	if (mix->filling_count == SCHED_MIX_MAX)
		return;
	mix->filling[mix->filling_count].image = image;
	mix->filling[mix->filling_count++].full_share = full_share;
}

static void add_use(sched_mix_t *mix, const char *image, double share)
{
	for (size_t i = 0; i < mix->use_count; i++) {
		if (mix->uses[i].image != image)
			continue;
		mix->uses[i].share += share;
		return;
	}
	if (mix->use_count == SCHED_MIX_MAX)
		return;
	mix->uses[mix->use_count].image = image;
	mix->uses[mix->use_count++].share = share;
}

/* The share of its wish that what fills gets, with @p more beside it. */
static double get_spare(const sched_worker_t *worker, uint32_t more)
{
	double set_aside = worker->used.cpu_milli -
			   (1 - SERVING_USE) * worker->serve_milli;
	double left = worker->capacity.cpu_milli - set_aside;
	double wished = (double)worker->fill_milli + more;

	if (wished <= 0 || left >= wished)
		return 1;
	return left > 0 ? left / wished : 0;
}

static void add_task(sched_mix_t *mix, const sched_worker_t *worker,
		     const sched_task_t *task)
{
	const Gn__JobStep *step = step_of(task);
	double capacity = worker->capacity.cpu_milli;

	if (task->stopping)
		return;
	if (step->target_ms) {
		add_serving(mix, task);
	} else if (step->fills) {
		add_filling(mix, task->image,
			    mix->spare * step->cpu_milli / capacity);
		if (task->listed)
			add_use(mix, task->image, task->gauge / capacity);
	}
}

/* The growth that all that fills would cause at full pace. */
static double get_wished(const gn_sched_t *sched, const sched_mix_t *mix,
			 const sched_mix_serving_t *serving)
{
	double wished = 0;

	for (size_t i = 0; i < mix->filling_count; i++)
		wished += mix->filling[i].full_share *
			  gn_disturb_weight(sched->disturb, serving->image,
					    mix->filling[i].image);
	return wished;
}

void sched_mix_get(const gn_sched_t *sched, const sched_worker_t *worker,
		   sched_mix_t *mix)
{
	mix->serving_count = 0;
	mix->filling_count = 0;
	mix->use_count = 0;
	mix->spare = get_spare(worker, 0);
	for (guint i = 0; i < worker->claims->len; i++)
		add_task(mix, worker, g_ptr_array_index(worker->claims, i));
	for (size_t i = 0; i < mix->serving_count; i++) {
		sched_mix_serving_t *serving = &mix->serving[i];

		serving->added = gn_disturb_sum(sched->disturb, serving->image,
						mix->uses, mix->use_count);
		serving->planned = get_wished(sched, mix, serving);
	}
}

void sched_mix_add(const gn_sched_t *sched, sched_mix_t *mix,
		   const sched_worker_t *worker, const char *image,
		   uint32_t cpu_milli)
{
	add_filling(mix, image,
		    mix->spare * cpu_milli / worker->capacity.cpu_milli);
	mix->spare = get_spare(worker, 0);
	for (size_t i = 0; i < mix->serving_count; i++)
		mix->serving[i].planned =
			get_wished(sched, mix, &mix->serving[i]);
}

/* ======   Paces   ====== */

/* The pace that one serving image leaves to all that disturbs it. */
static double get_allowed(const gn_sched_t *sched, const sched_mix_t *mix,
			  const sched_mix_serving_t *serving)
{
	double wished = get_wished(sched, mix, serving);

	return wished <= serving->budget ? 1 : serving->budget / wished;
}

double sched_mix_pace(const gn_sched_t *sched, const sched_mix_t *mix,
		      const char *image)
{
	double pace = 1;

	for (size_t i = 0; i < mix->serving_count; i++) {
		const sched_mix_serving_t *serving = &mix->serving[i];

		if (gn_disturb_weight(sched->disturb, serving->image, image) >=
		    LIGHT_WEIGHT)
			pace = fmin(pace, get_allowed(sched, mix, serving));
	}
	return pace;
}

double sched_mix_speed(const gn_sched_t *sched, const sched_worker_t *worker,
		       const sched_mix_t *mix, const char *image,
		       uint32_t cpu_milli)
{
	double spare = get_spare(worker, cpu_milli);
	double share = spare * cpu_milli / worker->capacity.cpu_milli;
	double pace = 1;

	for (size_t i = 0; i < mix->serving_count && share > 0; i++) {
		const sched_mix_serving_t *serving = &mix->serving[i];
		double weight = gn_disturb_weight(sched->disturb,
						  serving->image, image);
		double left = serving->budget -
			      fmax(serving->added, serving->planned);

		if (weight >= LIGHT_WEIGHT)
			pace = fmin(pace, fmax(0, left / (weight * share)));
	}
	return fmax(spare * pace, SPEED_MIN);
}

double sched_mix_harm(const gn_sched_t *sched, const sched_worker_t *worker,
		      const sched_mix_t *mix, const char *image,
		      uint32_t cpu_milli)
{
	double share = get_spare(worker, cpu_milli) * cpu_milli /
		       worker->capacity.cpu_milli;
	double worst = 0;

	for (size_t i = 0; i < mix->serving_count; i++) {
		const sched_mix_serving_t *serving = &mix->serving[i];
		double bound =
			gn_disturb_bound(sched->disturb, serving->image, image);
		double growth = serving->planned + bound * share;

		worst = fmax(worst, growth / fmax(BUDGET_MIN, serving->budget));
	}
	return fmin(worst, SCHED_HARM_MAX);
}
