/*
 * The decision on waiting for near workers: plays tasks with data on a rack and
 * gangs on a simulated fleet, with never waiting and a fixed delay as baselines,
 * and checks the scheduler's use of it.
 */
#include <glib.h>
#include <math.h>
#include <string.h>

#include "gypsumnotch.h"
#include "locality/locality.h"
#include "support/sched_rig.h"

/* ======   Model   ====== */

#define RACKS 5
#define RACK_WORKERS 4
#define WORKERS (RACKS * RACK_WORKERS)
#define GANG_MEMBERS 3
#define STEP_MS 50
#define LOAD_MS 40000
#define SEEDS 100
#define USUAL_MS 2000
#define FAR_FACTOR 2.0
/** Run times differ by up to this share of the usual one. */
#define RANGE 0.2
/** What lib/estimate learns as the spread of such runs with stragglers. */
#define SPREAD 0.12
#define STRAGGLER_SHARE 0.03
#define STRAGGLER_FACTOR 7
#define FIXED_DELAY_MS 1000
/** Share of the tasks that waits may make late: a wait whose run does not end may
 * leave too little time for a far run that takes longer than usual. */
#define LATE_BY_WAITS_MAX 0.01
/** Objective of a job, as for a queue with a stretch of 2. */
#define OBJECTIVE_MS (2 * USUAL_MS + 1000)

typedef enum policy_e { NEVER, FIXED_DELAY, DECISION, POLICY_COUNT } policy_t;

/** What is played. */
typedef struct scene_s {
	double tasks_per_s;
	double hot_share; /**< Share of tasks with data on rack 0. */
	/** Usual time of the runs on rack 0 at the beginning; 0 for none. */
	double busy_ms;
	double slowness; /**< Of the workers of rack 0; 0 stands for 1. */
	bool gangs; /**< Gangs that fit into any rack, instead of tasks. */
	double gone_ms; /**< Time at which rack 0 is gone; 0 if never. */
	bool is_gone; /**< Rack 0 is gone from the beginning. */
	/** One worker of each rack is free. The runs on rack 0 end soon, those
	 * on the others do not. */
	bool is_full;
} scene_t;

typedef struct play_task_s {
	double submitted_ms;
	double real; /**< Real run time by the usual one. */
	unsigned rack;
	bool started;
	double wait_since_ms; /**< Below 0 without a wait. */
	uint64_t until_us;
} play_task_t;

typedef struct play_worker_s {
	double started_ms;
	double usual_ms; /**< Usual time of its run; 0 without one. */
	double end_ms;
	double slowness;
	bool usable;
} play_worker_t;

typedef struct play_s {
	const scene_t *scene;
	policy_t policy;
	GRand *rand;
	GArray *tasks; /**< Of play_task_t. */
	guint first; /**< All tasks before it have started. */
	play_worker_t workers[WORKERS];
	double now_ms;
	unsigned waits;
	double sum_ms; /**< Of callers' times. */
	unsigned in_time;
	double late_wait_ms; /**< Longest wait for a rack that is gone. */
} play_t;

/** What callers get. */
typedef struct outcome_s {
	double mean_ms;
	double in_time; /**< Share of the tasks. */
	unsigned waits;
	double late_wait_ms;
} outcome_t;

static unsigned get_rack(unsigned worker)
{
	return worker / RACK_WORKERS;
}

static bool is_free(const play_t *play, unsigned at)
{
	return play->workers[at].usable && !play->workers[at].usual_ms;
}

static double draw_real(GRand *rand)
{
	double real = g_rand_double_range(rand, 1 - RANGE, 1 + RANGE);

	return g_rand_double(rand) < STRAGGLER_SHARE ? real * STRAGGLER_FACTOR
						     : real;
}

static void submit(play_t *play)
{
	bool is_hot = g_rand_double(play->rand) < play->scene->hot_share;
	play_task_t task = { .submitted_ms = play->now_ms,
			     .real = draw_real(play->rand),
			     .wait_since_ms = -1 };

	if (!is_hot)
		task.rack = (unsigned)g_rand_int_range(play->rand, 1, RACKS);
	g_array_append_val(play->tasks, task);
}

static void start_on(play_t *play, const play_task_t *task, unsigned at,
		     double factor)
{
	play_worker_t *worker = &play->workers[at];

	worker->started_ms = play->now_ms;
	worker->usual_ms = USUAL_MS * factor;
	worker->end_ms = play->now_ms + worker->usual_ms * task->real;
}

static void start(play_t *play, play_task_t *task, const unsigned *chosen,
		  unsigned members, bool is_near)
{
	double took_ms = 0;

	for (unsigned i = 0; i < members; i++) {
		double factor = (is_near ? 1 : FAR_FACTOR) *
				play->workers[chosen[i]].slowness;

		start_on(play, task, chosen[i], factor);
		took_ms = fmax(took_ms, USUAL_MS * factor * task->real);
	}
	task->started = true;
	took_ms += play->now_ms - task->submitted_ms;
	play->sum_ms += took_ms;
	play->in_time += took_ms <= OBJECTIVE_MS;
}

