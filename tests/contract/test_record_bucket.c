/*
 * Random walks of bucket ownership: entries die, freeze for longer than their
 * lease, are replaced and leave, while calls are lost, delayed and refused.
 * After each step these invariants are checked against the keys that the
 * service stores: each epoch has one owner, epochs only rise, a bucket is
 * acquired from another entry only after that entry has left the record, and a
 * task that was reported durable stays stored.
 */
#include <string.h>

#include "batch/promise.h"
#include "common/str.h"
#include "member/bucket_internal.h"
#include "member/record_internal.h"
#include "support/kv_walk.h"

#define ENTRIES 3
#define BUCKETS 3
#define STEPS 1500
#define TTL_MS 2000
/** Number of steps without faults at the end, which take 30 s. */
#define FAULT_FREE_STEPS 1500
#define KEY_SIZE 24

enum {
	DURABLE = KV_WALK_COUNT,
	TAKEOVERS,
	RELEASES,
	DOUBLE_OWNERS,
	RESTARTS,
	COUNTS,
};

/* Submitted task; reported once its bucket says that it is durable. */
typedef struct submission_s {
	char key[KEY_SIZE];
	unsigned bucket;
	uint64_t id;
	uint64_t seq;
	bool is_reported;
} submission_t;

typedef struct entry_s {
	struct walk_s *walk;
	fake_kv_t *fake;
	gn_record_t *record;
	gn_promise_t *promise;
	uint64_t incarnation;
	gn_member_bucket_t *holders[BUCKETS];
	GPtrArray *unreported[BUCKETS]; /* of type submission_t */
} entry_t;

/* Bucket as stored when it was last checked. */
typedef struct stored_bucket_s {
	uint64_t key_revision;
	uint32_t epoch;
	uint64_t epoch_owner;
	uint64_t owner;
} stored_bucket_t;

typedef struct walk_s {
	kv_walk_t kv;
	int mutant; /* gn_member_bucket_mutant_t or MUTANT_TAKE_LIVE */
	entry_t entries[ENTRIES];
	stored_bucket_t stored_buckets[BUCKETS];
	uint64_t last_incarnation;
	GPtrArray *submissions;
} walk_t;

/* Fault planted by the test itself: acquires buckets of live owners. */
#define MUTANT_TAKE_LIVE GN_MEMBER_BUCKET_MUTANT_COUNT

static const gn_batch_params_t batch_params = {
	.promise_us = GN_US_PER_S,
	.drift_us = 100 * GN_US_PER_MS,
	.retention_us = 24ULL * 3600 * GN_US_PER_S,
	.queue = { .ageing_step_us = 60 * GN_US_PER_S,
		   .backoff_min_us = GN_US_PER_S,
		   .backoff_max_us = 60 * GN_US_PER_S },
};

static const gn_promise_params_t promise_params = {
	.renew_us = 1500 * GN_US_PER_MS,
	.confirm_us = 200 * GN_US_PER_MS,
	.promise_us = GN_US_PER_S,
	.drift_us = 100 * GN_US_PER_MS,
	.outage_max_us = 60 * GN_US_PER_S,
	.rate_ppm = 500,
};

/* ======   Checks   ====== */

static bool is_member(walk_t *walk, uint64_t incarnation)
{
	const kv_item_t *item = kv_state_find(walk->kv.state, GN_RECORD_KEY);
	gn_record_doc_t *doc = g_new(gn_record_doc_t, 1);
	bool found = false;

	if (item) {
		g_assert_cmpint(gn_record_doc_decode(kv_item_value(item), doc),
				==, GN_OK);
		found = gn_record_doc_find(doc, incarnation) <
			doc->member_count;
	}
	g_free(doc);
	return found;
}

static bool holds_task(const gn_batch_value_t *value, const submission_t *task)
{
	for (size_t i = 0; i < value->task_count; i++)
		if (value->tasks[i]->id == task->id &&
		    !strcmp(value->tasks[i]->key, task->key))
			return true;
	return false;
}

static void check_durable_tasks(walk_t *walk, unsigned index,
				const gn_batch_value_t *value)
{
	for (guint i = 0; i < walk->submissions->len; i++) {
		const submission_t *task = walk->submissions->pdata[i];

		if (task->is_reported && task->bucket == index &&
		    !holds_task(value, task))
			kv_walk_violate(&walk->kv,
					"a task reported durable is gone");
	}
}

