/**
 * @file outage.h
 * @brief Decides what callers are told while jobs cannot be stored.
 *
 * A request is held until a time known at the start of its wait, or refused
 * with the time after which its caller may return. Each scheduler decides for
 * itself and assumes that the others do alike, since a caller's retry may reach
 * any of them.
 *
 * The end of an outage of the key-value service is not known. An outage that
 * has lasted for some time is expected to last about as long again, corrected
 * by the lengths of earlier outages. A caller that retries four times thus
 * spans an outage of 10 s, and one that arrives early returns early. An
 * election ends at a known time, so requests wait for it.
 *
 * Load: the key-value service is away for 1 to 10 s for all schedulers or for
 * one of them, or a leader dies, while 50 jobs a second are submitted. Callers
 * give up on a request after 3 s and on a job after four retries, and each
 * second of delay reduces what the job is worth.
 */
#ifndef GN_OUTAGE_OUTAGE_H
#define GN_OUTAGE_OUTAGE_H

#include <stdbool.h>
#include <stddef.h>

#include "common/clock.h"

/** Bounds of the time after which a refused caller may return, seconds. */
#define GN_OUTAGE_RETRY_MIN_S 1
#define GN_OUTAGE_RETRY_MAX_S 12
/** Remaining time of a caller that does not state its deadline. */
#define GN_OUTAGE_REMAINING_US (3 * GN_US_PER_S)
/** Limits on the requests that are held by one process. */
#define GN_OUTAGE_HELD_MAX 512
#define GN_OUTAGE_HELD_BYTES_MAX (16 * 1024 * 1024)
/** Number of earlier outages that are remembered. */
#define GN_OUTAGE_LENGTHS 8
/** Seconds for which the number of returning callers is kept. */
#define GN_OUTAGE_SLOTS 32

/** How the last failed call to the key-value service failed. */
typedef enum gn_outage_failure_e {
	GN_OUTAGE_NONE = 0,
	GN_OUTAGE_NO_ANSWER,
	GN_OUTAGE_REFUSED, /**< Status 429 or 503. */
	GN_OUTAGE_RESET /**< The connection was refused or broken. */
} gn_outage_failure_t;

/** What a scheduler knows at the time of a decision. */
typedef struct gn_outage_view_s {
	uint64_t now_us;
	uint64_t started_us; /**< Start of this process. */
	/** Last answer of the key-value service; 0 if it never answered. */
	uint64_t answered_us;
	uint64_t failed_us; /**< Last failed call to it; 0: none. */
	gn_outage_failure_t failure; /**< How that call failed. */
	/** When a leader last served and could store jobs; 0 if this process
	 * never knew of one. */
	uint64_t served_us;
	/** This process leads, so that only the service may be missing. */
	bool leads;
	/** The link to the leader is open, but the leader does not answer. */
	bool leader_silent;
	uint64_t lease_us; /**< Time to live of the leader's lease. */
	size_t held; /**< Requests that are held by this process. */
	size_t held_bytes; /**< Memory that they use. */
} gn_outage_view_t;

/** Number of callers that return in one second. */
typedef struct gn_outage_slot_s {
	uint64_t second;
	unsigned returns;
} gn_outage_slot_t;

/** State of the decisions of one process; zero-initialized. */
typedef struct gn_outage_s {
	uint64_t began_us; /**< Start of the present outage; 0: none. */
	uint64_t ended_us; /**< End of the last outage; 0: none. */
	uint64_t lengths_us[GN_OUTAGE_LENGTHS]; /**< Ring of lengths. */
	size_t length_count; /**< Outages that were seen. */
	double served_per_s; /**< Smoothed rate of served submissions. */
	unsigned served; /**< Submissions served since counted_us. */
	uint64_t counted_us;
	gn_outage_slot_t slots[GN_OUTAGE_SLOTS];
	/** Second before which nobody returns who is refused from now on. */
	uint64_t earliest_s;
	uint64_t refused; /**< Callers refused in the present outage. */
} gn_outage_t;

/** A decision on one request. */
typedef struct gn_outage_decision_s {
	bool hold;
	/** When a held request is answered if it is not served before. */
	uint64_t until_us;
	unsigned retry_after_s; /**< Set by a refusal. */
	uint64_t age_us; /**< Age of the outage, or of the leader's absence. */
	uint64_t estimate_us; /**< Expected time until its end. */
	const char *basis; /**< What decided; static text. */
} gn_outage_decision_t;

/** A change of state that gn_outage_update() found. */
typedef enum gn_outage_change_e {
	GN_OUTAGE_UNCHANGED = 0,
	GN_OUTAGE_BEGAN,
	GN_OUTAGE_ENDED
} gn_outage_change_t;

/** Updates the state; to be called at each tick. */
gn_outage_change_t gn_outage_update(gn_outage_t *outage,
				    const gn_outage_view_t *view);

/** Counts a submission that was stored, for the rate of the returns. */
void gn_outage_count_served(gn_outage_t *outage, uint64_t now_us);

/**
 * Decides whether a request waits that cannot be served now. Changes nothing,
 * so the decision to refuse it has no time to return; gn_outage_refuse() has.
 * @param remaining_us time until the caller's deadline
 */
gn_outage_decision_t gn_outage_check(const gn_outage_t *outage,
				     const gn_outage_view_t *view,
				     uint64_t remaining_us);

/** As gn_outage_check(), and refuses a request that does not wait. */
gn_outage_decision_t gn_outage_decide(gn_outage_t *outage,
				      const gn_outage_view_t *view,
				      uint64_t remaining_us);

/**
 * Whether a leader takes a submission that it may not be able to store. While
 * the service is away, it does so only if a wait is likely to end in time.
 */
bool gn_outage_waits_for_store(const gn_outage_t *outage,
			       const gn_outage_view_t *view,
			       uint64_t remaining_us);

/** Refuses a request whose wait is over, or that must not wait. */
gn_outage_decision_t gn_outage_refuse(gn_outage_t *outage,
				      const gn_outage_view_t *view);

/**
 * Whether a held request waits on: until @p until_us, or while the end is in
 * sight, but not beyond the caller's deadline.
 */
bool gn_outage_keeps_holding(const gn_outage_t *outage,
			     const gn_outage_view_t *view, uint64_t until_us,
			     uint64_t deadline_us);

/**
 * Returns the time until which a request may wait that arrives now, whose
 * scheduler is not certain to serve it: a quarter of its remaining time.
 */
uint64_t gn_outage_get_limit_us(uint64_t remaining_us);

/**
 * Returns when the next leader is expected to serve, or this one to be
 * confirmed; 0 if no such time is known, since the key-value service is away,
 * the election takes too long or no leader was ever known.
 */
uint64_t gn_outage_get_end_us(const gn_outage_view_t *view);

#endif
