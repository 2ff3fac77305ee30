#include "admit/speed.h"

#include <assert.h>
#include <glib.h>

#define PER_CENT 100
/** Less than this for each task, as a share of the target, is no estimate. */
#define LEAST_ADDED 0.001

static double sum_of(const gn_speed_t *kinds, const double *added, size_t count)
{
	double sum = 0;

	for (size_t i = 0; i < count; i++)
		sum += added[i] * kinds[i].tasks;
	return sum;
}

/** The kind not yet slowed that adds most for each task. */
static size_t find_worst(const double *added, const bool *slowed, size_t count)
{
	size_t worst = count;

	for (size_t i = 0; i < count; i++)
		if (!slowed[i] && (worst == count || added[i] > added[worst]))
			worst = i;
	return worst;
}

/** Slows the kinds one after the other until @p excess is taken away. */
static void slow_worst_first(gn_speed_t *kinds, const double *added,
			     size_t count, unsigned floor_pct, double excess)
{
	bool slowed[GN_INTERFERE_KINDS] = { false };

	while (excess > 0) {
		size_t worst = find_worst(added, slowed, count);
		double full;
		double cut;

		if (worst == count)
			return;
		full = added[worst] * kinds[worst].tasks;
		cut = MIN(excess, full * (PER_CENT - floor_pct) / PER_CENT);
		kinds[worst].speed_pct =
			(unsigned)(PER_CENT - cut * PER_CENT / full);
		slowed[worst] = true;
		excess -= cut;
	}
}

void gn_speed_share(const gn_interfere_t *interfere, unsigned load_pct,
		    unsigned total_pct, unsigned floor_pct, gn_speed_t *kinds,
		    size_t count)
{
	double added[GN_INTERFERE_KINDS];
	bool known = false;
	double all;

	assert(count <= GN_INTERFERE_KINDS);
	assert(floor_pct >= 1 && floor_pct <= PER_CENT);
	for (size_t i = 0; i < count; i++) {
		added[i] = gn_interfere_estimate(interfere, kinds[i].kind,
						 load_pct);
		known = known || added[i] > LEAST_ADDED;
		added[i] = MAX(added[i], LEAST_ADDED);
	}
	for (size_t i = 0; i < count; i++)
		kinds[i].speed_pct = known ? PER_CENT : total_pct;
	if (!known)
		return;
	all = sum_of(kinds, added, count);
	slow_worst_first(kinds, added, count, floor_pct,
			 all * (PER_CENT - MIN(total_pct, PER_CENT)) /
				 PER_CENT);
}
