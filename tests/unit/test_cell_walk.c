/**
 * @file test_cell_walk.c
 * @brief Random walks of a cell with killed and frozen nodes, cut connections
 *        and lost or delayed messages.
 *
 * After each step, an entry must not show a status older than it showed
 * before, nor one newer than the worker's own, and each load must belong to
 * the version of its status. Within CONVERGE_STEPS after the faults end, each
 * entry must show the actual status of every worker.
 */
#include <glib.h>
#include <string.h>

#include "member/cell_view.h"
#include "support/walk.h"

#define AGENTS 7
#define ENTRIES 2
#define NODES (AGENTS + ENTRIES)
#define FAULTY_STEPS 120
/**
 * Steps until the entries have converged: timeout of the head at an agent (4),
 * timeout of a dead candidate (2), timeout of the head at an entry (4), one
 * summary and its acknowledgement (2).
 */
#define CONVERGE_STEPS 12
#define DELAY_MAX_STEPS 6

static const gn_cell_times_t times = { 500 * GN_US_PER_MS,
				       2000 * GN_US_PER_MS };

typedef enum message_kind_e {
	HEARTBEAT,
	HEARTBEAT_ACK,
	SUMMARY,
	SUMMARY_ACK
} message_kind_t;

typedef struct message_s {
	message_kind_t kind;
	unsigned from;
	unsigned to;
	unsigned due_step; /**< Step in which the message is delivered. */
	union {
		gn_cell_heartbeat_t heartbeat;
		gn_cell_summary_t summary;
		gn_cell_ack_t ack;
	} body;
} message_t;

typedef struct node_s {
	bool is_dead;
	bool is_frozen;
	uint64_t incarnation;
	gn_cell_agent_t *agent;
	gn_cell_head_t *head;
	gn_cell_view_t *view;
	gn_cell_status_t actual; /**< Status of an agent's worker. */
	gn_cell_status_t last_shown[AGENTS]; /**< Statuses an entry showed. */
	uint32_t load_changes;
} node_t;

typedef struct walk_s {
	GRand *rand;
	gn_clock_t clock;
	unsigned step;
	bool are_faults_over;
	node_t nodes[NODES];
	bool is_cut[NODES][NODES];
	GPtrArray *pending;
	uint64_t *counts;
	const char *violation;
} walk_t;

typedef enum fault_e {
	FAULT_KILL,
	FAULT_RESTART,
	FAULT_FREEZE,
	FAULT_CUT,
	FAULT_LOSS,
	FAULT_DELAY,
	FAULT_COUNT
} fault_t;

static bool chance(walk_t *walk, unsigned percent)
{
	return (unsigned)g_rand_int_range(walk->rand, 0, 100) < percent;
}

static void node_start(walk_t *walk, unsigned i)
{
	static const unsigned sizes[] = { AGENTS };
	node_t *node = &walk->nodes[i];

	talloc_free(node->agent);
	talloc_free(node->head);
	talloc_free(node->view);
	node->agent = NULL;
	node->head = NULL;
	node->view = NULL;
	node->incarnation++;
	node->load_changes = 0;
	node->is_dead = false;
	memset(node->last_shown, 0, sizeof(node->last_shown));
	if (i >= AGENTS) {
		node->view = gn_cell_view_create(NULL, &walk->clock, &times,
						 sizes, 1);
		return;
	}
	node->agent = gn_cell_agent_create(NULL, &walk->clock, &times, i,
					   AGENTS, node->incarnation);
	node->head = gn_cell_head_create(NULL, &walk->clock, &times, 0, i,
					 AGENTS, node->incarnation);
}

static message_t *message_new(message_kind_t kind, unsigned from, unsigned to)
{
	message_t *message = g_new0(message_t, 1);

	message->kind = kind;
	message->from = from;
	message->to = to;
	return message;
}

static void send_message(walk_t *walk, message_t *message)
{
	message->due_step = walk->step;
	if (!walk->are_faults_over && chance(walk, 8)) {
		walk->counts[FAULT_LOSS]++;
		g_free(message);
		return;
	}
	if (!walk->are_faults_over && chance(walk, 8)) {
		walk->counts[FAULT_DELAY]++;
		message->due_step += (unsigned)g_rand_int_range(
			walk->rand, 1, DELAY_MAX_STEPS);
	}
	g_ptr_array_add(walk->pending, message);
}

