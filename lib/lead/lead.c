#include "lead/lead.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "common/str.h"
#include "member/lease.h"
#include "platform/backoff.h"
#include "platform/watch.h"

#define LEADER_KEY GN_LEAD_LIVE_PREFIX "leader"
#define MEMBER_PREFIX GN_LEAD_LIVE_PREFIX "members/"
/** Of one watch call; short, for a connection may have gone silent. */
#define WATCH_WAIT_MS 1000
/** Longest pause after a failure: without a leader nothing is decided. */
#define BACKOFF_MS 300

/** "INCARNATION@ADDRESS" */
#define VALUE_SIZE (GN_ADDRESS_MAX + 32)

typedef enum stage_e {
	STAGE_FOLLOW = 0, /**< another leads, or nobody yet */
	STAGE_READ, /**< the chain key and the leader's are being read */
	STAGE_TAKE, /**< the leader's key is being taken */
	STAGE_LEAD,
	STAGE_RESIGNED
} stage_t;

struct gn_lead_s {
	gn_lead_options_t options;
	char value[VALUE_SIZE];
	gn_lease_t *lease;
	unsigned leases; /**< so far; numbers their keys */
	gn_kv_watch_t *watch;
	stage_t stage;
	gn_kv_call_t call;
	uint64_t chain; /**< revision that was read */
	uint64_t own; /**< the same of the leader's key; GN_KV_ABSENT: none */
	uint64_t
		free_us; /**< since when the leader's key is free; 0: it is not */
	bool listed; /**< what the leader's key holds is known */
	bool is_held; /**< somebody holds the leader's key */
	char holder[VALUE_SIZE];
	uint64_t due_us; /**< next attempt to take it */
	gn_backoff_t backoff;
	uint64_t confirmed_us;
};

static uint64_t now_us(const gn_lead_t *lead)
{
	return gn_clock_now_us(lead->options.clock);
}

/* ======   Steps   ====== */

static void back_off(gn_lead_t *lead)
{
	lead->stage = STAGE_FOLLOW;
	lead->due_us = now_us(lead) +
		       gn_backoff_next_us(&lead->backoff, lead->options.rand);
}

static void depose(gn_lead_t *lead, const char *why)
{
	bool led = lead->stage == STAGE_LEAD;

	gn_kv_cancel(lead->options.kv, lead->call);
	lead->call = 0;
	lead->stage = STAGE_FOLLOW;
	if (led)
		lead->options.ops->deposed(lead->options.arg, why);
}

static void elect(gn_lead_t *lead, uint64_t epoch, uint64_t sent_us)
{
	lead->stage = STAGE_LEAD;
	lead->is_held = true;
	gn_str_copy(lead->holder, sizeof(lead->holder),
		    gn_str_from(lead->value));
	gn_backoff_reset(&lead->backoff);
	lead->confirmed_us = sent_us;
	lead->options.ops->elected(lead->options.arg, epoch);
}

/* ======   The leader's key   ====== */

static void take_taken(void *context, const gn_kv_result_t *result)
{
	gn_lead_t *lead = context;

	lead->call = 0;
	if (result->code == GN_OK)
		elect(lead, result->revision, result->sent_us);
	else
		/*
		 * Where the answer was lost and the key was taken, the watch
		 * shows this process as the holder, and the next attempt
		 * takes it over from itself.
		 */
		back_off(lead);
}

static void start_take(gn_lead_t *lead)
{
	gn_str_t value = gn_str_from(lead->value);
	const gn_kv_expect_t expects[] = {
		{ GN_STR(GN_LEAD_CHAIN_KEY), lead->chain },
		/* its own key, where the answer to an earlier take was lost */
		{ GN_STR(LEADER_KEY), lead->own },
	};
	const gn_kv_put_t puts[] = {
		{ .key = GN_STR(GN_LEAD_CHAIN_KEY), .value = value },
		{ .key = GN_STR(LEADER_KEY),
		  .value = value,
		  .lease = gn_lease_id(lead->lease) },
	};
	const gn_kv_txn_t txn = { .expects = expects,
				  .expect_count = 2,
				  .puts = puts,
				  .put_count = 2 };

	lead->stage = STAGE_TAKE;
	lead->call = gn_kv_txn(lead->options.kv, &txn, take_taken, lead);
}

static void take_holder(gn_lead_t *lead, const gn_kv_entry_t *entry)
{
	lead->is_held = !entry->deleted;
	lead->holder[0] = '\0';
	if (lead->is_held)
		gn_str_copy(lead->holder, sizeof(lead->holder), entry->value);
}

/* What the watch has shown may be old: the key itself decides. */
static void take_leader(void *context, const gn_kv_result_t *result)
{
	gn_lead_t *lead = context;

	lead->call = 0;
	if (result->code == GN_ERR_NOT_FOUND) {
		lead->own = GN_KV_ABSENT;
		start_take(lead);
		return;
	}
	if (result->code == GN_OK) {
		take_holder(lead, &result->entries[0]);
		if (!strcmp(lead->holder, lead->value)) {
			lead->own = result->entries[0].revision;
			start_take(lead);
			return;
		}
	}
	back_off(lead);
}

