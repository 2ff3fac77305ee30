/**
 * @file membership.h
 * @brief The entry's place among the entries, and its run promises.
 *
 * Holds the client of the platform's service, the member record and the
 * promise rule. An entry that has left the record for good drops its buckets
 * and joins again under a new member incarnation.
 */
#ifndef GN_ENTRY_MEMBERSHIP_H
#define GN_ENTRY_MEMBERSHIP_H

#include "batch/promise.h"
#include "entry/entry_internal.h"
#include "member/record.h"
#include "platform/kv_http.h"

/*
 * The promise rule and the buckets must go by the same figures; docs/OUTAGE.md
 * says how they hang together.
 */
/** Length of a run promise, milliseconds. */
#define ENTRY_PROMISE_MS 10000
/** Margin for the difference of clock rates, milliseconds. */
#define ENTRY_DRIFT_MS 200

/** Former incarnations of this process that are remembered. */
#define ENTRY_RETIRED_MAX 16

/** A member that this process was. */
typedef struct entry_retired_s {
	uint64_t incarnation; /**< 0: none */
	uint64_t retired_us; /**< it gave no promise since */
} entry_retired_t;

/** State of the membership. */
struct entry_membership_s {
	entry_t *entry;
	gn_kv_http_t *http;
	gn_kv_t *kv;
	gn_record_t *record;
	gn_promise_t *promise;
	uint64_t incarnation; /**< as a member, not as a process */
	uint64_t last_query_us; /**< last time the peers were asked */
	entry_retired_t retired[ENTRY_RETIRED_MAX]; /**< a ring */
	unsigned next_retired;
	bool probe_pending;
	uint64_t last_probe_us; /**< last time the platform was probed */
};

/** Opens the client of the platform's service and begins to join. */
gn_code_t entry_membership_open(entry_t *entry, gn_error_t *error);
/** Moves joining, renewals and questions to peers on. */
void entry_membership_tick(entry_t *entry);
/** Leaves the record, once the buckets are handed over. */
void entry_membership_leave(entry_t *entry);
/** Whether this entry has left the record, or never joined. */
bool entry_membership_has_left(const entry_t *entry);
/** The member that should own bucket @p index; NULL if none is known. */
const gn_record_member_t *entry_membership_find_owner(const entry_t *entry,
						      unsigned index);
/** Whether @p member is this entry. */
bool entry_membership_is_self(const entry_t *entry,
			      const gn_record_member_t *member);
/** Handles POST /v1/peers/query: another entry's question. */
void entry_on_peer_query(void *arg, gn_http_request_t *request, gn_str_t name);
/** The part of the state dump; the caller owns it. */
json_t *entry_membership_dump(const entry_t *entry);

#endif
