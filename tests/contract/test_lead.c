#include <glib.h>

#include "common/str.h"
#include "lead/lead.h"
#include "ledger/ledger.h"
#include "support/fake_kv.h"
#include "support/sched_rig.h"

#define SCHEDULERS 3
#define TTL_MS 1000
#define STEP_MS 10

/** Scheduler, reduced to its part in the leader election. */
typedef struct scheduler_s {
	fake_kv_t *fake;
	gn_lead_t *lead;
	GRand *rand;
	uint64_t epoch; /* 0 if it is not the leader */
	unsigned election_count;
	unsigned malformed_count;
} scheduler_t;

typedef struct rig_s {
	kv_state_t *state;
	gn_clock_t clock;
	scheduler_t schedulers[SCHEDULERS];
} rig_t;

static void on_elected(void *arg, uint64_t epoch)
{
	scheduler_t *scheduler = arg;

	scheduler->epoch = epoch;
	scheduler->election_count++;
}

static void on_deposed(void *arg, const char *why)
{
	scheduler_t *scheduler = arg;

	g_assert_nonnull(why);
	scheduler->epoch = 0;
}

static void on_malformed(void *arg, const char *key)
{
	scheduler_t *scheduler = arg;

	g_assert_cmpstr(key, ==, GN_LEAD_KEY);
	scheduler->malformed_count++;
}

static const gn_lead_ops_t lead_ops = { on_elected, on_deposed, on_malformed };

static void open_scheduler(rig_t *rig, unsigned number)
{
	static const char *const addresses[SCHEDULERS] = { "10.0.0.1:1",
							   "10.0.0.2:1",
							   "10.0.0.3:1" };
	scheduler_t *scheduler = &rig->schedulers[number];
	gn_lead_options_t options = { .clock = &rig->clock,
				      .incarnation = 100 + number,
				      .address = addresses[number],
				      .ttl_ms = TTL_MS,
				      .ops = &lead_ops,
				      .arg = scheduler };

	scheduler->fake = fake_kv_create(rig->state, &rig->clock, number + 1);
	scheduler->rand = g_rand_new_with_seed(number + 7);
	options.kv = fake_kv_client(scheduler->fake);
	options.rand = scheduler->rand;
	scheduler->lead = gn_lead_create(NULL, &options);
	g_assert_nonnull(scheduler->lead);
}

static void rig_open_all(rig_t *rig)
{
	rig->state = kv_state_create();
	gn_clock_init_paused(&rig->clock, 1000 * GN_US_PER_S);
	for (unsigned i = 0; i < SCHEDULERS; i++)
		open_scheduler(rig, i);
}

static void rig_close_all(rig_t *rig)
{
	for (unsigned i = 0; i < SCHEDULERS; i++) {
		scheduler_t *scheduler = &rig->schedulers[i];

		talloc_free(scheduler->lead);
		fake_kv_free(scheduler->fake);
		g_rand_free(scheduler->rand);
	}
	kv_state_free(rig->state);
}

static void run_ms(rig_t *rig, unsigned ms)
{
	for (unsigned at = 0; at < ms; at += STEP_MS) {
		gn_clock_advance(&rig->clock, STEP_MS * GN_US_PER_MS);
		kv_state_expire(rig->state, gn_clock_now_us(&rig->clock));
		for (unsigned i = 0; i < SCHEDULERS; i++) {
			fake_kv_run(rig->schedulers[i].fake);
			if (!fake_kv_faults(rig->schedulers[i].fake)->frozen)
				gn_lead_tick(rig->schedulers[i].lead);
		}
	}
}

static scheduler_t *find_leader(rig_t *rig)
{
	scheduler_t *leader = NULL;

	for (unsigned i = 0; i < SCHEDULERS; i++) {
		if (!gn_lead_is_leader(rig->schedulers[i].lead))
			continue;
		g_assert_null(leader);
		leader = &rig->schedulers[i];
	}
	return leader;
}

static void test_one_leader_known_to_all(void)
{
	rig_t rig = { 0 };
	scheduler_t *leader;

	rig_open_all(&rig);
	run_ms(&rig, 500);
	leader = find_leader(&rig);
	g_assert_nonnull(leader);
	for (unsigned i = 0; i < SCHEDULERS; i++)
		g_assert_cmpstr(gn_lead_address(rig.schedulers[i].lead), ==,
				gn_lead_address(leader->lead));
	run_ms(&rig, 10000);
	g_assert_true(find_leader(&rig) == leader);
	g_assert_cmpuint(leader->election_count, ==, 1);
	rig_close_all(&rig);
}

