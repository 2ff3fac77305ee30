#include "support/colocation_model.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/str.h"
#include "sched/rank.h"
#include "support/sched_rig.h"

#define WORKERS 8
#define CPU_MILLI 16000
#define MEMORY_MB 64000
#define SERVING_IMAGES 6
#define SERVING_TASKS 5
#define SERVING_MILLI 3000
#define BEST_EFFORT_IMAGES 8

#define TICK_MS 50
#define LIST_MS 300
#define DEFAULT_DURATION_MS 30000
/** Batch jobs arrive from this time on, when the serving tasks have started. */
#define BATCH_START_MS 3000

/** As on today's deployments; see platform/scheduler.toml.in. */
#define LATE_HEADROOM_GOAL 1.5
/** Default of jobs.headroom_pct. */
#define HEADROOM_GOAL_DEFAULT 1.1

#define SWING_PERIOD_MS 17000
#define BURST_START_MS 20000
#define BURST_MS 6000
#define LARGE_FACTOR 1.5

#define TARGET_MS 45
/** Target divided by tail latency of a serving task without load. */
#define UNLOADED_HEADROOM 4.5
#define MEAN_LOAD 0.42
#define LOAD_AMPLITUDE 0.6
#define LOAD_PERIOD_MS 14000
/** Headroom lost to best-effort tasks that use all processors of a worker. */
#define HEAVY_WEIGHT 6.5
#define LIGHT_WEIGHT 1.2
/** Time constant of the changes of a single task's headroom. */
#define UNEVENNESS_MS 2000.0
/** Least headroom, which bounds the tail latency. */
#define HEADROOM_MIN 0.1
/** Time constant of the average that lists show as tail latency. */
#define TAIL_SMOOTHING_MS 330.0

#define JOB_TASKS 10
#define TASK_MILLI 1800
#define TASK_MS 1700
#define OBJECTIVE_MS (2 * TASK_MS + 1000)
#define USEFUL_MS (GN_RANK_USEFUL_FACTOR * OBJECTIVE_MS)
#define STOP_TICKS 4

typedef struct model_run_s {
	char task[GN_TASK_NAME_SIZE];
	uint32_t attempt;
	bool is_serving;
	unsigned image;
	double done_ms; /* Work done so far. */
	double pace;
	double tail_ms; /* Tail latency in the next list. */
	double offset; /* Of the headroom of this task alone. */
	unsigned over_target_ms; /* Current time over target. */
	unsigned stopping; /* Ticks until stopped; 0 if not stopping. */
} model_run_t;

typedef struct model_worker_s {
	char name[16];
	GPtrArray *runs; /* Of model_run_t. */
	double cpu_milli;
	uint64_t ends;
} model_worker_t;

typedef struct model_job_s {
	char id[GN_JOB_ID_LEN + 1];
	unsigned accepted_ms;
	unsigned image;
	bool finished;
} model_job_t;

typedef struct model_s {
	const colocation_config_t *config;
	sched_rig_t rig;
	GRand *rand;
	model_worker_t workers[WORKERS];
	GHashTable *saved; /* Task to the work saved in its checkpoint. */
	GArray *jobs; /* Of model_job_t. */
	unsigned now_ms;
	unsigned duration_ms;
	double headroom_goal; /* In the last tick. */
	double serving_ms;
	double over_target_ms;
	colocation_result_t result;
} model_t;

/* ======   Load and interference   ====== */

static double get_load(const model_t *m, unsigned image)
{
	double phase = 2 * G_PI * image / SERVING_IMAGES;

	return MEAN_LOAD *
	       (1 + LOAD_AMPLITUDE *
			    sin(phase + 2 * G_PI * m->now_ms / LOAD_PERIOD_MS));
}

static double get_weight(unsigned serving, unsigned best_effort)
{
	return (serving + best_effort) % 4 ? LIGHT_WEIGHT : HEAVY_WEIGHT;
}

