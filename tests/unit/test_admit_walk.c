/**
 * Seeded random runs of the agent's admission control with duplicated and
 * reordered dispatches, restarts, lost sessions and a small fence. After every
 * step a reference state, kept independently, is compared with the answers.
 * Each mutant disables one mechanism; a run must then find a violation.
 */
#include <glib.h>

#include "admit/admit.h"
#include "support/walk.h"

#define ENTRIES 5
#define REQUESTS_EACH 4000
#define MESSAGES 64
#define RUNNING_MAX 64
#define CONNECTIONS 6
#define STEPS 4000

typedef enum mutant_e {
	MUTANT_NONE = 0,
	MUTANT_SKIP_CAPACITY,
	MUTANT_ADMIT_BEFORE_LIST,
	MUTANT_FORGET_FENCE,
	MUTANT_FORGET_ALL_ON_SESSION,
	MUTANT_IGNORE_SESSION,
	MUTANT_IGNORE_INCARNATION,
	MUTANT_IGNORE_DRAINING,
	MUTANT_COUNT
} mutant_t;

/** Counters of a run. */
enum {
	ADMITTED,
	NOT_RUN,
	FENCES,
	RESTARTS,
	COPIES,
	STALE,
	DRAINS,
	LISTS,
	SESSIONS,
	COUNTS,
};

/** A dispatch in transit. It may be delivered twice to the same incarnation. */
typedef struct message_s {
	gn_admit_request_t request;
	unsigned copies;
	bool delivered;
} message_t;

typedef struct running_s {
	uint64_t agent;
	uint64_t entry;
	uint64_t request;
} running_t;

typedef struct truth_s {
	unsigned char ran[ENTRIES][REQUESTS_EACH];
	bool answered_not_run[ENTRIES][REQUESTS_EACH];
	uint64_t sent_to[ENTRIES][REQUESTS_EACH];
	uint64_t last_request[ENTRIES];
	/** Current session at the agent; 0: none. */
	uint64_t session[ENTRIES];
	bool draining;
	bool listed;
} truth_t;

typedef struct walk_s {
	mutant_t mutant;
	GRand *rand;
	gn_admit_t *admit;
	uint64_t agent;
	truth_t truth;
	message_t messages[MESSAGES];
	unsigned message_count;
	running_t running[RUNNING_MAX];
	unsigned running_count;
	const char *violation;
	uint64_t *counts;
} walk_t;

static unsigned draw(walk_t *walk, unsigned below)
{
	return (unsigned)g_rand_int_range(walk->rand, 0, (gint32)below);
}

static void expect(walk_t *walk, bool holds, const char *violation)
{
	if (!holds && !walk->violation)
		walk->violation = violation;
}

static void start_agent(walk_t *walk)
{
	gn_admit_config_t config = {
		.max_tasks = 4,
		.max_connections = CONNECTIONS,
		.incarnation = ++walk->agent,
		.fence = { .requests = 16, .entries = 3, .markers = 2 },
	};

	if (walk->mutant == MUTANT_SKIP_CAPACITY)
		config.max_connections = 2 * CONNECTIONS;
	talloc_free(walk->admit);
	walk->admit = gn_admit_create(NULL, &config);
	g_assert_nonnull(walk->admit);
	for (int i = 0; i < ENTRIES; i++)
		walk->truth.session[i] = 0;
	walk->truth.listed = false;
	if (walk->mutant == MUTANT_ADMIT_BEFORE_LIST)
		gn_admit_apply_list(walk->admit, 0, NULL, 0);
	gn_admit_set_draining(walk->admit,
			      walk->truth.draining &&
				      walk->mutant != MUTANT_IGNORE_DRAINING);
}

static void drop_message(walk_t *walk, unsigned index)
{
	walk->message_count--;
	walk->messages[index] = walk->messages[walk->message_count];
}

static void restart(walk_t *walk)
{
	for (unsigned i = walk->message_count; i > 0; i--)
		if (walk->messages[i - 1].delivered)
			drop_message(walk, i - 1);
	walk->counts[RESTARTS]++;
	start_agent(walk);
}

static void open_session(walk_t *walk)
{
	unsigned entry = draw(walk, ENTRIES);
	uint64_t session;

	if (walk->mutant == MUTANT_FORGET_ALL_ON_SESSION && !draw(walk, 4)) {
		unsigned running = walk->running_count;

		start_agent(walk);
		walk->agent--;
		gn_admit_apply_list(walk->admit, running, NULL, 0);
	}
	if (gn_admit_open_session(walk->admit, entry + 1, &session) != GN_OK)
		return;
	expect(walk, session > walk->truth.session[entry], "session reused");
	walk->truth.session[entry] = session;
	walk->counts[SESSIONS]++;
}