static void test_dead_leader_is_replaced(void)
{
	rig_t rig = { 0 };
	scheduler_t *leader;
	uint64_t epoch;

	rig_open_all(&rig);
	run_ms(&rig, 500);
	leader = find_leader(&rig);
	epoch = leader->epoch;
	fake_kv_crash(leader->fake);
	fake_kv_faults(leader->fake)->frozen = true;
	fake_kv_faults(leader->fake)->cut = true;
	run_ms(&rig, TTL_MS + 500);
	for (unsigned i = 0; i < SCHEDULERS; i++)
		if (&rig.schedulers[i] != leader && rig.schedulers[i].epoch)
			epoch = 0;
	g_assert_cmpuint(epoch, ==, 0);
	rig_close_all(&rig);
}

/*
 * A former leader whose connection was cut must not take the leader key back
 * from its successor when the connection returns, as happened in scale-2 on
 * graenbylgja.
 */
static void test_returning_leader_follows(void)
{
	rig_t rig = { 0 };
	scheduler_t *deposed;
	scheduler_t *successor;

	rig_open_all(&rig);
	run_ms(&rig, 500);
	deposed = find_leader(&rig);
	fake_kv_faults(deposed->fake)->cut = true;
	run_ms(&rig, 6000);
	fake_kv_faults(deposed->fake)->cut = false;
	run_ms(&rig, 5000);
	successor = find_leader(&rig);
	g_assert_nonnull(successor);
	g_assert_true(successor != deposed);
	g_assert_cmpuint(successor->election_count, ==, 1);
	g_assert_cmpuint(deposed->election_count, ==, 1);
	rig_close_all(&rig);
}

/* An outage of the store that suspends leases must not depose the leader. */
/* A leader must not deny a job that its successor has accepted. */
static void test_stored_batch_extends_the_lease(void)
{
	rig_t rig = { 0 };
	scheduler_t *deposed;
	uint64_t now_us;

	rig_open_all(&rig);
	run_ms(&rig, 500);
	deposed = find_leader(&rig);
	fake_kv_faults(deposed->fake)->cut = true;
	run_ms(&rig, TTL_MS / 2);
	/* The answer to a batch that was stored came before the cut. */
	gn_lead_confirm(deposed->lead, gn_clock_now_us(&rig.clock));
	run_ms(&rig, TTL_MS);
	now_us = gn_clock_now_us(&rig.clock);
	g_assert_cmpuint(now_us - gn_lead_confirmed_us(deposed->lead), <=,
			 TTL_MS * GN_US_PER_MS);
	g_assert_cmpuint(now_us - gn_lead_renewed_us(deposed->lead), >,
			 TTL_MS * GN_US_PER_MS);
	rig_close_all(&rig);
}

static void test_outage_deposes_nobody(void)
{
	rig_t rig = { 0 };
	scheduler_t *leader;

	rig_open_all(&rig);
	run_ms(&rig, 500);
	leader = find_leader(&rig);
	kv_state_freeze_leases(rig.state, true);
	for (unsigned i = 0; i < SCHEDULERS; i++)
		fake_kv_faults(rig.schedulers[i].fake)->down = true;
	run_ms(&rig, 4500);
	g_assert_true(gn_lead_is_leader(leader->lead));
	for (unsigned i = 0; i < SCHEDULERS; i++)
		fake_kv_faults(rig.schedulers[i].fake)->down = false;
	run_ms(&rig, 500);
	kv_state_freeze_leases(rig.state, false);
	run_ms(&rig, 2000);
	g_assert_true(find_leader(&rig) == leader);
	rig_close_all(&rig);
}

static void test_resigned_leader_is_replaced_at_once(void)
{
	rig_t rig = { 0 };
	scheduler_t *leader;

	rig_open_all(&rig);
	run_ms(&rig, 500);
	leader = find_leader(&rig);
	leader->epoch = 0;
	gn_lead_resign(leader->lead);
	run_ms(&rig, 200);
	g_assert_nonnull(find_leader(&rig));
	g_assert_true(find_leader(&rig) != leader);
	g_assert_cmpstr(gn_lead_address(leader->lead), ==,
			gn_lead_address(find_leader(&rig)->lead));
	rig_close_all(&rig);
}

/* ======   Ledger   ====== */

/** Ledger of a leader, on a store with faults. */
typedef struct ledger_rig_s {
	sched_rig_t sched;
	kv_state_t *state;
	fake_kv_t *fake;
	GRand *rand;
	gn_ledger_t *ledger;
	unsigned batch_count;
	bool is_superseded;
} ledger_rig_t;

static void on_stored(void *arg, uint64_t sent_us, size_t writes)
{
	ledger_rig_t *rig = arg;

	g_assert_cmpuint(sent_us, >, 0);
	g_assert_cmpuint(writes, >, 0);
	rig->batch_count++;
}

