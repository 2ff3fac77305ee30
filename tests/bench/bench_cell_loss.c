/**
 * @file bench_cell_loss.c
 * @brief Measures how a cell of 27 recovers when its first agents are lost or
 * return.
 *
 * Counts the heartbeat intervals until the view of each entry is correct and
 * until only one head is left, and the summaries of the busiest interval.
 * Messages arrive within the interval in which they are sent.
 */
#include <glib.h>
#include <stdio.h>

#include "member/cell_view.h"

#define SIZE 27
#define ENTRIES 3
#define WARM_UP_BEATS 12
#define BEATS_MAX 400

typedef struct rig_s {
	gn_clock_t clock;
	gn_cell_times_t times;
	TALLOC_CTX *frame;
	gn_cell_agent_t *agents[SIZE];
	gn_cell_head_t *heads[SIZE];
	gn_cell_view_t *views[ENTRIES];
	bool is_lost[SIZE];
	unsigned summaries; /**< sent in the last interval */
	unsigned reporters; /**< agents that sent one in the last interval */
} rig_t;

static void start_agent(rig_t *rig, unsigned rank, uint64_t incarnation)
{
	talloc_free(rig->agents[rank]);
	talloc_free(rig->heads[rank]);
	rig->agents[rank] = gn_cell_agent_create(
		rig->frame, &rig->clock, &rig->times, rank, SIZE, incarnation);
	rig->heads[rank] =
		gn_cell_head_create(rig->frame, &rig->clock, &rig->times, 0,
				    rank, SIZE, incarnation);
	rig->is_lost[rank] = false;
}

static void send_heartbeat(rig_t *rig, unsigned from, unsigned to,
			   const gn_cell_heartbeat_t *beat)
{
	if (rig->is_lost[to])
		return;
	gn_cell_head_on_heartbeat(rig->heads[to], beat);
	if (from != to)
		gn_cell_agent_on_ack(rig->agents[from], to);
}

static void run_agent(rig_t *rig, unsigned rank)
{
	gn_cell_agent_t *agent = rig->agents[rank];
	gn_cell_heartbeat_t beat;
	unsigned target;
	unsigned probe;

	gn_cell_agent_tick(agent);
	gn_cell_agent_make_heartbeat(agent, &beat);
	target = gn_cell_agent_head_rank(agent);
	send_heartbeat(rig, rank, target, &beat);
	if (target != rank && gn_cell_agent_is_reporting(agent))
		send_heartbeat(rig, rank, rank, &beat);
	if (gn_cell_agent_probe_target(agent, &probe))
		send_heartbeat(rig, rank, probe, &beat);
}

static void run_head(rig_t *rig, unsigned rank)
{
	gn_cell_summary_t summary;
	bool is_sent = false;

	gn_cell_head_start_round(rig->heads[rank]);
	for (unsigned i = 0; i < ENTRIES; i++) {
		gn_cell_ack_t ack;

		if (!gn_cell_head_make_summary(rig->heads[rank], i, &summary))
			continue;
		is_sent = true;
		rig->summaries++;
		gn_cell_view_apply(rig->views[i], &summary, &ack);
		gn_cell_head_on_ack(rig->heads[rank], i, &ack);
	}
	rig->reporters += is_sent;
}

static void run_interval(rig_t *rig)
{
	gn_clock_advance(&rig->clock, rig->times.interval_us);
	rig->summaries = 0;
	rig->reporters = 0;
	for (unsigned i = 0; i < SIZE; i++)
		if (!rig->is_lost[i])
			run_agent(rig, i);
	for (unsigned i = 0; i < SIZE; i++)
		if (!rig->is_lost[i])
			run_head(rig, i);
	for (unsigned i = 0; i < ENTRIES; i++)
		gn_cell_view_expire(rig->views[i]);
}

static bool is_view_correct(const rig_t *rig)
{
	for (unsigned i = 0; i < ENTRIES; i++)
		for (unsigned j = 0; j < SIZE; j++) {
			gn_cell_status_t status;

			if (gn_cell_view_get_worker(rig->views[i], 0, j,
						    &status) == rig->is_lost[j])
				return false;
		}
	return true;
}

/** Runs BEATS_MAX intervals and prints the times of recovery. */
static void measure_recovery(rig_t *rig, const char *event, unsigned count)
{
	unsigned incorrect_until = 0;
	unsigned not_single_until = 0;
	unsigned max_summaries = 0;

	for (unsigned beat = 1; beat <= BEATS_MAX; beat++) {
		run_interval(rig);
		max_summaries = MAX(max_summaries, rig->summaries);
		if (!is_view_correct(rig))
			incorrect_until = beat;
		if (rig->reporters != 1)
			not_single_until = beat;
	}
	printf("cell event=%s agents=%u view_true_after_beats=%u "
	       "one_head_after_beats=%u summaries_in_a_beat_at_most=%u\n",
	       event, count, incorrect_until + 1, not_single_until + 1,
	       max_summaries);
}

static void run_cell(unsigned lost)
{
	static const unsigned sizes[] = { SIZE };
	rig_t rig = { .times = { 2 * GN_US_PER_S, 8 * GN_US_PER_S } };

	rig.frame = talloc_new(NULL);
	gn_clock_init_paused(&rig.clock, GN_US_PER_S);
	for (unsigned i = 0; i < SIZE; i++)
		start_agent(&rig, i, 1);
	for (unsigned i = 0; i < ENTRIES; i++)
		rig.views[i] = gn_cell_view_create(rig.frame, &rig.clock,
						   &rig.times, sizes, 1);
	for (unsigned i = 0; i < WARM_UP_BEATS; i++)
		run_interval(&rig);
	g_assert_true(is_view_correct(&rig));
	for (unsigned i = 0; i < lost; i++)
		rig.is_lost[i] = true;
	measure_recovery(&rig, "lost", lost);
	for (unsigned i = 0; i < lost; i++)
		start_agent(&rig, i, 2);
	measure_recovery(&rig, "returned", lost);
	talloc_free(rig.frame);
}

int main(void)
{
	static const unsigned lost[] = { 1, 2, 3, 9, 18 };

	for (size_t i = 0; i < G_N_ELEMENTS(lost); i++)
		run_cell(lost[i]);
	return 0;
}
