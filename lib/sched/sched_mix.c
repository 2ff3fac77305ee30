#include "sched/sched_mix.h"

#include <math.h>

/** Headroom that is kept: the target is over the tail by this factor. */
#define GOAL_HEADROOM 1.2
/** Share of the headroom beyond 1 that may be used up anyway. */
#define LEAST_BUDGET 0.25
/** Share of what is set aside for serving tasks that they use, as a guess. */
#define SERVING_USE 0.5
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
	const gn_headroom_t *alone = &task->job->units[task->unit].alone;

	if (!alone->read_us)
		return BUDGET_NEW;
	return fmax(0, fmax(alone->value - GOAL_HEADROOM,
			    LEAST_BUDGET * (alone->value - 1)));
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

/* A tail is that of the time between two lists. */
static double get_use(const sched_task_t *task)
{
	return (task->gauge_before + task->gauge) / 2.0;
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
			add_use(mix, task->image, get_use(task) / capacity);
	}
}

/* The headroom that what weighs up to @p most would use up at full pace. */
static double get_wished(const gn_sched_t *sched, const sched_mix_t *mix,
			 const sched_mix_serving_t *serving, double most)
{
	double wished = 0;

	for (size_t i = 0; i < mix->filling_count; i++) {
		double weight = gn_disturb_weight(
			sched->disturb, serving->image, mix->filling[i].image);

		if (weight <= most)
			wished += mix->filling[i].full_share * weight;
	}
	return wished;
}

void sched_mix_get(const sched_worker_t *worker, sched_mix_t *mix)
{
	mix->serving_count = 0;
	mix->filling_count = 0;
	mix->use_count = 0;
	mix->spare = get_spare(worker, 0);
	for (guint i = 0; i < worker->claims->len; i++)
		add_task(mix, worker, g_ptr_array_index(worker->claims, i));
}

void sched_mix_add(sched_mix_t *mix, const sched_worker_t *worker,
		   const char *image, uint32_t cpu_milli)
{
	add_filling(mix, image,
		    mix->spare * cpu_milli / worker->capacity.cpu_milli);
	mix->spare = get_spare(worker, 0);
}

/* ======   Paces   ====== */

/* The pace that is left to more of @p image, or to what there is of it. */
static double get_pace(const gn_sched_t *sched, const sched_mix_t *mix,
		       const sched_mix_serving_t *serving, const char *image,
		       double more)
{
	double weight =
		gn_disturb_weight(sched->disturb, serving->image, image);
	/* what weighs more gives way first */
	double wished = get_wished(sched, mix, serving, weight) + more * weight;
	double alike = more * weight;

	if (wished <= serving->budget)
		return 1;
	for (size_t i = 0; i < mix->filling_count; i++)
		if (mix->filling[i].image == image)
			alike += mix->filling[i].full_share * weight;
	return alike > 0 ? fmax(0, (serving->budget - wished + alike) / alike)
			 : 1;
}

double sched_mix_pace(const gn_sched_t *sched, const sched_mix_t *mix,
		      const char *image)
{
	double pace = 1;

	for (size_t i = 0; i < mix->serving_count; i++)
		pace = fmin(pace,
			    get_pace(sched, mix, &mix->serving[i], image, 0));
	return pace;
}

double sched_mix_speed(const gn_sched_t *sched, const sched_worker_t *worker,
		       const sched_mix_t *mix, const char *image,
		       uint32_t cpu_milli)
{
	double spare = get_spare(worker, cpu_milli);
	double share = spare * cpu_milli / worker->capacity.cpu_milli;
	double pace = 1;

	for (size_t i = 0; i < mix->serving_count && share > 0; i++)
		pace = fmin(pace, get_pace(sched, mix, &mix->serving[i], image,
					   share));
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
		double lost = get_wished(sched, mix, serving, INFINITY) +
			      bound * share;

		worst = fmax(worst, lost / fmax(BUDGET_MIN, serving->budget));
	}
	return fmin(worst, SCHED_HARM_MAX);
}
