/**
 * @file calls.c
 * @brief Requests about jobs, which the leader serves and others forward to it.
 */
#include <string.h>

#include "common/event.h"
#include "common/str.h"
#include "http/status.h"
#include "scheduler/outcome.h"
#include "scheduler/scheduler_internal.h"
#include "scheduler/stop.h"

/**
 * Time after which a change that the store has not confirmed is answered with
 * an unknown result.
 */
#define STORE_TIMEOUT_US (1800 * GN_US_PER_MS)
/**
 * Time after which a job that was not even sent to the store is withdrawn and
 * refused although the store answers other calls. Without any answer, it waits
 * as outage/outage.h allows.
 */
#define UNSENT_TIMEOUT_US (1000 * GN_US_PER_MS)
/** The store answers if it did so within this time; a leader calls it at least
 * three times within its lease. */
#define STORE_ANSWERS_US (400 * GN_US_PER_MS)
/** A call is answered this long before its caller gives up. */
#define ANSWER_MARGIN_US (200 * GN_US_PER_MS)
#define MS_PER_S 1000

/* ======   Answers   ====== */

void scheduler_call_free(gpointer data)
{
	scheduler_call_t *call = data;

	g_free(call->queue);
	g_free(call->spec);
	g_free(call);
}

static unsigned get_retry_after_s(const gn_sched_reply_t *reply)
{
	return (reply->retry_after_ms + MS_PER_S - 1) / MS_PER_S;
}

void scheduler_answer_http(scheduler_t *scheduler, gn_http_request_t *request,
			   gn_job_call_kind_t kind,
			   const gn_sched_reply_t *reply)
{
	const gn_job_answer_t answer = { .kind = kind,
					 .result = reply->result,
					 .phase = reply->phase,
					 .waiting = reply->waiting,
					 .retry_after_s =
						 get_retry_after_s(reply),
					 .reason = reply->reason };

	scheduler->adapter->write_answer(&answer, &request->answer);
	gn_http_server_answer(scheduler->server, request);
}

static void answer_peer(scheduler_t *scheduler, const scheduler_call_t *call,
			const gn_sched_reply_t *reply)
{
	Gn__Envelope envelope = GN__ENVELOPE__INIT;
	Gn__JobReply message = GN__JOB_REPLY__INIT;

	message.number = call->peer_number;
	message.result = reply->result;
	message.phase = reply->phase;
	message.waiting = reply->waiting;
	message.retry_after_ms = reply->retry_after_ms;
	if (reply->reason)
		message.reason = (char *)reply->reason;
	envelope.incarnation = scheduler->runtime->incarnation;
	envelope.body_case = GN__ENVELOPE__BODY_JOB_REPLY;
	envelope.job_reply = &message;
	gn_link_send(scheduler->link, &call->peer, &envelope);
}

static uint64_t now_us(const scheduler_t *scheduler)
{
	return gn_runtime_now_us(scheduler->runtime);
}

static void log_call(const scheduler_t *scheduler, const scheduler_call_t *call,
		     const gn_sched_reply_t *reply)
{
	/* Successful queries of a state are frequent and change nothing, and
	 * neither do probes, which name no queue. */
	if ((call->kind == GN_CALL_STATE && reply->result == GN_RESULT_OK) ||
	    !*call->queue)
		return;
	gn_event("call", "{s:s, s:s, s:s*, s:s, s:s, s:s*, s:I, s:I, s:I}",
		 "job", call->job, "kind", gn_job_call_name(call->kind),
		 "queue", call->queue, "result",
		 gn_job_result_name(reply->result), "phase",
		 gn_job_phase_name(reply->phase), "why", reply->reason, "epoch",
		 (json_int_t)scheduler->epoch, "configuration",
		 (json_int_t)scheduler_config_version(scheduler), "took_us",
		 (json_int_t)(now_us(scheduler) - call->received_us));
}

