/**
 * @file batch_model_faults.c
 * @brief The faults that the batch model brings about, each counted.
 */
#include <string.h>

#include "support/batch_model_internal.h"

/** A lone newcomer stays alone for this long, longer than any dark time. */
#define HOLD_US (60 * GN_US_PER_S)
/** The newcomers stay for this long after the old entries are back. */
#define HEAL_US (8 * GN_US_PER_S)
/** No cuts for this long after it, so that the old entries own again. */
#define CALM_US (15 * GN_US_PER_S)

static bool strikes(gn_model_t *model, double probability)
{
	return model_chance(model, probability * model->fault_rate);
}

static uint64_t draw_freeze(gn_model_t *model)
{
	static const int seconds[] = { 1, 2, 10, 30 };

	return model->now_us +
	       (uint64_t)seconds[model_pick(model, G_N_ELEMENTS(seconds))] *
		       GN_US_PER_S;
}

/* ======   Network   ====== */

void model_cut_sides(gn_model_t *model, const bool side[NODE_COUNT])
{
	for (int i = 0; i < NODE_BACKEND; i++) {
		for (int j = 0; j < NODE_BACKEND; j++)
			model->cut[i][j] = side[i] != side[j];
	}
}

void model_end_cuts(gn_model_t *model)
{
	memset(model->cut, 0, sizeof(model->cut));
	model_pairs_end(model, GN_MODEL_owner_cut);
}

static void cut_one_way(gn_model_t *model)
{
	for (int i = 0; i < NODE_BACKEND; i++) {
		for (int j = 0; j < NODE_BACKEND; j++) {
			if (model_chance(model, .5))
				model->cut[i][j] = false;
		}
	}
	model->counts->cut_one_way++;
}

static void spawn_newcomers(gn_model_t *model)
{
	for (int i = FIRST_NEWCOMER; i < ENTRIES; i++) {
		if (!model->entries[i].present && model_chance(model, .7))
			model_entry_spawn(model, i);
	}
}

/** The old entries are to be back while they still promise, or soon after. */
static void draw_heal(gn_model_t *model)
{
	model->heal_at_us =
		model->now_us +
		(uint64_t)(14 + model_pick(model, 24)) * GN_US_PER_S;
	model->hold_until_us = model->heal_at_us + HEAL_US;
}

/** The entries are back, the agents that were with them are not. */
static void heal_entries(gn_model_t *model)
{
	for (int i = NODE_ENTRY; i < NODE_ENTRY + FIRST_NEWCOMER; i++) {
		for (int j = 0; j < NODE_COUNT; j++) {
			model->cut[i][j] = false;
			model->cut[j][i] = false;
		}
	}
	model->heal_at_us = 0;
	model->counts->healed_early++;
}

/**
 * The case that vouching is for: the old entries and a worker on one side, new
 * entries alone with the platform on the other.
 */
static void cut_lone_newcomer(gn_model_t *model)
{
	bool side[NODE_COUNT] = { false };

	side[NODE_ENTRY] = true;
	side[NODE_ENTRY + 1] = true;
	side[NODE_AGENT + model_pick(model, HOSTS)] = true;
	if (model_chance(model, .5))
		side[NODE_AGENT + model_pick(model, HOSTS)] = true;
	model_cut_sides(model, side);
	if (!model->platform.up)
		model_pairs_end(model, GN_MODEL_outage);
	model->platform.up = true;
	model->lone_at_us = 0;
	model->counts->lone_newcomer++;
	if (model->quick)
		draw_heal(model);
	model_pairs_note(model, GN_MODEL_newcomer_alone, model->hold_until_us);
}

/** All see each other again, and the newcomers mostly go. */
static void end_lone(gn_model_t *model)
{
	model_end_cuts(model);
	for (int i = FIRST_NEWCOMER; i < ENTRIES; i++) {
		if (model_chance(model, .8))
			model_entry_remove(model, i);
	}
	model->lone = false;
	model->hold_until_us = model->now_us + CALM_US;
}

void model_start_lone(gn_model_t *model)
{
	spawn_newcomers(model);
	/* Either unknown to the others, or known for a moment. */
	model->lone_at_us = model->now_us;
	if (!model->quick && model_chance(model, .5))
		model->lone_at_us +=
			(uint64_t)model_pick(model, 8) * GN_US_PER_S;
	model->hold_until_us = model->lone_at_us + HOLD_US;
	model->lone = true;
}

