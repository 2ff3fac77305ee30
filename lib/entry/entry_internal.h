/**
 * @file entry_internal.h
 * @brief Types and functions shared by the files of the entry.
 */
#ifndef GN_ENTRY_INTERNAL_H
#define GN_ENTRY_INTERNAL_H

#include "batch/share.h"
#include "common/str.h"
#include "entry/entry.h"
#include "http/client.h"
#include "http/reply.h"
#include "http/server.h"
#include "limit/limit.h"
#include "platform/kv.h"
#include "route/eject.h"
#include "route/retry.h"
#include "wire/link.h"

typedef struct entry_s entry_t;
typedef struct entry_membership_s entry_membership_t;
typedef struct entry_buckets_s entry_buckets_t;
typedef struct entry_config_s entry_config_t;
typedef struct entry_keys_s entry_keys_t;
typedef struct entry_peer_beats_s entry_peer_beats_t;

/** The retry state of one service. */
typedef struct entry_service_s {
	char name[GN_NAME_MAX + 1];
	gn_retry_budget_t *retry_budget;
} entry_service_t;

/** A worker whose agent has opened a session with this entry. */
typedef struct entry_worker_s {
	char name[GN_NAME_MAX + 1];
	char rack[GN_NAME_MAX + 1];
	gn_route_worker_t *route; /**< Its state in the routing view. */
	entry_service_t *service;
	Gn__Hello *hello; /**< The last hello of its agent; owned. */
	uint64_t agent_incarnation;
	uint64_t session;
	gn_link_peer_t peer;
	GQueue attempts; /**< Requests whose current attempt is here. */
	uint64_t last_message_us; /**< When its last message arrived. */
	bool silent; /**< No message arrived within the heartbeat timeout. */
	bool unreachable; /**< A dispatch failed; no message came since. */
	/** Tasks at the worker: those last polled plus those claimed since. */
	gn_batch_share_member_t share_member;
	uint32_t running_tasks; /**< According to its last load report. */
	uint64_t config_revision; /**< According to its last heartbeat. */
} entry_worker_t;

/** A latency-critical request whose caller waits for the response. */
typedef struct entry_request_s {
	uint64_t id;
	entry_t *entry;
	gn_http_request_t *http;
	char service[GN_NAME_MAX + 1];
	char team[GN_NAME_MAX + 1];
	bool repeatable;
	uint64_t deadline_us;
	GSequenceIter *deadline_iter;
	gn_limit_ticket_t ticket;
	gn_limit_end_t limit_end; /**< Result to report to the limit. */
	gn_retry_t retry;
	gn_kv_call_t key_call; /**< Pending call for its key, or 0. */
	uint64_t key_revision; /**< Revision of its claimed key, or 0. */
	entry_worker_t *worker; /**< Worker of the current attempt, or NULL. */
	GList worker_link; /**< Link in the worker's list of attempts. */
	uint64_t attempt_sent_us; /**< When the current attempt was sent. */
} entry_request_t;

/** Counters of the entry, exported as the metrics "entry.*". */
typedef struct entry_counters_s {
	gn_counter_t *done;
	gn_counter_t *not_run;
	gn_counter_t *unknown;
	gn_counter_t *retries;
	gn_counter_t *late_answers;
	gn_counter_t *workers_silent;
	gn_counter_t *workers_forgotten;
	gn_counter_t *stale_sessions;
	gn_counter_t *unsent;
} entry_counters_t;

struct entry_s {
	gn_runtime_t *runtime;
	gn_http_server_t *server;
	gn_http_client_t *client; /**< For calls to other entries. */
	entry_peer_beats_t *peer_beats;
	gn_link_t *link;
	entry_membership_t *membership;
	entry_buckets_t *buckets;
	entry_config_t *config;
	entry_keys_t *keys;
	gn_route_view_t *view;
	gn_eject_t *eject;
	gn_limit_t *limit;
	gn_batch_share_t share; /**< Spreads waiting tasks over the workers. */
	GHashTable *workers; /**< entry_worker_t by name; owns them. */
	/** Configuration revision last applied to the workers. */
	uint64_t workers_config_revision;
	GHashTable *sessions; /**< entry_worker_t by session. */
	GHashTable *services; /**< entry_service_t by name; owns them. */
	GHashTable *requests; /**< entry_request_t by ID. */
	GSequence *deadlines; /**< entry_request_t in order of deadline. */
	uint64_t next_request_id;
	bool leave_started; /**< Leaving the member record has begun. */
	bool quiesced; /**< The server accepts no new connections. */
	entry_counters_t counters;
};

/* ======   workers.c   ====== */

/**
 * Creates the tables of workers and the routing view.
 * @return GN_OK or GN_ERR_MEMORY
 */
gn_code_t entry_workers_open(entry_t *entry);
/** Frees the tables and all workers. */
void entry_workers_close(entry_t *entry);
/** Handles a message from an agent. */
void entry_on_envelope(void *arg, const gn_link_peer_t *peer,
		       const Gn__Envelope *envelope);
/** Marks workers that have become silent; removes those long silent. */
void entry_workers_tick(entry_t *entry);
/** Records the load that the worker reported with a heartbeat or an answer. */
void entry_worker_update_load(entry_t *entry, entry_worker_t *worker,
			      const Gn__Load *load);
/**
 * Excludes @p worker from routing until its next message arrives, because the
 * connection to its agent is lost.
 */
void entry_worker_mark_unreachable(entry_t *entry, entry_worker_t *worker);
/** Sends @p envelope to the agent of @p worker; sets its session. */
gn_code_t entry_worker_send(entry_t *entry, const entry_worker_t *worker,
			    Gn__Envelope *envelope);

/* ======   requests.c   ====== */

/**
 * Creates the tables of requests and the concurrency limit.
 * @return GN_OK or GN_ERR_MEMORY
 */
gn_code_t entry_requests_open(entry_t *entry);
/** Frees the tables. */
void entry_requests_close(entry_t *entry);
/** Handles POST /v1/services/NAME/requests. */
void entry_on_request(void *arg, gn_http_request_t *request, gn_str_t service);
/** Ends the requests whose deadline has passed. */
void entry_requests_tick(entry_t *entry);
/** Sends an admitted request whose key has been claimed to a worker. */
void entry_request_dispatch(entry_request_t *request);
/** Returns the complete response of a backend server; frees @p request. */
void entry_request_finish(entry_request_t *request, const Gn__Answer *answer);
/**
 * Ends a request without a response of a backend server and frees it. The delay
 * for the caller's retry is drawn here; that of @p refusal is not used.
 */
void entry_request_fail(entry_request_t *request, const gn_refusal_t *refusal);

/* ======   attempts.c   ====== */

/** Starts the first attempt of @p request, at @p worker. */
void entry_attempt_start(entry_request_t *request, gn_route_worker_t *worker);
/**
 * Ends the current attempt, if any, without a result for its worker. A fence
 * keeps its dispatch from starting if it has not started yet.
 */
void entry_attempt_abandon(entry_request_t *request);
/** Handles an agent's answer to a dispatch. */
void entry_on_answer(entry_t *entry, entry_worker_t *worker,
		     const Gn__Answer *answer);
/**
 * Ends all attempts at @p worker, which is silent or has begun a new session;
 * their answers count as lost.
 */
void entry_attempts_end_lost(entry_worker_t *worker);

/* ======   http.c   ====== */

/** Routes a request of a caller, an operator or a peer to its handler. */
void entry_on_http(void *arg, gn_http_request_t *request);

#endif
