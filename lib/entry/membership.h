/**
 * @file membership.h
 * @brief The entry's membership in the member record, and its run promises.
 *
 * Owns the client of the platform's key-value service, the member record and
 * the state of the run promises. An entry that has been removed from the record
 * drops its buckets and joins again under a new member incarnation.
 */
#ifndef GN_ENTRY_MEMBERSHIP_H
#define GN_ENTRY_MEMBERSHIP_H

#include "batch/promise.h"
#include "entry/entry_internal.h"
#include "member/record.h"
#include "platform/kv_http.h"

/*
 * The promise rules and the buckets must use the same values; docs/OUTAGE.md
 * explains how they depend on each other.
 */
/** Length of a run promise, in milliseconds. */
#define ENTRY_PROMISE_MS 10000
/** Margin for clock drift over a run promise and a confirmation, in
 * milliseconds. */
#define ENTRY_DRIFT_MS 200

/** Number of earlier member incarnations that this process remembers. */
#define ENTRY_RETIRED_MAX 16

/** An earlier member incarnation of this process. */
typedef struct entry_retired_s {
	uint64_t incarnation; /**< 0 if the element is unused. */
	uint64_t retired_us; /**< No run promise was given after this time. */
} entry_retired_t;

/** State of the membership. */
struct entry_membership_s {
	entry_t *entry;
	gn_kv_http_t *http;
	gn_kv_t *kv;
	gn_record_t *record;
	gn_promise_t *promise;
	/** Member incarnation, which differs from the process's incarnation. */
	uint64_t incarnation;
	uint64_t last_query_us; /**< When the peers were last queried. */
	entry_retired_t retired[ENTRY_RETIRED_MAX]; /**< Ring buffer. */
	unsigned next_retired; /**< Ring index before reduction. */
	bool probe_pending;
	/** Time of the last probe of the key-value service. */
	uint64_t last_probe_us;
};

/**
 * Opens the client of the key-value service and begins to join.
 * @return GN_OK or GN_ERR_MEMORY
 */
gn_code_t entry_membership_open(entry_t *entry, gn_error_t *error);
/** Advances joining, lease renewals and queries to peers. */
void entry_membership_tick(entry_t *entry);
/** Begins to leave the record; all buckets must have been released. */
void entry_membership_leave(entry_t *entry);
/** Whether this entry has left the record, or never joined. */
bool entry_membership_has_left(const entry_t *entry);
/** Returns the member that should own bucket @p index; NULL if unknown. */
const gn_record_member_t *entry_membership_find_owner(const entry_t *entry,
						      unsigned index);
/** Whether @p member is this entry. */
bool entry_membership_is_self(const entry_t *entry,
			      const gn_record_member_t *member);
/** Handles POST /v1/peers/query: a query of another entry. */
void entry_on_peer_query(void *arg, gn_http_request_t *request, gn_str_t name);
/** Returns the members for the state dump; the caller owns the result. */
json_t *entry_membership_dump(const entry_t *entry);

#endif
