#include "sched/backlog.h"

#include "gypsumnotch.h"

/** Waiting tasks per worker up to which jobs are accepted. */
#define TASKS_PER_WORKER 125
/** Interval of the updates of the rate. */
#define RATE_INTERVAL_US GN_US_PER_S
/** Weight of the last interval in the rate. */
#define RATE_WEIGHT 0.3

static size_t get_limit(size_t workers)
{
	size_t limit = workers * TASKS_PER_WORKER;

	if (limit < GN_BACKLOG_TASKS_MIN)
		return GN_BACKLOG_TASKS_MIN;
	return limit < GN_BACKLOG_TASKS_MAX ? limit : GN_BACKLOG_TASKS_MAX;
}

static void update_rate(gn_backlog_t *backlog, uint64_t now_us)
{
	uint64_t passed_us = now_us - backlog->updated_us;
	double rate;

	if (passed_us < RATE_INTERVAL_US)
		return;
	rate = (double)backlog->counted * GN_US_PER_S / (double)passed_us;
	if (backlog->updated_us)
		rate = backlog->tasks_per_s +
		       RATE_WEIGHT * (rate - backlog->tasks_per_s);
	backlog->tasks_per_s = rate;
	backlog->counted = 0;
	backlog->updated_us = now_us;
}

void gn_backlog_count_taken(gn_backlog_t *backlog, uint64_t now_us)
{
	backlog->counted++;
	update_rate(backlog, now_us);
}

/* Returns the time in which this many tasks are taken, in microseconds. */
static uint64_t get_drain_us(const gn_backlog_t *backlog, size_t tasks)
{
	const uint64_t max_us = GN_BACKLOG_RETRY_MAX_MS * GN_US_PER_MS;
	double drain_us = (double)max_us;

	if (backlog->tasks_per_s > 0)
		drain_us = (double)tasks / backlog->tasks_per_s * GN_US_PER_S;
	return drain_us < (double)max_us ? (uint64_t)drain_us : max_us;
}

unsigned gn_backlog_admit(gn_backlog_t *backlog, size_t waiting, size_t tasks,
			  size_t workers, uint64_t now_us)
{
	size_t limit = get_limit(workers);
	uint64_t from_us;
	uint64_t wait_ms;

	update_rate(backlog, now_us);
	/* A job larger than the limit is accepted when nothing else waits. */
	if (!waiting || waiting + tasks <= limit)
		return 0;
	from_us = backlog->promised_us > now_us
			  ? backlog->promised_us
			  : now_us + get_drain_us(backlog,
						  waiting > limit
							  ? waiting - limit
							  : 0);
	backlog->promised_us = from_us + get_drain_us(backlog, tasks);
	wait_ms = (backlog->promised_us - now_us) / GN_US_PER_MS;
	if (wait_ms > GN_BACKLOG_RETRY_MAX_MS) {
		wait_ms = GN_BACKLOG_RETRY_MAX_MS;
		backlog->promised_us = now_us + wait_ms * GN_US_PER_MS;
	}
	return wait_ms > GN_BACKLOG_RETRY_MIN_MS ? (unsigned)wait_ms
						 : GN_BACKLOG_RETRY_MIN_MS;
}
