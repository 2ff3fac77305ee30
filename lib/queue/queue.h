/**
 * @file queue.h
 * @brief Queues and services as operators configure them.
 *
 * A queue takes the jobs whose requests carry its host name and whose path
 * begins with its prefix; the workers of its service run their tasks. A
 * configuration is whole: what it does not name is gone.
 */
#ifndef GN_QUEUE_QUEUE_H
#define GN_QUEUE_QUEUE_H

#include <stdbool.h>
#include <talloc.h>

#include "common/error.h"

/** How long the adviser's tickets take and last; all zero: none is needed. */
typedef struct gn_advice_terms_s {
	unsigned decide_ms; /**< of each call */
	unsigned each_ms; /**< of each worker named in a call */
	unsigned valid_ms; /**< of a ticket */
} gn_advice_terms_t;

/** A queue. */
typedef struct gn_queue_s {
	const char *name;
	const char *host; /**< of the request's Host header, without port */
	const char *prefix; /**< of the request's path */
	const char *service; /**< whose workers run its tasks */
	unsigned priority; /**< 0 goes first */
	unsigned max_attempts; /**< failed runs of a task until its job fails */
	double stretch; /**< share of the longest chain that is in time */
	unsigned target_ms; /**< on top of the stretched chain */
	bool advised; /**< starts need a ticket */
	gn_advice_terms_t advice;
} gn_queue_t;

/** A service. */
typedef struct gn_service_s {
	const char *name;
	bool guards_capacity; /**< its workers refuse what does not fit */
	bool standby; /**< its machines are off */
} gn_service_t;

/** A whole configuration; frozen once read. */
typedef struct gn_queues_s {
	uint64_t version; /**< rises with each configuration */
	const gn_queue_t *queues;
	size_t queue_count;
	const gn_service_t *services;
	size_t service_count;
} gn_queues_t;

/**
 * Finds the queue of a request: its host's longest matching prefix.
 * @param host the Host header; a port in it is ignored
 * @return NULL if there is none
 */
const gn_queue_t *gn_queues_match(const gn_queues_t *queues, gn_str_t host,
				  gn_str_t path);

/** The queue called @p name, or NULL. */
const gn_queue_t *gn_queues_find(const gn_queues_t *queues, const char *name);

/** The service called @p name, or NULL. */
const gn_service_t *gn_queues_find_service(const gn_queues_t *queues,
					   const char *name);

#endif
