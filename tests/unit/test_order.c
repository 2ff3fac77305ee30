#include <glib.h>

#include "batch/task_queue.h"
#include "common/str.h"

#define SECOND UINT64_C(1000000)

static const gn_task_queue_params_t params = {
	.ageing_step_us = 60 * SECOND,
	.drain_lead_us = 30 * SECOND,
	.backoff_min_us = SECOND,
	.backoff_max_us = 16 * SECOND,
};

typedef struct fixture_s {
	TALLOC_CTX *frame;
	gn_clock_t clock;
	GRand *rand;
	gn_task_queue_t *queue;
	uint64_t serial;
} fixture_t;

static void set_up(fixture_t *f, gconstpointer data)
{
	(void)data;
	f->frame = talloc_new(NULL);
	gn_clock_init_paused(&f->clock, 1000 * SECOND);
	f->rand = g_rand_new_with_seed(3);
	f->queue = gn_task_queue_create(f->frame, &params, &f->clock, f->rand);
}

static void tear_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	talloc_free(f->frame);
	g_rand_free(f->rand);
}

static gn_task_t *add_task(fixture_t *f, const char *team, const char *kind,
			   unsigned priority, unsigned cores)
{
	gn_task_request_t request = { .work_class = GN_CLASS_BATCH,
				      .team = gn_str_from(team),
				      .kind = gn_str_from(kind),
				      .service = GN_STR("s"),
				      .priority = priority,
				      .cores = cores,
				      .run_ms = 600 * 1000 };
	gn_task_t *task = gn_task_create(f->frame, ++f->serial, &request,
					 gn_clock_now_us(&f->clock));

	g_assert_cmpint(gn_task_queue_add(f->queue, task), ==, GN_OK);
	return task;
}

static gn_batch_worker_t make_worker(void)
{
	return (gn_batch_worker_t){ .name = "w1",
				    .service = "s",
				    .free_tasks = 8,
				    .free_cores = 16,
				    .free_memory_mb = 1024 };
}

static gn_task_t *take_next(fixture_t *f)
{
	gn_batch_worker_t worker = make_worker();

	return gn_task_queue_take_next(f->queue, &worker);
}

static void test_urgent_first(fixture_t *f, gconstpointer data)
{
	gn_task_t *late = add_task(f, "a", "k", 3, 1);
	gn_task_t *urgent = add_task(f, "a", "k", 0, 1);
	gn_task_t *second = add_task(f, "b", "k", 0, 1);

	(void)data;
	g_assert_true(take_next(f) == urgent);
	g_assert_true(take_next(f) == second);
	g_assert_true(take_next(f) == late);
	g_assert_null(take_next(f));
}

/** Ageing finally puts a task of the lowest priority before urgent ones. */
static void test_ageing(fixture_t *f, gconstpointer data)
{
	gn_task_t *old = add_task(f, "a", "k", 3, 1);
	gn_task_t *urgent;

	(void)data;
	gn_clock_advance(&f->clock, 2 * params.ageing_step_us);
	urgent = add_task(f, "a", "k", 0, 1);
	g_assert_true(take_next(f) == urgent);
	gn_clock_advance(&f->clock, 2 * params.ageing_step_us);
	add_task(f, "a", "k", 0, 1);
	g_assert_true(take_next(f) == old);
}

/** Only urgent tasks use the capacity that is reserved for them. */
static void test_reserved(fixture_t *f, gconstpointer data)
{
	static const struct {
		unsigned priority;
		unsigned cores;
		unsigned free_tasks;
		bool taken;
	} rows[] = {
		{ 0, 2, 1, true },
		{ 1, 2, 1, false },
		{ 0, 4, 8, true },
		{ 1, 3, 8, false },
		{ 3, 2, 8, true },
		/* Too large to ever run beside the reservation. */
		{ 3, 15, 8, false },
	};

	(void)data;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		gn_batch_worker_t worker = make_worker();
		gn_task_t *task =
			add_task(f, "a", "k", rows[i].priority, rows[i].cores);

		worker.cores = 16;
		worker.free_cores = 4;
		worker.reserved_cores = 2;
		worker.free_tasks = rows[i].free_tasks;
		worker.reserved_tasks = 1;
		g_assert_true((gn_task_queue_take_next(f->queue, &worker) ==
			       task) == rows[i].taken);
		worker.free_cores = 16;
		worker.free_tasks = 8;
		if (!rows[i].taken)
			g_assert_true(gn_task_queue_take_next(f->queue,
							      &worker) == task);
	}
}

static void test_quota(fixture_t *f, gconstpointer data)
{
	gn_task_t *first = add_task(f, "a", "k", 0, 1);
	gn_task_t *second = add_task(f, "a", "k", 0, 1);
	gn_task_t *other = add_task(f, "b", "k", 3, 1);

	(void)data;
	gn_task_queue_set_quota(f->queue, "a", 1);
	g_assert_true(take_next(f) == first);
	gn_task_queue_use_quota(f->queue, first);
	g_assert_true(take_next(f) == other);
	g_assert_null(take_next(f));
	gn_task_queue_return_quota(f->queue, first);
	g_assert_true(take_next(f) == second);
}

static void test_kinds(fixture_t *f, gconstpointer data)
{
	gn_batch_worker_t worker = make_worker();
	gn_task_t *noisy = add_task(f, "a", "noisy", 0, 1);

	(void)data;
	gn_task_queue_forbid_sharing(f->queue, "noisy", "listener");
	worker.kinds[worker.kind_count++] = "listener";
	g_assert_null(gn_task_queue_take_next(f->queue, &worker));
	gn_task_queue_clear_rules(f->queue);
	g_assert_true(gn_task_queue_take_next(f->queue, &worker) == noisy);
}

