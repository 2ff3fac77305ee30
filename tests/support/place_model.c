#include "support/place_model.h"

#include <math.h>
#include <string.h>

#include "common/str.h"

#define STEP_US (100 * GN_US_PER_MS)
#define POLL_STEPS 3
#define COMMIT_US (200 * GN_US_PER_MS)
#define HOUR_US (3600ULL * GN_US_PER_S)
#define SIMULATED_US (8 * HOUR_US)
#define SLOTS 8
#define RACK_WORKERS 3
#define URGENT_TARGET_US (1100 * GN_US_PER_MS)
#define BURST_INTERVAL_US (HOUR_US / 2)
#define BURST_TASKS 40
#define NOISE_QUOTA 20
#define ACCELERATORS 2

/** A kind of work. */
typedef struct kind_s {
	const char *name;
	unsigned sixteenths; /**< sixteenths of a worker's cores and memory */
	unsigned accelerators;
	unsigned priority;
	unsigned run_s; /**< declared run time */
	double run_factor; /**< true run time by the declared one */
	unsigned checkpoint_ms;
} kind_t;

static const kind_t kinds[] = {
	[KIND_URGENT] = { "urgent", 1, 0, 0, 60, 1, 2000 },
	[KIND_PLAN] = { "network-plan", 4, 0, 2, 2400, 2, 2000 },
	[KIND_SMALL] = { "small", 2, 0, 2, 600, 0.5, 2000 },
	[KIND_TRAIN] = { "train", 2, 1, 2, 2400, 1, 0 },
	[KIND_LARGE] = { "large", 12, 0, 2, 1200, 1.5, 2000 },
	/* Arrives in bursts. */
	[KIND_NOISE] = { "noise", 1, 0, 3, 120, 1, 0 },
};

/** Two kinds that may not share a host. */
static const int exclusive_kinds[2] = { KIND_TRAIN, KIND_NOISE };

typedef struct host_s {
	char name[GN_NAME_MAX + 1];
	gn_batch_worker_t free;
	gn_batch_share_member_t member;
	unsigned kind_count[KIND_COUNT];
	uint64_t drain_start_us; /**< start of the drain, 0 if none */
	uint64_t drain_end_us; /**< end of the drain */
	bool draining;
	GList *jobs;
} host_t;

typedef struct job_s {
	gn_task_t *task;
	int kind;
	double remaining_us; /**< remaining true run time */
	uint64_t submitted_us;
	uint64_t started_us;
	bool started_once;
} job_t;

struct place_model_s {
	const place_config_t *config;
	place_result_t *result;
	TALLOC_CTX *frame;
	gn_clock_t clock;
	uint64_t begin_us;
	uint64_t step;
	GRand *work_rand; /**< for arriving work, which all policies share */
	GRand *policy_rand; /**< for choices of the policies */
	gn_task_queue_t *queue;
	gn_batch_share_t share;
	host_t *hosts;
	GHashTable *jobs; /**< task id -> job_t */
	GQueue waiting[GN_TASK_PRIORITIES]; /**< queues of baseline policies */
	unsigned running[KIND_COUNT];
	double next_us[KIND_COUNT]; /**< next arrival, from the beginning */
	uint64_t next_id;
	GArray *urgent_waits; /**< double, seconds */
	GArray *large_waits; /**< double, seconds */
	double done_core_us;
	double available_core_us;
	double stranded_core_us;
	size_t waiting_count;
};

static uint64_t now_us(const place_model_t *m)
{
	return gn_clock_now_us(&m->clock);
}

static uint64_t elapsed_us(const place_model_t *m)
{
	return now_us(m) - m->begin_us;
}

static unsigned cores_of(const place_model_t *m, const kind_t *kind)
{
	return m->config->cores * kind->sixteenths / 16;
}

/* ======   Work   ====== */

static void enqueue(place_model_t *m, job_t *job)
{
	m->waiting_count++;
	if (m->config->policy == &place_policies[PLACE_PRODUCT])
		gn_task_queue_add(m->queue, job->task);
	else if (job->started_once)
		g_queue_push_head(&m->waiting[job->task->priority], job);
	else
		g_queue_push_tail(&m->waiting[job->task->priority], job);
}

static void submit_task(place_model_t *m, int index)
{
	const kind_t *kind = &kinds[index];
	gn_task_request_t request = {
		.work_class = GN_CLASS_BATCH,
		.team = gn_str_from(kind->name),
		.kind = gn_str_from(kind->name),
		.service = GN_STR("s"),
		.priority = kind->priority,
		.cores = cores_of(m, kind),
		.memory_mb = m->config->memory_mb / 16 * kind->sixteenths,
		.accelerators = kind->accelerators,
		.run_ms = kind->run_s * 1000ULL,
		.checkpoint_ms = kind->checkpoint_ms,
	};
	job_t *job = talloc_zero(m->frame, job_t);

	job->task = gn_task_create(job, ++m->next_id, &request, now_us(m));
	job->kind = index;
	job->remaining_us = kind->run_s * (double)GN_US_PER_S *
			    kind->run_factor *
			    g_rand_double_range(m->work_rand, 0.6, 1.4);
	job->submitted_us = now_us(m);
	g_hash_table_insert(m->jobs, &job->task->id, job);
	enqueue(m, job);
}

