#include "entry/membership.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "common/log.h"
#include "entry/buckets.h"
#include "entry/peers.h"
#include "http/status.h"
#include "platform/kv_http.h"

/** Timeout of a call to the platform's key-value service, in milliseconds. */
#define CALL_TIMEOUT_MS 1000
/** Validity of a peer's confirmation, in milliseconds. */
#define CONFIRM_VALID_MS 1000
/** Bound on the difference of clock rates, in parts per million. */
#define CLOCK_RATE_DIFF_PPM 500
/** Maximum outage of the key-value service during which run promises are
 * renewed, in milliseconds. */
#define OUTAGE_MAX_MS (3600 * 1000)
/** Interval between queries to the peers, in milliseconds. */
#define QUERY_INTERVAL_MS 300
/** Interval between probes of the key-value service while it is unavailable, in
 * milliseconds. */
#define PROBE_INTERVAL_MS 500

/* ======   Joining   ====== */

static void update_members(entry_membership_t *membership,
			   const gn_record_doc_t *doc)
{
	gn_promise_member_t members[GN_RECORD_MEMBERS_MAX];

	for (size_t i = 0; i < doc->member_count; i++) {
		const gn_record_member_t *member = &doc->members[i];

		members[i].incarnation = member->incarnation;
		members[i].joined = member->joined;
		members[i].acked = gn_record_acked(membership->record,
						   member->incarnation);
	}
	gn_promise_adopt(membership->promise, doc->revision, members,
			 doc->member_count);
}

/*
 * Passes on the members that have left: the record revision that such a member
 * acknowledged determines which members must be asked for a voucher about it.
 */
static void update_left_members(entry_membership_t *membership,
				const gn_record_doc_t *doc)
{
	gn_promise_member_t left[GN_RECORD_LEFT_MAX];

	for (size_t i = 0; i < doc->left_count; i++)
		left[i] = (gn_promise_member_t){ doc->left[i].incarnation, 0,
						 doc->left[i].acked };
	gn_promise_adopt(membership->promise, 0, left, doc->left_count);
}

static void on_adopt(void *context, const gn_record_doc_t *doc)
{
	entry_membership_t *membership = context;

	update_left_members(membership, doc);
	update_members(membership, doc);
	gn_log(LOG_INFO, "members", NULL,
	       "adopted revision %" PRIu64 " with %zu entries", doc->revision,
	       doc->member_count);
}

static void on_renewed(void *context, uint64_t sent_us)
{
	entry_membership_t *membership = context;

	gn_promise_on_renewed(membership->promise, sent_us);
}

static gn_promise_t *create_promise(entry_membership_t *membership)
{
	const gn_runtime_t *runtime = membership->entry->runtime;
	uint64_t ttl_us =
		(uint64_t)runtime->settings->lease_ttl_ms * GN_US_PER_MS;
	const gn_promise_params_t params = {
		/* Shorter than the lease, so that normal operation has ended
		 * before another entry can take over the buckets. */
		.renew_us = ttl_us - ttl_us / 4,
		.confirm_us = (uint64_t)CONFIRM_VALID_MS * GN_US_PER_MS,
		.promise_us = (uint64_t)ENTRY_PROMISE_MS * GN_US_PER_MS,
		.drift_us = (uint64_t)ENTRY_DRIFT_MS * GN_US_PER_MS,
		.outage_max_us = (uint64_t)OUTAGE_MAX_MS * GN_US_PER_MS,
		.rate_ppm = CLOCK_RATE_DIFF_PPM,
	};

	return gn_promise_create(membership, &params, &runtime->clock,
				 membership->incarnation);
}

static gn_code_t join(entry_membership_t *membership)
{
	const gn_runtime_t *runtime = membership->entry->runtime;
	const gn_record_options_t options = {
		.kv = membership->kv,
		.clock = &runtime->clock,
		.rand = runtime->rand,
		.name = runtime->settings->name,
		.address = runtime->settings->http_advertise,
		.incarnation = gn_runtime_random_id(),
		.lease_ttl_ms = runtime->settings->lease_ttl_ms,
		.on_adopt = on_adopt,
		.on_renewed = on_renewed,
		.context = membership,
	};

	membership->incarnation = options.incarnation;
	membership->promise = create_promise(membership);
	membership->record = gn_record_create(membership, &options);
	return membership->promise && membership->record ? GN_OK
							 : GN_ERR_MEMORY;
}

