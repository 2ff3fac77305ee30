#include "batch/promise.h"

#include <assert.h>

#include "batch/mutant.h"

#define PPM 1000000

/** Another member, as the adopted record and its answers show it. */
typedef struct member_s {
	uint64_t incarnation;
	uint64_t joined;
	bool confirmed;
	uint64_t confirmed_us; /**< when the confirmed query was sent */
} member_t;

/** What this entry has told about an owner. */
typedef struct told_s {
	uint64_t owner;
	bool gave;
	uint64_t gave_us; /**< last confirmation */
	bool refused; /**< vouched against; never confirmed again */
} told_t;

/** Who vouched against an owner. */
typedef struct vouched_s {
	uint64_t owner;
	GHashTable *vouchers; /**< set of incarnations */
} vouched_t;

struct gn_promise_s {
	gn_promise_params_t params;
	const gn_clock_t *clock;
	uint64_t incarnation;
	bool renewed;
	uint64_t renewed_us; /**< sending of the last renewal that succeeded */
	uint64_t revision;
	bool joined; /**< was a member once */
	bool removed;
	GHashTable
		*members; /**< incarnation -> member_t, this entry included */
	GHashTable *told; /**< owner -> told_t */
	GHashTable *vouched; /**< owner -> vouched_t */
};

/* ======   Life   ====== */

static void free_vouched(gpointer data)
{
	vouched_t *vouched = data;

	g_hash_table_destroy(vouched->vouchers);
	g_free(vouched);
}

static GHashTable *make_table(GDestroyNotify free_value)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
				     free_value);
}

static int destroy_promise(gn_promise_t *promise)
{
	g_hash_table_destroy(promise->members);
	g_hash_table_destroy(promise->told);
	g_hash_table_destroy(promise->vouched);
	return 0;
}

gn_promise_t *gn_promise_create(TALLOC_CTX *parent,
				const gn_promise_params_t *params,
				const gn_clock_t *clock, uint64_t incarnation)
{
	gn_promise_t *promise = talloc_zero(parent, gn_promise_t);

	assert(incarnation);
	assert(params->renew_us >= GN_US_PER_S);
	assert(params->promise_us >= GN_US_PER_S);
	assert(params->drift_us > 0);
	if (!promise)
		return NULL;
	promise->params = *params;
	promise->clock = clock;
	promise->incarnation = incarnation;
	promise->members = make_table(g_free);
	promise->told = make_table(g_free);
	promise->vouched = make_table(free_vouched);
	talloc_set_destructor(promise, destroy_promise);
	return promise;
}

/* ======   The record   ====== */

void gn_promise_on_renewed(gn_promise_t *promise, uint64_t sent_us)
{
	if (promise->renewed && sent_us <= promise->renewed_us)
		return;
	promise->renewed = true;
	promise->renewed_us = sent_us;
}

static member_t *find_member(const gn_promise_t *promise, uint64_t incarnation)
{
	return g_hash_table_lookup(promise->members, &incarnation);
}

static member_t *make_member(const gn_promise_t *promise,
			     const gn_promise_member_t *from)
{
	const member_t *known = find_member(promise, from->incarnation);
	member_t *member = g_new0(member_t, 1);

	if (known)
		*member = *known;
	member->incarnation = from->incarnation;
	member->joined = from->joined;
	return member;
}

/**
 * Who left the record never returns to it, and is not confirmed to any more:
 * what was told about it need not be kept once its last promise has lapsed.
 */
static gboolean is_told_spent(gpointer key, gpointer value, gpointer data)
{
	const gn_promise_t *promise = data;
	const told_t *told = value;
	uint64_t kept_us = promise->params.confirm_us +
			   promise->params.promise_us +
			   promise->params.drift_us;

	(void)key;
	if (find_member(promise, told->owner))
		return FALSE;
	return !told->gave ||
	       gn_clock_now_us(promise->clock) - told->gave_us > kept_us;
}