static void take_chain(void *context, const gn_kv_result_t *result)
{
	gn_lead_t *lead = context;

	lead->call = 0;
	if (result->code == GN_OK)
		lead->chain = result->entries[0].revision;
	else if (result->code == GN_ERR_NOT_FOUND)
		lead->chain = GN_KV_ABSENT;
	else {
		back_off(lead);
		return;
	}
	lead->call = gn_kv_get(lead->options.kv, GN_STR(LEADER_KEY),
			       take_leader, lead);
}

static bool is_handicap_over(gn_lead_t *lead)
{
	if (lead->is_held) {
		lead->free_us = 0;
		return true;
	}
	if (!lead->free_us)
		lead->free_us = now_us(lead);
	return now_us(lead) - lead->free_us >=
	       (uint64_t)lead->options.handicap_ms * GN_US_PER_MS;
}

static bool may_take(gn_lead_t *lead)
{
	bool is_free = !lead->is_held || !strcmp(lead->holder, lead->value);

	return is_handicap_over(lead) && lead->stage == STAGE_FOLLOW &&
	       lead->listed && is_free &&
	       gn_lease_state(lead->lease) == GN_LEASE_HELD &&
	       now_us(lead) >= lead->due_us;
}

static void start_read(gn_lead_t *lead)
{
	lead->stage = STAGE_READ;
	lead->call = gn_kv_get(lead->options.kv, GN_STR(GN_LEAD_CHAIN_KEY),
			       take_chain, lead);
}

/* ======   News   ====== */

static void on_news(void *context, const gn_kv_news_t *news)
{
	gn_lead_t *lead = context;

	if (news->whole) {
		lead->is_held = false;
		lead->holder[0] = '\0';
	}
	lead->listed = true;
	for (size_t i = 0; i < news->count; i++)
		if (gn_str_equal(news->entries[i].key, GN_STR(LEADER_KEY)))
			take_holder(lead, &news->entries[i]);
	if (lead->stage == STAGE_LEAD &&
	    (!lead->is_held || strcmp(lead->holder, lead->value) != 0))
		depose(lead, "the leader's key is another's or gone");
	if (may_take(lead))
		start_read(lead);
}

/* ======   The lease   ====== */

static void on_renewed(void *context, uint64_t sent_us)
{
	gn_lead_t *lead = context;

	if (lead->stage == STAGE_LEAD)
		lead->confirmed_us = sent_us;
}

static bool open_lease(gn_lead_t *lead)
{
	char *key = talloc_asprintf(lead, MEMBER_PREFIX "%016" PRIx64 "-%u",
				    lead->options.incarnation, lead->leases++);
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

static void renew_lost_lease(gn_lead_t *lead)
{
	if (lead->stage == STAGE_RESIGNED ||
	    gn_lease_state(lead->lease) != GN_LEASE_LOST)
		return;
	depose(lead, "the lease is lost");
	gn_lease_free(lead->lease);
	if (!open_lease(lead))
		abort(); /* as GLib does when memory is short */
}

/* ======   Life   ====== */

gn_lead_t *gn_lead_create(TALLOC_CTX *parent, const gn_lead_options_t *options)
{
	const gn_kv_watch_options_t watched = { .prefix = GN_LEAD_LIVE_PREFIX,
						.wait_ms = WATCH_WAIT_MS,
						.on_news = on_news };
	gn_kv_watch_options_t watch_options = watched;
	gn_lead_t *lead = talloc_zero(parent, gn_lead_t);

	if (!lead)
		return NULL;
	lead->options = *options;
	lead->backoff.limit_us = BACKOFF_MS * GN_US_PER_MS;
	watch_options.context = lead;
	snprintf(lead->value, sizeof(lead->value), "%016" PRIx64 "@%s",
		 options->incarnation, options->address);
	lead->watch = gn_kv_watch_create(lead, options->kv, options->clock,
					 options->rand, &watch_options);
	if (!lead->watch || !open_lease(lead)) {
		talloc_free(lead);
		return NULL;
	}
	gn_kv_watch_limit_backoff(lead->watch, BACKOFF_MS);
	return lead;
}

void gn_lead_tick(gn_lead_t *lead)
{
	gn_lease_tick(lead->lease);
	renew_lost_lease(lead);
	gn_kv_watch_tick(lead->watch);
	if (may_take(lead))
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

uint64_t gn_lead_heard_us(const gn_lead_t *lead)
{
	return gn_kv_watch_heard_us(lead->watch);
}

void gn_lead_resign(gn_lead_t *lead)
{
	gn_kv_cancel(lead->options.kv, lead->call);
	lead->call = 0;
	lead->stage = STAGE_RESIGNED;
	gn_lease_end(lead->lease);
}

void gn_lead_depose(gn_lead_t *lead, const char *why)
{
	depose(lead, why);
	lead->due_us = now_us(lead) +
		       gn_backoff_next_us(&lead->backoff, lead->options.rand);
}
