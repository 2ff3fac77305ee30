/*
 * Seeded walks: entries join, leave, die, freeze beyond their lease and come
 * back, while calls are lost, late and refused. After each step the promises
 * are checked against what the service really holds.
 *
 * GN_WALKS sets the number of seeds, 60 if unset.
 */
#include <stdlib.h>
#include <string.h>

#include "common/str.h"
#include "member/record_internal.h"
#include "support/fake_kv.h"

#define ENTRIES 4
#define STEPS 2000
#define STEP_US (20 * GN_US_PER_MS)
#define TTL_MS 2000
/** Steps without faults at the end: 30 s. */
#define QUIET_STEPS 1500
#define WALKS_DEFAULT 60
/** Seeds within which a planted fault must be found. */
#define MUTANT_SEEDS 300

typedef struct host_s {
	struct walk_s *walk;
	fake_kv_t *fake;
	gn_record_t *record;
	uint64_t incarnation;
	uint64_t adopted;
} host_t;

typedef struct walk_s {
	gn_clock_t clock;
	GRand *rand;
	kv_state_t *state;
	gn_record_mutant_t mutant;
	host_t hosts[ENTRIES];
	uint64_t last_incarnation;
	GHashTable *adopted; /* incarnation to its adopted revision */
	GHashTable *left; /* incarnations that have left */
	gn_record_doc_t doc; /* as last observed */
	uint64_t key_revision;
	const char *violation;
	uint64_t joins, removals, restarts, freezes, leaves;
} walk_t;

static void violate(walk_t *walk, const char *what)
{
	if (!walk->violation)
		walk->violation = what;
}

/* ======   Checks   ====== */

static bool has_live_key(walk_t *walk, uint64_t incarnation)
{
	g_autofree char *key = g_strdup_printf(GN_RECORD_LIVE_PREFIX
					       "%016" G_GINT64_MODIFIER "x",
					       incarnation);
	kv_answer_t answer;
	bool is_live;

	kv_answer_init(&answer);
	kv_state_get(walk->state, key, 0, &answer);
	is_live = answer.code == GN_OK;
	kv_answer_clear(&answer);
	return is_live;
}

static void check_removals(walk_t *walk, const gn_record_doc_t *doc)
{
	for (size_t i = 0; i < walk->doc.member_count; i++) {
		uint64_t incarnation = walk->doc.members[i].incarnation;
		gpointer key = GSIZE_TO_POINTER(incarnation);

		if (gn_record_doc_find(doc, incarnation) < doc->member_count)
			continue;
		walk->removals++;
		g_hash_table_add(walk->left, key);
		if (doc->revision == walk->doc.revision)
			violate(walk, "members changed within a revision");
		if (has_live_key(walk, incarnation))
			violate(walk, "a live entry was removed");
	}
}

static void check_acked(walk_t *walk, uint64_t incarnation, uint64_t acked)
{
	gpointer key = GSIZE_TO_POINTER(incarnation);

	if (acked > GPOINTER_TO_SIZE(g_hash_table_lookup(walk->adopted, key)))
		violate(walk, "acknowledged before adopted");
}

static void check_members(walk_t *walk, const gn_record_doc_t *doc)
{
	for (size_t i = 0; i < doc->member_count; i++) {
		const gn_record_member_t *member = &doc->members[i];
		gpointer key = GSIZE_TO_POINTER(member->incarnation);

		if (g_hash_table_contains(walk->left, key))
			violate(walk, "an incarnation that left returned");
		check_acked(walk, member->incarnation, member->acked);
		if (gn_record_doc_find(&walk->doc, member->incarnation) ==
		    walk->doc.member_count)
			walk->joins++;
	}
}

static void check_live_keys(walk_t *walk)
{
	kv_answer_t answer;

	kv_answer_init(&answer);
	kv_state_list(walk->state, GN_RECORD_LIVE_PREFIX, 0, &answer);
	for (guint i = 0; i < answer.items->len; i++) {
		const kv_item_t *item = answer.items->pdata[i];
		gn_record_live_t live = { 0 };
		gn_str_t value;

		live.incarnation =
			gn_record_live_parse_key(gn_str_from(item->key));
		value.data = g_bytes_get_data(item->value, &value.len);
		g_assert_true(gn_record_live_decode(value, &live));
		check_acked(walk, live.incarnation, live.acked);
	}
	kv_answer_clear(&answer);
}

