/**
 * @file retry.h
 * @brief Whether a request may be tried again, and what its caller is told.
 *
 * A request is tried again only on evidence that it was not run, or if it is
 * repeatable; never at a worker already tried; and only while the retry
 * budget, a share of recent successes, has something left. "Not run" is told
 * only if every try ended with evidence of it. No I/O.
 */
#ifndef GN_ROUTE_RETRY_H
#define GN_ROUTE_RETRY_H

#include "route/pick.h"

/** How a try ended. */
typedef enum gn_try_end_e {
	GN_TRY_PASSED = 0, /**< a whole answer, to be handed to the caller */
	GN_TRY_FAILED, /**< ran and failed, by a whole answer */
	/** Refused, fenced or never sent: evidence that it was not run. */
	GN_TRY_NOT_RUN,
	GN_TRY_UNKNOWN, /**< no evidence either way */
	GN_TRY_END_COUNT
} gn_try_end_t;

/** The retry budget of one entry and service. */
typedef struct gn_retry_budget_s gn_retry_budget_t;

/** Settings of a budget; see gn_retry_defaults(). */
typedef struct gn_retry_config_s {
	unsigned share_pct; /**< retries per 100 successes, 0..100; 10 */
	unsigned reserve; /**< most retries saved up, 0..1000; 10 */
	unsigned tries; /**< of one request, 1..GN_ROUTE_TRIES_MAX; 3 */
} gn_retry_config_t;

/** The tries of one request; initialise with gn_retry_init(). */
typedef struct gn_retry_s {
	gn_route_tried_t tried;
	bool repeatable;
	bool may_have_run; /**< some try ended without evidence */
	bool has_answer; /**< the last try gave a whole answer */
} gn_retry_t;

/** What to do now. */
typedef enum gn_retry_step_e {
	GN_RETRY_AGAIN = 0, /**< pick another worker, leaving out the tried */
	GN_RETRY_STOP, /**< tell the caller gn_retry_outcome() */
	GN_RETRY_STEP_COUNT
} gn_retry_step_t;

/** The settings that a process starts with. */
gn_retry_config_t gn_retry_defaults(void);

/**
 * Creates a budget; it starts with half of its reserve.
 * @return NULL if memory is short or a setting is out of bounds
 */
gn_retry_budget_t *gn_retry_budget_create(TALLOC_CTX *parent,
					  const gn_retry_config_t *config);

/** Starts the tries of a request. */
void gn_retry_init(gn_retry_t *retry, bool repeatable);

/** Notes that the request is now sent to @p worker. */
void gn_retry_begin_try(gn_retry_t *retry, const gn_route_worker_t *worker);

/**
 * Takes the end of the present try and says whether to go on. GN_RETRY_AGAIN
 * spends from the budget: the caller then tries again or gives up.
 * @param time_left_us until the deadline
 * @param wait_us estimated time of another try
 */
gn_retry_step_t gn_retry_end_try(gn_retry_t *retry, gn_retry_budget_t *budget,
				 gn_try_end_t end, uint64_t time_left_us,
				 uint64_t wait_us);

/**
 * The outcome to tell the caller after GN_RETRY_STOP, or when no further
 * worker could be picked. Not run only on evidence from every try.
 */
gn_outcome_t gn_retry_outcome(const gn_retry_t *retry);

/** Retries that @p budget would grant now. */
unsigned gn_retry_budget_left(const gn_retry_budget_t *budget);

#endif
