#include "route/pick.h"

#include <assert.h>

#include "route/view_internal.h"

/** Service time assumed while no worker of the service has reported one. */
#define DEFAULT_SERVICE_TIME_US (10 * GN_US_PER_MS)

/* ======   Workers already tried   ====== */

void gn_route_tried_add(gn_route_tried_t *tried,
			const gn_route_worker_t *worker)
{
	assert(tried->count < GN_ROUTE_ATTEMPTS_MAX);
	tried->ids[tried->count] = worker->id;
	tried->count++;
}

bool gn_route_tried_contains(const gn_route_tried_t *tried,
			     const gn_route_worker_t *worker)
{
	if (!tried)
		return false;
	for (unsigned i = 0; i < tried->count; i++)
		if (tried->ids[i] == worker->id)
			return true;
	return false;
}

/* ======   Estimates   ====== */

static double service_time_us(const gn_route_worker_t *worker)
{
	if (worker->service_time_us > 0)
		return worker->service_time_us;
	if (worker->service->service_time_us > 0)
		return worker->service->service_time_us;
	return DEFAULT_SERVICE_TIME_US;
}

/**
 * Returns the cost by which candidates are compared. Squaring the load per core
 * makes a worker far below its limit nearly free, so a request goes to another
 * data centre, with its longer delay, only to avoid real queueing.
 */
static double cost_us(const gn_route_worker_t *worker, uint64_t now_us)
{
	double load_per_core =
		(gn_route_worker_load(worker, now_us) + 1) / worker->cores;

	return 2.0 * worker->one_way_us +
	       service_time_us(worker) * load_per_core * load_per_core;
}

uint64_t gn_route_worker_idle_response_us(const gn_route_worker_t *worker)
{
	return (uint64_t)(2.0 * worker->one_way_us + service_time_us(worker));
}

uint64_t gn_route_worker_response_us(const gn_route_worker_t *worker,
				     uint64_t now_us)
{
	double load_per_core =
		(gn_route_worker_load(worker, now_us) + 1) / worker->cores;

	return (uint64_t)(2.0 * worker->one_way_us +
			  service_time_us(worker) * MAX(load_per_core, 1.0));
}

/* ======   Candidates   ====== */

/**
 * Returns the first ready worker, from index @p start on, that was not tried.
 * Checks at most one worker more than were tried.
 */
static gn_route_worker_t *first_untried(const gn_route_pool_t *pool,
					unsigned start,
					const gn_route_tried_t *tried)
{
	unsigned tries = 1 + (tried ? tried->count : 0);

	for (unsigned i = 0; i < MIN(tries, pool->ready); i++) {
		gn_route_worker_t *worker =
			pool->workers[(start + i) % pool->ready];

		if (!gn_route_tried_contains(tried, worker))
			return worker;
	}
	return NULL;
}

static unsigned draw(GRand *rand, unsigned below)
{
	return (unsigned)g_rand_int_range(rand, 0, (gint32)below);
}

/** Returns the cheaper of two workers drawn from @p pool, or NULL. */
static gn_route_worker_t *pick_cheaper_of_two(const gn_route_pool_t *pool,
					      GRand *rand,
					      const gn_route_tried_t *tried,
					      uint64_t now_us)
{
	gn_route_worker_t *a;
	gn_route_worker_t *b;
	unsigned first;
	unsigned second;

	if (!pool->ready)
		return NULL;
	first = draw(rand, pool->ready);
	a = first_untried(pool, first, tried);
	if (!a || pool->ready == 1)
		return a;
	second = (first + 1 + draw(rand, pool->ready - 1)) % pool->ready;
	b = first_untried(pool, second, tried);
	return cost_us(b, now_us) < cost_us(a, now_us) ? b : a;
}

/**
 * Returns the worker at @p index in the sequence of all ready workers, the
 * local pool first. If that worker was tried, returns another one.
 */
static gn_route_worker_t *ready_worker_at(const gn_route_service_t *service,
					  unsigned index,
					  const gn_route_tried_t *tried)
{
	const gn_route_pool_t *local = &service->pools[GN_ROUTE_LOCAL];
	const gn_route_pool_t *remote = &service->pools[GN_ROUTE_REMOTE];
	gn_route_worker_t *worker;

	if (index < local->ready) {
		worker = first_untried(local, index, tried);
		return worker ? worker : first_untried(remote, 0, tried);
	}
	worker = first_untried(remote, index - local->ready, tried);
	return worker ? worker : first_untried(local, 0, tried);
}