/* Looks at what the service holds. */
static void observe(walk_t *walk)
{
	gn_record_doc_t *doc = g_new(gn_record_doc_t, 1);
	kv_answer_t answer;
	gn_str_t value;
	kv_item_t *item;

	kv_state_expire(walk->state, gn_clock_now_us(&walk->clock));
	check_live_keys(walk);
	kv_answer_init(&answer);
	kv_state_get(walk->state, GN_RECORD_KEY, 0, &answer);
	if (!answer.items->len)
		goto out;
	item = answer.items->pdata[0];
	if (item->revision == walk->key_revision)
		goto out;
	value.data = g_bytes_get_data(item->value, &value.len);
	g_assert_cmpint(gn_record_doc_decode(value, doc), ==, GN_OK);
	if (doc->revision < walk->doc.revision)
		violate(walk, "the record's revision went back");
	check_removals(walk, doc);
	check_members(walk, doc);
	walk->key_revision = item->revision;
	walk->doc = *doc;
out:
	kv_answer_clear(&answer);
	g_free(doc);
}

static void take_adopted(void *context, const gn_record_doc_t *doc)
{
	host_t *host = context;

	if (doc->revision <= host->adopted)
		violate(host->walk, "an older record was adopted");
	host->adopted = doc->revision;
	g_hash_table_insert(host->walk->adopted,
			    GSIZE_TO_POINTER(host->incarnation),
			    GSIZE_TO_POINTER(doc->revision));
}

/* ======   The walk   ====== */