static void check_owner(walk_t *walk, unsigned index,
			const gn_batch_value_t *value)
{
	stored_bucket_t *stored = &walk->stored_buckets[index];

	if (value->owner_epoch < stored->epoch)
		kv_walk_violate(&walk->kv, "the owner's epoch decreased");
	if (value->owner_epoch == stored->epoch && value->owner &&
	    value->owner != stored->epoch_owner)
		kv_walk_violate(&walk->kv, "an epoch has two owners");
	if (stored->owner && value->owner && value->owner != stored->owner) {
		walk->kv.counts[TAKEOVERS]++;
		if (is_member(walk, stored->owner))
			kv_walk_violate(&walk->kv,
					"acquired from a current member");
	}
	walk->kv.counts[RELEASES] += stored->owner && !value->owner;
	stored->epoch = value->owner_epoch;
	if (value->owner)
		stored->epoch_owner = value->owner;
	stored->owner = value->owner;
}

static void check_item(walk_t *walk, unsigned index, const kv_item_t *item)
{
	gn_batch_value_t *value;

	g_assert_cmpint(gn_batch_codec_decode(NULL, kv_item_value(item),
					      gn_clock_now_us(&walk->kv.clock),
					      &value, NULL),
			==, GN_OK);
	if (item->revision != walk->stored_buckets[index].key_revision)
		check_owner(walk, index, value);
	walk->stored_buckets[index].key_revision = item->revision;
	check_durable_tasks(walk, index, value);
	talloc_free(value);
}

/*
 * Checks the stored value of a bucket if it has changed or if one of its tasks
 * was just reported durable.
 */
static void check_stored(walk_t *walk, unsigned index, bool is_reported)
{
	g_autofree char *key =
		g_strdup_printf(GN_MEMBER_BUCKET_PREFIX "%03u", index);
	const kv_item_t *item = kv_state_find(walk->kv.state, key);

	if (item &&
	    (is_reported ||
	     item->revision != walk->stored_buckets[index].key_revision))
		check_item(walk, index, item);
}

/* ======   Callbacks   ====== */

static bool is_wanted(void *context, unsigned index)
{
	const entry_t *entry = context;
	const gn_record_doc_t *doc = gn_record_adopted(entry->record);
	const gn_record_member_t *owner =
		doc ? gn_member_bucket_owner(doc, index) : NULL;

	return owner && owner->incarnation == entry->incarnation &&
	       gn_record_state(entry->record) == GN_RECORD_MEMBER;
}

static bool has_always_left(void *context, uint64_t incarnation,
			    uint64_t revision)
{
	(void)context;
	(void)incarnation;
	(void)revision;
	return true;
}

static gn_batch_bucket_t *open_bucket(void *context, TALLOC_CTX *parent,
				      unsigned index, gn_str_t value,
				      uint64_t revision)
{
	static gn_batch_gate_ops_t faulty_ops;
	entry_t *entry = context;
	gn_batch_gate_t gate = gn_promise_gate(entry->promise);
	gn_batch_bucket_t *bucket;
	gn_error_t error;

	if (entry->walk->mutant == MUTANT_TAKE_LIVE) {
		faulty_ops = *gate.ops;
		faulty_ops.has_left = has_always_left;
		gate.ops = &faulty_ops;
	}
	if (gn_batch_bucket_create(parent, index, entry->incarnation, value,
				   revision, &batch_params, gate,
				   &entry->walk->kv.clock, entry->walk->kv.rand,
				   &bucket, &error) != GN_OK)
		return NULL;
	return bucket;
}

static void on_answer(void *context, unsigned index, gn_batch_bucket_t *bucket)
{
	entry_t *entry = context;
	GPtrArray *unreported = entry->unreported[index];

	while (unreported->len) {
		submission_t *task = unreported->pdata[0];

		if (!gn_batch_bucket_is_durable(bucket, task->seq))
			return;
		task->is_reported = true;
		entry->walk->kv.counts[DURABLE]++;
		g_ptr_array_remove_index(unreported, 0);
		check_stored(entry->walk, index, true);
	}
}

static void on_drop(void *context, unsigned index, gn_batch_bucket_t *bucket)
{
	entry_t *entry = context;

	(void)bucket;
	g_ptr_array_set_size(entry->unreported[index], 0);
}