/* Appends the places on the worker that is to be waited for. */
static void add_places(const play_t *play, unsigned at, GArray *places)
{
	const play_worker_t *worker = &play->workers[at];
	const gn_resource_vector_t one = { 1, 1, 0 };
	const gn_locality_worker_t input = {
		.capacity = one,
		.used = worker->usual_ms ? one : (gn_resource_vector_t){ 0 }
	};
	const gn_locality_need_t need = { .resources = one };
	gn_locality_run_t run = { .resources = one,
				  .end = gn_locality_expect_end(
					  play->now_ms - worker->started_ms,
					  worker->usual_ms, SPREAD) };
	gn_locality_time_t place;

	if (!worker->usable || worker->slowness >= GN_LOCALITY_SLOW_FACTOR)
		return;
	if (gn_locality_find_places(&input, &need, &run, worker->usual_ms > 0,
				    &place, 1))
		g_array_append_val(places, place);
}

static GArray *get_places(const play_t *play, unsigned rack)
{
	GArray *places = g_array_new(FALSE, FALSE, sizeof(gn_locality_time_t));

	for (unsigned i = 0; i < WORKERS; i++)
		if (get_rack(i) == rack)
			add_places(play, i, places);
	gn_locality_sort_places((gn_locality_time_t *)(void *)places->data,
				places->len);
	return places;
}

/* Sets the place of a task after those ahead that wait for its rack. */
static bool get_task_place(const play_t *play, const play_task_t *task,
			   gn_locality_time_t *place)
{
	GArray *places = get_places(play, task->rack);
	gn_locality_queue_t queue;
	const gn_locality_time_t *next;
	size_t ahead = 0;

	for (guint i = play->first; i < play->tasks->len; i++) {
		const play_task_t *other =
			&g_array_index(play->tasks, play_task_t, i);

		if (other == task)
			break;
		ahead += !other->started && other->rack == task->rack;
	}
	gn_locality_begin_queue(&queue,
				(gn_locality_time_t *)(void *)places->data,
				places->len, ahead, USUAL_MS, SPREAD);
	g_array_unref(places);
	next = gn_locality_next_place(&queue);
	if (next)
		*place = *next;
	return next != NULL;
}

static bool get_gang_place(const play_t *play, gn_locality_time_t *place)
{
	bool found = false;

	for (unsigned rack = 0; rack < RACKS; rack++) {
		GArray *places = get_places(play, rack);

		if (places->len >= GANG_MEMBERS) {
			const gn_locality_time_t *last = &g_array_index(
				places, gn_locality_time_t, GANG_MEMBERS - 1);

			if (!found || last->ms < place->ms)
				*place = *last;
			found = true;
		}
		g_array_unref(places);
	}
	return found;
}

static bool decide(const play_t *play, play_task_t *task)
{
	gn_locality_time_t place;
	bool has_place = play->scene->gangs
				 ? get_gang_place(play, &place)
				 : get_task_place(play, task, &place);
	const gn_locality_task_t input = { .near_ms = USUAL_MS,
					   .far_ms = USUAL_MS * FAR_FACTOR,
					   .spread = SPREAD,
					   .slack_ms = task->submitted_ms +
						       OBJECTIVE_MS -
						       play->now_ms - USUAL_MS,
					   .is_last = true,
					   .until_us = task->until_us };
	const gn_locality_decision_t decision =
		gn_locality_decide(&input, has_place ? &place : NULL,
				   (uint64_t)(play->now_ms * GN_US_PER_MS));

	if (decision.reason == GN_LOCALITY_PAYS)
		task->until_us = decision.until_us;
	return decision.reason == GN_LOCALITY_PAYS;
}

static bool waits(play_t *play, play_task_t *task)
{
	double waited_ms = task->wait_since_ms < 0
				   ? 0
				   : play->now_ms - task->wait_since_ms;
	bool result = false;

	if (play->policy == FIXED_DELAY)
		result = waited_ms < FIXED_DELAY_MS;
	else if (play->policy == DECISION)
		result = decide(play, task);
	if (result && task->wait_since_ms < 0) {
		task->wait_since_ms = play->now_ms;
		play->waits++;
	}
	if (result && play->scene->gone_ms && task->rack == 0 &&
	    play->now_ms >= play->scene->gone_ms)
		play->late_wait_ms = fmax(play->late_wait_ms,
					  play->now_ms - play->scene->gone_ms);
	return result;
}

/* Chooses the free workers with the shortest run time; returns their number. */
static unsigned choose(const play_t *play, int rack, unsigned members,
		       unsigned *chosen)
{
	unsigned count = 0;

	for (unsigned i = 0; i < WORKERS && count < members; i++)
		if (is_free(play, i) &&
		    (rack < 0 || get_rack(i) == (unsigned)rack))
			chosen[count++] = i;
	return count;
}

