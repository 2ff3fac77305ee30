/**
 * @file promise_peers.c
 * @brief Confirmations and vouchers exchanged between entries in an outage.
 */
#include "batch/promise_internal.h"

#define PPM 1000000

/* ======   Answers to other entries   ====== */

static gn_given_answers_t *find_given_answers(gn_promise_t *promise,
					      uint64_t owner)
{
	gn_given_answers_t *answers =
		g_hash_table_lookup(promise->given_answers, &owner);

	if (!answers) {
		answers = g_new0(gn_given_answers_t, 1);
		answers->owner = owner;
		g_hash_table_insert(promise->given_answers, &answers->owner,
				    answers);
	}
	return answers;
}

/**
 * Confirms only while this entry has lost the platform's key-value service
 * itself, and only to a member of its record that it was never asked to vouch
 * against.
 */
static bool confirm_to(gn_promise_t *promise, uint64_t asker)
{
	gn_given_answers_t *answers;

	if (gn_promise_is_normal(promise) || promise->removed ||
	    !promise->joined || !gn_promise_find_member(promise, asker))
		return false;
	answers = find_given_answers(promise, asker);
	if (answers->never_confirms)
		return false;
	answers->confirmed = true;
	answers->confirmed_us = gn_clock_now_us(promise->clock);
	return true;
}

/**
 * Stops confirming to @p owner, and vouches once the last run promise that
 * @p owner could base on a confirmation of this entry has expired.
 */
static bool vouch_against(gn_promise_t *promise, uint64_t owner)
{
	gn_given_answers_t *answers = find_given_answers(promise, owner);
	uint64_t expiry_us = promise->params.confirm_us +
			     promise->params.promise_us +
			     promise->params.drift_us;

	answers->never_confirms = true;
	return !answers->confirmed ||
	       gn_clock_now_us(promise->clock) - answers->confirmed_us >
		       expiry_us;
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

/* ======   Answers of other entries   ====== */

static void add_voucher(gn_promise_t *promise, uint64_t owner, uint64_t voucher)
{
	gn_owner_vouchers_t *vouchers =
		g_hash_table_lookup(promise->owner_vouchers, &owner);

	if (!vouchers) {
		vouchers = g_new0(gn_owner_vouchers_t, 1);
		vouchers->owner = owner;
		vouchers->members = g_hash_table_new_full(
			g_int64_hash, g_int64_equal, g_free, NULL);
		g_hash_table_insert(promise->owner_vouchers, &vouchers->owner,
				    vouchers);
	}
	g_hash_table_add(vouchers->members,
			 g_memdup2(&voucher, sizeof(voucher)));
}

void gn_promise_on_answer(gn_promise_t *promise, gn_promise_query_t kind,
			  uint64_t from, uint64_t about, uint64_t sent_us,
			  bool granted)
{
	gn_member_t *member = gn_promise_find_member(promise, from);

	if (!granted)
		return;
	if (kind == GN_PROMISE_VOUCH) {
		add_voucher(promise, about, from);
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

size_t gn_promise_list_confirmers(const gn_promise_t *promise, uint64_t *to,
				  size_t size)
{
	GHashTableIter iter;
	gpointer value;
	size_t count = 0;

	if (gn_promise_is_normal(promise) || promise->removed)
		return 0;
	g_hash_table_iter_init(&iter, promise->members);
	while (count < size && g_hash_table_iter_next(&iter, NULL, &value)) {
		const gn_member_t *member = value;

		if (member->incarnation != promise->incarnation)
			to[count++] = member->incarnation;
	}
	return count;
}

/**
 * Whether @p owner, which acknowledged the revision @p acked, needed the
 * confirmation of @p member because its record contained it.
 */
static bool is_needed(const gn_member_t *member, uint64_t owner, uint64_t acked)
{
	return member->incarnation != owner && member->joined <= acked;
}

size_t gn_promise_list_vouchers(const gn_promise_t *promise, uint64_t owner,
				uint64_t acked, uint64_t *to, size_t size)
{
	GHashTableIter iter;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, promise->members);
	while (count < size && g_hash_table_iter_next(&iter, NULL, &value)) {
		const gn_member_t *member = value;

		if (is_needed(member, owner, acked))
			to[count++] = member->incarnation;
	}
	return count;
}

static bool is_vouched(const gn_promise_t *promise, uint64_t owner,
		       uint64_t acked)
{
	const gn_owner_vouchers_t *vouchers =
		g_hash_table_lookup(promise->owner_vouchers, &owner);
	GHashTableIter iter;
	gpointer key;

	/* A record that still contains the owner may still need it. */
	if (!vouchers || gn_promise_find_member(promise, owner))
		return false;
	g_hash_table_iter_init(&iter, vouchers->members);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const gn_member_t *member =
			gn_promise_find_member(promise, *(const uint64_t *)key);

		if (member && is_needed(member, owner, acked))
			return true;
	}
	return false;
}

void gn_promise_set_retired(gn_promise_t *promise, uint64_t owner)
{
	g_hash_table_add(promise->retired, g_memdup2(&owner, sizeof(owner)));
}

static bool is_retired(const gn_promise_t *promise, uint64_t owner)
{
	return g_hash_table_contains(promise->retired, &owner) &&
	       !gn_promise_find_member(promise, owner);
}

bool gn_promise_is_settled(const gn_promise_t *promise, uint64_t owner,
			   uint64_t acked, uint64_t taken_us)
{
	const gn_promise_params_t *params = &promise->params;
	uint64_t longest_us = params->outage_max_us +
			      params->outage_max_us / PPM * params->rate_ppm +
			      params->promise_us + params->drift_us;

	if (gn_clock_now_us(promise->clock) - taken_us > longest_us)
		return true;
	if (is_retired(promise, owner))
		return true;
	return is_vouched(promise, owner, acked) || GN_MUTANT(no_vouching);
}
