#include <glib.h>

#include "common/str.h"
#include "lead/lead.h"
#include "ledger/ledger.h"
#include "support/fake_kv.h"
#include "support/sched_rig.h"

#define MEMBERS 3
#define TTL_MS 1000
#define STEP_MS 10

/** A scheduler as far as leadership goes. */
typedef struct member_s {
	fake_kv_t *fake;
	gn_lead_t *lead;
	GRand *rand;
	uint64_t epoch; /* 0: does not lead */
	unsigned elected;
} member_t;

typedef struct rig_s {
	kv_state_t *state;
	gn_clock_t clock;
	member_t members[MEMBERS];
} rig_t;

static void on_elected(void *arg, uint64_t epoch)
{
	member_t *member = arg;

	member->epoch = epoch;
	member->elected++;
}

static void on_deposed(void *arg, const char *why)
{
	member_t *member = arg;

	g_assert_nonnull(why);
	member->epoch = 0;
}

static const gn_lead_ops_t lead_ops = { on_elected, on_deposed };

static void open_member(rig_t *rig, unsigned number)
{
	static const char *const addresses[MEMBERS] = { "10.0.0.1:1",
							"10.0.0.2:1",
							"10.0.0.3:1" };
	member_t *member = &rig->members[number];
	gn_lead_options_t options = { .clock = &rig->clock,
				      .incarnation = 100 + number,
				      .address = addresses[number],
				      .ttl_ms = TTL_MS,
				      .ops = &lead_ops,
				      .arg = member };

	member->fake = fake_kv_create(rig->state, &rig->clock, number + 1);
	member->rand = g_rand_new_with_seed(number + 7);
	options.kv = fake_kv_client(member->fake);
	options.rand = member->rand;
	member->lead = gn_lead_create(NULL, &options);
	g_assert_nonnull(member->lead);
}

static void rig_start(rig_t *rig)
{
	rig->state = kv_state_create();
	gn_clock_init_paused(&rig->clock, 1000 * GN_US_PER_S);
	for (unsigned i = 0; i < MEMBERS; i++)
		open_member(rig, i);
}

static void rig_end(rig_t *rig)
{
	for (unsigned i = 0; i < MEMBERS; i++) {
		member_t *member = &rig->members[i];

		talloc_free(member->lead);
		fake_kv_free(member->fake);
		g_rand_free(member->rand);
	}
	kv_state_free(rig->state);
}

static void run_ms(rig_t *rig, unsigned ms)
{
	for (unsigned at = 0; at < ms; at += STEP_MS) {
		gn_clock_advance(&rig->clock, STEP_MS * GN_US_PER_MS);
		kv_state_expire(rig->state, gn_clock_now_us(&rig->clock));
		for (unsigned i = 0; i < MEMBERS; i++) {
			fake_kv_run(rig->members[i].fake);
			if (!fake_kv_faults(rig->members[i].fake)->frozen)
				gn_lead_tick(rig->members[i].lead);
		}
	}
}

static member_t *find_leader(rig_t *rig)
{
	member_t *leader = NULL;

	for (unsigned i = 0; i < MEMBERS; i++) {
		if (!gn_lead_is_leader(rig->members[i].lead))
			continue;
		g_assert_null(leader);
		leader = &rig->members[i];
	}
	return leader;
}

static void test_one_leads_and_all_know(void)
{
	rig_t rig = { 0 };
	member_t *leader;

	rig_start(&rig);
	run_ms(&rig, 500);
	leader = find_leader(&rig);
	g_assert_nonnull(leader);
	for (unsigned i = 0; i < MEMBERS; i++)
		g_assert_cmpstr(gn_lead_address(rig.members[i].lead), ==,
				gn_lead_address(leader->lead));
	run_ms(&rig, 10000);
	g_assert_true(find_leader(&rig) == leader);
	g_assert_cmpuint(leader->elected, ==, 1);
	rig_end(&rig);
}

static void test_dead_leader_is_replaced(void)
{
	rig_t rig = { 0 };
	member_t *leader;
	uint64_t epoch;

	rig_start(&rig);
	run_ms(&rig, 500);
	leader = find_leader(&rig);
	epoch = leader->epoch;
	fake_kv_crash(leader->fake);
	fake_kv_faults(leader->fake)->frozen = true;
	fake_kv_faults(leader->fake)->cut = true;
	run_ms(&rig, TTL_MS + 500);
	for (unsigned i = 0; i < MEMBERS; i++)
		if (&rig.members[i] != leader && rig.members[i].epoch)
			epoch = 0;
	g_assert_cmpuint(epoch, ==, 0);
	rig_end(&rig);
}

/*
 * Seen on graenbylgja, scale-2: a leader that had been cut off took the key
 * back from its successor when it returned.
 */
