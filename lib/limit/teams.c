#include "limit/teams.h"

#include <assert.h>
#include <glib.h>

#include "limit/limit.h"

/** Number of windows that a team stays active after its last request. */
#define ACTIVE_WINDOWS 10

struct gn_teams_s {
	GHashTable *teams;
	/** Stands for all teams without a weight of their own. */
	gn_limit_team_t other;
	unsigned active_weight; /**< Sum of the active teams' weights. */
};

gn_limit_team_t *gn_teams_find(const gn_teams_t *teams, gn_str_t name)
{
	char key[GN_NAME_MAX + 1];

	if (gn_str_copy(key, sizeof(key), name) != GN_OK)
		return NULL;
	return g_hash_table_lookup(teams->teams, key);
}

static void set_active(gn_teams_t *teams, gn_limit_team_t *team, bool active)
{
	if (active && !team->active)
		teams->active_weight += team->weight;
	if (!active && team->active)
		teams->active_weight -= team->weight;
	team->active = active;
}

static void age_team(gn_teams_t *teams, gn_limit_team_t *team)
{
	if (team->idle_windows < ACTIVE_WINDOWS)
		team->idle_windows++;
	set_active(teams, team,
		   team->in_flight || team->idle_windows < ACTIVE_WINDOWS);
}

void gn_teams_end_window(gn_teams_t *teams)
{
	GHashTableIter iter;
	gpointer team;

	age_team(teams, &teams->other);
	g_hash_table_iter_init(&iter, teams->teams);
	while (g_hash_table_iter_next(&iter, NULL, &team))
		age_team(teams, team);
}

gn_limit_team_t *gn_teams_activate(gn_teams_t *teams, gn_str_t name)
{
	gn_limit_team_t *team = gn_teams_find(teams, name);

	if (!team)
		team = &teams->other;
	team->idle_windows = 0;
	set_active(teams, team, true);
	return team;
}

static gn_code_t add_team(gn_teams_t *teams, gn_str_t name, unsigned weight)
{
	gn_limit_team_t *team;

	if (g_hash_table_size(teams->teams) >= GN_LIMIT_TEAMS_MAX)
		return GN_ERR_CAPACITY;
	team = talloc_zero(teams, gn_limit_team_t);
	if (!team)
		return GN_ERR_MEMORY;
	gn_str_copy(team->name, sizeof(team->name), name);
	team->weight = weight;
	team->idle_windows = ACTIVE_WINDOWS;
	g_hash_table_insert(teams->teams, team->name, team);
	return GN_OK;
}

static void remove_team(gn_teams_t *teams, gn_limit_team_t *team)
{
	g_hash_table_remove(teams->teams, team->name);
	set_active(teams, team, false);
	if (team->in_flight)
		team->removed = true;
	else
		talloc_free(team);
}

gn_code_t gn_teams_set(gn_teams_t *teams, gn_str_t name, unsigned weight)
{
	gn_limit_team_t *team = gn_teams_find(teams, name);

	if (!name.len || name.len > GN_NAME_MAX || weight > GN_LIMIT_WEIGHT_MAX)
		return GN_ERR_RANGE;
	if (!team)
		return weight ? add_team(teams, name, weight) : GN_OK;
	if (!weight) {
		remove_team(teams, team);
		return GN_OK;
	}
	if (team->active)
		teams->active_weight += weight - team->weight;
	team->weight = weight;
	return GN_OK;
}

void gn_teams_free_if_removed(gn_limit_team_t *team)
{
	if (team->removed && !team->in_flight)
		talloc_free(team);
}

double gn_teams_share(const gn_teams_t *teams, const gn_limit_team_t *team)
{
	assert(teams->active_weight >= team->weight);
	return (double)team->weight / teams->active_weight;
}

unsigned gn_teams_count(const gn_teams_t *teams)
{
	return g_hash_table_size(teams->teams);
}

static int destroy_teams(gn_teams_t *teams)
{
	g_hash_table_destroy(teams->teams);
	return 0;
}

gn_teams_t *gn_teams_create(TALLOC_CTX *parent, unsigned other_weight)
{
	gn_teams_t *teams = talloc_zero(parent, gn_teams_t);

	if (!teams)
		return NULL;
	teams->other.weight = other_weight;
	teams->other.idle_windows = ACTIVE_WINDOWS;
	teams->teams = g_hash_table_new(g_str_hash, g_str_equal);
	talloc_set_destructor(teams, destroy_teams);
	return teams;
}
