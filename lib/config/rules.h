/**
 * @file rules.h
 * @brief The operators' rules on top of the inventory.
 *
 * A TOML document, checked whole, also against the inventory:
 *
 *     [weights]                    # optional, each 0..1000, default 1
 *     tail = 10
 *     evictions = 2
 *     throughput = 1
 *     [[service]]                  # the data centres it must span
 *     name = "timing-planner"
 *     data_centres = ["reykjavik-a", "keflavik-c"]
 *     [[team]]
 *     name = "corridors"
 *     quota_tasks = 24
 *     weight = 2                   # optional, default 1
 *     [[exclude]]                  # no two of them share a host
 *     work = ["network-plan", "detector-feed"]
 *     [[window]]                   # a landlord window
 *     data_centre = "keflavik-c"
 *     rack = "rack-2"              # optional; without it the data centre
 *     begin = "2026-12-10T06:00:00Z"
 *     end = "2026-12-10T12:00:00Z"
 *     lead_minutes = 60            # optional; drained this long before
 *     [[drain]]                    # an operator drains one host
 *     host = "kef-02"
 */
#ifndef GN_CONFIG_RULES_H
#define GN_CONFIG_RULES_H

#include <stdbool.h>

#include "config/inventory.h"

/** Most services, teams and windows, each. */
#define GN_SERVICES_MAX 1024
#define GN_TEAMS_MAX 1024
#define GN_WINDOWS_MAX 4096
/** Most exclusions. */
#define GN_EXCLUSIONS_MAX 256
/** Most kinds of work in one exclusion. */
#define GN_EXCLUSION_WORK_MAX 64
/** Lead of a window that names none, minutes. */
#define GN_LEAD_DEFAULT_MINUTES 60

/** What weighs how much; each 0..1000. */
typedef struct gn_weights_s {
	double tail;
	double evictions;
	double throughput;
} gn_weights_t;

/** A service and the data centres that it must span. */
typedef struct gn_service_s {
	const char *name;
	const char **data_centres;
	size_t data_centre_count; /**< 1..GN_DATA_CENTRES_MAX */
} gn_service_t;

/** A team. */
typedef struct gn_team_s {
	const char *name;
	unsigned quota_tasks; /**< 0..1000000 running at once */
	unsigned weight; /**< 1..1000 */
} gn_team_t;

/** Kinds of work (services or batch kinds) that may not share a host. */
typedef struct gn_exclusion_s {
	const char **work;
	size_t work_count; /**< 2..GN_EXCLUSION_WORK_MAX */
} gn_exclusion_t;

/** A landlord window. */
typedef struct gn_window_s {
	const char *data_centre;
	const char *rack; /**< NULL: the whole data centre */
	int64_t begin_s; /**< seconds since 1970 UTC */
	int64_t end_s; /**< after begin_s */
	unsigned lead_minutes; /**< 0..10080 */
} gn_window_t;

/** A host that an operator drains. */
typedef struct gn_drain_s {
	const char *host;
} gn_drain_t;

/** The rules; a talloc object that never changes once parsed. */
typedef struct gn_rules_s {
	gn_weights_t weights;
	gn_service_t *services;
	size_t service_count; /**< 0..GN_SERVICES_MAX */
	gn_team_t *teams;
	size_t team_count; /**< 0..GN_TEAMS_MAX */
	gn_exclusion_t *exclusions;
	size_t exclusion_count; /**< 0..GN_EXCLUSIONS_MAX */
	gn_window_t *windows; /**< in the order of the document */
	size_t window_count; /**< 0..GN_WINDOWS_MAX */
	gn_drain_t *drains;
	size_t drain_count; /**< 0..GN_HOSTS_MAX */
	GHashTable *service_by_name; /**< const char * to gn_service_t * */
	GHashTable *team_by_name; /**< const char * to gn_team_t * */
	GHashTable *drained_hosts; /**< a set of const char * */
	GHashTable *exclusions_by_work; /**< to a set of exclusions */
	GHashTable *windows_by_location; /**< "data_centre/rack" to GPtrArray */
} gn_rules_t;

/**
 * Parses and checks rules.
 * @param parent talloc parent of the result
 * @param source the name of the document in errors
 * @param text at most GN_TOML_TEXT_MAX bytes; may be empty
 * @param inventory that references must resolve in, or NULL to leave them
 * @param rules set on success, else untouched
 * @param error step "rules", peer @p source; may be NULL
 * @return GN_OK, GN_ERR_INVALID, GN_ERR_RANGE, GN_ERR_MEMORY
 */
gn_code_t gn_rules_parse(TALLOC_CTX *parent, const char *source, gn_str_t text,
			 const gn_inventory_t *inventory, gn_rules_t **rules,
			 gn_error_t *error);

/** Reads the file at @p path and parses it; GN_ERR_NOT_FOUND, too. */
gn_code_t gn_rules_load(TALLOC_CTX *parent, const char *path,
			const gn_inventory_t *inventory, gn_rules_t **rules,
			gn_error_t *error);

/**
 * Whether the references of @p rules resolve in @p inventory.
 * @return GN_OK or GN_ERR_INVALID with the first that does not
 */
gn_code_t gn_rules_check(const gn_rules_t *rules, const char *source,
			 const gn_inventory_t *inventory, gn_error_t *error);

/** The team called @p name, or NULL. */
const gn_team_t *gn_rules_find_team(const gn_rules_t *rules, const char *name);

/** The service called @p name, or NULL if the rules don't name it. */
const gn_service_t *gn_rules_find_service(const gn_rules_t *rules,
					  const char *name);

/** Whether work of the kinds @p a and @p b may run on one host. */
bool gn_rules_may_share_host(const gn_rules_t *rules, const char *a,
			     const char *b);

/** Whether an operator drains @p host. */
bool gn_rules_is_drained(const gn_rules_t *rules, const char *host);

/**
 * The window over a rack that is open or comes next at @p now_s: of those
 * that end later, the one whose drain begins first; NULL if there is none.
 */
const gn_window_t *gn_rules_next_window(const gn_rules_t *rules,
					const char *data_centre,
					const char *rack, int64_t now_s);

/** When the drain for @p window begins, seconds since 1970 UTC. */
int64_t gn_window_drain_from_s(const gn_window_t *window);

/**
 * Writes the rules in @p text again with @p host drained or not. Only the
 * drain changes; comments stay where the text is one that a drain made,
 * else the document is written anew without them.
 * @param host a name as in the inventory
 * @param changed set on success; talloc, parent @p parent; equals @p text
 *        if nothing is to change
 * @return GN_OK, GN_ERR_INVALID, GN_ERR_RANGE, GN_ERR_MEMORY
 */
gn_code_t gn_rules_set_drain(TALLOC_CTX *parent, gn_str_t text,
			     const char *host, bool drained, gn_str_t *changed,
			     gn_error_t *error);

#endif
