/**
 * @file queue.h
 * @brief Configuration of queues and services.
 *
 * A queue accepts the jobs whose requests have its host name and a path that
 * begins with its prefix; the workers of its service run the tasks. A new
 * configuration replaces the previous one entirely.
 */
#ifndef GN_QUEUE_QUEUE_H
#define GN_QUEUE_QUEUE_H

#include <stdbool.h>
#include <talloc.h>

#include "common/error.h"

/** Timing of the adviser's tickets; all zero if no tickets are needed. */
typedef struct gn_advice_timing_s {
	unsigned request_ms; /**< Response time of each request. */
	/** Added for each worker named in a request. */
	unsigned per_worker_ms;
	unsigned valid_ms; /**< Validity of a ticket. */
} gn_advice_timing_t;

typedef struct gn_queue_s {
	const char *name;
	const char *host; /**< Host header of requests, without port. */
	const char *prefix; /**< Prefix of the request path. */
	const char *service; /**< Service whose workers run the tasks. */
	unsigned priority; /**< 0 is the highest priority. */
	/** A job fails after this many failed runs of a task. */
	unsigned max_attempts;
	/** A job is in time if it ends within `stretch` times the length of its
	 * longest chain of steps plus `target_ms`. */
	double stretch;
	unsigned target_ms;
	bool advised; /**< Starts need a ticket. */
	gn_advice_timing_t advice;
} gn_queue_t;

typedef struct gn_queue_service_s {
	const char *name;
	bool checks_capacity; /**< Workers refuse tasks that do not fit. */
	bool standby; /**< The machines are powered off. */
} gn_queue_service_t;

/** Complete configuration; immutable after it has been read. */
typedef struct gn_queues_s {
	uint64_t version; /**< Increases with each configuration. */
	const gn_queue_t *queues;
	size_t queue_count;
	const gn_queue_service_t *services;
	size_t service_count;
} gn_queues_t;

/**
 * Finds the queue of a request, which has the longest matching prefix among the
 * queues of the host.
 * @param host value of the Host header; a port is ignored
 * @return the queue, or NULL if none matches
 */
const gn_queue_t *gn_queues_find_for_request(const gn_queues_t *queues,
					     gn_str_t host, gn_str_t path);

/** Returns the queue with this name, or NULL. */
const gn_queue_t *gn_queues_find(const gn_queues_t *queues, const char *name);

/** Whether a service or a queue has this service's name. */
bool gn_queues_name_service(const gn_queues_t *queues, const char *name);

/** Returns the service with this name, or NULL. */
const gn_queue_service_t *gn_queues_find_service(const gn_queues_t *queues,
						 const char *name);

#endif