static void place_gang(play_t *play, play_task_t *task)
{
	unsigned chosen[GANG_MEMBERS];

	for (int rack = 0; rack < RACKS; rack++)
		if (choose(play, rack, GANG_MEMBERS, chosen) == GANG_MEMBERS) {
			start(play, task, chosen, GANG_MEMBERS, true);
			return;
		}
	if (choose(play, -1, GANG_MEMBERS, chosen) == GANG_MEMBERS &&
	    !waits(play, task))
		start(play, task, chosen, GANG_MEMBERS, false);
}

static void place_task(play_t *play, play_task_t *task)
{
	unsigned near;
	unsigned far;
	bool has_near = choose(play, (int)task->rack, 1, &near);
	bool has_far = false;

	for (unsigned i = 0; i < WORKERS && !has_far; i++)
		if (is_free(play, i) && get_rack(i) != task->rack) {
			far = i;
			has_far = true;
		}
	if (has_near &&
	    (!has_far || play->workers[near].slowness <= FAR_FACTOR))
		start(play, task, &near, 1, true);
	else if (has_far && (has_near || !waits(play, task)))
		start(play, task, &far, 1, false);
}

static void place_all(play_t *play)
{
	for (guint i = play->first; i < play->tasks->len; i++) {
		play_task_t *task = &g_array_index(play->tasks, play_task_t, i);

		if (task->started)
			continue;
		if (play->scene->gangs)
			place_gang(play, task);
		else
			place_task(play, task);
	}
	while (play->first < play->tasks->len &&
	       g_array_index(play->tasks, play_task_t, play->first).started)
		play->first++;
}

static void end_runs(play_t *play)
{
	for (unsigned i = 0; i < WORKERS; i++) {
		play_worker_t *worker = &play->workers[i];

		if (worker->usual_ms && worker->end_ms <= play->now_ms)
			worker->usual_ms = 0;
		if (play->scene->gone_ms &&
		    play->now_ms >= play->scene->gone_ms && !get_rack(i))
			worker->usable = false;
	}
}

/* Leaves the first worker of each rack free. */
static void fill_racks(play_t *play)
{
	for (unsigned i = 0; i < WORKERS; i++) {
		play_worker_t *worker = &play->workers[i];

		if (i % RACK_WORKERS == 0)
			continue;
		worker->usual_ms = get_rack(i) ? 10 * LOAD_MS : USUAL_MS;
		worker->started_ms = -g_rand_double_range(
			play->rand, 0.8 * USUAL_MS, 0.95 * USUAL_MS);
		worker->end_ms = worker->started_ms +
				 worker->usual_ms * draw_real(play->rand);
	}
}

static void open_play(play_t *play)
{
	for (unsigned i = 0; i < WORKERS; i++) {
		play_worker_t *worker = &play->workers[i];
		bool is_hot = get_rack(i) == 0;

		worker->usable = !is_hot || !play->scene->is_gone;
		worker->slowness = is_hot && play->scene->slowness
					   ? play->scene->slowness
					   : 1;
		if (!is_hot || !play->scene->busy_ms)
			continue;
		worker->usual_ms = play->scene->busy_ms;
		worker->started_ms = -g_rand_double_range(
			play->rand, 0, play->scene->busy_ms / 2);
		worker->end_ms = worker->started_ms +
				 worker->usual_ms * draw_real(play->rand);
	}
}

static void run_play(play_t *play)
{
	double next_ms = 0;

	open_play(play);
	if (play->scene->is_full)
		fill_racks(play);
	while (play->now_ms < LOAD_MS || play->first < play->tasks->len) {
		end_runs(play);
		while (play->now_ms < LOAD_MS && next_ms <= play->now_ms) {
			submit(play);
			next_ms -= log(1 - g_rand_double(play->rand)) * 1000 /
				   play->scene->tasks_per_s;
		}
		place_all(play);
		play->now_ms += STEP_MS;
		g_assert_cmpfloat(play->now_ms, <, 20 * LOAD_MS);
	}
}

static outcome_t play_scene(const scene_t *scene, policy_t policy)
{
	outcome_t outcome = { 0 };
	double sum_ms = 0;
	unsigned in_time = 0;
	unsigned tasks = 0;

	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		play_t play = { .scene = scene,
				.policy = policy,
				.rand = g_rand_new_with_seed(seed),
				.tasks = g_array_new(FALSE, FALSE,
						     sizeof(play_task_t)) };

		run_play(&play);
		sum_ms += play.sum_ms;
		in_time += play.in_time;
		tasks += play.tasks->len;
		outcome.waits += play.waits;
		outcome.late_wait_ms =
			fmax(outcome.late_wait_ms, play.late_wait_ms);
		g_array_unref(play.tasks);
		g_rand_free(play.rand);
	}
	outcome.mean_ms = sum_ms / tasks;
	outcome.in_time = (double)in_time / tasks;
	return outcome;
}

static void play_all(const scene_t *scene, outcome_t *outcomes)
{
	static const char *const names[POLICY_COUNT] = { "never", "fixed",
							 "decision" };

	for (int i = 0; i < POLICY_COUNT; i++) {
		outcomes[i] = play_scene(scene, (policy_t)i);
		g_test_message("%s: mean %.0f ms, in time %.3f, %u waits",
			       names[i], outcomes[i].mean_ms,
			       outcomes[i].in_time, outcomes[i].waits);
	}
}

