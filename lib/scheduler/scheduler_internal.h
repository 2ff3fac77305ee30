/**
 * @file scheduler_internal.h
 * @brief State and functions shared by the modules of the scheduler.
 *
 * Every scheduler accepts requests. Only the leader holds jobs in memory, makes
 * decisions and writes to the store. The others forward requests to it.
 */
#ifndef GN_SCHEDULER_INTERNAL_H
#define GN_SCHEDULER_INTERNAL_H

#include <glib.h>

#include "adapter/adapter.h"
#include "common/day_clock.h"
#include "common/histogram.h"
#include "daemon/runtime.h"
#include "evacuation/evacuation.h"
#include "http/server.h"
#include "lead/lead.h"
#include "ledger/ledger.h"
#include "outage/outage.h"
#include "platform/kv_http.h"
#include "platform/watch.h"
#include "sched/sched.h"
#include "scheduler/newest.h"
#include "wire/link.h"

/** Why a leader serves a request without storing, in answers and events. */
#define SCHEDULER_STORE_AWAY "store away"

typedef struct scheduler_s scheduler_t;

/** Pending request from a caller or from another scheduler. */
typedef struct scheduler_call_s {
	/** The caller's request; NULL if another scheduler forwarded it. */
	gn_http_request_t *request;
	/** The scheduler that forwarded the request. */
	gn_link_peer_t peer;
	/** Number of the request at that scheduler. */
	uint64_t peer_number;
	gn_job_call_kind_t kind;
	char job[GN_JOB_ID_LEN + 1];
	/** Queue name, owned; an empty name marks a probe of the leader. */
	char *queue;
	/** Version of the configuration that has the queue; 0: unknown. */
	uint64_t configuration;
	/** Packed JobSpec of a submission, owned; otherwise NULL. */
	uint8_t *spec;
	size_t spec_len;
	/** Number under which the request is forwarded to the leader. */
	uint64_t number;
	/** Sent to the present leader; otherwise held until there is one. */
	bool sent;
	/** An earlier leader may have carried it out without an answer. */
	bool uncertain;
	uint64_t received_us;
	/** When it was first sent to a leader; 0: never. */
	uint64_t sent_us;
	/** When the caller gives up. */
	uint64_t deadline_us;
	/** When it is refused unless the end of an outage is in sight; 0: it
	 * was never held. */
	uint64_t hold_until_us;
	/** Answer to send once the decision is durable. */
	gn_sched_reply_t reply;
} scheduler_call_t;

/** An executor that the leader has a report from or orders for. */
typedef struct scheduler_executor_s {
	char *host;
	gn_link_peer_t peer;
	/** Sequence number of the report to answer; 0 if there is none. */
	uint64_t unanswered_sequence;
	gn_newest_t newest; /**< Its newest report. */
	uint64_t orders_basis; /**< Newest report at the first unsent order. */
	/** Highest number of a durable end that was sent to the executor. */
	uint64_t ends_sent;
	uint64_t
		fence_sent; /**< Last fencing token that was sent; 0 if none. */
	GPtrArray *orders; /**< Unsent Gn__WorkerOrder messages. */
} scheduler_executor_t;

/** Metrics of the scheduler; docs/OPERATIONS.md describes them. */
typedef struct scheduler_counters_s {
	gn_counter_t *calls[GN_CALL_KIND_COUNT];
	gn_counter_t *results[GN_RESULT_COUNT];
	/** Submissions by what decided the forecast. */
	gn_counter_t *forecasts[GN_FORECAST_REASON_COUNT];
	gn_counter_t *forwarded;
	gn_counter_t *batches;
	gn_counter_t *writes;
	gn_counter_t *orders;
	gn_counter_t *elections;
	gn_counter_t *near_waits;
	gn_counter_t *near_starts;
	gn_counter_t *far_starts;
	gn_counter_t *near_won_ms;
	gn_counter_t *near_lost_ms;
	gn_counter_t *outages;
	gn_counter_t *held;
	gn_counter_t *held_refused;
	gn_counter_t *holding; /**< Gauge: requests held now. */
	gn_counter_t *outage_ms; /**< Gauge: age of the present outage. */
	gn_counter_t *headroom_pct; /**< Gauge; 0 unless leading. */
	/** Gauge: time since the configuration was confirmed. */
	gn_counter_t *config_age_ms;
	/** Requests that waited, and were refused, for want of a confirmation.
	 */
	gn_counter_t *config_waits;
	gn_counter_t *config_refused;
	gn_counter_t *refused_entries; /**< Malformed entries of the store. */
	gn_counter_t *refused_reports; /**< Malformed reports. */
	gn_counter_t *evacuations; /**< Gauge: evacuated data centres. */
	/** Gauges of the present leadership, from gn_sched_stats_t. */
	gn_counter_t *evacuation_claims;
	gn_counter_t *held_back_starts;
	gn_counter_t *held_back_passes;
	gn_histogram_t *call_time; /**< Time from request to answer. */
	gn_histogram_t *store_time; /**< Time to store a write batch. */
} scheduler_counters_t;

