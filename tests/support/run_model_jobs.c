/**
 * @file run_model_jobs.c
 * @brief The jobs of a walk, and the callers that submit and cancel them.
 */
#include "support/run_model_internal.h"

#include <stdlib.h>
#include <string.h>

#define CALLERS_MS 100
/** The last job is submitted by then, while faults still begin. */
#define SUBMIT_MAX_MS 14000
/** A job that is submitted soon is so within this. */
#define SOON_MAX_MS 600
#define DURATION_MIN_MS 60
#define DURATION_MAX_MS 1200
/** Chance that the tasks of a step are long, if some are. */
#define LONG_CHANCE 0.15
#define CALM_LONG_CHANCE 0.5
#define LONG_MIN_MS 8000
#define LONG_MAX_MS 15000
/** Every so many jobs, one lasts until it is cancelled. */
#define STANDING_INTERVAL 9
#define CANCEL_CHANCE 0.15
/** Chance that a run fails, and the same for a task that often fails. */
#define FAIL_CHANCE 0.04
#define OFTEN_FAIL_CHANCE 0.6
#define OFTEN_FAILS_CHANCE 0.1
/** Chance that a task crashes the workers that start it, mostly soon. */
#define DEADLY_CHANCE 0.03
#define DEADLY_SOON_CHANCE 0.8
#define DEADLY_SOON_MAX_MS 20
#define DEADLY_LATE_MAX_MS 600

/* ======   Creation   ====== */

static Gn__JobStep *create_step(run_model_t *model, bool standing,
				unsigned number)
{
	Gn__JobStep *step = malloc(sizeof(*step));

	gn__job_step__init(step);
	step->count =
		(uint32_t)g_rand_int_range(model->rand, 1, model->calm ? 2 : 4);
	/* All standing tasks together leave room for each other task. */
	step->cpu_milli =
		standing ? 500
			 : (uint32_t)g_rand_int_range(model->rand, 1, 4) * 500;
	step->memory_mb = 1;
	step->estimate_ms = (uint32_t)g_rand_int_range(
		model->rand, DURATION_MIN_MS, DURATION_MAX_MS);
	if (model->options.recut &&
	    rm_draw(model, model->calm ? CALM_LONG_CHANCE : LONG_CHANCE))
		step->estimate_ms = (uint32_t)g_rand_int_range(
			model->rand, LONG_MIN_MS, LONG_MAX_MS);
	step->standing = standing;
	step->image = strdup("");
	if (!number)
		return step;
	step->after = malloc(sizeof(*step->after));
	step->after[0] = number - 1;
	step->n_after = 1;
	return step;
}

static Gn__JobSpec *create_spec(run_model_t *model, const rm_job_t *job)
{
	Gn__JobSpec *spec = malloc(sizeof(*spec));
	unsigned steps = 1;

	if (!job->standing && rm_draw(model, 0.4))
		steps = 2;
	gn__job_spec__init(spec);
	spec->id = strdup(job->id);
	spec->queue = strdup("q");
	spec->steps = calloc(steps, sizeof(void *));
	for (unsigned i = 0; i < steps; i++)
		spec->steps[spec->n_steps++] =
			create_step(model, job->standing, i);
	g_assert_cmpint(gn_job_check(spec, NULL), ==, GN_OK);
	return spec;
}

static void add_task(run_model_t *model, rm_job_t *job, const Gn__JobSpec *spec,
		     const Gn__JobStep *step)
{
	rm_task_t *task = &job->tasks[job->task_count];

	gn_task_format_name(spec, (uint32_t)job->task_count++, task->name);
	task->cpu_milli = step->cpu_milli;
	task->duration_ms = step->estimate_ms;
	task->standing = step->standing;
	task->fail_chance = rm_draw(model, OFTEN_FAILS_CHANCE)
				    ? OFTEN_FAIL_CHANCE
				    : FAIL_CHANCE;
	if (model->options.deadly && rm_draw(model, DEADLY_CHANCE))
		task->crashes_after_us =
			rm_draw_us(model, 1,
				   rm_draw(model, DEADLY_SOON_CHANCE)
					   ? DEADLY_SOON_MAX_MS
					   : DEADLY_LATE_MAX_MS);
	g_hash_table_insert(model->tasks, task->name, task);
}

static void create_job(run_model_t *model, unsigned number)
{
	rm_job_t *job = &model->jobs[number];
	Gn__JobSpec *spec;
	uint8_t *data;
	size_t len;

	g_snprintf(job->id, sizeof(job->id), "%016x", number + 1);
	job->submit_us = RM_START_US + rm_draw_us(model, 0, SUBMIT_MAX_MS);
	job->standing = !model->calm && number % STANDING_INTERVAL == 0;
	if (rm_draw(model, CANCEL_CHANCE))
		job->cancel_us = job->submit_us + rm_draw_us(model, 0, 1500);
	spec = create_spec(model, job);
	for (size_t i = 0; i < spec->n_steps; i++)
		for (uint32_t k = 0; k < spec->steps[i]->count; k++)
			add_task(model, job, spec, spec->steps[i]);
	len = gn__job_spec__get_packed_size(spec);
	data = g_malloc(len);
	gn__job_spec__pack(spec, data);
	job->spec = g_bytes_new_take(data, len);
	g_hash_table_insert(model->jobs_by_id, job->id, job);
	gn__job_spec__free_unpacked(spec, NULL);
}

void rm_jobs_create(run_model_t *model)
{
	for (unsigned i = 0; i < RM_JOBS; i++)
		create_job(model, i);
}

void rm_jobs_submit_soon(run_model_t *model)
{
	uint64_t now_us = rm_now_us(model);
	uint64_t earlier_us;

	for (unsigned i = 0; i < RM_JOBS; i++) {
		rm_job_t *job = &model->jobs[i];

		if (job->submit_us < now_us + SOON_MAX_MS * RM_MS)
			continue;
		earlier_us = job->submit_us - now_us -
			     rm_draw_us(model, 0, SOON_MAX_MS);
		job->submit_us -= earlier_us;
		if (job->cancel_us)
			job->cancel_us -= earlier_us;
		return;
	}
}

/* ======   Callers   ====== */

static void submit(run_model_t *model, rm_job_t *job)
{
	gsize len;
	gconstpointer data = g_bytes_get_data(job->spec, &len);

	job->accepted = job->state != NULL;
	if (!job->accepted)
		gn_sched_submit(model->leader->sched,
				gn__job_spec__unpack(NULL, len, data));
}

static void cancel(run_model_t *model, rm_job_t *job)
{
	job->cancelled = job->phase >= GN_JOB_COMPLETED;
	if (job->cancelled)
		return;
	model->counts->cancels++;
	gn_sched_cancel(model->leader->sched, job->id);
}

static void tick_job(run_model_t *model, rm_job_t *job)
{
	uint64_t now_us = rm_now_us(model);

	if (!job->accepted && now_us >= job->submit_us)
		submit(model, job);
	else if (job->accepted && job->cancel_us && !job->cancelled &&
		 now_us >= job->cancel_us)
		cancel(model, job);
}

void rm_jobs_tick(run_model_t *model, void *data)
{
	(void)data;
	for (unsigned i = 0; i < RM_JOBS; i++)
		if (model->leader && model->leader->serving)
			tick_job(model, &model->jobs[i]);
	rm_at(model, rm_now_us(model) + CALLERS_MS * RM_MS, rm_jobs_tick, NULL,
	      NULL);
}
