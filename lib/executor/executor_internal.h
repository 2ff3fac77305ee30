/**
 * @file executor_internal.h
 * @brief The state of an executor process, and what its modules share.
 *
 * An executor keeps nothing: what runs, its worker lists; what may run, the
 * leader has stored. It extends the worker's lease only as far as the leader's
 * answers to its reports allow, each counted from when the report was sent.
 */
#ifndef GN_EXECUTOR_INTERNAL_H
#define GN_EXECUTOR_INTERNAL_H

#include <glib.h>

#include "adapter/adapter.h"
#include "common/histogram.h"
#include "daemon/runtime.h"
#include "executor/grant.h"
#include "http/client.h"
#include "http/server.h"
#include "platform/kv_http.h"
#include "wire/link.h"

typedef struct executor_s executor_t;

/** An order that is being carried out. */
typedef struct executor_order_s {
	executor_t *executor;
	gn_run_order_kind_t kind;
	char task[GN_TASK_NAME_SIZE];
	uint32_t attempt;
	char *life; /**< g_free() */
	char *payload; /**< g_free() */
	size_t payload_len;
	char *checkpoint; /**< g_free() */
	char *ticket; /**< g_free() */
	uint32_t percent;
	bool call_pending;
	bool start_unanswered; /**< a start may still be carried out */
	bool awaits_list; /**< a stop was answered; the list must show it */
	bool check_only; /**< no stop was sent: it may be running */
	bool cancelled; /**< a stop came while its start was in a call */
	gn_run_order_verdict_t stop_verdict; /**< to report once it is gone */
	uint64_t awaits_list_since_us; /**< when the stop was */
	uint64_t next_call_us; /**< of the next call */
	uint64_t basis_us; /**< of the report that a start was ordered on */
	unsigned tries;
} executor_order_t;

/** Reports that may still be answered. */
#define EXECUTOR_REPORT_HISTORY 64

struct executor_s {
	gn_runtime_t *runtime;
	const gn_adapter_t *adapter;
	gn_http_server_t *server; /**< heartbeats, dump */
	gn_http_client_t *client; /**< to the worker */
	gn_kv_http_t *kv_http;
	gn_kv_t *kv;
	gn_histogram_t *order_time; /**< from a call to its answer */

	/* the worker */
	gn_worker_notice_t notice; /**< its newest heartbeat */
	bool worker_known; /**< there was one of this life */
	bool worker_left; /**< it has said that it ends */
	uint64_t
		worker_draining_us; /**< when it first said so; 0: it has not */
	gn_grant_t grant; /**< its clock and lease */

	/* its list */
	bool list_pending;
	uint64_t list_sent_us;
	uint64_t list_due_us;
	bool list_unreported; /**< the list has not been reported yet */
	TALLOC_CTX *list; /**< owns the rows */
	Gn__WorkerRun **runs;
	size_t run_count;
	Gn__WorkerEnd **ends;
	size_t end_count;
	uint64_t ends_stored;

	GHashTable *orders; /**< "TASK ATTEMPT" to executor_order_t */
	GPtrArray *results; /**< Gn__OrderResult, to be reported */

	/* the leader */
	gn_link_t *link;
	TALLOC_CTX *old_links; /**< to be freed outside of their handlers */
	char leader_address[GN_ADDRESS_MAX + 1]; /**< that it is connected to */
	GPtrArray *schedulers; /**< addresses that the store lists */
	guint next_scheduler;
	gn_kv_call_t lookup;
	uint64_t lookup_due_us;
	uint64_t leader_answered_us; /**< last answer over the link */
	uint64_t epoch; /**< of the leader that last answered */
	uint64_t sequence; /**< of the last report */
	uint64_t sent_us[EXECUTOR_REPORT_HISTORY]; /**< by sequence */
	uint64_t reported_us;
	bool report_due;
	uint64_t worker_left_us;
};

uint64_t executor_now_us(const executor_t *executor);

/* ======   worker.c   ====== */

/** Takes what the worker sends, and the dump. */
void executor_on_http(void *arg, gn_http_request_t *request);
/** Asks for the list when it is due. */
void executor_worker_tick(executor_t *executor);
/** Calls the worker. @p done frees nothing of the call. */
bool executor_call_worker(executor_t *executor, gn_worker_call_t *call,
			  unsigned timeout_ms, gn_http_done_t done, void *arg);
/** What every answer of the worker tells of its clock. */
void executor_record_clock(executor_t *executor,
			   const gn_worker_answer_t *answer);

/* ======   orders.c   ====== */

/** @param basis_us when the newest report that the leader knew was sent */
void executor_on_order(executor_t *executor, const Gn__WorkerOrder *order,
		       uint64_t basis_us);
void executor_orders_tick(executor_t *executor);
/** A list that was asked for at @p sent_us has come. */
void executor_orders_on_list(executor_t *executor, uint64_t sent_us);
/** The life that they were meant for is over. */
void executor_orders_drop(executor_t *executor);
void executor_order_free(gpointer order);
void executor_result_free(gpointer result);

/* ======   leader.c   ====== */

void executor_leader_tick(executor_t *executor);
/** Sends a report now. */
void executor_report(executor_t *executor);

#endif
