#include "queue/queue.h"

#include <string.h>
#include <strings.h>

#include "common/str.h"

static gn_str_t strip_port(gn_str_t host)
{
	const char *colon = memchr(host.data, ':', host.len);

	if (colon)
		host.len = (size_t)(colon - host.data);
	return host;
}

static bool matches_host(const gn_queue_t *queue, gn_str_t host)
{
	return strlen(queue->host) == host.len &&
	       !strncasecmp(queue->host, host.data, host.len);
}

static bool has_prefix(gn_str_t path, const char *prefix)
{
	size_t len = strlen(prefix);

	return path.len >= len && !memcmp(path.data, prefix, len);
}

const gn_queue_t *gn_queues_find_for_request(const gn_queues_t *queues,
					     gn_str_t host, gn_str_t path)
{
	const gn_queue_t *best = NULL;

	if (!host.len)
		return NULL;
	host = strip_port(host);
	for (size_t i = 0; i < queues->queue_count; i++) {
		const gn_queue_t *queue = &queues->queues[i];

		if (!matches_host(queue, host) ||
		    !has_prefix(path, queue->prefix))
			continue;
		if (!best || strlen(queue->prefix) > strlen(best->prefix))
			best = queue;
	}
	return best;
}

const gn_queue_t *gn_queues_find(const gn_queues_t *queues, const char *name)
{
	for (size_t i = 0; i < queues->queue_count; i++)
		if (!strcmp(queues->queues[i].name, name))
			return &queues->queues[i];
	return NULL;
}

bool gn_queues_name_service(const gn_queues_t *queues, const char *name)
{
	for (size_t i = 0; i < queues->queue_count; i++)
		if (!strcmp(queues->queues[i].service, name))
			return true;
	return gn_queues_find_service(queues, name) != NULL;
}

const gn_queue_service_t *gn_queues_find_service(const gn_queues_t *queues,
						 const char *name)
{
	for (size_t i = 0; i < queues->service_count; i++)
		if (!strcmp(queues->services[i].name, name))
			return &queues->services[i];
	return NULL;
}
