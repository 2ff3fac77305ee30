/*
 * Random walks of the member record: entries join, leave, die, freeze for
 * longer than their lease and resume, while calls are lost, delayed and
 * refused. After each step the invariants are checked against the keys that
 * the service stores.
 */
#include "common/str.h"
#include "member/record_internal.h"
#include "support/kv_walk.h"

#define ENTRIES 4
#define STEPS 2000
#define TTL_MS 2000
/** Number of steps without faults at the end, which take 30 s. */
#define FAULT_FREE_STEPS 1500

enum {
	JOINS = KV_WALK_COUNT,
	REMOVALS,
	RESTARTS,
	LEAVES,
	COUNTS,
};

typedef struct entry_s {
	struct walk_s *walk;
	fake_kv_t *fake;
	gn_record_t *record;
	uint64_t incarnation;
	uint64_t adopted;
} entry_t;

typedef struct walk_s {
	kv_walk_t kv;
	gn_record_mutant_t mutant;
	entry_t entries[ENTRIES];
	uint64_t last_incarnation;
	GHashTable *adopted; /* maps an incarnation to its adopted revision */
	GHashTable *left; /* incarnations that have left */
	gn_record_doc_t doc; /* last record checked */
	uint64_t state_revision; /* last revision of the service checked */
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
			kv_walk_violate(
				&walk->kv,
				"members changed without a new revision");
		if (has_live_key(walk, incarnation))
			kv_walk_violate(&walk->kv, "a live entry was removed");
	}
}

static void check_acked(walk_t *walk, uint64_t incarnation, uint64_t acked)
{
	gpointer key = GSIZE_TO_POINTER(incarnation);

	if (acked > GPOINTER_TO_SIZE(g_hash_table_lookup(walk->adopted, key)))
		kv_walk_violate(
			&walk->kv,
			"a revision was acknowledged before it was adopted");
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

		/* adopted revisions only rise: unchanged keys stay valid */
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
		kv_walk_violate(&walk->kv, "the record's revision decreased");
	check_removals(walk, doc);
	check_members(walk, doc);
	walk->doc = *doc;
	g_free(doc);
}

/* Checks the keys in the service if they have changed. */
static void check_service(walk_t *walk)
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

static void on_adopt(void *context, const gn_record_doc_t *doc)
{
	entry_t *entry = context;

	if (doc->revision <= entry->adopted)
		kv_walk_violate(&entry->walk->kv,
				"an older record was adopted");
	entry->adopted = doc->revision;
	g_hash_table_insert(entry->walk->adopted,
			    GSIZE_TO_POINTER(entry->incarnation),
			    GSIZE_TO_POINTER(doc->revision));
}

/* ======   Walk   ====== */

static void start_entry(walk_t *walk, entry_t *entry)
{
	gn_record_options_t options = { fake_kv_client(entry->fake),
					&walk->kv.clock,
					walk->kv.rand,
					"entry",
					"127.0.0.1:1",
					++walk->last_incarnation,
					TTL_MS,
					on_adopt,
					NULL,
					entry };

	entry->incarnation = options.incarnation;
	entry->adopted = 0;
	entry->record = gn_record_create(NULL, &options);
	g_assert_nonnull(entry->record);
	gn_record_set_mutant(entry->record, walk->mutant);
}

static void restart_entry(walk_t *walk, entry_t *entry)
{
	gn_record_free(entry->record);
	fake_kv_crash(entry->fake);
	start_entry(walk, entry);
}

static void inject_faults(void *context, unsigned client)
{
	static const kv_walk_faults_t max_faults = {
		.lose_answer = .2, .drop_request = .1, .late = .2, .frozen = .2
	};
	walk_t *walk = context;
	entry_t *entry = &walk->entries[client];

	if (gn_walk_draw(walk->kv.rand, 0.01))
		kv_walk_draw_faults(&walk->kv, entry->fake, &max_faults);
	if (gn_walk_draw(walk->kv.rand, 0.001)) {
		walk->kv.counts[RESTARTS]++;
		restart_entry(walk, entry);
	}
	if (gn_walk_draw(walk->kv.rand, 0.001)) {
		walk->kv.counts[LEAVES]++;
		gn_record_leave(entry->record);
	}
}

static void step_entry(void *context, unsigned client)
{
	walk_t *walk = context;
	entry_t *entry = &walk->entries[client];

	if (!fake_kv_faults(entry->fake)->frozen) {
		gn_record_tick(entry->record);
		if (gn_record_state(entry->record) == GN_RECORD_GONE)
			restart_entry(walk, entry);
	}
	fake_kv_run(entry->fake);
	check_service(walk);
}

static void walk_open(void *context, unsigned mutant)
{
	walk_t *walk = context;

	walk->mutant = (gn_record_mutant_t)mutant;
	walk->adopted = g_hash_table_new(g_direct_hash, g_direct_equal);
	walk->left = g_hash_table_new(g_direct_hash, g_direct_equal);
	for (int i = 0; i < ENTRIES; i++) {
		entry_t *entry = &walk->entries[i];

		entry->walk = walk;
		entry->fake = kv_walk_connect(&walk->kv);
		start_entry(walk, entry);
	}
}

static void walk_close(void *context)
{
	walk_t *walk = context;

	for (int i = 0; i < ENTRIES; i++)
		gn_record_free(walk->entries[i].record);
	g_hash_table_unref(walk->adopted);
	g_hash_table_unref(walk->left);
}

/* After the steps without faults all entries must agree. */
static void check_all_agree(void *context)
{
	walk_t *walk = context;
	const gn_record_doc_t *doc = &walk->doc;

	if (doc->member_count != ENTRIES)
		kv_walk_violate(&walk->kv,
				"the members are not exactly the live entries");
	for (int i = 0; i < ENTRIES && !walk->kv.violation; i++) {
		const entry_t *entry = &walk->entries[i];
		size_t index = gn_record_doc_find(doc, entry->incarnation);

		if (gn_record_state(entry->record) != GN_RECORD_MEMBER ||
		    index == doc->member_count)
			kv_walk_violate(&walk->kv,
					"a live entry is not a member");
		else if (entry->adopted != doc->revision ||
			 gn_record_acked(walk->entries[0].record,
					 entry->incarnation) != doc->revision)
			kv_walk_violate(
				&walk->kv,
				"a revision was not acknowledged by all");
	}
}

/* ======   Tests   ====== */

static const char *run(guint32 seed, unsigned mutant, uint64_t *counts)
{
	static const kv_walk_spec_t spec = {
		.size = sizeof(walk_t),
		.clients = ENTRIES,
		.steps = STEPS,
		.fault_free_steps = FAULT_FREE_STEPS,
		.open = walk_open,
		.inject_faults = inject_faults,
		.step = step_entry,
		.check_end = check_all_agree,
		.close = walk_close,
	};

	return kv_walk_run(&spec, seed, mutant, counts);
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
