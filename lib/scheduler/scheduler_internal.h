/**
 * @file scheduler_internal.h
 * @brief The state of a scheduler process, and what its modules share.
 *
 * Any scheduler takes requests. One leads: it alone holds jobs in memory,
 * decides, and writes the store. The others hand requests on to it.
 */
#ifndef GN_SCHEDULER_INTERNAL_H
#define GN_SCHEDULER_INTERNAL_H

#include <glib.h>

#include "adapter/adapter.h"
#include "common/histogram.h"
#include "daemon/runtime.h"
#include "http/server.h"
#include "lead/lead.h"
#include "ledger/ledger.h"
#include "platform/kv_http.h"
#include "platform/watch.h"
#include "sched/sched.h"
#include "wire/link.h"

typedef struct scheduler_s scheduler_t;

/** A request that waits for its answer; from a caller or another scheduler. */
typedef struct scheduler_call_s {
	gn_http_request_t *request; /**< NULL: from another scheduler */
	gn_link_peer_t peer; /**< that scheduler */
	uint64_t peer_number; /**< its number there */
	gn_job_call_kind_t kind;
	char job[GN_JOB_ID_LEN + 1];
	char *queue; /**< g_free() */
	uint8_t *spec; /**< submit: packed JobSpec; g_free() */
	size_t spec_len;
	uint64_t number; /**< handed on: under this number */
	uint64_t received_us;
	gn_sched_reply_t reply; /**< waits for this to be durable */
} scheduler_call_t;

/** An executor, as the leader knows it. */
typedef struct scheduler_executor_s {
	char *host;
	gn_link_peer_t peer;
	uint64_t
		unanswered_sequence; /**< sequence of a report to answer, or 0 */
	uint64_t last_sequence; /**< sequence of its newest report */
	uint64_t ends_sent;
	GPtrArray *orders; /**< Gn__WorkerOrder, to be sent */
} scheduler_executor_t;

/** Counters of the scheduler; docs/OPERATIONS.md has their names. */
typedef struct scheduler_counters_s {
	gn_counter_t *calls[GN_CALL_KIND_COUNT];
	gn_counter_t *results[GN_RESULT_COUNT];
	gn_counter_t *forwarded;
	gn_counter_t *batches;
	gn_counter_t *writes;
	gn_counter_t *orders;
	gn_counter_t *elections;
	gn_histogram_t *call_time; /**< from a request to its answer */
	gn_histogram_t *store_time; /**< from a batch to its answer */
} scheduler_counters_t;

struct scheduler_s {
	gn_runtime_t *runtime;
	const gn_adapter_t *adapter;
	gn_clock_t wall;
	scheduler_counters_t counters;
	gn_http_server_t *server; /**< callers */
	gn_http_server_t *status_server; /**< balancer, dump, metrics */
	gn_link_t *link; /**< executors and other schedulers */
	gn_http_client_t *client; /**< to the adviser */
	gn_kv_http_t *kv_http;
	gn_kv_t *kv;

	gn_kv_watch_t *config_watch;
	gn_queues_t *queues; /**< NULL: none yet */

	gn_lead_t *lead;
	uint64_t epoch; /**< 0: not leading */
	gn_sched_t *sched; /**< while leading */
	gn_ledger_t *ledger; /**< once all is loaded */
	struct scheduler_loading_s *loading; /**< while loading */
	GHashTable *executors; /**< host to scheduler_executor_t */
	GPtrArray *
		awaiting_store; /**< scheduler_call_t that wait for the store */
	uint64_t last_tick_us;

	gn_link_t *leader_link; /**< of another scheduler */
	char leader_address[GN_ADDRESS_MAX + 1]; /**< that it is connected to */
	GHashTable *forwarded; /**< number to scheduler_call_t */
	uint64_t last_number;
	uint64_t leader_contact_us;
	bool leader_serves; /**< by its last answer */
	uint64_t last_probe_us;

	bool resigned;
	bool quiesced;
};

/* ======   config.c   ====== */

gn_code_t scheduler_watch_config(scheduler_t *scheduler, gn_error_t *error);

/* ======   calls.c   ====== */

/** Takes a caller's HTTP request. */
void scheduler_on_http(void *arg, gn_http_request_t *request);
/** Takes a request that another scheduler handed on. */
void scheduler_on_job_call(scheduler_t *scheduler, const gn_link_peer_t *peer,
			   const Gn__JobCall *message);
/** Takes the leader's answer. */
void scheduler_on_job_reply(scheduler_t *scheduler,
			    const Gn__JobReply *message);
/** Answers what waits for @p job up to @p version. */
void scheduler_answer_durable_calls(scheduler_t *scheduler, const char *job,
				    uint64_t version);
/** Answers what waits for a store that this process no longer writes. */
void scheduler_fail_waiting_calls(scheduler_t *scheduler);
/** Serves what was handed on before this process led. */
void scheduler_serve_forwarded_calls(scheduler_t *scheduler);
/** Gives up on what was handed on and not answered in time. */
void scheduler_expire_calls(scheduler_t *scheduler);
void scheduler_call_free(gpointer call);

/* ======   forward.c   ====== */

/** Keeps a link to the leader, where that is another process. */
void scheduler_forward_tick(scheduler_t *scheduler);
/** Takes what an answer tells of the leader. */
void scheduler_record_leader_reply(scheduler_t *scheduler,
				   const Gn__JobReply *message);
/** Whether the leader is another process, and answers. */
bool scheduler_can_forward(const scheduler_t *scheduler);
/** Hands a call on to the leader, which then owns it; false: can't. */
bool scheduler_forward(scheduler_t *scheduler, scheduler_call_t *call);

/* ======   leading.c   ====== */

extern const gn_lead_ops_t scheduler_lead_ops;
/** Whether this process decides now. */
bool scheduler_is_serving(const scheduler_t *scheduler);
/** Whether the store has confirmed its leadership lately. */
bool scheduler_is_confirmed(const scheduler_t *scheduler);
/** Places, stores and sends what has become due. */
void scheduler_run_pass(scheduler_t *scheduler);
void scheduler_leading_tick(scheduler_t *scheduler);
void scheduler_end_leadership(scheduler_t *scheduler);

/* ======   executors.c   ====== */

void scheduler_on_report(scheduler_t *scheduler, const gn_link_peer_t *peer,
			 const Gn__WorkerReport *report);
/** Adds an order to those to be sent. */
void scheduler_add_order(scheduler_t *scheduler, const char *host,
			 const gn_run_order_t *order);
/** Sends orders and answers to reports. */
void scheduler_executors_flush(scheduler_t *scheduler);
void scheduler_executor_free(gpointer executor);

/* ======   advice.c   ====== */

/** Asks which of @p lives may run the step; the answer goes to sched. */
void scheduler_request_advice(scheduler_t *scheduler, const char *step,
			      const char *const *lives, size_t count);

/* ======   status.c   ====== */

/** Readiness, dump and metrics. */
void scheduler_on_status(void *arg, gn_http_request_t *request);

#endif
