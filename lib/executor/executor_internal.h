/**
 * @file executor_internal.h
 * @brief State of an executor process, shared by its source files.
 *
 * An executor stores nothing durably: its worker lists what is running, and the
 * leader has stored what may run. It extends the worker's lease only as far as
 * the leader's answers to its reports allow. Each extension counts from the
 * time when the answered report was sent.
 *
 * The worker is the backend server that the executor serves. A life is one
 * lifetime of the worker, from a start to its end (job/life.h).
 */
#ifndef GN_EXECUTOR_INTERNAL_H
#define GN_EXECUTOR_INTERNAL_H

#include <glib.h>

#include "adapter/adapter.h"
#include "common/histogram.h"
#include "daemon/runtime.h"
#include "executor/token.h"
#include "executor/gone.h"
#include "executor/grant.h"
#include "executor/life_age.h"
#include "executor/orders.h"
#include "http/client.h"
#include "http/server.h"
#include "job/life.h"
#include "member/lease.h"
#include "platform/kv_http.h"
#include "wire/link.h"

typedef struct executor_s executor_t;

/** A request for the worker's list, repeated when it has ended. */
typedef struct executor_list_s {
	executor_t *executor;
	bool pending; /**< The request is in progress. */
	uint64_t sent_us; /**< Time of the last request. */
	uint64_t lives; /**< Number of lives known when it was sent. */
	uint64_t token; /**< Fencing token that it carries. */
	unsigned attempts; /**< Requests since the last list. */
} executor_list_t;

/** A life that a heartbeat has announced and the worker has not confirmed. */
typedef struct executor_announced_s {
	bool known; /**< There is one. */
	bool pending; /**< The worker is being asked. */
	gn_worker_notice_t notice; /**< The newest heartbeat of it. */
	uint64_t heard_us; /**< Time of that heartbeat. */
	uint64_t due_us; /**< Earliest time of the next question. */
	unsigned tries; /**< Questions about it. */
} executor_announced_t;

/** Which discarded answers to calls of one kind are alike. */
typedef struct executor_discarded_s {
	uint64_t call_lives; /**< Number of lives known at the call. */
	uint64_t lives; /**< The number at the answer. */
	uint64_t life_started_ms; /**< As the answer has it. */
} executor_discarded_t;

/** Number of recent reports whose answers are still accepted. */
#define EXECUTOR_REPORT_HISTORY 64

/** What must be known of a report when its answer comes. */
typedef struct executor_sent_report_s {
	uint64_t sent_us;
	uint64_t basis_us; /**< Basis of the orders that follow from it. */
	/** It showed that the worker had answered shortly before. */
	bool has_fresh_list;
} executor_sent_report_t;

/** State of an executor process. */
struct executor_s {
	gn_runtime_t *runtime;
	const gn_adapter_t *adapter;
	gn_clock_t wall; /**< Wall clock. */
	gn_http_server_t *server; /**< For heartbeats and the state dump. */
	gn_http_client_t *client; /**< For calls to the worker. */
	gn_kv_http_t *kv_http;
	gn_kv_t *kv;
	gn_histogram_t *order_time; /**< Time from a call to its response. */
	/** Starts refused because the data centre is evacuated. */
	gn_counter_t *starts_evacuated;
	gn_counter_t *starts_unanswered; /**< Start calls without an answer. */
	gn_counter_t *refused_rows; /**< Malformed rows in lists. */
	gn_counter_t *refused_heartbeats;
	/** Answers that another life gave, or to calls for an earlier one. */
	gn_counter_t *answers_of_other_lives;
	gn_counter_t *refused_entries; /**< Malformed entries of the store. */

	/* ======   Worker   ====== */

	executor_announced_t announced;
	gn_worker_notice_t notice; /**< Newest heartbeat of the worker. */
	bool worker_known; /**< The worker has confirmed a life. */
	uint64_t lives; /**< Number of lives that were confirmed. */
	/** This process has known no earlier life of the worker. */
	bool first_life;
	/** The last ones that were logged, by the kinds of their calls. */
	executor_discarded_t discarded[GN_WORKER_CALL_KIND_COUNT];
	uint64_t described_us; /**< Time of the newest heartbeat. */
	/** The worker announced the end of its life; it may work on a while. */
	bool worker_left;
	bool worker_ended; /**< The process of a worker that left has ended. */
	/** The leader has stored that the worker's life has ended. */
	bool leave_stored;
	/** Record of the leave in the store; NULL unless it is needed. */
	gn_lease_t *leave;
	/** Time of the first heartbeat that says draining; 0 if none does. */
	uint64_t worker_draining_us;
	gn_grant_t grant; /**< Clock and lease of the worker. */
	gn_life_age_t life_age; /**< Since when it refuses former calls. */

	/* ======   List of the worker   ====== */

	/** Request that the worker answers as soon as a run ends. */
	executor_list_t waiting_list;
	/** Request answered at once, for orders that await a list. */
	executor_list_t prompt_list;
	uint64_t list_due_us; /**< Earliest time of the next waiting list. */
	bool list_unreported; /**< The leader hasn't been sent this list yet. */
	TALLOC_CTX *list; /**< Owner of the runs and ends. */
	/** Reading of the worker's clock in this list; 0 without a list. */
	uint64_t list_clock_ms;
	/** Fencing token of the request for this list; 0 without a list. */
	uint64_t list_token;
	Gn__WorkerRun **runs;
	size_t run_count;
	Gn__WorkerEnd **ends; /**< In the order of their numbers. */
	size_t end_count;
	bool ends_cut; /**< There may be later ends. */
	size_t refused_row_count; /**< Malformed rows that it had. */
	uint64_t ends_stored; /**< The leader has stored ends up to this one. */
	/** A request since the last list found no process of the worker. */
	bool is_process_gone;
	gn_gone_t gone; /**< Whether it has ended without leaving. */

