/*
 * Seeded walks: two operators change the configuration through two processes
 * while calls are lost, late, refused, and processes are replaced. After each
 * step the promises are checked against what the service really holds.
 *
 * GN_WALKS sets the number of seeds, 60 if unset.
 */
#include <stdlib.h>
#include <string.h>

#include "common/str.h"
#include "config/store_internal.h"
#include "support/fake_kv.h"

#define WRITERS 2
#define STEPS 1500
#define STEP_US (20 * GN_US_PER_MS)
/** Steps without faults at the end, for what is still on its way. */
#define QUIET_STEPS 1000
#define WALKS_DEFAULT 60
/** Seeds within which a planted fault must be found. */
#define MUTANT_SEEDS 300
#define TEXT_SIZE 32

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
	gn_clock_t clock;
	GRand *rand;
	kv_state_t *state;
	gn_store_mutant_t mutant;
	writer_t writers[WRITERS];
	GHashTable *records; /* text to record_t */
	GPtrArray *log; /* record_t by revision, from 1 */
	gn_config_doc_t *old; /* a document of the past, for offers */
	uint64_t key_revision;
	const char *violation;
	uint64_t done, denied, unknown, restarts;
} walk_t;

static void violate(walk_t *walk, const char *what)
{
	if (!walk->violation)
		walk->violation = what;
}

/* ======   Checks   ====== */

static void log_change(walk_t *walk, const gn_config_change_t *change)
{
	g_autofree char *text = g_strndup(change->id.data, change->id.len);
	record_t *record = g_hash_table_lookup(walk->records, text);

	if (!record) {
		violate(walk, "a change that nobody asked for");
		return;
	}
	if (record->revision && record->revision != change->revision)
		violate(walk, "a change took effect twice");
	if (record->told == TOLD_DENIED)
		violate(walk, "told not accepted, but it was");
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
		violate(walk, "the latest change of a part is not in force");
}

/* Looks at what the service holds. */
static void observe(walk_t *walk)
{
	gn_config_doc_t *doc;
	kv_answer_t answer;
	gn_str_t value;
	kv_item_t *item;

	kv_answer_init(&answer);
	kv_state_get(walk->state, GN_STORE_KEY, 0, &answer);
	if (!answer.items->len)
		goto out;
	item = answer.items->pdata[0];
	if (item->revision == walk->key_revision)
		goto out;
	walk->key_revision = item->revision;
	value.data = g_bytes_get_data(item->value, &value.len);
	g_assert_cmpint(gn_config_doc_decode(NULL, value, &doc), ==, GN_OK);
	if (doc->revision < walk->log->len)
		violate(walk, "the revision went back");
	for (size_t i = 0; i < doc->change_count; i++)
		log_change(walk, &doc->changes[i]);
	check_part(walk, doc, GN_CONFIG_INVENTORY);
	check_part(walk, doc, GN_CONFIG_RULES);
	if (!walk->old || g_rand_double(walk->rand) < 0.1) {
		talloc_free(walk->old);
		walk->old = doc;
	} else {
		talloc_free(doc);
	}
out:
	kv_answer_clear(&answer);
}

