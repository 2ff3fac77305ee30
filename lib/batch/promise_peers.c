/**
 * @file promise_peers.c
 * @brief Confirmations and vouchers exchanged between entries in an outage.
 */
#include "batch/promise_internal.h"

#define PPM 1000000

/* ======   Answers to other entries   ====== */

static gn_told_t *find_told(gn_promise_t *promise, uint64_t owner)
{
	gn_told_t *told = g_hash_table_lookup(promise->told, &owner);

	if (!told) {
		told = g_new0(gn_told_t, 1);
		told->owner = owner;
		g_hash_table_insert(promise->told, &told->owner, told);
	}
	return told;
}

/**
 * Confirms only while this entry has lost the platform itself, and only to a
 * member of its record that it was never asked to vouch against.
 */
static bool confirm_to(gn_promise_t *promise, uint64_t asker)
{
	gn_told_t *told;

	if (gn_promise_is_normal(promise) || promise->removed ||
	    !promise->joined || !gn_promise_find_member(promise, asker))
		return false;
	told = find_told(promise, asker);
	if (told->refused)
		return false;
	told->gave = true;
	told->gave_us = gn_clock_now_us(promise->clock);
	return true;
}

/**
 * Stops confirming to @p owner, and vouches once the last run promise that
 * @p owner could base on a confirmation of this entry has lapsed.
 */
static bool vouch_against(gn_promise_t *promise, uint64_t owner)
{
	gn_told_t *told = find_told(promise, owner);
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

/* ======   Answers of other entries   ====== */

static void note_voucher(gn_promise_t *promise, uint64_t owner,
			 uint64_t voucher)
{
	gn_vouched_t *vouched = g_hash_table_lookup(promise->vouched, &owner);

	if (!vouched) {
		vouched = g_new0(gn_vouched_t, 1);
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
	gn_member_t *member = gn_promise_find_member(promise, from);

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

size_t gn_promise_vouchers(const gn_promise_t *promise, uint64_t owner,
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
	const gn_vouched_t *vouched =
		g_hash_table_lookup(promise->vouched, &owner);
	GHashTableIter iter;
	gpointer key;

	/* A record that still contains the owner may still need it. */
	if (!vouched || gn_promise_find_member(promise, owner))
		return false;
	g_hash_table_iter_init(&iter, vouched->vouchers);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const gn_member_t *member =
			gn_promise_find_member(promise, *(const uint64_t *)key);

		if (member && is_needed(member, owner, acked))
			return true;
	}
	return false;
}

void gn_promise_note_retired(gn_promise_t *promise, uint64_t owner)
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
	uint64_t longest_us = params->dark_us +
			      params->dark_us / PPM * params->rate_ppm +
			      params->promise_us + params->drift_us;

	if (gn_clock_now_us(promise->clock) - taken_us > longest_us)
		return true;
	if (is_retired(promise, owner))
		return true;
	return is_vouched(promise, owner, acked) || GN_MUTANT(no_vouching);
}
