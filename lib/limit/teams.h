/**
 * @file teams.h
 * @brief The teams of an entry's admission: weights, and who asked lately.
 */
#ifndef GN_LIMIT_TEAMS_H
#define GN_LIMIT_TEAMS_H

#include <stdbool.h>
#include <talloc.h>

#include "common/str.h"

/** The teams. */
typedef struct gn_teams_s gn_teams_t;

/** A team; valid until it is dropped and its last request was released. */
typedef struct gn_limit_team_s {
	char name[GN_NAME_MAX + 1];
	unsigned weight;
	unsigned in_flight; /**< kept by the admission */
	unsigned idle_windows; /**< since the last request */
	bool counted; /**< in the weight of the active teams */
	bool dropped; /**< freed by its last release */
} gn_limit_team_t;

/** Creates an empty set; NULL if memory is short. */
gn_teams_t *gn_teams_create(TALLOC_CTX *parent, unsigned other_weight);

/** As gn_limit_set_team(). */
gn_code_t gn_teams_set(gn_teams_t *teams, gn_str_t name, unsigned weight);

/** The team of a request, which makes it active; never NULL. */
gn_limit_team_t *gn_teams_ask(gn_teams_t *teams, gn_str_t name);

/** Frees a dropped team that has nothing in flight any more. */
void gn_teams_settle(gn_limit_team_t *team);

/** Ends a window: teams that haven't asked for long are no longer active. */
void gn_teams_review(gn_teams_t *teams);

/** The team called @p name, or NULL if it has no weight of its own. */
gn_limit_team_t *gn_teams_find(const gn_teams_t *teams, gn_str_t name);

/** The part of @p team, which must be active, in the active weights; 0..1. */
double gn_teams_share(const gn_teams_t *teams, const gn_limit_team_t *team);

/** Number of teams with a weight of their own. */
unsigned gn_teams_count(const gn_teams_t *teams);

#endif
