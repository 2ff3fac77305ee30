/*
 * Randomised test with fixed seeds: two operators change the configuration
 * through two processes, while calls are lost, delayed or refused and processes
 * restart. After each step the reported results are compared with the document
 * in the service: an accepted change is stored once and at its reported
 * revision, a rejected one never, no concurrent change is overwritten, and
 * revisions never decrease.
 */
#include "common/str.h"
#include "config/store_internal.h"
#include "support/kv_walk.h"

#define WRITERS 2
#define STEPS 1500
/** Steps without faults at the end, so that pending calls complete. */
#define QUIET_STEPS 1000
#define TEXT_SIZE 32

enum {
	ACCEPTED = KV_WALK_COUNT,
	REJECTED,
	UNKNOWN,
	RESTARTS,
	COUNTS,
};

typedef enum reported_e {
	REPORTED_NOTHING,
	REPORTED_ACCEPTED,
	REPORTED_REJECTED
} reported_t;

/* The expected and reported state of a change. */
typedef struct record_s {
	char text[TEXT_SIZE]; /* Text of the part and id of the change. */
	gn_config_part_t part;
	uint64_t if_revision;
	uint64_t first_proposed; /* Revision of the first proposal, or 0. */
	uint64_t reported_revision;
	uint64_t revision; /* Revision in the service, or 0. */
	reported_t reported;
} record_t;

typedef struct writer_s {
	struct walk_s *walk;
	fake_kv_t *fake;
	gn_store_t *store;
	bool has_pending_change;
	uint64_t adopted;
} writer_t;

typedef struct walk_s {
	kv_walk_t kv;
	gn_store_mutant_t mutant;
	writer_t writers[WRITERS];
	GHashTable *records; /* Maps text to record_t. */
	GPtrArray *history; /* record_t by revision, from 1. */
	gn_config_doc_t *old_doc; /* Earlier document, to be offered again. */
	uint64_t key_revision;
} walk_t;

/* ======   Checks   ====== */

static void record_stored_change(walk_t *walk, const gn_config_change_t *change)
{
	g_autofree char *text = g_strndup(change->id.data, change->id.len);
	record_t *record = g_hash_table_lookup(walk->records, text);

	if (!record) {
		kv_walk_violate(
			&walk->kv,
			"the document has a change that was not requested");
		return;
	}
	if (record->revision && record->revision != change->revision)
		kv_walk_violate(&walk->kv, "a change took effect twice");
	if (record->reported == REPORTED_REJECTED)
		kv_walk_violate(
			&walk->kv,
			"a change was reported as rejected but is stored");
	record->revision = change->revision;
	if (walk->history->len < change->revision)
		g_ptr_array_set_size(walk->history, (gint)change->revision);
	walk->history->pdata[change->revision - 1] = record;
}

static void check_part(walk_t *walk, const gn_config_doc_t *doc,
		       gn_config_part_t part)
{
	const record_t *latest = NULL;

	for (guint i = 0; i < walk->history->len && i < doc->revision; i++) {
		const record_t *record = walk->history->pdata[i];

		if (record && record->part == part)
			latest = record;
	}
	if (latest &&
	    !gn_str_equal(doc->parts[part].text, gn_str_from(latest->text)))
		kv_walk_violate(
			&walk->kv,
			"a part does not have the text of its latest change");
}

/* Checks the document in the service if it has changed. */
static void check_stored_doc(walk_t *walk)
{
	const kv_item_t *item = kv_state_find(walk->kv.state, GN_STORE_KEY);
	gn_config_doc_t *doc;

	if (!item || item->revision == walk->key_revision)
		return;
	walk->key_revision = item->revision;
	g_assert_cmpint(gn_config_doc_decode(NULL, kv_item_value(item), &doc),
			==, GN_OK);
	if (doc->revision < walk->history->len)
		kv_walk_violate(&walk->kv, "the stored revision decreased");
	for (size_t i = 0; i < doc->change_count; i++)
		record_stored_change(walk, &doc->changes[i]);
	check_part(walk, doc, GN_CONFIG_INVENTORY);
	check_part(walk, doc, GN_CONFIG_RULES);
	if (!walk->old_doc || gn_walk_draw(walk->kv.rand, 0.1)) {
		talloc_free(walk->old_doc);
		walk->old_doc = doc;
	} else {
		talloc_free(doc);
	}
}

static void check_accepted(walk_t *walk, const record_t *record)
{
	if (record->revision != record->reported_revision) {
		kv_walk_violate(
			&walk->kv,
			"a change is not stored at its reported revision");
		return;
	}
	if (record->if_revision && record->revision != record->if_revision + 1)
		kv_walk_violate(
			&walk->kv,
			"a change was accepted on an unexpected revision");
	for (uint64_t r = record->first_proposed; r < record->revision; r++) {
		const record_t *other = walk->history->pdata[r - 1];

		if (other && other->part == record->part)
			kv_walk_violate(&walk->kv,
					"a concurrent change was overwritten");
	}
}

