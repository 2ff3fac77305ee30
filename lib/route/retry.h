/**
 * @file retry.h
 * @brief Retry policy: whether a request may be sent again, and which outcome
 * its caller gets.
 *
 * A request is sent again only if it is repeatable or if every attempt so far
 * is known not to have run it, never to a worker that was already tried, and
 * only within the retry budget, which grows by a share of the recent successes.
 * The caller gets "not run" only if every attempt is known not to have run the
 * request. No I/O.
 */
#ifndef GN_ROUTE_RETRY_H
#define GN_ROUTE_RETRY_H

#include "route/pick.h"

/** Result of one attempt. */
typedef enum gn_attempt_result_e {
	/**
	 * The worker ran the request; its complete response goes to the caller.
	 */
	GN_ATTEMPT_SUCCEEDED = 0,
	/**
	 * The worker ran the request and returned an error as a complete
	 * response.
	 */
	GN_ATTEMPT_FAILED,
	/**
	 * The request was refused, fenced or never sent, which proves that it
	 * was not run.
	 */
	GN_ATTEMPT_NOT_RUN,
	GN_ATTEMPT_UNKNOWN, /**< The request may or may not have run. */
	GN_ATTEMPT_RESULT_COUNT
} gn_attempt_result_t;

/** The retry budget of one entry and service. */
typedef struct gn_retry_budget_s gn_retry_budget_t;

/**
 * Settings of a retry budget; each member states its range and its default. See
 * gn_retry_defaults().
 */
typedef struct gn_retry_config_s {
	/** Retries granted per 100 successes, 0..100; 10. */
	unsigned share_pct;
	/** Maximum number of unused retries kept, 0..1000; 10. */
	unsigned reserve;
	/**
	 * Maximum number of attempts per request, 1..GN_ROUTE_ATTEMPTS_MAX; 3.
	 */
	unsigned max_attempts;
} gn_retry_config_t;

/** The attempts of one request. Initialize it with gn_retry_init(). */
typedef struct gn_retry_s {
	gn_route_tried_t tried;
	bool repeatable;
	/** True once any attempt ran or may have run the request. */
	bool may_have_run;
	/** True if the last attempt returned a complete response. */
	bool has_answer;
} gn_retry_t;

/** Decision after an attempt. */
typedef enum gn_retry_decision_e {
	/** Send the request to a worker that wasn't tried yet. */
	GN_RETRY_AGAIN = 0,
	GN_RETRY_STOP, /**< Return gn_retry_outcome() to the caller. */
	GN_RETRY_DECISION_COUNT
} gn_retry_decision_t;

/** Returns the default settings. */
gn_retry_config_t gn_retry_defaults(void);

/**
 * Creates a budget that holds half of its reserve.
 * @return NULL if out of memory or a setting is out of range
 */
gn_retry_budget_t *gn_retry_budget_create(TALLOC_CTX *parent,
					  const gn_retry_config_t *config);

/** Initializes @p retry for a request without attempts. */
void gn_retry_init(gn_retry_t *retry, bool repeatable);

/**
 * Records that the request is being sent to @p worker, which must not have been
 * tried before.
 */
void gn_retry_begin_attempt(gn_retry_t *retry, const gn_route_worker_t *worker);

/**
 * Records the result of the current attempt and decides whether to retry.
 * GN_RETRY_AGAIN spends one retry of the budget, even if the caller then finds
 * no worker.
 * @param time_left_us time until the deadline
 * @param response_us estimated duration of another attempt; there is no retry
 *        if it doesn't fit into the time left
 */
gn_retry_decision_t gn_retry_end_attempt(gn_retry_t *retry,
					 gn_retry_budget_t *budget,
					 gn_attempt_result_t end,
					 uint64_t time_left_us,
					 uint64_t response_us);

/**
 * Returns the outcome for the caller after GN_RETRY_STOP, or when no further
 * worker could be selected. It is GN_OUTCOME_NOT_RUN only if every attempt is
 * known not to have run the request.
 */
gn_outcome_t gn_retry_outcome(const gn_retry_t *retry);

/** Returns the number of retries that @p budget would grant now. */
unsigned gn_retry_budget_left(const gn_retry_budget_t *budget);

#endif
