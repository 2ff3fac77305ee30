#include "admit/throttle.h"

#include <assert.h>
#include <glib.h>

#define PER_CENT 100
/** What a quiet task adds to the tail at most, as a share of the target. */
#define QUIET_ADDED 0.03

struct gn_throttle_s {
	const gn_clock_t *clock;
	gn_throttle_config_t config;
	double concurrency; /**< tasks at full speed */
	uint64_t change_us; /**< of the last cut */
	uint64_t floor_us; /**< high at the floor since then; 0: not */
	uint64_t checkpoint_us; /**< a task was told to checkpoint; 0: none */
	double share; /**< of the target, the newest tail */
	double begun; /**< what starts add that the newest tail can't show */
	uint64_t start_us; /**< of the last start */
};

static const char *const step_names[GN_THROTTLE_STEP_COUNT] = {
	[GN_THROTTLE_NONE] = "none",
	[GN_THROTTLE_CHECKPOINT] = "checkpoint",
	[GN_THROTTLE_STOP] = "stop",
};

const char *gn_throttle_step_name(gn_throttle_step_t step)
{
	if ((unsigned)step >= GN_THROTTLE_STEP_COUNT)
		return "invalid";
	return step_names[step];
}

/* ======   Settings   ====== */

static double share_of(unsigned weight, const gn_throttle_weights_t *weights)
{
	unsigned all = weights->tail + weights->throughput + weights->evictions;

	return all ? (double)weight / all : 1.0 / 3;
}

gn_throttle_config_t gn_throttle_defaults(uint32_t target_us,
					  unsigned max_tasks,
					  const gn_throttle_weights_t *weights)
{
	double tail = share_of(weights->tail, weights);
	double throughput = share_of(weights->throughput, weights);
	double evictions = share_of(weights->evictions, weights);
	gn_throttle_config_t config = {
		.target_us = target_us,
		.max_tasks = max_tasks,
		.high_pct = (unsigned)(120 - 30 * tail),
		.low_pct = (unsigned)(90 - 30 * tail),
		.cut_pct = (unsigned)(85 - 35 * tail),
		.step_pct = (unsigned)(2 + 6 * throughput),
		.floor_pct = (unsigned)(5 + 15 * throughput),
		.min_samples = 20,
		.settle_ms = 500,
		.patience_ms = (uint32_t)(2000 + 60000 * evictions),
		.checkpoint_ms = (uint32_t)(10000 + 60000 * evictions),
	};

	return config;
}

static bool is_within(unsigned value, unsigned least, unsigned most)
{
	return value >= least && value <= most;
}

static bool is_config_valid(const gn_throttle_config_t *config)
{
	return is_within(config->target_us, 1000, 60 * GN_US_PER_S) &&
	       is_within(config->max_tasks, 1, 4096) &&
	       is_within(config->high_pct, 50, 300) &&
	       is_within(config->low_pct, 10, config->high_pct) &&
	       is_within(config->cut_pct, 10, 95) &&
	       is_within(config->step_pct, 1, 50) &&
	       is_within(config->floor_pct, 1, 100) &&
	       is_within(config->min_samples, 1, 10000) &&
	       is_within(config->settle_ms, 0, 60000) &&
	       is_within(config->patience_ms, 0, 3600000) &&
	       is_within(config->checkpoint_ms, 100, 3600000);
}

gn_throttle_t *gn_throttle_create(TALLOC_CTX *parent, const gn_clock_t *clock,
				  const gn_throttle_config_t *config)
{
	gn_throttle_t *throttle;

	if (!is_config_valid(config))
		return NULL;
	throttle = talloc_zero(parent, gn_throttle_t);
	if (!throttle)
		return NULL;
	throttle->clock = clock;
	throttle->config = *config;
	throttle->concurrency = config->max_tasks;
	return throttle;
}

/* ======   Samples   ====== */

/** The concurrency at which all running tasks are at their slowest. */
static double floor_of(const gn_throttle_t *throttle, unsigned running_tasks)
{
	return (double)running_tasks * throttle->config.floor_pct / PER_CENT;
}

static void cut(gn_throttle_t *throttle, unsigned running_tasks)
{
	double least = floor_of(throttle, running_tasks);
	double from = MIN(throttle->concurrency, running_tasks);
	uint64_t now_us = gn_clock_now_us(throttle->clock);

	throttle->concurrency = from * throttle->config.cut_pct / PER_CENT;
	throttle->change_us = now_us;
	if (throttle->concurrency > least) {
		throttle->floor_us = 0;
		return;
	}
	throttle->concurrency = least;
	if (!throttle->floor_us)
		throttle->floor_us = MAX(now_us, 1);
}

static void grow(gn_throttle_t *throttle)
{
	const gn_throttle_config_t *config = &throttle->config;
	double step = (double)config->max_tasks * config->step_pct / PER_CENT;

	throttle->concurrency =
		MIN(throttle->concurrency + step, config->max_tasks);
	throttle->floor_us = 0;
}

