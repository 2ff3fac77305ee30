#include "route/view_internal.h"

#include <assert.h>

#define INITIAL_POOL_SIZE 16

static void swap_workers(gn_route_pool_t *pool, unsigned a, unsigned b)
{
	gn_route_worker_t *worker = pool->workers[a];

	pool->workers[a] = pool->workers[b];
	pool->workers[b] = worker;
	pool->workers[a]->index = a;
	pool->workers[b]->index = b;
}

gn_code_t gn_route_pool_reserve(gn_route_service_t *service,
				gn_route_pool_t *pool)
{
	unsigned size = pool->size ? pool->size * 2 : INITIAL_POOL_SIZE;
	gn_route_worker_t **workers;

	if (pool->count < pool->size)
		return GN_OK;
	workers = talloc_realloc(service, pool->workers, gn_route_worker_t *,
				 size);
	if (!workers)
		return GN_ERR_MEMORY;
	pool->workers = workers;
	pool->size = size;
	return GN_OK;
}

gn_route_pool_t *gn_route_worker_pool(const gn_route_worker_t *worker)
{
	return &worker->service->pools[worker->zone];
}

static bool is_full(const gn_route_worker_t *worker)
{
	double others = MAX(worker->others_mean, 0.0);

	return worker->refused_as_full ||
	       worker->in_flight + others >= worker->max_connections;
}

static void update_service_counts(gn_route_worker_t *worker)
{
	gn_route_service_t *service = worker->service;
	bool live = worker->link_up && worker->backend_up && !worker->draining;
	bool full = live && is_full(worker);

	service->live += (unsigned)live - (unsigned)worker->live;
	service->full += (unsigned)full - (unsigned)worker->full;
	worker->live = live;
	worker->full = full;
}

void gn_route_worker_update_ready(gn_route_worker_t *worker)
{
	gn_route_pool_t *pool;
	bool was_ready;
	bool ready;

	if (worker->removed)
		return;
	update_service_counts(worker);
	pool = gn_route_worker_pool(worker);
	was_ready = worker->index < pool->ready;
	ready = worker->live && !worker->full &&
		worker->in_flight < worker->dispatch_limit;
	if (ready && !was_ready) {
		swap_workers(pool, worker->index, pool->ready);
		pool->ready++;
	} else if (!ready && was_ready) {
		pool->ready--;
		swap_workers(pool, worker->index, pool->ready);
	}
	assert(pool->ready <= pool->count);
}

void gn_route_pool_remove(gn_route_worker_t *worker)
{
	gn_route_pool_t *pool = gn_route_worker_pool(worker);
	gn_route_service_t *service = worker->service;

	if (worker->index < pool->ready) {
		pool->ready--;
		swap_workers(pool, worker->index, pool->ready);
	}
	pool->count--;
	swap_workers(pool, worker->index, pool->count);
	service->live -= worker->live;
	service->full -= worker->full;
	service->in_flight -= worker->in_flight;
	worker->live = false;
	worker->full = false;
	worker->service = NULL;
}

gn_code_t gn_route_pool_add(gn_route_worker_t *worker,
			    gn_route_service_t *service, gn_route_zone_t zone)
{
	gn_route_pool_t *pool = &service->pools[zone];
	gn_code_t code = gn_route_pool_reserve(service, pool);

	if (code != GN_OK)
		return code;
	worker->service = service;
	worker->zone = zone;
	worker->index = pool->count;
	pool->workers[pool->count] = worker;
	pool->count++;
	service->in_flight += worker->in_flight;
	return GN_OK;
}
