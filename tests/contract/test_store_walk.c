/*
 * Seeded walks: two operators change the configuration through two processes
 * while calls are lost, late, refused, and processes are replaced. After each
 * step the promises are checked against what the service really holds.
 */
#include "common/str.h"
#include "config/store_internal.h"
#include "support/kv_walk.h"

#define WRITERS 2
#define STEPS 1500
/** Steps without faults at the end, for what is still on its way. */
#define QUIET_STEPS 1000
#define TEXT_SIZE 32

enum {
	ACCEPTED = KV_WALK_COUNT,
	DENIED,
	UNKNOWN,
	RESTARTS,
	COUNTS,
};

typedef enum told_e { TOLD_NOTHING, TOLD_DONE, TOLD_DENIED } told_t;

/* A change as the checker knows it. */
typedef struct record_s {
	char text[TEXT_SIZE]; /* also its id */
	gn_config_part_t part;
	uint64_t if_revision;
	uint64_t first_proposed; /* revision of the first proposal, or 0 */
	uint64_t told_revision;
	uint64_t revision; /* at which the service has it, or 0 */
	told_t told;
} record_t;

typedef struct writer_s {
	struct walk_s *walk;
	fake_kv_t *fake;
	gn_store_t *store;
	bool is_busy;
	uint64_t adopted;
} writer_t;

typedef struct walk_s {
	kv_walk_t kv;
	gn_store_mutant_t mutant;
	writer_t writers[WRITERS];
	GHashTable *records; /* text to record_t */
	GPtrArray *log; /* record_t by revision, from 1 */
	gn_config_doc_t *old; /* a document of the past, for offers */
	uint64_t key_revision;
} walk_t;

/* ======   Checks   ====== */

static void log_change(walk_t *walk, const gn_config_change_t *change)
{
	g_autofree char *text = g_strndup(change->id.data, change->id.len);
	record_t *record = g_hash_table_lookup(walk->records, text);

	if (!record) {
		kv_walk_violate(&walk->kv, "a change that nobody asked for");
		return;
	}
	if (record->revision && record->revision != change->revision)
		kv_walk_violate(&walk->kv, "a change took effect twice");
	if (record->told == TOLD_DENIED)
		kv_walk_violate(&walk->kv, "told not accepted, but it was");
	record->revision = change->revision;
	if (walk->log->len < change->revision)
		g_ptr_array_set_size(walk->log, (gint)change->revision);
	walk->log->pdata[change->revision - 1] = record;
}

static void check_part(walk_t *walk, const gn_config_doc_t *doc,
		       gn_config_part_t part)
{
	const record_t *latest = NULL;

	for (guint i = 0; i < walk->log->len && i < doc->revision; i++) {
		const record_t *record = walk->log->pdata[i];

		if (record && record->part == part)
			latest = record;
	}
	if (latest &&
	    !gn_str_equal(doc->parts[part].text, gn_str_from(latest->text)))
		kv_walk_violate(&walk->kv,
				"the latest change of a part is not in force");
}

/* Looks at what the service holds. */
static void observe(walk_t *walk)
{
	const kv_item_t *item = kv_state_find(walk->kv.state, GN_STORE_KEY);
	gn_config_doc_t *doc;

	if (!item || item->revision == walk->key_revision)
		return;
	walk->key_revision = item->revision;
	g_assert_cmpint(gn_config_doc_decode(NULL, kv_item_value(item), &doc),
			==, GN_OK);
	if (doc->revision < walk->log->len)
		kv_walk_violate(&walk->kv, "the revision went back");
	for (size_t i = 0; i < doc->change_count; i++)
		log_change(walk, &doc->changes[i]);
	check_part(walk, doc, GN_CONFIG_INVENTORY);
	check_part(walk, doc, GN_CONFIG_RULES);
	if (!walk->old || gn_walk_draw(walk->kv.rand, 0.1)) {
		talloc_free(walk->old);
		walk->old = doc;
	} else {
		talloc_free(doc);
	}
}

