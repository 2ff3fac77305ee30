#include "route/eject.h"

#include <assert.h>
#include <math.h>

#include "route/tally.h"
#include "route/view_internal.h"

/** Dispatch limit of a worker whose recovery starts. */
#define FIRST_DISPATCH_LIMIT 2
/**
 * Number of standard deviations by which an outlier's failures exceed the
 * number expected from the other workers' failure rate.
 */
#define OUTLIER_SIGMAS 4.0
/** Maximum number of times that the length of the first ejection is doubled. */
#define MAX_EJECTION_DOUBLINGS 16
/**
 * Each ejection is lengthened by a random part of its length, up to this
 * percentage, so that workers ejected together don't return together.
 */
#define JITTER_PCT 25
/** Failures at which a recovering worker is ejected again. */
#define RELAPSE_FAILURES 2.0

struct gn_eject_s {
	gn_route_view_t *view;
	const gn_clock_t *clock;
	GRand *rand;
	gn_eject_config_t config;
	GQueue not_passing; /**< Workers that aren't passing. */
};

gn_eject_config_t gn_eject_defaults(void)
{
	gn_eject_config_t config = {
		.half_life_ms = 2000,
		.min_failures = 3,
		.fail_margin_pct = 30,
		.slow_factor = 4,
		.slow_min_us = 20000,
		.slow_min_successes = 20,
		.max_ejected_pct = 50,
		.first_ms = 1000,
		.longest_ms = 60000,
		.probe_interval_ms = 250,
		.probes = 3,
		.growth_interval_ms = 500,
	};

	return config;
}

static bool is_within(uint64_t value, uint64_t min, uint64_t max)
{
	return value >= min && value <= max;
}

static bool is_config_valid(const gn_eject_config_t *config)
{
	return is_within(config->half_life_ms, 100, 60000) &&
	       is_within(config->min_failures, 2, 100) &&
	       is_within(config->fail_margin_pct, 5, 100) &&
	       is_within(config->slow_factor, 2, 100) &&
	       is_within(config->slow_min_us, 1000, 10 * GN_US_PER_S) &&
	       is_within(config->slow_min_successes, 5, 1000) &&
	       is_within(config->max_ejected_pct, 1, 90) &&
	       is_within(config->first_ms, 100, 60000) &&
	       is_within(config->longest_ms, config->first_ms, 3600000) &&
	       is_within(config->probe_interval_ms, 10, 60000) &&
	       is_within(config->probes, 1, 100) &&
	       is_within(config->growth_interval_ms, 10, 60000);
}

/* ======   Health transitions   ====== */

static bool is_ejected(const gn_route_worker_t *worker)
{
	return worker->health == GN_ROUTE_EJECTED;
}

static void set_health(gn_eject_t *eject, gn_route_worker_t *worker,
		       gn_route_health_t health, unsigned limit)
{
	bool was_listed = worker->health != GN_ROUTE_PASSING;
	bool is_listed = health != GN_ROUTE_PASSING;

	worker->service->ejected -= is_ejected(worker);
	worker->health = health;
	worker->dispatch_limit = limit;
	worker->service->ejected += is_ejected(worker);
	if (is_listed && !was_listed)
		g_queue_push_tail_link(&eject->not_passing, &worker->link);
	if (!is_listed && was_listed)
		g_queue_unlink(&eject->not_passing, &worker->link);
	gn_route_worker_update_ready(worker);
}

static uint64_t time_after_us(const gn_eject_t *eject, uint64_t delay_ms)
{
	return gn_clock_now_us(eject->clock) + delay_ms * GN_US_PER_MS;
}

static uint64_t draw_ejection_ms(const gn_eject_t *eject,
				 const gn_route_worker_t *worker)
{
	uint64_t length_ms = (uint64_t)eject->config.first_ms
			     << MIN(worker->ejections, MAX_EJECTION_DOUBLINGS);
	double jitter = g_rand_double_range(eject->rand, 0, JITTER_PCT / 100.0);

	length_ms = MIN(length_ms, eject->config.longest_ms);
	return length_ms + (uint64_t)((double)length_ms * jitter);
}

/**
 * Includes the worker's failure rate in its service's sum, or excludes it if @p
 * rated is false.
 */
static void set_failure_rate(gn_route_worker_t *worker, bool rated, double rate)
{
	gn_route_service_t *service = worker->service;

	service->failure_rate_sum += rate - worker->failure_rate;
	service->rated_workers +=
		(unsigned)rated - (unsigned)worker->has_failure_rate;
	worker->failure_rate = rate;
	worker->has_failure_rate = rated;
	if (!service->rated_workers)
		service->failure_rate_sum = 0;
}