static void on_adopt(void *context, const gn_record_doc_t *doc)
{
	entry_t *entry = context;
	gn_promise_member_t members[GN_RECORD_MEMBERS_MAX];

	for (size_t i = 0; i < doc->member_count; i++) {
		members[i].incarnation = doc->members[i].incarnation;
		members[i].joined = doc->members[i].joined;
	}
	gn_promise_adopt(entry->promise, doc->revision, members,
			 doc->member_count);
}

static void on_renewed(void *context, uint64_t sent_us)
{
	entry_t *entry = context;

	gn_promise_on_renewed(entry->promise, sent_us);
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
					on_renewed,
					entry };

	entry->incarnation = options.incarnation;
	entry->promise = gn_promise_create(NULL, &promise_params,
					   &walk->kv.clock, entry->incarnation);
	entry->record = gn_record_create(NULL, &options);
	g_assert_nonnull(entry->promise);
	g_assert_nonnull(entry->record);
}

static void end_entry(entry_t *entry)
{
	for (unsigned b = 0; b < BUCKETS; b++)
		gn_member_bucket_drop(entry->holders[b]);
	gn_record_free(entry->record);
	talloc_free(entry->promise);
}

static void restart_entry(walk_t *walk, entry_t *entry)
{
	walk->kv.counts[RESTARTS]++;
	end_entry(entry);
	fake_kv_crash(entry->fake);
	start_entry(walk, entry);
}

static void submit(walk_t *walk, entry_t *entry, unsigned index)
{
	gn_batch_bucket_t *bucket =
		gn_member_bucket_owned(entry->holders[index]);
	submission_t *task = g_new0(submission_t, 1);
	gn_task_request_t request = { .work_class = GN_CLASS_BATCH,
				      .team = GN_STR("t"),
				      .kind = GN_STR("k"),
				      .service = GN_STR("s"),
				      .cores = 1 };
	gn_task_reason_t reason;

	g_ptr_array_add(walk->submissions, task);
	g_snprintf(task->key, sizeof(task->key), "task-%u",
		   walk->submissions->len);
	task->bucket = index;
	request.key = gn_str_from(task->key);
	if (!bucket || gn_batch_bucket_submit(bucket, &request, &task->id,
					      &task->seq, &reason) != GN_OK)
		return;
	g_ptr_array_add(entry->unreported[index], task);
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
	if (gn_walk_draw(walk->kv.rand, 0.001))
		restart_entry(walk, entry);
	if (gn_walk_draw(walk->kv.rand, 0.001))
		gn_record_leave(entry->record);
	if (gn_walk_draw(walk->kv.rand, 0.05))
		submit(walk, entry,
		       (unsigned)g_rand_int_range(walk->kv.rand, 0, BUCKETS));
}

static void step_entry(void *context, unsigned client)
{
	walk_t *walk = context;
	entry_t *entry = &walk->entries[client];

	if (!fake_kv_faults(entry->fake)->frozen) {
		gn_record_tick(entry->record);
		if (gn_record_state(entry->record) == GN_RECORD_GONE)
			restart_entry(walk, entry);
		for (unsigned b = 0; b < BUCKETS; b++)
			gn_member_bucket_tick(entry->holders[b]);
	}
	fake_kv_run(entry->fake);
	for (unsigned b = 0; b < BUCKETS; b++)
		check_stored(walk, b, false);
}

/* Counts the steps after which several entries believe to own a bucket. */
static void count_double_owners(void *context)
{
	walk_t *walk = context;

	for (unsigned b = 0; b < BUCKETS; b++) {
		unsigned owners = 0;

		for (int h = 0; h < ENTRIES; h++)
			owners += gn_member_bucket_owned(
					  walk->entries[h].holders[b]) != NULL;
		walk->kv.counts[DOUBLE_OWNERS] += owners > 1;
	}
}

static void open_entry(walk_t *walk, entry_t *entry)
{
	static const gn_member_bucket_ops_t ops = { is_wanted, open_bucket,
						    on_answer, on_drop };
	gn_member_bucket_options_t options = {
		NULL, &walk->kv.clock, 0, 100, 300, &ops, entry
	};

	entry->walk = walk;
	entry->fake = kv_walk_connect(&walk->kv);
	options.kv = fake_kv_client(entry->fake);
	for (unsigned b = 0; b < BUCKETS; b++) {
		options.index = b;
		entry->unreported[b] = g_ptr_array_new();
		entry->holders[b] = gn_member_bucket_create(NULL, &options);
		g_assert_nonnull(entry->holders[b]);
		if (walk->mutant != MUTANT_TAKE_LIVE)
			gn_member_bucket_set_mutant(
				entry->holders[b],
				(gn_member_bucket_mutant_t)walk->mutant);
	}
	start_entry(walk, entry);
}