static unsigned ready_count(const gn_route_service_t *service)
{
	return service->pools[GN_ROUTE_LOCAL].ready +
	       service->pools[GN_ROUTE_REMOTE].ready;
}

/* ======   Policies   ====== */

static gn_route_worker_t *pick_two_choices(const gn_route_view_t *view,
					   gn_str_t name, GRand *rand,
					   const gn_route_tried_t *tried)
{
	const gn_route_service_t *service =
		gn_route_view_find_service(view, name);
	uint64_t now_us = gn_clock_now_us(view->clock);
	gn_route_worker_t *local;
	gn_route_worker_t *remote;

	local = pick_cheaper_of_two(&service->pools[GN_ROUTE_LOCAL], rand,
				    tried, now_us);
	remote = pick_cheaper_of_two(&service->pools[GN_ROUTE_REMOTE], rand,
				     tried, now_us);
	if (!local || !remote)
		return local ? local : remote;
	return cost_us(remote, now_us) < cost_us(local, now_us) ? remote
								: local;
}

static gn_route_worker_t *pick_random(const gn_route_view_t *view,
				      gn_str_t name, GRand *rand,
				      const gn_route_tried_t *tried)
{
	const gn_route_service_t *service =
		gn_route_view_find_service(view, name);
	unsigned ready = ready_count(service);

	return ready ? ready_worker_at(service, draw(rand, ready), tried)
		     : NULL;
}

static gn_route_worker_t *pick_round_robin(const gn_route_view_t *view,
					   gn_str_t name, GRand *rand,
					   const gn_route_tried_t *tried)
{
	gn_route_service_t *service = gn_route_view_find_service(view, name);
	unsigned ready = ready_count(service);

	(void)rand;
	if (!ready)
		return NULL;
	service->cursor = (service->cursor + 1) % ready;
	return ready_worker_at(service, service->cursor, tried);
}

static gn_route_worker_t *pick_least_reported(const gn_route_view_t *view,
					      gn_str_t name, GRand *rand,
					      const gn_route_tried_t *tried)
{
	const gn_route_service_t *service =
		gn_route_view_find_service(view, name);
	unsigned ready = ready_count(service);
	unsigned start = ready ? draw(rand, ready) : 0;
	gn_route_worker_t *best = NULL;

	for (unsigned i = 0; i < ready; i++) {
		gn_route_worker_t *worker =
			ready_worker_at(service, (start + i) % ready, tried);

		if (worker && (!best || worker->reported_requests <
						best->reported_requests))
			best = worker;
	}
	return best;
}

const gn_route_policy_t gn_route_policies[GN_ROUTE_POLICY_COUNT] = {
	[GN_ROUTE_TWO_CHOICES] = { "two-choices", pick_two_choices },
	[GN_ROUTE_RANDOM] = { "random", pick_random },
	[GN_ROUTE_ROUND_ROBIN] = { "round-robin", pick_round_robin },
	[GN_ROUTE_LEAST_REPORTED] = { "least-reported", pick_least_reported },
};

gn_code_t gn_route_pick(const gn_route_policy_t *policy,
			const gn_route_view_t *view, gn_str_t service,
			GRand *rand, const gn_route_tried_t *tried,
			gn_route_choice_t *choice)
{
	const gn_route_service_t *found =
		gn_route_view_find_service(view, service);
	gn_route_worker_t *worker;

	if (!found)
		return GN_ERR_NOT_FOUND;
	worker = policy->pick(view, service, rand, tried);
	if (worker) {
		choice->worker = worker;
		choice->idle_response_us =
			gn_route_worker_idle_response_us(worker);
		choice->response_us = gn_route_worker_response_us(
			worker, gn_clock_now_us(view->clock));
		return GN_OK;
	}
	if (ready_count(found))
		return GN_ERR_UNAVAILABLE;
	return found->full ? GN_ERR_CAPACITY : GN_ERR_UNAVAILABLE;
}