static void send_request(walk_t *walk)
{
	unsigned entry = draw(walk, ENTRIES);
	uint64_t request = walk->truth.last_request[entry] + 1;
	message_t *message;

	if (walk->message_count == MESSAGES || request >= REQUESTS_EACH)
		return;
	walk->truth.last_request[entry] = request;
	walk->truth.sent_to[entry][request] = walk->agent;
	message = &walk->messages[walk->message_count++];
	message->request =
		(gn_admit_request_t){ entry + 1, walk->truth.session[entry],
				      walk->agent, request };
	message->copies = 1 + draw(walk, 2);
	message->delivered = false;
}

static void check_admitted(walk_t *walk, const gn_admit_request_t *request)
{
	unsigned entry = (unsigned)request->entry - 1;
	truth_t *truth = &walk->truth;

	expect(walk, truth->listed, "admitted before the list");
	expect(walk, !truth->draining, "admitted while draining");
	expect(walk, request->agent == walk->agent,
	       "admitted a request to another incarnation");
	expect(walk, request->session == truth->session[entry],
	       "stale session");
	expect(walk, !truth->ran[entry][request->request], "ran twice");
	expect(walk, !truth->answered_not_run[entry][request->request],
	       "ran after it was answered as not run");
	truth->ran[entry][request->request] = 1;
	expect(walk, walk->running_count < CONNECTIONS, "over capacity");
	if (walk->running_count < RUNNING_MAX)
		walk->running[walk->running_count++] =
			(running_t){ walk->agent, request->entry,
				     request->request };
	walk->counts[ADMITTED]++;
}

static void record_not_run(walk_t *walk, uint64_t entry, uint64_t request)
{
	expect(walk, !walk->truth.ran[entry - 1][request],
	       "answered as not run although it ran");
	walk->truth.answered_not_run[entry - 1][request] = true;
	walk->counts[NOT_RUN]++;
}

static gn_admit_request_t apply_mutant(const walk_t *walk,
				       gn_admit_request_t request)
{
	if (walk->mutant == MUTANT_IGNORE_SESSION)
		request.session = walk->truth.session[request.entry - 1];
	if (walk->mutant == MUTANT_IGNORE_INCARNATION &&
	    request.agent != walk->agent) {
		request.agent = walk->agent;
		request.session = walk->truth.session[request.entry - 1];
	}
	return request;
}

static void deliver_message(walk_t *walk)
{
	unsigned index;
	gn_admit_request_t request;
	gn_admit_request_t mutated;
	gn_admit_reason_t reason;

	if (!walk->message_count)
		return;
	index = draw(walk, walk->message_count);
	request = walk->messages[index].request;
	walk->counts[COPIES] += walk->messages[index].delivered;
	walk->counts[STALE] += request.agent != walk->agent;
	walk->messages[index].delivered = true;
	if (!--walk->messages[index].copies)
		drop_message(walk, index);
	mutated = apply_mutant(walk, request);
	reason = gn_admit_start_request(walk->admit, &mutated);
	if (reason == GN_ADMIT_ADMITTED)
		check_admitted(walk, &request);
	else if (gn_admit_outcome(reason) == GN_OUTCOME_NOT_RUN)
		record_not_run(walk, request.entry, request.request);
}

static void end_request(walk_t *walk)
{
	running_t ended;
	unsigned index;

	if (!walk->running_count)
		return;
	index = draw(walk, walk->running_count);
	ended = walk->running[index];
	walk->running_count--;
	walk->running[index] = walk->running[walk->running_count];
	if (ended.agent == walk->agent &&
	    walk->mutant != MUTANT_FORGET_ALL_ON_SESSION)
		gn_admit_end_request(walk->admit, ended.entry, ended.request);
}

static void cancel_request(walk_t *walk)
{
	unsigned entry = draw(walk, ENTRIES);
	uint64_t last = walk->truth.last_request[entry];
	uint64_t request;
	bool not_run = true;

	if (!last)
		return;
	request = last - draw(walk, (unsigned)MIN(last, 30));
	if (walk->mutant != MUTANT_FORGET_FENCE)
		not_run = gn_admit_cancel_request(
			walk->admit, entry + 1,
			walk->truth.sent_to[entry][request], request);
	else if (walk->truth.ran[entry][request])
		not_run = false;
	if (!not_run)
		return;
	record_not_run(walk, entry + 1, request);
	walk->counts[FENCES]++;
}

