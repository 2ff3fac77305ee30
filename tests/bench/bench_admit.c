/**
 * @file bench_admit.c
 * @brief Measures interference control and the cost of an agent's decisions.
 *
 * A model of one host on a simulated clock compares interference control of
 * batch tasks next to a service with no control and with a fixed reserve.
 * usage: bench_admit [SEED]
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "admit/admit.h"
#include "admit/speed.h"
#include "admit/throttle.h"

#define DEFAULT_SEED 7
#define NS_PER_US 1000
#define TASKS 8
#define RESERVED_TASKS 4
#define SECONDS (4 * 3600)
#define TARGET_US 50000
/** Delay from the start of a measurement window to its result, seconds. */
#define RESULT_DELAY_S 2
/** Base work of a task, seconds at full speed. */
#define WORK_S 600
/** Work lost by a checkpoint, and its duration, seconds. */
#define CHECKPOINT_COST_S 10
#define CHECKPOINT_TIME_S 5
/** Share of checkpoints that never arrive, percent. */
#define CHECKPOINT_LOST_PCT 5

static guint32 seed = DEFAULT_SEED;

typedef enum control_e {
	CONTROL_NONE = 0,
	CONTROL_RESERVE,
	CONTROL_THROTTLE, /**< throttles all tasks alike */
	CONTROL_BY_KIND, /**< throttles the most disturbing kinds first */
	CONTROL_COUNT
} control_t;

static const char *const control_names[CONTROL_COUNT] = { "none", "reserve",
							  "throttle",
							  "by kind" };

typedef enum kind_e { QUIET = 0, LOUD, KINDS } kind_t;

static const char *const kind_names[KINDS] = { "quiet", "loud" };
/** Latency that a task adds, as a share of the target, at no and full load. */
static const double added_tails[KINDS][2] = { { 0.005, 0.02 }, { 0.03, 0.35 } };

typedef struct user_s {
	const char *name;
	gn_throttle_weights_t weights;
} user_t;

static const user_t users[] = {
	{ "tail first (6:1:1)", { 6, 1, 1 } },
	{ "evictions, throughput first (1:3:4)", { 1, 3, 4 } },
};

typedef struct task_s {
	bool runs;
	kind_t kind;
	double left_s;
	double speed;
	unsigned checkpoint_s; /**< since the order to checkpoint, or 0 */
	bool checkpoint_lost;
} task_t;

typedef struct host_s {
	control_t control;
	GRand *rand;
	gn_clock_t clock;
	gn_throttle_t *throttle;
	gn_interfere_t *interfere;
	task_t tasks[TASKS];
	double tails[RESULT_DELAY_S + 1]; /**< relative to the target */
	unsigned loads[RESULT_DELAY_S + 1];
	unsigned floor_pct;
	kind_t next_kind; /**< kind at the head of the queue */
	unsigned deferred; /**< loud tasks deferred until they may start */
	unsigned second;
	unsigned seconds_over; /**< seconds above the target */
	double done_s;
	unsigned checkpoints;
	unsigned stops;
	GArray *all_tails;
} host_t;

/* ======   The host   ====== */

/** Returns the load of the service, which changes every 15 minutes. */
static unsigned load_pct(const host_t *host)
{
	static const unsigned loads[] = { 30, 60, 90, 60 };

	return loads[host->second / 900 % G_N_ELEMENTS(loads)];
}

/** Draws the kind of a task. In 10 of every 30 minutes most tasks are loud. */
static kind_t draw_kind(host_t *host)
{
	bool is_wave = host->second / 600 % 3 == 1;

	return g_rand_int_range(host->rand, 0, 100) < (is_wave ? 80 : 10)
		       ? LOUD
		       : QUIET;
}

static unsigned count_running(const host_t *host)
{
	unsigned count = 0;

	for (int i = 0; i < TASKS; i++)
		count += host->tasks[i].runs;
	return count;
}

static double draw_tail(host_t *host)
{
	double load = load_pct(host) / 100.0;
	double tail = 0.35 + 0.35 * load * load;

	for (int i = 0; i < TASKS; i++) {
		const task_t *task = &host->tasks[i];
		const double *add = added_tails[task->kind];

		if (task->runs)
			tail += task->speed *
				(add[0] + (add[1] - add[0]) * load * load);
	}
	return tail * g_rand_double_range(host->rand, 0.9, 1.1);
}

