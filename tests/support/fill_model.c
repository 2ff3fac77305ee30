#include "support/fill_model.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/str.h"
#include "support/sched_rig.h"

#define WORKERS 8
#define CPU_MILLI 16000
#define MEMORY_MB 64000
#define SERVING_IMAGES 6
#define SERVING_TASKS 5
#define SERVING_MILLI 3000
#define FILLING_IMAGES 8

#define STEP_MS 50
#define LIST_MS 300
#define PLAY_MS 30000
/** Batch jobs come from then on; what serves has begun before. */
#define CALM_MS 3000

#define TARGET_MS 45
/** Target over tail of a serving task without load. */
#define UNLOADED 4.5
#define LOAD 0.42
#define SWING 0.6
#define SWING_MS 14000
/** Headroom that a whole worker's processors in use take. */
#define HEAVY 6.5
#define LIGHT 1.2
/** Least headroom: tails don't grow for ever. */
#define HEADROOM_MIN 0.1
/** A listed tail is an average over about this long. */
#define TAIL_MS 330.0

#define JOB_TASKS 10
#define TASK_MILLI 1800
#define TASK_MS 1700
#define OBJECTIVE_MS (2 * TASK_MS + 1000)
#define STOP_STEPS 4

/* A run on a worker. */
typedef struct model_run_s {
	char task[GN_TASK_NAME_SIZE];
	uint32_t attempt;
	bool serves;
	unsigned image;
	double done_ms; /* of its work */
	double pace;
	double tail_ms; /* as it is listed */
	unsigned over_ms; /* on end */
	unsigned stopping; /* steps until it has stopped; 0: it is not */
} model_run_t;

typedef struct model_worker_s {
	char name[16];
	GPtrArray *runs; /* model_run_t */
	uint64_t ends;
} model_worker_t;

typedef struct model_job_s {
	char id[GN_JOB_ID_LEN + 1];
	unsigned accepted_ms;
	unsigned image;
	bool over;
} model_job_t;

typedef struct model_s {
	const fill_model_config_t *config;
	sched_rig_t rig;
	GRand *rand;
	model_worker_t workers[WORKERS];
	GHashTable *saved; /* task to the work that its checkpoint holds */
	GArray *jobs; /* model_job_t */
	unsigned now_ms;
	double serving_ms;
	double over_ms;
	fill_model_result_t result;
} model_t;

/* ======   Truth   ====== */

static double get_load(const model_t *m, unsigned image)
{
	double phase = 2 * G_PI * image / SERVING_IMAGES;

	return LOAD *
	       (1 + SWING * sin(phase + 2 * G_PI * m->now_ms / SWING_MS));
}

static double get_weight(unsigned serving, unsigned filling)
{
	return (serving + filling) % 4 ? LIGHT : HEAVY;
}

/* The share of its wish that each filling task gets. */
static double get_spare(const model_t *m, const model_worker_t *worker)
{
	double left = CPU_MILLI;
	double wished = 0;

	for (guint i = 0; i < worker->runs->len; i++) {
		const model_run_t *run = g_ptr_array_index(worker->runs, i);

		if (run->serves)
			left -= SERVING_MILLI * get_load(m, run->image);
		else if (!run->stopping)
			wished += run->pace * TASK_MILLI;
	}
	return wished <= left ? 1 : left / wished;
}

static double get_lost(const model_worker_t *worker, double spare,
		       unsigned serving)
{
	double lost = 0;

	for (guint i = 0; i < worker->runs->len; i++) {
		const model_run_t *run = g_ptr_array_index(worker->runs, i);

		if (!run->serves && !run->stopping)
			lost += spare * run->pace * TASK_MILLI / CPU_MILLI *
				get_weight(serving, run->image);
	}
	return lost;
}

/* ======   Runs   ====== */

static model_run_t *find_run(const model_worker_t *worker, const char *task,
			     uint32_t attempt)
{
	for (guint i = 0; i < worker->runs->len; i++) {
		model_run_t *run = g_ptr_array_index(worker->runs, i);

		if (run->attempt == attempt && !strcmp(run->task, task))
			return run;
	}
	return NULL;
}

/* Serving jobs have the ids below SERVING_IMAGES. */
static unsigned get_image(const model_t *m, const char *task, bool *serves)
{
	char id[GN_JOB_ID_LEN + 1] = "";
	unsigned long number;

	memcpy(id, task, GN_JOB_ID_LEN);
	number = strtoul(id, NULL, 16);
	*serves = number < SERVING_IMAGES;
	if (*serves)
		return (unsigned)number;
	return g_array_index(m->jobs, model_job_t, number - SERVING_IMAGES)
		.image;
}

