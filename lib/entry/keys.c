#include "entry/keys.h"

#include <inttypes.h>
#include <stdio.h>

#include "common/log.h"
#include "entry/membership.h"
#include "http/status.h"
#include "platform/settle.h"

/** Time to live of a lease that keys are bound to, in milliseconds. */
#define LEASE_TTL_MS (10 * 60 * 1000)
/** Interval between grants of new leases, in milliseconds. */
#define GRANT_INTERVAL_MS (LEASE_TTL_MS / 2)
/** Delay after a failed grant before the next, in milliseconds. */
#define RETRY_MS 500
#define KEY_PREFIX "keys/"
/** Size of a formatted change ID including the terminating NUL, in bytes. */
#define CHANGE_ID_SIZE sizeof("0123456789abcdef")

static const gn_refusal_t key_used = { HTTP_CONFLICT, GN_OUTCOME_UNKNOWN,
				       "key-used", 0 };
static const gn_refusal_t unavailable = { HTTP_UNAVAILABLE, GN_OUTCOME_NOT_RUN,
					  "platform-unavailable", 0 };

struct entry_keys_s {
	entry_t *entry;
	uint64_t lease; /**< Lease for new keys, 0 if there is none. */
	uint64_t next_grant_us; /**< When to request the next lease. */
	bool grant_pending;
};

/* ======   The lease   ====== */

static void on_granted(void *context, const gn_kv_result_t *result)
{
	entry_keys_t *keys = context;
	uint64_t now_us = gn_runtime_now_us(keys->entry->runtime);

	keys->grant_pending = false;
	if (result->code) {
		keys->next_grant_us =
			now_us + (uint64_t)RETRY_MS * GN_US_PER_MS;
		return;
	}
	keys->lease = result->lease;
	keys->next_grant_us =
		result->sent_us + (uint64_t)GRANT_INTERVAL_MS * GN_US_PER_MS;
}

gn_code_t entry_keys_open(entry_t *entry)
{
	entry->keys = talloc_zero(entry, entry_keys_t);
	if (!entry->keys)
		return GN_ERR_MEMORY;
	entry->keys->entry = entry;
	return GN_OK;
}

void entry_keys_tick(entry_t *entry)
{
	entry_keys_t *keys = entry->keys;
	uint64_t now_us = gn_runtime_now_us(entry->runtime);

	if (keys->grant_pending || now_us < keys->next_grant_us)
		return;
	/* A lease older than half its time to live must not be used for new
	 * keys: they would expire too soon. */
	keys->lease = 0;
	keys->grant_pending = true;
	gn_kv_grant(entry->membership->kv, LEASE_TTL_MS, on_granted, keys);
}

bool entry_keys_are_ready(const entry_t *entry)
{
	return entry->keys->lease != 0;
}

/* ======   Claims   ====== */

/* Formats team and key as a KV key of fixed length and valid characters. */
static void format_key(const entry_request_t *request, char *name, size_t size)
{
	gn_str_t key = gn_str_from(request->http->headers[GN_HEADER_KEY]);
	gn_str_t team = gn_str_from(request->team);
	uint64_t high = gn_str_hash(key, gn_str_hash(team, 1));
	uint64_t low = gn_str_hash(key, gn_str_hash(team, 2));

	snprintf(name, size, KEY_PREFIX "%016" PRIx64 "%016" PRIx64, high, low);
}

static void format_change_id(const entry_request_t *request, char *change)
{
	snprintf(change, CHANGE_ID_SIZE, "%016" PRIx64, request->id);
}

static void dispatch_claimed(entry_request_t *request, uint64_t revision)
{
	request->key_revision = revision;
	entry_request_dispatch(request);
}

static void on_read_back(void *context, const gn_kv_result_t *result)
{
	entry_request_t *request = context;
	char change[CHANGE_ID_SIZE];

	request->key_call = 0;
	format_change_id(request, change);
	if (gn_kv_resolve_write(result, GN_KV_ABSENT, gn_str_from(change)) ==
	    GN_KV_WRITE_APPLIED)
		dispatch_claimed(request, result->entries[0].revision);
	else
		entry_request_fail(request, &unavailable);
}

static void read_back(entry_request_t *request)
{
	char name[GN_KV_KEY_MAX + 1];

	format_key(request, name, sizeof(name));
	request->key_call = gn_kv_get(request->entry->membership->kv,
				      gn_str_from(name), on_read_back, request);
}

static void on_claimed(void *context, const gn_kv_result_t *result)
{
	entry_request_t *request = context;

	request->key_call = 0;
	switch (result->code) {
	case GN_OK:
		dispatch_claimed(request, result->revision);
		break;
	case GN_ERR_CONFLICT:
		entry_request_fail(request, &key_used);
		break;
	case GN_ERR_UNKNOWN:
		read_back(request);
		break;
	default:
		entry_request_fail(request, &unavailable);
	}
}

void entry_key_claim(entry_request_t *request)
{
	entry_t *entry = request->entry;
	char name[GN_KV_KEY_MAX + 1];
	char change[CHANGE_ID_SIZE];
	gn_kv_put_t put;

	if (!entry->keys->lease) {
		entry_request_fail(request, &unavailable);
		return;
	}
	format_key(request, name, sizeof(name));
	format_change_id(request, change);
	put = (gn_kv_put_t){
		.key = gn_str_from(name),
		.change_id = gn_str_from(change),
		.expected = GN_KV_ABSENT,
		.lease = entry->keys->lease,
	};
	request->key_call =
		gn_kv_put(entry->membership->kv, &put, on_claimed, request);
}

static void on_released(void *context, const gn_kv_result_t *result)
{
	(void)context;
	/* If the removal fails, the key stays in use until its lease expires,
	 * which is safe. */
	if (result->code)
		gn_log_error(LOG_WARNING, result->error);
}

void entry_key_release(entry_request_t *request)
{
	char name[GN_KV_KEY_MAX + 1];

	if (!request->key_revision)
		return;
	format_key(request, name, sizeof(name));
	gn_kv_remove(request->entry->membership->kv, gn_str_from(name),
		     request->key_revision, on_released, NULL);
	request->key_revision = 0;
}