struct scheduler_s {
	gn_runtime_t *runtime;
	const gn_adapter_t *adapter;
	gn_clock_t host_wall; /**< The host's time of day, which may jump. */
	gn_day_clock_t day;
	gn_clock_t wall; /**< The time of day by day_clock.h. */
	scheduler_counters_t counters;
	gn_http_server_t *server; /**< Serves callers. */
	gn_http_server_t *status_server; /**< Serves readiness and /dump. */
	/** Accepts connections from executors and other schedulers. */
	gn_link_t *link;
	gn_http_client_t *client; /**< Calls the adviser; NULL without one. */
	gn_kv_http_t *kv_http;
	gn_kv_t *kv;

	/** Watches the configuration and the evacuations. */
	gn_kv_watch_t *config_watch;
	/** NULL if this deployment has no evacuations. */
	gn_evacuations_t *evacuations;
	gn_queues_t *queues; /**< Configuration; NULL until it is read. */
	bool config_is_old; /**< It was logged as unconfirmed. */
	/** Requests that wait until the configuration is confirmed. */
	GArray *unconfirmed;

	gn_lead_t *lead;
	uint64_t epoch; /**< Epoch of this leader; 0 if not the leader. */
	gn_sched_t *sched; /**< NULL if not the leader. */
	/** What the counters have of gn_sched_near_stats(). */
	gn_sched_near_stats_t near_counted;
	gn_ledger_t *ledger; /**< NULL until the leader has loaded all jobs. */
	struct scheduler_loading_s *loading; /**< NULL unless loading jobs. */
	GHashTable *executors; /**< Maps a name to scheduler_executor_t. */
	/** Calls (scheduler_call_t) that are answered once they are stored. */
	GPtrArray *awaiting_store;
	uint64_t last_tick_us;
	uint64_t ticked_us; /**< Time of the last tick; 0 before the first. */
	/** When this process went on after a pause; 0 if it was never paused.
	 */
	uint64_t resumed_us;

	gn_link_t *leader_link; /**< NULL if no other leader is known. */
	/** Address that leader_link connects to. */
	char leader_address[GN_ADDRESS_MAX + 1];
	/** Calls that the leader has to answer, and those held until there is
	 * one: maps a number to scheduler_call_t. */
	GHashTable *forwarded;
	uint64_t last_number; /**< Number of the last call in it. */
	/** Time of the leader's last answer, or of the connection attempt if
	 * that is later. */
	uint64_t leader_contact_us;
	/** Whether the last answer showed that the leader serves requests. */
	bool leader_serves;
	/** Whether the leader could store jobs at its last answer. */
	bool leader_stores;
	uint64_t leader_answered_us; /**< Last answer of any leader. */
	/** When a leader, also this process, last served and could store jobs;
	 * 0 if never. */
	uint64_t served_us;
	uint64_t started_us; /**< Start of this process. */
	gn_outage_t outage;
	uint64_t last_probe_us;

	bool resigned;
	bool quiesced;
};

/* ======   config.c   ====== */

/**
 * Starts to watch the operators' configuration of queues and services, and the
 * data centres that they evacuate.
 * @return GN_OK or GN_ERR_MEMORY
 */
gn_code_t scheduler_watch_config(scheduler_t *scheduler, gn_error_t *error);
/** Begins the next call of the watch if it is due. */
void scheduler_config_tick(scheduler_t *scheduler);
/** Returns the version of the configuration; 0 without one. */
uint64_t scheduler_config_version(const scheduler_t *scheduler);
/** Returns the time since the configuration was confirmed; -1: never. */
int64_t scheduler_config_age_ms(const scheduler_t *scheduler);
/** Returns the evacuated data centres for the state dump. */
json_t *scheduler_dump_evacuations(const scheduler_t *scheduler);

/* ======   requests.c   ====== */

/** Handles a caller's HTTP request. */
void scheduler_on_http(void *arg, gn_http_request_t *request);
/** Serves or refuses the requests that have waited for a confirmation. */
void scheduler_serve_unconfirmed(scheduler_t *scheduler);
/** Returns an empty list of such requests. */
GArray *scheduler_create_unconfirmed(void);

/* ======   calls.c   ====== */

/** Serves, forwards, holds or refuses a call, which it takes over. */
void scheduler_dispatch_call(scheduler_t *scheduler, scheduler_call_t *call);
/** Answers a caller's request. */
void scheduler_answer_http(scheduler_t *scheduler, gn_http_request_t *request,
			   gn_job_call_kind_t kind,
			   const gn_sched_reply_t *reply);
/** Handles a request that another scheduler forwarded. */
void scheduler_on_job_call(scheduler_t *scheduler, const gn_link_peer_t *peer,
			   const Gn__JobCall *message);
/** Handles the leader's answer to a forwarded request or a probe. */
void scheduler_on_job_reply(scheduler_t *scheduler,
			    const Gn__JobReply *message);
/** Answers the calls that wait for @p job to be durable up to @p version. */
void scheduler_answer_durable_calls(scheduler_t *scheduler, const char *job,
				    uint64_t version);
/**
 * Answers the calls that wait for the store with an unknown result, because
 * this process no longer leads.
 */