static bool may_start(const host_t *host, kind_t kind, unsigned limit)
{
	gn_str_t name = gn_str_from(kind_names[kind]);
	unsigned load = load_pct(host);

	if (host->control != CONTROL_BY_KIND)
		return count_running(host) < limit;
	return gn_throttle_may_start(
		host->throttle, count_running(host),
		gn_interfere_estimate(host->interfere, name, load),
		gn_interfere_is_known(host->interfere, name, load));
}

/**
 * Takes a task from the queue if one may start. With CONTROL_BY_KIND, a loud
 * task is deferred in favour of a quiet one behind it, and is first again once
 * it may start.
 */
static bool dequeue_task(host_t *host, unsigned limit, kind_t *kind)
{
	if (host->deferred && may_start(host, LOUD, limit)) {
		host->deferred--;
		*kind = LOUD;
		return true;
	}
	if (may_start(host, host->next_kind, limit)) {
		*kind = host->next_kind;
	} else if (host->control == CONTROL_BY_KIND &&
		   host->next_kind == LOUD && may_start(host, QUIET, limit)) {
		host->deferred++;
		*kind = QUIET;
	} else {
		return false;
	}
	host->next_kind = draw_kind(host);
	return true;
}

static void record_start(const host_t *host, kind_t kind)
{
	gn_str_t name = gn_str_from(kind_names[kind]);

	gn_throttle_record_start(
		host->throttle,
		gn_interfere_estimate(host->interfere, name, load_pct(host)));
}

static void start_tasks(host_t *host, unsigned limit)
{
	for (int i = 0; i < TASKS; i++) {
		kind_t kind;

		if (host->tasks[i].runs || !dequeue_task(host, limit, &kind))
			continue;
		record_start(host, kind);
		host->tasks[i] = (task_t){
			.runs = true,
			.kind = kind,
			.left_s = WORK_S *
				  g_rand_double_range(host->rand, 0.2, 2),
			.speed = 1,
		};
	}
}

static void run_tasks(host_t *host)
{
	for (int i = 0; i < TASKS; i++) {
		task_t *task = &host->tasks[i];

		if (!task->runs)
			continue;
		task->left_s -= task->speed;
		host->done_s += task->speed;
		if (task->left_s > 0)
			continue;
		task->runs = false;
		if (task->checkpoint_s)
			gn_throttle_end_checkpoint(host->throttle,
						   count_running(host));
	}
}

/* ======   The control   ====== */

static task_t *choose_victim(host_t *host)
{
	task_t *chosen = NULL;
	gn_str_t worst;
	bool is_known = gn_interfere_find_worst(host->interfere, load_pct(host),
						&worst);

	for (int i = 0; i < TASKS; i++) {
		task_t *task = &host->tasks[i];
		gn_str_t kind = gn_str_from(kind_names[task->kind]);

		if (!task->runs)
			continue;
		if (!chosen || (is_known && gn_str_equal(kind, worst)))
			chosen = task;
	}
	return chosen;
}

static task_t *find_checkpointing(host_t *host)
{
	for (int i = 0; i < TASKS; i++)
		if (host->tasks[i].runs && host->tasks[i].checkpoint_s)
			return &host->tasks[i];
	return NULL;
}

static void evict(host_t *host, task_t *task, double lost_s)
{
	task->runs = false;
	host->done_s -= lost_s;
	gn_throttle_end_checkpoint(host->throttle, count_running(host));
}

static void apply_step(host_t *host, gn_throttle_step_t step)
{
	task_t *task = find_checkpointing(host);

	if (step == GN_THROTTLE_CHECKPOINT) {
		task = choose_victim(host);
		task->checkpoint_s = 1;
		task->checkpoint_lost = g_rand_int_range(host->rand, 0, 100) <
					CHECKPOINT_LOST_PCT;
		gn_throttle_begin_checkpoint(host->throttle);
	} else if (step == GN_THROTTLE_STOP) {
		evict(host, task, WORK_S / 2.0);
		host->stops++;
	} else if (task && !task->checkpoint_lost &&
		   ++task->checkpoint_s > CHECKPOINT_TIME_S) {
		evict(host, task, CHECKPOINT_COST_S);
		host->checkpoints++;
	}
}

static void report_running(host_t *host)
{
	for (int kind = 0; kind < KINDS; kind++) {
		double tasks = 0;

		for (int i = 0; i < TASKS; i++)
			if (host->tasks[i].runs &&
			    host->tasks[i].kind == (kind_t)kind)
				tasks += host->tasks[i].speed;
		gn_interfere_set_running(host->interfere,
					 gn_str_from(kind_names[kind]), tasks);
	}
}