static void on_superseded(void *arg)
{
	((ledger_rig_t *)arg)->is_superseded = true;
}

static const gn_ledger_ops_t ledger_ops = { on_stored, on_superseded };

static void ledger_rig_open(ledger_rig_t *rig)
{
	gn_kv_put_t put = { .key = GN_STR(GN_LEAD_CHAIN_KEY),
			    .value = GN_STR("taken") };
	gn_kv_txn_t txn = { .puts = &put, .put_count = 1 };
	gn_ledger_options_t options = { .ops = &ledger_ops, .arg = rig };
	kv_answer_t answer;

	rig_open(&rig->sched);
	rig->state = kv_state_create();
	kv_answer_init(&answer);
	kv_state_txn(rig->state, 1, &txn, &answer);
	rig->fake = fake_kv_create(rig->state, &rig->sched.clock, 3);
	rig->rand = g_rand_new_with_seed(3);
	options.kv = fake_kv_client(rig->fake);
	options.clock = &rig->sched.clock;
	options.rand = rig->rand;
	options.sched = rig->sched.sched;
	options.epoch = answer.revision;
	options.incarnation = 42;
	kv_answer_clear(&answer);
	rig->ledger = gn_ledger_create(NULL, &options);
}

static void ledger_rig_close(ledger_rig_t *rig)
{
	gn_ledger_free(rig->ledger);
	fake_kv_free(rig->fake);
	g_rand_free(rig->rand);
	kv_state_free(rig->state);
	rig_close(&rig->sched);
}

static void ledger_rig_run_ms(ledger_rig_t *rig, unsigned ms)
{
	for (unsigned at = 0; at < ms && !rig->is_superseded; at += STEP_MS) {
		gn_clock_advance(&rig->sched.clock, STEP_MS * GN_US_PER_MS);
		fake_kv_run(rig->fake);
		if (!rig->is_superseded)
			gn_ledger_send_next(rig->ledger);
	}
}

static void submit(ledger_rig_t *rig, unsigned number)
{
	const rig_step_t step = { .count = 1, .cpu_milli = 100 };
	char id[GN_JOB_ID_LEN + 1];

	g_snprintf(id, sizeof(id), "%016x", number);
	rig_submit(&rig->sched, id, "quick", &step, 1);
}

static bool has_key(const ledger_rig_t *rig, const char *prefix,
		    unsigned number)
{
	g_autofree char *key = g_strdup_printf("%s%016x", prefix, number);

	return kv_state_find(rig->state, key) != NULL;
}

static void test_batch_collects_pending_changes(void)
{
	ledger_rig_t rig = { 0 };

	ledger_rig_open(&rig);
	submit(&rig, 1);
	gn_ledger_send_next(rig.ledger);
	for (unsigned i = 2; i < 10; i++)
		submit(&rig, i);
	ledger_rig_run_ms(&rig, 100);
	g_assert_cmpuint(rig.batch_count, ==, 2);
	g_assert_true(gn_ledger_is_idle(rig.ledger));
	for (unsigned i = 1; i < 10; i++) {
		g_assert_true(has_key(&rig, GN_LEDGER_SPEC_PREFIX, i));
		g_assert_true(has_key(&rig, GN_LEDGER_STATE_PREFIX, i));
	}
	ledger_rig_close(&rig);
}

/* The repeated request conflicts with the copy that took effect. */
static void test_lost_answer_is_recovered(void)
{
	ledger_rig_t rig = { 0 };

	ledger_rig_open(&rig);
	fake_kv_faults(rig.fake)->lose_answer = 1;
	submit(&rig, 1);
	ledger_rig_run_ms(&rig, 1000);
	g_assert_true(has_key(&rig, GN_LEDGER_STATE_PREFIX, 1));
	g_assert_cmpuint(rig.batch_count, ==, 0);
	fake_kv_faults(rig.fake)->lose_answer = 0;
	ledger_rig_run_ms(&rig, 3000);
	g_assert_cmpuint(rig.batch_count, ==, 1);
	g_assert_false(rig.is_superseded);
	submit(&rig, 2);
	ledger_rig_run_ms(&rig, 100);
	g_assert_cmpuint(rig.batch_count, ==, 2);
	ledger_rig_close(&rig);
}

