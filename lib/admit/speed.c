#include "admit/speed.h"

#include <assert.h>
#include <glib.h>

#define PER_CENT 100
/**
 * Minimum contribution per task, as a share of the target, that counts as an
 * estimate.
 */
#define MIN_ADDED 0.001

static double total_added(const gn_speed_t *kinds, const double *added,
			  size_t count)
{
	double sum = 0;

	for (size_t i = 0; i < count; i++)
		sum += added[i] * kinds[i].tasks;
	return sum;
}

/**
 * Returns the kind with the largest contribution per task that isn't slowed
 * yet, or @p count.
 */
static size_t find_worst(const double *added, const bool *slowed, size_t count)
{
	size_t worst = count;

	for (size_t i = 0; i < count; i++)
		if (!slowed[i] && (worst == count || added[i] > added[worst]))
			worst = i;
	return worst;
}

/**
 * Slows the kinds in order of their contribution per task until the
 * interference is lower by @p excess.
 */
static void slow_worst_first(gn_speed_t *kinds, const double *added,
			     size_t count, unsigned floor_pct, double excess)
{
	bool slowed[GN_INTERFERE_KINDS] = { false };

	while (excess > 0) {
		size_t worst = find_worst(added, slowed, count);
		double full_speed_added;
		double cut;

		if (worst == count)
			return;
		full_speed_added = added[worst] * kinds[worst].tasks;
		cut = MIN(excess,
			  full_speed_added * (PER_CENT - floor_pct) / PER_CENT);
		kinds[worst].speed_pct =
			(unsigned)(PER_CENT -
				   cut * PER_CENT / full_speed_added);
		slowed[worst] = true;
		excess -= cut;
	}
}

void gn_speed_distribute(const gn_interfere_t *interfere, unsigned load_pct,
			 unsigned total_pct, unsigned floor_pct,
			 gn_speed_t *kinds, size_t count)
{
	double added[GN_INTERFERE_KINDS];
	bool known = false;
	double total;

	assert(count <= GN_INTERFERE_KINDS);
	assert(floor_pct >= 1 && floor_pct <= PER_CENT);
	for (size_t i = 0; i < count; i++) {
		added[i] = gn_interfere_estimate(interfere, kinds[i].kind,
						 load_pct);
		known = known || added[i] > MIN_ADDED;
		added[i] = MAX(added[i], MIN_ADDED);
	}
	for (size_t i = 0; i < count; i++)
		kinds[i].speed_pct = known ? PER_CENT : total_pct;
	if (!known)
		return;
	total = total_added(kinds, added, count);
	slow_worst_first(kinds, added, count, floor_pct,
			 total * (PER_CENT - MIN(total_pct, PER_CENT)) /
				 PER_CENT);
}