static void check_accepted(walk_t *walk, const record_t *record)
{
	if (record->revision != record->told_revision) {
		violate(walk, "told accepted before it was");
		return;
	}
	if (record->if_revision && record->revision != record->if_revision + 1)
		violate(walk, "accepted on another revision than was named");
	for (uint64_t r = record->first_proposed; r < record->revision; r++) {
		const record_t *other = walk->log->pdata[r - 1];

		if (other && other->part == record->part)
			violate(walk, "a concurrent change was overwritten");
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
		walk->done++;
		record->told = TOLD_DONE;
		record->told_revision = result->revision;
		check_accepted(walk, record);
	} else if (result->code == GN_ERR_UNKNOWN) {
		walk->unknown++;
	} else {
		walk->denied++;
		record->told = TOLD_DENIED;
		if (record->revision)
			violate(walk, "told not accepted, but it was");
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
		violate(writer->walk, "an older revision was adopted");
	writer->adopted = doc->revision;
}

/* ======   The walk   ====== */

static void start_store(walk_t *walk, writer_t *writer)
{
	gn_store_options_t options = { fake_kv_client(writer->fake),
				       &walk->clock,
				       walk->rand,
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
	walk->restarts++;
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
	record->part = (gn_config_part_t)g_rand_int_range(walk->rand, 0,
							  GN_CONFIG_PART_COUNT);
	if (current && g_rand_double(walk->rand) < 0.3)
		record->if_revision = current->revision;
	g_hash_table_insert(walk->records, record->text, record);
	change.part = record->part;
	change.text = gn_str_from(record->text);
	change.id = change.text;
	change.if_revision = record->if_revision;
	writer->is_busy = true;
	gn_store_change(writer->store, &change, take_result, writer);
}

static void set_random_faults(walk_t *walk, writer_t *writer)
{
	fake_kv_faults_t *faults = fake_kv_faults(writer->fake);

	faults->delay_max_us = 200 * GN_US_PER_MS;
	faults->timeout_us = 500 * GN_US_PER_MS;
	faults->lose_answer = 0.3 * g_rand_double(walk->rand);
	faults->drop_request = 0.2 * g_rand_double(walk->rand);
	faults->late = 0.3 * g_rand_double(walk->rand);
	faults->older_read = 0.2;
	faults->down = g_rand_double(walk->rand) < 0.1;
	faults->cut = g_rand_double(walk->rand) < 0.1;
	faults->frozen = g_rand_double(walk->rand) < 0.1;
}

static void step_writer(walk_t *walk, writer_t *writer, bool with_faults)
{
	if (with_faults) {
		if (g_rand_double(walk->rand) < 0.02)
			set_random_faults(walk, writer);
		if (g_rand_double(walk->rand) < 0.002)
			restart(walk, writer);
		if (!writer->is_busy && g_rand_double(walk->rand) < 0.1)
			ask_for_change(walk, writer);
		if (walk->old && g_rand_double(walk->rand) < 0.01)
			gn_store_offer(writer->store, walk->old);
	}
	if (!fake_kv_faults(writer->fake)->frozen)
		gn_store_tick(writer->store);
	fake_kv_run(writer->fake);
	observe(walk);
}

static void walk_open(walk_t *walk, guint32 seed, gn_store_mutant_t mutant)
{
	memset(walk, 0, sizeof(*walk));
	gn_clock_init_paused(&walk->clock, GN_US_PER_S);
	walk->rand = g_rand_new_with_seed(seed);
	walk->state = kv_state_create();
	walk->mutant = mutant;
	walk->records =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	walk->log = g_ptr_array_new();
	for (int i = 0; i < WRITERS; i++) {
		writer_t *writer = &walk->writers[i];

		writer->walk = walk;
		writer->fake = fake_kv_create(walk->state, &walk->clock,
					      g_rand_int(walk->rand));
		start_store(walk, writer);
	}
}

static void walk_close(walk_t *walk)
{
	for (int i = 0; i < WRITERS; i++) {
		gn_store_free(walk->writers[i].store);
		fake_kv_free(walk->writers[i].fake);
	}
	talloc_free(walk->old);
	g_ptr_array_unref(walk->log);
	g_hash_table_unref(walk->records);
	kv_state_free(walk->state);
	g_rand_free(walk->rand);
}

/* Both have the newest document after a time without faults. */
static void check_in_force(walk_t *walk)
{
	for (int i = 0; i < WRITERS; i++) {
		const gn_config_doc_t *doc =
			gn_store_current(walk->writers[i].store);

		if (walk->log->len && (!doc || doc->revision != walk->log->len))
			violate(walk, "a change is not in force everywhere");
	}
}

static void walk_run(walk_t *walk)
{
	for (int i = 0; i < STEPS + QUIET_STEPS && !walk->violation; i++) {
		gn_clock_advance(&walk->clock, STEP_US);
		for (int w = 0; w < WRITERS; w++) {
			writer_t *writer = &walk->writers[w];

			if (i == STEPS)
				memset(fake_kv_faults(writer->fake), 0,
				       sizeof(fake_kv_faults_t));
			if (i == STEPS)
				fake_kv_faults(writer->fake)->timeout_us =
					GN_US_PER_S;
			step_writer(walk, writer, i < STEPS);
		}
	}
	if (!walk->violation)
		check_in_force(walk);
}

/* ======   Tests   ====== */

static unsigned walk_count(void)
{
	const char *text = getenv("GN_WALKS");

	return text ? (unsigned)strtoul(text, NULL, 10) : WALKS_DEFAULT;
}

static void test_walks(void)
{
	uint64_t done = 0, denied = 0, unknown = 0, restarts = 0;
	fake_kv_counts_t sum = { 0 };
	unsigned walks = walk_count();
	walk_t walk;

	for (guint32 seed = 1; seed <= walks; seed++) {
		walk_open(&walk, seed, GN_STORE_MUTANT_NONE);
		walk_run(&walk);
		if (walk.violation)
			g_error("seed %u: %s", seed, walk.violation);
		for (int i = 0; i < WRITERS; i++) {
			const fake_kv_counts_t *counts =
				fake_kv_counts(walk.writers[i].fake);

			sum.late += counts->late;
			sum.lost += counts->lost;
			sum.dropped += counts->dropped;
			sum.older += counts->older;
			sum.refused += counts->refused;
			sum.cut += counts->cut;
		}
		done += walk.done;
		denied += walk.denied;
		unknown += walk.unknown;
		restarts += walk.restarts;
		walk_close(&walk);
	}
	g_test_message("walks=%u accepted=%" G_GUINT64_FORMAT
		       " denied=%" G_GUINT64_FORMAT
		       " unknown=%" G_GUINT64_FORMAT
		       " restarts=%" G_GUINT64_FORMAT,
		       walks, done, denied, unknown, restarts);
	g_test_message("late=%" G_GUINT64_FORMAT " lost=%" G_GUINT64_FORMAT
		       " dropped=%" G_GUINT64_FORMAT " older=%" G_GUINT64_FORMAT
		       " refused=%" G_GUINT64_FORMAT " cut=%" G_GUINT64_FORMAT,
		       sum.late, sum.lost, sum.dropped, sum.older, sum.refused,
		       sum.cut);
	g_assert_cmpuint(done, >, walks);
	g_assert_cmpuint(denied, >, 0);
	g_assert_cmpuint(unknown, >, 0);
}

static void test_mutant(const void *data)
{
	gn_store_mutant_t mutant = (gn_store_mutant_t)GPOINTER_TO_INT(data);
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
	static const char *const names[GN_STORE_MUTANT_COUNT] = {
		[GN_STORE_MUTANT_BLIND_REWRITE] = "blind-rewrite",
		[GN_STORE_MUTANT_ADOPT_OLDER] = "adopt-older",
		[GN_STORE_MUTANT_ACCEPT_EARLY] = "accept-early",
		[GN_STORE_MUTANT_DENY_EARLY] = "deny-early",
		[GN_STORE_MUTANT_REBASE_ALWAYS] = "rebase-always",
	};

	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/store/walks", test_walks);
	for (int i = 1; i < GN_STORE_MUTANT_COUNT; i++) {
		g_autofree char *path =
			g_strdup_printf("/store/mutant/%s", names[i]);

		g_test_add_data_func(path, GINT_TO_POINTER(i), test_mutant);
	}
	return g_test_run();
}
