#include "route/view_internal.h"

#include <assert.h>
#include <string.h>

#define MAX_CONNECTIONS 4096
#define MAX_ONE_WAY_US (10 * GN_US_PER_S)

/**
 * Weight of a new report in the smoothed number of the other entries' requests.
 * Larger weights make entries oscillate, as they react to each other's outdated
 * reports.
 */
#define OTHERS_WEIGHT 0.1
/** Weight of a new report in the smoothed service time. */
#define TIME_WEIGHT 0.3
/**
 * Age, in service times, at which a report and the smoothed number have equal
 * weight in the estimate.
 */
#define REPORT_HALF_WEIGHT_AGE 1.0

static const char *const health_names[GN_ROUTE_HEALTH_COUNT] = {
	[GN_ROUTE_PASSING] = "passing",
	[GN_ROUTE_EJECTED] = "ejected",
	[GN_ROUTE_PROBATION] = "probation",
	[GN_ROUTE_RECOVERING] = "recovering",
};

const char *gn_route_health_name(gn_route_health_t health)
{
	if ((unsigned)health >= GN_ROUTE_HEALTH_COUNT)
		return "invalid";
	return health_names[health];
}

/* ======   Services   ====== */

gn_route_service_t *gn_route_view_find_service(const gn_route_view_t *view,
					       gn_str_t name)
{
	char key[GN_NAME_MAX + 1];

	if (gn_str_copy(key, sizeof(key), name) != GN_OK)
		return NULL;
	return g_hash_table_lookup(view->services, key);
}

static gn_route_service_t *find_or_add_service(gn_route_view_t *view,
					       gn_str_t name)
{
	gn_route_service_t *service = gn_route_view_find_service(view, name);

	if (service)
		return service;
	service = talloc_zero(view, gn_route_service_t);
	if (!service)
		return NULL;
	gn_str_copy(service->name, sizeof(service->name), name);
	service->name_len = name.len;
	g_hash_table_insert(view->services, service->name, service);
	return service;
}

static void free_service_if_empty(gn_route_view_t *view,
				  gn_route_service_t *service)
{
	for (int zone = 0; zone < GN_ROUTE_ZONE_COUNT; zone++)
		if (service->pools[zone].count)
			return;
	assert(!service->in_flight && !service->ejected);
	g_hash_table_remove(view->services, service->name);
	talloc_free(service);
}

/* ======   The view   ====== */

static int destroy_view(gn_route_view_t *view)
{
	g_hash_table_destroy(view->workers);
	g_hash_table_destroy(view->services);
	return 0;
}

gn_route_view_t *gn_route_view_create(TALLOC_CTX *parent,
				      const gn_clock_t *clock,
				      gn_str_t data_centre)
{
	gn_route_view_t *view = talloc_zero(parent, gn_route_view_t);

	if (!view)
		return NULL;
	view->clock = clock;
	gn_str_copy(view->data_centre, sizeof(view->data_centre), data_centre);
	view->workers = g_hash_table_new(g_str_hash, g_str_equal);
	view->services = g_hash_table_new(g_str_hash, g_str_equal);
	talloc_set_destructor(view, destroy_view);
	return view;
}

static bool is_valid_name(gn_str_t name)
{
	return name.len >= 1 && name.len <= GN_NAME_MAX;
}

static gn_code_t check_spec(const gn_route_spec_t *spec)
{
	if (!is_valid_name(spec->name) || !is_valid_name(spec->service) ||
	    !is_valid_name(spec->data_centre))
		return GN_ERR_RANGE;
	if (!spec->max_connections || spec->max_connections > MAX_CONNECTIONS)
		return GN_ERR_RANGE;
	if (spec->cores > MAX_CONNECTIONS || spec->one_way_us > MAX_ONE_WAY_US)
		return GN_ERR_RANGE;
	return GN_OK;
}

static void discard_reports(gn_route_worker_t *worker)
{
	worker->reported_requests = 0;
	worker->reported_us = 0;
	worker->service_time_us = 0;
	worker->others_reported = 0;
	worker->others_mean = 0;
	worker->backend_up = true;
	worker->draining = false;
	worker->refused_as_full = false;
}

static void apply_spec(gn_route_worker_t *worker, const gn_route_spec_t *spec)
{
	if (worker->incarnation != spec->incarnation)
		discard_reports(worker);
	gn_str_copy(worker->data_centre, sizeof(worker->data_centre),
		    spec->data_centre);
	worker->data_centre_len = spec->data_centre.len;
	worker->handle = spec->handle;
	worker->incarnation = spec->incarnation;
	worker->max_connections = spec->max_connections;
	worker->cores = spec->cores ? spec->cores : spec->max_connections;
	worker->one_way_us = spec->one_way_us;
	worker->link_up = true;
}