/* Answers a call and frees it. */
static void answer_call(scheduler_t *scheduler, scheduler_call_t *call,
			const gn_sched_reply_t *reply)
{
	log_call(scheduler, call, reply);
	gn_histogram_add(scheduler->counters.call_time,
			 now_us(scheduler) - call->received_us);
	gn_counter_inc(scheduler->counters.results[reply->result]);
	if (call->request && call->kind == GN_CALL_SUBMIT &&
	    reply->result == GN_RESULT_OK)
		gn_outage_count_served(&scheduler->outage, now_us(scheduler));
	if (call->request)
		scheduler_answer_http(scheduler, call->request, call->kind,
				      reply);
	else
		answer_peer(scheduler, call, reply);
	scheduler_call_free(call);
}

static void answer_result(scheduler_t *scheduler, scheduler_call_t *call,
			  gn_job_result_t result, const char *reason)
{
	const gn_sched_reply_t reply = { .result = result, .reason = reason };

	answer_call(scheduler, call, &reply);
}

/* Refuses a call that has no effect here. A scheduler that forwarded it decides
 * itself what its caller is told. */
static void refuse_call(scheduler_t *scheduler, scheduler_call_t *call,
			const char *reason)
{
	gn_sched_reply_t reply = {
		.result = scheduler_get_outcome(
			call->kind, GN_RESULT_NOT_LEADER, call->uncertain),
		.reason = reason,
	};

	if (call->request && reply.result == GN_RESULT_NOT_LEADER)
		reply.retry_after_ms =
			scheduler_refuse_caller(scheduler, call, reason) *
			MS_PER_S;
	answer_call(scheduler, call, &reply);
}

/* Holds a call that has no effect here, or refuses it. */
static void hold_or_refuse(scheduler_t *scheduler, scheduler_call_t *call,
			   const char *reason)
{
	if (!call->request || !scheduler_try_hold(scheduler, call))
		refuse_call(scheduler, call, reason);
}

/* ======   Decisions   ====== */

/*
 * Whether a configuration that is no older than the one that has the queue of
 * @p call has dropped it. The scheduler that forwarded the call may be behind.
 */
static bool is_queue_dropped(const scheduler_t *scheduler,
			     const scheduler_call_t *call)
{
	const gn_queues_t *queues = scheduler->queues;

	return queues && call->configuration &&
	       call->configuration <= queues->version &&
	       !gn_queues_find(queues, call->queue);
}

static gn_sched_reply_t submit_job(scheduler_t *scheduler,
				   const scheduler_call_t *call)
{
	gn_sched_reply_t reply = { .result = GN_RESULT_NOT_LEADER,
				   .reason = SCHEDULER_STORE_AWAY };
	bool is_new = gn_sched_get_state(scheduler->sched, call->job).result ==
		      GN_RESULT_NOT_FOUND;
	Gn__JobSpec *spec;

	if (is_new && (!scheduler_is_confirmed(scheduler) ||
		       !scheduler_waits_for_store(scheduler, call)))
		return reply;
	reply.reason = NULL;
	if (is_new && is_queue_dropped(scheduler, call)) {
		reply.result = GN_RESULT_NO_QUEUE;
		return reply;
	}
	spec = gn__job_spec__unpack(NULL, call->spec_len, call->spec);
	if (!spec || gn_job_check(spec, NULL)) {
		if (spec)
			gn__job_spec__free_unpacked(spec, NULL);
		reply.result = GN_RESULT_INVALID;
		return reply;
	}
	reply = gn_sched_submit(scheduler->sched, spec);
	gn_counter_inc(scheduler->counters.forecasts[reply.forecast]);
	return reply;
}