static void start_entry(walk_t *walk, host_t *host)
{
	gn_record_options_t options = { fake_kv_client(host->fake),
					&walk->clock,
					walk->rand,
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

static void set_random_faults(walk_t *walk, host_t *host)
{
	fake_kv_faults_t *faults = fake_kv_faults(host->fake);
	bool was_frozen = faults->frozen;

	faults->delay_max_us = 200 * GN_US_PER_MS;
	faults->timeout_us = 500 * GN_US_PER_MS;
	faults->lose_answer = 0.2 * g_rand_double(walk->rand);
	faults->drop_request = 0.1 * g_rand_double(walk->rand);
	faults->late = 0.2 * g_rand_double(walk->rand);
	faults->older_read = 0.2;
	faults->down = g_rand_double(walk->rand) < 0.1;
	faults->cut = g_rand_double(walk->rand) < 0.1;
	faults->frozen = g_rand_double(walk->rand) < 0.2;
	walk->freezes += faults->frozen && !was_frozen;
}

static void bring_faults(walk_t *walk, host_t *host)
{
	if (g_rand_double(walk->rand) < 0.01)
		set_random_faults(walk, host);
	if (g_rand_double(walk->rand) < 0.001) {
		walk->restarts++;
		restart(walk, host);
	}
	if (g_rand_double(walk->rand) < 0.001) {
		walk->leaves++;
		gn_record_leave(host->record);
	}
}

static void step_host(walk_t *walk, host_t *host)
{
	if (!fake_kv_faults(host->fake)->frozen) {
		gn_record_tick(host->record);
		if (gn_record_standing(host->record) == GN_RECORD_GONE)
			restart(walk, host);
	}
	fake_kv_run(host->fake);
	observe(walk);
}

static void walk_open(walk_t *walk, guint32 seed, gn_record_mutant_t mutant)
{
	memset(walk, 0, sizeof(*walk));
	gn_clock_init_paused(&walk->clock, GN_US_PER_S);
	walk->rand = g_rand_new_with_seed(seed);
	walk->state = kv_state_create();
	walk->mutant = mutant;
	walk->adopted = g_hash_table_new(g_direct_hash, g_direct_equal);
	walk->left = g_hash_table_new(g_direct_hash, g_direct_equal);
	for (int i = 0; i < ENTRIES; i++) {
		host_t *host = &walk->hosts[i];

		host->walk = walk;
		host->fake = fake_kv_create(walk->state, &walk->clock,
					    g_rand_int(walk->rand));
		start_entry(walk, host);
	}
}

static void walk_close(walk_t *walk)
{
	for (int i = 0; i < ENTRIES; i++) {
		gn_record_free(walk->hosts[i].record);
		fake_kv_free(walk->hosts[i].fake);
	}
	g_hash_table_unref(walk->adopted);
	g_hash_table_unref(walk->left);
	kv_state_free(walk->state);
	g_rand_free(walk->rand);
}

/* After a time without faults all entries agree. */
static void check_agreement(walk_t *walk)
{
	const gn_record_doc_t *doc = &walk->doc;

	if (doc->member_count != ENTRIES)
		violate(walk, "the record doesn't have just the live entries");
	for (int i = 0; i < ENTRIES && !walk->violation; i++) {
		const host_t *host = &walk->hosts[i];
		size_t index = gn_record_doc_find(doc, host->incarnation);

		if (gn_record_standing(host->record) != GN_RECORD_MEMBER ||
		    index == doc->member_count)
			violate(walk, "a live entry is no member");
		else if (host->adopted != doc->revision ||
			 gn_record_acked(walk->hosts[0].record,
					 host->incarnation) != doc->revision)
			violate(walk, "a revision was not acknowledged by all");
	}
}

static void end_faults(host_t *host)
{
	fake_kv_faults_t *faults = fake_kv_faults(host->fake);

	memset(faults, 0, sizeof(*faults));
	faults->timeout_us = GN_US_PER_S;
}

static void walk_run(walk_t *walk)
{
	for (int i = 0; i < STEPS + QUIET_STEPS && !walk->violation; i++) {
		gn_clock_advance(&walk->clock, STEP_US);
		for (int h = 0; h < ENTRIES; h++) {
			host_t *host = &walk->hosts[h];

			if (i < STEPS)
				bring_faults(walk, host);
			else if (i == STEPS)
				end_faults(host);
			step_host(walk, host);
		}
	}
	if (!walk->violation)
		check_agreement(walk);
}

/* ======   Tests   ====== */

static unsigned walk_count(void)
{
	const char *text = getenv("GN_WALKS");

	return text ? (unsigned)strtoul(text, NULL, 10) : WALKS_DEFAULT;
}

static void test_walks(void)
{
	uint64_t joins = 0, removals = 0, restarts = 0, freezes = 0, leaves = 0;
	uint64_t lost = 0, late = 0, cut = 0;
	unsigned walks = walk_count();
	walk_t walk;

	for (guint32 seed = 1; seed <= walks; seed++) {
		walk_open(&walk, seed, GN_RECORD_MUTANT_NONE);
		walk_run(&walk);
		if (walk.violation)
			g_error("seed %u: %s", seed, walk.violation);
		for (int i = 0; i < ENTRIES; i++) {
			lost += fake_kv_counts(walk.hosts[i].fake)->lost;
			late += fake_kv_counts(walk.hosts[i].fake)->late;
			cut += fake_kv_counts(walk.hosts[i].fake)->cut;
		}
		joins += walk.joins;
		removals += walk.removals;
		restarts += walk.restarts;
		freezes += walk.freezes;
		leaves += walk.leaves;
		walk_close(&walk);
	}
	g_test_message("walks=%u joins=%" G_GUINT64_FORMAT
		       " removals=%" G_GUINT64_FORMAT
		       " restarts=%" G_GUINT64_FORMAT
		       " freezes=%" G_GUINT64_FORMAT
		       " leaves=%" G_GUINT64_FORMAT " lost=%" G_GUINT64_FORMAT
		       " late=%" G_GUINT64_FORMAT " cut=%" G_GUINT64_FORMAT,
		       walks, joins, removals, restarts, freezes, leaves, lost,
		       late, cut);
	g_assert_cmpuint(removals, >, walks);
	g_assert_cmpuint(freezes, >, walks);
}

static void test_mutant(const void *data)
{
	gn_record_mutant_t mutant = (gn_record_mutant_t)GPOINTER_TO_INT(data);
	bool is_found = false;
	walk_t walk;

	for (guint32 seed = 1; seed <= MUTANT_SEEDS && !is_found; seed++) {
		walk_open(&walk, seed, mutant);
		walk_run(&walk);
		is_found = walk.violation != NULL;
		if (is_found)
			g_test_message("seed %u: %s", seed, walk.violation);
		walk_close(&walk);
	}
	g_assert_true(is_found);
}

int main(int argc, char **argv)
{
	static const char *const names[GN_RECORD_MUTANT_COUNT] = {
		[GN_RECORD_MUTANT_ACK_EARLY] = "ack-early",
		[GN_RECORD_MUTANT_RETURN] = "return",
		[GN_RECORD_MUTANT_REMOVE_LIVE] = "remove-live",
		[GN_RECORD_MUTANT_IGNORE_REVISION] = "ignore-revision",
	};

	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/record/walks", test_walks);
	for (int i = 1; i < GN_RECORD_MUTANT_COUNT; i++) {
		g_autofree char *path =
			g_strdup_printf("/record/mutant/%s", names[i]);

		g_test_add_data_func(path, GINT_TO_POINTER(i), test_mutant);
	}
	return g_test_run();
}
