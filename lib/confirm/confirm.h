/**
 * @file confirm.h
 * @brief Whether a request can be answered by the configuration at hand.
 *
 * A change of the configuration has to be in force a bound after the key-value
 * service has acknowledged it. A scheduler whose configuration was not confirmed
 * for that long, because it was paused, cut off or has lost its watch, may not
 * know a queue that was added, and may know one that was dropped. The decision
 * does no I/O.
 */
#ifndef GN_CONFIRM_CONFIRM_H
#define GN_CONFIRM_CONFIRM_H

#include <stdbool.h>

#include "gypsumnotch.h"

/**
 * A confirmation may be this much older than it seems, since it counts from when
 * its answer arrived.
 */
#define GN_CONFIRM_TRANSIT_MS 300
/** Time for which a request waits for a confirmation, which takes one call. */
#define GN_CONFIRM_WAIT_MS 300

/** What a scheduler knows when a request has to be answered. */
typedef struct gn_confirm_view_s {
	uint64_t now_us;
	/** When the configuration was last confirmed; 0: never. */
	uint64_t confirmed_us;
	/** Time in which a change has to be in force. */
	unsigned bound_ms;
	/** The key-value service answers other calls of this process. */
	bool service_answers;
	/** The configuration has the queue of the request. */
	bool has_queue;
	/** The answer depends on the queue, not on a job that is stored. */
	bool needs_queue;
	uint64_t received_us; /**< When the request arrived. */
} gn_confirm_view_t;

/** What to do with the request. */
typedef enum gn_confirm_decision_e {
	GN_CONFIRM_ANSWER = 0, /**< Answer by the configuration. */
	GN_CONFIRM_WAIT, /**< Wait for a confirmation. */
	GN_CONFIRM_REFUSE /**< Refuse; the caller may return. */
} gn_confirm_decision_t;

/** Whether the configuration was confirmed recently enough. */
bool gn_confirm_is_recent(const gn_confirm_view_t *view);

/**
 * Decides on a request. That a queue does not exist is said only by a recent
 * configuration. A queue that is known is served while the service is away, since
 * jobs cannot be stored then, and whoever leads checks the queue again.
 */
gn_confirm_decision_t gn_confirm_decide(const gn_confirm_view_t *view);

#endif
