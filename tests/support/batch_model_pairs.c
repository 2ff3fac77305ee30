/**
 * @file batch_model_pairs.c
 * @brief Injects faults of the batch model in pairs and counts the pairs.
 *
 * The second fault follows the first within a few seconds, or, if both are
 * outages, follows the end of the first outage. A pair is counted when it
 * occurs, whether it was drawn as a pair or two single faults coincided.
 */
#include "support/batch_model_internal.h"

/** Probability of a pair in a step. */
#define PAIR_RATE .02
/** The second fault follows within this many steps. */
#define SECOND_STEPS 16
/** A second outage begins within this many steps after the first ends. */
#define SECOND_OUTAGE_STEPS 16

static int pick(gn_model_t *model, int count)
{
	return g_rand_int_range(model->pairs.rand, 0, count);
}

/** @return a true time @p min_s to @p max_s seconds from now */
static uint64_t draw_end(gn_model_t *model, int min_s, int max_s)
{
	return model->now_us +
	       (uint64_t)(min_s + pick(model, max_s - min_s)) * GN_US_PER_S;
}

/* ======   Counts   ====== */

void model_pairs_record(gn_model_t *model, gn_model_paired_t fault,
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
	model_pairs_record(model, GN_MODEL_owner_frozen,
			   owner->frozen_until_us);
}

static void kill_owner(gn_model_t *model)
{
	const entry_t *owner = model_find_owner(model);

	if (!owner)
		return;
	model_pairs_record(model, GN_MODEL_owner_killed, model->now_us);
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

/** Cuts the owner, some agents and sometimes an entry off from the others. */
static void cut_owner(gn_model_t *model)
{
	const entry_t *owner = model_find_owner(model);
	bool side[NODE_COUNT] = { false };

	if (!owner || model->is_isolating)
		return;
	side[owner->node] = true;
	for (int i = 0; i < HOSTS; i++)
		side[NODE_AGENT + i] = pick(model, 2);
	if (pick(model, 2))
		side[NODE_ENTRY + pick(model, ENTRIES)] = true;
	model_end_cuts(model);
	model_cut_sides(model, side);
	model_pairs_record(model, GN_MODEL_owner_cut, UINT64_MAX);
	model->pairs.cut_ends_us = draw_end(model, 5, 40);
}

static void isolate_newcomer(gn_model_t *model)
{
	if (!model->is_isolating)
		model_isolate_newcomers(model);
}

static void (*const injectors[GN_MODEL_PAIRED_COUNT])(gn_model_t *model) = {
	[GN_MODEL_owner_frozen] = freeze_owner,
	[GN_MODEL_owner_killed] = kill_owner,
	[GN_MODEL_write_answer_lost] = lose_write_answer,
	[GN_MODEL_outage] = take_platform_down,
	[GN_MODEL_owner_cut] = cut_owner,
	[GN_MODEL_newcomer_isolated] = isolate_newcomer,
};

/* ======   Steps   ====== */

void model_pairs_init(gn_model_t *model, uint32_t seed)
{
	model->pairs.second = -1;
	if (seed % GN_MODEL_PAIR_SEEDS == 1)
		model->pairs.rand = g_rand_new_with_seed(~seed);
}

static void end_due_faults(gn_model_t *model)
{
	pairs_t *pairs = &model->pairs;

	if (pairs->outage_ends_us && model->now_us >= pairs->outage_ends_us) {
		pairs->outage_ends_us = 0;
		if (!model->platform.up)
			model_change_platform(model);
	}
	if (pairs->cut_ends_us && model->now_us >= pairs->cut_ends_us) {
		pairs->cut_ends_us = 0;
		if (!model->is_isolating)
			model_end_cuts(model);
	}
}

static void inject_first(gn_model_t *model)
{
	pairs_t *pairs = &model->pairs;
	int first = pick(model, GN_MODEL_PAIRED_COUNT);

	pairs->second = pick(model, GN_MODEL_PAIRED_COUNT);
	injectors[first](model);
	pairs->second_at_us =
		model->now_us +
		(uint64_t)pick(model, SECOND_STEPS) * GN_MODEL_STEP_US;
	if (first == GN_MODEL_outage && pairs->second == first)
		pairs->second_at_us =
			MAX(pairs->outage_ends_us, model->now_us) +
			(uint64_t)(1 + pick(model, SECOND_OUTAGE_STEPS)) *
				GN_MODEL_STEP_US;
}

void model_pairs_step(gn_model_t *model)
{
	pairs_t *pairs = &model->pairs;

	if (!pairs->rand)
		return;
	end_due_faults(model);
	if (pairs->second >= 0 && model->now_us >= pairs->second_at_us) {
		injectors[pairs->second](model);
		pairs->second = -1;
	}
	if (pairs->second < 0 && g_rand_double(pairs->rand) < PAIR_RATE)
		inject_first(model);
}
