/**
 * @file http.c
 * @brief The entry's HTTP interface: its routes and the status queries.
 */
#include <inttypes.h>
#include <stdio.h>

#include "entry/buckets.h"
#include "entry/config.h"
#include "entry/jobs.h"
#include "entry/keys.h"
#include "entry/membership.h"
#include "http/router.h"
#include "http/status.h"

static const char *get_worker_state(const entry_worker_t *worker,
				    const gn_route_info_t *info)
{
	if (worker->silent)
		return "silent";
	if (info->draining)
		return "draining";
	if (!info->backend_up)
		return "down";
	return info->health == GN_ROUTE_PASSING
		       ? "live"
		       : gn_route_health_name(info->health);
}

static json_t *worker_to_json(const entry_worker_t *worker)
{
	gn_route_info_t info;

	gn_route_worker_info(worker->route, &info);
	return json_pack(
		"{s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:I}", "name",
		worker->name, "data_centre", worker->hello->data_centre, "rack",
		worker->rack, "service", worker->service->name, "state",
		get_worker_state(worker, &info), "running_requests",
		(int)info.reported_requests, "running_tasks",
		(int)worker->running_tasks, "in_flight", (int)info.in_flight,
		"config_revision", (json_int_t)worker->config_revision);
}

static json_t *workers_to_json(const entry_t *entry)
{
	GList *names = g_list_sort(g_hash_table_get_keys(entry->workers),
				   (GCompareFunc)g_strcmp0);
	json_t *hosts = json_array();

	for (GList *item = names; item; item = item->next)
		json_array_append_new(hosts,
				      worker_to_json(g_hash_table_lookup(
					      entry->workers, item->data)));
	g_list_free(names);
	return hosts;
}

static void on_hosts(void *arg, gn_http_request_t *request, gn_str_t name)
{
	entry_t *entry = arg;

	(void)name;
	gn_http_reply_json(entry->server, request, HTTP_OK,
			   json_pack("{s:o}", "hosts", workers_to_json(entry)));
}

/* The load balancer polls this; it avoids an entry that responds with 503. */
static void on_status(void *arg, gn_http_request_t *request, gn_str_t name)
{
	entry_t *entry = arg;
	const gn_runtime_t *runtime = entry->runtime;
	json_t *json = gn_runtime_dump(runtime);

	(void)name;
	json_object_del(json, "counters");
	json_object_set_new(json, "draining", json_boolean(runtime->stopping));
	json_object_set_new(json, "config_revision",
			    json_integer((json_int_t)entry->config->revision));
	json_object_set_new(json, "workers",
			    json_integer(g_hash_table_size(entry->workers)));
	gn_http_reply_json(entry->server, request,
			   runtime->stopping ? HTTP_UNAVAILABLE : HTTP_OK,
			   json);
}

static void on_dump(void *arg, gn_http_request_t *request, gn_str_t name)
{
	entry_t *entry = arg;
	json_t *dump = gn_runtime_dump(entry->runtime);

	(void)name;
	json_object_set_new(dump, "role", json_string("entry"));
	json_object_set_new(dump, "hosts", workers_to_json(entry));
	json_object_set_new(dump, "members", entry_membership_dump(entry));
	json_object_set_new(dump, "buckets", entry_buckets_dump(entry));
	json_object_set_new(dump, "keys_ready",
			    json_boolean(entry_keys_are_ready(entry)));
	json_object_set_new(dump, "config_revision",
			    json_integer((json_int_t)entry->config->revision));
	json_object_set_new(dump, "requests",
			    json_integer(g_hash_table_size(entry->requests)));
	gn_http_reply_json(entry->server, request, HTTP_OK, dump);
}

static const gn_http_route_t routes[] = {
	{ GN_HTTP_POST, "/v1/services/*/requests", entry_on_request },
	{ GN_HTTP_GET, "/v1/status", on_status },
	{ GN_HTTP_GET, "/v1/hosts", on_hosts },
	{ GN_HTTP_GET, "/v1/jobs", entry_on_jobs_get },
	{ GN_HTTP_GET, "/v1/jobs/*", entry_on_job_get },
	{ GN_HTTP_POST, "/v1/jobs", entry_on_job_submit },
	{ GN_HTTP_DELETE, "/v1/jobs", entry_on_jobs_cancel },
	{ GN_HTTP_DELETE, "/v1/jobs/*", entry_on_job_cancel },
	{ GN_HTTP_GET, "/v1/config", entry_on_config_get },
	{ GN_HTTP_PUT, "/v1/config/*", entry_on_config_put },
	{ GN_HTTP_GET, "/v1/changes/*", entry_on_change_get },
	{ GN_HTTP_POST, "/v1/hosts/*/drain", entry_on_host_drain },
	{ GN_HTTP_POST, "/v1/hosts/*/resume", entry_on_host_resume },
	{ GN_HTTP_POST, "/v1/peers/query", entry_on_peer_query },
	{ GN_HTTP_POST, "/v1/peers/config", entry_on_peer_config },
	{ GN_HTTP_GET, "/dump", on_dump },
	{ GN_HTTP_GET, NULL, NULL },
};

void entry_on_http(void *arg, gn_http_request_t *request)
{
	entry_t *entry = arg;

	gn_http_route(routes, entry->server, entry, request);
}
