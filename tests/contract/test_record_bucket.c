/*
 * Seeded walks over the ownership of buckets: entries die, freeze beyond their
 * lease, are replaced and told to stop, while calls are lost, late and refused.
 * After each step the promises are checked against what the service holds:
 * one owner for each epoch, epochs only rise, a bucket is taken from an entry
 * only once that has left the record, and what was told durable stays.
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
/** Steps without faults at the end: 30 s. */
#define QUIET_STEPS 1500
#define KEY_SIZE 24

enum {
	TOLD = KV_WALK_COUNT,
	TAKEOVERS,
	HANDOVERS,
	DOUBLES,
	RESTARTS,
	COUNTS,
};

/* A task that was submitted; told once its bucket calls it durable. */
typedef struct submission_s {
	char key[KEY_SIZE];
	unsigned bucket;
	uint64_t id;
	uint64_t seq;
	bool is_told;
} submission_t;

typedef struct host_s {
	struct walk_s *walk;
	fake_kv_t *fake;
	gn_record_t *record;
	gn_promise_t *promise;
	uint64_t incarnation;
	gn_member_bucket_t *holders[BUCKETS];
	GPtrArray *waiting[BUCKETS]; /* submission_t */
} host_t;

/* A bucket as last observed. */
typedef struct truth_s {
	uint64_t key_revision;
	uint32_t epoch;
	uint64_t epoch_owner;
	uint64_t owner;
} truth_t;

typedef struct walk_s {
	kv_walk_t kv;
	int mutant; /* gn_member_bucket_mutant_t, or TAKE_LIVE */
	host_t hosts[ENTRIES];
	truth_t truths[BUCKETS];
	uint64_t last_incarnation;
	GPtrArray *submissions;
} walk_t;

/* The walk's own planted fault: owners that live are taken from. */
#define MUTANT_TAKE_LIVE GN_MEMBER_BUCKET_MUTANT_COUNT

static const gn_batch_params_t batch_params = {
	.promise_us = GN_US_PER_S,
	.drift_us = 100 * GN_US_PER_MS,
	.retention_us = 24ULL * 3600 * GN_US_PER_S,
	.order = { .ageing_step_us = 60 * GN_US_PER_S,
		   .backoff_least_us = GN_US_PER_S,
		   .backoff_most_us = 60 * GN_US_PER_S },
};