/** Returns the mean time between arrivals of the kind number @p index. */
static double interval_us(const place_model_t *m, int index)
{
	const kind_t *kind = &kinds[index];
	double offered = m->config->shares[index] * m->config->load_pct / 100 *
			 m->config->workers * m->config->cores;
	double core_us = cores_of(m, kind) * (double)kind->run_s * GN_US_PER_S *
			 kind->run_factor;

	return core_us / offered;
}

static void submit_arrivals(place_model_t *m)
{
	for (int i = 0; i < KIND_NOISE; i++) {
		while (m->next_us[i] <= (double)elapsed_us(m)) {
			double part = 1 - g_rand_double(m->work_rand);

			m->next_us[i] -= log(part) * interval_us(m, i);
			if (m->next_us[i] > 0)
				submit_task(m, i);
		}
	}
	if (elapsed_us(m) % BURST_INTERVAL_US == 0)
		for (int i = 0; i < BURST_TASKS; i++)
			submit_task(m, KIND_NOISE);
}

/* ======   Hosts   ====== */

static void check_capacity(place_model_t *m, host_t *host)
{
	unsigned tasks = 0;
	unsigned cores = 0;
	unsigned memory_mb = 0;
	unsigned accelerators = 0;

	for (GList *item = host->jobs; item; item = item->next) {
		const gn_task_t *task = ((job_t *)item->data)->task;

		tasks++;
		cores += task->cores;
		memory_mb += task->memory_mb;
		accelerators += task->accelerators;
	}
	if (tasks > SLOTS || cores > m->config->cores ||
	    memory_mb > m->config->memory_mb || accelerators > ACCELERATORS)
		m->result->over_capacity++;
}

static void start_job(place_model_t *m, host_t *host, job_t *job)
{
	double wait_s = (double)(now_us(m) + COMMIT_US - job->submitted_us) /
			GN_US_PER_S;

	if (!job->started_once && job->kind == KIND_URGENT)
		g_array_append_val(m->urgent_waits, wait_s);
	if (!job->started_once && job->kind == KIND_LARGE)
		g_array_append_val(m->large_waits, wait_s);
	job->started_once = true;
	job->started_us = now_us(m) + COMMIT_US;
	host->jobs = g_list_prepend(host->jobs, job);
	host->kind_count[job->kind]++;
	m->running[job->kind]++;
	m->waiting_count--;
	gn_task_queue_use_quota(m->queue, job->task);
	check_capacity(m, host);
}

static void release_job(place_model_t *m, host_t *host, job_t *job)
{
	host->jobs = g_list_remove(host->jobs, job);
	host->kind_count[job->kind]--;
	m->running[job->kind]--;
	host->free.free_tasks++;
	host->free.free_cores += job->task->cores;
	host->free.free_memory_mb += job->task->memory_mb;
	host->free.free_accelerators += job->task->accelerators;
	gn_task_queue_return_quota(m->queue, job->task);
}

static void evict_job(place_model_t *m, host_t *host, job_t *job)
{
	double ran_us = (double)now_us(m) - (double)job->started_us;

	release_job(m, host, job);
	m->result->evictions++;
	m->result->avoidable += ran_us < (double)HOUR_US;
	if (job->task->checkpoint_ms)
		job->remaining_us -= MAX(ran_us, 0);
	else
		m->result->lost_core_h +=
			MAX(ran_us, 0) * job->task->cores / (double)HOUR_US;
	enqueue(m, job);
}

static void finish_job(place_model_t *m, host_t *host, job_t *job)
{
	const kind_t *kind = &kinds[job->kind];

	release_job(m, host, job);
	m->done_core_us += job->task->cores * (double)kind->run_s *
			   GN_US_PER_S * kind->run_factor;
	g_hash_table_remove(m->jobs, &job->task->id);
	talloc_free(job);
}

static void run_host(place_model_t *m, host_t *host)
{
	bool draining = host->drain_start_us &&
			now_us(m) >= host->drain_start_us &&
			now_us(m) < host->drain_end_us;
	GList *next;

	if (now_us(m) >= host->drain_end_us)
		host->drain_start_us = 0;
	host->draining = draining;
	for (GList *item = host->jobs; item; item = next) {
		job_t *job = item->data;

		next = item->next;
		if ((double)now_us(m) >=
		    (double)job->started_us + job->remaining_us)
			finish_job(m, host, job);
		else if (draining)
			evict_job(m, host, job);
	}
	if (draining)
		return;
	m->available_core_us += (double)m->config->cores * STEP_US;
	if (m->waiting_count > m->waiting[0].length)
		m->stranded_core_us += (double)host->free.free_cores * STEP_US;
}

