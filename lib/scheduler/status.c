/**
 * @file status.c
 * @brief Readiness check for the load balancer, and the state dump.
 */
#include <stdlib.h>
#include <string.h>

#include "http/reply.h"
#include "http/status.h"
#include "scheduler/scheduler_internal.h"

/*
 * Whether requests can be served here, forwarded to the leader, or held until
 * the next one is elected.
 */
static bool is_ready(const scheduler_t *scheduler)
{
	if (scheduler->runtime->stopping || !scheduler->queues)
		return false;
	if (scheduler_is_serving(scheduler))
		return scheduler_is_confirmed(scheduler);
	return scheduler_can_forward(scheduler) ||
	       scheduler_may_hold(scheduler);
}

static json_t *dump_jobs(const scheduler_t *scheduler)
{
	gn_sched_stats_t stats = { 0 };

	if (scheduler->sched)
		stats = gn_sched_stats(scheduler->sched);
	return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:f, s:I}",
			 "jobs", (json_int_t)stats.jobs, "active_jobs",
			 (json_int_t)stats.active_jobs, "workers",
			 (json_int_t)stats.workers, "claims",
			 (json_int_t)stats.claims, "waiting_tasks",
			 (json_int_t)stats.waiting_tasks, "run_times",
			 (json_int_t)stats.run_times, "late_jobs",
			 (json_int_t)stats.late_jobs, "headroom_goal",
			 stats.headroom_goal, "evacuated_workers",
			 (json_int_t)stats.evacuated_workers);
}

static json_t *dump(const scheduler_t *scheduler)
{
	json_t *json = gn_runtime_dump(scheduler->runtime);
	const char *leader = gn_lead_address(scheduler->lead);

	json_object_set_new(json, "role", json_string("scheduler"));
	json_object_set_new(json, "ready", json_boolean(is_ready(scheduler)));
	json_object_set_new(json, "leader", json_string(leader ? leader : ""));
	json_object_set_new(json, "epoch",
			    json_integer((json_int_t)scheduler->epoch));
	json_object_set_new(
		json, "configuration",
		json_integer((json_int_t)scheduler_config_version(scheduler)));
	json_object_set_new(
		json, "configuration_age_ms",
		json_integer((json_int_t)scheduler_config_age_ms(scheduler)));
	json_object_set_new(json, "scheduler", dump_jobs(scheduler));
	json_object_set_new(json, "outage", scheduler_dump_outage(scheduler));
	if (scheduler->evacuations)
		json_object_set_new(json, "evacuations",
				    scheduler_dump_evacuations(scheduler));
	return json;
}

void scheduler_on_status(void *arg, gn_http_request_t *request)
{
	scheduler_t *scheduler = arg;

	if (scheduler->adapter->is_readiness(request)) {
		request->answer.status =
			is_ready(scheduler) ? HTTP_OK : HTTP_UNAVAILABLE;
		gn_http_server_answer(scheduler->status_server, request);
	} else if (request->method == GN_HTTP_GET &&
		   !strcmp(request->path, "/dump")) {
		gn_http_reply_json(scheduler->status_server, request, HTTP_OK,
				   dump(scheduler));
	} else {
		request->answer.status = HTTP_NOT_FOUND;
		gn_http_server_answer(scheduler->status_server, request);
	}
}
