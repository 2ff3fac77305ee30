#include "support/batch_model.h"

#include <string.h>

#include "support/batch_model_internal.h"

#define NEVER_CUT_FROM NODE_BACKEND

bool model_chance(gn_model_t *model, double probability)
{
	return g_rand_double(model->rand) < probability;
}

int model_pick(gn_model_t *model, int count)
{
	return g_rand_int_range(model->rand, 0, count);
}

bool model_is_send_step(const gn_model_t *model)
{
	return model->quick || model->step % 2 == 0;
}

void model_report_violation(gn_model_t *model, const char *invariant)
{
	if (!model->violation)
		model->violation = invariant;
}

task_oracle_t *model_find_oracle(gn_model_t *model, uint64_t id)
{
	task_oracle_t *oracle = g_hash_table_lookup(model->oracles, &id);

	if (!oracle) {
		oracle = g_new0(task_oracle_t, 1);
		oracle->id = id;
		g_hash_table_insert(model->oracles, &oracle->id, oracle);
	}
	return oracle;
}

/* ======   Network   ====== */

message_t *model_create_message(gn_model_t *model, message_type_t type,
				int from, int to)
{
	message_t *message = talloc_zero(model, message_t);

	message->type = type;
	message->from = from;
	message->to = to;
	return message;
}

static bool is_local(const message_t *message)
{
	return message->from >= NODE_BACKEND || message->to >= NODE_BACKEND;
}

static uint64_t draw_delay(gn_model_t *model, message_t *message)
{
	static const int steps[] = { 0, 0, 0, 1, 1, 2 };
	int delay = steps[model_pick(model, G_N_ELEMENTS(steps))];

	if (model->quick)
		delay = 0;
	else if (is_local(message))
		delay = model_pick(model, 2);
	if (model_chance(model, model->late_rate)) {
		model->counts->message_late++;
		message->ignores_cuts = model_chance(model, .5);
		delay = model_pick(model, 80);
	}
	if (model->platform.slow &&
	    (message->from == NODE_PLATFORM || message->to == NODE_PLATFORM))
		delay += model_pick(model, 12);
	return (uint64_t)delay * GN_MODEL_STEP_US;
}

static bool is_committed_write(const message_t *message)
{
	return message->type == MSG_WRITE_ANSWER && message->code == GN_OK;
}

static bool should_lose_answer(gn_model_t *model, const message_t *message)
{
	if (!model->pairs.lose_write || !is_committed_write(message))
		return false;
	model->pairs.lose_write = false;
	return true;
}

static bool is_lost(gn_model_t *model, const message_t *message)
{
	if (model->cut[message->from][message->to])
		return true;
	if (message->from == NODE_PLATFORM &&
	    (model_chance(model, .05) || should_lose_answer(model, message))) {
		model->counts->answer_lost++;
		if (is_committed_write(message))
			model_pairs_record(model, GN_MODEL_write_answer_lost,
					   model->now_us);
		return true;
	}
	return model_chance(model, is_local(message) ? .005 : .02);
}

/** Sends a copy of the message that shares its data. */
static void duplicate(gn_model_t *model, message_t *message)
{
	message_t *copy = talloc_memdup(model, message, sizeof(*message));

	/* The reference keeps the shared data alive as long as the copy. */
	if (!talloc_reference(copy, message))
		g_error("out of memory");
	copy->due_us = model->now_us + draw_delay(model, copy);
	g_ptr_array_add(model->network, copy);
	model->counts->message_duplicated++;
}

void model_send(gn_model_t *model, message_t *message)
{
	if (is_lost(model, message)) {
		talloc_free(message);
		return;
	}
	message->due_us = model->now_us + draw_delay(model, message);
	g_ptr_array_add(model->network, message);
	if (model_chance(model, .02))
		duplicate(model, message);
}

static void deliver(gn_model_t *model, message_t *message)
{
	if (model->cut[message->from][message->to] && !message->ignores_cuts) {
		talloc_unlink(model, message);
		return;
	}
	if (message->to == NODE_PLATFORM) {
		model_platform_handle(model, message);
		talloc_unlink(model, message);
	} else if (message->to >= NODE_BACKEND) {
		model_backend_handle(model,
				     &model->hosts[message->to - NODE_BACKEND],
				     message);
		talloc_unlink(model, message);
	} else if (message->to >= NODE_AGENT) {
		g_queue_push_tail(&model->hosts[message->to - NODE_AGENT].inbox,
				  message);
	} else if (model->entries[message->to - NODE_ENTRY].present) {
		g_queue_push_tail(
			&model->entries[message->to - NODE_ENTRY].inbox,
			message);
	} else {
		talloc_unlink(model, message);
	}
}

static void deliver_due(gn_model_t *model)
{
	for (guint i = 0; i < model->network->len;) {
		message_t *message = g_ptr_array_index(model->network, i);

		if (message->due_us > model->now_us) {
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast(model->network, i);
		deliver(model, message);
	}
}

/* ======   Checks   ====== */

/** Checks that no task executes on two hosts at the same time. */
static void check_executions(gn_model_t *model)
{
	uint64_t seen[HOSTS * 64];
	size_t count = 0;

	for (int i = 0; i < HOSTS; i++) {
		GHashTableIter iter;
		gpointer value;

		g_hash_table_iter_init(&iter, model->hosts[i].runs);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			const backend_run_t *run = value;

			if (!model_run_executes(&model->hosts[i], run))
				continue;
			for (size_t j = 0; j < count; j++) {
				if (seen[j] == run->id)
					model_report_violation(
						model,
						"a task runs at two places");
			}
			if (count < G_N_ELEMENTS(seen))
				seen[count++] = run->id;
		}
	}
}