void scheduler_fail_waiting_calls(scheduler_t *scheduler);
/** Serves the calls that were forwarded or held before this process led. */
void scheduler_serve_forwarded_calls(scheduler_t *scheduler);
/** Answers calls that the leader or the store did not answer in time. */
void scheduler_expire_calls(scheduler_t *scheduler);
void scheduler_call_free(gpointer call);

/* ======   forward.c   ====== */

/** Maintains the link to the leader if that is another process. */
void scheduler_forward_tick(scheduler_t *scheduler);
/** Records that the leader answered and whether it serves requests. */
void scheduler_record_leader_reply(scheduler_t *scheduler,
				   const Gn__JobReply *message);
/** Whether another process leads, serves requests and answers in time. */
bool scheduler_can_forward(const scheduler_t *scheduler);
/**
 * Forwards a call to the leader.
 * @return true if it was sent; @p call is then owned by scheduler_s.forwarded
 */
bool scheduler_forward(scheduler_t *scheduler, scheduler_call_t *call);
/** Sorts calls by the time of their arrival. */
void scheduler_sort_calls(GPtrArray *calls);

/* ======   outage.c   ====== */

/** Records a tick, the first one after a pause as its end. */
void scheduler_record_tick(scheduler_t *scheduler);
/** Updates what is known of an outage of the store. */
void scheduler_outage_tick(scheduler_t *scheduler);
/** Whether requests wait for a leader who is expected at a known time. */
bool scheduler_may_hold(const scheduler_t *scheduler);
/**
 * Keeps a call in scheduler_s.forwarded until a leader serves, if
 * outage/outage.h decides so.
 * @return true if it is held; @p call is then owned by scheduler_s.forwarded
 */
bool scheduler_try_hold(scheduler_t *scheduler, scheduler_call_t *call);
/** Whether a held call waits on. */
bool scheduler_keeps_holding(const scheduler_t *scheduler,
			     const scheduler_call_t *call);
/** Whether the leader takes a submission that it may not be able to store. */
bool scheduler_waits_for_store(const scheduler_t *scheduler,
			       const scheduler_call_t *call);
/**
 * Decides and logs when a refused caller may return.
 * @param call NULL if the request was not parsed
 * @return the time after which it may, seconds
 */
unsigned scheduler_refuse_caller(scheduler_t *scheduler,
				 const scheduler_call_t *call, const char *why);
/**
 * Returns the deadline on this process's clock.
 * @param deadline_ms time in ms since 1970; 0: unknown
 */
uint64_t scheduler_get_deadline_us(const scheduler_t *scheduler,
				   uint64_t deadline_ms);
/** Returns until when a call may wait whose end is not in sight. */
uint64_t scheduler_get_wait_limit_us(const scheduler_call_t *call);
/** Returns a JSON object for the state dump. */
json_t *scheduler_dump_outage(const scheduler_t *scheduler);

/* ======   leading.c   ====== */

extern const gn_lead_ops_t scheduler_lead_ops;
/** Whether this process leads and has loaded all jobs. */
bool scheduler_is_serving(const scheduler_t *scheduler);
/**
 * Whether the store has confirmed this process's leadership within the time to
 * live of its lease.
 */
bool scheduler_is_confirmed(const scheduler_t *scheduler);
/**
 * Whether no other scheduler can lead, since the lease was renewed within its
 * time to live. Otherwise a job that is unknown here may have been accepted by
 * another leader.
 */
bool scheduler_knows_all_jobs(const scheduler_t *scheduler);
/**
 * Places waiting tasks, sends the next write batch to the store and pending
 * orders to the executors. Does nothing unless this process serves.
 */
void scheduler_run_pass(scheduler_t *scheduler);
/** Retries a failed read of the jobs; expires leases and places tasks. */
void scheduler_leading_tick(scheduler_t *scheduler);
/** Frees all state of the leader and fails the calls that wait for it. */
void scheduler_end_leadership(scheduler_t *scheduler);

/* ======   executors.c   ====== */

/**
 * Handles an executor's report. Sends the address of the leader as the answer
 * if this process does not lead.
 */
void scheduler_on_report(scheduler_t *scheduler, const gn_link_peer_t *peer,
			 uint64_t incarnation, const Gn__WorkerReport *report);
/** Queues an order for @p host; its texts are copied. */
void scheduler_add_order(scheduler_t *scheduler, const char *host,
			 const gn_run_order_t *order);
/**
 * Sends queued orders and answers to reports, if the store has confirmed the
 * leadership within the last jobs.depose_ms.
 */
void scheduler_executors_flush(scheduler_t *scheduler);
void scheduler_executor_free(gpointer executor);

/* ======   advice.c   ====== */

/**
 * Asks the adviser which of @p lives may run the step. The response is passed
 * to gn_sched_handle_advice().
 */
void scheduler_request_advice(scheduler_t *scheduler, const char *step,
			      const char *const *lives, size_t count);

/* ======   status.c   ====== */

/** Serves the readiness check and GET /dump. */
void scheduler_on_status(void *arg, gn_http_request_t *request);

#endif
