#include "locality/locality.h"

#include <math.h>
#include <stdlib.h>

#include "gypsumnotch.h"

/** Standard deviation of a normal distribution by its mean deviation. */
#define DEVIATION_BY_MEAN 1.25
/** A run is a straggler beyond this many deviations of the usual time, and then
 * takes this multiple of it. */
#define STRAGGLER_DEVIATIONS 3.0
#define STRAGGLER_FACTOR 7.0
/** A near run must be better by this share of its time for a wait to begin. It
 * covers what storing the claim and listing the end add to the wait. */
#define MARGIN_SHARE 0.1
/** The same as a time: lists show an end up to this much later. */
#define MARGIN_MS 150.0
/** Deviations by which places may be late. The last task of a step holds up all
 * that follow, so it takes less risk. */
#define DEVIATIONS 0.25
#define LAST_DEVIATIONS 0.5
/** Deviations by which a run may be longer than usual and its job still has to be
 * in time. */
#define IN_TIME_DEVIATIONS 1.0
/** A wait may last for this multiple of the expected one. */
#define PATIENCE 1.5

gn_locality_time_t gn_locality_expect_end(double age_ms, double run_ms,
					  double spread)
{
	double deviation_ms = DEVIATION_BY_MEAN * spread * run_ms;
	double straggler_ms = STRAGGLER_FACTOR * run_ms - age_ms;

	if (age_ms < run_ms + STRAGGLER_DEVIATIONS * deviation_ms) {
		gn_locality_time_t end = { run_ms - age_ms, deviation_ms };

		/* One that is overdue ends soon, or is a straggler. The nearer
		 * the end, the less it can deviate. */
		end.ms = fmax(end.ms, deviation_ms / 2);
		end.deviation_ms = fmin(end.deviation_ms, end.ms);
		return end;
	}
	/* Beyond that, a run is expected to last about as long again. */
	straggler_ms = fmax(straggler_ms, age_ms);
	return (gn_locality_time_t){ straggler_ms, straggler_ms };
}

/* ======   Places   ====== */

static int compare_times(const gn_locality_time_t *a,
			 const gn_locality_time_t *b)
{
	if (a->ms != b->ms)
		return a->ms < b->ms ? -1 : 1;
	if (a->deviation_ms != b->deviation_ms)
		return a->deviation_ms < b->deviation_ms ? -1 : 1;
	return 0;
}

static int compare_places(const void *a, const void *b)
{
	return compare_times(a, b);
}

static int compare_runs(const void *a, const void *b)
{
	const gn_locality_run_t *first = a;
	const gn_locality_run_t *second = b;

	return compare_times(&first->end, &second->end);
}

static bool has_room(const gn_locality_worker_t *worker,
		     const gn_locality_need_t *need)
{
	return (!need->per_worker || worker->same_step < need->per_worker) &&
	       gn_resource_vector_fits(&worker->capacity, &worker->used,
				       &need->resources);
}

/* Takes the places that are free at @p time; returns their number. */
static size_t take_places(gn_locality_worker_t *worker,
			  const gn_locality_need_t *need,
			  gn_locality_time_t time, gn_locality_time_t *places,
			  size_t max)
{
	size_t count = 0;

	while (count < max && has_room(worker, need)) {
		gn_resource_vector_add(&worker->used, &need->resources);
		worker->same_step++;
		places[count++] = time;
	}
	return count;
}

size_t gn_locality_find_places(const gn_locality_worker_t *worker,
			       const gn_locality_need_t *need,
			       gn_locality_run_t *runs, size_t run_count,
			       gn_locality_time_t *places, size_t max)
{
	gn_locality_worker_t left = *worker;
	gn_locality_time_t now = { 0, 0 };
	size_t count = take_places(&left, need, now, places, max);

	if (run_count)
		qsort(runs, run_count, sizeof(*runs), compare_runs);
	for (size_t i = 0; i < run_count && count < max; i++) {
		gn_resource_vector_subtract(&left.used, &runs[i].resources);
		left.same_step -= runs[i].same_step && left.same_step;
		count += take_places(&left, need, runs[i].end, places + count,
				     max - count);
	}
	return count;
}

void gn_locality_sort_places(gn_locality_time_t *places, size_t count)
{
	if (count)
		qsort(places, count, sizeof(*places), compare_places);
}

/* ======   Queue   ====== */

/* Returns the index of the earliest place of a queue that has one. */
static size_t find_next(const gn_locality_queue_t *queue)
{
	size_t next = 0;

	for (size_t i = 1; i < queue->count; i++)
		if (queue->places[i].ms < queue->places[next].ms)
			next = i;
	return next;
}

