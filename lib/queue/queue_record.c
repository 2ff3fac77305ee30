#include "queue/queue_record.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

static const char *intern(const char *text)
{
	return g_intern_string(text ? text : "");
}

void gn_queue_copy(gn_queue_t *copy, const gn_queue_t *queue)
{
	*copy = *queue;
	copy->name = intern(queue->name);
	copy->host = intern(queue->host);
	copy->prefix = intern(queue->prefix);
	copy->service = intern(queue->service);
}

bool gn_queue_equal(const gn_queue_t *a, const gn_queue_t *b)
{
	return intern(a->name) == intern(b->name) &&
	       intern(a->host) == intern(b->host) &&
	       intern(a->prefix) == intern(b->prefix) &&
	       intern(a->service) == intern(b->service) &&
	       a->priority == b->priority &&
	       a->max_attempts == b->max_attempts && a->stretch == b->stretch &&
	       a->target_ms == b->target_ms && a->advised == b->advised;
}

const gn_queue_t *gn_queues_find_successor(const gn_queues_t *queues,
					   const gn_queue_t *known)
{
	const gn_queue_t *queue = gn_queues_find(queues, known->name);

	/* Jobs of an older build have the name only. */
	if (queue || !known->host || !*known->host)
		return queue;
	for (size_t i = 0; i < queues->queue_count; i++)
		if (!strcmp(queues->queues[i].host, known->host) &&
		    !strcmp(queues->queues[i].prefix, known->prefix))
			return &queues->queues[i];
	return NULL;
}

static char *copy_text(const char *text)
{
	char *copy = strdup(text ? text : "");

	if (!copy)
		abort(); /* GLib aborts too when out of memory. */
	return copy;
}

Gn__JobQueue *gn_queue_to_record(const gn_queue_t *queue)
{
	Gn__JobQueue *record = malloc(sizeof(*record));

	if (!record)
		abort();
	gn__job_queue__init(record);
	record->name = copy_text(queue->name);
	record->host = copy_text(queue->host);
	record->prefix = copy_text(queue->prefix);
	record->service = copy_text(queue->service);
	record->priority = queue->priority;
	record->max_attempts = queue->max_attempts;
	record->stretch = queue->stretch;
	record->target_ms = queue->target_ms;
	record->advised = queue->advised;
	return record;
}

void gn_queue_from_record(gn_queue_t *queue, const Gn__JobQueue *record)
{
	const gn_queue_t read = { .name = record->name,
				  .host = record->host,
				  .prefix = record->prefix,
				  .service = record->service,
				  .priority = record->priority,
				  .max_attempts = record->max_attempts,
				  .stretch = record->stretch,
				  .target_ms = record->target_ms,
				  .advised = record->advised };

	gn_queue_copy(queue, &read);
}
