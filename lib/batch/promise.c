#include "batch/promise_internal.h"

#include <assert.h>

/* ======   Creation   ====== */

static void free_owner_vouchers(gpointer data)
{
	gn_owner_vouchers_t *vouchers = data;

	g_hash_table_destroy(vouchers->members);
	g_free(vouchers);
}

static GHashTable *make_table(GDestroyNotify free_value)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
				     free_value);
}

static int destroy_promise(gn_promise_t *promise)
{
	g_hash_table_destroy(promise->members);
	g_hash_table_destroy(promise->acked);
	g_hash_table_destroy(promise->retired);
	g_hash_table_destroy(promise->given_answers);
	g_hash_table_destroy(promise->owner_vouchers);
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
	promise->retired = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, NULL);
	promise->acked = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, g_free);
	promise->given_answers = make_table(g_free);
	promise->owner_vouchers = make_table(free_owner_vouchers);
	talloc_set_destructor(promise, destroy_promise);
	return promise;
}

/* ======   Member record   ====== */

void gn_promise_on_renewed(gn_promise_t *promise, uint64_t sent_us)
{
	if (promise->renewed && sent_us <= promise->renewed_us)
		return;
	promise->renewed = true;
	promise->renewed_us = sent_us;
}

gn_member_t *gn_promise_find_member(const gn_promise_t *promise,
				    uint64_t incarnation)
{
	return g_hash_table_lookup(promise->members, &incarnation);
}

static gn_member_t *make_member(const gn_promise_t *promise,
				const gn_promise_member_t *from)
{
	const gn_member_t *known =
		gn_promise_find_member(promise, from->incarnation);
	gn_member_t *member = g_new0(gn_member_t, 1);

	if (known)
		*member = *known;
	member->incarnation = from->incarnation;
	member->joined = from->joined;
	return member;
}

/**
 * Whether the answers about an owner can be dropped. A member that left the
 * record never returns and gets no more confirmations, so they are not needed
 * once the last run promise based on a confirmation has expired.
 */
static gboolean are_answers_expired(gpointer key, gpointer value, gpointer data)
{
	const gn_promise_t *promise = data;
	const gn_given_answers_t *answers = value;
	uint64_t kept_us = promise->params.confirm_us +
			   promise->params.promise_us +
			   promise->params.drift_us;

	(void)key;
	if (gn_promise_find_member(promise, answers->owner))
		return FALSE;
	return !answers->confirmed ||
	       gn_clock_now_us(promise->clock) - answers->confirmed_us >
		       kept_us;
}

uint64_t gn_promise_acked(const gn_promise_t *promise, uint64_t incarnation)
{
	const uint64_t *acked =
		g_hash_table_lookup(promise->acked, &incarnation);

	return acked ? *acked : 0;
}

static void note_acked(gn_promise_t *promise, const gn_promise_member_t *member)
{
	if (member->acked <= gn_promise_acked(promise, member->incarnation))
		return;
	g_hash_table_replace(
		promise->acked,
		g_memdup2(&member->incarnation, sizeof(member->incarnation)),
		g_memdup2(&member->acked, sizeof(member->acked)));
}

gn_code_t gn_promise_adopt(gn_promise_t *promise, uint64_t revision,
			   const gn_promise_member_t *members, size_t count)
{
	GHashTable *adopted;

	if (count > GN_PROMISE_MEMBERS_MAX)
		return GN_ERR_RANGE;
	for (size_t i = 0; i < count; i++)
		note_acked(promise, &members[i]);
	if (revision <= promise->revision && !GN_MUTANT(adopt_older))
		return GN_ERR_STALE;
	adopted = make_table(g_free);
	for (size_t i = 0; i < count; i++) {
		gn_member_t *member = make_member(promise, &members[i]);

		g_hash_table_replace(adopted, &member->incarnation, member);
	}
	g_hash_table_destroy(promise->members);
	promise->members = adopted;
	promise->revision = revision;
	if (gn_promise_find_member(promise, promise->incarnation))
		promise->joined = true;
	else if (promise->joined)
		promise->removed = true;
	g_hash_table_foreach_remove(promise->given_answers, are_answers_expired,
				    promise);
	return GN_OK;
}

/* ======   Permissions   ====== */

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
		const gn_member_t *member = value;

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
	if (away_us >= promise->params.outage_max_us)
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

bool gn_promise_has_left(const gn_promise_t *promise, uint64_t incarnation,
			 uint64_t revision)
{
	/* An older record may lack the member because it joined later. */
	return promise->revision >= revision &&
	       !gn_promise_find_member(promise, incarnation);
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

static uint64_t gate_acked(void *context, uint64_t incarnation)
{
	return gn_promise_acked(context, incarnation);
}

gn_batch_gate_t gn_promise_gate(gn_promise_t *promise)
{
	static const gn_batch_gate_ops_t ops = {
		gate_may_renew, gate_may_start, gate_is_settled,
		gate_has_left,	gate_revision,	gate_acked,
	};

	return (gn_batch_gate_t){ &ops, promise };
}