static gn_route_worker_t *add_worker(gn_route_view_t *view,
				     const gn_route_spec_t *spec)
{
	gn_route_worker_t *worker = talloc_zero(view, gn_route_worker_t);

	if (!worker)
		return NULL;
	gn_str_copy(worker->name, sizeof(worker->name), spec->name);
	worker->name_len = spec->name.len;
	worker->id = ++view->last_id;
	worker->dispatch_limit = GN_ROUTE_NO_LIMIT;
	worker->link.data = worker;
	discard_reports(worker);
	return worker;
}

/** Moves the worker to another service or zone if its spec requires so. */
static gn_code_t place_worker(gn_route_view_t *view, gn_route_worker_t *worker,
			      const gn_route_spec_t *spec)
{
	gn_route_service_t *service = find_or_add_service(view, spec->service);
	gn_route_service_t *old = worker->service;
	gn_route_zone_t zone = GN_ROUTE_REMOTE;

	if (!service)
		return GN_ERR_MEMORY;
	if (gn_str_equal(spec->data_centre, gn_str_from(view->data_centre)))
		zone = GN_ROUTE_LOCAL;
	if (old == service && worker->zone == zone)
		return GN_OK;
	if (gn_route_pool_reserve(service, &service->pools[zone]) != GN_OK)
		return GN_ERR_MEMORY;
	if (old) {
		if (view->on_remove)
			view->on_remove(view->on_remove_data, worker);
		gn_route_pool_remove(worker);
	}
	gn_route_pool_add(worker, service, zone);
	if (old)
		free_service_if_empty(view, old);
	return GN_OK;
}

gn_code_t gn_route_view_put(gn_route_view_t *view, const gn_route_spec_t *spec,
			    gn_route_worker_t **worker)
{
	gn_route_worker_t *found;
	gn_code_t code = check_spec(spec);
	bool is_new;

	if (code != GN_OK)
		return code;
	found = gn_route_view_find(view, spec->name);
	is_new = !found;
	if (is_new)
		found = add_worker(view, spec);
	if (!found)
		return GN_ERR_MEMORY;
	code = place_worker(view, found, spec);
	if (code != GN_OK) {
		if (is_new)
			talloc_free(found);
		return code;
	}
	apply_spec(found, spec);
	if (is_new)
		g_hash_table_insert(view->workers, found->name, found);
	gn_route_worker_update_ready(found);
	if (worker)
		*worker = found;
	return GN_OK;
}

gn_code_t gn_route_view_remove(gn_route_view_t *view, gn_str_t name)
{
	gn_route_worker_t *worker = gn_route_view_find(view, name);
	gn_route_service_t *service;

	if (!worker)
		return GN_ERR_NOT_FOUND;
	if (view->on_remove)
		view->on_remove(view->on_remove_data, worker);
	g_hash_table_remove(view->workers, worker->name);
	service = worker->service;
	gn_route_pool_remove(worker);
	free_service_if_empty(view, service);
	worker->removed = true;
	if (!worker->in_flight)
		talloc_free(worker);
	return GN_OK;
}

void gn_route_view_set_one_way(gn_route_worker_t *worker, uint32_t one_way_us)
{
	worker->one_way_us = MIN(one_way_us, MAX_ONE_WAY_US);
}

void gn_route_view_set_link(gn_route_view_t *view, gn_route_worker_t *worker,
			    bool up)
{
	(void)view;
	worker->link_up = up;
	gn_route_worker_update_ready(worker);
}

static double smooth(double old, double value, double weight)
{
	return old + (value - old) * weight;
}

static double smooth_service_time(double old_us, double time_us)
{
	return old_us > 0 ? smooth(old_us, time_us, TIME_WEIGHT) : time_us;
}

/**
 * Updates the smoothed service time, without the queueing time: queueing is
 * derived from the load, which is known more precisely than from a delayed
 * report.
 */
static void update_service_time(gn_route_worker_t *worker,
				const gn_route_report_t *report)
{
	gn_route_service_t *service = worker->service;
	double queue = (double)report->running_requests / worker->cores;
	double time_us = report->service_time_us / MAX(queue, 1.0);

	worker->service_time_us =
		smooth_service_time(worker->service_time_us, time_us);
	service->service_time_us =
		smooth_service_time(service->service_time_us, time_us);
}

