#include "support/kv_walk.h"

#include <string.h>

void kv_walk_violate(kv_walk_t *walk, const char *what)
{
	if (!walk->violation)
		walk->violation = what;
}

fake_kv_t *kv_walk_connect(kv_walk_t *walk)
{
	fake_kv_t *fake = fake_kv_create(walk->state, &walk->clock,
					 g_rand_int(walk->rand));

	g_ptr_array_add(walk->fakes, fake);
	return fake;
}

void kv_walk_draw_faults(kv_walk_t *walk, fake_kv_t *fake,
			 const kv_walk_faults_t *max_faults)
{
	fake_kv_faults_t *faults = fake_kv_faults(fake);
	bool was_frozen = faults->frozen;

	faults->delay_max_us = 200 * GN_US_PER_MS;
	faults->timeout_us = 500 * GN_US_PER_MS;
	faults->lose_answer =
		max_faults->lose_answer * g_rand_double(walk->rand);
	faults->drop_request =
		max_faults->drop_request * g_rand_double(walk->rand);
	faults->late = max_faults->late * g_rand_double(walk->rand);
	faults->older_read = 0.2;
	faults->down = gn_walk_draw(walk->rand, 0.1);
	faults->cut = gn_walk_draw(walk->rand, 0.1);
	faults->frozen = gn_walk_draw(walk->rand, max_faults->frozen);
	walk->counts[KV_WALK_FREEZES] += faults->frozen && !was_frozen;
}

/* Ends all faults and delays, so that calls succeed at once. */
static void clear_faults(fake_kv_t *fake)
{
	fake_kv_faults_t *faults = fake_kv_faults(fake);

	memset(faults, 0, sizeof(*faults));
	faults->timeout_us = GN_US_PER_S;
}

static void add_counts(uint64_t *counts, const fake_kv_counts_t *fake_counts)
{
	counts[KV_WALK_LATE] += fake_counts->late;
	counts[KV_WALK_LOST] += fake_counts->lost;
	counts[KV_WALK_DROPPED] += fake_counts->dropped;
	counts[KV_WALK_OLDER] += fake_counts->older;
	counts[KV_WALK_REFUSED] += fake_counts->refused;
	counts[KV_WALK_CUT] += fake_counts->cut;
}

static void step(const kv_walk_spec_t *spec, kv_walk_t *walk, unsigned at)
{
	gn_clock_advance(&walk->clock, KV_WALK_STEP_US);
	for (unsigned i = 0; i < spec->clients; i++) {
		if (at < spec->steps)
			spec->inject_faults(walk, i);
		else if (at == spec->steps)
			clear_faults(walk->fakes->pdata[i]);
		spec->step(walk, i);
	}
	if (spec->check_step)
		spec->check_step(walk);
}

const char *kv_walk_run(const kv_walk_spec_t *spec, guint32 seed,
			unsigned mutant, uint64_t *counts)
{
	unsigned steps = spec->steps + spec->fault_free_steps;
	kv_walk_t *walk = g_malloc0(spec->size);
	const char *violation;

	gn_clock_init_paused(&walk->clock, GN_US_PER_S);
	walk->rand = g_rand_new_with_seed(seed);
	walk->state = kv_state_create();
	walk->fakes = g_ptr_array_new();
	walk->counts = counts;
	spec->open(walk, mutant);
	for (unsigned i = 0; i < steps && !walk->violation; i++)
		step(spec, walk, i);
	if (!walk->violation)
		spec->check_end(walk);
	violation = walk->violation;
	spec->close(walk);
	for (guint i = 0; i < walk->fakes->len; i++) {
		add_counts(counts, fake_kv_counts(walk->fakes->pdata[i]));
		fake_kv_free(walk->fakes->pdata[i]);
	}
	g_ptr_array_unref(walk->fakes);
	kv_state_free(walk->state);
	g_rand_free(walk->rand);
	g_free(walk);
	return violation;
}