static void test_deposed_leader_cannot_write(void)
{
	ledger_rig_t rig = { 0 };
	gn_kv_put_t put = { .key = GN_STR(GN_LEAD_CHAIN_KEY),
			    .value = GN_STR("another") };
	gn_kv_txn_t txn = { .puts = &put, .put_count = 1 };
	kv_answer_t answer;

	ledger_rig_open(&rig);
	kv_answer_init(&answer);
	kv_state_txn(rig.state, 1, &txn, &answer);
	kv_answer_clear(&answer);
	submit(&rig, 1);
	ledger_rig_run_ms(&rig, 100);
	g_assert_true(rig.is_superseded);
	g_assert_false(has_key(&rig, GN_LEDGER_STATE_PREFIX, 1));
	ledger_rig_close(&rig);
}

/*
 * Jobs are stored in order and at most once although requests and answers are
 * lost or late.
 */
static void test_all_jobs_stored_under_faults(void)
{
	for (guint32 seed = 1; seed <= 50; seed++) {
		ledger_rig_t rig = { 0 };
		fake_kv_faults_t *faults;

		ledger_rig_open(&rig);
		faults = fake_kv_faults(rig.fake);
		faults->delay_max_us = 40 * GN_US_PER_MS;
		faults->timeout_us = 200 * GN_US_PER_MS;
		faults->late = 0.2;
		faults->lose_answer = 0.2;
		faults->drop_request = 0.1;
		g_rand_set_seed(rig.rand, seed);
		for (unsigned i = 1; i < 40; i++) {
			submit(&rig, i);
			ledger_rig_run_ms(&rig, 30);
		}
		faults->late = faults->lose_answer = faults->drop_request = 0;
		ledger_rig_run_ms(&rig, 3000);
		g_assert_false(rig.is_superseded);
		g_assert_true(gn_ledger_is_idle(rig.ledger));
		for (unsigned i = 1; i < 40; i++)
			g_assert_true(has_key(&rig, GN_LEDGER_STATE_PREFIX, i));
		ledger_rig_close(&rig);
	}
}

/* Writes the leader key on behalf of another writer, without a lease. */
static void overwrite_leader_key(rig_t *rig, const char *value)
{
	const kv_item_t *item = kv_state_find(rig->state, GN_LEAD_KEY);
	const gn_kv_put_t put = { .key = GN_STR(GN_LEAD_KEY),
				  .value = gn_str_from(value),
				  .change_id = GN_STR("x"),
				  .expected = item ? item->revision : 0 };
	kv_answer_t answer;

	kv_answer_init(&answer);
	kv_state_put(rig->state, gn_clock_now_us(&rig->clock), &put, &answer);
	g_assert_cmpint(answer.code, ==, GN_OK);
	kv_answer_clear(&answer);
}

static void test_odd_leader_key_is_taken_over(void)
{
	static const char *const values[] = {
		"",
		"[[[[",
		"10.0.0.1:1",
		"0000000000000064@",
		"0000000000000064@10.0.0.1:65536",
		"0000000000000064@10.0.0.1:99999999999999999999",
		"000000000000006g@10.0.0.1:1",
		"0000000000000064@10.0.0.1:1@10.0.0.2:1",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
		rig_t rig = { 0 };

		rig_open_all(&rig);
		overwrite_leader_key(&rig, values[i]);
		run_ms(&rig, 1000);
		g_assert_nonnull(find_leader(&rig));
		overwrite_leader_key(&rig, values[i]);
		run_ms(&rig, 1000);
		g_assert_nonnull(find_leader(&rig));
		for (unsigned n = 0; n < SCHEDULERS; n++) {
			g_assert_nonnull(
				gn_lead_address(rig.schedulers[n].lead));
			g_assert_cmpuint(rig.schedulers[n].malformed_count, >=,
					 2);
		}
		rig_close_all(&rig);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/lead/one_leads_and_all_know",
			test_one_leader_known_to_all);
	g_test_add_func("/lead/dead_leader_is_replaced",
			test_dead_leader_is_replaced);
	g_test_add_func("/lead/returning_leader_follows",
			test_returning_leader_follows);
	g_test_add_func("/lead/stored_batch_extends_the_lease",
			test_stored_batch_extends_the_lease);
	g_test_add_func("/lead/outage_deposes_nobody",
			test_outage_deposes_nobody);
	g_test_add_func("/lead/resigned_leader_is_replaced_at_once",
			test_resigned_leader_is_replaced_at_once);
	g_test_add_func("/ledger/batch_holds_what_came_meanwhile",
			test_batch_collects_pending_changes);
	g_test_add_func("/ledger/lost_answer_is_found_again",
			test_lost_answer_is_recovered);
	g_test_add_func("/ledger/nothing_of_a_deposed_leader_takes_effect",
			test_deposed_leader_cannot_write);
	g_test_add_func("/ledger/walk", test_all_jobs_stored_under_faults);
	g_test_add_func("/lead/odd_leader_key_is_taken_over",
			test_odd_leader_key_is_taken_over);
	return g_test_run();
}
