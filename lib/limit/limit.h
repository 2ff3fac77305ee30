/**
 * @file limit.h
 * @brief Admission control at an entry: limits on requests in flight, in total,
 * per class and per team, and a check of the deadline.
 *
 * A request is admitted or refused at once; nothing is queued. The limit on
 * requests in flight is adaptive: it is cut by a factor while too many requests
 * are refused by the workers, or late because no worker was free, and grows in
 * steps while it is in use. Responses that would be late on an idle worker too
 * don't lower the limit, since a lower limit wouldn't make them faster. Each
 * refusal carries a retry-after time; these are spread so that the retries
 * arrive at a rate that can be admitted. Not thread-safe: call from the control
 * thread only. No I/O.
 */
#ifndef GN_LIMIT_LIMIT_H
#define GN_LIMIT_LIMIT_H

#include <glib.h>
#include <stdbool.h>
#include <talloc.h>

#include "common/clock.h"
#include "common/str.h"

/** Maximum number of teams with a weight of their own. */
#define GN_LIMIT_TEAMS_MAX 1024
/** Maximum weight of a team. */
#define GN_LIMIT_WEIGHT_MAX 1000

/** The admission control of one entry. */
typedef struct gn_limit_s gn_limit_t;

/**
 * Settings of an admission control. Each member states its range and its
 * default; see gn_limit_defaults().
 */
typedef struct gn_limit_config_s {
	/** Lower bound of the limit on requests in flight, 1..4096; 16. */
	unsigned floor;
	/** Upper bound of the limit, floor..1000000; 8192. */
	unsigned ceiling;
	unsigned start; /**< Initial limit, floor..ceiling; 256. */
	/** Length of a measurement window, 10..10000 ms; 100. */
	uint32_t window_ms;
	/**
	 * A response is late if it takes more than this part of the time until
	 * the deadline, 10..100 %; 50.
	 */
	unsigned late_pct;
	/**
	 * Share of late requests, or of requests refused by the workers, in a
	 * window above which the limit is cut, 1..50 %; 5.
	 */
	unsigned late_share_pct;
	/**
	 * Response time relative to idle workers above which requests are taken
	 * to queue, 110..1000 %; 125.
	 */
	unsigned queue_pct;
	/** Part of the limit that remains after a cut, 50..99 %; 85. */
	unsigned cut_pct;
	unsigned growth_pct; /**< Growth of the limit per window, 1..50 %; 5. */
	/**
	 * Factor on the estimated response time when it is compared with the
	 * deadline, 100..1000 %; 200.
	 */
	unsigned response_margin_pct;
	/**
	 * Use of the limit from which the teams' shares are enforced, 1..100 %;
	 * 70.
	 */
	unsigned contention_pct;
	/** Maximum part of the limit for each class, 1..100 %; 100, 50, 25. */
	unsigned class_pct[GN_CLASS_COUNT];
	/** Weight shared by all teams without one of their own, 1..1000; 1. */
	unsigned other_weight;
	/**
	 * Share of the admission rate that retries are scheduled for, 1..100 %;
	 * 20.
	 */
	unsigned retry_pct;
	/** Minimum retry-after time, 1..60000 ms; 200. */
	uint32_t retry_min_ms;
	/** Maximum retry-after time, retry_min_ms..3600000 ms; 30000. */
	uint32_t retry_max_ms;
} gn_limit_config_t;

/** Reason for a refusal. */
typedef enum gn_limit_reason_e {
	GN_LIMIT_ADMITTED = 0,
	/** The response is not expected before the deadline. */
	GN_LIMIT_DEADLINE,
	GN_LIMIT_TOTAL, /**< The limit on requests in flight is reached. */
	GN_LIMIT_CLASS, /**< The class has reached its part of the limit. */
	GN_LIMIT_TEAM, /**< The team has reached its share of the limit. */
	GN_LIMIT_REASON_COUNT
} gn_limit_reason_t;