static void walk_open(void *context, unsigned mutant)
{
	walk_t *walk = context;

	walk->mutant = (int)mutant;
	walk->submissions = g_ptr_array_new_with_free_func(g_free);
	for (int h = 0; h < ENTRIES; h++)
		open_entry(walk, &walk->entries[h]);
}

static void walk_close(void *context)
{
	walk_t *walk = context;

	for (int h = 0; h < ENTRIES; h++) {
		entry_t *entry = &walk->entries[h];

		end_entry(entry);
		for (unsigned b = 0; b < BUCKETS; b++) {
			gn_member_bucket_free(entry->holders[b]);
			g_ptr_array_unref(entry->unreported[b]);
		}
	}
	g_ptr_array_unref(walk->submissions);
}

/* After the steps without faults the selected entry must own each bucket. */
static void check_owners(void *context)
{
	walk_t *walk = context;
	for (unsigned b = 0; b < BUCKETS; b++) {
		for (int h = 0; h < ENTRIES; h++) {
			entry_t *entry = &walk->entries[h];
			bool is_owned = gn_member_bucket_owned(
						entry->holders[b]) != NULL;

			if (is_owned != is_wanted(entry, b))
				kv_walk_violate(
					&walk->kv,
					"the selected entry does not own its bucket");
		}
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
		.check_step = count_double_owners,
		.check_end = check_owners,
		.close = walk_close,
	};

	return kv_walk_run(&spec, seed, mutant, counts);
}

/* Members get even shares; a removal moves only the removed one's buckets. */
static void test_rendezvous(void)
{
	gn_record_doc_t *doc = g_new0(gn_record_doc_t, 1);
	gn_record_doc_t *without_member = g_new0(gn_record_doc_t, 1);
	unsigned shares[10] = { 0 };

	for (uint64_t i = 0; i < G_N_ELEMENTS(shares); i++) {
		gn_record_member_t member = { 100 + i, "e", "127.0.0.1:1", 0,
					      0 };

		g_assert_cmpint(gn_record_doc_add(doc, &member), ==, GN_OK);
	}
	*without_member = *doc;
	gn_record_doc_remove(without_member, 4);
	for (unsigned b = 0; b <= GN_MEMBER_BUCKET_MAX; b++) {
		uint64_t owner = gn_member_bucket_owner(doc, b)->incarnation;

		shares[owner - 100]++;
		if (owner != 104)
			g_assert_cmpuint(
				gn_member_bucket_owner(without_member, b)
					->incarnation,
				==, owner);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(shares); i++) {
		g_assert_cmpuint(shares[i], >, 60);
		g_assert_cmpuint(shares[i], <, 140);
	}
	doc->member_count = 0;
	g_assert_null(gn_member_bucket_owner(doc, 0));
	g_free(doc);
	g_free(without_member);
}

int main(int argc, char **argv)
{
	static const gn_walk_count_t counts[COUNTS] = {
		KV_WALK_COUNT_NAMES,
		[DURABLE] = { "task reported durable", GN_WALK_EACH },
		[TAKEOVERS] = { "takeover", GN_WALK_EACH },
		[RELEASES] = { "release", GN_WALK_SOME },
		[DOUBLE_OWNERS] = { "bucket with two assumed owners",
				    GN_WALK_SOME },
		[RESTARTS] = { "restart", GN_WALK_SOME },
	};
	static const gn_walk_mutant_t mutants[MUTANT_TAKE_LIVE + 1] = {
		[GN_MEMBER_BUCKET_MUTANT_IGNORE_CONFLICT] = { .name = "ignore-conflict" },
		[GN_MEMBER_BUCKET_MUTANT_ASSUME_WRITTEN] = { .name = "assume-written" },
		[GN_MEMBER_BUCKET_MUTANT_KEEP] = { .name = "keep" },
		[MUTANT_TAKE_LIVE] = { .name = "take-live" },
	};
	static const gn_walk_plan_t plan = {
		.path = "/record/bucket",
		.walks = 40,
		.mutant_walks = 200,
		.counts = counts,
		.count_count = COUNTS,
		.mutants = mutants,
		.mutant_count = MUTANT_TAKE_LIVE + 1,
		.run = run,
	};

	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/record/bucket/rendezvous", test_rendezvous);
	gn_walk_add(&plan);
	return g_test_run();
}