static void assert_few_late(const outcome_t *got)
{
	g_assert_cmpfloat(got[DECISION].in_time, >=,
			  got[NEVER].in_time - LATE_BY_WAITS_MAX);
	g_assert_cmpfloat(got[DECISION].in_time, >=, got[FIXED_DELAY].in_time);
}

/* ======   Scenes   ====== */

/* Guards against far starts while a near worker is about to be free. */
static void test_near_workers_busy_for_a_moment(void)
{
	const scene_t scene = { .tasks_per_s = 1.4, .hot_share = 1 };
	outcome_t got[POLICY_COUNT];

	play_all(&scene, got);
	g_assert_cmpfloat(got[DECISION].mean_ms, <, 0.99 * got[NEVER].mean_ms);
	g_assert_cmpfloat(got[DECISION].mean_ms, <, got[FIXED_DELAY].mean_ms);
	assert_few_late(got);
}

/* Guards against waits behind runs that last. */
static void test_near_workers_busy_for_long(void)
{
	const scene_t scene = { .tasks_per_s = 1,
				.hot_share = 1,
				.busy_ms = 10 * LOAD_MS };
	outcome_t got[POLICY_COUNT];

	play_all(&scene, got);
	g_assert_cmpuint(got[DECISION].waits, ==, 0);
	g_assert_cmpfloat(got[DECISION].mean_ms, ==, got[NEVER].mean_ms);
	g_assert_cmpfloat(got[DECISION].mean_ms, <, got[FIXED_DELAY].mean_ms);
}

/* Guards against waits for workers that take no tasks any more. */
static void test_near_workers_gone(void)
{
	const scene_t scene = { .tasks_per_s = 1,
				.hot_share = 1,
				.is_gone = true };
	outcome_t got[POLICY_COUNT];

	play_all(&scene, got);
	g_assert_cmpuint(got[DECISION].waits, ==, 0);
	g_assert_cmpfloat(got[DECISION].mean_ms, <, got[FIXED_DELAY].mean_ms);
}

/* Guards against waits for workers that are slower than a far run. */
static void test_near_workers_slow(void)
{
	const scene_t scene = { .tasks_per_s = 1,
				.hot_share = 1,
				.busy_ms = USUAL_MS,
				.slowness = 4 };
	outcome_t got[POLICY_COUNT];

	play_all(&scene, got);
	g_assert_cmpuint(got[DECISION].waits, ==, 0);
	g_assert_cmpfloat(got[DECISION].mean_ms, <=, got[FIXED_DELAY].mean_ms);
}

/* Guards against a queue before a rack that is wanted by more tasks than it can
 * run, while others are idle. */
static void test_hot_rack(void)
{
	const scene_t scene = { .tasks_per_s = 5, .hot_share = 0.8 };
	outcome_t got[POLICY_COUNT];

	play_all(&scene, got);
	g_assert_cmpfloat(got[DECISION].mean_ms, <, 0.95 * got[NEVER].mean_ms);
	g_assert_cmpfloat(got[DECISION].mean_ms, <, got[FIXED_DELAY].mean_ms);
	g_assert_cmpfloat(got[DECISION].in_time, >, got[NEVER].in_time);
	g_assert_cmpfloat(got[DECISION].in_time, >, got[FIXED_DELAY].in_time);
}

/* Guards against gangs that are spread over racks shortly before one of them has
 * room for all members. */
static void test_gangs(void)
{
	const scene_t scene = { .tasks_per_s = 1.2, .gangs = true };
	outcome_t got[POLICY_COUNT];

	play_all(&scene, got);
	g_assert_cmpfloat(got[DECISION].mean_ms, <, got[NEVER].mean_ms);
	g_assert_cmpfloat(got[DECISION].mean_ms, <,
			  1.01 * got[FIXED_DELAY].mean_ms);
	assert_few_late(got);
}

/* One gang that fits into a rack only after two ends there, while the free
 * workers of all racks together are enough for it. */
static void test_gang_that_fits_after_two_ends(void)
{
	const scene_t scene = { .tasks_per_s = 0.001,
				.gangs = true,
				.is_full = true };
	outcome_t got[POLICY_COUNT];

	play_all(&scene, got);
	g_assert_cmpfloat(got[DECISION].mean_ms, <, 0.9 * got[NEVER].mean_ms);
	/* The delay happens to be what it takes. */
	g_assert_cmpfloat(got[DECISION].mean_ms, <,
			  1.1 * got[FIXED_DELAY].mean_ms);
	assert_few_late(got);
}