gn_code_t gn_promise_adopt(gn_promise_t *promise, uint64_t revision,
			   const gn_promise_member_t *members, size_t count)
{
	GHashTable *adopted;

	if (revision <= promise->revision && !GN_MUTANT(adopt_older))
		return GN_ERR_STALE;
	if (count > GN_PROMISE_MEMBERS_MAX)
		return GN_ERR_RANGE;
	adopted = make_table(g_free);
	for (size_t i = 0; i < count; i++) {
		member_t *member = make_member(promise, &members[i]);

		g_hash_table_replace(adopted, &member->incarnation, member);
	}
	g_hash_table_destroy(promise->members);
	promise->members = adopted;
	promise->revision = revision;
	if (find_member(promise, promise->incarnation))
		promise->joined = true;
	else if (promise->joined)
		promise->removed = true;
	g_hash_table_foreach_remove(promise->told, is_told_spent, promise);
	return GN_OK;
}

/* ======   What may be promised   ====== */

bool gn_promise_is_normal(const gn_promise_t *promise)
{
	return promise->renewed && promise->joined && !promise->removed &&
	       gn_clock_now_us(promise->clock) - promise->renewed_us <
		       promise->params.renew_us;
}

static bool is_confirmed_by_all(const gn_promise_t *promise)
{
	uint64_t now_us = gn_clock_now_us(promise->clock);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, promise->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const member_t *member = value;

		if (member->incarnation == promise->incarnation)
			continue;
		if (!member->confirmed ||
		    now_us - member->confirmed_us > promise->params.confirm_us)
			return false;
	}
	return true;
}

bool gn_promise_may_renew(const gn_promise_t *promise)
{
	uint64_t away_us;

	if (!promise->renewed || !promise->joined || promise->removed)
		return false;
	if (gn_promise_is_normal(promise))
		return true;
	away_us = gn_clock_now_us(promise->clock) - promise->renewed_us;
	if (away_us >= promise->params.dark_us)
		return false;
	return is_confirmed_by_all(promise) || GN_MUTANT(no_confirmation);
}

bool gn_promise_may_start(const gn_promise_t *promise)
{
	return gn_promise_is_normal(promise);
}

bool gn_promise_is_removed(const gn_promise_t *promise)
{
	return promise->removed;
}

uint64_t gn_promise_revision(const gn_promise_t *promise)
{
	return promise->revision;
}

/* ======   What is told to others   ====== */

static told_t *find_told(gn_promise_t *promise, uint64_t owner)
{
	told_t *told = g_hash_table_lookup(promise->told, &owner);

	if (!told) {
		told = g_new0(told_t, 1);
		told->owner = owner;
		g_hash_table_insert(promise->told, &told->owner, told);
	}
	return told;
}

/** Confirms only while dark itself, to a member it has not vouched against. */
static bool confirm_to(gn_promise_t *promise, uint64_t asker)
{
	told_t *told;

	if (gn_promise_is_normal(promise) || promise->removed ||
	    !promise->joined || !find_member(promise, asker))
		return false;
	told = find_told(promise, asker);
	if (told->refused)
		return false;
	told->gave = true;
	told->gave_us = gn_clock_now_us(promise->clock);
	return true;
}

/** Vouches once the owner's last promise on its confirmation has lapsed. */
static bool vouch_against(gn_promise_t *promise, uint64_t owner)
{
	told_t *told = find_told(promise, owner);
	uint64_t lapse_us = promise->params.confirm_us +
			    promise->params.promise_us +
			    promise->params.drift_us;

	told->refused = true;
	return !told->gave ||
	       gn_clock_now_us(promise->clock) - told->gave_us > lapse_us;
}

bool gn_promise_on_query(gn_promise_t *promise, gn_promise_query_t kind,
			 uint64_t from, uint64_t about)
{
	switch (kind) {
	case GN_PROMISE_CONFIRM:
		return confirm_to(promise, from);
	case GN_PROMISE_VOUCH:
		return vouch_against(promise, about);
	}
	return false;
}

/* ======   What others tell   ====== */

static void note_voucher(gn_promise_t *promise, uint64_t owner,
			 uint64_t voucher)
{
	vouched_t *vouched = g_hash_table_lookup(promise->vouched, &owner);

	if (!vouched) {
		vouched = g_new0(vouched_t, 1);
		vouched->owner = owner;
		vouched->vouchers = g_hash_table_new_full(
			g_int64_hash, g_int64_equal, g_free, NULL);
		g_hash_table_insert(promise->vouched, &vouched->owner, vouched);
	}
	g_hash_table_add(vouched->vouchers,
			 g_memdup2(&voucher, sizeof(voucher)));
}