void gn_route_view_report(gn_route_view_t *view, gn_route_worker_t *worker,
			  const gn_route_report_t *report)
{
	bool is_first = !worker->reported_us;

	(void)view;
	if (worker->removed || report->received_us < worker->reported_us)
		return;
	worker->reported_requests = report->running_requests;
	worker->reported_us = MAX(report->received_us, 1);
	worker->refused_as_full = false;
	worker->draining = report->draining;
	worker->backend_up = report->backend_up;
	worker->others_reported =
		(double)report->running_requests - worker->in_flight;
	if (is_first)
		worker->others_mean = worker->others_reported;
	else
		worker->others_mean =
			smooth(worker->others_mean, worker->others_reported,
			       OTHERS_WEIGHT);
	if (report->service_time_us)
		update_service_time(worker, report);
	gn_route_worker_update_ready(worker);
}

void gn_route_view_begin_dispatch(gn_route_view_t *view,
				  gn_route_worker_t *worker)
{
	(void)view;
	worker->in_flight++;
	if (worker->removed)
		return;
	worker->service->in_flight++;
	gn_route_worker_update_ready(worker);
}

void gn_route_view_end_dispatch(gn_route_view_t *view,
				gn_route_worker_t *worker)
{
	(void)view;
	assert(worker->in_flight);
	worker->in_flight--;
	if (worker->removed) {
		if (!worker->in_flight)
			talloc_free(worker);
		return;
	}
	worker->service->in_flight--;
	worker->refused_as_full = false;
	gn_route_worker_update_ready(worker);
}

void gn_route_view_note_full(gn_route_view_t *view, gn_route_worker_t *worker)
{
	(void)view;
	worker->refused_as_full = true;
	gn_route_worker_update_ready(worker);
}

/* ======   Queries   ====== */

double gn_route_worker_load(const gn_route_worker_t *worker, uint64_t now_us)
{
	double half_age_us = worker->service_time_us * REPORT_HALF_WEIGHT_AGE;
	double age_us = (double)(now_us - worker->reported_us);
	double others = worker->others_mean;

	/* An older report says less about the present load. */
	if (half_age_us > 0)
		others += (worker->others_reported - others) * half_age_us /
			  (half_age_us + age_us);
	return worker->in_flight + MAX(others, 0.0);
}

gn_route_worker_t *gn_route_view_find(const gn_route_view_t *view,
				      gn_str_t name)
{
	char key[GN_NAME_MAX + 1];

	if (gn_str_copy(key, sizeof(key), name) != GN_OK)
		return NULL;
	return g_hash_table_lookup(view->workers, key);
}

void gn_route_worker_info(const gn_route_worker_t *worker,
			  gn_route_info_t *info)
{
	const gn_route_service_t *service = worker->service;

	memset(info, 0, sizeof(*info));
	info->name = (gn_str_t){ worker->name, worker->name_len };
	if (service)
		info->service = (gn_str_t){ service->name, service->name_len };
	info->data_centre =
		(gn_str_t){ worker->data_centre, worker->data_centre_len };
	info->id = worker->id;
	info->handle = worker->handle;
	info->incarnation = worker->incarnation;
	info->max_connections = worker->max_connections;
	info->in_flight = worker->in_flight;
	info->reported_requests = worker->reported_requests;
	info->service_time_us = (uint32_t)worker->service_time_us;
	info->link_up = worker->link_up;
	info->backend_up = worker->backend_up;
	info->draining = worker->draining;
	info->ready =
		service && worker->index < gn_route_worker_pool(worker)->ready;
	info->health = worker->health;
}

void gn_route_view_totals(const gn_route_view_t *view, gn_str_t name,
			  gn_route_totals_t *totals)
{
	const gn_route_service_t *service =
		gn_route_view_find_service(view, name);

	memset(totals, 0, sizeof(*totals));
	if (!service)
		return;
	for (int zone = 0; zone < GN_ROUTE_ZONE_COUNT; zone++) {
		totals->workers += service->pools[zone].count;
		totals->ready += service->pools[zone].ready;
	}
	totals->full = service->full;
	totals->ejected = service->ejected;
	totals->in_flight = service->in_flight;
}

void gn_route_view_foreach(const gn_route_view_t *view, gn_route_visit_t visit,
			   void *data)
{
	GHashTableIter iter;
	gpointer worker;

	g_hash_table_iter_init(&iter, view->workers);
	while (g_hash_table_iter_next(&iter, NULL, &worker))
		visit(worker, data);
}