static void list_running(walk_t *walk)
{
	unsigned counted;
	unsigned before = draw(walk, 3);
	unsigned after = draw(walk, 3);

	/*
	 * Requests start and end both before and after the backend server
	 * counts them.
	 */
	gn_admit_begin_list(walk->admit);
	for (unsigned i = 0; i < before; i++)
		draw(walk, 2) ? end_request(walk) : deliver_message(walk);
	counted = walk->running_count;
	for (unsigned i = 0; i < after; i++)
		draw(walk, 2) ? end_request(walk) : deliver_message(walk);
	gn_admit_apply_list(walk->admit, counted, NULL, 0);
	walk->truth.listed = true;
	walk->counts[LISTS]++;
}

static void set_draining(walk_t *walk)
{
	walk->truth.draining = !draw(walk, 3);
	walk->counts[DRAINS] += walk->truth.draining;
	if (walk->mutant != MUTANT_IGNORE_DRAINING)
		gn_admit_set_draining(walk->admit, walk->truth.draining);
}

static void close_session(walk_t *walk)
{
	unsigned entry = draw(walk, ENTRIES);

	gn_admit_close_session(walk->admit, entry + 1);
	walk->truth.session[entry] = 0;
}

typedef struct op_s {
	void (*run)(walk_t *walk);
	unsigned weight;
} op_t;

static const op_t ops[] = {
	{ send_request, 30 },  { deliver_message, 35 }, { end_request, 20 },
	{ cancel_request, 8 }, { list_running, 3 },	{ open_session, 3 },
	{ close_session, 1 },  { set_draining, 1 },	{ restart, 1 },
};

static void step(walk_t *walk)
{
	unsigned sum = 0;
	unsigned at;

	for (size_t i = 0; i < G_N_ELEMENTS(ops); i++)
		sum += ops[i].weight;
	at = draw(walk, sum);
	for (size_t i = 0; i < G_N_ELEMENTS(ops); i++) {
		if (at < ops[i].weight) {
			ops[i].run(walk);
			return;
		}
		at -= ops[i].weight;
	}
}

static const char *run_walk(guint32 seed, unsigned mutant, uint64_t *counts)
{
	walk_t *walk = g_new0(walk_t, 1);
	uint64_t admitted = counts[ADMITTED];
	const char *violation;

	walk->mutant = (mutant_t)mutant;
	walk->counts = counts;
	walk->rand = g_rand_new_with_seed(seed);
	start_agent(walk);
	for (unsigned i = 0; i < STEPS && !walk->violation; i++)
		step(walk);
	if (!mutant)
		expect(walk, counts[ADMITTED] > admitted, "admitted nothing");
	violation = walk->violation;
	talloc_free(walk->admit);
	g_rand_free(walk->rand);
	g_free(walk);
	return violation;
}

int main(int argc, char **argv)
{
	static const gn_walk_count_t counts[COUNTS] = {
		[ADMITTED] = { "admitted", GN_WALK_EACH },
		[NOT_RUN] = { "told not run", GN_WALK_EACH },
		[FENCES] = { "fence", GN_WALK_EACH },
		[RESTARTS] = { "restart", GN_WALK_EACH },
		[COPIES] = { "second copy", GN_WALK_EACH },
		[STALE] = { "to an earlier agent", GN_WALK_EACH },
		[DRAINS] = { "drain", GN_WALK_EACH },
		[LISTS] = { "list", GN_WALK_EACH },
		[SESSIONS] = { "session opened", GN_WALK_EACH },
	};
	static const gn_walk_mutant_t mutants[MUTANT_COUNT] = {
		[MUTANT_SKIP_CAPACITY] = { .name = "skip-capacity" },
		[MUTANT_ADMIT_BEFORE_LIST] = { .name = "admit-before-list" },
		[MUTANT_FORGET_FENCE] = { .name = "forget-fence" },
		[MUTANT_FORGET_ALL_ON_SESSION] = { .name = "forget-all-on-session" },
		[MUTANT_IGNORE_SESSION] = { .name = "ignore-session" },
		[MUTANT_IGNORE_INCARNATION] = { .name = "ignore-incarnation" },
		[MUTANT_IGNORE_DRAINING] = { .name = "ignore-draining" },
	};
	static const gn_walk_plan_t plan = {
		.path = "/admit",
		.walks = 100,
		.mutant_walks = 200,
		.counts = counts,
		.count_count = COUNTS,
		.mutants = mutants,
		.mutant_count = MUTANT_COUNT,
		.run = run_walk,
	};

	g_test_init(&argc, &argv, NULL);
	gn_walk_add(&plan);
	return g_test_run();
}
