#include "member/lease.h"

#include "common/str.h"
#include "platform/backoff.h"

/** Number of renewals within the time to live of a lease. */
#define RENEWALS_PER_TTL 3
/**
 * Maximum fraction of the renewal interval by which a renewal is sent early,
 * so that the renewals of many processes do not coincide.
 */
#define RENEWAL_JITTER 0.2
/** Minimum number of retries of a failed call within the time to live. */
#define RETRIES_PER_TTL 8

struct gn_lease_s {
	gn_lease_options_t options;
	char *key;
	gn_str_t value;
	gn_lease_state_t state;
	uint64_t id;
	uint64_t granted_sent_us;
	gn_kv_call_t call; /* Call in progress, or 0. */
	uint64_t due_us;
	gn_backoff_t backoff;
};

static uint64_t now_us(const gn_lease_t *lease)
{
	return gn_clock_now_us(lease->options.clock);
}

static uint64_t ttl_us(const gn_lease_t *lease)
{
	return (uint64_t)lease->options.ttl_ms * GN_US_PER_MS;
}

static void retry_later(gn_lease_t *lease)
{
	uint64_t wait_us =
		gn_backoff_next_us(&lease->backoff, lease->options.rand);

	lease->due_us =
		now_us(lease) + MIN(wait_us, ttl_us(lease) / RETRIES_PER_TTL);
}

static void on_success(gn_lease_t *lease, uint64_t sent_us)
{
	double share = 1 - RENEWAL_JITTER * g_rand_double(lease->options.rand);

	gn_backoff_reset(&lease->backoff);
	lease->due_us = sent_us + (uint64_t)(share * (double)ttl_us(lease)) /
					  RENEWALS_PER_TTL;
	if (lease->options.on_renewed)
		lease->options.on_renewed(lease->options.context, sent_us);
}

static void on_granted(void *context, const gn_kv_result_t *result)
{
	gn_lease_t *lease = context;

	lease->call = 0;
	/*
	 * If the answer was lost, the granted lease expires without renewals.
	 */
	if (result->code != GN_OK) {
		retry_later(lease);
		return;
	}
	gn_backoff_reset(&lease->backoff);
	lease->id = result->lease;
	lease->granted_sent_us = result->sent_us;
	lease->state = GN_LEASE_CREATING;
	lease->due_us = now_us(lease);
}

static bool is_own_key(const gn_lease_t *lease, const gn_kv_result_t *result)
{
	return result->count && result->entries[0].lease == lease->id &&
	       gn_str_equal(result->entries[0].change_id,
			    gn_str_from(lease->key));
}

/*
 * If the answer to the creation was lost, the creation is repeated. A key that
 * exists then can only come from an earlier copy of this request, and a copy
 * that arrives after the lease has expired is refused with it.
 */
static void on_key_created(void *context, const gn_kv_result_t *result)
{
	gn_lease_t *lease = context;

	lease->call = 0;
	switch (result->code) {
	case GN_OK:
		break;
	case GN_ERR_CONFLICT:
		if (is_own_key(lease, result))
			break;
		lease->state = GN_LEASE_LOST;
		return;
	case GN_ERR_UNKNOWN:
	case GN_ERR_UNAVAILABLE:
	case GN_ERR_RATE:
		retry_later(lease);
		return;
	default:
		lease->state = GN_LEASE_LOST;
		return;
	}
	lease->state = GN_LEASE_HELD;
	on_success(lease, lease->granted_sent_us);
}

static void on_renewal_done(void *context, const gn_kv_result_t *result)
{
	gn_lease_t *lease = context;

	lease->call = 0;
	if (result->code == GN_OK)
		on_success(lease, result->sent_us);
	else if (result->code == GN_ERR_NOT_FOUND)
		lease->state = GN_LEASE_LOST;
	else
		retry_later(lease);
}

static void on_revocation_done(void *context, const gn_kv_result_t *result)
{
	gn_lease_t *lease = context;

	lease->call = 0;
	if (result->code == GN_OK || result->code == GN_ERR_NOT_FOUND)
		lease->state = GN_LEASE_LOST;
	else
		retry_later(lease);
}

static void create_key(gn_lease_t *lease)
{
	gn_str_t key = gn_str_from(lease->key);
	gn_kv_put_t put = { key, lease->value, key, GN_KV_ABSENT, lease->id };

	lease->call = gn_kv_put(lease->options.kv, &put, on_key_created, lease);
}

void gn_lease_tick(gn_lease_t *lease)
{
	gn_kv_t *kv = lease->options.kv;

	if (lease->call || now_us(lease) < lease->due_us)
		return;
	switch (lease->state) {
	case GN_LEASE_GRANTING:
		lease->call = gn_kv_grant(kv, lease->options.ttl_ms, on_granted,
					  lease);
		break;
	case GN_LEASE_CREATING:
		create_key(lease);
		break;
	case GN_LEASE_HELD:
		lease->call =
			gn_kv_renew(kv, lease->id, on_renewal_done, lease);
		break;
	case GN_LEASE_REVOKING:
		lease->call =
			gn_kv_revoke(kv, lease->id, on_revocation_done, lease);
		break;
	case GN_LEASE_LOST:
		break;
	}
}

void gn_lease_revoke(gn_lease_t *lease)
{
	if (lease->state == GN_LEASE_LOST)
		return;
	gn_kv_cancel(lease->options.kv, lease->call);
	lease->call = 0;
	lease->due_us = now_us(lease);
	lease->state = lease->id ? GN_LEASE_REVOKING : GN_LEASE_LOST;
}

static void ignore_result(void *context, const gn_kv_result_t *result)
{
	(void)context;
	(void)result;
}

void gn_lease_abandon(gn_lease_t *lease)
{
	gn_kv_cancel(lease->options.kv, lease->call);
	lease->call = 0;
	if (lease->id && lease->state != GN_LEASE_LOST)
		gn_kv_revoke(lease->options.kv, lease->id, ignore_result, NULL);
	lease->state = GN_LEASE_LOST;
}

gn_lease_state_t gn_lease_state(const gn_lease_t *lease)
{
	return lease->state;
}

uint64_t gn_lease_id(const gn_lease_t *lease)
{
	return lease->id;
}

static int free_lease(gn_lease_t *lease)
{
	gn_kv_cancel(lease->options.kv, lease->call);
	return 0;
}

gn_lease_t *gn_lease_create(TALLOC_CTX *parent,
			    const gn_lease_options_t *options)
{
	gn_str_t key = gn_str_from(options->key);
	gn_lease_t *lease;

	/* The key is also the change ID of its own creation. */
	if (!key.len || !gn_kv_is_key_text(key, GN_KV_CHANGE_MAX) ||
	    options->ttl_ms < GN_LEASE_TTL_MIN_MS ||
	    options->ttl_ms > GN_LEASE_TTL_MAX_MS)
		return NULL;
	lease = talloc_zero(parent, gn_lease_t);
	if (!lease)
		return NULL;
	lease->options = *options;
	lease->key = talloc_strdup(lease, options->key);
	lease->value.len = options->value.len;
	lease->value.data = talloc_strndup(
		lease, options->value.len ? options->value.data : "",
		options->value.len);
	if (!lease->key || !lease->value.data) {
		talloc_free(lease);
		return NULL;
	}
	talloc_set_destructor(lease, free_lease);
	return lease;
}

void gn_lease_free(gn_lease_t *lease)
{
	talloc_free(lease);
}
