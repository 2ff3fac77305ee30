#include "lead/lead.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "common/str.h"
#include "config/address.h"
#include "member/lease.h"
#include "platform/backoff.h"
#include "platform/watch.h"

#define PRESENCE_PREFIX GN_LEAD_LIVE_PREFIX "members/"
/**
 * Maximum duration of one watch call. It is short because a connection may
 * have failed silently.
 */
#define WATCH_WAIT_MS 1000
/** Maximum retry delay; without a leader nothing is scheduled. */
#define BACKOFF_MAX_MS 300

/** Length of the incarnation in the value of the leader key. */
#define INCARNATION_LEN 16
/** Size of the value "INCARNATION@ADDRESS", including the terminator. */
#define VALUE_SIZE (GN_ADDRESS_MAX + 32)

typedef enum stage_e {
	STAGE_FOLLOW = 0, /**< Another process leads, or none does. */
	STAGE_READ, /**< The chain key and the leader key are being read. */
	STAGE_ACQUIRE, /**< The leader key is being written. */
	STAGE_LEAD,
	STAGE_RESIGNED
} stage_t;

struct gn_lead_s {
	gn_lead_options_t options;
	char value[VALUE_SIZE];
	gn_lease_t *lease;
	/** Number of leases so far, which makes their keys unique. */
	unsigned lease_count;
	gn_kv_watch_t *watch;
	stage_t stage;
	gn_kv_call_t call;
	uint64_t chain_revision; /**< Last revision read of the chain key. */
	/** Last revision read of the leader key; GN_KV_ABSENT if none. */
	uint64_t leader_key_revision;
	/** Time since which the leader key is known to be absent, or 0. */
	uint64_t key_free_since_us;
	bool is_holder_known; /**< Whether the watch has listed the keys. */
	bool is_held; /**< Whether the leader key exists. */
	char holder[VALUE_SIZE]; /**< Value of the leader key. */
	uint64_t due_us; /**< Earliest time of the next attempt to lead. */
	gn_backoff_t backoff;
	uint64_t confirmed_us;
	uint64_t
		renewed_us; /**< When the last renewal of the lease was sent. */
};

static uint64_t now_us(const gn_lead_t *lead)
{
	return gn_clock_now_us(lead->options.clock);
}

/* ======   Transitions   ====== */

static void back_off(gn_lead_t *lead)
{
	lead->stage = STAGE_FOLLOW;
	lead->due_us = now_us(lead) +
		       gn_backoff_next_us(&lead->backoff, lead->options.rand);
}

static void step_down(gn_lead_t *lead, const char *why)
{
	bool was_leader = lead->stage == STAGE_LEAD;

	gn_kv_cancel(lead->options.kv, lead->call);
	lead->call = 0;
	lead->stage = STAGE_FOLLOW;
	if (was_leader)
		lead->options.ops->deposed(lead->options.arg, why);
}

static void become_leader(gn_lead_t *lead, uint64_t epoch, uint64_t sent_us)
{
	lead->stage = STAGE_LEAD;
	lead->is_held = true;
	gn_str_copy(lead->holder, sizeof(lead->holder),
		    gn_str_from(lead->value));
	gn_backoff_reset(&lead->backoff);
	lead->confirmed_us = sent_us;
	lead->options.ops->elected(lead->options.arg, epoch);
}

/* ======   Leader key   ====== */

static void on_key_acquired(void *context, const gn_kv_result_t *result)
{
	gn_lead_t *lead = context;

	lead->call = 0;
	if (result->code == GN_OK)
		become_leader(lead, result->revision, result->sent_us);
	else
		/*
		 * If the write succeeded but its response was lost, the watch
		 * reports this process as the holder, and the next attempt
		 * replaces its own key.
		 */
		back_off(lead);
}

static void start_acquire(gn_lead_t *lead)
{
	gn_str_t value = gn_str_from(lead->value);
	const gn_kv_expect_t expects[] = {
		{ GN_STR(GN_LEAD_CHAIN_KEY), lead->chain_revision },
		/* This may be this process's own key if an earlier response
		 * was lost. */
		{ GN_STR(GN_LEAD_KEY), lead->leader_key_revision },
	};
	const gn_kv_put_t puts[] = {
		{ .key = GN_STR(GN_LEAD_CHAIN_KEY), .value = value },
		{ .key = GN_STR(GN_LEAD_KEY),
		  .value = value,
		  .lease = gn_lease_id(lead->lease) },
	};
	const gn_kv_txn_t txn = { .expects = expects,
				  .expect_count = 2,
				  .puts = puts,
				  .put_count = 2 };

	lead->stage = STAGE_ACQUIRE;
	lead->call = gn_kv_txn(lead->options.kv, &txn, on_key_acquired, lead);
}