static void check_accepted(walk_t *walk, const record_t *record)
{
	if (record->revision != record->told_revision) {
		kv_walk_violate(&walk->kv, "told accepted before it was");
		return;
	}
	if (record->if_revision && record->revision != record->if_revision + 1)
		kv_walk_violate(&walk->kv,
				"accepted on another revision than was named");
	for (uint64_t r = record->first_proposed; r < record->revision; r++) {
		const record_t *other = walk->log->pdata[r - 1];

		if (other && other->part == record->part)
			kv_walk_violate(&walk->kv,
					"a concurrent change was overwritten");
	}
}

/* ======   The product's callbacks   ====== */

static void take_result(void *context, const gn_store_result_t *result)
{
	writer_t *writer = context;
	walk_t *walk = writer->walk;
	g_autofree char *text = g_strndup(result->id.data, result->id.len);
	record_t *record = g_hash_table_lookup(walk->records, text);

	writer->is_busy = false;
	observe(walk);
	if (result->code == GN_OK) {
		walk->kv.counts[ACCEPTED]++;
		record->told = TOLD_DONE;
		record->told_revision = result->revision;
		check_accepted(walk, record);
	} else if (result->code == GN_ERR_UNKNOWN) {
		walk->kv.counts[UNKNOWN]++;
	} else {
		walk->kv.counts[DENIED]++;
		record->told = TOLD_DENIED;
		if (record->revision)
			kv_walk_violate(&walk->kv,
					"told not accepted, but it was");
	}
}

static gn_code_t check_doc(void *context, const gn_config_doc_t *doc,
			   gn_error_t *error)
{
	const writer_t *writer = context;
	gn_str_t id = doc->changes[doc->change_count - 1].id;
	g_autofree char *text = g_strndup(id.data, id.len);
	record_t *record = g_hash_table_lookup(writer->walk->records, text);

	(void)error;
	if (!record->first_proposed)
		record->first_proposed = doc->revision;
	return GN_OK;
}

static void take_adopted(void *context, const gn_config_doc_t *doc)
{
	writer_t *writer = context;

	if (doc->revision <= writer->adopted)
		kv_walk_violate(&writer->walk->kv,
				"an older revision was adopted");
	writer->adopted = doc->revision;
}

/* ======   The walk   ====== */

static void start_store(walk_t *walk, writer_t *writer)
{
	gn_store_options_t options = { fake_kv_client(writer->fake),
				       &walk->kv.clock,
				       walk->kv.rand,
				       4000,
				       check_doc,
				       take_adopted,
				       writer };

	writer->is_busy = false;
	writer->adopted = 0;
	writer->store = gn_store_create(NULL, &options);
	g_assert_nonnull(writer->store);
	gn_store_set_mutant(writer->store, walk->mutant);
}

static void restart(walk_t *walk, writer_t *writer)
{
	walk->kv.counts[RESTARTS]++;
	gn_store_free(writer->store);
	fake_kv_crash(writer->fake);
	start_store(walk, writer);
}

static void ask_for_change(walk_t *walk, writer_t *writer)
{
	const gn_config_doc_t *current = gn_store_current(writer->store);
	record_t *record = g_new0(record_t, 1);
	gn_store_change_t change;

	g_snprintf(record->text, sizeof(record->text), "change-%u",
		   g_hash_table_size(walk->records));
	record->part = (gn_config_part_t)g_rand_int_range(walk->kv.rand, 0,
							  GN_CONFIG_PART_COUNT);
	if (current && gn_walk_draw(walk->kv.rand, 0.3))
		record->if_revision = current->revision;
	g_hash_table_insert(walk->records, record->text, record);
	change.part = record->part;
	change.text = gn_str_from(record->text);
	change.id = change.text;
	change.if_revision = record->if_revision;
	writer->is_busy = true;
	gn_store_change(writer->store, &change, take_result, writer);
}

