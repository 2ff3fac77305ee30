#include "sharing/sharing.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>

#include "gypsumnotch.h"

/** Minimum time between updates. */
#define UPDATE_US (200 * GN_US_PER_MS)
/** Minimum time between a change and one down or up, and the size of these.
 * Jobs in danger lose their slack within seconds, so the goal falls faster than
 * it rises. */
#define FALL_INTERVAL_US (1000 * GN_US_PER_MS)
#define FALL_STEP 0.1
#define RISE_INTERVAL_US (2000 * GN_US_PER_MS)
#define RISE_STEP 0.05
/** Smaller changes are not made. */
#define CHANGE_MIN 0.05
/** The goal rises if no job has been strained for this long, which is longer
 * than the 17 s that demand usually takes to rise and fall. */
#define CALM_US (20000 * GN_US_PER_MS)
/** Twice as long after each rise that a fall has undone, up to this. Otherwise,
 * the goal would go up and down about once in each period. */
#define CALM_MAX_US (8 * CALM_US)
/** Share of its slack from which a job is strained or endangered. */
#define STRAINED_LOSS 0.3
#define ENDANGERED_LOSS 0.6
/** Share of the best-effort work in such jobs that changes the goal, and share
 * of the serving tasks that may be over their targets, which apply to the 95th
 * percentile. */
#define TOLERANCE 0.05
/** Below this share over their targets, the goal may fall. In the model of
 * test_headroom, a step of 0.1 adds up to 0.03 under overload, and the sum must
 * not exceed TOLERANCE. */
#define OVER_TO_FALL 0.025
/** Time constants of the smoothed shares. */
#define ENDANGERED_US (1000 * GN_US_PER_MS)
#define OVER_US (10000 * GN_US_PER_MS)
/** A tail latency that grows by this factor from one list to the next is taken
 * as a wrong reading. */
#define JUMP_FACTOR 10
/** With more serving tasks than this unknown, the goal does not fall: the known
 * ones are no fair sample. */
#define UNKNOWN_MAX 0.25
/** With less of the usable CPU free, less headroom would not help. */
#define FREE_MIN 0.05

void gn_sharing_init(gn_sharing_t *sharing)
{
	*sharing = (gn_sharing_t){ .goal = GN_SHARING_INITIAL,
				   .calm_us = CALM_US,
				   /* How serving tasks do is not known. */
				   .view.over = TOLERANCE };
}

/* ======   Jobs   ====== */

static int compare_jobs(const void *a, const void *b)
{
	const gn_sharing_job_t *first = a;
	const gn_sharing_job_t *second = b;

	return (first->left_ms > second->left_ms) -
	       (first->left_ms < second->left_ms);
}

static bool can_be_in_time(const gn_sharing_job_t *job)
{
	return job->left_ms > 0 && (uint64_t)job->left_ms >= job->chain_ms;
}

/* Returns the share of its slack that a job loses if it ends after the work
 * ahead of it and its own are done at @p rate. */
static double get_slack_loss(const gn_sharing_job_t *job, double work,
			     double rate)
{
	double needed_ms = fmax((double)job->chain_ms, work / fmax(rate, 1));
	double left_ms = (double)job->left_ms - needed_ms;

	if (!job->slack_ms)
		return left_ms < 0 ? 1 : 0;
	return 1 - left_ms / (double)job->slack_ms;
}

/* While tasks wait, the rate of finished work lags behind by seconds; what runs
 * now bounds it. */
static double get_rate(const gn_sharing_input_t *input, bool is_short)
{
	return is_short ? fmin(input->rate_milli, input->running_milli)
			: input->rate_milli;
}

static void assess_jobs(gn_sharing_view_t *view,
			const gn_sharing_input_t *input, double weight)
{
	double ahead = 0;
	double endangered = 0;
	double strained = 0;
	bool is_short = false;
	double rate;

	for (size_t i = 0; i < input->job_count; i++)
		is_short |=
			input->jobs[i].waits && can_be_in_time(&input->jobs[i]);
	rate = get_rate(input, is_short);
	if (input->job_count)
		qsort(input->jobs, input->job_count, sizeof(*input->jobs),
		      compare_jobs);
	for (size_t i = 0; i < input->job_count; i++) {
		const gn_sharing_job_t *job = &input->jobs[i];
		double loss;

		/* Late jobs come after all others. */
		if (!can_be_in_time(job))
			continue;
		ahead += job->work;
		if (!job->waits)
			continue;
		loss = get_slack_loss(job, ahead, rate);
		endangered += loss > ENDANGERED_LOSS ? job->work : 0;
		strained += loss > STRAINED_LOSS ? job->work : 0;
	}
	view->strained = ahead > 0 ? strained / ahead : 0;
	endangered = ahead > 0 ? endangered / ahead : 0;
	view->endangered += weight * (endangered - view->endangered);
}

