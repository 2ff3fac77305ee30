#include "admit/throttle.h"

#include <assert.h>
#include <glib.h>

#define PER_CENT 100
/**
 * Maximum contribution to the tail, as a share of the target, at which a task
 * counts as not interfering.
 */
#define NEGLIGIBLE_ADDED 0.03

struct gn_throttle_s {
	const gn_clock_t *clock;
	gn_throttle_config_t config;
	double concurrency; /**< Allowed batch work, in tasks at full speed. */
	uint64_t last_cut_us; /**< Time of the last cut; 0: none. */
	/**
	 * Time since which the tail has been too high with all tasks at the
	 * lowest speed; 0: it isn't.
	 */
	uint64_t at_floor_since_us;
	/** Time at which a task was told to checkpoint; 0: none. */
	uint64_t checkpoint_us;
	/**
	 * Last tail as a share of the target; 0 if there were too few requests.
	 */
	double share;
	/**
	 * Estimated contribution of the tasks started after the last tail was
	 * measured.
	 */
	double unmeasured_added;
	uint64_t last_start_us; /**< Time of the last task start. */
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

static double weight_share(unsigned weight,
			   const gn_throttle_weights_t *weights)
{
	unsigned all = weights->tail + weights->throughput + weights->evictions;

	return all ? (double)weight / all : 1.0 / 3;
}

gn_throttle_config_t gn_throttle_defaults(uint32_t target_us,
					  unsigned max_tasks,
					  const gn_throttle_weights_t *weights)
{
	double tail = weight_share(weights->tail, weights);
	double throughput = weight_share(weights->throughput, weights);
	double evictions = weight_share(weights->evictions, weights);
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

static bool is_within(unsigned value, unsigned min, unsigned max)
{
	return value >= min && value <= max;
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

/** Returns the concurrency at which all running tasks have the lowest speed. */
static double min_concurrency(const gn_throttle_t *throttle,
			      unsigned running_tasks)
{
	return (double)running_tasks * throttle->config.floor_pct / PER_CENT;
}

static void cut_concurrency(gn_throttle_t *throttle, unsigned running_tasks)
{
	double least = min_concurrency(throttle, running_tasks);
	double from = MIN(throttle->concurrency, running_tasks);
	uint64_t now_us = gn_clock_now_us(throttle->clock);

	throttle->concurrency = from * throttle->config.cut_pct / PER_CENT;
	throttle->last_cut_us = now_us;
	if (throttle->concurrency > least) {
		throttle->at_floor_since_us = 0;
		return;
	}
	throttle->concurrency = least;
	if (!throttle->at_floor_since_us)
		throttle->at_floor_since_us = MAX(now_us, 1);
}

static void grow_concurrency(gn_throttle_t *throttle)
{
	const gn_throttle_config_t *config = &throttle->config;
	double step = (double)config->max_tasks * config->step_pct / PER_CENT;

	throttle->concurrency =
		MIN(throttle->concurrency + step, config->max_tasks);
	throttle->at_floor_since_us = 0;
}

static bool is_settled(const gn_throttle_t *throttle,
		       const gn_throttle_sample_t *sample)
{
	uint64_t settle_us =
		(uint64_t)throttle->config.settle_ms * GN_US_PER_MS;

	if (!throttle->last_cut_us)
		return true;
	return sample->measured_us >= throttle->last_cut_us + settle_us;
}

/** Stores the tail for later decisions on task starts. */
static void record_tail(gn_throttle_t *throttle,
			const gn_throttle_sample_t *sample)
{
	throttle->share = 0;
	if (sample->requests >= throttle->config.min_samples)
		throttle->share =
			(double)sample->tail_us / throttle->config.target_us;
	if (sample->measured_us >= throttle->last_start_us)
		throttle->unmeasured_added = 0;
}

void gn_throttle_add_sample(gn_throttle_t *throttle,
			    const gn_throttle_sample_t *sample,
			    unsigned running_tasks)
{
	const gn_throttle_config_t *config = &throttle->config;
	double share = (double)sample->tail_us * PER_CENT / config->target_us;

	record_tail(throttle, sample);
	if (!is_settled(throttle, sample))
		return;
	if (sample->requests < config->min_samples) {
		/*
		 * With so few requests there is hardly any service to disturb.
		 */
		grow_concurrency(throttle);
		return;
	}
	if (share > config->high_pct && running_tasks)
		cut_concurrency(throttle, running_tasks);
	else if (share < config->low_pct)
		grow_concurrency(throttle);
	else
		throttle->at_floor_since_us = 0;
}

void gn_throttle_begin_checkpoint(gn_throttle_t *throttle)
{
	assert(!throttle->checkpoint_us);
	throttle->checkpoint_us = MAX(gn_clock_now_us(throttle->clock), 1);
}

void gn_throttle_end_checkpoint(gn_throttle_t *throttle, unsigned running_tasks)
{
	throttle->checkpoint_us = 0;
	if (!throttle->at_floor_since_us)
		return;
	/*
	 * Measure the effect of the remaining tasks before another one is told
	 * to checkpoint.
	 */
	throttle->at_floor_since_us = MAX(gn_clock_now_us(throttle->clock), 1);
	throttle->concurrency = MIN(throttle->concurrency,
				    min_concurrency(throttle, running_tasks));
}

void gn_throttle_record_start(gn_throttle_t *throttle, double added)
{
	throttle->unmeasured_added +=
		added * throttle->config.floor_pct / PER_CENT;
	throttle->last_start_us = gn_clock_now_us(throttle->clock);
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
	if (throttle->at_floor_since_us &&
	    has_passed(throttle, throttle->at_floor_since_us,
		       config->patience_ms))
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

/**
 * Whether the tail stays below the cut threshold after the start of a
 * task with the contribution @p added.
 */
static bool stays_below_cut(const gn_throttle_t *throttle, double added)
{
	double slowest = added * throttle->config.floor_pct / PER_CENT;
	double share = throttle->share + throttle->unmeasured_added + slowest;

	return share * PER_CENT <= throttle->config.high_pct;
}

bool gn_throttle_may_start(const gn_throttle_t *throttle,
			   unsigned running_tasks, double added, bool known)
{
	if (running_tasks >= throttle->config.max_tasks)
		return false;
	if (throttle->at_floor_since_us)
		return false;
	if (known && added > NEGLIGIBLE_ADDED &&
	    !stays_below_cut(throttle, added))
		return false;
	if (running_tasks < (unsigned)throttle->concurrency)
		return true;
	return known && added <= NEGLIGIBLE_ADDED;
}