static void retire(entry_membership_t *membership)
{
	unsigned slot = membership->next_retired++ % ENTRY_RETIRED_MAX;

	membership->retired[slot] = (entry_retired_t){
		membership->incarnation,
		gn_runtime_now_us(membership->entry->runtime),
	};
}

/*
 * Whether @p incarnation is an earlier incarnation of this process all of whose
 * run promises have expired.
 */
static bool promises_have_expired(const entry_membership_t *membership,
				  uint64_t incarnation)
{
	const uint64_t expiry_us =
		(uint64_t)(ENTRY_PROMISE_MS + CONFIRM_VALID_MS +
			   ENTRY_DRIFT_MS) *
		GN_US_PER_MS;
	uint64_t now_us = gn_runtime_now_us(membership->entry->runtime);

	for (int i = 0; i < ENTRY_RETIRED_MAX; i++) {
		const entry_retired_t *retired = &membership->retired[i];

		if (retired->incarnation == incarnation)
			return now_us - retired->retired_us > expiry_us;
	}
	return false;
}

/*
 * Joins as a new incarnation. An incarnation that left never returns, so
 * everything that it owned is dropped.
 */
static void rejoin(entry_membership_t *membership)
{
	gn_log(LOG_WARNING, "members", NULL,
	       "no longer in the member record; joining as a new member");
	entry_buckets_drop(membership->entry);
	retire(membership);
	gn_record_free(membership->record);
	TALLOC_FREE(membership->promise);
	if (join(membership))
		gn_log(LOG_ERR, "members", NULL, "error=memory");
}

gn_code_t entry_membership_open(entry_t *entry, gn_error_t *error)
{
	const gn_runtime_t *runtime = entry->runtime;
	const gn_kv_http_options_t options = {
		.address = runtime->settings->platform_address,
		.timeout_ms = CALL_TIMEOUT_MS,
		.calls_per_s = runtime->settings->platform_calls_per_s,
		.clock = &runtime->clock,
		.counters = runtime->counters,
		.loop = runtime->events,
	};
	entry_membership_t *membership = talloc_zero(entry, entry_membership_t);

	if (!membership)
		goto no_memory;
	entry->membership = membership;
	membership->entry = entry;
	membership->http = gn_kv_http_create(membership, &options);
	if (!membership->http)
		goto no_memory;
	membership->kv = gn_kv_http_client(membership->http);
	if (join(membership))
		goto no_memory;
	return GN_OK;
no_memory:
	return gn_error_set(error, GN_ERR_MEMORY, "start", options.address,
			    "membership");
}

/* ======   Queries between entries   ====== */

/**
 * A kind of query in addition to gn_promise_query_t: whether the receiver's
 * process ran as the owner in question and its run promises have expired.
 */
#define QUERY_RETIRED 3

/* A query that waits for its response. */
typedef struct peer_query_s {
	entry_t *entry;
	int kind; /**< A gn_promise_query_t or QUERY_RETIRED. */
	uint64_t sender; /**< Member incarnation that sent the query. */
	uint64_t peer; /**< Incarnation of the queried member. */
	uint64_t about; /**< Incarnation of the owner in question. */
	uint64_t sent_us;
} peer_query_t;

static void handle_answer(const peer_query_t *query, bool granted)
{
	gn_promise_t *promise = query->entry->membership->promise;

	if (query->kind != QUERY_RETIRED)
		gn_promise_on_answer(promise, (gn_promise_query_t)query->kind,
				     query->peer, query->about, query->sent_us,
				     granted);
	else if (granted)
		gn_promise_set_retired(promise, query->about);
}

static void on_peer_answer(void *arg, const gn_http_call_t *call)
{
	peer_query_t *query = arg;
	entry_membership_t *membership = query->entry->membership;
	json_t *json = json_loadb(call->answer ? call->answer : "",
				  call->answer_len, 0, NULL);

	if (call->code == GN_OK && call->status == HTTP_OK && json &&
	    query->sender == membership->incarnation)
		handle_answer(query,
			      json_is_true(json_object_get(json, "granted")));
	json_decref(json);
	g_free(query);
}