/* Guards against tasks that go on waiting for a rack that was evacuated. */
static void test_rack_evacuated_while_tasks_wait(void)
{
	const scene_t scene = { .tasks_per_s = 1.6,
				.hot_share = 1,
				.gone_ms = LOAD_MS / 2.0 };
	outcome_t got[POLICY_COUNT];

	play_all(&scene, got);
	g_assert_cmpuint(got[DECISION].waits, >, 0);
	g_assert_cmpfloat(got[DECISION].late_wait_ms, <=, 0);
	g_assert_cmpfloat(got[FIXED_DELAY].late_wait_ms, >, 0);
	g_assert_cmpfloat(got[DECISION].mean_ms, <=, got[NEVER].mean_ms);
	g_assert_cmpfloat(got[DECISION].mean_ms, <, got[FIXED_DELAY].mean_ms);
}

/* ======   Single decisions   ====== */

#define NOW_US (1000 * GN_US_PER_S)

/* A task that saves 2000 ms near and has slack for 1000 ms beyond a far run. */
static gn_locality_task_t make_task(void)
{
	return (gn_locality_task_t){
		.near_ms = 2000, .far_ms = 4000, .spread = 0.1, .slack_ms = 3000
	};
}

static gn_locality_reason_t decide_at(const gn_locality_task_t *task,
				      double place_ms, uint64_t now_us)
{
	const gn_locality_time_t place = { place_ms, 50 };

	return gn_locality_decide(task, &place, now_us).reason;
}

static void test_reasons(void)
{
	gn_locality_task_t task = make_task();
	gn_locality_decision_t decision;

	g_assert_cmpint(decide_at(&task, 300, NOW_US), ==, GN_LOCALITY_PAYS);
	g_assert_cmpint(decide_at(&task, 1900, NOW_US), ==,
			GN_LOCALITY_NO_GAIN);
	/* A far start after the wait would be late. */
	g_assert_cmpint(decide_at(&task, 1100, NOW_US), ==, GN_LOCALITY_LATE);
	decision = gn_locality_decide(&task, NULL, NOW_US);
	g_assert_cmpint(decision.reason, ==, GN_LOCALITY_NO_PLACE);
	/* A far start is late already, but a near one after the wait is not. */
	task.slack_ms = 1500;
	g_assert_cmpint(decide_at(&task, 1100, NOW_US), ==, GN_LOCALITY_PAYS);
	g_assert_cmpint(decide_at(&task, 1500, NOW_US), ==, GN_LOCALITY_LATE);
	task.slack_ms = -1;
	g_assert_cmpint(decide_at(&task, 10, NOW_US), ==, GN_LOCALITY_LATE);
	task = make_task();
	task.near_ms = 0;
	g_assert_cmpint(decide_at(&task, 10, NOW_US), ==,
			GN_LOCALITY_UNKNOWN_TIME);
}

/* Guards against a wait that is renewed for ever, or that goes on when it no
 * longer pays. */
static void test_wait_has_an_end(void)
{
	gn_locality_task_t task = make_task();
	const gn_locality_time_t place = { 300, 50 };
	gn_locality_decision_t decision =
		gn_locality_decide(&task, &place, NOW_US);

	g_assert_cmpuint(decision.until_us, >, NOW_US + 300 * GN_US_PER_MS);
	g_assert_cmpuint(decision.until_us, <=, NOW_US + 1000 * GN_US_PER_MS);
	task.until_us = decision.until_us;
	decision = gn_locality_decide(&task, &place, NOW_US + 1000);
	g_assert_cmpuint(decision.until_us, ==, task.until_us);
	g_assert_cmpint(decide_at(&task, 2100, NOW_US + 1000), ==,
			GN_LOCALITY_NO_GAIN);
	g_assert_cmpint(decide_at(&task, 1500, NOW_US + 1000), ==,
			GN_LOCALITY_LATE);
	g_assert_cmpint(decide_at(&task, 300, task.until_us), ==,
			GN_LOCALITY_EXPIRED);
}

/* Guards against a wait on a guess: a run time that is not known well saves less
 * for sure, and the last task of a step takes less risk. */
static void test_uncertainty_shortens_waits(void)
{
	gn_locality_task_t task = make_task();
	const gn_locality_time_t place = { 1000, 900 };
	gn_locality_decision_t sure;
	gn_locality_decision_t unsure;

	task.slack_ms = 10000;
	sure = gn_locality_decide(&task, &place, NOW_US);
	task.spread = 0.4;
	unsure = gn_locality_decide(&task, &place, NOW_US);
	g_assert_cmpfloat(unsure.gain_ms, <, sure.gain_ms);
	g_assert_cmpint(sure.reason, ==, GN_LOCALITY_PAYS);
	task.is_last = true;
	unsure = gn_locality_decide(&task, &place, NOW_US);
	g_assert_cmpfloat(unsure.wait_ms, >, sure.wait_ms);
	g_assert_cmpint(unsure.reason, ==, GN_LOCALITY_NO_GAIN);
}

/* Guards against a straggler that is expected to end at any moment. */
static void test_straggler_is_not_awaited(void)
{
	g_assert_cmpfloat(gn_locality_expect_end(1900, 2000, 0.1).ms, <, 300);
	g_assert_cmpfloat(gn_locality_expect_end(2100, 2000, 0.1).ms, <, 300);
	g_assert_cmpfloat(gn_locality_expect_end(4000, 2000, 0.1).ms, >, 5000);
	g_assert_cmpfloat(gn_locality_expect_end(20000, 2000, 0.1).ms, >, 5000);
}

