/**
 * @file run_model.c
 * @brief Time, events and the course of a walk.
 */
#include "support/run_model_internal.h"

#include "support/walk.h"

/** Interval of the processes' timers, as in the daemon. */
#define TICK_MS 10
#define CHECK_MS 50
/** Chance of few other faults with later_lives. */
#define CALM_CHANCE 0.5

typedef struct event_s {
	uint64_t time_us;
	uint64_t serial;
	rm_action_t action;
	void *data;
	GDestroyNotify free_data;
} event_t;

const gn_walk_count_t run_model_walk_counts[RUN_MODEL_COUNT_COUNT] = {
#define SOME(name) { #name, GN_WALK_SOME },
#define ANY(name) { #name, GN_WALK_ANY },
	RUN_MODEL_COUNTS(SOME, ANY)
#undef SOME
#undef ANY
};

/* ======   Time and events   ====== */

uint64_t rm_now_us(const run_model_t *model)
{
	return gn_clock_now_us(&model->clock);
}

bool rm_in_faults(const run_model_t *model)
{
	return rm_now_us(model) < RM_START_US + RM_FAULTS_MS * RM_MS;
}

uint64_t rm_draw_us(run_model_t *model, unsigned min_ms, unsigned max_ms)
{
	return (uint64_t)g_rand_int_range(model->rand, (gint32)min_ms * 1000,
					  (gint32)max_ms * 1000 + 1);
}

bool rm_draw(run_model_t *model, double chance)
{
	return gn_walk_draw(model->rand, chance);
}

static gint compare_events(gconstpointer a, gconstpointer b, gpointer arg)
{
	const event_t *first = a;
	const event_t *second = b;

	(void)arg;
	if (first->time_us != second->time_us)
		return first->time_us < second->time_us ? -1 : 1;
	return first->serial < second->serial ? -1 : 1;
}

static void free_event(gpointer data)
{
	event_t *event = data;

	if (event->free_data)
		event->free_data(event->data);
	g_free(event);
}

void rm_at(run_model_t *model, uint64_t time_us, rm_action_t action, void *data,
	   GDestroyNotify free_data)
{
	event_t *event = g_new(event_t, 1);

	event->time_us = MAX(time_us, rm_now_us(model));
	event->serial = ++model->event_serial;
	event->action = action;
	event->data = data;
	event->free_data = free_data;
	g_sequence_insert_sorted(model->events, event, compare_events, NULL);
}

static uint64_t get_end_us(const run_model_t *model)
{
	uint64_t ms = RM_WALK_MS + (model->options.deadly ? RM_DEADLY_MS : 0) +
		      (model->options.recut ? RM_RECUT_MS : 0);

	return RM_START_US + ms * RM_MS;
}

/* Returns false if the walk is over. */
static bool run_next_event(run_model_t *model)
{
	GSequenceIter *first = g_sequence_get_begin_iter(model->events);
	event_t *event = g_sequence_get(first);
	uint64_t passed_us = event->time_us - rm_now_us(model);
	rm_action_t action = event->action;
	void *data = event->data;

	if (event->time_us > get_end_us(model))
		return false;
	gn_clock_advance(&model->clock, passed_us);
	gn_clock_advance(&model->wall, passed_us);
	event->free_data = NULL; /* The action takes over the data. */
	g_sequence_remove(first);
	action(model, data);
	return !model->violation && !model->settled;
}

/* ======   Log   ====== */

void rm_log(run_model_t *model, const char *who, unsigned at, const char *what,
	    const rm_task_t *task, uint32_t attempt, const char *detail)
{
	const rm_line_t line = { .time_us = rm_now_us(model),
				 .who = who,
				 .at = at,
				 .what = what,
				 .detail = detail,
				 .task = task,
				 .attempt = attempt };

	g_array_append_val(model->log, line);
}

rm_task_t *rm_find_task(const run_model_t *model, const char *name)
{
	return g_hash_table_lookup(model->tasks, name);
}

/* ======   Timers   ====== */

static void tick_worker(run_model_t *model, void *data)
{
	rm_worker_tick(model, data);
	rm_at(model, rm_now_us(model) + TICK_MS * RM_MS, tick_worker, data,
	      NULL);
}

static void tick_executor(run_model_t *model, void *data)
{
	rm_evacuations_note_touch(model, data);
	rm_executor_tick(model, data);
	rm_at(model, rm_now_us(model) + TICK_MS * RM_MS, tick_executor, data,
	      NULL);
}

