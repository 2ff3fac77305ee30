/* Queries on parsed rules. */
#include <stdio.h>

#include "config/rules_internal.h"

#define SECONDS_PER_MINUTE 60

void gn_rules_format_location(char *location, const char *data_centre,
			      const char *rack)
{
	snprintf(location, GN_LOCATION_SIZE, "%s/%s", data_centre,
		 rack ? rack : "");
}

const gn_team_t *gn_rules_find_team(const gn_rules_t *rules, const char *name)
{
	return g_hash_table_lookup(rules->team_by_name, name);
}

const gn_service_t *gn_rules_find_service(const gn_rules_t *rules,
					  const char *name)
{
	return g_hash_table_lookup(rules->service_by_name, name);
}

bool gn_rules_may_share_host(const gn_rules_t *rules, const char *a,
			     const char *b)
{
	const gn_exclusion_set_t *of_a;
	const gn_exclusion_set_t *of_b;

	of_a = g_hash_table_lookup(rules->exclusions_by_work, a);
	of_b = g_hash_table_lookup(rules->exclusions_by_work, b);
	if (!of_a || !of_b || of_a == of_b)
		return true;
	for (size_t i = 0; i < G_N_ELEMENTS(of_a->words); i++)
		if (of_a->words[i] & of_b->words[i])
			return false;
	return true;
}

bool gn_rules_is_drained(const gn_rules_t *rules, const char *host)
{
	return g_hash_table_contains(rules->drained_hosts, host);
}

int64_t gn_window_drain_begin_s(const gn_window_t *window)
{
	return window->begin_s -
	       (int64_t)window->lead_minutes * SECONDS_PER_MINUTE;
}

/** Returns the first to drain of @p best and the location's next windows. */
static const gn_window_t *find_earlier_window(const gn_rules_t *rules,
					      const char *data_centre,
					      const char *rack, int64_t now_s,
					      const gn_window_t *best)
{
	char location[GN_LOCATION_SIZE];
	const GPtrArray *windows;

	gn_rules_format_location(location, data_centre, rack);
	windows = g_hash_table_lookup(rules->windows_by_location, location);
	for (guint i = 0; windows && i < windows->len; i++) {
		const gn_window_t *window = g_ptr_array_index(windows, i);

		if (window->end_s <= now_s)
			continue;
		if (!best || gn_window_drain_begin_s(window) <
				     gn_window_drain_begin_s(best))
			best = window;
	}
	return best;
}

const gn_window_t *gn_rules_next_window(const gn_rules_t *rules,
					const char *data_centre,
					const char *rack, int64_t now_s)
{
	const gn_window_t *best;

	best = find_earlier_window(rules, data_centre, rack, now_s, NULL);
	return find_earlier_window(rules, data_centre, NULL, now_s, best);
}