/** Counts a cut of the owner, which has the platform on the other side. */
static void note_owner_cut(gn_model_t *model)
{
	const entry_t *owner = model_find_owner(model);

	if (owner && model->cut[owner->node][NODE_PLATFORM] &&
	    model->cut[NODE_PLATFORM][owner->node])
		model_pairs_note(model, GN_MODEL_owner_cut, UINT64_MAX);
}

static void change_cuts(gn_model_t *model)
{
	bool side[NODE_COUNT] = { false };

	model_end_cuts(model);
	if (model_chance(model, .5))
		return;
	if (model_chance(model, model->lone_rate)) {
		model_start_lone(model);
		return;
	}
	for (int i = 0; i < NODE_BACKEND; i++)
		side[i] = model_chance(model, .5);
	model_cut_sides(model, side);
	if (model_chance(model, .3))
		cut_one_way(model);
	else
		model->counts->cut_both++;
	note_owner_cut(model);
}

/* ======   Platform   ====== */

void model_change_platform(gn_model_t *model)
{
	platform_t *platform = &model->platform;

	if (platform->up) {
		model->counts->platform_down++;
		if (platform->changed_us &&
		    model->now_us - platform->changed_us < 10 * GN_US_PER_S)
			model->counts->second_outage++;
	}
	if (platform->up)
		model_pairs_note(model, GN_MODEL_outage, UINT64_MAX);
	else
		model_pairs_end(model, GN_MODEL_outage);
	platform->up = !platform->up;
	platform->changed_us = model->now_us;
}

/* ======   Processes   ====== */

static void restart_entry(gn_model_t *model)
{
	int index = model_pick(model, FIRST_NEWCOMER);

	model->counts->entry_restart++;
	if (&model->entries[index] == model_find_owner(model))
		model_pairs_note(model, GN_MODEL_owner_killed, model->now_us);
	model_entry_spawn(model, index);
}

static void change_newcomer(gn_model_t *model, int index)
{
	const entry_t *newcomer = &model->entries[index];

	if (model->now_us < model->hold_until_us) {
		if (newcomer->present && model_chance(model, .005)) {
			model->counts->newcomer_replaced++;
			model_entry_spawn(model, index);
		}
		return;
	}
	if (!strikes(model, .002))
		return;
	if (newcomer->present) {
		model->counts->entry_gone++;
		model_entry_remove(model, index);
	} else {
		model->counts->entry_new++;
		model_entry_spawn(model, index);
	}
}

static void freeze_entry(gn_model_t *model)
{
	entry_t *entry = &model->entries[model_pick(model, ENTRIES)];

	model->counts->entry_freeze++;
	entry->frozen_until_us = draw_freeze(model);
	if (entry == model_find_owner(model))
		model_pairs_note(model, GN_MODEL_owner_frozen,
				 entry->frozen_until_us);
}

static void strike_host(gn_model_t *model, host_t *host)
{
	if (strikes(model, .0015)) {
		model->counts->agent_freeze++;
		host->frozen_until_us = draw_freeze(model);
	}
	if (strikes(model, .0015)) {
		model->counts->agent_restart++;
		model_agent_restart(model, host);
	}
	if (strikes(model, .0008)) {
		model->counts->backend_crash++;
		model_backend_crash(model, host);
	}
	if (strikes(model, .0004)) {
		model->counts->host_replaced++;
		model_host_replace(model, host);
	}
	if (strikes(model, .001)) {
		model->counts->drain++;
		host->draining_until_us = draw_freeze(model);
	}
}

void model_faults_step(gn_model_t *model)
{
	if (model->lone_at_us && model->now_us >= model->lone_at_us)
		cut_lone_newcomer(model);
	if (model->heal_at_us && model->now_us >= model->heal_at_us)
		heal_entries(model);
	if (model->lone && model->now_us >= model->hold_until_us)
		end_lone(model);
	if (model->now_us >= model->hold_until_us) {
		if (strikes(model, .005))
			model_change_platform(model);
		if (model_chance(model, model->cut_rate))
			change_cuts(model);
	}
	if (strikes(model, .004)) {
		model->platform.slow = !model->platform.slow;
		model->counts->platform_slow += model->platform.slow;
	}
	if (strikes(model, .003))
		restart_entry(model);
	if (strikes(model, .005))
		freeze_entry(model);
	for (int i = FIRST_NEWCOMER; i < ENTRIES; i++)
		change_newcomer(model, i);
	for (int i = 0; i < HOSTS; i++)
		strike_host(model, &model->hosts[i]);
}