void gn_promise_on_answer(gn_promise_t *promise, gn_promise_query_t kind,
			  uint64_t from, uint64_t about, uint64_t sent_us,
			  bool granted)
{
	member_t *member = find_member(promise, from);

	if (!granted)
		return;
	if (kind == GN_PROMISE_VOUCH) {
		note_voucher(promise, about, from);
		return;
	}
	if (!member || about != promise->incarnation)
		return;
	if (member->confirmed && member->confirmed_us >= sent_us)
		return;
	member->confirmed = true;
	member->confirmed_us = sent_us;
}

/* ======   Queries   ====== */

size_t gn_promise_confirmers(const gn_promise_t *promise, uint64_t *to,
			     size_t size)
{
	GHashTableIter iter;
	gpointer value;
	size_t count = 0;

	if (gn_promise_is_normal(promise) || promise->removed)
		return 0;
	g_hash_table_iter_init(&iter, promise->members);
	while (count < size && g_hash_table_iter_next(&iter, NULL, &value)) {
		const member_t *member = value;

		if (member->incarnation != promise->incarnation)
			to[count++] = member->incarnation;
	}
	return count;
}

/** Whether the owner that acknowledged @p acked had @p member in its record. */
static bool is_needed(const member_t *member, uint64_t owner, uint64_t acked)
{
	return member->incarnation != owner && member->joined <= acked;
}

size_t gn_promise_vouchers(const gn_promise_t *promise, uint64_t owner,
			   uint64_t acked, uint64_t *to, size_t size)
{
	GHashTableIter iter;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, promise->members);
	while (count < size && g_hash_table_iter_next(&iter, NULL, &value)) {
		const member_t *member = value;

		if (is_needed(member, owner, acked))
			to[count++] = member->incarnation;
	}
	return count;
}

static bool is_vouched(const gn_promise_t *promise, uint64_t owner,
		       uint64_t acked)
{
	const vouched_t *vouched =
		g_hash_table_lookup(promise->vouched, &owner);
	GHashTableIter iter;
	gpointer key;

	/* Whoever owned may still be needed by a record that holds it. */
	if (!vouched || find_member(promise, owner))
		return false;
	g_hash_table_iter_init(&iter, vouched->vouchers);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const member_t *member =
			find_member(promise, *(const uint64_t *)key);

		if (member && is_needed(member, owner, acked))
			return true;
	}
	return false;
}

bool gn_promise_is_settled(const gn_promise_t *promise, uint64_t owner,
			   uint64_t acked, uint64_t taken_us)
{
	const gn_promise_params_t *params = &promise->params;
	uint64_t longest_us = params->dark_us +
			      params->dark_us / PPM * params->rate_ppm +
			      params->promise_us + params->drift_us;

	if (gn_clock_now_us(promise->clock) - taken_us > longest_us)
		return true;
	return is_vouched(promise, owner, acked) || GN_MUTANT(no_vouching);
}

bool gn_promise_has_left(const gn_promise_t *promise, uint64_t incarnation,
			 uint64_t revision)
{
	/* A record older than its joining says nothing of it. */
	return promise->revision >= revision &&
	       !find_member(promise, incarnation);
}

static bool gate_may_renew(void *context)
{
	return gn_promise_may_renew(context);
}

static bool gate_may_start(void *context)
{
	return gn_promise_may_start(context);
}

static bool gate_is_settled(void *context, uint64_t incarnation, uint64_t acked,
			    uint64_t taken_us)
{
	return gn_promise_is_settled(context, incarnation, acked, taken_us);
}

static bool gate_has_left(void *context, uint64_t incarnation,
			  uint64_t revision)
{
	return gn_promise_has_left(context, incarnation, revision);
}

static uint64_t gate_revision(void *context)
{
	return gn_promise_revision(context);
}

gn_batch_gate_t gn_promise_gate(gn_promise_t *promise)
{
	static const gn_batch_gate_ops_t ops = {
		gate_may_renew, gate_may_start, gate_is_settled,
		gate_has_left,	gate_revision,
	};

	return (gn_batch_gate_t){ &ops, promise };
}