static void send_query(entry_t *entry, int kind, uint64_t peer, uint64_t about)
{
	entry_membership_t *membership = entry->membership;
	const gn_record_doc_t *doc = gn_record_adopted(membership->record);
	size_t index = doc ? gn_record_doc_find(doc, peer) : 0;
	peer_query_t *query;
	json_t *json;

	if (!doc || index == doc->member_count)
		return;
	query = g_new0(peer_query_t, 1);
	query->entry = entry;
	query->kind = kind;
	query->sender = membership->incarnation;
	query->peer = peer;
	query->about = about;
	query->sent_us = gn_runtime_now_us(entry->runtime);
	json = json_pack("{s:i, s:I, s:I, s:I}", "kind", kind, "to",
			 (json_int_t)peer, "from",
			 (json_int_t)membership->incarnation, "about",
			 (json_int_t)about);
	if (entry_peer_call(entry, doc->members[index].address,
			    "/v1/peers/query", json, on_peer_answer, query))
		g_free(query);
}

static void query_confirmers(entry_t *entry)
{
	entry_membership_t *membership = entry->membership;
	uint64_t to[GN_PROMISE_MEMBERS_MAX];
	size_t count = gn_promise_list_confirmers(membership->promise, to,
						  GN_PROMISE_MEMBERS_MAX);

	for (size_t i = 0; i < count; i++)
		send_query(entry, GN_PROMISE_CONFIRM, to[i],
			   membership->incarnation);
}

static void query_vouchers(entry_t *entry, const gn_batch_predecessor_t *owner)
{
	entry_membership_t *membership = entry->membership;
	uint64_t to[GN_PROMISE_MEMBERS_MAX];
	size_t count = gn_promise_list_vouchers(
		membership->promise, owner->incarnation, owner->acked, to,
		GN_PROMISE_MEMBERS_MAX);

	for (size_t i = 0; i < count; i++) {
		uint64_t now_us = gn_runtime_now_us(entry->runtime);

		if (to[i] != membership->incarnation) {
			send_query(entry, GN_PROMISE_VOUCH, to[i],
				   owner->incarnation);
			continue;
		}
		gn_promise_on_answer(membership->promise, GN_PROMISE_VOUCH,
				     to[i], owner->incarnation, now_us,
				     gn_promise_on_query(membership->promise,
							 GN_PROMISE_VOUCH,
							 to[i],
							 owner->incarnation));
	}
}

/* The owner may be an earlier incarnation of any member, this one included. */
static void query_retired(entry_t *entry, const gn_record_doc_t *doc,
			  uint64_t owner)
{
	entry_membership_t *membership = entry->membership;

	if (promises_have_expired(membership, owner))
		gn_promise_set_retired(membership->promise, owner);
	for (size_t i = 0; doc && i < doc->member_count; i++) {
		uint64_t peer = doc->members[i].incarnation;

		if (peer != membership->incarnation)
			send_query(entry, QUERY_RETIRED, peer, owner);
	}
}

static void query_peers(entry_t *entry)
{
	entry_membership_t *membership = entry->membership;
	uint64_t now_us = gn_runtime_now_us(entry->runtime);
	const gn_record_doc_t *doc = gn_record_adopted(membership->record);
	gn_batch_predecessor_t owners[GN_BATCH_PREDECESSORS_MAX];
	size_t count;

	if (now_us - membership->last_query_us <
	    (uint64_t)QUERY_INTERVAL_MS * GN_US_PER_MS)
		return;
	membership->last_query_us = now_us;
	/* Acknowledgements arrive without a new record revision. */
	if (doc)
		update_members(membership, doc);
	query_confirmers(entry);
	count = entry_buckets_list_unsettled(entry, owners,
					     GN_BATCH_PREDECESSORS_MAX);
	for (size_t i = 0; i < count; i++) {
		query_vouchers(entry, &owners[i]);
		query_retired(entry, doc, owners[i].incarnation);
	}
}

static bool parse_query(const json_t *json, int *kind, uint64_t *to,
			uint64_t *from, uint64_t *about)
{
	if (!json)
		return false;
	*kind = (int)json_integer_value(json_object_get(json, "kind"));
	*to = (uint64_t)json_integer_value(json_object_get(json, "to"));
	*from = (uint64_t)json_integer_value(json_object_get(json, "from"));
	*about = (uint64_t)json_integer_value(json_object_get(json, "about"));
	return *kind >= GN_PROMISE_CONFIRM && *kind <= QUERY_RETIRED && *to &&
	       *from && *about;
}