static gn_sched_reply_t decide_call(scheduler_t *scheduler,
				    const scheduler_call_t *call)
{
	gn_sched_reply_t reply;

	switch (call->kind) {
	case GN_CALL_SUBMIT:
		return submit_job(scheduler, call);
	case GN_CALL_STATE:
		reply = gn_sched_get_state(scheduler->sched, call->job);
		break;
	case GN_CALL_CANCEL:
		reply = gn_sched_cancel(scheduler->sched, call->job);
		break;
	default:
		reply = gn_sched_count_waiting(scheduler->sched, call->queue);
		if (is_queue_dropped(scheduler, call))
			reply.result = GN_RESULT_NO_QUEUE;
		/* Tells schedulers that probe the leader. */
		if (!scheduler_is_confirmed(scheduler))
			reply.reason = SCHEDULER_STORE_AWAY;
		return reply;
	}
	if (reply.result == GN_RESULT_NOT_FOUND &&
	    !scheduler_knows_all_jobs(scheduler)) {
		reply.result = GN_RESULT_NOT_LEADER;
		reply.reason = SCHEDULER_STORE_AWAY;
	}
	return reply;
}

static void serve_call(scheduler_t *scheduler, scheduler_call_t *call)
{
	call->reply = decide_call(scheduler, call);
	if (call->reply.version) {
		g_ptr_array_add(scheduler->awaiting_store, call);
	} else if (call->reply.result == GN_RESULT_NOT_LEADER) {
		hold_or_refuse(scheduler, call, call->reply.reason);
	} else {
		const gn_sched_reply_t reply = call->reply;

		answer_call(scheduler, call, &reply);
	}
	scheduler_run_pass(scheduler);
}

void scheduler_answer_durable_calls(scheduler_t *scheduler, const char *job,
				    uint64_t version)
{
	GPtrArray *waiting = scheduler->awaiting_store;

	for (guint i = waiting->len; i > 0; i--) {
		scheduler_call_t *call = g_ptr_array_index(waiting, i - 1);
		gn_sched_reply_t reply = call->reply;

		if (strcmp(call->job, job) != 0 || reply.version > version)
			continue;
		g_ptr_array_remove_index_fast(waiting, i - 1);
		answer_call(scheduler, call, &reply);
	}
}

/*
 * Withdraws the job that @p call submitted, if it is certainly not stored, and
 * returns all calls that wait for it. Otherwise returns NULL.
 */
static GPtrArray *withdraw_job(scheduler_t *scheduler,
			       const scheduler_call_t *call)
{
	GPtrArray *waiting = scheduler->awaiting_store;
	GPtrArray *calls;

	if (call->kind != GN_CALL_SUBMIT ||
	    !gn_sched_withdraw(scheduler->sched, call->job))
		return NULL;
	calls = g_ptr_array_new();
	for (guint i = waiting->len; i > 0; i--) {
		scheduler_call_t *other = g_ptr_array_index(waiting, i - 1);

		if (strcmp(other->job, call->job) != 0)
			continue;
		g_ptr_array_remove_index_fast(waiting, i - 1);
		g_ptr_array_add(calls, other);
	}
	return calls;
}

void scheduler_fail_waiting_calls(scheduler_t *scheduler)
{
	GPtrArray *waiting = scheduler->awaiting_store;

	while (waiting->len) {
		GPtrArray *calls =
			withdraw_job(scheduler, g_ptr_array_index(waiting, 0));

		for (guint i = 0; calls && i < calls->len; i++)
			hold_or_refuse(scheduler, g_ptr_array_index(calls, i),
				       "leadership lost");
		if (calls)
			g_ptr_array_free(calls, TRUE);
		else
			answer_result(scheduler,
				      g_ptr_array_remove_index_fast(waiting, 0),
				      GN_RESULT_UNKNOWN, "leadership lost");
	}
}

void scheduler_serve_forwarded_calls(scheduler_t *scheduler)
{
	GPtrArray *calls = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, scheduler->forwarded);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(calls, value);
	g_hash_table_steal_all(scheduler->forwarded);
	scheduler_sort_calls(calls);
	for (guint i = 0; i < calls->len; i++)
		serve_call(scheduler, g_ptr_array_index(calls, i));
	g_ptr_array_free(calls, TRUE);
}

