/**
 * @file interference_tail.c
 * @brief Measures the tail latency of the requests passing through the agent.
 */
#include <stdlib.h>

#include "agent/interference_internal.h"

/** Minimum length of a window, milliseconds. */
#define WINDOW_MIN_MS 1000
/** Length at which a window closes with any number of requests, ms. */
#define WINDOW_MAX_MS 10000
/** Percentile of the tail, per mille. */
#define TAIL_PER_MILLE 990

void agent_interference_record_request(agent_t *agent, uint64_t spent_us)
{
	interference_window_t *window = &agent->interference->window;

	window->spent_us[window->requests % INTERFERENCE_WINDOW_REQUESTS] =
		(uint32_t)MIN(spent_us, UINT32_MAX);
	window->requests++;
	window->sum_us += spent_us;
}

static int compare_times(const void *a, const void *b)
{
	uint32_t first = *(const uint32_t *)a;
	uint32_t second = *(const uint32_t *)b;

	return (first > second) - (first < second);
}

static uint32_t compute_tail(interference_window_t *window)
{
	size_t count = MIN(window->requests, INTERFERENCE_WINDOW_REQUESTS);

	if (!count)
		return 0;
	qsort(window->spent_us, count, sizeof(window->spent_us[0]),
	      compare_times);
	return window->spent_us[count * TAIL_PER_MILLE / 1000];
}

static void measure_window(agent_t *agent, uint64_t now_us)
{
	agent_interference_t *self = agent->interference;
	uint64_t length_us = now_us - self->window.begin_us;
	uint64_t capacity_us =
		length_us * agent->runtime->settings->max_connections;

	self->measured.tail_us = compute_tail(&self->window);
	self->measured.requests = self->window.requests;
	self->measured.load_pct =
		(unsigned)(self->window.sum_us * INTERFERENCE_PERCENT /
			   capacity_us);
	gn_counter_inc(self->counters.tails);
	if (self->measured.tail_us > self->config.target_us)
		gn_counter_inc(self->counters.tails_high);
}

static void update_models(agent_interference_t *self, uint64_t now_us)
{
	const interference_measured_t *measured = &self->measured;
	const gn_throttle_sample_t sample = {
		.tail_us = measured->tail_us,
		.requests = measured->requests,
		.measured_us = self->window.begin_us,
	};
	double share = (double)measured->tail_us / self->config.target_us;

	/* The tasks that ran in the middle represent the whole window. */
	if (measured->requests >= self->config.min_samples)
		gn_interfere_learn(self->interfere,
				   (self->window.begin_us + now_us) / 2,
				   measured->load_pct, share);
	gn_throttle_add_sample(self->throttle, &sample, self->running_batch);
}

void interference_close_window(agent_t *agent, uint64_t now_us)
{
	agent_interference_t *self = agent->interference;
	uint64_t length_us = now_us - self->window.begin_us;

	if (length_us < WINDOW_MIN_MS * GN_US_PER_MS)
		return;
	if (self->window.requests < self->config.min_samples &&
	    length_us < WINDOW_MAX_MS * GN_US_PER_MS)
		return;
	measure_window(agent, now_us);
	update_models(self, now_us);
	self->window.begin_us = now_us;
	self->window.sum_us = 0;
	self->window.requests = 0;
}