/* ======   Steps   ====== */

static void advance_clocks(gn_model_t *model)
{
	for (int i = 0; i < ENTRIES; i++)
		gn_clock_advance(
			&model->entries[i].clock,
			(uint64_t)(GN_MODEL_STEP_US * model->entries[i].rate));
	for (int i = 0; i < HOSTS; i++)
		gn_clock_advance(
			&model->hosts[i].clock,
			(uint64_t)(GN_MODEL_STEP_US * model->hosts[i].rate));
	model->now_us += GN_MODEL_STEP_US;
	model->step++;
}

const char *gn_model_step(gn_model_t *model)
{
	advance_clocks(model);
	model_faults_step(model);
	model_pairs_step(model);
	deliver_due(model);
	for (int i = 0; i < ENTRIES; i++) {
		if (model->entries[i].present &&
		    model->entries[i].frozen_until_us <= model->now_us)
			model_entry_step(model, &model->entries[i]);
	}
	for (int i = 0; i < HOSTS; i++) {
		model_backend_step(model, &model->hosts[i]);
		if (model->hosts[i].frozen_until_us <= model->now_us)
			model_agent_step(model, &model->hosts[i]);
	}
	check_executions(model);
	return model->violation;
}

/** Draws a clock rate within the bound RATE_PPM. */
static double draw_rate(gn_model_t *model)
{
	static const double max_deviation = RATE_PPM / 2.0 / 1e6;
	double rate = 1 + max_deviation * (2 * g_rand_double(model->rand) - 1);

	/* Both ends of the range are frequent: they test the drift margins. */
	if (model_chance(model, .5))
		rate = model_chance(model, .5) ? 1 + max_deviation
					       : 1 - max_deviation;
	if (rate < 1 - max_deviation / 2)
		model->counts->clock_slow++;
	if (rate > 1 + max_deviation / 2)
		model->counts->clock_fast++;
	return rate;
}

static int destroy_model(gn_model_t *model)
{
	for (int i = 0; i < ENTRIES; i++)
		model_entry_remove(model, i);
	for (int i = 0; i < HOSTS; i++) {
		TALLOC_FREE(model->hosts[i].tasks);
		g_hash_table_destroy(model->hosts[i].runs);
		g_queue_clear(&model->hosts[i].inbox);
	}
	g_ptr_array_free(model->network, TRUE);
	g_hash_table_destroy(model->oracles);
	g_rand_free(model->rand);
	if (model->pairs.rand)
		g_rand_free(model->pairs.rand);
	return 0;
}

static void init_host(gn_model_t *model, int index)
{
	host_t *host = &model->hosts[index];

	host->agent_node = NODE_AGENT + index;
	g_snprintf(host->name, sizeof(host->name), "w%d", index);
	host->rate = draw_rate(model);
	host->runs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   g_free);
	g_queue_init(&host->inbox);
	model_host_replace(model, host);
}

gn_model_t *gn_model_create(TALLOC_CTX *parent, uint32_t seed,
			    gn_model_counts_t *counts)
{
	static const double fault_rates[] = { .3, 1, 1, 2 };
	gn_model_t *model = talloc_zero(parent, gn_model_t);

	model->rand = g_rand_new_with_seed(seed);
	model_pairs_init(model, seed);
	model->counts = counts;
	model->now_us = 1000ULL * GN_US_PER_S;
	model->next_incarnation = 100;
	model->fault_rate =
		fault_rates[model_pick(model, G_N_ELEMENTS(fault_rates))];
	model->late_rate = seed % GN_MODEL_OUTAGE_SEEDS ? .01 : .06;
	model->cut_rate = seed % GN_MODEL_OUTAGE_SEEDS ? .01 : .04;
	model->isolation_rate = seed % GN_MODEL_OUTAGE_SEEDS ? .35 : .9;
	model->quick = seed % GN_MODEL_QUICK_SEEDS == 3;
	if (model->quick) {
		model->cut_rate = .04;
		model->isolation_rate = .9;
	}
	if (seed % GN_MODEL_OUTAGE_SEEDS == 0 || model->quick) {
		model->fault_rate = .3;
		model->no_cuts_until_us = model->now_us + 15 * GN_US_PER_S;
	}
	model->platform.up = true;
	model->network = g_ptr_array_new();
	model->oracles = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	for (int i = 0; i < HOSTS; i++)
		init_host(model, i);
	for (int i = 0; i < ENTRIES; i++) {
		model->entries[i].rate = draw_rate(model);
		gn_clock_init_paused(&model->entries[i].clock,
				     (uint64_t)(i + 1) * 500 * GN_US_PER_S);
		g_queue_init(&model->entries[i].inbox);
	}
	model_entry_spawn(model, 0);
	model_entry_spawn(model, 1);
	talloc_set_destructor(model, destroy_model);
	return model;
}

const char *gn_model_walk(uint32_t seed, gn_model_bug_t bug,
			  gn_model_counts_t *counts)
{
	gn_model_t *model = gn_model_create(NULL, seed, counts);
	const char *violation = NULL;

	model->bug = bug;
	for (int i = 0; i < GN_MODEL_WALK_STEPS && !violation; i++)
		violation = gn_model_step(model);
	talloc_free(model);
	return violation;
}