static void start(model_t *m, model_worker_t *worker, const rig_order_t *order)
{
	const double *saved = g_hash_table_lookup(m->saved, order->task);
	model_run_t *run;

	if (find_run(worker, order->task, order->attempt))
		return;
	run = g_new0(model_run_t, 1);
	g_strlcpy(run->task, order->task, sizeof(run->task));
	run->attempt = order->attempt;
	run->image = get_image(m, order->task, &run->serves);
	run->pace = 1;
	run->done_ms = saved ? *saved : 0;
	g_ptr_array_add(worker->runs, run);
}

static void take_order(model_t *m, const rig_order_t *order)
{
	model_worker_t *worker = &m->workers[atoi(order->host)];
	model_run_t *run = find_run(worker, order->task, order->attempt);

	if (order->kind == GN_RUN_ORDER_START)
		start(m, worker, order);
	else if (run && order->kind == GN_RUN_ORDER_PACE &&
		 !m->config->ignore_paces)
		run->pace = order->percent / 100.0;
	else if (run && order->kind == GN_RUN_ORDER_STOP && !run->stopping)
		run->stopping = STOP_STEPS;
}

static void take_orders(model_t *m)
{
	rig_store(&m->rig);
	for (guint i = 0; i < m->rig.orders->len; i++)
		take_order(m, &g_array_index(m->rig.orders, rig_order_t, i));
	rig_clear(&m->rig);
}

/* ======   Reports   ====== */

static Gn__WorkerRun *list_run(const model_run_t *run, double spare)
{
	Gn__WorkerRun *row = g_new(Gn__WorkerRun, 1);

	gn__worker_run__init(row);
	row->task = (char *)run->task;
	row->attempt = run->attempt;
	row->gauge = run->serves ? (uint32_t)run->tail_ms
				 : (uint32_t)(spare * run->pace * TASK_MILLI);
	return row;
}

/* A list, with one end if there is one. */
static void report(model_t *m, model_worker_t *worker, Gn__WorkerEnd *end)
{
	Gn__WorkerReport list = GN__WORKER_REPORT__INIT;
	double spare = get_spare(m, worker);
	char life[] = "1";
	char service[] = "s";

	list.host = worker->name;
	list.life = life;
	list.born_ms = 1;
	list.service = service;
	list.cpu_milli = CPU_MILLI;
	list.memory_mb = MEMORY_MB;
	list.listed = true;
	list.runs = g_new(Gn__WorkerRun *, worker->runs->len + 1);
	for (guint i = 0; i < worker->runs->len; i++)
		list.runs[list.n_runs++] =
			list_run(g_ptr_array_index(worker->runs, i), spare);
	list.ends = &end;
	list.n_ends = end != NULL;
	gn_sched_report(m->rig.sched, &list);
	for (size_t i = 0; i < list.n_runs; i++)
		g_free(list.runs[i]);
	g_free(list.runs);
}

static void end_run(model_t *m, model_worker_t *worker, guint at,
		    gn_end_how_t how)
{
	model_run_t *run = g_ptr_array_steal_index(worker->runs, at);
	Gn__WorkerEnd end = GN__WORKER_END__INIT;
	char checkpoint[] = "c";

	if (how == GN_END_STOPPED) {
		double *saved = g_new(double, 1);

		*saved = run->done_ms;
		g_hash_table_insert(m->saved, g_strdup(run->task), saved);
		m->result.stops++;
	}
	end.number = ++worker->ends;
	end.task = run->task;
	end.attempt = run->attempt;
	end.how = how;
	end.checkpoint = checkpoint;
	report(m, worker, &end);
	g_free(run);
}

/* ======   Time   ====== */

static void serve(model_t *m, model_run_t *run, double lost)
{
	double headroom = fmax(HEADROOM_MIN,
			       UNLOADED * (1 - get_load(m, run->image)) - lost);

	run->tail_ms += (TARGET_MS / headroom - run->tail_ms) *
			(1 - exp(-STEP_MS / TAIL_MS));
	m->serving_ms += STEP_MS;
	if (run->tail_ms <= TARGET_MS) {
		run->over_ms = 0;
		return;
	}
	run->over_ms += STEP_MS;
	m->over_ms += STEP_MS;
	m->result.longest_over_target_s =
		fmax(m->result.longest_over_target_s, run->over_ms / 1000.0);
}