static void test_returning_leader_follows(void)
{
	rig_t rig = { 0 };
	member_t *old;
	member_t *successor;

	rig_start(&rig);
	run_ms(&rig, 500);
	old = find_leader(&rig);
	fake_kv_faults(old->fake)->cut = true;
	run_ms(&rig, 6000);
	fake_kv_faults(old->fake)->cut = false;
	run_ms(&rig, 5000);
	successor = find_leader(&rig);
	g_assert_nonnull(successor);
	g_assert_true(successor != old);
	g_assert_cmpuint(successor->elected, ==, 1);
	g_assert_cmpuint(old->elected, ==, 1);
	rig_end(&rig);
}

/* An outage in which leases pause leaves the leader where it is. */
static void test_outage_deposes_nobody(void)
{
	rig_t rig = { 0 };
	member_t *leader;

	rig_start(&rig);
	run_ms(&rig, 500);
	leader = find_leader(&rig);
	kv_state_freeze_leases(rig.state, true);
	for (unsigned i = 0; i < MEMBERS; i++)
		fake_kv_faults(rig.members[i].fake)->down = true;
	run_ms(&rig, 4500);
	g_assert_true(gn_lead_is_leader(leader->lead));
	for (unsigned i = 0; i < MEMBERS; i++)
		fake_kv_faults(rig.members[i].fake)->down = false;
	run_ms(&rig, 500);
	kv_state_freeze_leases(rig.state, false);
	run_ms(&rig, 2000);
	g_assert_true(find_leader(&rig) == leader);
	rig_end(&rig);
}

static void test_resigned_leader_is_replaced_at_once(void)
{
	rig_t rig = { 0 };
	member_t *leader;

	rig_start(&rig);
	run_ms(&rig, 500);
	leader = find_leader(&rig);
	leader->epoch = 0;
	gn_lead_resign(leader->lead);
	run_ms(&rig, 200);
	g_assert_nonnull(find_leader(&rig));
	g_assert_true(find_leader(&rig) != leader);
	g_assert_cmpstr(gn_lead_address(leader->lead), ==,
			gn_lead_address(find_leader(&rig)->lead));
	rig_end(&rig);
}

/* ======   The chain   ====== */

/** A leader's ledger over a store with faults. */
typedef struct chain_s {
	sched_rig_t sched;
	kv_state_t *state;
	fake_kv_t *fake;
	GRand *rand;
	gn_ledger_t *ledger;
	unsigned batches;
	bool superseded;
} chain_t;

static void on_stored(void *arg, uint64_t sent_us, size_t writes)
{
	chain_t *chain = arg;

	g_assert_cmpuint(sent_us, >, 0);
	g_assert_cmpuint(writes, >, 0);
	chain->batches++;
}

static void on_superseded(void *arg)
{
	((chain_t *)arg)->superseded = true;
}

static const gn_ledger_ops_t ledger_ops = { on_stored, on_superseded };

static void chain_open(chain_t *chain)
{
	gn_kv_put_t put = { .key = GN_STR(GN_LEAD_CHAIN_KEY),
			    .value = GN_STR("taken") };
	gn_kv_txn_t txn = { .puts = &put, .put_count = 1 };
	gn_ledger_options_t options = { .ops = &ledger_ops, .arg = chain };
	kv_answer_t answer;

	rig_open(&chain->sched);
	chain->state = kv_state_create();
	kv_answer_init(&answer);
	kv_state_txn(chain->state, 1, &txn, &answer);
	chain->fake = fake_kv_create(chain->state, &chain->sched.clock, 3);
	chain->rand = g_rand_new_with_seed(3);
	options.kv = fake_kv_client(chain->fake);
	options.clock = &chain->sched.clock;
	options.rand = chain->rand;
	options.sched = chain->sched.sched;
	options.epoch = answer.revision;
	options.incarnation = 42;
	kv_answer_clear(&answer);
	chain->ledger = gn_ledger_create(NULL, &options);
}

static void chain_close(chain_t *chain)
{
	gn_ledger_free(chain->ledger);
	fake_kv_free(chain->fake);
	g_rand_free(chain->rand);
	kv_state_free(chain->state);
	rig_close(&chain->sched);
}

static void chain_run_ms(chain_t *chain, unsigned ms)
{
	for (unsigned at = 0; at < ms && !chain->superseded; at += STEP_MS) {
		gn_clock_advance(&chain->sched.clock, STEP_MS * GN_US_PER_MS);
		fake_kv_run(chain->fake);
		if (!chain->superseded)
			gn_ledger_kick(chain->ledger);
	}
}

static void submit(chain_t *chain, unsigned number)
{
	const rig_step_t step = { .count = 1, .cpu_milli = 100 };
	char id[GN_JOB_ID_LEN + 1];

	g_snprintf(id, sizeof(id), "%016x", number);
	rig_submit(&chain->sched, id, "quick", &step, 1);
}

