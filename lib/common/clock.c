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

static uint64_t offset_now_us(const gn_clock_t *clock)
{
	return gn_clock_now_us(clock->base) + (uint64_t)*clock->offset_us;
}

static const gn_clock_ops_t offset_ops = { offset_now_us };
static const gn_clock_ops_t boot_ops = { boot_now_us };
static const gn_clock_ops_t wall_ops = { wall_now_us };
static const gn_clock_ops_t paused_ops = { paused_now_us };

void gn_clock_init_boot(gn_clock_t *clock)
{
	const gn_clock_t boot = { .ops = &boot_ops };

	*clock = boot;
}

void gn_clock_init_wall(gn_clock_t *clock)
{
	const gn_clock_t wall = { .ops = &wall_ops };

	*clock = wall;
}

void gn_clock_init_paused(gn_clock_t *clock, uint64_t now_us)
{
	const gn_clock_t paused = { .ops = &paused_ops, .paused_us = now_us };

	*clock = paused;
}

void gn_clock_init_offset(gn_clock_t *clock, const gn_clock_t *base,
			  const int64_t *offset_us)
{
	const gn_clock_t sum = { .ops = &offset_ops,
				 .base = base,
				 .offset_us = offset_us };

	*clock = sum;
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