static void measure(host_t *host)
{
	unsigned slot = host->second % (RESULT_DELAY_S + 1);
	unsigned oldest = (host->second + 1) % (RESULT_DELAY_S + 1);
	uint64_t now_us = gn_clock_now_us(&host->clock);
	gn_throttle_sample_t sample = { .requests = 1000 };

	host->tails[slot] = draw_tail(host);
	host->loads[slot] = load_pct(host);
	host->seconds_over += host->tails[slot] > 1;
	g_array_append_val(host->all_tails, host->tails[slot]);
	if (host->second < RESULT_DELAY_S)
		return;
	sample.tail_us = (uint32_t)(host->tails[oldest] * TARGET_US);
	sample.measured_us = now_us - (uint64_t)RESULT_DELAY_S * GN_US_PER_S;
	gn_interfere_learn(host->interfere, sample.measured_us,
			   host->loads[oldest], host->tails[oldest]);
	gn_throttle_add_sample(host->throttle, &sample, count_running(host));
}

static void set_speeds(host_t *host, unsigned total_pct)
{
	gn_speed_t speeds[KINDS];
	unsigned tasks[KINDS] = { 0 };
	size_t count = 0;

	for (int i = 0; i < TASKS; i++) {
		tasks[host->tasks[i].kind] += host->tasks[i].runs;
		host->tasks[i].speed = total_pct / 100.0;
	}
	for (int kind = 0; kind < KINDS; kind++)
		if (tasks[kind])
			speeds[count++] =
				(gn_speed_t){ gn_str_from(kind_names[kind]),
					      tasks[kind], total_pct };
	if (host->control != CONTROL_BY_KIND)
		return;
	gn_speed_distribute(host->interfere, load_pct(host), total_pct,
			    host->floor_pct, speeds, count);
	for (int i = 0; i < TASKS; i++)
		for (size_t j = 0; j < count; j++)
			if (gn_str_equal(
				    speeds[j].kind,
				    gn_str_from(
					    kind_names[host->tasks[i].kind])))
				host->tasks[i].speed =
					speeds[j].speed_pct / 100.0;
}

static void control(host_t *host)
{
	gn_throttle_advice_t advice;

	if (host->control < CONTROL_THROTTLE) {
		start_tasks(host, host->control == CONTROL_NONE
					  ? TASKS
					  : RESERVED_TASKS);
		return;
	}
	gn_throttle_advise(host->throttle, count_running(host), &advice);
	apply_step(host, advice.step);
	start_tasks(host, advice.task_limit);
	gn_throttle_advise(host->throttle, count_running(host), &advice);
	set_speeds(host, advice.speed_pct);
	report_running(host);
}

static gint compare_tails(gconstpointer a, gconstpointer b)
{
	double first = *(const double *)a;
	double second = *(const double *)b;

	return first < second ? -1 : first > second;
}

static void run_host(host_t *host, const user_t *user)
{
	gn_throttle_config_t throttle =
		gn_throttle_defaults(TARGET_US, TASKS, &user->weights);
	gn_interfere_config_t interfere = gn_interfere_defaults();

	host->floor_pct = throttle.floor_pct;
	gn_clock_init_paused(&host->clock, GN_US_PER_S);
	host->rand = g_rand_new_with_seed(seed);
	host->throttle = gn_throttle_create(NULL, &host->clock, &throttle);
	host->interfere = gn_interfere_create(NULL, &host->clock, &interfere);
	host->all_tails = g_array_new(FALSE, FALSE, sizeof(double));
	for (; host->second < SECONDS; host->second++) {
		control(host);
		measure(host);
		run_tasks(host);
		gn_clock_advance(&host->clock, GN_US_PER_S);
	}
	g_array_sort(host->all_tails, compare_tails);
	talloc_free(host->throttle);
	talloc_free(host->interfere);
	g_rand_free(host->rand);
}

/* ======   Tables   ====== */

/**
 * Returns the weighted loss, 0 at best, of the time above the target, the work
 * lost, and the evictions per hour and task slot.
 */