static bool has_key(const chain_t *chain, const char *prefix, unsigned number)
{
	g_autofree char *key = g_strdup_printf("%s%016x", prefix, number);

	return kv_state_find(chain->state, key) != NULL;
}

static void test_batch_holds_what_came_meanwhile(void)
{
	chain_t chain = { 0 };

	chain_open(&chain);
	submit(&chain, 1);
	gn_ledger_kick(chain.ledger);
	for (unsigned i = 2; i < 10; i++)
		submit(&chain, i);
	chain_run_ms(&chain, 100);
	g_assert_cmpuint(chain.batches, ==, 2);
	g_assert_true(gn_ledger_is_idle(chain.ledger));
	for (unsigned i = 1; i < 10; i++) {
		g_assert_true(has_key(&chain, GN_LEDGER_SPEC_PREFIX, i));
		g_assert_true(has_key(&chain, GN_LEDGER_STATE_PREFIX, i));
	}
	chain_close(&chain);
}

/* The copy that is sent again meets the one that took effect. */
static void test_lost_answer_is_found_again(void)
{
	chain_t chain = { 0 };

	chain_open(&chain);
	fake_kv_faults(chain.fake)->lose_answer = 1;
	submit(&chain, 1);
	chain_run_ms(&chain, 1000);
	g_assert_true(has_key(&chain, GN_LEDGER_STATE_PREFIX, 1));
	g_assert_cmpuint(chain.batches, ==, 0);
	fake_kv_faults(chain.fake)->lose_answer = 0;
	chain_run_ms(&chain, 3000);
	g_assert_cmpuint(chain.batches, ==, 1);
	g_assert_false(chain.superseded);
	submit(&chain, 2);
	chain_run_ms(&chain, 100);
	g_assert_cmpuint(chain.batches, ==, 2);
	chain_close(&chain);
}

static void test_nothing_of_a_deposed_leader_takes_effect(void)
{
	chain_t chain = { 0 };
	gn_kv_put_t put = { .key = GN_STR(GN_LEAD_CHAIN_KEY),
			    .value = GN_STR("another") };
	gn_kv_txn_t txn = { .puts = &put, .put_count = 1 };
	kv_answer_t answer;

	chain_open(&chain);
	kv_answer_init(&answer);
	kv_state_txn(chain.state, 1, &txn, &answer);
	kv_answer_clear(&answer);
	submit(&chain, 1);
	chain_run_ms(&chain, 100);
	g_assert_true(chain.superseded);
	g_assert_false(has_key(&chain, GN_LEDGER_STATE_PREFIX, 1));
	chain_close(&chain);
}

/* Jobs are stored in order and at most once under all faults together. */
static void test_walk(void)
{
	for (guint32 seed = 1; seed <= 50; seed++) {
		chain_t chain = { 0 };
		fake_kv_faults_t *faults;

		chain_open(&chain);
		faults = fake_kv_faults(chain.fake);
		faults->delay_max_us = 40 * GN_US_PER_MS;
		faults->timeout_us = 200 * GN_US_PER_MS;
		faults->late = 0.2;
		faults->lose_answer = 0.2;
		faults->drop_request = 0.1;
		g_rand_set_seed(chain.rand, seed);
		for (unsigned i = 1; i < 40; i++) {
			submit(&chain, i);
			chain_run_ms(&chain, 30);
		}
		faults->late = faults->lose_answer = faults->drop_request = 0;
		chain_run_ms(&chain, 3000);
		g_assert_false(chain.superseded);
		g_assert_true(gn_ledger_is_idle(chain.ledger));
		for (unsigned i = 1; i < 40; i++)
			g_assert_true(
				has_key(&chain, GN_LEDGER_STATE_PREFIX, i));
		chain_close(&chain);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/lead/one_leads_and_all_know",
			test_one_leads_and_all_know);
	g_test_add_func("/lead/dead_leader_is_replaced",
			test_dead_leader_is_replaced);
	g_test_add_func("/lead/returning_leader_follows",
			test_returning_leader_follows);
	g_test_add_func("/lead/outage_deposes_nobody",
			test_outage_deposes_nobody);
	g_test_add_func("/lead/resigned_leader_is_replaced_at_once",
			test_resigned_leader_is_replaced_at_once);
	g_test_add_func("/ledger/batch_holds_what_came_meanwhile",
			test_batch_holds_what_came_meanwhile);
	g_test_add_func("/ledger/lost_answer_is_found_again",
			test_lost_answer_is_found_again);
	g_test_add_func("/ledger/nothing_of_a_deposed_leader_takes_effect",
			test_nothing_of_a_deposed_leader_takes_effect);
	g_test_add_func("/ledger/walk", test_walk);
	return g_test_run();
}