bool gn_lead_read_presence(gn_str_t value, char *address)
{
	struct sockaddr_storage parsed;

	return !gn_address_parse(value, &parsed) &&
	       !gn_str_copy(address, GN_ADDRESS_MAX + 1, value);
}

bool gn_lead_read_value(gn_str_t value, char *address)
{
	if (value.len <= INCARNATION_LEN || value.data[INCARNATION_LEN] != '@')
		return false;
	for (size_t i = 0; i < INCARNATION_LEN; i++)
		if (!g_ascii_isxdigit(value.data[i]))
			return false;
	value.data += INCARNATION_LEN + 1;
	value.len -= INCARNATION_LEN + 1;
	return gn_lead_read_presence(value, address);
}

/* A key with a malformed value is free: nobody leads by it, and it may not be
 * bound to a lease. */
static void set_holder(gn_lead_t *lead, const gn_kv_entry_t *entry)
{
	char address[GN_ADDRESS_MAX + 1];

	lead->holder[0] = '\0';
	lead->is_held =
		!entry->deleted && gn_lead_read_value(entry->value, address);
	if (lead->is_held)
		gn_str_copy(lead->holder, sizeof(lead->holder), entry->value);
	else if (!entry->deleted && lead->options.ops->malformed)
		lead->options.ops->malformed(lead->options.arg, GN_LEAD_KEY);
}

/* Decides on the key as read now, since the watch may be behind. */
static void on_leader_read(void *context, const gn_kv_result_t *result)
{
	gn_lead_t *lead = context;

	lead->call = 0;
	if (result->code == GN_ERR_NOT_FOUND) {
		lead->leader_key_revision = GN_KV_ABSENT;
		start_acquire(lead);
		return;
	}
	if (result->code == GN_OK) {
		set_holder(lead, &result->entries[0]);
		if (!lead->is_held || !strcmp(lead->holder, lead->value)) {
			lead->leader_key_revision = result->entries[0].revision;
			start_acquire(lead);
			return;
		}
	}
	back_off(lead);
}

static void on_chain_read(void *context, const gn_kv_result_t *result)
{
	gn_lead_t *lead = context;

	lead->call = 0;
	if (result->code == GN_OK)
		lead->chain_revision = result->entries[0].revision;
	else if (result->code == GN_ERR_NOT_FOUND)
		lead->chain_revision = GN_KV_ABSENT;
	else {
		back_off(lead);
		return;
	}
	lead->call = gn_kv_get(lead->options.kv, GN_STR(GN_LEAD_KEY),
			       on_leader_read, lead);
}

static bool is_delay_over(gn_lead_t *lead)
{
	if (lead->is_held) {
		lead->key_free_since_us = 0;
		return true;
	}
	if (!lead->key_free_since_us)
		lead->key_free_since_us = now_us(lead);
	return now_us(lead) - lead->key_free_since_us >=
	       (uint64_t)lead->options.candidacy_delay_ms * GN_US_PER_MS;
}

static bool may_acquire(gn_lead_t *lead)
{
	bool is_free = !lead->is_held || !strcmp(lead->holder, lead->value);

	return is_delay_over(lead) && lead->stage == STAGE_FOLLOW &&
	       lead->is_holder_known && is_free &&
	       gn_lease_state(lead->lease) == GN_LEASE_HELD &&
	       now_us(lead) >= lead->due_us;
}

static void start_read(gn_lead_t *lead)
{
	lead->stage = STAGE_READ;
	lead->call = gn_kv_get(lead->options.kv, GN_STR(GN_LEAD_CHAIN_KEY),
			       on_chain_read, lead);
}

/* ======   Watch   ====== */

static void on_watch_update(void *context, const gn_kv_update_t *update)
{
	gn_lead_t *lead = context;

	if (update->is_snapshot) {
		lead->is_held = false;
		lead->holder[0] = '\0';
	}
	lead->is_holder_known = true;
	for (size_t i = 0; i < update->count; i++)
		if (gn_str_equal(update->entries[i].key, GN_STR(GN_LEAD_KEY)))
			set_holder(lead, &update->entries[i]);
	if (lead->stage == STAGE_LEAD &&
	    (!lead->is_held || strcmp(lead->holder, lead->value) != 0))
		step_down(
			lead,
			"the leader key was deleted or belongs to another process");
	if (may_acquire(lead))
		start_read(lead);
}

