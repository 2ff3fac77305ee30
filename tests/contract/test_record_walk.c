/*
 * Seeded walks: entries join, leave, die, freeze beyond their lease and come
 * back, while calls are lost, late and refused. After each step the promises
 * are checked against what the service really holds.
 */
#include "common/str.h"
#include "member/record_internal.h"
#include "support/kv_walk.h"

#define ENTRIES 4
#define STEPS 2000
#define TTL_MS 2000
/** Steps without faults at the end: 30 s. */
#define QUIET_STEPS 1500

enum {
	JOINS = KV_WALK_COUNT,
	REMOVALS,
	RESTARTS,
	LEAVES,
	COUNTS,
};

typedef struct host_s {
	struct walk_s *walk;
	fake_kv_t *fake;
	gn_record_t *record;
	uint64_t incarnation;
	uint64_t adopted;
} host_t;

typedef struct walk_s {
	kv_walk_t kv;
	gn_record_mutant_t mutant;
	host_t hosts[ENTRIES];
	uint64_t last_incarnation;
	GHashTable *adopted; /* incarnation to its adopted revision */
	GHashTable *left; /* incarnations that have left */
	gn_record_doc_t doc; /* as last observed */
	uint64_t state_revision; /* of the service, as last observed */
} walk_t;

/* ======   Checks   ====== */

static bool has_live_key(walk_t *walk, uint64_t incarnation)
{
	g_autofree char *key = g_strdup_printf(GN_RECORD_LIVE_PREFIX
					       "%016" G_GINT64_MODIFIER "x",
					       incarnation);

	return kv_state_find(walk->kv.state, key) != NULL;
}

static void check_removals(walk_t *walk, const gn_record_doc_t *doc)
{
	for (size_t i = 0; i < walk->doc.member_count; i++) {
		uint64_t incarnation = walk->doc.members[i].incarnation;
		gpointer key = GSIZE_TO_POINTER(incarnation);

		if (gn_record_doc_find(doc, incarnation) < doc->member_count)
			continue;
		walk->kv.counts[REMOVALS]++;
		g_hash_table_add(walk->left, key);
		if (doc->revision == walk->doc.revision)
			kv_walk_violate(&walk->kv,
					"members changed within a revision");
		if (has_live_key(walk, incarnation))
			kv_walk_violate(&walk->kv, "a live entry was removed");
	}
}

static void check_acked(walk_t *walk, uint64_t incarnation, uint64_t acked)
{
	gpointer key = GSIZE_TO_POINTER(incarnation);

	if (acked > GPOINTER_TO_SIZE(g_hash_table_lookup(walk->adopted, key)))
		kv_walk_violate(&walk->kv, "acknowledged before adopted");
}

static void check_members(walk_t *walk, const gn_record_doc_t *doc)
{
	for (size_t i = 0; i < doc->member_count; i++) {
		const gn_record_member_t *member = &doc->members[i];
		gpointer key = GSIZE_TO_POINTER(member->incarnation);

		if (g_hash_table_contains(walk->left, key))
			kv_walk_violate(&walk->kv,
					"an incarnation that left returned");
		check_acked(walk, member->incarnation, member->acked);
		if (gn_record_doc_find(&walk->doc, member->incarnation) ==
		    walk->doc.member_count)
			walk->kv.counts[JOINS]++;
	}
}

static void check_live_key(walk_t *walk, const kv_item_t *item)
{
	gn_record_live_t live = { 0 };

	live.incarnation = gn_record_live_parse_key(gn_str_from(item->key));
	g_assert_true(gn_record_live_decode(kv_item_value(item), &live));
	check_acked(walk, live.incarnation, live.acked);
}

static void check_live_keys(walk_t *walk)
{
	kv_answer_t answer;

	kv_answer_init(&answer);
	kv_state_list(walk->kv.state, GN_RECORD_LIVE_PREFIX, 0, &answer);
	for (guint i = 0; i < answer.items->len; i++) {
		const kv_item_t *item = answer.items->pdata[i];

		/* What an entry adopted only rises: an unchanged key holds. */
		if (item->revision > walk->state_revision)
			check_live_key(walk, item);
	}
	kv_answer_clear(&answer);
}

static void check_record(walk_t *walk, const kv_item_t *item)
{
	gn_record_doc_t *doc = g_new(gn_record_doc_t, 1);

	g_assert_cmpint(gn_record_doc_decode(kv_item_value(item), doc), ==,
			GN_OK);
	if (doc->revision < walk->doc.revision)
		kv_walk_violate(&walk->kv, "the record's revision went back");
	check_removals(walk, doc);
	check_members(walk, doc);
	walk->doc = *doc;
	g_free(doc);
}

/* Looks at what the service holds, if that has changed. */
static void observe(walk_t *walk)
{
	const kv_item_t *item;

	kv_state_expire(walk->kv.state, gn_clock_now_us(&walk->kv.clock));
	if (kv_state_revision(walk->kv.state) == walk->state_revision)
		return;
	check_live_keys(walk);
	item = kv_state_find(walk->kv.state, GN_RECORD_KEY);
	if (item && item->revision > walk->state_revision)
		check_record(walk, item);
	walk->state_revision = kv_state_revision(walk->kv.state);
}

static void take_adopted(void *context, const gn_record_doc_t *doc)
{
	host_t *host = context;

	if (doc->revision <= host->adopted)
		kv_walk_violate(&host->walk->kv, "an older record was adopted");
	host->adopted = doc->revision;
	g_hash_table_insert(host->walk->adopted,
			    GSIZE_TO_POINTER(host->incarnation),
			    GSIZE_TO_POINTER(doc->revision));
}

