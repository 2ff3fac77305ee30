/**
 * @file leave.c
 * @brief Record of a worker that has left, for a leader that is elected after
 *        this process has ended.
 */
#include <inttypes.h>
#include <stdlib.h>

#include "common/event.h"
#include "executor/executor_internal.h"
#include "job/job.h"

/** Time for which a record outlasts this process. Leaders hold the claims of a
 * worker of which they know nothing for less than that. */
#define RECORD_TTL_MS 60000

/* The next leader must not take runs for over that these may begin. */
static void add_open_starts(const executor_t *executor, TALLOC_CTX *parent,
			    Gn__Leave *leave)
{
	Gn__WorkerReport report = GN__WORKER_REPORT__INIT;

	gn_orders_describe_starts(executor->orders, parent, &report);
	leave->open_starts = talloc_array(parent, char *, report.n_open_starts);
	for (size_t i = 0; i < report.n_open_starts; i++)
		leave->open_starts[leave->n_open_starts++] = talloc_asprintf(
			parent, "%s %u", report.open_starts[i]->task,
			report.open_starts[i]->attempt);
	if (report.unknown_starts_ms)
		leave->unknown_until_ms =
			gn_clock_now_us(&executor->wall) / GN_US_PER_MS +
			report.unknown_starts_ms;
}

static gn_lease_t *create_record(executor_t *executor)
{
	const gn_runtime_t *runtime = executor->runtime;
	g_autofree char *key = g_strdup_printf(
		GN_LEAVE_PREFIX "%016" PRIx64 "-%" PRIu64, runtime->incarnation,
		executor->notice.life_started_ms);
	Gn__Leave leave = GN__LEAVE__INIT;
	TALLOC_CTX *scratch = talloc_new(executor);
	g_autofree char *value = NULL;
	gn_lease_options_t options = {
		.kv = executor->kv,
		.clock = &runtime->clock,
		.rand = runtime->rand,
		.key = key,
		.ttl_ms = RECORD_TTL_MS,
	};

	leave.host = (char *)runtime->settings->name;
	leave.life = executor->notice.life;
	leave.born_ms = executor->notice.life_started_ms;
	add_open_starts(executor, scratch, &leave);
	options.value.len = gn__leave__get_packed_size(&leave);
	value = g_malloc(options.value.len);
	gn__leave__pack(&leave, (uint8_t *)value);
	talloc_free(scratch);
	options.value.data = value;
	return gn_lease_create(executor, &options);
}

void executor_leave_tick(executor_t *executor)
{
	if (!executor->runtime->stopping || !executor->worker_ended ||
	    executor->leave_stored)
		return;
	if (!executor->leave) {
		gn_event("recording leave", "{s:s}", "life",
			 executor->notice.life);
		executor->leave = create_record(executor);
		if (!executor->leave)
			abort(); /* GLib also aborts when out of memory. */
	}
	gn_lease_tick(executor->leave);
}

void executor_leave_reset(executor_t *executor)
{
	gn_lease_free(executor->leave);
	executor->leave = NULL;
}