static const gn_promise_params_t promise_params = {
	.renew_us = 1500 * GN_US_PER_MS,
	.confirm_us = 200 * GN_US_PER_MS,
	.promise_us = GN_US_PER_S,
	.drift_us = 100 * GN_US_PER_MS,
	.dark_us = 60 * GN_US_PER_S,
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

static void check_told(walk_t *walk, unsigned index,
		       const gn_batch_value_t *value)
{
	for (guint i = 0; i < walk->submissions->len; i++) {
		const submission_t *task = walk->submissions->pdata[i];

		if (task->is_told && task->bucket == index &&
		    !holds_task(value, task))
			kv_walk_violate(&walk->kv,
					"a task that was told durable is gone");
	}
}

static void check_owner(walk_t *walk, unsigned index,
			const gn_batch_value_t *value)
{
	truth_t *truth = &walk->truths[index];

	if (value->owner_epoch < truth->epoch)
		kv_walk_violate(&walk->kv, "the owner's epoch went back");
	if (value->owner_epoch == truth->epoch && value->owner &&
	    value->owner != truth->epoch_owner)
		kv_walk_violate(&walk->kv, "an epoch has two owners");
	if (truth->owner && value->owner && value->owner != truth->owner) {
		walk->kv.counts[TAKEOVERS]++;
		if (is_member(walk, truth->owner))
			kv_walk_violate(&walk->kv,
					"taken from a member of the record");
	}
	walk->kv.counts[HANDOVERS] += truth->owner && !value->owner;
	truth->epoch = value->owner_epoch;
	if (value->owner)
		truth->epoch_owner = value->owner;
	truth->owner = value->owner;
}

static void check_item(walk_t *walk, unsigned index, const kv_item_t *item)
{
	gn_batch_value_t *value;

	g_assert_cmpint(gn_batch_codec_decode(NULL, kv_item_value(item),
					      gn_clock_now_us(&walk->kv.clock),
					      &value, NULL),
			==, GN_OK);
	if (item->revision != walk->truths[index].key_revision)
		check_owner(walk, index, value);
	walk->truths[index].key_revision = item->revision;
	check_told(walk, index, value);
	talloc_free(value);
}

/*
 * Looks at what the service holds of a bucket, and checks it if it is new or
 * if something was just told of it.
 */
static void observe(walk_t *walk, unsigned index, bool is_told)
{
	g_autofree char *key =
		g_strdup_printf(GN_MEMBER_BUCKET_PREFIX "%03u", index);
	const kv_item_t *item = kv_state_find(walk->kv.state, key);

	if (item &&
	    (is_told || item->revision != walk->truths[index].key_revision))
		check_item(walk, index, item);
}

/* ======   The product's callbacks   ====== */

static bool is_wanted(void *context, unsigned index)
{
	const host_t *host = context;
	const gn_record_doc_t *doc = gn_record_adopted(host->record);
	const gn_record_member_t *owner =
		doc ? gn_member_bucket_owner(doc, index) : NULL;

	return owner && owner->incarnation == host->incarnation &&
	       gn_record_standing(host->record) == GN_RECORD_MEMBER;
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
	static gn_batch_gate_ops_t reckless;
	host_t *host = context;
	gn_batch_gate_t gate = gn_promise_gate(host->promise);
	gn_batch_bucket_t *bucket;
	gn_error_t error;

	if (host->walk->mutant == MUTANT_TAKE_LIVE) {
		reckless = *gate.ops;
		reckless.has_left = has_always_left;
		gate.ops = &reckless;
	}
	if (gn_batch_bucket_create(parent, index, host->incarnation, value,
				   revision, &batch_params, gate,
				   &host->walk->kv.clock, host->walk->kv.rand,
				   &bucket, &error) != GN_OK)
		return NULL;
	return bucket;
}

static void take_answer(void *context, unsigned index,
			gn_batch_bucket_t *bucket)
{
	host_t *host = context;
	GPtrArray *waiting = host->waiting[index];

	while (waiting->len) {
		submission_t *task = waiting->pdata[0];

		if (!gn_batch_bucket_is_durable(bucket, task->seq))
			return;
		task->is_told = true;
		host->walk->kv.counts[TOLD]++;
		g_ptr_array_remove_index(waiting, 0);
		observe(host->walk, index, true);
	}
}

static void take_drop(void *context, unsigned index, gn_batch_bucket_t *bucket)
{
	host_t *host = context;

	(void)bucket;
	g_ptr_array_set_size(host->waiting[index], 0);
}

static void take_adopted(void *context, const gn_record_doc_t *doc)
{
	host_t *host = context;
	gn_promise_member_t members[GN_RECORD_MEMBERS_MAX];

	for (size_t i = 0; i < doc->member_count; i++) {
		members[i].incarnation = doc->members[i].incarnation;
		members[i].joined = doc->members[i].joined;
	}
	gn_promise_adopt(host->promise, doc->revision, members,
			 doc->member_count);
}

static void take_renewed(void *context, uint64_t sent_us)
{
	host_t *host = context;

	gn_promise_on_renewed(host->promise, sent_us);
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
					take_renewed,
					host };

	host->incarnation = options.incarnation;
	host->promise = gn_promise_create(NULL, &promise_params,
					  &walk->kv.clock, host->incarnation);
	host->record = gn_record_create(NULL, &options);
	g_assert_nonnull(host->promise);
	g_assert_nonnull(host->record);
}

static void end_entry(host_t *host)
{
	for (unsigned b = 0; b < BUCKETS; b++)
		gn_member_bucket_drop(host->holders[b]);
	gn_record_free(host->record);
	talloc_free(host->promise);
}

static void restart(walk_t *walk, host_t *host)
{
	walk->kv.counts[RESTARTS]++;
	end_entry(host);
	fake_kv_crash(host->fake);
	start_entry(walk, host);
}

static void submit(walk_t *walk, host_t *host, unsigned index)
{
	gn_batch_bucket_t *bucket =
		gn_member_bucket_owned(host->holders[index]);
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
	g_ptr_array_add(host->waiting[index], task);
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
	if (gn_walk_draw(walk->kv.rand, 0.001))
		restart(walk, host);
	if (gn_walk_draw(walk->kv.rand, 0.001))
		gn_record_leave(host->record);
	if (gn_walk_draw(walk->kv.rand, 0.05))
		submit(walk, host,
		       (unsigned)g_rand_int_range(walk->kv.rand, 0, BUCKETS));
}

static void step_host(void *context, unsigned client)
{
	walk_t *walk = context;
	host_t *host = &walk->hosts[client];

	if (!fake_kv_faults(host->fake)->frozen) {
		gn_record_tick(host->record);
		if (gn_record_standing(host->record) == GN_RECORD_GONE)
			restart(walk, host);
		for (unsigned b = 0; b < BUCKETS; b++)
			gn_member_bucket_tick(host->holders[b]);
	}
	fake_kv_run(host->fake);
	for (unsigned b = 0; b < BUCKETS; b++)
		observe(walk, b, false);
}

