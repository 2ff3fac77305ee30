#include "job/job.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "common/str.h"

#define STEP "job"
/** Maximum size, count or time in a step. */
#define FIELD_MAX 1000000000U

/* ======   Enumerations   ====== */

static const char *get_name(const char *const *names, size_t count,
			    unsigned value)
{
	return value < count ? names[value] : "?";
}

#define GET_NAME(names, value) \
	get_name((names), G_N_ELEMENTS(names), (unsigned)(value))

const char *gn_job_phase_name(gn_job_phase_t phase)
{
	static const char *const names[GN_JOB_PHASE_COUNT] = {
		"queued", "running", "completed", "failed", "cancelled"
	};

	return GET_NAME(names, phase);
}

const char *gn_end_kind_name(gn_end_kind_t how)
{
	static const char *const names[GN_END_KIND_COUNT] = {
		"done", "failed", "stopped", "lapsed", "broken", "alone"
	};

	return GET_NAME(names, how);
}

const char *gn_job_call_name(gn_job_call_kind_t kind)
{
	static const char *const names[GN_CALL_KIND_COUNT] = {
		"submit", "state", "cancel", "count"
	};

	return GET_NAME(names, kind);
}

const char *gn_job_result_name(gn_job_result_t result)
{
	static const char *const names[GN_RESULT_COUNT] = {
		"ok",	   "not-found", "refused", "not-leader",
		"unknown", "invalid",	"no-queue"
	};

	return GET_NAME(names, result);
}

const char *gn_run_order_kind_name(gn_run_order_kind_t kind)
{
	static const char *const names[GN_RUN_ORDER_KIND_COUNT] = { "start",
								    "stop",
								    "pace" };

	return GET_NAME(names, kind);
}

const char *gn_run_order_outcome_name(gn_run_order_outcome_t outcome)
{
	static const char *const names[GN_ORDER_OUTCOME_COUNT] = {
		"started",     "no-room",    "ended",
		"not-started", "no-ticket",  "malformed",
		"gone",	       "life-ended", "evacuated"
	};

	return GET_NAME(names, outcome);
}

/* ======   Checks   ====== */

bool gn_job_is_id(gn_str_t id)
{
	if (id.len != GN_JOB_ID_LEN)
		return false;
	for (size_t i = 0; i < id.len; i++)
		if (!g_ascii_isxdigit(id.data[i]))
			return false;
	return true;
}

static gn_code_t check_step(const Gn__JobStep *step, size_t number,
			    gn_error_t *error)
{
	if (step->count < 1 || step->count > GN_JOB_TASKS_MAX)
		return gn_error_set(error, GN_ERR_RANGE, STEP, NULL,
				    "step %zu has %u tasks, 1 to %d allowed",
				    number, step->count, GN_JOB_TASKS_MAX);
	if (step->cpu_milli > FIELD_MAX || step->memory_mb > FIELD_MAX ||
	    step->accelerators > FIELD_MAX || step->estimate_ms > FIELD_MAX)
		return gn_error_set(error, GN_ERR_RANGE, STEP, NULL,
				    "step %zu has a size over %u", number,
				    FIELD_MAX);
	for (size_t i = 0; i < step->n_after; i++)
		if (step->after[i] >= number)
			return gn_error_set(
				error, GN_ERR_INVALID, STEP, NULL,
				"step %zu waits for step %u, which is not earlier",
				number, step->after[i]);
	return GN_OK;
}

gn_code_t gn_job_check(const Gn__JobSpec *spec, gn_error_t *error)
{
	uint64_t tasks = 0;
	gn_code_t code;

	if (!gn_job_is_id(gn_str_from(spec->id)))
		return gn_error_set(error, GN_ERR_INVALID, STEP, NULL,
				    "the id has not 16 hexadecimal digits");
	if (spec->n_steps < 1 || spec->n_steps > GN_JOB_STEPS_MAX)
		return gn_error_set(error, GN_ERR_RANGE, STEP, NULL,
				    "%zu steps, 1 to %d allowed", spec->n_steps,
				    GN_JOB_STEPS_MAX);
	if (spec->payload.len > GN_JOB_PAYLOAD_MAX)
		return gn_error_set(error, GN_ERR_RANGE, STEP, NULL,
				    "a payload of %zu bytes, %d allowed",
				    spec->payload.len, GN_JOB_PAYLOAD_MAX);
	for (size_t i = 0; i < spec->n_steps; i++) {
		code = check_step(spec->steps[i], i, error);
		if (code)
			return code;
		tasks += spec->steps[i]->count;
	}
	tasks *= gn_job_occurrences(spec);
	if (tasks > GN_JOB_TASKS_MAX)
		return gn_error_set(error, GN_ERR_RANGE, STEP, NULL,
				    "%llu tasks, %d allowed",
				    (unsigned long long)tasks,
				    GN_JOB_TASKS_MAX);
	return GN_OK;
}

/* ======   Tasks   ====== */

uint32_t gn_job_occurrences(const Gn__JobSpec *spec)
{
	return spec->repeats ? spec->repeats : 1;
}

uint32_t gn_job_tasks_per_occurrence(const Gn__JobSpec *spec)
{
	uint32_t width = 0;

	for (size_t i = 0; i < spec->n_steps; i++)
		width += spec->steps[i]->count;
	return width;
}

gn_task_position_t gn_job_locate_task(const Gn__JobSpec *spec, uint32_t number)
{
	uint32_t width = gn_job_tasks_per_occurrence(spec);
	gn_task_position_t place = { 0 };

	if (!width)
		return place;
	place.occurrence = number / width;
	place.index = number % width;
	while (place.index >= spec->steps[place.step]->count)
		place.index -= spec->steps[place.step++]->count;
	return place;
}

uint32_t gn_job_first_task(const Gn__JobSpec *spec, uint32_t occurrence,
			   uint32_t step)
{
	uint32_t number = occurrence * gn_job_tasks_per_occurrence(spec);

	for (uint32_t i = 0; i < step; i++)
		number += spec->steps[i]->count;
	return number;
}

void gn_task_format_name(const Gn__JobSpec *spec, uint32_t number,
			 char name[GN_TASK_NAME_SIZE])
{
	gn_task_position_t place = gn_job_locate_task(spec, number);

	snprintf(name, GN_TASK_NAME_SIZE, "%s.%u.%u.%u", spec->id,
		 place.occurrence, place.step, place.index);
}

gn_code_t gn_task_parse_name(const char *name, char id[GN_JOB_ID_LEN + 1],
			     gn_task_position_t *place)
{
	int end = 0;

	if (strlen(name) < GN_JOB_ID_LEN + 1 || name[GN_JOB_ID_LEN] != '.')
		return GN_ERR_INVALID;
	memcpy(id, name, GN_JOB_ID_LEN);
	id[GN_JOB_ID_LEN] = '\0';
	if (!gn_job_is_id(gn_str_from(id)))
		return GN_ERR_INVALID;
	if (sscanf(name + GN_JOB_ID_LEN + 1, "%9u.%9u.%9u%n",
		   &place->occurrence, &place->step, &place->index,
		   &end) != 3 ||
	    name[GN_JOB_ID_LEN + 1 + end])
		return GN_ERR_INVALID;
	return GN_OK;
}
