#include "support/kv_walk.h"

#include <string.h>

void kv_walk_open(kv_walk_t *walk, guint32 seed, uint64_t *counts)
{
	gn_clock_init_paused(&walk->clock, GN_US_PER_S);
	walk->rand = g_rand_new_with_seed(seed);
	walk->state = kv_state_create();
	walk->counts = counts;
	walk->violation = NULL;
}

void kv_walk_close(kv_walk_t *walk)
{
	kv_state_free(walk->state);
	g_rand_free(walk->rand);
}

void kv_walk_violate(kv_walk_t *walk, const char *what)
{
	if (!walk->violation)
		walk->violation = what;
}

fake_kv_t *kv_walk_connect(kv_walk_t *walk)
{
	return fake_kv_create(walk->state, &walk->clock,
			      g_rand_int(walk->rand));
}

void kv_walk_disconnect(kv_walk_t *walk, fake_kv_t *fake)
{
	const fake_kv_counts_t *met = fake_kv_counts(fake);

	walk->counts[KV_WALK_LATE] += met->late;
	walk->counts[KV_WALK_LOST] += met->lost;
	walk->counts[KV_WALK_DROPPED] += met->dropped;
	walk->counts[KV_WALK_OLDER] += met->older;
	walk->counts[KV_WALK_REFUSED] += met->refused;
	walk->counts[KV_WALK_CUT] += met->cut;
	fake_kv_free(fake);
}

void kv_walk_draw_faults(kv_walk_t *walk, fake_kv_t *fake,
			 const kv_walk_faults_t *most)
{
	fake_kv_faults_t *faults = fake_kv_faults(fake);
	bool was_frozen = faults->frozen;

	faults->delay_max_us = 200 * GN_US_PER_MS;
	faults->timeout_us = 500 * GN_US_PER_MS;
	faults->lose_answer = most->lose_answer * g_rand_double(walk->rand);
	faults->drop_request = most->drop_request * g_rand_double(walk->rand);
	faults->late = most->late * g_rand_double(walk->rand);
	faults->older_read = 0.2;
	faults->down = gn_walk_draw(walk->rand, 0.1);
	faults->cut = gn_walk_draw(walk->rand, 0.1);
	faults->frozen = gn_walk_draw(walk->rand, most->frozen);
	walk->counts[KV_WALK_FREEZES] += faults->frozen && !was_frozen;
}

void kv_walk_end_faults(fake_kv_t *fake)
{
	fake_kv_faults_t *faults = fake_kv_faults(fake);

	memset(faults, 0, sizeof(*faults));
	faults->timeout_us = GN_US_PER_S;
}