/* Guards against places that the size of the task, or the limit of its step per
 * worker, does not allow. */
static void test_places(void)
{
	const gn_locality_worker_t worker = { .capacity = { 4, 100, 0 },
					      .used = { 4, 3, 0 },
					      .same_step = 2 };
	gn_locality_need_t need = { .resources = { 2, 1, 0 } };
	gn_locality_run_t runs[] = {
		{ .resources = { 2, 1, 0 }, .end = { 900, 0 } },
		{ .resources = { 1, 1, 0 },
		  .end = { 100, 0 },
		  .same_step = true },
		{ .resources = { 1, 1, 0 },
		  .end = { 500, 0 },
		  .same_step = true },
	};
	gn_locality_time_t places[4];

	g_assert_cmpuint(
		gn_locality_find_places(&worker, &need, runs, 3, places, 4), ==,
		2);
	g_assert_cmpfloat(places[0].ms, ==, 500);
	g_assert_cmpfloat(places[1].ms, ==, 900);
	need.resources.cpu_milli = 1;
	need.per_worker = 1;
	g_assert_cmpuint(
		gn_locality_find_places(&worker, &need, runs, 3, places, 4), ==,
		1);
	g_assert_cmpfloat(places[0].ms, ==, 500);
}

/* Guards against waits that ignore the tasks ahead. */
static void test_queue_counts_tasks_ahead(void)
{
	gn_locality_time_t places[] = { { 1000, 10 }, { 100, 10 } };
	gn_locality_queue_t queue;

	gn_locality_begin_queue(&queue, places, 2, 0, 2000, 0.1);
	g_assert_cmpfloat(gn_locality_next_place(&queue)->ms, ==, 100);
	gn_locality_take_place(&queue);
	g_assert_cmpfloat(gn_locality_next_place(&queue)->ms, ==, 1000);
	gn_locality_begin_queue(&queue, places, 2, 2, 2000, 0.1);
	g_assert_cmpfloat(gn_locality_next_place(&queue)->ms, ==, 2100);
	g_assert_cmpfloat(gn_locality_next_place(&queue)->deviation_ms, >, 10);
	gn_locality_begin_queue(&queue, places, 2, 100000, 2000, 0.1);
	g_assert_null(gn_locality_next_place(&queue));
}

/* ======   In the scheduler   ====== */

#define RUN_MS 2000
#define BLOCKER "00000000000000b1"
#define OTHER_BLOCKER "00000000000000b2"
#define NEAR_JOB "00000000000000c1"
#define SECOND_JOB "00000000000000d1"
#define NEAR_TASK NEAR_JOB ".0.0.0"

static const rig_step_t whole_worker = {
	.count = 1, .cpu_milli = 4000, .estimate_ms = RUN_MS, .image = "i"
};

static void advance_with_run(sched_rig_t *rig, const char *host,
			     const char *task, unsigned ms)
{
	for (unsigned passed = 0; passed < ms; passed += 100) {
		rig_advance_ms(rig, 100);
		rig_report_run(rig, host, "1", task, 1);
	}
}

/* Opens the fixture with learned run times and the workers "a" on rack r1 and
 * "b" on rack r2; "b" has not reported yet. */
static void open_with_learned_times(sched_rig_t *rig)
{
	rig_open(rig);
	rig_set_rack(rig, "a", "r1");
	rig_set_rack(rig, "b", "r2");
	for (unsigned i = 0; i < 20; i++) {
		char id[GN_JOB_ID_LEN + 1];
		char task[GN_TASK_NAME_SIZE];

		g_snprintf(id, sizeof(id), "%016x", i + 0x1000);
		g_snprintf(task, sizeof(task), "%s.0.0.0", id);
		rig_report(rig, "a", "1");
		rig_submit(rig, id, "batch", &whole_worker, 1);
		rig_store(rig);
		advance_with_run(rig, "a", task, RUN_MS);
		rig_report_end(rig, "a", "1", task, 1, GN_END_DONE);
		rig_store(rig);
	}
	rig_advance_ms(rig, 2000);
	rig_report(rig, "a", "1");
}

/* Lets "a" run a task for @p age_ms; then submits one with data on its rack
 * while "b" is free. */
static void submit_near_job(sched_rig_t *rig, unsigned age_ms)
{
	rig_step_t near = whole_worker;

	near.rack = "r1";
	open_with_learned_times(rig);
	rig_submit(rig, BLOCKER, "batch", &whole_worker, 1);
	rig_store(rig);
	advance_with_run(rig, "a", BLOCKER ".0.0.0", age_ms);
	rig_report(rig, "b", "1");
	rig_clear(rig);
	rig_submit(rig, NEAR_JOB, "batch", &near, 1);
	rig_store(rig);
}