static void tick_leaders(run_model_t *model, void *data)
{
	(void)data;
	for (unsigned i = 0; i < RM_LEADERS; i++)
		if (model->leaders[i].serving)
			rm_leader_tick(&model->leaders[i]);
	rm_at(model, rm_now_us(model) + TICK_MS * RM_MS, tick_leaders, NULL,
	      NULL);
}

static void tick_check(run_model_t *model, void *data)
{
	rm_check_tick(model, data);
	model->settled = model->options.recut &&
			 rm_now_us(model) > RM_START_US + RM_WALK_MS * RM_MS &&
			 rm_check_is_settled(model);
	rm_at(model, rm_now_us(model) + CHECK_MS * RM_MS, tick_check, NULL,
	      NULL);
}

/* ======   The walk   ====== */

static void open_model(run_model_t *model, guint32 seed,
		       const run_model_options_t *options,
		       run_model_counts_t *counts)
{
	model->seed = seed;
	model->options = *options;
	model->counts = counts;
	model->rand = g_rand_new_with_seed(seed);
	gn_clock_init_paused(&model->clock, RM_START_US);
	gn_clock_init_paused(&model->wall, RM_WALL_MS * RM_MS);
	model->events = g_sequence_new(free_event);
	model->texts = g_string_chunk_new(1024);
	model->log = g_array_new(FALSE, FALSE, sizeof(rm_line_t));
	model->tasks = g_hash_table_new(g_str_hash, g_str_equal);
	model->jobs_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	model->calm_us = RM_START_US;
	model->calm = options->later_lives && rm_draw(model, CALM_CHANCE);
	rm_jobs_create(model);
}

static void start_processes(run_model_t *model)
{
	rm_leader_elect(model, 0);
	for (unsigned i = 0; i < RM_WORKERS; i++) {
		rm_worker_t *worker = &model->workers[i];
		rm_executor_t *executor = &model->executors[i];

		worker->at = i;
		executor->at = i;
		executor->model = model;
		rm_worker_boot(model, worker, false);
		rm_executor_start(model, executor);
		if (model->options.shrinks)
			rm_at(model, RM_START_US + rm_draw_us(model, 500, 4000),
			      rm_faults_shrink, worker, NULL);
		rm_evacuations_start(model, worker);
		rm_at(model, RM_START_US + rm_draw_us(model, 0, TICK_MS),
		      tick_worker, worker, NULL);
		rm_at(model, RM_START_US + rm_draw_us(model, 0, TICK_MS),
		      tick_executor, executor, NULL);
	}
	rm_at(model, RM_START_US, tick_leaders, NULL, NULL);
	rm_at(model, RM_START_US, tick_check, NULL, NULL);
	rm_at(model, RM_START_US, rm_jobs_tick, NULL, NULL);
	rm_at(model, RM_START_US + GN_US_PER_S, rm_faults_next, NULL, NULL);
	rm_recut_start(model);
}

static void close_jobs(run_model_t *model)
{
	for (unsigned i = 0; i < RM_JOBS; i++) {
		g_bytes_unref(model->jobs[i].spec);
		g_bytes_unref(model->jobs[i].state);
	}
	g_hash_table_destroy(model->tasks);
	g_hash_table_destroy(model->jobs_by_id);
}

static void close_model(run_model_t *model)
{
	g_sequence_free(model->events);
	for (unsigned i = 0; i < RM_LEADERS; i++)
		rm_leader_end(&model->leaders[i]);
	for (unsigned i = 0; i < RM_WORKERS; i++) {
		rm_worker_t *worker = &model->workers[i];

		rm_executor_stop(model, &model->executors[i]);
		g_ptr_array_unref(worker->runs);
		g_array_unref(worker->listed_ends);
		g_hash_table_destroy(worker->closed);
		g_hash_table_destroy(worker->known_over);
		g_ptr_array_unref(worker->delayed);
		if (worker->waiting)
			rm_call_unref(worker->waiting);
	}
	close_jobs(model);
	g_array_unref(model->log);
	g_string_chunk_free(model->texts);
	g_rand_free(model->rand);
}

const char *run_model_walk(guint32 seed, const run_model_options_t *options,
			   run_model_counts_t *counts)
{
	run_model_t *model = g_new0(run_model_t, 1);
	const char *violation;

	open_model(model, seed, options, counts);
	start_processes(model);
	while (run_next_event(model))
		;
	if (!model->violation)
		rm_check_end(model);
	violation = model->violation;
	if (violation && options->print)
		rm_check_print(model);
	close_model(model);
	g_free(model);
	return violation;
}
