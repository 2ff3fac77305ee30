/**
 * @file entry_internal.h
 * @brief The parts of the entry that its files share.
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

/** The retries of one service. */
typedef struct entry_service_s {
	char name[GN_NAME_MAX + 1];
	gn_retry_budget_t *retry_budget;
} entry_service_t;

/** A worker that announced itself through its agent. */
typedef struct entry_worker_s {
	char name[GN_NAME_MAX + 1];
	char rack[GN_NAME_MAX + 1];
	gn_route_worker_t *route; /**< its place in the view */
	entry_service_t *service;
	Gn__Hello *hello; /**< what its agent told */
	uint64_t agent_incarnation;
	uint64_t session;
	gn_link_peer_t peer;
	GQueue attempts; /**< requests whose present try is here */
	uint64_t last_message_us;
	bool silent; /**< no beat within the beat timeout */
	bool unreachable; /**< its connection is gone; nothing heard since */
	gn_batch_share_member_t
		share_member; /**< by its last poll, and claimed since */
	uint32_t running_tasks; /**< by its last report */
	uint64_t config_revision; /**< by its last report */
} entry_worker_t;

/** A request that a caller waits for. */
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
	gn_limit_end_t limit_end; /**< what to tell the limit */
	gn_retry_t retry;
	gn_kv_call_t key_call; /**< the claim of its key, in progress, or 0 */
	uint64_t key_revision; /**< of its claimed key, or 0 */
	entry_worker_t *worker; /**< where the present try is, or NULL */
	GList worker_link; /**< in the worker's tries */
	uint64_t attempt_sent_us; /**< when the present try was sent */
} entry_request_t;

/** Counters of the entry. */
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
	gn_http_client_t *client; /**< to other entries */
	entry_peer_beats_t *peer_beats;
	gn_link_t *link;
	entry_membership_t *membership;
	entry_buckets_t *buckets;
	entry_config_t *config;
	entry_keys_t *keys;
	gn_route_view_t *view;
	gn_eject_t *eject;
	gn_limit_t *limit;
	gn_batch_share_t share; /**< of the waiting tasks */
	GHashTable *workers; /**< by name */
	uint64_t workers_config_revision; /**< configuration applied to them */
	GHashTable *sessions; /**< workers by session */
	GHashTable *services; /**< by name */
	GHashTable *requests; /**< by id */
	GSequence *deadlines; /**< requests by deadline */
	uint64_t next_request_id;
	bool leave_started; /**< is leaving the member record */
	bool quiesced; /**< takes no new connections */
	entry_counters_t counters;
};

/* ======   workers.c   ====== */

/** Opens the tables of workers. */
gn_code_t entry_workers_open(entry_t *entry);
/** Closes them. */
void entry_workers_close(entry_t *entry);
/** Handles a message of an agent. */
void entry_on_envelope(void *arg, const gn_link_peer_t *peer,
		       const Gn__Envelope *envelope);
/** Marks silent workers, and forgets those silent for long. */
void entry_workers_tick(entry_t *entry);
/** Takes over the load that came with a beat or an answer. */
void entry_worker_update_load(entry_t *entry, entry_worker_t *worker,
			      const Gn__Load *load);
/** Notes that the connection of @p worker is gone, until it is heard again. */
void entry_worker_mark_unreachable(entry_t *entry, entry_worker_t *worker);
/** Sends @p envelope to the agent of @p worker. */
gn_code_t entry_worker_send(entry_t *entry, const entry_worker_t *worker,
			    Gn__Envelope *envelope);

/* ======   requests.c   ====== */

/** Opens the table of requests. */
gn_code_t entry_requests_open(entry_t *entry);
/** Closes it. */
void entry_requests_close(entry_t *entry);
/** Handles POST /v1/services/NAME/requests. */
void entry_on_request(void *arg, gn_http_request_t *request, gn_str_t service);
/** Answers the requests whose deadline has passed. */
void entry_requests_tick(entry_t *entry);
/** Sends an admitted request, whose key is claimed, to a worker. */
void entry_request_dispatch(entry_request_t *request);
/** Hands the whole answer of a backend server to the caller. */
void entry_request_finish(entry_request_t *request, const Gn__Answer *answer);
/** Ends a request without an answer of a backend server. */
void entry_request_fail(entry_request_t *request, const gn_refusal_t *refusal);

/* ======   tries.c   ====== */

/** Sends @p request to the worker chosen for it. */
void entry_attempt_start(entry_request_t *request, gn_route_worker_t *worker);
/** Ends the present try, if any, without judging its worker. */
void entry_attempt_abandon(entry_request_t *request);
/** Handles an agent's answer. */
void entry_on_answer(entry_t *entry, entry_worker_t *worker,
		     const Gn__Answer *answer);
/** Ends the tries that are at @p worker, whose session is lost. */
void entry_attempts_end_lost(entry_worker_t *worker);

/* ======   http.c   ====== */

/** Handles a caller's or an operator's request. */
void entry_on_http(void *arg, gn_http_request_t *request);

#endif