static void discard_results(gn_route_worker_t *worker)
{
	gn_route_tally_t *whole = &worker->service->tally;

	/*
	 * The worker's past results must not affect the comparison with the
	 * others.
	 */
	*whole = gn_route_tally_subtract(whole, &worker->tally);
	worker->tally = (gn_route_tally_t){ .at_us = whole->at_us };
	set_failure_rate(worker, false, 0);
}

static void start_ejection(gn_eject_t *eject, gn_route_worker_t *worker)
{
	worker->next_check_us =
		time_after_us(eject, draw_ejection_ms(eject, worker));
	worker->ejections++;
	worker->successful_probes = 0;
	discard_results(worker);
	set_health(eject, worker, GN_ROUTE_EJECTED, 0);
}

static void start_probation(gn_eject_t *eject, gn_route_worker_t *worker)
{
	worker->successful_probes = 0;
	worker->next_check_us = 0;
	set_health(eject, worker, GN_ROUTE_PROBATION, 1);
}

static void start_recovery(gn_eject_t *eject, gn_route_worker_t *worker)
{
	worker->next_check_us =
		time_after_us(eject, eject->config.growth_interval_ms);
	set_health(eject, worker, GN_ROUTE_RECOVERING, FIRST_DISPATCH_LIMIT);
}

/** Returns how many live workers of @p service may be ejected at a time. */
static unsigned max_ejected(const gn_eject_t *eject,
			    const gn_route_service_t *service)
{
	return service->live * eject->config.max_ejected_pct / 100;
}

static bool may_eject(const gn_eject_t *eject,
		      const gn_route_service_t *service)
{
	return service->ejected < max_ejected(eject, service);
}

/* ======   Outlier detection   ====== */

/**
 * Every other worker has the same weight, however many requests it had. Workers
 * that fail fast attract more requests than the rest; weighted by requests,
 * several of them would hide each other.
 */
static bool is_failure_outlier(const gn_eject_config_t *config,
			       const gn_route_worker_t *worker)
{
	const gn_route_service_t *service = worker->service;
	const gn_route_tally_t *own = &worker->tally;
	double count = own->successes + own->failures;
	double rest;
	double noise_bound;

	/* The decay keeps the sum slightly below the number of failures. */
	if (own->failures < config->min_failures - 0.5 ||
	    service->rated_workers < 2)
		return false;
	rest = (service->failure_rate_sum - worker->failure_rate) /
	       (service->rated_workers - 1);
	rest = CLAMP(rest, 0, 1);
	if (worker->failure_rate < rest + config->fail_margin_pct / 100.0)
		return false;
	noise_bound = OUTLIER_SIGMAS * sqrt(count * rest * (1 - rest));
	return own->failures >= count * rest + noise_bound;
}

static bool is_latency_outlier(const gn_eject_config_t *config,
			       const gn_route_tally_t *own,
			       const gn_route_tally_t *rest)
{
	double mean_us = gn_route_tally_mean_us(own);
	double rest_us = gn_route_tally_mean_us(rest);

	if (own->successes < config->slow_min_successes)
		return false;
	if (rest->successes < config->slow_min_successes)
		return false;
	return mean_us >= rest_us * config->slow_factor &&
	       mean_us >= rest_us + config->slow_min_us;
}

static bool is_outlier(const gn_eject_t *eject, const gn_route_worker_t *worker)
{
	const gn_route_tally_t *own = &worker->tally;
	gn_route_tally_t rest =
		gn_route_tally_subtract(&worker->service->tally, own);

	return is_failure_outlier(&eject->config, worker) ||
	       is_latency_outlier(&eject->config, own, &rest);
}

/* ======   Results   ====== */

static void count_result(gn_eject_t *eject, gn_route_worker_t *worker,
			 gn_eject_result_t result, uint64_t time_us)
{
	uint64_t half_life_us =
		(uint64_t)eject->config.half_life_ms * GN_US_PER_MS;
	uint64_t now_us = gn_clock_now_us(eject->clock);
	gn_route_tally_t *tallies[] = { &worker->tally,
					&worker->service->tally };

	for (size_t i = 0; i < G_N_ELEMENTS(tallies); i++) {
		gn_route_tally_decay(tallies[i], now_us, half_life_us);
		if (result == GN_EJECT_SUCCESS)
			gn_route_tally_add_success(tallies[i], time_us);
		else
			gn_route_tally_add_failure(tallies[i]);
	}
	set_failure_rate(worker, true,
			 gn_route_tally_failure_rate(&worker->tally));
}