/* Counts the moments in which two entries believe they own a bucket. */
static void count_doubles(void *context)
{
	walk_t *walk = context;

	for (unsigned b = 0; b < BUCKETS; b++) {
		unsigned owners = 0;

		for (int h = 0; h < ENTRIES; h++)
			owners += gn_member_bucket_owned(
					  walk->hosts[h].holders[b]) != NULL;
		walk->kv.counts[DOUBLES] += owners > 1;
	}
}

static void open_host(walk_t *walk, host_t *host)
{
	static const gn_member_bucket_ops_t ops = { is_wanted, open_bucket,
						    take_answer, take_drop };
	gn_member_bucket_options_t options = {
		NULL, &walk->kv.clock, 0, 100, 300, &ops, host
	};

	host->walk = walk;
	host->fake = kv_walk_connect(&walk->kv);
	options.kv = fake_kv_client(host->fake);
	for (unsigned b = 0; b < BUCKETS; b++) {
		options.index = b;
		host->waiting[b] = g_ptr_array_new();
		host->holders[b] = gn_member_bucket_create(NULL, &options);
		g_assert_nonnull(host->holders[b]);
		if (walk->mutant != MUTANT_TAKE_LIVE)
			gn_member_bucket_set_mutant(
				host->holders[b],
				(gn_member_bucket_mutant_t)walk->mutant);
	}
	start_entry(walk, host);
}

static void walk_open(void *context, unsigned mutant)
{
	walk_t *walk = context;

	walk->mutant = (int)mutant;
	walk->submissions = g_ptr_array_new_with_free_func(g_free);
	for (int h = 0; h < ENTRIES; h++)
		open_host(walk, &walk->hosts[h]);
}

static void walk_close(void *context)
{
	walk_t *walk = context;

	for (int h = 0; h < ENTRIES; h++) {
		host_t *host = &walk->hosts[h];

		end_entry(host);
		for (unsigned b = 0; b < BUCKETS; b++) {
			gn_member_bucket_free(host->holders[b]);
			g_ptr_array_unref(host->waiting[b]);
		}
	}
	g_ptr_array_unref(walk->submissions);
}

/* After a time without faults each bucket has its rendezvous owner. */
static void check_placement(void *context)
{
	walk_t *walk = context;
	for (unsigned b = 0; b < BUCKETS; b++) {
		for (int h = 0; h < ENTRIES; h++) {
			host_t *host = &walk->hosts[h];
			bool is_owned = gn_member_bucket_owned(
						host->holders[b]) != NULL;

			if (is_owned != is_wanted(host, b))
				kv_walk_violate(
					&walk->kv,
					"a bucket is not with its owner");
		}
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
		.check_round = count_doubles,
		.check_end = check_placement,
		.close = walk_close,
	};

	return kv_walk_run(&shape, seed, mutant, counts);
}

/* Rendezvous: even shares, and only the leaver's buckets move. */
static void test_rendezvous(void)
{
	gn_record_doc_t *doc = g_new0(gn_record_doc_t, 1);
	gn_record_doc_t *less = g_new0(gn_record_doc_t, 1);
	unsigned shares[10] = { 0 };

	for (uint64_t i = 0; i < G_N_ELEMENTS(shares); i++) {
		gn_record_member_t member = { 100 + i, "e", "127.0.0.1:1", 0,
					      0 };

		g_assert_cmpint(gn_record_doc_add(doc, &member), ==, GN_OK);
	}
	*less = *doc;
	gn_record_doc_remove(less, 4);
	for (unsigned b = 0; b <= GN_MEMBER_BUCKET_MAX; b++) {
		uint64_t owner = gn_member_bucket_owner(doc, b)->incarnation;

		shares[owner - 100]++;
		if (owner != 104)
			g_assert_cmpuint(
				gn_member_bucket_owner(less, b)->incarnation,
				==, owner);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(shares); i++) {
		g_assert_cmpuint(shares[i], >, 60);
		g_assert_cmpuint(shares[i], <, 140);
	}
	doc->member_count = 0;
	g_assert_null(gn_member_bucket_owner(doc, 0));
	g_free(doc);
	g_free(less);
}

int main(int argc, char **argv)
{
	static const gn_walk_count_t counts[COUNTS] = {
		KV_WALK_COUNT_NAMES,
		[TOLD] = { "told", GN_WALK_EACH },
		[TAKEOVERS] = { "takeover", GN_WALK_EACH },
		[HANDOVERS] = { "hand-over", GN_WALK_SOME },
		[DOUBLES] = { "step with two believers", GN_WALK_SOME },
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
