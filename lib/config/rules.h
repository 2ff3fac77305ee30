/**
 * @file rules.h
 * @brief The rules for the use of the inventory: quotas, windows, drains.
 *
 * The rules are a TOML document. It is accepted only if all of it is valid and
 * what it refers to exists in the inventory:
 *
 *     [weights]                    # optional, each 0..1000, default 1
 *     tail = 10
 *     evictions = 2
 *     throughput = 1
 *     [[service]]                  # data centres that it must run in
 *     name = "timing-planner"
 *     data_centres = ["reykjavik-a", "keflavik-c"]
 *     [[team]]
 *     name = "corridors"
 *     quota_tasks = 24
 *     weight = 2                   # optional, default 1
 *     [[exclude]]                  # workloads that may not share a host
 *     work = ["network-plan", "detector-feed"]
 *     [[window]]                   # a maintenance window
 *     data_centre = "keflavik-c"
 *     rack = "rack-2"              # optional; default: all racks
 *     begin = "2026-12-10T06:00:00Z"
 *     end = "2026-12-10T12:00:00Z"
 *     lead_minutes = 60            # optional; drain begins this early
 *     [[drain]]                    # a host drained by an operator
 *     host = "kef-02"
 */
#ifndef GN_CONFIG_RULES_H
#define GN_CONFIG_RULES_H

#include <stdbool.h>

#include "config/inventory.h"

/** Maximum numbers of services, teams and windows. */
#define GN_SERVICES_MAX 1024
#define GN_TEAMS_MAX 1024
#define GN_WINDOWS_MAX 4096
/** Maximum number of exclusions. */
#define GN_EXCLUSIONS_MAX 256
/** Maximum number of workloads in one exclusion. */
#define GN_EXCLUSION_WORK_MAX 64
/** Default time that a drain begins before its window, in minutes. */
#define GN_LEAD_DEFAULT_MINUTES 60

/** Weights of the scheduling objectives; each 0..1000. */
typedef struct gn_weights_s {
	double tail;
	double evictions;
	double throughput;
} gn_weights_t;

/** A service and the data centres that it must run in. */
typedef struct gn_service_s {
	const char *name;
	const char **data_centres;
	size_t data_centre_count; /**< Range 1..GN_DATA_CENTRES_MAX. */
} gn_service_t;

typedef struct gn_team_s {
	const char *name;
	/** Maximum number of running tasks, 0..1000000. */
	unsigned quota_tasks;
	unsigned weight; /**< Range 1..1000. */
} gn_team_t;

/** Workloads (services or kinds of batch tasks) that may not share a host. */
typedef struct gn_exclusion_s {
	const char **work;
	size_t work_count; /**< Range 2..GN_EXCLUSION_WORK_MAX. */
} gn_exclusion_t;

/** A maintenance window that the owner of a data centre announced. */
typedef struct gn_window_s {
	const char *data_centre;
	const char *rack; /**< NULL means the whole data centre. */
	int64_t begin_s; /**< Begin in seconds since 1970 UTC. */
	int64_t end_s; /**< End in seconds since 1970 UTC, after begin_s. */
	unsigned lead_minutes; /**< The drain begins this early, 0..10080. */
} gn_window_t;

/** A host that is drained by an operator. */
typedef struct gn_drain_s {
	const char *host;
} gn_drain_t;

/** The rules; a talloc object that is immutable after parsing. */
typedef struct gn_rules_s {
	gn_weights_t weights;
	gn_service_t *services;
	size_t service_count; /**< Range 0..GN_SERVICES_MAX. */
	gn_team_t *teams;
	size_t team_count; /**< Range 0..GN_TEAMS_MAX. */
	gn_exclusion_t *exclusions;
	size_t exclusion_count; /**< Range 0..GN_EXCLUSIONS_MAX. */
	gn_window_t *windows; /**< Windows in the order of the document. */
	size_t window_count; /**< Range 0..GN_WINDOWS_MAX. */
	gn_drain_t *drains;
	size_t drain_count; /**< Range 0..GN_HOSTS_MAX. */
	/** Maps const char * to gn_service_t *. */
	GHashTable *service_by_name;
	GHashTable *team_by_name; /**< Maps const char * to gn_team_t *. */
	GHashTable *drained_hosts; /**< Set of const char *. */
	GHashTable *exclusions_by_work; /**< Maps to gn_exclusion_set_t *. */
	/** Maps "data_centre/rack" to a GPtrArray of gn_window_t *. */
	GHashTable *windows_by_location;
} gn_rules_t;

/**
 * Parses and checks rules.
 * @param parent talloc parent of the result
 * @param source name of the document in errors
 * @param text document of at most GN_TOML_TEXT_MAX bytes; may be empty
 * @param inventory inventory to check references against, or NULL to skip
 *        that check
 * @param rules set on success only
 * @param error set on failure, with step "rules" and peer @p source; may be
 *        NULL
 * @return GN_OK, GN_ERR_INVALID, GN_ERR_RANGE, GN_ERR_MEMORY
 */
gn_code_t gn_rules_parse(TALLOC_CTX *parent, const char *source, gn_str_t text,
			 const gn_inventory_t *inventory, gn_rules_t **rules,
			 gn_error_t *error);

/**
 * Reads the file at @p path and parses it as gn_rules_parse() does.
 * @return also GN_ERR_NOT_FOUND and GN_ERR_SYSTEM
 */
gn_code_t gn_rules_load(TALLOC_CTX *parent, const char *path,
			const gn_inventory_t *inventory, gn_rules_t **rules,
			gn_error_t *error);

/**
 * Checks that all data centres, racks and hosts that @p rules refers to exist
 * in @p inventory.
 * @return GN_OK, or GN_ERR_INVALID with the first that doesn't exist in
 *         @p error
 */
gn_code_t gn_rules_check(const gn_rules_t *rules, const char *source,
			 const gn_inventory_t *inventory, gn_error_t *error);

/** Returns the team called @p name, or NULL. */
const gn_team_t *gn_rules_find_team(const gn_rules_t *rules, const char *name);

/** Returns the service called @p name, or NULL. */
const gn_service_t *gn_rules_find_service(const gn_rules_t *rules,
					  const char *name);

/** Whether the workloads @p a and @p b may run on the same host. */
bool gn_rules_may_share_host(const gn_rules_t *rules, const char *a,
			     const char *b);

/** Whether @p host is drained by an operator. */
bool gn_rules_is_drained(const gn_rules_t *rules, const char *host);

/**
 * Returns the current or next window of a rack: of all its windows that end
 * after @p now_s, the one whose drain begins first, or NULL.
 */
const gn_window_t *gn_rules_next_window(const gn_rules_t *rules,
					const char *data_centre,
					const char *rack, int64_t now_s);

/** Returns when the drain for @p window begins, in seconds since 1970 UTC. */
int64_t gn_window_drain_begin_s(const gn_window_t *window);

/**
 * Adds the drain of a host to the rules in @p text or removes it. The rest of
 * the document keeps its meaning. If the drain to remove was not added by this
 * function, the document is reformatted and its comments are lost.
 * @param host name of a host in the inventory
 * @param changed set to the new text on success, with talloc parent
 *        @p parent; equals @p text if there is nothing to change
 * @return GN_OK, GN_ERR_INVALID, GN_ERR_RANGE, GN_ERR_MEMORY
 */
gn_code_t gn_rules_set_drain(TALLOC_CTX *parent, gn_str_t text,
			     const char *host, bool drained, gn_str_t *changed,
			     gn_error_t *error);

#endif