/* Serves the calls that this leader held because the store was away. */
static void serve_held_calls(scheduler_t *scheduler)
{
	if (scheduler_is_serving(scheduler) &&
	    g_hash_table_size(scheduler->forwarded) &&
	    scheduler_is_confirmed(scheduler) &&
	    scheduler_knows_all_jobs(scheduler))
		scheduler_serve_forwarded_calls(scheduler);
}

void scheduler_dispatch_call(scheduler_t *scheduler, scheduler_call_t *call)
{
	gn_counter_inc(scheduler->counters.calls[call->kind]);
	if (scheduler_is_serving(scheduler)) {
		/* Held calls go before new ones. */
		serve_held_calls(scheduler);
		serve_call(scheduler, call);
	} else if (!scheduler_forward(scheduler, call)) {
		hold_or_refuse(scheduler, call, "no leader");
	}
}

/* ======   Other schedulers   ====== */

void scheduler_on_job_call(scheduler_t *scheduler, const gn_link_peer_t *peer,
			   const Gn__JobCall *message)
{
	scheduler_call_t *call;

	if (message->kind >= GN_CALL_KIND_COUNT ||
	    (message->kind != GN_CALL_COUNT_WAITING &&
	     !gn_job_is_id(gn_str_from(message->job))))
		return;
	call = g_new0(scheduler_call_t, 1);
	call->peer = *peer;
	call->peer_number = message->number;
	call->kind = (gn_job_call_kind_t)message->kind;
	gn_str_copy(call->job, sizeof(call->job), gn_str_from(message->job));
	call->queue = g_strdup(message->queue);
	call->configuration = message->configuration;
	call->spec_len = message->spec.len;
	call->spec = g_memdup2(message->spec.data, message->spec.len);
	call->received_us = now_us(scheduler);
	/* The sender ends the call at the caller's own deadline. */
	call->deadline_us = call->received_us + GN_OUTAGE_REMAINING_US;
	if (scheduler_is_serving(scheduler))
		serve_call(scheduler, call);
	else
		answer_result(scheduler, call, GN_RESULT_NOT_LEADER,
			      "does not lead");
}

/* Whether the leader has certainly not carried out the call. */
static bool is_certainly_undone(const scheduler_call_t *call)
{
	return !call->sent && !call->uncertain;
}

void scheduler_on_job_reply(scheduler_t *scheduler, const Gn__JobReply *message)
{
	scheduler_call_t *call =
		g_hash_table_lookup(scheduler->forwarded, &message->number);
	gn_sched_reply_t reply = {
		.result = (gn_job_result_t)message->result,
		.phase = (gn_job_phase_t)message->phase,
		.waiting = message->waiting,
		.retry_after_ms = message->retry_after_ms,
		.reason = *message->reason ? message->reason : NULL,
	};

	bool stores = strcmp(message->reason, SCHEDULER_STORE_AWAY) != 0;

	scheduler_record_leader_reply(scheduler, message);
	if (!call || message->result >= GN_RESULT_COUNT ||
	    message->phase >= GN_JOB_PHASE_COUNT)
		return;
	/* Sent again once a leader serves; see scheduler_expire_calls(). */
	if (reply.result == GN_RESULT_NOT_LEADER) {
		call->sent = false;
		if (is_certainly_undone(call)) {
			g_hash_table_steal(scheduler->forwarded,
					   &message->number);
			hold_or_refuse(scheduler, call,
				       stores ? "no leader"
					      : SCHEDULER_STORE_AWAY);
		}
		return;
	}
	reply.result = scheduler_get_outcome(call->kind, reply.result,
					     call->uncertain);
	g_hash_table_steal(scheduler->forwarded, &message->number);
	answer_call(scheduler, call, &reply);
}

/* ======   Timeouts   ====== */

static bool may_have_taken_effect(const scheduler_call_t *call)
{
	return !is_certainly_undone(call) &&
	       (call->kind == GN_CALL_SUBMIT || call->kind == GN_CALL_CANCEL);
}