/* Returns the host that the task is started on, or NULL. */
static const char *get_host(const sched_rig_t *rig, const char *task)
{
	const rig_order_t *order =
		rig_find_order(rig, GN_RUN_ORDER_START, task);

	return order ? order->host : NULL;
}

static void test_task_waits_for_near_worker(void)
{
	gn_sched_near_stats_t stats;
	sched_rig_t rig;

	submit_near_job(&rig, 1500);
	g_assert_null(get_host(&rig, NEAR_TASK));
	advance_with_run(&rig, "a", BLOCKER ".0.0.0", 500);
	rig_report(&rig, "b", "1");
	rig_store(&rig);
	g_assert_null(get_host(&rig, NEAR_TASK));
	rig_report_end(&rig, "a", "1", BLOCKER ".0.0.0", 1, GN_END_DONE);
	rig_store(&rig);
	g_assert_cmpstr(get_host(&rig, NEAR_TASK), ==, "a");
	stats = gn_sched_near_stats(rig.sched);
	g_assert_cmpuint(stats.waits, ==, 1);
	g_assert_cmpuint(stats.near, ==, 1);
	g_assert_cmpuint(stats.won_ms, >, 1000);
	rig_close(&rig);
}

static void test_task_starts_far_beside_a_young_run(void)
{
	sched_rig_t rig;

	submit_near_job(&rig, 200);
	g_assert_cmpstr(get_host(&rig, NEAR_TASK), ==, "b");
	g_assert_cmpuint(gn_sched_near_stats(rig.sched).waits, ==, 0);
	rig_close(&rig);
}

/* Guards against a wait that lasts as long as a straggler runs. */
static void test_wait_ends_at_its_time(void)
{
	sched_rig_t rig;

	submit_near_job(&rig, 1500);
	for (unsigned ms = 0; ms < 1000; ms += 100) {
		advance_with_run(&rig, "a", BLOCKER ".0.0.0", 100);
		rig_report(&rig, "b", "1");
		rig_store(&rig);
	}
	g_assert_cmpstr(get_host(&rig, NEAR_TASK), ==, "b");
	g_assert_cmpuint(gn_sched_near_stats(rig.sched).far, ==, 1);
	g_assert_cmpuint(gn_sched_near_stats(rig.sched).lost_ms, <, 1000);
	rig_close(&rig);
}

/* Guards against a wait for a worker that takes no new tasks; an evacuated data
 * centre excludes its workers in the same place. */
static void test_wait_ends_with_a_drain(void)
{
	sched_rig_t rig;

	submit_near_job(&rig, 1500);
	g_assert_null(get_host(&rig, NEAR_TASK));
	rig_drain(&rig, "a");
	rig_report_run(&rig, "a", "1", BLOCKER ".0.0.0", 1);
	rig_store(&rig);
	g_assert_cmpstr(get_host(&rig, NEAR_TASK), ==, "b");
	rig_close(&rig);
}

/* Guards against expected ends of a worker that has fallen silent. */
static void test_wait_ends_without_reports(void)
{
	sched_rig_t rig;

	submit_near_job(&rig, 1500);
	rig_advance_ms(&rig, 100);
	rig_report_stale_list(&rig, "a", "1", 1300);
	rig_report(&rig, "b", "1");
	rig_advance_ms(&rig, 50);
	rig_store(&rig);
	g_assert_cmpstr(get_host(&rig, NEAR_TASK), ==, "b");
	rig_close(&rig);
}

/* A wait is not stored: the next leader, which does not know the age of the run,
 * starts the task far. */
static void test_next_leader_decides_anew(void)
{
	sched_rig_t rig;

	submit_near_job(&rig, 1500);
	g_assert_null(get_host(&rig, NEAR_TASK));
	rig_change_leader(&rig);
	rig_configure(&rig);
	rig_report_run(&rig, "a", "1", BLOCKER ".0.0.0", 1);
	rig_report(&rig, "b", "1");
	rig_store(&rig);
	g_assert_cmpstr(get_host(&rig, NEAR_TASK), ==, "b");
	g_assert_cmpuint(gn_sched_near_stats(rig.sched).waits, ==, 0);
	rig_close(&rig);
}

/* Guards against two tasks that wait for the same end: the one that ranks behind
 * starts far. */
static void test_second_task_starts_far(void)
{
	rig_step_t near = whole_worker;
	sched_rig_t rig;

	near.rack = "r1";
	submit_near_job(&rig, 1500);
	rig_submit(&rig, SECOND_JOB, "batch", &near, 1);
	rig_store(&rig);
	g_assert_null(get_host(&rig, NEAR_TASK));
	g_assert_cmpstr(get_host(&rig, SECOND_JOB ".0.0.0"), ==, "b");
	rig_close(&rig);
}

/* Guards against any effect on tasks that name no rack. */
static void test_task_without_rack_does_not_wait(void)
{
	sched_rig_t rig;

	submit_near_job(&rig, 1500);
	g_assert_null(get_host(&rig, NEAR_TASK));
	rig_submit(&rig, OTHER_BLOCKER, "batch", &whole_worker, 1);
	rig_store(&rig);
	g_assert_cmpstr(get_host(&rig, OTHER_BLOCKER ".0.0.0"), ==, "b");
	rig_close(&rig);
}

