#include "common/clock.h"

#include <assert.h>
#include <time.h>

#define NS_PER_US 1000

static uint64_t read_us(clockid_t id)
{
	struct timespec now;

	clock_gettime(id, &now);
	return (uint64_t)now.tv_sec * GN_US_PER_S +
	       (uint64_t)now.tv_nsec / NS_PER_US;
}

static uint64_t boot_now_us(const gn_clock_t *clock)
{
	(void)clock;
	return read_us(CLOCK_BOOTTIME);
}

static uint64_t wall_now_us(const gn_clock_t *clock)
{
	(void)clock;
	return read_us(CLOCK_REALTIME);
}

static uint64_t paused_now_us(const gn_clock_t *clock)
{
	return clock->paused_us;
}

static const gn_clock_ops_t boot_ops = { boot_now_us };
static const gn_clock_ops_t wall_ops = { wall_now_us };
static const gn_clock_ops_t paused_ops = { paused_now_us };

void gn_clock_init_boot(gn_clock_t *clock)
{
	clock->ops = &boot_ops;
	clock->paused_us = 0;
}

void gn_clock_init_wall(gn_clock_t *clock)
{
	clock->ops = &wall_ops;
	clock->paused_us = 0;
}

void gn_clock_init_paused(gn_clock_t *clock, uint64_t now_us)
{
	clock->ops = &paused_ops;
	clock->paused_us = now_us;
}

void gn_clock_advance(gn_clock_t *clock, uint64_t step_us)
{
	assert(clock->ops == &paused_ops);
	clock->paused_us += step_us;
}

uint64_t gn_clock_now_us(const gn_clock_t *clock)
{
	return clock->ops->now_us(clock);
}