static void move_worker_on(model_t *m, model_worker_t *worker)
{
	double spare = get_spare(m, worker);

	for (guint i = 0; i < worker->runs->len; i++) {
		model_run_t *run = g_ptr_array_index(worker->runs, i);

		if (run->serves)
			serve(m, run, get_lost(worker, spare, run->image));
		else if (!run->stopping)
			run->done_ms += spare * run->pace * STEP_MS;
	}
	for (guint i = worker->runs->len; i > 0; i--) {
		model_run_t *run = g_ptr_array_index(worker->runs, i - 1);

		if (run->stopping && !--run->stopping)
			end_run(m, worker, i - 1, GN_END_STOPPED);
		else if (!run->serves && run->done_ms >= TASK_MS)
			end_run(m, worker, i - 1, GN_END_DONE);
	}
}

static void look_at_jobs(model_t *m)
{
	for (guint i = 0; i < m->jobs->len; i++) {
		model_job_t *job = &g_array_index(m->jobs, model_job_t, i);

		if (job->over ||
		    rig_phase(&m->rig, job->id) != GN_JOB_COMPLETED)
			continue;
		job->over = true;
		m->result.in_time +=
			job->accepted_ms + OBJECTIVE_MS <= PLAY_MS &&
			m->now_ms - job->accepted_ms <= OBJECTIVE_MS;
	}
}

/* ======   Jobs   ====== */

static void submit_serving(model_t *m)
{
	for (unsigned i = 0; i < SERVING_IMAGES; i++) {
		char id[GN_JOB_ID_LEN + 1];
		char image[] = { 's', (char)('0' + i), '\0' };
		const rig_step_t step = { .count = SERVING_TASKS,
					  .cpu_milli = SERVING_MILLI,
					  .estimate_ms = 1000,
					  .flags = RIG_STANDING,
					  .per_worker = 1,
					  .target_ms = TARGET_MS,
					  .image = image };

		snprintf(id, sizeof(id), "%016x", i);
		rig_submit(&m->rig, id, "quick", &step, 1);
	}
}

static void submit_batch(model_t *m)
{
	model_job_t job = { .accepted_ms = m->now_ms };
	unsigned number = SERVING_IMAGES + m->jobs->len;
	char image[] = "f0";
	rig_step_t step = { .count = JOB_TASKS,
			    .cpu_milli = TASK_MILLI,
			    .estimate_ms = TASK_MS,
			    .flags = RIG_BEST_EFFORT | RIG_CHECKPOINTS };

	job.image = (unsigned)g_rand_int_range(m->rand, 0, FILLING_IMAGES);
	image[1] = (char)('0' + job.image);
	step.image = image;
	snprintf(job.id, sizeof(job.id), "%016x", number);
	g_array_append_val(m->jobs, job);
	rig_submit(&m->rig, job.id, "batch", &step, 1);
	/* only these can be told to be in time or not */
	m->result.jobs += m->now_ms + OBJECTIVE_MS <= PLAY_MS;
}

static void play_step(model_t *m)
{
	m->now_ms += STEP_MS;
	for (unsigned i = 0; i < WORKERS; i++)
		move_worker_on(m, &m->workers[i]);
	rig_advance_ms(&m->rig, STEP_MS);
	for (unsigned i = 0; i < WORKERS; i++)
		if ((m->now_ms / STEP_MS + i) % (LIST_MS / STEP_MS) == 0)
			report(m, &m->workers[i], NULL);
	if (m->now_ms > CALM_MS &&
	    g_rand_double(m->rand) < m->config->jobs_per_s * STEP_MS / 1000)
		submit_batch(m);
	take_orders(m);
	look_at_jobs(m);
}

fill_model_result_t fill_model_play(const fill_model_config_t *config)
{
	model_t m = { .config = config };

	rig_open(&m.rig);
	m.rand = g_rand_new_with_seed(config->seed);
	m.saved =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	m.jobs = g_array_new(FALSE, FALSE, sizeof(model_job_t));
	for (unsigned i = 0; i < WORKERS; i++) {
		snprintf(m.workers[i].name, sizeof(m.workers[i].name), "%u", i);
		m.workers[i].runs = g_ptr_array_new_with_free_func(g_free);
		report(&m, &m.workers[i], NULL);
	}
	submit_serving(&m);
	take_orders(&m);
	while (m.now_ms < PLAY_MS)
		play_step(&m);
	m.result.over_target = m.over_ms / m.serving_ms;
	for (unsigned i = 0; i < WORKERS; i++)
		g_ptr_array_unref(m.workers[i].runs);
	g_array_unref(m.jobs);
	g_hash_table_destroy(m.saved);
	g_rand_free(m.rand);
	rig_close(&m.rig);
	return m.result;
}
