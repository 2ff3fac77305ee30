/**
 * @file entry_internal.h
 * @brief The parts of the entry that its files share.
 */
#ifndef GN_ENTRY_INTERNAL_H
#define GN_ENTRY_INTERNAL_H

#include "common/str.h"
#include "entry/entry.h"
#include "http/reply.h"
#include "http/server.h"
#include "wire/link.h"

typedef struct entry_s entry_t;

/** A worker that announced itself through its agent. */
typedef struct entry_worker_s {
	char name[GN_NAME_MAX + 1];
	char data_centre[GN_NAME_MAX + 1];
	char rack[GN_NAME_MAX + 1];
	char service[GN_NAME_MAX + 1];
	uint32_t max_tasks;
	uint32_t max_connections;
	uint64_t agent_incarnation;
	uint64_t session;
	gn_link_peer_t peer;
	uint64_t heard_us;
	bool silent; /**< no beat within the beat timeout */
	bool draining;
	bool backend_up;
	uint32_t reported_running; /**< requests, by its last report */
	uint32_t service_time_us; /**< smoothed, by its last report */
	uint32_t in_flight; /**< this entry's own requests */
} entry_worker_t;

/** Most tries of one request. */
#define ENTRY_TRIES_MAX 3

/** A request that a caller waits for. */
typedef struct entry_request_s {
	uint64_t id;
	entry_t *entry;
	gn_http_request_t *http;
	char service[GN_NAME_MAX + 1];
	char team[GN_NAME_MAX + 1];
	bool repeatable;
	bool maybe_ran; /**< some try ended with an unknown outcome */
	uint64_t deadline_us;
	GSequenceIter *by_deadline;
	entry_worker_t *worker; /**< where the present try is */
	uint64_t worker_session;
	entry_worker_t *tried[ENTRY_TRIES_MAX];
	unsigned tries;
} entry_request_t;

/** Counters of the entry. */
typedef struct entry_counters_s {
	gn_counter_t *done;
	gn_counter_t *not_run;
	gn_counter_t *unknown;
	gn_counter_t *retries;
	gn_counter_t *late_answers;
	gn_counter_t *workers_silent;
	gn_counter_t *stale_sessions;
} entry_counters_t;

struct entry_s {
	gn_runtime_t *runtime;
	gn_http_server_t *server;
	gn_link_t *link;
	GHashTable *workers; /**< by name */
	GHashTable *requests; /**< by id */
	GSequence *deadlines; /**< requests by deadline */
	uint64_t next_request;
	bool quiesced; /**< takes no new connections */
	entry_counters_t counters;
};

/* ======   workers.c   ====== */

/** Opens the table of workers. */
gn_code_t entry_workers_open(entry_t *entry);
/** Handles a message of an agent. */
void entry_on_envelope(void *arg, const gn_link_peer_t *peer,
		       const Gn__Envelope *envelope);
/** Marks the workers silent whose beats are overdue. */
void entry_workers_tick(entry_t *entry);
/** Takes over the load that came with a beat or an answer. */
void entry_worker_take_load(entry_worker_t *worker, const Gn__Load *load);
/** Whether @p worker can be given a request. */
bool entry_worker_is_usable(const entry_worker_t *worker);

/* ======   requests.c   ====== */

/** Opens the table of requests. */
gn_code_t entry_requests_open(entry_t *entry);
/** Handles POST /v1/services/NAME/requests. */
void entry_on_request(void *arg, gn_http_request_t *request, gn_str_t service);
/** Handles an agent's answer. */
void entry_on_answer(entry_t *entry, entry_worker_t *worker,
		     const Gn__Answer *answer);
/** Ends the tries that are at @p worker, whose session is lost. */
void entry_requests_lost(entry_t *entry, const entry_worker_t *worker);
/** Answers the requests whose deadline has passed. */
void entry_requests_tick(entry_t *entry);

/* ======   http.c   ====== */

/** Handles a caller's or an operator's request. */
void entry_on_http(void *arg, gn_http_request_t *request);

#endif