/* Returns the share of its CPU demand that each best-effort task gets. */
static double get_cpu_share(const model_t *m, const model_worker_t *worker)
{
	double left = worker->cpu_milli;
	double demand = 0;

	for (guint i = 0; i < worker->runs->len; i++) {
		const model_run_t *run = g_ptr_array_index(worker->runs, i);

		if (run->is_serving)
			left -= SERVING_MILLI * get_load(m, run->image);
		else if (!run->stopping)
			demand += run->pace * TASK_MILLI;
	}
	return demand <= left ? 1 : left / demand;
}

static double get_headroom_loss(const model_worker_t *worker, double cpu_share,
				unsigned serving)
{
	double headroom_loss = 0;

	for (guint i = 0; i < worker->runs->len; i++) {
		const model_run_t *run = g_ptr_array_index(worker->runs, i);

		if (!run->is_serving && !run->stopping)
			headroom_loss += cpu_share * run->pace * TASK_MILLI /
					 worker->cpu_milli *
					 get_weight(serving, run->image);
	}
	return headroom_loss;
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

/* The IDs of serving jobs are below SERVING_IMAGES. */
static unsigned get_image(const model_t *m, const char *task, bool *is_serving)
{
	char id[GN_JOB_ID_LEN + 1] = "";
	unsigned long number;

	memcpy(id, task, GN_JOB_ID_LEN);
	number = strtoul(id, NULL, 16);
	*is_serving = number < SERVING_IMAGES;
	if (*is_serving)
		return (unsigned)number;
	return g_array_index(m->jobs, model_job_t, number - SERVING_IMAGES)
		.image;
}

static void start_run(model_t *m, model_worker_t *worker,
		      const rig_order_t *order)
{
	const double *saved = g_hash_table_lookup(m->saved, order->task);
	model_run_t *run;

	if (find_run(worker, order->task, order->attempt))
		return;
	run = g_new0(model_run_t, 1);
	g_strlcpy(run->task, order->task, sizeof(run->task));
	run->attempt = order->attempt;
	run->image = get_image(m, order->task, &run->is_serving);
	run->pace = 1;
	run->done_ms = saved ? *saved : 0;
	g_ptr_array_add(worker->runs, run);
}

static void apply_order(model_t *m, const rig_order_t *order)
{
	model_worker_t *worker = &m->workers[atoi(order->host)];
	model_run_t *run = find_run(worker, order->task, order->attempt);

	if (order->kind == GN_RUN_ORDER_START)
		start_run(m, worker, order);
	else if (run && order->kind == GN_RUN_ORDER_PACE &&
		 !m->config->ignore_paces)
		run->pace = order->percent / 100.0;
	else if (run && order->kind == GN_RUN_ORDER_STOP && !run->stopping)
		run->stopping = STOP_TICKS;
}

static void apply_orders(model_t *m)
{
	rig_store(&m->rig);
	for (guint i = 0; i < m->rig.orders->len; i++)
		apply_order(m, &g_array_index(m->rig.orders, rig_order_t, i));
	rig_clear(&m->rig);
}

/* ======   Reports   ====== */

static Gn__WorkerRun *create_list_row(const model_run_t *run, double cpu_share)
{
	Gn__WorkerRun *row = g_new(Gn__WorkerRun, 1);

	gn__worker_run__init(row);
	row->task = (char *)run->task;
	row->attempt = run->attempt;
	row->gauge = run->is_serving
			     ? (uint32_t)run->tail_ms
			     : (uint32_t)(cpu_share * run->pace * TASK_MILLI);
	return row;
}

/* Sends a report with a list and an optional end. */
static void report(model_t *m, model_worker_t *worker, Gn__WorkerEnd *end)
{
	Gn__WorkerReport list = GN__WORKER_REPORT__INIT;
	double cpu_share = get_cpu_share(m, worker);
	char life[] = "1";
	char service[] = "s";

	list.host = worker->name;
	list.life = life;
	list.born_ms = 1;
	list.service = service;
	list.cpu_milli = (uint32_t)worker->cpu_milli;
	list.memory_mb = MEMORY_MB;
	list.listed = true;
	list.runs = g_new(Gn__WorkerRun *, worker->runs->len + 1);
	for (guint i = 0; i < worker->runs->len; i++)
		list.runs[list.n_runs++] = create_list_row(
			g_ptr_array_index(worker->runs, i), cpu_share);
	list.ends = &end;
	list.n_ends = end != NULL;
	gn_sched_handle_report(m->rig.sched, &list);
	for (size_t i = 0; i < list.n_runs; i++)
		g_free(list.runs[i]);
	g_free(list.runs);
}

static void end_run(model_t *m, model_worker_t *worker, guint at,
		    gn_end_kind_t how)
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

/* Returns a random number of mean 0 and variance 1. */
static double draw_deviation(model_t *m)
{
	return sqrt(3) * (2 * g_rand_double(m->rand) - 1);
}

/* The offset wanders around 0, correlated over UNEVENNESS_MS. */
static void update_offset(model_t *m, model_run_t *run)
{
	const double share = TICK_MS / UNEVENNESS_MS;

	if (m->config->unevenness <= 0)
		return;
	run->offset += -share * run->offset + sqrt(2 * share) *
						      m->config->unevenness *
						      draw_deviation(m);
}

static void update_tail(model_t *m, model_run_t *run, double headroom_loss)
{
	double headroom;

	update_offset(m, run);
	headroom = fmax(HEADROOM_MIN,
			UNLOADED_HEADROOM * (1 - get_load(m, run->image)) -
				headroom_loss + run->offset);
	run->tail_ms += (TARGET_MS / headroom - run->tail_ms) *
			(1 - exp(-TICK_MS / TAIL_SMOOTHING_MS));
	m->serving_ms += TICK_MS;
	if (run->tail_ms <= TARGET_MS) {
		run->over_target_ms = 0;
		return;
	}
	run->over_target_ms += TICK_MS;
	m->over_target_ms += TICK_MS;
	m->result.longest_over_target_s = fmax(m->result.longest_over_target_s,
					       run->over_target_ms / 1000.0);
}

static void advance_worker(model_t *m, model_worker_t *worker)
{
	double cpu_share = get_cpu_share(m, worker);

	for (guint i = 0; i < worker->runs->len; i++) {
		model_run_t *run = g_ptr_array_index(worker->runs, i);

		if (run->is_serving)
			update_tail(m, run,
				    get_headroom_loss(worker, cpu_share,
						      run->image));
		else if (!run->stopping)
			run->done_ms += cpu_share * run->pace * TICK_MS;
	}
	for (guint i = worker->runs->len; i > 0; i--) {
		model_run_t *run = g_ptr_array_index(worker->runs, i - 1);

		if (run->stopping && !--run->stopping)
			end_run(m, worker, i - 1, GN_END_STOPPED);
		else if (!run->is_serving && run->done_ms >= TASK_MS)
			end_run(m, worker, i - 1, GN_END_DONE);
	}
}

/* Whether the time for which the job is of use is within the simulation. */
static bool is_settled(const model_t *m, const model_job_t *job)
{
	return job->accepted_ms + USEFUL_MS <= m->duration_ms;
}

static void count_job(model_t *m, const model_job_t *job)
{
	unsigned took_ms = m->now_ms - job->accepted_ms;

	m->result.in_time +=
		job->accepted_ms + OBJECTIVE_MS <= m->duration_ms &&
		took_ms <= OBJECTIVE_MS;
	if (!is_settled(m, job))
		return;
	m->result.settled_in_time += took_ms <= OBJECTIVE_MS;
	m->result.settled_late +=
		took_ms > OBJECTIVE_MS && took_ms <= USEFUL_MS;
}

static void check_jobs(model_t *m)
{
	for (guint i = 0; i < m->jobs->len; i++) {
		model_job_t *job = &g_array_index(m->jobs, model_job_t, i);

		if (job->finished ||
		    rig_phase(&m->rig, job->id) != GN_JOB_COMPLETED)
			continue;
		job->finished = true;
		count_job(m, job);
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

	job.image = (unsigned)g_rand_int_range(m->rand, 0, BEST_EFFORT_IMAGES);
	image[1] = (char)('0' + job.image);
	step.image = image;
	snprintf(job.id, sizeof(job.id), "%016x", number);
	g_array_append_val(m->jobs, job);
	rig_submit(&m->rig, job.id, "batch", &step, 1);
	/* Counts only jobs whose deadline is within the simulated time. */
	m->result.jobs += m->now_ms + OBJECTIVE_MS <= m->duration_ms;
	m->result.settled += is_settled(m, &job);
}

/* Returns the batch jobs per second at the present time. */
static double get_demand(const model_t *m)
{
	double demand = m->config->jobs_per_s *
			(1 + m->config->swing * sin(2 * G_PI * m->now_ms /
						    SWING_PERIOD_MS));

	if (m->config->burst > 0 && m->now_ms >= BURST_START_MS &&
	    m->now_ms < BURST_START_MS + BURST_MS)
		demand *= m->config->burst;
	return demand;
}

static void count_headroom(model_t *m)
{
	double goal = gn_sched_stats(m->rig.sched).headroom_goal;

	m->result.mean_headroom_goal += goal * TICK_MS / m->duration_ms;
	if (m->headroom_goal > 0)
		m->result.headroom_travel += fabs(goal - m->headroom_goal);
	m->headroom_goal = goal;
}

static void advance_model(model_t *m)
{
	m->now_ms += TICK_MS;
	for (unsigned i = 0; i < WORKERS; i++)
		advance_worker(m, &m->workers[i]);
	rig_advance_ms(&m->rig, TICK_MS);
	for (unsigned i = 0; i < WORKERS; i++)
		if ((m->now_ms / TICK_MS + i) % (LIST_MS / TICK_MS) == 0)
			report(m, &m->workers[i], NULL);
	if (m->now_ms > BATCH_START_MS &&
	    g_rand_double(m->rand) < get_demand(m) * TICK_MS / 1000)
		submit_batch(m);
	apply_orders(m);
	check_jobs(m);
	count_headroom(m);
}

static double get_headroom_goal(const colocation_config_t *config)
{
	if (config->follow_demand)
		return 0;
	return config->headroom_goal > 0 ? config->headroom_goal
					 : HEADROOM_GOAL_DEFAULT;
}

colocation_result_t colocation_run(const colocation_config_t *config)
{
	model_t m = { .config = config,
		      .duration_ms = config->duration_ms
					     ? config->duration_ms
					     : DEFAULT_DURATION_MS };

	rig_open_with_headroom(&m.rig, get_headroom_goal(config),
			       config->limit_late ? LATE_HEADROOM_GOAL : 0);
	m.rand = g_rand_new_with_seed(config->seed);
	m.saved =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	m.jobs = g_array_new(FALSE, FALSE, sizeof(model_job_t));
	for (unsigned i = 0; i < WORKERS; i++) {
		snprintf(m.workers[i].name, sizeof(m.workers[i].name), "%u", i);
		m.workers[i].cpu_milli = CPU_MILLI;
		if (config->mixed_sizes && i % 2)
			m.workers[i].cpu_milli *= LARGE_FACTOR;
		m.workers[i].runs = g_ptr_array_new_with_free_func(g_free);
		report(&m, &m.workers[i], NULL);
	}
	submit_serving(&m);
	apply_orders(&m);
	while (m.now_ms < m.duration_ms)
		advance_model(&m);
	m.result.settled_never = m.result.settled - m.result.settled_in_time -
				 m.result.settled_late;
	m.result.over_target = m.over_target_ms / m.serving_ms;
	for (unsigned i = 0; i < WORKERS; i++)
		g_ptr_array_unref(m.workers[i].runs);
	g_array_unref(m.jobs);
	g_hash_table_destroy(m.saved);
	g_rand_free(m.rand);
	rig_close(&m.rig);
	return m.result;
}