void gn_locality_begin_queue(gn_locality_queue_t *queue,
			     gn_locality_time_t *places, size_t count,
			     size_t ahead, double run_ms, double spread)
{
	gn_locality_sort_places(places, count);
	queue->count =
		count < GN_LOCALITY_PLACES_MAX ? count : GN_LOCALITY_PLACES_MAX;
	if (ahead > GN_LOCALITY_AHEAD_MAX)
		queue->count = 0;
	for (size_t i = 0; i < queue->count; i++)
		queue->places[i] = places[i];
	queue->run_ms = run_ms;
	queue->spread = spread;
	for (size_t i = 0; i < ahead && queue->count; i++)
		gn_locality_take_place(queue);
}

const gn_locality_time_t *
gn_locality_next_place(const gn_locality_queue_t *queue)
{
	return queue->count ? &queue->places[find_next(queue)] : NULL;
}

void gn_locality_take_place(gn_locality_queue_t *queue)
{
	gn_locality_time_t *place;

	if (!queue->count)
		return;
	place = &queue->places[find_next(queue)];
	place->ms += queue->run_ms;
	place->deviation_ms +=
		DEVIATION_BY_MEAN * queue->spread * queue->run_ms;
}

/* ======   Decision   ====== */

/* Returns the longest wait after which the job is still in time, if its run takes
 * longer than usual by @p deviations. */
static double get_longest_wait_ms(const gn_locality_task_t *task,
				  double deviations)
{
	double excess = deviations * task->spread;
	double near_slack_ms = task->slack_ms - excess * task->near_ms;
	double far_slack_ms = task->slack_ms - (task->far_ms - task->near_ms) -
			      excess * task->far_ms;

	/* If a far start is late already, only a near one can be in time. */
	return far_slack_ms >= 0 ? far_slack_ms : near_slack_ms;
}

/* A wait in progress needs no caution: its end limits what it can lose, and it
 * would be given up for small changes. */
static double get_deviations(const gn_locality_task_t *task)
{
	if (task->until_us)
		return 0;
	return task->is_last ? LAST_DEVIATIONS : DEVIATIONS;
}

static gn_locality_decision_t place_far(gn_locality_decision_t decision,
					gn_locality_reason_t reason)
{
	decision.reason = reason;
	decision.until_us = 0;
	return decision;
}

gn_locality_decision_t gn_locality_decide(const gn_locality_task_t *task,
					  const gn_locality_time_t *place,
					  uint64_t now_us)
{
	double deviations = get_deviations(task);
	gn_locality_decision_t decision = { .reason = GN_LOCALITY_PAYS };
	double margin_ms;
	double longest_ms;

	if (task->until_us && now_us >= task->until_us)
		return place_far(decision, GN_LOCALITY_EXPIRED);
	if (task->near_ms <= 0)
		return place_far(decision, GN_LOCALITY_UNKNOWN_TIME);
	if (!place)
		return place_far(decision, GN_LOCALITY_NO_PLACE);
	decision.wait_ms = place->ms + deviations * place->deviation_ms;
	/* If the run time is shorter than expected, so is what it saves. */
	decision.gain_ms = (task->far_ms - task->near_ms) *
			   exp(-deviations * task->spread);
	margin_ms = task->until_us
			    ? 0
			    : fmax(MARGIN_MS, MARGIN_SHARE * task->near_ms);
	longest_ms = get_longest_wait_ms(
		task, task->until_us ? 0 : IN_TIME_DEVIATIONS);
	if (decision.wait_ms + margin_ms >= decision.gain_ms)
		return place_far(decision, GN_LOCALITY_NO_GAIN);
	if (decision.wait_ms > longest_ms)
		return place_far(decision, GN_LOCALITY_LATE);
	decision.until_us = task->until_us;
	if (!decision.until_us)
		decision.until_us =
			now_us +
			(uint64_t)(fmin(fmin(longest_ms, decision.gain_ms),
					PATIENCE * decision.wait_ms +
						MARGIN_MS) *
				   GN_US_PER_MS);
	return decision;
}

const char *gn_locality_reason_name(gn_locality_reason_t reason)
{
	static const char *const names[GN_LOCALITY_REASON_COUNT] = {
		[GN_LOCALITY_PAYS] = "a near run ends earlier",
		[GN_LOCALITY_UNKNOWN_TIME] = "its run time is unknown",
		[GN_LOCALITY_NO_PLACE] = "no near worker is to be free",
		[GN_LOCALITY_LATE] = "the job would be late",
		[GN_LOCALITY_NO_GAIN] = "a far run ends earlier",
		[GN_LOCALITY_EXPIRED] = "the wait has lasted long enough",
	};

	return names[reason];
}
