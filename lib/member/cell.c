#include "member/cell.h"

#include <assert.h>

/**
 * Number of intervals after which an agent gives up a candidate for head that
 * has never answered.
 */
#define CANDIDATE_TIMEOUT_INTERVALS 2
/** Number of intervals between two probes of a lower rank. */
#define PROBE_PERIOD_INTERVALS 4
/** A change of a count by up to this difference is not significant. */
#define COUNT_TOLERANCE 1
/** A change by up to a quarter of the larger value is not significant. */
#define RELATIVE_TOLERANCE_SHIFT 2

struct gn_cell_agent_s {
	const gn_clock_t *clock;
	gn_cell_times_t times;
	unsigned rank;
	unsigned size;
	unsigned target; /**< Rank that is considered the head. */
	/** Time at which the target fails unless it answers before. */
	uint64_t target_deadline_us;
	/** Number of candidates given up since the last acknowledgement. */
	unsigned failed_candidates;
	unsigned next_probe_rank;
	/** Number of intervals; also the sequence number of heartbeats. */
	uint64_t interval_count;
	gn_cell_status_t status;
};

gn_cell_agent_t *gn_cell_agent_create(TALLOC_CTX *parent,
				      const gn_clock_t *clock,
				      const gn_cell_times_t *times,
				      unsigned rank, unsigned size,
				      uint64_t incarnation)
{
	gn_cell_agent_t *agent = talloc_zero(parent, gn_cell_agent_t);

	assert(size && size <= GN_CELL_SIZE_MAX && rank < size);
	if (!agent)
		return NULL;
	agent->clock = clock;
	agent->times = *times;
	agent->rank = rank;
	agent->size = size;
	agent->target_deadline_us = gn_clock_now_us(clock) + times->timeout_us;
	agent->status.rank = rank;
	agent->status.incarnation = incarnation;
	agent->status.version = 1;
	return agent;
}

static bool has_changed(uint32_t before, uint32_t now, uint32_t tolerance)
{
	uint32_t low = before < now ? before : now;
	uint32_t high = before < now ? now : before;

	return high - low > tolerance &&
	       high - low > (high >> RELATIVE_TOLERANCE_SHIFT);
}

bool gn_cell_load_differs(const gn_cell_load_t *before,
			  const gn_cell_load_t *now)
{
	return before->is_draining != now->is_draining ||
	       before->is_backend_up != now->is_backend_up ||
	       has_changed(before->running_requests, now->running_requests,
			   COUNT_TOLERANCE) ||
	       has_changed(before->running_tasks, now->running_tasks,
			   COUNT_TOLERANCE) ||
	       has_changed(before->service_time_us, now->service_time_us, 0) ||
	       has_changed(before->tail_time_us, now->tail_time_us, 0);
}

void gn_cell_agent_update_load(gn_cell_agent_t *agent,
			       const gn_cell_load_t *load)
{
	if (!gn_cell_load_differs(&agent->status.load, load))
		return;
	agent->status.load = *load;
	agent->status.version++;
}

/** Selects the next rank; the last candidate is the agent itself. */
static void try_next_candidate(gn_cell_agent_t *agent, uint64_t now_us)
{
	agent->target++;
	agent->failed_candidates++;
	agent->target_deadline_us =
		now_us + CANDIDATE_TIMEOUT_INTERVALS * agent->times.interval_us;
}

void gn_cell_agent_tick(gn_cell_agent_t *agent)
{
	uint64_t now_us = gn_clock_now_us(agent->clock);

	agent->interval_count++;
	if (agent->target < agent->rank && now_us >= agent->target_deadline_us)
		try_next_candidate(agent, now_us);
	if (agent->interval_count % PROBE_PERIOD_INTERVALS == 0 &&
	    agent->target)
		agent->next_probe_rank =
			(agent->next_probe_rank + 1) % agent->target;
	assert(agent->target <= agent->rank);
}

void gn_cell_agent_make_heartbeat(gn_cell_agent_t *agent,
				  gn_cell_heartbeat_t *heartbeat)
{
	heartbeat->sequence = agent->interval_count;
	heartbeat->status = agent->status;
}

void gn_cell_agent_on_ack(gn_cell_agent_t *agent, unsigned sender)
{
	if (sender > agent->target || sender >= agent->rank)
		return;
	agent->target = sender;
	agent->failed_candidates = 0;
	agent->target_deadline_us =
		gn_clock_now_us(agent->clock) + agent->times.timeout_us;
}

unsigned gn_cell_agent_head_rank(const gn_cell_agent_t *agent)
{
	return agent->target;
}

bool gn_cell_agent_probe_target(const gn_cell_agent_t *agent, unsigned *rank)
{
	if (!agent->target || agent->interval_count % PROBE_PERIOD_INTERVALS)
		return false;
	*rank = agent->next_probe_rank;
	return true;
}

bool gn_cell_agent_is_reporting(const gn_cell_agent_t *agent)
{
	return agent->target == agent->rank || agent->failed_candidates > 1;
}