typedef struct fit_case_s {
	const char *name;
	unsigned free_tasks;
	unsigned free_cores;
	bool draining;
	unsigned window_s; /**< time until the rack drains, 0 if never */
	unsigned checkpoint_ms;
	bool fits;
} fit_case_t;

static const fit_case_t fit_cases[] = {
	{ "free", 1, 4, false, 0, 0, true },
	{ "no-slot", 0, 4, false, 0, 0, false },
	{ "no-cores", 1, 3, false, 0, 0, false },
	{ "draining", 1, 4, true, 0, 0, false },
	{ "ends-before-window", 1, 4, false, 631, 0, true },
	{ "ends-in-window", 1, 4, false, 630, 0, false },
	{ "checkpoint-before-window", 1, 4, false, 36, 5000, true },
	{ "checkpoint-in-window", 1, 4, false, 35, 5000, false },
};

static void test_fit(fixture_t *f, gconstpointer data)
{
	const fit_case_t *c = data;
	gn_batch_worker_t worker = make_worker();
	gn_task_t *task = add_task(f, "a", "k", 0, 4);

	task->checkpoint_ms = c->checkpoint_ms;
	worker.free_tasks = c->free_tasks;
	worker.free_cores = c->free_cores;
	worker.draining = c->draining;
	if (c->window_s)
		worker.drain_at_us =
			gn_clock_now_us(&f->clock) + c->window_s * SECOND;
	g_assert_cmpint(gn_task_queue_take_next(f->queue, &worker) == task, ==,
			c->fits);
}

static void test_fill(fixture_t *f, gconstpointer data)
{
	gn_batch_worker_t worker = make_worker();
	unsigned taken = 0;

	(void)data;
	for (int i = 0; i < 10; i++)
		add_task(f, "a", "k", 0, 3);
	while (gn_task_queue_take_next(f->queue, &worker))
		taken++;
	g_assert_cmpuint(taken, ==, 5);
	g_assert_cmpuint(worker.free_cores, ==, 1);
	g_assert_cmpuint(gn_task_queue_count(f->queue), ==, 5);
}

typedef struct reason_case_s {
	const char *service;
	unsigned cores;
	unsigned memory_mb;
	unsigned accelerators;
	gn_task_reason_t reason;
} reason_case_t;

static const reason_case_t reason_cases[] = {
	{ "s", 32, 1000, 0, GN_TASK_REASON_NONE },
	{ "s", 33, 1000, 0, GN_TASK_REASON_CORES },
	{ "s", 1, 1001, 0, GN_TASK_REASON_MEMORY },
	{ "s", 1, 1, 1, GN_TASK_REASON_ACCELERATORS },
	{ "x", 1, 1, 0, GN_TASK_REASON_NO_SERVICE },
};

static void test_check_fleet(fixture_t *f, gconstpointer data)
{
	(void)data;
	g_assert_cmpint(gn_task_queue_check_fits(f->queue, "x", 1, 1, 1), ==,
			GN_TASK_REASON_NONE);
	gn_task_queue_set_largest(f->queue, "s", 32, 1000, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(reason_cases); i++) {
		const reason_case_t *c = &reason_cases[i];

		g_assert_cmpint(gn_task_queue_check_fits(f->queue, c->service,
							 c->cores, c->memory_mb,
							 c->accelerators),
				==, c->reason);
	}
}

static void test_backoff(fixture_t *f, gconstpointer data)
{
	gn_task_t *task = add_task(f, "a", "k", 0, 1);
	uint64_t now_us = gn_clock_now_us(&f->clock);

	(void)data;
	for (unsigned i = 1; i < 40; i++) {
		uint64_t wait_us =
			gn_task_queue_retry_at_us(f->queue, i) - now_us;
		uint64_t most_us = i < 5 ? SECOND << (i - 1) : 16 * SECOND;

		g_assert_cmpuint(wait_us, >=, most_us / 2);
		g_assert_cmpuint(wait_us, <=, most_us);
	}
	gn_task_queue_remove(f->queue, task);
	task->not_before_us = now_us + SECOND;
	g_assert_cmpint(gn_task_queue_add(f->queue, task), ==, GN_OK);
	g_assert_null(take_next(f));
	gn_clock_advance(&f->clock, SECOND);
	g_assert_true(take_next(f) == task);
}

static void test_remove(fixture_t *f, gconstpointer data)
{
	gn_task_t *tasks[100];

	(void)data;
	for (unsigned i = 0; i < 100; i++)
		tasks[i] =
			add_task(f, i % 2 ? "a" : "b", "k", i % 4, 1 + i % 7);
	for (unsigned i = 0; i < 100; i++)
		gn_task_queue_remove(f->queue, tasks[(i * 37) % 100]);
	g_assert_cmpuint(gn_task_queue_count(f->queue), ==, 0);
	g_assert_cmpuint(gn_task_queue_group_count(f->queue), ==, 0);
	g_assert_null(take_next(f));
}

#define ADD(path, func) \
	g_test_add("/order/" path, fixture_t, NULL, set_up, func, tear_down)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("urgent-first", test_urgent_first);
	ADD("ageing", test_ageing);
	ADD("kept", test_reserved);
	ADD("quota", test_quota);
	ADD("kinds", test_kinds);
	ADD("fill", test_fill);
	ADD("never", test_check_fleet);
	ADD("backoff", test_backoff);
	ADD("remove", test_remove);
	for (size_t i = 0; i < G_N_ELEMENTS(fit_cases); i++) {
		char *path =
			g_strdup_printf("/order/fit/%s", fit_cases[i].name);

		g_test_add(path, fixture_t, &fit_cases[i], set_up, test_fit,
			   tear_down);
		g_free(path);
	}
	return g_test_run();
}