static bool answer_query(entry_membership_t *membership, int kind,
			 uint64_t from, uint64_t about)
{
	if (kind == QUERY_RETIRED)
		return promises_have_expired(membership, about);
	return gn_promise_on_query(membership->promise,
				   (gn_promise_query_t)kind, from, about);
}

void entry_on_peer_query(void *arg, gn_http_request_t *request, gn_str_t name)
{
	entry_t *entry = arg;
	entry_membership_t *membership = entry->membership;
	json_t *json = json_loadb(request->body ? request->body : "",
				  request->body_len, 0, NULL);
	int kind;
	uint64_t to, from, about;
	bool granted;

	(void)name;
	if (!parse_query(json, &kind, &to, &from, &about)) {
		gn_http_reply_not_run(entry->server, request, HTTP_BAD_REQUEST,
				      "malformed", 0, NULL);
	} else {
		/* A query to an earlier incarnation must not be granted. */
		granted = to == membership->incarnation &&
			  answer_query(membership, kind, from, about);
		gn_http_reply_json(entry->server, request, HTTP_OK,
				   json_pack("{s:b}", "granted", granted));
	}
	json_decref(json);
}

/* ======   Commands and queries   ====== */

static void on_probed(void *context, const gn_kv_result_t *result)
{
	entry_membership_t *membership = context;

	membership->probe_pending = false;
	if (result->code == GN_OK || result->code == GN_ERR_NOT_FOUND)
		rejoin(membership);
}

/*
 * The lease has ended, which a pending watch may report even while the
 * key-value service is unavailable. This entry then stays in the record until
 * the key-value service responds again: joining is not possible before, and the
 * promise rules still apply while the other entries confirm. They require the
 * record, not the lease; see docs/OUTAGE.md.
 */
static void probe_kv(entry_membership_t *membership)
{
	uint64_t now_us = gn_runtime_now_us(membership->entry->runtime);

	if (membership->probe_pending ||
	    now_us - membership->last_probe_us <
		    (uint64_t)PROBE_INTERVAL_MS * GN_US_PER_MS)
		return;
	membership->probe_pending = true;
	membership->last_probe_us = now_us;
	gn_kv_get(membership->kv, GN_STR(GN_RECORD_KEY), on_probed, membership);
}

void entry_membership_tick(entry_t *entry)
{
	entry_membership_t *membership = entry->membership;

	gn_record_tick(membership->record);
	query_peers(entry);
	if (entry->runtime->stopping)
		return;
	if (gn_promise_is_removed(membership->promise))
		rejoin(membership);
	else if (gn_record_state(membership->record) == GN_RECORD_GONE)
		probe_kv(membership);
}

void entry_membership_leave(entry_t *entry)
{
	gn_record_leave(entry->membership->record);
}

bool entry_membership_has_left(const entry_t *entry)
{
	gn_record_state_t state = gn_record_state(entry->membership->record);

	return state == GN_RECORD_GONE || state == GN_RECORD_JOINING;
}

const gn_record_member_t *entry_membership_find_owner(const entry_t *entry,
						      unsigned index)
{
	const gn_record_doc_t *doc =
		gn_record_adopted(entry->membership->record);

	return doc ? gn_member_bucket_owner(doc, index) : NULL;
}

bool entry_membership_is_self(const entry_t *entry,
			      const gn_record_member_t *member)
{
	return member && member->incarnation == entry->membership->incarnation;
}

json_t *entry_membership_dump(const entry_t *entry)
{
	const entry_membership_t *membership = entry->membership;
	const gn_record_doc_t *doc = gn_record_adopted(membership->record);
	json_t *members = json_array();

	for (size_t i = 0; doc && i < doc->member_count; i++)
		json_array_append_new(members,
				      json_string(doc->members[i].name));
	return json_pack("{s:o, s:I, s:b, s:b}", "members", members, "revision",
			 (json_int_t)(doc ? doc->revision : 0), "normal",
			 (int)gn_promise_is_normal(membership->promise),
			 "may_renew",
			 (int)gn_promise_may_renew(membership->promise));
}