/* ======   Serving tasks   ====== */

/* A list without a tail latency, or with one far from the last, tells nothing
 * until the next list confirms it. */
static bool is_known(const gn_sharing_serving_t *task)
{
	return task->fresh && task->tail_ms > 0 &&
	       (task->previous_tail_ms <= 0 ||
		task->tail_ms < JUMP_FACTOR * task->previous_tail_ms);
}

/* Best-effort tasks are not the cause if none run beside it. */
static bool is_over(const gn_sharing_serving_t *task)
{
	return task->shared && task->tail_ms > task->target_ms;
}

static void assess_serving(gn_sharing_view_t *view,
			   const gn_sharing_input_t *input, double weight)
{
	size_t known = 0;
	size_t over = 0;

	for (size_t i = 0; i < input->serving_count; i++) {
		const gn_sharing_serving_t *task = &input->serving[i];

		if (!is_known(task))
			continue;
		known++;
		over += is_over(task);
	}
	view->unknown = input->serving_count
				? 1 - (double)known / input->serving_count
				: 0;
	if (known)
		view->over += weight * ((double)over / known - view->over);
}

/* ======   Decision   ====== */

static double get_weight(uint64_t passed_us, uint64_t constant_us)
{
	return 1 - exp(-(double)passed_us / (double)constant_us);
}

static void assess(gn_sharing_t *sharing, const gn_sharing_input_t *input,
		   uint64_t now_us)
{
	uint64_t passed_us = now_us - sharing->updated_us;
	gn_sharing_view_t *view = &sharing->view;

	assess_jobs(view, input, get_weight(passed_us, ENDANGERED_US));
	assess_serving(view, input, get_weight(passed_us, OVER_US));
	view->free = input->usable_milli > 0
			     ? 1 - input->running_milli / input->usable_milli
			     : 0;
	if (view->strained > TOLERANCE)
		sharing->strained_us = now_us;
}

static bool may_fall(const gn_sharing_view_t *view)
{
	return view->over < OVER_TO_FALL && view->unknown <= UNKNOWN_MAX &&
	       view->free > FREE_MIN;
}

/* Returns the wanted change of the goal, and why. */
static double get_change(const gn_sharing_t *sharing, uint64_t now_us,
			 const char **reason)
{
	const gn_sharing_view_t *view = &sharing->view;
	uint64_t passed_us = now_us - sharing->changed_us;

	if (view->endangered > TOLERANCE && may_fall(view)) {
		*reason = "jobs would miss their deadlines";
		return passed_us >= FALL_INTERVAL_US ? -FALL_STEP : 0;
	}
	if (passed_us < RISE_INTERVAL_US)
		return 0;
	if (view->over > TOLERANCE && sharing->goal < GN_SHARING_INITIAL) {
		*reason = "serving tasks are over their targets";
		return RISE_STEP;
	}
	if (now_us - sharing->strained_us >= sharing->calm_us) {
		*reason = "waiting jobs are in time";
		return RISE_STEP;
	}
	return 0;
}

/* Adapts the time to wait before the next rise. */
static void update_calm(gn_sharing_t *sharing, double change)
{
	if (change < 0 && sharing->rising)
		sharing->calm_us = MIN(2 * sharing->calm_us, CALM_MAX_US);
	sharing->rising = change > 0;
}

bool gn_sharing_is_due(const gn_sharing_t *sharing, uint64_t now_us)
{
	return !sharing->updated_us ||
	       now_us - sharing->updated_us >= UPDATE_US;
}

bool gn_sharing_update(gn_sharing_t *sharing, const gn_sharing_input_t *input,
		       uint64_t now_us)
{
	const char *reason = NULL;
	double change;
	double goal;

	if (!input->rate_known || !gn_sharing_is_due(sharing, now_us))
		return false;
	if (!sharing->updated_us) {
		sharing->updated_us = now_us;
		sharing->strained_us = now_us;
	}
	assess(sharing, input, now_us);
	/* The load has changed if the highest goal has lasted. */
	if (sharing->goal >= GN_SHARING_MAX &&
	    now_us - sharing->changed_us >= sharing->calm_us)
		sharing->calm_us = CALM_US;
	sharing->updated_us = now_us;
	goal = sharing->goal + get_change(sharing, now_us, &reason);
	goal = fmin(GN_SHARING_MAX, fmax(GN_SHARING_MIN, goal));
	/* Steps are not exact in binary, so that the last one to a bound may
	 * seem to be smaller. */
	if (fabs(goal - sharing->goal) < CHANGE_MIN - 1e-6)
		return false;
	change = goal - sharing->goal;
	sharing->goal = goal;
	update_calm(sharing, change);
	sharing->reason = reason;
	sharing->changed_us = now_us;
	return true;
}