static void check_outlier(gn_eject_t *eject, gn_route_worker_t *worker)
{
	if (is_outlier(eject, worker) && may_eject(eject, worker->service))
		start_ejection(eject, worker);
}

static void check_probe(gn_eject_t *eject, gn_route_worker_t *worker,
			gn_eject_result_t result)
{
	if (result == GN_EJECT_FAILURE) {
		start_ejection(eject, worker);
		return;
	}
	worker->successful_probes += result == GN_EJECT_SUCCESS;
	if (worker->successful_probes >= eject->config.probes) {
		start_recovery(eject, worker);
		return;
	}
	/* No dispatches until the next probe is due. */
	worker->next_check_us =
		time_after_us(eject, eject->config.probe_interval_ms);
	worker->dispatch_limit = 0;
	gn_route_worker_update_ready(worker);
}

static void check_recovery(gn_eject_t *eject, gn_route_worker_t *worker,
			   gn_eject_result_t result)
{
	const gn_route_tally_t *own = &worker->tally;

	if (result == GN_EJECT_FAILURE &&
	    own->failures >= RELAPSE_FAILURES - 0.5 &&
	    own->failures > own->successes / 4)
		start_ejection(eject, worker);
	else
		check_outlier(eject, worker);
}

void gn_eject_record_result(gn_eject_t *eject, gn_route_worker_t *worker,
			    gn_eject_result_t result, uint64_t time_us)
{
	if (worker->removed)
		return;
	count_result(eject, worker, result, time_us);
	switch (worker->health) {
	case GN_ROUTE_PASSING:
		check_outlier(eject, worker);
		break;
	case GN_ROUTE_PROBATION:
		check_probe(eject, worker, result);
		break;
	case GN_ROUTE_RECOVERING:
		check_recovery(eject, worker, result);
		break;
	default:
		/* The result of a dispatch from before the ejection. */
		discard_results(worker);
		break;
	}
}

/* ======   Timed transitions   ====== */

static void grow_dispatch_limit(gn_eject_t *eject, gn_route_worker_t *worker)
{
	unsigned limit = worker->dispatch_limit * 2;

	if (limit >= worker->max_connections) {
		set_health(eject, worker, GN_ROUTE_PASSING, GN_ROUTE_NO_LIMIT);
		return;
	}
	worker->next_check_us =
		time_after_us(eject, eject->config.growth_interval_ms);
	worker->dispatch_limit = limit;
	gn_route_worker_update_ready(worker);
}

static void advance_health(gn_eject_t *eject, gn_route_worker_t *worker)
{
	switch (worker->health) {
	case GN_ROUTE_EJECTED:
		start_probation(eject, worker);
		break;
	case GN_ROUTE_PROBATION:
		worker->dispatch_limit = 1;
		gn_route_worker_update_ready(worker);
		break;
	case GN_ROUTE_RECOVERING:
		grow_dispatch_limit(eject, worker);
		break;
	default:
		assert(0);
	}
}

void gn_eject_tick(gn_eject_t *eject)
{
	uint64_t now_us = gn_clock_now_us(eject->clock);
	GList *link = eject->not_passing.head;

	while (link) {
		gn_route_worker_t *worker = link->data;

		link = link->next;
		if (now_us >= worker->next_check_us) {
			advance_health(eject, worker);
			continue;
		}
		/*
		 * The service has fewer live workers than before; apply the cap
		 * to the remaining ones.
		 */
		if (is_ejected(worker) &&
		    worker->service->ejected >
			    max_ejected(eject, worker->service))
			start_probation(eject, worker);
	}
}

unsigned gn_eject_not_passing_count(const gn_eject_t *eject)
{
	return eject->not_passing.length;
}

/* ======   Creation   ====== */

static void on_worker_removed(void *data, gn_route_worker_t *worker)
{
	gn_eject_t *eject = data;

	discard_results(worker);
	worker->ejections = 0;
	if (worker->health != GN_ROUTE_PASSING)
		set_health(eject, worker, GN_ROUTE_PASSING, GN_ROUTE_NO_LIMIT);
}

gn_eject_t *gn_eject_create(TALLOC_CTX *parent, gn_route_view_t *view,
			    const gn_clock_t *clock, GRand *rand,
			    const gn_eject_config_t *config)
{
	gn_eject_t *eject;

	assert(!view->on_remove);
	if (!is_config_valid(config))
		return NULL;
	eject = talloc_zero(parent, gn_eject_t);
	if (!eject)
		return NULL;
	eject->view = view;
	eject->clock = clock;
	eject->rand = rand;
	eject->config = *config;
	g_queue_init(&eject->not_passing);
	view->on_remove = on_worker_removed;
	view->on_remove_data = eject;
	return eject;
}
