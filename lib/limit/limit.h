/**
 * @file limit.h
 * @brief Admission at an entry: total in flight, class, team and deadline.
 *
 * A request is admitted or refused at once; nothing is queued. The limit on
 * requests in flight follows the answers: it falls by a factor while too many
 * of them are pushed back, or late for want of a free worker, and grows by
 * steps while it is in use. Answers that are late on an idle worker too don't
 * lower it, for a lower limit wouldn't make them faster. Each
 * refusal carries a time to come back at, spread so that the callers' return
 * fits what can be admitted. Control thread only; no I/O.
 */
#ifndef GN_LIMIT_LIMIT_H
#define GN_LIMIT_LIMIT_H

#include <glib.h>
#include <stdbool.h>
#include <talloc.h>

#include "common/clock.h"
#include "common/str.h"

/** Most teams with a weight of their own. */
#define GN_LIMIT_TEAMS_MAX 1024
/** Largest weight of a team. */
#define GN_LIMIT_WEIGHT_MAX 1000

/** The admission of one entry. */
typedef struct gn_limit_s gn_limit_t;

/** Settings; see gn_limit_defaults(). */
typedef struct gn_limit_config_s {
	unsigned floor; /**< least limit in flight, 1..4096; 16 */
	unsigned ceiling; /**< largest, floor..1000000; 8192 */
	unsigned start; /**< first, floor..ceiling; 256 */
	uint32_t window_ms; /**< between reviews, 10..10000; 100 */
	unsigned late_pct; /**< of a deadline; slower is late, 10..100; 50 */
	unsigned late_share_pct; /**< lates that lower it, 1..50; 5 */
	unsigned queue_pct; /**< of the idle time: a queue, 110..1000; 125 */
	unsigned cut_pct; /**< what a cut leaves, 50..99; 85 */
	unsigned growth_pct; /**< growth a window, 1..50; 5 */
	unsigned wait_margin_pct; /**< estimate's margin, 100..1000; 200 */
	unsigned contend_pct; /**< use from which shares bind, 1..100; 70 */
	/** Most of the limit for each class, 1..100; 100, 50, 25. */
	unsigned class_pct[GN_CLASS_COUNT];
	unsigned other_weight; /**< of all teams without one, 1..1000; 1 */
	unsigned return_pct; /**< admissions left to returns, 1..100; 20 */
	uint32_t return_min_ms; /**< soonest return, 1..60000; 200 */
	uint32_t return_max_ms; /**< latest, return_min_ms..3600000; 30000 */
} gn_limit_config_t;

/** Why a request was refused. */
typedef enum gn_limit_reason_e {
	GN_LIMIT_ADMITTED = 0,
	GN_LIMIT_DEADLINE, /**< could not be answered in time */
	GN_LIMIT_TOTAL, /**< the limit in flight is reached */
	GN_LIMIT_CLASS, /**< the class has its part */
	GN_LIMIT_TEAM, /**< the team has its share */
	GN_LIMIT_REASON_COUNT
} gn_limit_reason_t;

/** A request that asks for admission. */
typedef struct gn_limit_request_s {
	gn_class_t work_class;
	gn_str_t team; /**< 0..GN_NAME_MAX bytes; unknown ones share a weight */
	uint64_t time_left_us; /**< until the deadline */
	uint64_t wait_us; /**< estimated time to the answer */
	uint64_t idle_us; /**< the same if no other request ran; 0 unknown */
} gn_limit_request_t;

/** What an admitted request holds until gn_limit_release(). */
typedef struct gn_limit_ticket_s {
	struct gn_limit_team_s *team;
	gn_class_t work_class;
	uint64_t start_us;
	uint64_t time_left_us;
	uint64_t idle_us;
} gn_limit_ticket_t;

/** The answer to a request for admission. */
typedef struct gn_limit_verdict_s {
	gn_limit_reason_t reason; /**< GN_LIMIT_ADMITTED: ticket is valid */
	uint32_t retry_after_ms; /**< 0 if admitted */
	gn_limit_ticket_t ticket;
} gn_limit_verdict_t;

/** How an admitted request ended. */
typedef enum gn_limit_end_e {
	GN_LIMIT_ANSWERED = 0, /**< lateness is worked out from the ticket */
	GN_LIMIT_PUSHED_BACK, /**< workers had no capacity for it */
	GN_LIMIT_OTHER, /**< says nothing about load */
	GN_LIMIT_END_COUNT
} gn_limit_end_t;

/** The state of an admission. */
typedef struct gn_limit_info_s {
	unsigned limit;
	unsigned in_flight;
	unsigned class_in_flight[GN_CLASS_COUNT];
	unsigned teams;
	uint64_t admitted;
	uint64_t refused[GN_LIMIT_REASON_COUNT];
} gn_limit_info_t;

/** The settings that a process starts with. */
gn_limit_config_t gn_limit_defaults(void);

/* ======   Commands   ====== */

/**
 * Creates an admission.
 * @param rand seeded by the caller; spreads the returns
 * @param config copied; bounds as documented
 * @return NULL if memory is short or a setting is out of bounds
 */
gn_limit_t *gn_limit_create(TALLOC_CTX *parent, const gn_clock_t *clock,
			    GRand *rand, const gn_limit_config_t *config);

/**
 * Gives @p team a weight of 1..GN_LIMIT_WEIGHT_MAX, or takes it away by 0.
 * @return GN_OK, GN_ERR_RANGE, GN_ERR_CAPACITY (too many), GN_ERR_MEMORY
 */
gn_code_t gn_limit_set_team(gn_limit_t *limit, gn_str_t team, unsigned weight);

/** Admits or refuses @p request; an admitted one is counted. */
void gn_limit_ask(gn_limit_t *limit, const gn_limit_request_t *request,
		  gn_limit_verdict_t *verdict);

/** Uncounts an admitted request. */
void gn_limit_release(gn_limit_t *limit, const gn_limit_ticket_t *ticket,
		      gn_limit_end_t end);

/** A time to come back at, for a refusal that another module decided. */
uint32_t gn_limit_draw_return_ms(gn_limit_t *limit);

/* ======   Queries   ====== */

/** The present state. */
void gn_limit_info(const gn_limit_t *limit, gn_limit_info_t *info);

/** Requests of @p team in flight; 0 if it has no weight of its own. */
unsigned gn_limit_team_in_flight(const gn_limit_t *limit, gn_str_t team);

/** The stable name of @p reason, such as "deadline". */
const char *gn_limit_reason_name(gn_limit_reason_t reason);

#endif