/* ======   Policies   ====== */

static void poll_host(place_model_t *m, host_t *host)
{
	gn_batch_worker_t worker = host->free;
	unsigned tasks = g_list_length(host->jobs);
	gn_task_t *task;

	gn_batch_share_set(&m->share, &host->member, !host->draining, tasks);
	gn_batch_share_apply_limit(
		&m->share, &host->member,
		gn_batch_share_get_limit(&m->share, &host->member,
					 gn_task_queue_count(m->queue),
					 now_us(m)),
		&worker);
	worker.draining = host->draining;
	worker.drain_at_us = host->drain_start_us;
	worker.kind_count = 0;
	for (size_t i = 0; i < KIND_COUNT; i++)
		if (host->kind_count[i])
			worker.kinds[worker.kind_count++] = kinds[i].name;
	while ((task = gn_task_queue_take_next(m->queue, &worker))) {
		task->claim++;
		host->free.free_tasks--;
		host->free.free_cores -= task->cores;
		host->free.free_memory_mb -= task->memory_mb;
		host->free.free_accelerators -= task->accelerators;
		start_job(m, host, g_hash_table_lookup(m->jobs, &task->id));
	}
	gn_batch_share_set(&m->share, &host->member, !host->draining,
			   g_list_length(host->jobs));
	gn_batch_share_update_room(&m->share, &host->member, &worker);
}

static void place_product(place_model_t *m)
{
	for (unsigned i = 0; i < m->config->workers; i++)
		if ((m->step + i) % POLL_STEPS == 0)
			poll_host(m, &m->hosts[i]);
}

static bool is_allowed(const host_t *host, int kind)
{
	return (kind != exclusive_kinds[0] ||
		!host->kind_count[exclusive_kinds[1]]) &&
	       (kind != exclusive_kinds[1] ||
		!host->kind_count[exclusive_kinds[0]]);
}

static bool fits(const host_t *host, const job_t *job)
{
	const gn_batch_worker_t *room = &host->free;

	return !host->draining && room->free_tasks &&
	       room->free_cores >= job->task->cores &&
	       room->free_memory_mb >= job->task->memory_mb &&
	       room->free_accelerators >= job->task->accelerators &&
	       is_allowed(host, job->kind);
}

static host_t *pick_host(place_model_t *m, const job_t *job)
{
	host_t *best = NULL;
	gint seen = 0;

	for (unsigned i = 0; i < m->config->workers; i++) {
		host_t *host = &m->hosts[i];

		if (!fits(host, job))
			continue;
		seen++;
		if (!best ||
		    (m->config->policy->pick == PLACE_RANDOM &&
		     !g_rand_int_range(m->policy_rand, 0, seen)) ||
		    (m->config->policy->pick == PLACE_LEAST_LOADED &&
		     host->free.free_cores > best->free.free_cores))
			best = host;
	}
	return best;
}

static void place_baseline(place_model_t *m)
{
	if (m->step % POLL_STEPS)
		return;
	for (int p = 0; p < GN_TASK_PRIORITIES; p++) {
		GList *next;

		for (GList *item = m->waiting[p].head; item; item = next) {
			job_t *job = item->data;
			host_t *host = NULL;

			next = item->next;
			if (job->kind != KIND_NOISE ||
			    m->running[KIND_NOISE] < NOISE_QUOTA)
				host = pick_host(m, job);
			if (!host)
				continue;
			g_queue_delete_link(&m->waiting[p], item);
			host->free.free_tasks--;
			host->free.free_cores -= job->task->cores;
			host->free.free_memory_mb -= job->task->memory_mb;
			host->free.free_accelerators -= job->task->accelerators;
			start_job(m, host, job);
		}
	}
}

const place_policy_t place_policies[PLACE_POLICY_COUNT] = {
	[PLACE_PRODUCT] = { "product", place_product, 0 },
	[PLACE_FIRST_FIT] = { "first fit", place_baseline, PLACE_FIRST_FIT },
	[PLACE_RANDOM] = { "random", place_baseline, PLACE_RANDOM },
	[PLACE_LEAST_LOADED] = { "least loaded", place_baseline,
				 PLACE_LEAST_LOADED },
};

/* ======   Run   ====== */

static const gn_task_queue_params_t params = {
	.ageing_step_us = 60 * GN_US_PER_S,
	.drain_lead_us = 60 * GN_US_PER_S,
	.backoff_min_us = 500 * GN_US_PER_MS,
	.backoff_max_us = 60 * GN_US_PER_S,
};

