#include "member/cell.h"

#include <assert.h>

/** A candidate that never answered is given up after so many intervals. */
#define CANDIDATE_INTERVALS 2
/** One lower rank is probed every so many intervals. */
#define PROBE_INTERVALS 4
/** Counts within this distance are the same; above, a quarter is. */
#define COUNT_SLACK 1
#define RATIO_SHIFT 2

struct gn_cell_agent_s {
	const gn_clock_t *clock;
	gn_cell_times_t times;
	unsigned rank;
	unsigned size;
	unsigned target;
	uint64_t give_up_us; /**< when silence of the target ends trust */
	unsigned failed; /**< candidates given up since the last answer */
	unsigned probe; /**< the lower rank that is next */
	uint64_t beats; /**< counts intervals, and the sequence of beats */
	gn_cell_line_t line;
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
	agent->give_up_us = gn_clock_now_us(clock) + times->timeout_us;
	agent->line.rank = rank;
	agent->line.incarnation = incarnation;
	agent->line.version = 1;
	return agent;
}

static bool value_differs(uint32_t before, uint32_t now, uint32_t slack)
{
	uint32_t low = before < now ? before : now;
	uint32_t high = before < now ? now : before;

	return high - low > slack && high - low > (high >> RATIO_SHIFT);
}

bool gn_cell_load_differs(const gn_cell_load_t *before,
			  const gn_cell_load_t *now)
{
	return before->is_draining != now->is_draining ||
	       before->is_backend_up != now->is_backend_up ||
	       value_differs(before->running_requests, now->running_requests,
			     COUNT_SLACK) ||
	       value_differs(before->running_tasks, now->running_tasks,
			     COUNT_SLACK) ||
	       value_differs(before->service_time_us, now->service_time_us,
			     0) ||
	       value_differs(before->tail_time_us, now->tail_time_us, 0);
}

void gn_cell_agent_observe(gn_cell_agent_t *agent, const gn_cell_load_t *load)
{
	if (!gn_cell_load_differs(&agent->line.load, load))
		return;
	agent->line.load = *load;
	agent->line.version++;
}

/** Tries the next rank; the search ends at the agent itself. */
static void try_next(gn_cell_agent_t *agent, uint64_t now_us)
{
	agent->target++;
	agent->failed++;
	agent->give_up_us =
		now_us + CANDIDATE_INTERVALS * agent->times.interval_us;
}

void gn_cell_agent_tick(gn_cell_agent_t *agent)
{
	uint64_t now_us = gn_clock_now_us(agent->clock);

	agent->beats++;
	if (agent->target < agent->rank && now_us >= agent->give_up_us)
		try_next(agent, now_us);
	if (agent->beats % PROBE_INTERVALS == 0 && agent->target)
		agent->probe = (agent->probe + 1) % agent->target;
	assert(agent->target <= agent->rank);
}

void gn_cell_agent_beat(gn_cell_agent_t *agent, gn_cell_beat_t *beat)
{
	beat->sequence = agent->beats;
	beat->line = agent->line;
}

void gn_cell_agent_acked(gn_cell_agent_t *agent, unsigned from)
{
	if (from > agent->target || from >= agent->rank)
		return;
	agent->target = from;
	agent->failed = 0;
	agent->give_up_us =
		gn_clock_now_us(agent->clock) + agent->times.timeout_us;
}

unsigned gn_cell_agent_target(const gn_cell_agent_t *agent)
{
	return agent->target;
}

bool gn_cell_agent_probe(const gn_cell_agent_t *agent, unsigned *rank)
{
	if (!agent->target || agent->beats % PROBE_INTERVALS)
		return false;
	*rank = agent->probe;
	return true;
}

bool gn_cell_agent_reports(const gn_cell_agent_t *agent)
{
	return agent->target == agent->rank || agent->failed > 1;
}
