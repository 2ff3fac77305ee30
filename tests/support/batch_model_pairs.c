/**
 * @file batch_model_pairs.c
 * @brief Faults that the batch model brings about in pairs, and their counts.
 *
 * One fault strikes now and another a few seconds later, or, where both are the
 * outage, on the heels of the first one's end. Every pair is counted when it
 * really occurs, also if the single faults met by chance.
 */
#include "support/batch_model_internal.h"

/** Pairs a step. */
#define PAIR_RATE .02
/** The second fault strikes within this many steps. */
#define SECOND_STEPS 16
/** A second outage begins within this many steps after the first. */
#define HEELS_STEPS 16

static int pick(gn_model_t *model, int count)
{
	return g_rand_int_range(model->pairs.rand, 0, count);
}

/** @return a true time within so many seconds. */
static uint64_t draw_end(gn_model_t *model, int least_s, int most_s)
{
	return model->now_us +
	       (uint64_t)(least_s + pick(model, most_s - least_s)) *
		       GN_US_PER_S;
}

/* ======   Counts   ====== */

void model_pairs_note(gn_model_t *model, gn_model_paired_t fault,
		      uint64_t until_us)
{
	uint64_t *in_force = model->pairs.in_force_until_us;
	gn_model_counts_t *counts = model->counts;

	counts->paired[fault][fault]++;
	for (int other = 0; other < GN_MODEL_PAIRED_COUNT; other++) {
		if (in_force[other] <= model->now_us)
			continue;
		if (other != (int)fault)
			counts->paired[MIN(other, (int)fault)]
				      [MAX(other, (int)fault)]++;
		else if (fault == GN_MODEL_outage)
			counts->outage_twice++;
	}
	if (until_us < UINT64_MAX - GN_MODEL_PAIR_US)
		until_us += GN_MODEL_PAIR_US;
	in_force[fault] = MAX(in_force[fault], until_us);
}

void model_pairs_end(gn_model_t *model, gn_model_paired_t fault)
{
	uint64_t *until_us = &model->pairs.in_force_until_us[fault];

	*until_us = MIN(*until_us, model->now_us + GN_MODEL_PAIR_US);
}

/* ======   Faults   ====== */

static void freeze_owner(gn_model_t *model)
{
	entry_t *owner = model_find_owner(model);

	if (!owner)
		return;
	owner->frozen_until_us = draw_end(model, 2, 20);
	model_pairs_note(model, GN_MODEL_owner_frozen, owner->frozen_until_us);
}

static void kill_owner(gn_model_t *model)
{
	const entry_t *owner = model_find_owner(model);

	if (!owner)
		return;
	model_pairs_note(model, GN_MODEL_owner_killed, model->now_us);
	model_entry_spawn(model, owner->node - NODE_ENTRY);
}

static void lose_write_answer(gn_model_t *model)
{
	model->pairs.lose_write = true;
}

static void take_platform_down(gn_model_t *model)
{
	if (!model->platform.up)
		return;
	model_change_platform(model);
	model->pairs.outage_ends_us = draw_end(model, 3, 25);
}

/** The owner and some agents on one side, in both directions. */
static void cut_owner(gn_model_t *model)
{
	const entry_t *owner = model_find_owner(model);
	bool side[NODE_COUNT] = { false };

	if (!owner || model->lone)
		return;
	side[owner->node] = true;
	for (int i = 0; i < HOSTS; i++)
		side[NODE_AGENT + i] = pick(model, 2);
	if (pick(model, 2))
		side[NODE_ENTRY + pick(model, ENTRIES)] = true;
	model_end_cuts(model);
	model_cut_sides(model, side);
	model_pairs_note(model, GN_MODEL_owner_cut, UINT64_MAX);
	model->pairs.cut_ends_us = draw_end(model, 5, 40);
}

static void start_newcomer(gn_model_t *model)
{
	if (!model->lone)
		model_start_lone(model);
}

static void (*const strikes[GN_MODEL_PAIRED_COUNT])(gn_model_t *model) = {
	[GN_MODEL_owner_frozen] = freeze_owner,
	[GN_MODEL_owner_killed] = kill_owner,
	[GN_MODEL_write_answer_lost] = lose_write_answer,
	[GN_MODEL_outage] = take_platform_down,
	[GN_MODEL_owner_cut] = cut_owner,
	[GN_MODEL_newcomer_alone] = start_newcomer,
};

/* ======   Steps   ====== */

void model_pairs_init(gn_model_t *model, uint32_t seed)
{
	model->pairs.second = -1;
	if (seed % GN_MODEL_PAIR_SEEDS == 1)
		model->pairs.rand = g_rand_new_with_seed(~seed);
}

static void end_due(gn_model_t *model)
{
	pairs_t *pairs = &model->pairs;

	if (pairs->outage_ends_us && model->now_us >= pairs->outage_ends_us) {
		pairs->outage_ends_us = 0;
		if (!model->platform.up)
			model_change_platform(model);
	}
	if (pairs->cut_ends_us && model->now_us >= pairs->cut_ends_us) {
		pairs->cut_ends_us = 0;
		if (!model->lone)
			model_end_cuts(model);
	}
}

static void strike_first(gn_model_t *model)
{
	pairs_t *pairs = &model->pairs;
	int first = pick(model, GN_MODEL_PAIRED_COUNT);

	pairs->second = pick(model, GN_MODEL_PAIRED_COUNT);
	strikes[first](model);
	pairs->second_at_us =
		model->now_us +
		(uint64_t)pick(model, SECOND_STEPS) * GN_MODEL_STEP_US;
	if (first == GN_MODEL_outage && pairs->second == first)
		pairs->second_at_us =
			MAX(pairs->outage_ends_us, model->now_us) +
			(uint64_t)(1 + pick(model, HEELS_STEPS)) *
				GN_MODEL_STEP_US;
}

void model_pairs_step(gn_model_t *model)
{
	pairs_t *pairs = &model->pairs;

	if (!pairs->rand)
		return;
	end_due(model);
	if (pairs->second >= 0 && model->now_us >= pairs->second_at_us) {
		strikes[pairs->second](model);
		pairs->second = -1;
	}
	if (pairs->second < 0 && g_rand_double(pairs->rand) < PAIR_RATE)
		strike_first(model);
}