static bool is_settled(const gn_throttle_t *throttle,
		       const gn_throttle_sample_t *sample)
{
	uint64_t settle_us =
		(uint64_t)throttle->config.settle_ms * GN_US_PER_MS;

	if (!throttle->change_us)
		return true;
	return sample->measured_us >= throttle->change_us + settle_us;
}

/** Keeps the tail for the decisions on starts. */
static void note_share(gn_throttle_t *throttle,
		       const gn_throttle_sample_t *sample)
{
	throttle->share = 0;
	if (sample->requests >= throttle->config.min_samples)
		throttle->share =
			(double)sample->tail_us / throttle->config.target_us;
	if (sample->measured_us >= throttle->start_us)
		throttle->begun = 0;
}

void gn_throttle_take_sample(gn_throttle_t *throttle,
			     const gn_throttle_sample_t *sample,
			     unsigned running_tasks)
{
	const gn_throttle_config_t *config = &throttle->config;
	double share = (double)sample->tail_us * PER_CENT / config->target_us;

	note_share(throttle, sample);
	if (!is_settled(throttle, sample))
		return;
	if (sample->requests < config->min_samples) {
		/* Too little of the service is there to be disturbed. */
		grow(throttle);
		return;
	}
	if (share > config->high_pct && running_tasks)
		cut(throttle, running_tasks);
	else if (share < config->low_pct)
		grow(throttle);
	else
		throttle->floor_us = 0;
}

void gn_throttle_begin_checkpoint(gn_throttle_t *throttle)
{
	assert(!throttle->checkpoint_us);
	throttle->checkpoint_us = MAX(gn_clock_now_us(throttle->clock), 1);
}

void gn_throttle_end_checkpoint(gn_throttle_t *throttle, unsigned running_tasks)
{
	throttle->checkpoint_us = 0;
	if (!throttle->floor_us)
		return;
	/* What the rest does must show before the next one is told. */
	throttle->floor_us = MAX(gn_clock_now_us(throttle->clock), 1);
	throttle->concurrency =
		MIN(throttle->concurrency, floor_of(throttle, running_tasks));
}

void gn_throttle_note_start(gn_throttle_t *throttle, double added)
{
	throttle->begun += added * throttle->config.floor_pct / PER_CENT;
	throttle->start_us = gn_clock_now_us(throttle->clock);
}

void gn_throttle_set_floor(gn_throttle_t *throttle, unsigned floor_pct)
{
	assert(is_within(floor_pct, 1, PER_CENT));
	throttle->config.floor_pct = floor_pct;
}

/* ======   Advice   ====== */

static bool has_passed(const gn_throttle_t *throttle, uint64_t since_us,
		       uint32_t length_ms)
{
	return gn_clock_now_us(throttle->clock) >=
	       since_us + (uint64_t)length_ms * GN_US_PER_MS;
}

static gn_throttle_step_t next_step(const gn_throttle_t *throttle,
				    unsigned running_tasks)
{
	const gn_throttle_config_t *config = &throttle->config;

	if (!running_tasks)
		return GN_THROTTLE_NONE;
	if (throttle->checkpoint_us)
		return has_passed(throttle, throttle->checkpoint_us,
				  config->checkpoint_ms)
			       ? GN_THROTTLE_STOP
			       : GN_THROTTLE_NONE;
	if (throttle->floor_us &&
	    has_passed(throttle, throttle->floor_us, config->patience_ms))
		return GN_THROTTLE_CHECKPOINT;
	return GN_THROTTLE_NONE;
}

void gn_throttle_advise(const gn_throttle_t *throttle, unsigned running_tasks,
			gn_throttle_advice_t *advice)
{
	double speed = PER_CENT;

	if (running_tasks)
		speed = throttle->concurrency * PER_CENT / running_tasks;
	speed = MIN(speed, PER_CENT);
	advice->speed_pct = MAX((unsigned)speed, throttle->config.floor_pct);
	advice->task_limit = (unsigned)throttle->concurrency;
	advice->step = next_step(throttle, running_tasks);
}

/** Whether the tail stays below the cut with a task that adds so much. */
static bool fits(const gn_throttle_t *throttle, double added)
{
	double slowest = added * throttle->config.floor_pct / PER_CENT;
	double share = throttle->share + throttle->begun + slowest;

	return share * PER_CENT <= throttle->config.high_pct;
}

bool gn_throttle_may_start(const gn_throttle_t *throttle,
			   unsigned running_tasks, double added, bool known)
{
	if (running_tasks >= throttle->config.max_tasks)
		return false;
	if (throttle->floor_us)
		return false;
	if (known && added > QUIET_ADDED && !fits(throttle, added))
		return false;
	if (running_tasks < (unsigned)throttle->concurrency)
		return true;
	return known && added <= QUIET_ADDED;
}
