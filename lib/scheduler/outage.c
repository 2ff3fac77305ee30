/**
 * @file outage.c
 * @brief Carries out the decisions of outage/outage.h on callers' requests.
 */
#include "common/event.h"
#include "scheduler/scheduler_internal.h"

/** Time without an answer after which the leader counts as silent. */
#define LEADER_SILENT_US (800 * GN_US_PER_MS)
/** Longest remaining time of a caller that is believed. */
#define REMAINING_MAX_MS 60000
/** Shortest remaining time, so that clocks that differ a little do not end
 * forwarded requests before the leader can answer. */
#define REMAINING_MIN_US (700 * GN_US_PER_MS)
#define US_PER_MS GN_US_PER_MS
/** Time without a tick from which the process counts as paused. */
#define PAUSE_US (250 * GN_US_PER_MS)

static const gn_outage_failure_t failures[] = {
	[GN_KV_NO_FAILURE] = GN_OUTAGE_NONE,
	[GN_KV_NO_ANSWER] = GN_OUTAGE_NO_ANSWER,
	[GN_KV_REFUSED] = GN_OUTAGE_REFUSED,
	[GN_KV_RESET] = GN_OUTAGE_RESET,
};

static uint64_t now_us(const scheduler_t *scheduler)
{
	return gn_runtime_now_us(scheduler->runtime);
}

static uint64_t get_resumed_us(const scheduler_t *scheduler)
{
	uint64_t time_us = now_us(scheduler);

	if (scheduler->ticked_us && time_us - scheduler->ticked_us >= PAUSE_US)
		return time_us;
	return scheduler->resumed_us;
}

void scheduler_record_tick(scheduler_t *scheduler)
{
	scheduler->resumed_us = get_resumed_us(scheduler);
	scheduler->ticked_us = now_us(scheduler);
}

/* Nobody can be heard during a pause, so that silence counts from its end. */
static uint64_t leave_out_pause_us(const scheduler_t *scheduler,
				   uint64_t heard_us)
{
	return heard_us ? MAX(heard_us, get_resumed_us(scheduler)) : 0;
}

static bool is_leader_silent(const scheduler_t *scheduler)
{
	return scheduler->leader_link && scheduler->leader_answered_us &&
	       now_us(scheduler) - leave_out_pause_us(
					   scheduler,
					   scheduler->leader_answered_us) >
		       LEADER_SILENT_US;
}

static size_t get_size(const scheduler_call_t *call)
{
	return sizeof(*call) + call->spec_len +
	       (call->request ? call->request->body_len : 0);
}

static void count_held(const scheduler_t *scheduler, gn_outage_view_t *view)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, scheduler->forwarded);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const scheduler_call_t *call = value;

		if (call->sent)
			continue;
		view->held++;
		view->held_bytes += get_size(call);
	}
}

static gn_outage_view_t get_view(const scheduler_t *scheduler)
{
	gn_kv_health_t health = gn_kv_http_health(scheduler->kv_http);
	const gn_settings_t *settings = scheduler->runtime->settings;
	gn_outage_view_t view = {
		.now_us = now_us(scheduler),
		.started_us = scheduler->started_us,
		.answered_us =
			leave_out_pause_us(scheduler, health.answered_us),
		.failed_us = health.failed_us,
		.failure = failures[health.failure],
		.served_us =
			leave_out_pause_us(scheduler, scheduler->served_us),
		.leads = scheduler_is_serving(scheduler),
		.leader_silent = is_leader_silent(scheduler),
		.lease_us = (uint64_t)settings->lease_ttl_ms * GN_US_PER_MS,
	};

	return view;
}

static gn_outage_view_t get_view_with_held(const scheduler_t *scheduler)
{
	gn_outage_view_t view = get_view(scheduler);

	count_held(scheduler, &view);
	return view;
}

/* ======   State   ====== */

void scheduler_outage_tick(scheduler_t *scheduler)
{
	gn_outage_t *outage = &scheduler->outage;
	gn_outage_view_t view = get_view_with_held(scheduler);
	uint64_t began_us = outage->began_us;
	gn_outage_change_t change = gn_outage_update(outage, &view);

	gn_counter_set(scheduler->counters.holding, view.held);
	gn_counter_set(scheduler->counters.outage_ms,
		       outage->began_us
			       ? (view.now_us - outage->began_us) / US_PER_MS
			       : 0);
	if (change == GN_OUTAGE_BEGAN) {
		gn_counter_inc(scheduler->counters.outages);
		gn_event("outage", "{s:s, s:I, s:i}", "state", "began",
			 "age_ms",
			 (json_int_t)((view.now_us - outage->began_us) /
				      US_PER_MS),
			 "failure", (int)view.failure);
	} else if (change == GN_OUTAGE_ENDED) {
		gn_event(
			"outage", "{s:s, s:I, s:I, s:I}", "state", "ended",
			"length_ms",
			(json_int_t)((outage->ended_us - began_us) / US_PER_MS),
			"refused", (json_int_t)outage->refused, "held",
			(json_int_t)view.held);
	}
}

bool scheduler_may_hold(const scheduler_t *scheduler)
{
	gn_outage_view_t view = get_view(scheduler);

	return gn_outage_get_end_us(&view) != 0;
}

