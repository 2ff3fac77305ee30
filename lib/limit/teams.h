/**
 * @file teams.h
 * @brief The teams known to an entry's admission: their weights and which of
 * them are active.
 */
#ifndef GN_LIMIT_TEAMS_H
#define GN_LIMIT_TEAMS_H

#include <stdbool.h>
#include <talloc.h>

#include "common/str.h"

/** A set of teams with weights. */
typedef struct gn_teams_s gn_teams_t;

/**
 * A team. The pointer stays valid until the team is removed and its last
 * request was released.
 */
typedef struct gn_limit_team_s {
	char name[GN_NAME_MAX + 1];
	unsigned weight;
	/** Requests in flight; maintained by the caller. */
	unsigned in_flight;
	unsigned idle_windows; /**< Windows since the team's last request. */
	/** Whether the weight is included in the sum of the active teams. */
	bool active;
	/** True after removal; the last release frees the team. */
	bool removed;
} gn_limit_team_t;

/**
 * Creates an empty set; NULL if out of memory.
 * @param other_weight weight shared by all teams that have none of their own
 */
gn_teams_t *gn_teams_create(TALLOC_CTX *parent, unsigned other_weight);

/** Sets, changes or removes the weight of a team, as gn_limit_set_team(). */
gn_code_t gn_teams_set(gn_teams_t *teams, gn_str_t name, unsigned weight);

/**
 * Returns the team of a request and marks it as active. Teams without a weight
 * of their own share one struct; never NULL.
 */
gn_limit_team_t *gn_teams_activate(gn_teams_t *teams, gn_str_t name);

/** Frees @p team if it was removed and has no requests in flight. */
void gn_teams_free_if_removed(gn_limit_team_t *team);

/**
 * Ends a window: teams without requests for several windows, and with none in
 * flight, become inactive.
 */
void gn_teams_end_window(gn_teams_t *teams);

/** Returns the team named @p name, or NULL if it has no weight of its own. */
gn_limit_team_t *gn_teams_find(const gn_teams_t *teams, gn_str_t name);

/**
 * Returns the share of @p team, which must be active, in the weight of all
 * active teams, 0..1.
 */
double gn_teams_share(const gn_teams_t *teams, const gn_limit_team_t *team);

/** Returns the number of teams with a weight of their own. */
unsigned gn_teams_count(const gn_teams_t *teams);

#endif