/* ======   Callbacks of the store   ====== */

static void record_result(void *context, const gn_store_result_t *result)
{
	writer_t *writer = context;
	walk_t *walk = writer->walk;
	g_autofree char *text = g_strndup(result->id.data, result->id.len);
	record_t *record = g_hash_table_lookup(walk->records, text);

	writer->has_pending_change = false;
	check_stored_doc(walk);
	if (result->code == GN_OK) {
		walk->kv.counts[ACCEPTED]++;
		record->reported = REPORTED_ACCEPTED;
		record->reported_revision = result->revision;
		check_accepted(walk, record);
	} else if (result->code == GN_ERR_UNKNOWN) {
		walk->kv.counts[UNKNOWN]++;
	} else {
		walk->kv.counts[REJECTED]++;
		record->reported = REPORTED_REJECTED;
		if (record->revision)
			kv_walk_violate(
				&walk->kv,
				"a change was reported as rejected but is stored");
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

static void record_adoption(void *context, const gn_config_doc_t *doc)
{
	writer_t *writer = context;

	if (doc->revision <= writer->adopted)
		kv_walk_violate(&writer->walk->kv,
				"a revision that is not newer was adopted");
	writer->adopted = doc->revision;
}

/* ======   Steps   ====== */

static void start_store(walk_t *walk, writer_t *writer)
{
	gn_store_options_t options = { fake_kv_client(writer->fake),
				       &walk->kv.clock,
				       walk->kv.rand,
				       4000,
				       check_doc,
				       record_adoption,
				       writer };

	writer->has_pending_change = false;
	writer->adopted = 0;
	writer->store = gn_store_create(NULL, &options);
	g_assert_nonnull(writer->store);
	gn_store_set_mutant(writer->store, walk->mutant);
}

static void restart_process(walk_t *walk, writer_t *writer)
{
	walk->kv.counts[RESTARTS]++;
	gn_store_free(writer->store);
	fake_kv_crash(writer->fake);
	start_store(walk, writer);
}

static void request_change(walk_t *walk, writer_t *writer)
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
	writer->has_pending_change = true;
	gn_store_change(writer->store, &change, record_result, writer);
}

static void inject_faults(void *context, unsigned client)
{
	static const kv_walk_faults_t max_faults = {
		.lose_answer = .3, .drop_request = .2, .late = .3, .frozen = .1
	};
	walk_t *walk = context;
	writer_t *writer = &walk->writers[client];

	if (gn_walk_draw(walk->kv.rand, 0.02))
		kv_walk_draw_faults(&walk->kv, writer->fake, &max_faults);
	if (gn_walk_draw(walk->kv.rand, 0.002))
		restart_process(walk, writer);
	if (!writer->has_pending_change && gn_walk_draw(walk->kv.rand, 0.1))
		request_change(walk, writer);
	if (walk->old_doc && gn_walk_draw(walk->kv.rand, 0.01))
		gn_store_offer(writer->store, walk->old_doc, NULL);
}

static void step_writer(void *context, unsigned client)
{
	walk_t *walk = context;
	writer_t *writer = &walk->writers[client];

	if (!fake_kv_faults(writer->fake)->frozen)
		gn_store_tick(writer->store);
	fake_kv_run(writer->fake);
	check_stored_doc(walk);
}

static void walk_open(void *context, unsigned mutant)
{
	walk_t *walk = context;

	walk->mutant = (gn_store_mutant_t)mutant;
	walk->records =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	walk->history = g_ptr_array_new();
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
	talloc_free(walk->old_doc);
	g_ptr_array_unref(walk->history);
	g_hash_table_unref(walk->records);
}

/* After the steps without faults both processes have the newest document. */
static void check_newest_adopted(void *context)
{
	walk_t *walk = context;
	for (int i = 0; i < WRITERS; i++) {
		const gn_config_doc_t *doc =
			gn_store_current(walk->writers[i].store);

		if (walk->history->len &&
		    (!doc || doc->revision != walk->history->len))
			kv_walk_violate(
				&walk->kv,
				"a process does not have the newest document");
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
		.inject_faults = inject_faults,
		.step = step_writer,
		.check_end = check_newest_adopted,
		.close = walk_close,
	};

	return kv_walk_run(&shape, seed, mutant, counts);
}

int main(int argc, char **argv)
{
	static const gn_walk_count_t counts[COUNTS] = {
		KV_WALK_COUNT_NAMES,
		[ACCEPTED] = { "accepted", GN_WALK_EACH },
		[REJECTED] = { "denied", GN_WALK_SOME },
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