json_t *scheduler_dump_outage(const scheduler_t *scheduler)
{
	const gn_outage_t *outage = &scheduler->outage;
	gn_outage_view_t view = get_view_with_held(scheduler);
	json_t *lengths = json_array();
	size_t known = MIN(outage->length_count, GN_OUTAGE_LENGTHS);

	for (size_t i = 0; i < known; i++)
		json_array_append_new(
			lengths,
			json_integer((json_int_t)(outage->lengths_us[i] /
						  US_PER_MS)));
	return json_pack("{s:b, s:I, s:I, s:I, s:I, s:I, s:o, s:f}", "away",
			 outage->began_us != 0, "age_ms",
			 (json_int_t)(outage->began_us ? (view.now_us -
							  outage->began_us) /
								 US_PER_MS
						       : 0),
			 "refused", (json_int_t)outage->refused, "held",
			 (json_int_t)view.held, "held_bytes",
			 (json_int_t)view.held_bytes, "seen",
			 (json_int_t)outage->length_count, "lengths_ms",
			 lengths, "served_per_s", outage->served_per_s);
}

/* ======   Callers   ====== */

uint64_t scheduler_get_deadline_us(const scheduler_t *scheduler,
				   uint64_t deadline_ms)
{
	uint64_t wall_us = gn_clock_now_us(&scheduler->wall);
	uint64_t remaining_us = GN_OUTAGE_REMAINING_US;

	/* A deadline that is over or far off shows a clock that differs. Its
	 * caller waits, or nobody does and nothing is lost. */
	if (deadline_ms > wall_us / US_PER_MS &&
	    deadline_ms - wall_us / US_PER_MS <= REMAINING_MAX_MS)
		remaining_us = MAX(deadline_ms * US_PER_MS - wall_us,
				   REMAINING_MIN_US);
	return now_us(scheduler) + remaining_us;
}

uint64_t scheduler_get_wait_limit_us(const scheduler_call_t *call)
{
	return call->received_us +
	       gn_outage_get_limit_us(call->deadline_us - call->received_us);
}

static void log_hold(const scheduler_call_t *call,
		     const gn_outage_decision_t *decision, uint64_t time_us)
{
	gn_event("held", "{s:s, s:s, s:s, s:I, s:I, s:I}", "job", call->job,
		 "kind", gn_job_call_name(call->kind), "basis", decision->basis,
		 "age_ms", (json_int_t)(decision->age_us / US_PER_MS),
		 "estimate_ms", (json_int_t)(decision->estimate_us / US_PER_MS),
		 "hold_ms",
		 (json_int_t)((decision->until_us - time_us) / US_PER_MS));
}

unsigned scheduler_refuse_caller(scheduler_t *scheduler,
				 const scheduler_call_t *call, const char *why)
{
	gn_outage_view_t view = get_view(scheduler);
	gn_outage_decision_t decision =
		gn_outage_refuse(&scheduler->outage, &view);

	if (call && call->hold_until_us)
		gn_counter_inc(scheduler->counters.held_refused);
	gn_event("refusal", "{s:s*, s:s*, s:s, s:s, s:I, s:I, s:I, s:I}", "job",
		 call ? call->job : NULL, "kind",
		 call ? gn_job_call_name(call->kind) : NULL, "why", why,
		 "basis", decision.basis, "age_ms",
		 (json_int_t)(decision.age_us / US_PER_MS), "estimate_ms",
		 (json_int_t)(decision.estimate_us / US_PER_MS),
		 "retry_after_s", (json_int_t)decision.retry_after_s,
		 "waited_ms",
		 (json_int_t)(call ? (view.now_us - call->received_us) /
					      US_PER_MS
				   : 0));
	return decision.retry_after_s;
}

/* Whether the outage allows that @p call waits; sets how long. */
static bool begin_hold(scheduler_t *scheduler, scheduler_call_t *call)
{
	gn_outage_view_t view = get_view_with_held(scheduler);
	gn_outage_decision_t decision;

	if (view.now_us >= call->deadline_us)
		return false;
	/* A call that has waited before, for the leader or the store, has used
	 * up a part of its time. */
	if (!gn_outage_keeps_holding(&scheduler->outage, &view,
				     scheduler_get_wait_limit_us(call),
				     call->deadline_us))
		return false;
	decision = gn_outage_check(&scheduler->outage, &view,
				   call->deadline_us - view.now_us);
	if (!decision.hold)
		return false;
	call->hold_until_us = decision.until_us;
	gn_counter_inc(scheduler->counters.held);
	log_hold(call, &decision, view.now_us);
	return true;
}

bool scheduler_try_hold(scheduler_t *scheduler, scheduler_call_t *call)
{
	/* A call that was held before waits on for the rest of its time. */
	if (call->hold_until_us ? !scheduler_keeps_holding(scheduler, call)
				: !begin_hold(scheduler, call))
		return false;
	if (!call->number)
		call->number = ++scheduler->last_number;
	call->sent = false;
	g_hash_table_insert(scheduler->forwarded, &call->number, call);
	return true;
}

bool scheduler_keeps_holding(const scheduler_t *scheduler,
			     const scheduler_call_t *call)
{
	gn_outage_view_t view = get_view(scheduler);
	uint64_t until_us =
		MIN(call->hold_until_us, scheduler_get_wait_limit_us(call));

	return gn_outage_keeps_holding(&scheduler->outage, &view, until_us,
				       call->deadline_us);
}

bool scheduler_waits_for_store(const scheduler_t *scheduler,
			       const scheduler_call_t *call)
{
	gn_outage_view_t view = get_view(scheduler);

	return view.now_us < call->deadline_us &&
	       gn_outage_waits_for_store(&scheduler->outage, &view,
					 call->deadline_us - view.now_us);
}