/* ======   Lease   ====== */

static void on_renewed(void *context, uint64_t sent_us)
{
	gn_lead_t *lead = context;

	lead->renewed_us = sent_us;
	if (lead->stage == STAGE_LEAD)
		lead->confirmed_us = sent_us;
}

static bool open_lease(gn_lead_t *lead)
{
	char *key =
		talloc_asprintf(lead, PRESENCE_PREFIX "%016" PRIx64 "-%u",
				lead->options.incarnation, lead->lease_count++);
	const gn_lease_options_t options = {
		.kv = lead->options.kv,
		.clock = lead->options.clock,
		.rand = lead->options.rand,
		.key = key,
		.value = gn_str_from(lead->options.address),
		.ttl_ms = lead->options.ttl_ms,
		.on_renewed = on_renewed,
		.context = lead,
	};

	if (!key)
		return false;
	lead->lease = gn_lease_create(lead, &options);
	talloc_free(key);
	return lead->lease != NULL;
}

static void replace_lost_lease(gn_lead_t *lead)
{
	if (lead->stage == STAGE_RESIGNED ||
	    gn_lease_state(lead->lease) != GN_LEASE_LOST)
		return;
	step_down(lead, "the lease of the leader key was lost");
	gn_lease_free(lead->lease);
	if (!open_lease(lead))
		abort(); /* GLib also aborts when out of memory. */
}

/* ======   Life   ====== */

gn_lead_t *gn_lead_create(TALLOC_CTX *parent, const gn_lead_options_t *options)
{
	const gn_kv_watch_options_t template = { .prefix = GN_LEAD_LIVE_PREFIX,
						 .wait_ms = WATCH_WAIT_MS,
						 .on_update = on_watch_update };
	gn_kv_watch_options_t watch_options = template;
	gn_lead_t *lead = talloc_zero(parent, gn_lead_t);

	if (!lead)
		return NULL;
	lead->options = *options;
	lead->backoff.limit_us = BACKOFF_MAX_MS * GN_US_PER_MS;
	watch_options.context = lead;
	snprintf(lead->value, sizeof(lead->value), "%016" PRIx64 "@%s",
		 options->incarnation, options->address);
	lead->watch = gn_kv_watch_create(lead, options->kv, options->clock,
					 options->rand, &watch_options);
	if (!lead->watch || !open_lease(lead)) {
		talloc_free(lead);
		return NULL;
	}
	gn_kv_watch_limit_backoff(lead->watch, BACKOFF_MAX_MS);
	return lead;
}

void gn_lead_tick(gn_lead_t *lead)
{
	gn_lease_tick(lead->lease);
	replace_lost_lease(lead);
	gn_kv_watch_tick(lead->watch);
	if (may_acquire(lead))
		start_read(lead);
}

bool gn_lead_is_leader(const gn_lead_t *lead)
{
	return lead->stage == STAGE_LEAD;
}

const char *gn_lead_address(const gn_lead_t *lead)
{
	const char *at = strchr(lead->holder, '@');

	return lead->is_held && at ? at + 1 : NULL;
}

void gn_lead_confirm(gn_lead_t *lead, uint64_t sent_us)
{
	if (sent_us > lead->confirmed_us)
		lead->confirmed_us = sent_us;
}

uint64_t gn_lead_confirmed_us(const gn_lead_t *lead)
{
	return lead->confirmed_us;
}

uint64_t gn_lead_renewed_us(const gn_lead_t *lead)
{
	return lead->renewed_us;
}

uint64_t gn_lead_last_contact_us(const gn_lead_t *lead)
{
	return gn_kv_watch_last_answer_us(lead->watch);
}

void gn_lead_resign(gn_lead_t *lead)
{
	gn_kv_cancel(lead->options.kv, lead->call);
	lead->call = 0;
	lead->stage = STAGE_RESIGNED;
	gn_lease_revoke(lead->lease);
}

void gn_lead_depose(gn_lead_t *lead, const char *why)
{
	step_down(lead, why);
	lead->due_us = now_us(lead) +
		       gn_backoff_next_us(&lead->backoff, lead->options.rand);
}