static void set_up_hosts(place_model_t *m)
{
	m->hosts = talloc_zero_array(m->frame, host_t, m->config->workers);
	for (unsigned i = 0; i < m->config->workers; i++) {
		host_t *host = &m->hosts[i];
		unsigned rack = i / RACK_WORKERS;

		g_snprintf(host->name, sizeof(host->name), "worker-%u", i);
		host->free = (gn_batch_worker_t){
			.name = host->name,
			.service = "s",
			.free_tasks = SLOTS,
			.cores = m->config->cores,
			.memory_mb = m->config->memory_mb,
			.free_cores = m->config->cores,
			.free_memory_mb = m->config->memory_mb,
			.free_accelerators = i % 4 ? 0 : ACCELERATORS,
		};
		if (rack != 1 && rack != 2)
			continue;
		host->drain_start_us =
			m->begin_us + (rack == 1 ? 2 : 5) * HOUR_US;
		host->drain_end_us = host->drain_start_us + HOUR_US;
	}
}

static void set_up(place_model_t *m)
{
	m->frame = talloc_new(NULL);
	gn_clock_init_paused(&m->clock, 1000 * GN_US_PER_S);
	m->begin_us = now_us(m);
	m->work_rand = g_rand_new_with_seed(m->config->seed);
	m->policy_rand = g_rand_new_with_seed(m->config->seed);
	m->jobs = g_hash_table_new(g_int64_hash, g_int64_equal);
	m->queue = gn_task_queue_create(m->frame, &params, &m->clock,
					m->policy_rand);
	gn_task_queue_set_quota(m->queue, kinds[KIND_NOISE].name, NOISE_QUOTA);
	gn_task_queue_forbid_sharing(m->queue, kinds[exclusive_kinds[0]].name,
				     kinds[exclusive_kinds[1]].name);
	m->urgent_waits = g_array_new(FALSE, FALSE, sizeof(double));
	m->large_waits = g_array_new(FALSE, FALSE, sizeof(double));
	set_up_hosts(m);
}

static int compare_doubles(gconstpointer a, gconstpointer b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

static double quantile(GArray *values, double part)
{
	guint index = (guint)(part * values->len);

	if (!values->len)
		return 0;
	g_array_sort(values, compare_doubles);
	return g_array_index(values, double, MIN(index, values->len - 1));
}

/** Counts tasks that were never started with the time they have waited. */
static void count_unstarted(place_model_t *m)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const job_t *job = value;
		double wait_s =
			(double)(now_us(m) - job->submitted_us) / GN_US_PER_S;

		if (!job->started_once && job->kind == KIND_URGENT)
			g_array_append_val(m->urgent_waits, wait_s);
		if (!job->started_once && job->kind == KIND_LARGE)
			g_array_append_val(m->large_waits, wait_s);
	}
}

static void compute_result(place_model_t *m)
{
	place_result_t *result = m->result;
	guint late = 0;

	count_unstarted(m);
	for (guint i = 0; i < m->urgent_waits->len; i++)
		late += g_array_index(m->urgent_waits, double, i) *
				GN_US_PER_S >
			URGENT_TARGET_US;
	result->urgent_late_pct = 100.0 * late / MAX(m->urgent_waits->len, 1);
	result->urgent_p50_s = quantile(m->urgent_waits, 0.5);
	result->urgent_p99_s = quantile(m->urgent_waits, 0.99);
	result->large_p99_s = quantile(m->large_waits, 0.99);
	result->work_pct = 100 * m->done_core_us / m->available_core_us;
	result->stranded_pct = 100 * m->stranded_core_us / m->available_core_us;
}

static void tear_down(place_model_t *m)
{
	for (unsigned i = 0; i < m->config->workers; i++)
		g_list_free(m->hosts[i].jobs);
	for (int p = 0; p < GN_TASK_PRIORITIES; p++)
		g_queue_clear(&m->waiting[p]);
	g_array_free(m->urgent_waits, TRUE);
	g_array_free(m->large_waits, TRUE);
	g_hash_table_destroy(m->jobs);
	talloc_free(m->frame);
	g_rand_free(m->work_rand);
	g_rand_free(m->policy_rand);
}

void place_model_run(const place_config_t *config, place_result_t *result)
{
	place_model_t m = { .config = config, .result = result };

	*result = (place_result_t){ 0 };
	set_up(&m);
	while (elapsed_us(&m) < SIMULATED_US) {
		submit_arrivals(&m);
		for (unsigned i = 0; i < config->workers; i++)
			run_host(&m, &m.hosts[i]);
		config->policy->place(&m);
		gn_clock_advance(&m.clock, STEP_US);
		m.step++;
	}
	compute_result(&m);
	tear_down(&m);
}