static void deliver(walk_t *walk, const message_t *message)
{
	node_t *to = &walk->nodes[message->to];
	message_t *reply;

	switch (message->kind) {
	case HEARTBEAT:
		gn_cell_head_on_heartbeat(to->head, &message->body.heartbeat);
		send_message(walk, message_new(HEARTBEAT_ACK, message->to,
					       message->from));
		break;
	case HEARTBEAT_ACK:
		gn_cell_agent_on_ack(to->agent, message->from);
		break;
	case SUMMARY:
		reply = message_new(SUMMARY_ACK, message->to, message->from);
		gn_cell_view_apply(to->view, &message->body.summary,
				   &reply->body.ack);
		send_message(walk, reply);
		break;
	case SUMMARY_ACK:
		gn_cell_head_on_ack(to->head, message->from - AGENTS,
				    &message->body.ack);
		break;
	}
}

/** Delivers the messages that are due, except to frozen nodes. */
static void deliver_due(walk_t *walk)
{
	for (guint i = 0; i < walk->pending->len;) {
		message_t *message = g_ptr_array_index(walk->pending, i);

		if (message->due_step > walk->step ||
		    walk->nodes[message->to].is_frozen) {
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast(walk->pending, i);
		if (!walk->nodes[message->to].is_dead &&
		    !walk->is_cut[message->from][message->to])
			deliver(walk, message);
		g_free(message);
	}
}

static void send_heartbeat(walk_t *walk, unsigned from, unsigned to,
			   const gn_cell_heartbeat_t *heartbeat)
{
	message_t *message;

	if (from == to) {
		gn_cell_head_on_heartbeat(walk->nodes[to].head, heartbeat);
		return;
	}
	message = message_new(HEARTBEAT, from, to);
	message->body.heartbeat = *heartbeat;
	send_message(walk, message);
}

static void tick_agent(walk_t *walk, unsigned i)
{
	node_t *node = &walk->nodes[i];
	gn_cell_heartbeat_t heartbeat;
	unsigned target;
	unsigned probe;

	gn_cell_agent_tick(node->agent);
	gn_cell_agent_make_heartbeat(node->agent, &heartbeat);
	target = gn_cell_agent_head_rank(node->agent);
	send_heartbeat(walk, i, target, &heartbeat);
	if (target != i && gn_cell_agent_is_reporting(node->agent))
		send_heartbeat(walk, i, i, &heartbeat);
	if (gn_cell_agent_probe_target(node->agent, &probe))
		send_heartbeat(walk, i, probe, &heartbeat);
	gn_cell_head_start_round(node->head);
	for (unsigned entry = 0; entry < ENTRIES; entry++) {
		message_t *message = message_new(SUMMARY, i, AGENTS + entry);

		if (gn_cell_head_make_summary(node->head, entry,
					      &message->body.summary))
			send_message(walk, message);
		else
			g_free(message);
	}
}

static void change_load(node_t *node)
{
	gn_cell_heartbeat_t heartbeat;
	gn_cell_load_t load = { 0 };

	node->load_changes++;
	load.service_time_us = UINT32_C(1) << (node->load_changes % 20);
	load.tail_time_us = node->load_changes;
	gn_cell_agent_update_load(node->agent, &load);
	gn_cell_agent_make_heartbeat(node->agent, &heartbeat);
	node->actual = heartbeat.status;
}

static void inject_faults(walk_t *walk)
{
	unsigned i = (unsigned)g_rand_int_range(walk->rand, 0, NODES);
	unsigned j = (unsigned)g_rand_int_range(walk->rand, 0, NODES);
	node_t *node = &walk->nodes[i];

	if (chance(walk, 8)) {
		node->is_dead = true;
		walk->counts[FAULT_KILL]++;
	}
	if (chance(walk, 15) && !node->is_frozen) {
		node_start(walk, i);
		walk->counts[FAULT_RESTART]++;
	}
	if (chance(walk, 20)) {
		node->is_frozen = !node->is_frozen;
		walk->counts[FAULT_FREEZE] += node->is_frozen;
	}
	if (chance(walk, 30)) {
		walk->is_cut[i][j] = !walk->is_cut[i][j];
		walk->counts[FAULT_CUT] += walk->is_cut[i][j];
	}
}

static bool is_before(const gn_cell_status_t *a, const gn_cell_status_t *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation < b->incarnation;
	return a->version < b->version;
}

static void check_entry(walk_t *walk, node_t *entry)
{
	for (unsigned i = 0; i < AGENTS; i++) {
		gn_cell_status_t status;

		gn_cell_view_get_worker(entry->view, 0, i, &status);
		if (!status.version)
			continue;
		g_assert_false(is_before(&status, &entry->last_shown[i]));
		g_assert_cmpuint(status.incarnation, <=,
				 walk->nodes[i].incarnation);
		g_assert_cmpuint(status.load.tail_time_us, ==,
				 status.version - 1);
		entry->last_shown[i] = status;
	}
}

static void step(walk_t *walk)
{
	gn_clock_advance(&walk->clock, times.interval_us);
	walk->step++;
	if (!walk->are_faults_over)
		inject_faults(walk);
	deliver_due(walk);
	for (unsigned i = 0; i < NODES; i++) {
		node_t *node = &walk->nodes[i];

		if (node->is_dead || node->is_frozen)
			continue;
		if (i >= AGENTS) {
			gn_cell_view_expire(node->view);
			check_entry(walk, node);
			continue;
		}
		if (!walk->are_faults_over && chance(walk, 30))
			change_load(node);
		tick_agent(walk, i);
	}
}

static void end_faults(walk_t *walk)
{
	walk->are_faults_over = true;
	memset(walk->is_cut, 0, sizeof(walk->is_cut));
	for (unsigned i = 0; i < NODES; i++)
		walk->nodes[i].is_frozen = false;
	for (unsigned i = AGENTS; i < NODES; i++)
		if (walk->nodes[i].is_dead)
			node_start(walk, i);
}

static void check_converged(walk_t *walk)
{
	for (unsigned e = AGENTS; e < NODES; e++) {
		for (unsigned i = 0; i < AGENTS; i++) {
			const node_t *node = &walk->nodes[i];
			gn_cell_status_t status;
			bool is_live = gn_cell_view_get_worker(
				walk->nodes[e].view, 0, i, &status);

			if (is_live != node->is_dead &&
			    (!is_live ||
			     (status.incarnation == node->incarnation &&
			      status.load.tail_time_us == node->load_changes)))
				continue;
			g_test_message("entry %u, worker %u", e - AGENTS, i);
			walk->violation =
				"an entry does not show the actual status";
		}
	}
}

static const char *run(guint32 seed, unsigned mutant, uint64_t *counts)
{
	walk_t walk = { .rand = g_rand_new_with_seed(seed), .counts = counts };

	(void)mutant;
	gn_clock_init_paused(&walk.clock, GN_US_PER_S);
	walk.pending = g_ptr_array_new();
	for (unsigned i = 0; i < NODES; i++)
		node_start(&walk, i);
	while (walk.step < FAULTY_STEPS)
		step(&walk);
	end_faults(&walk);
	while (walk.step < FAULTY_STEPS + CONVERGE_STEPS)
		step(&walk);
	check_converged(&walk);
	for (unsigned i = 0; i < NODES; i++) {
		talloc_free(walk.nodes[i].agent);
		talloc_free(walk.nodes[i].head);
		talloc_free(walk.nodes[i].view);
	}
	g_ptr_array_set_free_func(walk.pending, g_free);
	g_ptr_array_free(walk.pending, TRUE);
	g_rand_free(walk.rand);
	return walk.violation;
}

int main(int argc, char **argv)
{
	static const gn_walk_count_t counts[FAULT_COUNT] = {
		[FAULT_KILL] = { "kill", GN_WALK_EACH },
		[FAULT_RESTART] = { "restart", GN_WALK_EACH },
		[FAULT_FREEZE] = { "freeze", GN_WALK_EACH },
		[FAULT_CUT] = { "cut", GN_WALK_EACH },
		[FAULT_LOSS] = { "loss", GN_WALK_EACH },
		[FAULT_DELAY] = { "delay", GN_WALK_EACH },
	};
	static const gn_walk_plan_t plan = {
		.path = "/cell",
		.walks = 150,
		.counts = counts,
		.count_count = FAULT_COUNT,
		.run = run,
	};

	g_test_init(&argc, &argv, NULL);
	gn_walk_add(&plan);
	return g_test_run();
}