/** A request that needs admission. */
typedef struct gn_limit_request_s {
	gn_class_t work_class;
	/**
	 * Team name, 0..GN_NAME_MAX bytes; teams without a weight of their own
	 * share one.
	 */
	gn_str_t team;
	uint64_t time_left_us; /**< Time until the deadline. */
	uint64_t response_us; /**< Estimated response time. */
	/** Estimated response time without other requests; 0: unknown. */
	uint64_t idle_response_us;
} gn_limit_request_t;

/** Data of an admitted request, kept by the caller until gn_limit_release(). */
typedef struct gn_limit_ticket_s {
	struct gn_limit_team_s *team;
	gn_class_t work_class;
	uint64_t start_us;
	uint64_t time_left_us;
	uint64_t idle_response_us;
} gn_limit_ticket_t;

/** Result of a request for admission. */
typedef struct gn_limit_result_s {
	/** GN_LIMIT_ADMITTED if the ticket is valid. */
	gn_limit_reason_t reason;
	/** Retry-after time for the caller; 0 if admitted. */
	uint32_t retry_after_ms;
	gn_limit_ticket_t ticket;
} gn_limit_result_t;

/** How an admitted request ended. */
typedef enum gn_limit_end_e {
	/** A response came; whether it was late is computed from the ticket. */
	GN_LIMIT_ANSWERED = 0,
	/** The workers refused the request for lack of capacity. */
	GN_LIMIT_REFUSED,
	GN_LIMIT_OTHER, /**< The end says nothing about the load. */
	GN_LIMIT_END_COUNT
} gn_limit_end_t;

/** State of an admission control. */
typedef struct gn_limit_info_s {
	unsigned limit;
	unsigned in_flight;
	unsigned class_in_flight[GN_CLASS_COUNT];
	unsigned teams;
	uint64_t admitted;
	uint64_t refused[GN_LIMIT_REASON_COUNT];
} gn_limit_info_t;

/** Returns the default settings. */
gn_limit_config_t gn_limit_defaults(void);

/* ======   Commands   ====== */

/**
 * Creates an admission control.
 * @param rand random source, seeded by the caller; spreads the retry-after
 *        times
 * @param config copied; each member must be in its documented range
 * @return NULL if out of memory or a setting is out of range
 */
gn_limit_t *gn_limit_create(TALLOC_CTX *parent, const gn_clock_t *clock,
			    GRand *rand, const gn_limit_config_t *config);

/**
 * Sets the weight of @p team to 1..GN_LIMIT_WEIGHT_MAX; 0 removes the team.
 * @return GN_OK, GN_ERR_RANGE, GN_ERR_CAPACITY (GN_LIMIT_TEAMS_MAX reached) or
 *         GN_ERR_MEMORY
 */
gn_code_t gn_limit_set_team(gn_limit_t *limit, gn_str_t team, unsigned weight);

/**
 * Admits or refuses @p request. An admitted request counts as in flight until
 * gn_limit_release().
 */
void gn_limit_acquire(gn_limit_t *limit, const gn_limit_request_t *request,
		      gn_limit_result_t *verdict);

/** Ends an admitted request. Call it exactly once per ticket. */
void gn_limit_release(gn_limit_t *limit, const gn_limit_ticket_t *ticket,
		      gn_limit_end_t end);

/** Draws a retry-after time for a refusal that another module decided. */
uint32_t gn_limit_draw_retry_after_ms(gn_limit_t *limit);

/* ======   Queries   ====== */

/** Fills @p info with the current state. */
void gn_limit_info(const gn_limit_t *limit, gn_limit_info_t *info);

/**
 * Returns the requests of @p team in flight; 0 if it has no weight of its own.
 */
unsigned gn_limit_team_in_flight(const gn_limit_t *limit, gn_str_t team);

/** Returns the name of @p reason, such as "deadline". It never changes. */
const char *gn_limit_reason_name(gn_limit_reason_t reason);

#endif