	gn_orders_t *orders; /**< Orders in progress. */
	GPtrArray *results; /**< Gn__OrderResult elements not reported yet. */

	/* ======   Leader   ====== */

	gn_link_t *link;
	/** Owner of replaced links, freed outside of their handlers. */
	TALLOC_CTX *old_links;
	/** Address that the link connects to, of a presumed leader. */
	char leader_address[GN_ADDRESS_MAX + 1];
	GPtrArray *schedulers; /**< Addresses that the store lists. */
	guint next_scheduler; /**< Index of the next address to try. */
	gn_kv_call_t lookup; /**< Call that lists the schedulers; 0 if none. */
	uint64_t lookup_due_us; /**< Earliest time of the next lookup. */
	/** Time of the leader's last answer, or of the connection if later. */
	uint64_t leader_answered_us;
	uint64_t epoch; /**< Epoch of the leader that answered last. */
	/** This leader gives a later epoch to a life under a known ID. */
	bool leader_fences_lives;
	/** It also gives one to a worker that refuses the present token. */
	bool leader_renews_tokens;
	gn_token_t token;
	/** The worker refused the last list for its token. */
	bool fenced;
	bool evacuated; /**< Its last answer says so of the data centre. */
	uint64_t sequence; /**< Sequence number of the last report. */
	/** The last reports, by sequence modulo the history. */
	executor_sent_report_t sent[EXECUTOR_REPORT_HISTORY];
	uint64_t reported_us; /**< Time of the last report; 0 sends one soon. */
	bool report_due; /**< Something changed; don't wait for the interval. */
};

/** Returns the time on the executor's clock. */
uint64_t executor_now_us(const executor_t *executor);

/* ======   worker.c   ====== */

/** Handles the worker's heartbeats and requests for the state dump. */
void executor_on_http(void *arg, gn_http_request_t *request);
/** Returns the worker's life; its ID is empty before the first heartbeat. */
gn_life_t executor_get_life(const executor_t *executor);
/**
 * Begins a life that the worker has confirmed; the one before is over.
 * @param notice its labels pass to the executor
 */
void executor_begin_life(executor_t *executor,
			 const gn_worker_notice_t *notice);
/**
 * Raises the fencing token, since the next life of the worker may be there under
 * the same ID, and calls for the present one must not be carried out by it.
 */
void executor_fence_next_life(executor_t *executor, const char *why);
/** Returns the life that has answered a call for a life with the ID @p called;
 * its start is unknown if the answer does not say it. */
gn_life_t executor_get_answering_life(const char *called,
				      const gn_worker_answer_t *answer);
/** Whether the list has ends that the leader has not stored. */
bool executor_has_unstored_ends(const executor_t *executor);
/** Requests the worker's list when it is due. */
void executor_worker_tick(executor_t *executor);
/** Returns the fencing token that calls to the worker carry. */
uint64_t executor_get_token(const executor_t *executor);
/**
 * Calls the worker. The HTTP client frees its call after @p done.
 * @param call filled in with the worker's address, its life unless one is
 *        given, and the fencing token
 * @return false if out of memory: @p done won't be called
 */
bool executor_call_worker(executor_t *executor, gn_worker_call_t *call,
			  unsigned timeout_ms, gn_http_done_t done, void *arg);
/**
 * Parses the response to a call of @p kind. One of another life than the known
 * one counts as unanswered and has no clock: a call names the ID only, so a
 * later life with this ID may have answered it, or an earlier one. So does the
 * answer to a call that was sent in an earlier life: not all answers say whose
 * they are.
 * @param parent talloc parent of the runs and ends
 * @param lives number of lives that were known when the call was sent
 */
void executor_read_answer(executor_t *executor, TALLOC_CTX *parent,
			  gn_worker_call_kind_t kind,
			  const gn_http_call_t *http, uint64_t lives,
			  gn_worker_answer_t *answer);
/** Records the worker's clock from a response to any call. */
void executor_record_clock(executor_t *executor,
			   const gn_worker_answer_t *answer);

/* ======   announce.c   ====== */

/**
 * Asks the worker to confirm the life of a heartbeat, and begins it then.
 * @param notice its labels pass to the executor
 */
void executor_announce(executor_t *executor, const gn_worker_notice_t *notice);
/** Asks again when it is due. */
void executor_announce_tick(executor_t *executor);

/* ======   calls.c   ====== */

/** Carries out the orders by calls to the worker; the argument is the
 * executor_t. */
extern const gn_orders_ops_t executor_orders_ops;
/** Frees a Gn__OrderResult. */
void executor_result_free(gpointer result);

/* ======   leave.c   ====== */

/**
 * Records in the store that the worker has left, if this process is stopped
 * before a leader has stored it.
 */
void executor_leave_tick(executor_t *executor);
/** Forgets the record, which belongs to an earlier life. */
void executor_leave_reset(executor_t *executor);

/* ======   leader.c   ====== */

/** Finds the leader if it doesn't answer, and sends reports that are due. */
void executor_leader_tick(executor_t *executor);
/** Sends a report now. */
void executor_report(executor_t *executor);

#endif