static double compute_loss(const host_t *host,
			   const gn_throttle_weights_t *weights)
{
	double all = weights->tail + weights->throughput + weights->evictions;
	double over_share = (double)host->seconds_over / SECONDS;
	double lost = 1 - host->done_s / ((double)TASKS * SECONDS);
	double evicted =
		(host->checkpoints + host->stops) / (SECONDS / 3600.0) / TASKS;

	return (weights->tail * over_share + weights->throughput * lost +
		weights->evictions * evicted) /
	       all;
}

static void bench_control(void)
{
	printf("\n### Batch work beside a service: 4 h, 8 tasks, measured "
	       "2 s late\n\n");
	printf("| weights | control | above target | p99 of target | batch "
	       "work | checkpoints | stops | put off | weighted loss |\n"
	       "|---|---|---|---|---|---|---|---|---|\n");
	for (size_t i = 0; i < G_N_ELEMENTS(users); i++) {
		for (int j = 0; j < CONTROL_COUNT; j++) {
			host_t host = { .control = (control_t)j };

			run_host(&host, &users[i]);
			printf("| %s | %s | %.1f%% | %.0f%% | %.1f%% | %u | %u "
			       "| %u | %.3f |\n",
			       users[i].name, control_names[j],
			       100.0 * host.seconds_over / SECONDS,
			       100.0 * g_array_index(host.all_tails, double,
						     SECONDS * 99 / 100),
			       100.0 * host.done_s / ((double)TASKS * SECONDS),
			       host.checkpoints, host.stops, host.deferred,
			       compute_loss(&host, &users[i].weights));
			g_array_free(host.all_tails, TRUE);
		}
	}
}

static double now_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e9 + (double)now.tv_nsec;
}

static double time_requests(unsigned entries)
{
	enum { ROUNDS = 500000 };
	gn_admit_config_t config = {
		.max_tasks = 8,
		.max_connections = 64,
		.incarnation = 1,
		.fence = gn_fence_defaults(),
	};
	gn_admit_t *admit = gn_admit_create(NULL, &config);
	uint64_t sessions[128];
	double start;
	double elapsed_ns;

	for (unsigned i = 0; i < entries; i++)
		gn_admit_open_session(admit, i + 1, &sessions[i]);
	gn_admit_begin_list(admit);
	gn_admit_apply_list(admit, 0, NULL, 0);
	start = now_ns();
	for (unsigned i = 0; i < ROUNDS; i++) {
		unsigned entry = i % entries;
		gn_admit_request_t request = { entry + 1, sessions[entry], 1,
					       i + 1 };

		if (gn_admit_start_request(admit, &request) !=
		    GN_ADMIT_ADMITTED)
			abort();
		gn_admit_end_request(admit, entry + 1, i + 1);
	}
	elapsed_ns = now_ns() - start;
	talloc_free(admit);
	return elapsed_ns / ROUNDS;
}

/* Times one window: the running tasks change and a latency is learned. */
static double time_learning(void)
{
	enum { ROUNDS = 20000 };
	gn_interfere_config_t config = gn_interfere_defaults();
	gn_interfere_t *interfere;
	gn_clock_t clock;
	double start;
	double elapsed_ns;

	gn_clock_init_paused(&clock, GN_US_PER_S);
	interfere = gn_interfere_create(NULL, &clock, &config);
	start = now_ns();
	for (unsigned i = 0; i < ROUNDS; i++) {
		gn_clock_advance(&clock, GN_US_PER_S);
		for (int kind = 0; kind < KINDS; kind++)
			gn_interfere_set_running(interfere,
						 gn_str_from(kind_names[kind]),
						 i % TASKS);
		gn_interfere_learn(interfere, gn_clock_now_us(&clock), 50,
				   0.5 + i % TASKS / 10.0);
	}
	elapsed_ns = now_ns() - start;
	talloc_free(interfere);
	return elapsed_ns / ROUNDS;
}

static void bench_cost(void)
{
	static const unsigned entries[] = { 2, 16, 75 };

	printf("\n### Processor time of an admission (ask, end), ns\n\n");
	printf("| entries | ns |\n|---|---|\n");
	for (size_t i = 0; i < G_N_ELEMENTS(entries); i++)
		printf("| %u | %.0f |\n", entries[i],
		       time_requests(entries[i]));
	printf("\nlearning from a window: %.1f us\n",
	       time_learning() / NS_PER_US);
}

int main(int argc, char **argv)
{
	if (argc > 1)
		seed = (guint32)strtoul(argv[1], NULL, 10);
	printf("seed %u\n", seed);
	bench_control();
	bench_cost();
	return 0;
}
