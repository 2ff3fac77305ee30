/**
 * @file batch_model_faults.c
 * @brief Injects the faults of the batch model and counts each of them.
 */
#include <string.h>

#include "support/batch_model_internal.h"

/** Duration of the isolation of new entries, longer than OUTAGE_MAX_US. */
#define ISOLATION_US (60 * GN_US_PER_S)
/** How long new entries stay after the initial entries have reconnected. */
#define RECONNECTED_US (8 * GN_US_PER_S)
/** Time without cuts after it, in which the initial entries own again. */
#define NO_CUTS_US (15 * GN_US_PER_S)

static bool should_inject(gn_model_t *model, double probability)
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

/** Lets the initial entries reconnect while they promise, or soon after. */
static void draw_reconnect(gn_model_t *model)
{
	model->reconnect_at_us =
		model->now_us +
		(uint64_t)(14 + model_pick(model, 24)) * GN_US_PER_S;
	model->no_cuts_until_us = model->reconnect_at_us + RECONNECTED_US;
}

/** Reconnects the initial entries, but not the agents on their side. */
static void reconnect_entries(gn_model_t *model)
{
	for (int i = NODE_ENTRY; i < NODE_ENTRY + FIRST_NEWCOMER; i++) {
		for (int j = 0; j < NODE_COUNT; j++) {
			model->cut[i][j] = false;
			model->cut[j][i] = false;
		}
	}
	model->reconnect_at_us = 0;
	model->counts->early_reconnect++;
}

/**
 * Cuts the initial entries and one or two workers off from the platform and the
 * new entries. This is the case that vouchers exist for.
 */
static void isolate_newcomers(gn_model_t *model)
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
	model->isolate_at_us = 0;
	model->counts->newcomer_isolated++;
	if (model->quick)
		draw_reconnect(model);
	model_pairs_record(model, GN_MODEL_newcomer_isolated,
			   model->no_cuts_until_us);
}

/** Ends all cuts and removes most of the new entries. */
static void end_isolation(gn_model_t *model)
{
	model_end_cuts(model);
	for (int i = FIRST_NEWCOMER; i < ENTRIES; i++) {
		if (model_chance(model, .8))
			model_entry_remove(model, i);
	}
	model->is_isolating = false;
	model->no_cuts_until_us = model->now_us + NO_CUTS_US;
}

void model_isolate_newcomers(gn_model_t *model)
{
	spawn_newcomers(model);
	/* The others learn of them never, or a few seconds before the cut. */
	model->isolate_at_us = model->now_us;
	if (!model->quick && model_chance(model, .5))
		model->isolate_at_us +=
			(uint64_t)model_pick(model, 8) * GN_US_PER_S;
	model->no_cuts_until_us = model->isolate_at_us + ISOLATION_US;
	model->is_isolating = true;
}

/** Counts a cut in both directions between the owner and the platform. */
static void record_owner_cut(gn_model_t *model)
{
	const entry_t *owner = model_find_owner(model);

	if (owner && model->cut[owner->node][NODE_PLATFORM] &&
	    model->cut[NODE_PLATFORM][owner->node])
		model_pairs_record(model, GN_MODEL_owner_cut, UINT64_MAX);
}

static void change_cuts(gn_model_t *model)
{
	bool side[NODE_COUNT] = { false };

	model_end_cuts(model);
	if (model_chance(model, .5))
		return;
	if (model_chance(model, model->isolation_rate)) {
		model_isolate_newcomers(model);
		return;
	}
	for (int i = 0; i < NODE_BACKEND; i++)
		side[i] = model_chance(model, .5);
	model_cut_sides(model, side);
	if (model_chance(model, .3))
		cut_one_way(model);
	else
		model->counts->cut_both++;
	record_owner_cut(model);
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
		model_pairs_record(model, GN_MODEL_outage, UINT64_MAX);
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
		model_pairs_record(model, GN_MODEL_owner_killed, model->now_us);
	model_entry_spawn(model, index);
}

static void inject_newcomer_fault(gn_model_t *model, int index)
{
	const entry_t *newcomer = &model->entries[index];

	if (model->now_us < model->no_cuts_until_us) {
		if (newcomer->present && model_chance(model, .005)) {
			model->counts->newcomer_replaced++;
			model_entry_spawn(model, index);
		}
		return;
	}
	if (!should_inject(model, .002))
		return;
	if (newcomer->present) {
		model->counts->entry_removed++;
		model_entry_remove(model, index);
	} else {
		model->counts->entry_added++;
		model_entry_spawn(model, index);
	}
}

static void freeze_entry(gn_model_t *model)
{
	entry_t *entry = &model->entries[model_pick(model, ENTRIES)];

	model->counts->entry_freeze++;
	entry->frozen_until_us = draw_freeze(model);
	if (entry == model_find_owner(model))
		model_pairs_record(model, GN_MODEL_owner_frozen,
				   entry->frozen_until_us);
}

static void inject_host_faults(gn_model_t *model, host_t *host)
{
	if (should_inject(model, .0015)) {
		model->counts->agent_freeze++;
		host->frozen_until_us = draw_freeze(model);
	}
	if (should_inject(model, .0015)) {
		model->counts->agent_restart++;
		model_agent_restart(model, host);
	}
	if (should_inject(model, .0008)) {
		model->counts->backend_crash++;
		model_backend_crash(model, host);
	}
	if (should_inject(model, .0004)) {
		model->counts->host_replaced++;
		model_host_replace(model, host);
	}
	if (should_inject(model, .001)) {
		model->counts->drain++;
		host->draining_until_us = draw_freeze(model);
	}
}

void model_faults_step(gn_model_t *model)
{
	if (model->isolate_at_us && model->now_us >= model->isolate_at_us)
		isolate_newcomers(model);
	if (model->reconnect_at_us && model->now_us >= model->reconnect_at_us)
		reconnect_entries(model);
	if (model->is_isolating && model->now_us >= model->no_cuts_until_us)
		end_isolation(model);
	if (model->now_us >= model->no_cuts_until_us) {
		if (should_inject(model, .005))
			model_change_platform(model);
		if (model_chance(model, model->cut_rate))
			change_cuts(model);
	}
	if (should_inject(model, .004)) {
		model->platform.slow = !model->platform.slow;
		model->counts->platform_slow += model->platform.slow;
	}
	if (should_inject(model, .003))
		restart_entry(model);
	if (should_inject(model, .005))
		freeze_entry(model);
	for (int i = FIRST_NEWCOMER; i < ENTRIES; i++)
		inject_newcomer_fault(model, i);
	for (int i = 0; i < HOSTS; i++)
		inject_host_faults(model, &model->hosts[i]);
}