static void report_gang_hosts(sched_rig_t *rig, bool is_a_busy)
{
	if (is_a_busy)
		rig_report_run(rig, "a", "1", BLOCKER ".0.0.0", 1);
	rig_report_run(rig, "c", "1", OTHER_BLOCKER ".0.0.0", 1);
}

/* A gang whose members fit into no rack, but into one after two ends. */
static void test_gang_waits_for_two_ends(void)
{
	rig_step_t gang = whole_worker;
	const char *first;
	const char *second;
	sched_rig_t rig;

	gang.count = 2;
	gang.flags = RIG_GANG | RIG_SAME_RACK;
	open_with_learned_times(&rig);
	rig_set_rack(&rig, "c", "r1");
	rig_set_rack(&rig, "e", "r3");
	rig_submit(&rig, BLOCKER, "batch", &whole_worker, 1);
	rig_store(&rig);
	rig_report_run(&rig, "a", "1", BLOCKER ".0.0.0", 1);
	rig_report(&rig, "c", "1");
	rig_submit(&rig, OTHER_BLOCKER, "batch", &whole_worker, 1);
	rig_store(&rig);
	for (unsigned ms = 0; ms < 1500; ms += 100) {
		rig_advance_ms(&rig, 100);
		report_gang_hosts(&rig, true);
	}
	rig_report(&rig, "b", "1");
	rig_report(&rig, "e", "1");
	rig_clear(&rig);
	rig_submit(&rig, NEAR_JOB, "batch", &gang, 1);
	rig_store(&rig);
	g_assert_null(get_host(&rig, NEAR_TASK));
	rig_advance_ms(&rig, 400);
	rig_report_end(&rig, "a", "1", BLOCKER ".0.0.0", 1, GN_END_DONE);
	report_gang_hosts(&rig, false);
	rig_report(&rig, "b", "1");
	rig_report(&rig, "e", "1");
	rig_store(&rig);
	g_assert_null(get_host(&rig, NEAR_TASK));
	rig_report_end(&rig, "c", "1", OTHER_BLOCKER ".0.0.0", 1, GN_END_DONE);
	rig_store(&rig);
	first = get_host(&rig, NEAR_TASK);
	second = get_host(&rig, NEAR_JOB ".0.0.1");
	g_assert_true(!g_strcmp0(first, "a") || !g_strcmp0(first, "c"));
	g_assert_true(!g_strcmp0(second, "a") || !g_strcmp0(second, "c"));
	g_assert_cmpuint(gn_sched_near_stats(rig.sched).near, ==, 1);
	rig_close(&rig);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/locality/near_workers_busy_for_a_moment",
			test_near_workers_busy_for_a_moment);
	g_test_add_func("/locality/near_workers_busy_for_long",
			test_near_workers_busy_for_long);
	g_test_add_func("/locality/near_workers_gone", test_near_workers_gone);
	g_test_add_func("/locality/near_workers_slow", test_near_workers_slow);
	g_test_add_func("/locality/hot_rack", test_hot_rack);
	g_test_add_func("/locality/gangs", test_gangs);
	g_test_add_func("/locality/gang_that_fits_after_two_ends",
			test_gang_that_fits_after_two_ends);
	g_test_add_func("/locality/rack_evacuated_while_tasks_wait",
			test_rack_evacuated_while_tasks_wait);
	g_test_add_func("/locality/reasons", test_reasons);
	g_test_add_func("/locality/wait_has_an_end", test_wait_has_an_end);
	g_test_add_func("/locality/uncertainty_shortens_waits",
			test_uncertainty_shortens_waits);
	g_test_add_func("/locality/straggler_is_not_awaited",
			test_straggler_is_not_awaited);
	g_test_add_func("/locality/places", test_places);
	g_test_add_func("/locality/queue_counts_tasks_ahead",
			test_queue_counts_tasks_ahead);
	g_test_add_func("/locality/task_waits_for_near_worker",
			test_task_waits_for_near_worker);
	g_test_add_func("/locality/task_starts_far_beside_a_young_run",
			test_task_starts_far_beside_a_young_run);
	g_test_add_func("/locality/wait_ends_at_its_time",
			test_wait_ends_at_its_time);
	g_test_add_func("/locality/wait_ends_with_a_drain",
			test_wait_ends_with_a_drain);
	g_test_add_func("/locality/wait_ends_without_reports",
			test_wait_ends_without_reports);
	g_test_add_func("/locality/next_leader_decides_anew",
			test_next_leader_decides_anew);
	g_test_add_func("/locality/second_task_starts_far",
			test_second_task_starts_far);
	g_test_add_func("/locality/task_without_rack_does_not_wait",
			test_task_without_rack_does_not_wait);
	g_test_add_func("/locality/gang_waits_for_two_ends",
			test_gang_waits_for_two_ends);
	return g_test_run();
}