static void bring_faults(void *context, unsigned client)
{
	static const kv_walk_faults_t most = {
		.lose_answer = .3, .drop_request = .2, .late = .3, .frozen = .1
	};
	walk_t *walk = context;
	writer_t *writer = &walk->writers[client];

	if (gn_walk_draw(walk->kv.rand, 0.02))
		kv_walk_draw_faults(&walk->kv, writer->fake, &most);
	if (gn_walk_draw(walk->kv.rand, 0.002))
		restart(walk, writer);
	if (!writer->is_busy && gn_walk_draw(walk->kv.rand, 0.1))
		ask_for_change(walk, writer);
	if (walk->old && gn_walk_draw(walk->kv.rand, 0.01))
		gn_store_offer(writer->store, walk->old, NULL);
}

static void step_writer(void *context, unsigned client)
{
	walk_t *walk = context;
	writer_t *writer = &walk->writers[client];

	if (!fake_kv_faults(writer->fake)->frozen)
		gn_store_tick(writer->store);
	fake_kv_run(writer->fake);
	observe(walk);
}

static void walk_open(void *context, unsigned mutant)
{
	walk_t *walk = context;

	walk->mutant = (gn_store_mutant_t)mutant;
	walk->records =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	walk->log = g_ptr_array_new();
	for (int i = 0; i < WRITERS; i++) {
		writer_t *writer = &walk->writers[i];

		writer->walk = walk;
		writer->fake = kv_walk_connect(&walk->kv);
		start_store(walk, writer);
	}
}

static void walk_close(void *context)
{
	walk_t *walk = context;

	for (int i = 0; i < WRITERS; i++)
		gn_store_free(walk->writers[i].store);
	talloc_free(walk->old);
	g_ptr_array_unref(walk->log);
	g_hash_table_unref(walk->records);
}

/* Both have the newest document after a time without faults. */
static void check_in_force(void *context)
{
	walk_t *walk = context;
	for (int i = 0; i < WRITERS; i++) {
		const gn_config_doc_t *doc =
			gn_store_current(walk->writers[i].store);

		if (walk->log->len && (!doc || doc->revision != walk->log->len))
			kv_walk_violate(&walk->kv,
					"a change is not in force everywhere");
	}
}

/* ======   Tests   ====== */

static const char *run(guint32 seed, unsigned mutant, uint64_t *counts)
{
	static const kv_walk_spec_t shape = {
		.size = sizeof(walk_t),
		.clients = WRITERS,
		.steps = STEPS,
		.fault_free_steps = QUIET_STEPS,
		.open = walk_open,
		.inject_faults = bring_faults,
		.step = step_writer,
		.check_end = check_in_force,
		.close = walk_close,
	};

	return kv_walk_run(&shape, seed, mutant, counts);
}

int main(int argc, char **argv)
{
	static const gn_walk_count_t counts[COUNTS] = {
		KV_WALK_COUNT_NAMES,
		[ACCEPTED] = { "accepted", GN_WALK_EACH },
		[DENIED] = { "denied", GN_WALK_SOME },
		[UNKNOWN] = { "unknown", GN_WALK_SOME },
		[RESTARTS] = { "restart", GN_WALK_SOME },
	};
	static const gn_walk_mutant_t mutants[GN_STORE_MUTANT_COUNT] = {
		[GN_STORE_MUTANT_BLIND_REWRITE] = { .name = "blind-rewrite" },
		[GN_STORE_MUTANT_ADOPT_OLDER] = { .name = "adopt-older" },
		[GN_STORE_MUTANT_ACCEPT_EARLY] = { .name = "accept-early" },
		[GN_STORE_MUTANT_DENY_EARLY] = { .name = "deny-early" },
		[GN_STORE_MUTANT_REBASE_ALWAYS] = { .name = "rebase-always" },
	};
	static const gn_walk_plan_t plan = {
		.path = "/store",
		.walks = 60,
		.mutant_walks = 300,
		.counts = counts,
		.count_count = COUNTS,
		.mutants = mutants,
		.mutant_count = GN_STORE_MUTANT_COUNT,
		.run = run,
	};

	g_test_init(&argc, &argv, NULL);
	gn_walk_add(&plan);
	return g_test_run();
}