/* Whether to give up a call: it took too long, or no leader is in sight. */
static bool is_forward_over(const scheduler_t *scheduler,
			    const scheduler_call_t *call)
{
	uint64_t time_us = now_us(scheduler);

	if (time_us + ANSWER_MARGIN_US >= call->deadline_us)
		return true;
	/* The process ends soon; see scheduler/stop.h. */
	if (scheduler->runtime->stopping &&
	    time_us - call->received_us >= SCHEDULER_FORWARD_TIMEOUT_US)
		return true;
	if (is_certainly_undone(call))
		return !scheduler_keeps_holding(scheduler, call);
	return time_us - call->sent_us >= SCHEDULER_FORWARD_TIMEOUT_US;
}

static void answer_timeout(scheduler_t *scheduler, scheduler_call_t *call)
{
	if (may_have_taken_effect(call))
		answer_result(scheduler, call, GN_RESULT_UNKNOWN,
			      "no answer from the leader");
	else
		refuse_call(scheduler, call,
			    is_certainly_undone(call)
				    ? "no leader"
				    : "no answer from the leader");
}

/* Returns when a job that was not sent to the store is withdrawn. */
static uint64_t get_unsent_limit_us(const scheduler_t *scheduler,
				    const scheduler_call_t *call)
{
	gn_kv_health_t health = gn_kv_http_health(scheduler->kv_http);

	if (health.answered_us > health.failed_us &&
	    now_us(scheduler) - health.answered_us < STORE_ANSWERS_US)
		return call->received_us + UNSENT_TIMEOUT_US;
	return scheduler_get_wait_limit_us(call);
}

/* Returns the calls of a job that was withdrawn because it waited too long, or
 * NULL. */
static GPtrArray *withdraw_unsent_job(scheduler_t *scheduler)
{
	GPtrArray *waiting = scheduler->awaiting_store;

	for (guint i = 0; i < waiting->len; i++) {
		scheduler_call_t *call = g_ptr_array_index(waiting, i);
		GPtrArray *calls = NULL;

		if (now_us(scheduler) >= get_unsent_limit_us(scheduler, call))
			calls = withdraw_job(scheduler, call);
		if (calls)
			return calls;
	}
	return NULL;
}

static void refuse_unsent_jobs(scheduler_t *scheduler)
{
	GPtrArray *calls;

	while ((calls = withdraw_unsent_job(scheduler))) {
		for (guint i = 0; i < calls->len; i++)
			refuse_call(scheduler, g_ptr_array_index(calls, i),
				    SCHEDULER_STORE_AWAY);
		g_ptr_array_free(calls, TRUE);
	}
}

static void expire_awaiting_store(scheduler_t *scheduler)
{
	GPtrArray *waiting = scheduler->awaiting_store;

	refuse_unsent_jobs(scheduler);
	for (guint i = waiting->len; i > 0; i--) {
		scheduler_call_t *call = g_ptr_array_index(waiting, i - 1);

		if (now_us(scheduler) - call->received_us < STORE_TIMEOUT_US &&
		    now_us(scheduler) + ANSWER_MARGIN_US < call->deadline_us)
			continue;
		g_ptr_array_remove_index_fast(waiting, i - 1);
		answer_result(scheduler, call, GN_RESULT_UNKNOWN,
			      "store silent");
	}
}

void scheduler_expire_calls(scheduler_t *scheduler)
{
	GPtrArray *expired = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	serve_held_calls(scheduler);
	g_hash_table_iter_init(&iter, scheduler->forwarded);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		scheduler_call_t *call = value;

		if (!is_forward_over(scheduler, call))
			continue;
		g_hash_table_iter_steal(&iter);
		g_ptr_array_add(expired, call);
	}
	scheduler_sort_calls(expired);
	for (guint i = 0; i < expired->len; i++)
		answer_timeout(scheduler, g_ptr_array_index(expired, i));
	g_ptr_array_free(expired, TRUE);
	expire_awaiting_store(scheduler);
}