/* ======   The walk   ====== */

static void start_entry(walk_t *walk, host_t *host)
{
	gn_record_options_t options = { fake_kv_client(host->fake),
					&walk->kv.clock,
					walk->kv.rand,
					"entry",
					"127.0.0.1:1",
					++walk->last_incarnation,
					TTL_MS,
					take_adopted,
					NULL,
					host };

	host->incarnation = options.incarnation;
	host->adopted = 0;
	host->record = gn_record_create(NULL, &options);
	g_assert_nonnull(host->record);
	gn_record_set_mutant(host->record, walk->mutant);
}

static void restart(walk_t *walk, host_t *host)
{
	gn_record_free(host->record);
	fake_kv_crash(host->fake);
	start_entry(walk, host);
}

static void bring_faults(void *context, unsigned client)
{
	static const kv_walk_faults_t most = {
		.lose_answer = .2, .drop_request = .1, .late = .2, .frozen = .2
	};
	walk_t *walk = context;
	host_t *host = &walk->hosts[client];

	if (gn_walk_draw(walk->kv.rand, 0.01))
		kv_walk_draw_faults(&walk->kv, host->fake, &most);
	if (gn_walk_draw(walk->kv.rand, 0.001)) {
		walk->kv.counts[RESTARTS]++;
		restart(walk, host);
	}
	if (gn_walk_draw(walk->kv.rand, 0.001)) {
		walk->kv.counts[LEAVES]++;
		gn_record_leave(host->record);
	}
}

static void step_host(void *context, unsigned client)
{
	walk_t *walk = context;
	host_t *host = &walk->hosts[client];

	if (!fake_kv_faults(host->fake)->frozen) {
		gn_record_tick(host->record);
		if (gn_record_standing(host->record) == GN_RECORD_GONE)
			restart(walk, host);
	}
	fake_kv_run(host->fake);
	observe(walk);
}

static void walk_open(void *context, unsigned mutant)
{
	walk_t *walk = context;

	walk->mutant = (gn_record_mutant_t)mutant;
	walk->adopted = g_hash_table_new(g_direct_hash, g_direct_equal);
	walk->left = g_hash_table_new(g_direct_hash, g_direct_equal);
	for (int i = 0; i < ENTRIES; i++) {
		host_t *host = &walk->hosts[i];

		host->walk = walk;
		host->fake = kv_walk_connect(&walk->kv);
		start_entry(walk, host);
	}
}

static void walk_close(void *context)
{
	walk_t *walk = context;

	for (int i = 0; i < ENTRIES; i++)
		gn_record_free(walk->hosts[i].record);
	g_hash_table_unref(walk->adopted);
	g_hash_table_unref(walk->left);
}

/* After a time without faults all entries agree. */
static void check_agreement(void *context)
{
	walk_t *walk = context;
	const gn_record_doc_t *doc = &walk->doc;

	if (doc->member_count != ENTRIES)
		kv_walk_violate(
			&walk->kv,
			"the record doesn't have just the live entries");
	for (int i = 0; i < ENTRIES && !walk->kv.violation; i++) {
		const host_t *host = &walk->hosts[i];
		size_t index = gn_record_doc_find(doc, host->incarnation);

		if (gn_record_standing(host->record) != GN_RECORD_MEMBER ||
		    index == doc->member_count)
			kv_walk_violate(&walk->kv, "a live entry is no member");
		else if (host->adopted != doc->revision ||
			 gn_record_acked(walk->hosts[0].record,
					 host->incarnation) != doc->revision)
			kv_walk_violate(
				&walk->kv,
				"a revision was not acknowledged by all");
	}
}

/* ======   Tests   ====== */

static const char *run(guint32 seed, unsigned mutant, uint64_t *counts)
{
	static const kv_walk_shape_t shape = {
		.size = sizeof(walk_t),
		.clients = ENTRIES,
		.steps = STEPS,
		.fault_free_steps = QUIET_STEPS,
		.open = walk_open,
		.inject_faults = bring_faults,
		.step = step_host,
		.check_end = check_agreement,
		.close = walk_close,
	};

	return kv_walk_run(&shape, seed, mutant, counts);
}

int main(int argc, char **argv)
{
	static const gn_walk_count_t counts[COUNTS] = {
		KV_WALK_COUNT_NAMES,
		[JOINS] = { "join", GN_WALK_EACH },
		[REMOVALS] = { "removal", GN_WALK_EACH },
		[RESTARTS] = { "restart", GN_WALK_SOME },
		[LEAVES] = { "leave", GN_WALK_SOME },
	};
	static const gn_walk_mutant_t mutants[GN_RECORD_MUTANT_COUNT] = {
		[GN_RECORD_MUTANT_ACK_EARLY] = { .name = "ack-early" },
		[GN_RECORD_MUTANT_RETURN] = { .name = "return" },
		[GN_RECORD_MUTANT_REMOVE_LIVE] = { .name = "remove-live" },
		[GN_RECORD_MUTANT_IGNORE_REVISION] = { .name = "ignore-revision" },
	};
	static const gn_walk_plan_t plan = {
		.path = "/record",
		.walks = 60,
		.mutant_walks = 300,
		.counts = counts,
		.count_count = COUNTS,
		.mutants = mutants,
		.mutant_count = GN_RECORD_MUTANT_COUNT,
		.run = run,
	};

	g_test_init(&argc, &argv, NULL);
	gn_walk_add(&plan);
	return g_test_run();
}
